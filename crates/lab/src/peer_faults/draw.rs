//! Draws a scenario from a seed, out of all kinds of faults at once.

use super::flood::Flood;
use super::scenario::{Peers, Restart, RestartKind, Scenario};

/// Memory in MiB and descriptors of the node: the least of the platform, and what its incidents had.
const LIMITS: [(u32, usize); 3] = [(32, 1_024), (32, 1_024), (48, 384)];
const DEADLINES_MS: [u64; 3] = [400, 600, 750];
/// Clients in a crowd: about as many as have a slot, or far fewer.
const CROWDS: [usize; 3] = [340, 120, 40];
const FLOODS: [Flood; 7] = [
    Flood::EmptyLines,
    Flood::BytePairs,
    Flood::InvalidHeads,
    Flood::UnknownPaths,
    Flood::Probes,
    Flood::NewNames,
    Flood::UnreadAnswers,
];
/// Connections that flood at once.
const FLOODERS: usize = 3;

/// Draws the scenario of a seed, which lasts for `seconds`.
pub fn draw(seed: u64, seconds: f64) -> Scenario {
    let mut random = fastrand::Rng::with_seed(seed);
    let (memory_mb, sockets) = LIMITS[random.usize(..LIMITS.len())];
    let mut scenario = Scenario {
        seed,
        memory_mb,
        sockets,
        deadline_ms: DEADLINES_MS[random.usize(..DEADLINES_MS.len())],
        always_reconnects: random.bool(),
        ..Scenario::new(seconds)
    };
    let crowd = CROWDS[random.usize(..CROWDS.len())] * sockets / 1_024;
    if random.u8(..4) > 0 {
        let kinds = random.usize(1..3);
        scenario.peers.extend((0..kinds).map(|_| (draw_crowd(&mut random), crowd / kinds)));
    }
    if random.bool() {
        scenario.peers.push((Peers::Flood(FLOODS[random.usize(..FLOODS.len())]), FLOODERS));
    }
    if random.bool() {
        let rate = random.usize(50_000..400_000);
        let is_chunked = random.bool();
        let length = [63_000, 150_000, 400_000, 1_000_000][random.usize(..4)];
        scenario.peers.push((Peers::SlowServerRead { length, is_chunked, rate }, 2));
    }
    if random.bool() {
        let (answer, over_ms) = (random.usize(70_000..400_000), random.u64(500..4_000));
        let has_length = random.bool();
        scenario.peers.push((Peers::SlowServerWrite { answer, over_ms, has_length }, 2));
    }
    if random.bool() {
        let (resets, returns) = (random.bool(), random.bool());
        let requests = if returns { 1 } else { random.usize(2..41) };
        scenario.peers.push((Peers::Leaver { requests, resets, returns }, 2));
    }
    if random.u8(..3) > 0 {
        // A process that starts after the end of another one starts from nothing, and knows no ids of it.
        let has_returning =
            scenario.peers.iter().any(|(peers, _)| matches!(peers, Peers::Leaver { returns: true, .. }));
        let is_upgrade = random.bool() || has_returning;
        let kind = if is_upgrade { RestartKind::Upgrade } else { RestartKind::StopAndStart };
        let signals = random.u32(1..4);
        scenario.restarts.push(Restart { at: random.f64() * seconds / 2.0, kind, signals });
    }
    if random.u8(..4) == 0 {
        let (pauses, pause_ms) = (random.usize(1..4), random.u64(500..3_500));
        let answer = random.usize(70_000..3_000_000);
        scenario.peers.push((Peers::PausingReader { answer, pauses, pause_ms }, crowd / 4));
    }
    scenario
}

fn draw_crowd(random: &mut fastrand::Rng) -> Peers {
    let length = random.usize(8_000..65_000);
    match random.u8(..7) {
        0 => Peers::StoppedUpload { length, sent: random.usize(..length) },
        1 => Peers::PiecewiseUpload {
            length,
            piece: random.usize(500..4_000),
            over_ms: random.u64(300..1_800),
        },
        2 => Peers::LongExchange { length, answer: random.usize(1_000..64_000) },
        3 => Peers::ManyFields { fields: random.usize(50..3_800), is_whole: false },
        4 => Peers::ManyFields { fields: random.usize(20..94), is_whole: true },
        5 => {
            Peers::SlowReader { answer: random.usize(20_000..3_000_000), rate: random.usize(10_000..100_000) }
        }
        _ => Peers::StoppedUpload { length: 3_000_000, sent: random.usize(..2_000_000) },
    }
}
