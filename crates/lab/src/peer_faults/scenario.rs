//! What is played, and what came of it.

use std::time::Duration;

use super::exchange::ServerFlood;
use super::flood::Flood;

/// One run: a node with its limits, its peers, and the signals that its processes get.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all drawn values.
    pub seed: u64,
    /// Memory limit of the node in MiB, for all its processes together.
    pub memory_mb: u32,
    /// Descriptors of the node.
    pub sockets: usize,
    /// Time that clients wait for an answer, in milliseconds.
    pub deadline_ms: u64,
    /// Time for which clients send, in seconds.
    pub seconds: f64,
    /// The misbehaving peers, and how many connections of each are open at once.
    pub peers: Vec<(Peers, usize)>,
    /// Planned restarts, in order of their time.
    pub restarts: Vec<Restart>,
    /// Whether half of the well-behaved clients open a connection for each request.
    pub always_reconnects: bool,
    /// Busy processes that share one core with the node; `None` leaves the node all cores.
    pub busy_processes: Option<usize>,
}

impl Scenario {
    /// A calm run of a node with the least memory of the platform and 1,024 descriptors.
    pub fn new(seconds: f64) -> Self {
        Scenario {
            seed: 1,
            memory_mb: 32,
            sockets: 1_024,
            deadline_ms: 600,
            seconds,
            peers: Vec::new(),
            restarts: Vec::new(),
            always_reconnects: false,
            busy_processes: None,
        }
    }

    /// The time that clients wait for an answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// Slowest rate at which a client may move a body, in bytes per second.
const SLOWEST_READ_RATE: usize = 64_000;
/// Pauses that a reader may make in one answer, taken together: it may take seconds to read, in pieces of any size.
pub const LONGEST_PAUSES: Duration = Duration::from_secs(30);

/// A kind of misbehaving peers. Lengths are in bytes, rates in bytes per second, times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
#[allow(missing_docs)] // the fields are named after what they bound, with the units above
pub enum Peers {
    /// Clients that stop in the middle of a request body and keep the connection open.
    StoppedUpload { length: usize, sent: usize },
    /// Clients that write a body in pieces over a time.
    PiecewiseUpload { length: usize, piece: usize, over_ms: u64 },
    /// Clients that send a whole body and read a whole answer.
    LongExchange { length: usize, answer: usize },
    /// Clients that send a head of short fields, whole or without its end.
    ManyFields { fields: usize, is_whole: bool },
    /// Clients that read a long answer slowly.
    SlowReader { answer: usize, rate: usize },
    /// Clients that pause while they read a long answer, and read the rest at full speed.
    PausingReader { answer: usize, pauses: usize, pause_ms: u64 },
    /// Requests whose server reads the body slowly.
    SlowServerRead { length: usize, is_chunked: bool, rate: usize },
    /// Requests whose server writes its answer slowly, with or without a length.
    SlowServerWrite { answer: usize, over_ms: u64, has_length: bool },
    /// Requests whose server sends without an end at full speed.
    ServerFlood(ServerFlood),
    /// Clients that send small or invalid messages at full speed.
    Flood(Flood),
    /// Clients that send several requests at once and leave; `returns` sends their ids again on other connections.
    Leaver { requests: usize, resets: bool, returns: bool },
}

impl Peers {
    /// Returns whether they send whole requests, at once: each is owed its answer in time.
    pub fn send_whole_requests(self) -> bool {
        matches!(
            self,
            Peers::LongExchange { .. }
                | Peers::SlowReader { .. }
                | Peers::PausingReader { .. }
                | Peers::ManyFields { is_whole: true, .. }
        )
    }

    /// Returns whether they read more slowly than a client may beside its pauses: once it has had these, a node may cut
    /// its answer for others.
    pub fn read_too_slowly(self) -> bool {
        matches!(self, Peers::SlowReader { rate, .. } if rate < SLOWEST_READ_RATE)
    }

    /// Returns whether they are played on the thread of the judged clients, which no crowd holds up.
    pub fn are_judged(self) -> bool {
        matches!(self, Peers::SlowServerRead { .. } | Peers::SlowServerWrite { .. } | Peers::Leaver { .. })
    }
}

/// A planned restart of the node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Restart {
    /// Seconds after the start of the run.
    pub at: f64,
    /// What starts and ends, and in which order.
    pub kind: RestartKind,
    /// How many times SIGTERM is sent, 50 ms apart.
    pub signals: u32,
}

/// The order of a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartKind {
    /// A successor starts beside the running process, which gets SIGTERM 1.5 s later.
    Upgrade,
    /// The process gets SIGTERM, and a successor starts after its end.
    StopAndStart,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Highest resident memory of all processes of the node together, in KiB.
    pub peak_kib: u64,
    /// How the well-behaved clients were answered.
    pub waits: Waits,
    /// Rules that were broken.
    pub violations: Vec<String>,
    /// The log of the node's processes.
    pub log: String,
}

/// Answers to the well-behaved clients.
#[derive(Clone, Debug, Default)]
pub struct Waits {
    /// Requests answered with 200.
    pub served: usize,
    /// Requests refused or failed in time.
    pub refused: usize,
    /// Requests sent again because a kept connection closed under them.
    pub resent: usize,
    /// Longest wait for an answer.
    pub longest: Duration,
}
