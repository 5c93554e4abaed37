//! A folder for a test's processes.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// A new folder, removed when dropped; kept, and its path printed, where the test panics or it was told to keep it.
#[derive(Debug)]
pub struct Home {
    path: PathBuf,
    keep: bool,
}

static NEXT: AtomicU64 = AtomicU64::new(0);

impl Home {
    /// One under the system's folder for temporary files.
    ///
    /// # Errors
    /// Where it can't be made.
    pub fn new(tag: &str) -> io::Result<Self> {
        Home::under(&std::env::temp_dir(), tag)
    }

    /// One under `base`.
    ///
    /// # Errors
    /// Where it can't be made.
    pub fn under(base: &Path, tag: &str) -> io::Result<Self> {
        std::fs::create_dir_all(base)?;
        loop {
            let number = NEXT.fetch_add(1, Ordering::Relaxed);
            let path = base.join(format!("heronroute-{tag}-{}-{number}", std::process::id()));
            match std::fs::create_dir(&path) {
                Ok(()) => return Ok(Home { path: path.canonicalize()?, keep: false }),
                // Left by an earlier process of this id.
                Err(e) if e.kind() == io::ErrorKind::AlreadyExists => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// The folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// It stays when this is dropped.
    pub fn keep(&mut self) {
        self.keep = true;
    }
}

impl Drop for Home {
    fn drop(&mut self) {
        if self.keep || std::thread::panicking() {
            eprintln!("kept: {}", self.path.display());
        } else {
            _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
