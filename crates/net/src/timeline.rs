//! Continues the time of a journal's entries across restarts of the process.

use heronroute_journal::JournalState;
use heronroute_journal::timeline::{Anchor, Clocks, journal_time};
use nix::time::{ClockId, clock_gettime};
use std::io;
use std::path::Path;

/// The name of the anchor file in the journal's folder.
const ANCHOR_FILE: &str = "clock";
/// The file in which Linux gives the id of the current boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// Returns the journal's current time, in microseconds. `wall` is the wall-clock time.
///
/// The first process after a boot writes an anchor; later processes of that boot continue from it.
///
/// # Errors
/// If the anchor can't be read or written, or the monotonic clock can't be read.
pub fn resume(folder: &Path, wall: i64, state: &JournalState) -> io::Result<i64> {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC).map_err(io::Error::from)?;
    let monotonic = now.tv_sec() * 1_000_000 + now.tv_nsec() / 1_000;
    let boot = std::fs::read_to_string(BOOT_ID_FILE).ok().map(|id| id.trim().to_string());
    let clocks = Clocks { boot: boot.filter(|id| !id.is_empty()), monotonic, wall };
    let file = folder.join(ANCHOR_FILE);
    let anchor = match std::fs::read_to_string(&file) {
        Ok(text) => Anchor::read(&text),
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        Err(e) => return Err(e),
    };
    let journal = journal_time(anchor.as_ref(), &clocks, state);
    let is_current =
        anchor.is_some_and(|a| Some(&a.boot) == clocks.boot.as_ref() && a.monotonic <= monotonic);
    if !is_current && let Some(boot) = clocks.boot {
        let temporary = folder.join(format!("{ANCHOR_FILE}.new"));
        std::fs::write(&temporary, Anchor { boot, monotonic, journal }.text())?;
        std::fs::rename(&temporary, &file)?;
    }
    tracing::info!(journal, wall, monotonic, ahead_of_wall = journal - wall, "continuing the journal's time");
    Ok(journal)
}
