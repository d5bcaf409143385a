//! Fleet members that run in a thread of the lab, so that a node's cost can be measured as part of a fleet.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc;

use merlinfold_fleet::Fleet;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::net::Range;
use crate::process::NodeCommand;

const FLEET_PORT: u16 = 7_946;
const MAX_MEMBERS: usize = 250; // more overload the one thread that runs them

/// Handle of running members.
pub struct Members {
    leave: watch::Sender<bool>,
    file: PathBuf,
}

impl Members {
    /// Makes all members leave and deletes the configuration file.
    pub fn stop(self) {
        self.leave.send_replace(true);
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Starts `count` members. Also returns the command `node` with a configuration that makes it join them.
///
/// Returns an error unless `count` is 1 to 250, and if an address, the file or a member cannot be opened.
pub async fn start(count: usize, node: &NodeCommand) -> Result<(Members, NodeCommand), String> {
    if !(1..=MAX_MEMBERS).contains(&count) {
        return Err(format!("expected 1 to {MAX_MEMBERS} members, got {count}"));
    }
    let range = Range::claim()?;
    let at = |n: usize| SocketAddr::new(range.node(n).ip(), FLEET_PORT);
    let configuration = |n: usize| {
        let (zone, own, seed) = (["a", "b", "c"][n % 3], at(n), at(0));
        format!(
            "[fleet]\ncluster = \"cost\"\nlisten = \"{own}\"\nzone = \"{zone}\"\nmachine = \"m{n}\"\nseeds = [\"{seed}\"]\n"
        )
    };
    let mut settings = Vec::new();
    for n in 0..count {
        let config = merlinfold_config::parse::<merlinfold_config::Config>(&configuration(n));
        settings.extend(config.map_err(|error| error.to_string())?.fleet);
    }
    let file = std::env::temp_dir().join(format!("merlinfold-lab-cost-{}.toml", std::process::id()));
    std::fs::write(&file, configuration(count)).map_err(|error| format!("{}: {error}", file.display()))?;
    let (leave, leave_requested) = watch::channel(false);
    let (started_sender, started) = mpsc::channel();
    std::thread::spawn(move || {
        // The log messages of hundreds of members are of no use here.
        let _quiet = tracing::subscriber::set_default(tracing::subscriber::NoSubscriber::default());
        let _range = range; // keeps the addresses claimed while the members run
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        runtime.block_on(async {
            let mut running = JoinSet::new();
            for (n, settings) in settings.into_iter().enumerate() {
                match Fleet::open(&format!("m{n}"), settings) {
                    Ok((fleet, _)) => drop(running.spawn(fleet.run(leave_requested.clone()))),
                    Err(error) => return drop(started_sender.send(Err(format!("member {n}: {error}")))),
                }
            }
            let _ = started_sender.send(Ok(()));
            while running.join_next().await.is_some() {}
        });
    });
    started.recv().map_err(|_| "the thread that runs the members ended unexpectedly".to_owned())??;
    let mut joined = node.clone();
    joined.words.extend(["--config".to_owned(), file.display().to_string()]);
    Ok((Members { leave, file }, joined))
}
