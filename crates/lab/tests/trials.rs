//! Scenarios on node processes: kill, pause, cut, one-way cut, full disk and a split that heals. Each is seeded and
//! checked against the invariants. A run is void if the machine is too busy to keep time; it is then repeated once.

use std::process::{Command, Output};

const EXIT_VOID: i32 = 3;

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_merlinfold-lab")).args(arguments).output().unwrap()
}

fn assert_no_violation(trial: &str) {
    let mut output = lab(&["trial", "run", trial]);
    if output.status.code() == Some(EXIT_VOID) {
        output = lab(&["trial", "run", trial]);
    }
    let text = [output.stdout, output.stderr].concat();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&text));
}

#[test]
fn five_processes_survive_a_kill_a_full_disk_and_a_pause() {
    assert_no_violation("few-machines");
}

#[test]
fn five_processes_survive_a_split_and_a_one_way_cut() {
    assert_no_violation("few-links");
}

#[test]
fn five_processes_survive_disks_with_errors_and_false_confirmations() {
    assert_no_violation("few-disks");
}

#[test]
fn five_processes_agree_on_one_log_order_without_durable_disks() {
    assert_no_violation("few-agree");
}

#[test]
fn five_processes_keep_confirmed_log_entries_after_all_end_at_once() {
    assert_no_violation("few-agree-disks");
}

/// Checks exit codes, the JSON report, the HTML page and `trial search` in virtual time.
#[test]
fn trial_commands_report_their_outcome_by_exit_code_report_and_page() {
    let temporary_file =
        |ending: &str| std::env::temp_dir().join(format!("merlinfold-trial-{}.{ending}", std::process::id()));
    let (json, html, kept) = (temporary_file("json"), temporary_file("html"), temporary_file("toml"));
    let names = [&json, &html, &kept].map(|path| path.to_str().unwrap().to_owned());
    let output = lab(&["trial", "run", "zone-drops", "--virtual", "--json", &names[0], "--html", &names[1]]);
    assert!(output.status.success());
    let report = std::fs::read_to_string(&json).unwrap();
    assert!(report.contains("\"schema\": 1") && report.contains("\"clock\": \"virtual\""));
    let page = std::fs::read_to_string(&html).unwrap();
    assert!(page.contains("<svg") && page.contains("kill") && !page.contains("src="));
    // No node can detect a death within 10 ms, so the search finds a violation, removes the pause, which plays no part
    // in it, and writes a schedule that can be run.
    let unsatisfiable =
        "question = \"q\"\nseconds = 40.0\n[fleet]\nnodes = 8\nzones = [\"a\"]\n[rules]\ndetect_s = 0.01\n\
                  [[fault]]\nat = 12.0\nkind = \"kill\"\nwho = \"node:1\"\n\
                  [[fault]]\nat = 20.0\nlasts = 4.0\nkind = \"pause\"\nwho = \"node:2\"\n";
    std::fs::write(&kept, unsatisfiable).unwrap();
    let searched = lab(&["trial", "search", &names[2], "--seeds", "3", "--keep", &names[2]]);
    let printed = String::from_utf8_lossy(&searched.stdout).into_owned();
    assert_eq!(searched.status.code(), Some(1), "{printed}");
    assert!(printed.contains("BROKEN detection") && printed.contains("what led to the first"), "{printed}");
    let small = std::fs::read_to_string(&kept).unwrap();
    assert!(small.contains("kill") && !small.contains("pause"), "{small}");
    assert_eq!(lab(&["trial", "run", &names[2], "--virtual"]).status.code(), Some(1));
    assert_eq!(lab(&["trial", "run", "no-such"]).status.code(), Some(1));
    [json, html, kept].iter().for_each(|path| std::fs::remove_file(path).unwrap());
}
