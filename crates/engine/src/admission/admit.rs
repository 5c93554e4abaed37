//! Admission of messages: whether a message is accepted, on which terms, and its acceptance.

use super::{Origin, Terms};
use crate::front::{RejectReason, SubmissionContext};
use crate::ids::scoped_key;
use crate::limits::Refusal;
use crate::node::{ConnRole, Effect, Node};
use heronroute::Event;
use heronroute_journal::entry::Accepted;
use heronroute_smpp::submission::Submission;

/// The worth of a message that its protocol allows to be lost (MQTT QoS 0), relative to one that it does not.
const LOSSY_WORTH_FACTOR: f64 = 0.5;

impl Node {
    /// Checks whether a message is accepted, and on which terms. Rate and room are counted only once all
    /// other checks have passed.
    pub(crate) fn check_submission(
        &mut self,
        from: &Origin,
        submission: &Submission,
        may_be_lost: bool,
    ) -> Result<Terms, RejectReason> {
        let named = self.class_names.get(&submission.service).copied();
        let class = named.or(submission.service.is_empty().then_some(0)).ok_or(RejectReason::Class)?;
        let dest = self.routes.find(&submission.destination).ok_or(RejectReason::Address)?;
        let deadline = self.cfg.settings.classes[class].deadline;
        let keep = self.rule_terms_for(from.client, class, submission);
        let deadline = keep.validity.map_or(deadline, |v| v.min(deadline));
        let time_left = submission.validity.map_or(deadline, |v| v.min(deadline));
        if time_left <= 0 {
            return Err(RejectReason::Time);
        }
        if self.ledger.refuses(self.now, self.messages.len(), submission.body.len()) {
            return Err(RejectReason::Room);
        }
        self.admit(from, class, may_be_lost)?;
        Ok(Terms { class, dest, time_left, keep })
    }

    /// Accepts a message that passed [`Node::check_submission`].
    pub(crate) fn accept_message(
        &mut self,
        from: Origin,
        mut submission: Submission,
        context: &SubmissionContext,
        terms: Terms,
    ) {
        let Terms { class, dest, time_left, keep } = terms;
        let id = self.new_id();
        let ordered = self.cfg.settings.classes[class].ordered;
        submission.key = submission.key.filter(|_| ordered);
        let key = submission.key.as_ref().map(|k| scoped_key(from.client, k));
        self.stats.accepted += 1;
        self.events.push(Event::Message {
            id,
            class,
            tenant: from.client,
            key,
            dest,
            time_left,
            again: submission.again,
        });
        let named = self.remember_submission(&from, context, id, keep);
        // Only a message with a client-given name can be submitted again.
        let answer_for = if named.is_some() { keep.answer_for } else { 0 };
        self.write_accepted(
            &from,
            &submission,
            context,
            Accepted {
                id: id.0,
                class: self.cfg.class_names[class].clone(),
                dest: dest.0,
                deadline: self.wall() + time_left,
                named,
                answer_for,
                ..Accepted::default()
            },
        );
        let mut message = self.new_message(&from, class, submission, context, self.now + time_left);
        message.answer_for = answer_for;
        let answered_later = message.reply.is_some();
        self.add_open_message(id, message);
        self.set_trail_origin(id);
        if let Some(conn) = from.conn.filter(|_| !answered_later) {
            self.once_durable(Effect::ReportAcceptance { conn, token: from.token, id });
        }
    }

    /// Checks whether there is room for another message of this client, front and session.
    pub(crate) fn admit(
        &mut self,
        from: &Origin,
        class: usize,
        may_be_lost: bool,
    ) -> Result<(), RejectReason> {
        let mut occupancy = self.occupancy(from.client, class);
        if may_be_lost {
            // Messages that their protocol allows to be lost are refused first.
            occupancy.worth *= LOSSY_WORTH_FACTOR;
        }
        let conn = from.conn.and_then(|c| self.conns.get_mut(&c)).map(|c| &mut c.role);
        let mut no_session = false;
        let (front, session) = match conn {
            Some(ConnRole::Client { speaks, open, shedding, .. }) => (Some(*speaks), Some((*open, shedding))),
            _ => (None, None),
        };
        if let Some(speaks) = front {
            occupancy.front = Some((speaks as usize, self.open_by_front[speaks as usize]));
        }
        let (of_session, shedding) = session.unwrap_or((0, &mut no_session));
        occupancy.of_session = of_session;
        occupancy.sessions = self.clients[from.client].admitted_conns;
        let result = self.limits.admit(self.now, from.client, occupancy, shedding);
        result.map_err(|refusal| match refusal {
            Refusal::Rate => RejectReason::Rate,
            Refusal::Share => RejectReason::Share,
            Refusal::Room | Refusal::Leaving => RejectReason::Room,
        })
    }
}
