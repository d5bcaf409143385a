//! The settings that the node was started with, and how a document overrides them.

use merlinfold_decide::interface::{Class, DynamicClassSettings, DynamicSettings, Nanos, Settings};
use merlinfold_revision::bounds::TOTAL_SHARE;
use merlinfold_revision::{ClassProperties, Document, Limit, Tenant, Unit};
use merlinfold_settings::{NameTable, NameTables};

use super::tenants::TenantNumbers;
use super::unsupported::UnsupportedError;

/// Limit of the attempts per request.
const MAX_ATTEMPTS: &str = "max_attempts";
/// Worth of a request beyond its tenant's quota, as a share of its usual worth.
const OVER_SHARE_WORTH: &str = "over_share_worth";
/// Limit of the requests that are open at this node at once.
const OPEN_REQUESTS: &str = "open_requests";
/// Limit of the request rate of all tenants over all nodes, of which tenants have shares.
const FLEET_REQUESTS: &str = "fleet_requests";
/// Names of all limits that a node applies, for error messages.
pub const LIMIT_NAMES: &str = "max_attempts, over_share_worth, open_requests and fleet_requests";

const MILLION: f64 = 1e6;
const MILLISECOND: Nanos = 1_000_000;

/// The settings that the node was started with and that a document may override.
#[derive(Clone, Debug)]
pub struct Baseline {
    class_names: NameTable,
    tenant_names: NameTable,
    classes: Vec<Class>,
    figures: DynamicSettings,
    open_requests: usize,
}

impl Baseline {
    /// Takes the baseline from the settings at the start.
    pub fn new(settings: &Settings, names: &NameTables, open_requests: usize) -> Self {
        Baseline {
            class_names: names.classes.clone(),
            tenant_names: names.tenants.clone(),
            classes: settings.classes.clone(),
            figures: settings.dynamic_settings(),
            open_requests,
        }
    }

    /// Number of tenants that the node was started with.
    pub fn tenant_count(&self) -> usize {
        self.figures.tenants.len()
    }

    /// Checks whether this node can apply the document. The error names the first key that it cannot apply.
    pub fn check(&self, document: &Document) -> Result<(), UnsupportedError> {
        if let Some(prefix) = document.routes.keys().next() {
            return Err(UnsupportedError::Routes { prefix: prefix.clone() });
        }
        document.classes.iter().try_for_each(|(name, class)| self.check_class(name, class))?;
        document.limits.iter().try_for_each(|(name, limit)| self.check_limit(name, limit))?;
        let with_share = document.tenants.iter().find(|(_, tenant)| tenant.share > 0);
        match with_share {
            Some((tenant, _)) if !document.limits.contains_key(FLEET_REQUESTS) => {
                Err(UnsupportedError::ShareWithoutLimit { tenant: tenant.clone() })
            }
            _ => Ok(()),
        }
    }

    fn check_class(&self, name: &str, properties: &ClassProperties) -> Result<(), UnsupportedError> {
        let number = self.class_names.get(name);
        let class = number.and_then(|number| self.classes.get(number));
        let class = class.ok_or_else(|| UnsupportedError::UnknownClass { class: name.to_owned() })?;
        let deadline_ms = class.deadline / MILLISECOND;
        if u64::from(properties.aim_ms) > deadline_ms {
            let (class, aim_ms) = (name.to_owned(), properties.aim_ms);
            return Err(UnsupportedError::AimBeyondDeadline { class, aim_ms, deadline_ms });
        }
        Ok(())
    }

    fn check_limit(&self, name: &str, limit: &Limit) -> Result<(), UnsupportedError> {
        let (expected, min, max) = match name {
            MAX_ATTEMPTS => (Unit::Count, 1, u64::from(self.figures.max_attempts)),
            OVER_SHARE_WORTH => (Unit::Millionths, 0, MILLION as u64),
            OPEN_REQUESTS => (Unit::Count, 1, self.open_requests as u64),
            FLEET_REQUESTS => (Unit::RequestsPer1000S, 1, u64::MAX),
            _ => return Err(UnsupportedError::UnknownLimit { limit: name.to_owned() }),
        };
        let (limit_name, value, unit) = (name.to_owned(), limit.value, limit.unit);
        if unit != expected {
            return Err(UnsupportedError::LimitUnit { limit: limit_name, unit, expected });
        }
        if !(min..=max).contains(&value) {
            return Err(UnsupportedError::LimitOutOfBounds { limit: limit_name, value, min, max });
        }
        Ok(())
    }

    /// Names of the tenants that the node was not started with.
    pub fn added_tenants<'a>(&'a self, document: &'a Document) -> impl Iterator<Item = &'a str> {
        let names = document.tenants.keys().map(String::as_str);
        names.filter(|name| self.tenant_names.get(name).is_none())
    }

    /// Settings of the decision module under a document that has passed [`Baseline::check`].
    pub fn figures(&self, document: &Document, numbers: &TenantNumbers) -> DynamicSettings {
        let mut figures = self.figures.clone();
        let value = |name| document.limits.get(name).map(|limit| limit.value);
        for (name, properties) in &document.classes {
            if let Some(number) = self.class_names.get(name) {
                figures.classes[number] = class_figures(properties);
            }
        }
        let unlimited = merlinfold_decide::interface::Tenant { quota_per_s: f64::INFINITY };
        figures.tenants.resize(numbers.next_number(), unlimited);
        let fleet_requests = value(FLEET_REQUESTS);
        for (name, tenant) in &document.tenants {
            if let Some(number) = self.tenant_names.get(name).or_else(|| numbers.get(name)) {
                figures.tenants[number].quota_per_s = quota(tenant, fleet_requests);
            }
        }
        if let Some(attempts) = value(MAX_ATTEMPTS).and_then(|attempts| u32::try_from(attempts).ok()) {
            figures.max_attempts = attempts;
        }
        if let Some(worth) = value(OVER_SHARE_WORTH) {
            figures.over_quota_value_share = worth as f64 / MILLION;
        }
        figures
    }

    /// Maximum number of requests that may be open at once under a document that has passed [`Baseline::check`].
    pub fn open_requests(&self, document: &Document) -> usize {
        let stated = document.limits.get(OPEN_REQUESTS).map(|limit| limit.value);
        stated.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(self.open_requests)
    }
}

fn class_figures(properties: &ClassProperties) -> DynamicClassSettings {
    DynamicClassSettings {
        target_latency: u64::from(properties.aim_ms) * MILLISECOND,
        value: f64::from(properties.worth) / MILLION,
        late_value_share: f64::from(properties.late_worth) / MILLION,
    }
}

/// Quota of a tenant in requests per second, which count in full: the smaller one of its own limit and its share of the
/// fleet's limit.
fn quota(tenant: &Tenant, fleet_requests_per_1000_s: Option<u64>) -> f64 {
    let own = tenant.requests_per_1000_s.map_or(f64::INFINITY, |requests| requests as f64 / 1e3);
    let share = f64::from(tenant.share) / f64::from(TOTAL_SHARE);
    let shared = match fleet_requests_per_1000_s {
        Some(requests) if tenant.share > 0 => share * requests as f64 / 1e3,
        _ => f64::INFINITY,
    };
    own.min(shared)
}
