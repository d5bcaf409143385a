//! Processes of the program that take part in a fleet.
#![allow(dead_code)] // each test file uses its part

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use serde_json::{json, Value};

use crate::common::{config, Client, Folder, PATIENCE};

/// A free UDP address.
pub fn datagrams() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A process of the program that takes part in a fleet; it is killed when this is dropped.
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

    /// With a configuration of the platform's own; two that are given the same front share it.
    pub fn start_as(
        folder: &Folder, file: &str, name: &str, fleet: SocketAddr, seed: SocketAddr, config: Value,
    ) -> Self {
        Self::start_with(folder, file, name, fleet, seed, config, "")
    }

    /// With further tables of the product's configuration.
    pub fn start_with(
        folder: &Folder, file: &str, name: &str, fleet: SocketAddr, seed: SocketAddr, mut config: Value,
        tables: &str,
    ) -> Self {
        let console = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let shared = config["listen"] != "127.0.0.1:0";
        config["name"] = json!(name);
        config["console"] = json!(console);
        let place = |ending: &str| folder.0.join(format!("{file}.{ending}"));
        std::fs::write(place("json"), config.to_string()).unwrap();
        let table = format!(
            "[fleet]\ncluster = \"test\"\nlisten = \"{fleet}\"\nzone = \"a\"\nmachine = \"{file}\"\n\
             seeds = [\"{seed}\"]\nfolder = {:?}\n{tables}\n",
            place("disk").display().to_string()
        );
        std::fs::write(place("toml"), table).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_merlinfold"));
        command.args(["node", "--config"]).arg(place("toml"));
        command.env("BALANCER_CONFIG", place("json")).env_remove("TMPDIR").stderr(Stdio::piped());
        if shared {
            command.env("TMPDIR", &folder.0);
        }
        let mut child = command.spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        let serving = lines.find(|line| line.contains("serving")).expect("it serves");
        let address = serving.rsplit("address=").next().unwrap().trim().parse().unwrap();
        let log = Arc::new(Mutex::new(String::new()));
        let written = log.clone();
        thread::spawn(move || lines.for_each(|line| *written.lock().unwrap() += &(line + "\n")));
        Member { child, address, console, log }
    }

    pub fn ask(&self, more: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_merlinfold"));
        command
            .args(["fleet", "members", "--console", &self.console.to_string()])
            .args(more)
            .output()
            .unwrap()
    }

    pub fn view(&self) -> Value {
        let told = self.ask(&["--json"]);
        serde_json::from_slice(&told.stdout).unwrap_or(Value::Null)
    }

    /// Waits until its view is as wanted.
    pub fn wait_for(&self, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        let begun = Instant::now();
        loop {
            let view = self.view();
            if wanted(&view) {
                return view;
            }
            assert!(begun.elapsed() < PATIENCE, "{what}: {view:#}\n{}", self.log.lock().unwrap());
        }
    }

    pub fn serves(&self) -> bool {
        let mut front = Client::connect(self.address);
        front.write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        front.read().is_some_and(|answer| answer.status() == 200)
    }

    pub fn signal(&self, name: &str) {
        let told = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(told.unwrap().success());
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
