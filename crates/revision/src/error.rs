//! Why a delta or document is rejected. Each error text names the key, the problem and the remedy.

use thiserror::Error;

use crate::bounds::*;
use crate::document::Section;

/// Why a delta or document is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DocumentError {
    /// The revision in force is not the one that the delta is based on.
    #[error(
        "base: {base}, but revision {in_force} is in force, because another change came first; \
         read the document again and rebuild the change on it"
    )]
    Conflict {
        /// The base revision of the delta.
        base: u64,
        /// The revision in force.
        in_force: u64,
    },
    /// The base has the number of the revision in force but another content.
    #[error(
        "base: revision {base} has another digest at this node, the fleet's log was created anew; \
         read the document again and rebuild the change on it"
    )]
    DigestMismatch {
        /// The base revision of the delta.
        base: u64,
    },
    /// The delta changes nothing.
    #[error("delta: changes nothing; set or remove at least one key")]
    NoChange,
    /// A key is both set and removed.
    #[error("{section}.{key}: is both set and removed; keep one of the two")]
    SetAndRemoved {
        /// Section of the key.
        section: Section,
        /// The key.
        key: String,
    },
    /// A key to be removed does not exist.
    #[error("{section}.{key}: does not exist, so it cannot be removed; leave it out of `remove`")]
    NotFound {
        /// Section of the key.
        section: Section,
        /// The key.
        key: String,
    },
    /// A key is not a valid name or prefix.
    #[error("{section}.{key:?}: {reason}; choose another key")]
    InvalidKey {
        /// Section of the key.
        section: Section,
        /// The key.
        key: String,
        /// The problem with the key.
        reason: &'static str,
    },
    /// A section has too many entries.
    #[error("{section}: {count} entries, at most {max} are allowed; remove some in the same delta")]
    TooMany {
        /// The section.
        section: Section,
        /// Number of entries after the change.
        count: usize,
        /// Maximum number of entries.
        max: usize,
    },
    /// The routes name too many different services.
    #[error(
        "routes: {count} different services, at most {MAX_SERVICES} are allowed; \
         merge or remove some in the same delta"
    )]
    TooManyServices {
        /// Number of different services after the change.
        count: usize,
    },
    /// The service of a route is not a valid name.
    #[error(
        "routes.{prefix}.service: {service:?} is not a valid name; \
         use 1 to {MAX_NAME_BYTES} bytes of printable characters without spaces"
    )]
    InvalidService {
        /// Path prefix of the route.
        prefix: String,
        /// The service that the route names.
        service: String,
    },
    /// The class of a route does not exist.
    #[error(
        "routes.{prefix}.class: class {class} does not exist; set it in the same delta or name an existing one"
    )]
    UnknownClass {
        /// Path prefix of the route.
        prefix: String,
        /// The class that the route names.
        class: String,
    },
    /// A class is removed while a route uses it.
    #[error("classes.{class}: route {prefix} uses it; change or remove that route in the same delta")]
    ClassInUse {
        /// The class.
        class: String,
        /// Path prefix of the first route that uses it.
        prefix: String,
    },
    /// A number is out of its bounds.
    #[error("{section}.{key}.{field}: {value} is not within {min} and {max}; choose a value that is")]
    OutOfBounds {
        /// Section of the entry.
        section: Section,
        /// Key of the entry.
        key: String,
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: u64,
        /// Minimum of the field.
        min: u64,
        /// Maximum of the field.
        max: u64,
    },
    /// The shares of all tenants add up to more than [`TOTAL_SHARE`].
    #[error("tenants: the shares add up to {sum}, at most {TOTAL_SHARE} are allowed; lower some in the same delta")]
    ShareSumExceeded {
        /// Sum of the shares.
        sum: u64,
    },
    /// The encoded document would be too long.
    #[error(
        "document: {bytes} bytes encoded, at most {MAX_ENCODED_BYTES} are allowed; remove entries or shorten names"
    )]
    TooLong {
        /// Length of the encoded document in bytes.
        bytes: usize,
    },
}
