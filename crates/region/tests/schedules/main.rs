//! Simulates members in two regions on a virtual clock, with faults from a seed, and checks the invariants
//! after each step.
//!
//! The keepers' lease is the real one (`heronroute_fleet::lease`) among modelled keepers. Their log is
//! modelled as a list that accepts what a member proposes while a majority is connected, late and in any
//! order, which allows more than the real log does. SWIM is modelled by reachability and by wrong beliefs.
//! `HERONROUTE_SEED=n` replays a schedule, `HERONROUTE_LONG=1` runs ten times as many.

mod check;
mod member;
mod planted;
mod world;

use world::{Plant, World};

fn long() -> bool {
    std::env::var("HERONROUTE_LONG").is_ok_and(|v| v == "1")
}

fn sweep(seeds: std::ops::Range<u64>) {
    let threads = 4;
    let sums = std::thread::scope(|scope| {
        let run = |part: u64| {
            let seeds = seeds.clone().filter(move |seed| seed % threads == part);
            scope.spawn(move || {
                let mut sum = check::Sum::default();
                let mut failed = Vec::new();
                for seed in seeds {
                    match World::new(seed, Plant::None).schedule() {
                        Ok(one) => sum.add(&one),
                        Err(line) => failed.push(line),
                    }
                }
                (sum, failed)
            })
        };
        let all: Vec<_> = (0..threads).map(run).collect();
        all.into_iter().map(|one| one.join().unwrap()).collect::<Vec<_>>()
    });
    let mut whole = check::Sum::default();
    let failed: Vec<String> = sums
        .into_iter()
        .flat_map(|(sum, failed)| {
            whole.add(&sum);
            failed
        })
        .collect();
    println!("{whole:?}");
    assert!(failed.is_empty(), "{} schedules failed:\n{}", failed.len(), failed.join("\n"));
    // Guards against a simulation in which nothing happens and so nothing is found.
    assert!(
        whole.takeover > whole.runs / 2 && whole.returned > whole.runs / 8 && whole.void > 0,
        "{whole:?}"
    );
    assert!(whole.again > 0, "nothing was ever taken over from a dead partner: {whole:?}");
}

#[test]
fn schedules() {
    if let Some(seed) = std::env::var("HERONROUTE_SEED").ok().and_then(|s| s.parse().ok()) {
        println!("{:?}", World::new(seed, Plant::None).schedule());
        return;
    }
    sweep(0..if long() { 20_000 } else { 2_000 });
}
