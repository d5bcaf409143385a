//! Laws of documents and deltas, by property.

mod common;

use common::{any_document, large};
use merlinfold_revision::{DecodeError, Delta, Digest, Document, DocumentError, Revision, FORMAT_VERSION};
use proptest::prelude::*;

proptest! {
    /// Guards deltas: what is told of a change makes the same document at every node.
    #[test]
    fn the_delta_between_two_documents_makes_the_second_of_the_first(
        from in any_document(), to in any_document(), number in any::<u64>(),
    ) {
        let in_force = Revision::new(number, from.clone());
        let delta = Delta::between(&in_force, &to);
        let applied = Delta::decode(&delta.encode()).unwrap().apply(&in_force);
        if from == to {
            prop_assert_eq!(applied, Err(DocumentError::NoChange));
        } else {
            let applied = applied.unwrap();
            prop_assert_eq!(applied.digest(), to.digest());
            prop_assert_eq!(applied, to);
        }
    }

    /// Guards going back: an older document comes into force as a new revision with the same digest.
    #[test]
    fn going_back_makes_the_older_content_a_new_revision(first in any_document(), second in any_document()) {
        prop_assume!(first != second);
        let first = Revision::new(1, first);
        let second = Revision::new(2, Delta::between(&first, &second).apply(&first).unwrap());
        let third = Revision::new(3, Delta::between(&second, &first.document).apply(&second).unwrap());
        prop_assert_eq!(third.digest, first.digest);
        prop_assert_eq!(third.document, first.document);
    }

    #[test]
    fn encoding_and_decoding_give_the_same_content(from in any_document(), to in any_document()) {
        prop_assert_eq!(Document::decode(&to.encode()).unwrap(), to.clone());
        let delta = Delta::between(&Revision::new(7, from), &to);
        prop_assert_eq!(Delta::decode(&delta.encode()).unwrap(), delta);
    }

    /// Guards one digest everywhere: it depends on the content, not on the order in which it came to be.
    #[test]
    fn the_digest_is_the_same_in_whatever_order_entries_came(document in any_document(), seed in any::<u64>()) {
        let mut keys: Vec<&String> = document.tenants.keys().collect();
        keys.sort_by_key(|key| Digest::of(format!("{seed}{key}").as_bytes()));
        let mut rebuilt = Document { tenants: Default::default(), ..document.clone() };
        for key in keys {
            rebuilt.tenants.insert(key.clone(), document.tenants[key].clone());
        }
        prop_assert_eq!(rebuilt.digest(), document.digest());
        let text = serde_json::to_string(&document).unwrap();
        prop_assert_eq!(serde_json::from_str::<Document>(&text).unwrap().digest(), document.digest());
    }

    /// Guards "all or nothing": a delta of which one part is at fault changes nothing at all.
    #[test]
    fn a_refused_delta_leaves_the_document_as_it_was(from in any_document(), to in any_document()) {
        let in_force = Revision::new(4, from.clone());
        let mut delta = Delta::between(&in_force, &to);
        delta.tenants.remove.insert("nobody".to_owned());
        prop_assert!(delta.apply(&in_force).is_err());
        prop_assert_eq!(&*in_force.document, &from);
        prop_assert_eq!(in_force.digest, from.digest());
    }

    /// Whatever the bytes are, reading them ends in a value with just these bytes or a typed error.
    #[test]
    fn any_bytes_end_in_a_canonical_value_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(document) = Document::decode(&bytes) {
            prop_assert_eq!(document.encode(), bytes.clone());
        }
        if let Ok(delta) = Delta::decode(&bytes) {
            prop_assert_eq!(delta.encode(), bytes);
        }
    }

    /// The same of bytes that are nearly right.
    #[test]
    fn damaged_bytes_end_in_a_canonical_value_or_an_error(
        document in any_document(), at in any::<prop::sample::Index>(), change in 1..=255u8, cut in any::<bool>(),
    ) {
        let mut bytes = document.encode();
        let at = at.index(bytes.len());
        if cut {
            bytes.truncate(at);
        } else {
            bytes[at] ^= change;
        }
        if let Ok(read) = Document::decode(&bytes) {
            prop_assert_eq!(read.encode(), bytes);
            prop_assert_ne!(read, document);
        }
    }
}

#[test]
fn the_size_that_is_planned_for_is_valid_and_fits() {
    let document = large();
    document.validate().unwrap();
    assert_eq!(Document::decode(&document.encode()).unwrap(), document);
}

/// Guards digests across versions: nodes of two builds must agree on the bytes of one content.
#[test]
fn the_digest_of_a_known_document_does_not_change() {
    let text = r#"{"routes": {"/g": {"service": "guides", "class": "read"}},
                   "tenants": {"t": {"share": 5, "requests_per_1000_s": 300}},
                   "limits": {"max_attempts": {"value": 3, "unit": "count", "least": 1, "most": 5}},
                   "classes": {"read": {"aim_ms": 400, "worth": 1000000, "late_worth": 0}}}"#;
    let document: Document = serde_json::from_str(text).unwrap();
    let known = "177c6f1ca3d9f789a00096aaf252828058b6ef266328d4bf219ca7cde1116ebe";
    assert_eq!(document.digest().to_string(), known);
    assert_eq!(known.parse::<Digest>().unwrap(), document.digest());
}

#[test]
fn a_later_format_is_refused_by_its_number() {
    let mut bytes = Document::default().encode();
    bytes[4..6].copy_from_slice(&(FORMAT_VERSION + 1).to_be_bytes());
    assert_eq!(Document::decode(&bytes), Err(DecodeError::UnknownVersion(2)));
    assert!(matches!(Delta::decode(&bytes), Err(DecodeError::WrongKind(_))));
}

/// Guards the one encoding: a longer form of the same number is not taken.
#[test]
fn a_second_encoding_of_the_same_content_is_refused() {
    let mut bytes = Document::default().encode();
    let last = bytes.pop().unwrap();
    bytes.extend([last | 0x80, 0]);
    assert!(matches!(Document::decode(&bytes), Err(DecodeError::NotCanonical(_))));
}

#[test]
fn a_document_that_cannot_be_in_force_is_not_decoded() {
    let mut document = large();
    document.classes.clear();
    assert!(matches!(Document::decode(&document.encode()), Err(DecodeError::Invalid(_))));
}
