//! Runs a node as a separate process, as the platform does.
#![allow(dead_code)] // each test file uses a part of this module

use std::ffi::OsStr;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::thread;

use serde_json::Value;

use crate::common::{Folder, TIMEOUT};

/// A node process, killed on drop.
pub struct NodeProcess {
    child: Child,
    pub address: SocketAddr,
    /// Path of its configuration file.
    pub file: PathBuf,
    _folder: Folder,
}

impl NodeProcess {
    pub fn start(name: &str, config: &Value) -> Self {
        Self::start_with(name, config, &[])
    }

    /// Starts a node with these environment variables. Its log is copied to the test's standard error.
    pub fn start_with(name: &str, config: &Value, environment: &[(&str, &OsStr)]) -> Self {
        let folder = Folder::new(name);
        let file = folder.0.join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_merlinfold"))
            .env("BALANCER_CONFIG", &file)
            .env_remove("TMPDIR")
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, address) = mpsc::channel();
        let log = BufReader::new(child.stderr.take().unwrap());
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                if let Some((_, address)) = line.split_once("address=") {
                    let _ = sender.send(address.trim().parse().unwrap());
                }
                eprintln!("{line}");
            }
        });
        let address = address.recv_timeout(TIMEOUT).expect("the node did not start to serve");
        NodeProcess { child, address, file, _folder: folder }
    }

    /// Sends the signal of this name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &id]).status().unwrap().success());
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
