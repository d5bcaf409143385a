//! The ledger: what each side saw of every request, and whether the rules were kept.
//!
//! Clients, guide servers and discovery write down what they see, each for itself. The laws are checked when
//! all is over, over both sides at once, so that no part of the lab has to trust a node.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::clients::{RequestPlan, Try, TryOutcome};
use crate::discovery::Status;
use crate::experiment::{Experiment, RetrySafety};
use crate::notifications::Notification;
use crate::server::{OverloadCrash, Reply};
use crate::{millis, Nanos, MS};

/// Breaches of one law that are told in full; beyond that they are only counted.
const TOLD_MOST: usize = 5;
/// Share of tries without any answer from a live node that is taken for the machine's doing.
const UNANSWERED_MOST: f64 = 0.01;
/// Requests and peers below which a share says nothing.
const FEW: usize = 20;

/// A try, as its client saw it.
#[derive(Clone, Copy, Debug)]
pub struct TryRecord {
    /// The try.
    pub client_try: Try,
    /// The node that it went to, if there was one.
    pub node: Option<usize>,
    /// When its last byte was written; none: never.
    pub written_at: Option<Nanos>,
    /// It was the first request on its connection.
    pub first_on_connection: bool,
    /// When a kept connection last closed under it with no answer, before it was written anew; none: never.
    pub closed_at: Option<Nanos>,
    /// When it ended.
    pub ended: Nanos,
    /// How.
    pub outcome: TryOutcome,
    /// More came on the connection than one answer.
    pub extra_data: bool,
}

/// An attempt, as a guide server saw it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRecord {
    /// Id that the request bore.
    pub id: u64,
    /// The node that it came from.
    pub node: usize,
    /// The server.
    pub server: usize,
    /// When its last byte had arrived.
    pub arrived: Nanos,
    /// When it ended there; none: not yet.
    pub ended: Option<Nanos>,
    /// What went back; none: nothing did.
    pub reply: Option<Reply>,
    /// The server worked on it.
    pub executed: bool,
}

/// A peer that sent no proper request.
#[derive(Clone, Copy, Debug)]
pub struct InvalidPeer {
    /// The node.
    pub node: usize,
    /// When it connected.
    pub at: Nanos,
    /// When it had an error or a close; none: it had neither.
    pub ended: Option<Nanos>,
}

/// What happened to a node's process.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessEvent {
    /// It was told to end, or killed, as the day wanted it.
    Stopped {
        /// SIGKILL; else SIGTERM.
        killed: bool,
    },
    /// It ended by itself though nobody wanted it to, or with an error.
    Crashed(String),
    /// It did not become ready in time.
    NeverReady,
    /// It used more than it may.
    Exceeded(String),
    /// It went on after SIGTERM for longer than it may.
    Overstayed,
}

/// Everything that was seen in a day.
#[derive(Debug, Default)]
pub struct Ledger {
    /// All that was asked for.
    pub plans: Vec<RequestPlan>,
    /// All tries.
    pub tries: Vec<TryRecord>,
    /// All attempts that reached a server.
    pub attempts: Vec<AttemptRecord>,
    /// What nodes were told.
    pub notifications: Vec<Notification>,
    /// Peers that sent no proper request.
    pub peers: Vec<InvalidPeer>,
    /// What happened to nodes.
    pub process_events: Vec<(Nanos, usize, ProcessEvent)>,
    /// Cold servers that fell over, by number.
    pub overload_crashes: Vec<(usize, OverloadCrash)>,
    /// Troubles, for the report.
    pub marks: Vec<(Nanos, String)>,
}

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Each request that was taken has a final answer, in time.
    Answered,
    /// And no more than one.
    AnsweredOnce,
    /// What is unsafe never runs twice, and is not sent again without proof that it never ran.
    UnsafeOnce,
    /// What may have run and is unsafe is not refused.
    HonestRefusal,
    /// Nothing new to a server later than its grace after a node was told that it drains or is gone.
    Drain,
    /// Cold servers are not flooded.
    Cold,
    /// Nothing is served that no server made.
    Genuine,
    /// No request reaches a server that no client sent.
    NoStranger,
    /// A request has no more attempts than it may.
    Attempts,
    /// What has been given up is answered at once.
    HeldBack,
    /// Who sends no proper request has an error or a close in time.
    BadPeers,
    /// Nodes start, stay, keep to their limits and end when told.
    Nodes,
    /// The least share of the worth that the experiment asks for is served.
    Served,
}

/// One breach.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The law.
    pub invariant: Invariant,
    /// What happened: ids and times.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.description)
    }
}

struct Book<'a> {
    day: &'a Experiment,
    ledger: &'a Ledger,
    grace: Nanos,
    runs: BTreeMap<u64, Vec<&'a AttemptRecord>>, // by id, in the order of arrival
    found: BTreeMap<Invariant, Vec<String>>,
}

fn ms(at: Nanos) -> f64 {
    at as f64 / MS as f64
}

/// All breaches, by law; each law's first few in full, the rest as a number.
pub fn find_violations(day: &Experiment, ledger: &Ledger) -> Vec<Violation> {
    let mut runs: BTreeMap<u64, Vec<&AttemptRecord>> = BTreeMap::new();
    for run in &ledger.attempts {
        runs.entry(run.id).or_default().push(run);
    }
    runs.values_mut().for_each(|runs| runs.sort_by_key(|run| run.arrived));
    let grace = millis(day.rules.grace_ms);
    let mut book = Book { day, ledger, grace, runs, found: BTreeMap::new() };
    book.answers();
    book.unsafe_once();
    book.attempts();
    book.drains();
    book.cold();
    book.peers();
    book.nodes();
    let mut breaches = Vec::new();
    for (law, all) in book.found {
        let more = all.len().saturating_sub(TOLD_MOST);
        breaches.extend(
            all.into_iter().take(TOLD_MOST).map(|what| Violation { invariant: law, description: what }),
        );
        if more > 0 {
            breaches.push(Violation { invariant: law, description: format!("and {more} more") });
        }
    }
    breaches
}

impl<'a> Book<'a> {
    fn breach(&mut self, law: Invariant, what: String) {
        self.found.entry(law).or_default().push(what);
    }

    fn attempts_of(&self, id: u64) -> &[&'a AttemptRecord] {
        self.runs.get(&id).map_or(&[], Vec::as_slice)
    }

    /// Whether the day itself took the node's process away while this try was out, or just before: a killed process
    /// takes some time to go.
    fn killed(&self, tried: &TryRecord) -> bool {
        let out = tried.closed_at.or(tried.written_at).unwrap_or(tried.client_try.scheduled_at);
        let from = out.saturating_sub(self.grace);
        self.ledger.process_events.iter().any(|(at, node, life)| {
            Some(*node) == tried.node
                && *life == (ProcessEvent::Stopped { killed: true })
                && (from..=tried.ended + self.grace).contains(at)
        })
    }

    fn answers(&mut self) {
        let (mut unanswered, mut written, mut held, mut found) = (Vec::new(), 0, Vec::new(), Vec::new());
        for tried in &self.ledger.tries {
            let Some(sent) = tried.written_at else { continue };
            written += 1;
            let id = tried.client_try.id;
            let runs = self.attempts_of(id);
            let name = format!("{id:016x} at node {} sent {:.1} ms", tried.node.unwrap_or(0), ms(sent));
            let lost = tried.closed_at.is_some_and(|closed| runs.iter().any(|run| run.arrived < closed));
            if lost && !self.killed(tried) {
                found
                    .push((Invariant::Answered, format!("{name}: closed without an answer, then sent anew")));
            }
            if tried.extra_data {
                found.push((Invariant::AnsweredOnce, format!("{name}: more than one answer")));
            }
            match tried.outcome {
                TryOutcome::Unanswered if !self.killed(tried) => unanswered.push(name),
                // A node may close a connection on which it has sent nothing on: failed, but not lost.
                TryOutcome::Closed
                    if (!tried.first_on_connection || !runs.is_empty()) && !self.killed(tried) =>
                {
                    found.push((Invariant::Answered, format!("{name}: closed without an answer")));
                }
                TryOutcome::Answered { status: 200, genuine, .. } => {
                    let made = runs.iter().any(|run| run.executed && run.reply == Some(Reply::Served));
                    if !genuine || !made {
                        found.push((Invariant::Genuine, format!("{name}: served what no server made")));
                    }
                }
                TryOutcome::Answered { .. } => {
                    if tried.outcome.refused() && self.may_have_run(tried, runs) {
                        found.push((
                            Invariant::HonestRefusal,
                            format!("{name}: refused though it may have run"),
                        ));
                    }
                    let waited = tried.ended.saturating_sub(sent);
                    if runs.is_empty() && 2 * waited > tried.client_try.budget && waited > self.grace {
                        held.push(format!("{name}: given up after {:.1} ms untried", ms(waited)));
                    }
                }
                _ => {}
            }
        }
        found.into_iter().for_each(|(law, what)| self.breach(law, what));
        if unanswered.len() >= FEW && unanswered.len() as f64 > UNANSWERED_MOST * written as f64 {
            unanswered
                .iter()
                .for_each(|name| self.breach(Invariant::Answered, format!("{name}: never answered")));
        }
        if held.len() >= FEW && held.len() as f64 > self.day.rules.held_back * written as f64 {
            held.into_iter().for_each(|what| self.breach(Invariant::HeldBack, what));
        }
    }

    fn may_have_run(&self, tried: &TryRecord, runs: &[&AttemptRecord]) -> bool {
        let effect = self.day.classes[tried.client_try.plan.class].effect;
        effect == RetrySafety::Unsafe && runs.iter().any(|run| run.reply != Some(Reply::TurnedAway))
    }

    fn unsafe_once(&mut self) {
        let mut all: BTreeMap<usize, Vec<&AttemptRecord>> = BTreeMap::new();
        for tried in &self.ledger.tries {
            if self.day.classes[tried.client_try.plan.class].effect == RetrySafety::Unsafe {
                all.entry(tried.client_try.request)
                    .or_default()
                    .extend(self.attempts_of(tried.client_try.id));
            }
        }
        for (request, mut runs) in all {
            runs.sort_by_key(|run| run.arrived);
            runs.dedup_by_key(|run| (run.id, run.arrived, run.server));
            let ran = runs.iter().filter(|run| run.executed).count();
            // An arrival is sure of an earlier one only if that had been turned away before it.
            let unproven = runs.windows(2).any(|two| {
                two[0].reply != Some(Reply::TurnedAway) || two[0].ended.is_none_or(|at| at > two[1].arrived)
            });
            if ran > 1 || unproven {
                let each = runs.iter().map(|run| {
                    let AttemptRecord { id, server, node, .. } = run;
                    format!("{id:016x} at server {server} from node {node} at {:.1} ms", ms(run.arrived))
                });
                let list = each.collect::<Vec<_>>().join(", ");
                self.breach(Invariant::UnsafeOnce, format!("request {request} ran {ran} times: {list}"));
            }
        }
    }

    fn attempts(&mut self) {
        let known: BTreeSet<u64> = self.ledger.tries.iter().map(|tried| tried.client_try.id).collect();
        let mut found = Vec::new();
        for (id, runs) in &self.runs {
            let first = runs[0];
            if !known.contains(id) {
                let what = format!("{id:016x} from node {} at {:.1} ms", first.node, ms(first.arrived));
                found.push((Invariant::NoStranger, what));
            } else if runs.len() > self.day.rules.attempts as usize {
                found.push((Invariant::Attempts, format!("{id:016x}: {} attempts", runs.len())));
            }
        }
        found.into_iter().for_each(|(law, what)| self.breach(law, what));
    }

    fn drains(&mut self) {
        let mut told: BTreeMap<(usize, usize), Vec<&Notification>> = BTreeMap::new();
        for one in &self.ledger.notifications {
            told.entry((one.node, one.server)).or_default().push(one);
        }
        told.values_mut().for_each(|all| all.sort_by_key(|one| one.at));
        let grace = millis(self.day.rules.drain_ms) + self.grace;
        let mut found = Vec::new();
        for run in &self.ledger.attempts {
            let Some(all) = told.get(&(run.node, run.server)) else { continue };
            let before = &all[..all.partition_point(|one| one.at <= run.arrived)];
            // The grace runs from the first of the notices that nothing has taken back.
            let ready = before.iter().rposition(|one| one.status == Status::InService).map_or(0, |n| n + 1);
            if let Some(notice) = before.get(ready).filter(|notice| run.arrived > notice.at + grace) {
                found.push(format!(
                    "{:016x} reached server {} from node {} at {:.1} ms, {:.1} ms after the notice ({:?})",
                    run.id,
                    run.server,
                    run.node,
                    ms(run.arrived),
                    ms(run.arrived - notice.at),
                    notice.status
                ));
            }
        }
        found.into_iter().for_each(|what| self.breach(Invariant::Drain, what));
    }

    fn cold(&mut self) {
        // Two thirds have to come from nodes that knew: who was not told cannot hold back.
        for (server, fall) in
            self.ledger.overload_crashes.iter().filter(|(_, fall)| fall.notified_share >= 2.0 / 3.0)
        {
            let what = format!(
                "server {server} fell over at {:.1} ms under {:.2} times what it bears, {:.0}% of it from nodes \
                 told of its start",
                ms(fall.at),
                fall.load,
                100.0 * fall.notified_share
            );
            self.breach(Invariant::Cold, what);
        }
    }

    fn peers(&mut self) {
        let most = millis(self.day.rules.bad_peer_ms) + self.grace;
        let late = |peer: &&InvalidPeer| peer.ended.is_none_or(|ended| ended > peer.at + most);
        let (late, all) = (self.ledger.peers.iter().filter(late).count(), self.ledger.peers.len());
        if late >= FEW && late as f64 > 0.02 * all as f64 {
            self.breach(
                Invariant::BadPeers,
                format!("{late} of {all} had neither an error nor a close in time"),
            );
        }
    }

    fn nodes(&mut self) {
        for (at, node, life) in &self.ledger.process_events {
            let what = match life {
                ProcessEvent::Stopped { .. } => continue,
                ProcessEvent::Crashed(how) => format!("node {node} ended at {:.1} ms: {how}", ms(*at)),
                ProcessEvent::NeverReady => format!("node {node} was not ready by {:.1} ms", ms(*at)),
                ProcessEvent::Exceeded(what) => format!("node {node} at {:.1} ms: {what}", ms(*at)),
                ProcessEvent::Overstayed => {
                    format!("node {node} had not ended by {:.1} ms after SIGTERM", ms(*at))
                }
            };
            self.breach(Invariant::Nodes, what);
        }
    }
}
