//! The keepers' log as it is: `omnipaxos`'s storage over the fleet's file.

use super::{Held, Keeping, Ledger, Shelf};
use heronroute_fleet::replicas::LogError;
use heronroute_fleet::replicas::item::Item;
use heronroute_fleet::replicas::log::Log;
use heronroute_fleet::replicas::record::Record;
use heronroute_fleet::replicas::store::SharedLog;
use heronroute_fleet::{Entry, Life, Name, Request, Start};
use heronroute_journal::Storage;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::Storage as _;
use std::io;

/// Gives folders.
pub struct Real(pub Box<dyn Fn() -> Shelf>);

impl Keeping for Real {
    fn shelf(&self) -> Shelf {
        (self.0)()
    }
    fn open(&self, shelf: Shelf, keeper: u8) -> Result<Box<dyn Ledger>, LogError> {
        let mut log = Log::open(On(shelf), 7, keeper, 3)?;
        // Only one that takes part has a mark.
        if !log.state().voting {
            log.write(Record::Voting(0));
        }
        Ok(Box::new(SharedLog::new(log)))
    }
}

fn ballot(n: u32) -> Ballot {
    Ballot { config_id: 1, n, priority: 0, pid: 1 }
}

fn item(body: &[u8]) -> Item {
    let from = Life { name: Name::new("a").expect("a name"), start: Start(1) };
    Item::Asked(Entry { request: Request { from, number: 1 }, wall: 0, body: body.to_vec() })
}

// None of its storage's methods fails: a failure is kept for the commit.
impl Ledger for SharedLog<On> {
    fn promise(&mut self, n: u32) {
        _ = self.set_promise(ballot(n));
    }
    fn take(&mut self, n: u32, from: usize, bodies: &[&[u8]]) {
        _ = self.set_accepted_round(ballot(n));
        _ = self.append_on_prefix(from, bodies.iter().map(|b| item(b)).collect());
    }
    fn decide(&mut self, slots: usize) {
        _ = self.set_decided_idx(slots);
    }
    fn trim(&mut self, slot: usize) {
        _ = omnipaxos::storage::Storage::trim(self, slot);
    }
    fn commit(&mut self) -> bool {
        self.log().commit()
    }
    fn held(&self) -> Held {
        let n = |ballot: Option<Ballot>| ballot.map_or(0, |b| b.n);
        let trimmed = self.get_compacted_idx().unwrap_or(0);
        let body = |item: Item| match item {
            Item::Asked(entry) => entry.body,
            _ => Vec::new(),
        };
        Held {
            promised: n(self.get_promise().unwrap_or(None)),
            accepted: n(self.get_accepted_round().unwrap_or(None)),
            decided: self.get_decided_idx().unwrap_or(0),
            trimmed,
            items: self.get_suffix(trimmed).unwrap_or_default().into_iter().map(body).collect(),
        }
    }
    fn mark(&self) -> u64 {
        self.log().state().mark().writes
    }
}

/// A folder that others hold too.
pub struct On(pub Shelf);

impl Storage for On {
    fn list(&self) -> io::Result<Vec<String>> {
        self.0.borrow().list()
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.0.borrow().read(name)
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.0.borrow_mut().create(name)
    }
    fn append(&mut self, name: &str, octets: &[u8]) -> io::Result<()> {
        self.0.borrow_mut().append(name, octets)
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.0.borrow_mut().truncate(name, length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.0.borrow_mut().sync(name)
    }
    fn sync_names(&mut self) -> io::Result<()> {
        self.0.borrow_mut().sync_names()
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.borrow_mut().rename(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.borrow_mut().remove(name)
    }
}
