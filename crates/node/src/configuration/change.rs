//! What the driver takes between two requests, as a whole.

use std::sync::Arc;

use merlinfold_decide::interface::DynamicSettings;
use merlinfold_revision::Document;

use super::tenants::{TenantNumbers, TenantRef};

/// What the driver itself needs of the document in force.
#[derive(Clone, Debug, Default)]
pub struct ActiveDocument {
    /// The document.
    pub document: Arc<Document>,
    /// Numbers of tenants that documents have added.
    pub numbers: TenantNumbers,
}

impl ActiveDocument {
    /// The number of a request's tenant, if there is such a tenant now.
    pub fn tenant_number(&self, named: TenantRef) -> Option<usize> {
        match named {
            TenantRef::Initial(number) => Some(number),
            TenantRef::Named(name) if self.document.tenants.contains_key(&*name) => self.numbers.get(&name),
            TenantRef::Named(_) => None,
        }
    }
}

/// All that changes when a revision comes into force.
#[derive(Clone, Debug)]
pub struct ConfigurationChange {
    /// For the decision module.
    pub figures: Box<DynamicSettings>,
    /// Requests that may be open at once.
    pub open_requests: usize,
    /// For the driver.
    pub in_force: Arc<ActiveDocument>,
}
