//! Benchmarks the size and speed of documents and deltas at the planned size.

#[path = "../tests/common/mod.rs"]
mod common;

use std::hint::black_box;

use common::large;
use criterion::{criterion_group, criterion_main, Criterion};
use merlinfold_revision::{Delta, Document, Revision};

/// Returns a delta that changes the limits of the first `tenants` tenants.
fn change_tenants(tenants: usize, in_force: &Revision) -> Delta {
    let mut document = Document::clone(&in_force.document);
    for tenant in document.tenants.values_mut().take(tenants) {
        tenant.requests_per_1000_s = Some(7);
    }
    Delta::between(in_force, &document)
}

fn deltas(criterion: &mut Criterion) {
    let in_force = Revision::new(1, large());
    let encoded = in_force.document.encode();
    println!("document: {} bytes", encoded.len());
    criterion.bench_function("document/encode and digest", |bench| {
        bench.iter(|| black_box(&in_force.document).digest());
    });
    criterion.bench_function("document/decode", |bench| {
        bench.iter(|| Document::decode(black_box(&encoded)).unwrap());
    });
    for tenants in [1, common::TENANTS] {
        let delta = change_tenants(tenants, &in_force);
        let bytes = delta.encode();
        println!("delta of {tenants} tenants: {} bytes", bytes.len());
        criterion.bench_function(&format!("delta of {tenants} tenants/decode"), |bench| {
            bench.iter(|| Delta::decode(black_box(&bytes)).unwrap());
        });
        criterion.bench_function(&format!("delta of {tenants} tenants/apply"), |bench| {
            bench.iter(|| delta.apply(black_box(&in_force)).unwrap());
        });
    }
}

criterion_group!(benches, deltas);
criterion_main!(benches);
