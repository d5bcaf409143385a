//! The product's own configuration, `merlinfold.toml`. `deploy/merlinfold.toml` lists every key with its meaning.
//!
//! What the platform tells a node (the address to listen on, the request classes) arrives in the platform's own JSON
//! file and is not repeated here. An unknown key is an error, so that a misspelt key is not mistaken for one that is
//! set.
//!
//! ```
//! let config = merlinfold_config::parse::<merlinfold_config::Config>("[log]\nformat = \"json\"\n").unwrap();
//! assert_eq!(config.log.format, merlinfold_config::Format::Json);
//! let error = merlinfold_config::parse::<merlinfold_config::Config>("[log]\nfromat = \"json\"\n").unwrap_err();
//! assert_eq!((error.line, error.field.as_str()), (Some(2), "log.fromat"));
//! ```

mod distribution;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use serde::Deserialize;
use thiserror::Error;
use tracing_subscriber::filter::{LevelFilter, Targets};

pub use distribution::{Configuration, ConfigurationError};

/// The whole of `merlinfold.toml`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Which events are logged and in which format.
    pub log: Log,
    /// The fleet that the node belongs to. `None`: the node runs without a fleet.
    pub fleet: Option<Fleet>,
}

/// Maximum length of a [`Name`] in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A name that is sent between nodes, of 1 to [`MAX_NAME_BYTES`] bytes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Name(String);

impl TryFrom<String> for Name {
    type Error = String;

    fn try_from(name: String) -> Result<Self, String> {
        match name.len() {
            1..=MAX_NAME_BYTES => Ok(Name(name)),
            length => Err(format!("expected 1 to {MAX_NAME_BYTES} bytes, got {length}")),
        }
    }
}

impl Name {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The fleet that a node belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "FleetTable")]
pub struct Fleet {
    /// Name of the fleet. Datagrams from nodes of other fleets are discarded.
    pub cluster: Name,
    /// Local address at which this process receives datagrams.
    pub listen: SocketAddr,
    /// Address at which other nodes reach this one, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Zone in which the node runs.
    pub zone: Name,
    /// Machine on which the node runs.
    pub machine: Name,
    /// Addresses of nodes through which this one joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Folder that outlives the process. `None`: the node finds the fleet through its seeds alone.
    pub folder: Option<PathBuf>,
    /// The replicated log. `None`: the node takes no part in one.
    pub log: Option<ReplicatedLog>,
    /// Distribution of configuration. `None`: only this node's file changes its configuration.
    pub configuration: Option<Configuration>,
}

/// Maximum number of voters of the replicated log.
pub const MAX_VOTERS: usize = 7;
/// Maximum number of candidates for the voters' seats.
pub const MAX_CANDIDATES: usize = 15;

/// Settings of the replicated log; they are the same at every node.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicatedLog {
    /// Names of the nodes that may become voters.
    pub candidates: Vec<Name>,
    /// Number of candidates that vote at a time: 3, 5 or 7.
    pub voters: usize,
    /// Which failures the log survives.
    #[serde(default)]
    pub durability: Durability,
}

/// Which failures the content of the replicated log survives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// Everything survives while a majority of the voters is running. If a majority is lost at once, the log is
    /// recovered as far as the remaining nodes still store it.
    #[default]
    None,
    /// Everything survives, even if all nodes end at once, while a majority of the voters' disks is intact.
    Disk,
}

/// An invalid combination or value in the `[fleet.log]` table.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReplicatedLogError {
    /// The number of voters is not supported: an even number adds a voter without tolerating another failure.
    #[error("log.voters: expected 3, 5 or 7 voters, got {0}")]
    VoterCount(usize),
    /// The same node is listed twice as a candidate.
    #[error("log.candidates: {0} is listed twice; list each node once")]
    DuplicateCandidate(String),
    /// There are fewer candidates than seats, or more than can be contacted.
    #[error(
        "log.candidates: {0} nodes listed; list at least as many as voters, and at most {MAX_CANDIDATES}"
    )]
    CandidateCount(usize),
    /// Durability on disk is requested without a folder to write to.
    #[error(
        "log.durability: \"disk\" needs `folder`, which must outlive the process; without a folder only \"none\" is \
         possible"
    )]
    NoFolder,
}

impl ReplicatedLog {
    fn validate(&self, folder: Option<&PathBuf>) -> Result<(), ReplicatedLogError> {
        if !matches!(self.voters, 3 | 5 | MAX_VOTERS) {
            return Err(ReplicatedLogError::VoterCount(self.voters));
        }
        let mut names: Vec<&str> = self.candidates.iter().map(Name::as_str).collect();
        names.sort_unstable();
        if let Some(duplicate) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(ReplicatedLogError::DuplicateCandidate(duplicate[0].to_owned()));
        }
        if !(self.voters..=MAX_CANDIDATES).contains(&names.len()) {
            return Err(ReplicatedLogError::CandidateCount(names.len()));
        }
        if self.durability == Durability::Disk && folder.is_none() {
            return Err(ReplicatedLogError::NoFolder);
        }
        Ok(())
    }
}

/// The `[fleet]` table as it is written, before its values are validated together.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetTable {
    cluster: Name,
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
    zone: Name,
    machine: Name,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    folder: Option<PathBuf>,
    log: Option<ReplicatedLog>,
    configuration: Option<Configuration>,
}

impl TryFrom<FleetTable> for Fleet {
    type Error = String;

    fn try_from(table: FleetTable) -> Result<Self, String> {
        let FleetTable { cluster, listen, advertise, zone, machine, seeds, folder, log, configuration } =
            table;
        if advertise.unwrap_or(listen).ip().is_unspecified() {
            return Err(
                "advertise: required when listen is an unspecified address, which other nodes cannot reach"
                    .to_owned(),
            );
        }
        if advertise.is_some_and(|address| address.port() == 0)
            || seeds.iter().any(|address| address.port() == 0)
        {
            return Err("advertise, seeds: expected a port from 1 to 65535, got 0".to_owned());
        }
        if let Some(log) = &log {
            log.validate(folder.as_ref()).map_err(|error| error.to_string())?;
        }
        if let Some(configuration) = &configuration {
            configuration.validate(log.is_some()).map_err(|error| error.to_string())?;
        }
        Ok(Fleet { cluster, listen, advertise, zone, machine, seeds, folder, log, configuration })
    }
}

/// Which events are logged and in which format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Format of a log line.
    pub format: Format,
    /// Lowest level that is logged.
    pub level: Level,
    /// Lowest level for single modules, by module path. The longest path that matches an event applies.
    pub modules: BTreeMap<String, Level>,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line, for log collectors.
    Json,
}

/// Severity of a logged event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing is logged.
    Off,
    /// Errors that require an operator.
    Error,
    /// Errors from which the program recovers.
    Warn,
    /// Start, stop and other changes of state, and periodic statistics.
    #[default]
    Info,
    /// Single events, such as one request.
    Debug,
    /// Everything.
    Trace,
}

impl From<Level> for LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => LevelFilter::OFF,
            Level::Error => LevelFilter::ERROR,
            Level::Warn => LevelFilter::WARN,
            Level::Info => LevelFilter::INFO,
            Level::Debug => LevelFilter::DEBUG,
            Level::Trace => LevelFilter::TRACE,
        }
    }
}

impl Log {
    /// Returns the filter that passes the events to be logged.
    pub fn targets(&self) -> Targets {
        let modules = self.modules.iter().map(|(path, level)| (path.clone(), LevelFilter::from(*level)));
        Targets::new().with_default(LevelFilter::from(self.level)).with_targets(modules)
    }
}

/// Why a TOML text could not be read, and where.
///
/// It is displayed as `line: field: message`, without the parts that are not known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Line, counted from 1. `None`: the error has no position, as for a missing table.
    pub line: Option<usize>,
    /// Path of the field, its parts separated by dots. It is empty if the text is not valid TOML.
    pub field: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "{line}: ")?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for ParseError {}

/// Deserializes a value from a TOML text. Errors name the line and the field.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ParseError> {
    let parse_error = |error: &toml::de::Error, path: String| {
        let offset = error.span().map(|span| span.start.min(text.len()));
        let line = offset.map(|offset| 1 + text.as_bytes()[..offset].iter().filter(|&&b| b == b'\n').count());
        let field = if path == "." { String::new() } else { path };
        ParseError { line, field, message: error.message().replace('\n', "; ") }
    };
    let deserializer = toml::Deserializer::parse(text).map_err(|error| parse_error(&error, String::new()))?;
    serde_path_to_error::deserialize(deserializer)
        .map_err(|error| parse_error(error.inner(), error.path().to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const EXAMPLE: &str = include_str!("../../../deploy/merlinfold.toml");

    /// The example must name every key, and give the default where a key has one, so that leaving a key out changes
    /// nothing.
    #[test]
    fn the_commented_example_is_valid_and_names_every_key_with_its_default() {
        let uncommented = EXAMPLE.lines().map(|line| line.strip_prefix("#= ").unwrap_or(line));
        let config: Config = parse(&uncommented.collect::<Vec<_>>().join("\n")).unwrap();
        let modules = BTreeMap::from([("merlinfold_node::upstream".to_owned(), Level::Debug)]);
        let name = |name: &str| Name::try_from(name.to_owned()).unwrap();
        let address = |address: &str| address.parse().unwrap();
        let fleet = Fleet {
            cluster: name("cpt-guides"),
            listen: address("0.0.0.0:7946"),
            advertise: Some(address("10.0.0.4:7946")),
            zone: name("a"),
            machine: name("rack-3"),
            seeds: vec![address("10.0.0.5:7946"), address("10.0.1.5:7946")],
            folder: Some("/var/lib/merlinfold".into()),
            log: Some(ReplicatedLog {
                candidates: ["n0", "n1", "n2", "n3", "n4"].map(name).to_vec(),
                voters: 3,
                durability: Durability::None,
            }),
            configuration: Some(Configuration::default()),
        };
        assert_eq!(config, Config { log: Log { modules, ..Log::default() }, fleet: Some(fleet) });
        assert_eq!(parse::<Config>(EXAMPLE).unwrap(), Config::default());
        let fleet_keys = ["cluster", "listen", "advertise", "zone", "machine", "seeds", "folder"];
        let log_keys = ["[fleet.log]", "candidates", "voters", "durability"];
        let configuration_keys = ["[fleet.configuration]", "catch_up_kb_s"];
        let keys = fleet_keys.into_iter().chain(log_keys).chain(configuration_keys);
        for key in ["format", "level", "[log.modules]", "[fleet]"].into_iter().chain(keys) {
            assert!(EXAMPLE.contains(key), "{key}");
        }
    }

    /// A node must not start with guarantees that its settings cannot provide, such as durability without a folder.
    #[test]
    fn log_settings_that_cannot_be_fulfilled_are_refused_with_the_field_named() {
        let table = |folder: &str, log: &str| {
            let text = format!(
                "[fleet]\ncluster = \"c\"\nlisten = \"127.0.0.1:1\"\nzone = \"a\"\nmachine = \"m\"\n{folder}[fleet.log]\n{log}"
            );
            parse::<Config>(&text)
        };
        let three = "candidates = [\"a\", \"b\", \"c\"]\nvoters = 3\n";
        assert!(table("", three).is_ok());
        assert!(table("folder = \"/f\"\n", &format!("{three}durability = \"disk\"\n")).is_ok());
        for (log, message) in [
            (format!("{three}durability = \"disk\"\n"), "needs `folder`"),
            ("candidates = [\"a\", \"b\", \"c\"]\nvoters = 5\n".to_owned(), "as many as voters"),
            ("candidates = [\"a\", \"b\"]\nvoters = 2\n".to_owned(), "3, 5 or 7"),
            ("candidates = [\"a\", \"b\", \"b\"]\nvoters = 3\n".to_owned(), "twice"),
            (format!("{three}[fleet.configuration]\ncatch_up_kb_s = 1\n"), "100 to 100000"),
        ] {
            let error = table("", &log).unwrap_err();
            assert!(error.to_string().contains(message), "{log}: {error}");
        }
    }

    #[test]
    fn an_error_names_its_line_and_field() {
        for (text, line, field) in [
            ("[log]\nlevel = \"loud\"", Some(2), "log.level"),
            ("\n\nlogs = 1", Some(3), "logs"),
            ("[log]\nformat = 3", Some(2), "log.format"),
            ("[log\n", Some(1), ""),
            ("[fleet]\ncluster = \"\"\n", Some(2), "fleet.cluster"),
            ("[fleet]\ncluster = \"c\"\nlisten = \"here\"\n", Some(3), "fleet.listen"),
            ("[fleet]\ncluster = \"c\"\nseed = []\n", Some(3), "fleet.seed"),
            ("[fleet]\ncluster = \"c\"\n", Some(1), "fleet"),
            (
                "[fleet]\ncluster = \"c\"\nlisten = \"0.0.0.0:1\"\nzone = \"a\"\nmachine = \"m\"\n",
                Some(1),
                "fleet",
            ),
        ] {
            let error = parse::<Config>(text).unwrap_err();
            assert_eq!((error.line, error.field.as_str()), (line, field), "{text}: {error}");
            assert!(!error.message.is_empty());
        }
    }

    proptest! {
        /// Reading any text returns a value or an error whose line, if it has one, lies within the text.
        #[test]
        fn any_text_gives_a_value_or_an_error_with_an_existing_line(text in "[a-z\\[\\]=\" .#\n\u{e9}0-9]{0,80}") {
            if let Err(error) = parse::<Config>(&text) {
                prop_assert!(error.line.is_none_or(|line| line <= text.matches('\n').count() + 1));
            }
        }
    }
}
