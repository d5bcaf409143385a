//! Errors of documents that are valid but cannot be in force at this node. Each names the key, the problem and the
//! remedy.

use merlinfold_revision::Unit;
use thiserror::Error;

use super::baseline::LIMIT_NAMES;
use super::tenants::MAX_TENANT_NUMBERS;

/// Why a valid document cannot be in force at this node.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnsupportedError {
    /// The document has routes, which this version does not apply.
    #[error(
        "routes.{prefix}: this version applies no routes: a request names its class itself; remove the route"
    )]
    Routes {
        /// Prefix of the first route.
        prefix: String,
    },
    /// The platform's configuration does not have this class.
    #[error(
        "classes.{class}: this node was started without it; add it to the platform's configuration first"
    )]
    UnknownClass {
        /// Name of the class.
        class: String,
    },
    /// The aim of a class is longer than its clients wait.
    #[error(
        "classes.{class}.aim_ms: {aim_ms}, but clients wait for {deadline_ms}; choose no more than that"
    )]
    AimBeyondDeadline {
        /// Name of the class.
        class: String,
        /// Its aim.
        aim_ms: u32,
        /// How long its clients wait.
        deadline_ms: u64,
    },
    /// This version does not have this limit.
    #[error(
        "limits.{limit}: this version applies {LIMIT_NAMES}; remove it, or finish the upgrade of this node"
    )]
    UnknownLimit {
        /// Name of the limit.
        limit: String,
    },
    /// The limit is stated in a wrong unit.
    #[error("limits.{limit}.unit: {unit}, but it is counted in {expected}; state it in that unit")]
    LimitUnit {
        /// Name of the limit.
        limit: String,
        /// The stated unit.
        unit: Unit,
        /// The unit of this limit.
        expected: Unit,
    },
    /// The limit is beyond the bounds that the platform's configuration sets.
    #[error("limits.{limit}.value: {value} is not within {min} and {max}, as this node was started; choose a value that is")]
    LimitOutOfBounds {
        /// Name of the limit.
        limit: String,
        /// Its value.
        value: u64,
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
    },
    /// A tenant has a share of the fleet's requests, but these have no limit.
    #[error(
        "tenants.{tenant}.share: there is no limit fleet_requests that it is a share of; set it in the same delta"
    )]
    ShareWithoutLimit {
        /// Name of the tenant.
        tenant: String,
    },
    /// The process has no numbers left for new tenants.
    #[error(
        "tenants: over {MAX_TENANT_NUMBERS} have been added since this process started; restart the node"
    )]
    TooManyTenants,
}
