//! Tests of the versioned configuration.

use super::*;
use std::sync::Arc;

use merlinfold_decide::interface::Settings;
use merlinfold_revision::{ClassProperties, Delta, Document, Limit, Revision, Route, Tenant, Unit};
use merlinfold_settings::{NameTables, PlatformSettings};
use serde_json::{from_value, json};
use tokio::sync::mpsc;

use crate::input::{deliver_changes, Input};

fn baseline() -> (Baseline, Settings) {
    let env: PlatformSettings = from_value(json!({
        "Categories": [
            {"Name": "read", "Aim": 400_000_000u64, "GiveUp": 1_000_000_000u64, "Worth": 2.0},
            {"Name": "write", "Aim": 900_000_000u64, "GiveUp": 5_000_000_000u64}
        ],
        "Tenants": [{"Name": "first", "QuotaPerS": 7.0}],
        "Limits": {"MaxAttempts": 3},
    }))
    .unwrap();
    let mut names = NameTables::default();
    let settings = env.decision_settings(&mut names).unwrap();
    (Baseline::new(&settings, &names, 100), settings)
}

fn limit(unit: Unit, value: u64) -> Limit {
    Limit { value, unit, least: 0, most: u64::MAX }
}

fn tenant(requests_per_1000_s: u64) -> Tenant {
    Tenant { share: 0, requests_per_1000_s: Some(requests_per_1000_s) }
}

fn document() -> Document {
    let mut document = Document::default();
    document
        .classes
        .insert("read".to_owned(), ClassProperties { aim_ms: 250, worth: 500_000, late_worth: 100_000 });
    document.tenants.insert("second".to_owned(), tenant(5_000));
    document.limits.insert("max_attempts".to_owned(), limit(Unit::Count, 2));
    document.limits.insert("open_requests".to_owned(), limit(Unit::Count, 50));
    document
}

fn id(epoch: u64, number: u64) -> RevisionId {
    RevisionId { epoch, number }
}

#[test]
fn a_document_overrides_the_settings_that_it_names() {
    let (baseline, initial) = baseline();
    let mut active = ActiveRevision::new(baseline);
    let prepared = active.prepare(id(1, 1), &document().encode()).unwrap();
    let change = prepared.change();
    assert_eq!(change.open_requests, 50);
    assert_eq!(
        (change.figures.max_attempts, change.figures.over_quota_value_share),
        (2, initial.over_quota_value_share)
    );
    let class = change.figures.classes[0];
    assert_eq!((class.target_latency, class.value, class.late_value_share), (250_000_000, 0.5, 0.1));
    assert_eq!(
        change.figures.classes[1],
        initial.dynamic_settings().classes[1],
        "a class that the document does not name is as at the start"
    );
    let quotas: Vec<f64> = change.figures.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
    assert_eq!(quotas, [7.0, 5.0]);
    active.commit(prepared);
    assert_eq!(active.id(), id(1, 1));

    let without_overrides = active.prepare(id(1, 2), &Document::default().encode()).unwrap().change();
    assert_eq!(*without_overrides.figures.classes, initial.dynamic_settings().classes);
    assert_eq!((without_overrides.figures.max_attempts, without_overrides.open_requests), (3, 100));
}

#[test]
fn a_quota_is_the_smaller_of_the_own_limit_and_the_share_of_the_fleet_limit() {
    let mut document = document();
    document.limits.insert("fleet_requests".to_owned(), limit(Unit::RequestsPer1000S, 1_000_000));
    document.tenants.insert("first".to_owned(), Tenant { share: 250_000_000, requests_per_1000_s: None });
    document
        .tenants
        .insert("second".to_owned(), Tenant { share: 250_000_000, requests_per_1000_s: Some(9_000) });
    let active = ActiveRevision::new(baseline().0);
    let change = active.prepare(id(1, 1), &document.encode()).unwrap().change();
    let quotas: Vec<f64> = change.figures.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
    assert_eq!(quotas, [250.0, 9.0]);
}

/// Guards against a return to an earlier revision, which a late message or an old copy on a disk may bring.
#[test]
fn a_revision_that_is_not_later_is_refused() {
    let mut active = ActiveRevision::new(baseline().0);
    active.commit(active.prepare(id(2, 5), &document().encode()).unwrap());
    for earlier in [id(2, 5), id(2, 4), id(1, 9)] {
        let error = active.prepare(earlier, &Document::default().encode()).unwrap_err();
        assert_eq!(error, RevisionError::NotLater { offered: earlier, in_force: id(2, 5) });
    }
    assert!(active.prepare(id(3, 1), &Document::default().encode()).is_ok());
    active.accept_any_revision();
    assert_eq!(*active.revision().document, document(), "it stays in force");
    assert!(active.prepare(id(1, 9), &Document::default().encode()).is_ok());
}

/// Guards against mixed-up tenants: learned state is stored by number, so a number must never pass to another name.
#[test]
fn a_tenant_that_is_added_again_has_its_old_number() {
    let mut active = ActiveRevision::new(baseline().0);
    let mut numbers = Vec::new();
    for (number, names) in [(1, &["b"][..]), (2, &["c"]), (3, &["a", "b"])] {
        let tenants = names.iter().map(|name| ((*name).to_owned(), tenant(1_000))).collect();
        let document = Document { tenants, ..Document::default() };
        let prepared = active.prepare(id(1, number), &document.encode()).unwrap();
        let in_force = prepared.change().in_force;
        numbers.push(["a", "b", "c"].map(|name| in_force.tenant_number(TenantRef::Named(name.into()))));
        active.commit(prepared);
    }
    assert_eq!(numbers, [[None, Some(1), None], [None, None, Some(2)], [Some(3), Some(1), None]]);
}

#[test]
fn a_document_that_cannot_be_applied_is_refused_by_key_and_the_one_before_stays() {
    let mut active = ActiveRevision::new(baseline().0);
    active.commit(active.prepare(id(1, 1), &document().encode()).unwrap());
    let route = Route { service: "guides".to_owned(), class: "read".to_owned() };
    let class = |aim_ms| ClassProperties { aim_ms, worth: 1, late_worth: 0 };
    type Alter = Box<dyn Fn(&mut Document)>;
    let cases: Vec<(&str, Alter)> = vec![
        (
            "routes./g: this version applies no routes",
            Box::new(move |document| {
                document.routes.insert("/g".to_owned(), route.clone());
            }),
        ),
        (
            "classes.other: this node was started without it",
            Box::new(move |document| {
                document.classes.insert("other".to_owned(), class(1));
            }),
        ),
        (
            "classes.read.aim_ms: 1001, but clients wait for 1000",
            Box::new(move |document| {
                document.classes.insert("read".to_owned(), class(1_001));
            }),
        ),
        (
            "limits.speed: this version applies max_attempts",
            Box::new(|document| {
                document.limits.insert("speed".to_owned(), limit(Unit::Count, 1));
            }),
        ),
        (
            "limits.max_attempts.unit: milliseconds, but it is counted in count",
            Box::new(|document| {
                document.limits.insert("max_attempts".to_owned(), limit(Unit::Milliseconds, 1));
            }),
        ),
        (
            "limits.max_attempts.value: 4 is not within 1 and 3",
            Box::new(|document| {
                document.limits.insert("max_attempts".to_owned(), limit(Unit::Count, 4));
            }),
        ),
        (
            "limits.open_requests.value: 0 is not within 1 and 100",
            Box::new(|document| {
                document.limits.insert("open_requests".to_owned(), limit(Unit::Count, 0));
            }),
        ),
        (
            "tenants.third.share: there is no limit fleet_requests",
            Box::new(|document| {
                document.tenants.insert("third".to_owned(), Tenant { share: 1, requests_per_1000_s: None });
            }),
        ),
    ];
    for (expected, alter) in cases {
        let mut altered = document();
        alter(&mut altered);
        let error = active.prepare(id(1, 2), &altered.encode()).unwrap_err();
        assert!(error.to_string().starts_with(expected), "{error}");
        assert_eq!((active.id(), &*active.revision().document), (id(1, 1), &document()));
    }
}

fn applier() -> (Arc<Applier>, mpsc::UnboundedReceiver<Input>) {
    let (sender, inputs) = mpsc::unbounded_channel();
    (Arc::new(Applier::new(baseline().0, deliver_changes(sender))), inputs)
}

/// Guards against a revision that counts as applied before the driver has confirmed it.
#[tokio::test]
async fn a_revision_is_in_force_only_once_the_driver_has_confirmed_it() {
    let (applier, mut inputs) = applier();
    let applying = {
        let applier = applier.clone();
        tokio::task::spawn_blocking(move || applier.apply(id(1, 1), &document().encode()))
    };
    let Some(Input::Configuration { change, applied }) = inputs.recv().await else { panic!("no change") };
    assert_eq!(change.open_requests, 50);
    assert_eq!(applier.status().revision, 0);
    applied.send(()).unwrap();
    applying.await.unwrap().unwrap();
    let status = applier.status();
    assert_eq!((status.revision, status.epoch, status.digest), (1, 1, document().digest()));
    assert_eq!((status.earliest_held, status.refused), (Some(0), None));
}

#[tokio::test]
async fn a_revision_fails_if_the_driver_ends_before_it_confirms() {
    let (applier, mut inputs) = applier();
    let applying = {
        let applier = applier.clone();
        tokio::task::spawn_blocking(move || applier.apply(id(1, 1), &document().encode()))
    };
    drop(inputs.recv().await);
    assert_eq!(applying.await.unwrap(), Err(ApplyError::Ended));
    assert_eq!(applier.status().revision, 0);
}

#[test]
fn the_status_has_a_refused_revision_with_its_number_and_reason() {
    let (applier, _inputs) = applier();
    let mut document = document();
    document.limits.insert("speed".to_owned(), limit(Unit::Count, 1));
    assert!(matches!(applier.apply(id(1, 1), &document.encode()), Err(ApplyError::Refused(_))));
    let status = applier.status();
    let refused = status.refused.expect("the refused revision is in the status");
    assert_eq!((status.revision, refused.revision, refused.epoch), (0, 1, 1));
    assert!(refused.fault.starts_with("limits.speed"), "{}", refused.fault);
    assert!(applier.apply(id(1, 2), &[0; 9]).is_err());
}

#[test]
fn deltas_are_applied_in_order_to_the_empty_document() {
    let empty = Revision::default();
    let first = Delta::between(&empty, &document());
    let one = Revision::new(1, document());
    let mut removal = Delta::new(one.base());
    removal.tenants.remove.insert("second".to_owned());
    let two = removal.apply(&one).unwrap();
    let deltas = [(1, first.encode()), (2, removal.encode())];
    let encoded = || deltas.iter().map(|(number, bytes)| (*number, &bytes[..]));
    assert_eq!(Applier::compose(&[], 0, encoded()).unwrap(), two.encode());
    let error = Applier::compose(&[], 0, encoded().skip(1)).unwrap_err();
    assert!(matches!(error, ApplyError::Delta(_)), "{error}");
}

/// Guards against a node that keeps a revision of another log, such as that of an old disk: the revision in this log
/// must come into force although it is an earlier one.
#[test]
fn an_earlier_revision_may_follow_once_after_any_is_accepted() {
    let (applier, mut inputs) = applier();
    let apply = |id: RevisionId, document: Document, inputs: &mut mpsc::UnboundedReceiver<Input>| {
        let applying = {
            let applier = applier.clone();
            std::thread::spawn(move || applier.apply(id, &document.encode()))
        };
        while !applying.is_finished() {
            if let Ok(Input::Configuration { applied, .. }) = inputs.try_recv() {
                applied.send(()).unwrap();
            }
            std::thread::yield_now();
        }
        applying.join().unwrap()
    };
    apply(id(2, 9), document(), &mut inputs).unwrap();
    assert!(matches!(apply(id(2, 3), Document::default(), &mut inputs), Err(ApplyError::Refused(_))));
    applier.accept_any_revision();
    assert_eq!(applier.status().revision, 9, "it stays in force");
    apply(id(2, 3), Document::default(), &mut inputs).unwrap();
    assert!(matches!(apply(id(2, 2), document(), &mut inputs), Err(ApplyError::Refused(_))));
}
