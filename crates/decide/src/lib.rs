//! The decision module of a load-balancing reverse proxy for HTTP servers.
//!
//! Server selection follows Koole's myopic static assignment (IEEE Transactions on Automatic Control 44,
//! 1999): a node counts, for each server, how many of its own sends ago it last used that server, and picks
//! the one that is least likely to be still busy with that attempt. [`policy::Balancer`] is one node's
//! deterministic state machine; [`interface`] defines its settings, events and actions. The module performs
//! no I/O: the host passes in events with the current time and carries out the returned actions.
//!
//! ```
//! use merlinfold_decide::interface::*;
//! use merlinfold_decide::policy::Balancer;
//!
//! const MS: Nanos = 1_000_000;
//! let class = Class {
//!     target_latency: 200 * MS, deadline: 1_000 * MS, value: 1.0, late_value_share: 0.0,
//!     idempotency: Idempotency::Idempotent, placement: Placement::default(),
//! };
//! let settings = Settings {
//!     node_index: 0, node_count: 1, zone: 0, classes: vec![class], tenants: vec![],
//!     over_quota_value_share: 1.0, discovery: Discovery::Push, weighted: false, key_affinity: false,
//!     cross_zone_price: 0.0, max_attempts: 3, retry_budget: None, may_hedge: false, may_cancel: true,
//!     may_probe: false, may_message_peers: false, retry_after: false, max_retry_after: 0,
//!     watch_interval: 10_000 * MS, initial_capacity_share: 0.2,
//!     slow_start_duration: 10_000 * MS, overload_factor: 3.0, overload_duration: 1_000 * MS,
//! };
//! let mut node = Balancer::new(settings, 42);
//! let mut actions = Vec::new();
//!
//! let entries = (0..2)
//!     .map(|n| ServerEntry {
//!         id: ServerId(n), name_hash: u64::from(n), zone: 0, host_type: 0, cell: 0,
//!         readiness: Readiness::Ready, weight: 1.0, started_at: 0,
//!     })
//!     .collect();
//! node.handle(MS, Event::Servers { kind: ListKind::Persisted, entries }, &mut actions);
//!
//! actions.clear();
//! let request = Request {
//!     id: RequestId(7), class: 0, tenant: None, key: None, client_timeout: 800 * MS, cost_hint: None,
//!     is_retry: false, streams_body: false,
//! };
//! node.handle(2 * MS, Event::Request(request), &mut actions);
//! assert!(matches!(actions[0], Action::Send { id: RequestId(7), .. }));
//! ```

mod counters;
mod dynamic_settings;
pub mod interface;
pub mod policy;
mod ring;
