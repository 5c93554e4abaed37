//! A replica's durable state, held in memory: promise, log, snapshot and marks.

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
    /// The number of bytes of all items up to this one, since the state was created.
    bytes_through: u64,
    /// The hash chain's head after it.
    head: Chain,
}

/// A replica's state. It changes only by [`Record`]s, in the same way when a record is made and when it is
/// read back.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The ballot below which nothing is accepted.
    pub promise: Option<Ballot>,
    /// The ballot in which the log was accepted.
    pub accepted: Option<Ballot>,
    /// The number of decided slots. A faulty peer can make it greater than the log, so it must not be used as
    /// an index unchecked.
    pub decided: u64,
    /// The first slot that the log still holds.
    pub compacted: u64,
    /// The slot of the snapshot.
    pub base_slot: u64,
    /// The snapshot.
    pub base: Arc<[u8]>,
    /// Whether the replica takes part in consensus.
    pub voting: bool,
    /// See [`Mark::epoch`].
    pub epoch: u64,
    /// The number of commits.
    pub writes: u64,
    /// The greatest marks received, for each replica.
    pub seen: Vec<Seen>,
    /// One more than the slot of the last readmission in this log, for each replica.
    pub epochs: Vec<u64>,
    /// The hash chain's head before the first slot that the log still holds.
    root: Chain,
    items: VecDeque<LogSlot>,
    open_requests: HashMap<Request, u32>,
    applied: u64,
}

impl State {
    /// Returns an empty state among the given number of replicas.
    pub fn new(replicas: usize) -> Self {
        State { seen: vec![Seen::default(); replicas], epochs: vec![0; replicas], ..State::default() }
    }

    /// Returns the number of slots.
    pub fn end(&self) -> u64 {
        self.compacted + self.items.len() as u64
    }

    /// Returns the replica's mark, which is empty while it doesn't take part: its state then binds nobody.
    pub fn mark(&self) -> Mark {
        if self.voting { Mark { epoch: self.epoch, writes: self.writes } } else { Mark::default() }
    }

    /// Returns the item of a slot.
    pub fn item(&self, slot: u64) -> Option<&Item> {
        self.items.get(usize::try_from(slot.checked_sub(self.compacted)?).ok()?).map(|h| &h.item)
    }

    /// Returns the hash chain's head before this slot, or `None` if the log doesn't cover it.
    pub fn head(&self, slot: u64) -> Option<Chain> {
        match slot.checked_sub(self.compacted)? {
            0 => Some(self.root),
            n => self.items.get(usize::try_from(n - 1).ok()?).map(|h| h.head),
        }
    }

    /// Returns the number of decided slots that the log has reached.
    pub fn known(&self) -> u64 {
        self.decided.min(self.end())
    }

    /// Returns the number of bytes of the log from this slot on.
    pub fn octets_from(&self, slot: u64) -> u64 {
        let all = self.items.back().map_or(0, |h| h.bytes_through);
        let first = self.items.front().map_or(0, |h| h.bytes_through - h.item.bytes());
        match slot.checked_sub(self.compacted) {
            None | Some(0) => all - first,
            Some(n) => {
                let before = usize::try_from(n - 1).ok().and_then(|n| self.items.get(n));
                before.map_or(0, |h| all - h.bytes_through)
            }
        }
    }

    /// Returns the number of bytes between two slots.
    pub fn bytes_between(&self, from: u64, to: u64) -> u64 {
        self.octets_from(from).saturating_sub(self.octets_from(to))
    }

    /// Returns the items of a range, or none if the log doesn't cover all of it.
    pub fn range(&self, from: u64, to: u64) -> Vec<Item> {
        if from < self.compacted || to > self.end() || from > to {
            return Vec::new();
        }
        let skip = (from - self.compacted) as usize;
        self.items.iter().skip(skip).take((to - from) as usize).map(|h| h.item.clone()).collect()
    }

    /// Returns whether the request is in the log and not applied yet.
    pub fn is_open(&self, request: &Request) -> bool {
        self.open_requests.contains_key(request)
    }

    /// Records that the caller has applied everything before this slot.
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
        let (bytes_through, head) = (bytes_through + item.bytes(), chain::next(before, &item));
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

    /// Returns the records that store decided items from a slot on; the slot must be the first one that isn't
    /// decided here. Accepted items after them are kept unless they contradict them: they may be part of what
    /// a majority has accepted.
    ///
    /// If they contradict them, the log is no longer that of the ballot in which it was accepted, and nothing
    /// after the decided part may rely on it. It is then recorded as accepted in `own`, a ballot of this
    /// replica in which nobody ever leads. `omnipaxos` assumes that of two logs with the same ballot one is a
    /// prefix of the other, which need not hold for this one.
    pub fn learn_records(
        &self,
        from: u64,
        items: Vec<Item>,
        ballot: Option<Ballot>,
        own: Ballot,
    ) -> Vec<Record> {
        let end = from + items.len() as u64;
        let same = |(i, item): (usize, &Item)| self.item(from + i as u64).is_none_or(|held| held == item);
        let consistent = end <= self.end() && items.iter().enumerate().all(same);
        let mut records = self.follow(ballot);
        if !consistent {
            records.push(Record::Put(from, items));
            records.push(Record::Accepted(own));
        }
        records.push(Record::Decided(end.max(self.decided)));
        records
    }

    /// Returns the records that raise the promise to the ballot of the replica that reported decided slots.
    /// The slots were decided in no greater ballot, and a leader with a lesser one would assume that they are
    /// decided with the items of its own log.
    pub fn follow(&self, ballot: Option<Ballot>) -> Vec<Record> {
        ballot.filter(|b| self.promise.is_none_or(|p| p < *b)).map(Record::Promise).into_iter().collect()
    }

    /// Applies a record. Returns false if it doesn't fit this state, which only happens with a broken file or
    /// a faulty peer.
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
            Record::Base(slot, bytes) => (self.base_slot, self.base) = (slot, bytes.into()),
            Record::Install(slot, bytes) => {
                // Accepted items after the snapshot are kept: they may be part of what a majority has
                // accepted.
                while self.compacted < slot {
                    self.fold_to(self.compacted + 1);
                    let Some(held) = self.items.pop_front() else {
                        // The head before this slot is set by the record that follows.
                        (self.compacted, self.applied, self.root) = (slot, slot, ROOT);
                        break;
                    };
                    (self.compacted, self.root) = (self.compacted + 1, held.head);
                }
                (self.base_slot, self.base) = (slot, bytes.into());
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
                // The promise is kept: what is decided here was decided in no greater ballot.
                (self.voting, self.accepted) = (false, None);
                self.truncate(self.decided.max(self.compacted));
            }
        }
        true
    }

    /// Returns the records that recreate this state.
    pub fn full_records(&self, group: u32, pid: u8) -> Vec<Record> {
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
        Item::Leadership { term: Term(n), life: Life { name: Name::new("a").unwrap(), start: Start(1) } }
    }

    fn with_log(items: std::ops::Range<u64>) -> State {
        let mut state = State::new(3);
        assert!(state.apply(Record::Promise(Ballot::with(1, 4, 0, 2))));
        assert!(state.apply(Record::Put(0, items.map(item).collect())));
        state
    }

    fn apply_learnt(state: &mut State, items: Vec<Item>) {
        let records = state.learn_records(0, items, Some(Ballot::with(1, 9, 0, 1)), Ballot::with(1, 0, 0, 3));
        assert!(records.into_iter().all(|record| state.apply(record)));
    }

    /// A replica that learnt decided slots, and then promised a leader below the ballot they were decided in,
    /// would let that leader take other items as decided.
    #[test]
    fn learning_decided_slots_raises_the_promise_to_their_ballot() {
        let mut state = with_log(0..0);
        apply_learnt(&mut state, vec![item(0)]);
        assert_eq!((state.decided, state.promise.map(|b| b.n)), (1, Some(9)));
    }

    #[test]
    fn accepted_items_after_learnt_ones_are_kept_unless_they_contradict() {
        let mut state = with_log(0..5);
        apply_learnt(&mut state, vec![item(0), item(1)]);
        assert_eq!((state.decided, state.end()), (2, 5));
        let mut state = with_log(0..5);
        apply_learnt(&mut state, vec![item(0), item(7)]);
        assert_eq!((state.decided, state.end(), state.item(1)), (2, 2, Some(&item(7))));
    }
}
