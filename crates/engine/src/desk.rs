//! The clients' side, the same for all fronts: who is let in, what is taken on, which answers go where.

use crate::Micros;
use crate::answers::End;
use crate::front::{Ask, Delivery, Front, Handing, MqttFront, No, RespFront, SmppFront, Speaks};
use crate::limits::Refusal;
use crate::mailboxes::BoxId;
use crate::node::{ConnId, Effect, ID_SENDER_BITS, Key, Message, Node, Use, key_of, read_id, show_id};
use crate::outbox::Reply;
use heronroute::{DestId, Event, MsgId};
use heronroute_held::Trail;
use heronroute_journal::entry::{Accepted, Named, What};
use heronroute_seen::{Name, Verdict};
use heronroute_smpp::receipt::Answer;
use heronroute_smpp::submission::Submission;
use rusmpp_core::values::MessageState;

/// After a receipt that a client could not take.
const RECEIPT_PAUSE: Micros = 1_000_000;

/// Worth of what may be lost by its own protocol, beside the same that may not.
const LIGHT: f64 = 0.5;

/// Where a message comes from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct From {
    /// The connection and request; none for a message handed in for a client that is gone.
    pub conn: Option<ConnId>,
    pub token: u32,
    pub client: usize,
    pub mailbox: BoxId,
}

/// What a message is taken on for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms {
    class: usize,
    dest: DestId,
    /// It is given up after this.
    span: Micros,
}

impl Node {
    /// A client has connected, and sent these octets already. Gives the number for its connection, or nothing
    /// where there is no room for a further one.
    pub fn accepted(&mut self, now: Micros, speaks: Speaks, octets: &[u8]) -> Option<ConnId> {
        self.now = now.max(self.now);
        let most = match speaks {
            Speaks::Smpp => self.cfg.smpp.sessions,
            Speaks::Mqtt => self.cfg.mqtt.as_ref().map_or(0, |m| m.sessions),
            Speaks::Resp => self.cfg.platform.map_or(0, |p| p.sessions),
        };
        if speaks == Speaks::Resp {
            if self.sessions[speaks as usize] >= most && !self.make_way() {
                return None;
            }
        } else if self.leaving || self.sessions[speaks as usize] >= most {
            return None;
        }
        let front: Box<dyn Front> = match (speaks, self.mqtt_limits) {
            (Speaks::Resp, _) => Box::new(RespFront::new(self.now)),
            (Speaks::Mqtt, Some(limits)) => Box::new(MqttFront::new(self.now, limits)),
            _ => Box::new(SmppFront::new(self.now, self.session_limits)),
        };
        self.sessions[speaks as usize] += 1;
        let conn = self.add_conn(Use::Client { front, speaks, place: None, open: 0, shedding: false });
        self.client_received(conn, octets);
        Some(conn)
    }

    /// Runs a front's own work, then handles what it asks for.
    pub(crate) fn with_front(
        &mut self,
        conn: ConnId,
        work: impl FnOnce(&mut dyn Front, &mut bytes::BytesMut, &mut Vec<Ask>),
    ) {
        let Some((front, out)) = self.front(conn) else { return };
        let mut asks = Vec::new();
        work(front, out, &mut asks);
        let mut entered = false;
        for ask in asks {
            entered |= matches!(ask, Ask::Enter { .. });
            self.asked(conn, ask);
        }
        self.front_wake(conn);
        if entered {
            // What came behind the request to be let in has waited for its answer.
            self.client_received(conn, &[]);
        }
    }

    pub(crate) fn front_wake(&mut self, conn: ConnId) {
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

    pub(crate) fn front(&mut self, conn: ConnId) -> Option<(&mut dyn Front, &mut bytes::BytesMut)> {
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
            Ask::Enter { name, proof, token, session } => self.enter(conn, &name, &proof, token, session),
            Ask::Submit { token, submission, handing } => self.submit(conn, token, *submission, *handing),
            Ask::HandIn { token, add } => self.hand_in(conn, token, *add),
            Ask::Query { token, id, source } => self.query(conn, token, &id, &source),
            Ask::Withdraw { token, id, source } => self.withdraw(conn, token, &id, &source),
            Ask::Heard { token, taken } => {
                let Some((_, mailbox)) = self.place_of(conn) else { return };
                let now = self.now;
                let Some(m) = self.mailboxes.get_mut(mailbox) else { return };
                let owed = m.outbox.answered(now, conn, token, taken, RECEIPT_PAUSE);
                if let Some(owed) = owed {
                    self.stats.receipts += 1;
                    self.heard_of(mailbox, &owed.receipt.id);
                }
                self.pump(mailbox);
            }
            Ask::Held { token, words } => self.asked_of_held(conn, token, &words),
            Ask::Notes(notes) => self.noted(conn, notes),
            Ask::Over(why) => {
                if let Some(why) = why {
                    tracing::info!(conn, why, "a client's session ended");
                }
                self.end_session(conn);
            }
        }
    }

    /// Whose connection it is, and where its answers go.
    pub(crate) fn place_of(&self, conn: ConnId) -> Option<(usize, BoxId)> {
        match self.conns.get(&conn).map(|c| &c.what) {
            Some(Use::Client { place, .. }) => *place,
            _ => None,
        }
    }

    /// An answer was taken.
    pub(crate) fn heard_of(&mut self, mailbox: BoxId, id: &str) {
        if let Some(id) = read_id(id) {
            self.taken(id);
        }
        if let Some(m) = self.mailboxes.get(mailbox) {
            self.clients[m.client].owed -= 1;
        }
        self.mailboxes.tidy(mailbox);
    }

    fn submit(&mut self, conn: ConnId, token: u32, submission: Submission, handing: Handing) {
        let Some((client, mailbox)) = self.place_of(conn) else {
            return self.refuse(conn, token, No::NotEntered);
        };
        let (now, cfg) = (self.now, &self.cfg);
        self.turns.count(now, client, |c| cfg.clients.get(c).map_or(1.0, |c| c.weight));
        let from = From { conn: Some(conn), token, client, mailbox };
        let judged = match self.known(client, mailbox, &handing) {
            Verdict::Same(id) => {
                // Once what was said the first time is durable, it may be said again.
                self.stats.repeated += 1;
                return self.once_durable(Effect::Accept { conn, token, id: MsgId(id) });
            }
            Verdict::Unsure => Err(No::Unsure),
            Verdict::New => self.judge(&from, &submission, handing.light),
        };
        let no = match judged {
            Ok(terms) => return self.take_on(from, submission, &handing, terms),
            Err(no) => no,
        };
        if matches!(no, No::Room | No::Share) {
            self.crowded();
        }
        match no {
            No::Rate | No::Share => self.stats.refused_rate += 1,
            No::Room | No::Unsure => self.stats.refused_room += 1,
            _ => self.stats.refused_other += 1,
        }
        let told = self.front(conn).is_none_or(|(front, _)| front.refuses());
        if told || handing.handle.is_none() {
            return self.refuse(conn, token, no);
        }
        if !self.answer_refusal(from, &submission, &handing, no) {
            tracing::info!(conn, "no room for the answers of a client that can't be refused");
            self.end_session(conn);
        }
    }

    /// Whether a message was handed in before: in this session, or under the client's own name for it.
    fn known(&self, client: usize, mailbox: BoxId, handing: &Handing) -> Verdict {
        let kept = self.mailboxes.get(mailbox).and_then(|m| m.kept.as_ref());
        if let (Some(kept), Some(handle)) = (kept, handing.handle) {
            match kept.recent.find(handle) {
                Verdict::New => {}
                other => return other,
            }
        }
        match (&handing.name, &self.seen) {
            (Some(name), Some(seen)) => seen.find(self.wall(), self.name(client, name)),
            _ => Verdict::New,
        }
    }

    fn name(&self, client: usize, name: &str) -> Name {
        let own = self.cfg.clients.get(client).map_or("", |c| c.system_id.as_str());
        Name::new(own, name)
    }

    /// What a message leaves behind so that it is known again.
    fn remember(&mut self, from: &From, handing: &Handing, id: MsgId) -> Option<Named> {
        if let Some(handle) = handing.handle
            && let Some(kept) = self.mailboxes.get_mut(from.mailbox).and_then(|m| m.kept.as_mut())
        {
            kept.recent.add(handle, id.0);
        }
        let (wall, span) = (self.wall(), self.cfg.mqtt.as_ref().map_or(0, |m| m.remember));
        let name = handing.name.as_ref().map(|n| self.name(from.client, n))?;
        let seen = self.seen.as_mut()?;
        seen.add(wall, name, id.0, wall + span);
        Some(Named { high: name.high, low: name.low, id: id.0, until: wall + span })
    }

    /// A refusal in a protocol that has no word for it: the message is acknowledged, and answered at once. It takes
    /// room as any answer does; false where there is none.
    fn answer_refusal(&mut self, from: From, submission: &Submission, handing: &Handing, no: No) -> bool {
        let c = &self.clients[from.client];
        let full = c.open + c.owed >= self.cfg.service.owed_room;
        if full || self.leaving || self.ledger.refuses(self.now, self.messages.len(), submission.body.len()) {
            return false;
        }
        let retry_after = self.cfg.settings.max_retry_after;
        let answer = match no {
            No::Rate | No::Share | No::Room => Answer::Rejected { retry_after },
            No::Unsure => Answer::Unknown { retry_after: None },
            No::Time => Answer::Expired,
            _ => Answer::Undeliverable,
        };
        let id = self.new_id();
        // Its place in the session is kept, so that it isn't refused twice; its name is free to be tried again.
        let unnamed = Handing { name: None, ..handing.clone() };
        self.remember(&from, &unnamed, id);
        let submission = Submission { body: Vec::new(), key: None, ..submission.clone() };
        let (taken, class) = (self.wall(), submission.service.clone());
        self.write_accepted(
            &from,
            &submission,
            handing,
            Accepted { id: id.0, class, deadline: taken, refused: true, ..Accepted::default() },
        );
        let mut message = self.message(&from, 0, submission, handing, self.now);
        // It was never held, and leaves no trail.
        message.trail = None;
        self.hold(id, message);
        if let Some(conn) = from.conn {
            self.once_durable(Effect::Accept { conn, token: from.token, id });
        }
        self.answer_with(id, answer);
        true
    }

    pub(crate) fn new_id(&mut self) -> MsgId {
        let id = MsgId(self.next_id);
        self.next_id += 1 << ID_SENDER_BITS;
        id
    }

    /// Writes the acceptance; `rest` has what is not the submission's own.
    pub(crate) fn write_accepted(
        &mut self,
        from: &From,
        submission: &Submission,
        handing: &Handing,
        rest: Accepted,
    ) {
        let (taken, cfg) = (self.wall(), &self.cfg);
        let client = cfg.clients.get(from.client).map_or("", |c| c.system_id.as_str());
        let mailbox = self.mailboxes.get(from.mailbox).map_or("", |m| m.name.as_str());
        self.ledger.write(|| {
            let rest = Accepted {
                taken,
                forward: submission.forward,
                again: submission.again,
                packet: handing.handle.map_or(0, |h| u32::from(h.packet)),
                digest: handing.handle.map_or(0, |h| h.digest),
                ..rest
            };
            What::Accepted(written(client, mailbox, submission, &handing.reply, rest))
        });
    }

    pub(crate) fn message(
        &self,
        from: &From,
        class: usize,
        submission: Submission,
        handing: &Handing,
        deadline: Micros,
    ) -> Message {
        let reply = submission.forward.then_some(from.conn.map(|c| (c, from.token))).flatten();
        let speaks = from.conn.and_then(|c| self.speaks(c)).unwrap_or(Speaks::Mqtt);
        Message {
            client: from.client,
            mailbox: from.mailbox,
            conn: from.conn.unwrap_or(0),
            speaks,
            class,
            submission,
            to: handing.reply.clone(),
            taken: self.wall(),
            deadline,
            reply,
            attempts: 0,
            out: None,
            ran_at: None,
            trail: self.held.is_some().then(|| Box::new(Trail::new(self.wall(), 0))),
        }
    }

    /// A message is held from now on: it counts wherever room is shared.
    pub(crate) fn hold(&mut self, id: MsgId, message: Message) {
        self.clients[message.client].open += 1;
        self.open_of[message.speaks as usize] += 1;
        if let Some(m) = self.mailboxes.get_mut(message.mailbox) {
            m.open += 1;
        }
        if let Some(Use::Client { open, .. }) = self.conns.get_mut(&message.conn).map(|c| &mut c.what) {
            *open += 1;
        }
        self.messages.insert(id, message);
    }

    /// It is held no more.
    pub(crate) fn let_go(&mut self, message: &Message) {
        self.clients[message.client].open -= 1;
        self.open_of[message.speaks as usize] -= 1;
        if let Some(m) = self.mailboxes.get_mut(message.mailbox) {
            m.open -= 1;
        }
        if let Some(Use::Client { open, .. }) = self.conns.get_mut(&message.conn).map(|c| &mut c.what) {
            *open -= 1;
        }
    }

    /// Whether a message is taken on, and on which terms. Nothing is counted before everything is known to be right.
    pub(crate) fn judge(&mut self, from: &From, submission: &Submission, light: bool) -> Result<Terms, No> {
        let named = self.class_names.get(&submission.service).copied();
        let class = named.or(submission.service.is_empty().then_some(0)).ok_or(No::Class)?;
        let dest = self.routes.find(&submission.destination).ok_or(No::Address)?;
        let deadline = self.cfg.settings.classes[class].deadline;
        let span = submission.validity.map_or(deadline, |v| v.min(deadline));
        if span <= 0 {
            return Err(No::Time);
        }
        if self.ledger.refuses(self.now, self.messages.len(), submission.body.len()) {
            return Err(No::Room);
        }
        self.admit(from, class, light)?;
        Ok(Terms { class, dest, span })
    }

    /// Takes a message on.
    pub(crate) fn take_on(
        &mut self,
        from: From,
        mut submission: Submission,
        handing: &Handing,
        terms: Terms,
    ) {
        let Terms { class, dest, span } = terms;
        let id = self.new_id();
        let ordered = self.cfg.settings.classes[class].ordered;
        submission.key = submission.key.filter(|_| ordered);
        let key = submission.key.as_ref().map(|k| key_of(from.client, k));
        self.stats.accepted += 1;
        self.events.push(Event::Message {
            id,
            class,
            tenant: from.client,
            key,
            dest,
            time_left: span,
            again: submission.again,
        });
        let named = self.remember(&from, handing, id);
        self.write_accepted(
            &from,
            &submission,
            handing,
            Accepted {
                id: id.0,
                class: self.cfg.class_names[class].clone(),
                dest: dest.0,
                deadline: self.wall() + span,
                named,
                ..Accepted::default()
            },
        );
        let message = self.message(&from, class, submission, handing, self.now + span);
        let waits = message.reply.is_some();
        self.hold(id, message);
        self.trail_by(id);
        if let Some(conn) = from.conn.filter(|_| !waits) {
            self.once_durable(Effect::Accept { conn, token: from.token, id });
        }
    }

    /// Whether there is room for one more of this client, front and session.
    pub(crate) fn admit(&mut self, from: &From, class: usize, light: bool) -> Result<(), No> {
        let mut held = self.held(from.client, class);
        if light {
            // What may be lost by its own protocol goes first.
            held.worth *= LIGHT;
        }
        let conn = from.conn.and_then(|c| self.conns.get_mut(&c)).map(|c| &mut c.what);
        let mut own = false;
        let (front, session) = match conn {
            Some(Use::Client { speaks, open, shedding, .. }) => (Some(*speaks), Some((*open, shedding))),
            _ => (None, None),
        };
        if let Some(speaks) = front {
            held.front = Some((speaks as usize, self.open_of[speaks as usize]));
        }
        let (of_session, shedding) = session.unwrap_or((0, &mut own));
        held.of_session = of_session;
        held.sessions = self.clients[from.client].conns;
        let result = self.limits.admit(self.now, from.client, held, shedding);
        result.map_err(|refusal| match refusal {
            Refusal::Rate => No::Rate,
            Refusal::Share => No::Share,
            Refusal::Room | Refusal::Leaving => No::Room,
        })
    }

    /// The acceptance is told. A session that is gone by now will hear of its message by the receipt alone.
    pub(crate) fn tell_accepted(&mut self, conn: ConnId, token: u32, id: MsgId) {
        if let Some((front, out)) = self.front(conn) {
            front.accepted(token, &show_id(id), out);
        } else if self.messages.get(&id).is_some_and(|m| m.speaks == Speaks::Resp) {
            self.abandon(id);
        }
        self.front_wake(conn);
    }

    /// The response that is the final answer, in forward mode. False where its session is gone.
    pub(crate) fn respond(&mut self, conn: ConnId, token: u32, id: MsgId, answer: Answer) -> bool {
        let Some((front, out)) = self.front(conn) else { return false };
        let told = front.answered(token, &show_id(id), answer, out);
        self.front_wake(conn);
        told
    }

    fn query(&mut self, conn: ConnId, token: u32, text: &str, source: &str) {
        let Some((client, _)) = self.place_of(conn) else { return self.refuse(conn, token, No::NotEntered) };
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
        let Some((client, _)) = self.place_of(conn) else { return self.refuse(conn, token, No::NotEntered) };
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
        let gone = self.messages.get(&id).is_some_and(|m| m.out.is_some() || m.ran_at.is_some());
        if gone {
            return self.refuse(conn, token, No::TooLate);
        }
        self.events.push(Event::Left { id });
        if let Some((front, out)) = self.front(conn) {
            front.withdrawn(token, out);
        }
        self.answer(id, End::Withdrawn);
    }

    /// Hands out what is owed to a mailbox, as far as the sessions there have room.
    pub(crate) fn pump(&mut self, mailbox: BoxId) {
        let (mut full, now) = (0, self.now);
        loop {
            let Some(m) = self.mailboxes.get_mut(mailbox) else { return };
            let Some(conn) = m.outbox.turn(now) else { break };
            let Some(c) = self.conns.get_mut(&conn) else { break };
            let Use::Client { front, .. } = &mut c.what else { break };
            if front.room() == 0 {
                full += 1;
                if full >= m.outbox.sessions() {
                    break;
                }
                continue;
            }
            full = 0;
            let Some(owed) = m.outbox.take() else { break };
            match front.deliver(now, &owed, &mut c.stream.out) {
                Delivery::Out(token) => m.outbox.went(conn, token, owed),
                Delivery::Unwanted => m.outbox.set_aside(owed),
                Delivery::Done => {
                    self.stats.receipts += 1;
                    self.heard_of(mailbox, &owed.receipt.id);
                }
            }
            self.front_wake(conn);
        }
        if let Some(at) = self.mailboxes.get(mailbox).and_then(|m| m.outbox.wake()) {
            self.timers.set(Key::Outbox(mailbox), at.max(self.now + 1));
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
            self.with_front(conn, |f, out, asks| f.leave(now, out, asks));
        }
        // Those that never bound are owed nothing.
        let other: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| matches!(&c.what, Use::Client { place: None, .. }))
            .map(|(id, _)| *id)
            .collect();
        for conn in other {
            self.client_gone(conn);
            self.drop_conn(conn);
        }
    }
}

/// A message as the journal has it; `rest` has what is not the submission's own.
pub(crate) fn written(
    client: &str,
    mailbox: &str,
    s: &Submission,
    reply: &Reply,
    rest: Accepted,
) -> Accepted {
    Accepted {
        client: client.to_string(),
        source: s.source.clone(),
        destination: s.destination.clone(),
        key: s.key.clone().unwrap_or_default(),
        body: s.body.clone(),
        wanted: s.wanted.code(),
        coding: u32::from(s.coding),
        esm: u32::from(s.esm),
        mailbox: mailbox.to_string(),
        reply: reply.topic.clone(),
        correlation: reply.correlation.clone(),
        ..rest
    }
}

/// Compares without stopping at the first difference.
pub(crate) fn same(a: &str, b: &str) -> bool {
    let (a, b) = (a.as_bytes(), b.as_bytes());
    a.len() == b.len() && a.iter().zip(b).fold(0, |d, (x, y)| d | (x ^ y)) == 0
}
