//! The event loop that runs membership, log and distribution on one socket.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use merlinfold_config::Fleet as Settings;
use merlinfold_distribution::Content;
use merlinfold_membership::{
    Action, Change, Event, Identity, Membership, Nanos, Profile, Tuning, MAX_DATAGRAM,
};
use socket2::{Domain, Socket, Type};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};
use tracing::{debug, info, warn};

use crate::configuration::{self, ConfigurationDriver, ConfigurationHandle, StartOptions};
use crate::log::{channel, LogDriver, LogHandle, LogView, Proposals};
use crate::snapshot::Snapshot;
use crate::state_store::{Disks, StateStore};
use crate::view_saver::ViewSaver;

const MAX_READS: usize = 64; // datagrams read before the loop handles timers and other events again
const MAX_SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1); // while nothing changes
const MIN_SNAPSHOT_INTERVAL: Duration = Duration::from_millis(100); // after changes
const LOG_INTERVAL: Duration = Duration::from_secs(5); // between log lines about changes
const MAX_LOGGED_CHANGES: usize = 8; // members named in one log line

/// The fleet protocols of one node, with an open socket.
pub struct Fleet {
    name: String,
    settings: Settings,
    socket: UdpSocket,
    snapshots: watch::Sender<Snapshot>,
    disks: Disks,
    log: Option<(LogHandle, Proposals, watch::Sender<LogView>)>,
    configuration: Option<(Arc<dyn Content>, configuration::Publications, configuration::Watches)>,
}

impl Fleet {
    /// Opens the socket of the node with this name. Two processes of a node may share the address while one takes over
    /// from the other.
    pub fn open(name: &str, settings: Settings) -> io::Result<(Self, watch::Receiver<Snapshot>)> {
        let socket = Socket::new(Domain::for_address(settings.listen), Type::DGRAM, None)?;
        socket.set_reuse_port(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&settings.listen.into())?;
        let socket = UdpSocket::from_std(socket.into())?;
        let (snapshots, receiver) = watch::channel(Snapshot { me: name.to_owned(), ..Snapshot::default() });
        let log = settings.log.as_ref().map(|_| channel());
        Ok((
            Fleet {
                name: name.to_owned(),
                settings,
                socket,
                snapshots,
                disks: Disks::default(),
                log,
                configuration: None,
            },
            receiver,
        ))
    }

    /// Handle of the replicated log, if it is configured.
    pub fn log_handle(&self) -> Option<LogHandle> {
        self.log.as_ref().map(|(handle, ..)| handle.clone())
    }

    /// Enables the distribution of configuration if `[fleet.configuration]` is present; `content` composes documents
    /// and puts them in force. The returned handle publishes revisions and shows which is in force at which node.
    pub fn serve_configuration(&mut self, content: Arc<dyn Content>) -> Option<ConfigurationHandle> {
        self.settings.configuration.as_ref()?;
        let (handle, publications, watches) = configuration::channel();
        self.configuration = Some((content, publications, watches));
        Some(handle)
    }

    /// Opens the node's folder through `disks`.
    pub fn with_disks(self, disks: Disks) -> Self {
        Fleet { disks, ..self }
    }

    /// Address at which the node receives datagrams.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Takes part until `leave` becomes true and the leave has been announced, or until another process with this name
    /// supersedes this one. If the future is dropped earlier, other members notice the absence only by failure
    /// detection.
    pub async fn run(self, mut leave: watch::Receiver<bool>) {
        let Fleet { name, settings, socket, snapshots, disks, log, configuration } = self;
        let cluster = settings.cluster.as_str();
        let store =
            settings.folder.clone().map(|folder| StateStore::new(folder, disks.clone(), &name, cluster));
        let saved = match &store {
            Some(store) => store.record_start().await,
            None => Default::default(),
        };
        let address = match socket.local_addr() {
            Ok(local) => settings.advertise.unwrap_or(local),
            Err(error) => {
                return warn!(%error, "fleet: cannot determine the address of the socket; this node does not take part")
            }
        };
        let mut seeds = settings.seeds.clone();
        seeds.extend(&saved.addresses);
        let run = saved.run_number(fastrand::u32(..));
        let identity = Identity {
            cluster: cluster.into(),
            name: name.as_str().into(),
            run,
            profile: Profile {
                zone: settings.zone.as_str().into(),
                machine: settings.machine.as_str().into(),
                address,
                version: env!("CARGO_PKG_VERSION").into(),
                protocols: (merlinfold_membership::PROTOCOL_VERSION, merlinfold_membership::PROTOCOL_VERSION),
            },
            seeds,
        };
        info!(cluster, %address, starts = saved.starts, known = saved.addresses.len(), "fleet: joining");
        let (cluster_number, started) = (identity.cluster_number(), Instant::now());
        let (log, proposals) = match (log, &settings.log) {
            (Some((_, proposals, view_sender)), Some(log)) => {
                let disk = settings.folder.clone().map(|folder| (folder, disks.clone()));
                (
                    Some(LogDriver::start(log, (&name, cluster_number, run), disk, view_sender, 0).await),
                    Some(proposals),
                )
            }
            _ => (None, None),
        };
        let (configuration, publications) = match (configuration, settings.configuration.clone()) {
            (Some((content, publications, watches)), Some(table)) => {
                let id = merlinfold_distribution::Identity {
                    cluster: cluster_number,
                    name: name.as_str().into(),
                    zone: settings.zone.as_str().into(),
                };
                let disk = settings.folder.clone().map(|folder| (folder, disks));
                let options = StartOptions { settings: table, id, content, disk, watches };
                (Some(ConfigurationDriver::start(options, 0).await), Some(publications))
            }
            _ => (None, None),
        };
        let mut event_loop = EventLoop {
            log,
            configuration,
            machine: Membership::new(identity, Tuning::default(), fastrand::u64(..), 0),
            started,
            name,
            socket,
            snapshots,
            snapshot_published: Instant::now(),
            changed: true,
            changes: VecDeque::new(),
            unlogged_changes: 0,
            changes_logged: Instant::now(),
        };
        let mut view_saver = ViewSaver::new(store, saved.starts);
        event_loop.run(&mut leave, &mut view_saver, proposals, publications).await;
        event_loop.publish_snapshot();
    }
}

/// Waits for the log's disk; never returns without a log.
async fn write_result(log: &mut Option<LogDriver>) -> bool {
    match log {
        Some(log) => log.write_result().await,
        None => std::future::pending().await,
    }
}

/// The next item of a queue; never returns if there is no queue or all its senders are gone.
async fn next<T>(queue: &mut Option<mpsc::Receiver<T>>) -> T {
    match queue {
        Some(receiver) => match receiver.recv().await {
            Some(item) => item,
            None => std::future::pending().await,
        },
        None => std::future::pending().await,
    }
}

/// Waits for work of the distribution; never returns without one.
async fn completion(configuration: &mut Option<ConfigurationDriver>) -> configuration::Completion {
    match configuration {
        Some(configuration) => configuration.completion().await,
        None => std::future::pending().await,
    }
}

/// State machines, socket and publication state of a running node.
struct EventLoop {
    log: Option<LogDriver>,
    configuration: Option<ConfigurationDriver>,
    machine: Membership,
    started: Instant,
    name: String,
    socket: UdpSocket,
    snapshots: watch::Sender<Snapshot>,
    snapshot_published: Instant,
    changed: bool,
    changes: VecDeque<String>,
    unlogged_changes: usize,
    changes_logged: Instant,
}

impl EventLoop {
    /// Monotonic time since the start, which does not change when the wall clock is set.
    fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// Runs until the membership has stopped.
    async fn run(
        &mut self, leave: &mut watch::Receiver<bool>, view_saver: &mut ViewSaver,
        mut proposals: Option<Proposals>, mut publications: Option<configuration::Publications>,
    ) {
        let mut buffer = [0; MAX_DATAGRAM + 1];
        let mut leaving = false;
        while let Some(deadline) = self.machine.next_deadline() {
            let deadline = self.log.as_ref().map_or(deadline, |log| deadline.min(log.next_deadline()));
            let deadline = self
                .configuration
                .as_ref()
                .map_or(deadline, |configuration| deadline.min(configuration.next_deadline()));
            let wake = (self.started + Duration::from_nanos(deadline))
                .min(self.snapshot_published + MAX_SNAPSHOT_INTERVAL);
            tokio::select! {
                durable = write_result(&mut self.log) => {
                    let now = self.now();
                    self.log.iter_mut().for_each(|log| log.handle_write_result(now, durable));
                }
                completion = completion(&mut self.configuration) => {
                    let now = self.now();
                    if let Some(configuration) = &mut self.configuration {
                        configuration.handle_completion(now, completion);
                    }
                }
                publication = next(&mut publications) => {
                    let now = self.now();
                    if let Some(configuration) = &mut self.configuration {
                        configuration.publish(now, publication);
                    }
                }
                proposal = next(&mut proposals) => {
                    let now = self.now();
                    if let Some(log) = &mut self.log {
                        log.propose(now, proposal);
                    }
                }
                ready = self.socket.readable() => {
                    if ready.is_ok() {
                        self.read(&mut buffer);
                    }
                }
                () = sleep_until(wake) => self.handle(Event::Tick),
                // A dropped sender means that the process is ending.
                _ = leave.wait_for(|leave| *leave), if !leaving => {
                    leaving = true;
                    self.handle(Event::Leave);
                }
            }
            self.advance_configuration();
            self.advance_log();
            view_saver.note_change(self.changed);
            let interval = if self.changed { MIN_SNAPSHOT_INTERVAL } else { MAX_SNAPSHOT_INTERVAL };
            if self.snapshot_published.elapsed() >= interval {
                self.publish_snapshot();
            }
            view_saver.save(&self.machine);
            self.log_changes();
        }
    }

    /// Reads a bounded number of datagrams and passes each to its protocol.
    fn read(&mut self, buffer: &mut [u8; MAX_DATAGRAM + 1]) {
        for _ in 0..MAX_READS {
            match self.socket.try_recv_from(buffer) {
                Ok((length, _)) if self.log.is_some() && LogDriver::is_for(&buffer[..length]) => {
                    let now = self.now();
                    self.log.iter_mut().for_each(|log| log.receive(now, &buffer[..length]));
                }
                Ok((length, _)) if ConfigurationDriver::is_for(&buffer[..length]) => {
                    let now = self.now();
                    let configuration = self.configuration.iter_mut();
                    configuration.for_each(|configuration| configuration.receive(now, &buffer[..length]));
                }
                Ok((length, from)) => self.handle(Event::Datagram { from, bytes: &buffer[..length] }),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // An error that an earlier datagram met on its way may be reported here; the socket stays usable.
                Err(error) => debug!(%error, "fleet: reading from the socket failed"),
            }
        }
    }

    /// Runs the distribution before the log, so that the log sends its proposals in the same iteration.
    fn advance_configuration(&mut self) {
        let now = self.now();
        let (Some(configuration), Some(log)) = (&mut self.configuration, &mut self.log) else { return };
        let index = log.index();
        if configuration.is_update_due(now, index) {
            configuration.update(now, &self.machine, (log.state(now), index), &log.voters());
        }
        configuration.advance(now);
        configuration
            .take_proposals()
            .into_iter()
            .for_each(|proposal| log.propose_announcement(now, proposal));
        for (to, bytes) in configuration.take_datagrams() {
            // A full socket buffer loses the datagram like the network may; the protocol tolerates it.
            if let Err(error) = self.socket.try_send_to(&bytes, to) {
                debug!(%to, %error, "configuration: sending a datagram failed");
            }
        }
    }

    /// Runs due timers of the log and sends its datagrams.
    fn advance_log(&mut self) {
        let now = self.now();
        let Some(log) = &mut self.log else { return };
        log.advance(now, &self.machine);
        for (to, bytes) in log.take_datagrams() {
            // A full socket buffer loses the datagram like the network may; the protocol tolerates it.
            if let Err(error) = self.socket.try_send_to(&bytes, to) {
                debug!(%to, %error, "fleet log: sending a datagram failed");
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.machine.handle(self.now(), event, &mut out);
        for action in out {
            match action {
                Action::Send { to, bytes } => {
                    // A full socket buffer loses the datagram like the network may; the protocol tolerates it.
                    if let Err(error) = self.socket.try_send_to(&bytes, to) {
                        debug!(%to, %error, "fleet: sending a datagram failed");
                    }
                }
                Action::Changed(change) => self.note_change(change),
            }
        }
    }

    /// Notes a change for the next snapshot and the next log line.
    fn note_change(&mut self, change: Change) {
        self.changed = true;
        match change {
            Change::Member { name, is, .. } if self.changes.len() < MAX_LOGGED_CHANGES => {
                self.changes.push_back(format!("{name} {is}"));
            }
            Change::Member { .. } => self.unlogged_changes += 1,
            Change::Majority(has_majority) => {
                self.changes
                    .push_back(if has_majority { "hears most" } else { "hears fewer than half" }.to_owned());
            }
            Change::Superseded => {
                warn!(name = self.name, "fleet: another process has this name and a later start; this one leaves the fleet and continues to serve");
            }
        }
    }

    fn publish_snapshot(&mut self) {
        (self.snapshot_published, self.changed) = (Instant::now(), false);
        self.snapshots.send_replace(Snapshot::of(&self.name, &self.machine, self.now()));
    }

    /// Logs the changes since the last line, at most one line per interval.
    fn log_changes(&mut self) {
        if self.changes.is_empty() || self.changes_logged.elapsed() < LOG_INTERVAL {
            return;
        }
        self.changes_logged = Instant::now();
        let changes: Vec<String> = self.changes.drain(..).collect();
        let (more, summary) = (std::mem::take(&mut self.unlogged_changes), self.machine.summary(self.now()));
        let counts = self.machine.counts();
        let dropped: u64 = counts.dropped.values().sum();
        info!(
            alive = summary.alive,
            known = summary.known,
            majority = summary.majority,
            changes = changes.join(", "),
            more,
            accused = counts.accusations,
            refuted = counts.refutations,
            held_up = counts.stalls,
            dropped,
            "fleet: view changed"
        );
    }
}
