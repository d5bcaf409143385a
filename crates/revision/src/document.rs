//! A whole configuration. All quantities are integers, so that equal content has equal bytes.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::unique_keys;

/// Where requests whose path starts with a prefix go.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The service that serves them.
    pub service: String,
    /// Their class.
    pub class: String,
}

/// What a tenant may use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its share of what tenants have in common, in billionths; 0: none is set aside for it.
    pub share: u32,
    /// Its limit over all nodes, in requests per 1,000 s; none: only its share limits it.
    pub requests_per_1000_s: Option<u64>,
}

/// Unit of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// A plain number.
    Count,
    /// Milliseconds.
    Milliseconds,
    /// Millionths of one.
    Millionths,
    /// Requests in 1,000 seconds, over all nodes.
    #[serde(rename = "requests_per_1000_s")]
    RequestsPer1000S,
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Unit::Count => "count",
            Unit::Milliseconds => "milliseconds",
            Unit::Millionths => "millionths",
            Unit::RequestsPer1000S => "requests_per_1000_s",
        })
    }
}

/// A named number with its unit and bounds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// The number.
    pub value: u64,
    /// Its unit.
    pub unit: Unit,
    /// Least value that makes sense.
    pub least: u64,
    /// Largest value that makes sense.
    pub most: u64,
}

/// The properties of a class of requests that may change while nodes run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassProperties {
    /// An answer within this time earns the full worth, in milliseconds.
    pub aim_ms: u32,
    /// Worth of one request, in millionths.
    pub worth: u32,
    /// Share of the worth that a late answer still earns, in millionths.
    pub late_worth: u32,
}

/// The whole configuration at one revision. Entries are held in the order of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Routes by path prefix; the longest prefix that fits decides.
    #[serde(deserialize_with = "unique_keys::unique_map")]
    pub routes: BTreeMap<String, Route>,
    /// Tenants by name.
    #[serde(deserialize_with = "unique_keys::unique_map")]
    pub tenants: BTreeMap<String, Tenant>,
    /// Limits by name.
    #[serde(deserialize_with = "unique_keys::unique_map")]
    pub limits: BTreeMap<String, Limit>,
    /// Classes by name.
    #[serde(deserialize_with = "unique_keys::unique_map")]
    pub classes: BTreeMap<String, ClassProperties>,
}

/// A part of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Section {
    /// [`Document::routes`].
    Routes,
    /// [`Document::tenants`].
    Tenants,
    /// [`Document::limits`].
    Limits,
    /// [`Document::classes`].
    Classes,
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Section::Routes => "routes",
            Section::Tenants => "tenants",
            Section::Limits => "limits",
            Section::Classes => "classes",
        })
    }
}
