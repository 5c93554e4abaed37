//! Fronts of connections, and what they ask for.

use crate::Micros;
use crate::front::{Ask, Front, MqttFront, No, RespFront, SmppFront, Speaks};
use crate::ids::ConnId;
use crate::mailboxes::BoxId;
use crate::node::{Key, Node, Use};

/// After a receipt that a client could not take.
const RECEIPT_PAUSE: Micros = 1_000_000;

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
        if self.frozen {
            return None;
        }
        if speaks == Speaks::Resp {
            if self.sessions[speaks as usize] >= most && !self.make_way() {
                return None;
            }
        } else if self.leaving || self.sessions[speaks as usize] >= most {
            return None;
        }
        let front: Box<dyn Front> = match (speaks, self.mqtt_limits) {
            (Speaks::Resp, _) => Box::new(RespFront::new(self.now)),
            (Speaks::Mqtt, Some(limits)) => {
                Box::new(MqttFront::new(self.now, limits).fleet(self.rule_tables.is_some()))
            }
            _ => Box::new(SmppFront::new(self.now, self.session_limits)),
        };
        self.sessions[speaks as usize] += 1;
        let conn = self.add_conn(Use::Client { front, speaks, place: None, open: 0, shedding: false });
        self.client_received(conn, octets);
        Some(conn)
    }

    /// Connections of the platform's clients that may linger while they are closed, each with one descriptor: together
    /// with those that are open no more than clients' part and a sixteenth. Without a bound elsewhere.
    pub fn room_to_linger(&self) -> usize {
        let open = self.sessions[Speaks::Resp as usize];
        self.cfg.platform.map_or(usize::MAX, |p| (p.sessions + p.sessions / 16).saturating_sub(open))
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

    pub(crate) fn refuse(&mut self, conn: ConnId, token: u32, no: No) {
        if let Some((front, out)) = self.front(conn) {
            front.refused(token, no, out);
        }
    }

    fn asked(&mut self, conn: ConnId, ask: Ask) {
        match ask {
            Ask::Enter { name, proof, token, session } => self.enter(conn, &name, &proof, token, session),
            Ask::Submit { token, submission, handing } => self.submit(conn, token, *submission, *handing),
            Ask::HandIn { token, add } => self.submit_from_platform(conn, token, *add),
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
            Ask::Rules { token, words, body } => self.forward_ask(conn, token, words, body),
            Ask::Held { token, words } => self.asked_of_held(conn, token, &words),
            Ask::Notes { notes, told } => self.noted(conn, notes, told),
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
}
