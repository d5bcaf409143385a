//! The view as the rest of the program and operators get it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use merlinfold_membership::{Membership, Nanos, MS};
use serde::{Deserialize, Serialize};

/// Version of the JSON form.
pub const SCHEMA: u32 = 1;

/// A member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLine {
    /// Its name.
    pub name: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Its zone.
    pub zone: String,
    /// Its machine.
    pub machine: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// How often it contradicted what was told of it, and 1.
    pub incarnation: u64,
    /// Version of its program.
    pub version: String,
    /// Protocols that it speaks.
    pub protocols: (u8, u8),
    /// Milliseconds since it was last heard itself; none: never.
    pub silent_ms: Option<u64>,
}

/// A zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLine {
    /// Members alive.
    pub alive: usize,
    /// Members accused.
    pub suspect: usize,
    /// Members dead.
    pub dead: usize,
    /// Members heard themselves in the last 5 s.
    pub heard: usize,
}

/// How one node sees its fleet at a moment. Another's may differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of this form.
    pub schema: u32,
    /// Who sees it.
    pub me: String,
    /// Number of this process among all of its name: greater with every start on one disk.
    #[serde(default)]
    pub run: u64,
    /// Whether this process takes part: not one that left or gave its name to another.
    pub takes_part: bool,
    /// Whether it hears more than half of what should be there.
    pub majority: bool,
    /// Members alive, itself among them.
    pub alive: usize,
    /// All that should be there.
    pub known: usize,
    /// Members accused.
    pub suspects: usize,
    /// Members heard themselves in the last 5 s.
    pub heard: usize,
    /// By zone.
    pub zones: BTreeMap<String, ZoneLine>,
    /// Counts since the start: datagrams sent, heard, without effect by reason, accusations made, refutations.
    pub counts: BTreeMap<String, u64>,
    /// All members by name.
    pub members: Vec<MemberLine>,
}

impl Snapshot {
    /// As of now.
    pub fn of(me: &str, machine: &Membership, now: Nanos) -> Self {
        let sure = machine.summary(now);
        let zone = |view: &merlinfold_membership::ZoneCounts| ZoneLine {
            alive: view.alive,
            suspect: view.suspect,
            dead: view.dead,
            heard: view.recently_heard,
        };
        let zones: BTreeMap<String, ZoneLine> =
            sure.zones.iter().map(|(name, view)| (name.to_string(), zone(view))).collect();
        let counted = machine.counts();
        let mut counts = BTreeMap::from([
            ("sent".to_owned(), counted.sent),
            ("sent_bytes".to_owned(), counted.sent_bytes),
            ("heard".to_owned(), counted.accepted),
            ("accused".to_owned(), counted.accusations),
            ("refuted".to_owned(), counted.refutations),
            ("held_up".to_owned(), counted.stalls),
        ]);
        counts.extend(counted.dropped.iter().map(|(fault, n)| (format!("dropped.{}", fault.name()), *n)));
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
            majority: sure.majority,
            alive: sure.alive,
            known: sure.known,
            suspects: zones.values().map(|zone| zone.suspect).sum(),
            heard: zones.values().map(|zone| zone.heard).sum(),
            zones,
            counts,
            members: members.collect(),
        }
    }

    /// For people: a line a member, and one above that says how sure it is.
    pub fn table(&self) -> String {
        use std::fmt::Write;
        let mut text = String::new();
        let sure = match (self.takes_part, self.majority) {
            (false, _) => "this process takes no part",
            (true, true) => "hears most of the fleet",
            (true, false) => "HEARS FEWER THAN HALF of the fleet",
        };
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{}: {} of {} alive, {} suspect; {sure}",
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
