//! The contract of storage that can lose what was not synced: what was synced survives, and the rest may be lost. A test
//! double that keeps more than a disk would hide a missing sync.

use super::file;
use crate::ensure;
use crate::suite::{Clause, done};
use heronroute_journal::Storage;

/// Storage that can be opened as it is found after a power loss.
pub trait LossyStorage: Storage {
    /// Returns one of the states in which it may be found.
    fn after_loss(&self, seed: u64) -> Box<dyn LossyStorage>;
}

impl LossyStorage for heronroute_journal::disk::Disk {
    fn after_loss(&self, seed: u64) -> Box<dyn LossyStorage> {
        Box::new(heronroute_journal::disk::Disk::after_loss(self, seed))
    }
}

/// Creates a storage without files.
pub type LossyStorageFactory = dyn Fn() -> Box<dyn LossyStorage>;

/// The number of seeds, far more than there are states.
const SEEDS: u64 = 64;

/// The clauses on storage that loses what was not synced.
pub const LOSSY_STORAGE_CLAUSES: &[Clause<LossyStorageFactory>] = &[
    Clause { name: "what was synced survives a loss", run: synced },
    Clause { name: "what was not synced may be lost", run: unsynced },
    Clause { name: "a loss brings nothing that was not written", run: nothing_new },
    Clause { name: "synced names survive a loss", run: names },
    Clause { name: "names that were not synced may be lost", run: names_unsynced },
    Clause { name: "a rename survives whole or not at all", run: rename },
    Clause { name: "a synced cut stays", run: cut },
    Clause { name: "a cut that was not synced may be undone", run: cut_unsynced },
];

fn each(s: &dyn LossyStorage) -> impl Iterator<Item = (u64, Box<dyn LossyStorage>)> + '_ {
    (1..=SEEDS).map(|seed| (seed, s.after_loss(seed)))
}

/// A file `a` that is durable, name and all.
fn durable(fresh: &LossyStorageFactory, octets: &[u8]) -> Result<Box<dyn LossyStorage>, String> {
    let mut s = fresh();
    file(&mut *s, "a", octets)?;
    done("sync", s.sync("a"))?;
    done("sync_names", s.sync_names())?;
    Ok(s)
}

fn synced(fresh: &LossyStorageFactory) -> Result<(), String> {
    let mut s = durable(fresh, b"first")?;
    done("append", s.append("a", b"second"))?;
    done("sync", s.sync("a"))?;
    done("append", s.append("a", b"third"))?;
    for (seed, s) in each(&*s) {
        let got = done("read", s.read("a"))?;
        ensure!(got.starts_with(b"firstsecond"), "seed {seed}: {got:?}");
    }
    Ok(())
}

fn unsynced(fresh: &LossyStorageFactory) -> Result<(), String> {
    let mut s = durable(fresh, b"first")?;
    done("append", s.append("a", b"second"))?;
    let lost = each(&*s).filter(|(_, s)| s.read("a").is_ok_and(|o| o == b"first")).count();
    let torn = each(&*s).filter(|(_, s)| s.read("a").is_ok_and(|o| (6..11).contains(&o.len()))).count();
    ensure!(lost > 0, "it is never lost in {SEEDS} losses");
    ensure!(torn > 0, "it is never torn in {SEEDS} losses");
    Ok(())
}

fn nothing_new(fresh: &LossyStorageFactory) -> Result<(), String> {
    let mut s = durable(fresh, b"first")?;
    for octets in [&b"second"[..], b"third", b"fourth"] {
        done("append", s.append("a", octets))?;
    }
    let whole = b"firstsecondthirdfourth";
    for (seed, s) in each(&*s) {
        let got = done("read", s.read("a"))?;
        ensure!(got.len() <= whole.len(), "seed {seed}: longer than all that was written");
        // A write that was lost before one that was kept leaves noughts.
        let own = got.iter().zip(whole).all(|(g, w)| g == w || *g == 0);
        ensure!(own, "seed {seed}: {got:?}");
        ensure!(done("list", s.list())?.len() == 1, "seed {seed}: another file is there");
    }
    Ok(())
}

fn names(fresh: &LossyStorageFactory) -> Result<(), String> {
    let mut s = durable(fresh, b"first")?;
    file(&mut *s, "b", b"second")?;
    done("sync", s.sync("b"))?;
    done("rename", s.rename("a", "c"))?;
    done("sync_names", s.sync_names())?;
    for (seed, s) in each(&*s) {
        ensure!(s.read("c").is_ok_and(|o| o == b"first"), "seed {seed}: the renamed file");
        ensure!(s.read("b").is_ok_and(|o| o == b"second"), "seed {seed}: the new file");
        ensure!(s.read("a").is_err(), "seed {seed}: the old name is back");
    }
    done("remove", s.remove("b"))?;
    done("sync_names", s.sync_names())?;
    ensure!(each(&*s).all(|(_, s)| s.read("b").is_err()), "a removed file is back");
    Ok(())
}

fn names_unsynced(fresh: &LossyStorageFactory) -> Result<(), String> {
    let mut s = fresh();
    file(&mut *s, "a", b"first")?;
    done("sync", s.sync("a"))?;
    let (lost, all) = (each(&*s).filter(|(_, s)| s.read("a").is_err()).count(), SEEDS as usize);
    ensure!(lost > 0, "a name that was not synced is never lost in {SEEDS} losses");
    ensure!(lost < all, "a name that was not synced is never there in {SEEDS} losses");
    Ok(())
}

fn rename(fresh: &LossyStorageFactory) -> Result<(), String> {
    let mut s = durable(fresh, b"old")?;
    file(&mut *s, "new", b"new")?;
    done("sync", s.sync("new"))?;
    done("sync_names", s.sync_names())?;
    done("rename", s.rename("new", "a"))?;
    for (seed, s) in each(&*s) {
        let (a, new) = (s.read("a").ok(), s.read("new").ok());
        let before = a.as_deref() == Some(b"old") && new.as_deref() == Some(b"new");
        let after = a.as_deref() == Some(b"new") && new.is_none();
        ensure!(before || after, "seed {seed}: a is {a:?}, new is {new:?}");
    }
    Ok(())
}

fn cut(fresh: &LossyStorageFactory) -> Result<(), String> {
    let mut s = durable(fresh, b"0123456789")?;
    done("truncate", s.truncate("a", 4))?;
    done("sync", s.sync("a"))?;
    ensure!(each(&*s).all(|(_, s)| s.read("a").is_ok_and(|o| o == b"0123")), "what was cut off is back");
    Ok(())
}

fn cut_unsynced(fresh: &LossyStorageFactory) -> Result<(), String> {
    let mut s = durable(fresh, b"0123456789")?;
    done("truncate", s.truncate("a", 4))?;
    let back = each(&*s).filter(|(_, s)| s.read("a").is_ok_and(|o| o.len() == 10)).count();
    ensure!(back > 0, "what was cut off without a sync is never back in {SEEDS} losses");
    Ok(())
}
