//! Sending of calls and probes, and the accounting for them.

use crate::{interface::*, state::*};

/// Weight of each further message of a batch to a cold destination, in calls.
const BATCH_WEIGHT: f64 = 0.25;
/// The timeout of repeatable messages, as a multiple of the p99 latency ...
const TIMEOUT_P99_FACTOR: f64 = 4.0;
/// ... but at least this, in microseconds.
const MIN_TIMEOUT: f64 = 1.2e6;
/// The longest timeout in a guarded class, as a share of its window, so that a retry fits into the window.
const TIMEOUT_WINDOW_SHARE: f64 = 0.45;

impl Dispatcher {
    /// Probes suspected endpoints before they get a call, where probes are allowed. `last` means that
    /// everything that can be sent has been sent. Without the condition below, each sender's first suspicion
    /// would cost two calls: unless another endpoint of the pool has answered since, a pending message goes
    /// elsewhere, or is itself the trial if it may have been executed already.
    pub(super) fn probe(&mut self, dest: DestId, last: bool, out: &mut Vec<Action>) {
        let Some(destination) =
            self.destinations.get(&dest).filter(|d| self.settings.probes && !d.pending.is_empty())
        else {
            return;
        };
        let endpoints = destination.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        let healthy =
            endpoints.filter(|e| e.listed && e.suspicion.is_none()).map(|e| (e.pool, Some(e.last_success)));
        let healthy: Vec<_> = healthy.collect();
        for id in &destination.endpoints {
            let Some(endpoint) = self.endpoints.get_mut(id).filter(|e| e.listed) else { continue };
            let waits = self.pools.get(&endpoint.pool).is_none_or(|pool| self.now < pool.wait_until);
            let answered = last
                || healthy
                    .iter()
                    .any(|(pool, success)| *pool == endpoint.pool && *success > endpoint.failing_since);
            let Some(suspicion) = endpoint.suspicion.as_mut().filter(|_| !waits && answered) else {
                continue;
            };
            if !suspicion.harmless
                && !suspicion.probed
                && !suspicion.probing
                && suspicion.trial.is_none()
                && self.now >= suspicion.next_trial
            {
                suspicion.probing = true;
                out.push(Action::Probe { endpoint: *id });
            }
        }
    }

    /// Starts a call with this message and, where the kind allows batches, with other pending messages that
    /// may go to the same endpoint.
    pub(super) fn send(&mut self, id: MsgId, endpoint: EndpointId, out: &mut Vec<Action>) {
        let now = self.now;
        let e = &self.endpoints[&endpoint];
        let (dest, kind, trial) = (e.dest, e.kind, e.suspicion.is_some());
        let most =
            if trial { 1 } else { self.settings.kinds.get(kind).map_or(1, |k| k.batch.max(1)) as usize };
        let others = self.destinations[&dest].pending.iter().map(|(_, other)| *other);
        let others = others.filter(|other| *other != id && self.may_send_to(*other, endpoint, false));
        let batch: Vec<MsgId> = [id].into_iter().chain(others).take(most).collect();
        self.sequence += 1;
        let (call, unanswered) = (self.sequence, batch.len() as u32);
        self.used_slots += 1;
        let Some(e) = self.endpoints.get_mut(&endpoint) else { return };
        let Some(pool) = self.pools.get_mut(&e.pool) else { return };
        if now - e.last_used >= self.settings.idle_close && e.in_flight == 0 {
            e.connections = 0;
        }
        let idle_for = if !trial && e.in_flight < e.connections { now - e.last_used } else { 0 };
        self.calls
            .insert(call, Call { endpoint, sent_at: now, unanswered, trial, idle_for, ..Call::default() });
        e.in_flight += 1;
        e.last_used = now;
        e.connections = e.connections.max(e.in_flight.div_ceil(self.settings.streams.max(1)));
        e.suspicion.iter_mut().for_each(|s| s.trial = Some(now));
        if let Some(ramp) = &mut e.ramp {
            ramp.tokens -= 1.0 + BATCH_WEIGHT * (batch.len() - 1) as f64;
        }
        pool.in_flight += 1;
        pool.tokens -= 1.0;
        self.schedule.insert((now + pool.latency.silence() as Micros + 1, Task::CheckSilence(call)));
        let usual = (TIMEOUT_P99_FACTOR * pool.latency.p99()).max(MIN_TIMEOUT) as Micros;
        for id in batch {
            let Some(message) = self.messages.get_mut(&id) else { continue };
            let class = self.settings.classes.get(message.class).cloned().unwrap_or_default();
            let time_left = message.deadline - now;
            let timeout = match class.effect {
                Effect::Free => usual,
                Effect::Guarded => usual.min((class.window as f64 * TIMEOUT_WINDOW_SHARE) as Micros),
                Effect::SingleShot => time_left,
            };
            let timeout = timeout.clamp(1, time_left.max(1));
            message.in_flight.push(Attempt { number: message.attempts, call, sent_at: now });
            message.attempts += 1;
            self.destinations.entry(dest).and_modify(|d| _ = d.pending.remove(&(message.sequence, id)));
            out.push(Action::Send { id, endpoint, timeout });
        }
    }
}
