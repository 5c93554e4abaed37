//! A turn: timers, rounds of the decision library, and what waits for the journal.

use super::Node;
use super::api::Output;
use super::state::{Effect, Key, Use};
use crate::Micros;
use crate::directory::Want;
use heronroute::{EndpointId, Event};
use heronroute_journal::Usage;

impl Node {
    /// Acts on all that happened and fell due. To be called after a turn of inputs, and at [`Node::wake`].
    pub fn settle(&mut self, now: Micros) {
        self.now = now.max(self.now);
        self.lapse_if_due();
        // Each round may bring outcomes at once (calls that could not be made) and timers that are due; they are
        // heard in the next.
        for _ in 0..64 {
            while let Some(key) = self.timers.due(self.now) {
                self.fell_due(key);
            }
            if self.events.is_empty() || self.frozen {
                break;
            }
            let next = self.last_round + self.cfg.settings.quantum;
            if next > self.now {
                self.timers.set(Key::Round, next);
                break;
            }
            self.round();
        }
        if self.leaving {
            self.go_on_leaving();
        }
        let entries = self.ledger.take_entries(self.now);
        if !entries.is_empty() {
            self.outputs.push(Output::Journal(entries));
        }
    }

    /// So many entries since the start are durable. What rested on them is done.
    pub fn durable(&mut self, now: Micros, count: u64, usage: Usage) {
        self.now = now.max(self.now);
        (self.stats.entries, self.stats.syncs) = (usage.entries, usage.commits);
        for effect in self.ledger.durable(count, usage) {
            self.perform(effect);
        }
    }

    /// Does what rests on all that was written so far: now, or once that is durable.
    pub(crate) fn once_durable(&mut self, effect: Effect) {
        if let Some(effect) = self.ledger.hold(effect) {
            self.perform(effect);
        }
    }

    pub(crate) fn perform(&mut self, effect: Effect) {
        let Some(effect) = self.defer_if_suspended(effect) else { return };
        match effect {
            Effect::Accept { conn, token, id } => self.tell_accepted(conn, token, id),
            Effect::Noted { conn, told } => self.tell_noted(conn, &told),
            Effect::Place { call, endpoint } => self.start_call(call, endpoint),
            Effect::Tell { id, message, answer, done } => self.tell(id, *message, answer, done),
            Effect::Apply(apply) => self.rules_durable(&apply),
            Effect::Inherited { origin } => self.takeover_durable(origin),
            Effect::Again { mailbox, id, to } => self.repeat_answer(mailbox, id, *to),
        }
    }

    fn round(&mut self) {
        self.last_round = self.now;
        self.stats.rounds += 1;
        let events = std::mem::take(&mut self.events);
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        self.dispatcher.round(self.now, &events, &mut actions);
        self.accept_fresh(&actions);
        self.carry_out(&actions);
        self.note_known(events.iter().filter_map(|e| match e {
            Event::Outcome { endpoint, .. } => Some(*endpoint),
            _ => None,
        }));
        self.actions = actions;
        self.forget_gone();
    }

    fn fell_due(&mut self, key: Key) {
        match key {
            Key::Module => self.events.push(Event::Timer { token: 0 }),
            Key::Round => {}
            Key::Conn(conn) => match self.conns.get(&conn).map(|c| &c.what) {
                Some(Use::Client { .. }) => self.client_tick(conn),
                Some(Use::Receiver { .. }) => self.link_tick(conn),
                _ => {}
            },
            Key::Connect(conn) => self.link_gone_and_dropped(conn),
            Key::Idle(conn) => self.link_idle(conn),
            Key::Confirm(conn) => self.confirm_due(conn),
            Key::Part(call, part) => self.part_timed_out(call, part),
            Key::Probe(endpoint) => self.probe_timed_out(EndpointId(endpoint)),
            Key::Outbox(mailbox) => self.pump(mailbox),
            Key::Release(client) => self.release_on(client),
            Key::Mailbox(mailbox) => self.mailbox_due(mailbox),
            Key::RuleTables => self.expire_by_rules(),
            Key::Directory => {
                let mut heard = Vec::new();
                let want = self.directory.tick(self.now, &mut heard);
                match want {
                    Want::Nothing => {}
                    Want::Drop => {
                        if let Some(conn) = self.directory_conn.take() {
                            self.drop_conn(conn);
                        }
                    }
                    Want::Connect(address) => {
                        let conn = self.add_conn(Use::Directory);
                        self.directory_conn = Some(conn);
                        self.outputs.push(Output::Connect { conn, address });
                    }
                }
                self.heard(heard);
            }
            Key::Notices => self.notices_due(),
            Key::Leave if self.cfg.platform.is_some() => self.freeze(),
            Key::Leave => self.abandon_all(),
        }
    }
}
