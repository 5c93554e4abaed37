//! A held message is submitted again.

use super::STEPS;
use crate::desk::From;
use crate::entry_codec;
use crate::front::Handing;
use crate::ids::{key_of, show_id};
use crate::node::Node;
use crate::outbox::Reply;
use heronroute::{DestId, Event, MsgId};
use heronroute_held::{Ask, Decision, Effect, Past, Refusal, Trail, What, decide};
use heronroute_journal::entry::{self, Accepted};
use prost::Message as _;

impl Node {
    /// Hands a held message of this client in again, or says why not.
    pub(crate) fn again(&mut self, client: usize, id: u64, new_effect: bool) -> (String, &'static str) {
        let said = |state: &'static str| (format!("id:{} stat:{state}", show_id(MsgId(id))), state);
        let now = self.wall();
        let filed = self.held.as_ref().and_then(|s| s.get(id)).cloned();
        let Some(filed) = filed else { return said("NOTFOUND") };
        let accepted = filed.message.as_deref().and_then(|m| Accepted::decode(m).ok());
        let (Some(a), Some(trail)) = (accepted, Trail::read(&filed.trail)) else { return said("DELIVRD") };
        let Some(class) = self.class_names.get(&a.class).copied() else { return said("NOCLASS") };
        let settings = &self.cfg.settings.classes[class];
        let (window, deadline, ordered) = (settings.window, settings.deadline, settings.ordered);
        let effect = match settings.effect {
            heronroute::Effect::Free => Effect::Free,
            heronroute::Effect::Guarded => Effect::Guarded(window),
            heronroute::Effect::SingleShot => Effect::SingleShot,
        };
        let deadline = self.validity_for(client, class, &a).map_or(deadline, |v| v.min(deadline));
        let ran = trail.may_have_run();
        let past = Past {
            effect,
            may_have_run: ran,
            delivered: false,
            under_way: filed.under_way,
            not_seen: filed.not_seen,
        };
        let decision = decide(now, past, Ask { new_effect, patience: deadline });
        let (leave_by, fresh) = match decision {
            Decision::Again { leave_by } => (leave_by, false),
            Decision::NewEffect { leave_by } => (leave_by, true),
            Decision::Refused(why) => {
                return said(match why {
                    Refusal::Delivered => "DELIVRD",
                    Refusal::UnderWay => "UNDERWAY",
                    Refusal::MayHaveRun => "MAYHAVERUN",
                    Refusal::WindowOver => "WINDOWOVER",
                });
            }
        };
        // Guards against the first answer's being taken closing the hand-in in the journal, which has the same
        // identity: after a crash what it did would not be known.
        if !fresh && self.unheard.contains(&id) {
            return said("UNHEARD");
        }
        let Some(dest) = self.routes.find(&a.destination) else { return said("NOROUTE") };
        // A partner may have it, and hand it in there.
        if self.is_suspended(MsgId(id))
            || self.leaving
            || self.ledger.refuses(self.now, self.messages.len(), a.body.len())
        {
            return said("BUSY");
        }
        // Its answer goes where the first one went, whoever asked.
        let mailbox = self.mailboxes.open(client, &a.mailbox);
        let from = From { conn: None, token: 0, client, mailbox };
        if self.admit(&from, class, false).is_err() {
            return said("BUSY");
        }
        let party = self.trail_number(&format!("client {}", a.client));
        let begun = self.held.as_mut().map(|s| s.begin(now, id, party, decision));
        if !matches!(begun, Some(Ok(_))) {
            return said("UNDERWAY");
        }
        let own = if fresh { self.new_id() } else { MsgId(id) };
        // What went before counts, unless the destination's owner said that it did not run, or it is a new effect.
        let ran = ran.filter(|at| !fresh && filed.not_seen.is_none_or(|said| *at >= said));
        let handing = Handing {
            reply: Reply { topic: a.reply.clone(), correlation: a.correlation.clone() },
            ..Handing::default()
        };
        let submission = entry_codec::to_submission(&a);
        let key = submission.key.as_ref().filter(|_| ordered).map(|k| key_of(client, k));
        self.events.push(Event::Message {
            id: own,
            class,
            tenant: client,
            key,
            dest: DestId(dest.0),
            time_left: leave_by - now,
            again: true,
        });
        let rest = Accepted {
            id: own.0,
            class: a.class.clone(),
            dest: dest.0,
            deadline: leave_by,
            replaces: if fresh { id } else { 0 },
            ..Accepted::default()
        };
        let answer_for = if fresh { 0 } else { self.answer_for(client, class, id, &submission) };
        let rest = Accepted { answer_for, ..rest };
        self.write_accepted(&from, &submission, &handing, rest);
        if let Some(at) = ran {
            let endpoint = trail.steps().find_map(|(t, w)| match w {
                What::Began(e) if t == at => self.trail_names.get(e as usize).cloned(),
                _ => None,
            });
            let endpoint = endpoint.unwrap_or_default();
            let known = self.remotes.named(&endpoint);
            let place = known.unwrap_or(heronroute::EndpointId(u32::MAX));
            self.events.push(Event::Resumed { id: own, attempts: 0, may_run: Some((place, now - at)) });
            let intent = entry::Intent { id: own.0, endpoint, at };
            self.ledger.write(|| entry::What::Intent(intent));
            self.ledger.write(|| entry::What::Outcome(entry::Outcome { id: own.0, never_ran: false }));
        }
        let mut message = self.message(&from, class, submission, &handing, self.now + (leave_by - now));
        message.answer_for = answer_for;
        message.ran_at = ran.map(|at| self.now - (now - at).max(0));
        let before = self.held.as_ref().and_then(|s| s.get(id)).and_then(|f| Trail::read(&f.trail));
        if fresh {
            // Its own trail begins with the hand-in; the old one stays without its message.
            let ended = before.unwrap_or_default();
            let dropped = self.held.as_mut().map(|s| s.end(now, id, &ended, true)).unwrap_or_default();
            self.write_released(&dropped);
            let mut trail = Trail::new(now, 0);
            trail.add(now, What::HandedIn(party), STEPS);
            message.trail = Some(Box::new(trail));
        } else {
            message.trail = before.map(Box::new);
        }
        self.hold(own, message);
        if fresh {
            self.trail_by(own);
        }
        self.stats.accepted += 1;
        (format!("id:{} stat:ENROUTE", show_id(own)), "ENROUTE")
    }
}
