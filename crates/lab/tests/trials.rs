//! Trials on processes of the program: kill, pause, cut, one-way cut, full disk and a split that heals. Each is
//! seeded and judged by the laws; a machine too busy to keep time makes a play void, and it is played once more.

use std::process::{Command, Output};

const VOID: i32 = 3;

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_merlinfold-lab")).args(arguments).output().unwrap()
}

fn keeps_all_laws(trial: &str) {
    let mut ended = lab(&["trial", "run", trial]);
    if ended.status.code() == Some(VOID) {
        ended = lab(&["trial", "run", trial]);
    }
    let told = [ended.stdout, ended.stderr].concat();
    assert!(ended.status.success(), "{}", String::from_utf8_lossy(&told));
}

#[test]
fn five_processes_live_through_a_kill_a_full_disk_and_a_pause() {
    keeps_all_laws("few-machines");
}

#[test]
fn five_processes_live_through_a_split_and_a_one_way_cut() {
    keeps_all_laws("few-links");
}

#[test]
fn five_processes_live_through_stores_that_fail_and_lie() {
    keeps_all_laws("few-disks");
}

#[test]
fn five_processes_agree_on_one_order_without_lasting_disks() {
    keeps_all_laws("few-agree");
}

#[test]
fn five_processes_hold_what_they_agreed_on_after_all_have_ended_at_once() {
    keeps_all_laws("few-agree-disks");
}

/// Guards what a user sees: codes, reports and the page, on the clock that takes no time.
#[test]
fn a_trial_says_what_came_of_it() {
    let place =
        |ending: &str| std::env::temp_dir().join(format!("merlinfold-trial-{}.{ending}", std::process::id()));
    let (json, html, kept) = (place("json"), place("html"), place("toml"));
    let names = [&json, &html, &kept].map(|path| path.to_str().unwrap().to_owned());
    let ended = lab(&["trial", "run", "zone-drops", "--virtual", "--json", &names[0], "--html", &names[1]]);
    assert!(ended.status.success());
    let report = std::fs::read_to_string(&json).unwrap();
    assert!(report.contains("\"schema\": 1") && report.contains("\"clock\": \"virtual\""));
    let page = std::fs::read_to_string(&html).unwrap();
    assert!(page.contains("<svg") && page.contains("kill") && !page.contains("src="));
    // A rule that nothing can keep: the schedule is shrunk, and what is kept can be played.
    let strict =
        "question = \"q\"\nseconds = 40.0\n[fleet]\nnodes = 8\nzones = [\"a\"]\n[rules]\ndetect_s = 0.01\n\
                  [[fault]]\nat = 12.0\nkind = \"kill\"\nwho = \"node:1\"\n\
                  [[fault]]\nat = 20.0\nlasts = 4.0\nkind = \"pause\"\nwho = \"node:2\"\n";
    std::fs::write(&kept, strict).unwrap();
    let searched = lab(&["trial", "search", &names[2], "--seeds", "3", "--keep", &names[2]]);
    let told = String::from_utf8_lossy(&searched.stdout).into_owned();
    assert_eq!(searched.status.code(), Some(1), "{told}");
    assert!(told.contains("BROKEN detection") && told.contains("what led to the first"), "{told}");
    let small = std::fs::read_to_string(&kept).unwrap();
    assert!(small.contains("kill") && !small.contains("pause"), "{small}");
    assert_eq!(lab(&["trial", "run", &names[2], "--virtual"]).status.code(), Some(1));
    assert_eq!(lab(&["trial", "run", "no-such"]).status.code(), Some(1));
    [json, html, kept].iter().for_each(|path| std::fs::remove_file(path).unwrap());
}
