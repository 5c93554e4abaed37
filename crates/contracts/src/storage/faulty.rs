//! A correct storage with one planted fault.

use super::LossyStorage;
use heronroute_journal::Storage;
use heronroute_journal::disk::Disk;
use std::io;

/// The planted fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An append of many bytes stops half-way.
    ShortWrites,
    /// A file that is created again keeps its content.
    KeepsOld,
    /// Appending creates a missing file.
    Makes,
    /// Renaming keeps the old name.
    Copies,
    /// Removing only empties the file.
    Empties,
    /// Truncating removes one byte too many.
    CutsMore,
    /// Truncating beyond the end appends zeros.
    Fills,
    /// Files whose names begin with `d` are not listed.
    Hides,
    /// A sync removes the last byte.
    SyncTears,
    /// Only the first character of a name counts.
    Mixes,
    /// Syncs of files of more than ten bytes are skipped.
    NoSync,
    /// Syncs of names are skipped after a rename.
    NoNames,
    /// Changes of names are durable at once.
    NamesAtOnce,
    /// Contents are durable at once.
    DataAtOnce,
    /// A rename is two changes, each durable by itself.
    TwoSteps,
    /// A loss restores what was truncated.
    Uncuts,
    /// A loss appends bytes to a long file that nobody wrote.
    Noise,
}

/// A storage with a planted fault.
#[derive(Clone, Debug)]
pub struct FaultyStorage {
    inner: Disk,
    fault: Fault,
    /// The content of a file before it was truncated last.
    uncut: Option<(String, Vec<u8>)>,
    renamed: bool,
}

impl FaultyStorage {
    /// Creates a disk in memory with a fault.
    pub fn new(fault: Fault) -> Self {
        FaultyStorage { inner: Disk::default(), fault, uncut: None, renamed: false }
    }

    fn name<'a>(&self, name: &'a str) -> &'a str {
        if self.is(Fault::Mixes) && name == "a1" { "a" } else { name }
    }

    fn is(&self, fault: Fault) -> bool {
        self.fault == fault
    }

    fn names_changed(&mut self) -> io::Result<()> {
        if self.is(Fault::NamesAtOnce) { self.inner.sync_names() } else { Ok(()) }
    }
}

impl Storage for FaultyStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = self.inner.list()?;
        names.retain(|n| !(self.is(Fault::Hides) && n.starts_with('d')));
        Ok(names)
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.inner.read(name)
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        if self.is(Fault::KeepsOld) && self.inner.read(name).is_ok() {
            return Ok(());
        }
        self.inner.create(name)?;
        self.names_changed()
    }
    fn append(&mut self, name: &str, octets: &[u8]) -> io::Result<()> {
        let name = self.name(name);
        if self.is(Fault::Makes) && self.inner.read(name).is_err() {
            self.inner.create(name)?;
        }
        let short = self.is(Fault::ShortWrites) && octets.len() > 8_000;
        self.inner.append(name, if short { &octets[..octets.len() / 2] } else { octets })?;
        if self.is(Fault::DataAtOnce) { self.inner.sync(name) } else { Ok(()) }
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let before = self.inner.read(name)?;
        let now = before.len() as u64;
        self.uncut = Some((name.to_string(), before));
        if self.is(Fault::Fills) && length > now {
            return self.inner.append(name, &vec![0; (length - now) as usize]);
        }
        let less = self.is(Fault::CutsMore) && length == 12;
        self.inner.truncate(name, length - u64::from(less))
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        if self.is(Fault::SyncTears) && self.inner.read(name)?.len() == 1 {
            self.inner.truncate(name, 0)?;
        }
        if self.is(Fault::NoSync) && self.inner.read(name)?.len() > 10 {
            return Ok(());
        }
        self.inner.sync(name)
    }
    fn sync_names(&mut self) -> io::Result<()> {
        if self.is(Fault::NoNames) && self.renamed { Ok(()) } else { self.inner.sync_names() }
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.is(Fault::Copies) && to == "old" {
            let octets = self.inner.read(from)?;
            self.inner.create(to)?;
            return self.inner.append(to, &octets);
        }
        if self.is(Fault::TwoSteps) && self.inner.read(to).is_ok() {
            self.inner.remove(to)?;
            self.inner.sync_names()?;
        }
        self.renamed = true;
        self.inner.rename(from, to)?;
        self.names_changed()
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.is(Fault::Empties) && name == "a" {
            return self.inner.truncate(name, 0);
        }
        self.inner.remove(name)?;
        self.names_changed()
    }
}

impl LossyStorage for FaultyStorage {
    fn after_loss(&self, seed: u64) -> Box<dyn LossyStorage> {
        let mut inner = self.inner.after_loss(seed);
        if let Some((name, octets)) = self.uncut.as_ref().filter(|_| self.is(Fault::Uncuts)) {
            _ = inner.create(name).and_then(|()| inner.append(name, octets));
        }
        if self.is(Fault::Noise) && inner.read("a").is_ok_and(|o| o.len() > 16) {
            _ = inner.append("a", b"nobody wrote this");
        }
        Box::new(FaultyStorage { inner, fault: self.fault, uncut: None, renamed: false })
    }
}
