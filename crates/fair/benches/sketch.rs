//! The sketch compared with exact counting at 100,000 tenants: the cost of an event, memory, and the counts
//! of the heaviest tenants.
//!
//! `cargo bench -p heronroute-fair --bench sketch`

use heronroute_fair::TrafficSketch;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use std::collections::HashMap;
use std::time::Instant;

fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|p| p.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

fn main() {
    let tenants = 100_000u64;
    let mut random = ChaCha8Rng::seed_from_u64(1);
    // A few tenants make most of the traffic (about Zipf).
    let events: Vec<u64> = (0..4_000_000)
        .map(|_| {
            let u = (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
            (tenants as f64).powf(u) as u64
        })
        .collect();
    let before = resident_bytes();
    let start = Instant::now();
    let mut exact: HashMap<u64, u64> = HashMap::new();
    events.iter().for_each(|t| *exact.entry(*t).or_insert(0) += 1);
    let (exact_time, exact_memory) = (start.elapsed().as_secs_f64(), resident_bytes() - before);
    let mut order: Vec<(u64, u64)> = exact.iter().map(|(t, c)| (*c, *t)).collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    println!(
        "exact: {:.0} ns an event, {:.1} MB for {} tenants",
        exact_time * 1e9 / events.len() as f64,
        exact_memory / 1e6,
        exact.len()
    );
    for counters in [100, 1_000, 10_000] {
        let start = Instant::now();
        let mut sketch = TrafficSketch::new(counters);
        events.iter().for_each(|t| sketch.add(*t));
        let time = start.elapsed().as_secs_f64();
        let worst = order[..20].iter().map(|(c, t)| sketch.count(t).1.abs_diff(*c)).max().unwrap_or(0);
        let share = 2.0 / counters as f64;
        let found = sketch.heavy_parties(share);
        let above_share = order.iter().filter(|(c, _)| *c as f64 > share * events.len() as f64).count();
        let missed =
            order[..above_share].iter().filter(|(_, t)| !found.iter().any(|h| h.party == *t)).count();
        println!(
            "{counters:>6} counters: {:.0} ns an event; bound {} events, worst error among the 20 largest {worst}; \
             {above_share} tenants above {:.3}%, missed {missed}, others reported {}",
            time * 1e9 / events.len() as f64,
            sketch.error(),
            share * 100.0,
            found.len() - (above_share - missed)
        );
    }
}
