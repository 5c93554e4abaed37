//! The state machine of one connection between two members.

use super::hello::{self, Keys, Nonce, Side};
use super::pieces::Pieces;
use super::reason::Reason;
use super::roster::Roster;
use crate::Micros;
use crate::frames::{FrameReader, FrameType, Head, MAX_FRAME_BYTES, MAX_HELLO_BYTES, seal};
use crate::key::Tag;
use crate::kind::Kind;
use crate::name::{Life, Name, Start};
use crate::queue::{PushOutcome, Queue};

/// The time from the start of a connection within which both sides must be authenticated.
pub const HANDSHAKE_TIMEOUT: Micros = 5_000_000;
/// The time without other frames after which a keepalive is sent.
pub const KEEPALIVE_INTERVAL: Micros = 1_000_000;
/// A link on which no whole frame arrived for this long is closed.
pub const IDLE_TIMEOUT: Micros = 4_000_000;
/// The number of sealed but unwritten bytes above which no further piece is sealed. Sealed bytes can't be
/// replaced by newer messages, so the limit is low.
pub const MAX_SEALED_BYTES: usize = 16 * 1024;

/// The result of received bytes or of passed time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// The peer is authenticated.
    Up {
        /// The peer's life.
        life: Life,
    },
    /// The peer knows this member under a later start than its own: this process was restored from an old
    /// disk, or another process uses its name. [`LinkEvent::Over`] follows.
    Outlived(Start),
    /// The peer uses this other version of the protocol. The connection is over, or ends once the peer has
    /// been informed.
    OtherVersion(u32),
    /// A whole message.
    Message {
        /// The kind of the message.
        kind: Kind,
        /// The content.
        payload: Vec<u8>,
    },
    /// The connection has to be closed. No event follows.
    Over(Reason),
}

#[derive(Debug)]
enum State {
    /// Hello 1 was sent; waits for hello 2.
    AwaitingReply {
        to: Name,
        first: Tag,
    },
    /// Waits for hello 1.
    AwaitingHello {
        nonce: Nonce,
    },
    /// Hello 2 was sent; waits for a frame under the link's key.
    AwaitingProof {
        keys: Keys,
        life: Life,
    },
    /// A dialler of another version was refused; waits until it closes the connection.
    Refused,
    /// Both sides are authenticated.
    Up {
        keys: Keys,
    },
    Over,
}

/// The state machine of one connection.
#[derive(Debug)]
pub struct Link {
    state: State,
    reader: FrameReader,
    queue: Queue,
    /// Sealed bytes; those from `wrote` on are not written yet.
    sealed: Vec<u8>,
    wrote: usize,
    /// The sequence numbers of the next outgoing and incoming frame.
    next_out: u64,
    next_in: u64,
    pieces: Pieces,
    opened_at: Micros,
    last_sent: Micros,
    last_received: Micros,
    /// The number of frames that arrived twice.
    duplicates: u64,
}

impl Link {
    /// Begins a connection as the dialler. `nonce` must be used by no other connection of this installation.
    pub fn dial(now: Micros, roster: &Roster, to: &Name, nonce: Nonce) -> Self {
        let mut sealed = Vec::new();
        let first = hello::write(&mut sealed, roster, Side::Dialler, to, nonce, &[]);
        Link::new(now, State::AwaitingReply { to: to.clone(), first }, sealed)
    }

    /// Begins a connection as the answerer.
    pub fn answer(now: Micros, nonce: Nonce) -> Self {
        Link::new(now, State::AwaitingHello { nonce }, Vec::new())
    }

    fn new(now: Micros, state: State, sealed: Vec<u8>) -> Self {
        Link {
            state,
            reader: FrameReader::default(),
            queue: Queue::default(),
            sealed,
            wrote: 0,
            next_out: 1,
            next_in: 1,
            pieces: Pieces::default(),
            opened_at: now,
            last_sent: now,
            last_received: now,
            duplicates: 0,
        }
    }

    /// Returns whether both sides are authenticated.
    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up { .. })
    }

    /// Returns whether the peer was refused for its protocol version.
    pub fn is_refused(&self) -> bool {
        matches!(self.state, State::Refused)
    }

    /// Handles received bytes and appends the resulting events. After [`LinkEvent::Over`], received bytes are
    /// ignored.
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

    /// Handles the next frame. Returns false when no whole frame is buffered.
    fn process_frame(
        &mut self,
        now: Micros,
        roster: &Roster,
        events: &mut Vec<LinkEvent>,
    ) -> Result<bool, Reason> {
        let proved = matches!(self.state, State::AwaitingProof { .. } | State::Up { .. });
        let Some(raw) = self.reader.next(if proved { MAX_FRAME_BYTES } else { MAX_HELLO_BYTES })? else {
            return Ok(false);
        };
        if !proved && let Some(theirs) = hello::other_version(&raw) {
            events.push(LinkEvent::OtherVersion(theirs));
            if matches!(self.state, State::AwaitingReply { .. }) {
                return Err(Reason::Version);
            }
            hello::write_refusal(&mut self.sealed, roster);
            (self.state, self.reader) = (State::Refused, FrameReader::default());
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
                // This frame authenticates this side to the peer.
                self.seal(now, FrameType::Alive, &[]);
                events.push(LinkEvent::Up { life: peer.life });
            }
            State::AwaitingProof { keys, .. } | State::Up { keys } => {
                let (head, payload) = raw.open(&keys.incoming, &[])?;
                if head.number < self.next_in {
                    // A relay that repeats frames does no harm. A repeated frame doesn't count as a sign of
                    // life, as anyone could have kept it.
                    self.duplicates += 1;
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

    /// Completes the handshake of an answerer: the dialler has used the key of this link, so its hello was no
    /// replay.
    fn confirm_peer(&mut self, events: &mut Vec<LinkEvent>) {
        self.state = match std::mem::replace(&mut self.state, State::Over) {
            State::AwaitingProof { keys, life } => {
                events.push(LinkEvent::Up { life });
                State::Up { keys }
            }
            other => other,
        };
    }

    /// Queues a message. [`LinkEvent::Over`] follows when there is no room for a message that must not be
    /// left out. Before the link is up, the message is discarded.
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
            // A message that is too long would leave a gap too, but would do so on each new link. It is the
            // sender's fault, and the link goes on.
            PushOutcome::Full => self.end(Reason::Full, events),
            _ => self.seal_queued(now),
        }
        Some(queued)
    }

    /// Returns the bytes to be written next.
    pub fn pending(&self) -> &[u8] {
        self.sealed.get(self.wrote..).unwrap_or_default()
    }

    /// Records that `n` bytes of [`Link::pending`] were written.
    pub fn wrote(&mut self, now: Micros, n: usize) {
        self.wrote = self.wrote.saturating_add(n).min(self.sealed.len());
        self.seal_queued(now);
    }

    /// Handles the passing of time.
    pub fn tick(&mut self, now: Micros, events: &mut Vec<LinkEvent>) {
        match self.state {
            State::Over => {}
            State::Up { .. } if now - self.last_received >= IDLE_TIMEOUT => self.end(Reason::Silent, events),
            State::Up { .. } if now - self.last_sent >= KEEPALIVE_INTERVAL => {
                // A peer that reads nothing gets no further keepalives: they would pile up.
                if self.pending().is_empty() {
                    self.seal(now, FrameType::Alive, &[]);
                } else {
                    self.last_sent = now;
                }
            }
            State::Up { .. } => {}
            State::Refused if now - self.opened_at >= HANDSHAKE_TIMEOUT => self.end(Reason::Version, events),
            _ if now - self.opened_at >= HANDSHAKE_TIMEOUT => self.end(Reason::Unproved, events),
            _ => {}
        }
    }

    /// Returns the time at which [`Link::tick`] is due.
    pub fn wake(&self) -> Micros {
        match self.state {
            State::Over => Micros::MAX,
            State::Up { .. } => (self.last_sent + KEEPALIVE_INTERVAL).min(self.last_received + IDLE_TIMEOUT),
            _ => self.opened_at + HANDSHAKE_TIMEOUT,
        }
    }

    /// Returns the number of frames that arrived twice and were dropped.
    pub fn duplicates(&self) -> u64 {
        self.duplicates
    }

    /// Returns the number of bytes queued for the peer, and buffered of its incomplete messages.
    pub fn held(&self) -> usize {
        self.queue.bytes() + self.sealed.len() + self.pieces.bytes()
    }

    fn end(&mut self, reason: Reason, events: &mut Vec<LinkEvent>) {
        if !matches!(self.state, State::Over) {
            (self.state, self.queue) = (State::Over, Queue::default());
            (self.reader, self.sealed, self.wrote) = (FrameReader::default(), Vec::new(), 0);
            self.pieces = Pieces::default();
            events.push(LinkEvent::Over(reason));
        }
    }

    /// Seals queued messages up to [`MAX_SEALED_BYTES`].
    fn seal_queued(&mut self, now: Micros) {
        if self.wrote == self.sealed.len() || self.wrote > MAX_SEALED_BYTES {
            self.sealed.drain(..self.wrote);
            self.sealed.shrink_to(MAX_SEALED_BYTES);
            self.wrote = 0;
        }
        let State::Up { keys } = &self.state else { return };
        while self.sealed.len() - self.wrote < MAX_SEALED_BYTES {
            let number = self.next_out;
            let (sealed, key) = (&mut self.sealed, &keys.outgoing);
            if !self.queue.next(|what, piece| _ = seal(sealed, key, &[], Head { what, number }, piece)) {
                break;
            }
            self.next_out += 1;
            self.last_sent = now;
        }
    }

    fn seal(&mut self, now: Micros, what: FrameType, payload: &[u8]) {
        if let State::Up { keys } = &self.state {
            seal(&mut self.sealed, &keys.outgoing, &[], Head { what, number: self.next_out }, payload);
            self.next_out += 1;
            self.last_sent = now;
        }
    }
}

/// Ends a life when the peer knows a later one. What the peer knows stays true whenever it was said, so even
/// a replayed hello is sufficient: a start number that was once received remains used.
fn check_outlived(roster: &Roster, known: Start, events: &mut Vec<LinkEvent>) -> Result<(), Reason> {
    if known <= roster.me.start {
        return Ok(());
    }
    events.push(LinkEvent::Outlived(known));
    Err(Reason::Outlived)
}
