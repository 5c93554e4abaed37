//! Faults planted on purpose: for each, a seed that finds it and what the failure says.

use crate::world::{Plant, World};

/// For each fault the seed, and part of the failure's message.
const FOUND: [(Plant, u64, &str); 10] = [
    (Plant::DutiesByBelievedLiveness, 0, "do duty"),
    (Plant::TakesCopyOfLaterLives, 3, "is acted on by"),
    (Plant::LeaseOnWallClock, 5, "do duty"),
    (Plant::ActsBeforeTakeoverConfirmed, 9, "is acted on by"),
    (Plant::GrantsAfterOwnLeaseExpired, 17, "is taken over, and"),
    (Plant::NoWaitForEarlierLeases, 17, "is taken over, and"),
    (Plant::GrantsWhileTakeoverProposed, 60, "is taken over, and"),
    (Plant::LeaseCountsFromArrival, 134, "was taken over and has a lease"),
    (Plant::NoDriftAllowance, 681, "is taken over, and"),
    (Plant::RequestsBeforeReadingOwnEntry, 754, "does not know that one before it"),
];

#[test]
fn each_planted_fault_is_detected() {
    if std::env::var("HERONROUTE_SEEK").is_ok() {
        return seek();
    }
    for (plant, seed, word) in FOUND {
        let Err(line) = World::new(seed, plant).schedule() else {
            panic!("{plant:?} is not found by {seed}")
        };
        assert!(line.contains(word), "{plant:?}: {line}");
        World::new(seed, Plant::None).schedule().unwrap();
    }
}

/// Searches for new seeds, for use after the schedules have changed.
fn seek() {
    let all = [
        Plant::RequestsBeforeReadingOwnEntry,
        Plant::LeaseCountsFromArrival,
        Plant::NoDriftAllowance,
        Plant::NoWaitForEarlierLeases,
        Plant::GrantsAfterOwnLeaseExpired,
        Plant::GrantsWhileTakeoverProposed,
        Plant::LeaseOnWallClock,
        Plant::ActsBeforeTakeoverConfirmed,
        Plant::TakesCopyOfLaterLives,
        Plant::DutiesByBelievedLiveness,
    ];
    std::thread::scope(|scope| {
        for plant in all {
            scope.spawn(move || {
                let found =
                    (0..4_000).find_map(|seed| Some((seed, World::new(seed, plant).schedule().err()?)));
                println!("{plant:?} {found:?}");
            });
        }
    });
}
