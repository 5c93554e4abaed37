//! Who is let in, and sessions that outlive connections: begun, taken up, taken over, left and ended.

use crate::Micros;
use crate::desk::{From, same};
use crate::front::{Denied, Entered, Handing, Speaks, Wanted};
use crate::ids::ConnId;
use crate::mailboxes::{BoxId, Kept, Will};
use crate::node::{Effect, Key, Node, Use};
use heronroute_journal::entry::{Session, What};
use heronroute_seen::Recent;

impl Node {
    pub(crate) fn enter(
        &mut self,
        conn: ConnId,
        name: &str,
        proof: &str,
        token: u32,
        session: Option<Wanted>,
    ) {
        let known = self.client_names.get(name).copied();
        let config = known.and_then(|k| self.cfg.clients.get(k));
        let result = match (config, known) {
            _ if self.leaving => Err(Denied::Leaving),
            (Some(c), Some(client)) if same(&c.password, proof) => Ok(client),
            (Some(_), _) => Err(Denied::Proof),
            _ => Err(Denied::Name),
        };
        let taken = result.and_then(|client| match session {
            None => Ok((client, self.clients[client].mailbox, Entered::default())),
            Some(wanted) => self.take_session(conn, client, wanted).map(|(m, e)| (client, m, e)),
        });
        let now = self.now;
        let Some((front, out)) = self.front(conn) else { return };
        let (client, mailbox) = match taken {
            Ok((client, mailbox, entered)) => {
                front.admitted(now, token, Ok(entered), out);
                (client, mailbox)
            }
            Err(denied) => {
                front.admitted(now, token, Err(denied), out);
                // One that may try once more on this connection stays; see the front.
                if self.speaks(conn) == Some(Speaks::Mqtt) {
                    self.flush(conn);
                    self.end_session(conn);
                }
                return;
            }
        };
        let receives = front.receives();
        if let Some(Use::Client { place, .. }) = self.conns.get_mut(&conn).map(|c| &mut c.what) {
            *place = Some((client, mailbox));
        }
        self.clients[client].conns += 1;
        if receives && let Some(m) = self.mailboxes.get_mut(mailbox) {
            m.outbox.join(conn);
            self.pump(mailbox);
        }
    }

    pub(crate) fn speaks(&self, conn: ConnId) -> Option<Speaks> {
        match self.conns.get(&conn).map(|c| &c.what) {
            Some(Use::Client { speaks, .. }) => Some(*speaks),
            _ => None,
        }
    }

    /// A connection takes a session with a name up, or begins one.
    fn take_session(
        &mut self,
        conn: ConnId,
        client: usize,
        wanted: Wanted,
    ) -> Result<(BoxId, Entered), Denied> {
        let given = wanted.name.is_empty().then(|| format!("hr{}-{:x}-{conn}", self.index, self.wall()));
        let name = given.clone().unwrap_or(wanted.name);
        let found = self.mailboxes.find(client, &name);
        if let Some(other) = found.and_then(|m| self.mailboxes.get(m)).and_then(|m| m.conn) {
            // The same name from another place: the first one goes, and what it left is found by the second.
            if let Some((front, out)) = self.front(other) {
                front.supplanted(out);
            }
            self.flush(other);
            self.end_session(other);
        }
        let most = self.cfg.mqtt.as_ref().map_or(0, |m| m.sessions);
        let kept = found.and_then(|m| self.mailboxes.get(m)).is_some_and(|m| m.kept.is_some());
        if !kept && self.mailboxes.sessions() >= most {
            // One that nobody has come back to makes room for one that is here.
            let stalest = self.mailboxes.stalest().ok_or(Denied::Busy)?;
            self.session_over(stalest);
        }
        if let Some(earlier) = found.filter(|_| wanted.clean && kept) {
            self.session_over(earlier);
        }
        // The mailbox may be gone with its session.
        let mailbox = self.mailboxes.open(client, &name);
        let goes_on = self.mailboxes.get(mailbox).is_some_and(|m| m.kept.is_some());
        let window = self.cfg.mqtt.as_ref().map_or(1, |m| usize::from(m.window));
        let fresh = (!goes_on).then(|| Kept {
            began: self.wall(),
            expiry: wanted.expiry,
            notes: Vec::new(),
            recent: Recent::new(window),
        });
        self.mailboxes.attach(mailbox, conn, fresh);
        self.timers.clear(Key::Mailbox(mailbox));
        let mut notes = None;
        if let Some(m) = self.mailboxes.get_mut(mailbox) {
            // Its client is back: the will is not wanted.
            m.will = None;
            if let Some(k) = &mut m.kept {
                k.expiry = wanted.expiry;
                notes = goes_on.then(|| k.notes.clone());
            }
        }
        if goes_on || wanted.expiry > 0 {
            self.write_session(mailbox);
        }
        Ok((mailbox, Entered { given, notes }))
    }

    /// What a session keeps, for the next start; a session that ends with its connection is not kept.
    fn write_session(&mut self, mailbox: BoxId) {
        let Some(m) = self.mailboxes.get(mailbox) else { return };
        let Some(k) = &m.kept else { return };
        let (cfg, client) = (&self.cfg, m.client);
        let window = cfg.mqtt.as_ref().map_or(1, |m| u32::from(m.window));
        self.ledger.write(|| {
            What::Session(Session {
                client: cfg.clients.get(client).map(|c| c.system_id.clone()).unwrap_or_default(),
                name: m.name.clone(),
                began: k.began,
                expiry: k.expiry,
                notes: k.notes.clone(),
                window,
                latest: Vec::new(),
            })
        });
    }

    /// What a session keeps has changed; its client is told once that is durable.
    pub(crate) fn noted(&mut self, conn: ConnId, notes: Vec<u8>, told: Vec<u8>) {
        let Some((_, mailbox)) = self.place_of(conn) else { return };
        if let Some(m) = self.mailboxes.get_mut(mailbox) {
            m.outbox.ask_again();
            if let Some(k) = &mut m.kept {
                k.notes = notes;
            }
        }
        if self.mailboxes.get(mailbox).and_then(|m| m.kept.as_ref()).is_some_and(|k| k.expiry > 0) {
            self.write_session(mailbox);
        }
        self.once_durable(Effect::Noted { conn, told });
        self.pump(mailbox);
    }

    pub(crate) fn tell_noted(&mut self, conn: ConnId, told: &[u8]) {
        if let Some((_, out)) = self.front(conn) {
            out.extend_from_slice(told);
        }
        self.flush(conn);
    }

    /// The connection ended, in whatever way: answers that were out on it are owed again.
    pub(crate) fn client_gone(&mut self, conn: ConnId) {
        self.forget_asks(conn);
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let Use::Client { speaks, place, front, .. } = &mut c.what else { return };
        self.sessions[*speaks as usize] -= 1;
        if *speaks == Speaks::Resp {
            return self.abandon_unacknowledged(conn);
        }
        let Some((client, mailbox)) = *place else { return };
        let parting = front.parting();
        self.clients[client].conns -= 1;
        let Some(m) = self.mailboxes.get_mut(mailbox) else { return };
        m.outbox.leave(conn);
        if m.conn == Some(conn) {
            m.will = parting.will.map(|(delay, submission, reply)| Will {
                at: self.now + delay,
                submission,
                reply,
            });
            let will_now = m.will.as_ref().is_some_and(|w| w.at <= self.now);
            if let Some(k) = m.kept.as_mut().filter(|k| k.expiry != parting.expiry) {
                k.expiry = parting.expiry;
                self.write_session(mailbox);
            }
            let ends = self.now.saturating_add(parting.expiry);
            self.mailboxes.detach(mailbox, ends);
            if will_now {
                self.hand_in_will(mailbox);
            }
            if parting.expiry == 0 {
                self.session_over(mailbox);
            } else {
                self.mailbox_timer(mailbox);
            }
        }
        self.pump(mailbox);
    }

    pub(crate) fn end_session(&mut self, conn: ConnId) {
        self.client_gone(conn);
        self.finish(conn);
    }

    /// A session is over: its will is sent at the latest now. Answers stay owed to whoever comes under its name.
    fn session_over(&mut self, mailbox: BoxId) {
        self.hand_in_will(mailbox);
        let kept = self.mailboxes.get_mut(mailbox).and_then(|m| m.kept.as_mut());
        if kept.is_some_and(|k| std::mem::take(&mut k.expiry) > 0) {
            self.write_session(mailbox);
        }
        self.mailboxes.end(mailbox);
        self.timers.clear(Key::Mailbox(mailbox));
        self.mailboxes.tidy(mailbox);
    }

    fn mailbox_timer(&mut self, mailbox: BoxId) {
        if let Some(m) = self.mailboxes.get(mailbox) {
            let will = m.will.as_ref().map_or(Micros::MAX, |w| w.at);
            self.timers.set(Key::Mailbox(mailbox), m.ends.min(will));
        }
    }

    /// A session's time may be up, or its will's.
    pub(crate) fn mailbox_due(&mut self, mailbox: BoxId) {
        let Some(m) = self.mailboxes.get(mailbox) else { return };
        if m.conn.is_some() {
            return;
        }
        if m.will.as_ref().is_some_and(|w| w.at <= self.now) {
            self.hand_in_will(mailbox);
        }
        if self.mailboxes.get(mailbox).is_some_and(|m| m.ends <= self.now) {
            return self.session_over(mailbox);
        }
        self.mailbox_timer(mailbox);
    }

    /// The message that a client left for the case that it is gone. Where it can't be accepted, nobody is there to
    /// hear of it; that is counted.
    fn hand_in_will(&mut self, mailbox: BoxId) {
        let Some(m) = self.mailboxes.get_mut(mailbox) else { return };
        let Some(will) = m.will.take() else { return };
        let from = From { conn: None, token: 0, client: m.client, mailbox };
        let handing = Handing { reply: will.reply, ..Handing::default() };
        match self.judge(&from, &will.submission, handing.light) {
            Ok(terms) => self.take_on(from, *will.submission, &handing, terms),
            Err(no) => {
                self.stats.refused_other += 1;
                tracing::info!(?no, "a will could not be taken on");
            }
        }
    }
}
