//! The servers and discovery of a run together with their disruptions.

use std::collections::{BTreeMap, VecDeque};

use crate::discovery::{self, Discovery, Status};
use crate::disruptions::{merge_faults, timeline, ScheduledEvent};
use crate::experiment::Experiment;
use crate::seed::Seed;
use crate::server::{Arrival, Completion, Server, ServerFaults, ServerState};
use crate::Nanos;

/// An event that the host has to action on.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// An attempt has ended at a server.
    Completed(usize, Completion),
    /// A server resets all its connections and refuses new ones.
    RefuseConnections(usize),
    /// A server stops responding; its connections stay open.
    SilenceConnections(usize),
    /// A server accepts connections again.
    AcceptConnections(usize),
    /// A call to discovery has ended.
    DiscoveryCallEnded(discovery::CallOutcome),
    /// A scheduled event for nodes, peers, calls to discovery or the report.
    Scheduled(ScheduledEvent),
}

/// The servers and discovery of one run.
#[derive(Debug)]
pub struct Fleet {
    servers: Vec<Server>,
    started_at: Vec<Nanos>,
    faults: Vec<BTreeMap<usize, ServerFaults>>, // by server, then by disruption
    discovery: Discovery,
    schedule: VecDeque<(Nanos, ScheduledEvent)>,
    completions: Vec<Completion>,
    call_outcomes: Vec<discovery::CallOutcome>,
}

impl Fleet {
    /// Creates a fleet in which all servers are up and warm.
    pub fn new(experiment: &Experiment, seed: Seed) -> Self {
        let kinds = experiment.server_kinds();
        let new_server = |(n, &kind): (usize, &usize)| {
            Server::new(experiment.fleet.kinds[kind].build.clone(), n as u64, seed.0)
        };
        Fleet {
            servers: kinds.iter().enumerate().map(new_server).collect(),
            started_at: vec![0; kinds.len()],
            faults: vec![BTreeMap::new(); kinds.len()],
            discovery: Discovery::new(experiment.discovery.clone(), 0..kinds.len()),
            schedule: timeline(experiment, seed).into(),
            completions: Vec::new(),
            call_outcomes: Vec::new(),
        }
    }

    /// Returns the servers by index.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// Returns when a server last started; 0 means before the run.
    pub fn started_at(&self, server: usize) -> Nanos {
        self.started_at[server]
    }

    /// Returns the complete server list of discovery.
    pub fn server_list(&self) -> discovery::Listing {
        self.discovery.full_list()
    }

    /// Returns when the list published each change; see [`Discovery::published_changes`].
    pub fn published_changes(&self) -> &[(Nanos, usize, Status)] {
        self.discovery.published_changes()
    }

    /// Returns when the next event is due if no call changes the fleet before.
    pub fn next_due(&self) -> Option<Nanos> {
        let servers = self.servers.iter().filter_map(Server::next_due);
        let scheduled = self.schedule.front().map(|&(at, _)| at);
        servers.chain(scheduled).chain(self.discovery.next_due()).min()
    }

    /// Advances the time; appends the resulting events to `out`.
    pub fn advance(&mut self, now: Nanos, out: &mut Vec<FleetEvent>) {
        while self.schedule.front().is_some_and(|&(at, _)| at <= now) {
            let Some((at, event)) = self.schedule.pop_front() else { break };
            self.apply(at, event, out);
        }
        for server in 0..self.servers.len() {
            if self.servers[server].next_due().is_some_and(|due| due <= now) {
                self.at_server(server, out, |server, out| server.advance(now, out));
            }
        }
        self.discovery.advance(now, &mut self.call_outcomes);
        out.extend(self.call_outcomes.drain(..).map(FleetEvent::DiscoveryCallEnded));
    }

    fn at_server(
        &mut self, n: usize, out: &mut Vec<FleetEvent>,
        action: impl FnOnce(&mut Server, &mut Vec<Completion>),
    ) {
        let previous = self.servers[n].state();
        action(&mut self.servers[n], &mut self.completions);
        out.extend(self.completions.drain(..).map(|completion| FleetEvent::Completed(n, completion)));
        if previous != ServerState::Down && self.servers[n].state() == ServerState::Down {
            out.push(FleetEvent::RefuseConnections(n));
        }
    }

    /// Handles a request that has reached a server completely.
    pub fn receive_request(
        &mut self, now: Nanos, server: usize, arrival: Arrival, out: &mut Vec<FleetEvent>,
    ) {
        let previous = self.servers[server].state();
        self.at_server(server, out, |server, out| server.receive_request(now, arrival, out));
        if previous != ServerState::Down && self.servers[server].state() == ServerState::Down {
            // The server crashed under the load, so it did not deregister from discovery.
            self.discovery.record_change(now, server, Status::Terminated, self.started_at[server], true);
        }
    }

    /// Handles an attempt whose sender has stopped waiting for it.
    pub fn attempt_abandoned(&mut self, now: Nanos, server: usize, job: u64, out: &mut Vec<FleetEvent>) {
        self.at_server(server, out, |server, out| server.attempt_abandoned(now, job, out));
    }

    /// Returns whether a server accepts a further connection. Each accepted one ends with
    /// [`Fleet::connection_closed`].
    pub fn open_connection(&mut self, server: usize) -> bool {
        self.servers[server].open_connection()
    }

    /// Records that a connection to a server has ended.
    pub fn connection_closed(&mut self, server: usize) {
        self.servers[server].connection_closed();
    }

    /// Makes a call to discovery; see [`Discovery::call`].
    pub fn call_discovery(
        &mut self, now: Nanos, call: u64, watch: Option<(u64, Nanos)>, out: &mut Vec<FleetEvent>,
    ) {
        self.discovery.call(now, call, watch, &mut self.call_outcomes);
        out.extend(self.call_outcomes.drain(..).map(FleetEvent::DiscoveryCallEnded));
    }

    /// Cancels a call to discovery whose caller is gone.
    pub fn cancel_discovery_call(&mut self, call: u64) {
        self.discovery.cancel_call(call);
    }

    fn apply(&mut self, now: Nanos, event: ScheduledEvent, out: &mut Vec<FleetEvent>) {
        match event {
            ScheduledEvent::Stop { server, silent } => {
                if self.servers[server].state() != ServerState::Down {
                    self.at_server(server, out, |server, out| server.set_state(now, ServerState::Down, out));
                    self.discovery.record_change(
                        now,
                        server,
                        Status::Terminated,
                        self.started_at[server],
                        silent,
                    );
                }
            }
            ScheduledEvent::Vanish(server) => {
                self.at_server(server, out, |server, out| server.set_state(now, ServerState::Vanished, out));
                out.push(FleetEvent::SilenceConnections(server));
                self.discovery.record_change(now, server, Status::Terminated, self.started_at[server], true);
            }
            ScheduledEvent::Start(server) => {
                self.at_server(server, out, |server, out| server.set_state(now, ServerState::Up, out));
                if self.servers[server].state() == ServerState::Up {
                    self.started_at[server] = now;
                    out.push(FleetEvent::AcceptConnections(server));
                    self.discovery.record_change(now, server, Status::InService, now, false);
                }
            }
            ScheduledEvent::Drain(server) => {
                if self.servers[server].state() == ServerState::Up {
                    self.at_server(server, out, |server, out| {
                        server.set_state(now, ServerState::Draining, out)
                    });
                    self.discovery.record_change(
                        now,
                        server,
                        Status::Terminating,
                        self.started_at[server],
                        false,
                    );
                }
            }
            ScheduledEvent::Fault { server, disruption, faults } => {
                match faults {
                    Some(faults) => self.faults[server].insert(disruption, faults),
                    None => self.faults[server].remove(&disruption),
                };
                let merged = merge_faults(self.faults[server].values());
                self.at_server(server, out, |server, out| server.set_faults(now, merged, out));
            }
            ScheduledEvent::Discovery { down } => {
                self.discovery.set_down(now, down, &mut self.call_outcomes);
                out.extend(self.call_outcomes.drain(..).map(FleetEvent::DiscoveryCallEnded));
                out.push(FleetEvent::Scheduled(ScheduledEvent::Discovery { down }));
            }
            other => out.push(FleetEvent::Scheduled(other)),
        }
    }
}
