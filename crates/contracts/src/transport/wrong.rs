//! Right links with one fault.

use super::settings;
use super::speaker::Speaker;
use heronroute_fleet::frames::PIECE_BYTES;
use heronroute_fleet::link::{Conn, IDLE_TIMEOUT, Output, Reason, Settings, Stats, Switch};
use heronroute_fleet::queue::MAX_ORDERED_BYTES;
use heronroute_fleet::{Kind, Micros};
use std::collections::BTreeMap;

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Of a peer's agreement the eighth message comes after the ninth.
    Swaps,
    /// Of a peer's agreement the twelfth message is lost.
    Loses,
    /// The last octet of a message that is longer than a frame differs.
    Alters,
    /// Any key will do.
    AnyKey,
    /// Any installation will do.
    AnyInstallation,
    /// Strange installations are not counted.
    Uncounted,
    /// A message whose tag does not fit is heard all the same.
    HearsAltered,
    /// So is one of its own.
    HearsItself,
    /// A connection that begins as an earlier one is taken for it.
    Believes,
    /// What comes twice is heard twice.
    Doubles,
    /// Links end after twenty seconds.
    Nervous,
    /// A link on which nothing comes is held.
    Deaf,
    /// A link on which octets come is held.
    Patient,
    /// Where states wait, newer ones are given up.
    KeepsOldest,
    /// What waits for one peer stops the others.
    Blocks,
    /// It keeps all that was ever sent.
    Hoards,
    /// What has no room is left out, and the link goes on.
    Skips,
}

/// Links with their fault.
pub struct Wrong {
    inner: Switch,
    fault: Fault,
    /// Connections in the order in which they came, and when octets came last.
    conns: BTreeMap<Conn, Micros>,
    /// Octets that came on each, and that left.
    came: BTreeMap<Conn, Vec<u8>>,
    left: Vec<u8>,
    last: Option<Output>,
    aside: Option<Output>,
    extra: Vec<Output>,
    agreed: usize,
    begun: Option<Micros>,
    waiting: Vec<(usize, Kind, Vec<u8>)>,
    hoard: usize,
    /// The connection whose octets came last, and how many.
    now: (Micros, Conn, Vec<u8>),
}

impl Wrong {
    /// A member with a fault.
    pub fn new(fault: Fault, mut from: Settings) -> Self {
        let right = settings(0, 1);
        if fault == Fault::AnyKey {
            from.key = right.key;
        } else if fault == Fault::AnyInstallation {
            from.installation = right.installation;
        }
        Wrong {
            inner: Switch::new(0, from).expect("members as the suite names them"),
            fault,
            conns: BTreeMap::new(),
            came: BTreeMap::new(),
            left: Vec::new(),
            last: None,
            aside: None,
            extra: Vec::new(),
            agreed: 0,
            begun: None,
            waiting: Vec::new(),
            hoard: 0,
            now: (0, 0, Vec::new()),
        }
    }

    fn is(&self, fault: Fault) -> bool {
        self.fault == fault
    }

    fn quiet(&self, conn: Conn) -> bool {
        self.conns.get(&conn).is_none_or(|at| self.now.0 - at >= IDLE_TIMEOUT)
    }

    /// What becomes of an output.
    fn pass(&mut self, output: Output, all: &mut Vec<Output>) {
        match output {
            Output::Message { kind: Kind::Agreement, .. }
                if self.is(Fault::Swaps) || self.is(Fault::Loses) =>
            {
                self.agreed += 1;
                match (self.fault, self.agreed) {
                    (Fault::Swaps, 8) => return self.aside = Some(output),
                    (Fault::Loses, 12) => return,
                    _ => {}
                }
                all.push(output);
                all.extend(self.aside.take());
                return;
            }
            Output::Message { peer, kind, mut payload }
                if self.is(Fault::Alters) && payload.len() > PIECE_BYTES =>
            {
                if let Some(octet) = payload.last_mut() {
                    *octet ^= 1;
                }
                return all.push(Output::Message { peer, kind, payload });
            }
            Output::Message { .. } => self.last = Some(output.clone()),
            Output::Unlinked { peer, why: Reason::Forged } => {
                let own = self.left.windows(self.now.2.len()).any(|w| w == self.now.2);
                if self.is(Fault::HearsItself) && own || self.is(Fault::HearsAltered) && !own {
                    all.push(Output::Message { peer, kind: Kind::Log, payload: self.now.2.clone() });
                }
            }
            Output::Connect { conn, .. } => _ = self.conns.insert(conn, self.now.0),
            _ => {}
        }
        all.push(output);
    }
}

impl Speaker for Wrong {
    fn accepted(&mut self, now: Micros) -> Conn {
        let conn = self.inner.accepted(now);
        self.conns.insert(conn, now);
        conn
    }
    fn connected(&mut self, now: Micros, conn: Conn) {
        self.inner.connected(now, conn);
    }
    fn closed(&mut self, now: Micros, conn: Conn) {
        self.inner.closed(now, conn);
    }
    fn received(&mut self, now: Micros, conn: Conn, octets: &[u8]) {
        self.now = (now, conn, octets.to_vec());
        self.conns.insert(conn, now);
        if self.is(Fault::Believes) {
            let mut mine = self.came.remove(&conn).unwrap_or_default();
            mine.extend_from_slice(octets);
            let again = |(earlier, came): (&Conn, &Vec<u8>)| *earlier < conn && came.starts_with(&mine);
            if mine.len() > 64 && self.came.iter().any(again) {
                self.extra.extend(self.last.clone());
            }
            self.came.insert(conn, mine);
        }
        let before = self.inner.stats().duplicates;
        self.inner.received(now, conn, octets);
        if self.is(Fault::Doubles) && self.inner.stats().duplicates > before {
            self.extra.extend(self.last.clone());
        }
    }
    fn pending(&self, conn: Conn) -> &[u8] {
        self.inner.pending(conn)
    }
    fn wrote(&mut self, now: Micros, conn: Conn, n: usize) {
        if self.is(Fault::HearsItself) || self.is(Fault::HearsAltered) {
            self.left.extend_from_slice(&self.inner.pending(conn)[..n]);
        }
        self.inner.wrote(now, conn, n);
    }
    fn send(&mut self, now: Micros, peer: usize, kind: Kind, payload: Vec<u8>) {
        let waits = self.inner.held(peer);
        self.hoard += payload.len();
        if self.is(Fault::KeepsOldest) && !kind.ordered() && waits > 12_000
            || self.is(Fault::Skips) && waits + payload.len() > MAX_ORDERED_BYTES
        {
            return;
        }
        let jam = (0..8).any(|other| other != peer && self.inner.held(other) > 256 * 1024);
        if self.is(Fault::Blocks) && jam {
            return self.waiting.push((peer, kind, payload));
        }
        self.inner.send(now, peer, kind, payload);
    }
    fn tick(&mut self, now: Micros) {
        self.now.0 = now;
        self.inner.tick(now);
        let begun = *self.begun.get_or_insert(now);
        if self.is(Fault::Nervous) && now - begun > 20_000_000 {
            self.begun = Some(now);
            for conn in self.conns.keys() {
                self.inner.closed(now, *conn);
                self.extra.push(Output::Drop(*conn));
            }
        }
    }
    fn wake(&self) -> Option<Micros> {
        self.inner.wake()
    }
    fn outputs(&mut self) -> Vec<Output> {
        let mut outputs = self.inner.outputs();
        let silent = |o: &Output| matches!(o, Output::Unlinked { why: Reason::Silent, .. });
        while let Some(at) = outputs.iter().position(silent) {
            let conn = match outputs.get(at.wrapping_sub(1)) {
                Some(Output::Drop(conn)) => *conn,
                _ => break,
            };
            let held = if self.quiet(conn) { Fault::Deaf } else { Fault::Patient };
            if !self.is(held) {
                break;
            }
            outputs.drain(at - 1..=at);
        }
        let mut all = Vec::new();
        outputs.into_iter().for_each(|output| self.pass(output, &mut all));
        all.append(&mut self.extra);
        all
    }
    fn stats(&self) -> Stats {
        let mut stats = self.inner.stats().clone();
        if self.is(Fault::Uncounted) {
            stats.ended.remove(&Reason::Foreign);
        }
        stats
    }
    fn held(&self, peer: usize) -> usize {
        self.inner.held(peer) + if self.is(Fault::Hoards) { self.hoard } else { 0 }
    }
}
