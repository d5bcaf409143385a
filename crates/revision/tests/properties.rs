//! Properties of documents, deltas and their encoding.

mod common;

use common::{any_document, large};
use merlinfold_revision::{DecodeError, Delta, Digest, Document, DocumentError, Revision, FORMAT_VERSION};
use proptest::prelude::*;

proptest! {
    /// All nodes that apply a delta must get the same document.
    #[test]
    fn applying_the_delta_between_two_documents_to_the_first_gives_the_second(
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

    /// A rollback puts an older document in force as a new revision with the same digest.
    #[test]
    fn a_rollback_makes_a_new_revision_with_the_older_content(first in any_document(), second in any_document()) {
        prop_assume!(first != second);
        let first = Revision::new(1, first);
        let second = Revision::new(2, Delta::between(&first, &second).apply(&first).unwrap());
        let third = Revision::new(3, Delta::between(&second, &first.document).apply(&second).unwrap());
        prop_assert_eq!(third.digest, first.digest);
        prop_assert_eq!(third.document, first.document);
    }

    #[test]
    fn decoding_an_encoding_gives_the_same_content(from in any_document(), to in any_document()) {
        prop_assert_eq!(Document::decode(&to.encode()).unwrap(), to.clone());
        let delta = Delta::between(&Revision::new(7, from), &to);
        prop_assert_eq!(Delta::decode(&delta.encode()).unwrap(), delta);
    }

    /// The digest depends on the content only, not on the order in which entries were inserted.
    #[test]
    fn the_digest_does_not_depend_on_the_order_of_insertion(document in any_document(), seed in any::<u64>()) {
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

    /// A delta is applied completely or not at all: one invalid part must not leave other parts applied.
    #[test]
    fn a_rejected_delta_leaves_the_document_unchanged(from in any_document(), to in any_document()) {
        let in_force = Revision::new(4, from.clone());
        let mut delta = Delta::between(&in_force, &to);
        delta.tenants.remove.insert("nobody".to_owned());
        prop_assert!(delta.apply(&in_force).is_err());
        prop_assert_eq!(&*in_force.document, &from);
        prop_assert_eq!(in_force.digest, from.digest());
    }

    /// Decoding of random bytes returns an error or a value whose encoding is these bytes.
    #[test]
    fn random_bytes_decode_to_a_canonical_value_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(document) = Document::decode(&bytes) {
            prop_assert_eq!(document.encode(), bytes.clone());
        }
        if let Ok(delta) = Delta::decode(&bytes) {
            prop_assert_eq!(delta.encode(), bytes);
        }
    }

    /// The same holds for valid encodings that were truncated or damaged in one byte.
    #[test]
    fn damaged_encodings_decode_to_a_canonical_value_or_an_error(
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
fn a_document_of_the_planned_size_is_valid_and_can_be_encoded() {
    let document = large();
    document.validate().unwrap();
    assert_eq!(Document::decode(&document.encode()).unwrap(), document);
}

/// Nodes of different builds must compute the same digest, so the encoding of a content must not change.
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
fn a_later_format_is_rejected_with_its_version() {
    let mut bytes = Document::default().encode();
    bytes[4..6].copy_from_slice(&(FORMAT_VERSION + 1).to_be_bytes());
    assert_eq!(Document::decode(&bytes), Err(DecodeError::UnknownVersion(2)));
    assert!(matches!(Delta::decode(&bytes), Err(DecodeError::WrongKind(_))));
}

/// A number in a longer form would give the same content a second digest.
#[test]
fn a_non_canonical_encoding_is_rejected() {
    let mut bytes = Document::default().encode();
    let last = bytes.pop().unwrap();
    bytes.extend([last | 0x80, 0]);
    assert!(matches!(Document::decode(&bytes), Err(DecodeError::NotCanonical(_))));
}

#[test]
fn an_invalid_document_is_rejected_when_decoded() {
    let mut document = large();
    document.classes.clear();
    assert!(matches!(Document::decode(&document.encode()), Err(DecodeError::Invalid(_))));
}
