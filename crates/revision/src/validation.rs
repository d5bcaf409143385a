//! Whether a document can be in force at all, whatever the node.

use std::collections::{BTreeMap, BTreeSet};

use crate::bounds::*;
use crate::document::{ClassProperties, Document, Limit, Route, Section, Tenant};
use crate::fault::Fault;

impl Document {
    /// Whether the document keeps to every bound and refers only to what is in it. The first fault is named.
    pub fn validate(&self) -> Result<(), Fault> {
        check_count(Section::Routes, self.routes.len(), MAX_ROUTES)?;
        check_count(Section::Tenants, self.tenants.len(), MAX_TENANTS)?;
        check_count(Section::Limits, self.limits.len(), MAX_LIMITS)?;
        check_count(Section::Classes, self.classes.len(), MAX_CLASSES)?;
        check_names(Section::Tenants, &self.tenants)?;
        check_names(Section::Limits, &self.limits)?;
        check_names(Section::Classes, &self.classes)?;
        self.classes.iter().try_for_each(|(name, class)| check_class(name, class))?;
        self.limits.iter().try_for_each(|(name, limit)| check_limit(name, limit))?;
        self.tenants.iter().try_for_each(|(name, tenant)| check_tenant(name, tenant))?;
        self.check_shares()?;
        self.routes.iter().try_for_each(|(prefix, route)| self.check_route(prefix, route))?;
        self.check_services()
    }

    fn check_shares(&self) -> Result<(), Fault> {
        let sum = self.tenants.values().map(|tenant| u64::from(tenant.share)).sum();
        if sum > u64::from(WHOLE_SHARE) {
            return Err(Fault::ShareSum { sum });
        }
        Ok(())
    }

    fn check_route(&self, prefix: &str, route: &Route) -> Result<(), Fault> {
        if let Some(wrong) = prefix_fault(prefix) {
            return Err(Fault::Key { section: Section::Routes, key: prefix.to_owned(), wrong });
        }
        if name_fault(&route.service).is_some() {
            return Err(Fault::Service { prefix: prefix.to_owned(), service: route.service.clone() });
        }
        if !self.classes.contains_key(&route.class) {
            return Err(Fault::UnknownClass { prefix: prefix.to_owned(), class: route.class.clone() });
        }
        Ok(())
    }

    fn check_services(&self) -> Result<(), Fault> {
        let services: BTreeSet<&str> = self.routes.values().map(|route| route.service.as_str()).collect();
        if services.len() > MAX_SERVICES {
            return Err(Fault::TooManyServices { count: services.len() });
        }
        Ok(())
    }
}

fn check_count(section: Section, count: usize, most: usize) -> Result<(), Fault> {
    if count > most {
        return Err(Fault::TooMany { section, count, most });
    }
    Ok(())
}

fn check_names<T>(section: Section, entries: &BTreeMap<String, T>) -> Result<(), Fault> {
    let faulty = entries.keys().find_map(|key| Some((key, name_fault(key)?)));
    match faulty {
        Some((key, wrong)) => Err(Fault::Key { section, key: key.clone(), wrong }),
        None => Ok(()),
    }
}

/// What is wrong with a name, if anything.
fn name_fault(name: &str) -> Option<&'static str> {
    match name {
        "" => Some("the name is empty"),
        _ if name.len() > MAX_NAME_BYTES => Some("the name has more than 64 bytes"),
        _ if !is_printable(name) => Some("the name has a space or a control character"),
        _ => None,
    }
}

/// What is wrong with a path prefix, if anything.
fn prefix_fault(prefix: &str) -> Option<&'static str> {
    match prefix {
        _ if !prefix.starts_with('/') => Some("the prefix does not begin with a slash"),
        _ if prefix.len() > MAX_PREFIX_BYTES => Some("the prefix has more than 256 bytes"),
        _ if prefix.contains(['?', '#']) => Some("the prefix goes beyond the path of a request"),
        _ if !is_printable(prefix) => Some("the prefix has a space or a control character"),
        _ => None,
    }
}

fn is_printable(text: &str) -> bool {
    !text.chars().any(|character| character.is_whitespace() || character.is_control())
}

fn check_class(name: &str, class: &ClassProperties) -> Result<(), Fault> {
    let within = |field, value: u32, least, most| {
        check_bounds(Section::Classes, name, field, u64::from(value), least, u64::from(most))
    };
    within("aim_ms", class.aim_ms, 1, MAX_AIM_MS)?;
    within("worth", class.worth, 1, MAX_WORTH)?;
    within("late_worth", class.late_worth, 0, MAX_LATE_WORTH)
}

fn check_limit(name: &str, limit: &Limit) -> Result<(), Fault> {
    check_bounds(Section::Limits, name, "least", limit.least, 0, limit.most)?;
    check_bounds(Section::Limits, name, "value", limit.value, limit.least, limit.most)
}

fn check_tenant(name: &str, tenant: &Tenant) -> Result<(), Fault> {
    let whole = u64::from(WHOLE_SHARE);
    check_bounds(Section::Tenants, name, "share", u64::from(tenant.share), 0, whole)?;
    let Some(rate) = tenant.requests_per_1000_s else { return Ok(()) };
    check_bounds(Section::Tenants, name, "requests_per_1000_s", rate, 1, MAX_REQUESTS_PER_1000_S)
}

fn check_bounds(
    section: Section, key: &str, field: &'static str, value: u64, least: u64, most: u64,
) -> Result<(), Fault> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(Fault::OutOfBounds { section, key: key.to_owned(), field, value, least, most })
}
