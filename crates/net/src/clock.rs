//! The clock of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock in microseconds, with the wall-clock time at its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// The wall-clock time at the start, in microseconds since 1970 UTC.
    wall: i64,
}

impl Clock {
    /// Creates a clock that starts now, at 0.
    pub fn start() -> Self {
        Clock::start_with_offset(0)
    }

    /// Creates a clock whose wall-clock time is `ahead` microseconds ahead of the machine's, or behind it if
    /// negative.
    pub fn start_with_offset(ahead: i64) -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as i64);
        Clock { start: Instant::now(), wall: wall.saturating_add(ahead) }
    }

    /// Returns the same clock with its wall-clock time set to `wall`.
    pub fn with_wall(self, wall: i64) -> Self {
        Clock { wall: wall - self.now(), ..self }
    }

    /// Returns the microseconds since the start.
    pub fn now(&self) -> i64 {
        self.start.elapsed().as_micros() as i64
    }

    /// Returns the microseconds since 1970 UTC: the wall-clock time at the start plus the time since. Later
    /// changes of the machine's clock have no effect.
    pub fn wall(&self) -> i64 {
        self.wall + self.now()
    }

    /// Returns the duration until a time on this clock, or zero if it has passed.
    pub fn until(&self, at: i64) -> Duration {
        Duration::from_micros((at - self.now()).max(0) as u64)
    }
}
