//! What is refused, and that it is named.

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

/// What a delta is refused for, and its text.
fn refused(change: impl FnOnce(&mut Delta)) -> (DocumentError, String) {
    let in_force = in_force();
    let mut delta = Delta::new(in_force.base());
    change(&mut delta);
    let fault = delta.apply(&in_force).unwrap_err();
    let text = fault.to_string();
    (fault, text)
}

#[test]
fn the_second_of_two_publishers_is_told_of_the_first() {
    let (fault, text) = refused(|delta| delta.base.revision = 2);
    assert_eq!(fault, DocumentError::Conflict { base: 2, in_force: 3 });
    assert!(text.contains("read it again"), "{text}");
    let (fault, _) = refused(|delta| delta.base.digest = Document::default().digest());
    assert_eq!(fault, DocumentError::DigestMismatch { base: 3 });
}

#[test]
fn a_route_to_a_class_that_does_not_exist_is_refused() {
    let (fault, text) = refused(|delta| {
        delta.routes.set.insert("/x".to_owned(), route("guides", "nothing"));
    });
    assert_eq!(fault, DocumentError::UnknownClass { prefix: "/x".to_owned(), class: "nothing".to_owned() });
    assert!(text.starts_with("routes./x.class"), "{text}");
}

#[test]
fn a_class_that_a_route_uses_cannot_be_removed() {
    let (fault, text) = refused(|delta| {
        delta.classes.remove.insert("read".to_owned());
    });
    assert_eq!(fault, DocumentError::ClassInUse { class: "read".to_owned(), prefix: "/g".to_owned() });
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
fn shares_beyond_the_whole_are_refused_with_their_sum() {
    let more = Tenant { share: TOTAL_SHARE / 2 + 1, requests_per_1000_s: None };
    let (fault, _) = refused(|delta| {
        delta.tenants.set.insert("u".to_owned(), more);
    });
    assert_eq!(fault, DocumentError::ShareSumExceeded { sum: u64::from(TOTAL_SHARE) + 1 });
}

#[test]
fn numbers_out_of_their_bounds_are_refused_by_key_and_field() {
    let over = Tenant { share: 0, requests_per_1000_s: Some(MAX_REQUESTS_PER_1000_S + 1) };
    let (_, text) = refused(|delta| {
        delta.tenants.set.insert("u".to_owned(), over);
    });
    assert!(text.starts_with("tenants.u.requests_per_1000_s: 1000000001 is not within 1 and"), "{text}");
    let (_, text) = refused(|delta| {
        delta.limits.set.insert("l".to_owned(), limit(11));
    });
    assert!(text.starts_with("limits.l.value: 11 is not within 1 and 10"), "{text}");
    let (_, text) = refused(|delta| {
        delta.classes.set.insert("read".to_owned(), class(0));
    });
    assert!(text.starts_with("classes.read.aim_ms: 0 is not within 1"), "{text}");
}

#[test]
fn keys_are_refused_that_no_entry_can_have() {
    for prefix in ["g", "/a b", "/a?b", &format!("/{}", "x".repeat(MAX_PREFIX_BYTES))] {
        let (fault, _) = refused(|delta| {
            delta.routes.set.insert(prefix.to_owned(), route("guides", "read"));
        });
        assert!(
            matches!(fault, DocumentError::InvalidKey { section: Section::Routes, .. }),
            "{prefix}: {fault}"
        );
    }
    for name in ["", "a b", "a\n", &"x".repeat(MAX_NAME_BYTES + 1)] {
        let (fault, _) = refused(|delta| {
            delta.tenants.set.insert(name.to_owned(), Tenant::default());
        });
        assert!(
            matches!(fault, DocumentError::InvalidKey { section: Section::Tenants, .. }),
            "{name}: {fault}"
        );
    }
    let (fault, _) = refused(|delta| {
        delta.routes.set.insert("/x".to_owned(), route("", "read"));
    });
    assert!(matches!(fault, DocumentError::InvalidService { .. }), "{fault}");
}

#[test]
fn a_key_is_set_or_removed_and_removed_only_where_it_stands() {
    let (fault, _) = refused(|delta| {
        delta.tenants.set.insert("t".to_owned(), Tenant::default());
        delta.tenants.remove.insert("t".to_owned());
    });
    assert_eq!(fault, DocumentError::SetAndRemoved { section: Section::Tenants, key: "t".to_owned() });
    let (fault, _) = refused(|delta| {
        delta.tenants.remove.insert("nobody".to_owned());
    });
    assert_eq!(fault, DocumentError::NotFound { section: Section::Tenants, key: "nobody".to_owned() });
    assert_eq!(refused(|_| {}).0, DocumentError::NoChange);
}

#[test]
fn a_key_that_stands_twice_is_refused() {
    let text = r#"{"tenants": {"t": {"share": 1}, "t": {"share": 2}}}"#;
    let fault = serde_json::from_str::<Document>(text).unwrap_err().to_string();
    assert!(fault.contains("t stands there twice"), "{fault}");
    let base = serde_json::to_string(&in_force().base()).unwrap();
    let text = format!(r#"{{"base": {base}, "tenants": {{"remove": ["t", "t"]}}}}"#);
    let fault = serde_json::from_str::<Delta>(&text).unwrap_err().to_string();
    assert!(fault.contains("t stands there twice"), "{fault}");
}

#[test]
fn a_misspelt_field_is_refused() {
    let text = r#"{"tenants": {"t": {"shares": 1}}}"#;
    assert!(serde_json::from_str::<Document>(text).is_err());
}

#[test]
fn sections_are_bounded() {
    let mut document = large();
    for n in 0..=MAX_TENANTS - common::TENANTS {
        document.tenants.insert(format!("further-{n}"), Tenant::default());
    }
    let fault =
        DocumentError::TooMany { section: Section::Tenants, count: MAX_TENANTS + 1, max: MAX_TENANTS };
    assert_eq!(document.validate(), Err(fault));
    let mut document = large();
    for n in 0..=MAX_SERVICES - common::SERVICES {
        document.routes.insert(format!("/s{n}"), route(&format!("further-{n}"), "read"));
    }
    assert_eq!(document.validate(), Err(DocumentError::TooManyServices { count: MAX_SERVICES + 1 }));
}
