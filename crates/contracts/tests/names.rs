//! The memory of names, and planted wrong ones.

use heronroute_contracts::names::{CLAUSES, Fault, FaultyNames, Names, NamesFactory};
use heronroute_contracts::suite::{kept, planted};
use heronroute_seen::SeenNames;

#[test]
fn seen() {
    kept(
        CLAUSES,
        &(|names, seed| Box::new(SeenNames::new(names, 0, seed)) as Box<dyn Names>) as &NamesFactory,
    );
}

#[test]
fn planted_memories_are_caught() {
    for (fault, clause) in [
        (Fault::Hasty, "a name counts until its time"),
        (Fault::Clings, "a name that is over is new"),
        (Fault::KeepsFirst, "a name taken on again is the later message"),
        (Fault::Mixes, "names of one client are nothing to another"),
        (Fault::CallsNew, "what may have been forgotten is never new"),
        (Fault::Deaf, "what is said to be forgotten is unsure until its time"),
        (Fault::GivesUp, "a memory that is large enough forgets nothing"),
        (Fault::Grows, "it does not grow"),
    ] {
        let fresh = move |names, seed| Box::new(FaultyNames::new(names, seed, fault)) as Box<dyn Names>;
        planted(CLAUSES, &fresh as &NamesFactory, clause);
    }
}
