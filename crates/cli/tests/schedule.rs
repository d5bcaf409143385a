//! Random schedules over one connection: parts of a request, closes, responses, list changes and a stop in any order. Each
//! step starts once its own side has completed the previous one. The invariants hold in every order.

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
    /// The client sends the next quarter of the request.
    SendQuarter,
    /// Bytes after the request, as of a further request.
    TrailingBytes,
    /// The client closes.
    Leave,
    /// The server answers all pending and future requests.
    Answer,
    /// The server closes the connection without a response.
    Break,
    /// The list marks the server as draining; the node has received the list when the step ends.
    Drain,
    /// The node is told to stop, as by SIGTERM.
    Stop,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => Just(Step::SendQuarter),
        1 => Just(Step::TrailingBytes),
        1 => Just(Step::Leave),
        2 => Just(Step::Answer),
        1 => Just(Step::Break),
        1 => Just(Step::Drain),
        1 => Just(Step::Stop),
    ];
    prop::collection::vec(step, 4..14)
}

/// Whether the server answers its requests or closes the connection; the server waits until the test has decided.
#[derive(Default)]
struct ServerDecision(Mutex<Option<bool>>, Condvar);

impl ServerDecision {
    fn set(&self, answer: bool) {
        self.0.lock().unwrap().get_or_insert(answer);
        self.1.notify_all();
    }

    fn wait(&self) -> bool {
        let state = self.0.lock().unwrap();
        let (state, _) = self.1.wait_timeout_while(state, TIMEOUT, |decision| decision.is_none()).unwrap();
        state.unwrap_or(false)
    }
}

fn run_schedule(steps: &[Step]) -> Result<(), TestCaseError> {
    let (decision, received) = (Arc::new(ServerDecision::default()), Arc::new(AtomicUsize::new(0)));
    let (server_decision, counted) = (decision.clone(), received.clone());
    let server = Server::start(move |_| {
        counted.fetch_add(1, Ordering::SeqCst);
        match server_decision.wait() {
            true => Reply::Write(response(200, "", "pong")),
            false => Reply::WriteAndClose(String::new()),
        }
    });
    let (list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let mut config = config(discovery.address, &[("s", server.address)]);
    config["console"] = "127.0.0.1:0".into();
    config["settings"]["Limits"]["MaxAttempts"] = 3.into();
    config["settings"]["Obligations"]["StopSendingWithin"] = 0.into();
    let mut node = RunningNode::start(&config);
    let text = request("pay", "X-Remaining-Ms: 4500\r\n", "once");
    let quarter = text.len().div_ceil(4);
    let mut client = Some(TcpStream::connect(node.address).unwrap());
    client.as_ref().unwrap().set_read_timeout(Some(TIMEOUT)).unwrap();
    let (mut written, mut whole, mut drained_before, mut stopped) = (0, false, false, false);
    let (mut drained, mut answers) = (false, None);
    for step in steps {
        match step {
            Step::SendQuarter if written < text.len() => {
                let end = (written + quarter).min(text.len());
                if let Some(client) = &mut client {
                    // An error means that the node has closed, which the reads below show.
                    let _ = client.write_all(&text.as_bytes()[written..end]);
                    written = end;
                    whole = written == text.len();
                    drained_before |= whole && drained;
                }
            }
            Step::TrailingBytes if whole => {
                client.iter_mut().for_each(|client| drop(client.write_all(b"GET /rea")));
            }
            Step::Leave => drop(client.take()),
            Step::Answer | Step::Break => {
                answers.get_or_insert(*step == Step::Answer);
                decision.set(*step == Step::Answer);
            }
            Step::Drain if !drained && !stopped => {
                let mut list = list(2, &[("s", server.address)]);
                list["endpoints"][0]["status"] = json!("terminating");
                list_source.set_answer(2, list.to_string());
                node.wait_for("members", 1);
                while !discovery.next_request().start_line.contains("index=2") {}
                drained = true;
            }
            Step::Stop if !stopped => {
                node.stop();
                stopped = true;
            }
            _ => {}
        }
    }
    decision.set(true);
    let mut response_bytes = Vec::new();
    let stayed = client.is_some();
    if let Some(mut client) = client {
        if whole {
            // Reads up to the end of the response head, or to a close without a response.
            let mut buffer = [0; 4096];
            while !response_bytes.windows(4).any(|end| end == b"\r\n\r\n") {
                match client.read(&mut buffer) {
                    Ok(length @ 1..) => response_bytes.extend_from_slice(&buffer[..length]),
                    _ => break,
                }
            }
        }
        let _ = client.set_read_timeout(Some(Duration::from_millis(1)));
        while let Ok(length @ 1..) = client.read(&mut [0; 4096]) {
            response_bytes.push(length as u8); // of further bytes only their presence is recorded
        }
    }
    let text = String::from_utf8_lossy(&response_bytes);
    let final_responses = text.matches("HTTP/1.1 ").count();
    if !stopped {
        node.wait_for("pending", 0); // a stopped node may have ended
    }
    let sent = received.load(Ordering::SeqCst);
    prop_assert!(sent <= 1, "an unsafe request was sent {sent} times");
    prop_assert!(final_responses <= 1, "{final_responses} responses: {text}");
    prop_assert!(whole || sent == 0, "sent to the server before it was whole");
    prop_assert!(!drained_before || sent == 0, "sent to a draining server");
    if stayed && whole {
        prop_assert!(final_responses == 1 || sent == 0 && stopped, "sent {sent} times and never answered");
    }
    if final_responses == 1 && sent == 1 && answers == Some(true) {
        prop_assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    }
    if !stopped {
        node.stop();
    }
    node.join(); // returns only when all slots are released
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 64, failure_persistence: None, ..ProptestConfig::default() })]
    /// A request gets at most one final response, is not sent before it is whole or to a draining server, is never sent
    /// twice if unsafe, and releases its slots.
    #[test]
    fn the_invariants_hold_in_any_order(steps in steps()) {
        run_schedule(&steps)?;
    }
}
