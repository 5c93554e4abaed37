//! Outcomes of unconfirmed answers. Such an answer may be a second copy of an earlier answer on its
//! connection, or the answer to an earlier call (see `link/attribution.rs`).
//!
//! An unconfirmed refusal or error proves nothing about its call, which may still be out. Its connection is
//! closed before the message may be tried again, as after an attempt that may have run. An unconfirmed
//! delivery is reported to the decision library at once, so that its message is not tried again. Its message
//! continues if the delivery is contradicted soon, and is otherwise reported as one that may have run, unless
//! a later answer confirms the delivery.

use super::reply_of;
use crate::Micros;
use crate::answers::MessageEnd;
use crate::ids::ConnId;
use crate::link::{CONFIRMATION_DELAY, Reply};
use crate::node::{CloseReason, ConnRole, Node, TimerKey};
use crate::unconfirmed::UnconfirmedOutcome;
use heronroute::{AttemptEnd, DestId, Effect, EndpointId, Event, Finality, MsgId, Outcome};

/// An unconfirmed delivery that is still unconfirmed this long after its message's deadline is reported as
/// one that may have run. It is less than the time within which an end has to be reported.
const UNCONFIRMED_GRACE: Micros = 100_000;

impl Node {
    /// Handles an answer to a message of a call that may be the answer to another call.
    pub(crate) fn handle_unconfirmed_answer(&mut self, conn: ConnId, call: u64, part: usize, reply: Reply) {
        let Some(open_call) = self.calls.get(call) else { return };
        let (endpoint, began, message) = (open_call.endpoint, open_call.began, open_call.parts[part].message);
        self.stats.doubtful += 1;
        if reply.outcome != Outcome::Done {
            return self.handle_unconfirmed_refusal(conn, call, part, reply);
        }
        if let Some(entry) = self.messages.get(&message) {
            let latest = entry.deadline.max(self.now) + UNCONFIRMED_GRACE;
            let due = latest.min(self.now + CONFIRMATION_DELAY);
            let dest = self.endpoints[endpoint].dest;
            let delivery = UnconfirmedOutcome::Delivered { message, dest, endpoint, began, latest };
            let deadline = entry.deadline;
            self.add_unconfirmed(conn, due, delivery);
            self.limit_connection(conn, deadline);
        }
        self.record_outcome(call, part, reply);
    }

    /// Makes sure that a connection is closed by a deadline of a message whose call may still be out on it.
    /// Calls are written to it in the first half of that time, so that they can end in the second.
    fn limit_connection(&mut self, conn: ConnId, deadline: Micros) {
        if self.unconfirmed.limit_connection(conn, deadline) {
            self.timers.set(TimerKey::Expiry(conn), self.now + (deadline - self.now) / 2);
        }
    }

    /// Limits a connection with an unconfirmed delivery by the messages of a call that was written behind it:
    /// the endpoint may read the call only once it has ended an earlier one. Without such a delivery it has read
    /// the call at once.
    pub(crate) fn limit_connection_by(&mut self, conn: ConnId, messages: &[MsgId]) {
        // A call of one message is given up at its deadline in any case.
        if messages.len() < 2 || self.unconfirmed.expiry(conn).is_none() {
            return;
        }
        let deadlines = messages.iter().filter_map(|id| Some(self.messages.get(id)?.deadline));
        if let Some(earliest) = deadlines.min() {
            self.limit_connection(conn, earliest);
        }
    }

    /// Handles the times set by [`Self::limit_connection`].
    pub(crate) fn expire_connection(&mut self, conn: ConnId) {
        let Some(ConnRole::Receiver { endpoint, .. }) = self.conns.get(&conn).map(|c| &c.role) else {
            return;
        };
        let Some(deadline) = self.unconfirmed.expiry(conn) else { return };
        let pool = &mut self.endpoints[*endpoint].pool;
        pool.retire(conn);
        if self.now >= deadline || pool.is_closable(conn) {
            return self.close_link(conn);
        }
        self.timers.set(TimerKey::Expiry(conn), deadline);
    }

    /// Records that no call but the current one can be out on a connection any more.
    pub(crate) fn remove_expiry(&mut self, conn: ConnId) {
        self.unconfirmed.remove_expiry(conn);
        self.timers.clear(TimerKey::Expiry(conn));
    }

    /// Handles an unconfirmed answer other than a delivery. If the answer to the call before it is unconfirmed
    /// too, what follows may tell which of them belongs to which call, so the connection is kept for a while
    /// and the message is not released. A message that the answer would end is ended at once.
    fn handle_unconfirmed_refusal(&mut self, conn: ConnId, call: u64, part: usize, reply: Reply) {
        if reply.finality != Finality::Open
            && let Some(message) = self.calls.get(call).map(|open_call| open_call.parts[part].message)
        {
            self.log_end_in_doubt(conn, message, reply.finality);
        }
        if reply.finality != Finality::Open || self.unconfirmed.next(conn).is_none() {
            return self.release_unproven(conn, call, part, reply);
        }
        let Some(endpoint) = self.calls.get(call).map(|open_call| open_call.endpoint) else { return };
        if reply.wait > 0 {
            // The wait applies from the time of the answer.
            self.handle_announced_wait(endpoint, reply.wait);
        }
        let reply = Reply { wait: (reply.wait - CONFIRMATION_DELAY).max(reply.wait.min(1)), ..reply };
        let refusal = UnconfirmedOutcome::Refused { call, part, reply };
        self.add_unconfirmed(conn, self.now + CONFIRMATION_DELAY, refusal);
    }

    /// Releases a message whose call may still be out: the connection carries no further call and is closed
    /// with the last message of this one, before any of them is tried again.
    fn release_unproven(&mut self, conn: ConnId, call: u64, part: usize, reply: Reply) {
        let Some(endpoint) = self.calls.get(call).map(|open_call| open_call.endpoint) else { return };
        self.endpoints[endpoint].pool.retire(conn);
        let AttemptEnd { outcome, finality } =
            AttemptEnd { outcome: reply.outcome, finality: reply.finality }.in_doubt();
        self.record_outcome(call, part, Reply { outcome, finality, ..reply });
    }

    /// Logs that a message is ended by an answer that may be another call's.
    pub(crate) fn log_end_in_doubt(&mut self, conn: ConnId, message: MsgId, finality: Finality) {
        self.stats.ended_in_doubt += 1;
        let id = self.messages.get(&message).and_then(|m| m.submission.identity.as_deref());
        tracing::info!(
            now = self.now,
            conn,
            id,
            ?finality,
            "a message is ended by an answer that may be another call's"
        );
    }

    fn add_unconfirmed(&mut self, conn: ConnId, due: Micros, outcome: UnconfirmedOutcome) {
        self.unconfirmed.add(conn, due, outcome);
        let next = self.unconfirmed.next(conn).unwrap_or(due);
        self.timers.set(TimerKey::Confirm(conn), next);
    }

    /// Returns whether the delivery of a message is still unconfirmed.
    pub(crate) fn awaits_confirmation(&self, message: MsgId) -> bool {
        self.unconfirmed.is_unconfirmed_delivery(message)
    }

    /// Assigns no calls to a connection until its unconfirmed answers are confirmed.
    pub(crate) fn pause_until_confirmed(&mut self, endpoint: EndpointId, conn: ConnId) {
        self.endpoints[endpoint].pool.pause(conn);
        self.unconfirmed.extend(conn, self.now + CONFIRMATION_DELAY);
        self.timers.set(TimerKey::Confirm(conn), self.now + CONFIRMATION_DELAY);
    }

    /// Handles unconfirmed answers that nothing has followed for a while, which proves nothing.
    pub(crate) fn confirm_due(&mut self, conn: ConnId) {
        // The beginning of a further answer may be that of one of their own.
        match self.finality_of_rest(conn) {
            Finality::Open => self.release_due(conn),
            finality => self.handle_contradiction(conn, finality),
        }
        let receiver = self.conns.get(&conn).and_then(|c| match &c.role {
            ConnRole::Receiver { endpoint, link } => Some((*endpoint, link.unconfirmed_until())),
            _ => None,
        });
        let unconfirmed_until = receiver.and_then(|(_, until)| until).filter(|until| *until > self.now);
        if let Some(next) = [self.unconfirmed.next(conn), unconfirmed_until].into_iter().flatten().min() {
            self.timers.set(TimerKey::Confirm(conn), next);
        }
        let Some((endpoint, _)) = receiver.filter(|_| unconfirmed_until.is_none()) else { return };
        let pool = &mut self.endpoints[endpoint].pool;
        pool.resume(conn);
        if pool.is_closable(conn) {
            self.close_link(conn);
        }
        self.assign_calls(endpoint);
    }

    /// Releases the messages whose unconfirmed answers nothing has followed in time.
    fn release_due(&mut self, conn: ConnId) {
        for outcome in self.unconfirmed.take_due(conn, self.now) {
            match outcome {
                UnconfirmedOutcome::Refused { call, part, reply } => {
                    self.release_unproven(conn, call, part, reply);
                }
                UnconfirmedOutcome::Delivered { message, began, .. } => {
                    self.report_possibly_run(message, began);
                }
            }
        }
    }

    /// Returns whether messages of a connection's earlier calls may be sent again, by the answer that has begun there.
    fn finality_of_rest(&self, conn: ConnId) -> Finality {
        match self.conns.get(&conn).map(|c| &c.role) {
            Some(ConnRole::Receiver { link, .. }) => link.finality_of_earlier(),
            _ => Finality::Open,
        }
    }

    /// Keeps a connection, without further calls, until the answer that has begun on it has arrived.
    pub(crate) fn await_rest(&mut self, endpoint: EndpointId, conn: ConnId, until: Micros) {
        self.endpoints[endpoint].pool.retire(conn);
        self.unconfirmed.extend(conn, until);
        let next = self.unconfirmed.next(conn).unwrap_or(until);
        self.timers.set(TimerKey::Confirm(conn), next.min(until));
    }

    /// Accepts the unconfirmed deliveries of a connection on which a later answer certainly was its call's own:
    /// answers arrive in the order of the calls.
    pub(crate) fn confirm_deliveries(&mut self, conn: ConnId) {
        self.remove_expiry(conn);
        for outcome in self.unconfirmed.take_due(conn, Micros::MAX) {
            match outcome {
                UnconfirmedOutcome::Refused { call, part, reply } => {
                    self.release_unproven(conn, call, part, reply);
                }
                UnconfirmedOutcome::Delivered { message, .. } => self.answer(message, MessageEnd::Delivered),
            }
        }
    }

    /// Handles the case that later bytes on a connection show that its unconfirmed answers may belong to
    /// other calls. `finality` says whether the messages may be sent again if those bytes are their answers.
    pub(crate) fn handle_contradiction(&mut self, conn: ConnId, finality: Finality) {
        self.timers.clear(TimerKey::Confirm(conn));
        for outcome in self.unconfirmed.take_due(conn, Micros::MAX) {
            self.stats.contradicted += 1;
            match outcome {
                UnconfirmedOutcome::Refused { call, part, .. } => {
                    let message = self.calls.get(call).map(|open_call| open_call.parts[part].message);
                    self.log_contradiction(conn, message, "refused", finality);
                    let end = AttemptEnd { outcome: Outcome::Error, finality }.in_doubt();
                    let reply = Reply { finality, ..reply_of(end.outcome) };
                    self.record_outcome(call, part, reply);
                }
                UnconfirmedOutcome::Delivered { message, dest, endpoint, began, .. } => {
                    self.log_contradiction(conn, Some(message), "delivered", finality);
                    match finality {
                        Finality::Open => self.resume_message(message, dest, endpoint, began),
                        Finality::Exhausted | Finality::Over => self.report_possibly_run(message, began),
                    }
                }
            }
        }
    }

    /// Reports a delivery that is not confirmed as one that may have run. Reporting a delivered message this
    /// way does no harm.
    fn report_possibly_run(&mut self, message: MsgId, began: Micros) {
        self.stats.unproven_deliveries += 1;
        if let Some(entry) = self.messages.get_mut(&message) {
            entry.may_have_run_since = Some(entry.may_have_run_since.map_or(began, |at| at.min(began)));
        }
        self.answer(message, MessageEnd::Failed);
    }

    /// Reports the unconfirmed deliveries of a connection that this sender closed and that carries no call.
    /// Nothing can contradict or confirm them any more.
    pub(crate) fn report_unconfirmed_deliveries(&mut self, conn: ConnId) {
        self.timers.clear(TimerKey::Confirm(conn));
        for outcome in self.unconfirmed.take_due(conn, Micros::MAX) {
            if let UnconfirmedOutcome::Delivered { message, began, .. } = outcome {
                self.report_possibly_run(message, began);
            }
        }
    }

    /// Handles a connection that the endpoint ended. Its unconfirmed answers count as contradicted, because
    /// one of them may be a copy that was taken for the answer of a call which gets none of its own.
    pub(crate) fn link_closed(&mut self, conn: ConnId, gone: CloseReason) {
        let finality = self.finality_of_rest(conn);
        self.remove_link(conn, gone);
        self.handle_contradiction(conn, finality);
        self.start_delayed_calls(conn);
    }

    fn log_contradiction(&self, conn: ConnId, message: Option<MsgId>, answer: &str, finality: Finality) {
        let id = message.and_then(|id| self.messages.get(&id)?.submission.identity.as_deref());
        tracing::info!(now = self.now, conn, id, answer, ?finality, "an unconfirmed answer was contradicted");
    }

    /// Resumes a message that counted as delivered but may have been rejected, or may have run, in the same
    /// way as after a restart.
    fn resume_message(&mut self, id: MsgId, dest: DestId, endpoint: EndpointId, began: Micros) {
        let Some(entry) = self.messages.get_mut(&id) else { return };
        entry.may_have_run_since = Some(entry.may_have_run_since.map_or(began, |at| at.min(began)));
        let class = &self.cfg.settings.classes[entry.class];
        let time_left = entry.deadline - self.now;
        if class.effect == Effect::SingleShot || time_left <= 0 {
            return self.answer(id, MessageEnd::Failed);
        }
        let key = entry.submission.key.clone().filter(|_| class.ordered);
        self.events.push(Event::Message {
            id,
            class: entry.class,
            tenant: entry.client,
            key,
            dest,
            time_left,
            again: true,
        });
        let may_run = Some((endpoint, self.now - began));
        self.events.push(Event::Resumed { id, attempts: entry.attempts, may_run });
    }
}
