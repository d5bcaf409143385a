//! A node process in front of one server.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

/// Servers in the node's list, all at one address: enough for a node that knows nothing of them to send each some requests.
const SERVERS: usize = 24;

/// A node process; it is killed on drop, and its configuration removed.
pub struct NodeProcess {
    pub address: SocketAddr,
    child: Child,
    configuration: PathBuf,
    _discovery: TcpListener, // silent: the node serves by its configuration's list
}

fn configuration(server: SocketAddr, discovery: SocketAddr, deadline: Duration, memory_mb: u32) -> Value {
    let deadline = deadline.as_nanos() as u64;
    let class = json!({"Name": "pay", "Aim": deadline, "GiveUp": deadline, "Semantics": "once", "Group": "all",
        "Worth": 1.0, "LateValue": 0.0});
    let server = |number| {
        json!({"name": format!("s{number}"), "address": server, "zone": "a", "type": "k", "group": 0,
            "status": "in_service", "weight": 1.0, "since_ms": 0})
    };
    let servers: Vec<Value> = (0..SERVERS).map(server).collect();
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
        "known": {"index": 1, "snapshot": true, "endpoints": servers},
        "settings": {"Balancers": 1, "Categories": [class], "Discovery": "push",
            "Limits": {"ConnIdle": 30_000_000_000u64, "ConnectTimeout": 1_000_000_000, "MaxAttempts": 3,
                "MaxRetryAfter": 1_500_000_000, "RetryAfter": true},
            "Locality": "a", "Me": 0, "Zones": ["a"],
            "Obligations": {"StopSendingWithin": 500_000_000, "RampTime": 1, "TipAfter": 1}}})
}

/// Waits until the node has answered a check, which waits in the accept queue until the node takes clients.
fn wait_until_ready(address: SocketAddr) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.contains(" 200 "), "the node is not ready: {answer}");
}

impl NodeProcess {
    /// Starts a node and waits until it serves. A quarter of its memory is for buffered bodies.
    pub fn start(server: SocketAddr, deadline: Duration, memory_mb: u32) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let text = configuration(server, discovery.local_addr().unwrap(), deadline, memory_mb).to_string();
        let name = format!(
            "merlinfold-exchanges-{}-{}.json",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        let program = std::env::var("EXCHANGE_PROGRAM")
            .unwrap_or_else(|_| env!("CARGO_BIN_EXE_merlinfold-lab").to_owned());
        let mut child = Command::new(program)
            .arg("node")
            .env("BALANCER_CONFIG", &path)
            .env_remove("TMPDIR")
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        let address: SocketAddr =
            line.trim_end().rsplit("address=").next().unwrap().parse().expect("the node's address");
        // Reads on, so that the node never waits for its log.
        thread::spawn(move || log.read_to_end(&mut Vec::new()));
        wait_until_ready(address);
        NodeProcess { address, child, configuration: path, _discovery: discovery }
    }

    /// Sends SIGTERM.
    pub fn stop(&self) {
        let kill = Command::new("sh").arg("-c").arg(format!("kill -TERM {}", self.child.id())).status();
        assert!(kill.unwrap().success());
    }

    /// Waits for the end of the process. Returns whether it ended in time and reported success.
    pub fn wait_for_exit(&mut self, limit: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.configuration);
    }
}
