//! Tests of the state that two processes of one node share.

use super::*;
use proptest::prelude::*;

fn orders() -> Orders {
    let out = BTreeSet::from(["s-1".to_owned(), "s \"2\"\n".to_owned()]);
    Orders { out, back: BTreeMap::from([("s-3".to_owned(), 7)]), standby: true }
}

/// A temporary folder for one test, removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("merlinfold-test-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn encoded_orders_are_decoded_by_the_same_node_only() {
    let text = encode("n0", &orders()).unwrap();
    assert_eq!(decode("n0", &text), Ok(orders()));
    assert!(decode("n1", &text).unwrap_err().contains("n0"));
    let later = text.replacen(" 1 ", " 2 ", 1);
    assert!(decode("n0", &later).unwrap_err().contains("version"));
}

proptest! {
    /// A file that is cut short or has a changed byte is an error.
    #[test]
    fn damaged_orders_are_rejected(at in any::<prop::sample::Index>(), cut in any::<bool>(), byte in 32u8..127) {
        let text = encode("n0", &orders()).unwrap();
        let mut bytes = text.clone().into_bytes();
        let at = at.index(bytes.len());
        if cut { bytes.truncate(at) } else { bytes[at] = byte }
        let damaged = String::from_utf8(bytes).unwrap();
        prop_assert!(damaged == text || decode("n0", &damaged).is_err_and(|error| !error.is_empty()));
    }
}

/// The shared state as a process has it after its first refresh.
fn open(folder: &Path, node: &str) -> Handover {
    let mut handover = Handover::new(folder, node);
    handover.refresh().unwrap();
    handover
}

/// Locks belong to open files, so two handovers in this process behave like those of two processes.
#[test]
fn each_process_sees_the_other_until_one_ends() {
    let folder = Folder::new("slots");
    let mut old = open(&folder.0, "n0");
    assert!(old.is_first() && !old.has_companion());
    let mut new = open(&folder.0, "n0");
    assert!(!new.is_first() && new.has_companion());
    old.refresh().unwrap();
    assert!(old.has_companion());
    let other = open(&folder.0, "n1");
    assert!(!other.has_companion(), "a process of another node is no companion");
    drop(old);
    new.refresh().unwrap();
    assert!(new.is_first() && !new.has_companion());
    let third = open(&folder.0, "n0");
    drop(new);
    assert!(third.has_companion(), "as of its last refresh");
}

#[test]
fn usage_is_published_for_one_successor_and_not_for_the_next() {
    let folder = Folder::new("usage");
    let mut old = open(&folder.0, "n0");
    let new = open(&folder.0, "n0");
    let usage = |clients| Allocation { clients, servers: 7, bodies: 9 };
    assert!(old.has_slot() && new.has_slot() && new.companion_usage().is_none());
    old.publish_usage(usage(5), 20 << 20).unwrap();
    assert_eq!((new.companion_usage(), new.companion_memory()), (Some(usage(5)), Some(20 << 20)));
    old.publish_usage(usage(4), 16 << 20).unwrap();
    assert_eq!(new.companion_usage(), Some(usage(4)));
    for damaged in ["", " 4", " 4 7 9 1", " 4 7 x"] {
        fs::write(&new.usage_path, format!("{}{damaged}", new.token)).unwrap();
        assert_eq!(new.companion_usage(), None, "{damaged:?}");
    }
    assert!(!open(&folder.0, "n0").has_slot(), "a third process waits");
    drop(new);
    old.refresh().unwrap();
    let mut next = open(&folder.0, "n0");
    next.token.push('x'); // differs even where the clock's resolution is too low
    fs::write(&next.second.path, &next.token).unwrap();
    assert_eq!(next.companion_usage(), None, "it was published for another process");
    old.publish_usage(usage(4), 16 << 20).unwrap();
    assert_eq!(next.companion_usage(), Some(usage(4)));
}

#[test]
fn written_orders_are_read_once_by_the_other_process_and_not_by_their_writer() {
    let folder = Folder::new("orders");
    let (mut old, mut new) = (open(&folder.0, "n0"), open(&folder.0, "n0"));
    assert_eq!(new.changed_orders(), None);
    old.write_orders(&orders());
    assert_eq!(
        (new.changed_orders(), new.changed_orders(), old.changed_orders()),
        (Some(orders()), None, None)
    );
    fs::write(&new.orders_path, "nonsense").unwrap();
    assert_eq!(new.changed_orders(), None);
}

/// Guards against the loss of orders that an operator has been told are in effect, where the disk rejects writes for a
/// while.
#[test]
fn orders_that_could_not_be_written_are_written_on_a_later_try() {
    let folder = Folder::new("unwritten");
    let (mut old, mut new) = (open(&folder.0, "n0"), open(&folder.0, "n0"));
    fs::create_dir(&old.orders_path).unwrap(); // a rename cannot replace a folder by a file
    old.write_orders(&orders());
    assert_eq!(new.changed_orders(), None);
    old.retry_write();
    fs::remove_dir(&old.orders_path).unwrap();
    old.retry_write();
    assert_eq!(new.changed_orders(), Some(orders()));
    fs::write(&new.orders_path, encode("n0", &Orders::default()).unwrap()).unwrap();
    old.retry_write();
    assert_eq!(old.changed_orders(), Some(Orders::default()), "written orders are not written again");
}

/// Guards against the loss of another process's orders: a failed read must not count as a read.
#[test]
fn orders_that_could_not_be_read_are_read_again() {
    let folder = Folder::new("unread");
    let mut node = open(&folder.0, "n0");
    std::os::unix::fs::symlink("/proc/self/mem", &node.orders_path).unwrap(); // a file that exists and whose reads fail with EIO
    assert_eq!((node.changed_orders(), node.stamp), (None, None));
}
