//! A correct memory of names with one planted fault.

use super::Names;
use heronroute_seen::{Name, SeenNames, Verdict};

/// The planted fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The first name is forgotten two seconds before its time.
    Hasty,
    /// The first name counts a minute longer.
    Clings,
    /// The third name, if it is known, stays with its earlier message.
    KeepsFirst,
    /// An unsure name is reported as new.
    CallsNew,
    /// Reports of forgotten names are ignored.
    Deaf,
    /// All names are unsure once many are stored.
    GivesUp,
    /// Each name adds to the size.
    Grows,
    /// The names of two clients are confused.
    Mixes,
}

/// A memory with a planted fault.
#[derive(Clone, Debug)]
pub struct FaultyNames {
    inner: SeenNames,
    fault: Fault,
    added: usize,
}

impl FaultyNames {
    /// Creates a memory for about this number of names.
    pub fn new(names: usize, seed: u64, fault: Fault) -> Self {
        FaultyNames { inner: SeenNames::new(names, 0, seed), fault, added: 0 }
    }

    fn name(&self, name: Name) -> Name {
        let other = Name::new("other", "a");
        if self.fault == Fault::Mixes && name == other { Name::new("client", "a") } else { name }
    }
}

impl Names for FaultyNames {
    fn find(&self, now: i64, name: Name) -> Verdict {
        let found = self.inner.find(now, self.name(name));
        match (self.fault, found) {
            (Fault::CallsNew, Verdict::Unsure) if self.added > 20 => Verdict::New,
            (Fault::GivesUp, Verdict::New) if self.added >= 700 => Verdict::Unsure,
            _ => found,
        }
    }
    fn add(&mut self, now: i64, name: Name, id: u64, until: i64) {
        self.added += 1;
        let name = self.name(name);
        let first = match self.inner.find(now, name) {
            Verdict::Same(first) if self.fault == Fault::KeepsFirst && self.added == 3 => first,
            _ => id,
        };
        let span = until - now;
        let until = match self.fault {
            Fault::Hasty if span == 10_000_000 && self.added == 1 => until - 2_000_000,
            Fault::Clings if span == 10_000_000 && self.added == 1 => until + 60_000_000,
            _ => until,
        };
        self.inner.add(now, name, first, until);
    }
    fn forgot(&mut self, until: i64) {
        if self.fault != Fault::Deaf {
            self.inner.forgot(until);
        }
    }
    fn size(&self) -> usize {
        self.inner.size() + if self.fault == Fault::Grows { self.added } else { 0 }
    }
}
