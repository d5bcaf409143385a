use super::connection::MAX_BUFFER_BYTES;
use super::*;
use crate::lifecycle::Lifecycle;
use merlinfold_decide::interface::{Class, Idempotency, Placement};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// What a peer gets that sends this and then nothing more, and after which time the connection ends.
async fn sent(text: &str) -> (String, Duration) {
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
    let (_close, closing) = watch::channel(false);
    let slot = front.capacity.clients.acquire().await;
    let (mut peer, stream) = tokio::io::duplex(1 << 20);
    let begun = Instant::now();
    let serving = front.clone();
    let connection = tokio::spawn(async move {
        serving.serve_connection(stream, None, closing).await;
        drop(slot);
    });
    peer.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let _ = peer.read_to_string(&mut answer).await;
    connection.await.unwrap();
    assert_eq!(front.capacity.clients.in_use(), 0, "the slot is free again");
    (answer, begun.elapsed())
}

/// Guards clients' slots: a peer that sends no proper request holds one for less than 3 s.
#[tokio::test(start_paused = true)]
async fn who_sends_no_proper_request_gets_an_error_or_a_close_within_3_s() {
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
        let (got, after) = sent(&text).await;
        let shown = &text[..text.len().min(100)];
        assert!(after < Duration::from_secs(3), "{shown:?} held its slot for {after:?}");
        assert!(got.starts_with(answer), "{shown:?} got {got:?}");
    }
}

#[test]
fn only_what_a_hold_up_kept_waiting_counts_from_its_beginning() {
    let ms = |n: u64| n * 1_000_000;
    let stalls = StallDetector::new(ms(1_000));
    stalls.heartbeat(ms(1_010));
    assert_eq!(stalls.arrival(ms(1_015)), ms(1_015));
    assert_eq!(stalls.arrival(ms(1_200)), ms(1_010), "found before the next beat");
    stalls.heartbeat(ms(1_200));
    assert_eq!(stalls.arrival(ms(1_201)), ms(1_010), "found after it");
    assert_eq!(stalls.arrival(ms(1_205)), ms(1_205), "the hold-up is over");
}
