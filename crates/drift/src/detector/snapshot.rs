//! The snapshot that survives a restart or is passed to the next leader.

use super::Detector;
use crate::Micros;
use crate::history::{History, UnreadableSnapshot};
use heronroute_fleet::{Name, Term};
use serde::{Deserialize, Serialize};

/// The maximum number of fences in a snapshot. Those beyond it, of the last members by name, are dropped and
/// set again where needed.
const MAX_SAVED_FENCES: usize = 1024;

/// The content of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DetectorSnapshot {
    term: Term,
    fences: Vec<(Name, String)>,
    history: Vec<u8>,
}

impl Detector {
    /// Returns a snapshot of the fences and as much of the history as fits, of at most about `max_bytes`
    /// bytes (postcard). It contains no rollouts, since their state is in the log ([`Detector::logged_rollout`]).
    pub fn snapshot(&self, max_bytes: usize) -> Vec<u8> {
        let mut room = max_bytes.saturating_sub(64);
        let mut fits = |bytes: usize| match room.checked_sub(bytes) {
            Some(rest) => {
                room = rest;
                true
            }
            None => false,
        };
        let size = |bytes: Result<Vec<u8>, postcard::Error>| bytes.map_or(usize::MAX, |bytes| bytes.len());
        let fences =
            self.members.iter().flat_map(|(n, m)| m.fences.iter().map(move |f| (n.clone(), f.clone())));
        let fences =
            fences.take(MAX_SAVED_FENCES).filter(|fence| fits(size(postcard::to_stdvec(fence)))).collect();
        let saved =
            DetectorSnapshot { term: self.leadership.term(), fences, history: self.history.snapshot(room) };
        // Encoding to memory cannot fail for these types; an empty snapshot is rejected on restore.
        postcard::to_stdvec(&saved).unwrap_or_default()
    }

    /// Merges a snapshot, either this member's from before a restart or another member's. Must be called
    /// before this member is told that it is the leader. Histories are merged; fences are taken over unless
    /// the snapshot has an older term than this member.
    ///
    /// # Errors
    /// Returns an error, without any change, if the bytes are not a valid snapshot.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<(), UnreadableSnapshot> {
        let saved: DetectorSnapshot = postcard::from_bytes(bytes).map_err(|_| UnreadableSnapshot)?;
        let history = History::restore(&saved.history)?;
        self.history.merge(&history);
        if saved.term < self.leadership.term() || self.is_leading(now) {
            return Ok(());
        }
        let fences = saved.fences.into_iter().take(MAX_SAVED_FENCES);
        let fences: Vec<(Name, String)> = fences.collect();
        self.fences(now, fences.iter().map(|(name, client)| (name, client.as_str())));
        Ok(())
    }

    /// Replaces all fences by the given ones.
    pub fn fences<'a>(&mut self, now: Micros, stand: impl Iterator<Item = (&'a Name, &'a str)>) {
        self.members.values_mut().for_each(|member| member.fences.clear());
        stand.for_each(|(name, client)| self.fenced(now, name, client, true));
    }

    /// Records that a fence was set at a member or lifted.
    pub fn fenced(&mut self, now: Micros, name: &Name, client: &str, stands: bool) {
        let Some(member) = self.members.get_mut(name) else { return };
        match stands {
            true => member.fences.insert(client.to_owned()),
            false => member.fences.remove(client),
        };
        self.check_member(now, name, false);
    }
}
