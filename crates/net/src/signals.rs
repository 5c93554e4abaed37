//! Signal handling for a reactor: a flag for each kind of request, and a pipe that wakes the reactor.
//!
//! No thread waits for signals. The flag is set before the pipe is written, and the reactor checks the flags
//! after a wait that a signal interrupted, so a signal is handled even if the pipe reports nothing.

use mio::unix::pipe::{Receiver, new};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::{self, Read};
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

#[cfg(test)]
mod tests;

/// The signals that this process has received.
#[derive(Debug)]
pub struct Signals {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    pub(crate) pipe: Receiver,
}

impl Signals {
    /// Installs handlers for SIGTERM, SIGINT and SIGHUP, which then no longer end the process.
    ///
    /// # Errors
    /// If the pipe can't be created or a handler can't be installed.
    pub fn install() -> io::Result<Self> {
        let (sender, pipe) = new()?;
        let write_end: OwnedFd = sender.as_fd().try_clone_to_owned()?;
        let (shutdown, reload) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        for (signal, flag) in [(SIGTERM, &shutdown), (SIGINT, &shutdown), (SIGHUP, &reload)] {
            signal_hook::flag::register(signal, flag.clone())?;
            signal_hook::low_level::pipe::register(signal, write_end.try_clone()?)?;
        }
        Ok(Signals { shutdown, reload, pipe })
    }

    /// Empties the pipe, so that the next signal wakes the reactor.
    pub(crate) fn drain(&mut self) {
        let mut discarded = [0; 64];
        while matches!(self.pipe.read(&mut discarded), Ok(n) if n > 0) {}
    }

    /// Returns whether a signal to shut down was received and not taken yet.
    pub(crate) fn is_shutdown_requested(&self) -> bool {
        self.shutdown.load(Ordering::Acquire)
    }

    /// Takes the received requests: whether to shut down, and whether to reload the configuration.
    pub(crate) fn take_requests(&self) -> (bool, bool) {
        (self.shutdown.swap(false, Ordering::AcqRel), self.reload.swap(false, Ordering::AcqRel))
    }
}
