//! The ledger: what each side saw of every request, and whether the rules were kept.
//!
//! Clients, guide servers and discovery write down what they see, each for itself. The laws are checked when
//! all is over, over both sides at once, so that no part of the lab has to trust a node.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::clients::{End, Try, Wish};
use crate::discovery::Status;
use crate::experiment::{Effect, Experiment};
use crate::server::{Fall, Reply};
use crate::told::Told;
use crate::{millis, Nanos, MS};

/// Breaches of one law that are told in full; beyond that they are only counted.
const TOLD_MOST: usize = 5;
/// Share of tries without any answer from a live node that is taken for the machine's doing.
const UNANSWERED_MOST: f64 = 0.01;
/// Requests and peers below which a share says nothing.
const FEW: usize = 20;

/// A try, as its client saw it.
#[derive(Clone, Copy, Debug)]
pub struct Tried {
    /// The try.
    pub is: Try,
    /// The node that it went to, if there was one.
    pub node: Option<usize>,
    /// When its last byte was written; none: never.
    pub written: Option<Nanos>,
    /// It was the first request on its connection.
    pub first: bool,
    /// When a kept connection last closed under it with no answer, before it was written anew; none: never.
    pub closed: Option<Nanos>,
    /// When it ended.
    pub ended: Nanos,
    /// How.
    pub end: End,
    /// More came on the connection than one answer.
    pub extra: bool,
}

/// An attempt, as a guide server saw it.
#[derive(Clone, Copy, Debug)]
pub struct Run {
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
    pub ran: bool,
}

/// A peer that sent no proper request.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// The node.
    pub node: usize,
    /// When it connected.
    pub at: Nanos,
    /// When it had an error or a close; none: it had neither.
    pub ended: Option<Nanos>,
}

/// What happened to a node's process.
#[derive(Clone, Debug, PartialEq)]
pub enum Life {
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
    pub wishes: Vec<Wish>,
    /// All tries.
    pub tries: Vec<Tried>,
    /// All attempts that reached a server.
    pub runs: Vec<Run>,
    /// What nodes were told.
    pub told: Vec<Told>,
    /// Peers that sent no proper request.
    pub peers: Vec<Peer>,
    /// What happened to nodes.
    pub nodes: Vec<(Nanos, usize, Life)>,
    /// Cold servers that fell over, by number.
    pub falls: Vec<(usize, Fall)>,
    /// Troubles, for the report.
    pub marks: Vec<(Nanos, String)>,
}

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Law {
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
pub struct Breach {
    /// The law.
    pub law: Law,
    /// What happened: ids and times.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}: {}", self.law, self.what)
    }
}

struct Book<'a> {
    day: &'a Experiment,
    ledger: &'a Ledger,
    grace: Nanos,
    runs: BTreeMap<u64, Vec<&'a Run>>, // by id, in the order of arrival
    found: BTreeMap<Law, Vec<String>>,
}

fn ms(at: Nanos) -> f64 {
    at as f64 / MS as f64
}

/// All breaches, by law; each law's first few in full, the rest as a number.
pub fn judge(day: &Experiment, ledger: &Ledger) -> Vec<Breach> {
    let mut runs: BTreeMap<u64, Vec<&Run>> = BTreeMap::new();
    for run in &ledger.runs {
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
        breaches.extend(all.into_iter().take(TOLD_MOST).map(|what| Breach { law, what }));
        if more > 0 {
            breaches.push(Breach { law, what: format!("and {more} more") });
        }
    }
    breaches
}

impl<'a> Book<'a> {
    fn breach(&mut self, law: Law, what: String) {
        self.found.entry(law).or_default().push(what);
    }

    fn attempts_of(&self, id: u64) -> &[&'a Run] {
        self.runs.get(&id).map_or(&[], Vec::as_slice)
    }

    /// Whether the day itself took the node's process away while this try was out, or just before: a killed process
    /// takes some time to go.
    fn killed(&self, tried: &Tried) -> bool {
        let out = tried.closed.or(tried.written).unwrap_or(tried.is.planned);
        let from = out.saturating_sub(self.grace);
        self.ledger.nodes.iter().any(|(at, node, life)| {
            Some(*node) == tried.node
                && *life == (Life::Stopped { killed: true })
                && (from..=tried.ended + self.grace).contains(at)
        })
    }

    fn answers(&mut self) {
        let (mut unanswered, mut written, mut held, mut found) = (Vec::new(), 0, Vec::new(), Vec::new());
        for tried in &self.ledger.tries {
            let Some(sent) = tried.written else { continue };
            written += 1;
            let id = tried.is.id;
            let runs = self.attempts_of(id);
            let name = format!("{id:016x} at node {} sent {:.1} ms", tried.node.unwrap_or(0), ms(sent));
            let lost = tried.closed.is_some_and(|closed| runs.iter().any(|run| run.arrived < closed));
            if lost && !self.killed(tried) {
                found.push((Law::Answered, format!("{name}: closed without an answer, then sent anew")));
            }
            if tried.extra {
                found.push((Law::AnsweredOnce, format!("{name}: more than one answer")));
            }
            match tried.end {
                End::Unanswered if !self.killed(tried) => unanswered.push(name),
                // A node may close a connection on which it has sent nothing on: failed, but not lost.
                End::Closed if (!tried.first || !runs.is_empty()) && !self.killed(tried) => {
                    found.push((Law::Answered, format!("{name}: closed without an answer")));
                }
                End::Answered { status: 200, genuine, .. } => {
                    let made = runs.iter().any(|run| run.ran && run.reply == Some(Reply::Served));
                    if !genuine || !made {
                        found.push((Law::Genuine, format!("{name}: served what no server made")));
                    }
                }
                End::Answered { .. } => {
                    if tried.end.refused() && self.may_have_run(tried, runs) {
                        found.push((Law::HonestRefusal, format!("{name}: refused though it may have run")));
                    }
                    let waited = tried.ended.saturating_sub(sent);
                    if runs.is_empty() && 2 * waited > tried.is.budget && waited > self.grace {
                        held.push(format!("{name}: given up after {:.1} ms untried", ms(waited)));
                    }
                }
                _ => {}
            }
        }
        found.into_iter().for_each(|(law, what)| self.breach(law, what));
        if unanswered.len() >= FEW && unanswered.len() as f64 > UNANSWERED_MOST * written as f64 {
            unanswered.iter().for_each(|name| self.breach(Law::Answered, format!("{name}: never answered")));
        }
        if held.len() >= FEW && held.len() as f64 > self.day.rules.held_back * written as f64 {
            held.into_iter().for_each(|what| self.breach(Law::HeldBack, what));
        }
    }

    fn may_have_run(&self, tried: &Tried, runs: &[&Run]) -> bool {
        let effect = self.day.classes[tried.is.wish.class].effect;
        effect == Effect::Unsafe && runs.iter().any(|run| run.reply != Some(Reply::TurnedAway))
    }

    fn unsafe_once(&mut self) {
        let mut all: BTreeMap<usize, Vec<&Run>> = BTreeMap::new();
        for tried in &self.ledger.tries {
            if self.day.classes[tried.is.wish.class].effect == Effect::Unsafe {
                all.entry(tried.is.request).or_default().extend(self.attempts_of(tried.is.id));
            }
        }
        for (request, mut runs) in all {
            runs.sort_by_key(|run| run.arrived);
            runs.dedup_by_key(|run| (run.id, run.arrived, run.server));
            let ran = runs.iter().filter(|run| run.ran).count();
            // An arrival is sure of an earlier one only if that had been turned away before it.
            let unproven = runs.windows(2).any(|two| {
                two[0].reply != Some(Reply::TurnedAway) || two[0].ended.is_none_or(|at| at > two[1].arrived)
            });
            if ran > 1 || unproven {
                let each = runs.iter().map(|run| {
                    let Run { id, server, node, .. } = run;
                    format!("{id:016x} at server {server} from node {node} at {:.1} ms", ms(run.arrived))
                });
                let list = each.collect::<Vec<_>>().join(", ");
                self.breach(Law::UnsafeOnce, format!("request {request} ran {ran} times: {list}"));
            }
        }
    }

    fn attempts(&mut self) {
        let known: BTreeSet<u64> = self.ledger.tries.iter().map(|tried| tried.is.id).collect();
        let mut found = Vec::new();
        for (id, runs) in &self.runs {
            let first = runs[0];
            if !known.contains(id) {
                let what = format!("{id:016x} from node {} at {:.1} ms", first.node, ms(first.arrived));
                found.push((Law::NoStranger, what));
            } else if runs.len() > self.day.rules.attempts as usize {
                found.push((Law::Attempts, format!("{id:016x}: {} attempts", runs.len())));
            }
        }
        found.into_iter().for_each(|(law, what)| self.breach(law, what));
    }

    fn drains(&mut self) {
        let mut told: BTreeMap<(usize, usize), Vec<&Told>> = BTreeMap::new();
        for one in &self.ledger.told {
            told.entry((one.node, one.server)).or_default().push(one);
        }
        told.values_mut().for_each(|all| all.sort_by_key(|one| one.at));
        let grace = millis(self.day.rules.drain_ms) + self.grace;
        let mut found = Vec::new();
        for run in &self.ledger.runs {
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
        found.into_iter().for_each(|what| self.breach(Law::Drain, what));
    }

    fn cold(&mut self) {
        // Two thirds have to come from nodes that knew: who was not told cannot hold back.
        for (server, fall) in self.ledger.falls.iter().filter(|(_, fall)| fall.told >= 2.0 / 3.0) {
            let what = format!(
                "server {server} fell over at {:.1} ms under {:.2} times what it bears, {:.0}% of it from nodes \
                 told of its start",
                ms(fall.at),
                fall.load,
                100.0 * fall.told
            );
            self.breach(Law::Cold, what);
        }
    }

    fn peers(&mut self) {
        let most = millis(self.day.rules.bad_peer_ms) + self.grace;
        let late = |peer: &&Peer| peer.ended.is_none_or(|ended| ended > peer.at + most);
        let (late, all) = (self.ledger.peers.iter().filter(late).count(), self.ledger.peers.len());
        if late >= FEW && late as f64 > 0.02 * all as f64 {
            self.breach(Law::BadPeers, format!("{late} of {all} had neither an error nor a close in time"));
        }
    }

    fn nodes(&mut self) {
        for (at, node, life) in &self.ledger.nodes {
            let what = match life {
                Life::Stopped { .. } => continue,
                Life::Crashed(how) => format!("node {node} ended at {:.1} ms: {how}", ms(*at)),
                Life::NeverReady => format!("node {node} was not ready by {:.1} ms", ms(*at)),
                Life::Exceeded(what) => format!("node {node} at {:.1} ms: {what}", ms(*at)),
                Life::Overstayed => format!("node {node} had not ended by {:.1} ms after SIGTERM", ms(*at)),
            };
            self.breach(Law::Nodes, what);
        }
    }
}
