//! The rules must find what breaks them in a ledger made by hand.

use merlinfold_simulation::clients::{Clients, TryOutcome};
use merlinfold_simulation::experiment::{Experiment, RetrySafety};
use merlinfold_simulation::ledger::{find_violations, AttemptRecord, Invariant, Ledger, TryRecord};
use merlinfold_simulation::seed::Seed;
use merlinfold_simulation::server::Reply;
use merlinfold_simulation::{Nanos, MS};

const DAY: &str = r#"
question = "Is it found?"
seconds = 1
nodes = { count = 1 }
load = { of_capacity = 0.5 }
[fleet]
zones = ["a"]
[[fleet.kind]]
name = "k"
count = 1
[[class]]
name = "fetch"
share = 1
work_ms = 8
aim_ms = 200
deadline_ms = 500
effect = "safe"
"#;

/// The laws broken where a kept connection closes under a request 20 ms after it was sent, which is then served on
/// another; it arrives at a server at these times.
fn broken_by_a_close(arrivals: &[Nanos]) -> Vec<Invariant> {
    let day: Experiment = toml::from_str(DAY).unwrap();
    assert_eq!(day.classes[0].effect, RetrySafety::Safe);
    let mut clients = Clients::new(&day, Seed(1));
    let due = clients.next_due().unwrap();
    let is = clients.start_try(due).unwrap();
    let served = TryOutcome::Answered { status: 200, retry_after: 0, genuine: true };
    let tried = TryRecord {
        client_try: is,
        node: Some(0),
        written_at: Some(due + 21 * MS),
        first_on_connection: true,
        closed_at: Some(due + 20 * MS),
        ended: due + 30 * MS,
        outcome: served,
        extra_data: false,
    };
    let run = |&arrived: &Nanos| AttemptRecord {
        id: is.id,
        node: 0,
        server: 0,
        arrived: due + arrived,
        ended: Some(due + arrived + MS),
        reply: Some(Reply::Served),
        executed: true,
    };
    let runs = arrivals.iter().map(run).collect();
    let ledger = Ledger { tries: vec![tried], attempts: runs, ..Ledger::default() };
    find_violations(&day, &ledger).into_iter().map(|breach| breach.invariant).collect()
}

/// Guards against clients that hide a loss by sending anew: a server had the request when its connection closed.
#[test]
fn a_request_sent_on_and_then_closed_is_lost_though_it_is_sent_anew() {
    assert_eq!(broken_by_a_close(&[10 * MS, 25 * MS]), [Invariant::Answered]);
}

#[test]
fn a_close_that_crosses_a_request_is_no_loss() {
    assert_eq!(broken_by_a_close(&[25 * MS]), []);
}
