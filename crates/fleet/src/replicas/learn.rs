//! Distributes the decided log to members that take no part in consensus, and to replicas that lack too much
//! of it. Learners request it by slot, in bounded pieces, or as a snapshot where the log was removed.

use super::item::Item;
use super::state::State;
use super::tuning::{MAX_SNAPSHOT_BYTES, PIECE_BYTES};
use super::wire::{LogMessage, LogStatus};
use crate::Micros;

/// The learner's side.
#[derive(Clone, Debug, Default)]
pub struct Learn {
    /// The number of the replica that is asked.
    source: u8,
    /// The time of the next request.
    next_ask: Micros,
    /// Whether the last request is unanswered.
    awaiting_answer: bool,
    /// Whether the replica is to be asked whatever it reports about its majority.
    forced: bool,
    /// For each replica: the time of the request that it answered last, whether it had a majority, and
    /// whether decisions bypassed it.
    reports: Vec<Option<(Micros, bool, bool)>>,
    snapshot: Option<(u64, Vec<u8>)>,
}

/// The content of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum LearnOutcome {
    /// Everything that the asked replica has is known.
    All,
    /// Nothing new.
    Nothing,
    /// Decided items from a slot on.
    Items(u64, Vec<Item>),
    /// The snapshot at a slot.
    Snapshot(u64, Vec<u8>),
}

impl Learn {
    /// Returns a learner that asks this many replicas, beginning with a random one.
    pub fn new(replicas: usize, seed: u64) -> Self {
        let source = (seed % replicas.max(1) as u64) as u8 + 1;
        Learn { source, reports: vec![None; replicas], ..Learn::default() }
    }

    /// Returns a request and its receiver if one is due. `own` is this replica's own number, which isn't
    /// asked.
    pub fn ask(
        &mut self,
        now: Micros,
        from: u64,
        own: Option<u8>,
        every: Micros,
    ) -> Option<(u8, LogMessage)> {
        if now < self.next_ask {
            return None;
        }
        let count = self.reports.len() as u8;
        if self.awaiting_answer || !std::mem::take(&mut self.forced) && !self.is_useful(self.source) {
            self.source = self.source % count + 1;
        }
        if Some(self.source) == own {
            self.source = self.source % count + 1;
        }
        if Some(self.source) == own {
            return None;
        }
        (self.awaiting_answer, self.next_ask) = (true, now.saturating_add(every));
        let part = self.snapshot.as_ref().map(|(slot, bytes)| (*slot, bytes.len() as u64));
        Some((self.source, LogMessage::Pull { from, part, sent: now }))
    }

    /// Returns whether a request is due.
    pub fn due(&self, now: Micros) -> bool {
        now >= self.next_ask
    }

    /// Makes this replica the next to be asked, at once.
    pub fn switch_to(&mut self, replica: u8) {
        (self.source, self.next_ask, self.awaiting_answer, self.forced) = (replica, 0, false, true);
    }

    /// Handles the loss of the link to a replica.
    pub fn lost(&mut self, replica: u8) {
        if let Some(report) = self.reports.get_mut(usize::from(replica).wrapping_sub(1)) {
            *report = None;
        }
        if replica == self.source {
            (self.next_ask, self.awaiting_answer) = (0, true);
        }
    }

    /// Records that a replica reported that it has no majority.
    pub fn refused(&mut self, now: Micros, replica: u8) {
        if let Some(report) = self.reports.get_mut(usize::from(replica).wrapping_sub(1)) {
            *report = Some((now, false, false));
        }
    }

    /// Returns whether the replica has a majority and receives decisions.
    fn is_useful(&self, replica: u8) -> bool {
        let report = self.reports.get(usize::from(replica).wrapping_sub(1)).copied().flatten();
        report.is_some_and(|(_, majority, bypassed)| majority && !bypassed)
    }

    /// Returns a replica that lately reported that it has a majority.
    pub fn with_majority(&self, now: Micros, window: Micros) -> Option<u8> {
        let fresh = |report: &Option<(Micros, bool, bool)>| {
            report.is_some_and(|(asked, majority, _)| majority && asked.saturating_add(window) >= now)
        };
        let source = usize::from(self.source).wrapping_sub(1);
        if self.reports.get(source).is_some_and(fresh) && self.is_useful(self.source) {
            return Some(self.source);
        }
        // A replica that decisions bypass would forward requests to a leader that decides nothing.
        let steady = |report: &Option<_>| fresh(report) && report.is_some_and(|(_, _, bypassed)| !bypassed);
        let any = || self.reports.iter().position(fresh);
        self.reports.iter().position(steady).or_else(any).map(|i| i as u8 + 1)
    }

    fn record_status(&mut self, now: Micros, replica: u8, tip: LogStatus, more: bool) {
        if let Some(report) = self.reports.get_mut(usize::from(replica).wrapping_sub(1))
            && tip.echo <= now
            && report.is_none_or(|(asked, ..)| asked <= tip.echo)
        {
            *report = Some((tip.echo, tip.majority, tip.bypassed));
        }
        if replica == self.source {
            self.awaiting_answer = false;
            if more {
                self.next_ask = now;
            }
        }
    }

    /// Handles an answer; `from` is the next slot wanted.
    pub fn hear(&mut self, now: Micros, replica: u8, from: u64, answer: LogMessage) -> LearnOutcome {
        match answer {
            LogMessage::Items { from: at, items, tip } => {
                let fits = at == from && !items.is_empty();
                // The next request is sent at once, even if there is nothing more, so that the replica
                // reports the next decision as soon as it is made.
                self.record_status(now, replica, tip, fits);
                if !fits {
                    return if from >= tip.decided { LearnOutcome::All } else { LearnOutcome::Nothing };
                }
                self.snapshot = None;
                LearnOutcome::Items(at, items)
            }
            LogMessage::Part { slot, total, at, bytes, tip } => {
                let (known, mut so_far) = self.snapshot.take().unwrap_or((slot, Vec::new()));
                if known != slot {
                    so_far.clear();
                }
                let wanted = slot > from && total <= MAX_SNAPSHOT_BYTES as u64 * 2 && !bytes.is_empty();
                if !wanted {
                    self.record_status(now, replica, tip, false);
                    return LearnOutcome::Nothing;
                }
                let next = so_far.len() as u64 == at;
                if next {
                    so_far.extend_from_slice(&bytes);
                }
                self.record_status(now, replica, tip, next);
                if so_far.len() as u64 >= total {
                    return LearnOutcome::Snapshot(slot, so_far);
                }
                self.snapshot = Some((slot, so_far));
                LearnOutcome::Nothing
            }
            _ => LearnOutcome::Nothing,
        }
    }
}

/// Returns a replica's answer to a learner's request.
pub fn serve(state: &State, from: u64, part: Option<(u64, u64)>, tip: LogStatus) -> LogMessage {
    let decided = state.decided.min(state.end());
    if from < state.compacted {
        let total = state.base.len() as u64;
        let at = part.filter(|(slot, at)| *slot == state.base_slot && *at < total).map_or(0, |(_, at)| at);
        let piece = state.base.iter().skip(at as usize).take(PIECE_BYTES).copied().collect();
        return LogMessage::Part { slot: state.base_slot, total, at, bytes: piece, tip };
    }
    let mut items = Vec::new();
    let mut bytes = 0;
    for slot in from..decided {
        let Some(item) = state.item(slot) else { break };
        bytes += item.bytes();
        if !items.is_empty() && bytes > PIECE_BYTES as u64 {
            break;
        }
        items.push(item.clone());
    }
    LogMessage::Items { from, items, tip }
}
