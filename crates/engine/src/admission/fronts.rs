//! Client connections and the requests that their fronts raise.

use crate::Micros;
use crate::front::{ClientRequest, Front, MqttFront, RejectReason, RespFront, SmppFront, Speaks};
use crate::ids::ConnId;
use crate::mailboxes::MailboxId;
use crate::memory::MemoryUse;
use crate::node::{ConnRole, Node, TimerKey};

/// The pause after a client refused a receipt, before it is sent again.
const RECEIPT_PAUSE: Micros = 1_000_000;

impl Node {
    /// Adds a connection that a client opened, with the bytes it has sent so far. Returns the number of the
    /// connection, or `None` if there is no room for another one.
    pub fn accepted(&mut self, now: Micros, speaks: Speaks, bytes: &[u8]) -> Option<ConnId> {
        self.now = now.max(self.now);
        let limit = match speaks {
            Speaks::Smpp => self.cfg.smpp.sessions,
            Speaks::Mqtt => self.cfg.mqtt.as_ref().map_or(0, |m| m.sessions),
            Speaks::Resp => self.cfg.platform.map_or(0, |p| p.sessions),
        };
        if self.frozen {
            return None;
        }
        if speaks == Speaks::Resp {
            if self.sessions[speaks as usize] >= limit && !self.close_idlest_client() {
                return None;
            }
        } else if self.leaving || self.sessions[speaks as usize] >= limit {
            return None;
        }
        let front: Box<dyn Front> = match (speaks, self.mqtt_limits) {
            (Speaks::Resp, _) => Box::new(RespFront::new(self.now)),
            (Speaks::Mqtt, Some(limits)) => {
                Box::new(MqttFront::new(self.now, limits).fleet(self.rule_tables.is_some()))
            }
            _ => Box::new(SmppFront::new(self.now, self.smpp_limits)),
        };
        self.sessions[speaks as usize] += 1;
        let conn = self.add_conn(ConnRole::Client { front, speaks, owner: None, open: 0, shedding: false });
        self.client_received(conn, bytes);
        Some(conn)
    }

    /// Returns how many closing connections of platform clients may linger, each holding one descriptor.
    /// Together with the open ones they take no more than the clients' session limit and a sixteenth. Without
    /// a platform there is no bound.
    pub fn max_lingering_conns(&self) -> usize {
        let open = self.sessions[Speaks::Resp as usize];
        self.cfg.platform.map_or(usize::MAX, |p| (p.sessions + p.sessions / 16).saturating_sub(open))
    }

    /// Runs an operation of a connection's front, then handles the requests that it raised.
    pub(crate) fn with_front(
        &mut self,
        conn: ConnId,
        operation: impl FnOnce(&mut dyn Front, &mut bytes::BytesMut, &mut Vec<ClientRequest>),
    ) {
        let Some((front, out)) = self.front(conn) else { return };
        let mut requests = Vec::new();
        operation(front, out, &mut requests);
        let mut admission_requested = false;
        for request in requests {
            admission_requested |= matches!(request, ClientRequest::Admit { .. });
            self.handle_request(conn, request);
        }
        self.schedule_front(conn);
        if admission_requested {
            // Bytes received after the request to be admitted waited for its answer.
            self.client_received(conn, &[]);
        }
    }

    /// Sets the timer of a connection's front, and requests that its pending bytes be written.
    pub(crate) fn schedule_front(&mut self, conn: ConnId) {
        if let Some((front, _)) = self.front(conn) {
            let wake = front.wake();
            self.timers.set(TimerKey::Conn(conn), wake);
        }
        self.count_memory(conn);
        self.flush(conn);
    }

    /// Handles bytes received from a client.
    pub(crate) fn client_received(&mut self, conn: ConnId, bytes: &[u8]) {
        let (now, wall) = (self.now, self.wall());
        let room = self.memory.room(MemoryUse::Clients);
        self.with_front(conn, |f, out, requests| {
            f.set_input_room(room);
            f.receive(now, wall, bytes, out, requests);
        });
    }

    /// Handles the timer of a client connection.
    pub(crate) fn client_tick(&mut self, conn: ConnId) {
        let now = self.now;
        let room = self.memory.room(MemoryUse::Clients);
        self.with_front(conn, |f, out, requests| {
            f.set_input_room(room);
            f.tick(now, out, requests);
        });
    }

    /// Returns the front of a connection and its output buffer.
    pub(crate) fn front(&mut self, conn: ConnId) -> Option<(&mut dyn Front, &mut bytes::BytesMut)> {
        let c = self.conns.get_mut(&conn)?;
        match &mut c.role {
            ConnRole::Client { front, .. } => Some((front.as_mut(), &mut c.stream.out)),
            _ => None,
        }
    }

    /// Refuses a request.
    pub(crate) fn refuse(&mut self, conn: ConnId, token: u32, reason: RejectReason) {
        if let Some((front, out)) = self.front(conn) {
            front.refused(token, reason, out);
        }
    }

    /// Handles a request of a client.
    fn handle_request(&mut self, conn: ConnId, request: ClientRequest) {
        match request {
            ClientRequest::Admit { name, password, token, session } => {
                self.admit_client(conn, &name, &password, token, session)
            }
            ClientRequest::Submit { token, submission, context } => {
                self.submit(conn, token, *submission, *context)
            }
            ClientRequest::SubmitForTenant { token, add } => self.submit_from_platform(conn, token, *add),
            ClientRequest::Query { token, id, source } => self.query(conn, token, &id, &source),
            ClientRequest::Withdraw { token, id, source } => self.withdraw(conn, token, &id, &source),
            ClientRequest::Heard { token, taken } => {
                let Some((_, mailbox)) = self.owner_of(conn) else { return };
                let now = self.now;
                let Some(m) = self.mailboxes.get_mut(mailbox) else { return };
                let owed = m.outbox.acknowledge(now, conn, token, taken, RECEIPT_PAUSE);
                if let Some(owed) = owed {
                    self.stats.receipts += 1;
                    self.receipt_acknowledged(mailbox, &owed.receipt.id);
                }
                self.deliver_owed(mailbox);
            }
            ClientRequest::Rules { token, words, body } => self.forward_ask(conn, token, words, body),
            ClientRequest::Held { token, words } => self.handle_held_command(conn, token, &words),
            ClientRequest::SaveNotes { notes, reply } => self.notes_changed(conn, notes, reply),
            ClientRequest::Over(why) => {
                if let Some(why) = why {
                    tracing::info!(conn, why, "a client's session ended with an error");
                }
                self.end_session(conn);
            }
        }
    }

    /// Returns the client that a connection belongs to, and the mailbox for its answers.
    pub(crate) fn owner_of(&self, conn: ConnId) -> Option<(usize, MailboxId)> {
        match self.conns.get(&conn).map(|c| &c.role) {
            Some(ConnRole::Client { owner, .. }) => *owner,
            _ => None,
        }
    }
}
