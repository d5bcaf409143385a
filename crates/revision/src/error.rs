//! Why a delta or document is refused: the key, what is wrong with it, and what to do.

use thiserror::Error;

use crate::bounds::*;
use crate::document::Section;

/// Why a delta or document is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DocumentError {
    /// The revision in force is not the one that the delta is based on.
    #[error(
        "base: {base}, but revision {in_force} is in force: another change came first; read it again and decide anew"
    )]
    Conflict {
        /// The revision that the delta names.
        base: u64,
        /// The revision in force.
        in_force: u64,
    },
    /// The base has the number of the revision in force and another content.
    #[error(
        "base: revision {base} has another digest here: the fleet's log began anew; read it again and decide anew"
    )]
    DigestMismatch {
        /// The revision that the delta names.
        base: u64,
    },
    /// The delta leaves everything as it is.
    #[error("delta: it changes nothing; set or remove at least one key")]
    NoChange,
    /// A key is both set and removed.
    #[error("{section}.{key}: both set and removed; keep one of the two")]
    SetAndRemoved {
        /// Where it stands.
        section: Section,
        /// The key.
        key: String,
    },
    /// A key to be removed is not there.
    #[error("{section}.{key}: not there, so it cannot be removed; leave it out of `remove`")]
    NotFound {
        /// Where it should stand.
        section: Section,
        /// The key.
        key: String,
    },
    /// A key that no entry can have.
    #[error("{section}.{key:?}: {reason}; choose another key")]
    InvalidKey {
        /// Where it stands.
        section: Section,
        /// The key.
        key: String,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// A section has too many entries.
    #[error("{section}: {count} entries, {max} are possible; remove some in the same delta")]
    TooMany {
        /// The section.
        section: Section,
        /// Entries that it would have.
        count: usize,
        /// Entries that it may have.
        max: usize,
    },
    /// Routes lead to too many different services.
    #[error("routes: {count} different services, {MAX_SERVICES} are possible; merge or remove some in the same delta")]
    TooManyServices {
        /// Services that there would be.
        count: usize,
    },
    /// The name of a route's service is none.
    #[error("routes.{prefix}.service: {service:?} is no name; 1 to {MAX_NAME_BYTES} printable characters without spaces")]
    InvalidService {
        /// The route.
        prefix: String,
        /// The service that it names.
        service: String,
    },
    /// A route leads to a class that does not exist.
    #[error(
        "routes.{prefix}.class: there is no class {class}; set it in the same delta or name one that exists"
    )]
    UnknownClass {
        /// The route.
        prefix: String,
        /// The class that it names.
        class: String,
    },
    /// A class is removed while a route uses it.
    #[error("classes.{class}: route {prefix} uses it; change or remove that route in the same delta")]
    ClassInUse {
        /// The class.
        class: String,
        /// The first route that uses it.
        prefix: String,
    },
    /// A number is out of its bounds.
    #[error("{section}.{key}.{field}: {value} is not within {min} and {max}; choose a value that is")]
    OutOfBounds {
        /// Where it stands.
        section: Section,
        /// The key of its entry.
        key: String,
        /// The field.
        field: &'static str,
        /// Its value.
        value: u64,
        /// Least value that is possible.
        min: u64,
        /// Largest value that is possible.
        max: u64,
    },
    /// Tenants have more than there is.
    #[error("tenants: shares add up to {sum}, {TOTAL_SHARE} is all there is; lower some in the same delta")]
    ShareSumExceeded {
        /// Their sum.
        sum: u64,
    },
    /// The encoded form would be too long.
    #[error(
        "document: {bytes} bytes encoded, {MAX_ENCODED_BYTES} are possible; remove entries or shorten names"
    )]
    TooLong {
        /// Its length.
        bytes: usize,
    },
}
