//! Simulates submissions of named messages at several members of two regions, on a virtual clock, with
//! faults from a seed.
//!
//! Journals, the network, clients and the takeover of lives with a lost folder are modelled; `Requester`
//! and `Registry` are the real ones. `HERONROUTE_SEED=n` replays a schedule, `HERONROUTE_LONG=1` runs ten
//! times as many.

mod directed;
mod faults;
mod planted;
mod stores;
mod world;

use planted::Plant;
use world::{Sum, World};

#[test]
fn schedules() {
    if let Some(seed) = std::env::var("HERONROUTE_SEED").ok().and_then(|s| s.parse().ok()) {
        println!("{:?}", World::new(seed, Plant::None).schedule());
        return;
    }
    let long = std::env::var("HERONROUTE_LONG").is_ok_and(|v| v == "1");
    let (seeds, threads) = (if long { 1_000 } else { 100 }, 4);
    let ended = std::thread::scope(|scope| {
        let run = |part: u64| {
            let seeds = (0..seeds).filter(move |seed| seed % threads == part);
            scope.spawn(|| seeds.map(|seed| World::new(seed, Plant::None).schedule()).collect::<Vec<_>>())
        };
        let all: Vec<_> = (0..threads).map(run).collect();
        all.into_iter().flat_map(|one| one.join().unwrap()).collect::<Vec<_>>()
    });
    let failed: Vec<_> = ended.iter().filter_map(|one| one.as_ref().err().cloned()).collect();
    assert!(failed.is_empty(), "{} schedules failed:\n{}", failed.len(), failed.join("\n"));
    let sum = ended.into_iter().flatten().fold(Sum::default(), Sum::with);
    println!("{sum:?}");
    // Guards against a simulation in which nothing happens and so nothing is found.
    let Sum { accepted, same, unsettled, unreached, refused, lost, kills, given, .. } = sum;
    assert!(
        [accepted, same, unsettled, unreached, refused, lost, kills, given].iter().all(|n| *n > seeds / 2),
        "{sum:?}"
    );
}
