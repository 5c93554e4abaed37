//! After a restart: what the book says is taken up again. `resume.rs` decides; here it is carried out.

use crate::Micros;
use crate::answers::MessageEnd;
use crate::entry_codec::{to_reply, to_submission};
use crate::front::Speaks;
use crate::ids::{ID_SENDER_BITS, format_id, scoped_key};
use crate::mailboxes::{MailboxId, NamedSession};
use crate::node::{Message, Node, TimerKey};
use crate::resume::{Resume, resume};
use crate::standing::Still;
use heronroute::{DestId, Event, MsgId};
use heronroute_journal::entry::Answer as Answered;
use heronroute_journal::{Book, Open};
use heronroute_seen::{Handle, Name, Recent};
use heronroute_smpp::receipt::{Answer, Receipt};

/// What was taken up, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restarted {
    /// Messages that go on.
    pub go_on: usize,
    /// Messages answered at once.
    pub over: usize,
    /// Answers still owed.
    pub owed: usize,
}

impl Node {
    /// Takes up the book. Messages come to the decision library in the order in which they were accepted, so that
    /// keys keep theirs; all of them before their class's deadline, or they are answered here.
    pub(crate) fn restart(&mut self, book: Book) {
        let wall = self.wall();
        // Above all numbers given so far, with this sender's in the low bits.
        let (step, own) = (1 << ID_SENDER_BITS, self.next_id % (1 << ID_SENDER_BITS));
        self.next_id = self.next_id.max(book.next_id.next_multiple_of(step) | own);
        for (name, p) in &book.places {
            let Some(endpoint) = self.endpoints.named(name) else { continue };
            self.endpoints[endpoint].place = p.clone();
            let wait = (p.wait_until - wall).max(0);
            let ago = |at: Micros| (at > 0).then(|| (wall - at).max(0));
            let (failing_for, warming_for) = (ago(p.bad_since), ago(p.back_since));
            let budget = (p.budget > 0).then(|| f64::from(p.budget) / 1e3);
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
        // First, as they say where the rest belongs.
        self.take_up_rules(&book);
        self.take_up_sessions(&book);
        self.restore_held(&book);
        self.take_up_answers(&book);
        for open in book.open.into_values() {
            self.take_up_open(open, wall, &mut done);
        }
        tracing::info!(?done, "taken up after a restart");
    }

    /// One message of a book: what is said of it, and what becomes of it.
    pub(crate) fn take_up_open(&mut self, open: Open, wall: Micros, done: &mut Restarted) {
        let a = &open.accepted;
        let client = self.client_named(&a.client);
        let mailbox = self.mailboxes.open(client, &a.mailbox);
        let class = self.class_names.get(&a.class).copied();
        if self.stands_still(MsgId(a.id)) {
            return self.wait_for_right(client, mailbox, class, open);
        }
        let settings = class.and_then(|c| self.cfg.settings.classes.get(c));
        match resume(&open, settings.map(|c| (c.effect, c.window)), wall) {
            Resume::Answered => {
                done.owed += usize::from(self.owe_again(mailbox, &open));
            }
            Resume::GoesOn(ran) => {
                done.go_on += 1;
                let may_have_run_since = ran.as_ref().map(|i| self.now - (wall - i.at).max(0));
                self.take_up(client, mailbox, class.unwrap_or(0), &open, may_have_run_since);
                let may_run = ran.map(|i| {
                    let at = self.endpoints.named(&i.endpoint);
                    // An endpoint that is not known any more shares its memory with none that is.
                    (at.unwrap_or(heronroute::EndpointId(u32::MAX)), (wall - i.at).max(0))
                });
                let id = MsgId(open.accepted.id);
                self.events.push(Event::Resumed { id, attempts: open.attempts, may_run });
            }
            Resume::Over { may_run } => {
                done.over += 1;
                let id = MsgId(a.id);
                let may_have_run_since = may_run.then_some(self.now);
                self.hold_message(client, mailbox, class.unwrap_or(0), &open, may_have_run_since);
                self.answer(id, MessageEnd::Failed);
            }
        }
    }

    /// A partner may have taken it over meanwhile: it stands still until that is known.
    fn wait_for_right(&mut self, client: usize, mailbox: MailboxId, class: Option<usize>, open: Open) {
        if open.answer.is_some() {
            self.region.iter_mut().for_each(|r| r.wait_answered(open.clone()));
            return;
        }
        let id = MsgId(open.accepted.id);
        let ran = open.may_run.as_ref().or(open.out.as_ref());
        let may_have_run_since = ran.map(|i| self.now - (self.wall() - i.at).max(0));
        self.hold_message(client, mailbox, class.unwrap_or(0), &open, may_have_run_since);
        if let Some(m) = self.messages.get_mut(&id) {
            // What was refused from the start is never sent.
            let refused = Still::Found(Answer::Rejected { retry_after: 0 });
            m.still = if open.accepted.refused { refused } else { Still::Yes };
        }
        self.region.iter_mut().for_each(|r| r.wait(id));
    }

    /// The client's place; one that is not in the settings any more has no session, and is owed all the same.
    pub(crate) fn client_named(&mut self, name: &str) -> usize {
        let next = self.clients.len();
        let at = *self.client_names.entry(name.to_string()).or_insert(next);
        if at == next {
            self.add_client();
        }
        at
    }

    /// Sessions are kept from now on for as long as was agreed: when their clients left is not known.
    pub(crate) fn take_up_sessions(&mut self, book: &Book) {
        let (now, wall) = (self.now, self.wall());
        if self.cfg.mqtt.is_none() {
            return;
        }
        for kept in book.sessions.values() {
            let s = &kept.session;
            let client = self.client_named(&s.client);
            let mailbox = self.mailboxes.open(client, &s.name);
            let mut recent = Recent::new(s.window as usize);
            for r in &kept.latest {
                let packet = u16::try_from(r.packet).unwrap_or(0);
                recent.add(Handle { packet, digest: r.digest, again: false }, r.id);
            }
            let notes = s.notes.clone();
            let ends = now.saturating_add(s.expiry);
            let session = NamedSession { began: s.began, expiry: s.expiry, notes, recent };
            self.mailboxes.restore(mailbox, session, ends);
            self.timers.set(TimerKey::Mailbox(mailbox), ends);
        }
        if let Some(seen) = &mut self.seen {
            seen.forgot(book.forgot);
            for n in &book.names {
                seen.add(wall, Name { high: n.high, low: n.low }, n.id, n.until);
            }
        }
    }

    fn hold_message(
        &mut self,
        client: usize,
        mailbox: MailboxId,
        class: usize,
        open: &Open,
        may_have_run_since: Option<Micros>,
    ) {
        let a = &open.accepted;
        let message = Message {
            client,
            mailbox,
            conn: 0,
            speaks: match a.mailbox.is_empty() {
                _ if self.cfg.platform.is_some() => Speaks::Resp,
                true => Speaks::Smpp,
                false => Speaks::Mqtt,
            },
            class,
            submission: to_submission(a),
            reply_to: to_reply(a),
            taken: a.taken,
            deadline: self.now + (a.deadline - self.wall()),
            reply: None,
            attempts: open.attempts,
            out: None,
            may_have_run_since,
            trail: None,
            answer_for: a.answer_for,
            still: Still::No,
        };
        if let Some(identity) = message.submission.identity.clone().filter(|_| self.cfg.platform.is_some()) {
            self.by_identity.insert(identity, MsgId(a.id));
        }
        self.add_open_message(MsgId(a.id), message);
        self.restore_trail(open);
    }

    fn take_up(
        &mut self,
        client: usize,
        mailbox: MailboxId,
        class: usize,
        open: &Open,
        may_have_run_since: Option<Micros>,
    ) {
        self.hold_message(client, mailbox, class, open, may_have_run_since);
        let a = &open.accepted;
        let ordered = self.cfg.settings.classes.get(class).is_some_and(|c| c.ordered);
        self.events.push(Event::Message {
            id: MsgId(a.id),
            class,
            tenant: client,
            key: (ordered && !a.key.is_empty()).then(|| scoped_key(client, &a.key)),
            dest: DestId(a.dest),
            time_left: a.deadline - self.wall(),
            // It counts as no new demand.
            again: true,
        });
    }

    /// An answer that was not taken is told again, the same.
    pub(crate) fn owe_again(&mut self, mailbox: MailboxId, open: &Open) -> bool {
        let a = &open.accepted;
        let Some(Answered { word, retry_after, at, .. }) = &open.answer else { return false };
        let wait = Some(*retry_after).filter(|w| *w >= 0);
        let answer = Answer::read(word, wait).unwrap_or(Answer::Unknown { retry_after: None });
        if self.cfg.platform.is_some() {
            self.owe_notice(MsgId(a.id), &a.identity, answer);
            return true;
        }
        if !to_submission(a).owes_receipt(answer == Answer::Delivered) {
            self.taken(MsgId(a.id));
            return false;
        }
        let receipt = Receipt {
            id: format_id(MsgId(a.id)),
            answer,
            taken: a.taken,
            done: *at,
            source: a.source.clone(),
            destination: a.destination.clone(),
        };
        self.owe(mailbox, receipt, to_reply(a));
        true
    }
}
