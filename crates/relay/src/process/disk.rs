//! Its folder: saved, put back, emptied.

use super::{Process, ProcessError, folder};
use std::path::PathBuf;

impl Process {
    fn still(&mut self) -> Result<(), ProcessError> {
        if self.runs() && !self.paused {
            return Err(ProcessError::Running(self.spec.name.clone()));
        }
        Ok(())
    }

    fn saved(&self, copy: &str) -> PathBuf {
        self.home.join("saved").join(copy)
    }

    /// Whether a copy of that name was saved.
    pub fn has_saved(&self, copy: &str) -> bool {
        self.saved(copy).is_dir()
    }

    /// Saves a copy of its folder under a name, in place of an earlier one.
    ///
    /// # Errors
    /// Where it runs and is not paused (half-written files of a running process are no folder that ever was), or the
    /// disk refuses.
    pub fn save(&mut self, copy: &str) -> Result<(), ProcessError> {
        self.still()?;
        folder::replace(&self.folder(), &self.saved(copy)).map_err(|e| self.io("save its folder", e))
    }

    /// Puts a saved copy in the place of its folder.
    ///
    /// # Errors
    /// Where it runs, paused or not, or there is no such copy.
    pub fn restore(&mut self, copy: &str) -> Result<(), ProcessError> {
        if self.runs() {
            return Err(ProcessError::Running(self.spec.name.clone()));
        }
        folder::replace(&self.saved(copy), &self.folder()).map_err(|e| self.io("restore its folder", e))
    }

    /// Empties its folder.
    ///
    /// # Errors
    /// Where it runs, paused or not, or the disk refuses.
    pub fn empty(&mut self) -> Result<(), ProcessError> {
        if self.runs() {
            return Err(ProcessError::Running(self.spec.name.clone()));
        }
        folder::empty(&self.folder()).map_err(|e| self.io("empty its folder", e))
    }
}
