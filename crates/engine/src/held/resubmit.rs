//! Resubmission of held messages.

use super::MAX_TRAIL_STEPS;
use crate::admission::Origin;
use crate::entry_codec;
use crate::front::SubmissionContext;
use crate::ids::{format_id, scoped_key};
use crate::node::Node;
use crate::outbox::ReplyAddress;
use heronroute::{DestId, Event, MsgId};
use heronroute_held::{Ask, Decision, DeliveryHistory, Effect, Refusal, Trail, What, decide};
use heronroute_journal::entry::{self, Accepted};
use prost::Message as _;

impl Node {
    /// Resubmits a held message of this client, or returns why it can't.
    pub(crate) fn resubmit_held(
        &mut self,
        client: usize,
        id: u64,
        new_effect: bool,
    ) -> (String, &'static str) {
        let reply = |state: &'static str| (format!("id:{} stat:{state}", format_id(MsgId(id))), state);
        let now = self.wall();
        let stored = self.held.as_ref().and_then(|s| s.get(id)).cloned();
        let Some(stored) = stored else { return reply("NOTFOUND") };
        let accepted = stored.message.as_deref().and_then(|m| Accepted::decode(m).ok());
        let (Some(a), Some(trail)) = (accepted, Trail::read(&stored.trail)) else { return reply("DELIVRD") };
        let Some(class) = self.class_names.get(&a.class).copied() else { return reply("NOCLASS") };
        let settings = &self.cfg.settings.classes[class];
        let (window, deadline, ordered) = (settings.window, settings.deadline, settings.ordered);
        let effect = match settings.effect {
            heronroute::Effect::Free => Effect::Free,
            heronroute::Effect::Guarded => Effect::Guarded(window),
            heronroute::Effect::SingleShot => Effect::SingleShot,
        };
        let deadline = self.validity_for(client, class, &a).map_or(deadline, |v| v.min(deadline));
        let may_have_run = trail.may_have_run();
        let past = DeliveryHistory {
            effect,
            may_have_run,
            delivered: false,
            under_way: stored.under_way,
            not_received_at: stored.not_received_at,
        };
        let decision = decide(now, past, Ask { new_effect, patience: deadline });
        let (leave_by, as_new) = match decision {
            Decision::Again { leave_by } => (leave_by, false),
            Decision::NewEffect { leave_by } => (leave_by, true),
            Decision::Refused(why) => {
                return reply(match why {
                    Refusal::Delivered => "DELIVRD",
                    Refusal::UnderWay => "UNDERWAY",
                    Refusal::MayHaveRun => "MAYHAVERUN",
                    Refusal::WindowOver => "WINDOWOVER",
                });
            }
        };
        // The resubmission has the same id as the first attempt. Acknowledging the first answer would close
        // the resubmission in the journal too, and after a crash its outcome would be unknown.
        if !as_new && self.unacknowledged.contains(&id) {
            return reply("UNHEARD");
        }
        let Some(dest) = self.routes.find(&a.destination) else { return reply("NOROUTE") };
        // A partner may have the message, and resubmit it there.
        if self.is_suspended(MsgId(id))
            || self.leaving
            || self.ledger.refuses(self.now, self.messages.len(), a.body.len())
        {
            return reply("BUSY");
        }
        // The answer goes to the mailbox of the first answer, whoever asked for the resubmission.
        let mailbox = self.mailboxes.open(client, &a.mailbox);
        let from = Origin { conn: None, token: 0, client, mailbox };
        if self.admit(&from, class, false).is_err() {
            return reply("BUSY");
        }
        let party = self.client_party(&a.client);
        let begun = self.held.as_mut().map(|s| s.begin(now, id, party, decision));
        if !matches!(begun, Some(Ok(_))) {
            return reply("UNDERWAY");
        }
        let new_id = if as_new { self.new_id() } else { MsgId(id) };
        // An earlier attempt counts as one that may have run, unless the destination's owner reported that it
        // did not run, or the client asked for a new effect.
        let may_have_run =
            may_have_run.filter(|at| !as_new && stored.not_received_at.is_none_or(|said| *at >= said));
        let context = SubmissionContext {
            reply: ReplyAddress { topic: a.reply.clone(), correlation: a.correlation.clone() },
            ..SubmissionContext::default()
        };
        let submission = entry_codec::to_submission(&a);
        let key = submission.key.as_ref().filter(|_| ordered).map(|k| scoped_key(client, k));
        self.events.push(Event::Message {
            id: new_id,
            class,
            tenant: client,
            key,
            dest: DestId(dest.0),
            time_left: leave_by - now,
            again: true,
        });
        let rest = Accepted {
            id: new_id.0,
            class: a.class.clone(),
            dest: dest.0,
            deadline: leave_by,
            replaces: if as_new { id } else { 0 },
            resubmitted: true,
            ..Accepted::default()
        };
        let answer_for = if as_new { 0 } else { self.answer_for(client, class, id, &submission) };
        let rest = Accepted { answer_for, ..rest };
        self.write_accepted(&from, &submission, &context, rest);
        if let Some(at) = may_have_run {
            let endpoint = trail.steps().find_map(|(t, w)| match w {
                What::Began(e) if t == at => self.trail_names.get(e as usize).cloned(),
                _ => None,
            });
            let endpoint = endpoint.unwrap_or_default();
            let known = self.endpoints.named(&endpoint);
            let place = known.unwrap_or(heronroute::EndpointId(u32::MAX));
            self.events.push(Event::Resumed { id: new_id, attempts: 0, may_run: Some((place, now - at)) });
            let intent = entry::Intent { id: new_id.0, endpoint, at };
            self.ledger.write(|| entry::What::Intent(intent));
            self.ledger.write(|| entry::What::Outcome(entry::Outcome { id: new_id.0, never_ran: false }));
        }
        let mut message = self.new_message(&from, class, submission, &context, self.now + (leave_by - now));
        message.answer_for = answer_for;
        message.may_have_run_since = may_have_run.map(|at| self.now - (now - at).max(0));
        let before = self.held.as_ref().and_then(|s| s.get(id)).and_then(|f| Trail::read(&f.trail));
        if as_new {
            // The new message's trail begins with the resubmission. The old trail stays, without its message.
            let ended = before.unwrap_or_default();
            let dropped = self.held.as_mut().map(|s| s.end(now, id, &ended, true)).unwrap_or_default();
            self.write_released(&dropped);
            let mut trail = Trail::new(now, 0);
            trail.add(now, What::Resubmitted(party), MAX_TRAIL_STEPS);
            message.trail = Some(Box::new(trail));
        } else {
            message.trail = before.map(Box::new);
        }
        self.add_open_message(new_id, message);
        if as_new {
            self.set_trail_origin(new_id);
        }
        self.stats.accepted += 1;
        (format!("id:{} stat:ENROUTE", format_id(new_id)), "ENROUTE")
    }
}
