//! One HTTP call to discovery on a persistent connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::Query;
use crate::fair_stream::FairStream;
use crate::server_list::ServerList;
use crate::stream::SharedStream;

const MAX_LIST_BYTES: usize = 8 << 20;

/// Why a call brought no list. The current list stays in force.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("no answer for {0:?}; if this lasts, check that discovery can be reached")]
    Silent(Duration),
    #[error(
        "cannot connect: {0}; check that `discovery` in the configuration has its address and that it runs"
    )]
    Unreachable(std::io::Error),
    #[error("the connection was closed: {0}; discovery may be restarting")]
    ConnectionLost(hyper::Error),
    #[error("the answer was cut short or is longer than {MAX_LIST_BYTES} bytes: {0}; check the network between node and discovery")]
    Incomplete(Box<dyn std::error::Error + Send + Sync>),
    #[error("status {0}; discovery may be overloaded")]
    ErrorStatus(StatusCode),
    #[error("the answer is not a server list: {0}; check that `discovery` in the configuration names a discovery of this kind")]
    Unreadable(serde_json::Error),
    #[error("cannot build the request: {0}; check `discovery` in the configuration")]
    InvalidRequest(hyper::http::Error),
    #[error("discovery restarted its versions at {0}; fetching the whole list")]
    VersionReset(u64),
}

/// Makes the call and returns the list with the connection. Reuses the given connection if it is still open. Any error
/// closes the connection, so that no answer can be taken for that of another call.
pub async fn exchange(
    at: SocketAddr, reusable: Option<Connection>, query: Query,
) -> Result<(Connection, ServerList), CallError> {
    let mut connection = match reusable.filter(|connection| connection.sender.is_ready()) {
        Some(connection) => connection,
        None => Connection::open(at).await?,
    };
    let uri = match query {
        Query::Since(index, wait) => format!("/registry/instances?index={index}&wait={}", wait.as_millis()),
        Query::Whole => "/registry/instances".to_owned(),
    };
    let request = Request::get(uri).header("host", at.to_string()).body(Empty::new());
    let request = request.map_err(CallError::InvalidRequest)?;
    let response = connection.sender.send_request(request).await.map_err(CallError::ConnectionLost)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect();
    let body = body.await.map_err(CallError::Incomplete)?;
    if status != StatusCode::OK {
        return Err(CallError::ErrorStatus(status));
    }
    let list = serde_json::from_slice(&body.to_bytes()).map_err(CallError::Unreadable)?;
    Ok((connection, list))
}

/// An HTTP connection to discovery. It is closed on drop.
pub struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Connection {
    async fn open(to: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect(to).await.map_err(CallError::Unreachable)?;
        stream.set_nodelay(true).map_err(CallError::Unreachable)?;
        let io = TokioIo::new(FairStream::new(SharedStream::new(stream)));
        let (sender, connection) = http1::handshake(io).await.map_err(CallError::ConnectionLost)?;
        let task = tokio::spawn(connection).abort_handle();
        Ok(Connection { sender, task })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
