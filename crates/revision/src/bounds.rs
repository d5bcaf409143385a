//! Bounds of a document, sized for 3,400 routes, 30,000 tenants and 270 services with headroom.

/// Routes in a document.
pub const MAX_ROUTES: usize = 8_192;
/// Tenants in a document.
pub const MAX_TENANTS: usize = 65_536;
/// Limits in a document.
pub const MAX_LIMITS: usize = 256;
/// Classes in a document.
pub const MAX_CLASSES: usize = 256;
/// Different services that the routes of a document lead to.
pub const MAX_SERVICES: usize = 1_024;

/// Bytes of the name of a tenant, limit, class or service.
pub const MAX_NAME_BYTES: usize = 64;
/// Bytes of the path prefix of a route.
pub const MAX_PREFIX_BYTES: usize = 256;
/// Bytes of an encoded document or delta.
pub const MAX_ENCODED_BYTES: usize = 4 << 20;

/// The whole of what tenants share, in the unit of [`Tenant::share`](crate::Tenant::share).
pub const TOTAL_SHARE: u32 = 1_000_000_000;
/// Largest [`Tenant::requests_per_1000_s`](crate::Tenant::requests_per_1000_s): a million requests a second.
pub const MAX_REQUESTS_PER_1000_S: u64 = 1_000_000_000;
/// Largest [`ClassProperties::aim_ms`](crate::ClassProperties::aim_ms): ten minutes.
pub const MAX_AIM_MS: u32 = 600_000;
/// Largest [`ClassProperties::worth`](crate::ClassProperties::worth): a thousand.
pub const MAX_WORTH: u32 = 1_000_000_000;
/// Largest [`ClassProperties::late_worth`](crate::ClassProperties::late_worth): as much as in time.
pub const MAX_LATE_WORTH: u32 = 1_000_000;

/// Changes that a [`History`](crate::History) holds.
pub const MAX_HISTORY_DELTAS: usize = 256;
/// Bytes of them.
pub const MAX_HISTORY_BYTES: usize = 4 << 20;
