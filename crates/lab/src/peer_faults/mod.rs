//! Faults of peers: clients and guide servers that misbehave beside well-behaved clients, against processes of one node
//! on loopback, with little memory and few descriptors.
//!
//! A [`Scenario`] names the peers, the limits of the node and the signals that its processes get. [`run`] plays it with
//! real processes and returns an [`Outcome`]: the peak memory, how the well-behaved clients were answered, and every
//! violation of a rule, as the clients and the servers saw it.

pub mod command;
mod crowd;
mod draw;
mod exchange;
mod flood;
mod leaver;
mod ledger;
mod pictures;
mod processes;
mod scenario;
mod server;
mod steady;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::process::NodeCommand;
use ledger::Ledger;
use processes::NodeProcesses;
use server::GuideServers;

pub use draw::draw;
pub use flood::Flood;
pub use pictures::{picture, PICTURES};
pub use scenario::{Outcome, Peers, Restart, RestartKind, Scenario};

/// Time after the last request in which late answers and late attempts still show.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Plays a scenario with processes of `command`. Fails if the lab itself cannot run it.
pub fn run(scenario: &Scenario, command: &NodeCommand) -> Result<Outcome, String> {
    let ledger = Arc::new(Ledger::default());
    let servers = GuideServers::start(ledger.clone())?;
    let processes = NodeProcesses::start(scenario, command, &servers)?;
    let address = processes.address();
    let end = Instant::now() + Duration::from_secs_f64(scenario.seconds);
    // On a thread of their own, judged clients are not held up by a crowd.
    let [crowd, judged] = [false, true].map(|judged| {
        let (scenario, ledger) = (scenario.clone(), ledger.clone());
        thread::spawn(move || in_runtime(crowd::play(&scenario, judged, address, end, ledger)))
    });
    let steady = {
        let (scenario, ledger) = (scenario.clone(), ledger.clone());
        thread::spawn(move || in_runtime(steady::play(&scenario, address, end, ledger)))
    };
    let restarts = processes.play_restarts(scenario, command, ledger.clone());
    let stopped = |_| "a thread of the lab panicked".to_owned();
    crowd.join().map_err(stopped)??;
    judged.join().map_err(stopped)??;
    let waits = steady.join().map_err(stopped)??;
    thread::sleep(SETTLING_TIME);
    let restarted = restarts.end()?;
    let mut violations = ledger.violations();
    violations.extend(restarted.violations(scenario));
    Ok(Outcome { peak_kib: restarted.peak_kib, waits, violations, log: restarted.log })
}

/// Runs clients on a runtime of this thread.
fn in_runtime<T>(clients: impl std::future::Future<Output = T>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    Ok(runtime.map_err(|error| format!("runtime: {error}"))?.block_on(clients))
}

/// Waits for all tasks of a set; they end by themselves.
async fn join_all(mut tasks: JoinSet<()>) {
    while tasks.join_next().await.is_some() {}
}
