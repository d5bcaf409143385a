//! Settings, events and actions: everything that goes into the decision module and comes out of it.
//!
//! Times are nanoseconds on a monotonic clock of the host's choice. Servers, classes, tenants, zones and host
//! types are numbered by the host; the module only compares these numbers.

pub use crate::dynamic_settings::{DynamicClassSettings, DynamicSettings};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Identifies a server. The host numbers servers from 0 without large gaps and never reuses a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Identifies a request. The host never reuses a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The servers among which repeated attempts of a keyed request are deduplicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated, and refused after an attempt, without restriction.
    Idempotent,
    /// A repeated attempt has no effect if it reaches the same scope within the window.
    Keyed {
        /// Servers that recognize a repeated attempt.
        scope: DedupScope,
        /// How long they recognize it, from the send of the first attempt that may have run.
        window: Nanos,
    },
    /// The request must not run more than once.
    NonIdempotent,
}

/// Placement constraint of a class. It applies to every attempt, even if all of the allowed servers are down.
///
/// `None` is no constraint; an empty list allows no server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// Allowed zones.
    pub zones: Option<Vec<u16>>,
    /// Allowed host types.
    pub host_types: Option<Vec<u16>>,
}

impl Placement {
    /// Whether requests of the class may be sent to this server.
    pub fn allows(&self, server: &ServerEntry) -> bool {
        let allowed = |list: &Option<Vec<u16>>, n| list.as_ref().is_none_or(|list| list.contains(&n));
        allowed(&self.zones, server.zone) && allowed(&self.host_types, server.host_type)
    }

    /// Whether there is no constraint.
    pub fn is_free(&self) -> bool {
        self.zones.is_none() && self.host_types.is_none()
    }
}

/// Limit on retries: in any window, the attempts beyond each request's first number at most `base` plus
/// `per_request` for each request received in that window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudget {
    /// Retries that are allowed in each window regardless of the number of requests.
    pub base: f64,
    /// Additional retries for each received request.
    pub per_request: f64,
    /// Length of the window.
    pub window: Nanos,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency up to which an answer has the full value.
    pub target_latency: Nanos,
    /// How long the client waits in total, over all of its tries.
    pub deadline: Nanos,
    /// Value of one answered request, relative to other classes.
    pub value: f64,
    /// Share of the value that an answer after the target latency still has.
    pub late_value_share: f64,
    /// Whether requests of the class may run more than once.
    pub idempotency: Idempotency,
    /// Where requests of the class may run.
    pub placement: Placement,
}

/// A tenant of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second over all nodes that have their full value; infinite: no quota.
    pub quota_per_s: f64,
}

/// How a node learns about servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed to the node without a request.
    #[default]
    Push,
    /// Changes arrive only after [`Action::Watch`].
    Watch,
}

/// Configuration of a node at its start. Everything else is learned from events.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Index of this node among the nodes of the fleet.
    pub node_index: u32,
    /// Number of nodes in the fleet.
    pub node_count: u32,
    /// Zone of this node.
    pub zone: u16,
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a request over its tenant's quota, as a share of the value within the quota.
    pub over_quota_value_share: f64,
    /// How the node learns about servers.
    pub discovery: Discovery,
    /// Whether server weights are meaningful: they then state the registered size of each server.
    pub weighted: bool,
    /// Whether a server needs less work for a key that it has served recently.
    pub key_affinity: bool,
    /// Cost of an attempt in another zone, as a share of the value of a request.
    pub cross_zone_price: f64,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Limit on retries; `None`: no limit is stated.
    pub retry_budget: Option<RetryBudget>,
    /// Whether a request may have two attempts open at once.
    pub may_hedge: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// Whether nodes may send messages to each other.
    pub may_message_peers: bool,
    /// Whether clients honour a recommended delay before their next try.
    pub retry_after: bool,
    /// The longest such delay that clients honour.
    pub max_retry_after: Nanos,
    /// With [`Discovery::Watch`]: the longest allowed time between two watches.
    pub watch_interval: Nanos,
    /// Slow start: share of its full capacity that a server has at least when it starts.
    pub initial_capacity_share: f64,
    /// Slow start: time after which a started server has its full capacity.
    pub slow_start_duration: Nanos,
    /// Slow start: multiple of its current capacity that overloads a server ...
    pub overload_factor: f64,
    /// ... if the server receives it for this long.
    pub overload_duration: Nanos,
}

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// It accepts new requests.
    #[default]
    Ready,
    /// It completes the requests that it has and accepts no new ones.
    Draining,
    /// It has left the fleet.
    Removed,
}

/// An entry of the server list.
#[derive(Clone, Debug, Default)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Hash of the server's name, which is the same at every node.
    pub name_hash: u64,
    /// Zone of the server.
    pub zone: u16,
    /// Host type of the server.
    pub host_type: u16,
    /// Cell of the server.
    pub cell: u64,
    /// Whether it accepts new requests.
    pub readiness: Readiness,
    /// Registered size, relative to other servers.
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub started_at: Nanos,
}

/// What an [`Event::Servers`] contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list as last stored by this node, possibly long ago.
    Persisted,
    /// The complete list.
    Complete,
    /// Changed entries only.
    Partial,
    /// No entries: a call failed or a subscription was interrupted.
    Failed,
}

/// A request that a client has sent to this node.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: Option<usize>,
    /// Key of the data that it accesses.
    pub key: Option<u64>,
    /// Time until the client abandons this try.
    pub client_timeout: Nanos,
    /// Expected work, as time on a standard core.
    pub cost_hint: Option<Nanos>,
    /// Whether the client has marked it as a retry.
    pub is_retry: bool,
    /// Whether its body is forwarded while it arrives. The server starts on it at [`Event::BodySent`].
    pub streams_body: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The server answered successfully.
    Ok,
    /// The server answered with an error.
    Error,
    /// The server rejected the attempt without processing it.
    Rejected,
    /// No answer arrived before the timeout.
    Timeout,
    /// No connection to the server could be established.
    ConnectFailed,
    /// The connection was interrupted.
    Reset,
    /// This node cancelled the attempt.
    Cancelled,
    /// This node never sent the attempt.
    NotSent,
}

impl Status {
    /// Whether the status proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Rejected | Status::ConnectFailed | Status::NotSent)
    }
}

/// Load that a server reports about itself. Any figure may be absent, outdated or inaccurate.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Requests in progress.
    pub in_flight: Option<f64>,
    /// Requests in its queue.
    pub queue: Option<f64>,
    /// Share of its cores in use.
    pub utilization: Option<f64>,
    /// Requests answered per second.
    pub qps: Option<f64>,
    /// Errors per second.
    pub eps: Option<f64>,
    /// Recent processing time of a request, without waiting time.
    pub service_time: Option<Nanos>,
}

/// Input of a node. The first event of a node is its persisted server list.
#[derive(Clone, Debug)]
pub enum Event {
    /// The server list, or changes to it.
    Servers {
        /// What `entries` contains.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A client has sent a request.
    Request(Request),
    /// The last byte of a streamed request body was sent to the server of the open attempt, which now starts
    /// to process the request.
    BodySent(RequestId),
    /// The first byte of a streamed answer has arrived.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt that is answered.
        attempt: u32,
        /// Time since the attempt was sent.
        latency: Nanos,
    },
    /// An attempt ended.
    Outcome {
        /// The request.
        id: RequestId,
        /// Index of the attempt, from 0 in the order of sends.
        attempt: u32,
        /// Server of the attempt.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since the attempt was sent.
        latency: Nanos,
        /// Whether the request is over, so that it needs no further attempt or answer.
        terminal: bool,
        /// Load report that the server attached to its answer.
        report: Option<LoadReport>,
    },
    /// The client has disconnected and needs no answer.
    ClientGone(RequestId),
    /// A probe ended.
    ProbeOutcome {
        /// The server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since the probe was sent.
        latency: Nanos,
        /// Load report that the server attached to its answer.
        report: Option<LoadReport>,
    },
    /// A message from a peer.
    PeerMessage {
        /// Index of the peer.
        from: u32,
        /// Content of the message.
        bytes: Vec<u8>,
    },
    /// An operator takes a server out of service or puts it back. This overrides the server list.
    Maintenance {
        /// The server; it need not be in the list.
        server: ServerId,
        /// Whether it is out of service from now on.
        out: bool,
        /// When this was ordered, which may be before this process was started.
        ordered_at: Nanos,
    },
    /// Replaces the dynamic settings. Learned state is kept.
    Reconfigured(Box<DynamicSettings>),
    /// A timer set by [`Action::Timer`] has expired.
    Timer(u64),
}

/// Maximum size of a message to a peer.
pub const MAX_MESSAGE_BYTES: usize = 256;

/// Output of a node, which the host carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Destination.
        server: ServerId,
        /// Timeout of the attempt; 0: until the client's timeout.
        timeout: Nanos,
        /// Time within which the attempt must be written or else dropped: servers recognize a repeated
        /// attempt only until then.
        send_within: Option<Nanos>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// Final answer: the request is refused, and the client may safely retry it.
    Refuse {
        /// The request.
        id: RequestId,
        /// Recommended delay before a retry; 0: none.
        retry_after: Nanos,
    },
    /// Final answer: the request failed and may or may not have taken effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Deliver [`Event::Timer`] with this token.
    Timer {
        /// Time from now.
        after: Nanos,
        /// Token to pass back.
        token: u64,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Send a message to one peer or to all of them.
    SendToPeers {
        /// Index of the peer; `None`: all peers.
        to: Option<u32>,
        /// At most [`MAX_MESSAGE_BYTES`] bytes.
        bytes: Vec<u8>,
    },
    /// Watch the server list for changes.
    Watch,
}
