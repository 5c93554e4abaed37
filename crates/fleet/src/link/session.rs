//! One connection between two members, from its first octet to its end.

use super::hello::{self, Keys, Nonce, Side};
use super::pieces::Pieces;
use super::reason::Reason;
use super::roster::Roster;
use crate::Micros;
use crate::frames::{Head, MOST_FRAME, MOST_HELLO, Reader, What, seal};
use crate::key::Tag;
use crate::kind::Kind;
use crate::name::{Life, Name, Start};
use crate::queue::{PushOutcome, Queue};

/// Both sides must be proved so long after a connection was begun.
pub const HANDSHAKE: Micros = 5_000_000;
/// Where nothing else was sent for so long, a frame says that its sender lives.
pub const ALIVE_EVERY: Micros = 1_000_000;
/// A link without a whole frame for so long is over.
pub const SILENCE: Micros = 4_000_000;
/// Octets that are sealed but not written at most, before another piece is sealed. What is sealed can't be given up for
/// something newer, so it is kept short.
pub const SEALED: usize = 16 * 1024;

/// What came of octets or time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// The other side is proved.
    Up {
        /// Who it is.
        life: Life,
    },
    /// The other side has heard this member under a later start than its own: this one was brought back from an old disk,
    /// or another process goes by its name. [`LinkEvent::Over`] follows.
    Outlived(Start),
    /// The other side is of this other version of the protocol. The connection is over, or ends once the other side was told.
    OtherVersion(u32),
    /// A whole message.
    Message {
        /// Of this kind.
        kind: Kind,
        /// Its octets.
        payload: Vec<u8>,
    },
    /// It is over: close the connection. Nothing follows.
    Over(Reason),
}

#[derive(Debug)]
enum State {
    /// Said hello 1, waits for hello 2.
    AwaitingReply {
        to: Name,
        first: Tag,
    },
    /// Waits for hello 1.
    AwaitingHello {
        nonce: Nonce,
    },
    /// Said hello 2, waits for a frame under the link's key.
    AwaitingProof {
        keys: Keys,
        life: Life,
    },
    /// Was dialled by another version and said so; the other side closes.
    Refused,
    /// Both are proved.
    Up {
        keys: Keys,
    },
    Over,
}

/// The state machine of one connection.
#[derive(Debug)]
pub struct Link {
    state: State,
    reader: Reader,
    queue: Queue,
    /// Sealed and not written yet, from `wrote` on.
    sealed: Vec<u8>,
    wrote: usize,
    /// Numbers of the next frame out and in.
    next_out: u64,
    next_in: u64,
    pieces: Pieces,
    opened_at: Micros,
    last_sent: Micros,
    last_received: Micros,
    /// Frames that came twice.
    doubled: u64,
}

impl Link {
    /// The side that dials `to`. `nonce`: octets that no other connection of this installation has.
    pub fn dial(now: Micros, roster: &Roster, to: &Name, nonce: Nonce) -> Self {
        let mut sealed = Vec::new();
        let first = hello::write(&mut sealed, roster, Side::Dialler, to, nonce, &[]);
        Link::new(now, State::AwaitingReply { to: to.clone(), first }, sealed)
    }

    /// The side that was dialled.
    pub fn answer(now: Micros, nonce: Nonce) -> Self {
        Link::new(now, State::AwaitingHello { nonce }, Vec::new())
    }

    fn new(now: Micros, state: State, sealed: Vec<u8>) -> Self {
        Link {
            state,
            reader: Reader::default(),
            queue: Queue::default(),
            sealed,
            wrote: 0,
            next_out: 1,
            next_in: 1,
            pieces: Pieces::default(),
            opened_at: now,
            last_sent: now,
            last_received: now,
            doubled: 0,
        }
    }

    /// Both sides are proved.
    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up { .. })
    }

    /// The other side was told that it is of another version.
    pub fn is_refused(&self) -> bool {
        matches!(self.state, State::Refused)
    }

    /// Takes what came. Events are appended; after [`LinkEvent::Over`] nothing more is peer.
    pub fn receive(&mut self, now: Micros, roster: &Roster, bytes: &[u8], events: &mut Vec<LinkEvent>) {
        if matches!(self.state, State::Over | State::Refused) {
            return;
        }
        self.reader.push(bytes);
        loop {
            match self.process_frame(now, roster, events) {
                Ok(true) => {}
                Ok(false) => break,
                Err(reason) => return self.end(reason, events),
            }
        }
        self.seal_queued(now);
    }

    /// One frame. False: none is whole.
    fn process_frame(
        &mut self,
        now: Micros,
        roster: &Roster,
        events: &mut Vec<LinkEvent>,
    ) -> Result<bool, Reason> {
        let proved = matches!(self.state, State::AwaitingProof { .. } | State::Up { .. });
        let Some(raw) = self.reader.next(if proved { MOST_FRAME } else { MOST_HELLO })? else {
            return Ok(false);
        };
        if !proved && let Some(theirs) = hello::other_version(&raw) {
            events.push(LinkEvent::OtherVersion(theirs));
            if matches!(self.state, State::AwaitingReply { .. }) {
                return Err(Reason::Version);
            }
            hello::write_refusal(&mut self.sealed, roster);
            (self.state, self.reader) = (State::Refused, Reader::default());
            return Ok(false);
        }
        match &self.state {
            State::Over | State::Refused => return Ok(false),
            State::AwaitingHello { nonce } => {
                let peer = hello::verify(&raw, roster, Side::Dialler, None, &[])?;
                check_outlived(roster, peer.known, events)?;
                let (to, nonce) = (peer.life.name.clone(), *nonce);
                let tag = hello::write(&mut self.sealed, roster, Side::Answerer, &to, nonce, &peer.tag);
                let keys = hello::keys(roster, Side::Answerer, &tag);
                self.state = State::AwaitingProof { keys, life: peer.life };
            }
            State::AwaitingReply { to, first } => {
                let peer = hello::verify(&raw, roster, Side::Answerer, Some(to), first)?;
                check_outlived(roster, peer.known, events)?;
                self.state = State::Up { keys: hello::keys(roster, Side::Dialler, &peer.tag) };
                self.last_received = now;
                // It proves this side to the other.
                self.seal(now, What::Alive, &[]);
                events.push(LinkEvent::Up { life: peer.life });
            }
            State::AwaitingProof { keys, .. } | State::Up { keys } => {
                let (head, payload) = raw.open(&keys.incoming, &[])?;
                if head.number < self.next_in {
                    // A relay that doubles does no harm. It is no sign of life: anyone could have kept it.
                    self.doubled += 1;
                    return Ok(true);
                }
                if head.number > self.next_in {
                    return Err(Reason::Gap);
                }
                self.next_in += 1;
                self.last_received = now;
                let came = self.pieces.take(head.what, payload)?;
                self.confirm_peer(events);
                events.extend(came.map(|(kind, payload)| LinkEvent::Message { kind, payload }));
            }
        }
        Ok(true)
    }

    /// The dialler spoke under the key of this link: it is no echo of an older one.
    fn confirm_peer(&mut self, events: &mut Vec<LinkEvent>) {
        self.state = match std::mem::replace(&mut self.state, State::Over) {
            State::AwaitingProof { keys, life } => {
                events.push(LinkEvent::Up { life });
                State::Up { keys }
            }
            other => other,
        };
    }

    /// Queues a message. [`LinkEvent::Over`] follows where one that must not be left out has no room. Before the link is up
    /// it is given up.
    pub fn send(
        &mut self,
        now: Micros,
        kind: Kind,
        payload: Vec<u8>,
        events: &mut Vec<LinkEvent>,
    ) -> Option<PushOutcome> {
        if !self.is_up() {
            return None;
        }
        let queued = self.queue.push(kind, payload);
        match queued {
            // One too long for a frame of its kind would leave a gap too, and would each time: it is the sender's fault,
            // and the rest goes on.
            PushOutcome::Full => self.end(Reason::Full, events),
            _ => self.seal_queued(now),
        }
        Some(queued)
    }

    /// Octets to be written next.
    pub fn pending(&self) -> &[u8] {
        self.sealed.get(self.wrote..).unwrap_or_default()
    }

    /// So many of [`Link::pending`] were written.
    pub fn wrote(&mut self, now: Micros, n: usize) {
        self.wrote = self.wrote.saturating_add(n).min(self.sealed.len());
        self.seal_queued(now);
    }

    /// Time went on.
    pub fn tick(&mut self, now: Micros, events: &mut Vec<LinkEvent>) {
        match self.state {
            State::Over => {}
            State::Up { .. } if now - self.last_received >= SILENCE => self.end(Reason::Silent, events),
            State::Up { .. } if now - self.last_sent >= ALIVE_EVERY => {
                // Not to one that takes nothing: frames would pile up.
                if self.pending().is_empty() {
                    self.seal(now, What::Alive, &[]);
                } else {
                    self.last_sent = now;
                }
            }
            State::Up { .. } => {}
            State::Refused if now - self.opened_at >= HANDSHAKE => self.end(Reason::Version, events),
            _ if now - self.opened_at >= HANDSHAKE => self.end(Reason::Unproved, events),
            _ => {}
        }
    }

    /// When [`Link::tick`] is due.
    pub fn wake(&self) -> Micros {
        match self.state {
            State::Over => Micros::MAX,
            State::Up { .. } => (self.last_sent + ALIVE_EVERY).min(self.last_received + SILENCE),
            _ => self.opened_at + HANDSHAKE,
        }
    }

    /// Frames that came twice and were dropped.
    pub fn doubled(&self) -> u64 {
        self.doubled
    }

    /// Octets held for the other side, and of messages from it that are not whole.
    pub fn held(&self) -> usize {
        self.queue.bytes() + self.sealed.len() + self.pieces.bytes()
    }

    fn end(&mut self, reason: Reason, events: &mut Vec<LinkEvent>) {
        if !matches!(self.state, State::Over) {
            (self.state, self.queue) = (State::Over, Queue::default());
            (self.reader, self.sealed, self.wrote) = (Reader::default(), Vec::new(), 0);
            self.pieces = Pieces::default();
            events.push(LinkEvent::Over(reason));
        }
    }

    /// Seals what waits, as far as [`SEALED`] lets it.
    fn seal_queued(&mut self, now: Micros) {
        if self.wrote == self.sealed.len() || self.wrote > SEALED {
            self.sealed.drain(..self.wrote);
            self.sealed.shrink_to(SEALED);
            self.wrote = 0;
        }
        let State::Up { keys } = &self.state else { return };
        while self.sealed.len() - self.wrote < SEALED {
            let number = self.next_out;
            let (sealed, key) = (&mut self.sealed, &keys.outgoing);
            if !self.queue.next(|what, piece| _ = seal(sealed, key, &[], Head { what, number }, piece)) {
                break;
            }
            self.next_out += 1;
            self.last_sent = now;
        }
    }

    fn seal(&mut self, now: Micros, what: What, payload: &[u8]) {
        if let State::Up { keys } = &self.state {
            seal(&mut self.sealed, &keys.outgoing, &[], Head { what, number: self.next_out }, payload);
            self.next_out += 1;
            self.last_sent = now;
        }
    }
}

/// Ends a life that others know to be past. What they know is true whenever it was said, so a hello is enough, even an
/// old one: a start that was heard once stays peer.
fn check_outlived(roster: &Roster, known: Start, events: &mut Vec<LinkEvent>) -> Result<(), Reason> {
    if known <= roster.me.start {
        return Ok(());
    }
    events.push(LinkEvent::Outlived(known));
    Err(Reason::Outlived)
}
