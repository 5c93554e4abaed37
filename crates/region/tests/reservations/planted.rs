//! Faults planted on purpose: for each, a seed that finds it and what the failure says.

use crate::world::World;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    None,
    /// A home replies before the state behind the reply is durable.
    RepliesBeforeDurable,
    /// A member answers for lives whose folder it lost.
    AnswersForLostFolder,
    /// A member answers what it accepted before it has read its journals.
    AnswersBeforeReadingJournals,
    /// The authority over a slot is taken anew as if no names had been known.
    IgnoresForgottenNames,
    /// The authority is taken anew while a member that is only away has it.
    TakesAuthorityWhileHolderIsAway,
    /// A new folder passes for the old one.
    ReusesFolderIdentity,
    /// A node does not report the result of a reservation.
    NeverReportsResult,
}

/// For each fault the seed, and part of the failure's message.
const FOUND: [(Plant, u64, &str); 7] = [
    (Plant::IgnoresForgottenNames, 0, "took it on"),
    (Plant::NeverReportsResult, 0, "has no answer at the end"),
    (Plant::AnswersBeforeReadingJournals, 0, "took it on"),
    (Plant::TakesAuthorityWhileHolderIsAway, 3, "has no answer at the end"),
    (Plant::RepliesBeforeDurable, 20, "has no answer at the end"),
    (Plant::ReusesFolderIdentity, 137, "took it on"),
    (Plant::AnswersForLostFolder, 285, "took it on"),
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
    use Plant::*;
    let all = [
        RepliesBeforeDurable,
        AnswersForLostFolder,
        AnswersBeforeReadingJournals,
        IgnoresForgottenNames,
        TakesAuthorityWhileHolderIsAway,
        ReusesFolderIdentity,
        NeverReportsResult,
    ];
    std::thread::scope(|scope| {
        for plant in all {
            scope.spawn(move || {
                let found = (0..300).find_map(|seed| Some((seed, World::new(seed, plant).schedule().err()?)));
                println!("{plant:?} {found:?}");
            });
        }
    });
}
