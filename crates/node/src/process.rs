//! A node as a process: reads its configuration, serves, reads it again on SIGHUP, and ends on SIGTERM when
//! all is answered.

use std::net::SocketAddr;
use std::path::Path;

use rustix::process::Signal;
use tokio::signal::unix::{signal, Signal as Signals, SignalKind};
use tracing::warn;

use merlinfold_config::Fleet;
use merlinfold_fleet::Disks;

use crate::{Config, Node, Reloader};

/// Serves from the file that `BALANCER_CONFIG` names until SIGTERM. Errors are one line that names what is
/// missing or wrong. `fleet` is the fleet to take part in, if any, and `disks` is where its files are.
pub fn run(fleet: Option<Fleet>, disks: Disks) -> Result<(), String> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|error| format!("BALANCER_CONFIG: {error}"))?;
    let text = read(&path)?;
    let mut config = Config::parse(&text).map_err(|fault| format!("configuration: {fault}"))?;
    if config.console.is_none() {
        config.console = console()?;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| format!("runtime: {error}"))?.block_on(async {
        let mut terminated = signal(SignalKind::terminate()).map_err(|error| format!("SIGTERM: {error}"))?;
        let hangup = signal(SignalKind::hangup()).map_err(|error| format!("SIGHUP: {error}"))?;
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
        let mut node = Node::bind(config, folder.as_ref().map(Path::new))
            .await
            .map_err(|fault| format!("configuration: {fault}"))?;
        // Kept open for as long as the process runs: a file that may not grow is then an error of one write, not the
        // end of the node.
        let mut _limit = None;
        if let Some(fleet) = fleet {
            node.join(fleet, disks)?;
            let too_large = SignalKind::from_raw(Signal::XFSZ.as_raw());
            _limit = Some(signal(too_large).map_err(|error| format!("SIGXFSZ: {error}"))?);
        }
        let stop = async move {
            terminated.recv().await;
        };
        let reloads = reload(hangup, &path, node.reloader());
        tokio::select! {
            () = node.run(stop) => {}
            () = reloads => {}
        }
        Ok(())
    })
}

/// Where operators call, as the environment has it.
fn console() -> Result<Option<SocketAddr>, String> {
    let told = std::env::var("BALANCER_CONSOLE").ok().filter(|at| !at.is_empty());
    let parse = |at: String| at.parse().map_err(|error| format!("BALANCER_CONSOLE: {at:?}: {error}"));
    told.map(parse).transpose()
}

fn read(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("BALANCER_CONFIG: {path}: {error}"))
}

/// Reads the configuration again at each signal; the node goes on with what it has if that fails.
async fn reload(mut hangup: Signals, path: &str, reloader: Reloader) {
    while hangup.recv().await.is_some() {
        if let Err(fault) = read(path).and_then(|text| reloader.reload(&text)) {
            warn!(fault, "configuration not read again: the one before stays");
        }
    }
    std::future::pending().await // no further signal can come, which is no reason to end
}
