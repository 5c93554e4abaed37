//! A right store with one fault.

use super::Held;
use heronroute_held::{
    Decision, Dropped, MessageRecord, Micros, Page, Query, Refusal, Room, Store, Trail, What,
};

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A key is not looked at when listing.
    AnyKey,
    /// The newest of three goes first.
    NewestFirst,
    /// What is dropped is not named.
    Mute,
    /// What is under way is dropped with the rest.
    DropsUnderWay,
    /// What is too old goes a while later.
    Late,
    /// Two hand-ins at once both go.
    BothGo,
    /// What was delivered is held on.
    HoldsOn,
    /// Trails have room without end.
    AllTrails,
    /// The last step is noted in another trail too.
    NotesTwice,
}

/// The store with its fault.
#[derive(Debug)]
pub struct Wrong {
    inner: Store,
    fault: Fault,
    held: Room,
}

impl Wrong {
    /// An empty store.
    pub fn new(mut trails: Room, held: Room, fault: Fault) -> Self {
        if fault == Fault::AllTrails {
            trails.count = usize::MAX;
        }
        Wrong { inner: Store::new(trails, held), fault, held }
    }

    fn is(&self, fault: Fault) -> bool {
        self.fault == fault
    }
}

impl Held for Wrong {
    fn file(&mut self, now: Micros, id: u64, filed: MessageRecord) -> Vec<u64> {
        let full = self.inner.of(filed.client).0 >= self.held.count;
        if self.is(Fault::NewestFirst) && self.held.count == 3 && full && filed.message.is_some() {
            return vec![id];
        }
        let gone = self.inner.file(now, id, filed);
        if self.is(Fault::Mute) { Vec::new() } else { gone }
    }
    fn take(&mut self, id: u64) -> Option<MessageRecord> {
        self.inner.take(id)
    }
    fn get(&self, id: u64) -> Option<&MessageRecord> {
        self.inner.get(id)
    }
    fn of(&self, client: u32) -> (usize, u64, Dropped) {
        self.inner.of(client)
    }
    fn list(&self, query: &Query, most: usize) -> Page {
        let any = self.is(Fault::AnyKey).then_some(None);
        self.inner.list(&Query { key: any.unwrap_or(query.key), ..query.clone() }, most)
    }
    fn expire(&mut self, now: Micros) -> Vec<u64> {
        if self.is(Fault::DropsUnderWay) {
            let all = self.inner.list(&Query { held: true, ..Query::default() }, 1_000).ids;
            for id in all {
                if self.inner.get(id).is_some_and(|f| f.under_way) {
                    self.inner.take(id);
                }
            }
        }
        self.inner.expire(if self.is(Fault::Late) && now == 1_101 { now - 1 } else { now })
    }
    fn begin(&mut self, now: Micros, id: u64, party: u32, decision: Decision) -> Result<Decision, Refusal> {
        let begun = self.inner.begin(now, id, party, decision);
        let under_way = self.inner.get(id).is_some_and(|f| f.under_way);
        if self.is(Fault::BothGo) && under_way && begun.is_err() { Ok(decision) } else { begun }
    }
    fn end(&mut self, now: Micros, id: u64, trail: &Trail, delivered: bool) -> Vec<u64> {
        self.inner.end(now, id, trail, delivered && !self.is(Fault::HoldsOn))
    }
    fn note(&mut self, at: Micros, id: u64, what: What) {
        self.inner.note(at, id, what);
        if self.is(Fault::NotesTwice) {
            self.inner.note(at, id + (1 << 6), what);
        }
    }
    fn keep(&mut self, id: u64, kept: bool) -> bool {
        self.inner.keep(id, kept)
    }
}
