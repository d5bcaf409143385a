//! Node processes: started, signalled, watched and, whatever happens, ended.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use merlinfold_simulation::report::Usage;
use rustix::process::{kill_process, Pid, Signal};
use tokio::process::{Child, Command};

/// Ticks a second in which the kernel counts processor time; 100 on every Linux that people run.
const TICKS: f64 = 100.0;

/// The command of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeCommand {
    /// Program and arguments.
    pub words: Vec<String>,
}

impl NodeCommand {
    /// This very program as a node.
    pub fn own() -> Result<Self, String> {
        let own = std::env::current_exe().map_err(|error| format!("cannot name this program: {error}"))?;
        Ok(NodeCommand { words: vec![own.display().to_string(), "node".to_owned()] })
    }

    /// What a user wrote, split at blanks.
    pub fn of(text: &str) -> Result<Self, String> {
        let words: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
        if words.is_empty() {
            return Err("a node's command is empty".to_owned());
        }
        Ok(NodeCommand { words })
    }

    /// For reports: without its folder.
    pub fn name(&self) -> String {
        let program =
            Path::new(&self.words[0]).file_name().unwrap_or_default().to_string_lossy().into_owned();
        [&[program], &self.words[1..]].concat().join(" ")
    }
}

/// A running node. Killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    id: u32,
    log: PathBuf,
    most: Usage,
}

impl Process {
    /// Starts a node under a limit of descriptors; its log goes to `folder`.
    pub fn start(
        command: &NodeCommand, node: usize, configuration: &str, sockets: usize, folder: &Path,
    ) -> Result<Self, String> {
        let cannot = |what: &str, error: std::io::Error| format!("node {node}: {what}: {error}");
        let file = folder.join(format!("node-{node}.json"));
        std::fs::write(&file, configuration).map_err(|error| cannot("configuration", error))?;
        let log = folder.join(format!("node-{node}.log"));
        let mut options = std::fs::OpenOptions::new();
        let written = options.create(true).append(true).open(&log).map_err(|error| cannot("log", error))?;
        let also = written.try_clone().map_err(|error| cannot("log", error))?;
        // The limit is set by a shell that becomes the node, so that the process's id is the node's.
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("ulimit -n {sockets}; exec \"$0\" \"$@\"")])
            .args(&command.words)
            .env_remove("TMPDIR") // nothing to share: names of nodes are the same in every play
            .env("BALANCER_CONFIG", &file)
            .env("BALANCER_NAME", format!("n{node}"))
            .stdin(Stdio::null())
            .stdout(written)
            .stderr(also)
            .process_group(0) // Ctrl-C is the lab's to pass on
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| cannot(&command.words[0], error))?;
        let id = child.id().ok_or_else(|| format!("node {node}: ended at once"))?;
        Ok(Process { child, id, log, most: Usage::default() })
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// Sends SIGTERM, or SIGKILL.
    pub fn signal(&self, kill: bool) {
        self.send(if kill { Signal::KILL } else { Signal::TERM });
    }

    /// Sends any signal.
    pub fn send(&self, signal: Signal) {
        send(self.id, signal);
    }

    /// Lets it go on after SIGSTOP, also once somebody else holds it.
    pub fn resumer(&self) -> impl FnOnce() + Send + 'static {
        let id = self.id;
        move || send(id, Signal::CONT)
    }

    /// Lets its files grow to so many bytes; none: without limit.
    pub fn limit_files(&self, most: Option<u64>) -> std::io::Result<()> {
        let id = i32::try_from(self.id).ok().and_then(Pid::from_raw);
        let limit = rustix::process::Rlimit { current: most, maximum: None };
        Ok(rustix::process::prlimit(id, rustix::process::Resource::Fsize, limit).map(drop)?)
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Waits for its end; none if that takes too long.
    pub async fn wait(&mut self, most: Duration) -> Option<std::process::ExitStatus> {
        tokio::time::timeout(most, self.child.wait()).await.ok().and_then(Result::ok)
    }

    /// Looks at what it uses; the most of all looks is kept.
    pub fn look(&mut self) -> &Usage {
        if let Some(now) = usage(self.id) {
            self.most.memory_mb = self.most.memory_mb.max(now.memory_mb);
            self.most.descriptors = self.most.descriptors.max(now.descriptors);
            self.most.cpu_s = self.most.cpu_s.max(now.cpu_s);
        }
        &self.most
    }

    /// The last lines of its log.
    pub fn tail(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(5).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }
}

fn send(id: u32, signal: Signal) {
    if let Some(id) = i32::try_from(id).ok().and_then(Pid::from_raw) {
        let _ = kill_process(id, signal); // it may have ended by itself meanwhile
    }
}

fn usage(id: u32) -> Option<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count() as u64;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name before may hold anything; fields 14 and 15 (proc(5)) are the 12th and 13th after it.
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|field| field.parse::<f64>().ok());
    Some(Usage { memory_mb: kib / 1_024.0, descriptors, cpu_s: (ticks(11)? + ticks(12)?) / TICKS })
}
