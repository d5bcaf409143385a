//! Bounds of a document, sized for 3,400 routes, 30,000 tenants and 270 services with headroom.

/// Maximum number of routes in a document.
pub const MAX_ROUTES: usize = 8_192;
/// Maximum number of tenants in a document.
pub const MAX_TENANTS: usize = 65_536;
/// Maximum number of limits in a document.
pub const MAX_LIMITS: usize = 256;
/// Maximum number of classes in a document.
pub const MAX_CLASSES: usize = 256;
/// Maximum number of different services that the routes of a document name.
pub const MAX_SERVICES: usize = 1_024;

/// Maximum length of the name of a tenant, limit, class or service in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of the path prefix of a route in bytes.
pub const MAX_PREFIX_BYTES: usize = 256;
/// Maximum length of an encoded document or delta in bytes.
pub const MAX_ENCODED_BYTES: usize = 4 << 20;

/// Maximum sum of all shares, in the unit of [`Tenant::share`](crate::Tenant::share).
pub const TOTAL_SHARE: u32 = 1_000_000_000;
/// Maximum [`Tenant::requests_per_1000_s`](crate::Tenant::requests_per_1000_s): a million requests per second.
pub const MAX_REQUESTS_PER_1000_S: u64 = 1_000_000_000;
/// Maximum [`ClassProperties::aim_ms`](crate::ClassProperties::aim_ms): ten minutes.
pub const MAX_AIM_MS: u32 = 600_000;
/// Maximum [`ClassProperties::worth`](crate::ClassProperties::worth): a value of 1,000.
pub const MAX_WORTH: u32 = 1_000_000_000;
/// Maximum [`ClassProperties::late_worth`](crate::ClassProperties::late_worth): the full value.
pub const MAX_LATE_WORTH: u32 = 1_000_000;

/// Maximum number of deltas in a [`History`](crate::History).
pub const MAX_HISTORY_DELTAS: usize = 256;
/// Maximum total size of these deltas in bytes.
pub const MAX_HISTORY_BYTES: usize = 4 << 20;
