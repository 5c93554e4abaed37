//! Handles the end of a suspension: the lease is extended and suspended messages continue, or the partner
//! took over and they belong to the partner.

use crate::answers::MessageEnd;
use crate::failover::Suspension;
use crate::ids::parse_id;
use crate::node::Node;
use crate::resume::{Resume, resume};
use heronroute::{DestId, EndpointId, Event, MsgId};
use heronroute_held::Query;
use heronroute_journal::Open;
use heronroute_journal::entry::{Accepted, Intent};

/// How many held messages are examined at once.
const HELD_PAGE_SIZE: usize = 1_000;

impl Node {
    /// Continues what was suspended, if the lease holds.
    pub(super) fn continue_if_leased(&mut self) {
        let Some(region) = &mut self.region else { return };
        if !region.lapsed || region.extent_unknown || self.now >= region.lease_until {
            return;
        }
        region.lapsed = false;
        let suspended = std::mem::take(&mut region.suspended);
        let (answered, owed) =
            (std::mem::take(&mut region.unacknowledged), std::mem::take(&mut region.deferred_answers));
        let effects = std::mem::take(&mut region.deferred_effects);
        tracing::info!(messages = suspended.len(), "the lease holds again; suspended messages continue");
        for id in suspended {
            self.continue_message(id);
        }
        for open in answered {
            let client = self.client_index(&open.accepted.client);
            let mailbox = self.mailboxes.open(client, &open.accepted.mailbox);
            self.owe_restored_answer(mailbox, &open);
            self.deliver_owed(mailbox);
        }
        for (client, name, owed) in owed {
            let mailbox = self.mailboxes.open(client, &name);
            if let Some(found) = self.mailboxes.get_mut(mailbox) {
                found.outbox.set_aside(owed);
                found.outbox.requeue_set_aside();
            }
            self.deliver_owed(mailbox);
        }
        effects.into_iter().for_each(|effect| self.perform(effect));
    }

    /// Continues one message as after a restart: by what may have run, and by the time that is left.
    fn continue_message(&mut self, id: MsgId) {
        self.cancel_outstanding(id);
        let wall = self.wall();
        let Some(message) = self.messages.get_mut(&id) else { return };
        let found = std::mem::take(&mut message.still);
        if let Suspension::WithAnswer(answer) = found {
            return self.answer_with(id, answer);
        }
        // The class is found by name, as it may have been removed since the message was accepted.
        let class = self.class_names.get(&message.submission.service).copied();
        let class = class.or(message.submission.service.is_empty().then_some(message.class));
        let settings = class.and_then(|c| self.cfg.settings.classes.get(c));
        let ran =
            message.may_have_run_since.map(|at| Intent { at: wall - (self.now - at), ..Intent::default() });
        let deadline = wall + (message.deadline - self.now);
        let accepted = Accepted { deadline, ..Accepted::default() };
        let open = Open { accepted, attempts: message.attempts, may_run: ran, out: None, answer: None };
        match resume(&open, settings.map(|c| (c.effect, c.window)), wall) {
            Resume::Continue(ran) => {
                let ordered = settings.is_some_and(|c| c.ordered);
                let key = message.submission.key.as_ref().filter(|_| ordered);
                let key = key.map(|k| crate::ids::scoped_key(message.client, k));
                let dest = self.routes.find(&message.submission.destination).unwrap_or(DestId(i64::MAX));
                self.events.push(Event::Message {
                    id,
                    class: message.class,
                    tenant: message.client,
                    key,
                    dest,
                    time_left: message.deadline - self.now,
                    again: true,
                });
                // Where it ran is not stored, so it counts as an endpoint that shares its memory with no
                // other.
                let may_run = ran.map(|i| (EndpointId(u32::MAX), wall - i.at));
                self.events.push(Event::Resumed { id, attempts: open.attempts, may_run });
            }
            Resume::Fail { .. } | Resume::Answered => self.answer(id, MessageEnd::Failed),
        }
    }

    /// Leaves the messages below `upto` to the partner: none of them is sent or answered here any more, also
    /// after a restart.
    pub(super) fn cede_messages(&mut self, upto: u64) {
        let Some(region) = &mut self.region else { return };
        let rest = region.suspended.split_off(&MsgId(upto));
        let ceded = std::mem::replace(&mut region.suspended, rest);
        let (theirs, own) =
            std::mem::take(&mut region.unacknowledged).into_iter().partition(|o| o.accepted.id < upto);
        region.unacknowledged = own;
        let theirs: Vec<Open> = theirs;
        let (owed, own) = std::mem::take(&mut region.deferred_answers)
            .into_iter()
            .partition(|(.., o)| is_below(&o.receipt.id, upto));
        region.deferred_answers = own;
        let owed: Vec<_> = owed;
        let (_, own) = std::mem::take(&mut region.deferred_effects)
            .into_iter()
            .partition(|e| e.about().is_some_and(|id| id.0 < upto));
        region.deferred_effects = own;
        tracing::warn!(
            upto,
            messages = ceded.len(),
            answers = theirs.len() + owed.len(),
            "taken over by the partner"
        );
        for id in ceded {
            self.cancel_outstanding(id);
            self.remove_unowed(id);
        }
        theirs.iter().for_each(|open| self.taken(MsgId(open.accepted.id)));
        for (client, _, owed) in owed {
            self.clients[client].owed -= 1;
            parse_id(&owed.receipt.id).into_iter().for_each(|id| self.taken(id));
        }
        // Queued answers are withdrawn as well, as a restart would send again what was not acknowledged.
        let mailboxes: Vec<_> = self.mailboxes.all().map(|(id, _)| id).collect();
        for mailbox in mailboxes {
            let Some(found) = self.mailboxes.get_mut(mailbox) else { continue };
            let (client, ids) =
                (found.client, found.outbox.remove_matching(|o| is_below(&o.receipt.id, upto)));
            self.clients[client].owed -= ids.len();
            ids.iter().filter_map(|id| parse_id(id)).for_each(|id| self.taken(id));
            self.mailboxes.remove_if_unused(mailbox);
        }
        self.cede_held(upto);
    }

    /// Leaves held messages to the partner too. Guards against a message being resubmitted at both members.
    fn cede_held(&mut self, upto: u64) {
        let mut after = None;
        loop {
            let query = Query { held: true, after, ..Query::default() };
            let Some(store) = &mut self.held else { return };
            let page = store.list(&query, HELD_PAGE_SIZE);
            let theirs: Vec<u64> = page.ids.iter().copied().filter(|id| *id < upto).collect();
            theirs.iter().for_each(|id| _ = store.take(*id));
            self.write_released(&theirs);
            if page.next.is_none() {
                return;
            }
            after = page.next;
        }
    }
}

fn is_below(id: &str, upto: u64) -> bool {
    parse_id(id).is_some_and(|id| id.0 < upto)
}
