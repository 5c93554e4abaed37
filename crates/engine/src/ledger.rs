//! Defers effects until the journal entries they depend on are durable. Free of I/O.
//!
//! Entries are numbered as they are written. An effect that depends on them (an acceptance reported, bytes
//! sent, an answer sent) waits until all entries written before it are durable. Without a journal nothing
//! waits.
//!
//! Where the journal is copied to another region, an effect may also depend on entries being durable there.
//! Such effects wait in a queue of their own, so that they never delay those that need only this region.

use crate::Micros;
use crate::uptime::Uptime;
use heronroute_journal::Entry;
use heronroute_journal::admission::{AdmissionControl, AdmissionLimits};
use heronroute_journal::entry::What;
use heronroute_journal::{Limits, Usage};
use prost::Message as _;
use std::collections::VecDeque;

/// Bytes reserved in the journal for each open message: its attempts, outcomes and answer.
const RESERVED_BYTES: u64 = 600;
/// The part of the allowed lag that one pause of the process may account for, as a divisor. It is so small
/// that a pause alone never causes a refusal, and so large that a thread scheduled a little late on a loaded
/// machine still counts the disk's whole lag.
const PAUSES_PER_LAG: Micros = 5;

/// Holds effects until the entries they depend on are durable.
#[derive(Debug)]
pub struct Ledger<H> {
    enabled: bool,
    entries: Vec<Entry>,
    /// Entries written, and how many of them are durable.
    written: u64,
    durable: u64,
    held: VecDeque<(u64, H)>,
    /// Effects held until the entries are durable in the other region as well.
    held_both: VecDeque<(u64, H)>,
    /// The progress of the other region, if there is one.
    copied: Option<CopyState>,
    /// The groups of entries that were handed over and are not all durable, in order.
    handed_over: VecDeque<EntryGroup>,
    /// The size of the entries that are not handed over yet, and of those in `handed_over`, in bytes.
    entries_bytes: u64,
    handed_over_bytes: u64,
    uptime: Uptime,
    usage: Usage,
    admission: AdmissionControl,
    /// Whether the storage failed and nothing has become durable since.
    failing: bool,
}

/// Entries that were handed over together.
#[derive(Clone, Copy, Debug)]
struct EntryGroup {
    /// The number of entries written up to the last of the group.
    last: u64,
    /// When they were handed over, on the clock of `uptime`.
    at: Micros,
    /// Their encoded size, in bytes.
    bytes: u64,
}

/// How far the copy in the other region has come.
#[derive(Clone, Copy, Debug)]
struct CopyState {
    /// The number of entries that are durable there.
    count: u64,
    /// Whether the other region is reached and its lag is small enough.
    reachable: bool,
}

impl<H> Ledger<H> {
    /// Returns a ledger with a journal of these limits, or without one. `lag` is how long entries may take to
    /// become durable before nothing more is accepted; `usage` is what the journal takes at the start.
    pub fn new(limits: Option<Limits>, lag: Micros, usage: Usage) -> Self {
        let most_disk = limits.map_or(u64::MAX, |l| l.most);
        Ledger {
            enabled: limits.is_some(),
            entries: Vec::new(),
            written: 0,
            durable: 0,
            held: VecDeque::new(),
            held_both: VecDeque::new(),
            copied: None,
            handed_over: VecDeque::new(),
            entries_bytes: 0,
            handed_over_bytes: 0,
            uptime: Uptime::new(lag / PAUSES_PER_LAG),
            usage,
            admission: AdmissionControl::new(AdmissionLimits {
                most_disk,
                reserve: RESERVED_BYTES,
                most_lag: lag,
            }),
            failing: false,
        }
    }

    /// Writes an entry, which is built only where there is a journal.
    pub fn write(&mut self, what: impl FnOnce() -> What) {
        if self.enabled {
            let entry: Entry = what().into();
            self.entries_bytes += entry.encoded_len() as u64;
            self.entries.push(entry);
            self.written += 1;
        }
    }

    /// Defers an effect that depends on all entries so far. Returns it if it may be done at once.
    pub fn hold(&mut self, effect: H) -> Option<H> {
        if self.durable == self.written {
            return Some(effect);
        }
        self.held.push_back((self.written, effect));
        None
    }

    /// Starts waiting for another region to which the journal is copied, and of which nothing is known yet.
    pub fn enable_copy(&mut self) {
        self.copied = Some(CopyState { count: 0, reachable: false });
    }

    /// Defers an effect that depends on all entries so far, here and in the other region. Returns it if it
    /// may be done at once. Without another region this is [`Ledger::hold`].
    pub fn hold_both(&mut self, effect: H) -> Option<H> {
        let Some(copied) = self.copied else { return self.hold(effect) };
        if self.durable.min(copied.count) == self.written {
            return Some(effect);
        }
        self.held_both.push_back((self.written, effect));
        None
    }

    /// Records how many of the entries handed over are durable in the other region, and whether that is
    /// reached and near enough. Returns the effects that may be done now, in order. Entries that are not yet
    /// durable here don't count.
    pub fn copied(&mut self, count: u64, reachable: bool) -> Vec<H> {
        if let Some(copied) = &mut self.copied {
            // The count never decreases: a copy that lost entries undoes no effect.
            *copied = CopyState { count: copied.count.max(count).min(self.written), reachable };
        }
        self.take_ready_for_both()
    }

    /// Returns whether a message that has to be in both regions must be refused because the other one is not
    /// reached or lags.
    pub fn refuses_both(&self) -> bool {
        self.enabled && self.copied.is_some_and(|c| !c.reachable)
    }

    fn take_ready_for_both(&mut self) -> Vec<H> {
        let count = self.copied.map_or(0, |c| c.count).min(self.durable);
        let n = self.held_both.iter().take_while(|(at, _)| *at <= count).count();
        self.held_both.drain(..n).map(|(_, effect)| effect).collect()
    }

    /// Records that the storage failed: what was handed over is not durable, and is written once the storage
    /// works again.
    pub fn storage_failed(&mut self) {
        self.failing = true;
    }

    /// Removes and returns the held effects for which `wanted` is true, without their being done.
    pub fn take_held(&mut self, wanted: impl Fn(&H) -> bool) -> Vec<H> {
        let (taken, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.held).into_iter().partition(|(_, effect)| wanted(effect));
        self.held = kept.into();
        taken.into_iter().map(|(_, effect)| effect).collect()
    }

    /// Returns the entries to hand over, in order. To be called in each turn.
    pub fn take_entries(&mut self, now: Micros) -> Vec<Entry> {
        let uptime = self.uptime.advance(now);
        if !self.entries.is_empty() {
            let bytes = std::mem::take(&mut self.entries_bytes);
            self.handed_over_bytes += bytes;
            self.handed_over.push_back(EntryGroup { last: self.written, at: uptime, bytes });
        }
        std::mem::take(&mut self.entries)
    }

    /// Records how many of the entries handed over are durable. Returns the effects that may be done now, in
    /// order.
    pub fn durable(&mut self, count: u64, usage: Usage) -> Vec<H> {
        self.durable = self.durable.max(count).min(self.written);
        self.usage = usage;
        self.failing = false;
        while let Some(group) = self.handed_over.pop_front_if(|group| group.last <= self.durable) {
            self.handed_over_bytes -= group.bytes;
        }
        let n = self.held.iter().take_while(|(at, _)| *at <= self.durable).count();
        let mut ready: Vec<H> = self.held.drain(..n).map(|(_, effect)| effect).collect();
        ready.append(&mut self.take_ready_for_both());
        ready
    }

    /// Returns whether a message must be refused because the disk is full, slow or failing. `submitted_bytes` is
    /// the number of bytes of its body and of others that were submitted and are in no entry yet.
    pub fn refuses(&mut self, now: Micros, open: usize, submitted_bytes: usize) -> bool {
        let uptime = self.uptime.advance(now);
        let lag = self.handed_over.front().map_or(0, |group| uptime - group.at);
        let coming = submitted_bytes as u64 + self.entries_bytes + self.handed_over_bytes;
        self.enabled && (self.failing || self.admission.refuses(self.usage, open, coming, lag))
    }

    /// Returns when [`Ledger::take_entries`] is next needed though nothing happened: while entries are being
    /// written to the disk.
    pub fn wake(&self) -> Option<Micros> {
        (!self.handed_over.is_empty()).then(|| self.uptime.next_update())
    }

    /// Returns the number of entries that are not durable.
    pub fn unwritten_entries(&self) -> u64 {
        self.written - self.durable
    }

    /// Returns whether all entries written are durable and no effect is held.
    pub fn settled(&self) -> bool {
        self.held.is_empty() && self.held_both.is_empty() && self.durable == self.written
    }
}

#[cfg(test)]
mod tests;
