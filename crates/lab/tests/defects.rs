//! Runs nodes with one planted defect each and checks that the lab reports the invariant that the defect violates.

use merlinfold_lab::experiments;
use merlinfold_lab::process::NodeCommand;
use merlinfold_lab::runner::{run, Plan};
use merlinfold_simulation::experiment::{Disruption, DisruptionKind, Experiment};
use merlinfold_simulation::ledger::Invariant;

/// Runs a short experiment against one faulty node and returns the violated invariants.
fn violated(defect: &str, change: impl FnOnce(&mut Experiment)) -> Vec<Invariant> {
    let mut experiment = experiments::find("demo").unwrap();
    experiment.seconds = 4.0;
    experiment.load.of_capacity = 0.25;
    experiment.disruptions.clear();
    // These runs share the machine with other tests and check invariants, so that lateness must not void them.
    experiment.rules.lateness_ms = 1e6;
    experiment.rules.grace_ms = 250.0;
    experiment.clients.retries = 1;
    change(&mut experiment);
    experiment.nodes.count = 1;
    let faulty_node = env!("CARGO_BIN_EXE_merlinfold-lab-double");
    let nodes = NodeCommand { words: vec![faulty_node.to_owned(), defect.to_owned()] };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let plan = Plan { name: defect.to_owned(), experiment, nodes, logs: None };
    let outcome = runtime.block_on(run(plan, |_| ())).unwrap();
    let mut laws: Vec<Invariant> = outcome.breaches.iter().map(|breach| breach.invariant).collect();
    laws.dedup();
    println!("{defect}: {:?}", outcome.breaches.iter().take(6).collect::<Vec<_>>());
    laws
}

fn trouble(kind: DisruptionKind, part: f64, size: f64) -> Disruption {
    Disruption { kind, at_s: 0.5, for_s: 3.0, part, size: Some(size), class: None }
}

fn resets(experiment: &mut Experiment) {
    experiment.disruptions.push(trouble(DisruptionKind::ResetAnswers, 1.0, 0.2));
}

fn drains(experiment: &mut Experiment) {
    experiment.disruptions.push(trouble(DisruptionKind::DeployRoll, 0.5, 0.2));
    experiment.discovery.late_ms = 20.0;
}

fn silent(experiment: &mut Experiment) {
    experiment.disruptions.push(trouble(DisruptionKind::SilentPeers, 1.0, 20.0));
    experiment.rules.bad_peer_ms = 2_500.0;
}

fn cold(experiment: &mut Experiment) {
    experiment.disruptions.push(Disruption {
        at_s: 0.2,
        for_s: 0.5,
        ..trouble(DisruptionKind::Crash, 0.1, 1.0)
    });
    (experiment.discovery.late_ms, experiment.discovery.silent_late_ms) = (20.0, 20.0);
    for kind in &mut experiment.fleet.kinds {
        (kind.build.queue, kind.build.fall_ms, kind.build.ramp_s) = (200, 500.0, 30.0);
    }
}

macro_rules! detects {
    ($($test:ident: $defect:literal, $change:expr, $law:ident;)*) => {$(
        #[test]
        fn $test() {
            let laws = violated($defect, $change);
            assert!(laws.contains(&Invariant::$law), "{laws:?}");
        }
    )*};
}

detects! {
    a_second_answer_is_caught: "answers-twice", |_| (), AnsweredOnce;
    a_resent_unsafe_request_is_caught: "resends", resets, UnsafeOnce;
    sends_after_a_drain_notice_are_caught: "ignores-drains", drains, Drain;
    a_refusal_held_back_is_caught: "holds-back", |_| (), HeldBack;
    an_answer_that_no_server_made_is_caught: "makes-up", |_| (), Genuine;
    a_request_closed_without_an_answer_is_caught: "loses", |_| (), Answered;
    a_request_that_is_never_answered_is_caught: "forgets", |_| (), Answered;
    a_request_that_no_client_sent_is_caught: "invents", |_| (), NoStranger;
    a_refusal_of_what_may_have_run_is_caught: "refuses-run", resets, HonestRefusal;
    attempts_without_end_are_caught: "tries-on", |_| (), Attempts;
    a_flooded_cold_server_is_caught: "floods-cold", cold, Cold;
    silent_peers_that_are_kept_are_caught: "keeps-silent", silent, BadPeers;
    a_node_that_ends_by_itself_is_caught: "crashes", |_| (), Nodes;
    a_node_that_is_never_ready_is_caught: "never-ready", |_| (), Nodes;
    a_node_over_its_memory_is_caught: "hoards", |_| (), Nodes;
    a_node_that_stays_after_sigterm_is_caught: "overstays", |_| (), Nodes;
}

/// A check that reports violations of a correct node would pass the tests above: without a defect, none of these faults
/// may give a violation.
#[test]
fn node_without_a_defect_violates_no_invariant() {
    for (name, change) in [
        ("calm", (|_| ()) as fn(&mut Experiment)),
        ("resets", resets),
        ("drains", drains),
        ("silent", silent),
    ] {
        assert_eq!(violated("none", change), [], "{name}");
    }
}
