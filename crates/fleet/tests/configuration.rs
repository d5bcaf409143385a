//! Distribution of configuration on real sockets and disks: five nodes of one process on the loopback interface.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use common::{appended, Appended};
use merlinfold_config::{parse, Config};
use merlinfold_distribution::{PublishError, RevisionId};
use merlinfold_fleet::{ConfigurationHandle, Fleet, LogHandle};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

const NODES: usize = 5;
const IN_FORCE_WITHIN: Duration = Duration::from_secs(12);

struct Node {
    address: SocketAddr,
    content: Arc<Appended>,
    handle: ConfigurationHandle,
    log: LogHandle,
    task: JoinHandle<()>,
    _leave: watch::Sender<bool>,
}

struct Disks(PathBuf);

impl Drop for Disks {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Disks {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("merlinfold-configuration-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Disks(path)
    }

    fn start(
        &self, number: usize, at: SocketAddr, seed: Option<SocketAddr>, refuses: Option<&'static [u8]>,
    ) -> Node {
        let seeds = seed.map_or(String::new(), |seed| format!("\"{seed}\""));
        let folder = self.0.join(format!("n{number}"));
        let text = format!(
            "[fleet]\ncluster = \"test\"\nlisten = \"{at}\"\nzone = \"a\"\nmachine = \"m{number}\"\nseeds = [{seeds}]\n\
             folder = {:?}\n[fleet.log]\ncandidates = [\"n0\", \"n1\", \"n2\"]\nvoters = 3\ndurability = \"disk\"\n\
             [fleet.configuration]\n",
            folder.display().to_string()
        );
        let settings = parse::<Config>(&text).unwrap().fleet.unwrap();
        let (mut fleet, _) = Fleet::open(&format!("n{number}"), settings).unwrap();
        let content = Arc::new(Appended { refuses, ..Appended::default() });
        let handle = fleet.serve_configuration(content.clone()).unwrap();
        let (address, log) = (fleet.address().unwrap(), fleet.log_handle().unwrap());
        let (leave, leaves) = watch::channel(false);
        let task = tokio::spawn(fleet.run(leaves));
        Node { address, content, handle, log, task, _leave: leave }
    }

    fn fleet(&self, refuses: &'static [u8]) -> Vec<Node> {
        let any = "127.0.0.1:0".parse().unwrap();
        let mut nodes = vec![self.start(0, any, None, None)];
        for number in 1..NODES {
            let refuses = (number == NODES - 1).then_some(refuses);
            nodes.push(self.start(number, any, Some(nodes[0].address), refuses));
        }
        nodes
    }
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let waits = async {
        while !holds() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(IN_FORCE_WITHIN, waits).await.unwrap_or_else(|_| panic!("{what}"));
}

async fn publish(node: &Node, added: &[u8]) -> Result<RevisionId, PublishError> {
    node.handle.publish(appended(&node.handle, added)).await
}

fn number(node: &Node) -> u64 {
    node.handle.in_force().map_or(0, |document| document.announcement.id.number)
}

#[tokio::test]
async fn revisions_come_into_force_on_real_nodes() {
    let disks = Disks::new("revisions");
    let mut nodes = disks.fleet(b"bad");
    until("the log has its voters", || {
        nodes.iter().all(|node| node.log.view().voters.len() == 3 && node.log.view().fresh)
    })
    .await;

    // A first whole document of many pieces, then deltas from different nodes.
    assert_eq!(publish(&nodes[3], &vec![b'a'; 200_000]).await.unwrap().number, 1);
    until("the first is in force", || nodes.iter().all(|node| number(node) == 1)).await;
    for (at, revision) in [(0, 2), (4, 3)] {
        assert_eq!(publish(&nodes[at], b"more").await.unwrap().number, revision);
        until("a delta is in force", || nodes.iter().all(|node| number(node) == revision)).await;
    }
    let digests: Vec<_> = nodes.iter().map(|node| node.handle.view().digest).collect();
    assert!(digests.iter().all(|digest| digest.is_some() && *digest == digests[0]), "{digests:?}");

    // One node refuses a revision; the others have it, and the next is in force everywhere.
    publish(&nodes[1], b"bad").await.unwrap();
    until("the others have it", || nodes[..4].iter().all(|node| number(node) == 4)).await;
    until("it is refused by name", || nodes[4].handle.view().refused_here.is_some()).await;
    let refused = nodes[4].handle.view().refused_here.unwrap();
    assert_eq!((refused.reason.as_str(), number(&nodes[4])), ("it ends badly", 3));
    until("others see it", || nodes[0].handle.view().refused_names == ["n4"]).await;
    publish(&nodes[1], b"good").await.unwrap();
    until("the next is in force", || nodes.iter().all(|node| number(node) == 5)).await;
    until("all are counted", || nodes[2].handle.view().applied == NODES).await;

    // A node that ends without a word begins with what its disk has, and catches up.
    let gone = nodes.remove(3);
    gone.task.abort();
    let _ = gone.task.await;
    publish(&nodes[1], b"meanwhile").await.unwrap();
    let back = disks.start(3, gone.address, Some(nodes[0].address), None);
    until("it is back", || number(&back) == 6).await;
    let first = back.content.applied.lock().unwrap()[0].0.number;
    assert!(first >= 1, "the disk's revision was in force first: {first}");
    let whole = nodes[0].handle.in_force().unwrap().bytes;
    assert_eq!(back.content.applied.lock().unwrap().last().unwrap().1, *whole);
}

#[tokio::test]
async fn without_a_majority_nothing_is_published_and_what_is_in_force_stays() {
    let disks = Disks::new("majority");
    let mut nodes = disks.fleet(b"bad");
    until("the log has its voters", || {
        nodes.iter().all(|node| node.log.view().voters.len() == 3 && node.log.view().fresh)
    })
    .await;
    publish(&nodes[4], b"first").await.unwrap();
    until("it is in force", || nodes.iter().all(|node| number(node) == 1)).await;
    for node in nodes.drain(..2) {
        node.task.abort();
    }
    let error = publish(&nodes[2], b"second").await.unwrap_err();
    assert_eq!(error, PublishError::NotStaged { staged: 1, voters: 3 });
    assert!(nodes.iter().all(|node| number(node) == 1));
    until("it says how old it is", || {
        nodes[2].handle.view().log_silent_ms.is_some_and(|silent| silent > 3_000)
    })
    .await;
}
