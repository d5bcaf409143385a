//! Constants of the decisions, with units. Names that end in `_NS` are nanoseconds.

use super::{Nanos, RetryBudget};

pub const SECOND_NS: f64 = 1e9;

/// Interval between housekeeping ticks: short compared with the delays that users notice.
pub const TICK_INTERVAL: Nanos = 50_000_000;

/// Window of the smoothed rates: long enough to contain requests even at a node with little traffic.
pub const RATE_WINDOW_NS: f64 = 2e9;

/// Window of recent answers. Without any news for this long, congestion decays.
pub const LOAD_WINDOW_NS: f64 = 5e8;

/// Gain of a server's smoothed latency: about its last eight answers count.
pub const LATENCY_GAIN: f64 = 1.0 / 8.0;

/// Answers over which a class's latency is smoothed.
pub const LATENCY_SAMPLES: f64 = 128.0;

/// Answers until the unloaded latency of a class is known. Before that it is the mean latency, because quick
/// answers arrive first.
pub const UNLOADED_LATENCY_SAMPLES: f64 = 128.0;

/// Share of the difference by which each answer raises the unloaded latency towards the mean latency.
pub const UNLOADED_LATENCY_GAIN: f64 = 1.0 / 2048.0;

/// Upper bound of the unloaded latency, as a share of the target latency of the class.
pub const MAX_UNLOADED_LATENCY_SHARE: f64 = 1.0 / 3.0;

/// Mean deviations above the mean latency after which an attempt is overdue.
pub const OVERDUE_DEVIATIONS: f64 = 5.0;

/// Least margin above the mean latency after which an attempt is overdue. A busy machine delays answers by
/// this much at times.
pub const MIN_OVERDUE_MARGIN_NS: f64 = 5e6;

/// Unloaded latencies over which the peak concurrency decays, if that is longer than [`LOAD_WINDOW_NS`].
pub const PEAK_DECAY_LATENCIES: f64 = 4.0;

/// Least ratio of deviation to mean latency that is assumed: few answers are no evidence for a lower one.
pub const MIN_LATENCY_SPREAD: f64 = 0.2;

/// A longer latency, 13 days, is a clock error.
pub const MAX_LATENCY: Nanos = 1 << 50;

/// The budget where the deployment states none.
pub const UNLIMITED_RETRIES: RetryBudget = RetryBudget { base: f64::INFINITY, per_request: 0.0, window: 0 };

/// Consecutive failures that eject a server: a single one may be chance.
pub const EJECTION_FAILURES: u32 = 2;

/// Duration of the first ejection. It doubles with each further failure.
pub const BASE_EJECTION_TIME: Nanos = 1_000_000_000;

pub const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Least size of a rotation that several nodes share: it has to contain fast and slow servers.
pub const MIN_ROTATION_SIZE: f64 = 8.0;

/// Servers in the rotation for each job that is in progress in the absence of queues.
pub const ROTATION_HEADROOM: f64 = 1.25;

/// Factor added to the slope of servers in the node's own zone, per unit of the cross-zone price.
pub const LOCAL_ZONE_WEIGHT: f64 = 40.0;

/// Factor on the score of the server that has cached the request's key.
pub const KEY_AFFINITY_WEIGHT: u128 = 6;

/// Servers that take part in the rendezvous hashing of a key. More of them would gain nothing.
pub const KEY_AFFINITY_CANDIDATES: usize = 32;

/// Least share of a server's speed that is left to classes without placement constraints.
pub const MIN_UNRESERVED_SHARE: f64 = 0.05;

/// Fixed-point unit of slopes in the ring: an age of one send at a server of average speed.
pub const SLOPE_UNIT: f64 = (1u64 << 40) as f64;

/// The ring requires slopes below 2^62.
pub const MAX_SLOPE: f64 = (1u64 << 61) as f64;

/// Relative change up to which the scale of speeds is kept: smaller changes do not alter the order.
pub const SCALE_TOLERANCE: f64 = 0.02;

/// Servers whose scores are recomputed in a tick: all of a fleet up to this size, a quarter of this number
/// in a larger one.
pub const REFRESH_BATCH: usize = 32;

/// A server's weight is limited to this, so that sums of weights stay exact enough.
pub const MAX_WEIGHT: f64 = 1e6;

/// Panic mode starts above half unhealthy servers and ends at this share, so that a fleet close to the
/// threshold does not change mode with every failure.
pub const PANIC_EXIT_SHARE: f64 = 3.0 / 8.0;

/// Steps in which the capacity of a server in slow start grows.
pub const SLOW_START_STEPS: u64 = 32;

/// Least time between two recomputations for a server in slow start.
pub const MIN_SLOW_START_STEP: Nanos = 1_000_000;

/// Share of the sends that would overload a server in slow start which the nodes may use: tokens of a whole
/// window may have been saved up, and the server's capacity grows meanwhile.
pub const SLOW_START_MARGIN: f64 = 0.45;

/// Least recommended delay before a client's retry.
pub const MIN_RETRY_AFTER: Nanos = 1_000_000;

/// Numbers of own attempts in flight at a server whose latencies are recorded separately.
pub const TRACKED_DEPTHS: usize = 8;

/// Answers after which the latency at a depth is known.
pub const DEPTH_SAMPLES: f64 = 16.0;

/// Latency compared with an idle server above which attempts at a depth are taken to queue.
pub const MAX_DEPTH_SLOWDOWN: f64 = 1.35;

/// One in this many servers at the depth limit takes one attempt more, which measures the latency there.
pub const EXTRA_SLOT_ODDS: u32 = 16;

/// Deviations of latency above the unloaded latency at which refusals start.
pub const REFUSAL_START_DEVIATIONS: f64 = 0.7;

/// Deviations at which all of the least valuable requests are refused.
pub const REFUSAL_FULL_DEVIATIONS: f64 = 2.2;

/// Share of the target latency that a slow answer takes at which refusals start.
pub const REFUSAL_START_TARGET_SHARE: f64 = 0.2;

/// Share of the target latency at which congestion alone decides about refusals.
pub const REFUSAL_FULL_TARGET_SHARE: f64 = 0.4;

/// Answers that take a greater share of the target latency are evidence against idle servers.
pub const IDLE_MAX_TARGET_SHARE: f64 = 0.5;

/// Congestion above which servers are not taken to be idle: answers take this many unloaded latencies, or
/// none come.
pub const IDLE_MAX_CONGESTION: f64 = MAX_CONGESTION / 2.0;

/// Upper bound on the share of the least valuable requests refused while servers are taken to be idle: some
/// are admitted to measure the latency.
pub const MAX_IDLE_REFUSAL: f64 = 0.6;

/// Multiple of the median tenant's quota usage above which a request counts as over quota once more.
pub const OVER_QUOTA_MARGIN: f64 = 1.25;

/// Congestion that a failure counts as while answers are slow, and upper bound of the congestion that a
/// single answer counts as.
pub const MAX_CONGESTION: f64 = 8.0;

/// Least weight of one answer in the congestion: a single one may be chance.
pub const CONGESTION_GAIN: f64 = 1.0 / 32.0;

/// Mean number of ticks between reports to peers, which keeps messages few.
pub const PEER_REPORT_TICKS: u32 = 10;

/// Ready servers for each peer that receives a report: a node then receives an answer of each server about
/// once in six of its own sends.
pub const SERVERS_PER_REPORT_PEER: usize = 6;

/// Most peers that receive a report: traffic must not grow with the product of nodes and servers.
pub const MAX_REPORT_PEERS: usize = 8;

/// Resolution of the relative latency in a report: steps per doubling.
pub const REPORT_STEPS_PER_DOUBLING: f64 = 16.0;
