//! The time of a journal's entries, which continues across restarts of the process whatever happens to the
//! wall clock.
//!
//! An anchor binds the journal's time to the machine's monotonic clock, which counts from the machine's boot:
//! as long as the machine runs, a later process finds from that clock alone how much time has passed. After a
//! reboot, or where the boot's identity can't be read, the wall clock is used; the time then never goes back
//! before the newest entry.

use crate::JournalState;

/// Binds the journal's time to the monotonic clock of one boot of the machine. All times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Anchor {
    /// The identity of the boot.
    pub boot: String,
    /// The machine's monotonic clock when the anchor was made.
    pub monotonic: i64,
    /// The journal's time at the same moment.
    pub journal: i64,
}

impl Anchor {
    /// Parses an anchor as written by [`Anchor::text`].
    pub fn read(text: &str) -> Option<Self> {
        let mut words = text.split_whitespace();
        let boot = words.next()?.to_string();
        let monotonic = words.next()?.parse().ok()?;
        let journal = words.next()?.parse().ok()?;
        // The last word shows that the text is complete.
        (words.next() == Some(END)).then_some(Anchor { boot, monotonic, journal })
    }

    /// Returns the anchor as one line of text.
    pub fn text(&self) -> String {
        format!("{} {} {} {END}\n", self.boot, self.monotonic, self.journal)
    }
}

/// The last word of an anchor's text.
const END: &str = "end";

/// The clocks as a process reads them at its start.
#[derive(Clone, Debug)]
pub struct Clocks {
    /// The identity of the boot, where it can be read.
    pub boot: Option<String>,
    /// The machine's monotonic clock.
    pub monotonic: i64,
    /// The wall clock.
    pub wall: i64,
}

/// Returns the journal's time at the start of a process.
pub fn journal_time(anchor: Option<&Anchor>, clocks: &Clocks, state: &JournalState) -> i64 {
    let same_boot =
        anchor.filter(|a| Some(&a.boot) == clocks.boot.as_ref() && a.monotonic <= clocks.monotonic);
    match same_boot {
        Some(anchor) => anchor.journal.saturating_add(clocks.monotonic - anchor.monotonic),
        None => clocks.wall.max(newest_entry(state)),
    }
}

/// Returns the newest time in the open messages.
fn newest_entry(state: &JournalState) -> i64 {
    let times = state.open.values().flat_map(|open| {
        let intents = [&open.may_run, &open.out].into_iter().flatten().map(|intent| intent.at);
        let answer = open.answer.iter().map(|answer| answer.at);
        intents.chain(answer).chain([open.accepted.taken])
    });
    times.max().unwrap_or(0)
}
