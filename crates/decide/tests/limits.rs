//! Checks that the files of the decision module are short enough to review and that the deploy file names all of them.

use std::fs;
use std::path::{Path, PathBuf};

/// Maximum length of a file, so that each file has one concern.
const MAX_LINES: usize = 250;
/// Maximum number of characters in a line.
const MAX_WIDTH: usize = 110;

/// Returns the root folder of the repository.
fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the paths in `policy = [...]` of the deploy file.
fn policy_files() -> Vec<String> {
    let root = repository_root();
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file exists");
    let line =
        deploy.lines().find(|line| line.starts_with("policy")).expect("the deploy file has a policy entry");
    let files: Vec<String> = line.split('"').skip(1).step_by(2).map(str::to_owned).collect();
    assert!(!files.is_empty(), "the policy entry names no file: {line}");
    files
}

#[test]
fn each_file_of_the_decision_module_is_short_enough_to_review() {
    let root = repository_root();
    for file in policy_files() {
        let text = fs::read_to_string(root.join(&file)).expect("the named file exists");
        for (n, line) in text.lines().enumerate() {
            assert!(
                line.chars().count() <= MAX_WIDTH,
                "{file}:{} is longer than {MAX_WIDTH} characters",
                n + 1
            );
        }
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{file} has {lines} lines, expected at most {MAX_LINES}");
    }
}

#[test]
fn the_deploy_file_names_every_file_of_the_decision_module() {
    let folder = repository_root().join("crates/decide/src/policy");
    let named = policy_files();
    for entry in fs::read_dir(folder).expect("the folder of the module exists") {
        let name =
            entry.expect("the folder is readable").file_name().into_string().expect("the file name is UTF-8");
        assert!(
            named.contains(&format!("crates/decide/src/policy/{name}")),
            "the deploy file does not name {name}"
        );
    }
}

#[test]
fn the_decision_module_names_its_interface_at_the_top() {
    let text = fs::read_to_string(repository_root().join("crates/decide/src/policy/mod.rs"))
        .expect("the file exists");
    assert!(text.lines().next().is_some_and(|line| line.contains("`interface.rs`")));
}
