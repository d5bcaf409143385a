//! A whole configuration document. All quantities are integers, so that equal content has equal bytes.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::unique_keys;

/// The service and the class of requests whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the service that answers these requests.
    pub service: String,
    /// Name of the class of these requests.
    pub class: String,
}

/// Capacity that a tenant may use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Share of the capacity common to all tenants that is reserved for this tenant, in billionths; 0 if none is.
    pub share: u32,
    /// Limit over all nodes, in requests per 1,000 s; `None` if only the share limits the tenant.
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
    /// Requests per 1,000 seconds, over all nodes.
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
    /// Unit of the number.
    pub unit: Unit,
    /// Minimum of the value.
    pub least: u64,
    /// Maximum of the value.
    pub most: u64,
}

/// Properties of a class of requests that may change while nodes run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassProperties {
    /// An answer within this time earns the full value, in milliseconds.
    pub aim_ms: u32,
    /// Value of a request that is answered in time, in millionths.
    pub worth: u32,
    /// Share of this value that a late answer still earns, in millionths.
    pub late_worth: u32,
}

/// The whole configuration at one revision. Entries are sorted by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Routes by path prefix; the longest matching prefix applies.
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

/// A section of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Section {
    /// The section [`Document::routes`].
    Routes,
    /// The section [`Document::tenants`].
    Tenants,
    /// The section [`Document::limits`].
    Limits,
    /// The section [`Document::classes`].
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
