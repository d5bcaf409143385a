//! Runs a node as a process: reads the configuration, serves, reloads the configuration on SIGHUP, and on SIGTERM ends
//! once all requests are answered.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use rustix::process::Signal;
use tokio::signal::unix::{signal, Signal as Signals, SignalKind};
use tokio::time::sleep;
use tracing::warn;

use merlinfold_config::Fleet;
use merlinfold_fleet::Disks;

use crate::memory::HeapUsage;
use crate::{Config, Node, Reloader};

/// Reads of the configuration after one SIGHUP. A new address of discovery has to be in use within 4 s.
const MAX_RELOAD_ATTEMPTS: u32 = 30;
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves with the configuration file that `BALANCER_CONFIG` names, until SIGTERM. An error is one line that names what
/// is missing or invalid. `fleet` is the fleet to join, if any, `disks` gives access to its files, and `heap_usage` tells
/// how much the process has allocated.
pub fn run(fleet: Option<Fleet>, disks: Disks, heap_usage: HeapUsage) -> Result<(), String> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|error| format!("BALANCER_CONFIG: {error}"))?;
    let text = read_configuration(&path)?;
    let mut config = Config::parse(&text).map_err(|error| format!("configuration: {error}"))?;
    if config.console.is_none() {
        config.console = console_address()?;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| format!("runtime: {error}"))?.block_on(async {
        let mut sigterm = signal(SignalKind::terminate()).map_err(|error| format!("SIGTERM: {error}"))?;
        let hangup = signal(SignalKind::hangup()).map_err(|error| format!("SIGHUP: {error}"))?;
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
        let mut node = Node::bind_within(config, folder.as_ref().map(Path::new), Some(heap_usage))
            .await
            .map_err(|error| format!("configuration: {error}"))?;
        // Handling SIGXFSZ for as long as the process runs turns a file size limit into an error of one write; by
        // default the signal would end the node.
        let mut _file_size_signal = None;
        if let Some(fleet) = fleet {
            node.join(fleet, disks)?;
            let file_size_exceeded = SignalKind::from_raw(Signal::XFSZ.as_raw());
            _file_size_signal =
                Some(signal(file_size_exceeded).map_err(|error| format!("SIGXFSZ: {error}"))?);
        }
        let stop = async move {
            sigterm.recv().await;
        };
        let reloads = reload_on_hangup(hangup, &path, node.reloader());
        tokio::select! {
            () = node.run(stop) => {}
            () = reloads => {}
        }
        Ok(())
    })
}

/// Returns the address of the console from `BALANCER_CONSOLE`, if it is set.
fn console_address() -> Result<Option<SocketAddr>, String> {
    let address = std::env::var("BALANCER_CONSOLE").ok().filter(|at| !at.is_empty());
    let parse = |at: String| at.parse().map_err(|error| format!("BALANCER_CONSOLE: {at:?}: {error}"));
    address.map(parse).transpose()
}

fn read_configuration(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("BALANCER_CONFIG: {path}: {error}"))
}

/// Reloads the configuration on each SIGHUP and retries up to [`MAX_RELOAD_ATTEMPTS`] times, since the file may be half
/// written and no further signal may come. After a failure the node keeps the configuration in use.
async fn reload_on_hangup(mut hangup: Signals, path: &str, reloader: Reloader) {
    let mut tries_left = 0;
    loop {
        tokio::select! {
            signal = hangup.recv() => match signal {
                Some(()) => tries_left = MAX_RELOAD_ATTEMPTS,
                None => std::future::pending().await, // no further signal can arrive; the node runs on
            },
            () = sleep(RELOAD_RETRY_DELAY), if tries_left > 0 => {}
        }
        tries_left -= 1;
        match read_configuration(path).and_then(|text| reloader.reload(&text)) {
            Ok(()) => tries_left = 0,
            Err(fault) if tries_left + 1 == MAX_RELOAD_ATTEMPTS || tries_left == 0 => {
                warn!(fault, tries_left, "configuration not read again; keeping the current one");
            }
            Err(_) => {}
        }
    }
}
