//! Which days are played, and what they come to together.

use super::trace::Fall;
use super::world::{Day, Outage, Played, S, World};

/// The days of one seed.
pub fn days(seed: u64) -> Vec<Day> {
    let mut all = Vec::new();
    for senders in [3, 30, 350] {
        for n in [1.0, 3.0, 10.0, 100.0] {
            for outage in [Outage::Shut, Outage::Down, Outage::Hung] {
                for age in [S, 3 * S, 12 * S, 30 * S] {
                    for restart in [None, Some(-S), Some(0), Some(4 * S)] {
                        for ways in [1, 2] {
                            all.push(Day { seed, senders, n, ways, outage, age, restart, well: 0 });
                        }
                    }
                }
            }
        }
    }
    all
}

/// Plays the days; gives those that fell, and how much was served in all.
pub fn sweep(days: impl Iterator<Item = Day>) -> (Vec<Fall>, usize) {
    let played: Vec<Played> = days.map(|day| World::new(day).play()).collect();
    let served = played.iter().map(|p| p.served).sum();
    (played.into_iter().filter_map(|p| p.fall).collect(), served)
}

/// How many senders, what the destination bears in a window, and how many endpoints it has, for the wide sweep.
pub const SENDERS: [usize; 9] = [3, 5, 10, 20, 25, 30, 100, 300, 350];
pub const BEARS: [f64; 5] = [1.0, 2.0, 5.0, 20.0, 100.0];
pub const WAYS: [u32; 4] = [1, 2, 3, 4];
pub const OUTAGES: [Outage; 3] = [Outage::Shut, Outage::Down, Outage::Hung];

/// The days of one seed over more sizes: all endpoints up to four, small fleets by name, outages of 10 s among others.
pub fn wide_days(seed: u64) -> Vec<Day> {
    let mut all = Vec::new();
    for senders in SENDERS {
        for n in BEARS {
            for outage in OUTAGES {
                for ways in WAYS {
                    for age in [S, 3 * S, 10 * S, 30 * S] {
                        for restart in [None, Some(-S), Some(0), Some(4 * S)] {
                            all.push(Day { seed, senders, n, ways, outage, age, restart, well: 0 });
                        }
                    }
                }
            }
        }
    }
    all
}

/// Plays the days on a few threads, as many as asked for; in order.
pub fn play_all(days: &[Day], threads: usize) -> Vec<(Day, Played)> {
    let part = days.len().div_ceil(threads).max(1);
    let play = |days: &[Day]| days.iter().map(|day| (*day, World::new(*day).play())).collect::<Vec<_>>();
    std::thread::scope(|scope| {
        let running: Vec<_> = days.chunks(part).map(|days| scope.spawn(move || play(days))).collect();
        running.into_iter().flat_map(|thread| thread.join().expect("a day is played")).collect()
    })
}

/// Days on which a part of the endpoints hangs and the others stay well, some answers being lost.
pub fn half_well_days(seed: u64) -> Vec<Day> {
    let mut all = Vec::new();
    for senders in [3, 30, 300] {
        for n in [2.0, 20.0, 100.0] {
            for (ways, well) in [(2, 1), (3, 1), (3, 2), (4, 1), (4, 2), (4, 3)] {
                for age in [3 * S, 18 * S] {
                    let outage = Outage::Hung;
                    all.push(Day { seed, senders, n, ways, outage, age, restart: None, well });
                }
            }
        }
    }
    all
}
