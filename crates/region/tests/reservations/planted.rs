//! Faults put in on purpose: for each a seed that finds it, and what it finds.

use crate::world::World;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    None,
    /// A home answers before what it says is durable.
    BeforeDurable,
    /// A member speaks for lives whose folder it lost.
    SpeaksForLost,
    /// A member says what it took on before it has read its journals.
    BeforeRead,
    /// The word on a slot is begun anew as if nothing had been known.
    ForgotNothing,
    /// It is begun anew while a member that is only away has it.
    OwnWhileAway,
    /// A new folder passes for the old one.
    OneFolder,
    /// A node does not say what became of a claim.
    NeverSettles,
}

/// For each fault the seed, and a word of what is said.
const FOUND: [(Plant, u64, &str); 7] = [
    (Plant::ForgotNothing, 0, "took it on"),
    (Plant::NeverSettles, 0, "has no answer at the end"),
    (Plant::BeforeRead, 0, "took it on"),
    (Plant::OwnWhileAway, 3, "has no answer at the end"),
    (Plant::BeforeDurable, 20, "has no answer at the end"),
    (Plant::OneFolder, 137, "took it on"),
    (Plant::SpeaksForLost, 285, "took it on"),
];

#[test]
fn each_planted_fault_is_found() {
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

/// Looks for seeds anew, after the schedules have changed.
fn seek() {
    use Plant::*;
    let all =
        [BeforeDurable, SpeaksForLost, BeforeRead, ForgotNothing, OwnWhileAway, OneFolder, NeverSettles];
    std::thread::scope(|scope| {
        for plant in all {
            scope.spawn(move || {
                let found = (0..300).find_map(|seed| Some((seed, World::new(seed, plant).schedule().err()?)));
                println!("{plant:?} {found:?}");
            });
        }
    });
}
