//! The right is there again, or the partner took over: what stood still goes on, or is the partner's.

use crate::answers::MessageEnd;
use crate::ids::parse_id;
use crate::node::Node;
use crate::resume::{Resume, resume};
use crate::standing::Still;
use heronroute::{DestId, EndpointId, Event, MsgId};
use heronroute_held::Query;
use heronroute_journal::Open;
use heronroute_journal::entry::{Accepted, Intent};

/// Held messages looked at at once.
const PAGE: usize = 1_000;

impl Node {
    /// What stood still goes on, where the right is there.
    pub(super) fn back_if_due(&mut self) {
        let Some(r) = &mut self.region else { return };
        if !r.lapsed || r.unknown || self.now >= r.until {
            return;
        }
        r.lapsed = false;
        let still = std::mem::take(&mut r.still);
        let (answered, owed) = (std::mem::take(&mut r.answered), std::mem::take(&mut r.owed));
        let effects = std::mem::take(&mut r.effects);
        tracing::info!(messages = still.len(), "the right to go on is there");
        for id in still {
            self.goes_on(id);
        }
        for open in answered {
            let client = self.client_named(&open.accepted.client);
            let mailbox = self.mailboxes.open(client, &open.accepted.mailbox);
            self.owe_again(mailbox, &open);
            self.deliver_owed(mailbox);
        }
        for (client, name, owed) in owed {
            let mailbox = self.mailboxes.open(client, &name);
            if let Some(m) = self.mailboxes.get_mut(mailbox) {
                m.outbox.set_aside(owed);
                m.outbox.requeue_set_aside();
            }
            self.deliver_owed(mailbox);
        }
        effects.into_iter().for_each(|effect| self.perform(effect));
    }

    /// One message goes on as after a restart: by what may have run, and by the time that is left.
    fn goes_on(&mut self, id: MsgId) {
        self.break_off(id);
        let wall = self.wall();
        let Some(m) = self.messages.get_mut(&id) else { return };
        let found = std::mem::take(&mut m.still);
        if let Still::Found(answer) = found {
            return self.answer_with(id, answer);
        }
        // By its name: a class may be gone since the message was accepted.
        let class = self.class_names.get(&m.submission.service).copied();
        let class = class.or(m.submission.service.is_empty().then_some(m.class));
        let settings = class.and_then(|c| self.cfg.settings.classes.get(c));
        let ran = m.may_have_run_since.map(|at| Intent { at: wall - (self.now - at), ..Intent::default() });
        let deadline = wall + (m.deadline - self.now);
        let accepted = Accepted { deadline, ..Accepted::default() };
        let open = Open { accepted, attempts: m.attempts, may_run: ran, out: None, answer: None };
        match resume(&open, settings.map(|c| (c.effect, c.window)), wall) {
            Resume::GoesOn(ran) => {
                let ordered = settings.is_some_and(|c| c.ordered);
                let key = m.submission.key.as_ref().filter(|_| ordered);
                let key = key.map(|k| crate::ids::scoped_key(m.client, k));
                let dest = self.routes.find(&m.submission.destination).unwrap_or(DestId(i64::MAX));
                self.events.push(Event::Message {
                    id,
                    class: m.class,
                    tenant: m.client,
                    key,
                    dest,
                    time_left: m.deadline - self.now,
                    again: true,
                });
                // Where it ran is not kept: an endpoint that shares its memory with none.
                let may_run = ran.map(|i| (EndpointId(u32::MAX), wall - i.at));
                self.events.push(Event::Resumed { id, attempts: open.attempts, may_run });
            }
            Resume::Over { .. } | Resume::Answered => self.answer(id, MessageEnd::Failed),
        }
    }

    /// The partner ends what it has: nothing of it is sent or answered here any more, also after a restart.
    pub(super) fn let_partner_have(&mut self, upto: u64) {
        let Some(r) = &mut self.region else { return };
        let rest = r.still.split_off(&MsgId(upto));
        let gone = std::mem::replace(&mut r.still, rest);
        let (theirs, own) = std::mem::take(&mut r.answered).into_iter().partition(|o| o.accepted.id < upto);
        r.answered = own;
        let theirs: Vec<Open> = theirs;
        let (owed, own) =
            std::mem::take(&mut r.owed).into_iter().partition(|(.., o)| below(&o.receipt.id, upto));
        r.owed = own;
        let owed: Vec<_> = owed;
        let (_, own) =
            std::mem::take(&mut r.effects).into_iter().partition(|e| e.about().is_some_and(|id| id.0 < upto));
        r.effects = own;
        tracing::warn!(
            upto,
            messages = gone.len(),
            answers = theirs.len() + owed.len(),
            "taken over by the partner"
        );
        for id in gone {
            self.break_off(id);
            self.remove_unowed(id);
        }
        theirs.iter().for_each(|open| self.taken(MsgId(open.accepted.id)));
        for (client, _, owed) in owed {
            self.clients[client].owed -= 1;
            parse_id(&owed.receipt.id).into_iter().for_each(|id| self.taken(id));
        }
        // Those on their way as well: a restart would tell again what was not taken.
        let mailboxes: Vec<_> = self.mailboxes.all().map(|(id, _)| id).collect();
        for mailbox in mailboxes {
            let Some(m) = self.mailboxes.get_mut(mailbox) else { continue };
            let (client, ids) = (m.client, m.outbox.remove_matching(|o| below(&o.receipt.id, upto)));
            self.clients[client].owed -= ids.len();
            ids.iter().filter_map(|id| parse_id(id)).for_each(|id| self.taken(id));
            self.mailboxes.remove_if_unused(mailbox);
        }
        self.let_partner_hold(upto);
    }

    /// Messages held for their clients are the partner's too: guards against one submitted again at both.
    fn let_partner_hold(&mut self, upto: u64) {
        let mut after = None;
        loop {
            let query = Query { held: true, after, ..Query::default() };
            let Some(store) = &mut self.held else { return };
            let page = store.list(&query, PAGE);
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

fn below(id: &str, upto: u64) -> bool {
    parse_id(id).is_some_and(|id| id.0 < upto)
}
