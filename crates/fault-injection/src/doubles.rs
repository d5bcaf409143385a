//! Nodes with one defect each, by which the laws are shown to catch something. They are the product's machine behind
//! a filter: the product itself has no switch for them.

use merlinfold_membership::{decode_datagram, encode_record, DatagramWriter, Name, Record, Status, Tuning};

/// What a double does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Double {
    /// Never suspects anybody.
    Trusting,
    /// Does not contradict what is told of it.
    Silent,
    /// Takes members of other fleets for its own.
    Merging,
    /// Its store leaves out to make files durable.
    Unsynced,
}

impl Double {
    /// Every one, and the law that has to catch it.
    pub const ALL: [(Double, &'static str); 4] = [
        (Double::Trusting, "detection"),
        (Double::Silent, "no false death"),
        (Double::Merging, "no strangers"),
        (Double::Unsynced, "starts only rise"),
    ];

    /// The times it works by.
    pub fn tuning(self, tuning: Tuning) -> Tuning {
        match self {
            Double::Trusting => Tuning { probe_timeout: u64::MAX / 64, ..tuning },
            _ => tuning,
        }
    }

    /// What it hears of a datagram.
    pub fn hears(self, me: &Name, own: u64, clusters: &[u64], bytes: Vec<u8>) -> Vec<u8> {
        let Some((mut envelope, records)) =
            clusters.iter().find_map(|&cluster| decode_datagram(cluster, &bytes).ok())
        else {
            return bytes;
        };
        let keeps = |record: &Record| match self {
            Double::Trusting => !matches!(record.status, Status::Suspect { .. } | Status::Dead),
            Double::Silent => record.name != *me,
            Double::Merging | Double::Unsynced => true,
        };
        if self == Double::Merging {
            envelope.cluster = own;
        }
        let mut writer = DatagramWriter::new(&envelope);
        for record in records.iter().filter(|record| keeps(record)) {
            let _ = writer.add(&encode_record(record)); // it had room before
        }
        writer.finish()
    }
}
