//! The view of the fleet as other parts of the program and operators read it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use merlinfold_membership::{Membership, Nanos, MS};
use serde::{Deserialize, Serialize};

/// Version of the JSON schema.
pub const SCHEMA: u32 = 1;

/// State of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLine {
    /// Name of the member.
    pub name: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Zone of the member.
    pub zone: String,
    /// Machine on which the member runs.
    pub machine: String,
    /// Address at which the member receives datagrams.
    pub address: SocketAddr,
    /// Number of times that the member has refuted a record about itself, plus one.
    pub incarnation: u64,
    /// Version of its program.
    pub version: String,
    /// Lowest and highest protocol version that it supports.
    pub protocols: (u8, u8),
    /// Milliseconds since the last datagram from the member itself; `None` if there was none.
    pub silent_ms: Option<u64>,
}

/// Number of members of one zone by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLine {
    /// Members that are alive.
    pub alive: usize,
    /// Members that are suspected.
    pub suspect: usize,
    /// Members that are dead.
    pub dead: usize,
    /// Members from which a datagram was received in the last 5 s.
    pub heard: usize,
}

/// The view of one node at one moment. The view of another node may differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the JSON schema.
    pub schema: u32,
    /// Name of the node that has this view.
    pub me: String,
    /// Run number of this process. It rises with every start of the node on one disk.
    #[serde(default)]
    pub run: u64,
    /// Whether this process takes part: it has neither left nor been superseded by another process with its name.
    pub takes_part: bool,
    /// Whether the node reaches more than half of the expected members.
    pub majority: bool,
    /// Number of members that are alive, including the node itself.
    pub alive: usize,
    /// Number of expected members: all known members except those that have left.
    pub known: usize,
    /// Number of members that are suspected.
    pub suspects: usize,
    /// Number of members from which a datagram was received in the last 5 s.
    pub heard: usize,
    /// Member counts by zone.
    pub zones: BTreeMap<String, ZoneLine>,
    /// Counters since the start: datagrams sent, accepted and dropped by reason, accusations, refutations and stalls.
    pub counts: BTreeMap<String, u64>,
    /// All members, sorted by name.
    pub members: Vec<MemberLine>,
}

impl Snapshot {
    /// Builds a snapshot of the current view.
    pub fn of(me: &str, machine: &Membership, now: Nanos) -> Self {
        let summary = machine.summary(now);
        let zone_line = |view: &merlinfold_membership::ZoneCounts| ZoneLine {
            alive: view.alive,
            suspect: view.suspect,
            dead: view.dead,
            heard: view.recently_seen,
        };
        let zones: BTreeMap<String, ZoneLine> =
            summary.zones.iter().map(|(name, view)| (name.to_string(), zone_line(view))).collect();
        let counters = machine.counts();
        let mut counts = BTreeMap::from([
            ("sent".to_owned(), counters.sent),
            ("sent_bytes".to_owned(), counters.sent_bytes),
            ("heard".to_owned(), counters.accepted),
            ("accused".to_owned(), counters.accusations),
            ("refuted".to_owned(), counters.refutations),
            ("held_up".to_owned(), counters.stalls),
        ]);
        counts.extend(
            counters.dropped.iter().map(|(error, count)| (format!("dropped.{}", error.name()), *count)),
        );
        let members = machine.members(now).into_iter().map(|member| MemberLine {
            name: member.name.to_string(),
            state: member.state.to_owned(),
            zone: member.profile.zone.to_string(),
            machine: member.profile.machine.to_string(),
            address: member.profile.address,
            incarnation: member.incarnation,
            version: member.profile.version.to_string(),
            protocols: member.profile.protocols,
            silent_ms: member.silent_for.map(|silent| silent / MS),
        });
        Snapshot {
            schema: SCHEMA,
            me: me.to_owned(),
            run: machine.run(),
            takes_part: machine.is_active(),
            majority: summary.majority,
            alive: summary.alive,
            known: summary.known,
            suspects: zones.values().map(|zone| zone.suspect).sum(),
            heard: zones.values().map(|zone| zone.heard).sum(),
            zones,
            counts,
            members: members.collect(),
        }
    }

    /// Formats the view as a table: a summary, a line for each zone and a line for each member.
    pub fn table(&self) -> String {
        use std::fmt::Write;
        let mut text = String::new();
        let status = match (self.takes_part, self.majority) {
            (false, _) => "this process takes no part",
            (true, true) => "hears most of the fleet",
            (true, false) => "HEARS FEWER THAN HALF of the fleet",
        };
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{}: {} of {} alive, {} suspect; {status}",
            self.me, self.alive, self.known, self.suspects
        );
        for (name, zone) in &self.zones {
            let ZoneLine { alive, suspect, dead, heard } = zone;
            let _ = writeln!(
                text,
                "zone {name}: {alive} alive, {suspect} suspect, {dead} dead; {heard} heard in 5 s"
            );
        }
        let _ = writeln!(
            text,
            "{:<16} {:<8} {:<8} {:<12} {:<22} {:>6} {:>10}  version",
            "name", "state", "zone", "machine", "address", "inc", "silent"
        );
        for member in &self.members {
            let silent =
                member.silent_ms.map_or("never".to_owned(), |ms| format!("{:.1} s", ms as f64 / 1e3));
            let _ = writeln!(
                text,
                "{:<16} {:<8} {:<8} {:<12} {:<22} {:>6} {:>10}  {}",
                member.name,
                member.state,
                member.zone,
                member.machine,
                member.address.to_string(),
                member.incarnation,
                silent,
                member.version
            );
        }
        text
    }
}
