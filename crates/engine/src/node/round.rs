//! A turn of the event loop: timers, rounds of the decision library, and effects that wait for the journal.

use super::Node;
use super::api::Output;
use super::state::{ConnRole, Effect, TimerKey};
use crate::Micros;
use crate::directory::ConnectionAction;
use heronroute::{EndpointId, Event};
use heronroute_journal::Usage;

/// Nothing is decided or sent while input that arrived longer ago may be unhandled. Half of the time within which the
/// protocol lets calls through after a wait was told.
const MAX_INPUT_AGE: Micros = 50_000;

/// What an entry of the journal takes until it is written, in bytes. A body in it counts with its message.
const ENTRY_BYTES: usize = 256;

impl Node {
    /// Records that all input that arrived until a time has been passed to the node. Guards against a timer
    /// that gives a call up although its answer has arrived, as after a pause of the process or a slow write
    /// to the journal. Until the first call no timer waits for input.
    pub fn inputs_handled(&mut self, until: Micros) {
        self.inputs_until = until;
    }

    /// Returns whether input may be unhandled that arrived too long ago to decide or to send a call without it.
    pub fn needs_inputs(&self, now: Micros) -> bool {
        now.saturating_sub(self.inputs_until) > MAX_INPUT_AGE
    }

    /// Handles due timers and runs the rounds of the decision library. Must be called after a turn of inputs,
    /// and at [`Node::wake`].
    pub fn settle(&mut self, now: Micros) {
        self.now = now.max(self.now);
        self.lapse_if_due();
        self.closing_links.forget_closed();
        // Each round may produce outcomes at once (calls that could not be made) and due timers; the next
        // round handles them.
        for _ in 0..64 {
            while let Some(key) = self.timers.due(self.now.min(self.inputs_until)) {
                self.handle_timer(key);
            }
            if self.events.is_empty() || self.frozen {
                break;
            }
            let next = self.last_round + self.cfg.settings.quantum;
            if next > self.now || self.needs_inputs(self.now) {
                self.timers.set(TimerKey::Round, next);
                break;
            }
            self.round();
        }
        if self.leaving {
            self.continue_leaving();
        }
        self.journal_memory.set(self.ledger.unwritten_entries() as usize * ENTRY_BYTES);
        let entries = self.ledger.take_entries(self.now);
        if !entries.is_empty() {
            self.outputs.push(Output::Journal(entries));
        }
    }

    /// Reports that `count` entries since the start are durable, and performs the effects that waited for
    /// them.
    pub fn durable(&mut self, now: Micros, count: u64, usage: Usage) {
        self.now = now.max(self.now);
        (self.stats.entries, self.stats.syncs) = (usage.entries, usage.commits);
        for effect in self.ledger.durable(count, usage) {
            self.perform(effect);
        }
    }

    /// Performs an effect that depends on everything written so far: now, or once that is durable.
    pub(crate) fn once_durable(&mut self, effect: Effect) {
        if let Some(effect) = self.ledger.hold(effect) {
            self.perform(effect);
        }
    }

    /// Performs an effect, unless it is held back while messages are suspended.
    pub(crate) fn perform(&mut self, effect: Effect) {
        let Some(effect) = self.defer_if_suspended(effect) else { return };
        match effect {
            Effect::ReportAcceptance { conn, token, id } => self.report_acceptance(conn, token, id),
            Effect::AcknowledgeNotes { conn, reply } => self.acknowledge_notes(conn, &reply),
            Effect::Place { call, endpoint } => self.start_call(call, endpoint),
            Effect::ReportAnswer { id, message, answer, done } => {
                self.report_answer(id, *message, answer, done)
            }
            Effect::ReplyToCommand { conn, token, text, state } => {
                self.reply_to_command(conn, token, text, state)
            }
            Effect::Apply(apply) => self.rules_durable(&apply),
            Effect::Inherited { origin } => self.takeover_durable(origin),
            Effect::RepeatAnswer { mailbox, id, reply_to } => self.repeat_answer(mailbox, id, *reply_to),
        }
    }

    fn round(&mut self) {
        self.last_round = self.now;
        self.stats.rounds += 1;
        let events = std::mem::take(&mut self.events);
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        self.dispatcher.round(self.now, &events, &mut actions);
        self.accept_submitted(&actions);
        self.execute_actions(&actions);
        self.journal_destination_state(events.iter().filter_map(|e| match e {
            Event::Outcome { endpoint, .. } => Some(*endpoint),
            _ => None,
        }));
        self.actions = actions;
        self.remove_unlisted_endpoints();
    }

    fn handle_timer(&mut self, key: TimerKey) {
        match key {
            TimerKey::Dispatcher => self.events.push(Event::Timer { token: 0 }),
            TimerKey::Round => {}
            TimerKey::Conn(conn) => match self.conns.get(&conn).map(|c| &c.role) {
                Some(ConnRole::Client { .. }) => self.client_tick(conn),
                Some(ConnRole::Receiver { .. }) => self.link_tick(conn),
                _ => {}
            },
            TimerKey::Connect(conn) => self.drop_link(conn),
            TimerKey::Idle(conn) => self.close_if_idle(conn),
            TimerKey::Confirm(conn) => self.confirm_due(conn),
            TimerKey::Expiry(conn) => self.expire_connection(conn),
            TimerKey::Part(call, part) => self.part_timed_out(call, part),
            TimerKey::Probe(endpoint) => self.probe_timed_out(EndpointId(endpoint)),
            TimerKey::Outbox(mailbox) => self.deliver_owed(mailbox),
            TimerKey::Release(client) => self.continue_release(client),
            TimerKey::Mailbox(mailbox) => self.mailbox_due(mailbox),
            TimerKey::RuleTables => self.expire_by_rules(),
            TimerKey::Directory => {
                let mut events = Vec::new();
                let want = self.directory.tick(self.now, &mut events);
                match want {
                    ConnectionAction::Nothing => {}
                    ConnectionAction::Drop => {
                        if let Some(conn) = self.directory_conn.take() {
                            self.drop_conn(conn);
                        }
                    }
                    ConnectionAction::Connect(address) => {
                        let conn = self.add_conn(ConnRole::Directory);
                        self.directory_conn = Some(conn);
                        self.outputs.push(Output::Connect { conn, address });
                    }
                }
                self.handle_directory_events(events);
            }
            TimerKey::Notices => self.notices_due(),
            TimerKey::Leave if self.cfg.platform.is_some() => self.freeze(),
            TimerKey::Leave => self.abandon_all(),
        }
    }
}
