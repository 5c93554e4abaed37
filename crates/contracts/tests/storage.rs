//! Each storage, and planted wrong ones.

use heronroute_contracts::storage::{
    CLAUSES, Fault, FaultyStorage, LOSSY_STORAGE_CLAUSES, LossyStorage, PERSISTENT_STORAGE_CLAUSES,
    PersistentStorage, StorageFactory,
};
use heronroute_contracts::suite::{kept, kept_but, planted, planted_in};
use heronroute_journal::Storage;
use heronroute_journal::dir::Dir;
use heronroute_journal::disk::{Disk, Faults};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A directory that goes away with the test.
struct Temporary(PathBuf);

impl Temporary {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("heronroute-contracts-{}-{name}", std::process::id()));
        _ = std::fs::remove_dir_all(&path);
        Temporary(path)
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

type Open = fn(&Path) -> std::io::Result<Dir>;

struct Folder(Temporary, Open);

impl PersistentStorage for Folder {
    fn open(&self) -> Box<dyn Storage> {
        Box::new((self.1)(&self.0.0).unwrap())
    }
}

/// `Dir` fills a file up with noughts where it is cut behind its end, the memory disk leaves it.
const DIR_KNOWN: &[&str] = &["a cut at or behind the end changes nothing"];
/// The memory disk makes each cut durable at once.
const DISK_KNOWN: &[&str] = &["a cut that was not synced may be undone"];

fn folders(name: &'static str, open: Open) {
    let all = Temporary::new(name);
    let (root, next) = (all.0.clone(), AtomicUsize::new(0));
    let fresh = move || -> Box<dyn Storage> {
        let folder = root.join(next.fetch_add(1, Ordering::Relaxed).to_string());
        Box::new(open(&folder).unwrap())
    };
    kept_but(CLAUSES, &fresh as &StorageFactory, DIR_KNOWN);
    let place = Folder(Temporary::new(&format!("{name}-place")), open);
    kept(PERSISTENT_STORAGE_CLAUSES, &place as &dyn PersistentStorage);
}

#[test]
fn a_directory_that_syncs() {
    folders("synced", Dir::open);
}

#[test]
fn a_directory_that_does_not_sync() {
    folders("unsynced", Dir::open_unsynced);
}

fn disk() -> Box<dyn Storage> {
    Box::new(Disk::new(Faults::default()))
}

#[test]
fn the_memory_disk() {
    kept(CLAUSES, &disk as &StorageFactory);
    kept_but(
        LOSSY_STORAGE_CLAUSES,
        &(|| Box::new(Disk::default()) as Box<dyn LossyStorage>) as &dyn Fn() -> Box<dyn LossyStorage>,
        DISK_KNOWN,
    );
}

#[test]
fn planted_storages_are_caught() {
    for (fault, clause) in [
        (Fault::ShortWrites, "what is appended is read back in order"),
        (Fault::Mixes, "files are apart"),
        (Fault::KeepsOld, "a file made again is empty"),
        (Fault::Makes, "a file that is not there is not found"),
        (Fault::Copies, "a renamed file replaces the old one"),
        (Fault::Empties, "a removed file is gone"),
        (Fault::CutsMore, "a cut within a file keeps its beginning"),
        (Fault::Fills, "a cut at or behind the end changes nothing"),
        (Fault::Hides, "the list names what is there"),
        (Fault::SyncTears, "syncs change nothing that can be read"),
    ] {
        planted(
            CLAUSES,
            &(move || Box::new(FaultyStorage::new(fault)) as Box<dyn Storage>) as &StorageFactory,
            clause,
        );
    }
}

#[test]
fn planted_losses_are_caught() {
    for (fault, clause) in [
        (Fault::NoSync, "what was synced survives a loss"),
        (Fault::DataAtOnce, "what was not synced may be lost"),
        (Fault::NoNames, "synced names survive a loss"),
        (Fault::NamesAtOnce, "names that were not synced may be lost"),
        (Fault::TwoSteps, "a rename survives whole or not at all"),
        (Fault::Uncuts, "a synced cut stays"),
        (Fault::Noise, "a loss brings nothing that was not written"),
    ] {
        let fresh = move || Box::new(FaultyStorage::new(fault)) as Box<dyn LossyStorage>;
        planted_in(LOSSY_STORAGE_CLAUSES, &fresh as &dyn Fn() -> Box<dyn LossyStorage>, clause, DISK_KNOWN);
    }
}

/// Each opening is another place.
struct Forgetful;

impl PersistentStorage for Forgetful {
    fn open(&self) -> Box<dyn Storage> {
        disk()
    }
}

#[test]
fn a_place_that_forgets_is_caught() {
    planted(
        PERSISTENT_STORAGE_CLAUSES,
        &Forgetful as &dyn PersistentStorage,
        "what was written outlives its user",
    );
}
