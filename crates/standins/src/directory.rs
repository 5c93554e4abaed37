//! The directory: a list with scripted changes, told late and sometimes not at all.

use crate::Micros;
use crate::actor::{Action, Actor, Conn};
use bytes::BytesMut;
use heronroute_audit::Drained;
use heronroute_config::{raw, write_listing};
use heronroute_http::{Message, Reader, Side, Start, write_response};
use std::collections::BTreeMap;

/// A change to the list.
#[derive(Clone, Debug)]
pub struct Change {
    /// When it is known to the directory; lag is part of it.
    pub at: Micros,
    /// The line as it is from then on.
    pub endpoint: raw::Endpoint,
}

struct Poll {
    conn: Conn,
    since: u64,
    until: Micros,
}

/// The directory.
pub struct Directory {
    list: BTreeMap<String, raw::Endpoint>,
    /// Changes with their versions, those not made yet last.
    changes: Vec<Change>,
    made: usize,
    /// Spans in which it answers with an error.
    errors: Vec<(Micros, Micros)>,
    readers: BTreeMap<Conn, Reader>,
    polls: Vec<Poll>,
    actions: Vec<Action>,
    /// What it told.
    pub told: Vec<Drained>,
    /// Questions that it answered.
    pub answered: usize,
}

impl Directory {
    /// A directory with a first list and changes to come.
    pub fn new(list: Vec<raw::Endpoint>, mut changes: Vec<Change>, errors: Vec<(Micros, Micros)>) -> Self {
        changes.sort_by_key(|c| c.at);
        Directory {
            list: list.into_iter().map(|e| (e.name.clone(), e)).collect(),
            changes,
            made: 0,
            errors,
            readers: BTreeMap::new(),
            polls: Vec::new(),
            actions: Vec::new(),
            told: Vec::new(),
            answered: 0,
        }
    }

    /// Versions begin at 1; each change makes the next.
    fn version(&self) -> u64 {
        1 + self.made as u64
    }

    fn failing(&self, now: Micros) -> bool {
        self.errors.iter().any(|(from, to)| *from <= now && now < *to)
    }

    fn request(&mut self, now: Micros, conn: Conn, m: &Message) {
        let Start::Request { target, .. } = &m.start else { return };
        let figure = |name: &str| {
            let query = target.split('?').nth(1)?;
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))?.parse::<u64>().ok()
        };
        let (since, wait) = (figure("since").unwrap_or(0), figure("wait").unwrap_or(0).min(60_000));
        if self.failing(now) {
            return self.write(conn, 503, "");
        }
        self.polls.push(Poll { conn, since, until: now + wait as Micros * 1_000 });
        self.answer(now);
    }

    fn write(&mut self, conn: Conn, status: u16, body: &str) {
        let mut out = BytesMut::new();
        write_response(status, &[("content-type", "text/plain")], body.as_bytes(), &mut out);
        self.actions.push(Action::Write(conn, out.to_vec()));
    }

    fn answer(&mut self, now: Micros) {
        let version = self.version();
        let polls = std::mem::take(&mut self.polls);
        for p in polls {
            if p.since < version {
                let whole = p.since == 0;
                let endpoint: Vec<raw::Endpoint> = if whole {
                    self.list.values().cloned().collect()
                } else {
                    self.changes[p.since as usize - 1..self.made].iter().map(|c| c.endpoint.clone()).collect()
                };
                let drains = endpoint.iter().filter(|e| e.status == "draining" || e.status == "removed");
                self.told.extend(drains.map(|e| Drained { at: now, endpoint: e.name.clone() }));
                let text = write_listing(&raw::Listing { version, whole, endpoint });
                self.write(p.conn, 200, &text);
                self.answered += 1;
            } else if p.until <= now {
                self.write(p.conn, 204, "");
                self.answered += 1;
            } else {
                self.polls.push(p);
            }
        }
    }
}

impl Actor for Directory {
    fn accepted(&mut self, _: Micros, _: usize, conn: Conn) {
        self.readers.insert(conn, Reader::new(Side::Requests, 1 << 16));
    }

    fn received(&mut self, now: Micros, conn: Conn, octets: &[u8]) {
        let Some(reader) = self.readers.get_mut(&conn) else { return };
        reader.push(octets);
        while let Some(reader) = self.readers.get_mut(&conn) {
            match reader.next_message() {
                Ok(Some(m)) => self.request(now, conn, &m),
                Ok(None) => return,
                Err(_) => {
                    self.readers.remove(&conn);
                    self.actions.push(Action::Drop(conn));
                }
            }
        }
    }

    fn closed(&mut self, _: Micros, conn: Conn) {
        self.readers.remove(&conn);
        self.polls.retain(|p| p.conn != conn);
    }

    fn tick(&mut self, now: Micros) {
        while let Some(c) = self.changes.get(self.made).filter(|c| c.at <= now) {
            let e = c.endpoint.clone();
            if e.status == "removed" {
                self.list.remove(&e.name);
            } else {
                self.list.insert(e.name.clone(), e);
            }
            self.made += 1;
        }
        if self.failing(now) {
            // Those that wait are told at once that it fails.
            for p in std::mem::take(&mut self.polls) {
                self.write(p.conn, 503, "");
            }
        }
        self.answer(now);
    }

    fn wake(&self) -> Micros {
        let change = self.changes.get(self.made).map_or(Micros::MAX, |c| c.at);
        self.polls.iter().map(|p| p.until).fold(change, Micros::min)
    }

    fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
