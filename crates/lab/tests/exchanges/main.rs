//! Searches for exchanges that a node process answers wrongly: requests and responses in drawn forms, each with a drawn
//! end. To run more seeds: `EXCHANGE_SEEDS=1..51 cargo test --release -p merlinfold-lab --test exchanges -- --nocapture`;
//! `EXCHANGE_PROGRAM` names another build of `merlinfold`.

mod client;
mod node;
mod plan;
mod server;

use std::ops::Range;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use client::{exchange, Answer};
use node::NodeProcess;
use plan::{Ending, Plan};
use server::GuideServer;

const SEEDS: Range<u64> = 1..4;
/// Exchanges of one seed with drawn ends, and how many run at once.
const EXCHANGES: usize = 48;
const CLIENTS: usize = 12;
/// Long requests of one seed whose clients pause, and how many run at once: more than there is memory for.
const PAUSING_UPLOADS: usize = 120;
const CROWD: usize = 40;
/// Exchanges that are in progress when a node is told to stop.
const EXCHANGES_AT_STOP: usize = 8;
/// Memory of the node: enough for all bodies of a seed, and too little for them.
const MEMORY_MB: [u32; 2] = [192, LEAST_MEMORY_MB];
const LEAST_MEMORY_MB: u32 = 1;
/// Time of a request from its last byte.
const DEADLINE: Duration = Duration::from_millis(800);
/// A final answer may come so long after the deadline.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// What a busy machine may add: it holds up client, node and server in turn.
const MACHINE_DELAY: Duration = Duration::from_secs(1);
/// Time from SIGTERM before which the platform does not kill: what came 0.7 s after it is lost if a kill finds it
/// unanswered.
const EARLIEST_KILL: Duration = DEADLINE.saturating_add(Duration::from_millis(700));
/// Time before the earliest kill in which a request that still waits for its server is answered with a failure.
const LAST_ANSWERS: Duration = Duration::from_millis(250);
/// Within this time after its last exchange a stopped node ends: it looks for the end of its connections all the time.
const EXIT_TIME: Duration = Duration::from_secs(2);

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("EXCHANGE_SEEDS") else { return SEEDS };
    let ends = text.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    ends.expect("EXCHANGE_SEEDS: first..end")
}

/// Returns what is wrong about how a request with a drawn end was answered, if anything.
fn violation(plan: &Plan, runs: u32, answer: &Answer) -> Option<String> {
    if runs > 1 {
        return Some(format!("ran {runs} times"));
    }
    let Some(status) = answer.status else { return Some("no answer".to_owned()) };
    if answer.waited > DEADLINE + LATE_ANSWER + MACHINE_DELAY {
        return Some(format!("answered {:?} after the request's last byte", answer.waited));
    }
    match status {
        200 if !plan.ending.may_be_served() => Some("served, although no server answered".to_owned()),
        200 if runs == 0 && plan.ending.is_after_request() => Some("served without a run".to_owned()),
        200 if answer.is_whole && answer.body != plan.response() => {
            Some("served with another body".to_owned())
        }
        200 if !answer.is_whole && !plan.ending.cuts_response() => Some("the response was cut".to_owned()),
        200 | 502 => None,
        429 | 503 if runs > 0 => Some(format!("refused with {status} after it ran")),
        429 | 503 => None,
        other => Some(format!("answered with {other}")),
    }
}

/// Plays these exchanges against a node with so much memory, `clients` at once, and returns what is wrong.
fn violations(plans: Arc<Vec<Plan>>, memory_mb: u32, clients: usize) -> Vec<String> {
    let server = GuideServer::start(plans.clone());
    let node = NodeProcess::start(server.address, DEADLINE, memory_mb);
    let clients: Vec<_> = (0..clients)
        .map(|first| {
            let (plans, to) = (plans.clone(), node.address);
            thread::spawn(move || {
                let own = plans.iter().skip(first).step_by(clients);
                own.map(|plan| (plan.index, exchange(to, plan))).collect::<Vec<_>>()
            })
        })
        .collect();
    let answers: Vec<_> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let violation = |(index, answer): &(usize, Answer)| {
        let plan = &plans[*index];
        let what = violation(plan, server.runs(*index), answer)?;
        Some(format!("{what}: {plan:?}, status {:?}", answer.status))
    };
    answers.iter().filter_map(violation).collect()
}

/// Guards callers against repeated side effects and lost requests: whatever form a request has and however its server
/// ends it, it gets one final answer in time, and no refusal after it ran.
#[test]
fn every_request_gets_one_true_answer_in_time_whatever_its_form_and_end() {
    for seed in seeds() {
        println!("seed {seed}");
        let mut random = fastrand::Rng::with_seed(seed);
        let plans: Arc<Vec<Plan>> =
            Arc::new((0..EXCHANGES).map(|index| Plan::with_drawn_ending(index, &mut random)).collect());
        let memory_mb = MEMORY_MB[random.usize(..MEMORY_MB.len())];
        let violations = violations(plans, memory_mb, CLIENTS);
        assert!(violations.is_empty(), "seed {seed}:\n{}", violations.join("\n"));
    }
}

/// The same for long requests whose clients pause while others wait for memory: those that give way do not run.
#[test]
fn no_request_runs_that_was_refused_because_its_client_paused() {
    for seed in seeds() {
        println!("seed {seed}");
        let mut random = fastrand::Rng::with_seed(seed);
        let plans = (0..PAUSING_UPLOADS).map(|index| Plan::pausing_upload(index, &mut random)).collect();
        let violations = violations(Arc::new(plans), LEAST_MEMORY_MB, CROWD);
        assert!(violations.is_empty(), "seed {seed}:\n{}", violations.join("\n"));
    }
}

/// Guards exchanges against a planned restart: a node that is told to stop in a drawn moment cuts nothing that its peers
/// still move, and ends by itself afterwards.
#[test]
fn a_stopped_node_finishes_every_exchange_and_then_ends() {
    for seed in seeds() {
        println!("seed {seed}");
        let mut random = fastrand::Rng::with_seed(seed);
        let plans: Arc<Vec<Plan>> =
            Arc::new((0..EXCHANGES_AT_STOP).map(|index| Plan::long_lasting(index, &mut random)).collect());
        let server = GuideServer::start(plans.clone());
        let mut node = NodeProcess::start(server.address, DEADLINE, MEMORY_MB[0]);
        let clients: Vec<_> = (0..EXCHANGES_AT_STOP)
            .map(|index| {
                let (plans, to) = (plans.clone(), node.address);
                thread::spawn(move || exchange(to, &plans[index]))
            })
            .collect();
        server.wait_for_requests(EXCHANGES_AT_STOP);
        thread::sleep(Duration::from_millis(random.u64(..400))); // the drawn moment
        let stopped = Instant::now();
        node.stop();
        if random.bool() {
            node.stop(); // a second signal changes nothing
        }
        let answers: Vec<Answer> = clients.into_iter().map(|client| client.join().unwrap()).collect();
        let ended = Instant::now();
        for (plan, answer) in plans.iter().zip(&answers) {
            assert_eq!(plan.ending, Ending::Answer);
            let is_served = answer.status == Some(200) && answer.is_whole && answer.body == plan.response();
            let Answer { status, is_whole, waited, answered_at, .. } = answer;
            let after_stop = answered_at.saturating_duration_since(stopped);
            let is_answered_for_the_kill = status == &Some(502)
                && plan.pauses > 0
                && (EARLIEST_KILL - LAST_ANSWERS..EARLIEST_KILL).contains(&after_stop);
            assert!(
                is_served || is_answered_for_the_kill,
                "seed {seed}: {plan:?} got {status:?}, whole: {is_whole}, {after_stop:?} after the stop and {waited:?} \
                 after its last byte"
            );
        }
        assert!(node.wait_for_exit(EXIT_TIME), "seed {seed}: the node runs on {:?} after", ended.elapsed());
    }
}
