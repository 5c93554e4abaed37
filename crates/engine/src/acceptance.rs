//! Acceptance of messages that the platform's clients submit, and the replies to them.
//!
//! A message is accepted once the decision library has not refused it in its first round and its acceptance is durable;
//! then its client is notified. From then on its end is owed: by a delivery, or by a notice. A message that the library
//! refuses in its first round is refused to the client, with the library's time to come back.

use crate::Micros;
use crate::entry_codec::to_entry;
use crate::failover::Suspension;
use crate::front::{No, Speaks};
use crate::ids::ConnId;
use crate::node::{Effect, Message, Node, Use};
use crate::outbox::Reply;
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
            Err(no) => {
                self.stats.refused_other += 1;
                return self.send_refusal(conn, token, no);
            }
        };
        // What can't be accepted in time is refused, not left waiting: the library holds no more than its room, so
        // that only a flood within one round, a full disk or a sender about to end comes to this.
        let most = self.cfg.settings.max_open as usize;
        let flooded = self.fresh.len() >= most;
        let coming = self.fresh_octets + add.body.len();
        if self.frozen || flooded || self.ledger.refuses(self.now, self.messages.len(), coming) {
            self.stats.refused_room += 1;
            let retry_after = self.cfg.settings.max_retry_after;
            self.respond(conn, token, MsgId(0), Answer::Rejected { retry_after });
            return;
        }
        self.fresh_octets = coming;
        let id = self.new_id();
        let deadline = self.cfg.settings.classes[class].deadline;
        let span = (add.left_ms.min(i64::MAX as u64 / 1_000) as i64 * 1_000).min(deadline);
        let ordered = self.cfg.settings.classes[class].ordered;
        self.events.push(Event::Message {
            id,
            class,
            tenant,
            key: add.key.clone().filter(|_| ordered),
            dest: DestId(add.dest),
            time_left: span,
            again: add.again,
        });
        self.by_identity.insert(add.id.clone(), id);
        let submission = Submission {
            service: add.class,
            key: add.key,
            again: add.again,
            body: add.body,
            identity: Some(add.id),
            ..Submission::default()
        };
        let message = Message {
            client: tenant,
            mailbox: self.clients[tenant].mailbox,
            conn,
            speaks: Speaks::Resp,
            class,
            submission,
            to: Reply::default(),
            taken: self.wall(),
            deadline: self.now + span,
            reply: Some((conn, token)),
            attempts: 0,
            out: None,
            ran_at: None,
            trail: None,
            answer_for: 0,
            still: Suspension::No,
        };
        self.hold(id, message);
        self.fresh.push((id, add.dest));
    }

    /// Class and tenant of a submitted message, or why it is refused.
    fn resolve_names(&self, add: &Add) -> Result<(usize, usize), No> {
        let class = self.class_names.get(&add.class).copied().ok_or(No::Class)?;
        let tenant = self.client_names.get(&add.tenant).copied().ok_or(No::NotEntered)?;
        if !self.remotes.knows(DestId(add.dest)) {
            return Err(No::Address);
        }
        if self.by_identity.contains_key(&add.id) {
            return Err(No::Message);
        }
        let guarded = self.cfg.settings.classes[class].effect == Repeats::Guarded;
        if guarded && add.key.is_none() {
            return Err(No::TooLate);
        }
        Ok((class, tenant))
    }

    fn send_refusal(&mut self, conn: ConnId, token: u32, no: No) {
        if let Some((front, out)) = self.front(conn) {
            front.refused(token, no, out);
        }
        self.flush(conn);
    }

    /// After a round: accepts what was submitted since the round before and was not refused in this one. The acceptance
    /// of a message precedes all its other entries in the journal.
    pub(crate) fn accept_fresh(&mut self, actions: &[Action]) {
        if self.fresh.is_empty() {
            return;
        }
        let over = |a: &Action| match a {
            Action::Refuse { id, .. } | Action::Fail { id } => Some(*id),
            _ => None,
        };
        let over: Vec<MsgId> = actions.iter().filter_map(over).collect();
        self.fresh_octets = 0;
        for (id, dest) in std::mem::take(&mut self.fresh) {
            if over.contains(&id) {
                continue;
            }
            let (now, wall) = (self.now, self.wall());
            let Some(m) = self.messages.get_mut(&id) else { continue };
            let Some((conn, token)) = m.reply.take() else { continue };
            let s = &m.submission;
            let client = self.cfg.clients.get(m.client).map_or("", |c| c.system_id.as_str());
            let deadline = wall + (m.deadline - now);
            self.ledger.write(|| {
                let rest = Accepted {
                    id: id.0,
                    class: s.service.clone(),
                    dest,
                    taken: wall,
                    deadline,
                    again: s.again,
                    identity: s.identity.clone().unwrap_or_default(),
                    ..Accepted::default()
                };
                What::Accepted(to_entry(client, "", s, &m.to, rest))
            });
            tracing::debug!(
                now,
                id = s.identity,
                class = s.service,
                dest,
                left = m.deadline - now,
                "taken on"
            );
            self.stats.accepted += 1;
            self.once_durable(Effect::Accept { conn, token, id });
        }
    }

    /// The journal's storage failed. Until it works again nothing is accepted: clients that wait for a first reply are
    /// refused now, as it would come too late.
    pub fn storage_failed(&mut self, now: Micros) {
        self.now = now.max(self.now);
        self.stats.storage_failures += 1;
        self.ledger.storage_failed();
        if self.cfg.platform.is_none() {
            return;
        }
        let retry_after = self.cfg.settings.max_retry_after;
        for effect in self.ledger.take_held(|e| matches!(e, Effect::Accept { .. })) {
            let Effect::Accept { conn, token, id } = effect else { continue };
            self.stats.accepted -= 1;
            self.stats.refused_room += 1;
            self.respond(conn, token, id, Answer::Rejected { retry_after });
            self.abandon_message(id);
        }
        self.refuse_fresh();
    }

    /// A client's connection is gone: abandons the messages it submitted whose acceptance was not acknowledged.
    pub(crate) fn abandon_unacknowledged(&mut self, conn: ConnId) {
        let gone: Vec<MsgId> = self
            .fresh
            .iter()
            .map(|f| f.0)
            .filter(|id| self.messages.get(id).is_some_and(|m| m.conn == conn))
            .collect();
        for id in gone {
            self.fresh.retain(|f| f.0 != id);
            self.abandon_message(id);
        }
    }

    /// Abandons a message whose client disconnected before its acceptance was acknowledged. It is not sent any more.
    pub(crate) fn abandon_message(&mut self, id: MsgId) {
        let Some(m) = self.messages.get(&id) else { return };
        tracing::debug!(id = m.submission.identity, "abandoned before its client heard of the acceptance");
        if let Some((call, part)) = m.out {
            self.cancel_or_abandon(call, part);
        }
        self.events.push(Event::Left { id });
        self.over(id);
    }

    /// A message is over and nothing is owed.
    pub(crate) fn over(&mut self, id: MsgId) {
        let Some(m) = self.messages.remove(&id) else { return };
        self.forget_identity(&m);
        self.let_go(&m);
        self.taken(id);
    }

    fn forget_identity(&mut self, m: &Message) {
        if let Some(identity) = &m.submission.identity {
            self.by_identity.remove(identity);
        }
    }

    /// Reports the end of a platform's message: by a notice, or to a client that waits for its first answer.
    pub(crate) fn tell_end(&mut self, id: MsgId, m: Message, answer: Answer) {
        tracing::debug!(now = self.now, id = m.submission.identity, ?answer, "its end");
        self.forget_identity(&m);
        self.let_go(&m);
        if let Some((conn, token)) = m.reply {
            self.respond(conn, token, id, answer);
            return;
        }
        if answer == Answer::Delivered {
            return self.taken(id);
        }
        self.owe_notice(id, m.submission.identity.as_deref().unwrap_or_default(), answer);
    }

    /// Makes room for one more connection of a client, by closing the one that has rested longest; false where all
    /// have something to wait for.
    pub fn make_way(&mut self) -> bool {
        let Some((_, oldest)) = self.resting().min() else { return false };
        self.end_session(oldest);
        true
    }

    /// Clients' connections that rest, with since when.
    pub(crate) fn resting(&self) -> impl Iterator<Item = (Micros, ConnId)> + '_ {
        self.conns.iter().filter_map(|(id, c)| match &c.what {
            Use::Client { front, .. } => front.rests().map(|since| (since, *id)),
            _ => None,
        })
    }
}
