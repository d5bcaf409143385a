//! State that a node keeps about servers, requests and load.

use super::*;

#[derive(Default)]
pub struct Server {
    pub entry: ServerEntry,
    /// Random position in this node's order of servers with equal scores.
    pub tie_break: u64,
    /// Value of the node's send counter when the server was last used.
    pub last_send: i64,
    /// Performance by class: a server that rejects one class may serve the others well.
    pub by_class: Vec<ClassPerformance>,
    /// Own open attempts that count as load.
    pub in_flight: u32,
    /// The server may take one attempt beyond the depth limit, because a limit that was learned during an
    /// incident has to be measured again.
    pub extra_slot: bool,
    pub consecutive_failures: u32,
    /// The server is ejected until this time.
    pub ejected_until: Nanos,
    /// Sends that this node may still make while the server is in slow start, as of `tokens_updated_at`.
    pub slow_start_tokens: f64,
    pub tokens_updated_at: Nanos,
    /// Place in the ring while the server is ready.
    pub slot: Option<Slot>,
    /// When the passing of time alone changes the server's scores; 0: never.
    pub refresh_at: Nanos,
    /// Whether the server was ejected or on trial when its scores were last computed.
    pub unhealthy: bool,
    /// Speed when the scores were last computed; `None` until it is measured.
    pub speed: Option<f64>,
    /// Open attempts in the order of sends: time, request and number of the attempt. Some may have ended.
    pub sent_attempts: VecDeque<(Nanos, RequestId, u32)>,
}

/// Totals over the servers in the ring that a class may use.
#[derive(Clone, Copy, Default)]
pub struct ClassTotals {
    pub allowed_servers: u32,
    pub unhealthy_servers: u32,
    /// Servers whose speed has been measured.
    pub measured_servers: u32,
    /// Sum of the measured speeds.
    pub measured_speed: f64,
    /// Sum of the weights of the servers whose speed has not been measured.
    pub unmeasured_weight: f64,
    /// So many servers are unhealthy that all of them stay in rotation.
    pub panic_mode: bool,
}

/// How a server performs for one class.
#[derive(Clone, Default)]
pub struct ClassPerformance {
    /// Smoothed ratio of the server's latency to the mean latency of the class; `None` until it answers.
    pub relative_latency: Option<f64>,
    pub updated_at: Nanos,
    /// The server has rejected an attempt of the class and gets no more of them until this time.
    pub busy_until: Nanos,
}

impl Server {
    /// Mean relative latency over the classes that the server has answered.
    pub fn relative_latency(&self) -> Option<f64> {
        mean(self.by_class.iter().filter_map(|c| c.relative_latency))
    }
}

pub struct Attempt {
    pub server: ServerId,
    pub sent_at: Nanos,
    pub zone: u16,
    pub cell: u64,
    /// True until there is proof that the server never started on the attempt.
    pub may_have_run: bool,
    /// Own attempts that were in flight at the server before this one, at most `TRACKED_DEPTHS - 1`.
    pub depth: usize,
    pub timeout: Nanos,
    pub open: bool,
    /// The attempt ends early if it gets no answer, and a token is reserved for its retry.
    pub has_retry_token: bool,
    /// The attempt does not keep its server busy: its body is still being sent, or it is overdue and later
    /// attempts have been answered.
    pub excluded_from_load: bool,
}

impl Attempt {
    /// Releases the token that is reserved for the retry of this attempt, if there is one.
    pub fn release_retry_token(&mut self, tokens: &mut RetryTokens) {
        if std::mem::take(&mut self.has_retry_token) {
            tokens.release();
        }
    }
}

#[derive(Default)]
pub struct PendingRequest {
    pub class: usize,
    pub key: Option<u64>,
    /// When the target latency of the class ends.
    pub target_at: Nanos,
    pub deadline: Nanos,
    pub attempts: Vec<Attempt>,
    /// The body is still arriving, so that the request keeps no server busy.
    pub body_pending: bool,
    /// The final answer has been given.
    pub answered: bool,
    /// An answer after the target latency has a value, by the settings when the request arrived.
    pub useful_late: bool,
    /// Attempts that the request may have, by the settings when it arrived.
    pub max_attempts: usize,
    /// The request waits for a server, at most until this time; `None`: it does not wait.
    pub queued_until: Option<Nanos>,
}

/// Load of the classes that share a placement and thus compete for the same servers.
#[derive(Default)]
pub struct Pool {
    /// Smoothed ratio of latency to unloaded latency. It shows queues before they make answers late.
    pub congestion: f64,
    /// When `congestion` was last updated by an answer or a failure.
    pub congestion_updated_at: Nanos,
    /// Congestion by answers alone, without failures.
    pub answer_congestion: f64,
    pub last_answer_at: Nanos,
    /// Own open attempts that count as load.
    pub in_flight: u32,
    /// Requests that wait for a server.
    pub queued: usize,
    /// Unloaded latency of the recent answers, summed up.
    pub answered_work: DecayingSum,
    /// Answers during one unloaded latency, which is what was in flight one latency ago.
    pub recent_answers: DecayingSum,
    /// Recent maximum of `recent_answers` for each ready server: servers that have left answer no more.
    pub peak_concurrency: f64,
}

impl ClassTotals {
    /// Accounts for a change in the measured speed of a server of this weight.
    pub fn update_speed(&mut self, weight: f64, old: Option<f64>, new: Option<f64>) {
        self.measured_speed += new.unwrap_or(0.0) - old.unwrap_or(0.0);
        match (old, new) {
            (None, Some(_)) => {
                self.measured_servers += 1;
                self.unmeasured_weight -= weight;
            }
            (Some(_), None) => {
                self.measured_servers -= 1;
                self.unmeasured_weight += weight;
            }
            _ => {}
        }
    }
}

/// Latency after which an attempt is overdue. The deviation has a lower bound, because uniform answers have
/// almost none and an attempt that is slightly late would be taken for one that is never answered.
pub fn overdue_latency(stats: &RunningStats) -> f64 {
    stats.mean
        + (OVERDUE_DEVIATIONS * stats.deviation.max(MIN_LATENCY_SPREAD * stats.mean))
            .max(MIN_OVERDUE_MARGIN_NS)
}

/// Figures that scores are computed with, as of the last tick.
#[derive(Clone, Default)]
pub struct SpeedModel {
    /// Speed per unit of weight that is assumed for a server without answers.
    pub unmeasured: f64,
    /// μ/λ at a speed of one: service rate over the send rate of all nodes.
    pub scale: f64,
    /// For each class with a placement constraint, the share of its servers' speed that it needs.
    pub reserved: Vec<(usize, f64)>,
}
