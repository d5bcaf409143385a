use super::*;
use crate::body::BufferedBody;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use merlinfold_settings::PlatformSettings;
use serde_json::{from_value, json};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

fn driver() -> (Driver, UnboundedReceiver<Input>) {
    let env: PlatformSettings = from_value(json!({
        "Categories": [{"Name": "read", "Aim": 4_000_000_000u64, "GiveUp": 5_000_000_000u64}],
        "Limits": {"ConnIdle": 30_000_000_000u64, "ConnectTimeout": 1_000_000_000, "MaxAttempts": 1}
    }))
    .unwrap();
    let (mut names, clock, limits) = (NameTables::default(), Clock::new(), env.host_limits().unwrap());
    let balancer = Balancer::new(env.decision_settings(&mut names).unwrap(), 1);
    let (sender, inputs) = mpsc::unbounded_channel();
    let capacity = Capacity::new(256, 32 << 20, false);
    (Driver::new(balancer, names, clock, limits, capacity, sender), inputs)
}

fn list(name: &str, address: SocketAddr, since_ms: u64) -> ServerList {
    let line = json!({"name": name, "address": address, "status": "in_service", "since_ms": since_ms});
    from_value(json!({"index": 1, "snapshot": true, "endpoints": [line]})).unwrap()
}

/// Guards the ramp-up of cold servers: discovery reports start times in Unix time, which the module's clock uses too.
#[test]
fn start_time_is_converted_to_the_module_clock_and_0_stays_0() {
    let (mut driver, _inputs) = driver();
    let at = "127.0.0.1:1".parse().unwrap();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let now = driver.clock.now();
    let since = driver.server_entry(&list("s", at, unix - 2_000).endpoints[0], now, None).started_at;
    let age = driver.clock.now() - since;
    assert!((1_999_000_000..60_000_000_000).contains(&age), "{age} ns old, expected 2 s");
    assert_eq!(driver.server_entry(&list("s", at, 0).endpoints[0], now, None).started_at, 0);
}

/// Guards drains: the decision on a request uses a list that arrived in the same batch, even if the request came first.
#[tokio::test]
async fn a_list_is_applied_before_requests_of_the_same_batch() {
    let (old, new) =
        (TcpListener::bind("127.0.0.1:0").await.unwrap(), TcpListener::bind("127.0.0.1:0").await.unwrap());
    let (mut driver, inputs) = driver();
    driver.load_known_list(list("old", old.local_addr().unwrap(), 0), false);
    let upstream_request = UpstreamRequest::new(
        Method::GET,
        Uri::from_static("/"),
        HeaderMap::new(),
        BufferedBody::small(Bytes::new()).into(),
    );
    let (client, _reply) = oneshot::channel();
    let expires = driver.clock.now() + 5_000_000_000;
    let request = ClientRequest {
        id: RequestId(1),
        class: 0,
        tenant: None,
        key: None,
        cost_hint: None,
        repeat: false,
        client_deadline: expires,
        upstream_request: Arc::new(upstream_request),
        client,
    };
    let sender = driver.sender();
    assert!(sender.send(Input::Request(request)).is_ok());
    assert!(sender.send(Input::List(list("new", new.local_addr().unwrap(), 0))).is_ok());
    let running = tokio::spawn(driver.run(inputs));
    tokio::select! {
        _ = new.accept() => {}
        _ = old.accept() => panic!("the request went to the server that is no longer in the list"),
        () = tokio::time::sleep(Duration::from_secs(10)) => panic!("no attempt was made"),
    }
    running.abort();
}

/// Guards the ramp-up of servers: a start in the first answer of discovery may be long before the start of this node,
/// while a start that an earlier answer did not contain is bounded by the time of that answer.
#[test]
fn start_time_is_bounded_only_by_an_earlier_answer_without_it() {
    let (mut driver, _inputs) = driver();
    let at = "127.0.0.1:1".parse().unwrap();
    let hour_ago = (driver.clock.now() / MILLISECOND) - 3_600_000;
    let partial = |name, since| ServerList { snapshot: false, ..list(name, at, since) };
    driver.load_known_list(list("known", at, 0), false);
    driver.apply_list(ListKind::Partial, partial("first", hour_ago));
    assert_eq!(driver.start_times.local_start(1, hour_ago * MILLISECOND, 0, None), hour_ago * MILLISECOND);
    let received_at = driver.list_received_at.expect("discovery has answered");
    driver.apply_list(ListKind::Partial, partial("second", hour_ago));
    assert_eq!(driver.start_times.local_start(2, hour_ago * MILLISECOND, 0, None), received_at);
}
