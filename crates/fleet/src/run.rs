//! The machine on a socket.

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

const READ_AT_ONCE: usize = 64; // datagrams between two looks at the time and at the rest of the process
const TELL_EVERY: Duration = Duration::from_secs(1); // a snapshot at least
const TELL_SOONEST: Duration = Duration::from_millis(100); // between two that tell of changes
const REPORT_EVERY: Duration = Duration::from_secs(5); // between lines of the log
const CHANGES_LOGGED: usize = 8; // names in a line of the log

/// A node's part in its fleet, with its socket open.
pub struct Fleet {
    name: String,
    settings: Settings,
    socket: UdpSocket,
    seen: watch::Sender<Snapshot>,
    disks: Disks,
    log: Option<(LogHandle, Proposals, watch::Sender<LogView>)>,
    configuration: Option<(Arc<dyn Content>, configuration::Publications, configuration::Watches)>,
}

impl Fleet {
    /// Opens the socket of the node of this name. Two processes of a node may share the address while one takes over
    /// from the other.
    pub fn open(name: &str, settings: Settings) -> io::Result<(Self, watch::Receiver<Snapshot>)> {
        let socket = Socket::new(Domain::for_address(settings.listen), Type::DGRAM, None)?;
        socket.set_reuse_port(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&settings.listen.into())?;
        let socket = UdpSocket::from_std(socket.into())?;
        let (seen, sees) = watch::channel(Snapshot { me: name.to_owned(), ..Snapshot::default() });
        let log = settings.log.as_ref().map(|_| channel());
        Ok((
            Fleet {
                name: name.to_owned(),
                settings,
                socket,
                seen,
                disks: Disks::default(),
                log,
                configuration: None,
            },
            sees,
        ))
    }

    /// By which the rest of the program reaches the agreed log, if there is to be one.
    pub fn log_handle(&self) -> Option<LogHandle> {
        self.log.as_ref().map(|(handle, ..)| handle.clone())
    }

    /// Distributes configuration, where `[fleet.configuration]` says so: documents are made and put in force by this
    /// content. What comes back publishes revisions and tells which is in force where.
    pub fn serve_configuration(&mut self, content: Arc<dyn Content>) -> Option<ConfigurationHandle> {
        self.settings.configuration.as_ref()?;
        let (handle, asks, tells) = configuration::channel();
        self.configuration = Some((content, asks, tells));
        Some(handle)
    }

    /// Keeps its files on these.
    pub fn with_disks(self, disks: Disks) -> Self {
        Fleet { disks, ..self }
    }

    /// Where it hears datagrams.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Takes part until told to leave, and ends when others have been told, or when another process of this name
    /// keeps it. Not to be dropped half-way if others are to learn of the leaving at once.
    pub async fn run(self, mut leave: watch::Receiver<bool>) {
        let Fleet { name, settings, socket, seen, disks, log, configuration } = self;
        let cluster = settings.cluster.as_str();
        let keeper = settings.folder.clone().map(|at| StateStore::new(at, disks.clone(), &name, cluster));
        let saved = match &keeper {
            Some(keeper) => keeper.record_start().await,
            None => Default::default(),
        };
        let own = match socket.local_addr() {
            Ok(at) => settings.advertise.unwrap_or(at),
            Err(error) => return warn!(%error, "fleet: no address of its own: this node takes no part"),
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
                address: own,
                version: env!("CARGO_PKG_VERSION").into(),
                protocols: (merlinfold_membership::PROTOCOL_VERSION, merlinfold_membership::PROTOCOL_VERSION),
            },
            seeds,
        };
        info!(cluster, address = %own, starts = saved.starts, known = saved.addresses.len(), "fleet: joining");
        let (number, begun) = (identity.cluster_number(), Instant::now());
        let (log, asks) = match (log, &settings.log) {
            (Some((_, asks, tell)), Some(log)) => {
                let disk = settings.folder.clone().map(|folder| (folder, disks.clone()));
                (Some(LogDriver::start(log, (&name, number, run), disk, tell, 0).await), Some(asks))
            }
            _ => (None, None),
        };
        let (configuration, changes_asked) = match (configuration, settings.configuration.clone()) {
            (Some((content, asks, tells)), Some(table)) => {
                let id = merlinfold_distribution::Identity {
                    cluster: number,
                    name: name.as_str().into(),
                    zone: settings.zone.as_str().into(),
                };
                let disk = settings.folder.clone().map(|folder| (folder, disks));
                let start = StartOptions { settings: table, id, content, disk, tells };
                (Some(ConfigurationDriver::start(start, 0).await), Some(asks))
            }
            _ => (None, None),
        };
        let mut part = EventLoop {
            log,
            configuration,
            machine: Membership::new(identity, Tuning::default(), fastrand::u64(..), 0),
            begun,
            me: name,
            socket,
            seen,
            told: Instant::now(),
            changed: true,
            changes: VecDeque::new(),
            uncounted: 0,
            reported: Instant::now(),
        };
        let mut saving = ViewSaver::new(keeper, saved.starts);
        part.play(&mut leave, &mut saving, asks, changes_asked).await;
        part.tell();
    }
}

/// Waits for the log's disk; without a log for ever.
async fn saved(log: &mut Option<LogDriver>) -> bool {
    match log {
        Some(log) => log.saved().await,
        None => std::future::pending().await,
    }
}

/// The next thing that is asked for; where nothing can be, or when nobody is left to ask, none ever.
async fn next<T>(asks: &mut Option<mpsc::Receiver<T>>) -> T {
    match asks {
        Some(open) => match open.recv().await {
            Some(asked) => asked,
            None => std::future::pending().await,
        },
        None => std::future::pending().await,
    }
}

/// Waits for work of the configuration's part; without one for ever.
async fn done(configuration: &mut Option<ConfigurationDriver>) -> configuration::Completion {
    match configuration {
        Some(configuration) => configuration.done().await,
        None => std::future::pending().await,
    }
}

struct EventLoop {
    log: Option<LogDriver>,
    configuration: Option<ConfigurationDriver>,
    machine: Membership,
    begun: Instant,
    me: String,
    socket: UdpSocket,
    seen: watch::Sender<Snapshot>,
    told: Instant,
    changed: bool,
    changes: VecDeque<String>,
    uncounted: usize,
    reported: Instant,
}

impl EventLoop {
    /// Monotonic: a clock that is set does not move it.
    fn now(&self) -> Nanos {
        self.begun.elapsed().as_nanos() as Nanos
    }

    async fn play(
        &mut self, leave: &mut watch::Receiver<bool>, saving: &mut ViewSaver, mut asks: Option<Proposals>,
        mut changes_asked: Option<configuration::Publications>,
    ) {
        let mut buffer = [0; MAX_DATAGRAM + 1];
        let mut leaving = false;
        while let Some(due) = self.machine.next_deadline() {
            let due = self.log.as_ref().map_or(due, |log| due.min(log.due()));
            let due = self.configuration.as_ref().map_or(due, |configuration| due.min(configuration.due()));
            let wake = (self.begun + Duration::from_nanos(due)).min(self.told + TELL_EVERY);
            tokio::select! {
                durable = saved(&mut self.log) => {
                    let now = self.now();
                    self.log.iter_mut().for_each(|log| log.persisted(now, durable));
                }
                done = done(&mut self.configuration) => {
                    let now = self.now();
                    if let Some(configuration) = &mut self.configuration {
                        configuration.finish(now, done);
                    }
                }
                asked = next(&mut changes_asked) => {
                    let now = self.now();
                    if let Some(configuration) = &mut self.configuration {
                        configuration.publish(now, asked);
                    }
                }
                asked = next(&mut asks) => {
                    let now = self.now();
                    if let Some(log) = &mut self.log {
                        log.ask(now, asked);
                    }
                }
                ready = self.socket.readable() => {
                    if ready.is_ok() {
                        self.read(&mut buffer);
                    }
                }
                () = sleep_until(wake) => self.handle(Event::Tick),
                // A sender that is gone is a process that ends.
                _ = leave.wait_for(|leave| *leave), if !leaving => {
                    leaving = true;
                    self.handle(Event::Leave);
                }
            }
            self.turn_configuration();
            self.turn_log();
            saving.note(self.changed);
            let soonest = if self.changed { TELL_SOONEST } else { TELL_EVERY };
            if self.told.elapsed() >= soonest {
                self.tell();
            }
            saving.save(&self.machine);
            self.report();
        }
    }

    fn read(&mut self, buffer: &mut [u8; MAX_DATAGRAM + 1]) {
        for _ in 0..READ_AT_ONCE {
            match self.socket.try_recv_from(buffer) {
                Ok((length, _)) if self.log.is_some() && LogDriver::is_for(&buffer[..length]) => {
                    let now = self.now();
                    self.log.iter_mut().for_each(|log| log.hear(now, &buffer[..length]));
                }
                Ok((length, _)) if ConfigurationDriver::is_for(&buffer[..length]) => {
                    let now = self.now();
                    let part = self.configuration.iter_mut();
                    part.for_each(|configuration| configuration.hear(now, &buffer[..length]));
                }
                Ok((length, from)) => self.handle(Event::Datagram { from, bytes: &buffer[..length] }),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // What an earlier datagram met on its way comes back here; it ends nothing.
                Err(error) => debug!(%error, "fleet: socket"),
            }
        }
    }

    /// The distribution's turn, before the log's: what it proposes goes out with that.
    fn turn_configuration(&mut self) {
        let now = self.now();
        let (Some(configuration), Some(log)) = (&mut self.configuration, &mut self.log) else { return };
        let index = log.index();
        if configuration.looks(now, index) {
            configuration.look(now, &self.machine, (log.announced(now), index), &log.voters());
        }
        configuration.turn(now);
        configuration.proposals().into_iter().for_each(|proposal| log.announce(now, proposal));
        for (to, bytes) in configuration.outgoing() {
            // May be lost, as on the way: a full socket is no error.
            if let Err(error) = self.socket.try_send_to(&bytes, to) {
                debug!(%to, %error, "configuration: not sent");
            }
        }
    }

    /// The log's turn, and what it wants sent.
    fn turn_log(&mut self) {
        let now = self.now();
        let Some(log) = &mut self.log else { return };
        log.turn(now, &self.machine);
        for (to, bytes) in log.outgoing() {
            // May be lost, as on the way: a full socket is no error.
            if let Err(error) = self.socket.try_send_to(&bytes, to) {
                debug!(%to, %error, "fleet log: not sent");
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.machine.handle(self.now(), event, &mut out);
        for action in out {
            match action {
                Action::Send { to, bytes } => {
                    // May be lost, as on the way: a full socket is no error.
                    if let Err(error) = self.socket.try_send_to(&bytes, to) {
                        debug!(%to, %error, "fleet: not sent");
                    }
                }
                Action::Changed(change) => self.note(change),
            }
        }
    }

    fn note(&mut self, change: Change) {
        self.changed = true;
        match change {
            Change::Member { name, is, .. } if self.changes.len() < CHANGES_LOGGED => {
                self.changes.push_back(format!("{name} {is}"));
            }
            Change::Member { .. } => self.uncounted += 1,
            Change::Majority(hears) => {
                self.changes.push_back(if hears { "hears most" } else { "hears fewer than half" }.to_owned());
            }
            Change::Superseded => {
                warn!(name = self.me, "fleet: another process has this name and keeps it: this one takes no part and goes on serving");
            }
        }
    }

    fn tell(&mut self) {
        (self.told, self.changed) = (Instant::now(), false);
        self.seen.send_replace(Snapshot::of(&self.me, &self.machine, self.now()));
    }

    fn report(&mut self) {
        if self.changes.is_empty() || self.reported.elapsed() < REPORT_EVERY {
            return;
        }
        self.reported = Instant::now();
        let changes: Vec<String> = self.changes.drain(..).collect();
        let (more, sure) = (std::mem::take(&mut self.uncounted), self.machine.summary(self.now()));
        let counts = self.machine.counts();
        let dropped: u64 = counts.dropped.values().sum();
        info!(
            alive = sure.alive,
            known = sure.known,
            majority = sure.majority,
            changes = changes.join(", "),
            more,
            accused = counts.accusations,
            refuted = counts.refutations,
            held_up = counts.stalls,
            dropped,
            "fleet"
        );
    }
}
