//! Outcomes of calls, and what they reveal about endpoints.

use super::{CallEnd, reply_of};
use crate::answers::MessageEnd;
use crate::calls::outcome_without_answer;
use crate::ids::ConnId;
use crate::link::Reply;
use crate::node::{ConnRole, Node, TimerKey};
use heronroute::{Event, Finality, MsgId, Outcome, UndeliveredEnd, undelivered_end};
use heronroute_held::{KnownOutcome, What as TrailStep};
use heronroute_journal::entry::{self, What};

impl Node {
    /// Reports the outcome of one message of a call to the decision library. If the message is finished with
    /// it, its client gets its final answer.
    pub(crate) fn record_outcome(&mut self, call: u64, part: usize, reply: Reply) {
        let Some(open_call) = self.calls.get(call) else { return };
        let (endpoint, began, conn) = (open_call.endpoint, open_call.began, open_call.conn);
        let Some((closed, call_ended)) = self.calls.close_part(call, part) else { return };
        self.timers.clear(TimerKey::Part(call, part));
        let attempts_index = match reply.outcome {
            Outcome::Done => 0,
            Outcome::Error => 1,
            Outcome::Busy => 2,
            Outcome::TimedOut => 3,
            Outcome::ConnectFailed => 4,
            Outcome::Reset => 5,
            Outcome::Cancelled => 6,
            Outcome::Skipped => 7,
            Outcome::Crowded => 8,
            Outcome::UnprovenBusy => 9,
        };
        self.stats.attempts[attempts_index] += 1;
        let known = match reply.outcome {
            Outcome::Done => KnownOutcome::Delivered,
            o if !o.never_ran() => KnownOutcome::Written,
            Outcome::Busy | Outcome::Crowded | Outcome::Error => KnownOutcome::Refused,
            _ => KnownOutcome::NeverWritten,
        };
        self.add_trail_step(closed.message, TrailStep::Ended(known));
        let mut message_closed = true;
        if let Some(message) = self.messages.get_mut(&closed.message) {
            message.out = None;
            if !reply.outcome.never_ran() && reply.outcome != Outcome::Done {
                message.may_have_run_since =
                    Some(message.may_have_run_since.map_or(began, |at| at.min(began)));
            }
            message_closed = reply.finality != Finality::Open;
            if !message_closed {
                let never_ran = reply.outcome.never_ran();
                self.ledger.write(|| What::Outcome(entry::Outcome { id: closed.message.0, never_ran }));
            }
        }
        self.journal_wait(endpoint, reply);
        if reply.wait > 0 {
            self.cancel_for_announced_wait(endpoint);
        }
        // Logs the decision library's view of the endpoint before it processes this outcome, for comparison
        // with what happened.
        if tracing::enabled!(tracing::Level::DEBUG) {
            let remote = &self.endpoints[endpoint];
            let sent = conn.and_then(|c| self.conns.get(&c)).map_or(0, |c| c.stream.sent);
            tracing::debug!(
                now = self.now,
                id = %self
                    .messages
                    .get(&closed.message)
                    .and_then(|message| message.submission.identity.as_deref())
                    .unwrap_or("-"),
                attempt = closed.attempt,
                endpoint = remote.name,
                conn,
                sent,
                took = self.now - began,
                outcome = ?reply.outcome,
                finality = ?reply.finality,
                wait = reply.wait,
                belief = ?self.dispatcher.belief(endpoint),
                "a call ended"
            );
        }
        self.events.push(Event::Outcome {
            id: closed.message,
            attempt: closed.attempt,
            endpoint,
            outcome: reply.outcome,
            message_closed,
            elapsed: self.now - began,
            wait: reply.wait,
            report: reply.report,
        });
        if reply.outcome == Outcome::Done {
            if !self.awaits_confirmation(closed.message) {
                self.answer(closed.message, MessageEnd::Delivered);
            }
        } else if reply.finality != Finality::Open {
            self.answer_undelivered(closed.message, reply.finality);
        }
        if !call_ended {
            return;
        }
        match conn {
            Some(conn) => {
                if self.endpoints[endpoint].pool.finish_call(conn) {
                    self.close_link(conn);
                } else if self.endpoints[endpoint].pool.call_count(conn) == 0 {
                    self.start_idle_timer(conn);
                }
                self.assign_calls(endpoint);
            }
            None => _ = self.endpoints[endpoint].pool.remove_waiting(call),
        }
    }

    /// Answers a message that may not be sent again. Where its endpoint considers it finished because its client
    /// is gone, an end is reported too: the client may have been notified of the acceptance just before, and a
    /// superfluous notice does no harm.
    pub(crate) fn answer_undelivered(&mut self, id: MsgId, finality: Finality) {
        let Some(message) = self.messages.get(&id) else { return };
        let class = &self.cfg.settings.classes[message.class];
        let end = match undelivered_end(finality, class, message.may_have_run_since.is_some()) {
            UndeliveredEnd::Returned => MessageEnd::Refused(self.cfg.settings.max_retry_after),
            UndeliveredEnd::Failed => MessageEnd::Failed,
        };
        self.answer(id, end);
    }

    /// Starts the idle timeout of a connection that carries no calls. The platform's endpoints use the same
    /// timeout, and a call that crosses their close may have run, so this side closes earlier.
    pub(crate) fn start_idle_timer(&mut self, conn: ConnId) {
        let idle = self.cfg.settings.idle_close;
        let idle = if self.cfg.platform.is_some() { idle * 4 / 5 } else { idle };
        self.timers.set(TimerKey::Idle(conn), self.now + idle);
    }

    /// Handles a message that was not sent in time, or not answered in time.
    pub(crate) fn part_timed_out(&mut self, call: u64, part: usize) {
        let Some(call_part) = self.calls.get(call).and_then(|c| c.parts.get(part)).copied() else { return };
        if self.now < call_part.deadline {
            self.timers.set(TimerKey::Part(call, part), call_part.deadline);
            self.withdraw_unsent(call, part, CallEnd::Cancelled, true);
            return;
        }
        self.abandon(call, part, CallEnd::TimedOut);
    }

    /// Stops waiting for an answer. The connection takes no more calls, because it may have been dropped
    /// unnoticed or may be blocked by this call.
    pub(crate) fn abandon(&mut self, call: u64, part: usize, end: CallEnd) {
        let Some(open_call) = self.calls.get(call) else { return };
        let (conn, endpoint) = (open_call.conn, open_call.endpoint);
        if self.cfg.platform.is_some() && open_call.parts.len() > 1 {
            return self.abandon_shared_call(call, part, end);
        }
        if let Some(conn) = conn {
            self.endpoints[endpoint].pool.retire(conn);
        }
        if !self.has_begun(call, part) && self.withdraw_unsent(call, part, end, false) {
            return;
        }
        let reply = self.reply_without_answer(call, part, end, true);
        if let Some(ConnRole::Receiver { link, .. }) =
            conn.and_then(|conn| self.conns.get_mut(&conn)).map(|entry| &mut entry.role)
        {
            link.forget(call, part, false);
        }
        // Bytes that were written, or that can't be withdrawn, may run.
        self.record_outcome(call, part, reply);
    }

    /// Returns the reply that stands for a message of a call without a complete answer. The part of an answer
    /// that has been received may have ended the message all the same.
    pub(crate) fn reply_without_answer(&self, call: u64, part: usize, end: CallEnd, begun: bool) -> Reply {
        let conn = self.calls.get(call).and_then(|open_call| open_call.conn);
        let finality = match conn.and_then(|conn| self.conns.get(&conn)).map(|entry| &entry.role) {
            Some(ConnRole::Receiver { link, .. }) if begun => link.finality_so_far(part),
            _ => Finality::Open,
        };
        Reply { finality, ..reply_of(outcome_without_answer(end, begun)) }
    }

    /// Stops waiting for the answer to a message that shares its call with others. Such a call is abandoned
    /// only as a whole, together with its connection: an abandoned message that is still on an open
    /// connection, next to others that are waited for, must not be sent again before all of them have ended.
    /// Otherwise it could run twice.
    fn abandon_shared_call(&mut self, call: u64, part: usize, end: CallEnd) {
        if !self.calls.stop_waiting(call, part, end) {
            return;
        }
        let Some(open_call) = self.calls.get(call) else { return };
        let (conn, endpoint, parts) = (open_call.conn, open_call.endpoint, open_call.parts.clone());
        let begun = self.has_begun(call, part);
        if let Some(conn) = conn {
            self.endpoints[endpoint].pool.retire(conn);
            if let (false, Some(entry)) = (begun, self.conns.get_mut(&conn)) {
                let (from, to) = parts[part].range;
                entry.stream.withdraw(from, to);
            }
        }
        for (part, p) in parts.iter().enumerate().filter(|(_, p)| p.open) {
            if !begun {
                self.record_unsent(call, part);
            }
            let reply = self.reply_without_answer(call, part, p.abandoned.unwrap_or(end), begun);
            self.record_outcome(call, part, reply);
        }
    }
}
