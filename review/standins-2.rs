//! Stand-ins and cases of the second review: discovery, guide servers and clients as the protocol page describes them,
//! and one function for each case. Standard library alone, one thread for each peer, loopback addresses only.
//!
//! Each case, `N/case.rs`, is a program of its own around this module.

#![allow(dead_code)] // no case uses all of it

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Runs a case and ends the process: 0, the rule held; 1, it was broken; 2, the case could not run. The case is told
/// whether the disruption is wanted, and returns what broke the rule.
pub fn play(case: fn(bool, &Arc<Record>) -> Result<Vec<String>, String>) {
    let Some(folder) = std::env::args().nth(1) else {
        eprintln!("usage: CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(Path::new(&folder));
    let code = match case(trouble, &record) {
        Ok(broken) if broken.is_empty() => {
            record.line("VERDICT: the rule held");
            0
        }
        Ok(broken) => {
            for line in &broken {
                record.line(&format!("BROKEN {line}"));
            }
            record.line(&format!("VERDICT: the rule was broken {} times", broken.len()));
            1
        }
        Err(error) => {
            record.line(&format!("VERDICT: could not run: {error}"));
            2
        }
    };
    record.flush();
    println!("{}", record.last());
    std::process::exit(code);
}

/// What was sent, answered and run: `record.txt`.
pub struct Record {
    started: Instant,
    lines: Mutex<(io::BufWriter<fs::File>, String)>,
}

impl Record {
    fn new(folder: &Path) -> Arc<Self> {
        let file = fs::File::create(folder.join("record.txt")).unwrap_or_else(|error| {
            eprintln!("record.txt: {error}");
            std::process::exit(2)
        });
        Arc::new(Record {
            started: Instant::now(),
            lines: Mutex::new((io::BufWriter::new(file), String::new())),
        })
    }

    pub fn line(&self, text: &str) {
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines.0, "{:9.1} {text}", self.started.elapsed().as_secs_f64() * 1e3);
        lines.1 = text.to_owned();
    }

    fn last(&self) -> String {
        self.lines.lock().unwrap().1.clone()
    }

    fn flush(&self) {
        let _ = self.lines.lock().unwrap().0.flush();
    }
}

/// Random numbers from a fixed seed.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 11) % bound
    }
}

static NEXT_TXN: AtomicU64 = AtomicU64::new(1);

/// A fresh id, as clients draw one for every request.
pub fn fresh_txn() -> String {
    format!("{:016x}", NEXT_TXN.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// One message of HTTP: its first line, its fields in lower case, and its body.
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read beyond the last message.
pub struct Wire {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Wire { stream, ahead: Vec::new() }
    }

    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        Ok(Wire::new(TcpStream::connect_timeout(&to, Duration::from_secs(1))?))
    }

    fn more(&mut self) -> io::Result<()> {
        let mut piece = [0; 65_536];
        loop {
            match self.stream.read(&mut piece) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    self.ahead.extend_from_slice(&piece[..count]);
                    return Ok(());
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.more()?;
        }
    }

    fn exactly(&mut self, count: usize, keep: bool) -> io::Result<Vec<u8>> {
        if keep {
            while self.ahead.len() < count {
                self.more()?;
            }
            return Ok(self.ahead.drain(..count).collect());
        }
        let mut left = count;
        loop {
            let taken = left.min(self.ahead.len());
            self.ahead.drain(..taken);
            left -= taken;
            if left == 0 {
                return Ok(Vec::new());
            }
            self.more()?;
        }
    }

    /// Reads the head of a message. `Ok(None)`: the peer has closed between two messages.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let first_line = match self.line() {
            Ok(line) => line,
            Err(error) if error.kind() == ErrorKind::UnexpectedEof && self.ahead.is_empty() => {
                return Ok(None)
            }
            Err(error) => return Err(error),
        };
        let mut fields = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Some(Message { first_line, fields, body: Vec::new() }));
            }
            if let Some((key, value)) = line.split_once(':') {
                fields.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body behind a head; `keep` is whether its bytes are wanted.
    pub fn read_body(&mut self, message: &mut Message, keep: bool) -> io::Result<()> {
        if message.field("transfer-encoding").is_some() {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
                let piece = self.exactly(size, keep)?;
                message.body.extend(piece);
                self.line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = message.field("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        message.body = self.exactly(length, keep)?;
        Ok(())
    }

    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message, true)?;
        Ok(Some(message))
    }

    /// Drops what was read beyond the last head; returns how many bytes that was.
    pub fn take_ahead(&mut self) -> usize {
        std::mem::take(&mut self.ahead).len()
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// One guide server as discovery lists it.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub status: &'static str,
    pub since_ms: u64,
}

/// Discovery: the whole list, and watches on changes.
pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<(u64, Vec<(u64, Entry)>)>, // version, and each entry with the version of its last change
    changed: Condvar,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let entries = entries.into_iter().map(|entry| (1, entry)).collect();
        let discovery = Arc::new(Discovery {
            address: listener.local_addr()?,
            state: Mutex::new((1, entries)),
            changed: Condvar::new(),
        });
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(Wire::new(stream)));
            }
        });
        Ok(discovery)
    }

    /// Changes the entry of one guide server.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Entry)) {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        let version = state.0;
        if let Some((at, entry)) = state.1.iter_mut().find(|(_, entry)| entry.name == name) {
            *at = version;
            change(entry);
        }
        self.changed.notify_all();
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(request)) = wire.read_message() {
            let query = request.path().split_once('?').map_or("", |(_, query)| query).to_owned();
            let number = |name: &str| {
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name))
                    .and_then(|text| text.parse::<u64>().ok())
            };
            let since = number("index=");
            let until = Instant::now() + Duration::from_millis(number("wait=").unwrap_or(0).min(60_000));
            let mut state = self.state.lock().unwrap();
            while since.is_some_and(|since| since >= state.0) && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                state = self.changed.wait_timeout(state, left).unwrap().0;
            }
            let text = list_text(state.0, &state.1, since);
            drop(state);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            if wire.write(format!("{head}{text}").as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn list_text(version: u64, entries: &[(u64, Entry)], since: Option<u64>) -> String {
    let lines: Vec<String> = entries
        .iter()
        .filter(|(at, entry)| since.map_or(entry.status != "terminated", |since| *at > since))
        .map(|(_, entry)| {
            format!(
                r#"{{"name":"{}","address":"{}","zone":"a","type":"m","group":0,"status":"{}","weight":1.0,"since_ms":{}}}"#,
                entry.name, entry.address, entry.status, entry.since_ms
            )
        })
        .collect();
    format!(r#"{{"index":{version},"snapshot":{},"endpoints":[{}]}}"#, since.is_none(), lines.join(","))
}

/// What a guide server has run: each start of work, by id.
#[derive(Default)]
pub struct Runs(Mutex<HashMap<String, Vec<String>>>);

impl Runs {
    pub fn add(&self, txn: &str, server: &str) {
        self.0.lock().unwrap().entry(txn.to_owned()).or_default().push(server.to_owned());
    }

    pub fn of(&self, txn: &str) -> Vec<String> {
        self.0.lock().unwrap().get(txn).cloned().unwrap_or_default()
    }

    pub fn count(&self) -> usize {
        self.0.lock().unwrap().len()
    }
}

/// How a guide server answers a request whose last byte has arrived. Returns whether the connection goes on.
pub type Answer = dyn Fn(&str, &Message, &mut Wire) -> bool + Send + Sync;

/// Starts a guide server. Work begins with the last byte of a request, as the protocol says.
pub fn start_server(
    name: &str, runs: Arc<Runs>, record: Arc<Record>, answer: Arc<Answer>,
) -> io::Result<Entry> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (entry_name, name) = (name.to_owned(), name.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, runs, record, answer) = (name.clone(), runs.clone(), record.clone(), answer.clone());
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                loop {
                    let Ok(Some(mut request)) = wire.read_head() else { return };
                    let txn = request.field("x-txn").unwrap_or("").to_owned();
                    if let Err(error) = wire.read_body(&mut request, false) {
                        record.line(&format!(
                            "server {name}: {txn} broke off before its last byte ({})",
                            error.kind()
                        ));
                        return;
                    }
                    runs.add(&txn, &name);
                    record.line(&format!("server {name}: has the last byte of {txn} {}", request.first_line));
                    if !answer(&name, &request, &mut wire) {
                        return;
                    }
                }
            });
        }
    });
    Ok(Entry { name: entry_name, address, status: "in_service", since_ms: 0 })
}

/// Settings as in the example of the wire page, for classes of the given names: `once` runs once, the others may repeat.
pub struct Site {
    pub memory_mb: u64,
    pub sockets: u64,
    pub give_up_ms: u64,
    pub discovery_mode: &'static str,
}

impl Default for Site {
    fn default() -> Self {
        Site { memory_mb: 48, sockets: 384, give_up_ms: 750, discovery_mode: "ask" }
    }
}

/// One node of the program, started with the command of the deploy file.
pub struct Node {
    pub address: SocketAddr,
    pub console: SocketAddr,
    child: Child,
    folder: PathBuf,
}

pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The command of a key of the deploy file.
fn deploy_command(key: &str) -> Option<String> {
    let text = fs::read_to_string("deploy/balancer.toml").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='))?;
    Some(line.trim().trim_matches('"').to_owned())
}

/// An empty folder of its own.
pub fn temporary_folder() -> io::Result<PathBuf> {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("review-2-{}-{number}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// The configuration of a node, as the deployment page shows it.
pub fn config_text(
    site: &Site, listen: SocketAddr, console: SocketAddr, discovery: SocketAddr, known: &[Entry],
) -> String {
    let give_up = site.give_up_ms * 1_000_000;
    let class = |name: &str, semantics: &str, worth: f64| {
        format!(
            r#"{{"Aim":300000000,"GiveUp":{give_up},"Group":"all","KeyTtl":5000000000,"LateValue":0.5,"Name":"{name}","Semantics":"{semantics}","Stream":false,"Worth":{worth}}}"#
        )
    };
    let known: Vec<(u64, Entry)> = known.iter().map(|entry| (1, entry.clone())).collect();
    let mut text = String::new();
    let _ = write!(
        text,
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","console":"{console}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{{"Balancers":1,"Categories":[{},{}],"ClientHabits":{{"MarksRetry":false}},"Discovery":"{}","Family":"proxy","FamilyInfo":{{"WarmKeys":false}},"HostTypes":["m"],"Limits":{{"Cancelling":true,"ConnIdle":30000000000,"ConnectTimeout":120000000,"CpuUsPerS":15000,"MaxAttempts":3,"MaxRetryAfter":400000000,"MaxStreams":1,"MayDuplicate":true,"MayTell":false,"OpenCap":20000,"Probes":true,"RetryAfter":true}},"Locality":"a","Me":0,"Obligations":{{"AskWithin":10000000000,"ColdShare":0.15,"FallMultiple":4.0,"GraceToAnswer":20000000,"RampTime":23000000000,"StopSendingWithin":250000000,"TipAfter":2000000000}},"OverShareWorth":0.2,"Period":5000000,"Tenants":[{{"Fraction":1.0,"Name":"harbour-museum","QuotaPerS":2000.0}}],"Tier":0,"WeightSource":"nominal","Zones":["a"]}}}}"#,
        site.memory_mb,
        site.sockets,
        list_text(1, &known, None),
        class("track-fetch", "repeatable", 2.0),
        class("tour-redeem", "once", 8.0),
        site.discovery_mode,
    );
    text
}

impl Node {
    /// Starts a node and waits until it is ready.
    pub fn start(site: &Site, discovery: SocketAddr, known: &[Entry]) -> Result<Node, String> {
        let text = |error: io::Error| error.to_string();
        let (listen, console) = (free_address().map_err(text)?, free_address().map_err(text)?);
        let folder = temporary_folder().map_err(text)?;
        let mut node = Node::launch(site, listen, console, discovery, known, folder).map_err(text)?;
        node.wait_until_ready()?;
        Ok(node)
    }

    /// Starts the program of a node at these addresses, with its own files in this folder.
    pub fn launch(
        site: &Site, listen: SocketAddr, console: SocketAddr, discovery: SocketAddr, known: &[Entry],
        folder: PathBuf,
    ) -> io::Result<Node> {
        let run = deploy_command("run")
            .ok_or_else(|| io::Error::other("no run command in deploy/balancer.toml"))?;
        let config = folder.join(format!("config-{}.json", console.port()));
        fs::write(&config, config_text(site, listen, console, discovery, known))?;
        let (shared, log) =
            (folder.join("tmp"), fs::File::create(folder.join(format!("log-{}.txt", console.port())))?);
        fs::create_dir_all(&shared)?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run)
            .env("BALANCER_NAME", "n1")
            .env("BALANCER_LISTEN", listen.to_string())
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_CONSOLE", console.to_string())
            .env("BALANCER_CONFIG", &config)
            .env("TMPDIR", &shared)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Node { address: listen, console, child, folder })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn folder(&self) -> PathBuf {
        self.folder.clone()
    }

    fn wait_until_ready(&mut self) -> Result<(), String> {
        for _ in 0..200 {
            if get(self.address, "/health/ready").is_ok_and(|status| status == 200) {
                return Ok(());
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!("the node ended at its start: {status}; {}", self.log()));
            }
            sleep(Duration::from_millis(50));
        }
        Err(format!("the node was not ready in 10 s; {}", self.log()))
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.pid().to_string())
            .stderr(Stdio::null())
            .status();
        let _ = kill; // the process may have ended
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join(format!("log-{}.txt", self.console.port()))).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Status of a GET on a connection of its own.
pub fn get(to: SocketAddr, path: &str) -> io::Result<u16> {
    call(to, "GET", path, "")
}

/// Status of one call on a connection of its own.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<u16> {
    let mut wire = Wire::connect(to)?;
    wire.stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let head = format!("{method} {path} HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    wire.write(head.as_bytes())?;
    Ok(wire.read_message()?.map_or(0, |answer| answer.status()))
}

/// The head of a client's request.
pub fn request_head(class: &str, txn: &str, remaining_ms: u64, length: usize) -> String {
    let (method, length) = match class {
        "track-fetch" => ("GET", String::new()),
        _ => ("POST", format!("Content-Length: {length}\r\n")),
    };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Lane: {class}\r\nX-Org: harbour-museum\r\nX-Remaining-Ms: {remaining_ms}\r\n{length}\r\n"
    )
}

/// An answer of a guide server.
pub fn answer_text(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Ends the threads of clients.
#[derive(Default)]
pub struct Stop(AtomicBool);

impl Stop {
    pub fn now(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Closes both ways.
pub fn close(wire: &Wire) {
    let _ = wire.stream.shutdown(Shutdown::Both);
}

/// A slow link between clients and a node: on each connection, every `length` bytes of the client are held up once, for
/// `stall_ms` (least, most) milliseconds, as soon as between a quarter and three quarters of them have passed. Nothing
/// passes in the other direction meanwhile. Without `stalls` it passes everything on at once.
pub fn start_slow_link(
    to: SocketAddr, length: usize, stall_ms: (u64, u64), stalls: bool,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for (number, client) in listener.incoming().flatten().enumerate() {
            thread::spawn(move || {
                let Ok(node) = TcpStream::connect(to) else { return };
                let _ = (client.set_nodelay(true), node.set_nodelay(true));
                let (Ok(client_out), Ok(node_in)) = (client.try_clone(), node.try_clone()) else { return };
                let silent_until = Arc::new(Mutex::new(Instant::now()));
                let silence = silent_until.clone();
                thread::spawn(move || pass_on(node_in, client_out, |_| wait_until(*silence.lock().unwrap())));
                let mut rng = Rng::new(1_000 + number as u64);
                let (mut passed, mut begun) = (0, 0);
                let mut next_stall = length / 4 + rng.below(length as u64 / 2) as usize;
                pass_on(client, node, |count| {
                    passed += count;
                    if stalls && passed >= next_stall {
                        let stall = Duration::from_millis(stall_ms.0 + rng.below(stall_ms.1 - stall_ms.0));
                        begun += length;
                        next_stall = begun + length / 4 + rng.below(length as u64 / 2) as usize;
                        *silent_until.lock().unwrap() = Instant::now() + stall;
                        sleep(stall);
                    }
                });
            });
        }
    });
    Ok(address)
}

fn wait_until(time: Instant) {
    sleep(time.saturating_duration_since(Instant::now()));
}

/// Passes bytes on until one side ends. `before` is called with the count of bytes that are about to be passed.
fn pass_on(mut from: TcpStream, mut to: TcpStream, mut before: impl FnMut(usize)) {
    let mut piece = [0; 16_384];
    while let Ok(count) = from.read(&mut piece) {
        before(count);
        if count == 0 || to.write_all(&piece[..count]).is_err() {
            break;
        }
    }
    // The end of one direction is passed on; the other goes on by itself.
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
