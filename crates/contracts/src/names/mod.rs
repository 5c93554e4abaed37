//! The contract of memories of message names, which have bounded size. A name that may have been forgotten must never
//! count as new, because a second submission of its message could take effect again.

mod faulty;

pub use faulty::{Fault, FaultyNames};

use crate::ensure;
use crate::random::SeededRandom;
use crate::suite::Clause;
use heronroute_seen::{Name, SeenNames, Verdict};
use std::collections::BTreeMap;

const SECOND: i64 = 1_000_000;

/// A memory of message names. Times are in microseconds on the caller's clock.
pub trait Names {
    /// Looks a name up.
    fn find(&self, now: i64, name: Name) -> Verdict;
    /// Records that a name was accepted as this message, and counts until a time.
    fn add(&mut self, now: i64, name: Name, id: u64, until: i64);
    /// Records that names which count until this time at most may have been forgotten.
    fn forgot(&mut self, until: i64);
    /// Returns its size in bytes.
    fn size(&self) -> usize;
}

impl Names for SeenNames {
    fn find(&self, now: i64, name: Name) -> Verdict {
        SeenNames::find(self, now, name)
    }
    fn add(&mut self, now: i64, name: Name, id: u64, until: i64) {
        SeenNames::add(self, now, name, id, until);
    }
    fn forgot(&mut self, until: i64) {
        SeenNames::forgot(self, until);
    }
    fn size(&self) -> usize {
        SeenNames::size(self)
    }
}

/// Creates a memory for about this number of names, from a seed. Its clock begins at 0.
pub type NamesFactory = dyn Fn(usize, u64) -> Box<dyn Names>;

/// The clauses.
pub const CLAUSES: &[Clause<NamesFactory>] = &[
    Clause { name: "a name counts until its time", run: until },
    Clause { name: "a name that is over is new", run: over },
    Clause { name: "a name taken on again is the later message", run: later },
    Clause { name: "names of one client are nothing to another", run: apart },
    Clause { name: "what may have been forgotten is never new", run: crowded },
    Clause { name: "what is said to be forgotten is unsure until its time", run: forgotten },
    Clause { name: "a memory that is large enough forgets nothing", run: enough },
    Clause { name: "it does not grow", run: bounded },
];

fn name(n: u64) -> Name {
    Name::new("client", &n.to_string())
}

fn is(found: Verdict, wanted: Verdict, what: &str) -> Result<(), String> {
    ensure!(found == wanted, "{what}: {found:?}, not {wanted:?}");
    Ok(())
}

fn until(fresh: &NamesFactory) -> Result<(), String> {
    let mut m = fresh(100, 7);
    m.add(0, name(1), 5, 10 * SECOND);
    for now in [0, SECOND, 9 * SECOND, 10 * SECOND] {
        is(m.find(now, name(1)), Verdict::Same(5), &format!("at {now} us"))?;
    }
    Ok(())
}

fn over(fresh: &NamesFactory) -> Result<(), String> {
    let mut m = fresh(100, 7);
    is(m.find(0, name(1)), Verdict::New, "never seen")?;
    m.add(0, name(1), 5, 10 * SECOND);
    // Spans are counted in whole seconds.
    is(m.find(12 * SECOND, name(1)), Verdict::New, "two seconds after its time")
}

fn later(fresh: &NamesFactory) -> Result<(), String> {
    let mut m = fresh(100, 7);
    m.add(0, name(1), 5, 10 * SECOND);
    m.add(12 * SECOND, name(1), 6, 30 * SECOND);
    is(m.find(13 * SECOND, name(1)), Verdict::Same(6), "after its first time")?;
    m.add(14 * SECOND, name(1), 7, 40 * SECOND);
    is(m.find(35 * SECOND, name(1)), Verdict::Same(7), "within it")
}

fn apart(fresh: &NamesFactory) -> Result<(), String> {
    let mut m = fresh(100, 7);
    m.add(0, Name::new("client", "a"), 5, 10 * SECOND);
    for (client, name) in [("other", "a"), ("clien", "ta"), ("client", "b"), ("", "clienta")] {
        is(m.find(0, Name::new(client, name)), Verdict::New, &format!("{client}'s {name}"))?;
    }
    Ok(())
}

/// Compares a memory that is far too small with a map.
fn crowded(fresh: &NamesFactory) -> Result<(), String> {
    for seed in 0..12 {
        let (mut m, mut random) = (fresh(24, seed), SeededRandom::new(seed));
        let mut plain: BTreeMap<u64, (u64, i64)> = BTreeMap::new();
        let (mut now, mut unsure) = (0, 0);
        for id in 0..300 {
            now += random.below(3) as i64 * SECOND / 2;
            let who = random.below(200) as u64;
            let known = plain.get(&who).filter(|k| k.1 >= now).map(|k| k.0);
            match m.find(now, name(who)) {
                Verdict::New => ensure!(known.is_none(), "seed {seed}: {who} is new, and is {known:?}"),
                Verdict::Same(id) => {
                    ensure!(known.is_none_or(|k| k == id), "seed {seed}: {who} is {id}, not {known:?}")
                }
                Verdict::Unsure => unsure += 1,
            }
            let until = now + (20 + random.below(60) as i64) * SECOND;
            m.add(now, name(who), id, until);
            plain.insert(who, (id, until));
        }
        ensure!(unsure > 0, "seed {seed}: nothing was ever unsure: the memory is not small");
    }
    Ok(())
}

fn forgotten(fresh: &NamesFactory) -> Result<(), String> {
    let mut m = fresh(100, 7);
    m.add(0, name(1), 5, 60 * SECOND);
    m.forgot(20 * SECOND);
    m.forgot(10 * SECOND);
    is(m.find(SECOND, name(1)), Verdict::Same(5), "what is known all the same")?;
    is(m.find(19 * SECOND, name(2)), Verdict::Unsure, "before that time")?;
    is(m.find(22 * SECOND, name(2)), Verdict::New, "behind it")
}

fn enough(fresh: &NamesFactory) -> Result<(), String> {
    let mut m = fresh(1_000, 3);
    for n in 0..700 {
        m.add(0, name(n), n, 10 * SECOND);
    }
    for n in 0..700 {
        is(m.find(SECOND, name(n)), Verdict::Same(n), "one of 700 in a memory of 1,000")?;
    }
    is(m.find(SECOND, name(701)), Verdict::New, "one never seen")
}

fn bounded(fresh: &NamesFactory) -> Result<(), String> {
    let mut m = fresh(100, 3);
    let size = m.size();
    for n in 0..5_000 {
        m.add(0, name(n), n, 10 * SECOND);
    }
    ensure!(m.size() == size, "{} octets, {size} in the beginning", m.size());
    Ok(())
}
