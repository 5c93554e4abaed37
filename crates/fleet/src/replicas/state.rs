//! What a keeper holds durably, in memory as well: promise, log, base, marks.

use super::chain::{self, Chain, ROOT};
use super::item::Item;
use super::record::{Mark, Record, Seen};
use crate::entry::Request;
use omnipaxos::ballot_leader_election::Ballot;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

#[derive(Clone, Debug)]
struct LogSlot {
    item: Item,
    /// Octets of all items up to this one, since the state was made.
    bytes_through: u64,
    /// The chain's head after it.
    head: Chain,
}

/// A keeper's state. Changes come as [`Record`]s, the same when they are made and when they are read again.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Nothing below it is followed.
    pub promise: Option<Ballot>,
    /// The ballot in which the log was taken.
    pub accepted: Option<Ballot>,
    /// Slots decided. May be beyond the log where a peer errs; never trusted as a place in it.
    pub decided: u64,
    /// First slot that the log still has.
    pub compacted: u64,
    /// Slot that the base stands for.
    pub base_slot: u64,
    /// The base.
    pub base: Arc<[u8]>,
    /// It takes part in agreement.
    pub voting: bool,
    /// See [`Mark::epoch`].
    pub epoch: u64,
    /// Commits.
    pub writes: u64,
    /// Greatest marks heard, for each keeper.
    pub seen: Vec<Seen>,
    /// One more than the slot of the last readmission that this log ever had, for each keeper.
    pub epochs: Vec<u64>,
    /// The chain's head before the first slot that the log still has.
    root: Chain,
    items: VecDeque<LogSlot>,
    open_requests: HashMap<Request, u32>,
    applied: u64,
}

impl State {
    /// An empty state among so many keepers.
    pub fn new(keepers: usize) -> Self {
        State { seen: vec![Seen::default(); keepers], epochs: vec![0; keepers], ..State::default() }
    }

    /// Slots in all.
    pub fn end(&self) -> u64 {
        self.compacted + self.items.len() as u64
    }

    /// Its mark; none where it does not take part, as nothing of what it keeps binds anybody.
    pub fn mark(&self) -> Mark {
        if self.voting { Mark { epoch: self.epoch, writes: self.writes } } else { Mark::default() }
    }

    /// The item of a slot.
    pub fn item(&self, slot: u64) -> Option<&Item> {
        self.items.get(usize::try_from(slot.checked_sub(self.compacted)?).ok()?).map(|h| &h.item)
    }

    /// The chain's head before this slot. Nothing where the log does not reach it, or does not any more.
    pub fn head(&self, slot: u64) -> Option<Chain> {
        match slot.checked_sub(self.compacted)? {
            0 => Some(self.root),
            n => self.items.get(usize::try_from(n - 1).ok()?).map(|h| h.head),
        }
    }

    /// Slots decided that the log has.
    pub fn known(&self) -> u64 {
        self.decided.min(self.end())
    }

    /// Octets of the log from this slot on.
    pub fn octets_from(&self, slot: u64) -> u64 {
        let all = self.items.back().map_or(0, |h| h.bytes_through);
        let first = self.items.front().map_or(0, |h| h.bytes_through - h.item.octets());
        match slot.checked_sub(self.compacted) {
            None | Some(0) => all - first,
            Some(n) => {
                let before = usize::try_from(n - 1).ok().and_then(|n| self.items.get(n));
                before.map_or(0, |h| all - h.bytes_through)
            }
        }
    }

    /// Octets between two slots.
    pub fn bytes_between(&self, from: u64, to: u64) -> u64 {
        self.octets_from(from).saturating_sub(self.octets_from(to))
    }

    /// Items of a range; nothing where not all are there.
    pub fn range(&self, from: u64, to: u64) -> Vec<Item> {
        if from < self.compacted || to > self.end() || from > to {
            return Vec::new();
        }
        let skip = (from - self.compacted) as usize;
        self.items.iter().skip(skip).take((to - from) as usize).map(|h| h.item.clone()).collect()
    }

    /// Whether this request stands in the log and is not folded yet.
    pub fn is_open(&self, request: &Request) -> bool {
        self.open_requests.contains_key(request)
    }

    /// The caller has folded all before this slot.
    pub fn fold_to(&mut self, slot: u64) {
        while self.applied < slot {
            if let Some(Item::Asked(entry)) = self.item(self.applied) {
                let request = entry.request.clone();
                close_request(&mut self.open_requests, &request);
            }
            self.applied += 1;
        }
    }

    fn push(&mut self, item: Item) {
        let slot = self.end();
        match &item {
            Item::Asked(entry) if slot >= self.applied => {
                *self.open_requests.entry(entry.request.clone()).or_default() += 1;
            }
            Item::Readmit { pid, .. } => {
                if let Some(epoch) = self.epochs.get_mut(usize::from(*pid).wrapping_sub(1)) {
                    *epoch = (*epoch).max(slot + 1);
                }
            }
            _ => {}
        }
        let (bytes_through, before) =
            self.items.back().map_or((0, &self.root), |h| (h.bytes_through, &h.head));
        let (bytes_through, head) = (bytes_through + item.octets(), chain::next(before, &item));
        self.items.push_back(LogSlot { item, bytes_through, head });
    }

    fn truncate(&mut self, end: u64) {
        while self.end() > end {
            let Some(held) = self.items.pop_back() else { return };
            if let Item::Asked(entry) = &held.item
                && self.end() >= self.applied
            {
                close_request(&mut self.open_requests, &entry.request);
            }
        }
    }

    /// What is to be written to hold decided items from a slot on, which must be the first that is not decided here. What was taken behind
    /// them stays unless it contradicts them: it may be part of what a majority has taken.
    ///
    /// Otherwise the log is no longer that of the ballot it was taken in, and nothing beyond what is decided rests on it;
    /// `own` is then what it is said to be taken in: a ballot of this keeper that nobody ever leads in. `omnipaxos` takes
    /// two logs of one ballot for beginnings of one, which this one need not be.
    pub fn learnt(&self, from: u64, items: Vec<Item>, ballot: Option<Ballot>, own: Ballot) -> Vec<Record> {
        let end = from + items.len() as u64;
        let same = |(i, item): (usize, &Item)| self.item(from + i as u64).is_none_or(|held| held == item);
        let stands = end <= self.end() && items.iter().enumerate().all(same);
        let mut records = self.follow(ballot);
        if !stands {
            records.push(Record::Put(from, items));
            records.push(Record::Accepted(own));
        }
        records.push(Record::Decided(end.max(self.decided)));
        records
    }

    /// Nothing is followed below the ballot that a teller of decided slots follows: the slots were decided in none
    /// greater, and a leader of a lesser one would take them for decided in a log of its own.
    pub fn follow(&self, ballot: Option<Ballot>) -> Vec<Record> {
        ballot.filter(|b| self.promise.is_none_or(|p| p < *b)).map(Record::Promise).into_iter().collect()
    }

    /// Takes a change. False where it does not fit this state, as only a broken file or an erring peer makes it.
    #[must_use]
    pub fn apply(&mut self, record: Record) -> bool {
        match record {
            Record::Owner { .. } | Record::Place(_) => {}
            Record::Promise(ballot) => self.promise = Some(ballot),
            Record::Accepted(ballot) => self.accepted = Some(ballot),
            Record::Decided(slot) => self.decided = slot,
            Record::Put(from, items) => {
                if from < self.compacted || from > self.end() {
                    return false;
                }
                self.truncate(from);
                items.into_iter().for_each(|item| self.push(item));
            }
            Record::Trim(slot) => {
                if slot > self.end() {
                    return false;
                }
                while self.compacted < slot
                    && let Some(held) = self.items.pop_front()
                {
                    (self.compacted, self.root) = (self.compacted + 1, held.head);
                }
            }
            Record::Base(slot, octets) => (self.base_slot, self.base) = (slot, octets.into()),
            Record::Install(slot, octets) => {
                // What was taken behind it may be part of what a majority has taken, and stays.
                while self.compacted < slot {
                    self.fold_to(self.compacted + 1);
                    let Some(held) = self.items.pop_front() else {
                        // What it is before this slot is said by the record that follows.
                        (self.compacted, self.applied, self.root) = (slot, slot, ROOT);
                        break;
                    };
                    (self.compacted, self.root) = (self.compacted + 1, held.head);
                }
                (self.base_slot, self.base) = (slot, octets.into());
                self.applied = self.applied.max(slot);
                self.decided = self.decided.max(slot);
            }
            Record::Root(root) if self.root == root => {}
            Record::Root(root) => {
                let mut before = root;
                for held in &mut self.items {
                    held.head = chain::next(&before, &held.item);
                    before = held.head;
                }
                self.root = root;
            }
            Record::Seen(seen) if seen.len() == self.seen.len() => self.seen = seen,
            Record::Epochs(epochs) if epochs.len() == self.epochs.len() => self.epochs = epochs,
            Record::Seen(_) | Record::Epochs(_) => return false,
            Record::Voting(epoch) => (self.voting, self.epoch) = (true, epoch),
            Record::Lost => {
                // The promise stays: what is decided here was decided in no greater ballot.
                (self.voting, self.accepted) = (false, None);
                self.truncate(self.decided.max(self.compacted));
            }
        }
        true
    }

    /// Records that make this state anew.
    pub fn whole(&self, group: u32, pid: u8) -> Vec<Record> {
        let mut all = vec![
            Record::Owner { group, pid },
            Record::Install(self.compacted, Vec::new()),
            Record::Root(self.root),
            Record::Base(self.base_slot, self.base.to_vec()),
            Record::Put(self.compacted, self.items.iter().map(|h| h.item.clone()).collect()),
            Record::Decided(self.decided),
            Record::Seen(self.seen.clone()),
            Record::Epochs(self.epochs.clone()),
        ];
        all.extend(self.promise.map(Record::Promise));
        all.extend(self.accepted.map(Record::Accepted));
        all.extend(self.voting.then_some(Record::Voting(self.epoch)));
        all
    }
}

fn close_request(open: &mut HashMap<Request, u32>, request: &Request) {
    if let Some(count) = open.get_mut(request) {
        *count -= 1;
        if *count == 0 {
            open.remove(request);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::entry::Term;
    use crate::name::{Life, Name, Start};

    fn item(n: u64) -> Item {
        Item::Charge { term: Term(n), life: Life { name: Name::new("a").unwrap(), start: Start(1) } }
    }

    fn with(items: std::ops::Range<u64>) -> State {
        let mut state = State::new(3);
        assert!(state.apply(Record::Promise(Ballot::with(1, 4, 0, 2))));
        assert!(state.apply(Record::Put(0, items.map(item).collect())));
        state
    }

    fn learn(state: &mut State, items: Vec<Item>) {
        let records = state.learnt(0, items, Some(Ballot::with(1, 9, 0, 1)), Ballot::with(1, 0, 0, 3));
        assert!(records.into_iter().all(|record| state.apply(record)));
    }

    /// A keeper that knows slots to be decided and then promised a leader below the ballot they were decided in would
    /// have that leader take other contents for decided.
    #[test]
    fn what_is_learnt_is_followed_by_the_ballot_it_was_decided_under() {
        let mut state = with(0..0);
        learn(&mut state, vec![item(0)]);
        assert_eq!((state.decided, state.promise.map(|b| b.n)), (1, Some(9)));
    }

    #[test]
    fn what_was_taken_behind_what_is_learnt_stays_unless_it_contradicts() {
        let mut state = with(0..5);
        learn(&mut state, vec![item(0), item(1)]);
        assert_eq!((state.decided, state.end()), (2, 5));
        let mut state = with(0..5);
        learn(&mut state, vec![item(0), item(7)]);
        assert_eq!((state.decided, state.end(), state.item(1)), (2, 2, Some(&item(7))));
    }
}
