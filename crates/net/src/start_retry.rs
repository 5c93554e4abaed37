//! Retries steps of a process's start that fail for a reason that may pass.

use crate::Signals;
use std::fmt::Display;
use std::io;
use std::time::{Duration, Instant};

/// The time after which a failing step is not retried. A sender must be ready 30 s after its start.
const START_TIMEOUT: Duration = Duration::from_secs(25);
/// The delay before a step is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Returns whether an error of a file or a socket may pass by itself: a failing disk, or a lack of resources, but not a
/// wrong path or address.
pub fn is_temporary(error: &io::Error) -> bool {
    use io::ErrorKind as Kind;
    !matches!(
        error.kind(),
        Kind::NotFound
            | Kind::PermissionDenied
            | Kind::InvalidInput
            | Kind::InvalidData
            | Kind::IsADirectory
            | Kind::NotADirectory
            | Kind::AddrNotAvailable
            | Kind::Unsupported
    )
}

/// The retries of one start.
#[derive(Clone, Copy, Debug)]
pub struct StartRetry {
    give_up_at: Instant,
}

impl StartRetry {
    /// Starts the time within which all steps of the start are retried.
    pub fn begin() -> Self {
        StartRetry { give_up_at: Instant::now() + START_TIMEOUT }
    }

    /// Runs a step until it succeeds, its error is not temporary, the time is over, or a signal asks the process to end.
    ///
    /// # Errors
    /// The step's last error.
    pub fn run<T, E: Display>(
        &self,
        signals: &Signals,
        is_temporary: impl Fn(&E) -> bool,
        mut step: impl FnMut() -> Result<T, E>,
    ) -> Result<T, E> {
        loop {
            let error = match step() {
                Ok(done) => return Ok(done),
                Err(error) => error,
            };
            let is_over = Instant::now() >= self.give_up_at || signals.is_shutdown_requested();
            if is_over || !is_temporary(&error) {
                return Err(error);
            }
            tracing::warn!(%error, "the start failed; retrying");
            std::thread::sleep(RETRY_DELAY);
        }
    }
}
