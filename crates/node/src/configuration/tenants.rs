//! Numbers of tenants that were added by revisions. A number is never reused for another name.

use std::collections::HashMap;
use std::sync::Arc;

use merlinfold_revision::bounds::{MAX_NAME_BYTES, MAX_TENANTS};
use merlinfold_settings::NameTable;

use super::unsupported::UnsupportedError;

/// Number of tenants that may be added while a process runs, including those that are removed again.
pub const MAX_TENANT_NUMBERS: usize = 2 * MAX_TENANTS;

/// A tenant as a request names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantRef {
    /// A tenant that the node was started with, by number.
    Initial(usize),
    /// Any other name. The revision in force decides whether it has such a tenant.
    Named(Box<str>),
}

impl TenantRef {
    /// Looks up a tenant by name. A name that the node was not started with is only kept where revisions may add
    /// tenants.
    pub fn from_name(name: &str, initial: &NameTable, may_be_added: bool) -> Option<Self> {
        match initial.get(name) {
            Some(number) => Some(TenantRef::Initial(number)),
            None if may_be_added && name.len() <= MAX_NAME_BYTES => Some(TenantRef::Named(name.into())),
            None => None,
        }
    }
}

/// Numbers of all tenants that were ever added. They follow those of the tenants that the node was started with.
#[derive(Clone, Debug, Default)]
pub struct TenantNumbers {
    first: usize,
    added: Arc<HashMap<Box<str>, usize>>,
}

impl TenantNumbers {
    /// No numbers yet, where the node was started with this many tenants.
    pub fn starting_after(initial: usize) -> Self {
        TenantNumbers { first: initial, added: Arc::default() }
    }

    /// The number of a tenant that was added at some time.
    pub fn get(&self, name: &str) -> Option<usize> {
        self.added.get(name).copied()
    }

    /// One more than the largest number.
    pub fn next_number(&self) -> usize {
        self.first + self.added.len()
    }

    /// These numbers and new ones for the names that have none. Nothing is copied if all names have one.
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
        for (number, name) in (self.next_number()..).zip(new) {
            added.insert(name.into(), number);
        }
        Ok(numbers)
    }
}
