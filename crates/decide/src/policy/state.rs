//! What a node keeps of servers, requests and load.

use super::*;

#[derive(Default)]
pub struct Server {
    pub entry: ServerEntry,
    pub tie: u64,        // Position in this node's order of servers that cost the same.
    pub last: i64,       // Number of own sends when it was last used.
    pub pace: Vec<Pace>, // By class: what one class is turned away by may serve the others well.
    pub out: u32,        // Own attempts that are out.
    pub more: bool, // It may take one beyond the limit: what was learned in a trouble has to be tried again.
    pub strikes: u32, // Failures in a row, and until when they or its being full keep it out.
    pub back_at: Nanos,
    pub allowance: f64, // Sends that the fall budget leaves this node while the server is cold, as of when.
    pub refilled: Nanos,
    pub slot: Option<Slot>, // In the ring, while it is ready.
    pub wake: Nanos,        // When time alone changes what it is worth; 0: never.
    pub suspect: bool,      // This and its speed as of the last time its lines were drawn.
    pub speed: Option<f64>,
    pub sent: VecDeque<(Nanos, RequestId, u32)>, // Attempts that are out, in the order of sends.
}

/// What the ring holds for a class, all told.
#[derive(Clone, Copy, Default)]
pub struct Tally {
    pub allowed: u32,
    pub suspects: u32,
    pub known: u32, // Servers whose speed is known, the sum of that, and the weight of the others.
    pub speed: f64,
    pub weight: f64,
    pub unheeded: bool, // Too many are suspect to leave them all out.
}

/// How a server serves one class.
#[derive(Clone, Default)]
pub struct Pace {
    pub slowness: Option<f64>, // smoothed latency over the usual of the class; none until it answers
    pub learned: Nanos,
    pub busy_until: Nanos, // as it was turned away
}

impl Server {
    /// Smoothed latency over the usual of all classes that it has answered.
    pub fn slowness(&self) -> Option<f64> {
        mean(self.pace.iter().filter_map(|p| p.slowness))
    }
}

pub struct Attempt {
    pub server: ServerId,
    pub sent: Nanos,
    pub zone: u16,
    pub cell: u64,
    pub ran: bool,    // It may have: until there is proof that it never did.
    pub depth: usize, // Own attempts that were out there already.
    pub timeout: Nanos,
    pub open: bool,
    pub lost: bool, // Overdue and overtaken: it is not what keeps its server busy.
}

#[derive(Default)]
pub struct Held {
    pub class: usize,
    pub key: Option<u64>,
    pub aim_at: Nanos,
    pub deadline: Nanos,
    pub attempts: Vec<Attempt>,
    pub long: bool, // Its body is still coming: it keeps no server busy.
    pub over: bool, // The final answer has been given.
    pub late: bool, // Late it is worth something; this and the attempts it may have are as when it came.
    pub most: usize,
    pub waits: Option<Nanos>, // It waits for a server, and may until then.
}

/// Load as seen by the classes that may go to the same servers.
#[derive(Default)]
pub struct Pool {
    pub strain: f64, // Smoothed latency over that without queues: shows them before they make answers late.
    pub sensed: Nanos, // When that last had news, good or bad.
    pub pace: f64,   // The same of answers that came, and when the last one did.
    pub heard: Nanos,
    pub open: u32, // Own attempts that are out, requests that wait for a server, and the latency without
    pub waiting: usize, // queues of the answers of late.
    pub answered: Decayed,
    pub lately: Decayed, // Answers of one latency without queues: what was out one latency ago, and the
    pub most: f64, // most that it was of late, for each ready server: those that are gone answer no more.
}

impl Tally {
    /// A server of this weight is known at another speed, for the first time or no longer.
    pub fn know(&mut self, weight: f64, was: Option<f64>, speed: Option<f64>) {
        self.speed += speed.unwrap_or(0.0) - was.unwrap_or(0.0);
        match (was, speed) {
            (None, Some(_)) => (self.known, self.weight) = (self.known + 1, self.weight - weight),
            (Some(_), None) => (self.known, self.weight) = (self.known - 1, self.weight + weight),
            _ => {}
        }
    }
}

/// Latency at which an attempt is lost. Where answers are all alike their deviation is next to nothing, and
/// a hair's breadth later would pass for never.
pub fn overdue(usual: &Usual) -> f64 {
    usual.mean + (OVERDUE * usual.deviation.max(SPREAD_LEAST * usual.mean)).max(LATE_LEAST)
}

/// What speeds are reckoned with, as of the last tick.
#[derive(Clone, Default)]
pub struct Speeds {
    pub unknown: f64,             // Of a server that has not answered, for each unit of weight.
    pub scale: f64,               // Speed over the sends of all nodes: μ/λ of a speed of one.
    pub bound: Vec<(usize, f64)>, // Part of their servers that the classes bound to them need.
}
