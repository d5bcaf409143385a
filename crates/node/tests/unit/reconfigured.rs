use super::*;
use crate::body::BufferedBody;
use crate::configuration::{ActiveRevision, Baseline, RevisionId, TenantRef};
use crate::upstream::RequestBody;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use merlinfold_revision::{ClassProperties, Document, Limit, Tenant, Unit};
use merlinfold_settings::PlatformSettings;
use proptest::prelude::*;
use serde_json::{from_value, json};
use tokio::sync::mpsc;

fn driver() -> (Driver, ActiveRevision) {
    let env: PlatformSettings = from_value(json!({
        "Categories": [{"Name": "read", "Aim": 4_000_000_000u64, "GiveUp": 5_000_000_000u64}],
        "Limits": {"ConnIdle": 30_000_000_000u64, "ConnectTimeout": 1_000_000_000, "MaxAttempts": 3}
    }))
    .unwrap();
    let (mut names, clock, limits) = (NameTables::default(), Clock::new(), env.host_limits().unwrap());
    let settings = env.decision_settings(&mut names).unwrap();
    let active = ActiveRevision::new(Baseline::new(&settings, &names, limits.max_open_requests));
    let (sender, _) = mpsc::unbounded_channel();
    let capacity = Capacity::new(256, 32 << 20, false);
    let balancer = Balancer::new(settings, 1);
    (Driver::new(balancer, names, clock, limits, capacity, sender), active)
}

/// A document all parts of which say which one it is: the tenant, and the most requests open at once.
fn document(number: u64) -> Document {
    let mut document = Document::default();
    let tenant = Tenant { share: 0, requests_per_1000_s: Some(number) };
    document.tenants.insert(format!("tenant-{number}"), tenant);
    let limit = Limit { value: number, unit: Unit::Count, least: 1, most: u64::MAX };
    document.limits.insert("open_requests".to_owned(), limit);
    let class = ClassProperties { aim_ms: number as u32, worth: 1_000_000, late_worth: 0 };
    document.classes.insert("read".to_owned(), class);
    document
}

fn configuration(active: &mut ActiveRevision, number: u64) -> Input {
    let id = RevisionId { epoch: 1, number };
    let prepared = active.prepare(id, &document(number).encode()).unwrap();
    let change = Box::new(prepared.change());
    active.commit(prepared);
    Input::Configuration { change, applied: oneshot::channel().0 }
}

fn request(driver: &Driver, id: u64, tenant: &str) -> (Input, oneshot::Receiver<Reply>) {
    let body = RequestBody::Buffered(BufferedBody::small(Bytes::new()));
    let outgoing = UpstreamRequest::new(Method::GET, Uri::from_static("/"), HeaderMap::new(), body);
    let (client, reply) = oneshot::channel();
    let arrival = ClientRequest {
        id: RequestId(id),
        class: 0,
        tenant: Some(TenantRef::Named(tenant.into())),
        key: None,
        cost_hint: None,
        repeat: false,
        client_deadline: driver.clock.now() + 5_000_000_000,
        outgoing: Arc::new(outgoing),
        client,
    };
    (Input::Request(arrival), reply)
}

proptest! {
    /// Guards "all of the old or all of the new": whatever the order in which revisions and requests come in, each
    /// request meets one revision in all of its parts.
    #[test]
    fn a_request_meets_all_of_one_revision(changes in proptest::collection::vec(any::<bool>(), 1..40)) {
        let (mut driver, mut active) = driver();
        let mut number = 0;
        for (n, changes) in changes.into_iter().enumerate() {
            if changes {
                number += 1;
                let input = configuration(&mut active, number);
                driver.handle_input(input);
            } else {
                let (input, _reply) = request(&driver, n as u64, "tenant-1");
                driver.handle_input(input);
            }
            if number == 0 {
                continue;
            }
            let in_force = &driver.in_force;
            prop_assert_eq!(&*in_force.document, &document(number));
            prop_assert_eq!(driver.limits.max_open_requests, number as usize);
            for tenant in 1..=number + 1 {
                let known = in_force.tenant_number(TenantRef::Named(format!("tenant-{tenant}").into()));
                prop_assert_eq!(known.is_some(), tenant == number);
            }
        }
    }
}

/// The same at the edge: one request fits before the revision and not behind it, though both came in together.
#[tokio::test]
async fn a_limit_holds_from_the_revision_on_that_sets_it() {
    let (mut driver, mut active) = driver();
    let (first, _first_reply) = request(&driver, 1, "nobody");
    let (second, _second_reply) = request(&driver, 2, "nobody");
    let (third, mut third_reply) = request(&driver, 3, "nobody");
    driver.handle_input(first);
    driver.handle_input(second);
    let limited = configuration(&mut active, 1);
    driver.handle_input(limited);
    driver.handle_input(third);
    assert!(matches!(third_reply.try_recv(), Ok(Reply::Refused { .. })));
    assert!(driver.requests.contains_key(&RequestId(1)) && driver.requests.contains_key(&RequestId(2)));
}

/// The same of the module: a client's repeat that has no time left of its aim is turned away at once, and the revision
/// makes that aim 1 ms where it was 4 s.
#[tokio::test]
async fn the_module_decides_by_the_figures_of_the_revision() {
    let (mut driver, mut active) = driver();
    let repeat = |driver: &Driver, id| {
        let (input, reply) = request(driver, id, "nobody");
        let Input::Request(arrival) = input else { panic!("it is one") };
        let expires = driver.clock.now() + 3_000_000_000;
        (Input::Request(ClientRequest { repeat: true, client_deadline: expires, ..arrival }), reply)
    };
    let (before, mut before_reply) = repeat(&driver, 1);
    driver.handle_input(before);
    let mut one = document(1);
    one.limits.clear();
    let prepared = active.prepare(RevisionId { epoch: 1, number: 1 }, &one.encode()).unwrap();
    let change = Box::new(prepared.change());
    active.commit(prepared);
    driver.handle_input(Input::Configuration { change, applied: oneshot::channel().0 });
    let (after, mut after_reply) = repeat(&driver, 2);
    driver.handle_input(after);
    assert!(matches!(after_reply.try_recv(), Ok(Reply::Refused { .. })));
    assert!(before_reply.try_recv().is_err(), "it waits, as it came under the aim of 4 s");
}

#[test]
fn the_driver_says_when_it_has_taken_a_revision() {
    let (mut driver, mut active) = driver();
    let Input::Configuration { change, .. } = configuration(&mut active, 1) else { panic!("it is one") };
    let (taken, mut is_taken) = oneshot::channel();
    assert!(is_taken.try_recv().is_err());
    driver.handle_input(Input::Configuration { change, applied: taken });
    assert!(is_taken.try_recv().is_ok());
}
