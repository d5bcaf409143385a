//! Time per decision by the number of servers: `cargo bench -p merlinfold-decide --bench decision`.

use std::hint::black_box;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use merlinfold_decide::interface::*;
use merlinfold_decide::policy::Balancer;

const MS: Nanos = 1_000_000;
const SIZES: [u32; 4] = [16, 256, 4_096, 16_384];
const REQUESTS_PER_SECOND: u64 = 1_000;

fn entry(n: u32) -> ServerEntry {
    let tag = u64::from(n).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    ServerEntry { id: ServerId(n), name_hash: tag, weight: 1.0, ..ServerEntry::default() }
}

/// A node with its own clock, after a warm-up of 2000 requests.
struct Node {
    balancer: Balancer,
    now: Nanos,
    next_id: u64,
    actions: Vec<Action>,
}

impl Node {
    fn new(servers: u32, nodes: u32) -> Self {
        let class = Class {
            target_latency: 300 * MS,
            deadline: 750 * MS,
            value: 1.0,
            late_value_share: 0.0,
            idempotency: Idempotency::Idempotent,
            placement: Placement::default(),
        };
        let settings = Settings {
            node_count: nodes,
            classes: vec![class],
            over_quota_value_share: 1.0,
            max_attempts: 3,
            retry_after: true,
            watch_interval: 10_000 * MS,
            initial_capacity_share: 0.2,
            slow_start_duration: 10_000 * MS,
            overload_factor: 4.0,
            overload_duration: 2_000 * MS,
            ..Settings::default()
        };
        let (balancer, now) = (Balancer::new(settings, 7), 100_000 * MS);
        let mut node = Node { balancer, now, next_id: 0, actions: Vec::new() };
        let entries = (0..servers).map(entry).collect();
        node.handle(Event::Servers { kind: ListKind::Persisted, entries });
        for _ in 0..2_000 {
            node.request();
        }
        node
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// Processes a request and, if it was sent to a server, its successful outcome.
    fn request(&mut self) {
        self.now += 1_000 * MS / REQUESTS_PER_SECOND;
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let request = Request {
            id,
            class: 0,
            tenant: None,
            key: None,
            client_timeout: 700 * MS,
            cost_hint: None,
            is_retry: false,
            streams_body: false,
        };
        self.handle(Event::Request(request));
        let sent = self.actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        if let Some(server) = sent {
            let (status, latency) = (Status::Ok, 5 * MS);
            let outcome =
                Event::Outcome { id, attempt: 0, server, status, latency, terminal: true, report: None };
            self.handle(outcome);
        }
    }
}

fn requests(criterion: &mut Criterion) {
    for nodes in [1, 500] {
        let mut group = criterion.benchmark_group(format!("request, {nodes} nodes"));
        group.throughput(Throughput::Elements(1)).sample_size(20);
        for servers in SIZES {
            let mut node = Node::new(servers, nodes);
            group.bench_function(BenchmarkId::from_parameter(servers), |b| b.iter(|| node.request()));
        }
    }
}

fn housekeeping(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick");
    group.sample_size(20);
    for servers in SIZES {
        let mut node = Node::new(servers, 1);
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| {
                node.now += 50 * MS;
                node.handle(Event::Timer(0));
            })
        });
    }
    drop(group);
    let mut group = criterion.benchmark_group("list change of one server");
    group.sample_size(20);
    for servers in SIZES {
        let mut node = Node::new(servers, 1);
        let mut draining = false;
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| {
                draining = !draining;
                let readiness = if draining { Readiness::Draining } else { Readiness::Ready };
                let entries = vec![ServerEntry { readiness, ..entry(3) }];
                node.handle(Event::Servers { kind: ListKind::Partial, entries: black_box(entries) });
            })
        });
    }
}

criterion_group!(benches, requests, housekeeping);
criterion_main!(benches);
