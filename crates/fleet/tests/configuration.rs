//! Distribution of configuration on real sockets and disks: five nodes in one process on the loopback interface.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use common::{next_revision, AppendContent};
use merlinfold_config::{parse, Config};
use merlinfold_distribution::{PublishError, RevisionId};
use merlinfold_fleet::{ConfigurationHandle, Fleet, LogHandle};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

const NODES: usize = 5;
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(12);

struct Node {
    address: SocketAddr,
    content: Arc<AppendContent>,
    handle: ConfigurationHandle,
    log: LogHandle,
    task: JoinHandle<()>,
    _leave: watch::Sender<bool>,
}

/// Folders of all nodes, removed at the end of the test.
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
        &self, number: usize, at: SocketAddr, seed: Option<SocketAddr>,
        rejected_suffix: Option<&'static [u8]>,
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
        let content = Arc::new(AppendContent { rejected_suffix, ..AppendContent::default() });
        let handle = fleet.serve_configuration(content.clone()).unwrap();
        let (address, log) = (fleet.address().unwrap(), fleet.log_handle().unwrap());
        let (leave, leaves) = watch::channel(false);
        let task = tokio::spawn(fleet.run(leaves));
        Node { address, content, handle, log, task, _leave: leave }
    }

    fn fleet(&self, rejected_suffix: &'static [u8]) -> Vec<Node> {
        let any = "127.0.0.1:0".parse().unwrap();
        let mut nodes = vec![self.start(0, any, None, None)];
        for number in 1..NODES {
            let rejected_suffix = (number == NODES - 1).then_some(rejected_suffix);
            nodes.push(self.start(number, any, Some(nodes[0].address), rejected_suffix));
        }
        nodes
    }
}

async fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let polling = async {
        while !holds() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(IN_FORCE_TIMEOUT, polling)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting until {condition}"));
}

async fn publish(node: &Node, added: &[u8]) -> Result<RevisionId, PublishError> {
    node.handle.publish(next_revision(&node.handle, added)).await
}

fn number(node: &Node) -> u64 {
    node.handle.in_force().map_or(0, |document| document.announcement.id.number)
}

#[tokio::test]
async fn published_revisions_come_into_force_on_all_nodes() {
    let disks = Disks::new("revisions");
    let mut nodes = disks.fleet(b"bad");
    wait_until("the log has its voters", || {
        nodes.iter().all(|node| node.log.view().voters.len() == 3 && node.log.view().fresh)
    })
    .await;

    // A complete document of many pieces is published first, then deltas from different nodes.
    assert_eq!(publish(&nodes[3], &vec![b'a'; 200_000]).await.unwrap().number, 1);
    wait_until("the first revision is in force", || nodes.iter().all(|node| number(node) == 1)).await;
    for (at, revision) in [(0, 2), (4, 3)] {
        assert_eq!(publish(&nodes[at], b"more").await.unwrap().number, revision);
        wait_until("a delta is in force", || nodes.iter().all(|node| number(node) == revision)).await;
    }
    let digests: Vec<_> = nodes.iter().map(|node| node.handle.view().digest).collect();
    assert!(digests.iter().all(|digest| digest.is_some() && *digest == digests[0]), "{digests:?}");

    // One node refuses a revision and the others apply it; the next revision comes into force at all nodes.
    publish(&nodes[1], b"bad").await.unwrap();
    wait_until("the other nodes have the refused revision", || {
        nodes[..4].iter().all(|node| number(node) == 4)
    })
    .await;
    wait_until("the node reports the refused revision", || nodes[4].handle.view().refused_here.is_some())
        .await;
    let refused = nodes[4].handle.view().refused_here.unwrap();
    assert_eq!(
        (refused.reason.as_str(), number(&nodes[4])),
        ("the document ends with the rejected suffix", 3)
    );
    wait_until("other nodes see who refuses it", || nodes[0].handle.view().refused_names == ["n4"]).await;
    publish(&nodes[1], b"good").await.unwrap();
    wait_until("the next revision is in force", || nodes.iter().all(|node| number(node) == 5)).await;
    wait_until("all nodes count as applied", || nodes[2].handle.view().applied == NODES).await;

    // A node that is killed starts with the revision on its disk and catches up.
    let killed = nodes.remove(3);
    killed.task.abort();
    let _ = killed.task.await;
    publish(&nodes[1], b"meanwhile").await.unwrap();
    let restarted = disks.start(3, killed.address, Some(nodes[0].address), None);
    wait_until("the restarted node has caught up", || number(&restarted) == 6).await;
    let first = restarted.content.applied.lock().unwrap()[0].0.number;
    assert!(first >= 1, "the saved revision is in force first: {first}");
    let document = nodes[0].handle.in_force().unwrap().bytes;
    assert_eq!(restarted.content.applied.lock().unwrap().last().unwrap().1, *document);
}

#[tokio::test]
async fn without_a_majority_publication_fails_and_the_revision_in_force_stays() {
    let disks = Disks::new("majority");
    let mut nodes = disks.fleet(b"bad");
    wait_until("the log has its voters", || {
        nodes.iter().all(|node| node.log.view().voters.len() == 3 && node.log.view().fresh)
    })
    .await;
    publish(&nodes[4], b"first").await.unwrap();
    wait_until("the first revision is in force", || nodes.iter().all(|node| number(node) == 1)).await;
    for node in nodes.drain(..2) {
        node.task.abort();
    }
    let error = publish(&nodes[2], b"second").await.unwrap_err();
    assert_eq!(error, PublishError::NotStaged { staged: 1, voters: 3 });
    assert!(nodes.iter().all(|node| number(node) == 1));
    wait_until("the view shows that the log is outdated", || {
        nodes[2].handle.view().log_silent_ms.is_some_and(|silent| silent > 3_000)
    })
    .await;
}
