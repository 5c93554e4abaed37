//! The table compared with a map by name: time for a lookup and an entry, memory for a name, and how often
//! the table is unsure when it is filled to its size and beyond.
//!
//! `cargo bench -p heronroute-seen --bench seen`

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use heronroute_seen::{Name, SeenNames, Verdict};
use std::collections::HashMap;

const NAMES: usize = 262_144;
const SPAN: i64 = 600_000_000;

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("order-{i:08}-of-the-day")).collect()
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|n| n.parse::<usize>().ok()).unwrap_or(0) * 4_096
}

fn run(c: &mut Criterion) {
    let names = names(NAMES);
    for load in [1.0, 1.5, 3.0] {
        let mut seen = SeenNames::new(NAMES, 0, 1);
        let n = (NAMES as f64 * load) as usize;
        (0..n).for_each(|i| seen.add(0, Name::new("client", &format!("n{i}")), i as u64, SPAN));
        let unsure = (0..100_000)
            .filter(|i| seen.find(1, Name::new("client", &format!("new{i}"))) == Verdict::Unsure)
            .count();
        println!("filled {load} times: unsure about {:.2} % of new names", unsure as f64 / 1_000.0);
    }
    let before = resident_bytes();
    let mut plain: HashMap<(String, String), (u64, i64)> = HashMap::new();
    for (i, name) in names.iter().enumerate() {
        plain.insert(("client-name".to_string(), name.clone()), (i as u64, SPAN));
    }
    let map = resident_bytes().saturating_sub(before);
    let mut seen = SeenNames::new(NAMES, 0, 1);
    for (i, name) in names.iter().enumerate() {
        seen.add(0, Name::new("client-name", name), i as u64, SPAN);
    }
    println!("bytes for a name: map {}, table {}", map / NAMES, seen.size() / NAMES);
    let mut group = c.benchmark_group("lookup and entry");
    let mut at = 0;
    group.bench_function("plain map", |b| {
        b.iter_batched(
            || {
                at = (at + 7_919) % NAMES;
                at
            },
            |at| {
                let key = ("client-name".to_string(), names[at].clone());
                let known = plain.get(&key).is_some_and(|(_, until)| *until > 0);
                plain.insert(key, (at as u64, SPAN));
                known
            },
            BatchSize::SmallInput,
        );
    });
    group.bench_function("table", |b| {
        b.iter_batched(
            || {
                at = (at + 7_919) % NAMES;
                at
            },
            |at| {
                let name = Name::new("client-name", &names[at]);
                let known = seen.find(0, name) != Verdict::New;
                seen.add(0, name, at as u64, SPAN);
                known
            },
            BatchSize::SmallInput,
        );
    });
    group.finish();
}

criterion_group!(benches, run);
criterion_main!(benches);
