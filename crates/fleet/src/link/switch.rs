//! The links of one member.

use super::hello::Nonce;
use super::output::{Conn, Output, Settings, Stats, VERSION_REPORT_INTERVAL};
use super::reason::Reason;
use super::redial::RedialBackoff;
use super::roster::{Roster, RosterError};
use super::session::{Link, LinkEvent};
use crate::Micros;
use crate::kind::Kind;
use crate::name::{Life, Name};
use crate::queue::PushOutcome;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The maximum number of unauthenticated incoming connections, unless there are more members than that; the
/// oldest is closed first.
pub const MAX_UNAUTHENTICATED: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKey {
    Dial(usize),
    Conn(Conn),
}

#[derive(Debug)]
struct Connection {
    link: Link,
    /// The peer that was dialled, or that was authenticated on it.
    peer: Option<usize>,
    /// The time of its entry in the timers.
    due: Micros,
    /// Whether an [`Output::Write`] was issued that [`Switch::wrote`] hasn't answered yet.
    write_requested: bool,
}

#[derive(Debug)]
struct PeerLink {
    name: Name,
    address: SocketAddr,
    /// Whether this side dials.
    dials: bool,
    redial: RedialBackoff,
    /// The connection that is the peer's link, and the time when it came up.
    up: Option<(Conn, Micros)>,
}

/// Manages all links of one member; the caller owns the sockets.
#[derive(Debug)]
pub struct Switch {
    roster: Roster,
    seed: u64,
    peer_links: Vec<PeerLink>,
    conns: BTreeMap<Conn, Connection>,
    next_conn: Conn,
    /// Unauthenticated incoming connections, oldest first.
    parse_unverified: BTreeSet<Conn>,
    timers: BTreeSet<(Micros, TimerKey)>,
    outputs: Vec<Output>,
    events: Vec<LinkEvent>,
    stats: Stats,
    /// The number of connections refused for another protocol version, and the time of the last report.
    refused: (u64, Option<Micros>),
}

impl Switch {
    /// Returns a switch that dials its peers within a short random delay.
    ///
    /// # Errors
    /// Fails when the installation's id or the members' names aren't valid.
    pub fn new(now: Micros, settings: Settings) -> Result<Self, RosterError> {
        let Settings { installation, me, peers, key, seed } = settings;
        let mut timers = BTreeSet::new();
        let mut peer_links = Vec::new();
        for (index, peer) in peers.iter().enumerate() {
            let dials = me.name < peer.name;
            let mut redial = RedialBackoff::new(seed, index);
            if dials {
                timers.insert((now + redial.initial_delay(), TimerKey::Dial(index)));
            }
            peer_links.push(PeerLink {
                name: peer.name.clone(),
                address: peer.address,
                dials,
                redial,
                up: None,
            });
        }
        let roster = Roster::new(&installation, me, key, &peers)?;
        Ok(Switch {
            roster,
            seed,
            peer_links,
            conns: BTreeMap::new(),
            next_conn: 0,
            parse_unverified: BTreeSet::new(),
            timers,
            outputs: Vec::new(),
            events: Vec::new(),
            stats: Stats::default(),
            refused: (0, None),
        })
    }

    /// Handles an incoming connection. Closes the oldest unauthenticated one if there are too many.
    pub fn accepted(&mut self, now: Micros) -> Conn {
        if self.parse_unverified.len() >= MAX_UNAUTHENTICATED.max(self.peer_links.len())
            && let Some(oldest) = self.parse_unverified.first().copied()
        {
            self.close_connection(now, oldest, Reason::Crowded, true);
        }
        let conn = self.next_conn;
        let link = Link::answer(now, self.nonce(conn));
        self.parse_unverified.insert(conn);
        self.add_connection(conn, link, None);
        conn
    }

    /// Handles that a requested connection was established.
    pub fn connected(&mut self, _now: Micros, conn: Conn) {
        self.request_write(conn);
    }

    /// Handles that a connection ended, broke or couldn't be made.
    pub fn closed(&mut self, now: Micros, conn: Conn) {
        self.close_connection(now, conn, Reason::Ended, false);
    }

    /// Handles received bytes.
    pub fn received(&mut self, now: Micros, conn: Conn, bytes: &[u8]) {
        let mut events = std::mem::take(&mut self.events);
        if let Some(held) = self.conns.get_mut(&conn) {
            let before = held.link.duplicates();
            held.link.receive(now, &self.roster, bytes, &mut events);
            self.stats.duplicates += held.link.duplicates() - before;
        }
        self.handle_events(now, conn, events);
    }

    /// Returns the bytes to be written next on a connection.
    pub fn pending(&self, conn: Conn) -> &[u8] {
        self.conns.get(&conn).map(|held| held.link.pending()).unwrap_or_default()
    }

    /// Records that `n` pending bytes were written; more may be pending then.
    pub fn wrote(&mut self, now: Micros, conn: Conn, n: usize) {
        if let Some(held) = self.conns.get_mut(&conn) {
            held.link.wrote(now, n);
            held.write_requested = false;
        }
    }

    /// Sends a message to a peer if its link is up.
    pub fn send(&mut self, now: Micros, peer: usize, kind: Kind, payload: Vec<u8>) {
        let up = self.peer_links.get(peer).and_then(|line| line.up);
        let held = up.and_then(|(conn, _)| Some((conn, self.conns.get_mut(&conn)?)));
        let Some((conn, held)) = held else {
            self.stats.unlinked += 1;
            return;
        };
        let mut events = std::mem::take(&mut self.events);
        match held.link.send(now, kind, payload, &mut events) {
            Some(PushOutcome::Replaced(n)) => self.stats.given_up += n as u64,
            Some(PushOutcome::TooLong) => self.stats.long += 1,
            Some(PushOutcome::Added | PushOutcome::Full) | None => {}
        }
        self.handle_events(now, conn, events);
    }

    /// Handles the timers that are due. The cost depends on their number only.
    pub fn tick(&mut self, now: Micros) {
        while let Some((at, due)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, due));
            match due {
                TimerKey::Dial(peer) => self.dial(now, peer),
                TimerKey::Conn(conn) => {
                    let mut events = std::mem::take(&mut self.events);
                    if let Some(held) = self.conns.get_mut(&conn) {
                        held.due = Micros::MAX;
                        held.link.tick(now, &mut events);
                    }
                    self.handle_events(now, conn, events);
                }
            }
        }
    }

    /// Returns the time at which [`Switch::tick`] is due.
    pub fn wake(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Takes the pending outputs.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the counters.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Returns whether a peer's link is up.
    pub fn linked(&self, peer: usize) -> bool {
        self.peer_links.get(peer).is_some_and(|line| line.up.is_some())
    }

    /// Returns the number of bytes queued for a peer and buffered of its incomplete messages.
    pub fn held(&self, peer: usize) -> usize {
        let up = self.peer_links.get(peer).and_then(|line| line.up);
        up.and_then(|(conn, _)| self.conns.get(&conn)).map_or(0, |held| held.link.held())
    }

    /// Returns the number of connections of any kind.
    pub fn conns(&self) -> usize {
        self.conns.len()
    }

    fn dial(&mut self, now: Micros, peer: usize) {
        let Some(line) = self.peer_links.get(peer).filter(|line| line.up.is_none()) else { return };
        let (conn, address) = (self.next_conn, line.address);
        let link = Link::dial(now, &self.roster, &line.name, self.nonce(conn));
        self.add_connection(conn, link, Some(peer));
        self.outputs.push(Output::Connect { conn, address });
    }

    fn add_connection(&mut self, conn: Conn, link: Link, peer: Option<usize>) {
        self.next_conn += 1;
        let due = link.wake();
        self.timers.insert((due, TimerKey::Conn(conn)));
        self.conns.insert(conn, Connection { link, peer, due, write_requested: false });
    }

    /// Returns a nonce that no other connection has: a start never repeats, nor does a connection's number
    /// within it. The seed covers the case of a restored disk. The nonce is computed under the key, so that
    /// nobody can predict it.
    fn nonce(&self, conn: Conn) -> Nonce {
        let (me, start) = (&self.roster.me, self.roster.me.start.0.to_be_bytes());
        let parts =
            [me.name.as_str().as_bytes(), &[0], &start, &conn.to_be_bytes(), &self.seed.to_be_bytes()];
        self.roster.key.tag(b"heronroute nonce\0", &parts)
    }

    /// Handles the events of a link, then updates its pending write and its timer.
    fn handle_events(&mut self, now: Micros, conn: Conn, mut events: Vec<LinkEvent>) {
        for event in events.drain(..) {
            match event {
                LinkEvent::Up { life } => self.link_proved(now, conn, life),
                LinkEvent::Outlived(start) => self.outputs.push(Output::Outlived(start)),
                LinkEvent::Message { kind, payload } => {
                    // A connection that was closed in this same call delivers no message.
                    if let Some(peer) = self.conns.get(&conn).and_then(|held| held.peer) {
                        self.outputs.push(Output::Message { peer, kind, payload });
                    }
                }
                LinkEvent::OtherVersion(theirs) => self.other_version(now, theirs),
                LinkEvent::Over(reason) => self.close_connection(now, conn, reason, true),
            }
        }
        self.events = events;
        self.request_write(conn);
        if let Some(held) = self.conns.get_mut(&conn)
            // A later deadline is handled when the earlier timer fires, so that a frame doesn't change the
            // timers.
            && held.link.wake() < held.due
        {
            self.timers.remove(&(held.due, TimerKey::Conn(conn)));
            held.due = held.link.wake();
            self.timers.insert((held.due, TimerKey::Conn(conn)));
        }
    }

    fn other_version(&mut self, now: Micros, theirs: u32) {
        let (refused, last_report) = &mut self.refused;
        *refused += 1;
        if last_report.is_none_or(|at| now - at >= VERSION_REPORT_INTERVAL) {
            *last_report = Some(now);
            self.outputs.push(Output::OtherVersion { theirs, refused: *refused });
        }
    }

    fn request_write(&mut self, conn: Conn) {
        if let Some(held) =
            self.conns.get_mut(&conn).filter(|h| !h.write_requested && !h.link.pending().is_empty())
        {
            held.write_requested = true;
            self.outputs.push(Output::Write(conn));
        }
    }

    /// Makes the connection on which a life was authenticated the peer's link, unless a later life is known.
    fn link_proved(&mut self, now: Micros, conn: Conn, life: Life) {
        let Some((peer, known)) = self.roster.member(&life.name) else { return };
        if life.start < known {
            return self.close_connection(now, conn, Reason::Stale, true);
        }
        self.roster.record_start(&life);
        let before = self.peer_links.get(peer).and_then(|line| line.up);
        if let Some((old, _)) = before {
            self.close_connection(now, old, Reason::Replaced, true);
        }
        self.parse_unverified.remove(&conn);
        if let (Some(held), Some(line)) = (self.conns.get_mut(&conn), self.peer_links.get_mut(peer)) {
            held.peer = Some(peer);
            line.up = Some((conn, now));
            self.stats.linked += 1;
            self.outputs.push(Output::Linked { peer, life });
        }
    }

    fn close_connection(&mut self, now: Micros, conn: Conn, why: Reason, close: bool) {
        let Some(held) = self.conns.remove(&conn) else { return };
        self.timers.remove(&(held.due, TimerKey::Conn(conn)));
        self.parse_unverified.remove(&conn);
        let why = if held.link.is_refused() { Reason::Version } else { why };
        *self.stats.ended.entry(why).or_default() += 1;
        if close {
            self.outputs.push(Output::Drop(conn));
        }
        let Some((peer, line)) = held.peer.and_then(|peer| Some((peer, self.peer_links.get_mut(peer)?)))
        else {
            return;
        };
        let mut uptime = 0;
        if let Some((_, since)) = line.up.filter(|(up, _)| *up == conn) {
            line.up = None;
            uptime = now - since;
            self.outputs.push(Output::Unlinked { peer, why });
        }
        if line.dials {
            // Members of different versions can't be linked until somebody acts, so they must not dial often.
            if why == Reason::Version {
                line.redial.use_longest_delay();
            }
            self.timers.insert((now + line.redial.next_delay(uptime), TimerKey::Dial(peer)));
        }
    }
}
