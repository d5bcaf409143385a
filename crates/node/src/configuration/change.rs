//! A configuration change, which the driver applies as a whole between two requests.

use std::sync::Arc;

use merlinfold_decide::interface::DynamicSettings;
use merlinfold_revision::Document;

use super::tenants::{TenantNumbers, TenantRef};

/// The document in force, as the driver uses it.
#[derive(Clone, Debug, Default)]
pub struct ActiveDocument {
    /// The document.
    pub document: Arc<Document>,
    /// Numbers of the tenants that revisions have added.
    pub numbers: TenantNumbers,
}

impl ActiveDocument {
    /// The number of a tenant, if the node was started with it or the document has it.
    pub fn tenant_number(&self, tenant: TenantRef) -> Option<usize> {
        match tenant {
            TenantRef::Initial(number) => Some(number),
            TenantRef::Named(name) if self.document.tenants.contains_key(&*name) => self.numbers.get(&name),
            TenantRef::Named(_) => None,
        }
    }
}

/// Everything that changes when a revision comes into force.
#[derive(Clone, Debug)]
pub struct ConfigurationChange {
    /// Settings of the decision module.
    pub figures: Box<DynamicSettings>,
    /// Maximum number of requests that may be open at once.
    pub open_requests: usize,
    /// The document that comes into force.
    pub in_force: Arc<ActiveDocument>,
}
