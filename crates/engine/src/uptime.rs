//! The time during which a node ran, measured by the times at which it was called. Performs no I/O.
//!
//! A pause of the whole process must not be taken for a slow disk. Otherwise entries on their way to the disk
//! would seem to have waited for the whole pause, and everything read from the sockets afterwards would be
//! refused.
//!
//! While entries are not yet durable, even an idle node asks to be called again soon
//! ([`Uptime::next_update`]). If much more time passed between two calls, the node did not run, and the gap
//! counts as one step.

use crate::Micros;

/// A clock that advances by a limited step on each update.
#[derive(Clone, Copy, Debug)]
pub struct Uptime {
    max_step: Micros,
    updated_at: Micros,
    total: Micros,
}

impl Uptime {
    /// Creates a clock that counts at most `max_step` between two updates.
    pub fn new(max_step: Micros) -> Self {
        Uptime { max_step: max_step.max(2), updated_at: 0, total: 0 }
    }

    /// Updates the clock and returns the total uptime.
    pub fn advance(&mut self, now: Micros) -> Micros {
        self.total += now.saturating_sub(self.updated_at).clamp(0, self.max_step);
        self.updated_at = now.max(self.updated_at);
        self.total
    }

    /// Returns the time by which the clock must be updated again so that no uptime is lost. This is half a
    /// step after the last update, because a call may be late by as much.
    pub fn next_update(&self) -> Micros {
        self.updated_at.saturating_add(self.max_step / 2)
    }
}

#[cfg(test)]
mod tests;
