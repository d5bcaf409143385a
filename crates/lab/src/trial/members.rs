//! Members that only take part in a fleet, in a thread of the lab's: company for a node whose cost is measured.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc;

use merlinfold_fleet::Fleet;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::net::Range;
use crate::process::NodeCommand;

const FLEET_PORT: u16 = 7_946;
const MEMBERS_MOST: usize = 250; // that one thread can keep up with beside the rest

/// Members that run until they are told to end.
pub struct Members {
    leave: watch::Sender<bool>,
    file: PathBuf,
}

impl Members {
    /// They leave; nothing is left of them.
    pub fn end(self) {
        self.leave.send_replace(true);
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Starts so many, and says how `node` is started to be one more.
pub async fn start(count: usize, node: &NodeCommand) -> Result<(Members, NodeCommand), String> {
    if !(1..=MEMBERS_MOST).contains(&count) {
        return Err(format!("members: 1 to {MEMBERS_MOST}"));
    }
    let range = Range::claim()?;
    let at = |n: usize| SocketAddr::new(range.node(n).ip(), FLEET_PORT);
    let table = |n: usize| {
        let (zone, own, seed) = (["a", "b", "c"][n % 3], at(n), at(0));
        format!(
            "[fleet]\ncluster = \"cost\"\nlisten = \"{own}\"\nzone = \"{zone}\"\nmachine = \"m{n}\"\nseeds = [\"{seed}\"]\n"
        )
    };
    let mut settings = Vec::new();
    for n in 0..count {
        let config = merlinfold_config::parse::<merlinfold_config::Config>(&table(n));
        settings.extend(config.map_err(|fault| fault.to_string())?.fleet);
    }
    let file = std::env::temp_dir().join(format!("merlinfold-lab-cost-{}.toml", std::process::id()));
    std::fs::write(&file, table(count)).map_err(|error| format!("{}: {error}", file.display()))?;
    let (leave, leaves) = watch::channel(false);
    let (tell, told) = mpsc::channel();
    std::thread::spawn(move || {
        // What hundreds of members say of each other is of no use here.
        let _quiet = tracing::subscriber::set_default(tracing::subscriber::NoSubscriber::default());
        let _range = range; // held for as long as its addresses are in use
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        runtime.block_on(async {
            let mut running = JoinSet::new();
            for (n, settings) in settings.into_iter().enumerate() {
                match Fleet::open(&format!("m{n}"), settings) {
                    Ok((fleet, _)) => drop(running.spawn(fleet.run(leaves.clone()))),
                    Err(error) => return drop(tell.send(Err(format!("member {n}: {error}")))),
                }
            }
            let _ = tell.send(Ok(()));
            while running.join_next().await.is_some() {}
        });
    });
    told.recv().map_err(|_| "the members' thread has ended".to_owned())??;
    let mut joined = node.clone();
    joined.words.extend(["--config".to_owned(), file.display().to_string()]);
    Ok((Members { leave, file }, joined))
}
