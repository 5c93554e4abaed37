//! Handling of events: each is recorded in the state of the dispatcher.

use crate::{interface::*, state::*};

/// A message that comes with less than this share of its class's time counts as short.
const SHORT_TIME_SHARE: f64 = 0.5;

impl Dispatcher {
    pub(super) fn handle_event(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::DirectoryUpdate { whole, entries } => {
                // The saved entries with which a restart begins don't answer a request.
                let requested = self.directory.requested;
                self.directory = Directory { subscribed: requested, requested, ..Directory::default() };
                self.update_endpoints(*whole, entries);
            }
            Event::DirectoryFailed if self.settings.discovery == Discovery::Subscribe => {
                self.retry_subscription()
            }
            Event::Message { id, .. } if self.messages.contains_key(id) => {}
            Event::Message { id, class, tenant, key, dest, time_left, again } => {
                self.sequence += 1;
                let exceeds_quota = self.exceeds_quota(*tenant);
                let (now, sequence, class, dest) = (self.now, self.sequence, *class, *dest);
                let deadline = now + (*time_left).clamp(0, MAX_DURATION);
                let key = key.clone().filter(|_| self.settings.classes.get(class).is_some_and(|c| c.ordered));
                // Without this, a message that came with little time would be taken for an old one.
                let class_time = self.settings.classes.get(class).map_or(0, |c| c.deadline);
                let short = ((deadline - now) as f64) < class_time as f64 * SHORT_TIME_SHARE;
                let age_from = if short { now } else { deadline - class_time };
                let message = Message {
                    exceeds_quota,
                    sequence,
                    class,
                    key,
                    dest,
                    deadline,
                    age_from,
                    short,
                    ..Message::default()
                };
                let queue =
                    |k: &String| self.keys.entry(k.clone()).or_default().queue.insert((sequence, *id));
                _ = message.key.as_ref().map(queue);
                let destination = self.destination(dest);
                // Resubmitted messages are no new demand: they must not enlarge the pool.
                if !again {
                    destination.arrivals.add(now);
                    destination.share.add(now);
                }
                destination.pending.insert((message.sequence, *id));
                self.ready.insert(dest);
                self.schedule.insert((message.deadline - self.settings.quantum, Task::CheckMessage(*id)));
                self.open_messages += 1;
                self.messages.insert(*id, message);
            }
            Event::Outcome { id, attempt, outcome, message_closed, elapsed, wait, report, .. } => {
                let wait = (*wait).clamp(0, MAX_DURATION);
                let result = AttemptResult { outcome: *outcome, elapsed: *elapsed, wait, report: *report };
                self.attempt_ended(*id, *attempt, *message_closed, result, out);
            }
            Event::Resumed { id, attempts, may_run } => self.resume_message(*id, *attempts, *may_run),
            Event::EndpointReplaced { endpoint, ago } => self.replace_endpoint(*endpoint, *ago),
            Event::EndpointRestored { endpoint, .. } => self.restore_endpoint(*endpoint, event),
            Event::Withdrawn { id } => self.close(*id),
            Event::Probed { endpoint, outcome, report } => {
                let (now, gap) = (self.now, self.random_trial_gap(*endpoint));
                self.apply_report(*endpoint, *report);
                let Some(e) = self.endpoints.get_mut(endpoint) else { return };
                self.ready.insert(e.dest);
                let Some(suspicion) = &mut e.suspicion else { return };
                suspicion.probing = false;
                match outcome {
                    Outcome::Done => (suspicion.probed, suspicion.next_trial) = (true, now),
                    _ => suspicion.back_off(now, gap),
                }
            }
            _ => {}
        }
    }

    fn attempt_ended(
        &mut self,
        id: MsgId,
        attempt: u32,
        message_closed: bool,
        result: AttemptResult,
        out: &mut Vec<Action>,
    ) {
        let AttemptResult { outcome, wait, .. } = result;
        let now = self.now;
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(at) = message.in_flight.iter().position(|a| a.number == attempt) else { return };
        let attempt = message.in_flight.remove(at);
        let Some(call) = self.calls.get_mut(&attempt.call) else { return };
        let (endpoint, trial, first, idle_for) = (call.endpoint, call.trial, !call.recorded, call.idle_for);
        (call.recorded, call.unanswered) = (true, call.unanswered.saturating_sub(1));
        let call_ended = call.unanswered == 0;
        if !outcome.never_ran() && outcome != Outcome::Done {
            let sent_at = message.may_run.map_or(attempt.sent_at, |m| m.0.min(attempt.sent_at));
            message.may_run = Some((sent_at, message.may_run.map_or(endpoint, |m| m.1)));
            if let Some(class) =
                self.settings.classes.get(message.class).filter(|c| c.effect == Effect::Guarded)
            {
                self.schedule.insert((sent_at + class.window, Task::CheckMessage(id)));
            }
            let key = message.key.as_ref().filter(|_| outcome != Outcome::Error);
            if let Some(key) = key.and_then(|k| self.keys.get_mut(k)) {
                key.paused_until = now + self.settings.order_settle;
            }
        }
        message.avoid = Some(endpoint);
        let closed = message_closed || outcome == Outcome::Done || message.closed;
        if let Some(e) = self.endpoints.get_mut(&endpoint).filter(|_| call_ended) {
            (e.in_flight, e.last_used) = (e.in_flight - 1, now);
            self.pools.entry(e.pool).and_modify(|pool| pool.in_flight -= 1);
            self.calls.remove(&attempt.call);
            self.used_slots -= 1;
        }
        // Each outcome of a batch may ask for a wait of its own: the longest applies, not only the first.
        let wait_until = if wait > 0 { now + wait } else { 0 };
        self.pool_of(endpoint).into_iter().for_each(|pool| pool.wait_until = pool.wait_until.max(wait_until));
        if first {
            self.apply_report(endpoint, result.report);
            self.record_result(endpoint, result, attempt.sent_at, trial, idle_for);
        }
        self.ready.extend(self.endpoints.get(&endpoint).map(|e| e.dest));
        if closed {
            self.close(id);
        } else if self.may_retry(id) {
            let (sequence, dest) = (self.messages[&id].sequence, self.messages[&id].dest);
            self.destination(dest).pending.insert((sequence, id));
        } else if self.messages[&id].in_flight.is_empty() {
            self.give_final_answer(id, out);
        }
    }

    fn apply_report(&mut self, endpoint: EndpointId, report: Option<LimitReport>) {
        let limit = report.and_then(|r| r.limit).filter(|l| l.is_finite() && *l > 0.0);
        self.pool_of(endpoint).into_iter().for_each(|pool| pool.limit = limit.or(pool.limit));
    }

    /// Restores the attempts that a message had before a restart: the rules for what may have been executed
    /// apply as before, and its key is paused.
    fn resume_message(&mut self, id: MsgId, attempts: u32, may_run: Option<(EndpointId, Micros)>) {
        let (now, settle) = (self.now, self.settings.order_settle);
        let Some(message) = self.messages.get_mut(&id).filter(|m| m.attempts == 0 && m.in_flight.is_empty())
        else {
            return;
        };
        message.attempts = attempts;
        message.may_run = may_run.map(|(at, ago)| (now - ago.clamp(0, MAX_DURATION), at));
        let Some((sent_at, _)) = message.may_run else { return };
        if let Some(class) = self.settings.classes.get(message.class).filter(|c| c.effect == Effect::Guarded)
        {
            self.schedule.insert((sent_at + class.window, Task::CheckMessage(id)));
        }
        let key = message.key.as_ref().and_then(|k| self.keys.get_mut(k));
        key.into_iter().for_each(|k| k.paused_until = now + settle);
        self.schedule.insert((now, Task::CheckMessage(id)));
    }

    /// Restores what was known of an endpoint before a restart. Without it, a restarted sender would ignore a
    /// wait, or overload a destination that it knew to be down, refusing or still cold. The ramp continues
    /// where it was.
    fn restore_endpoint(&mut self, id: EndpointId, event: &Event) {
        let Event::EndpointRestored { wait, failing_for, warming_for, budget, .. } = event else { return };
        let (now, gap, warm_up) = (self.now, self.random_trial_gap(id), self.settings.warm_up);
        let (wait_until, random) = (now + (*wait).clamp(0, MAX_DURATION), self.random());
        if let Some(pool) = self.pool_of(id) {
            pool.wait_until = pool.wait_until.max(wait_until);
            if let Some(budget) = budget.filter(|b| b.is_finite() && *b > 0.0) {
                (pool.refused, pool.refilled_at, pool.tokens) = (true, now, random - 0.5);
                pool.budget = pool.budget.min(budget);
            }
        }
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if let Some(ago) = failing_for {
            endpoint.failing_since = Some(now - (*ago).clamp(0, MAX_DURATION));
            endpoint.suspicion = Some(Suspicion::new(now, false, gap));
        }
        let since =
            warming_for.map(|ago| now - ago.clamp(0, MAX_DURATION)).filter(|since| now - since < warm_up);
        endpoint.ramp = since
            .map(|since| Ramp { since, tokens: 0.0, refill_rate: 0.0, refilled_at: now })
            .or(endpoint.ramp.take());
    }
}
