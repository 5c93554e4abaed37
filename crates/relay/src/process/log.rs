//! What a process wrote, in a file.

use std::fs::File;
use std::io::{Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

/// Octets of [`Log::tail`], and of the longest line that is looked at.
const MOST: usize = 16 * 1024;

/// The file that standard output and error of all of a process's lives go to.
#[derive(Debug)]
pub struct Log {
    path: PathBuf,
    /// Looked at up to here.
    at: u64,
    /// A line that has no end yet.
    line: Vec<u8>,
}

impl Log {
    pub(super) fn new(path: PathBuf) -> Self {
        Log { path, at: 0, line: Vec::new() }
    }

    /// The file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// All of it; what is no UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&std::fs::read(&self.path).unwrap_or_default()).into_owned()
    }

    /// The end of it.
    pub fn tail(&self) -> String {
        let read = || {
            let mut file = File::open(&self.path)?;
            let from = file.metadata()?.len().saturating_sub(MOST as u64);
            file.seek(SeekFrom::Start(from))?;
            let mut octets = Vec::new();
            file.take(MOST as u64).read_to_end(&mut octets)?;
            std::io::Result::Ok(octets)
        };
        String::from_utf8_lossy(&read().unwrap_or_default()).into_owned()
    }

    /// What was written so far is of an earlier life.
    pub(super) fn next_life(&mut self) {
        self.at = std::fs::metadata(&self.path).map_or(0, |m| m.len());
        self.line.clear();
    }

    /// Looks at whole lines that have come since the last look; true at the first one that holds `text`.
    pub(super) fn seek(&mut self, text: &str) -> bool {
        let Ok(mut file) = File::open(&self.path) else { return false };
        if file.seek(SeekFrom::Start(self.at)).is_err() {
            return false;
        }
        let mut chunk = [0; 4096];
        loop {
            let n = match file.read(&mut chunk) {
                Ok(n) if n > 0 => n,
                _ => return false,
            };
            for octet in chunk.get(..n).unwrap_or_default() {
                self.at += 1;
                if *octet != b'\n' {
                    if self.line.len() < MOST {
                        self.line.push(*octet);
                    }
                    continue;
                }
                let line = std::mem::take(&mut self.line);
                if String::from_utf8_lossy(&line).contains(text) {
                    return true;
                }
            }
        }
    }
}
