use super::*;
use crate::body::BufferedBody;
use crate::configuration::{ActiveRevision, Baseline, RevisionId, TenantRef};
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

/// Returns a document whose number shows in each part: the tenant, the limit on open requests, and the aim of the
/// class.
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

/// Makes the document with this number the active revision, and returns the input for the driver.
fn configuration(active: &mut ActiveRevision, number: u64) -> Input {
    let id = RevisionId { epoch: 1, number };
    let prepared = active.prepare(id, &document(number).encode()).unwrap();
    let change = Box::new(prepared.change());
    active.commit(prepared);
    Input::Configuration { change, applied: oneshot::channel().0 }
}

/// Returns the input for a request of a tenant, and the receiver of its reply.
fn request(driver: &Driver, id: u64, tenant: &str) -> (Input, oneshot::Receiver<Reply>) {
    let body = BufferedBody::small(Bytes::new()).into();
    let upstream_request = UpstreamRequest::new(Method::GET, Uri::from_static("/"), HeaderMap::new(), body);
    let (client, reply) = oneshot::channel();
    let arrival = ClientRequest {
        id: RequestId(id),
        class: 0,
        tenant: Some(TenantRef::Named(tenant.into())),
        key: None,
        cost_hint: None,
        repeat: false,
        client_deadline: driver.clock.now() + 5_000_000_000,
        upstream_request: Arc::new(upstream_request),
        client,
    };
    (Input::Request(arrival), reply)
}

proptest! {
    /// Guards the atomicity of revisions: in any order of revisions and requests, each request sees all parts of one
    /// revision.
    #[test]
    fn a_request_sees_all_parts_of_exactly_one_revision(
        changes in proptest::collection::vec(any::<bool>(), 1..40)
    ) {
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

/// Guards the atomicity of revisions for the limit on open requests: two requests before the revision are accepted, and
/// one after it is refused.
#[tokio::test]
async fn a_limit_applies_to_requests_after_its_revision() {
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

/// Guards the atomicity of revisions in the module: a client's repeat with no time left of its aim is refused at once.
/// The revision reduces the aim from 4 s to 1 ms.
#[tokio::test]
async fn the_module_uses_the_class_aim_of_the_revision() {
    let (mut driver, mut active) = driver();
    let repeat = |driver: &Driver, id| {
        let (input, reply) = request(driver, id, "nobody");
        let Input::Request(arrival) = input else { panic!("expected a request") };
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
    assert!(before_reply.try_recv().is_err(), "the request before the revision waits, under its aim of 4 s");
}

#[test]
fn the_driver_confirms_an_applied_revision() {
    let (mut driver, mut active) = driver();
    let Input::Configuration { change, .. } = configuration(&mut active, 1) else {
        panic!("expected a configuration")
    };
    let (applied, mut is_applied) = oneshot::channel();
    assert!(is_applied.try_recv().is_err());
    driver.handle_input(Input::Configuration { change, applied });
    assert!(is_applied.try_recv().is_ok());
}
