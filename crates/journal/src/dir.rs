//! Storage in a directory of the file system. Only one process can have a directory open; a second one is
//! refused.

use crate::Storage;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A directory, locked while this value lives.
#[derive(Debug)]
pub struct Dir {
    path: PathBuf,
    files: BTreeMap<String, File>,
    /// Whether syncs are skipped.
    unsynced: bool,
    lock: File,
    /// A file descriptor that is released while a file is opened. Without it, a process that has run out of
    /// descriptors could not continue its journal and would have to end.
    spare: RefCell<Option<File>>,
}

impl Dir {
    /// Opens a directory and creates it if it doesn't exist.
    ///
    /// # Errors
    /// Where the directory can't be opened or another process has locked it.
    pub fn open(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join("lock"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let what = format!("{}: another process has this journal", path.display());
                return Err(io::Error::new(io::ErrorKind::ResourceBusy, what));
            }
            Err(TryLockError::Error(e)) => return Err(e),
        }
        let spare = RefCell::new(lock.try_clone().ok());
        Ok(Dir { path: path.to_path_buf(), files: BTreeMap::new(), unsynced: false, lock, spare })
    }

    /// Opens a directory that has to survive the process only, not a failure of the machine: nothing is ever
    /// synced.
    ///
    /// # Errors
    /// As [`Dir::open`].
    pub fn open_unsynced(path: &Path) -> io::Result<Self> {
        Ok(Dir { unsynced: true, ..Self::open(path)? })
    }

    /// Runs `open` while the spare descriptor is released.
    fn opening<T>(&self, open: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
        self.spare.take();
        let opened = open();
        self.spare.replace(self.lock.try_clone().ok());
        opened
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.files.contains_key(name) {
            let path = self.path.join(name);
            let file = self.opening(|| OpenOptions::new().append(true).open(path))?;
            self.files.insert(name.to_string(), file);
        }
        self.files.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Storage for Dir {
    fn list(&self) -> io::Result<Vec<String>> {
        self.opening(|| {
            let mut names = Vec::new();
            for entry in std::fs::read_dir(&self.path)? {
                names.push(entry?.file_name().to_string_lossy().into_owned());
            }
            names.sort();
            Ok(names)
        })
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.opening(|| std::fs::read(self.path.join(name)))
    }
    fn read_at(&self, name: &str, offset: u64, most: usize) -> io::Result<Vec<u8>> {
        use std::io::{Read as _, Seek as _, SeekFrom};
        self.opening(|| {
            let mut file = File::open(self.path.join(name))?;
            file.seek(SeekFrom::Start(offset))?;
            let mut bytes = Vec::new();
            file.take(most as u64).read_to_end(&mut bytes)?;
            Ok(bytes)
        })
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        // Closes the other files, which are reopened when they are written, so that one descriptor is enough.
        self.files.clear();
        let path = self.path.join(name);
        let file = self.opening(|| {
            File::create(&path)?;
            OpenOptions::new().append(true).open(&path)
        })?;
        self.files.insert(name.to_string(), file);
        Ok(())
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        if self.unsynced {
            return Ok(());
        }
        self.file(name)?.sync_data()
    }
    fn sync_names(&mut self) -> io::Result<()> {
        if self.unsynced {
            return Ok(());
        }
        self.opening(|| File::open(&self.path)?.sync_all())
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.files.remove(from);
        self.files.remove(to);
        std::fs::rename(self.path.join(from), self.path.join(to))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name);
        std::fs::remove_file(self.path.join(name))
    }
    /// Combines the inode number with the creation time, as an inode number is reused once its file is gone.
    #[cfg(unix)]
    fn identity(&self, name: &str) -> Option<u64> {
        let found = std::fs::metadata(self.path.join(name)).ok()?;
        let made = found.created().ok().and_then(|at| at.duration_since(std::time::UNIX_EPOCH).ok());
        let made = made.map_or(0, |at| at.as_nanos() as u64);
        Some(std::os::unix::fs::MetadataExt::ino(&found).rotate_left(40) ^ made)
    }
}
