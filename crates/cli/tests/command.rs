//! The command line, as its user meets it.

use std::path::PathBuf;
use std::process::{Command, Output};

fn merlinfold(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_merlinfold"));
    command.args(arguments).env_remove("BALANCER_CONFIG").output().unwrap()
}

/// A file of this text, gone when it is dropped.
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

/// Guards what an operator reads: the place of the fault, and codes that a script can tell apart.
#[test]
fn check_names_file_line_and_field_and_its_exit_code_tells() {
    let good = File::new("good.toml", "[log]\nformat = \"json\"\n");
    let bad = File::new("bad.toml", "[log]\n\nlevle = \"info\"\n");
    let json = File::new("bad.json", "{\"name\": \"n0\",\n \"listen\": \"nowhere\"}");
    for (files, code, says) in [
        (vec![good.name()], 0, String::new()),
        (vec![bad.name()], 1, format!("{}:3: log.levle: unknown field", bad.name())),
        (vec![good.name(), json.name()], 1, format!("{}:2: listen: invalid socket address", json.name())),
        (vec!["/does/not/exist.toml"], 1, "/does/not/exist.toml: cannot read".to_owned()),
        (vec![], 2, "Usage: merlinfold check".to_owned()),
    ] {
        let ended = merlinfold(&[&["check"], files.as_slice()].concat());
        let told = String::from_utf8(ended.stderr).unwrap();
        assert_eq!(ended.status.code(), Some(code), "{files:?}: {told}");
        assert!(told.contains(&says), "{files:?}: {told}");
    }
}

/// Guards scripts that start the platform's node: a product file that is broken ends the start by name.
#[test]
fn a_node_does_not_start_from_a_broken_product_file() {
    let bad = File::new("start.toml", "log = 3\n");
    let ended = merlinfold(&["node", "--config", bad.name()]);
    assert_eq!(ended.status.code(), Some(1));
    assert!(String::from_utf8(ended.stderr)
        .unwrap()
        .contains(&format!("{}:1: log: invalid type", bad.name())));
}

#[test]
fn completions_and_manual_come_from_the_same_definition() {
    for (arguments, says) in [(&["completions", "bash"][..], "--config"), (&["manual"], ".TH merlinfold")] {
        let told = String::from_utf8(merlinfold(arguments).stdout).unwrap();
        assert!(told.contains(says) && told.contains("check"), "{arguments:?}");
    }
}
