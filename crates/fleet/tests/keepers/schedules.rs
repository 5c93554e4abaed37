//! Schedules of faults from seeds. A failing seed is printed and replays exactly: `KEEPERS_SEED=... cargo test schedules`.

use crate::world::{MS, SECOND, World, fast};
use heronroute_fleet::Request;
use heronroute_fleet::replicas::Answer;
use rand::Rng;

/// Within this time after the last fault all are equal.
const CALM: i64 = 12 * SECOND;

/// What a schedule has come to.
#[derive(Debug, Default, PartialEq)]
pub struct Outcome {
    pub decided: usize,
    pub kills: u64,
    pub lost_disks: u64,
    pub calm_after: i64,
    pub trace: u64,
}

/// Nobody else's promises are lost: one more lost disk is within what the keepers bear.
fn bears_a_lost_disk(w: &World) -> bool {
    let lost = |n: &crate::node::Node| n.peer.keeper && n.lost;
    w.replicas() > 1 && !w.nodes.iter().any(lost)
}

fn begin(w: &mut World) {
    for _ in 0..100 {
        w.run(w.now + 100 * MS);
        if w.in_charge().is_some() {
            return;
        }
    }
    panic!("seed {}: nobody in charge at first: {}", w.seed, w.tell());
}

/// Old disks are put back under the file system, where all that saw more are within reach.
pub fn play(seed: u64) -> Outcome {
    played(seed, false)
}

/// `copies`: they are put back as copies, whoever is within reach.
fn played(seed: u64, copies: bool) -> Outcome {
    let replicas = [3, 3, 5, 1][(seed % 4) as usize];
    let mut w = World::new(seed, replicas, 1 + (seed % 2) as usize, fast());
    w.copies_show = copies;
    begin(&mut w);
    w.loss = [0, 0, 1, 10][(seed / 4 % 4) as usize];
    w.twice = [0, 5][(seed / 16 % 2) as usize];
    w.delay = [8 * MS, 60 * MS][(seed / 32 % 2) as usize];
    w.overtake = (seed / 64).is_multiple_of(3);
    let mut open: Vec<Request> = Vec::new();
    let mut lost_disks = 0;
    let count = w.nodes.len();
    for _ in 0..40 {
        let step = w.rng.random_range(20 * MS..400 * MS);
        w.run(w.now + step);
        let i = w.rng.random_range(0..count);
        let j = w.rng.random_range(0..count);
        match w.rng.random_range(0..30) {
            0..10 => {
                let size = w.rng.random_range(0..400);
                if w.nodes[i].up() {
                    open.push(w.ask_new(i, size));
                }
            }
            10..12 => {
                // The same again, by anybody: its body has to be the same too.
                if let Some(request) = open.last().cloned() {
                    w.propose(i, request, 7);
                }
            }
            12 | 13 => w.kill(i),
            14 | 15 => {
                let steps = w.rng.random_range(1..8);
                w.nodes[i].doom(steps);
            }
            16..19 => {
                if w.nodes[i].member.is_none() {
                    w.start(i);
                }
            }
            19 => w.cut_way(i, j),
            20 => w.cut_link(i, j),
            21 => (0..count).for_each(|other| w.cut_link(i, other)),
            22 | 23 => w.heal(),
            24 => w.pause(i),
            25 | 26 => w.wake(i),
            27 => {
                if i < replicas && bears_a_lost_disk(&w) {
                    lost_disks += 1;
                    w.kill(i);
                    w.wipe(i);
                    w.start(i);
                }
            }
            28 => w.back_up(i),
            _ => {
                if copies {
                    if i < replicas && bears_a_lost_disk(&w) && w.backups.contains_key(&i) {
                        lost_disks += 1;
                        w.kill(i);
                        w.put_back(i);
                        w.start(i);
                    }
                    continue;
                }
                // An old disk is found out by those that saw more of it; they are to be within reach.
                if i < replicas && bears_a_lost_disk(&w) && w.backups.contains_key(&i) {
                    (0..count).for_each(|n| w.wake(n));
                    (0..count).filter(|n| *n != i).for_each(|n| {
                        if w.nodes[n].member.is_none() {
                            w.start(n);
                        }
                    });
                    w.heal();
                    w.run(w.now + 400 * MS);
                    if !bears_a_lost_disk(&w) {
                        continue;
                    }
                    lost_disks += 1;
                    w.kill(i);
                    w.put_back(i);
                    w.start(i);
                    w.run(w.now + 2 * SECOND);
                }
            }
        }
    }
    let mut calm_after = w.settle_down(CALM);
    // All that was asked is asked again, by whoever is there, and comes to one entry each.
    for request in &open {
        let decided =
            |w: &World| matches!(w.answers.get(request), Some(Answer::Decided(_) | Answer::Superseded));
        for _ in 0..10 {
            if decided(&w) {
                break;
            }
            let i = w.rng.random_range(0..count);
            w.propose(i, request.clone(), 7);
            w.run(w.now + 400 * MS);
        }
        assert!(decided(&w), "seed {seed}: {request:?} gets {:?}; {}", w.answers.get(request), w.tell());
    }
    calm_after += w.settle_down(CALM);
    Outcome { decided: w.history.len(), kills: w.kills, lost_disks, calm_after, trace: w.trace }
}

/// Seeds by which something was found once, beyond those that are always played.
const FOUND: [u64; 6] = [189, 746, 786, 994, 1210, 1221];

fn sweep(count: u64, play: fn(u64) -> Outcome) -> Vec<Outcome> {
    let seeds: Vec<u64> = (0..count).chain(FOUND.into_iter().filter(|seed| *seed >= count)).collect();
    let next = std::sync::atomic::AtomicUsize::new(0);
    let all = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let Some(seed) = seeds.get(at).copied() else { return };
                    let outcome = play(seed);
                    all.lock().unwrap().push(outcome);
                }
            });
        }
    });
    all.into_inner().unwrap()
}

#[test]
fn schedules_from_seeds() {
    if let Some(seed) = std::env::var("KEEPERS_SEED").ok().and_then(|s| s.parse().ok()) {
        return println!("{:?}", play(seed));
    }
    let long = std::env::var("HERONROUTE_LONG").is_ok();
    let outcomes = sweep(if long { 4_000 } else { 120 }, play);
    let kills: u64 = outcomes.iter().map(|o| o.kills).sum();
    let lost: u64 = outcomes.iter().map(|o| o.lost_disks).sum();
    let decided: usize = outcomes.iter().map(|o| o.decided).sum();
    let worst = outcomes.iter().map(|o| o.calm_after).max();
    println!(
        "{} schedules: {kills} kills, {lost} disks lost or put back, {decided} entries decided, none lost or forked; \
         calm at the latest {worst:?} µs after the last fault",
        outcomes.len()
    );
    assert!(kills >= 200, "{kills} kills");
}

/// A folder put back at any time, with others cut off, paused or down: it does not vote before it is known what it forgot.
#[test]
fn schedules_with_copies_put_back_at_any_time() {
    let long = std::env::var("HERONROUTE_LONG").is_ok();
    let outcomes = sweep(if long { 4_000 } else { 40 }, |seed| played(seed, true));
    let lost: u64 = outcomes.iter().map(|o| o.lost_disks).sum();
    println!("{} schedules: {lost} disks lost or put back", outcomes.len());
    assert!(lost >= 20, "{lost} disks");
}

#[test]
fn a_seed_replays_exactly() {
    for seed in [3, 6, 9] {
        assert_eq!(play(seed), play(seed));
    }
}
