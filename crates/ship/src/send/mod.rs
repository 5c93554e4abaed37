//! The sending side of replication.

mod lag;
mod queue;
mod replies;

use crate::wire::{self, FromOrigin, MAX_ENTRY_BYTES, Message};
use crate::{Micros, Notice, Notices, Origin, ReadRequest, ReadResult, ReplicationSource};
use heronroute_journal::{Chain, Entry, Journal, Mark, Run, Storage, frame};
use lag::Lag;
use queue::Queue;

/// Limits and timeouts of the sending side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationLimits {
    /// The bytes that may be in flight. The partner may allow fewer.
    pub window: usize,
    /// The maximum bytes of buffered entries, sent or not. Beyond this limit or `entries`, unsent entries are
    /// dropped and read from the log again. A single entry may be larger.
    pub octets: usize,
    /// The maximum number of buffered entries.
    pub entries: u64,
    /// The bytes that are requested in one read of the log.
    pub read: usize,
    /// The number of entries by which the partner may lag while messages that must be durable in both regions
    /// are admitted.
    pub lag_entries: u64,
    /// The time by which the partner may lag, as above, in microseconds.
    pub lag: Micros,
    /// The delay before a new session after the partner failed or did not reply, in microseconds.
    pub retry: Micros,
}

impl Default for ReplicationLimits {
    fn default() -> Self {
        ReplicationLimits {
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

/// The share of the allowed lag below which a lagging copy counts as current again. Below 1 to avoid
/// flapping.
const LAG_RECOVERY_SHARE: f64 = 0.7;

/// The state of a session.
#[derive(Debug)]
enum State {
    /// There is no session, or the partner has not replied with its position yet.
    AwaitingPosition,
    /// The own log is read from a known mark up to the copy's position, to compare the digests there.
    Verifying { copy: Mark },
    /// Entries are sent from the position that both sides agree on.
    Streaming,
    /// A snapshot is sent. `read` is the position after the entries that were read from it, `fully_read`
    /// whether that is all of them, and `begin_sent` and `end_sent` whether the messages before and after its
    /// entries were sent.
    Snapshot { chain: Option<Chain>, read: Mark, fully_read: bool, end_sent: bool, begin_sent: bool },
    /// Nothing more is sent in this session, as the partner can't or must not store it.
    Halted,
}

/// The sending side of replication for one sender's journal.
#[derive(Debug)]
pub struct JournalReplicator {
    origin: Origin,
    bounds: ReplicationLimits,
    window: usize,
    connected: bool,
    session: u32,
    hello_pending: bool,
    state: State,
    /// The next message that is not an entry.
    control_message: Option<FromOrigin>,
    /// The last known position of the own log with earlier marks, and the position of the newest snapshot
    /// that was sent.
    chain: Chain,
    base: Option<Mark>,
    /// The position at the end of the queue; with an empty queue, the position of the next entry to read.
    tail: Mark,
    queue: Queue,
    /// The entries before this number are durable at the origin.
    written: u64,
    /// The position up to which the copy is known to be durable now, and the highest number ever
    /// acknowledged.
    acked: Mark,
    highest_acked: u64,
    /// Unsent entries were dropped at the buffer limit, and have not been read again yet.
    catching_up: bool,
    lagging: bool,
    /// The partner's storage is full.
    copy_full: bool,
    lag: Lag,
    /// The time at which a new session begins unless a reply comes first.
    new_session_at: Option<Micros>,
    superseded: bool,
    notices: Notices,
}

impl JournalReplicator {
    /// Creates the sending side of a journal that was opened chained. `highest_acked` is the number of
    /// entries that the copy is known to have acknowledged to an earlier process, or 0 if that is unknown.
    pub fn new<S: Storage>(
        origin: Origin,
        bounds: ReplicationLimits,
        journal: &Journal<S>,
        highest_acked: u64,
    ) -> Self {
        // A journal without a chain has no digests, so nothing in it can be verified.
        let chain = journal.chain().cloned().unwrap_or_else(|| Chain::begin(journal.durable(), b"none"));
        let base = journal.snapshot_chain().map(Chain::at);
        JournalReplicator {
            origin,
            bounds,
            window: bounds.window,
            connected: false,
            session: 0,
            hello_pending: false,
            state: State::AwaitingPosition,
            control_message: None,
            tail: chain.at(),
            base,
            chain,
            queue: Queue::default(),
            written: journal.durable(),
            acked: Mark::default(),
            highest_acked,
            catching_up: false,
            lagging: false,
            copy_full: false,
            lag: Lag::default(),
            new_session_at: None,
            superseded: false,
            notices: Notices::default(),
        }
    }

    /// Returns the own mark at a number, if it is known.
    fn own_mark(&self, number: u64) -> Option<Mark> {
        let known = [Some(self.acked), self.base, self.queue.mark_ending_at(number), Some(self.tail)];
        let known =
            known.into_iter().flatten().find(|m| m.number == number && (number > 0 || m.digest == [0; 16]));
        known.or(self.chain.digest(number).map(|digest| Mark { number, digest }))
    }

    /// Returns the last own mark that is known at or before a number.
    fn last_mark_at(&self, number: u64) -> Option<Mark> {
        let marks = self.chain.marks().iter().copied();
        marks
            .chain([self.chain.at()])
            .chain(self.base)
            .filter(|m| m.number <= number)
            .max_by_key(|m| m.number)
    }

    /// Appends the next entry to the queue.
    fn push(&mut self, raw: &[u8]) {
        if raw.len() > MAX_ENTRY_BYTES {
            self.notices.push(Notice::EntryRejected { number: self.tail.number });
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

    fn is_streaming(&self) -> bool {
        matches!(self.state, State::Streaming)
    }

    /// Returns whether the buffer limit is reached.
    fn buffer_full(&self) -> bool {
        self.queue.bytes() >= self.bounds.octets || self.queue.entries() >= self.bounds.entries
    }

    fn update_lag(&mut self, now: Micros) {
        if self.tail.number == self.written {
            self.catching_up = false;
        }
        self.lagging = !self.within_lag_limits(now);
    }

    fn within_lag_limits(&self, now: Micros) -> bool {
        let share = if self.lagging { LAG_RECOVERY_SHARE } else { 1.0 };
        let count = self.written.saturating_sub(self.acked.number) as f64;
        let time = self.lag.since().map_or(0, |at| now - at) as f64;
        count < self.bounds.lag_entries as f64 * share && time < self.bounds.lag as f64 * share
    }

    fn append_log_entries(&mut self, run: &Run) {
        if run.first != self.tail.number {
            return;
        }
        for raw in frame::encoded_entries(&run.octets) {
            match self.state {
                State::Verifying { copy } if self.tail.number < copy.number => {
                    self.tail.push(raw);
                    if self.tail.number == copy.number {
                        return self.compare_verified(copy);
                    }
                }
                State::Streaming => self.push(raw),
                _ => return,
            }
        }
    }

    /// Restarts the timeout after which a session without a reply is replaced by a new one.
    fn restart_reply_timeout(&mut self, now: Micros) {
        self.new_session_at = Some(now.saturating_add(self.bounds.retry));
    }

    fn next_entries(&mut self) -> Option<FromOrigin> {
        let base = match &mut self.state {
            State::Streaming => false,
            State::Snapshot { chain: Some(chain), begin_sent, .. } => {
                if !*begin_sent {
                    *begin_sent = true;
                    let marks = chain.marks().iter().copied().map(wire::to_position).collect();
                    return Some(FromOrigin::Snapshot { at: wire::to_position(chain.at()), marks });
                }
                true
            }
            _ => return None,
        };
        if let Some(entries) = self.queue.send(self.window) {
            return Some(if base { FromOrigin::SnapshotEntries(entries) } else { FromOrigin::Run(entries) });
        }
        match &mut self.state {
            State::Snapshot { read, fully_read: true, end_sent, .. }
                if !*end_sent && !self.queue.has_unsent() =>
            {
                *end_sent = true;
                Some(FromOrigin::SnapshotEnd { count: read.number })
            }
            _ => None,
        }
    }
}

impl ReplicationSource for JournalReplicator {
    fn entries_written(&mut self, now: Micros, first: u64, entries: &[Entry]) {
        let next = first + entries.len() as u64;
        // Skips entries that were passed in before; entries that were left out are read from the log.
        if next <= self.written || first > self.written {
            self.written = self.written.max(next);
        } else {
            let new = (self.written - first) as usize;
            self.written = next;
            let appendable = self.tail.number == first + new as u64
                && !matches!(self.state, State::Verifying { .. } | State::Snapshot { .. } | State::Halted);
            let mut raw = Vec::new();
            for e in entries.iter().skip(new).filter(|_| appendable) {
                if self.buffer_full() {
                    self.catching_up = true;
                    self.notices.push(Notice::BufferLimitReached { from: self.tail.number });
                    self.tail = self.queue.drop_unsent().unwrap_or(self.acked);
                    break;
                }
                raw.clear();
                // Encoding into a growing buffer can't fail.
                _ = prost::Message::encode(e, &mut raw);
                self.push(&raw);
            }
        }
        self.lag.record_written(now, self.written, self.bounds.lag);
        self.update_lag(now);
    }

    fn pending_read(&self) -> Option<ReadRequest> {
        if !self.connected || self.superseded {
            return None;
        }
        let most = self.bounds.read;
        // One window and one read ahead are enough; more would only use memory.
        let room = self.queue.bytes() < self.window.saturating_add(most) && !self.buffer_full();
        match &self.state {
            State::Verifying { copy } if self.tail.number < copy.number => {
                Some(ReadRequest::Log { from: self.tail.number, most })
            }
            State::Streaming if room && self.tail.number < self.written => {
                Some(ReadRequest::Log { from: self.tail.number, most })
            }
            State::Snapshot { chain, read, fully_read: false, .. } if room => Some(ReadRequest::Snapshot {
                of: chain.as_ref().map(|c| c.at().number),
                from: read.number,
                most,
            }),
            _ => None,
        }
    }

    fn read_finished(&mut self, now: Micros, given: ReadResult) {
        match given {
            ReadResult::Log(run) => self.append_log_entries(&run),
            ReadResult::Snapshot(part) => {
                if let State::Snapshot { chain, read, fully_read, .. } = &mut self.state
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
                    *fully_read = part.end;
                }
            }
            ReadResult::Unavailable { base } => match &self.state {
                State::Verifying { copy } => {
                    let copy = *copy;
                    match base.filter(|b| b.number > self.tail.number && b.number <= copy.number) {
                        // A snapshot was written in the meantime, and the log is read from its position.
                        Some(base) => {
                            (self.base, self.tail) = (Some(base), base);
                            if base.number == copy.number {
                                self.compare_verified(copy);
                            }
                        }
                        None => self.begin_snapshot(copy.number),
                    }
                }
                State::Streaming => self.begin_snapshot(0),
                // The snapshot was replaced by a newer one, which is sent instead.
                State::Snapshot { read, .. } if read.number > 0 => self.begin_snapshot(0),
                State::Snapshot { .. } => {
                    self.notices.push(Notice::Failed);
                    self.halt();
                }
                State::AwaitingPosition | State::Halted => {}
            },
        }
        self.update_lag(now);
    }

    fn handle_message(&mut self, now: Micros, payload: &[u8]) {
        let Some(message) = wire::read(payload) else { return };
        if self.connected && message.origin == self.origin && message.session == self.session {
            self.restart_reply_timeout(now);
            self.handle(now, message.body);
            self.update_lag(now);
        }
    }

    fn connected(&mut self, now: Micros, connected: bool) {
        self.connected = connected;
        if connected {
            self.begin_session(now);
        } else {
            self.end_session();
        }
        self.update_lag(now);
    }

    fn poll(&mut self, now: Micros) -> Option<Vec<u8>> {
        self.update_lag(now);
        if !self.connected || self.superseded {
            return None;
        }
        if self.new_session_at.is_some_and(|at| now >= at) {
            if self.is_idle() {
                self.new_session_at = None;
            } else {
                self.end_session();
                self.begin_session(now);
            }
        }
        let body = if std::mem::take(&mut self.hello_pending) {
            FromOrigin::Hello { next: self.written, acked: self.highest_acked }
        } else {
            match self.control_message.take() {
                Some(up) => up,
                None => self.next_entries()?,
            }
        };
        if self.new_session_at.is_none() {
            self.restart_reply_timeout(now);
        }
        wire::write(&Message { origin: self.origin.clone(), session: self.session, body })
    }

    fn durable(&self, now: Micros) -> (u64, bool) {
        let agreed = self.connected && self.is_streaming() && !self.superseded;
        let kept = !self.copy_full && !self.catching_up && self.acked.number >= self.highest_acked;
        (self.acked.number, agreed && kept && self.within_lag_limits(now))
    }

    fn notice(&mut self) -> Option<Notice> {
        self.notices.0.pop_front()
    }

    fn held(&self) -> usize {
        self.queue.bytes()
    }

    fn next_wakeup(&self) -> Option<Micros> {
        self.new_session_at.filter(|_| self.connected && !self.superseded)
    }
}
