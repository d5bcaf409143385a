use super::connection::MAX_BUFFER_BYTES;
use super::*;
use crate::lifecycle::Lifecycle;
use merlinfold_decide::interface::{Class, Idempotency, Placement};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Sends `text` and nothing more on a new connection. Returns the response and the time after which the connection
/// ended.
async fn send_incomplete(text: &str) -> (String, Duration) {
    let (inputs, _held) = tokio::sync::mpsc::unbounded_channel();
    let mut names = NameTables::default();
    names.classes.intern("read");
    let class = Class {
        target_latency: 4_000_000_000,
        deadline: 5_000_000_000,
        value: 1.0,
        late_value_share: 0.0,
        idempotency: Idempotency::Idempotent,
        placement: Placement::default(),
    };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let (_posture, posture) = watch::channel(Lifecycle::new(5_000_000_000).serving_state());
    let front = Arc::new(Front::new(
        &settings,
        &names,
        Clock::new(),
        inputs,
        Capacity::new(256, 1 << 20, false),
        posture,
    ));
    let (_close, close_requested) = watch::channel(false);
    let slot = front.capacity.clients.acquire().await;
    let (mut peer, stream) = tokio::io::duplex(1 << 20);
    let started = Instant::now();
    let serving = front.clone();
    let connection = tokio::spawn(async move {
        serving
            .serve_connection(stream, None, Instant::now(), close_requested, &AtomicBool::new(false))
            .await;
        drop(slot);
    });
    peer.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let _ = peer.read_to_string(&mut answer).await;
    connection.await.unwrap();
    assert_eq!(front.capacity.clients.in_use(), 0, "the slot is released");
    (answer, started.elapsed())
}

/// Guards the client slots: a peer that sends no valid request occupies a slot for less than 3 s.
#[tokio::test(start_paused = true)]
async fn an_invalid_or_incomplete_request_gets_an_error_or_a_close_within_3_s() {
    let head = "POST /read HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f03aa5c7e2d41\r\n";
    let cases = [
        (String::new(), ""),
        ("POST /re".to_owned(), ""),
        (head.to_owned(), ""),
        (format!("{head}Content-Length: 5\r\n\r\npin"), "HTTP/1.1 408"),
        ("GET /read HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(), "HTTP/1.1 400"),
        ("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(), "HTTP/1.1 404"),
        (format!("{head}X-Fill: {}", "x".repeat(2 * MAX_BUFFER_BYTES)), "HTTP/1.1 431"),
    ];
    for (text, answer) in cases {
        let (response, after) = send_incomplete(&text).await;
        let shown = &text[..text.len().min(100)];
        assert!(after < Duration::from_secs(3), "{shown:?} occupied its slot for {after:?}");
        assert!(response.starts_with(answer), "{shown:?} got {response:?}");
    }
}

#[test]
fn only_requests_delayed_by_a_stall_count_from_its_beginning() {
    let ms = |n: u64| n * 1_000_000;
    let stalls = StallDetector::new(ms(1_000));
    stalls.heartbeat(ms(1_010));
    assert_eq!(stalls.arrival(ms(1_015)), ms(1_015));
    assert_eq!(stalls.arrival(ms(1_200)), ms(1_010), "read before the next heartbeat");
    stalls.heartbeat(ms(1_200));
    assert_eq!(stalls.arrival(ms(1_201)), ms(1_010), "read just after that heartbeat");
    assert_eq!(stalls.arrival(ms(1_205)), ms(1_205), "the stall is over");
}
