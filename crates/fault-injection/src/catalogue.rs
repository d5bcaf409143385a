//! The scenarios that ship with this package, by name.

use crate::scenario::Scenario;

/// Name and file content of every shipped scenario, sorted by name.
pub const SCENARIOS: &[(&str, &str)] = &[
    ("all-heals-at-once", include_str!("../trials/all-heals-at-once.toml")),
    ("bridge", include_str!("../trials/bridge.toml")),
    ("calm-at-size", include_str!("../trials/calm-at-size.toml")),
    ("clean-split", include_str!("../trials/clean-split.toml")),
    ("deaths-at-size", include_str!("../trials/deaths-at-size.toml")),
    ("disk-full", include_str!("../trials/disk-full.toml")),
    ("disks-change", include_str!("../trials/disks-change.toml")),
    ("disks-go-bad", include_str!("../trials/disks-go-bad.toml")),
    ("few-agree", include_str!("../trials/few-agree.toml")),
    ("few-agree-disks", include_str!("../trials/few-agree-disks.toml")),
    ("few-disks", include_str!("../trials/few-disks.toml")),
    ("few-links", include_str!("../trials/few-links.toml")),
    ("few-machines", include_str!("../trials/few-machines.toml")),
    ("flapping-link", include_str!("../trials/flapping-link.toml")),
    ("herd", include_str!("../trials/herd.toml")),
    ("herd-at-size", include_str!("../trials/herd-at-size.toml")),
    ("lossy-fleet", include_str!("../trials/lossy-fleet.toml")),
    ("lossy-hour", include_str!("../trials/lossy-hour.toml")),
    ("machine-drops", include_str!("../trials/machine-drops.toml")),
    ("one-way-split", include_str!("../trials/one-way-split.toml")),
    ("paused-node", include_str!("../trials/paused-node.toml")),
    ("repeats", include_str!("../trials/repeats.toml")),
    ("roll-in-a-split", include_str!("../trials/roll-in-a-split.toml")),
    ("slow-link", include_str!("../trials/slow-link.toml")),
    ("split-at-size", include_str!("../trials/split-at-size.toml")),
    ("strangers", include_str!("../trials/strangers.toml")),
    ("throttled-link", include_str!("../trials/throttled-link.toml")),
    ("zone-drops", include_str!("../trials/zone-drops.toml")),
];

/// Parses the shipped scenario `name`. The error of an unknown name lists the known ones.
pub fn find(name: &str) -> Result<Scenario, String> {
    let Some((_, text)) = SCENARIOS.iter().find(|(known, _)| *known == name) else {
        let known: Vec<&str> = SCENARIOS.iter().map(|(known, _)| *known).collect();
        return Err(format!("unknown trial {name}; expected one of: {}", known.join(", ")));
    };
    Scenario::parse(text).map_err(|error| format!("{name}:{error}"))
}
