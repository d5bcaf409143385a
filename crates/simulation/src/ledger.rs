//! The ledger of a run, and the check of the invariants over it.
//!
//! Clients, guide servers and discovery each record what they observe. After the run the invariants are checked over
//! the records of both sides of the nodes, so that no part of the lab has to trust a node.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::clients::{RequestPlan, Try, TryOutcome};
use crate::discovery::Status;
use crate::experiment::{Experiment, RetrySafety};
use crate::notifications::Notification;
use crate::server::{OverloadCrash, Reply};
use crate::{millis, Nanos, MS};

/// Number of violations of one invariant that are listed; further ones are only counted.
const MAX_LISTED: usize = 5;
/// Share of tries without an answer from a live node that is tolerated, since the machine under test can cause them.
const MAX_UNANSWERED_SHARE: f64 = 0.01;
/// Number of requests or peers below which their share is not significant.
const MIN_SIGNIFICANT: usize = 20;

/// A try, as its client observed it.
#[derive(Clone, Copy, Debug)]
pub struct TryRecord {
    /// The try.
    pub client_try: Try,
    /// Index of the node that it was sent to; `None` if no node was available.
    pub node: Option<usize>,
    /// When its last byte was written; `None` if that never happened.
    pub written_at: Option<Nanos>,
    /// Whether it was the first request on its connection.
    pub first_on_connection: bool,
    /// When a reused connection last closed without an answer before the client sent the try again on another one;
    /// `None` if that did not happen.
    pub closed_at: Option<Nanos>,
    /// When it ended.
    pub ended: Nanos,
    /// How it ended.
    pub outcome: TryOutcome,
    /// Whether the connection carried more data than one answer.
    pub extra_data: bool,
}

/// An attempt, as a guide server observed it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRecord {
    /// Id of the try, which the request carries.
    pub id: u64,
    /// Index of the node that sent it.
    pub node: usize,
    /// Index of the server.
    pub server: usize,
    /// When its last byte arrived.
    pub arrived: Nanos,
    /// When it ended at the server; `None` if it has not.
    pub ended: Option<Nanos>,
    /// What the server sent back; `None` if it sent nothing.
    pub reply: Option<Reply>,
    /// Whether the server executed it, at least in part.
    pub executed: bool,
}

/// A peer that connected to a node and sent no valid request.
#[derive(Clone, Copy, Debug)]
pub struct InvalidPeer {
    /// Index of the node.
    pub node: usize,
    /// When it connected.
    pub at: Nanos,
    /// When it got an error or a close; `None` if it got neither.
    pub ended: Option<Nanos>,
}

/// An event in the life of a node's process.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessEvent {
    /// It was stopped or killed as the experiment demands.
    Stopped {
        /// Whether the signal was SIGKILL; otherwise it was SIGTERM.
        killed: bool,
    },
    /// It ended unasked or with an error.
    Crashed(String),
    /// It did not become ready in time.
    NeverReady,
    /// It exceeded a resource limit.
    Exceeded(String),
    /// It ran on after SIGTERM for longer than allowed.
    Overstayed,
}

/// All records of a run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// All generated requests.
    pub plans: Vec<RequestPlan>,
    /// All tries.
    pub tries: Vec<TryRecord>,
    /// All attempts that reached a server.
    pub attempts: Vec<AttemptRecord>,
    /// Status changes that nodes learned from discovery.
    pub notifications: Vec<Notification>,
    /// Peers that sent no valid request.
    pub peers: Vec<InvalidPeer>,
    /// Events of node processes: time, node and event.
    pub process_events: Vec<(Nanos, usize, ProcessEvent)>,
    /// Crashes of cold servers: server and crash.
    pub overload_crashes: Vec<(usize, OverloadCrash)>,
    /// Disruptions for the report: time and text.
    pub marks: Vec<(Nanos, String)>,
}

/// The invariants. Reports print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Each accepted request gets a final answer in time.
    Answered,
    /// Each accepted request gets no more than one answer.
    AnsweredOnce,
    /// An unsafe request is never executed twice, and is not sent again without proof that it was not executed.
    UnsafeOnce,
    /// An unsafe request that may have been executed is not refused.
    HonestRefusal,
    /// A node sends nothing new to a server once the grace period has passed after the node learned that the server
    /// drains or has stopped.
    Drain,
    /// Nodes do not overload cold servers.
    Cold,
    /// Nodes serve only answers that a server generated.
    Genuine,
    /// Only requests that a client sent reach a server.
    NoStranger,
    /// A request gets no more attempts than allowed.
    Attempts,
    /// A request that is refused or failed without an attempt is answered promptly.
    HeldBack,
    /// A peer that sends no valid request gets an error or a close in time.
    BadPeers,
    /// Nodes start, keep running, respect their resource limits and stop on request.
    Nodes,
    /// The share of the value that the experiment requires is served.
    Served,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// What happened, with ids and times.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.description)
    }
}

/// Collects the violations of all invariants over one ledger.
struct Checker<'a> {
    experiment: &'a Experiment,
    ledger: &'a Ledger,
    grace: Nanos,
    attempts: BTreeMap<u64, Vec<&'a AttemptRecord>>, // by try id, in order of arrival
    violations: BTreeMap<Invariant, Vec<String>>,
}

fn as_ms(at: Nanos) -> f64 {
    at as f64 / MS as f64
}

/// Returns all violations, grouped by invariant. The first few of each invariant are listed; the rest are counted.
pub fn find_violations(experiment: &Experiment, ledger: &Ledger) -> Vec<Violation> {
    let mut attempts: BTreeMap<u64, Vec<&AttemptRecord>> = BTreeMap::new();
    for attempt in &ledger.attempts {
        attempts.entry(attempt.id).or_default().push(attempt);
    }
    attempts.values_mut().for_each(|attempts| attempts.sort_by_key(|attempt| attempt.arrived));
    let grace = millis(experiment.rules.grace_ms);
    let mut checker = Checker { experiment, ledger, grace, attempts, violations: BTreeMap::new() };
    checker.check_answers();
    checker.check_unsafe_requests();
    checker.check_attempts();
    checker.check_drains();
    checker.check_cold_servers();
    checker.check_invalid_peers();
    checker.check_nodes();
    let mut violations = Vec::new();
    for (invariant, all) in checker.violations {
        let more = all.len().saturating_sub(MAX_LISTED);
        violations
            .extend(all.into_iter().take(MAX_LISTED).map(|description| Violation { invariant, description }));
        if more > 0 {
            violations.push(Violation { invariant, description: format!("and {more} more") });
        }
    }
    violations
}

impl<'a> Checker<'a> {
    fn add(&mut self, invariant: Invariant, description: String) {
        self.violations.entry(invariant).or_default().push(description);
    }

    fn attempts_of(&self, id: u64) -> &[&'a AttemptRecord] {
        self.attempts.get(&id).map_or(&[], Vec::as_slice)
    }

    /// Returns whether the experiment killed the node's process while this try was pending or shortly before, since a
    /// killed process takes some time to end.
    fn node_killed_during(&self, record: &TryRecord) -> bool {
        let sent = record.closed_at.or(record.written_at).unwrap_or(record.client_try.scheduled_at);
        let from = sent.saturating_sub(self.grace);
        self.ledger.process_events.iter().any(|(at, node, event)| {
            Some(*node) == record.node
                && *event == (ProcessEvent::Stopped { killed: true })
                && (from..=record.ended + self.grace).contains(at)
        })
    }

    fn check_answers(&mut self) {
        let (mut unanswered, mut written, mut late_failures, mut found) =
            (Vec::new(), 0, Vec::new(), Vec::new());
        for record in &self.ledger.tries {
            let Some(sent) = record.written_at else { continue };
            written += 1;
            let id = record.client_try.id;
            let attempts = self.attempts_of(id);
            let name = format!("{id:016x} at node {} sent {:.1} ms", record.node.unwrap_or(0), as_ms(sent));
            let lost = record
                .closed_at
                .is_some_and(|closed| attempts.iter().any(|attempt| attempt.arrived < closed));
            if lost && !self.node_killed_during(record) {
                found.push((
                    Invariant::Answered,
                    format!("{name}: closed without an answer, then sent again"),
                ));
            }
            if record.extra_data {
                found.push((Invariant::AnsweredOnce, format!("{name}: more than one answer")));
            }
            match record.outcome {
                TryOutcome::Unanswered if !self.node_killed_during(record) => unanswered.push(name),
                // A node may close a connection whose request it has not forwarded: the try failed but no request was
                // lost.
                TryOutcome::Closed
                    if (!record.first_on_connection || !attempts.is_empty())
                        && !self.node_killed_during(record) =>
                {
                    found.push((Invariant::Answered, format!("{name}: closed without an answer")));
                }
                TryOutcome::Answered { status: 200, genuine, .. } => {
                    let generated = attempts
                        .iter()
                        .any(|attempt| attempt.executed && attempt.reply == Some(Reply::Served));
                    if !genuine || !generated {
                        found.push((
                            Invariant::Genuine,
                            format!("{name}: served an answer that no server generated"),
                        ));
                    }
                }
                TryOutcome::Answered { .. } => {
                    if record.outcome.refused() && self.may_have_been_executed(record, attempts) {
                        found.push((
                            Invariant::HonestRefusal,
                            format!("{name}: refused although it may have been executed"),
                        ));
                    }
                    let waited = record.ended.saturating_sub(sent);
                    if attempts.is_empty() && 2 * waited > record.client_try.budget && waited > self.grace {
                        late_failures.push(format!(
                            "{name}: refused or failed after {:.1} ms without an attempt",
                            as_ms(waited)
                        ));
                    }
                }
                _ => {}
            }
        }
        found.into_iter().for_each(|(invariant, description)| self.add(invariant, description));
        if unanswered.len() >= MIN_SIGNIFICANT
            && unanswered.len() as f64 > MAX_UNANSWERED_SHARE * written as f64
        {
            unanswered
                .iter()
                .for_each(|name| self.add(Invariant::Answered, format!("{name}: never answered")));
        }
        if late_failures.len() >= MIN_SIGNIFICANT
            && late_failures.len() as f64 > self.experiment.rules.held_back * written as f64
        {
            late_failures.into_iter().for_each(|description| self.add(Invariant::HeldBack, description));
        }
    }

    fn may_have_been_executed(&self, record: &TryRecord, attempts: &[&AttemptRecord]) -> bool {
        let effect = self.experiment.classes[record.client_try.plan.class].effect;
        effect == RetrySafety::Unsafe
            && attempts.iter().any(|attempt| attempt.reply != Some(Reply::TurnedAway))
    }

    fn check_unsafe_requests(&mut self) {
        let mut attempts_by_request: BTreeMap<usize, Vec<&AttemptRecord>> = BTreeMap::new();
        for record in &self.ledger.tries {
            if self.experiment.classes[record.client_try.plan.class].effect == RetrySafety::Unsafe {
                attempts_by_request
                    .entry(record.client_try.request)
                    .or_default()
                    .extend(self.attempts_of(record.client_try.id));
            }
        }
        for (request, mut attempts) in attempts_by_request {
            attempts.sort_by_key(|attempt| attempt.arrived);
            attempts.dedup_by_key(|attempt| (attempt.id, attempt.arrived, attempt.server));
            let executions = attempts.iter().filter(|attempt| attempt.executed).count();
            // A further attempt is proven safe only if the earlier one was rejected before the further one arrived.
            let unproven = attempts.windows(2).any(|pair| {
                pair[0].reply != Some(Reply::TurnedAway)
                    || pair[0].ended.is_none_or(|at| at > pair[1].arrived)
            });
            if executions > 1 || unproven {
                let entries = attempts.iter().map(|attempt| {
                    let AttemptRecord { id, server, node, .. } = attempt;
                    format!(
                        "{id:016x} at server {server} from node {node} at {:.1} ms",
                        as_ms(attempt.arrived)
                    )
                });
                let list = entries.collect::<Vec<_>>().join(", ");
                self.add(Invariant::UnsafeOnce, format!("request {request} ran {executions} times: {list}"));
            }
        }
    }

    fn check_attempts(&mut self) {
        let known: BTreeSet<u64> = self.ledger.tries.iter().map(|record| record.client_try.id).collect();
        let mut found = Vec::new();
        for (id, attempts) in &self.attempts {
            let first = attempts[0];
            if !known.contains(id) {
                let description =
                    format!("{id:016x} from node {} at {:.1} ms", first.node, as_ms(first.arrived));
                found.push((Invariant::NoStranger, description));
            } else if attempts.len() > self.experiment.rules.attempts as usize {
                found.push((Invariant::Attempts, format!("{id:016x}: {} attempts", attempts.len())));
            }
        }
        found.into_iter().for_each(|(invariant, description)| self.add(invariant, description));
    }

    fn check_drains(&mut self) {
        let mut notices: BTreeMap<(usize, usize), Vec<&Notification>> = BTreeMap::new();
        for notice in &self.ledger.notifications {
            notices.entry((notice.node, notice.server)).or_default().push(notice);
        }
        notices.values_mut().for_each(|all| all.sort_by_key(|notice| notice.at));
        let grace = millis(self.experiment.rules.drain_ms) + self.grace;
        let mut found = Vec::new();
        for attempt in &self.ledger.attempts {
            let Some(all) = notices.get(&(attempt.node, attempt.server)) else { continue };
            let before = &all[..all.partition_point(|notice| notice.at <= attempt.arrived)];
            // The grace period starts at the first notice that no later notice has revoked.
            let start =
                before.iter().rposition(|notice| notice.status == Status::InService).map_or(0, |n| n + 1);
            if let Some(notice) = before.get(start).filter(|notice| attempt.arrived > notice.at + grace) {
                found.push(format!(
                    "{:016x} reached server {} from node {} at {:.1} ms, {:.1} ms after the notice ({:?})",
                    attempt.id,
                    attempt.server,
                    attempt.node,
                    as_ms(attempt.arrived),
                    as_ms(attempt.arrived - notice.at),
                    notice.status
                ));
            }
        }
        found.into_iter().for_each(|description| self.add(Invariant::Drain, description));
    }

    fn check_cold_servers(&mut self) {
        // At least two thirds of the work has to come from nodes that knew of the start, since a node that has not
        // learned of it cannot limit its load.
        for (server, crash) in
            self.ledger.overload_crashes.iter().filter(|(_, crash)| crash.notified_share >= 2.0 / 3.0)
        {
            let description = format!(
                "server {server} crashed while cold at {:.1} ms under {:.2} times its tolerated load, {:.0}% of it from \
                 nodes that knew of its start",
                as_ms(crash.at),
                crash.load,
                100.0 * crash.notified_share
            );
            self.add(Invariant::Cold, description);
        }
    }

    fn check_invalid_peers(&mut self) {
        let limit = millis(self.experiment.rules.bad_peer_ms) + self.grace;
        let late = |peer: &&InvalidPeer| peer.ended.is_none_or(|ended| ended > peer.at + limit);
        let (late, all) = (self.ledger.peers.iter().filter(late).count(), self.ledger.peers.len());
        if late >= MIN_SIGNIFICANT && late as f64 > 0.02 * all as f64 {
            self.add(
                Invariant::BadPeers,
                format!("{late} of {all} had neither an error nor a close in time"),
            );
        }
    }

    fn check_nodes(&mut self) {
        for (at, node, event) in &self.ledger.process_events {
            let description = match event {
                ProcessEvent::Stopped { .. } => continue,
                ProcessEvent::Crashed(reason) => {
                    format!("node {node} ended at {:.1} ms: {reason}", as_ms(*at))
                }
                ProcessEvent::NeverReady => format!("node {node} was not ready by {:.1} ms", as_ms(*at)),
                ProcessEvent::Exceeded(limit) => format!("node {node} at {:.1} ms: {limit}", as_ms(*at)),
                ProcessEvent::Overstayed => {
                    format!("node {node} had not ended by {:.1} ms after SIGTERM", as_ms(*at))
                }
            };
            self.add(Invariant::Nodes, description);
        }
    }
}
