//! Restores a node's state from the journal's state after a restart. [`crate::resume`] decides about each
//! message, and this module carries the decision out.

use crate::Micros;
use crate::answers::MessageEnd;
use crate::entry_codec::{to_reply, to_submission};
use crate::failover::Suspension;
use crate::front::Speaks;
use crate::ids::{ID_SENDER_BITS, format_id, scoped_key};
use crate::mailboxes::{MailboxId, NamedSession};
use crate::node::{Message, Node, TimerKey};
use crate::resume::{Resume, resume};
use heronroute::{DestId, Event, MsgId};
use heronroute_journal::entry::Answer as Answered;
use heronroute_journal::{JournalState, Open};
use heronroute_seen::{Name, RecentRequests, RequestKey};
use heronroute_smpp::receipt::{Answer, Receipt};

/// What was restored, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restarted {
    /// Messages that continue.
    pub go_on: usize,
    /// Messages answered at once.
    pub over: usize,
    /// Answers still owed.
    pub owed: usize,
}

impl Node {
    /// Restores the journal state. Messages go to the decision library in the order in which they were
    /// accepted, so that keys keep their order; all of them before their class's deadline, or they are
    /// answered here.
    pub(crate) fn restart(&mut self, state: JournalState) {
        let wall = self.wall();
        // The next number is above all given so far, with this sender's index in the low bits.
        let (step, own) = (1 << ID_SENDER_BITS, self.next_id % (1 << ID_SENDER_BITS));
        self.next_id = self.next_id.max(state.next_id.next_multiple_of(step) | own);
        for (name, place) in &state.places {
            let Some(endpoint) = self.endpoints.named(name) else { continue };
            self.endpoints[endpoint].place = place.clone();
            let wait = (place.wait_until - wall).max(0);
            let ago = |at: Micros| (at > 0).then(|| (wall - at).max(0));
            let (failing_for, warming_for) = (ago(place.bad_since), ago(place.back_since));
            let budget = (place.budget > 0).then(|| f64::from(place.budget) / 1e3);
            if wait > 0 || failing_for.is_some() || warming_for.is_some() || budget.is_some() {
                self.events.push(Event::EndpointRestored {
                    endpoint,
                    wait,
                    failing_for,
                    warming_for,
                    budget,
                });
            }
        }
        let mut done = Restarted::default();
        // These come first, as they say where the rest belongs.
        self.restore_rules(&state);
        self.restore_sessions(&state);
        state.names.iter().for_each(|named| self.identities.restore(wall, named));
        self.restore_held(&state);
        self.restore_answers(&state);
        for open in state.open.into_values() {
            self.restore_open(open, wall, &mut done);
        }
        tracing::info!(?done, "restored after a restart");
    }

    /// Restores one open message of a journal state, by what is known of it.
    pub(crate) fn restore_open(&mut self, open: Open, wall: Micros, done: &mut Restarted) {
        let accepted = &open.accepted;
        let client = self.client_index(&accepted.client);
        let mailbox = self.mailboxes.open(client, &accepted.mailbox);
        let class = self.class_names.get(&accepted.class).copied();
        if self.is_suspended(MsgId(accepted.id)) {
            return self.suspend_message(client, mailbox, class, open);
        }
        let settings = class.and_then(|c| self.cfg.settings.classes.get(c));
        match resume(&open, settings.map(|c| (c.effect, c.window)), wall) {
            Resume::Answered => {
                done.owed += usize::from(self.owe_restored_answer(mailbox, &open));
            }
            Resume::Continue(ran) => {
                done.go_on += 1;
                let may_have_run_since = ran.as_ref().map(|i| self.now - (wall - i.at).max(0));
                self.restore_message(client, mailbox, class.unwrap_or(0), &open, may_have_run_since);
                let may_run = ran.map(|i| {
                    let at = self.endpoints.named(&i.endpoint);
                    // An endpoint that is no longer known shares its memory with none that is.
                    (at.unwrap_or(heronroute::EndpointId(u32::MAX)), (wall - i.at).max(0))
                });
                let id = MsgId(open.accepted.id);
                self.events.push(Event::Resumed { id, attempts: open.attempts, may_run });
            }
            Resume::Fail { may_run } => {
                done.over += 1;
                let id = MsgId(accepted.id);
                let may_have_run_since = may_run.then_some(self.now);
                self.insert_message(client, mailbox, class.unwrap_or(0), &open, may_have_run_since);
                self.answer(id, MessageEnd::Failed);
            }
        }
    }

    /// Suspends a message of the journal state that a partner may have taken over meanwhile, until that is
    /// known.
    fn suspend_message(&mut self, client: usize, mailbox: MailboxId, class: Option<usize>, open: Open) {
        if open.answer.is_some() {
            self.region.iter_mut().for_each(|region| region.defer_answered(open.clone()));
            return;
        }
        let id = MsgId(open.accepted.id);
        let ran = open.may_run.as_ref().or(open.out.as_ref());
        let may_have_run_since = ran.map(|i| self.now - (self.wall() - i.at).max(0));
        self.insert_message(client, mailbox, class.unwrap_or(0), &open, may_have_run_since);
        if let Some(message) = self.messages.get_mut(&id) {
            // A message refused from the start is never sent.
            let refused = Suspension::WithAnswer(Answer::Rejected { retry_after: 0 });
            message.still = if open.accepted.refused { refused } else { Suspension::Yes };
        }
        self.region.iter_mut().for_each(|region| region.suspend(id));
    }

    /// Returns a client's index. A client that is no longer in the settings has no session, but is still owed
    /// its answers.
    pub(crate) fn client_index(&mut self, name: &str) -> usize {
        let next = self.clients.len();
        let at = *self.client_names.entry(name.to_string()).or_insert(next);
        if at == next {
            self.add_client();
        }
        at
    }

    /// Restores sessions. They are kept for the agreed time from now on, as it is unknown when their clients
    /// left.
    pub(crate) fn restore_sessions(&mut self, state: &JournalState) {
        let (now, wall) = (self.now, self.wall());
        if self.cfg.mqtt.is_none() {
            return;
        }
        for kept in state.sessions.values() {
            let stored = &kept.session;
            let client = self.client_index(&stored.client);
            let mailbox = self.mailboxes.open(client, &stored.name);
            let mut recent = RecentRequests::restored(stored.window as usize, kept.has_dropped);
            for request in &kept.latest {
                let packet = u16::try_from(request.packet).unwrap_or(0);
                recent.add(RequestKey { packet, digest: request.digest, again: false }, request.id);
            }
            let notes = stored.notes.clone();
            let ends = now.saturating_add(stored.expiry);
            let session = NamedSession { began: stored.began, expiry: stored.expiry, notes, recent };
            self.mailboxes.restore(mailbox, session, ends);
            self.timers.set(TimerKey::Mailbox(mailbox), ends);
        }
        if let Some(seen) = &mut self.seen {
            seen.forgot(state.forgot);
            for n in &state.names {
                seen.add(wall, Name { high: n.high, low: n.low }, n.id, n.until);
            }
        }
    }

    fn insert_message(
        &mut self,
        client: usize,
        mailbox: MailboxId,
        class: usize,
        open: &Open,
        may_have_run_since: Option<Micros>,
    ) {
        let accepted = &open.accepted;
        let submission = to_submission(accepted);
        let memory = self.count_message(submission.body.len());
        let message = Message {
            client,
            mailbox,
            conn: 0,
            speaks: match accepted.mailbox.is_empty() {
                _ if self.cfg.platform.is_some() => Speaks::Resp,
                true => Speaks::Smpp,
                false => Speaks::Mqtt,
            },
            class,
            submission,
            reply_to: to_reply(accepted),
            taken: accepted.taken,
            deadline: self.now + (accepted.deadline - self.wall()),
            reply: None,
            attempts: open.attempts,
            out: None,
            may_have_run_since,
            trail: None,
            answer_for: accepted.answer_for,
            withdrawn_by: None,
            still: Suspension::No,
            _memory: memory,
        };
        if let Some(identity) = message.submission.identity.clone().filter(|_| self.cfg.platform.is_some()) {
            self.identities.open(identity, MsgId(accepted.id));
        }
        self.add_open_message(MsgId(accepted.id), message);
        self.restore_trail(open);
    }

    fn restore_message(
        &mut self,
        client: usize,
        mailbox: MailboxId,
        class: usize,
        open: &Open,
        may_have_run_since: Option<Micros>,
    ) {
        self.insert_message(client, mailbox, class, open, may_have_run_since);
        let accepted = &open.accepted;
        let ordered = self.cfg.settings.classes.get(class).is_some_and(|c| c.ordered);
        self.events.push(Event::Message {
            id: MsgId(accepted.id),
            class,
            tenant: client,
            key: (ordered && !accepted.key.is_empty()).then(|| scoped_key(client, &accepted.key)),
            dest: DestId(accepted.dest),
            time_left: accepted.deadline - self.wall(),
            // It does not count as new demand.
            again: true,
        });
    }

    /// Sends an answer that was not acknowledged again, unchanged. Returns whether one is owed.
    pub(crate) fn owe_restored_answer(&mut self, mailbox: MailboxId, open: &Open) -> bool {
        let accepted = &open.accepted;
        let Some(Answered { word, retry_after, at, .. }) = &open.answer else { return false };
        let wait = Some(*retry_after).filter(|w| *w >= 0);
        let answer = Answer::read(word, wait).unwrap_or(Answer::Unknown { retry_after: None });
        if self.cfg.platform.is_some() {
            self.owe_notice(MsgId(accepted.id), &accepted.identity, answer);
            return true;
        }
        if !to_submission(accepted).owes_receipt(answer == Answer::Delivered) {
            self.taken(MsgId(accepted.id));
            return false;
        }
        let receipt = Receipt {
            id: format_id(MsgId(accepted.id)),
            answer,
            taken: accepted.taken,
            done: *at,
            source: accepted.source.clone(),
            destination: accepted.destination.clone(),
        };
        self.owe(mailbox, receipt, to_reply(accepted));
        true
    }
}
