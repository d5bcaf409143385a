//! The product's own configuration: `merlinfold.toml`, every key of which stands with its meaning in
//! `deploy/merlinfold.toml`.
//!
//! What a platform tells a node (where to listen, which classes there are) comes in the platform's own
//! JSON and is not repeated here. A key that is not known is a fault: a misspelt one must not pass for
//! one that is set.
//!
//! ```
//! let config = merlinfold_config::parse::<merlinfold_config::Config>("[log]\nformat = \"json\"\n").unwrap();
//! assert_eq!(config.log.format, merlinfold_config::Format::Json);
//! let fault = merlinfold_config::parse::<merlinfold_config::Config>("[log]\nfromat = \"json\"\n").unwrap_err();
//! assert_eq!((fault.line, fault.field.as_str()), (Some(2), "log.fromat"));
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

pub use distribution::{Configuration, ConfigurationFault};

/// All of `merlinfold.toml`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// What is logged, and how.
    pub log: Log,
    /// The fleet that the node belongs to; none: it knows nobody.
    pub fleet: Option<Fleet>,
}

/// Bytes of a name at most, as it travels between nodes.
pub const WORD_MOST: usize = 64;

/// A name that travels between nodes: neither empty nor over [`WORD_MOST`] bytes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Word(String);

impl TryFrom<String> for Word {
    type Error = String;

    fn try_from(word: String) -> Result<Self, String> {
        match word.len() {
            1..=WORD_MOST => Ok(Word(word)),
            length => Err(format!("{length} bytes; 1 to {WORD_MOST} are possible")),
        }
    }
}

impl Word {
    /// It.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The fleet that a node belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "FleetTable")]
pub struct Fleet {
    /// Which fleet: nodes of others are not heard.
    pub cluster: Word,
    /// Where this process hears datagrams.
    pub listen: SocketAddr,
    /// Where others reach it, if that is elsewhere.
    pub advertise: Option<SocketAddr>,
    /// Zone that the node runs in.
    pub zone: Word,
    /// Machine that it runs on.
    pub machine: Word,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// Folder that lasts longer than the process; none: the node finds the fleet by its seeds alone.
    pub folder: Option<PathBuf>,
    /// The agreed log; none: nothing is agreed on.
    pub log: Option<AgreedLog>,
    /// Distribution of configuration; none: a change reaches this node by its file alone.
    pub configuration: Option<Configuration>,
}

/// Voters of the agreed log at most.
pub const VOTERS_MOST: usize = 7;
/// Candidates for its seats at most.
pub const CANDIDATES_MOST: usize = 15;

/// The agreed log, the same at every node.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgreedLog {
    /// Names of the nodes that may vote.
    pub candidates: Vec<Word>,
    /// How many of them vote.
    pub voters: usize,
    /// What survives.
    #[serde(default)]
    pub durability: Durability,
}

/// What of the agreed log survives which failures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// Everything, while a majority of the voters is up; when most are lost at once, what others still hold is
    /// taken over as far as it goes.
    #[default]
    None,
    /// Everything, also when all end at once, while a majority of the voters' disks is well.
    Disk,
}

/// Why a table of the agreed log cannot be kept to.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogFault {
    /// A group of another size has no majority that is worth its voters.
    #[error("log.voters: {0}; 3, 5 or 7 are possible")]
    Voters(usize),
    /// Names stand for nodes.
    #[error("log.candidates: {0} stands there twice; name each node once")]
    Twice(String),
    /// Too few to fill the seats, or too many to ask.
    #[error("log.candidates: {0}; name as many as voters, and {CANDIDATES_MOST} at most")]
    Candidates(usize),
    /// More is promised than can be kept.
    #[error(
        "log.durability: \"disk\" needs `folder`, one that lasts longer than the process; without one only \"none\" can \
         be kept"
    )]
    NoDisk,
}

impl AgreedLog {
    fn check(&self, folder: Option<&PathBuf>) -> Result<(), LogFault> {
        if !matches!(self.voters, 3 | 5 | VOTERS_MOST) {
            return Err(LogFault::Voters(self.voters));
        }
        let mut names: Vec<&str> = self.candidates.iter().map(Word::as_str).collect();
        names.sort_unstable();
        if let Some(twice) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(LogFault::Twice(twice[0].to_owned()));
        }
        if !(self.voters..=CANDIDATES_MOST).contains(&names.len()) {
            return Err(LogFault::Candidates(names.len()));
        }
        if self.durability == Durability::Disk && folder.is_none() {
            return Err(LogFault::NoDisk);
        }
        Ok(())
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetTable {
    cluster: Word,
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
    zone: Word,
    machine: Word,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    folder: Option<PathBuf>,
    log: Option<AgreedLog>,
    configuration: Option<Configuration>,
}

impl TryFrom<FleetTable> for Fleet {
    type Error = String;

    fn try_from(table: FleetTable) -> Result<Self, String> {
        let FleetTable { cluster, listen, advertise, zone, machine, seeds, folder, log, configuration } =
            table;
        if advertise.unwrap_or(listen).ip().is_unspecified() {
            return Err("advertise: needed where listen names no address that others reach".to_owned());
        }
        if advertise.is_some_and(|at| at.port() == 0) || seeds.iter().any(|at| at.port() == 0) {
            return Err("advertise, seeds: port 0 reaches nobody".to_owned());
        }
        if let Some(log) = &log {
            log.check(folder.as_ref()).map_err(|fault| fault.to_string())?;
        }
        if let Some(configuration) = &configuration {
            configuration.check(log.is_some()).map_err(|fault| fault.to_string())?;
        }
        Ok(Fleet { cluster, listen, advertise, zone, machine, seeds, folder, log, configuration })
    }
}

/// What is logged, and how.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Form of a line.
    pub format: Format,
    /// Least level that is written.
    pub level: Level,
    /// The same for single modules, by path; the longest path that fits a line decides.
    pub modules: BTreeMap<String, Level>,
}

/// Form of a line of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One object a line, for collectors.
    Json,
}

/// How much a line matters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing is written.
    Off,
    /// Faults that need a person.
    Error,
    /// Faults that the program lives with.
    Warn,
    /// The life of the program and its counts.
    #[default]
    Info,
    /// Single events.
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
    /// What lets a line through.
    pub fn targets(&self) -> Targets {
        let modules = self.modules.iter().map(|(path, level)| (path.clone(), LevelFilter::from(*level)));
        Targets::new().with_default(LevelFilter::from(self.level)).with_targets(modules)
    }
}

/// Why a text is not what it should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, counted from 1; none where the fault has no place (a missing table).
    pub line: Option<usize>,
    /// Path of the field, dots between its parts; empty where the text cannot be read at all.
    pub field: String,
    /// What is wrong with it.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "{line}: ")?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.what)
    }
}

impl std::error::Error for Fault {}

/// Reads a TOML text. Errors name line and field.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Fault> {
    let fault = |error: &toml::de::Error, path: String| {
        let at = error.span().map(|span| span.start.min(text.len()));
        let line = at.map(|at| 1 + text.as_bytes()[..at].iter().filter(|&&b| b == b'\n').count());
        let field = if path == "." { String::new() } else { path };
        Fault { line, field, what: error.message().replace('\n', "; ") }
    };
    let from = toml::Deserializer::parse(text).map_err(|error| fault(&error, String::new()))?;
    serde_path_to_error::deserialize(from).map_err(|error| fault(error.inner(), error.path().to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const EXAMPLE: &str = include_str!("../../../deploy/merlinfold.toml");

    /// Guards the example: it says what holds anyway, so that nobody is surprised by leaving it out,
    /// and names every key.
    #[test]
    fn the_commented_example_is_valid_and_names_every_key_with_its_default() {
        let plain = EXAMPLE.lines().map(|line| line.strip_prefix("#= ").unwrap_or(line));
        let config: Config = parse(&plain.collect::<Vec<_>>().join("\n")).unwrap();
        let modules = BTreeMap::from([("merlinfold_node::upstream".to_owned(), Level::Debug)]);
        let word = |word: &str| Word::try_from(word.to_owned()).unwrap();
        let at = |at: &str| at.parse().unwrap();
        let fleet = Fleet {
            cluster: word("cpt-guides"),
            listen: at("0.0.0.0:7946"),
            advertise: Some(at("10.0.0.4:7946")),
            zone: word("a"),
            machine: word("rack-3"),
            seeds: vec![at("10.0.0.5:7946"), at("10.0.1.5:7946")],
            folder: Some("/var/lib/merlinfold".into()),
            log: Some(AgreedLog {
                candidates: ["n0", "n1", "n2", "n3", "n4"].map(word).to_vec(),
                voters: 3,
                durability: Durability::None,
            }),
            configuration: Some(Configuration::default()),
        };
        assert_eq!(config, Config { log: Log { modules, ..Log::default() }, fleet: Some(fleet) });
        assert_eq!(parse::<Config>(EXAMPLE).unwrap(), Config::default());
        let of_fleet = ["cluster", "listen", "advertise", "zone", "machine", "seeds", "folder"];
        let of_log = ["[fleet.log]", "candidates", "voters", "durability"];
        let of_configuration = ["[fleet.configuration]", "catch_up_kb_s"];
        let of_tables = of_fleet.into_iter().chain(of_log).chain(of_configuration);
        for key in ["format", "level", "[log.modules]", "[fleet]"].into_iter().chain(of_tables) {
            assert!(EXAMPLE.contains(key), "{key}");
        }
    }

    /// Guards promises: a configuration that promises more than can be kept is refused, by name.
    #[test]
    fn a_log_that_promises_too_much_is_refused_by_name() {
        let table = |folder: &str, log: &str| {
            let text = format!(
                "[fleet]\ncluster = \"c\"\nlisten = \"127.0.0.1:1\"\nzone = \"a\"\nmachine = \"m\"\n{folder}[fleet.log]\n{log}"
            );
            parse::<Config>(&text)
        };
        let three = "candidates = [\"a\", \"b\", \"c\"]\nvoters = 3\n";
        assert!(table("", three).is_ok());
        assert!(table("folder = \"/f\"\n", &format!("{three}durability = \"disk\"\n")).is_ok());
        for (log, says) in [
            (format!("{three}durability = \"disk\"\n"), "needs `folder`"),
            ("candidates = [\"a\", \"b\", \"c\"]\nvoters = 5\n".to_owned(), "as many as voters"),
            ("candidates = [\"a\", \"b\"]\nvoters = 2\n".to_owned(), "3, 5 or 7"),
            ("candidates = [\"a\", \"b\", \"b\"]\nvoters = 3\n".to_owned(), "twice"),
            (format!("{three}[fleet.configuration]\ncatch_up_kb_s = 1\n"), "100 to 100000"),
        ] {
            let fault = table("", &log).unwrap_err();
            assert!(fault.to_string().contains(says), "{log}: {fault}");
        }
    }

    #[test]
    fn a_fault_is_named_by_line_and_field() {
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
            let fault = parse::<Config>(text).unwrap_err();
            assert_eq!((fault.line, fault.field.as_str()), (line, field), "{text}: {fault}");
            assert!(!fault.what.is_empty());
        }
    }

    proptest! {
        /// Whatever stands in the file, reading it ends in a value or a fault with a line that exists.
        #[test]
        fn any_text_ends_in_a_value_or_a_fault_with_a_line_that_exists(text in "[a-z\\[\\]=\" .#\n\u{e9}0-9]{0,80}") {
            if let Err(fault) = parse::<Config>(&text) {
                prop_assert!(fault.line.is_none_or(|line| line <= text.matches('\n').count() + 1));
            }
        }
    }
}
