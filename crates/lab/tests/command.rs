//! The lab's command line.

use std::io::Read;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_merlinfold-lab")).args(arguments).output().unwrap()
}

/// Number of processes whose environment contains `what`.
fn running(what: &str) -> usize {
    let folders = std::fs::read_dir("/proc").unwrap().flatten();
    let lines = folders.filter_map(|folder| std::fs::read(folder.path().join("environ")).ok());
    lines.filter(|line| String::from_utf8_lossy(line).contains(what)).count()
}

/// Closed-loop clients whose number doubles in the second round must not be refused while servers are idle. The aim is
/// long enough for a machine with other load.
#[test]
fn doubled_closed_loop_clients_are_not_refused_while_servers_are_idle() {
    let arguments =
        ["closed", "--clients", "16", "--double", "--rounds", "2", "--requests", "2500", "--aim-ms", "2000"];
    let ended = lab(&arguments);
    let told = String::from_utf8([ended.stdout, ended.stderr].concat()).unwrap();
    assert!(ended.status.success() && told.contains("refused after a round's first second: 0"), "{told}");
    let over = lab(&["closed", "--clients", "300", "--double", "--rounds", "2"]);
    assert_eq!(over.status.code(), Some(1));
}

/// Guards the tables of refusals: whoever reads them has to see whether the machine held the servers up.
#[test]
fn a_pause_of_the_servers_is_told_beside_what_was_refused() {
    let ended = lab(&["closed", "--clients", "4", "--rounds", "1", "--requests", "400"]);
    let told = String::from_utf8([ended.stdout, ended.stderr].concat()).unwrap();
    let mut rows = told.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let head = rows.next().unwrap();
    assert!(head.ends_with(&["pause", "ms"]), "{told}");
    let pause_of = |row: Vec<&str>| row.last().and_then(|ms| ms.parse::<f64>().ok());
    let pauses: Vec<_> = rows.filter(|row| row.first() == Some(&"node")).map(pause_of).collect();
    assert!(matches!(pauses[..], [Some(ms)] if ms > 0.0), "{told}");
}

/// An interrupted run must leave no node process behind.
#[test]
fn interrupted_run_ends_all_its_processes() {
    let folder = std::env::temp_dir().join(format!("merlinfold-interrupted-{}", std::process::id()));
    let name = folder.to_str().unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_merlinfold-lab"))
        .args(["run", "demo", "--logs", name])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Each node has the path of its configuration in its environment.
    let configuration = format!("BALANCER_CONFIG={name}");
    let deadline = Instant::now() + Duration::from_secs(20);
    while running(&configuration) < 3 {
        assert!(Instant::now() < deadline, "the nodes were not started");
        std::thread::sleep(Duration::from_millis(20));
    }
    let told = Command::new("sh").arg("-c").arg(format!("kill -INT {}", child.id())).status().unwrap();
    assert!(told.success());
    assert_eq!(child.wait().unwrap().code(), Some(1));
    let mut stderr = String::new();
    child.stderr.take().unwrap().read_to_string(&mut stderr).unwrap();
    assert!(stderr.contains("interrupted"), "{stderr}");
    while running(&configuration) > 0 {
        assert!(Instant::now() < deadline, "nodes were left running");
        std::thread::sleep(Duration::from_millis(20));
    }
    std::fs::remove_dir_all(PathBuf::from(name)).unwrap();
}

#[test]
fn invalid_arguments_are_named_and_set_the_exit_code() {
    for (arguments, code, says) in [
        (&["run", "no-such-day"][..], 1, "experiments that are kept: calm"),
        (&["run", "calm", "--node", "/no/such/program"], 1, "node 0"),
        (&["run"], 2, "Usage"),
        (&["run", "calm", "--virtual", "--seed", "4"], 0, ""),
    ] {
        let ended = lab(arguments);
        let told = [ended.stdout, ended.stderr].concat();
        let told = String::from_utf8_lossy(&told);
        assert_eq!(ended.status.code(), Some(code), "{arguments:?}: {told}");
        assert!(told.contains(says), "{arguments:?}: {told}");
    }
}

/// Guards readers of reports: the JSON form has its version, and the page holds all that it shows.
#[test]
fn a_report_is_written_as_json_with_its_version_and_as_one_page() {
    let place = |ending: &str| {
        std::env::temp_dir().join(format!("merlinfold-report-{}.{ending}", std::process::id()))
    };
    let (json, html) = (place("json"), place("html"));
    let files = [json.to_str().unwrap(), html.to_str().unwrap()];
    let ended = lab(&["run", "crash-quarter", "--virtual", "--json", files[0], "--html", files[1]]);
    assert!(ended.status.success());
    let report: merlinfold_simulation::report::Report =
        serde_json::from_str(&std::fs::read_to_string(&json).unwrap()).unwrap();
    assert_eq!((report.schema, report.experiment.as_str()), (1, "crash-quarter"));
    let asked: u64 = report.windows.iter().map(|window| window.asked).sum();
    assert_eq!(asked, report.whole.asked);
    let page = std::fs::read_to_string(&html).unwrap();
    assert_eq!(page.matches("<svg").count(), 3);
    assert!(page.contains("Crash begins") && !page.contains("src=") && !page.contains("href="));
    files.iter().for_each(|file| std::fs::remove_file(file).unwrap());
}
