//! Runs a node on loopback sockets, with servers and a discovery whose answers a test sets.
#![allow(dead_code)] // each test file uses a part of this module

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Condvar, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use merlinfold_node::{Config, Node};
use serde_json::{json, Value};
use tokio::sync::oneshot;

/// Bounds every wait of a test; far longer than any event that a test waits for.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// An HTTP message as it was read. Header names are in lower case.
#[derive(Clone, Debug)]
pub struct Message {
    pub start_line: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads the next message on a connection. Returns `None` at its end.
    fn read(from: &mut impl BufRead) -> Option<Self> {
        let mut start_line = String::new();
        from.read_line(&mut start_line).ok().filter(|&length| length > 0)?;
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|&length| length > 0)?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut message = Message { start_line: start_line.trim_end().to_owned(), headers, body: Vec::new() };
        message.body.resize(message.header("content-length").map_or(0, |n| n.parse().unwrap()), 0);
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).expect("a status line").parse().expect("a status")
    }
}

/// How a server reacts to a request.
pub enum Reply {
    Write(String),
    WriteAndClose(String),
    /// Sends nothing and waits for the other side to close.
    Hang,
}

pub fn response(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}

/// An event at a server.
#[derive(Debug)]
pub enum ServerEvent {
    Connection,
    Request(Message),
    /// Either side has closed the connection.
    Closed,
}

/// A server that reports its events in order.
pub struct Server {
    pub address: SocketAddr,
    pub events: mpsc::Receiver<ServerEvent>,
}

impl Server {
    pub fn start(behaviour: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, events) = mpsc::channel();
        let behaviour = Arc::new(behaviour);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (sender, behaviour) = (sender.clone(), behaviour.clone());
                thread::spawn(move || Self::serve(stream.unwrap(), &*behaviour, &sender));
            }
        });
        Server { address, events }
    }

    fn serve(
        mut stream: TcpStream, behaviour: &dyn Fn(&Message) -> Reply, sender: &mpsc::Sender<ServerEvent>,
    ) {
        let _ = sender.send(ServerEvent::Connection);
        let mut from = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = Message::read(&mut from) {
            let _ = sender.send(ServerEvent::Request(message.clone()));
            match behaviour(&message) {
                Reply::Write(text) => stream.write_all(text.as_bytes()).unwrap(),
                Reply::WriteAndClose(text) => {
                    stream.write_all(text.as_bytes()).unwrap();
                    stream.shutdown(Shutdown::Both).unwrap();
                }
                Reply::Hang => {}
            }
        }
        let _ = sender.send(ServerEvent::Closed);
    }

    pub fn next_event(&self) -> ServerEvent {
        self.events.recv_timeout(TIMEOUT).expect("no event at the server")
    }

    pub fn next_request(&self) -> Message {
        loop {
            if let ServerEvent::Request(message) = self.next_event() {
                return message;
            }
        }
    }

    pub fn wait_for_close(&self) {
        while !matches!(self.next_event(), ServerEvent::Closed) {}
    }
}

/// A discovery whose answer the test sets. Watches wait until its version changes.
#[derive(Clone)]
pub struct Discovery(Arc<(Mutex<(u64, String)>, Condvar)>);

impl Discovery {
    pub fn start(servers: &[(&str, SocketAddr)]) -> (Self, Server) {
        let source = Discovery(Arc::new((Mutex::new((1, list(1, servers).to_string())), Condvar::new())));
        let shared = source.clone();
        let server = Server::start(move |request| {
            let (lock, changed) = &*shared.0;
            let mut parameters = request.start_line.split(['=', '&', ' ']).skip(2).step_by(2);
            let known = parameters.next().and_then(|index| index.parse().ok());
            let wait =
                parameters.next().and_then(|wait| wait.parse().ok()).map_or(TIMEOUT, Duration::from_millis);
            let state = lock.lock().unwrap();
            let wait =
                changed.wait_timeout_while(state, wait, |now| known.is_some_and(|known: u64| known >= now.0));
            let (state, waited) = wait.unwrap();
            let unchanged = json!({"index": state.0, "snapshot": false, "endpoints": []}).to_string();
            Reply::Write(response(200, "", if waited.timed_out() { &unchanged } else { &state.1 }))
        });
        (source, server)
    }

    /// Sets the version and the text of the answers from now on, usually a list.
    pub fn set_answer(&self, index: u64, text: String) {
        *self.0 .0.lock().unwrap() = (index, text);
        self.0 .1.notify_all();
    }
}

pub fn list(index: u64, servers: &[(&str, SocketAddr)]) -> Value {
    let line = |(name, address): &(&str, SocketAddr)| {
        json!({"name": name, "address": address, "zone": "a", "type": "k", "group": 0,
               "status": "in_service", "weight": 1.0, "since_ms": 0})
    };
    json!({"index": index, "snapshot": true, "endpoints": servers.iter().map(line).collect::<Vec<_>>()})
}

/// A temporary folder for one test, deleted on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("merlinfold-test-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The configuration of a node with a class `read`, whose requests are safe to repeat, and a class `pay`, whose are not.
pub fn config(discovery: SocketAddr, known: &[(&str, SocketAddr)]) -> Value {
    let class = |name, semantics| {
        json!({"Name": name, "Aim": 4_000_000_000u64, "GiveUp": 5_000_000_000u64, "Semantics": semantics,
               "Group": "all", "Worth": 1.0, "LateValue": 0.0})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": list(1, known),
        "settings": {"Balancers": 1, "Categories": [class("read", "repeatable"), class("pay", "once")],
            "Discovery": "push", "Limits": {"ConnIdle": 30_000_000_000u64, "ConnectTimeout": 1_000_000_000,
                "MaxAttempts": 1, "MaxRetryAfter": 1_500_000_000, "RetryAfter": true},
            "Locality": "a", "Me": 0, "Zones": ["a"],
            "Obligations": {"StopSendingWithin": 500_000_000, "RampTime": 1, "TipAfter": 1}}})
}

/// A node that runs in its own thread.
pub struct RunningNode {
    pub address: SocketAddr,
    console: Option<SocketAddr>,
    stop: Option<oneshot::Sender<()>>,
    thread: JoinHandle<()>,
}

impl RunningNode {
    pub fn start(config: &Value) -> Self {
        Self::start_in(None, config)
    }

    /// Starts a node that shares this folder with other processes of the same node.
    pub fn start_in(folder: Option<&Path>, config: &Value) -> Self {
        let folder = folder.map(Path::to_owned);
        let config = Config::parse(&config.to_string()).unwrap();
        let (stop, stopped) = oneshot::channel();
        let (sender, address) = mpsc::channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let node = Node::bind(config, folder.as_deref()).await.unwrap();
                sender.send((node.address().unwrap(), node.console_address())).unwrap();
                node.run(async { stopped.await.unwrap_or(()) }).await;
            });
        });
        let (address, console) = address.recv_timeout(TIMEOUT).unwrap();
        RunningNode { address, console, stop: Some(stop), thread }
    }

    /// Connects to the console.
    pub fn console_client(&self) -> Client {
        Client::connect(self.console.expect("the node has a console"))
    }

    /// Makes one call to the console and returns its response.
    pub fn call_console(&self, method: &str, path: &str, body: &str) -> Message {
        let mut client = self.console_client();
        client.write(&call(method, path, body));
        client.read().expect("an answer")
    }

    /// Waits until this metric has this value.
    pub fn wait_for(&self, name: &str, value: u64) {
        let begun = Instant::now();
        while self.metric(name) != value {
            assert!(begun.elapsed() < TIMEOUT, "metric {name} did not become {value}");
        }
    }

    /// Waits until `/status` reports that the node can serve.
    pub fn wait_until_ready(&self) {
        let begun = Instant::now();
        while self.call_console("GET", "/status", "").status() != 200 {
            assert!(begun.elapsed() < TIMEOUT, "the node did not become ready");
        }
    }

    /// Reads one metric of the node.
    pub fn metric(&self, name: &str) -> u64 {
        let response = self.call_console("GET", "/status/metrics", "");
        let text = String::from_utf8(response.body).unwrap();
        let value = |line: &str| line.strip_prefix(&format!("edge_balancer.{name}="))?.parse().ok();
        text.lines().find_map(value).unwrap_or_else(|| panic!("no {name} in {text}"))
    }

    /// Starts a node in front of these servers, with all of them in its configuration.
    pub fn in_front_of(servers: &[(&str, SocketAddr)]) -> Self {
        let (_, discovery) = Discovery::start(servers);
        Self::start(&config(discovery.address, servers))
    }

    pub fn stop(&mut self) {
        self.stop.take().expect("the node has not been stopped yet").send(()).unwrap();
    }

    /// Waits until the node has ended after a stop.
    pub fn join(self) {
        self.thread.join().unwrap();
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends one request on a new connection and returns the response.
    pub fn request(&self, class: &str) -> Message {
        self.client().request(class)
    }
}

/// A connection of a client.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(to: SocketAddr) -> Self {
        Self::on(TcpStream::connect(to).unwrap())
    }

    /// Wraps an open connection.
    pub fn on(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Client(BufReader::new(stream))
    }

    /// Sends one request on a new connection. Returns `None` if the connection ends without a response.
    pub fn try_request(to: SocketAddr, class: &str) -> Option<Message> {
        let stream = TcpStream::connect(to).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).ok()?;
        let mut client = Client(BufReader::new(stream));
        client.send(request(class, "X-Remaining-Ms: 4000\r\n", "ping").as_bytes());
        client.read()
    }

    pub fn write(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Writes the bytes; an error, as after a close by the other side, is ignored.
    pub fn send(&mut self, bytes: &[u8]) {
        let _ = self.0.get_mut().write_all(bytes);
    }

    pub fn read(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }

    pub fn request(&mut self, class: &str) -> Message {
        self.write(&request(class, "X-Remaining-Ms: 4000\r\n", "ping"));
        self.read().expect("an answer")
    }
}

/// Reads a message up to the end of its head.
pub fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n == 1) {
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

pub fn call(method: &str, path: &str, body: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Returns a transaction id that no other request of the test has.
pub fn new_transaction_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0x9b1f_03aa_5c7e_2d41);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

pub fn request(class: &str, headers: &str, body: &str) -> String {
    request_with_id(&new_transaction_id(), class, headers, body)
}

pub fn request_with_id(id: &str, class: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /{class}?sid=7f3a HTTP/1.1\r\nHost: service.internal\r\nX-Lane: {class}\r\n\
         X-Txn: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}
