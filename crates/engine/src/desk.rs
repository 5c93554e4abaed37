//! The clients' side, the same for all fronts: who is let in, what is taken on, which answers go where.

use crate::Micros;
use crate::answers::End;
use crate::front::{Ask, Denied, Front, No, SmppFront};
use crate::limits::Refusal;
use crate::node::{ConnId, Effect, ID_SENDER_BITS, Key, Message, Node, Use, key_of, read_id, show_id};
use heronroute::{Event, MsgId};
use heronroute_journal::entry::{Accepted, What};
use heronroute_smpp::receipt::Answer;
use heronroute_smpp::submission::Submission;
use rusmpp_core::values::MessageState;

/// After a receipt that a client could not take.
const RECEIPT_PAUSE: Micros = 1_000_000;

impl Node {
    /// A client has connected, and sent these octets already. Gives the number for its connection, or nothing
    /// where there is no room for a further session.
    pub fn accepted(&mut self, now: Micros, octets: &[u8]) -> Option<ConnId> {
        self.now = now.max(self.now);
        if self.leaving || self.sessions >= self.cfg.smpp.sessions {
            return None;
        }
        let front: Box<dyn Front> = Box::new(SmppFront::new(self.now, self.session_limits));
        self.sessions += 1;
        let conn = self.add_conn(Use::Client { front, client: None });
        self.client_received(conn, octets);
        Some(conn)
    }

    /// Runs a front's own work, then handles what it asks for.
    fn with_front(
        &mut self,
        conn: ConnId,
        work: impl FnOnce(&mut dyn Front, &mut bytes::BytesMut, &mut Vec<Ask>),
    ) {
        let Some((front, out)) = self.front(conn) else { return };
        let mut asks = Vec::new();
        work(front, out, &mut asks);
        for ask in asks {
            self.asked(conn, ask);
        }
        self.front_wake(conn);
    }

    fn front_wake(&mut self, conn: ConnId) {
        if let Some((front, _)) = self.front(conn) {
            let wake = front.wake();
            self.timers.set(Key::Conn(conn), wake);
        }
        self.flush(conn);
    }

    pub(crate) fn client_received(&mut self, conn: ConnId, octets: &[u8]) {
        let (now, wall) = (self.now, self.wall());
        self.with_front(conn, |f, out, asks| f.receive(now, wall, octets, out, asks));
    }

    pub(crate) fn client_tick(&mut self, conn: ConnId) {
        let now = self.now;
        self.with_front(conn, |f, out, asks| f.tick(now, out, asks));
    }

    /// The connection ended, in whatever way: receipts that were out on it are owed again.
    pub(crate) fn client_gone(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get(&conn) else { return };
        let Use::Client { client, .. } = &c.what else { return };
        self.sessions -= 1;
        if let Some(client) = *client {
            self.clients[client].outbox.leave(conn);
            self.pump(client);
        }
    }

    fn end_session(&mut self, conn: ConnId) {
        self.client_gone(conn);
        self.finish(conn);
    }

    fn front(&mut self, conn: ConnId) -> Option<(&mut dyn Front, &mut bytes::BytesMut)> {
        let c = self.conns.get_mut(&conn)?;
        match &mut c.what {
            Use::Client { front, .. } => Some((front.as_mut(), &mut c.stream.out)),
            _ => None,
        }
    }

    fn refuse(&mut self, conn: ConnId, token: u32, no: No) {
        if let Some((front, out)) = self.front(conn) {
            front.refused(token, no, out);
        }
    }

    fn asked(&mut self, conn: ConnId, ask: Ask) {
        match ask {
            Ask::Enter { name, proof, token } => self.enter(conn, &name, &proof, token),
            Ask::Submit { token, submission } => self.submit(conn, token, *submission),
            Ask::Query { token, id, source } => self.query(conn, token, &id, &source),
            Ask::Withdraw { token, id, source } => self.withdraw(conn, token, &id, &source),
            Ask::Heard { token, taken } => {
                let Some(client) = self.client_of(conn) else { return };
                let now = self.now;
                let receipt = self.clients[client].outbox.answered(now, conn, token, taken, RECEIPT_PAUSE);
                if let Some(id) = receipt.and_then(|r| read_id(&r.id)) {
                    self.stats.receipts += 1;
                    self.taken(id);
                }
                self.pump(client);
            }
            Ask::Over(why) => {
                if let Some(why) = why {
                    tracing::info!(conn, why, "a client's session ended");
                }
                self.end_session(conn);
            }
        }
    }

    pub(crate) fn client_of(&self, conn: ConnId) -> Option<usize> {
        match self.conns.get(&conn).map(|c| &c.what) {
            Some(Use::Client { client, .. }) => *client,
            _ => None,
        }
    }

    fn enter(&mut self, conn: ConnId, name: &str, proof: &str, token: u32) {
        let known = self.client_names.get(name).copied();
        let config = known.and_then(|k| self.cfg.clients.get(k));
        let result = match config {
            _ if self.leaving => Err(Denied::Leaving),
            None => Err(Denied::Name),
            Some(c) if !same(&c.password, proof) => Err(Denied::Proof),
            Some(_) => Ok(()),
        };
        let now = self.now;
        let Some((front, out)) = self.front(conn) else { return };
        front.admitted(now, token, result, out);
        if result.is_err() {
            return;
        }
        let receives = front.receives();
        if let Some(Use::Client { client, .. }) = self.conns.get_mut(&conn).map(|c| &mut c.what) {
            *client = known;
        }
        if let Some(client) = known.filter(|_| receives) {
            self.clients[client].outbox.join(conn);
            self.pump(client);
        }
    }

    fn submit(&mut self, conn: ConnId, token: u32, submission: Submission) {
        let Some(client) = self.client_of(conn) else { return self.refuse(conn, token, No::NotEntered) };
        if let Err(no) = self.accept(conn, client, token, submission) {
            match no {
                No::Rate | No::Share => self.stats.refused_rate += 1,
                No::Room => self.stats.refused_room += 1,
                _ => self.stats.refused_other += 1,
            }
            self.refuse(conn, token, no);
        }
    }

    /// Takes a message on, or says why not. Nothing is counted before everything is known to be right.
    fn accept(
        &mut self,
        conn: ConnId,
        client: usize,
        token: u32,
        mut submission: Submission,
    ) -> Result<(), No> {
        let named = self.class_names.get(&submission.service).copied();
        let class = named.or(submission.service.is_empty().then_some(0)).ok_or(No::Class)?;
        let dest = self.routes.find(&submission.destination).ok_or(No::Address)?;
        let settings = &self.cfg.settings.classes[class];
        let span = submission.validity.map_or(settings.deadline, |v| v.min(settings.deadline));
        if span <= 0 {
            return Err(No::Time);
        }
        if self.ledger.refuses(self.now, self.messages.len()) {
            return Err(No::Room);
        }
        self.limits.admit(self.now, client, self.held(client, class)).map_err(|refusal| match refusal {
            Refusal::Rate => No::Rate,
            Refusal::Share => No::Share,
            Refusal::Room | Refusal::Leaving => No::Room,
        })?;
        let id = MsgId(self.next_id);
        self.next_id += 1 << ID_SENDER_BITS;
        submission.key = submission.key.filter(|_| settings.ordered);
        let key = submission.key.as_ref().map(|k| key_of(client, k));
        self.stats.accepted += 1;
        self.events.push(Event::Message {
            id,
            class,
            tenant: client,
            key,
            dest,
            time_left: span,
            again: submission.again,
        });
        let reply = submission.forward.then_some((conn, token));
        let (taken, names) = (self.wall(), &self.cfg);
        self.ledger.write(|| {
            What::Accepted(Accepted {
                id: id.0,
                client: names.clients.get(client).map(|c| c.system_id.clone()).unwrap_or_default(),
                class: names.class_names[class].clone(),
                source: submission.source.clone(),
                destination: submission.destination.clone(),
                dest: dest.0,
                key: submission.key.clone().unwrap_or_default(),
                body: submission.body.clone(),
                taken,
                deadline: taken + span,
                forward: submission.forward,
                wanted: submission.wanted.code(),
                again: submission.again,
                coding: u32::from(submission.coding),
                esm: u32::from(submission.esm),
            })
        });
        let message = Message {
            client,
            class,
            submission,
            taken,
            deadline: self.now + span,
            reply,
            attempts: 0,
            out: None,
            may_run: false,
        };
        self.messages.insert(id, message);
        self.clients[client].open += 1;
        if reply.is_none() {
            self.once_durable(Effect::Accept { conn, token, id });
        }
        Ok(())
    }

    /// The acceptance is told. A session that is gone by now will hear of its message by the receipt alone.
    pub(crate) fn tell_accepted(&mut self, conn: ConnId, token: u32, id: MsgId) {
        if let Some((front, out)) = self.front(conn) {
            front.accepted(token, &show_id(id), out);
        }
        self.flush(conn);
    }

    /// The response that is the final answer, in forward mode. False where its session is gone.
    pub(crate) fn respond(&mut self, conn: ConnId, token: u32, id: MsgId, answer: Answer) -> bool {
        let Some((front, out)) = self.front(conn) else { return false };
        let told = front.answered(token, &show_id(id), answer, out);
        self.flush(conn);
        told
    }

    fn query(&mut self, conn: ConnId, token: u32, text: &str, source: &str) {
        let Some(client) = self.client_of(conn) else { return self.refuse(conn, token, No::NotEntered) };
        let id = read_id(text);
        let open = id.and_then(|id| self.messages.get(&id));
        let open =
            open.filter(|m| m.client == client && (source.is_empty() || m.submission.source == source));
        let known = if open.is_some() {
            Some((MessageState::Enroute, None))
        } else {
            let ended = id.and_then(|id| self.ended.get(&id));
            let mine = ended.filter(|e| e.client == client && (source.is_empty() || e.source == source));
            mine.map(|e| (e.answer.state(), Some(e.done)))
        };
        let Some((front, out)) = self.front(conn) else { return };
        match known {
            Some((state, done)) => front.queried(token, text, state, done, out),
            // The same for what does not exist and what belongs to another client.
            None => front.refused(token, No::Message, out),
        }
    }

    /// Withdraws a message that has surely not run and is not on its way.
    fn withdraw(&mut self, conn: ConnId, token: u32, text: &str, source: &str) {
        let Some(client) = self.client_of(conn) else { return self.refuse(conn, token, No::NotEntered) };
        let id = read_id(text);
        let found = id.and_then(|id| self.messages.get(&id));
        let mine =
            found.filter(|m| m.client == client && (source.is_empty() || m.submission.source == source));
        let (Some(id), Some(m)) = (id, mine) else {
            return self.refuse(conn, token, No::Message);
        };
        if let Some((call, part)) = m.out {
            self.take_back(call, part);
        }
        let gone = self.messages.get(&id).is_some_and(|m| m.out.is_some() || m.may_run);
        if gone {
            return self.refuse(conn, token, No::TooLate);
        }
        self.events.push(Event::Left { id });
        if let Some((front, out)) = self.front(conn) {
            front.withdrawn(token, out);
        }
        self.answer(id, End::Withdrawn);
    }

    /// Hands a client its receipts, as far as its sessions have room.
    pub(crate) fn pump(&mut self, client: usize) {
        let mut full = 0;
        while let Some(conn) = self.clients[client].outbox.turn(self.now) {
            let now = self.now;
            let sessions = self.clients[client].outbox.sessions();
            let Some(c) = self.conns.get_mut(&conn) else { break };
            let Use::Client { front, .. } = &mut c.what else { break };
            if front.room() == 0 {
                full += 1;
                if full >= sessions {
                    break;
                }
                continue;
            }
            full = 0;
            let Some(receipt) = self.clients[client].outbox.take() else { break };
            let token = front.deliver(now, &receipt, &mut c.stream.out);
            self.clients[client].outbox.went(conn, token, receipt);
            self.front_wake(conn);
        }
        if let Some(at) = self.clients[client].outbox.wake() {
            self.timers.set(Key::Outbox(client), at.max(self.now + 1));
        }
    }

    pub(crate) fn unbind_all(&mut self) {
        let bound: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| matches!(&c.what, Use::Client { front, .. } if front.entered()))
            .map(|(id, _)| *id)
            .collect();
        for conn in bound {
            let now = self.now;
            self.with_front(conn, |f, out, _| f.leave(now, out));
        }
        // Those that never bound are owed nothing.
        let other: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| matches!(&c.what, Use::Client { client: None, .. }))
            .map(|(id, _)| *id)
            .collect();
        for conn in other {
            self.sessions -= 1;
            self.drop_conn(conn);
        }
    }
}

/// Compares without stopping at the first difference.
fn same(a: &str, b: &str) -> bool {
    let (a, b) = (a.as_bytes(), b.as_bytes());
    a.len() == b.len() && a.iter().zip(b).fold(0, |d, (x, y)| d | (x ^ y)) == 0
}
