//! How calls end, and what is learned about endpoints from it.

use super::plain;
use crate::answers::End;
use crate::calls::{End as CallEnd, outcome_of};
use crate::ids::ConnId;
use crate::link::Reply;
use crate::node::{ConnRole, Node, TimerKey};
use heronroute::{Event, Outcome};
use heronroute_held::{Known, What as Trailed};
use heronroute_journal::entry::{self, What};

impl Node {
    /// Reports the outcome of one message of a call to the decision library. Where the message is over with it, its
    /// client is answered.
    pub(crate) fn outcome(&mut self, call: u64, part: usize, reply: Reply) {
        let Some(c) = self.calls.get(call) else { return };
        let (endpoint, began, conn) = (c.endpoint, c.began, c.conn);
        let Some((p, over)) = self.calls.close(call, part) else { return };
        self.timers.clear(TimerKey::Part(call, part));
        let at = match reply.outcome {
            Outcome::Done => 0,
            Outcome::Error => 1,
            Outcome::Busy => 2,
            Outcome::TimedOut => 3,
            Outcome::ConnectFailed => 4,
            Outcome::Reset => 5,
            Outcome::Cancelled => 6,
            Outcome::Skipped => 7,
            Outcome::Crowded => 8,
        };
        self.stats.attempts[at] += 1;
        let known = match reply.outcome {
            Outcome::Done => Known::Took,
            o if !o.never_ran() => Known::Written,
            Outcome::Busy | Outcome::Crowded | Outcome::Error => Known::Refused,
            _ => Known::NeverWritten,
        };
        self.add_trail_step(p.msg, Trailed::Ended(known));
        let mut last = true;
        if let Some(m) = self.messages.get_mut(&p.msg) {
            m.out = None;
            if !reply.outcome.never_ran() && reply.outcome != Outcome::Done {
                m.may_have_run_since = Some(m.may_have_run_since.map_or(began, |at| at.min(began)));
            }
            last = reply.over;
            if !last {
                let never_ran = reply.outcome.never_ran();
                self.ledger.write(|| What::Outcome(entry::Outcome { id: p.msg.0, never_ran }));
            }
        }
        self.note_wait(endpoint, reply);
        if reply.wait > 0 {
            self.cancel_for_wait(endpoint);
        }
        // What the library believed before it hears of this, to be held against what passed.
        if tracing::enabled!(tracing::Level::DEBUG) {
            let remote = &self.endpoints[endpoint];
            let sent = conn.and_then(|c| self.conns.get(&c)).map_or(0, |c| c.stream.sent);
            tracing::debug!(
                now = self.now,
                id = %self.messages.get(&p.msg).and_then(|m| m.submission.identity.as_deref()).unwrap_or("-"),
                attempt = p.attempt,
                endpoint = remote.name,
                conn,
                sent,
                took = self.now - began,
                outcome = ?reply.outcome,
                over = reply.over,
                wait = reply.wait,
                belief = ?self.dispatcher.belief(endpoint),
                "a call ended"
            );
        }
        self.events.push(Event::Outcome {
            id: p.msg,
            attempt: p.attempt,
            endpoint,
            outcome: reply.outcome,
            last,
            elapsed: self.now - began,
            wait: reply.wait,
            report: reply.report,
        });
        if reply.outcome == Outcome::Done {
            if !self.awaits_confirmation(p.msg) {
                self.answer(p.msg, End::Delivered);
            }
        } else if reply.over {
            // The platform holds it for over: its client went. Guards against one that was notified of the acceptance
            // just then, for whom an end is awaited: a notice too many does no harm.
            self.answer(p.msg, End::Failed);
        }
        if !over {
            return;
        }
        match conn {
            Some(conn) => {
                if self.endpoints[endpoint].pool.finished(conn) {
                    self.close_once_settled(conn);
                } else if self.endpoints[endpoint].pool.calls(conn) == 0 {
                    self.rests(conn);
                }
                self.place(endpoint);
            }
            None => _ = self.endpoints[endpoint].pool.remove_waiting(call),
        }
    }

    /// A connection carries nothing: it is closed after a while. The platform's endpoints close theirs after the same
    /// time, and what crosses that may have run: guards against it by being earlier.
    pub(crate) fn rests(&mut self, conn: ConnId) {
        let idle = self.cfg.settings.idle_close;
        let idle = if self.cfg.platform.is_some() { idle * 4 / 5 } else { idle };
        self.timers.set(TimerKey::Idle(conn), self.now + idle);
    }

    /// A message's time to leave is over, or its time to be answered.
    pub(crate) fn part_timed_out(&mut self, call: u64, part: usize) {
        let Some(p) = self.calls.get(call).and_then(|c| c.parts.get(part)).copied() else { return };
        if self.now < p.until {
            self.timers.set(TimerKey::Part(call, part), p.until);
            self.withdraw_unsent(call, part, CallEnd::Cancelled, true);
            return;
        }
        self.abandon(call, part, CallEnd::TimedOut);
    }

    /// Stops waiting for an answer. The connection takes no more calls: it may be dead, or stuck behind this one.
    /// Guards against reuse of connections that were dropped unnoticed.
    pub(crate) fn abandon(&mut self, call: u64, part: usize, end: CallEnd) {
        let Some(c) = self.calls.get(call) else { return };
        let (conn, endpoint) = (c.conn, c.endpoint);
        if self.cfg.platform.is_some() && c.parts.len() > 1 {
            return self.abandon_shared(call, part, end);
        }
        if let Some(conn) = conn {
            self.endpoints[endpoint].pool.suspect(conn);
        }
        if !self.begun(call, part) && self.withdraw_unsent(call, part, end, false) {
            return;
        }
        if let Some(ConnRole::Receiver { link, .. }) =
            conn.and_then(|conn| self.conns.get_mut(&conn)).map(|entry| &mut entry.role)
        {
            link.forget(call, part, false);
        }
        // What has been written, or can't be cancelled, may run.
        self.outcome(call, part, plain(outcome_of(end, true)));
    }

    /// The same where messages share a call, which is abandoned only as a whole, with its connection. Guards against a
    /// second copy: an abandoned message that is still out on an open connection, beside others that are waited for,
    /// must not be sent again before all of them are over.
    fn abandon_shared(&mut self, call: u64, part: usize, end: CallEnd) {
        if !self.calls.stop_waiting(call, part, end) {
            return;
        }
        let Some(c) = self.calls.get(call) else { return };
        let (conn, endpoint, parts) = (c.conn, c.endpoint, c.parts.clone());
        let begun = self.begun(call, part);
        if let Some(conn) = conn {
            self.endpoints[endpoint].pool.suspect(conn);
            if let (false, Some(entry)) = (begun, self.conns.get_mut(&conn)) {
                let (from, to) = parts[part].range;
                entry.stream.withdraw(from, to);
            }
        }
        for (part, p) in parts.iter().enumerate().filter(|(_, p)| p.open) {
            self.outcome(call, part, plain(outcome_of(p.abandoned.unwrap_or(end), begun)));
        }
    }
}
