//! Folders copied, replaced and emptied.

use std::fs;
use std::io;
use std::path::Path;

/// Makes `to` a copy of `from`; what was there is gone. Links are not followed: they and other special files are refused.
pub fn replace(from: &Path, to: &Path) -> io::Result<()> {
    if !from.is_dir() {
        return Err(io::Error::new(io::ErrorKind::NotFound, from.display().to_string()));
    }
    empty(to)?;
    copy(from, to)
}

/// Leaves an empty folder.
pub fn empty(folder: &Path) -> io::Result<()> {
    match fs::remove_dir_all(folder) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    fs::create_dir_all(folder)
}

fn copy(from: &Path, to: &Path) -> io::Result<()> {
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let (kind, to) = (entry.file_type()?, to.join(entry.file_name()));
        if kind.is_dir() {
            fs::create_dir_all(&to)?;
            copy(&entry.path(), &to)?;
        } else if kind.is_file() {
            fs::copy(entry.path(), to)?;
        } else {
            return Err(io::Error::new(io::ErrorKind::Unsupported, entry.path().display().to_string()));
        }
    }
    Ok(())
}
