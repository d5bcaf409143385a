//! The console: the HTTP listener for operators. It takes one call per connection, which the driver or the fleet
//! answers.

mod configuration;
mod log;

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Deserialize;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc::UnboundedSender, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, Instant};
use tracing::{info, warn};

use crate::capacity::MAX_CONSOLE_CONNECTIONS;
use crate::fair_stream::FairStream;
use crate::input::{ConsoleCommand, ConsoleReply, Input};
use crate::stream::SharedStream;
use merlinfold_fleet::LogHandle;

pub use configuration::ConfigurationApi;

/// Timeout of a call; callers wait 1 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Additional timeout of a call that waits until the fleet agrees on a value or revision.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(14);
/// Connections that wait in the kernel to be accepted.
const BACKLOG: u32 = 64;
/// Size limit of a body, many times that of a member's name.
const MAX_BODY_BYTES: usize = 4 << 10;
/// Pause after a failed accept, which keeps the loop from spinning.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Shortest interval between log lines about failed calls.
const ERROR_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Opens the listener. Unlike the clients' address, two processes cannot share it, because a call is meant for one of
/// them.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// The parts of the fleet that the console gives access to, where the node is configured for them.
#[derive(Clone, Default)]
pub struct FleetApi {
    pub log: Option<LogHandle>,
    pub configuration: Option<Arc<ConfigurationApi>>,
}

/// Accepts calls for as long as the node runs.
pub async fn serve(listener: TcpListener, inputs: UnboundedSender<Input>, fleet: FleetApi) {
    let mut connections: VecDeque<AbortHandle> = VecDeque::new();
    let mut error_log = ErrorLog::default();
    let (error_sender, mut errors) = tokio::sync::mpsc::channel(MAX_CONSOLE_CONNECTIONS);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.retain(|connection| !connection.is_finished());
                    if connections.len() >= MAX_CONSOLE_CONNECTIONS {
                        // Connections that stay open must not keep others out.
                        connections.pop_front().into_iter().for_each(|oldest| oldest.abort());
                    }
                    let connection = serve_connection(stream, inputs.clone(), fleet.clone(), error_sender.clone());
                    connections.push_back(tokio::spawn(connection).abort_handle());
                }
                Err(error) => {
                    warn!(%error, "console: cannot accept a connection; retrying");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(message) = errors.recv() => error_log.log(message),
        }
    }
}

/// Logs why calls failed, at a limited rate, because anyone who reaches the address can cause such errors.
#[derive(Default)]
struct ErrorLog {
    logged: Option<Instant>,
    unlogged: u64,
}

impl ErrorLog {
    fn log(&mut self, fault: String) {
        if self.logged.is_some_and(|at| at.elapsed() < ERROR_LOG_INTERVAL) {
            self.unlogged += 1;
            return;
        }
        warn!(fault, not_logged_before = std::mem::take(&mut self.unlogged), "console: call failed");
        self.logged = Some(Instant::now());
    }
}

/// Serves one call on a connection, and reports its error if it fails.
async fn serve_connection(
    stream: TcpStream, inputs: UnboundedSender<Input>, fleet: FleetApi,
    errors: tokio::sync::mpsc::Sender<String>,
) {
    let service = service_fn(|request| {
        let (inputs, fleet, errors) = (inputs.clone(), fleet.clone(), errors.clone());
        async move {
            let answer = answer(request, &inputs, fleet).await.unwrap_or_else(|error| {
                let _ = errors.try_send(error.message.clone()); // a full channel has enough errors to log
                error.into_response()
            });
            Ok::<_, Infallible>(answer)
        }
    });
    if stream.set_nodelay(true).is_err() {
        return; // setting an option fails only on a closed connection
    }
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .header_read_timeout(CALL_TIMEOUT)
        .max_buf_size(8 << 10)
        .serve_connection(TokioIo::new(FairStream::new(SharedStream::new(stream))), service);
    // Errors of the connection concern the caller only. The timeout covers a caller that never reads the answer.
    let _ = timeout(CALL_TIMEOUT + COMMIT_TIMEOUT, connection).await;
}

/// An HTTP error with a message for the operator.
struct ErrorResponse {
    status: StatusCode,
    message: String,
    allow: Option<&'static str>,
}

impl ErrorResponse {
    fn new(status: StatusCode, message: impl Into<String>) -> Self {
        ErrorResponse { status, message: message.into(), allow: None }
    }

    fn into_response(self) -> Response<Full<Bytes>> {
        let mut response = text(self.status, format!("{}\n", self.message));
        if let Some(allow) = self.allow {
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
        }
        response
    }
}

fn text(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

/// Body of a maintenance call.
#[derive(Deserialize)]
struct MaintenanceRequest {
    member: String,
}

/// Answers a call by the driver or the fleet.
async fn answer(
    request: Request<Incoming>, inputs: &UnboundedSender<Input>, fleet: FleetApi,
) -> Result<Response<Full<Bytes>>, ErrorResponse> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let allowed = match path {
        "/status" | "/status/metrics" | "/fleet/members" | configuration::DOCUMENT_PATH => "GET, HEAD",
        "/maintenance/enter"
        | "/maintenance/exit"
        | "/standby"
        | "/active"
        | configuration::ROLLBACK_PATH => "POST",
        "/fleet/log" | configuration::PATH => "GET, HEAD, POST",
        _ => return Err(ErrorResponse::new(StatusCode::NOT_FOUND, format!("unknown path: {path:.100}"))),
    };
    if !allowed.split(", ").any(|method| method == head.method.as_str()) {
        let message = format!("{path}: method {:.20} is not allowed, use {allowed}", head.method.as_str());
        let error = ErrorResponse::new(StatusCode::METHOD_NOT_ALLOWED, message);
        return Err(ErrorResponse { allow: Some(allowed), ..error });
    }
    if path == "/fleet/log" {
        return self::log::answer(head.method, body, fleet.log).await;
    }
    if path.starts_with(configuration::PATH) {
        return configuration::answer(path, head.method, body, fleet.configuration).await;
    }
    let call = match path {
        "/status" => ConsoleCommand::Status,
        "/status/metrics" => ConsoleCommand::Metrics,
        "/fleet/members" => ConsoleCommand::Members,
        "/standby" => ConsoleCommand::Standby(true),
        "/active" => ConsoleCommand::Standby(false),
        _ => ConsoleCommand::Maintenance { member: member(path, body).await?, out: path.ends_with("/enter") },
    };
    if head.method == Method::POST {
        info!(?call, "console call");
    }
    let (said, answer) = oneshot::channel();
    let stopping = || ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "the node is stopping");
    inputs.send(Input::Console { command: call, reply: said }).map_err(|_| stopping())?;
    match answer.await.map_err(|_| stopping())? {
        ConsoleReply::Ok(words) => Ok(text(StatusCode::OK, words)),
        ConsoleReply::Unavailable(why) => Err(ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, why)),
        ConsoleReply::Conflict(why) => Err(ErrorResponse::new(StatusCode::CONFLICT, why)),
        ConsoleReply::NotFound(why) => Err(ErrorResponse::new(StatusCode::NOT_FOUND, why)),
    }
}

/// Reads the member that a call's body names.
async fn member(path: &str, body: Incoming) -> Result<String, ErrorResponse> {
    let request: MaintenanceRequest = read_json(path, body).await?;
    Ok(request.member)
}

/// Reads a call's body as JSON.
async fn read_json<T: serde::de::DeserializeOwned>(path: &str, body: Incoming) -> Result<T, ErrorResponse> {
    let body = read_body(path, body, MAX_BODY_BYTES).await?;
    let invalid = |error| ErrorResponse::new(StatusCode::BAD_REQUEST, format!("{path}: body: {error}"));
    serde_json::from_slice(&body).map_err(invalid)
}

/// Reads a call's body of at most `max_bytes`.
async fn read_body(path: &str, body: Incoming, max_bytes: usize) -> Result<Bytes, ErrorResponse> {
    let error_response = |status, message: String| ErrorResponse::new(status, format!("{path}: {message}"));
    match timeout(CALL_TIMEOUT, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(error_response(StatusCode::PAYLOAD_TOO_LARGE, format!("body over {max_bytes} bytes")))
        }
        Ok(Err(error)) => Err(error_response(StatusCode::BAD_REQUEST, format!("body: {error}"))),
        Err(_) => {
            Err(error_response(StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time".to_owned()))
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/console_configuration.rs"]
mod configuration_calls;
