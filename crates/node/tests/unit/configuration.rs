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
fn a_document_lays_over_what_the_node_was_started_with() {
    let (baseline, started) = baseline();
    let mut active = ActiveRevision::new(baseline);
    let prepared = active.prepare(id(1, 1), &document().encode()).unwrap();
    let change = prepared.change();
    assert_eq!(change.open_requests, 50);
    assert_eq!(
        (change.figures.max_attempts, change.figures.over_quota_value_share),
        (2, started.over_quota_value_share)
    );
    let class = change.figures.classes[0];
    assert_eq!((class.target_latency, class.value, class.late_value_share), (250_000_000, 0.5, 0.1));
    assert_eq!(
        change.figures.classes[1],
        started.dynamic_settings().classes[1],
        "not named, so as at the start"
    );
    let quotas: Vec<f64> = change.figures.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
    assert_eq!(quotas, [7.0, 5.0]);
    active.commit(prepared);
    assert_eq!(active.id(), id(1, 1));

    let emptied = active.prepare(id(1, 2), &Document::default().encode()).unwrap().change();
    assert_eq!(*emptied.figures.classes, started.dynamic_settings().classes);
    assert_eq!((emptied.figures.max_attempts, emptied.open_requests), (3, 100));
}

#[test]
fn a_share_is_of_what_the_fleet_takes_and_the_lesser_limit_holds() {
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

/// Guards the order: a copy that is late, or an older one from a disk, changes nothing.
#[test]
fn a_revision_that_is_not_later_is_never_taken() {
    let mut active = ActiveRevision::new(baseline().0);
    active.commit(active.prepare(id(2, 5), &document().encode()).unwrap());
    for earlier in [id(2, 5), id(2, 4), id(1, 9)] {
        let refusal = active.prepare(earlier, &Document::default().encode()).unwrap_err();
        assert_eq!(refusal, RevisionError::NotLater { offered: earlier, in_force: id(2, 5) });
    }
    assert!(active.prepare(id(3, 1), &Document::default().encode()).is_ok());
    active.accept_any_revision();
    assert_eq!(*active.revision().document, document(), "it serves on");
    assert!(active.prepare(id(1, 9), &Document::default().encode()).is_ok());
}

/// Guards numbers: learned state stands under them, so a name never gets the number of another.
#[test]
fn a_tenant_that_comes_back_has_its_number_again_and_no_other_gets_it() {
    let mut active = ActiveRevision::new(baseline().0);
    let mut seen = Vec::new();
    for (number, names) in [(1, &["b"][..]), (2, &["c"]), (3, &["a", "b"])] {
        let tenants = names.iter().map(|name| ((*name).to_owned(), tenant(1_000))).collect();
        let document = Document { tenants, ..Document::default() };
        let prepared = active.prepare(id(1, number), &document.encode()).unwrap();
        let in_force = prepared.change().in_force;
        seen.push(["a", "b", "c"].map(|name| in_force.tenant_number(TenantRef::Named(name.into()))));
        active.commit(prepared);
    }
    assert_eq!(seen, [[None, Some(1), None], [None, None, Some(2)], [Some(3), Some(1), None]]);
}

#[test]
fn what_this_node_cannot_apply_is_refused_by_name_and_the_one_before_stays() {
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
    for (says, alter) in cases {
        let mut altered = document();
        alter(&mut altered);
        let refusal = active.prepare(id(1, 2), &altered.encode()).unwrap_err();
        assert!(refusal.to_string().starts_with(says), "{refusal}");
        assert_eq!((active.id(), &*active.revision().document), (id(1, 1), &document()));
    }
}

fn applier() -> (Arc<Applier>, mpsc::UnboundedReceiver<Input>) {
    let (inputs, taken) = mpsc::unbounded_channel();
    (Arc::new(Applier::new(baseline().0, deliver_changes(inputs))), taken)
}

/// Guards "applied": silence of the driver must not be read as a yes.
#[tokio::test]
async fn a_revision_counts_as_in_force_when_the_driver_has_taken_it_and_no_sooner() {
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
    let shown = applier.status();
    assert_eq!((shown.revision, shown.epoch, shown.digest), (1, 1, document().digest()));
    assert_eq!((shown.earliest_held, shown.refused), (Some(0), None));
}

#[tokio::test]
async fn a_driver_that_is_gone_is_no_yes() {
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
fn a_refused_revision_is_shown_by_number_and_reason() {
    let (applier, _inputs) = applier();
    let mut document = document();
    document.limits.insert("speed".to_owned(), limit(Unit::Count, 1));
    assert!(matches!(applier.apply(id(1, 1), &document.encode()), Err(ApplyError::Refused(_))));
    let shown = applier.status();
    let refused = shown.refused.expect("it is named");
    assert_eq!((shown.revision, refused.revision, refused.epoch), (0, 1, 1));
    assert!(refused.fault.starts_with("limits.speed"), "{}", refused.fault);
    assert!(applier.apply(id(1, 2), &[0; 9]).is_err());
}

#[test]
fn deltas_are_composed_in_order_from_nothing() {
    let empty = Revision::default();
    let first = Delta::between(&empty, &document());
    let one = Revision::new(1, document());
    let mut emptied = Delta::new(one.base());
    emptied.tenants.remove.insert("second".to_owned());
    let two = emptied.apply(&one).unwrap();
    let deltas = [(1, first.encode()), (2, emptied.encode())];
    let given = || deltas.iter().map(|(number, bytes)| (*number, &bytes[..]));
    assert_eq!(Applier::compose(&[], 0, given()).unwrap(), two.encode());
    let fault = Applier::compose(&[], 0, given().skip(1)).unwrap_err();
    assert!(matches!(fault, ApplyError::Delta(_)), "{fault}");
}

/// Guards a node from yesterday: what its disk held is not of this log, and what the log has must come into force.
#[test]
fn a_lower_revision_follows_one_that_was_set_aside_and_nothing_else() {
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
    assert_eq!(applier.status().revision, 9, "it serves on");
    apply(id(2, 3), Document::default(), &mut inputs).unwrap();
    assert!(matches!(apply(id(2, 2), document(), &mut inputs), Err(ApplyError::Refused(_))));
}
