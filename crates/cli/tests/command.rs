//! The command line: exit codes and output of the subcommands.

use std::path::PathBuf;
use std::process::{Command, Output};

fn merlinfold(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_merlinfold"));
    command.args(arguments).env_remove("BALANCER_CONFIG").output().unwrap()
}

/// A temporary file with this content, deleted on drop.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("merlinfold-check-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        File(path)
    }

    fn name(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// `check` must show operators where an error is, and let scripts tell invalid files from wrong usage.
#[test]
fn check_reports_file_line_and_field_and_exits_with_a_distinct_code() {
    let good = File::new("good.toml", "[log]\nformat = \"json\"\n");
    let bad = File::new("bad.toml", "[log]\n\nlevle = \"info\"\n");
    let json = File::new("bad.json", "{\"name\": \"n0\",\n \"listen\": \"nowhere\"}");
    for (files, code, expected) in [
        (vec![good.name()], 0, String::new()),
        (vec![bad.name()], 1, format!("{}:3: log.levle: unknown field", bad.name())),
        (vec![good.name(), json.name()], 1, format!("{}:2: listen: invalid socket address", json.name())),
        (vec!["/does/not/exist.toml"], 1, "/does/not/exist.toml: cannot read".to_owned()),
        (vec![], 2, "Usage: merlinfold check".to_owned()),
    ] {
        let output = merlinfold(&[&["check"], files.as_slice()].concat());
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(code), "{files:?}: {text}");
        assert!(text.contains(&expected), "{files:?}: {text}");
    }
}

/// A node started by a script must fail with the file and field named when its own configuration is invalid.
#[test]
fn a_node_does_not_start_with_an_invalid_configuration_file() {
    let bad = File::new("start.toml", "log = 3\n");
    let output = merlinfold(&["node", "--config", bad.name()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8(output.stderr)
        .unwrap()
        .contains(&format!("{}:1: log: invalid type", bad.name())));
}

#[test]
fn completions_and_manual_contain_the_subcommands() {
    for (arguments, expected) in [(&["completions", "bash"][..], "--config"), (&["manual"], ".TH merlinfold")]
    {
        let text = String::from_utf8(merlinfold(arguments).stdout).unwrap();
        assert!(text.contains(expected) && text.contains("check"), "{arguments:?}");
    }
}
