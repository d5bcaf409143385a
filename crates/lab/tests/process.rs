//! Node processes as the lab starts and samples them.

use std::fs::File;
use std::path::Path;
use std::time::{Duration, Instant};

use merlinfold_lab::process::{NodeCommand, Process};

/// Descriptors that a node may open here.
const SOCKETS: usize = 64;
/// Descriptors of the lab itself while it starts a node.
const LAB_DESCRIPTORS: usize = 500;
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// A spawn returns before the kernel has closed the lab's descriptors in about one new process of twelve.
const STARTS: usize = 150;

/// Guards experiments against a node that is killed for descriptors that are the lab's own: those that its new process
/// has inherited and that the kernel closes a moment later.
#[tokio::test]
async fn descriptors_of_the_lab_do_not_count_as_those_of_a_node_that_has_just_started() {
    let open: Vec<File> = (0..LAB_DESCRIPTORS).map(|_| File::open("/dev/null").unwrap()).collect();
    let folder = std::env::temp_dir().join(format!("merlinfold-process-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let most = (0..STARTS).map(|node| descriptors_after_start(node, &folder)).max();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(most < Some(SOCKETS as u64), "{most:?} descriptors, beside {} of the lab", open.len());
}

/// Starts a node that only waits, and returns how many descriptors the first look that finds any counts.
fn descriptors_after_start(node: usize, folder: &Path) -> u64 {
    let command = NodeCommand::of("/bin/sleep 60").unwrap();
    let mut process = Process::start(&command, node, "{}", SOCKETS, folder).unwrap();
    let started = Instant::now();
    while started.elapsed() < START_TIMEOUT {
        let descriptors = process.look().descriptors;
        if descriptors > 0 {
            return descriptors;
        }
    }
    panic!("node {node}: no descriptors within {START_TIMEOUT:?}");
}
