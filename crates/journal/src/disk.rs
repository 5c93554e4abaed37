//! A simulated disk in memory with faults, for tests. Power is lost at a chosen step; data that was not
//! synced is then kept, lost or torn depending on a seed. Operations can also fail for a while, syncs can
//! fail, and space can run out.

use crate::Storage;
use std::collections::BTreeMap;
use std::io;

/// The faults of a simulated disk.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The step at which power is lost (counted from 1; 0: never).
    pub power: u64,
    /// The step whose sync fails, once (0: none).
    pub sync: u64,
    /// The number of bytes that fit on the disk (0: unlimited).
    pub room: u64,
    /// A range of steps that fail.
    pub failing: Option<Failing>,
}

/// A range of steps that fail with the same error. An append that fails writes half of its bytes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failing {
    /// The first failing step.
    pub from: u64,
    /// The last failing step.
    pub to: u64,
    /// The error of the failing steps.
    pub error: io::ErrorKind,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct File {
    /// The contents that a read returns.
    contents: Vec<u8>,
    /// The contents that survive a loss of power. Bytes whose sync failed are zeros.
    synced: Vec<u8>,
    /// The writes since the last sync.
    since: Vec<Vec<u8>>,
}

impl File {
    fn append(&mut self, bytes: &[u8]) {
        self.contents.extend_from_slice(bytes);
        self.since.push(bytes.to_vec());
    }

    fn sync(&mut self) {
        for write in std::mem::take(&mut self.since) {
            self.synced.extend_from_slice(&write);
        }
    }

    /// Fails a sync in the way Linux does: pages that a failed sync did not write are marked clean, and no
    /// later sync writes them.
    fn fail_to_sync(&mut self) {
        for write in std::mem::take(&mut self.since) {
            self.synced.resize(self.synced.len() + write.len(), 0);
        }
    }

    fn truncate(&mut self, length: usize) {
        self.contents.truncate(length);
        let before = self.synced.len();
        self.synced.truncate(length);
        // The unsynced end of the file, as one write.
        let rest = self.contents.get(before..).unwrap_or_default().to_vec();
        self.since = vec![rest];
    }
}

/// The simulated disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    /// The current file names; `names` holds those that survive a loss of power.
    files: BTreeMap<String, usize>,
    names: BTreeMap<String, usize>,
    data: Vec<File>,
    /// The number of operations so far.
    pub steps: u64,
    /// The faults to inject.
    pub faults: Faults,
    power_lost: bool,
}

impl Disk {
    /// Returns an empty disk with the given faults.
    pub fn new(faults: Faults) -> Self {
        Disk { faults, ..Disk::default() }
    }

    /// Returns whether power was lost.
    pub fn power_lost(&self) -> bool {
        self.power_lost
    }

    /// Returns the disk as it is found after a loss of power. Each write that was not synced is kept, torn or
    /// lost (zeros, where a later write was kept); names that were not synced are old or new.
    pub fn after_loss(&self, seed: u64) -> Disk {
        let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut random_below = move |n: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            (state >> 11) % n
        };
        let mut data = Vec::new();
        for f in &self.data {
            let mut kept = f.synced.clone();
            let mut whole = kept.clone();
            for write in &f.since {
                let start = whole.len();
                match random_below(4) {
                    0 => whole.resize(start + write.len(), 0),
                    1 => {
                        let n = random_below(write.len() as u64 + 1) as usize;
                        whole.extend_from_slice(&write[..n]);
                        kept.clone_from(&whole);
                        whole.resize(start + write.len(), 0);
                    }
                    _ => {
                        whole.extend_from_slice(write);
                        kept.clone_from(&whole);
                    }
                }
            }
            data.push(File { contents: kept.clone(), synced: kept, since: Vec::new() });
        }
        let mut names = self.names.clone();
        if self.names != self.files && random_below(2) == 0 {
            names.clone_from(&self.files);
        }
        Disk { files: names.clone(), names, data, ..Disk::default() }
    }

    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        if self.power_lost || self.steps == self.faults.power {
            self.power_lost = true;
            return Err(io::Error::other("power lost"));
        }
        match self.faults.failing {
            Some(f) if (f.from..=f.to).contains(&self.steps) => Err(f.error.into()),
            _ => Ok(()),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let at = *self.files.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.data[at])
    }

    fn used(&self) -> u64 {
        self.files.values().map(|i| self.data[*i].contents.len()).sum::<usize>() as u64
    }
}

impl Storage for Disk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let at = self.files.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(self.data[*at].contents.clone())
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.data.push(File::default());
        self.files.insert(name.to_string(), self.data.len() - 1);
        Ok(())
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        // A write during which power is lost may have reached the disk.
        if self.steps + 1 == self.faults.power {
            self.file(name)?.append(bytes);
        }
        if let Err(error) = self.step() {
            if !self.power_lost {
                self.file(name)?.append(&bytes[..bytes.len() / 2]);
            }
            return Err(error);
        }
        if self.faults.room > 0 && self.used() + bytes.len() as u64 > self.faults.room {
            let fits = (self.faults.room - self.used().min(self.faults.room)) as usize;
            self.file(name)?.append(&bytes[..fits]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.file(name)?.append(bytes);
        Ok(())
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        self.file(name)?.truncate(length as usize);
        Ok(())
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut result = self.step();
        if result.is_ok() && self.steps == self.faults.sync {
            result = Err(io::Error::other("sync failed"));
        }
        let power_lost = self.power_lost;
        let file = self.file(name)?;
        match &result {
            Ok(()) => file.sync(),
            // Nothing happens after a loss of power.
            Err(_) if power_lost => {}
            Err(_) => file.fail_to_sync(),
        }
        result
    }
    fn sync_names(&mut self) -> io::Result<()> {
        self.step()?;
        self.names.clone_from(&self.files);
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let at = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.to_string(), at);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.files.remove(name).map(|_| ()).ok_or(io::ErrorKind::NotFound.into())
    }
}
