//! The node: it runs the decision module on real sockets. Each part of it reports to the driver by messages.

mod answer_deadline;
mod body;
mod capacity;
mod clock;
pub mod configuration;
mod connection_timeouts;
mod console;
mod discovery;
mod driver;
mod fair_stream;
mod front;
mod handover;
mod input;
mod lifecycle;
pub mod memory;
mod metrics;
mod peers;
pub mod process;
mod read_progress;
pub mod request_head;
pub mod server_list;
mod shared_claims;
mod start_times;
mod stream;
mod upstream;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use serde::Deserialize;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::{mpsc, watch};
use tracing::info;

use crate::clock::Clock;
use crate::configuration::{Applier, Baseline, FleetPublisher, NodeContent, Publisher};
use crate::console::ConfigurationApi;
use crate::memory::HeapUsage;
use merlinfold_config::Fleet as FleetSettings;
use merlinfold_decide::interface::{Discovery, Settings};
use merlinfold_decide::policy::Balancer;
use merlinfold_fleet::{Disks, Fleet, Snapshot};
use merlinfold_settings::{HostLimits, NameTables, PlatformSettings};

/// Memory limit where the configuration states none.
const DEFAULT_MEMORY_MB: f64 = 32.0;
/// Fewest descriptors with which a node can do useful work.
const MIN_SOCKETS: usize = 64;

/// The configuration that a node is started with.
#[derive(Debug, Deserialize)]
pub struct Config {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    /// Address of the operators' console. Without it there is none.
    console: Option<SocketAddr>,
    seed: String,
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    known: Option<server_list::ServerList>,
    settings: PlatformSettings,
}

#[derive(Debug, Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: Option<f64>,
}

impl Config {
    /// Parses the configuration. The error is one line that names the field.
    pub fn parse(text: &str) -> Result<Self, String> {
        let from = &mut serde_json::Deserializer::from_str(text);
        serde_path_to_error::deserialize(from).map_err(|error| error.to_string())
    }

    /// Checks whether a node could start from this text, without opening its sockets. The error names the field, and
    /// starts with the line if the text cannot be parsed.
    pub fn validate(text: &str) -> Result<(), String> {
        let from = &mut serde_json::Deserializer::from_str(text);
        let parsed: Result<Config, _> = serde_path_to_error::deserialize(from);
        let config = parsed.map_err(|error| format!("{}: {error}", error.inner().line()))?;
        config.check(&mut NameTables::default()).map(drop).map_err(|error| format!(" {error}"))
    }

    /// Checks whether a node could start from it, without opening its sockets. Returns the limits of the host, the
    /// settings and the random seed.
    fn check(&self, names: &mut NameTables) -> Result<(HostLimits, Settings, u64), String> {
        let in_settings = |error| format!("settings: {error}");
        let host = self.settings.host_limits().map_err(in_settings)?;
        let settings = self.settings.decision_settings(names).map_err(in_settings)?;
        let seed = u64::from_str_radix(&self.seed, 16).map_err(|error| format!("seed: {error}"))?;
        if self.limits.sockets < MIN_SOCKETS {
            return Err(format!(
                "limits.sockets: expected at least {MIN_SOCKETS}, got {}",
                self.limits.sockets
            ));
        }
        if self.console == Some(self.listen) && self.listen.port() != 0 {
            return Err(format!("console: {} is already the address for clients (listen)", self.listen));
        }
        Ok((host, settings, seed))
    }
}

/// Passes a changed configuration to a running node. Only the address of discovery takes effect; everything else is
/// read at the start.
pub struct Reloader(watch::Sender<SocketAddr>);

impl Reloader {
    /// Applies the new configuration, or rejects it if no node could start from it.
    pub fn reload(&self, text: &str) -> Result<(), String> {
        let config = Config::parse(text)?;
        config.check(&mut NameTables::default())?;
        let discovery = config.discovery;
        let moved = self.0.send_if_modified(|current| std::mem::replace(current, discovery) != discovery);
        info!(%discovery, moved, "configuration reloaded");
        Ok(())
    }
}

/// A node whose sockets are open.
pub struct Node {
    listener: front::ClientListener,
    front: front::Front,
    driver: driver::Driver,
    console: Option<TcpListener>,
    inputs: mpsc::UnboundedReceiver<input::Input>,
    peers: Option<peers::Peers>,
    discovery: discovery::Watcher,
    fleet: Option<(Fleet, watch::Receiver<Snapshot>)>,
    baseline: Baseline,
    configuration: Option<Arc<ConfigurationApi>>,
    discovery_address: watch::Sender<SocketAddr>,
    name: String,
}

impl Node {
    /// Checks the configuration and opens the sockets.
    ///
    /// All processes of this node share state under `folder`. Without it they do not know of each other.
    pub async fn bind(config: Config, folder: Option<&Path>) -> Result<Self, String> {
        Self::bind_within(config, folder, None).await
    }

    /// The same for a node that is alone in its process, whose heap has the size that `heap_usage` tells.
    pub async fn bind_within(
        config: Config, folder: Option<&Path>, heap_usage: Option<HeapUsage>,
    ) -> Result<Self, String> {
        let (mut names, clock) = (NameTables::default(), Clock::new());
        let (host, settings, seed) = config.check(&mut names)?;
        let cannot_use = |field, at| move |error: io::Error| format!("{field}: cannot use {at}: {error}");
        let socket = bind(config.listen).map_err(cannot_use("listen", config.listen))?;
        let open_console = |at| console::listen(at).map_err(cannot_use("console", at));
        let console = config.console.map(open_console).transpose()?;
        let (sender, inputs) = mpsc::unbounded_channel();
        let peers = match config.peer_listen {
            Some(at) => {
                let socket = bind_datagram(at).map_err(cannot_use("peer_listen", at))?;
                Some(peers::Peers::new(socket, config.peers, config.peers_all, settings.node_index))
            }
            None => None,
        };
        let polls_discovery = settings.discovery == Discovery::Watch;
        let (discovery_address, address) = watch::channel(config.discovery);
        let known = config.known.as_ref().filter(|list| list.snapshot).map(|list| list.index);
        let retry = match settings.discovery {
            Discovery::Watch => discovery::RetryPolicy::shared(settings.watch_interval, seed),
            Discovery::Push => discovery::RetryPolicy::Pushed,
        };
        let discovery = discovery::Watcher::new(address, sender.clone(), retry, known);
        let memory = (config.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * f64::from(1 << 20)) as usize; // saturates
        let mut capacity = capacity::Capacity::new(config.limits.sockets, memory, false);
        capacity.limit_heap(heap_usage);
        let baseline = Baseline::new(&settings, &names, host.max_open_requests);
        // Only the watcher polls discovery. To the decision module every list is pushed.
        let balancer = Balancer::new(Settings { discovery: Discovery::Push, ..settings.clone() }, seed);
        let mut driver =
            driver::Driver::new(balancer, names.clone(), clock, host, capacity.clone(), sender.clone());
        let front = front::Front::new(&settings, &names, clock, sender, capacity, driver.posture());
        driver.set_peers(peers.as_ref());
        driver.set_classes(&settings.classes);
        // This comes before the list, so that no request goes to a server that is out, or is accepted in standby.
        if let Some(folder) = folder {
            driver.share_state(handover::Handover::new(folder, &config.name));
        }
        driver.load_known_list(config.known.unwrap_or_default(), !polls_discovery);
        let may_listen = driver.posture().borrow().may_listen;
        let listener =
            front::ClientListener::new(socket, may_listen).map_err(cannot_use("listen", config.listen))?;
        let (fleet, configuration, name) = (None, None, config.name);
        Ok(Node {
            listener,
            front,
            driver,
            console,
            inputs,
            peers,
            discovery,
            fleet,
            baseline,
            configuration,
            discovery_address,
            name,
        })
    }

    /// Makes the node a member of a fleet under its own name. Serving clients never waits for the fleet.
    pub fn join(&mut self, settings: FleetSettings, disks: Disks) -> Result<(), String> {
        let at = settings.listen;
        let opened = Fleet::open(&self.name, settings);
        let (mut fleet, snapshots) =
            opened.map_err(|error| format!("fleet.listen: cannot use {at}: {error}"))?;
        self.use_fleet_configuration(&mut fleet);
        self.fleet = Some((fleet.with_disks(disks), snapshots));
        self.driver.set_in_fleet();
        Ok(())
    }

    /// Takes configuration from the fleet, if the fleet's settings enable that.
    fn use_fleet_configuration(&mut self, fleet: &mut Fleet) {
        let applier =
            Arc::new(Applier::new(self.baseline.clone(), input::deliver_changes(self.driver.sender())));
        let content = Arc::new(NodeContent(applier.clone()));
        let Some(handle) = fleet.serve_configuration(content) else { return };
        self.enable_configuration(applier, Arc::new(FleetPublisher(handle)));
    }

    /// Lets revisions of a versioned configuration come into force while the node runs. They arrive through `applier`,
    /// and operators publish through `publisher`.
    fn enable_configuration(&mut self, applier: Arc<Applier>, publisher: Arc<dyn Publisher>) {
        self.front.accept_new_tenants();
        self.configuration = Some(Arc::new(ConfigurationApi::new(applier, publisher)));
    }

    /// Address of the operators' console, if there is one.
    pub fn console_address(&self) -> Option<SocketAddr> {
        self.console.as_ref().and_then(|console| console.local_addr().ok())
    }

    /// Address at which clients connect.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    /// Passes changed configurations to this node while it runs.
    pub fn reloader(&self) -> Reloader {
        Reloader(self.discovery_address.clone())
    }

    /// Serves until `stop` completes and all accepted requests have been answered.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        let address = self.listener.address().map_or_else(|error| error.to_string(), |at| at.to_string());
        info!(name = self.name, %address, "serving");
        let mut tasks = tokio::task::JoinSet::new();
        let sender = self.driver.sender();
        tasks.spawn(self.driver.run(self.inputs));
        tasks.spawn(self.discovery.run());
        if let Some(peers) = self.peers {
            tasks.spawn(peers.receive(sender.clone()));
        }
        if let Some(console) = self.console {
            let log = self.fleet.as_ref().and_then(|(fleet, _)| fleet.log_handle());
            let fleet = console::FleetApi { log, configuration: self.configuration };
            tasks.spawn(console::serve(console, sender.clone(), fleet));
        }
        let (leave_sender, leave) = watch::channel(false);
        if let Some((fleet, snapshots)) = self.fleet {
            tasks.spawn(fleet.run(leave));
            tasks.spawn(forward_snapshots(snapshots, sender.clone()));
        }
        let stop = async move {
            stop.await;
            leave_sender.send_replace(true);
            let _ = sender.send(input::Input::Terminate); // a driver that has ended needs no message
            std::future::pending::<()>().await
        };
        // The front decides when the node has finished. The other parts keep running for it until then.
        tokio::select! {
            () = Arc::new(self.front).serve(self.listener) => info!("stopped"),
            () = stop => {}
            panicked = first_panic(&mut tasks) => std::panic::resume_unwind(panicked.into_panic()),
        }
    }
}

/// Waits for a task that panics. A task may end by itself, as that of the fleet does once the node has left the fleet.
async fn first_panic(tasks: &mut tokio::task::JoinSet<()>) -> tokio::task::JoinError {
    loop {
        match tasks.join_next().await {
            Some(Err(error)) => return error,
            Some(Ok(())) => {}
            None => std::future::pending().await,
        }
    }
}

/// Forwards snapshots of the fleet to the driver. Only the latest one is forwarded if there are several.
async fn forward_snapshots(
    mut snapshots: watch::Receiver<Snapshot>, inputs: mpsc::UnboundedSender<input::Input>,
) {
    // The initial value is no snapshot: it was set before the fleet's task began, and lacks even the count of starts.
    while snapshots.changed().await.is_ok() {
        let snapshot = Box::new(snapshots.borrow_and_update().clone());
        if inputs.send(input::Input::Fleet(snapshot)).is_err() {
            return;
        }
    }
}

/// Binds the clients' address, which two processes of one node share while one replaces the other.
fn bind(at: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(at)?;
    Ok(socket)
}

/// Binds a datagram address that two processes of one node share. The kernel delivers each datagram to one of them.
fn bind_datagram(at: SocketAddr) -> io::Result<UdpSocket> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(at), socket2::Type::DGRAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    UdpSocket::from_std(socket.into())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the count of starts. The console must not show the initial snapshot, which has start 0, before the
    /// fleet's task has begun. A fault injection run with nine processes found this: "n4 starts as 0 after 1d46ef711,
    /// with its disk".
    #[tokio::test]
    async fn no_snapshot_is_forwarded_before_the_fleet_task_has_begun() {
        let (sender, snapshots) = watch::channel(Snapshot::default());
        let (inputs, mut forwarded) = mpsc::unbounded_channel();
        let task = tokio::spawn(forward_snapshots(snapshots, inputs));
        tokio::task::yield_now().await;
        assert!(forwarded.try_recv().is_err(), "the initial snapshot was forwarded");
        sender.send_replace(Snapshot { run: 7, ..Snapshot::default() });
        match forwarded.recv().await {
            Some(input::Input::Fleet(snapshot)) => assert_eq!(snapshot.run, 7),
            _ => panic!("the snapshot was not forwarded"),
        }
        task.abort();
    }
}
