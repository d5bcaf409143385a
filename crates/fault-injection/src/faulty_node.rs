//! Nodes with one planted defect each, which show that the invariants detect something. A faulty node is the
//! product's membership state machine behind a filter: the product itself has no switch for these defects.

use merlinfold_membership::{decode_datagram, encode_record, DatagramWriter, Name, Record, Status, Tuning};

/// The planted defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultyNode {
    /// Never suspects another node.
    Trusting,
    /// Does not refute accusations against itself.
    Silent,
    /// Accepts members of other fleets into its own.
    Merging,
    /// Reports files as durable without syncing them.
    Unsynced,
}

impl FaultyNode {
    /// Every defect, with the name of the invariant that must detect it.
    pub const ALL: [(FaultyNode, &'static str); 4] = [
        (FaultyNode::Trusting, "detection"),
        (FaultyNode::Silent, "no false death"),
        (FaultyNode::Merging, "no strangers"),
        (FaultyNode::Unsynced, "starts only rise"),
    ];

    /// Returns the membership timing that a node with this defect uses.
    pub fn tuning(self, tuning: Tuning) -> Tuning {
        match self {
            FaultyNode::Trusting => Tuning { probe_timeout: u64::MAX / 64, ..tuning },
            _ => tuning,
        }
    }

    /// Returns the datagram as the faulty membership receives it: without the records that the defect ignores, and,
    /// for [`FaultyNode::Merging`], with the cluster number replaced by `own`. `me` is the node's name and `clusters`
    /// are all cluster numbers under which a datagram may be readable.
    pub fn filter_datagram(self, me: &Name, own: u64, clusters: &[u64], bytes: Vec<u8>) -> Vec<u8> {
        let Some((mut envelope, records)) =
            clusters.iter().find_map(|&cluster| decode_datagram(cluster, &bytes).ok())
        else {
            return bytes;
        };
        let is_passed_on = |record: &Record| match self {
            FaultyNode::Trusting => !matches!(record.status, Status::Suspect { .. } | Status::Dead),
            FaultyNode::Silent => record.name != *me,
            FaultyNode::Merging | FaultyNode::Unsynced => true,
        };
        if self == FaultyNode::Merging {
            envelope.cluster = own;
        }
        let mut writer = DatagramWriter::new(&envelope);
        for record in records.iter().filter(|record| is_passed_on(record)) {
            let _ = writer.add(&encode_record(record)); // the records fitted into the original datagram
        }
        writer.finish()
    }
}
