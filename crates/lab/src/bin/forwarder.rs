//! A minimal forwarder on the same libraries as the node. It sends requests round-robin to the servers of its
//! configuration and makes no decisions. The lab compares a node's processor time with it; it is not part of the
//! product.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};

struct Forwarder {
    servers: Vec<SocketAddr>,
    /// Idle connections, by server.
    idle: Vec<Mutex<Vec<SendRequest<Full<Bytes>>>>>,
    next_server: AtomicUsize,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("forwarder: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|error| error.to_string())?;
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    let config: Value = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    let address = |value: &Value| value.as_str().and_then(|text| text.parse::<SocketAddr>().ok());
    let listen = address(&config["listen"]).ok_or("listen is missing or is not a socket address")?;
    let endpoints =
        config["known"]["endpoints"].as_array().ok_or("known.endpoints is missing or is not a list")?;
    let servers: Vec<SocketAddr> =
        endpoints.iter().filter_map(|endpoint| address(&endpoint["address"])).collect();
    let idle = servers.iter().map(|_| Mutex::default()).collect();
    let forwarder = Arc::new(Forwarder { servers, idle, next_server: AtomicUsize::new(0) });
    let listener = TcpListener::bind(listen).await.map_err(|error| error.to_string())?;
    let mut sigterm = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                let forwarder = forwarder.clone();
                let service = service_fn(move |request| forwarder.clone().forward(request));
                let connection =
                    hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(async move { connection.await.unwrap_or(()) });
            }
            _ = sigterm.recv() => return Ok(()),
        }
    }
}

impl Forwarder {
    async fn forward(
        self: Arc<Self>, request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        if request.uri().path() == "/health/ready" {
            return Ok(Response::default());
        }
        let answered = self.attempt(request).await;
        Ok(answered.unwrap_or_else(|| {
            let mut failed = Response::default();
            *failed.status_mut() = StatusCode::BAD_GATEWAY;
            failed
        }))
    }

    async fn attempt(&self, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        let (head, body) = request.into_parts();
        let request = Request::from_parts(head, Full::new(body.collect().await.ok()?.to_bytes()));
        let server = self.next_server.fetch_add(1, Ordering::Relaxed) % self.servers.len().max(1);
        let idle = || self.idle[server].lock().unwrap_or_else(PoisonError::into_inner);
        let reusable = idle().pop().filter(SendRequest::is_ready);
        let mut sender = match reusable {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(self.servers[server]).await.ok()?;
                stream.set_nodelay(true).ok()?;
                let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
                tokio::spawn(async move { connection.await.unwrap_or(()) });
                sender
            }
        };
        let (head, body) = sender.send_request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        idle().push(sender);
        Some(Response::from_parts(head, Full::new(body)))
    }
}
