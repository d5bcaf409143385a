//! The README's commands, run as they stand there.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20); // for a node to start or to end
const PLACE: &str = "/path/to/"; // what the reader is to put something of their own for
const VOID: i32 = 3; // a machine too busy to keep time: the command itself works

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The lines of indented blocks, in order.
fn commands(text: &str) -> Vec<&str> {
    text.lines().filter_map(|line| line.strip_prefix("    ")).filter(|line| !line.trim().is_empty()).collect()
}

/// A shell that becomes the command, from the root, without what this test's own cargo has set.
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
        if begun.elapsed() > PATIENCE {
            child.kill().unwrap();
            panic!("it does not end");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Serves until it says so, then ends by SIGTERM.
fn serves(line: &str) {
    let folder = std::env::temp_dir().join(format!("merlinfold-readme-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let settings = include_str!("node.json");
    std::fs::write(folder.join("config.json"), settings).unwrap();
    let line = line.replace(PLACE, &format!("{}/", folder.display()));
    let mut child = shell(&line).stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let served = lines.any(|line| line.contains("serving"));
    let told = Command::new("kill").arg(child.id().to_string()).status().unwrap();
    let reader = std::thread::spawn(move || lines.for_each(drop)); // or a full pipe could hold it up
    let status = ended(&mut child);
    reader.join().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(served && told.success() && status.success(), "{line}: {status}");
}

/// Guards whoever begins with this project: what the README says to type works, from a fresh checkout on. The
/// test command is left out: it runs this.
#[test]
fn the_commands_of_the_readme_work_as_they_stand_there() {
    let text = std::fs::read_to_string(root().join("README.md")).unwrap();
    let commands = commands(&text);
    assert!(commands.contains(&"cargo test --locked --workspace"), "{commands:?}");
    let mut run = 0;
    for line in commands.iter().filter(|line| !line.starts_with("cargo test")) {
        run += 1;
        if line.contains(PLACE) {
            serves(line);
            continue;
        }
        let out = shell(line).output().unwrap();
        let told = String::from_utf8_lossy(&out.stderr);
        let void = line.contains("merlinfold-lab") && out.status.code() == Some(VOID);
        assert!(out.status.success() || void, "{line}: {}\n{told}", out.status);
    }
    assert!(run >= 3, "the README has lost its commands: {commands:?}");
}
