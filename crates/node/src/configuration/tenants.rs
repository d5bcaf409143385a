//! Numbers of tenants that came with a revision. A number is never used for another name.

use std::collections::HashMap;
use std::sync::Arc;

use merlinfold_revision::bounds::{MAX_NAME_BYTES, MAX_TENANTS};
use merlinfold_settings::NameTable;

use super::unsupported::UnsupportedError;

/// Tenants that may come and go while a process runs.
pub const MAX_TENANT_NUMBERS: usize = 2 * MAX_TENANTS;

/// A tenant as a request names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantRef {
    /// One that the node was started with, by number.
    Initial(usize),
    /// Any other name: whether there is such a tenant depends on the revision in force.
    Named(Box<str>),
}

impl TenantRef {
    /// The tenant of this name. Other names than those of the start are kept only where revisions may add tenants.
    pub fn from_name(name: &str, started: &NameTable, may_be_added: bool) -> Option<Self> {
        match started.get(name) {
            Some(number) => Some(TenantRef::Initial(number)),
            None if may_be_added && name.len() <= MAX_NAME_BYTES => Some(TenantRef::Named(name.into())),
            None => None,
        }
    }
}

/// Numbers of all tenants that were ever added, behind those of the start.
#[derive(Clone, Debug, Default)]
pub struct TenantNumbers {
    first: usize,
    added: Arc<HashMap<Box<str>, usize>>,
}

impl TenantNumbers {
    /// None yet, where the node was started with so many.
    pub fn starting_after(started: usize) -> Self {
        TenantNumbers { first: started, added: Arc::default() }
    }

    /// The number of a tenant that was added at some time.
    pub fn get(&self, name: &str) -> Option<usize> {
        self.added.get(name).copied()
    }

    /// One more than the greatest number.
    pub fn next_number(&self) -> usize {
        self.first + self.added.len()
    }

    /// These numbers, and new ones for names that have none. Nothing is copied where all have one.
    pub fn extended_with<'a>(&self, names: impl Iterator<Item = &'a str>) -> Result<Self, UnsupportedError> {
        let mut numbers = self.clone();
        let new: Vec<&str> = names.filter(|name| !self.added.contains_key(*name)).collect();
        if new.is_empty() {
            return Ok(numbers);
        }
        if self.added.len() + new.len() > MAX_TENANT_NUMBERS {
            return Err(UnsupportedError::TooManyTenants);
        }
        let added = Arc::make_mut(&mut numbers.added);
        for (next, name) in (self.next_number()..).zip(new) {
            added.insert(name.into(), next);
        }
        Ok(numbers)
    }
}
