//! Why a valid document cannot be in force at this node: the key, the fault, and what to do.

use merlinfold_revision::Unit;
use thiserror::Error;

use super::baseline::LIMIT_NAMES;
use super::tenants::MAX_TENANT_NUMBERS;

/// Why a valid document cannot be in force at this node.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnsupportedError {
    /// Routes are part of the document; this version does not apply them.
    #[error(
        "routes.{prefix}: this version applies no routes: a request names its class itself; remove the route"
    )]
    Routes {
        /// The first of them.
        prefix: String,
    },
    /// A class that the platform's configuration does not name.
    #[error(
        "classes.{class}: this node was started without it; add it to the platform's configuration first"
    )]
    UnknownClass {
        /// The class.
        class: String,
    },
    /// A class would be aimed at later than its clients wait.
    #[error(
        "classes.{class}.aim_ms: {aim_ms}, but clients wait for {deadline_ms}; choose no more than that"
    )]
    AimBeyondDeadline {
        /// The class.
        class: String,
        /// Its aim.
        aim_ms: u32,
        /// How long its clients wait.
        deadline_ms: u64,
    },
    /// A limit that this version does not know.
    #[error(
        "limits.{limit}: this version applies {LIMIT_NAMES}; remove it, or finish the upgrade of this node"
    )]
    UnknownLimit {
        /// The limit.
        limit: String,
    },
    /// A limit in another unit.
    #[error("limits.{limit}.unit: {unit}, but it is counted in {expected}; state it in that unit")]
    LimitUnit {
        /// The limit.
        limit: String,
        /// Its unit.
        unit: Unit,
        /// The unit that it has here.
        expected: Unit,
    },
    /// A limit out of what the platform allows.
    #[error("limits.{limit}.value: {value} is not within {least} and {most}, as this node was started; choose a value that is")]
    LimitOutOfBounds {
        /// The limit.
        limit: String,
        /// Its value.
        value: u64,
        /// Least value that is possible.
        least: u64,
        /// Largest value that is possible.
        most: u64,
    },
    /// A share of nothing.
    #[error("tenants.{tenant}.share: there is no limit fleet_requests to have a share of; set it in the same delta")]
    ShareWithoutLimit {
        /// The tenant.
        tenant: String,
    },
    /// More tenants have come and gone than this process keeps numbers for.
    #[error(
        "tenants: over {MAX_TENANT_NUMBERS} have come and gone since this process started; restart the node"
    )]
    TooManyTenants,
}
