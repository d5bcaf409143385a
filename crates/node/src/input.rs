//! Messages to the driver, and its replies to clients and to the console.

use std::sync::Arc;

use merlinfold_decide::interface::{Nanos, RequestId, ServerId};
use merlinfold_fleet::Snapshot;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::configuration::{ConfigurationChange, TenantRef};
use crate::metrics::RequestEnd;
use crate::server_list::ServerList;
use crate::upstream::{AttemptOutcome, Connection, ServerResponse, ServerResponseBody, UpstreamRequest};

/// A message from another part of the node to the driver.
pub enum Input {
    /// A client request has been read.
    Request(ClientRequest),
    /// The client has disconnected before its response.
    ClientLeft(RequestId),
    /// An attempt has ended.
    AttemptEnded { id: RequestId, attempt: u32, outcome: Box<AttemptOutcome> },
    /// A streamed request has been given up before a server could run it, so that its client gives way to others.
    UploadAbandoned(RequestId),
    /// The last byte of a streamed request has been handed to a connection.
    Uploaded(RequestId),
    /// A streamed response has ended.
    ResponseEnded { id: RequestId, end: RequestEnd, connection: Option<Connection> },
    /// A connection has been established after its attempt had given up on it.
    LateConnection { server: ServerId, connection: Connection },
    /// Discovery has sent a server list or changes to it.
    List(ServerList),
    /// A peer node has sent a message.
    Peer { from: u32, bytes: Vec<u8> },
    /// A revision of the configuration takes effect; `applied` is notified once the driver uses it.
    Configuration { change: Box<ConfigurationChange>, applied: oneshot::Sender<()> },
    /// This node's current view of its fleet.
    Fleet(Box<Snapshot>),
    /// An operator's command from the console.
    Console { command: ConsoleCommand, reply: oneshot::Sender<ConsoleReply> },
    /// The platform terminates this process.
    Terminate,
}

/// A command from an operator.
#[derive(Debug)]
pub enum ConsoleCommand {
    /// Reports whether this process can serve.
    Status,
    /// Reports all counters.
    Metrics,
    /// Lists the members of the fleet.
    Members,
    /// Puts a server into maintenance (`out`), or takes it back into service.
    Maintenance { member: String, out: bool },
    /// Drains the node (`true`), or makes it active again.
    Standby(bool),
}

/// The reply to a console command.
#[derive(Debug)]
pub enum ConsoleReply {
    /// The command was carried out, or the answer to a query.
    Ok(String),
    /// The command cannot be carried out yet.
    Unavailable(String),
    /// The state of the node does not allow the command.
    Conflict(String),
    /// The object that the command names does not exist.
    NotFound(String),
}

/// A request from a client.
pub struct ClientRequest {
    pub id: RequestId,
    pub class: usize,
    pub tenant: Option<TenantRef>,
    pub key: Option<u64>,
    pub cost_hint: Option<Nanos>,
    pub repeat: bool,
    /// When the client stops waiting for the response.
    pub client_deadline: Nanos,
    pub upstream_request: Arc<UpstreamRequest>,
    pub client: oneshot::Sender<Reply>,
}

/// The final reply to a client request.
#[derive(Debug)]
pub enum Reply {
    /// A server's response.
    Served(ServerResponse),
    /// Rejected before any server worked on it, so that a retry does no harm. `retry_after` 0 means none is suggested.
    Refused { retry_after: Nanos },
    /// No server answered, or only with an error.
    Failed,
    /// The client did not send the rest of its body in time.
    Stalled,
}

impl Reply {
    /// Returns whether the body of the response is streamed.
    pub fn is_streamed(&self) -> bool {
        matches!(self, Reply::Served(ServerResponse { body: ServerResponseBody::Streamed(_), .. }))
    }
}

/// Returns a function that sends configuration changes to the driver; it returns false once the driver has stopped.
pub fn deliver_changes(
    inputs: UnboundedSender<Input>,
) -> impl Fn(Box<ConfigurationChange>, oneshot::Sender<()>) -> bool {
    move |change, applied| inputs.send(Input::Configuration { change, applied }).is_ok()
}
