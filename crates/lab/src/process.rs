//! Node processes: start, signals, resource usage and exit. A process never outlives its handle.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use merlinfold_simulation::report::Usage;
use rustix::process::{kill_process, Pid, Signal};
use tokio::process::{Child, Command};

/// Clock ticks per second in which the kernel reports processor time; `USER_HZ` is 100 on all common Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;

/// Start of the script of the shell that sets a node's limit and replaces itself with the node.
const LIMIT_COMMAND: &str = "ulimit -n";

/// Command that starts a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeCommand {
    /// Program and arguments.
    pub words: Vec<String>,
}

impl NodeCommand {
    /// Uses this program's own `node` subcommand. Fails if the program's path is unknown.
    pub fn own() -> Result<Self, String> {
        let own = std::env::current_exe()
            .map_err(|error| format!("cannot determine the path of this program: {error}"))?;
        Ok(NodeCommand { words: vec![own.display().to_string(), "node".to_owned()] })
    }

    /// Splits a command line at white space. Fails if it is empty.
    pub fn of(text: &str) -> Result<Self, String> {
        let words: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
        if words.is_empty() {
            return Err("the command of a node is empty; expected a program and its arguments".to_owned());
        }
        Ok(NodeCommand { words })
    }

    /// The command as shown in reports, with the program's file name instead of its path.
    pub fn name(&self) -> String {
        let program =
            Path::new(&self.words[0]).file_name().unwrap_or_default().to_string_lossy().into_owned();
        [&[program], &self.words[1..]].concat().join(" ")
    }
}

/// A node process. It is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    id: u32,
    log: PathBuf,
    peak: Usage,
}

impl Process {
    /// Starts a node that may open `sockets` descriptors. Its configuration and its log are written to `folder`.
    pub fn start(
        command: &NodeCommand, node: usize, configuration: &str, sockets: usize, folder: &Path,
    ) -> Result<Self, String> {
        let describe = |what: &str, error: std::io::Error| format!("node {node}: {what}: {error}");
        let file = folder.join(format!("node-{node}.json"));
        std::fs::write(&file, configuration).map_err(|error| describe("configuration", error))?;
        let log = folder.join(format!("node-{node}.log"));
        let mut options = std::fs::OpenOptions::new();
        let written = options.create(true).append(true).open(&log).map_err(|error| describe("log", error))?;
        let stderr_log = written.try_clone().map_err(|error| describe("log", error))?;
        // The shell replaces itself, so that the process id is the node's.
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("{LIMIT_COMMAND} {sockets}; exec \"$0\" \"$@\"")])
            .args(&command.words)
            .env_remove("TMPDIR") // nodes have the same names in every run and must not share files there
            .env("BALANCER_CONFIG", &file)
            .env("BALANCER_NAME", format!("n{node}"))
            .stdin(Stdio::null())
            .stdout(written)
            .stderr(stderr_log)
            .process_group(0) // Ctrl-C reaches the lab only, which ends its nodes itself
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| describe(&command.words[0], error))?;
        let id = child.id().ok_or_else(|| format!("node {node}: exited immediately after its start"))?;
        Ok(Process { child, id, log, peak: Usage::default() })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// Sends SIGKILL if `kill` is set, else SIGTERM.
    pub fn signal(&self, kill: bool) {
        self.send(if kill { Signal::KILL } else { Signal::TERM });
    }

    /// Sends a signal; a process that has already exited is ignored.
    pub fn send(&self, signal: Signal) {
        send(self.id, signal);
    }

    /// Returns a function that sends SIGCONT. It does not borrow the process, so that the handle can move meanwhile.
    pub fn resumer(&self) -> impl FnOnce() + Send + 'static {
        let id = self.id;
        move || send(id, Signal::CONT)
    }

    /// Limits the size of files that the process writes, in bytes; `None` removes the limit.
    pub fn limit_files(&self, limit: Option<u64>) -> std::io::Result<()> {
        let id = i32::try_from(self.id).ok().and_then(Pid::from_raw);
        let limit = rustix::process::Rlimit { current: limit, maximum: None };
        Ok(rustix::process::prlimit(id, rustix::process::Resource::Fsize, limit).map(drop)?)
    }

    /// Exit status as text, or `None` while the process runs.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Waits for the exit; returns `None` after the time `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Option<std::process::ExitStatus> {
        tokio::time::timeout(limit, self.child.wait()).await.ok().and_then(Result::ok)
    }

    /// Samples the resource usage and returns the maximum of all samples. What is the shell's is not counted.
    pub fn look(&mut self) -> &Usage {
        let usage = Some(self.id).filter(|&id| has_replaced_shell(id)).and_then(usage);
        if let Some(now) = usage {
            self.peak.memory_mb = self.peak.memory_mb.max(now.memory_mb);
            self.peak.descriptors = self.peak.descriptors.max(now.descriptors);
            self.peak.cpu_s = self.peak.cpu_s.max(now.cpu_s);
        }
        &self.peak
    }

    /// The last five lines of the log.
    pub fn tail(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(5).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }
}

fn send(id: u32, signal: Signal) {
    if let Some(id) = i32::try_from(id).ok().and_then(Pid::from_raw) {
        let _ = kill_process(id, signal); // the process may have exited meanwhile
    }
}

/// Returns whether the process runs the node's program. Until its shell has begun, the kernel may not have closed the
/// descriptors that the process has inherited from this one.
fn has_replaced_shell(id: u32) -> bool {
    // Empty until the shell's program is in place.
    let arguments = std::fs::read(format!("/proc/{id}/cmdline")).unwrap_or_default();
    let script = arguments.split(|&byte| byte == 0).nth(2).unwrap_or_default();
    !arguments.is_empty() && !script.starts_with(LIMIT_COMMAND.as_bytes())
}

/// Peak memory, open descriptors and processor time of a process, from /proc.
fn usage(id: u32) -> Option<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count() as u64;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name in parentheses may contain any character, so that fields are counted after it: 14 and 15 of proc(5)
    // (utime and stime) are the 12th and 13th there.
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|field| field.parse::<f64>().ok());
    Some(Usage { memory_mb: kib / 1_024.0, descriptors, cpu_s: (ticks(11)? + ticks(12)?) / TICKS_PER_SECOND })
}
