//! Drawn schedules over one connection: pieces of a request, closes, answers, breaks, news and a stop in any order, each
//! as soon as the one before is done by its own side. The laws hold whatever the node makes of the order.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use common::*;
use proptest::prelude::*;
use serde_json::json;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// The next quarter of the request.
    Piece,
    /// Bytes behind it, as of a further one.
    Behind,
    /// The client closes.
    Leave,
    /// The server answers all that it holds and will hold.
    Answer,
    /// It breaks the connection instead.
    Break,
    /// The list says that it drains; the node has heard it when the step ends.
    Drain,
    /// SIGTERM, as the node's host hears it.
    Stop,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => Just(Step::Piece),
        1 => Just(Step::Behind),
        1 => Just(Step::Leave),
        2 => Just(Step::Answer),
        1 => Just(Step::Break),
        1 => Just(Step::Drain),
        1 => Just(Step::Stop),
    ];
    prop::collection::vec(step, 4..14)
}

/// What the server does about requests, once it is told.
#[derive(Default)]
struct Orders(Mutex<Option<bool>>, Condvar);

impl Orders {
    fn give(&self, answer: bool) {
        self.0.lock().unwrap().get_or_insert(answer);
        self.1.notify_all();
    }

    fn wait(&self) -> bool {
        let held = self.0.lock().unwrap();
        let (held, _) = self.1.wait_timeout_while(held, PATIENCE, |order| order.is_none()).unwrap();
        held.unwrap_or(false)
    }
}

fn play(steps: &[Step]) -> Result<(), TestCaseError> {
    let (orders, got) = (Arc::new(Orders::default()), Arc::new(AtomicUsize::new(0)));
    let (ordered, counted) = (orders.clone(), got.clone());
    let server = Server::start(move |_| {
        counted.fetch_add(1, Ordering::SeqCst);
        match ordered.wait() {
            true => Then::Write(answer(200, "", "pong")),
            false => Then::WriteAndClose(String::new()),
        }
    });
    let (held, discovery) = Discovery::start(&[("s", server.address)]);
    let mut config = config(discovery.address, &[("s", server.address)]);
    config["console"] = "127.0.0.1:0".into();
    config["settings"]["Limits"]["MaxAttempts"] = 3.into();
    config["settings"]["Obligations"]["StopSendingWithin"] = 0.into();
    let mut node = Running::start(&config);
    let text = request("pay", "X-Remaining-Ms: 4500\r\n", "once");
    let quarter = text.len().div_ceil(4);
    let mut client = Some(TcpStream::connect(node.address).unwrap());
    client.as_ref().unwrap().set_read_timeout(Some(PATIENCE)).unwrap();
    let (mut written, mut whole, mut drained_before, mut stopped) = (0, false, false, false);
    let (mut drained, mut answers) = (false, None);
    for step in steps {
        match step {
            Step::Piece if written < text.len() => {
                let end = (written + quarter).min(text.len());
                if let Some(client) = &mut client {
                    // An error: the node has closed, which the end shows.
                    let _ = client.write_all(&text.as_bytes()[written..end]);
                    written = end;
                    whole = written == text.len();
                    drained_before |= whole && drained;
                }
            }
            Step::Behind if whole => {
                client.iter_mut().for_each(|client| drop(client.write_all(b"GET /rea")));
            }
            Step::Leave => drop(client.take()),
            Step::Answer | Step::Break => {
                answers.get_or_insert(*step == Step::Answer);
                orders.give(*step == Step::Answer);
            }
            Step::Drain if !drained && !stopped => {
                let mut list = list(2, &[("s", server.address)]);
                list["endpoints"][0]["status"] = json!("terminating");
                held.tell(2, list.to_string());
                node.wait_for("members", 1);
                while !discovery.next_request().start.contains("index=2") {}
                drained = true;
            }
            Step::Stop if !stopped => {
                node.stop();
                stopped = true;
            }
            _ => {}
        }
    }
    orders.give(true);
    let mut seen = Vec::new();
    let stayed = client.is_some();
    if let Some(mut client) = client {
        if whole {
            // Until its answer and the close that follows it, or a close without one.
            let mut buffer = [0; 4096];
            while !seen.windows(4).any(|end| end == b"\r\n\r\n") {
                match client.read(&mut buffer) {
                    Ok(length @ 1..) => seen.extend_from_slice(&buffer[..length]),
                    _ => break,
                }
            }
        }
        let _ = client.set_read_timeout(Some(Duration::from_millis(1)));
        while let Ok(length @ 1..) = client.read(&mut [0; 4096]) {
            seen.push(length as u8); // what comes behind it is looked at below by its first line alone
        }
    }
    let text = String::from_utf8_lossy(&seen);
    let finals = text.matches("HTTP/1.1 ").count();
    if !stopped {
        node.wait_for("pending", 0); // one that has stopped may have ended
    }
    let sent = got.load(Ordering::SeqCst);
    prop_assert!(sent <= 1, "an unsafe request was sent {sent} times");
    prop_assert!(finals <= 1, "{finals} answers: {text}");
    prop_assert!(whole || sent == 0, "sent on before it was whole");
    prop_assert!(!drained_before || sent == 0, "sent to a server that drains");
    if stayed && whole {
        prop_assert!(finals == 1 || sent == 0 && stopped, "sent on {sent} times and never answered");
    }
    if finals == 1 && sent == 1 && answers == Some(true) {
        prop_assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    }
    if !stopped {
        node.stop();
    }
    node.join(); // which waits until all slots are back
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 64, failure_persistence: None, ..ProptestConfig::default() })]
    /// One final answer, nothing begun for who has left, nothing sent to who drains, unsafe never twice, all slots back.
    #[test]
    fn the_laws_hold_in_any_order(steps in steps()) {
        play(&steps)?;
    }
}
