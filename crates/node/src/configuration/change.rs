//! What the driver takes between two requests, as a whole.

use std::sync::Arc;

use merlinfold_decide::interface::DynamicSettings;
use merlinfold_revision::Document;

use super::tenants::{NamedTenant, TenantNumbers};

/// What the driver itself needs of the document in force.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// The document.
    pub document: Arc<Document>,
    /// Numbers of tenants that documents have added.
    pub numbers: TenantNumbers,
}

impl InForce {
    /// The number of a request's tenant, if there is such a tenant now.
    pub fn tenant(&self, named: NamedTenant) -> Option<usize> {
        match named {
            NamedTenant::Started(number) => Some(number),
            NamedTenant::Other(name) if self.document.tenants.contains_key(&*name) => self.numbers.get(&name),
            NamedTenant::Other(_) => None,
        }
    }
}

/// All that changes when a revision comes into force.
#[derive(Clone, Debug)]
pub struct Change {
    /// For the decision module.
    pub figures: Box<DynamicSettings>,
    /// Requests that may be open at once.
    pub open_requests: usize,
    /// For the driver.
    pub in_force: Arc<InForce>,
}
