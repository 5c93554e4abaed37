//! Open dry runs, until all that were asked have answered or they time out: bounded, the oldest is given up
//! first.

use crate::Micros;
use crate::limits;
use heronroute_fleet::Life;
use heronroute_rules::check::LossCounts;
use heronroute_rules::seam::{ClientRequest, DryRunResult};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// The receiver of a dry run's result.
#[derive(Clone, Debug, PartialEq)]
pub enum Requester {
    /// A client of this member, with the rest of its answer and the state.
    Client(ClientRequest, Value, &'static str),
    /// Another member, by its index and its number for the query, and its life if the query was relayed.
    Member(usize, u64, Option<Life>),
}

/// A dry run in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenDryRun {
    /// The receiver of the result.
    pub requester: Requester,
    /// The senders of this process that have not answered.
    pub senders: BTreeSet<usize>,
    /// The sum of the answers of this process's senders.
    pub local: LossCounts,
    /// The other members that were asked, by their indexes, with their answers.
    pub others: BTreeMap<usize, Option<LossCounts>>,
    /// When it times out.
    pub deadline: Micros,
}

impl OpenDryRun {
    fn is_complete(&self) -> bool {
        self.senders.is_empty() && self.others.values().all(Option::is_some)
    }
}

/// The open dry runs, by number.
#[derive(Debug, Default)]
pub struct OpenDryRuns {
    open: BTreeMap<u64, OpenDryRun>,
}

impl OpenDryRuns {
    /// Returns whether other members may be asked in one more dry run.
    pub fn may_ask_peers(&self) -> bool {
        self.open.values().filter(|w| !w.others.is_empty()).count() < limits::MAX_PEER_DRY_RUNS
    }

    /// Adds a dry run, under a number greater than all before. Returns the one that is given up for it.
    pub fn open(&mut self, number: u64, dry_run: OpenDryRun) -> Option<OpenDryRun> {
        let full = self.open.len() >= limits::MAX_DRY_RUNS;
        let evicted = if full { self.open.pop_first().map(|(_, evicted)| evicted) } else { None };
        self.open.insert(number, dry_run);
        evicted
    }

    /// Handles a sender's answer. Returns the dry run if that completes it.
    pub fn sender_answered(&mut self, result: &DryRunResult) -> Option<OpenDryRun> {
        let one = self.open.get_mut(&result.number)?;
        if one.senders.remove(&result.sender) {
            one.local = one.local.and(result.would);
        }
        self.take_if_complete(result.number)
    }

    /// Handles another member's answer. Returns the dry run if that completes it.
    pub fn member_answered(&mut self, peer: usize, number: u64, would: LossCounts) -> Option<OpenDryRun> {
        let answer = self.open.get_mut(&number)?.others.get_mut(&peer)?;
        answer.get_or_insert(would);
        self.take_if_complete(number)
    }

    /// Removes a dry run if it is complete.
    pub fn take_if_complete(&mut self, number: u64) -> Option<OpenDryRun> {
        if self.open.get(&number)?.is_complete() { self.open.remove(&number) } else { None }
    }

    /// Removes a dry run that timed out. They are in the order of their numbers, with the same timeout each.
    pub fn take_expired(&mut self, now: Micros) -> Option<OpenDryRun> {
        let entry = self.open.first_entry().filter(|entry| entry.get().deadline <= now)?;
        Some(entry.remove())
    }

    /// Returns when the next one times out.
    pub fn wake(&self) -> Option<Micros> {
        self.open.first_key_value().map(|(_, one)| one.deadline)
    }
}
