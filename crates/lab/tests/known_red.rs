//! CI skips exactly the tests that KNOWN-RED.txt names. At most three are allowed, and each must exist.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};

const LISTED: &str = "tests::a: test\ntests::ab: test\nb: test\nc: test\nd: test\n";

/// Runs the check on a file with this text. Returns whether it passes, its standard output (arguments for cargo) and its
/// standard error (messages for people).
fn known_red(name: &str, text: Option<&str>) -> (bool, String, String) {
    let file = std::env::temp_dir().join(format!("merlinfold-known-red-{}-{name}", std::process::id()));
    text.into_iter().for_each(|text| std::fs::write(&file, text).unwrap());
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let mut child = Command::new("bash")
        .arg(script)
        .arg(&file)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(LISTED.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    let _ = std::fs::remove_file(&file);
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.success(), text(output.stdout), text(output.stderr))
}

#[test]
fn only_the_named_tests_are_skipped_and_printed() {
    let (passed, skips, messages) =
        known_red("good", Some("tests::a, a cause, issue 7\nb, another, issue 8\n"));
    assert!(passed, "{messages}");
    assert_eq!(skips, "--skip\ntests::a\n--skip\nb\n");
    assert!(
        messages.contains("tests::a, a cause, issue 7") && messages.contains("b, another, issue 8"),
        "{messages}"
    );
    assert_eq!(known_red("none", None), (true, String::new(), String::new()));
}

#[test]
fn more_than_three_lines_or_a_test_that_does_not_exist_fail() {
    let four = "tests::a, x, 1\nb, x, 1\nc, x, 1\nd, x, 1\n";
    let (passed, _, messages) = known_red("four", Some(four));
    assert!(!passed && messages.contains("three at most"), "{messages}");
    let (passed, _, messages) = known_red("unknown", Some("tests::gone, x, 1\n"));
    assert!(!passed && messages.contains("tests::gone"), "{messages}");
    let (passed, ..) = known_red("part", Some("tests, x, 1\n"));
    assert!(!passed, "a part of a name is no name");
}
