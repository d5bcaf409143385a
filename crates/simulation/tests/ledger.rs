//! Tests that the invariants find violations in a ledger built by hand.

use merlinfold_simulation::clients::{Clients, TryOutcome};
use merlinfold_simulation::experiment::{Experiment, RetrySafety};
use merlinfold_simulation::ledger::{find_violations, AttemptRecord, Invariant, Ledger, TryRecord};
use merlinfold_simulation::seed::Seed;
use merlinfold_simulation::server::Reply;
use merlinfold_simulation::{Nanos, MS};

const EXPERIMENT: &str = r#"
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

/// Returns the invariants that are violated if a reused connection closes 20 ms after a request is due, and the client
/// sends the request again on another connection, where it is served. `arrivals` are the times at which it reaches a
/// server.
fn violations_after_close(arrivals: &[Nanos]) -> Vec<Invariant> {
    let experiment: Experiment = toml::from_str(EXPERIMENT).unwrap();
    assert_eq!(experiment.classes[0].effect, RetrySafety::Safe);
    let mut clients = Clients::new(&experiment, Seed(1));
    let due = clients.next_due().unwrap();
    let client_try = clients.start_try(due).unwrap();
    let served = TryOutcome::Answered { status: 200, retry_after: 0, genuine: true };
    let record = TryRecord {
        client_try,
        node: Some(0),
        written_at: Some(due + 21 * MS),
        first_on_connection: true,
        closed_at: Some(due + 20 * MS),
        ended: due + 30 * MS,
        outcome: served,
        extra_data: false,
    };
    let attempt = |&arrived: &Nanos| AttemptRecord {
        id: client_try.id,
        node: 0,
        server: 0,
        arrived: due + arrived,
        ended: Some(due + arrived + MS),
        reply: Some(Reply::Served),
        executed: true,
    };
    let attempts = arrivals.iter().map(attempt).collect();
    let ledger = Ledger { tries: vec![record], attempts, ..Ledger::default() };
    find_violations(&experiment, &ledger).into_iter().map(|violation| violation.invariant).collect()
}

/// Guards against a lost request that goes unnoticed because the client sends it again. A server had received the
/// request before the connection closed.
#[test]
fn a_request_forwarded_before_its_connection_closed_is_lost_even_if_sent_again() {
    assert_eq!(violations_after_close(&[10 * MS, 25 * MS]), [Invariant::Answered]);
}

#[test]
fn a_close_before_a_request_was_forwarded_is_no_loss() {
    assert_eq!(violations_after_close(&[25 * MS]), []);
}
