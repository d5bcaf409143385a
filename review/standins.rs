//! Stand-ins for the review's cases: clients, guide servers, discovery and the platform, on loopback addresses.
//! Standard library only. They behave as the protocol and deployment pages say unless a case tells one otherwise.
#![allow(dead_code)] // each case uses a part of this file

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const COULD_NOT_RUN: i32 = 2;

/// Writes what was sent, answered and run to `record.txt` in the case's folder.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }

    /// Milliseconds since the start of the record.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:10.1} ms  {text}\n", self.now());
        self.file.lock().unwrap().write_all(line.as_bytes()).expect("record.txt can be written");
    }
}

/// Whether the case plays its disruption: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The root of the project and the folder of the case, as the case's script gives them.
pub fn paths() -> (PathBuf, PathBuf) {
    let mut given = std::env::args_os().skip(1).map(PathBuf::from);
    (given.next().expect("the root of the project"), given.next().expect("the folder of the case"))
}

/// A small generator of random numbers with a fixed seed, so that runs differ by the machine's timing alone.
pub struct Random(pub u64);

impl Random {
    /// The next number, below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// A free loopback port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// A fresh id for a request: 16 lower-case hexadecimal digits.
pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// The head of an HTTP message; header names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection that reads HTTP messages.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        TcpStream::connect(to).map(Wire::new)
    }

    pub fn timeout(&self, after: Duration) {
        let _ = self.stream.set_read_timeout(Some(after));
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Takes the bytes that were read behind the last message; returns how many.
    pub fn buffered(&mut self) -> usize {
        std::mem::take(&mut self.buffer).len()
    }

    /// Reads more bytes into the buffer; returns how many.
    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 << 10];
        loop {
            match self.stream.read(&mut piece) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
                Ok(length) => {
                    self.buffer.extend_from_slice(&piece[..length]);
                    return Ok(length);
                }
            }
        }
    }

    /// Reads the next head; `None` at a clean end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { start, headers }));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads exactly `length` bytes.
    pub fn bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a line without its end.
    fn text_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that belongs to this head.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.bytes(head.length());
        }
        let mut body = Vec::new();
        loop {
            let size = self.text_line()?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.text_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.bytes(size)?);
            self.text_line()?;
        }
    }

    /// Reads a whole answer.
    pub fn answer(&mut self) -> io::Result<(Head, Vec<u8>)> {
        let head = self.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = self.body(&head)?;
        Ok((head, body))
    }
}

/// An answer with a body of known length.
pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut text =
        format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    text.extend_from_slice(body);
    text
}

/// A request of a class, as the protocol page words it. `body` is empty for a class that is safe to repeat.
pub fn request(class: &str, id: &str, remaining_ms: u64, body: &[u8]) -> Vec<u8> {
    let method = if class == "track-fetch" { "GET" } else { "POST" };
    let length = if method == "POST" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    let mut text = format!(
        "{method} /{class}?sid=7f3a HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: {class}\r\n\
         X-Org: harbour-museum\r\nX-Remaining-Ms: {remaining_ms}\r\n{length}\r\n"
    )
    .into_bytes();
    text.extend_from_slice(body);
    text
}

/// A guide server, or another listener: each connection has a thread that runs the behaviour.
pub struct Listener {
    pub address: SocketAddr,
}

impl Listener {
    pub fn start(behaviour: impl Fn(Wire) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let behaviour = Arc::new(behaviour);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let behaviour = behaviour.clone();
                thread::spawn(move || behaviour(Wire::new(stream)));
            }
        });
        Listener { address }
    }
}

/// Version of the list that discovery has.
const VERSION: u64 = 1;

/// What discovery lists.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
}

impl Entry {
    pub fn new(name: &str, address: SocketAddr) -> Self {
        Entry { name: name.to_owned(), address }
    }

    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"dc-bellville\",\"type\":\"standard\",\"group\":0,\
             \"status\":\"in_service\",\"weight\":1.0,\"since_ms\":0}}",
            self.name, self.address
        )
    }
}

pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let lines: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}", lines.join(","))
}

/// A sound discovery: the whole list, and watches, on which nothing changes.
pub struct Discovery {
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Self {
        let listener = Listener::start(move |mut wire| {
            while let Ok(Some(head)) = wire.head() {
                let parameter = |name: &str| {
                    let (_, query) = head.target().split_once('?')?;
                    let pair = query.split('&').find_map(|pair| pair.strip_prefix(name))?;
                    pair.strip_prefix('=')?.parse::<u64>().ok()
                };
                let body = match parameter("index") {
                    Some(index) if index >= VERSION => {
                        thread::sleep(Duration::from_millis(parameter("wait").unwrap_or(0)));
                        list_json(VERSION, false, &[])
                    }
                    _ => list_json(VERSION, true, &entries),
                };
                if wire.send(&answer(200, "Content-Type: application/json\r\n", body.as_bytes())).is_err() {
                    return;
                }
            }
        });
        Discovery { address: listener.address }
    }
}

/// Nanoseconds in a millisecond.
const MS: u64 = 1_000_000;

/// The settings of a small deployment: one node, the classes, limits and obligations of cpt-guides.
pub fn settings() -> String {
    let class = |name: &str, semantics: &str, aim_ms: u64, give_up_ms: u64, worth: f64| {
        format!(
            "{{\"Name\":\"{name}\",\"Semantics\":\"{semantics}\",\"Group\":\"all\",\"KeyTtl\":{},\"Aim\":{},\"GiveUp\":{},\
             \"Worth\":{worth},\"LateValue\":0.0,\"Stream\":false}}",
            5_000 * MS,
            aim_ms * MS,
            give_up_ms * MS
        )
    };
    let tenant = |name: &str, share: f64, quota: f64| {
        format!("{{\"Name\":\"{name}\",\"Fraction\":{share},\"QuotaPerS\":{quota}}}")
    };
    let limits = format!(
        "{{\"ConnIdle\":{},\"ConnectTimeout\":{},\"MaxAttempts\":3,\"MayDuplicate\":true,\"Cancelling\":true,\
         \"Probes\":true,\"MayTell\":false,\"RetryAfter\":true,\"MaxRetryAfter\":{},\"MaxStreams\":1,\"OpenCap\":20000,\
         \"CpuUsPerS\":15000,\"CpuUsPerRequest\":0.0}}",
        30_000 * MS,
        120 * MS,
        400 * MS
    );
    let obligations = format!(
        "{{\"GraceToAnswer\":{},\"StopSendingWithin\":{},\"AskWithin\":{},\"ColdShare\":0.15,\"RampTime\":{},\
         \"FallMultiple\":4.0,\"TipAfter\":{}}}",
        20 * MS,
        250 * MS,
        10_000 * MS,
        23_000 * MS,
        2_000 * MS
    );
    let prices =
        "{\"CrossZone\":0.0086,\"Handshake\":0.12,\"LateFail\":0.021,\"Probe\":0.013,\"Waste\":0.045}";
    let fields = [
        ("Balancers", "1".to_owned()),
        ("Me", "0".to_owned()),
        ("Tier", "0".to_owned()),
        ("Stages", "[\"guide-web\"]".to_owned()),
        ("Family", "\"proxy\"".to_owned()),
        ("Discovery", "\"ask\"".to_owned()),
        ("Zones", "[\"dc-bellville\"]".to_owned()),
        ("Locality", "\"dc-bellville\"".to_owned()),
        ("HostTypes", "[\"standard\"]".to_owned()),
        ("WeightSource", "\"nominal\"".to_owned()),
        ("ValueBy", "\"work\"".to_owned()),
        ("OverShareWorth", "0.2".to_owned()),
        ("Reporting", "{\"How\":\"silent\",\"Fields\":[]}".to_owned()),
        ("ClientHabits", "{\"MarksRetry\":false}".to_owned()),
        (
            "Categories",
            format!(
                "[{},{}]",
                class("track-fetch", "repeatable", 300, 750, 2.0),
                class("tour-redeem", "once", 250, 600, 8.0)
            ),
        ),
        (
            "Tenants",
            format!("[{},{}]", tenant("harbour-museum", 0.79, 354.0), tenant("karoo-gallery", 0.21, 94.0)),
        ),
        ("Limits", limits),
        ("Obligations", obligations),
        ("Prices", prices.to_owned()),
    ];
    let fields: Vec<String> = fields.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
    format!("{{{}}}", fields.join(","))
}

/// A folder for one run, removed at its end.
pub struct Temporary(pub PathBuf);

impl Temporary {
    pub fn new() -> Self {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
        let path = std::env::temp_dir().join(format!("merlinfold-review-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Temporary(path)
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What a node is started with, besides what every node gets.
pub struct Platform {
    pub root: PathBuf,
    pub folder: Temporary,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: Vec<Entry>,
    pub sockets: u32,
    pub memory_mb: u32,
}

impl Platform {
    pub fn new(root: &Path, discovery: &Discovery, known: Vec<Entry>) -> Self {
        Platform {
            root: root.to_owned(),
            folder: Temporary::new(),
            listen: free_address(),
            discovery: discovery.address,
            known,
            sockets: 1024,
            memory_mb: 192,
        }
    }

    /// Starts a process of the node with the `run` command of the deploy file, and waits until it is ready.
    pub fn start(&self, console: Option<SocketAddr>, log: &str) -> Option<Node> {
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"discovery\":\"{}\",{}\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            self.listen,
            self.discovery,
            console.map(|at| format!("\"console\":\"{at}\",")).unwrap_or_default(),
            self.memory_mb,
            self.sockets,
            list_json(VERSION, true, &self.known),
            settings()
        );
        let config = self.folder.0.join(format!("{log}.json"));
        std::fs::write(&config, text).ok()?;
        let shared = self.folder.0.join("tmp");
        std::fs::create_dir_all(&shared).ok()?;
        let deploy = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).ok()?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \""))?.split('"').next()?;
        let errors = File::create(self.folder.0.join(format!("{log}.log"))).ok()?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", run])
            .current_dir(&self.root)
            .env("BALANCER_NAME", "n0")
            .env("BALANCER_LISTEN", self.listen.to_string())
            .env("BALANCER_DISCOVERY", self.discovery.to_string())
            .env("BALANCER_CONFIG", &config)
            .env("TMPDIR", &shared)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors);
        if let Some(at) = console {
            command.env("BALANCER_CONSOLE", at.to_string());
        }
        let node = Node { child: command.spawn().ok()?, listen: self.listen };
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if ready(self.listen) == Some(200) {
                return Some(node);
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

/// Asks whether the node is ready; the status, or `None` without an answer.
pub fn ready(listen: SocketAddr) -> Option<u16> {
    let mut wire = Wire::connect(listen).ok()?;
    wire.timeout(Duration::from_secs(2));
    wire.send(b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n").ok()?;
    wire.answer().ok().map(|(head, _)| head.status())
}

/// A process of the node; killed when dropped.
pub struct Node {
    child: Child,
    pub listen: SocketAddr,
}

impl Node {
    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
