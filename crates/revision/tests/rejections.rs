//! Tests of rejected deltas and documents and of the error texts.

mod common;

use common::{class, large, limit, route};
use merlinfold_revision::bounds::*;
use merlinfold_revision::{Delta, Document, DocumentError, Revision, Section, Tenant};

fn in_force() -> Revision {
    let mut document = Document::default();
    document.classes.insert("read".to_owned(), class(400));
    document.routes.insert("/g".to_owned(), route("guides", "read"));
    document.tenants.insert("t".to_owned(), Tenant { share: TOTAL_SHARE / 2, requests_per_1000_s: None });
    Revision::new(3, document)
}

/// Applies a changed delta that must be rejected, and returns the error and its text.
fn rejected(change: impl FnOnce(&mut Delta)) -> (DocumentError, String) {
    let in_force = in_force();
    let mut delta = Delta::new(in_force.base());
    change(&mut delta);
    let error = delta.apply(&in_force).unwrap_err();
    let text = error.to_string();
    (error, text)
}

#[test]
fn a_delta_against_an_outdated_base_is_rejected_with_both_revisions() {
    let (error, text) = rejected(|delta| delta.base.revision = 2);
    assert_eq!(error, DocumentError::Conflict { base: 2, in_force: 3 });
    assert!(text.contains("read the document again"), "{text}");
    let (error, _) = rejected(|delta| delta.base.digest = Document::default().digest());
    assert_eq!(error, DocumentError::DigestMismatch { base: 3 });
}

#[test]
fn a_route_to_a_missing_class_is_rejected() {
    let (error, text) = rejected(|delta| {
        delta.routes.set.insert("/x".to_owned(), route("guides", "nothing"));
    });
    assert_eq!(error, DocumentError::UnknownClass { prefix: "/x".to_owned(), class: "nothing".to_owned() });
    assert!(text.starts_with("routes./x.class"), "{text}");
}

#[test]
fn a_class_in_use_by_a_route_cannot_be_removed() {
    let (error, text) = rejected(|delta| {
        delta.classes.remove.insert("read".to_owned());
    });
    assert_eq!(error, DocumentError::ClassInUse { class: "read".to_owned(), prefix: "/g".to_owned() });
    assert!(text.contains("remove that route"), "{text}");
}

#[test]
fn a_class_can_be_removed_together_with_its_routes() {
    let in_force = in_force();
    let mut delta = Delta::new(in_force.base());
    delta.classes.remove.insert("read".to_owned());
    delta.routes.remove.insert("/g".to_owned());
    assert!(delta.apply(&in_force).unwrap().classes.is_empty());
}

#[test]
fn shares_above_the_total_are_rejected_with_their_sum() {
    let more = Tenant { share: TOTAL_SHARE / 2 + 1, requests_per_1000_s: None };
    let (error, _) = rejected(|delta| {
        delta.tenants.set.insert("u".to_owned(), more);
    });
    assert_eq!(error, DocumentError::ShareSumExceeded { sum: u64::from(TOTAL_SHARE) + 1 });
}

#[test]
fn numbers_out_of_bounds_are_rejected_with_key_and_field() {
    let over = Tenant { share: 0, requests_per_1000_s: Some(MAX_REQUESTS_PER_1000_S + 1) };
    let (_, text) = rejected(|delta| {
        delta.tenants.set.insert("u".to_owned(), over);
    });
    assert!(text.starts_with("tenants.u.requests_per_1000_s: 1000000001 is not within 1 and"), "{text}");
    let (_, text) = rejected(|delta| {
        delta.limits.set.insert("l".to_owned(), limit(11));
    });
    assert!(text.starts_with("limits.l.value: 11 is not within 1 and 10"), "{text}");
    let (_, text) = rejected(|delta| {
        delta.classes.set.insert("read".to_owned(), class(0));
    });
    assert!(text.starts_with("classes.read.aim_ms: 0 is not within 1"), "{text}");
}

#[test]
fn invalid_keys_are_rejected() {
    for prefix in ["g", "/a b", "/a?b", &format!("/{}", "x".repeat(MAX_PREFIX_BYTES))] {
        let (error, _) = rejected(|delta| {
            delta.routes.set.insert(prefix.to_owned(), route("guides", "read"));
        });
        assert!(
            matches!(error, DocumentError::InvalidKey { section: Section::Routes, .. }),
            "{prefix}: {error}"
        );
    }
    for name in ["", "a b", "a\n", &"x".repeat(MAX_NAME_BYTES + 1)] {
        let (error, _) = rejected(|delta| {
            delta.tenants.set.insert(name.to_owned(), Tenant::default());
        });
        assert!(
            matches!(error, DocumentError::InvalidKey { section: Section::Tenants, .. }),
            "{name}: {error}"
        );
    }
    let (error, _) = rejected(|delta| {
        delta.routes.set.insert("/x".to_owned(), route("", "read"));
    });
    assert!(matches!(error, DocumentError::InvalidService { .. }), "{error}");
}

#[test]
fn setting_and_removing_a_key_or_removing_a_missing_key_is_rejected() {
    let (error, _) = rejected(|delta| {
        delta.tenants.set.insert("t".to_owned(), Tenant::default());
        delta.tenants.remove.insert("t".to_owned());
    });
    assert_eq!(error, DocumentError::SetAndRemoved { section: Section::Tenants, key: "t".to_owned() });
    let (error, _) = rejected(|delta| {
        delta.tenants.remove.insert("nobody".to_owned());
    });
    assert_eq!(error, DocumentError::NotFound { section: Section::Tenants, key: "nobody".to_owned() });
    assert_eq!(rejected(|_| {}).0, DocumentError::NoChange);
}

#[test]
fn a_duplicate_key_is_rejected() {
    let text = r#"{"tenants": {"t": {"share": 1}, "t": {"share": 2}}}"#;
    let error = serde_json::from_str::<Document>(text).unwrap_err().to_string();
    assert!(error.contains("t occurs twice"), "{error}");
    let base = serde_json::to_string(&in_force().base()).unwrap();
    let text = format!(r#"{{"base": {base}, "tenants": {{"remove": ["t", "t"]}}}}"#);
    let error = serde_json::from_str::<Delta>(&text).unwrap_err().to_string();
    assert!(error.contains("t occurs twice"), "{error}");
}

#[test]
fn an_unknown_field_is_rejected() {
    let text = r#"{"tenants": {"t": {"shares": 1}}}"#;
    assert!(serde_json::from_str::<Document>(text).is_err());
}

#[test]
fn sections_with_too_many_entries_are_rejected() {
    let mut document = large();
    for n in 0..=MAX_TENANTS - common::TENANTS {
        document.tenants.insert(format!("further-{n}"), Tenant::default());
    }
    let error =
        DocumentError::TooMany { section: Section::Tenants, count: MAX_TENANTS + 1, max: MAX_TENANTS };
    assert_eq!(document.validate(), Err(error));
    let mut document = large();
    for n in 0..=MAX_SERVICES - common::SERVICES {
        document.routes.insert(format!("/s{n}"), route(&format!("further-{n}"), "read"));
    }
    assert_eq!(document.validate(), Err(DocumentError::TooManyServices { count: MAX_SERVICES + 1 }));
}
