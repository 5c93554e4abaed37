//! The clients' side: sessions, submissions, receipts, questions.

use crate::Micros;
use crate::answers::{self, End};
use crate::limits::Refusal;
use crate::node::{ConnId, Effect, ID_SENDER_BITS, Key, Message, Node, Use, read_id, show_id};
use heronroute::{Event, MsgId};
use heronroute_journal::entry::{Accepted, What};
use heronroute_smpp::receipt::Answer;
use heronroute_smpp::server::{self, Session};
use heronroute_smpp::submission::Submission;
use heronroute_smpp::tags;
use rusmpp_core::CommandStatus;
use rusmpp_core::tlvs::owned::MessageSubmissionResponseTlvValue as Tlv;
use rusmpp_core::types::owned::{AnyOctetString, COctetString};
use rusmpp_core::values::MessageState;

/// After a receipt that a client could not take.
const RECEIPT_PAUSE: Micros = 1_000_000;
/// The name that the service gives itself in bind responses.
const OWN_NAME: &str = "heronroute";

impl Node {
    /// A client has connected, and sent these octets already. Gives the number for its connection, or nothing
    /// where there is no room for a further session.
    pub fn accepted(&mut self, now: Micros, octets: &[u8]) -> Option<ConnId> {
        self.now = now.max(self.now);
        if self.leaving || self.sessions >= self.cfg.smpp.sessions {
            return None;
        }
        let session = Box::new(Session::new(self.now, self.session_limits));
        self.sessions += 1;
        let conn = self.add_conn(Use::Client { session, client: None });
        self.client_received(conn, octets);
        Some(conn)
    }

    /// Runs a session's own work, then handles what it hands on.
    fn with_session(
        &mut self,
        conn: ConnId,
        work: impl FnOnce(&mut Session, &mut bytes::BytesMut, &mut Vec<server::Event>),
    ) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let Use::Client { session, .. } = &mut c.what else { return };
        let mut events = Vec::new();
        work(session, &mut c.stream.out, &mut events);
        for event in events {
            self.session_event(conn, event);
        }
        self.session_wake(conn);
    }

    fn session_wake(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get(&conn) else { return };
        if let Use::Client { session, .. } = &c.what {
            let wake = session.wake();
            self.timers.set(Key::Conn(conn), wake);
        }
        self.flush(conn);
    }

    pub(crate) fn client_received(&mut self, conn: ConnId, octets: &[u8]) {
        let (now, wall) = (self.now, self.wall());
        self.with_session(conn, |s, out, events| s.receive(now, wall, octets, out, events));
    }

    pub(crate) fn client_tick(&mut self, conn: ConnId) {
        let now = self.now;
        self.with_session(conn, |s, out, events| s.tick(now, out, events));
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

    fn session(&mut self, conn: ConnId) -> Option<(&mut Session, &mut bytes::BytesMut)> {
        let c = self.conns.get_mut(&conn)?;
        match &mut c.what {
            Use::Client { session, .. } => Some((session, &mut c.stream.out)),
            _ => None,
        }
    }

    fn refuse(&mut self, conn: ConnId, sequence: u32, status: CommandStatus) {
        if let Some((session, out)) = self.session(conn) {
            session.error(sequence, status, out);
        }
    }

    fn session_event(&mut self, conn: ConnId, event: server::Event) {
        match event {
            server::Event::Bind { system_id, password, sequence, .. } => {
                self.bind(conn, &system_id, &password, sequence);
            }
            server::Event::Submit { sequence, submission, .. } => self.submit(conn, sequence, *submission),
            server::Event::Query { sequence, id, source } => self.query(conn, sequence, &id, &source),
            server::Event::Cancel { sequence, id, source, .. } => self.cancel(conn, sequence, &id, &source),
            server::Event::Acknowledged { sequence, taken } => {
                let Some(client) = self.client_of(conn) else { return };
                let now = self.now;
                let receipt = self.clients[client].outbox.answered(now, conn, sequence, taken, RECEIPT_PAUSE);
                if let Some(id) = receipt.and_then(|r| read_id(&r.id)) {
                    self.stats.receipts += 1;
                    self.taken(id);
                }
                self.pump(client);
            }
            server::Event::Unbound => self.end_session(conn),
            server::Event::Ended(why) => {
                tracing::info!(conn, why, "a client's session ended");
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

    fn bind(&mut self, conn: ConnId, system_id: &str, password: &str, sequence: u32) {
        let known = self.client_names.get(system_id).copied();
        let config = known.and_then(|k| self.cfg.clients.get(k));
        let right = config.is_some_and(|c| same(&c.password, password));
        let leaving = self.leaving;
        let now = self.now;
        let Some((session, out)) = self.session(conn) else { return };
        let status = if leaving {
            CommandStatus::EsmeRbindfail
        } else if known.is_none() {
            CommandStatus::EsmeRinvsysid
        } else if !right {
            CommandStatus::EsmeRinvpaswd
        } else {
            session.accept(now, sequence, OWN_NAME, out);
            CommandStatus::EsmeRok
        };
        if status != CommandStatus::EsmeRok {
            session.refuse(sequence, status, out);
            return;
        }
        let receives = session.mode().is_some_and(server::Mode::receives);
        if let Some(Use::Client { client, .. }) = self.conns.get_mut(&conn).map(|c| &mut c.what) {
            *client = known;
        }
        if let Some(client) = known.filter(|_| receives) {
            self.clients[client].outbox.join(conn);
            self.pump(client);
        }
    }

    fn submit(&mut self, conn: ConnId, sequence: u32, submission: Submission) {
        let Some(client) = self.client_of(conn) else {
            return self.refuse(conn, sequence, CommandStatus::EsmeRinvbndsts);
        };
        match self.accept(conn, client, sequence, submission) {
            Ok(()) => {}
            Err(status) => self.refuse(conn, sequence, status),
        }
    }

    /// Takes a message on, or says why not. Nothing is counted before everything is known to be right.
    fn accept(
        &mut self,
        conn: ConnId,
        client: usize,
        sequence: u32,
        mut submission: Submission,
    ) -> Result<(), CommandStatus> {
        let named = self.class_names.get(&submission.service).copied();
        let class = named.or(submission.service.is_empty().then_some(0));
        let class =
            class.ok_or(CommandStatus::EsmeRinvsertyp).inspect_err(|_| self.stats.refused_other += 1)?;
        let Some(dest) = self.routes.find(&submission.destination) else {
            self.stats.refused_other += 1;
            return Err(CommandStatus::EsmeRinvdstadr);
        };
        let settings = &self.cfg.settings.classes[class];
        let span = submission.validity.map_or(settings.deadline, |v| v.min(settings.deadline));
        if span <= 0 {
            self.stats.refused_other += 1;
            return Err(CommandStatus::EsmeRinvexpiry);
        }
        if self.ledger.refuses(self.now, self.messages.len()) {
            self.stats.refused_room += 1;
            return Err(CommandStatus::EsmeRmsgqful);
        }
        if let Err(refusal) = self.limits.admit(self.now, client, self.held(client)) {
            match refusal {
                Refusal::Rate => self.stats.refused_rate += 1,
                Refusal::Room | Refusal::Leaving => self.stats.refused_room += 1,
            }
            return Err(match refusal {
                Refusal::Rate => CommandStatus::EsmeRthrottled,
                Refusal::Room | Refusal::Leaving => CommandStatus::EsmeRmsgqful,
            });
        }
        let id = MsgId(self.next_id);
        self.next_id += 1 << ID_SENDER_BITS;
        // One key space for each client: two clients that use the same word do not wait for each other.
        let key = submission.key.clone().filter(|_| settings.ordered).map(|k| format!("{client}/{k}"));
        if !settings.ordered {
            submission.key = None;
        }
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
        let reply = submission.forward.then_some((conn, sequence));
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
            self.once_durable(Effect::Accept { conn, sequence, id });
        }
        Ok(())
    }

    /// The acceptance is told. A session that is gone by now will hear of its message by the receipt alone.
    pub(crate) fn tell_accepted(&mut self, conn: ConnId, sequence: u32, id: MsgId) {
        if let Some((session, out)) = self.session(conn) {
            session.submitted(sequence, &show_id(id), CommandStatus::EsmeRok, Vec::new(), out);
        }
        self.flush(conn);
    }

    /// The response that is the final answer, in forward mode. False where its session is gone.
    pub(crate) fn respond(&mut self, conn: ConnId, sequence: u32, id: MsgId, answer: Answer) -> bool {
        let Some((session, out)) = self.session(conn) else { return false };
        if session.mode().is_none() {
            return false;
        }
        let mut tlvs = Vec::new();
        if answer != Answer::Delivered {
            let word = COctetString::from_string(answer.word().to_string()).unwrap_or_default();
            tlvs.push(Tlv::AdditionalStatusInfoText(word));
        }
        if let Some(wait) = answer.retry_after() {
            let ms = u32::try_from(wait.max(0) / 1_000).unwrap_or(u32::MAX);
            let value = AnyOctetString::from_vec(ms.to_be_bytes().to_vec());
            tlvs.push(Tlv::Other { tag: tags::tag(tags::RETRY_AFTER), value });
        }
        session.submitted(sequence, &show_id(id), answers::status(answer), tlvs, out);
        self.flush(conn);
        true
    }

    fn query(&mut self, conn: ConnId, sequence: u32, text: &str, source: &str) {
        let Some(client) = self.client_of(conn) else { return };
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
        let Some((session, out)) = self.session(conn) else { return };
        match known {
            Some((state, done)) => session.queried(sequence, text, state, done, out),
            // The same for what does not exist and what belongs to another client.
            None => session.error(sequence, CommandStatus::EsmeRinvmsgid, out),
        }
    }

    /// Withdraws a message that has surely not run and is not on its way.
    fn cancel(&mut self, conn: ConnId, sequence: u32, text: &str, source: &str) {
        let Some(client) = self.client_of(conn) else { return };
        let id = read_id(text);
        let found = id.and_then(|id| self.messages.get(&id));
        let mine =
            found.filter(|m| m.client == client && (source.is_empty() || m.submission.source == source));
        let (Some(id), Some(m)) = (id, mine) else {
            return self.refuse(conn, sequence, CommandStatus::EsmeRinvmsgid);
        };
        let out = m.out;
        if let Some((call, part)) = out {
            self.take_back(call, part);
        }
        let gone = self.messages.get(&id).is_some_and(|m| m.out.is_some() || m.may_run);
        if gone {
            return self.refuse(conn, sequence, CommandStatus::EsmeRcancelfail);
        }
        self.events.push(Event::Left { id });
        if let Some((session, out)) = self.session(conn) {
            session.cancelled(sequence, out);
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
            let Use::Client { session, .. } = &mut c.what else { break };
            if session.room() == 0 {
                full += 1;
                if full >= sessions {
                    break;
                }
                continue;
            }
            full = 0;
            let Some(receipt) = self.clients[client].outbox.take() else { break };
            let sequence = session.deliver(now, &receipt, &mut c.stream.out);
            self.clients[client].outbox.went(conn, sequence, receipt);
            self.session_wake(conn);
        }
        if let Some(at) = self.clients[client].outbox.wake() {
            self.timers.set(Key::Outbox(client), at.max(self.now + 1));
        }
    }

    pub(crate) fn unbind_all(&mut self) {
        let bound: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| matches!(&c.what, Use::Client { session, .. } if session.mode().is_some()))
            .map(|(id, _)| *id)
            .collect();
        for conn in bound {
            let now = self.now;
            self.with_session(conn, |s, out, _| s.unbind(now, out));
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
