//! Documents for tests and benchmarks.
#![allow(dead_code)] // each test and benchmark uses some of the items

use std::collections::BTreeMap;

use merlinfold_revision::{ClassProperties, Document, Limit, Route, Tenant, Unit};
use proptest::collection::btree_map;
use proptest::prelude::*;

/// Number of routes, tenants and services at the planned size.
pub const ROUTES: usize = 3_400;
pub const TENANTS: usize = 30_000;
pub const SERVICES: usize = 270;

pub fn class(aim_ms: u32) -> ClassProperties {
    ClassProperties { aim_ms, worth: 1_000_000, late_worth: 0 }
}

pub fn route(service: &str, class: &str) -> Route {
    Route { service: service.to_owned(), class: class.to_owned() }
}

pub fn limit(value: u64) -> Limit {
    Limit { value, unit: Unit::Count, least: 1, most: 10 }
}

/// Returns a valid document of the planned size.
pub fn large() -> Document {
    let tenants = (0..TENANTS).map(|n| {
        let tenant = Tenant { share: 30_000, requests_per_1000_s: Some(1_000 + n as u64) };
        (format!("tenant-{n:05}"), tenant)
    });
    let routes = (0..ROUTES)
        .map(|n| (format!("/guides/{n:04}/entries"), route(&format!("service-{:03}", n % SERVICES), "read")));
    Document {
        routes: routes.collect(),
        tenants: tenants.collect(),
        limits: BTreeMap::from([("max_attempts".to_owned(), limit(3))]),
        classes: BTreeMap::from([("read".to_owned(), class(400)), ("write".to_owned(), class(900))]),
    }
}

fn any_class() -> impl Strategy<Value = ClassProperties> {
    (1..5u32, 1..5u32, 0..3u32).prop_map(|(aim_ms, worth, late_worth)| ClassProperties {
        aim_ms,
        worth,
        late_worth,
    })
}

fn any_tenant() -> impl Strategy<Value = Tenant> {
    (0..100_000_000u32, proptest::option::of(1..9u64))
        .prop_map(|(share, requests_per_1000_s)| Tenant { share, requests_per_1000_s })
}

/// Generates small valid documents. Classes `a` to `c` always exist, so that routes can refer to them.
pub fn any_document() -> impl Strategy<Value = Document> {
    let classes = btree_map("[a-c]", any_class(), 0..3);
    let routes = btree_map("/[a-d]{0,2}", ("[s-v]", "[a-c]"), 0..6);
    let tenants = btree_map("t[0-9]", any_tenant(), 0..8);
    let limits = btree_map("l[0-3]", (1..10u64).prop_map(limit), 0..4);
    (classes, routes, tenants, limits).prop_map(|(some, routes, tenants, limits)| {
        let mut classes = BTreeMap::from(["a", "b", "c"].map(|name| (name.to_owned(), class(100))));
        classes.extend(some);
        let routes = routes.into_iter().map(|(prefix, (service, class))| (prefix, route(&service, &class)));
        Document { routes: routes.collect(), tenants, limits, classes }
    })
}
