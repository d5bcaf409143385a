//! The servers and discovery of a day together with what goes wrong with them.

use std::collections::{BTreeMap, VecDeque};

use crate::discovery::{self, Discovery, Status};
use crate::disruptions::{merge_faults, timeline, ScheduledEvent};
use crate::experiment::Experiment;
use crate::seed::Seed;
use crate::server::{Arrival, Completion, Server, ServerFaults, ServerState};
use crate::Nanos;

/// What the host has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// An attempt has ended at a server.
    Completed(usize, Completion),
    /// All connections of a server end with a reset and new ones are refused.
    RefuseConnections(usize),
    /// A server's connections stay open and say nothing.
    SilenceConnections(usize),
    /// A server takes connections again.
    AcceptConnections(usize),
    /// A call to discovery has ended.
    DiscoveryCallEnded(discovery::CallOutcome),
    /// What concerns nodes, peers and the report.
    Scheduled(ScheduledEvent),
}

/// The servers and discovery of one day.
#[derive(Debug)]
pub struct Fleet {
    servers: Vec<Server>,
    since: Vec<Nanos>,
    faults: Vec<BTreeMap<usize, ServerFaults>>, // by trouble
    discovery: Discovery,
    coming: VecDeque<(Nanos, ScheduledEvent)>,
    done: Vec<Completion>,
    told: Vec<discovery::CallOutcome>,
}

impl Fleet {
    /// All servers up and warm.
    pub fn new(day: &Experiment, seed: Seed) -> Self {
        let kinds = day.server_kinds();
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
    pub fn started_at(&self, server: usize) -> Nanos {
        self.since[server]
    }

    /// The whole list as discovery has it.
    pub fn server_list(&self) -> discovery::Listing {
        self.discovery.full_list()
    }

    /// When the list began to show each change; see [`Discovery::shown`].
    pub fn published_changes(&self) -> &[(Nanos, usize, Status)] {
        self.discovery.published_changes()
    }

    /// When something happens next by itself.
    pub fn next_due(&self) -> Option<Nanos> {
        let servers = self.servers.iter().filter_map(Server::next_due);
        let coming = self.coming.front().map(|&(at, _)| at);
        servers.chain(coming).chain(self.discovery.next_due()).min()
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Nanos, out: &mut Vec<FleetEvent>) {
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
        out.extend(self.told.drain(..).map(FleetEvent::DiscoveryCallEnded));
    }

    fn at_server(
        &mut self, n: usize, out: &mut Vec<FleetEvent>, act: impl FnOnce(&mut Server, &mut Vec<Completion>),
    ) {
        let was = self.servers[n].state();
        act(&mut self.servers[n], &mut self.done);
        out.extend(self.done.drain(..).map(|done| FleetEvent::Completed(n, done)));
        if was != ServerState::Down && self.servers[n].state() == ServerState::Down {
            out.push(FleetEvent::RefuseConnections(n));
        }
    }

    /// A request has reached a server whole.
    pub fn receive_request(
        &mut self, now: Nanos, server: usize, arrival: Arrival, out: &mut Vec<FleetEvent>,
    ) {
        let was = self.servers[server].state();
        self.at_server(server, out, |model, done| model.receive_request(now, arrival, done));
        if was != ServerState::Down && self.servers[server].state() == ServerState::Down {
            // It fell over, which nobody tells discovery.
            self.discovery.record_change(now, server, Status::Terminated, self.since[server], true);
        }
    }

    /// Whoever sent an attempt has stopped waiting for it.
    pub fn attempt_abandoned(&mut self, now: Nanos, server: usize, job: u64, out: &mut Vec<FleetEvent>) {
        self.at_server(server, out, |model, done| model.attempt_abandoned(now, job, done));
    }

    /// Whether a server takes a further connection; each one taken ends with [`Fleet::closed`].
    pub fn open_connection(&mut self, server: usize) -> bool {
        self.servers[server].open_connection()
    }

    /// A connection to a server has ended.
    pub fn connection_closed(&mut self, server: usize) {
        self.servers[server].connection_closed();
    }

    /// A call to discovery; see [`Discovery::call`].
    pub fn call_discovery(
        &mut self, now: Nanos, call: u64, watch: Option<(u64, Nanos)>, out: &mut Vec<FleetEvent>,
    ) {
        self.discovery.call(now, call, watch, &mut self.told);
        out.extend(self.told.drain(..).map(FleetEvent::DiscoveryCallEnded));
    }

    /// Whoever called discovery has gone.
    pub fn cancel_discovery_call(&mut self, call: u64) {
        self.discovery.cancel_call(call);
    }

    fn change(&mut self, now: Nanos, change: ScheduledEvent, out: &mut Vec<FleetEvent>) {
        match change {
            ScheduledEvent::Stop { server, silent } => {
                if self.servers[server].state() != ServerState::Down {
                    self.at_server(server, out, |model, done| model.set_state(now, ServerState::Down, done));
                    self.discovery.record_change(now, server, Status::Terminated, self.since[server], silent);
                }
            }
            ScheduledEvent::Vanish(server) => {
                self.at_server(server, out, |model, done| model.set_state(now, ServerState::Vanished, done));
                out.push(FleetEvent::SilenceConnections(server));
                self.discovery.record_change(now, server, Status::Terminated, self.since[server], true);
            }
            ScheduledEvent::Start(server) => {
                self.at_server(server, out, |model, done| model.set_state(now, ServerState::Up, done));
                if self.servers[server].state() == ServerState::Up {
                    self.since[server] = now;
                    out.push(FleetEvent::AcceptConnections(server));
                    self.discovery.record_change(now, server, Status::InService, now, false);
                }
            }
            ScheduledEvent::Drain(server) => {
                if self.servers[server].state() == ServerState::Up {
                    self.at_server(server, out, |model, done| {
                        model.set_state(now, ServerState::Draining, done)
                    });
                    self.discovery.record_change(now, server, Status::Terminating, self.since[server], false);
                }
            }
            ScheduledEvent::Fault { server, disruption: trouble, faults } => {
                match faults {
                    Some(faults) => self.faults[server].insert(trouble, faults),
                    None => self.faults[server].remove(&trouble),
                };
                let all = merge_faults(self.faults[server].values());
                self.at_server(server, out, |model, done| model.set_faults(now, all, done));
            }
            ScheduledEvent::Discovery { down } => {
                self.discovery.set_down(now, down, &mut self.told);
                out.extend(self.told.drain(..).map(FleetEvent::DiscoveryCallEnded));
                out.push(FleetEvent::Scheduled(ScheduledEvent::Discovery { down }));
            }
            other => out.push(FleetEvent::Scheduled(other)),
        }
    }
}
