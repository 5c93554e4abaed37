//! Reads the configuration again after SIGHUP, and retries while its file can't be read.

use super::Reactor;
use super::accepting::out_of_descriptors;
use std::io;
use std::net::SocketAddr;

/// The delay before reading is retried, in microseconds.
const RETRY_DELAY: i64 = 20_000;
/// The time after which reading is not retried, in microseconds.
const RETRY_TIMEOUT: i64 = 30_000_000;

/// What came of reading the configuration again.
#[derive(Debug)]
pub enum Reload {
    /// The address of discovery.
    Discovery(SocketAddr),
    /// The configuration is invalid. The previous one stays in effect.
    Invalid,
    /// The file could not be read.
    Unreadable(io::Error),
}

/// Reads the configuration again.
pub type ReloadConfig = Box<dyn FnMut() -> Reload + Send>;

/// A reload that was requested and has not succeeded. Times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingReload {
    next_at: i64,
    give_up_at: i64,
    has_failed: bool,
}

impl Reactor {
    /// Records that SIGHUP was received.
    pub(super) fn request_reload(&mut self) {
        let now = self.clock.now();
        self.pending_reload =
            Some(PendingReload { next_at: now, give_up_at: now + RETRY_TIMEOUT, has_failed: false });
    }

    /// Returns the time at which the configuration is to be read.
    pub(super) fn reload_at(&self) -> Option<i64> {
        self.pending_reload.map(|pending| pending.next_at)
    }

    /// Reads the configuration if that is due. If descriptors run out, closes a lingering connection, or else the client
    /// that has been idle longest.
    pub(super) fn reload_if_due(&mut self) {
        let now = self.clock.now();
        let Some(pending) = self.pending_reload.filter(|pending| pending.next_at <= now) else { return };
        let Some((_, reload)) = &mut self.signals else { return };
        let error = loop {
            match reload() {
                Reload::Unreadable(error) if out_of_descriptors(&error) && self.closing.close_oldest() => {}
                Reload::Unreadable(error) => break error,
                Reload::Discovery(address) => {
                    self.pending_reload = None;
                    return self.node.discovery_moved(now, address);
                }
                Reload::Invalid => {
                    self.pending_reload = None;
                    return;
                }
            }
        };
        if now >= pending.give_up_at {
            tracing::error!(%error, "the configuration can't be read; the previous one stays in effect");
            self.pending_reload = None;
            return;
        }
        if !pending.has_failed {
            tracing::warn!(%error, "the configuration can't be read; retrying");
        }
        if out_of_descriptors(&error) {
            self.node.close_idlest_client();
        }
        self.pending_reload = Some(PendingReload { next_at: now + RETRY_DELAY, has_failed: true, ..pending });
    }
}
