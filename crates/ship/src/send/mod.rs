//! The sending side.

mod lag;
mod queue;
mod talk;

use crate::wire::{self, LARGEST, Message, Up};
use crate::{Given, Micros, Notice, Notices, Origin, Shipper, Want};
use heronroute_journal::{Chain, Entry, Journal, Mark, Run, Storage, frame};
use lag::Lag;
use queue::Queue;

/// Figures of the sending side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Octets that may be on their way; the partner may allow fewer.
    pub window: usize,
    /// Octets of entries that are held at most, sent or not. Beyond them, and beyond `entries`, what was not sent is let go,
    /// and read from the log again. (One entry may be larger.)
    pub octets: usize,
    /// Entries that are held at most.
    pub entries: u64,
    /// Octets of the log that are asked for at once.
    pub read: usize,
    /// Entries by which the partner may lag, and still be near enough for what must be in both regions ...
    pub lag_entries: u64,
    /// ... and microseconds.
    pub lag: Micros,
    /// What the partner could not do is tried again after this, in microseconds; so is a talk in which nothing comes back.
    pub retry: Micros,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            window: 4 << 20,
            octets: 16 << 20,
            entries: 100_000,
            read: 256 << 10,
            lag_entries: 50_000,
            lag: 1_000_000,
            retry: 5_000_000,
        }
    }
}

/// Near enough again below this share of the lag that is allowed, so that it doesn't flap.
const BACK: f64 = 0.7;

/// What is being done.
#[derive(Debug)]
enum State {
    /// No talk, or its Hello is not answered yet.
    Apart,
    /// The log is read from a mark of ours to where the copy stands, to see whether that is the same there.
    Proving { copy: Mark },
    /// Entries go, from where both agree on.
    Flowing,
    /// The book goes. `read`: where its entries that were read lead; `whole`: all of them were. `ended`: that was told.
    Base { chain: Option<Chain>, read: Mark, whole: bool, ended: bool, begun: bool },
    /// Nothing more in this talk: the partner can't, or may not.
    Halted,
}

/// The sending side of one sender's journal.
#[derive(Debug)]
pub struct Sender {
    origin: Origin,
    bounds: Bounds,
    window: usize,
    linked: bool,
    talk: u32,
    hello: bool,
    state: State,
    /// What is sent next that is no entry.
    out: Option<Up>,
    /// The furthest that its own log is known to lead, with marks of before; and where the newest book that was sent stood.
    chain: Chain,
    base: Option<Mark>,
    /// Where the queue ends, or, without one, where the next entry is to be read.
    tail: Mark,
    queue: Queue,
    /// Entries before this one are durable here.
    written: u64,
    /// So far the copy is known to be durable now, and the most that was ever acknowledged.
    acked: Mark,
    promised: u64,
    /// What was held became too much, and was not caught up with yet.
    behind: bool,
    late: bool,
    /// The partner has no room.
    full: bool,
    lag: Lag,
    /// When a new talk is begun, unless something comes back before.
    again: Option<Micros>,
    over: bool,
    notices: Notices,
}

impl Sender {
    /// For a journal that was opened chained. `promised`: entries that its copy has acknowledged as far as anybody remembers
    /// from before, 0 where nobody does.
    pub fn new<S: Storage>(origin: Origin, bounds: Bounds, journal: &Journal<S>, promised: u64) -> Self {
        // A journal without a chain has begun none: all that is there is proved by nothing.
        let chain = journal.chain().cloned().unwrap_or_else(|| Chain::begin(journal.durable(), b"none"));
        let base = journal.snapshot_chain().map(Chain::at);
        Sender {
            origin,
            bounds,
            window: bounds.window,
            linked: false,
            talk: 0,
            hello: false,
            state: State::Apart,
            out: None,
            tail: chain.at(),
            base,
            chain,
            queue: Queue::default(),
            written: journal.durable(),
            acked: Mark::default(),
            promised,
            behind: false,
            late: false,
            full: false,
            lag: Lag::default(),
            again: None,
            over: false,
            notices: Notices::default(),
        }
    }

    /// Our digest at a number, where it is known.
    fn own(&self, number: u64) -> Option<Mark> {
        let known = [Some(self.acked), self.base, self.queue.digest(number), Some(self.tail)];
        let known =
            known.into_iter().flatten().find(|m| m.number == number && (number > 0 || m.digest == [0; 16]));
        known.or(self.chain.digest(number).map(|digest| Mark { number, digest }))
    }

    /// The furthest place of our own at or before a number that is known.
    fn before(&self, number: u64) -> Option<Mark> {
        let marks = self.chain.marks().iter().copied();
        marks
            .chain([self.chain.at()])
            .chain(self.base)
            .filter(|m| m.number <= number)
            .max_by_key(|m| m.number)
    }

    /// The next entry goes into the queue.
    fn push(&mut self, raw: &[u8]) {
        if raw.len() > LARGEST {
            self.notices.tell(Notice::Odd { number: self.tail.number });
            self.halt();
            return;
        }
        self.tail.push(raw);
        self.chain.follow(self.tail);
        self.queue.push(raw, self.tail);
    }

    fn halt(&mut self) {
        self.state = State::Halted;
        self.queue = Queue::default();
        self.tail = self.acked;
    }

    fn flowing(&self) -> bool {
        matches!(self.state, State::Flowing)
    }

    /// Whether it holds as much as it may.
    fn crowded(&self) -> bool {
        self.queue.octets() >= self.bounds.octets || self.queue.entries() >= self.bounds.entries
    }

    fn look(&mut self, now: Micros) {
        if self.tail.number == self.written {
            self.behind = false;
        }
        self.late = !self.near(now);
    }

    fn near(&self, now: Micros) -> bool {
        let share = if self.late { BACK } else { 1.0 };
        let count = self.written.saturating_sub(self.acked.number) as f64;
        let time = self.lag.since().map_or(0, |at| now - at) as f64;
        count < self.bounds.lag_entries as f64 * share && time < self.bounds.lag as f64 * share
    }

    fn took(&mut self, run: &Run) {
        if run.first != self.tail.number {
            return;
        }
        for raw in frame::encoded_entries(&run.octets) {
            match self.state {
                State::Proving { copy } if self.tail.number < copy.number => {
                    self.tail.push(raw);
                    if self.tail.number == copy.number {
                        return self.proved(copy);
                    }
                }
                State::Flowing => self.push(raw),
                _ => return,
            }
        }
    }

    /// Something came back, or a talk was begun: it is waited for the next so long.
    fn patience(&mut self, now: Micros) {
        self.again = Some(now.saturating_add(self.bounds.retry));
    }

    fn entries(&mut self) -> Option<Up> {
        let base = match &mut self.state {
            State::Flowing => false,
            State::Base { chain: Some(chain), begun, .. } => {
                if !*begun {
                    *begun = true;
                    let marks = chain.marks().iter().copied().map(wire::point).collect();
                    return Some(Up::Base { at: wire::point(chain.at()), marks });
                }
                true
            }
            _ => return None,
        };
        if let Some(entries) = self.queue.send(self.window) {
            return Some(if base { Up::Part(entries) } else { Up::Run(entries) });
        }
        match &mut self.state {
            State::Base { read, whole: true, ended, .. } if !*ended && !self.queue.waits() => {
                *ended = true;
                Some(Up::BaseEnd { count: read.number })
            }
            _ => None,
        }
    }
}

impl Shipper for Sender {
    fn wrote(&mut self, now: Micros, first: u64, entries: &[Entry]) {
        let next = first + entries.len() as u64;
        // Nothing comes twice, and what was left out is read from the log.
        if next <= self.written || first > self.written {
            self.written = self.written.max(next);
        } else {
            let new = (self.written - first) as usize;
            self.written = next;
            let live = self.tail.number == first + new as u64
                && !matches!(self.state, State::Proving { .. } | State::Base { .. } | State::Halted);
            let mut raw = Vec::new();
            for e in entries.iter().skip(new).filter(|_| live) {
                if self.crowded() {
                    self.behind = true;
                    self.notices.tell(Notice::Behind { from: self.tail.number });
                    self.tail = self.queue.let_go().unwrap_or(self.acked);
                    break;
                }
                raw.clear();
                // Into memory, with room made as needed: it does not fail.
                _ = prost::Message::encode(e, &mut raw);
                self.push(&raw);
            }
        }
        self.lag.wrote(now, self.written, self.bounds.lag);
        self.look(now);
    }

    fn wants(&self) -> Option<Want> {
        if !self.linked || self.over {
            return None;
        }
        let most = self.bounds.read;
        // A window and a reading ahead are enough; more would only be held.
        let room = self.queue.octets() < self.window.saturating_add(most) && !self.crowded();
        match &self.state {
            State::Proving { copy } if self.tail.number < copy.number => {
                Some(Want::Log { from: self.tail.number, most })
            }
            State::Flowing if room && self.tail.number < self.written => {
                Some(Want::Log { from: self.tail.number, most })
            }
            State::Base { chain, read, whole: false, .. } if room => {
                Some(Want::Base { of: chain.as_ref().map(|c| c.at().number), from: read.number, most })
            }
            _ => None,
        }
    }

    fn gave(&mut self, now: Micros, given: Given) {
        match given {
            Given::Log(run) => self.took(&run),
            Given::Base(part) => {
                if let State::Base { chain, read, whole, .. } = &mut self.state
                    && part.run.first == read.number
                {
                    if chain.is_none() {
                        self.base = Some(part.chain.at());
                        if part.chain.at().number > self.chain.at().number {
                            self.chain = part.chain.clone();
                        }
                        *chain = Some(part.chain);
                    }
                    for raw in frame::encoded_entries(&part.run.octets) {
                        read.push(raw);
                        self.queue.push(raw, *read);
                    }
                    *whole = part.end;
                }
            }
            Given::Gone { base } => match &self.state {
                State::Proving { copy } => {
                    let copy = *copy;
                    match base.filter(|b| b.number > self.tail.number && b.number <= copy.number) {
                        // A snapshot was written since: it is read from there.
                        Some(base) => {
                            (self.base, self.tail) = (Some(base), base);
                            if base.number == copy.number {
                                self.proved(copy);
                            }
                        }
                        None => self.begin_anew(copy.number),
                    }
                }
                State::Flowing => self.begin_anew(0),
                // The snapshot was followed by another: its book is sent instead.
                State::Base { read, .. } if read.number > 0 => self.begin_anew(0),
                State::Base { .. } => {
                    self.notices.tell(Notice::Failed);
                    self.halt();
                }
                State::Apart | State::Halted => {}
            },
        }
        self.look(now);
    }

    fn heard(&mut self, now: Micros, payload: &[u8]) {
        let Some(message) = wire::read(payload) else { return };
        if self.linked && message.origin == self.origin && message.talk == self.talk {
            self.patience(now);
            self.told(now, message.body);
            self.look(now);
        }
    }

    fn linked(&mut self, now: Micros, stands: bool) {
        self.linked = stands;
        if stands {
            self.greet(now);
        } else {
            self.part_ways();
        }
        self.look(now);
    }

    fn poll(&mut self, now: Micros) -> Option<Vec<u8>> {
        self.look(now);
        if !self.linked || self.over {
            return None;
        }
        if self.again.is_some_and(|at| now >= at) {
            if self.quiet() {
                self.again = None;
            } else {
                self.part_ways();
                self.greet(now);
            }
        }
        let body = if std::mem::take(&mut self.hello) {
            Up::Hello { next: self.written, acked: self.promised }
        } else {
            match self.out.take() {
                Some(up) => up,
                None => self.entries()?,
            }
        };
        if self.again.is_none() {
            self.patience(now);
        }
        wire::write(&Message { origin: self.origin.clone(), talk: self.talk, body })
    }

    fn durable(&self, now: Micros) -> (u64, bool) {
        let agreed = self.linked && self.flowing() && !self.over;
        let kept = !self.full && !self.behind && self.acked.number >= self.promised;
        (self.acked.number, agreed && kept && self.near(now))
    }

    fn notice(&mut self) -> Option<Notice> {
        self.notices.0.pop_front()
    }

    fn held(&self) -> usize {
        self.queue.octets()
    }

    fn wake(&self) -> Option<Micros> {
        self.again.filter(|_| self.linked && !self.over)
    }
}
