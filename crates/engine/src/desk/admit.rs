//! Whether a message is accepted, on which terms, and its acceptance.

use super::{From, Terms};
use crate::front::{Handing, No};
use crate::ids::key_of;
use crate::limits::Refusal;
use crate::node::{Effect, Node, Use};
use heronroute::Event;
use heronroute_journal::entry::Accepted;
use heronroute_smpp::submission::Submission;

/// Worth of what may be lost by its own protocol, beside the same that may not.
const LIGHT: f64 = 0.5;

impl Node {
    /// Whether a message is accepted, and on which terms. Nothing is counted before everything is known to be right.
    pub(crate) fn judge(&mut self, from: &From, submission: &Submission, light: bool) -> Result<Terms, No> {
        let named = self.class_names.get(&submission.service).copied();
        let class = named.or(submission.service.is_empty().then_some(0)).ok_or(No::Class)?;
        let dest = self.routes.find(&submission.destination).ok_or(No::Address)?;
        let deadline = self.cfg.settings.classes[class].deadline;
        let keep = self.rule_terms_for(from.client, class, submission);
        let deadline = keep.validity.map_or(deadline, |v| v.min(deadline));
        let span = submission.validity.map_or(deadline, |v| v.min(deadline));
        if span <= 0 {
            return Err(No::Time);
        }
        if self.ledger.refuses(self.now, self.messages.len(), submission.body.len()) {
            return Err(No::Room);
        }
        self.admit(from, class, light)?;
        Ok(Terms { class, dest, span, keep })
    }

    /// Takes a message on.
    pub(crate) fn take_on(
        &mut self,
        from: From,
        mut submission: Submission,
        handing: &Handing,
        terms: Terms,
    ) {
        let Terms { class, dest, span, keep } = terms;
        let id = self.new_id();
        let ordered = self.cfg.settings.classes[class].ordered;
        submission.key = submission.key.filter(|_| ordered);
        let key = submission.key.as_ref().map(|k| key_of(from.client, k));
        self.stats.accepted += 1;
        self.events.push(Event::Message {
            id,
            class,
            tenant: from.client,
            key,
            dest,
            time_left: span,
            again: submission.again,
        });
        let named = self.remember(&from, handing, id, keep);
        // Only a message with a name can be submitted once more.
        let answer_for = if named.is_some() { keep.answer_for } else { 0 };
        self.write_accepted(
            &from,
            &submission,
            handing,
            Accepted {
                id: id.0,
                class: self.cfg.class_names[class].clone(),
                dest: dest.0,
                deadline: self.wall() + span,
                named,
                answer_for,
                ..Accepted::default()
            },
        );
        let mut message = self.message(&from, class, submission, handing, self.now + span);
        message.answer_for = answer_for;
        let waits = message.reply.is_some();
        self.hold(id, message);
        self.trail_by(id);
        if let Some(conn) = from.conn.filter(|_| !waits) {
            self.once_durable(Effect::Accept { conn, token: from.token, id });
        }
    }

    /// Whether there is room for one more of this client, front and session.
    pub(crate) fn admit(&mut self, from: &From, class: usize, light: bool) -> Result<(), No> {
        let mut held = self.held(from.client, class);
        if light {
            // What may be lost by its own protocol goes first.
            held.worth *= LIGHT;
        }
        let conn = from.conn.and_then(|c| self.conns.get_mut(&c)).map(|c| &mut c.what);
        let mut own = false;
        let (front, session) = match conn {
            Some(Use::Client { speaks, open, shedding, .. }) => (Some(*speaks), Some((*open, shedding))),
            _ => (None, None),
        };
        if let Some(speaks) = front {
            held.front = Some((speaks as usize, self.open_of[speaks as usize]));
        }
        let (of_session, shedding) = session.unwrap_or((0, &mut own));
        held.of_session = of_session;
        held.sessions = self.clients[from.client].conns;
        let result = self.limits.admit(self.now, from.client, held, shedding);
        result.map_err(|refusal| match refusal {
            Refusal::Rate => No::Rate,
            Refusal::Share => No::Share,
            Refusal::Room | Refusal::Leaving => No::Room,
        })
    }
}
