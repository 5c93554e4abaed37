//! Compares the routing trie with a sorted map that is queried for each prefix of an address, longest first.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use heronroute_engine::routes::Trie;
use std::collections::BTreeMap;
use std::hint::black_box;

fn routes(c: &mut Criterion) {
    let mut group = c.benchmark_group("longest prefix");
    group.sample_size(20).warm_up_time(std::time::Duration::from_millis(200));
    group.measurement_time(std::time::Duration::from_millis(600));
    for n in [20u64, 2_000, 200_000] {
        let prefix = |i: u64| format!("{}", 100 + i.wrapping_mul(0x9E37_79B9_7F4A_7C15) % 1_000_000_000);
        let (mut trie, mut map) = (Trie::default(), BTreeMap::new());
        for i in 0..n {
            trie.insert(&prefix(i), i);
            map.insert(prefix(i), i);
        }
        let addresses: Vec<String> = (0..1_024).map(|i| format!("{}0001234", prefix(i * 31 % n))).collect();
        let find_in_map = |a: &str| (0..=a.len()).rev().find_map(|l| map.get(&a[..l]).copied());
        assert!(addresses.iter().all(|a| trie.find(a) == find_in_map(a)), "both find the same");
        group.bench_with_input(BenchmarkId::new("trie", n), &n, |b, _| {
            b.iter(|| addresses.iter().filter_map(|a| trie.find(black_box(a))).sum::<u64>());
        });
        group.bench_with_input(BenchmarkId::new("sorted map", n), &n, |b, _| {
            b.iter(|| addresses.iter().filter_map(|a| find_in_map(black_box(a))).sum::<u64>());
        });
    }
    group.finish();
}

criterion_group!(benches, routes);
criterion_main!(benches);
