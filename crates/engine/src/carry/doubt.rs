//! Outcomes by doubtful answers: each may be a second copy of an earlier answer on its connection (`link/attribution.rs`),
//! and is believed once nothing has followed it there for a while.
//!
//! A refusal frees a message that may not simply be repeated only then. A delivery is told to the decision library at once,
//! but its message is kept until then, and goes on where the delivery is contradicted.

use super::plain;
use crate::Micros;
use crate::answers::End;
use crate::doubts::Doubt;
use crate::ids::ConnId;
use crate::link::{CONFIRMATION, Reply};
use crate::node::{CloseReason, ConnRole, Node, TimerKey};
use heronroute::{DestId, Effect, EndpointId, Event, MsgId, Outcome};

/// A doubtful delivery that is not believed this long after its message's time is reported as one that may have run. Less
/// than the time in which an end has to be reported.
const AFTER_DEADLINE: Micros = 100_000;

impl Node {
    /// A message of a call was answered, perhaps by a copy of an earlier answer.
    pub(crate) fn doubtful_outcome(&mut self, conn: ConnId, call: u64, part: usize, reply: Reply) {
        let Some(c) = self.calls.get(call) else { return };
        let (endpoint, began, message) = (c.endpoint, c.began, c.parts[part].msg);
        let Some(m) = self.messages.get(&message) else { return self.outcome(call, part, reply) };
        let effect = self.cfg.settings.classes[m.class].effect;
        let deadline = m.deadline;
        self.stats.doubtful += 1;
        if reply.outcome == Outcome::Done {
            let latest = deadline.max(self.now) + AFTER_DEADLINE;
            let due = latest.min(self.now + CONFIRMATION);
            let dest = self.endpoints[endpoint].dest;
            self.doubt(conn, due, Doubt::Delivered { message, dest, endpoint, began, latest });
        } else if reply.outcome.never_ran() && !reply.over && effect != Effect::Free {
            // The wait binds from the answer on.
            if reply.wait > 0 {
                self.wait_announced(endpoint, reply.wait);
            }
            let reply = Reply { wait: (reply.wait - CONFIRMATION).max(reply.wait.min(1)), ..reply };
            return self.doubt(conn, self.now + CONFIRMATION, Doubt::Refused { call, part, reply });
        }
        self.outcome(call, part, reply);
    }

    fn doubt(&mut self, conn: ConnId, due: Micros, doubt: Doubt) {
        self.doubts.add(conn, due, doubt);
        let next = self.doubts.next(conn).unwrap_or(due);
        self.timers.set(TimerKey::Confirm(conn), next);
    }

    /// Whether a message's delivery waits to be believed.
    pub(crate) fn awaits_confirmation(&self, message: MsgId) -> bool {
        self.doubts.is_delivered(message)
    }

    /// No call goes on a connection until its doubtful answers are believed.
    pub(crate) fn rest_unsettled(&mut self, endpoint: EndpointId, conn: ConnId) {
        self.endpoints[endpoint].pool.rest(conn);
        self.doubts.prolong(conn, self.now + CONFIRMATION);
        self.timers.set(TimerKey::Confirm(conn), self.now + CONFIRMATION);
    }

    /// Nothing has followed doubtful answers on a connection in time: they are believed.
    pub(crate) fn confirm_due(&mut self, conn: ConnId) {
        for doubt in self.doubts.take_due(conn, self.now) {
            match doubt {
                Doubt::Refused { call, part, reply } => self.outcome(call, part, reply),
                Doubt::Delivered { message, began, latest, .. } if self.now >= latest => {
                    self.report_unproven(message, began);
                }
                Doubt::Delivered { message, .. } => self.answer(message, End::Delivered),
            }
        }
        let receiver = self.conns.get(&conn).and_then(|c| match &c.role {
            ConnRole::Receiver { endpoint, link } => Some((*endpoint, link.unsettled_until())),
            _ => None,
        });
        let unsettled = receiver.and_then(|(_, until)| until).filter(|until| *until > self.now);
        if let Some(next) = [self.doubts.next(conn), unsettled].into_iter().flatten().min() {
            self.timers.set(TimerKey::Confirm(conn), next);
        }
        let Some((endpoint, _)) = receiver.filter(|_| unsettled.is_none()) else { return };
        let pool = &mut self.endpoints[endpoint].pool;
        pool.rested(conn);
        if pool.is_spent(conn) {
            self.close_link(conn);
        }
        self.place(endpoint);
    }

    /// What followed on a connection shows that the doubtful answers there may have been other calls'.
    pub(crate) fn contradicted(&mut self, conn: ConnId) {
        self.timers.clear(TimerKey::Confirm(conn));
        for doubt in self.doubts.take_due(conn, Micros::MAX) {
            self.stats.contradicted += 1;
            match doubt {
                Doubt::Refused { call, part, .. } => {
                    let message = self.calls.get(call).map(|c| c.parts[part].msg);
                    self.log_contradiction(conn, message, "refused");
                    self.outcome(call, part, plain(Outcome::Error));
                }
                Doubt::Delivered { message, dest, endpoint, began, .. } => {
                    self.log_contradiction(conn, Some(message), "delivered");
                    self.deliver_again(message, dest, endpoint, began);
                }
            }
        }
    }

    /// A delivery is not proven, and nothing more can prove it: it is reported as one that may have run. A report too many of a
    /// message that was delivered does no harm.
    fn report_unproven(&mut self, message: MsgId, began: Micros) {
        if let Some(m) = self.messages.get_mut(&message) {
            m.may_have_run_since = Some(m.may_have_run_since.map_or(began, |at| at.min(began)));
        }
        self.answer(message, End::Failed);
    }

    /// The sender itself has closed a connection that carries no call: nothing can contradict its doubtful deliveries any more.
    pub(crate) fn report_unproven_of(&mut self, conn: ConnId) {
        self.timers.clear(TimerKey::Confirm(conn));
        for doubt in self.doubts.take_due(conn, Micros::MAX) {
            if let Doubt::Delivered { message, began, .. } = doubt {
                self.report_unproven(message, began);
            }
        }
    }

    /// The endpoint's side ended a connection. Guards against a copy that stands for a call which the end leaves without an
    /// answer of its own.
    pub(crate) fn link_closed(&mut self, conn: ConnId, gone: CloseReason) {
        self.link_gone(conn, gone);
        self.contradicted(conn);
    }

    fn log_contradiction(&self, conn: ConnId, message: Option<MsgId>, answer: &str) {
        let id = message.and_then(|id| self.messages.get(&id)?.submission.identity.as_deref());
        tracing::info!(now = self.now, conn, id, answer, "a doubtful answer does not count");
    }

    /// A message counted as delivered may have been turned away, or may have run: it goes on as after a restart.
    fn deliver_again(&mut self, id: MsgId, dest: DestId, endpoint: EndpointId, began: Micros) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        m.may_have_run_since = Some(m.may_have_run_since.map_or(began, |at| at.min(began)));
        let class = &self.cfg.settings.classes[m.class];
        let time_left = m.deadline - self.now;
        if class.effect == Effect::SingleShot || time_left <= 0 {
            return self.answer(id, End::Failed);
        }
        let key = m.submission.key.clone().filter(|_| class.ordered);
        self.events.push(Event::Message {
            id,
            class: m.class,
            tenant: m.client,
            key,
            dest,
            time_left,
            again: true,
        });
        let may_run = Some((endpoint, self.now - began));
        self.events.push(Event::Resumed { id, attempts: m.attempts, may_run });
    }

    /// Closes a connection that takes no more calls and carries none, once what may still follow on it can contradict
    /// nothing.
    pub(crate) fn close_once_settled(&mut self, conn: ConnId) {
        let Some(ConnRole::Receiver { link, .. }) = self.conns.get(&conn).map(|c| &c.role) else { return };
        let Some(until) = link.unsettled_until().filter(|until| *until > self.now) else {
            return self.close_link(conn);
        };
        let next = self.doubts.next(conn).map_or(until, |next| next.min(until));
        self.timers.set(TimerKey::Confirm(conn), next);
    }
}
