//! A change of a document: entries to set and keys to remove, relative to a base revision.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::bounds::MAX_ENCODED_BYTES;
use crate::digest::Digest;
use crate::document::{ClassProperties, Document, Limit, Route, Section, Tenant};
use crate::error::DocumentError;
use crate::revision::Revision;
use crate::unique_keys;

/// The revision that a delta is based on. The digest distinguishes revisions of different histories with the same
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Base {
    /// Number of the revision.
    pub revision: u64,
    /// Digest of its document.
    pub digest: Digest,
}

/// The changes of one section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Changes<T: for<'read> Deserialize<'read>> {
    /// Entries to add or replace.
    #[serde(deserialize_with = "unique_keys::unique_map")]
    pub set: BTreeMap<String, T>,
    /// Keys to remove.
    #[serde(deserialize_with = "unique_keys::unique_set")]
    pub remove: BTreeSet<String>,
}

impl<T: for<'read> Deserialize<'read>> Default for Changes<T> {
    fn default() -> Self {
        Changes { set: BTreeMap::new(), remove: BTreeSet::new() }
    }
}

/// A change of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The revision that the delta is based on.
    pub base: Base,
    /// Changes of routes.
    #[serde(default)]
    pub routes: Changes<Route>,
    /// Changes of tenants.
    #[serde(default)]
    pub tenants: Changes<Tenant>,
    /// Changes of limits.
    #[serde(default)]
    pub limits: Changes<Limit>,
    /// Changes of classes.
    #[serde(default)]
    pub classes: Changes<ClassProperties>,
}

impl Delta {
    /// Creates a delta without changes.
    pub fn new(base: Base) -> Self {
        Delta {
            base,
            routes: Changes::default(),
            tenants: Changes::default(),
            limits: Changes::default(),
            classes: Changes::default(),
        }
    }

    /// Returns the delta from the revision in force to another document. A rollback is the delta to an older document
    /// and makes a new revision.
    pub fn between(in_force: &Revision, to: &Document) -> Self {
        let from = &*in_force.document;
        Delta {
            base: in_force.base(),
            routes: Changes::between(&from.routes, &to.routes),
            tenants: Changes::between(&from.tenants, &to.tenants),
            limits: Changes::between(&from.limits, &to.limits),
            classes: Changes::between(&from.classes, &to.classes),
        }
    }

    /// Returns the changed document, which is valid and complete.
    pub fn apply(&self, in_force: &Revision) -> Result<Document, DocumentError> {
        self.check_base(in_force)?;
        let document = &*in_force.document;
        let changed = Document {
            routes: self.routes.apply(Section::Routes, &document.routes)?,
            tenants: self.tenants.apply(Section::Tenants, &document.tenants)?,
            limits: self.limits.apply(Section::Limits, &document.limits)?,
            classes: self.classes.apply(Section::Classes, &document.classes)?,
        };
        if changed == *document {
            return Err(DocumentError::NoChange);
        }
        self.check_removed_classes(&changed)?;
        changed.validate()?;
        match changed.encode().len() {
            bytes if bytes > MAX_ENCODED_BYTES => Err(DocumentError::TooLong { bytes }),
            _ => Ok(changed),
        }
    }

    fn check_base(&self, in_force: &Revision) -> Result<(), DocumentError> {
        let base = self.base.revision;
        if base != in_force.number {
            return Err(DocumentError::Conflict { base, in_force: in_force.number });
        }
        if self.base.digest != in_force.digest {
            return Err(DocumentError::DigestMismatch { base });
        }
        Ok(())
    }

    /// Reports a route whose class this delta removes as an error of the removal.
    fn check_removed_classes(&self, changed: &Document) -> Result<(), DocumentError> {
        let uses = |(_, route): &(&String, &Route)| self.classes.remove.contains(&route.class);
        match changed.routes.iter().find(uses) {
            Some((prefix, route)) => {
                Err(DocumentError::ClassInUse { class: route.class.clone(), prefix: prefix.clone() })
            }
            None => Ok(()),
        }
    }
}

impl<T: Clone + PartialEq + for<'read> Deserialize<'read>> Changes<T> {
    fn between(from: &BTreeMap<String, T>, to: &BTreeMap<String, T>) -> Self {
        let changed = to.iter().filter(|(key, entry)| from.get(*key) != Some(entry));
        let removed = from.keys().filter(|key| !to.contains_key(*key));
        Changes {
            set: changed.map(|(key, entry)| (key.clone(), entry.clone())).collect(),
            remove: removed.cloned().collect(),
        }
    }

    fn apply(
        &self, section: Section, entries: &BTreeMap<String, T>,
    ) -> Result<BTreeMap<String, T>, DocumentError> {
        if let Some(key) = self.remove.iter().find(|key| self.set.contains_key(*key)) {
            return Err(DocumentError::SetAndRemoved { section, key: key.clone() });
        }
        let mut changed = entries.clone();
        for key in &self.remove {
            if changed.remove(key).is_none() {
                return Err(DocumentError::NotFound { section, key: key.clone() });
            }
        }
        changed.extend(self.set.iter().map(|(key, entry)| (key.clone(), entry.clone())));
        Ok(changed)
    }
}
