//! Plays misbehaving peers beside well-behaved clients against processes of one node.

use merlinfold_lab::peer_faults::{picture, run, Outcome};
use merlinfold_lab::process::NodeCommand;

/// Requests of the well-behaved clients that are answered otherwise than served, at most one in this many.
const REFUSED_DIVISOR: usize = 10;

fn play(name: &str) -> Outcome {
    let words = vec![env!("CARGO_BIN_EXE_merlinfold-lab").to_owned(), "node".to_owned()];
    let scenario = picture(name).expect("a fixed scenario");
    let outcome = run(&scenario, &NodeCommand { words }).expect("the lab can run it");
    assert!(outcome.violations.is_empty(), "{name}: {:#?}\n{}", outcome.violations, outcome.log);
    outcome
}

/// Guards other clients against a peer whose empty lines the node reads without an end after it has refused them.
#[test]
fn empty_lines_at_full_speed_leave_other_clients_served() {
    let waits = play("empty-lines").waits;
    assert!(waits.refused * REFUSED_DIVISOR < waits.served, "{waits:?}");
}

/// Guards against work for clients that have gone: a request behind a close ran at the successor of an upgrade.
#[test]
fn no_attempt_begins_after_its_client_has_left_beside_an_upgrade() {
    play("upgrade-beside-leavers");
}

/// Guards against repeated side effects: an id came again after its client had left.
#[test]
fn an_id_that_comes_again_after_its_client_left_runs_once() {
    play("returning-ids");
}

/// The same, where the id may come to the other process of an upgrade.
#[test]
fn an_id_that_comes_again_at_the_other_process_of_an_upgrade_runs_once() {
    play("upgrade-beside-returning-ids");
}
