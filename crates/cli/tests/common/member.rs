//! Runs node processes that are members of a fleet.
#![allow(dead_code)] // each test file uses a part of this module

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use serde_json::{json, Value};

use crate::common::{config, Client, Folder, TIMEOUT};

/// Returns a free local UDP address.
pub fn free_udp_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A node process that is a member of a fleet, killed on drop.
pub struct Member {
    pub child: Child,
    pub address: SocketAddr,
    pub console: SocketAddr,
    pub log: Arc<Mutex<String>>,
}

impl Member {
    pub fn start(folder: &Folder, file: &str, name: &str, fleet: SocketAddr, seed: SocketAddr) -> Self {
        Self::start_as(folder, file, name, fleet, seed, config("127.0.0.1:9".parse().unwrap(), &[]))
    }

    /// Starts a member with this platform configuration. Two with the same `listen` address share it.
    pub fn start_as(
        folder: &Folder, file: &str, name: &str, fleet: SocketAddr, seed: SocketAddr, config: Value,
    ) -> Self {
        Self::start_with(folder, file, name, fleet, seed, config, "")
    }

    /// Starts a member with further tables in its `merlinfold.toml`.
    pub fn start_with(
        folder: &Folder, file: &str, name: &str, fleet: SocketAddr, seed: SocketAddr, mut config: Value,
        tables: &str,
    ) -> Self {
        let console = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let shared = config["listen"] != "127.0.0.1:0";
        config["name"] = json!(name);
        config["console"] = json!(console);
        let path = |extension: &str| folder.0.join(format!("{file}.{extension}"));
        std::fs::write(path("json"), config.to_string()).unwrap();
        let table = format!(
            "[fleet]\ncluster = \"test\"\nlisten = \"{fleet}\"\nzone = \"a\"\nmachine = \"{file}\"\n\
             seeds = [\"{seed}\"]\nfolder = {:?}\n{tables}\n",
            path("disk").display().to_string()
        );
        std::fs::write(path("toml"), table).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_merlinfold"));
        command.args(["node", "--config"]).arg(path("toml"));
        command.env("BALANCER_CONFIG", path("json")).env_remove("TMPDIR").stderr(Stdio::piped());
        if shared {
            command.env("TMPDIR", &folder.0);
        }
        let mut child = command.spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        let serving = lines.find(|line| line.contains("serving")).expect("the node did not start to serve");
        let address = serving.rsplit("address=").next().unwrap().trim().parse().unwrap();
        let log = Arc::new(Mutex::new(String::new()));
        let written = log.clone();
        thread::spawn(move || lines.for_each(|line| *written.lock().unwrap() += &(line + "\n")));
        Member { child, address, console, log }
    }

    pub fn list_members(&self, options: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_merlinfold"));
        command
            .args(["fleet", "members", "--console", &self.console.to_string()])
            .args(options)
            .output()
            .unwrap()
    }

    pub fn view(&self) -> Value {
        let output = self.list_members(&["--json"]);
        serde_json::from_slice(&output.stdout).unwrap_or(Value::Null)
    }

    /// Waits until the view of this member satisfies the predicate.
    pub fn wait_for(&self, expected: &str, satisfies: impl Fn(&Value) -> bool) -> Value {
        let begun = Instant::now();
        loop {
            let view = self.view();
            if satisfies(&view) {
                return view;
            }
            assert!(begun.elapsed() < TIMEOUT, "{expected}: {view:#}\n{}", self.log.lock().unwrap());
        }
    }

    pub fn serves(&self) -> bool {
        let mut client = Client::connect(self.address);
        client.write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        client.read().is_some_and(|answer| answer.status() == 200)
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(status.unwrap().success());
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
