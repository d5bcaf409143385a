//! Nodes with one defect each, by which the laws are shown to catch something. They are the product's machine behind
//! a filter: the product itself has no switch for them.

use merlinfold_membership::{encode, read, Name, Record, Status, Tuning, Writer};

/// What a double does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultyNode {
    /// Never suspects anybody.
    Trusting,
    /// Does not contradict what is told of it.
    Silent,
    /// Takes members of other fleets for its own.
    Merging,
    /// Its store leaves out to make files durable.
    Unsynced,
}

impl FaultyNode {
    /// Every one, and the law that has to catch it.
    pub const ALL: [(FaultyNode, &'static str); 4] = [
        (FaultyNode::Trusting, "detection"),
        (FaultyNode::Silent, "no false death"),
        (FaultyNode::Merging, "no strangers"),
        (FaultyNode::Unsynced, "starts only rise"),
    ];

    /// The times it works by.
    pub fn tuning(self, tuning: Tuning) -> Tuning {
        match self {
            FaultyNode::Trusting => Tuning { answer_within: u64::MAX / 64, ..tuning },
            _ => tuning,
        }
    }

    /// What it hears of a datagram.
    pub fn filter_datagram(self, me: &Name, own: u64, clusters: &[u64], bytes: Vec<u8>) -> Vec<u8> {
        let Some((mut envelope, records)) = clusters.iter().find_map(|&cluster| read(cluster, &bytes).ok())
        else {
            return bytes;
        };
        let keeps = |record: &Record| match self {
            FaultyNode::Trusting => !matches!(record.status, Status::Suspect { .. } | Status::Dead),
            FaultyNode::Silent => record.name != *me,
            FaultyNode::Merging | FaultyNode::Unsynced => true,
        };
        if self == FaultyNode::Merging {
            envelope.cluster = own;
        }
        let mut writer = Writer::new(&envelope);
        for record in records.iter().filter(|record| keeps(record)) {
            let _ = writer.add(&encode(record)); // it had room before
        }
        writer.finish()
    }
}
