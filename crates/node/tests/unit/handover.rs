//! Tests of `handover.rs`.

use super::*;
use proptest::prelude::*;

fn orders() -> Orders {
    let out = BTreeSet::from(["s-1".to_owned(), "s \"2\"\n".to_owned()]);
    Orders { out, back: BTreeMap::from([("s-3".to_owned(), 7)]), standby: true }
}

/// A folder of its own for a test, gone with it.
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
fn orders_come_back_as_they_were_and_only_to_their_node() {
    let text = encode("n0", &orders()).unwrap();
    assert_eq!(decode("n0", &text), Ok(orders()));
    assert!(decode("n1", &text).unwrap_err().contains("n0"));
    let later = text.replacen(" 1 ", " 2 ", 1);
    assert!(decode("n0", &later).unwrap_err().contains("version"));
}

proptest! {
    /// Whatever is lost or changed in the file, nobody takes it for orders.
    #[test]
    fn torn_orders_are_no_orders(at in any::<prop::sample::Index>(), cut in any::<bool>(), byte in 32u8..127) {
        let text = encode("n0", &orders()).unwrap();
        let mut bytes = text.clone().into_bytes();
        let at = at.index(bytes.len());
        if cut { bytes.truncate(at) } else { bytes[at] = byte }
        let torn = String::from_utf8(bytes).unwrap();
        prop_assert!(torn == text || decode("n0", &torn).is_err_and(|fault| !fault.is_empty()));
    }
}

/// A process's part after its first look.
fn open(folder: &Path, node: &str) -> Handover {
    let mut shared = Handover::new(folder, node);
    shared.refresh().unwrap();
    shared
}

/// Locks belong to open files, so two of this process are as good as two processes.
#[test]
fn each_knows_of_the_other_until_one_ends() {
    let folder = Folder::new("places");
    let mut old = open(&folder.0, "n0");
    assert!(old.is_first() && !old.has_companion());
    let mut new = open(&folder.0, "n0");
    assert!(!new.is_first() && new.has_companion());
    old.refresh().unwrap();
    assert!(old.has_companion());
    let other = open(&folder.0, "n1");
    assert!(!other.has_companion(), "another node's process is none of ours");
    drop(old);
    new.refresh().unwrap();
    assert!(new.is_first() && !new.has_companion());
    let third = open(&folder.0, "n0");
    drop(new);
    assert!(third.has_companion(), "as of its last look");
}

#[test]
fn what_is_kept_is_told_to_one_and_not_to_the_next() {
    let folder = Folder::new("room");
    let mut old = open(&folder.0, "n0");
    let new = open(&folder.0, "n0");
    let kept = |clients| Allocation { clients, servers: 7, bodies: 9 };
    assert!(old.has_slot() && new.has_slot() && new.companion_usage().is_none());
    old.publish_usage(kept(5)).unwrap();
    assert_eq!(new.companion_usage(), Some(kept(5)));
    old.publish_usage(kept(4)).unwrap();
    assert_eq!(new.companion_usage(), Some(kept(4)));
    for torn in ["", " 4", " 4 7 9 1", " 4 7 x"] {
        fs::write(&new.room, format!("{}{torn}", new.token)).unwrap();
        assert_eq!(new.companion_usage(), None, "{torn:?}");
    }
    assert!(!open(&folder.0, "n0").has_slot(), "a third waits");
    drop(new);
    old.refresh().unwrap();
    let mut next = open(&folder.0, "n0");
    next.token.push('x'); // as a clock without much resolution would not do
    fs::write(&next.second.path, &next.token).unwrap();
    assert_eq!(next.companion_usage(), None, "that was another's");
    old.publish_usage(kept(4)).unwrap();
    assert_eq!(next.companion_usage(), Some(kept(4)));
}

#[test]
fn orders_reach_the_other_once_and_not_their_writer() {
    let folder = Folder::new("orders");
    let (mut old, mut new) = (open(&folder.0, "n0"), open(&folder.0, "n0"));
    assert_eq!(new.changed_orders(), None);
    old.write_orders(&orders());
    assert_eq!(
        (new.changed_orders(), new.changed_orders(), old.changed_orders()),
        (Some(orders()), None, None)
    );
    fs::write(&new.orders, "nonsense").unwrap();
    assert_eq!(new.changed_orders(), None);
}

/// Guards what an operator was answered: a disk that takes no write for a while.
#[test]
fn orders_that_could_not_be_written_are_written_once_they_can_be() {
    let folder = Folder::new("unwritten");
    let (mut old, mut new) = (open(&folder.0, "n0"), open(&folder.0, "n0"));
    fs::create_dir(&old.orders).unwrap(); // which no file can take the place of
    old.write_orders(&orders());
    assert_eq!(new.changed_orders(), None);
    old.retry_write();
    fs::remove_dir(&old.orders).unwrap();
    old.retry_write();
    assert_eq!(new.changed_orders(), Some(orders()));
    fs::write(&new.orders, encode("n0", &Orders::default()).unwrap()).unwrap();
    old.retry_write();
    assert_eq!(old.changed_orders(), Some(Orders::default()), "what was written is not written again");
}

/// Guards orders of another process: a read that fails is no reason to take them for read.
#[test]
fn orders_that_could_not_be_read_are_read_again() {
    let folder = Folder::new("unread");
    let mut node = open(&folder.0, "n0");
    std::os::unix::fs::symlink("/proc/self/mem", &node.orders).unwrap(); // a file that is there and fails with EIO
    assert_eq!((node.changed_orders(), node.stamp), (None, None));
}
