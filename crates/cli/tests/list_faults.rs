//! A node whose calls to discovery get no answer, a late answer or an error.

mod common;
#[path = "common/process.rs"]
mod process;

use std::fmt;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use common::{config, response};
use process::NodeProcess;
use serde_json::json;

/// Longest time until a node polls again after a failure: the 6 s within which a node must learn of a change, less one
/// call.
const POLLS_AGAIN_WITHIN: Duration = Duration::from_secs(4);
/// Delays in milliseconds of the answer to a watch: the answer arrives during the next call, during the back-off that
/// follows, and around the call after that.
const ANSWER_DELAYS_MS: [u64; 5] = [3_500, 4_750, 4_850, 4_950, 5_500];
/// Time for which the configuration file is incomplete. The node must act on the complete file 4 s after SIGHUP.
const INCOMPLETE_FOR: Duration = Duration::from_millis(500);
/// Number of successive calls that show that the node goes on polling.
const FURTHER_CALLS: usize = 3;

/// A call that discovery has received, with the connection on which to answer it.
struct ReceivedCall {
    at: Instant,
    target: String,
    stream: TcpStream,
}

/// Starts a discovery that passes each call to the test, which answers it or keeps the connection open without an answer.
fn start_discovery() -> (SocketAddr, mpsc::Receiver<ReceivedCall>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, calls) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let sender = sender.clone();
            thread::spawn(move || receive_calls(stream, &sender));
        }
    });
    (address, calls)
}

fn receive_calls(stream: TcpStream, sender: &mpsc::Sender<ReceivedCall>) {
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines().map_while(Result::ok);
    while let Some(start) = lines.next() {
        let at = Instant::now();
        while lines.next().is_some_and(|line| !line.is_empty()) {}
        let target = start.split(' ').nth(1).unwrap_or_default().to_owned();
        if sender.send(ReceivedCall { at, target, stream: stream.try_clone().unwrap() }).is_err() {
            return;
        }
    }
}

impl ReceivedCall {
    /// Answers with a list of one server; fails if the node has closed the connection.
    fn answer(&mut self, index: u64, status: &str) -> std::io::Result<()> {
        let endpoint = json!({"name": "s", "address": "127.0.0.1:9", "zone": "a", "type": "k", "group": 0,
                              "status": status, "weight": 1.0, "since_ms": 0});
        let list = json!({"index": index, "snapshot": false, "endpoints": [endpoint]});
        self.stream.write_all(response(200, "", &list.to_string()).as_bytes())
    }
}

/// How a node failed to go on polling.
#[derive(Debug)]
enum PollError {
    /// The named call did not arrive in time.
    NoCall(&'static str),
    /// The node did not ask for the version after its last answer; the value is the target that it asked for.
    WrongTarget(String),
    /// The node had closed the connection of the call.
    Closed(std::io::Error),
}

impl fmt::Display for PollError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PollError::NoCall(call) => write!(f, "{call} did not arrive"),
            PollError::WrongTarget(target) => write!(f, "the node asked for {target}"),
            PollError::Closed(error) => write!(f, "the node closed the connection: {error}"),
        }
    }
}

impl From<std::io::Error> for PollError {
    fn from(error: std::io::Error) -> Self {
        PollError::Closed(error)
    }
}

/// Answers a watch after this delay, and no other call until then; fails unless the node then polls on.
fn polls_on_after_late_answer(delay: Duration) -> Result<(), PollError> {
    let (address, calls) = start_discovery();
    let mut config = config(address, &[("s", "127.0.0.1:9".parse().unwrap())]);
    config["settings"]["Discovery"] = "ask".into();
    config["settings"]["Obligations"]["AskWithin"] = 10_000_000_000u64.into();
    let _node = NodeProcess::start(&format!("late-answer-{}", delay.as_millis()), &config);
    let next = |what| calls.recv_timeout(POLLS_AGAIN_WITHIN).map_err(|_| PollError::NoCall(what));
    next("the first call")?.answer(2, "in_service")?;
    let mut watch = next("the watch")?;
    let answered_at = watch.at + delay;
    let mut unanswered = Vec::new();
    while let Ok(call) = calls.recv_timeout(answered_at.saturating_duration_since(Instant::now())) {
        unanswered.push(call);
    }
    watch.answer(3, "terminating")?;
    for _ in 0..FURTHER_CALLS {
        let mut call = next("a call after the late answer")?;
        if !call.target.contains("index=3&") {
            return Err(PollError::WrongTarget(call.target));
        }
        call.answer(3, "terminating")?;
    }
    Ok(())
}

/// A node stopped polling when discovery delayed a watch and the next call, then answered the watch during the back-off
/// (report 3d4b04).
#[test]
fn a_late_answer_during_the_back_off_does_not_end_the_polling() {
    let nodes = ANSWER_DELAYS_MS
        .map(|ms| (ms, thread::spawn(move || polls_on_after_late_answer(Duration::from_millis(ms)))));
    let failed: Vec<String> = nodes
        .into_iter()
        .filter_map(|(ms, node)| node.join().unwrap().err().map(|error| format!("{ms} ms: {error}")))
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// SIGHUP may arrive while the new configuration is being written, without a second SIGHUP afterwards. The node must
/// still move to the new discovery, or it would miss drains.
#[test]
fn a_configuration_file_incomplete_at_sighup_is_read_once_it_is_complete() {
    let ((old, old_calls), (new, new_calls)) = (start_discovery(), start_discovery());
    let mut config = config(old, &[("s", "127.0.0.1:9".parse().unwrap())]);
    config["settings"]["Discovery"] = "ask".into();
    let node = NodeProcess::start("incomplete", &config);
    old_calls.recv_timeout(POLLS_AGAIN_WITHIN).expect("the node polls");
    config["discovery"] = json!(new);
    let text = config.to_string();
    std::fs::write(&node.file, &text[..text.len() / 2]).unwrap();
    node.signal("HUP");
    assert!(new_calls.recv_timeout(INCOMPLETE_FOR).is_err(), "the node acted on an incomplete configuration");
    std::fs::write(&node.file, &text).unwrap();
    let call = new_calls
        .recv_timeout(POLLS_AGAIN_WITHIN - INCOMPLETE_FOR)
        .expect("the node polls at the new address");
    assert_eq!(call.target, "/registry/instances");
}
