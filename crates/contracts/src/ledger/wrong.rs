//! A right log with one fault.

use super::real::Real;
use super::{Held, Keeping, Ledger, Shelf};
use heronroute_fleet::replicas::LogError;
use heronroute_journal::disk::Disk;
use std::cell::RefCell;
use std::rc::Rc;

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A second promise is not written.
    Promise,
    /// Items are taken in a ballot below the one they came in.
    Round,
    /// What is decided later is not written.
    Decided,
    /// What is taken later is put behind what stands.
    Appends,
    /// What is decided may shrink.
    Shrinks,
    /// Trimming takes one more.
    TrimsMore,
    /// A file that was written anew lacks the promise.
    AnewLess,
    /// A torn end is refused.
    RefusesTorn,
    /// A broken middle is taken for a torn end.
    CutsMiddle,
    /// An opened log counts its commits from its opening.
    Marks,
    /// Anybody's log will do.
    Anybody,
    /// Every other commit is told and made durable with the next.
    Early,
    /// Each change is made durable by itself.
    Piecemeal,
    /// A commit after one that failed is told.
    Hopeful,
}

/// The log with its fault.
pub struct Planted(pub Fault);

fn disk() -> Shelf {
    Rc::new(RefCell::new(Disk::default()))
}

impl Keeping for Planted {
    fn shelf(&self) -> Shelf {
        disk()
    }
    fn open(&self, shelf: Shelf, keeper: u8) -> Result<Box<dyn Ledger>, LogError> {
        let (fault, real) = (self.0, Real(Box::new(disk)));
        let read = |shelf: &Shelf| shelf.borrow().read("agreed").unwrap_or_default();
        let before = read(&shelf);
        let inner = match real.open(Rc::clone(&shelf), keeper) {
            Err(LogError::Broken(at)) if fault == Fault::CutsMiddle => {
                let mut files = shelf.borrow_mut();
                if at == 0 {
                    files.remove("agreed")?
                } else {
                    files.truncate("agreed", at as u64)?
                }
                drop(files);
                real.open(Rc::clone(&shelf), keeper)?
            }
            Err(LogError::Other) if fault == Fault::Anybody => real.open(Rc::clone(&shelf), keeper - 1)?,
            other => other?,
        };
        if fault == Fault::RefusesTorn && read(&shelf).len() < before.len() {
            return Err(LogError::Broken(before.len()));
        }
        let opened = inner.mark();
        Ok(Box::new(Wrong { inner, fault, opened, promised: 0, shrunk: None, commits: 0, failed: false }))
    }
}

struct Wrong {
    inner: Box<dyn Ledger>,
    fault: Fault,
    opened: u64,
    promised: u32,
    shrunk: Option<usize>,
    commits: u32,
    failed: bool,
}

impl Wrong {
    fn is(&self, fault: Fault) -> bool {
        self.fault == fault
    }
    fn done(&mut self) {
        if self.is(Fault::Piecemeal) {
            self.inner.commit();
        }
    }
}

impl Ledger for Wrong {
    fn promise(&mut self, ballot: u32) {
        self.promised += 1;
        if !(self.is(Fault::Promise) && ballot == 5 && self.promised == 1) {
            self.inner.promise(ballot);
        }
        self.done();
    }
    fn take(&mut self, ballot: u32, from: usize, bodies: &[&[u8]]) {
        let ballot = ballot - u32::from(self.is(Fault::Round) && bodies == [b"three"]);
        let end = || self.inner.held().trimmed + self.inner.held().items.len();
        let from = if self.is(Fault::Appends) { end() } else { from };
        self.inner.take(ballot, from, bodies);
        self.done();
    }
    fn decide(&mut self, slots: usize) {
        let one = || self.inner.held().items.first().is_some_and(|i| i == b"one");
        if self.is(Fault::Decided) && slots == 2 && one() {
            return;
        }
        if self.is(Fault::Shrinks) && slots < self.inner.held().decided {
            self.shrunk = Some(slots);
        }
        self.inner.decide(slots);
        self.done();
    }
    fn trim(&mut self, slot: usize) {
        self.inner.trim(slot + usize::from(self.is(Fault::TrimsMore) && slot == 3));
        self.done();
    }
    fn commit(&mut self) -> bool {
        self.commits += 1;
        if self.is(Fault::Early) && self.commits % 2 == 1 && !self.failed {
            return true;
        }
        let committed = self.inner.commit();
        let hopes = self.is(Fault::Hopeful) && self.failed;
        self.failed = !committed;
        committed || hopes
    }
    fn held(&self) -> Held {
        let mut held = self.inner.held();
        held.decided = self.shrunk.unwrap_or(held.decided);
        if self.is(Fault::AnewLess) && self.promised == 0 && held.trimmed > 10 {
            held.promised = 0;
        }
        held
    }
    fn mark(&self) -> u64 {
        self.inner.mark() - if self.is(Fault::Marks) { self.opened } else { 0 }
    }
}
