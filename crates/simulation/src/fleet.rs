//! The servers and discovery of a day together with what goes wrong with them.

use std::collections::{BTreeMap, VecDeque};

use crate::discovery::{self, Discovery, Status};
use crate::experiment::Experiment;
use crate::seed::Seed;
use crate::server::{Arrival, Done, Faults, Life, Server};
use crate::trouble::{merged, timeline, Change};
use crate::Nanos;

/// What the host has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// An attempt has ended at a server.
    Done(usize, Done),
    /// All connections of a server end with a reset and new ones are refused.
    Refuse(usize),
    /// A server's connections stay open and say nothing.
    Silence(usize),
    /// A server takes connections again.
    Listen(usize),
    /// A call to discovery has ended.
    Told(discovery::Answer),
    /// What concerns nodes, peers and the report.
    Other(Change),
}

/// The servers and discovery of one day.
#[derive(Debug)]
pub struct Fleet {
    servers: Vec<Server>,
    since: Vec<Nanos>,
    faults: Vec<BTreeMap<usize, Faults>>, // by trouble
    discovery: Discovery,
    coming: VecDeque<(Nanos, Change)>,
    done: Vec<Done>,
    told: Vec<discovery::Answer>,
}

impl Fleet {
    /// All servers up and warm.
    pub fn new(day: &Experiment, seed: Seed) -> Self {
        let kinds = day.kinds();
        let build =
            |(n, &kind): (usize, &usize)| Server::new(day.fleet.kinds[kind].build.clone(), n as u64, seed.0);
        Fleet {
            servers: kinds.iter().enumerate().map(build).collect(),
            since: vec![0; kinds.len()],
            faults: vec![BTreeMap::new(); kinds.len()],
            discovery: Discovery::new(day.discovery.clone(), 0..kinds.len()),
            coming: timeline(day, seed).into(),
            done: Vec::new(),
            told: Vec::new(),
        }
    }

    /// The servers, by number.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// When a server last started; 0: before the day.
    pub fn since(&self, server: usize) -> Nanos {
        self.since[server]
    }

    /// The whole list as discovery has it.
    pub fn list(&self) -> discovery::Listing {
        self.discovery.whole()
    }

    /// When the list began to show each change; see [`Discovery::shown`].
    pub fn shown(&self) -> &[(Nanos, usize, Status)] {
        self.discovery.shown()
    }

    /// When something happens next by itself.
    pub fn next_due(&self) -> Option<Nanos> {
        let servers = self.servers.iter().filter_map(Server::next_due);
        let coming = self.coming.front().map(|&(at, _)| at);
        servers.chain(coming).chain(self.discovery.next_due()).min()
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        while self.coming.front().is_some_and(|&(at, _)| at <= now) {
            let Some((at, change)) = self.coming.pop_front() else { break };
            self.change(at, change, out);
        }
        for server in 0..self.servers.len() {
            if self.servers[server].next_due().is_some_and(|due| due <= now) {
                self.at_server(server, out, |model, done| model.advance(now, done));
            }
        }
        self.discovery.advance(now, &mut self.told);
        out.extend(self.told.drain(..).map(Effect::Told));
    }

    fn at_server(&mut self, n: usize, out: &mut Vec<Effect>, act: impl FnOnce(&mut Server, &mut Vec<Done>)) {
        let was = self.servers[n].life();
        act(&mut self.servers[n], &mut self.done);
        out.extend(self.done.drain(..).map(|done| Effect::Done(n, done)));
        if was != Life::Down && self.servers[n].life() == Life::Down {
            out.push(Effect::Refuse(n));
        }
    }

    /// A request has reached a server whole.
    pub fn request(&mut self, now: Nanos, server: usize, arrival: Arrival, out: &mut Vec<Effect>) {
        let was = self.servers[server].life();
        self.at_server(server, out, |model, done| model.request(now, arrival, done));
        if was != Life::Down && self.servers[server].life() == Life::Down {
            // It fell over, which nobody tells discovery.
            self.discovery.truth(now, server, Status::Terminated, self.since[server], true);
        }
    }

    /// Whoever sent an attempt has stopped waiting for it.
    pub fn abandoned(&mut self, now: Nanos, server: usize, job: u64, out: &mut Vec<Effect>) {
        self.at_server(server, out, |model, done| model.abandoned(now, job, done));
    }

    /// Whether a server takes a further connection; each one taken ends with [`Fleet::closed`].
    pub fn open(&mut self, server: usize) -> bool {
        self.servers[server].open()
    }

    /// A connection to a server has ended.
    pub fn closed(&mut self, server: usize) {
        self.servers[server].closed();
    }

    /// A call to discovery; see [`Discovery::call`].
    pub fn call(&mut self, now: Nanos, call: u64, watch: Option<(u64, Nanos)>, out: &mut Vec<Effect>) {
        self.discovery.call(now, call, watch, &mut self.told);
        out.extend(self.told.drain(..).map(Effect::Told));
    }

    /// Whoever called discovery has gone.
    pub fn call_left(&mut self, call: u64) {
        self.discovery.left(call);
    }

    fn change(&mut self, now: Nanos, change: Change, out: &mut Vec<Effect>) {
        match change {
            Change::Stop { server, silent } => {
                if self.servers[server].life() != Life::Down {
                    self.at_server(server, out, |model, done| model.set_life(now, Life::Down, done));
                    self.discovery.truth(now, server, Status::Terminated, self.since[server], silent);
                }
            }
            Change::Vanish(server) => {
                self.at_server(server, out, |model, done| model.set_life(now, Life::Vanished, done));
                out.push(Effect::Silence(server));
                self.discovery.truth(now, server, Status::Terminated, self.since[server], true);
            }
            Change::Start(server) => {
                self.at_server(server, out, |model, done| model.set_life(now, Life::Up, done));
                if self.servers[server].life() == Life::Up {
                    self.since[server] = now;
                    out.push(Effect::Listen(server));
                    self.discovery.truth(now, server, Status::InService, now, false);
                }
            }
            Change::Drain(server) => {
                if self.servers[server].life() == Life::Up {
                    self.at_server(server, out, |model, done| model.set_life(now, Life::Draining, done));
                    self.discovery.truth(now, server, Status::Terminating, self.since[server], false);
                }
            }
            Change::Fault { server, trouble, faults } => {
                match faults {
                    Some(faults) => self.faults[server].insert(trouble, faults),
                    None => self.faults[server].remove(&trouble),
                };
                let all = merged(self.faults[server].values());
                self.at_server(server, out, |model, done| model.set_faults(now, all, done));
            }
            Change::Discovery { down } => {
                self.discovery.set_down(now, down, &mut self.told);
                out.extend(self.told.drain(..).map(Effect::Told));
                out.push(Effect::Other(Change::Discovery { down }));
            }
            other => out.push(Effect::Other(other)),
        }
    }
}
