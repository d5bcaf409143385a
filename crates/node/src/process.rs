//! A node as a process: reads its configuration, serves, reads it again on SIGHUP, and ends on SIGTERM when
//! all is answered.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use rustix::process::Signal;
use tokio::signal::unix::{signal, Signal as Signals, SignalKind};
use tokio::time::sleep;
use tracing::warn;

use merlinfold_config::Fleet;
use merlinfold_fleet::Disks;

use crate::{Config, Node, Reloader};

/// Reads of a configuration after one signal: what it says of discovery counts 4 s after that.
const MAX_RELOAD_ATTEMPTS: u32 = 30;
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves from the file that `BALANCER_CONFIG` names until SIGTERM. Errors are one line that names what is
/// missing or wrong. `fleet` is the fleet to take part in, if any, and `disks` is where its files are.
pub fn run(fleet: Option<Fleet>, disks: Disks) -> Result<(), String> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|error| format!("BALANCER_CONFIG: {error}"))?;
    let text = read_configuration(&path)?;
    let mut config = Config::parse(&text).map_err(|fault| format!("configuration: {fault}"))?;
    if config.console.is_none() {
        config.console = console_address()?;
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
        let reloads = reload_on_hangup(hangup, &path, node.reloader());
        tokio::select! {
            () = node.run(stop) => {}
            () = reloads => {}
        }
        Ok(())
    })
}

/// Where operators call, as the environment has it.
fn console_address() -> Result<Option<SocketAddr>, String> {
    let told = std::env::var("BALANCER_CONSOLE").ok().filter(|at| !at.is_empty());
    let parse = |at: String| at.parse().map_err(|error| format!("BALANCER_CONSOLE: {at:?}: {error}"));
    told.map(parse).transpose()
}

fn read_configuration(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("BALANCER_CONFIG: {path}: {error}"))
}

/// Reads the configuration again at each signal, and a few times more while that fails: the file may be half written,
/// and no other signal may come. The node goes on with what it has.
async fn reload_on_hangup(mut hangup: Signals, path: &str, reloader: Reloader) {
    let mut tries_left = 0;
    loop {
        tokio::select! {
            signal = hangup.recv() => match signal {
                Some(()) => tries_left = MAX_RELOAD_ATTEMPTS,
                None => std::future::pending().await, // no further signal can come, which is no reason to end
            },
            () = sleep(RELOAD_RETRY_DELAY), if tries_left > 0 => {}
        }
        tries_left -= 1;
        match read_configuration(path).and_then(|text| reloader.reload(&text)) {
            Ok(()) => tries_left = 0,
            Err(fault) if tries_left + 1 == MAX_RELOAD_ATTEMPTS || tries_left == 0 => {
                warn!(fault, tries_left, "configuration not read again: the one before stays");
            }
            Err(_) => {}
        }
    }
}
