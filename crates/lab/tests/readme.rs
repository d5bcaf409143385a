//! Runs the commands of the README as written.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Time within which a command has to end.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Placeholder in the README for a folder of the reader.
const PLACEHOLDER: &str = "/path/to/";
/// Exit code of the lab on a machine too busy to keep to the schedule; the command itself works.
const VOID: i32 = 3;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The lines of indented code blocks, in order.
fn commands(text: &str) -> Vec<&str> {
    text.lines().filter_map(|line| line.strip_prefix("    ")).filter(|line| !line.trim().is_empty()).collect()
}

/// A shell that replaces itself with the command. It runs in the root folder, without the variables that this test's
/// cargo has set.
fn shell(line: &str) -> Command {
    let mut command = Command::new("sh");
    command.arg("-c").arg(format!("exec env {line}")).current_dir(root());
    for (name, _) in std::env::vars().filter(|(name, _)| name.starts_with("CARGO_PKG_")) {
        command.env_remove(name);
    }
    command.env_remove("CARGO_TARGET_DIR").env_remove("CARGO_MANIFEST_DIR").env_remove("TMPDIR");
    command
}

fn ended(child: &mut Child) -> ExitStatus {
    let begun = Instant::now();
    loop {
        if let Some(status) = child.try_wait().unwrap() {
            return status;
        }
        if begun.elapsed() > TIMEOUT {
            child.kill().unwrap();
            panic!("the command did not end within {TIMEOUT:?}");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Starts a node, waits until it logs that it serves, and expects it to exit successfully on SIGTERM.
fn check_server(line: &str) {
    let folder = std::env::temp_dir().join(format!("merlinfold-readme-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let settings = include_str!("node.json");
    std::fs::write(folder.join("config.json"), settings).unwrap();
    let line = line.replace(PLACEHOLDER, &format!("{}/", folder.display()));
    let mut child = shell(&line).stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let served = lines.any(|line| line.contains("serving"));
    let told = Command::new("kill").arg(child.id().to_string()).status().unwrap();
    let reader = std::thread::spawn(move || lines.for_each(drop)); // a full pipe could block the node
    let status = ended(&mut child);
    reader.join().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(served && told.success() && status.success(), "{line}: {status}");
}

/// The commands of the README must work as written in a fresh checkout. The test command is left out because it runs
/// this test.
#[test]
fn readme_commands_work_as_written() {
    let text = std::fs::read_to_string(root().join("README.md")).unwrap();
    let commands = commands(&text);
    assert!(commands.contains(&"cargo test --locked --workspace"), "{commands:?}");
    let mut run = 0;
    for line in commands.iter().filter(|line| !line.starts_with("cargo test")) {
        run += 1;
        if line.contains(PLACEHOLDER) {
            check_server(line);
            continue;
        }
        let out = shell(line).output().unwrap();
        let told = String::from_utf8_lossy(&out.stderr);
        let void = line.contains("merlinfold-lab") && out.status.code() == Some(VOID);
        assert!(out.status.success() || void, "{line}: {}\n{told}", out.status);
    }
    assert!(run >= 3, "the README has lost its commands: {commands:?}");
}
