//! Continues the time of a journal's entries over restarts of the process.

use heronroute_journal::JournalState;
use heronroute_journal::timeline::{Anchor, Clocks, journal_time};
use nix::time::{ClockId, clock_gettime};
use std::io;
use std::path::Path;

/// The file with the anchor, in the journal's folder.
const ANCHOR: &str = "clock";
/// Where Linux tells the identity of the machine's run.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// The journal's time now, in microseconds. The first process of a run of the machine writes the anchor that the later ones go
/// by. `wall` is the wall clock.
///
/// # Errors
/// If the anchor can't be written, or the monotonic clock can't be read.
pub fn start(folder: &Path, wall: i64, state: &JournalState) -> io::Result<i64> {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC).map_err(io::Error::from)?;
    let monotonic = now.tv_sec() * 1_000_000 + now.tv_nsec() / 1_000;
    let boot = std::fs::read_to_string(BOOT_ID).ok().map(|id| id.trim().to_string());
    let clocks = Clocks { boot: boot.filter(|id| !id.is_empty()), monotonic, wall };
    let file = folder.join(ANCHOR);
    let anchor = match std::fs::read_to_string(&file) {
        Ok(text) => Anchor::read(&text),
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        Err(e) => return Err(e),
    };
    let journal = journal_time(anchor.as_ref(), &clocks, state);
    let is_current =
        anchor.is_some_and(|a| Some(&a.boot) == clocks.boot.as_ref() && a.monotonic <= monotonic);
    if !is_current && let Some(boot) = clocks.boot {
        let part = folder.join(format!("{ANCHOR}.new"));
        std::fs::write(&part, Anchor { boot, monotonic, journal }.text())?;
        std::fs::rename(&part, &file)?;
    }
    tracing::info!(journal, wall, monotonic, ahead_of_wall = journal - wall, "the journal's time goes on");
    Ok(journal)
}
