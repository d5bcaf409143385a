//! The operators' listener: one call a connection, handed to the driver and answered from its state.

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
use crate::input::{ConsoleCommand, ConsoleReply, Input};
use crate::stream::SharedStream;
use merlinfold_fleet::LogHandle;

pub use configuration::ConfigurationApi;

const CALL_TIMEOUT: Duration = Duration::from_secs(3); // for a whole call: callers wait 1 s
const COMMIT_TIMEOUT: Duration = Duration::from_secs(14); // for one that waits until something is agreed
const BACKLOG: u32 = 64; // callers that the kernel holds until they are accepted
const MAX_BODY_BYTES: usize = 4 << 10; // bytes: a member's name fits many times over
const ACCEPT_PAUSE: Duration = Duration::from_millis(10); // after a failed accept, so as not to spin
const ERROR_LOG_INTERVAL: Duration = Duration::from_secs(1); // between log lines on calls that were no good

/// Opens the listener. Unlike the clients' address no two processes share it: a call is meant for one of them.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// What of the fleet operators may call, as far as the node has it.
#[derive(Clone, Default)]
pub struct FleetApi {
    pub log: Option<LogHandle>,
    pub configuration: Option<Arc<ConfigurationApi>>,
}

/// Takes calls for as long as the node runs.
pub async fn serve(listener: TcpListener, inputs: UnboundedSender<Input>, fleet: FleetApi) {
    let mut callers: VecDeque<AbortHandle> = VecDeque::new();
    let mut faults = ErrorLog::default();
    let (tell, mut told) = tokio::sync::mpsc::channel(MAX_CONSOLE_CONNECTIONS);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    callers.retain(|caller| !caller.is_finished());
                    if callers.len() >= MAX_CONSOLE_CONNECTIONS {
                        // Those who sit there keep nobody out.
                        callers.pop_front().into_iter().for_each(|oldest| oldest.abort());
                    }
                    callers.push_back(tokio::spawn(caller(stream, inputs.clone(), fleet.clone(), tell.clone())).abort_handle());
                }
                Err(error) => {
                    warn!(%error, "console: accept");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(fault) = told.recv() => faults.log(fault),
        }
    }
}

/// Names what was wrong with calls, at most once in a while: anyone who reaches the address drives them.
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
        warn!(fault, not_logged_before = std::mem::take(&mut self.unlogged), "console: call not carried out");
        self.logged = Some(Instant::now());
    }
}

async fn caller(
    stream: TcpStream, inputs: UnboundedSender<Input>, fleet: FleetApi,
    faults: tokio::sync::mpsc::Sender<String>,
) {
    let service = service_fn(|request| {
        let (inputs, fleet, faults) = (inputs.clone(), fleet.clone(), faults.clone());
        async move {
            let answer = answer(request, &inputs, fleet).await.unwrap_or_else(|refusal| {
                let _ = faults.try_send(refusal.fault.clone()); // a full channel says enough by what is in it
                refusal.into_response()
            });
            Ok::<_, Infallible>(answer)
        }
    });
    if stream.set_nodelay(true).is_err() {
        return; // a stream that takes no option has ended already
    }
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .header_read_timeout(CALL_TIMEOUT)
        .max_buf_size(8 << 10)
        .serve_connection(TokioIo::new(SharedStream::new(stream)), service);
    // Who calls and how it ends for them is their business; the limit covers a caller who never reads.
    let _ = timeout(CALL_TIMEOUT + COMMIT_TIMEOUT, connection).await;
}

/// A no, and why.
struct ErrorResponse {
    status: StatusCode,
    fault: String,
    allow: Option<&'static str>,
}

impl ErrorResponse {
    fn new(status: StatusCode, fault: impl Into<String>) -> Self {
        ErrorResponse { status, fault: fault.into(), allow: None }
    }

    fn into_response(self) -> Response<Full<Bytes>> {
        let mut response = text(self.status, format!("{}\n", self.fault));
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

#[derive(Deserialize)]
struct Member {
    member: String,
}

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
        _ => return Err(ErrorResponse::new(StatusCode::NOT_FOUND, format!("no such call: {path:.100}"))),
    };
    if !allowed.split(", ").any(|method| method == head.method.as_str()) {
        let fault = format!("{path} takes {allowed}, not {:.20}", head.method.as_str());
        let refusal = ErrorResponse::new(StatusCode::METHOD_NOT_ALLOWED, fault);
        return Err(ErrorResponse { allow: Some(allowed), ..refusal });
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
        info!(?call, "console");
    }
    let (said, answer) = oneshot::channel();
    let gone = || ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "the node ends");
    inputs.send(Input::Console { command: call, reply: said }).map_err(|_| gone())?;
    match answer.await.map_err(|_| gone())? {
        ConsoleReply::Ok(words) => Ok(text(StatusCode::OK, words)),
        ConsoleReply::Unavailable(why) => Err(ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, why)),
        ConsoleReply::Conflict(why) => Err(ErrorResponse::new(StatusCode::CONFLICT, why)),
        ConsoleReply::NotFound(why) => Err(ErrorResponse::new(StatusCode::NOT_FOUND, why)),
    }
}

/// The member that a call's body names.
async fn member(path: &str, body: Incoming) -> Result<String, ErrorResponse> {
    let member: Member = read_json(path, body).await?;
    Ok(member.member)
}

/// What a call's body says.
async fn read_json<T: serde::de::DeserializeOwned>(path: &str, body: Incoming) -> Result<T, ErrorResponse> {
    let body = read_body(path, body, MAX_BODY_BYTES).await?;
    let fault = |error| ErrorResponse::new(StatusCode::BAD_REQUEST, format!("{path}: body: {error}"));
    serde_json::from_slice(&body).map_err(fault)
}

/// A call's body, of so many bytes at most.
async fn read_body(path: &str, body: Incoming, most: usize) -> Result<Bytes, ErrorResponse> {
    let fault = |status, what: String| ErrorResponse::new(status, format!("{path}: {what}"));
    match timeout(CALL_TIMEOUT, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(fault(StatusCode::PAYLOAD_TOO_LARGE, format!("body over {most} bytes")))
        }
        Ok(Err(error)) => Err(fault(StatusCode::BAD_REQUEST, format!("body: {error}"))),
        Err(_) => Err(fault(StatusCode::REQUEST_TIMEOUT, "body not whole in time".to_owned())),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/console_configuration.rs"]
mod configuration_calls;
