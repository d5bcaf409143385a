//! What the parts around the driver report to it, and what it answers a client.

use std::sync::Arc;

use merlinfold_decide::interface::{Nanos, RequestId, ServerId};
use merlinfold_fleet::Snapshot;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::configuration::{ConfigurationChange, TenantRef};
use crate::metrics::RequestEnd;
use crate::server_list::ServerList;
use crate::upstream::{AttemptOutcome, Connection, ServerResponse, UpstreamRequest};

/// What the other parts report.
pub enum Input {
    Request(ClientRequest),
    ClientLeft(RequestId),
    AttemptEnded {
        id: RequestId,
        attempt: u32,
        outcome: Box<AttemptOutcome>,
    },
    /// A long request's last byte has been handed on.
    Uploaded(RequestId),
    /// A long answer has ended.
    ResponseEnded {
        id: RequestId,
        end: RequestEnd,
        connection: Option<Connection>,
    },
    /// A connection that its attempt gave up has come up after all.
    LateConnection {
        server: ServerId,
        connection: Connection,
    },
    List(ServerList),
    Peer {
        from: u32,
        bytes: Vec<u8>,
    },
    /// A revision of the configuration comes into force, as a whole.
    Configuration {
        change: Box<ConfigurationChange>,
        applied: oneshot::Sender<()>,
    },
    /// How this node sees its fleet now.
    Fleet(Box<Snapshot>),
    /// An operator's call.
    Console {
        command: ConsoleCommand,
        reply: oneshot::Sender<ConsoleReply>,
    },
    /// The platform ends this process.
    Terminate,
}

/// What operators ask for.
#[derive(Debug)]
pub enum ConsoleCommand {
    /// Whether this process can serve.
    Status,
    /// All counts.
    Metrics,
    /// The members of the fleet.
    Members,
    /// Takes a server out, or puts it back.
    Maintenance { member: String, out: bool },
    /// Drains the node, or ends that.
    Standby(bool),
}

/// What they are told.
#[derive(Debug)]
pub enum ConsoleReply {
    Ok(String),
    Unavailable(String),
    /// What the node is doing does not allow it.
    Conflict(String),
    /// There is no such thing.
    NotFound(String),
}

/// A client's request.
pub struct ClientRequest {
    pub id: RequestId,
    pub class: usize,
    pub tenant: Option<TenantRef>,
    pub key: Option<u64>,
    pub cost_hint: Option<Nanos>,
    pub repeat: bool,
    /// When the client stops waiting.
    pub client_deadline: Nanos,
    pub outgoing: Arc<UpstreamRequest>,
    pub client: oneshot::Sender<Reply>,
}

/// A final answer.
#[derive(Debug)]
pub enum Reply {
    Served(ServerResponse),
    Refused {
        retry_after: Nanos,
    },
    Failed,
    /// The client did not send what it owed.
    Stalled,
}

/// Hands changes of the configuration to the driver that takes these inputs; what it gives is false once that is gone.
pub fn deliver_changes(
    inputs: UnboundedSender<Input>,
) -> impl Fn(Box<ConfigurationChange>, oneshot::Sender<()>) -> bool {
    move |change, taken| inputs.send(Input::Configuration { change, applied: taken }).is_ok()
}
