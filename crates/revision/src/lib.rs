//! Versioned configuration of a fleet: routes, tenants, limits and classes.
//!
//! A [`Document`] is the whole configuration at one revision. A [`Delta`] changes it: it names the revision
//! it is based on and sets or removes single entries. Applying a delta returns a complete, valid document
//! or a [`DocumentError`] that names the key, the problem and the remedy; the base is never modified.
//!
//! Both have one canonical encoding with a format version, so the same content has the same [`Digest`] at
//! every node. The crate has no input or output; the caller transports the bytes.
//!
//! ```
//! use merlinfold_revision::{ClassProperties, Delta, Document, Revision};
//!
//! let empty = Revision::default();
//! let mut delta = Delta::new(empty.base());
//! let class = ClassProperties { aim_ms: 400, worth: 1_000_000, late_worth: 0 };
//! delta.classes.set.insert("read".to_owned(), class);
//! let document = delta.apply(&empty).unwrap();
//! assert_eq!(Document::decode(&document.encode()).unwrap(), document);
//! let next = Revision::new(1, document);
//! assert!(delta.apply(&next).is_err(), "another publisher was first");
//! ```

pub mod bounds;
mod delta;
mod digest;
mod document;
mod encoding;
mod error;
mod history;
mod revision;
mod unique_keys;
mod validation;

pub use delta::{Base, Changes, Delta};
pub use digest::{Digest, DigestError};
pub use document::{ClassProperties, Document, Limit, Route, Section, Tenant, Unit};
pub use encoding::{DecodeError, FORMAT_VERSION};
pub use error::DocumentError;
pub use history::{History, HistoryError};
pub use revision::Revision;
