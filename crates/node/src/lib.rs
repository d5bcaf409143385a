//! The real node: the decision module on sockets. Each part reports to the driver by messages.

mod body;
mod capacity;
mod clock;
pub mod configuration;
mod connection_timeouts;
mod console;
mod discovery;
mod driver;
mod front;
mod handover;
mod input;
mod lifecycle;
mod metrics;
mod peers;
pub mod process;
pub mod request_head;
pub mod server_list;
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
use merlinfold_config::Fleet as FleetSettings;
use merlinfold_decide::interface::{Discovery, Settings};
use merlinfold_decide::policy::Balancer;
use merlinfold_fleet::{Disks, Fleet, Snapshot};
use merlinfold_settings::{HostLimits, NameTables, PlatformSettings};

const DEFAULT_MEMORY_MB: f64 = 32.0; // MB; taken where the configuration does not say
const MIN_SOCKETS: usize = 64; // descriptors below which no useful node fits

/// What a node is told at its start.
#[derive(Debug, Deserialize)]
pub struct Config {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    /// Where operators call; none: nowhere.
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
    /// Reads the configuration; the error is one line that names the field.
    pub fn parse(text: &str) -> Result<Self, String> {
        let from = &mut serde_json::Deserializer::from_str(text);
        serde_path_to_error::deserialize(from).map_err(|error| error.to_string())
    }

    /// Whether a node could start from this text, short of opening its sockets. The error starts with the
    /// line, where the text itself is at fault, and names the field.
    pub fn validate(text: &str) -> Result<(), String> {
        let from = &mut serde_json::Deserializer::from_str(text);
        let read: Result<Config, _> = serde_path_to_error::deserialize(from);
        let config = read.map_err(|error| format!("{}: {error}", error.inner().line()))?;
        config.check(&mut NameTables::default()).map(drop).map_err(|fault| format!(" {fault}"))
    }

    /// Whether a node could start from it, short of opening its sockets.
    fn check(&self, names: &mut NameTables) -> Result<(HostLimits, Settings, u64), String> {
        let in_settings = |fault| format!("settings: {fault}");
        let host = self.settings.host_limits().map_err(in_settings)?;
        let settings = self.settings.decision_settings(names).map_err(in_settings)?;
        let seed = u64::from_str_radix(&self.seed, 16).map_err(|error| format!("seed: {error}"))?;
        if self.limits.sockets < MIN_SOCKETS {
            return Err(format!("limits.sockets: under {MIN_SOCKETS}"));
        }
        if self.console == Some(self.listen) && self.listen.port() != 0 {
            return Err(format!("console: {} is where clients connect", self.listen));
        }
        Ok((host, settings, seed))
    }
}

/// Brings a changed configuration to a node that runs. Only where discovery is may change; all else
/// is read at the start.
pub struct Reloader(watch::Sender<SocketAddr>);

impl Reloader {
    /// Takes over what the new text says, or nothing if no node could start from it.
    pub fn reload(&self, text: &str) -> Result<(), String> {
        let config = Config::parse(text)?;
        config.check(&mut NameTables::default())?;
        let discovery = config.discovery;
        let moved = self.0.send_if_modified(|now| std::mem::replace(now, discovery) != discovery);
        info!(%discovery, moved, "configuration read again");
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
    /// `folder` is what all processes of this node have in common; without it each is alone.
    pub async fn bind(config: Config, folder: Option<&Path>) -> Result<Self, String> {
        let (mut names, clock) = (NameTables::default(), Clock::new());
        let (host, settings, seed) = config.check(&mut names)?;
        let cannot = |what, at| move |error: io::Error| format!("{what}: cannot use {at}: {error}");
        let socket = bind(config.listen).map_err(cannot("listen", config.listen))?;
        let open_console = |at| console::listen(at).map_err(cannot("console", at));
        let console = config.console.map(open_console).transpose()?;
        let (sender, inputs) = mpsc::unbounded_channel();
        let peers = match config.peer_listen {
            Some(at) => {
                let socket = bind_datagram(at).map_err(cannot("peer_listen", at))?;
                Some(peers::Peers::new(socket, config.peers, config.peers_all, settings.node_index))
            }
            None => None,
        };
        let asks = settings.discovery == Discovery::Watch;
        let (moves, address) = watch::channel(config.discovery);
        let known = config.known.as_ref().filter(|list| list.snapshot).map(|list| list.index);
        let retry = match settings.discovery {
            Discovery::Watch => discovery::RetryPolicy::shared(settings.watch_interval, seed),
            Discovery::Push => discovery::RetryPolicy::Pushed,
        };
        let discovery = discovery::Watcher::new(address, sender.clone(), retry, known);
        let memory = (config.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * f64::from(1 << 20)) as usize; // saturates
        let capacity = capacity::Capacity::new(config.limits.sockets, memory, false);
        let baseline = Baseline::new(&settings, &names, host.max_open_requests);
        // The watcher alone asks for the list; to the module it comes by itself.
        let balancer = Balancer::new(Settings { discovery: Discovery::Push, ..settings.clone() }, seed);
        let mut driver =
            driver::Driver::new(balancer, names.clone(), clock, host, capacity.clone(), sender.clone());
        let front = front::Front::new(&settings, &names, clock, sender, capacity, driver.posture());
        driver.set_peers(peers.as_ref());
        // Before the list: no request may go to a server that is out, nor may one be taken in standby.
        if let Some(folder) = folder {
            driver.share_state(handover::Handover::new(folder, &config.name));
        }
        driver.load_known_list(config.known.unwrap_or_default(), !asks);
        let opens = driver.posture().borrow().may_listen;
        let listener = front::ClientListener::new(socket, opens).map_err(cannot("listen", config.listen))?;
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
            discovery_address: moves,
            name,
        })
    }

    /// Lets the node take part in a fleet under its own name. Serving waits for nothing that the fleet does.
    pub fn join(&mut self, settings: FleetSettings, disks: Disks) -> Result<(), String> {
        let at = settings.listen;
        let opened = Fleet::open(&self.name, settings);
        let (mut fleet, seen) = opened.map_err(|error| format!("fleet.listen: cannot use {at}: {error}"))?;
        self.distribute(&mut fleet);
        self.fleet = Some((fleet.on(disks), seen));
        self.driver.set_in_fleet();
        Ok(())
    }

    /// Takes configuration from the fleet, where its settings say so.
    fn distribute(&mut self, fleet: &mut Fleet) {
        let applier =
            Arc::new(Applier::new(self.baseline.clone(), input::deliver_changes(self.driver.sender())));
        let content = Arc::new(NodeContent(applier.clone()));
        let Some(handle) = fleet.serve_configuration(content) else { return };
        self.configure(applier, Arc::new(FleetPublisher(handle)));
    }

    /// Lets revisions of a versioned configuration come into force while the node runs. What brings them hands them to
    /// the applier; operators publish through `publisher`.
    fn configure(&mut self, applier: Arc<Applier>, publisher: Arc<dyn Publisher>) {
        self.front.accept_new_tenants();
        self.configuration = Some(Arc::new(ConfigurationApi::new(applier, publisher)));
    }

    /// Where operators call, if anywhere.
    pub fn console_address(&self) -> Option<SocketAddr> {
        self.console.as_ref().and_then(|console| console.local_addr().ok())
    }

    /// Where clients connect.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    /// By what a changed configuration reaches the node while it runs.
    pub fn reloader(&self) -> Reloader {
        Reloader(self.discovery_address.clone())
    }

    /// Serves until the signal comes and all that was taken has been answered.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        let address = self.listener.address().map_or_else(|error| error.to_string(), |at| at.to_string());
        info!(name = self.name, %address, "serving");
        let mut parts = tokio::task::JoinSet::new();
        let sender = self.driver.sender();
        parts.spawn(self.driver.run(self.inputs));
        parts.spawn(self.discovery.run());
        if let Some(peers) = self.peers {
            parts.spawn(peers.receive(sender.clone()));
        }
        if let Some(console) = self.console {
            let log = self.fleet.as_ref().and_then(|(fleet, _)| fleet.log());
            let fleet = console::FleetApi { log, configuration: self.configuration };
            parts.spawn(console::serve(console, sender.clone(), fleet));
        }
        let (leave, leaves) = watch::channel(false);
        if let Some((fleet, seen)) = self.fleet {
            parts.spawn(fleet.run(leaves));
            parts.spawn(forward_snapshots(seen, sender.clone()));
        }
        let stop = async move {
            stop.await;
            leave.send_replace(true);
            let _ = sender.send(input::Input::Terminate); // a driver that is gone has nothing to stop
            std::future::pending::<()>().await
        };
        // The front decides when the node is done; the other parts go on serving it until then.
        tokio::select! {
            () = Arc::new(self.front).serve(self.listener) => info!("stopped"),
            () = stop => {}
            fault = first_panic(&mut parts) => std::panic::resume_unwind(fault.into_panic()),
        }
    }
}

/// Waits for a part that panics; one that ends by itself, as the fleet's does when it has left, is no fault.
async fn first_panic(parts: &mut tokio::task::JoinSet<()>) -> tokio::task::JoinError {
    loop {
        match parts.join_next().await {
            Some(Err(fault)) => return fault,
            Some(Ok(())) => {}
            None => std::future::pending().await,
        }
    }
}

/// Brings the driver what the fleet's part sees; what has been overtaken in the meantime is not told.
async fn forward_snapshots(mut seen: watch::Receiver<Snapshot>, inputs: mpsc::UnboundedSender<input::Input>) {
    // What stands there before the fleet's part has begun says nothing, not even which start this is.
    while seen.changed().await.is_ok() {
        let snapshot = Box::new(seen.borrow_and_update().clone());
        if inputs.send(input::Input::Fleet(snapshot)).is_err() {
            return;
        }
    }
}

/// Two processes of one node share the address while one takes over from the other.
fn bind(at: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(at)?;
    Ok(socket)
}

/// The same for messages between nodes; each goes to one of the two.
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

    /// Guards the count of starts: a console asked in a node's first moment has no view to show, least of all one with
    /// start 0 (found by a trial on nine processes, as "n4 starts as 0 after 1d46ef711, with its disk").
    #[tokio::test]
    async fn nothing_is_told_of_the_fleet_before_its_part_has_begun() {
        let (tell, seen) = watch::channel(Snapshot::default());
        let (inputs, mut told) = mpsc::unbounded_channel();
        let passing = tokio::spawn(forward_snapshots(seen, inputs));
        tokio::task::yield_now().await;
        assert!(told.try_recv().is_err(), "something was told");
        tell.send_replace(Snapshot { run: 7, ..Snapshot::default() });
        match told.recv().await {
            Some(input::Input::Fleet(snapshot)) => assert_eq!(snapshot.run, 7),
            _ => panic!("nothing was told"),
        }
        passing.abort();
    }
}
