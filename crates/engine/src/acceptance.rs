//! Acceptance of messages that platform clients submit, and the replies to them.
//!
//! A message is accepted once the decision library has not refused it in its first round and its acceptance
//! is durable; then its client receives the reply. From then on the client is owed its end: a delivery, or a
//! notice. A message that the library refuses in its first round is refused to the client, with the library's
//! retry delay.

use crate::Micros;
use crate::admission::{RejectReason, message_bytes};
use crate::entry_codec::to_entry;
use crate::failover::Suspension;
use crate::front::Speaks;
use crate::identities::Owner;
use crate::ids::ConnId;
use crate::memory::MemoryUse;
use crate::node::{ConnRole, Effect, Message, Node};
use crate::outbox::ReplyAddress;
use crate::submitted::SubmittedMessage;
use heronroute::{Action, DestId, Effect as Repeats, Event, MsgId};
use heronroute_journal::entry::{Accepted, What};
use heronroute_platform::add::Add;
use heronroute_smpp::receipt::Answer;
use heronroute_smpp::submission::Submission;

impl Node {
    /// Handles a submitted message.
    pub(crate) fn submit_from_platform(&mut self, conn: ConnId, token: u32, add: Add) {
        let (class, tenant) = match self.resolve_names(&add) {
            Ok(known) => known,
            Err(reason) => {
                self.stats.refused_other += 1;
                tracing::debug!(now = self.now, id = add.id, ?reason, "refused a message");
                return self.send_refusal(conn, token, reason);
            }
        };
        // Refuses what can't be accepted in time instead of queueing it. The library bounds the messages that
        // it holds, so this happens only on a flood within one round, on a full disk, or while the sender
        // shuts down.
        let max_open = self.cfg.settings.max_open as usize;
        let round_full = self.submitted.len() >= max_open;
        let body_bytes = add.body.len();
        let submitted_bytes = self.submitted.body_bytes() + body_bytes;
        let has_memory = message_bytes(body_bytes) <= self.memory.room(MemoryUse::Messages);
        let has_journal_room = !self.ledger.refuses(self.now, self.messages.len(), submitted_bytes);
        if self.frozen || round_full || !has_memory || !has_journal_room {
            tracing::debug!(id = add.id, round_full, has_memory, has_journal_room, "refused a message");
            self.stats.refused_room += 1;
            self.stats.refused_memory += u64::from(!has_memory);
            let retry_after = self.cfg.settings.max_retry_after;
            self.respond(conn, token, MsgId(0), Answer::Rejected { retry_after });
            return;
        }
        let id = self.new_id();
        let deadline = self.cfg.settings.classes[class].deadline;
        let time_left = (add.time_left_ms.min(i64::MAX as u64 / 1_000) as i64 * 1_000).min(deadline);
        let ordered = self.cfg.settings.classes[class].ordered;
        self.events.push(Event::Message {
            id,
            class,
            tenant,
            key: add.key.clone().filter(|_| ordered),
            dest: DestId(add.dest),
            time_left,
            again: add.again,
        });
        self.identities.open(add.id.clone(), id);
        let submission = Submission {
            service: add.class,
            key: add.key,
            again: add.again,
            body: add.body,
            identity: Some(add.id),
            ..Submission::default()
        };
        let memory = self.count_message(submission.body.len());
        let message = Message {
            client: tenant,
            mailbox: self.clients[tenant].mailbox,
            conn,
            speaks: Speaks::Resp,
            class,
            submission,
            reply_to: ReplyAddress::default(),
            taken: self.wall(),
            deadline: self.now + time_left,
            reply: Some((conn, token)),
            attempts: 0,
            out: None,
            may_have_run_since: None,
            trail: None,
            answer_for: 0,
            withdrawn_by: None,
            still: Suspension::No,
            _memory: memory,
        };
        self.add_open_message(id, message);
        self.submitted.push(SubmittedMessage { id, dest: add.dest, body_bytes });
    }

    /// Returns the class and tenant of a submitted message, or why it is refused.
    fn resolve_names(&self, add: &Add) -> Result<(usize, usize), RejectReason> {
        let class = self.class_names.get(&add.class).copied().ok_or(RejectReason::Class)?;
        let tenant = self.client_names.get(&add.tenant).copied().ok_or(RejectReason::NotEntered)?;
        if !self.endpoints.is_known_destination(DestId(add.dest)) {
            return Err(RejectReason::Address);
        }
        match self.identities.owner(self.wall(), &add.id) {
            Owner::Nobody => {}
            Owner::Open(_) => return Err(RejectReason::Message),
            Owner::Ended => return Err(RejectReason::Used),
        }
        let needs_key = self.cfg.settings.classes[class].effect == Repeats::Guarded;
        if needs_key && add.key.is_none() {
            return Err(RejectReason::TooLate);
        }
        Ok((class, tenant))
    }

    fn send_refusal(&mut self, conn: ConnId, token: u32, reason: RejectReason) {
        if let Some((front, out)) = self.front(conn) {
            front.refused(token, reason, out);
        }
        self.flush(conn);
    }

    /// Accepts, after a round, the messages that were submitted before it and not refused in it. The
    /// acceptance of a message precedes all its other entries in the journal.
    pub(crate) fn accept_submitted(&mut self, actions: &[Action]) {
        if self.submitted.is_empty() {
            return;
        }
        let refused = |a: &Action| match a {
            Action::Refuse { id, .. } | Action::Fail { id } => Some(*id),
            _ => None,
        };
        let refused: Vec<MsgId> = actions.iter().filter_map(refused).collect();
        for SubmittedMessage { id, dest, .. } in self.submitted.take_all() {
            if refused.contains(&id) {
                continue;
            }
            let (now, wall) = (self.now, self.wall());
            let Some(m) = self.messages.get_mut(&id) else { continue };
            let Some((conn, token)) = m.reply.take() else { continue };
            let s = &m.submission;
            let client = self.cfg.clients.get(m.client).map_or("", |c| c.system_id.as_str());
            let deadline = wall + (m.deadline - now);
            let named =
                s.identity.as_ref().map(|identity| self.identities.accept(wall, identity, id, deadline));
            self.ledger.write(|| {
                let rest = Accepted {
                    id: id.0,
                    class: s.service.clone(),
                    dest,
                    taken: wall,
                    deadline,
                    again: s.again,
                    identity: s.identity.clone().unwrap_or_default(),
                    named,
                    ..Accepted::default()
                };
                What::Accepted(to_entry(client, "", s, &m.reply_to, rest))
            });
            tracing::debug!(
                now,
                id = s.identity,
                class = s.service,
                dest,
                left = m.deadline - now,
                "accepted a message"
            );
            self.stats.accepted += 1;
            self.once_durable(Effect::ReportAcceptance { conn, token, id });
        }
    }

    /// Handles a failure of the journal's storage. Nothing is accepted until it works again: clients that
    /// wait for their first reply are refused now, as a later acceptance would come too late.
    pub fn storage_failed(&mut self, now: Micros) {
        self.now = now.max(self.now);
        self.stats.storage_failures += 1;
        self.ledger.storage_failed();
        if self.cfg.platform.is_none() {
            return;
        }
        let retry_after = self.cfg.settings.max_retry_after;
        for effect in self.ledger.take_held(|e| matches!(e, Effect::ReportAcceptance { .. })) {
            let Effect::ReportAcceptance { conn, token, id } = effect else { continue };
            self.stats.accepted -= 1;
            self.stats.refused_room += 1;
            self.respond(conn, token, id, Answer::Rejected { retry_after });
            self.abandon_message(id);
        }
        self.refuse_submitted();
    }

    /// Abandons the messages of a closed client connection whose acceptance was not acknowledged.
    pub(crate) fn abandon_unacknowledged(&mut self, conn: ConnId) {
        let messages = &self.messages;
        let is_from = |id: &MsgId| messages.get(id).is_some_and(|message| message.conn == conn);
        for message in self.submitted.take_matching(|message| is_from(&message.id)) {
            self.abandon_message(message.id);
        }
    }

    /// Abandons a message whose client disconnected before its acceptance was acknowledged. It is not sent
    /// any more.
    pub(crate) fn abandon_message(&mut self, id: MsgId) {
        let Some(m) = self.messages.get(&id) else { return };
        tracing::debug!(
            id = m.submission.identity,
            "abandoned a message whose client disconnected before the acceptance was sent"
        );
        if m.attempts == 0
            && let Some(identity) = &m.submission.identity
        {
            let named = self.identities.withdraw(self.now + self.wall, identity, m.deadline + self.wall);
            // Without an acceptance in the journal a start knows nothing of the id.
            if m.reply.is_none() {
                self.ledger.write(|| What::Named(named));
            }
        }
        if let Some((call, part)) = m.out {
            self.cancel_or_abandon(call, part);
        }
        self.events.push(Event::Withdrawn { id });
        self.remove_unowed(id);
    }

    /// Removes a message for which no answer is owed.
    pub(crate) fn remove_unowed(&mut self, id: MsgId) {
        let Some(m) = self.messages.remove(&id) else { return };
        self.attempts.message_ended(id);
        self.forget_identity(&m);
        self.remove_open_message(&m);
        self.taken(id);
    }

    fn forget_identity(&mut self, m: &Message) {
        if let Some(identity) = &m.submission.identity {
            self.identities.close(identity);
        }
    }

    /// Reports the end of a platform's message: by a notice, or as the reply to a client that waits for its
    /// first answer.
    pub(crate) fn report_end(&mut self, id: MsgId, m: Message, answer: Answer) {
        tracing::debug!(now = self.now, id = m.submission.identity, ?answer, "a message ended");
        self.forget_identity(&m);
        self.remove_open_message(&m);
        if let Some((conn, token)) = m.reply {
            self.respond(conn, token, id, answer);
            return;
        }
        if answer == Answer::Delivered {
            return self.taken(id);
        }
        self.owe_notice(id, m.submission.identity.as_deref().unwrap_or_default(), answer);
    }

    /// Closes the client connection that has been idle longest, to make room for another one. Returns false
    /// if every connection waits for something.
    pub fn close_idlest_client(&mut self) -> bool {
        let Some((_, oldest)) = self.idle_clients().min() else { return false };
        self.end_session(oldest);
        true
    }

    /// Returns the idle client connections, each with the time since when it is idle.
    pub(crate) fn idle_clients(&self) -> impl Iterator<Item = (Micros, ConnId)> + '_ {
        self.conns.iter().filter_map(|(id, c)| match &c.role {
            ConnRole::Client { front, .. } => front.idle_since().map(|since| (since, *id)),
            _ => None,
        })
    }
}
