//! Validation of documents, independent of the node.

use std::collections::{BTreeMap, BTreeSet};

use crate::bounds::*;
use crate::document::{ClassProperties, Document, Limit, Route, Section, Tenant};
use crate::error::DocumentError;

impl Document {
    /// Checks that the document is within all bounds and that its references exist. Returns the first problem.
    pub fn validate(&self) -> Result<(), DocumentError> {
        validate_count(Section::Routes, self.routes.len(), MAX_ROUTES)?;
        validate_count(Section::Tenants, self.tenants.len(), MAX_TENANTS)?;
        validate_count(Section::Limits, self.limits.len(), MAX_LIMITS)?;
        validate_count(Section::Classes, self.classes.len(), MAX_CLASSES)?;
        validate_names(Section::Tenants, &self.tenants)?;
        validate_names(Section::Limits, &self.limits)?;
        validate_names(Section::Classes, &self.classes)?;
        self.classes.iter().try_for_each(|(name, class)| validate_class(name, class))?;
        self.limits.iter().try_for_each(|(name, limit)| validate_limit(name, limit))?;
        self.tenants.iter().try_for_each(|(name, tenant)| validate_tenant(name, tenant))?;
        self.validate_shares()?;
        self.routes.iter().try_for_each(|(prefix, route)| self.validate_route(prefix, route))?;
        self.validate_services()
    }

    fn validate_shares(&self) -> Result<(), DocumentError> {
        let sum = self.tenants.values().map(|tenant| u64::from(tenant.share)).sum();
        if sum > u64::from(TOTAL_SHARE) {
            return Err(DocumentError::ShareSumExceeded { sum });
        }
        Ok(())
    }

    fn validate_route(&self, prefix: &str, route: &Route) -> Result<(), DocumentError> {
        if let Some(reason) = invalid_prefix_reason(prefix) {
            return Err(DocumentError::InvalidKey {
                section: Section::Routes,
                key: prefix.to_owned(),
                reason,
            });
        }
        if invalid_name_reason(&route.service).is_some() {
            return Err(DocumentError::InvalidService {
                prefix: prefix.to_owned(),
                service: route.service.clone(),
            });
        }
        if !self.classes.contains_key(&route.class) {
            return Err(DocumentError::UnknownClass {
                prefix: prefix.to_owned(),
                class: route.class.clone(),
            });
        }
        Ok(())
    }

    fn validate_services(&self) -> Result<(), DocumentError> {
        let services: BTreeSet<&str> = self.routes.values().map(|route| route.service.as_str()).collect();
        if services.len() > MAX_SERVICES {
            return Err(DocumentError::TooManyServices { count: services.len() });
        }
        Ok(())
    }
}

fn validate_count(section: Section, count: usize, max: usize) -> Result<(), DocumentError> {
    if count > max {
        return Err(DocumentError::TooMany { section, count, max });
    }
    Ok(())
}

fn validate_names<T>(section: Section, entries: &BTreeMap<String, T>) -> Result<(), DocumentError> {
    let invalid = entries.keys().find_map(|key| Some((key, invalid_name_reason(key)?)));
    match invalid {
        Some((key, reason)) => Err(DocumentError::InvalidKey { section, key: key.clone(), reason }),
        None => Ok(()),
    }
}

/// Returns the problem with a name, if any.
fn invalid_name_reason(name: &str) -> Option<&'static str> {
    match name {
        "" => Some("the name is empty"),
        _ if name.len() > MAX_NAME_BYTES => Some("the name has more than 64 bytes"),
        _ if !is_printable(name) => Some("the name has a space or a control character"),
        _ => None,
    }
}

/// Returns the problem with a path prefix, if any.
fn invalid_prefix_reason(prefix: &str) -> Option<&'static str> {
    match prefix {
        _ if !prefix.starts_with('/') => Some("the prefix does not begin with a slash"),
        _ if prefix.len() > MAX_PREFIX_BYTES => Some("the prefix has more than 256 bytes"),
        _ if prefix.contains(['?', '#']) => {
            Some("the prefix has a `?` or `#`, which ends the path of a request")
        }
        _ if !is_printable(prefix) => Some("the prefix has a space or a control character"),
        _ => None,
    }
}

fn is_printable(text: &str) -> bool {
    !text.chars().any(|character| character.is_whitespace() || character.is_control())
}

fn validate_class(name: &str, class: &ClassProperties) -> Result<(), DocumentError> {
    let validate_field = |field, value: u32, min, max| {
        validate_bounds(Section::Classes, name, field, u64::from(value), min, u64::from(max))
    };
    validate_field("aim_ms", class.aim_ms, 1, MAX_AIM_MS)?;
    validate_field("worth", class.worth, 1, MAX_WORTH)?;
    validate_field("late_worth", class.late_worth, 0, MAX_LATE_WORTH)
}

fn validate_limit(name: &str, limit: &Limit) -> Result<(), DocumentError> {
    validate_bounds(Section::Limits, name, "least", limit.least, 0, limit.most)?;
    validate_bounds(Section::Limits, name, "value", limit.value, limit.least, limit.most)
}

fn validate_tenant(name: &str, tenant: &Tenant) -> Result<(), DocumentError> {
    let whole = u64::from(TOTAL_SHARE);
    validate_bounds(Section::Tenants, name, "share", u64::from(tenant.share), 0, whole)?;
    let Some(rate) = tenant.requests_per_1000_s else { return Ok(()) };
    validate_bounds(Section::Tenants, name, "requests_per_1000_s", rate, 1, MAX_REQUESTS_PER_1000_S)
}

fn validate_bounds(
    section: Section, key: &str, field: &'static str, value: u64, min: u64, max: u64,
) -> Result<(), DocumentError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(DocumentError::OutOfBounds { section, key: key.to_owned(), field, value, min, max })
}
