//! The guarantees of a [`Store`], tested on the store in memory and on the log.

use heronroute_fleet::{Life, Name, Start};
use heronroute_journal::Storage;
use heronroute_journal::disk::Disk;
use heronroute_region::reservations::{
    Entry, LogError, LogStore, MemoryStore, Op, ReservationKey, Slot, Store,
};
use heronroute_region::seam::NameDigest;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// A disk that remains accessible when opening its log has failed.
#[derive(Clone, Default)]
struct Shared(Rc<RefCell<Disk>>);

impl Storage for Shared {
    fn list(&self) -> io::Result<Vec<String>> {
        self.0.borrow().list()
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.0.borrow().read(name)
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.0.borrow_mut().create(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.0.borrow_mut().append(name, bytes)
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

type All = (BTreeMap<ReservationKey, Entry>, BTreeMap<u16, Slot>);

fn op(random: &mut SmallRng) -> Op {
    let key = ReservationKey::new("c", NameDigest { high: random.random_range(0..20), low: 0 });
    let by = Life { name: Name::new("m").unwrap(), start: Start(1) };
    match random.random_range(0..4) {
        0 => Op::Remove(key),
        1 => Op::Slot(key.slot, Slot { epoch: random.random_range(0..9), ..Slot::default() }),
        _ => Op::Put(
            key,
            Entry { by, number: random.random_range(0..9), until: 5, accepted: random.random_bool(0.5) },
        ),
    }
}

fn apply(all: &mut All, op: &Op) {
    match op.clone() {
        Op::Put(key, entry) => drop(all.0.insert(key, entry)),
        Op::Remove(key) => drop(all.0.remove(&key)),
        Op::Slot(at, slot) => drop(all.1.insert(at, slot)),
    }
}

#[test]
fn memory_store_keeps_what_was_synced() {
    let mut random = SmallRng::seed_from_u64(1);
    let (mut store, mut kept) = (MemoryStore::default(), All::default());
    for round in 0..200 {
        let ops: Vec<_> = (0..3).map(|_| op(&mut random)).collect();
        let batch = store.write(ops.clone());
        assert!(store.durable() < batch);
        if round % 3 == 0 {
            store.crash();
        } else {
            store.sync();
            assert_eq!(store.durable(), batch);
            ops.iter().for_each(|op| apply(&mut kept, op));
        }
        assert_eq!(store.load(), kept);
    }
}

/// Loses power at any step, including opening and rewriting the log: what was reported durable is there,
/// and of the rest only complete frames in order.
#[test]
fn log_keeps_what_it_reported_durable() {
    let mut files = 0;
    for seed in 0..400 {
        let mut random = SmallRng::seed_from_u64(seed);
        let power = 1 + seed % 90;
        let disk = Shared::default();
        disk.0.borrow_mut().faults.power = power;
        // The expected state after each batch of the last life.
        let (mut states, mut durable) = (vec![All::default()], 0);
        for life in 0..5 {
            let opened = LogStore::open(disk.clone(), if seed % 2 == 0 { 0 } else { 1 << 20 });
            assert!(
                !matches!(opened, Err(LogError::Broken(..))),
                "seed {seed}, life {life}: {:?}",
                opened.err()
            );
            if let Ok(mut log) = opened {
                let found = states.iter().rposition(|state| *state == log.load());
                assert!(
                    found.is_some_and(|at| at >= durable),
                    "seed {seed}, life {life}: {found:?}, {durable} durable"
                );
                (states, durable) = (vec![log.load()], 0);
                let base = log.durable();
                for _ in 0..30 {
                    let ops: Vec<_> = (0..random.random_range(1..4)).map(|_| op(&mut random)).collect();
                    let mut next = states.last().unwrap().clone();
                    ops.iter().for_each(|op| apply(&mut next, op));
                    states.push(next);
                    log.write(ops);
                    if random.random_bool(0.6) {
                        _ = log.sync();
                        durable = (log.durable() - base) as usize;
                    }
                }
                files += usize::from(durable > 20);
            }
            let found = disk.0.borrow().after_loss(random.random());
            disk.0.replace(found);
            disk.0.borrow_mut().faults.power = random.random_range(1..90);
            // A sync may fail although later ones succeed.
            disk.0.borrow_mut().faults.sync = random.random_range(0..40);
        }
    }
    assert!(files > 100, "hardly anything was written: {files}");
}

#[test]
fn corruption_before_the_last_frame_is_rejected() {
    let mut random = SmallRng::seed_from_u64(2);
    let mut log = LogStore::open(Disk::default(), 1 << 20).unwrap();
    for _ in 0..5 {
        log.write(vec![op(&mut random)]);
        log.sync().unwrap();
    }
    let disk = log.into_storage();
    let name = disk.list().unwrap().remove(0);
    let bytes = disk.read(&name).unwrap();
    for at in 0..bytes.len() {
        let mut broken = bytes.clone();
        broken[at] ^= 0x10;
        let mut disk = Disk::default();
        disk.create(&name).unwrap();
        disk.append(&name, &broken).unwrap();
        let last = bytes.len() - at <= 28 + 60;
        assert!(LogStore::open(disk, 0).is_err() || last, "octet {at} of {}", bytes.len());
    }
}
