//! The health of an endpoint: what outcomes and silence say about it, and when it is suspected to have
//! failed.

use super::{estimate::MIN_SILENCE, overload::CANCEL_AFTER, overload::REFUSED_CONNECTION_MEMORY};
use super::{pace::HIGH_RETRY_FAILURES, pace::MAX_TRIAL_BACKOFF};
use crate::{interface::*, state::*};

/// Weight of an outcome in the share of failures. Two failures in a row exceed one half.
const FAILURE_GAIN: f64 = 0.3;
/// Share of failures above which an endpoint is suspected.
const SUSPICION_THRESHOLD: f64 = 0.5;
/// Failures for this long, in microseconds, may have been an outage: the return is gradual.
const COLD_AFTER: Micros = 1_500_000;
/// Budget after a refusal, as a share of the rate that was accepted.
const BUDGET_CUT: f64 = 0.75;
/// Smallest budget after a refusal, as a share of this sender's own demand: a sender with more traffic keeps
/// more.
const MIN_BUDGET_SHARE: f64 = 0.4;
/// Growth of a budget with each accepted call, as a share of it.
const ACCEPTED_GROWTH: f64 = 0.07;
/// Amount by which a successful retry lowers the retry failures of its kind. A refused one raises them by
/// four times this.
const RETRY_GAIN: f64 = 0.03;
/// Pause after a refusal that asked for no wait, in microseconds.
const REFUSAL_PAUSE: Micros = 250_000;

impl Dispatcher {
    /// Records what the end of one call says about its endpoint and pool.
    pub(super) fn record_result(
        &mut self,
        id: EndpointId,
        result: AttemptResult,
        sent_at: Micros,
        trial: bool,
        idle_for: Micros,
    ) {
        let AttemptResult { outcome, elapsed, wait, .. } = result;
        let now = self.now;
        if idle_for > 0
            && matches!(outcome, Outcome::Reset | Outcome::TimedOut)
            && self.blame_idle_connection(id)
        {
            return;
        }
        let (gap, random) = (self.random_trial_gap(id), self.random());
        self.idle_candidates.insert(id);
        self.refresh(self.endpoints.get(&id).map_or_else(DestId::default, |e| e.dest));
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let Some(pool) = self.pools.get_mut(&endpoint.pool) else { return };
        let retry_failures = self.retry_failures.entry(endpoint.kind).or_insert(HIGH_RETRY_FAILURES);
        let slow = outcome == Outcome::ConnectFailed && elapsed >= MIN_SILENCE as Micros;
        self.refused_connections
            .extend((outcome == Outcome::ConnectFailed && !slow).then_some((endpoint.kind, now)));
        match outcome {
            Outcome::Done => {
                pool.latency.add(elapsed);
                pool.accepted.add(now);
                pool.budget *= 1.0 + ACCEPTED_GROWTH;
                *retry_failures = (*retry_failures - if pool.refused { RETRY_GAIN } else { 0.0 }).max(0.0);
                (pool.refused, pool.net_refusals) = (false, (pool.net_refusals - 1.0).max(0.0));
                // The success of a call sent earlier does not disprove an outage whose end was announced for
                // much later.
                let closed = pool.wait_until > now + MAX_TRIAL_BACKOFF;
                let first =
                    endpoint.failing_since.filter(|f| sent_at >= *f || (now - f < COLD_AFTER && !closed));
                endpoint.last_success = now;
                endpoint.failure_share *= 1.0 - FAILURE_GAIN;
                endpoint
                    .suspicion
                    .iter_mut()
                    .filter(|_| trial)
                    .for_each(|s| (s.trial, s.next_trial) = (None, now));
                if endpoint.failure_share < SUSPICION_THRESHOLD && (trial || first.is_some()) {
                    let ramp = Ramp { since: now, tokens: 0.0, refill_rate: 0.0, refilled_at: now };
                    endpoint.ramp = endpoint
                        .failing_since
                        .filter(|f| now - f >= COLD_AFTER)
                        .map(|_| ramp)
                        .or(endpoint.ramp.take());
                    (endpoint.suspicion, endpoint.failing_since) = (None, None);
                }
                return;
            }
            Outcome::Skipped | Outcome::Cancelled => {
                return endpoint.suspicion.iter_mut().filter(|_| trial).for_each(|s| s.trial = None);
            }
            Outcome::Busy | Outcome::UnprovenBusy => {
                pool.wait_until = pool.wait_until.max(now + if wait == 0 { REFUSAL_PAUSE } else { 0 });
                *retry_failures =
                    (*retry_failures + if pool.refused { 4.0 * RETRY_GAIN } else { 0.0 }).min(1.0);
                pool.refused = true;
                if now - pool.budget_cut_at > REFUSAL_PAUSE {
                    pool.budget_cut_at = now;
                    let limit = pool.limit.unwrap_or(f64::INFINITY);
                    let own = self.destinations.get(&pool.dest).map_or(0.0, |d| d.share.get(now));
                    let least = (own * MIN_BUDGET_SHARE).min(limit / self.settings.senders as f64).max(0.01);
                    let from = pool.budget.min(limit).min(pool.accepted.get(now).max(least));
                    pool.budget = (from * BUDGET_CUT).max(least);
                    pool.net_refusals += 1.0;
                    pool.tokens = pool.tokens.min(random - 0.5);
                }
            }
            // The idle connections of a few senders could fill the endpoint's connection table permanently.
            // This is neither an outage nor a rate limit: the sender closes all its idle connections at that
            // kind, and retries soon.
            Outcome::Crowded => {
                let (kind, pause) = (endpoint.kind, REFUSAL_PAUSE as f64 * (0.5 + random));
                pool.wait_until = pool.wait_until.max(now + pause as Micros);
                endpoint.suspicion.iter_mut().filter(|_| trial).for_each(|s| s.trial = None);
                let new = self
                    .refused_connections
                    .insert(kind, now)
                    .is_none_or(|t| now - t > REFUSED_CONNECTION_MEMORY);
                let all = new.then_some(&self.endpoints).into_iter().flatten();
                return self.idle_candidates.extend(all.filter(|(_, e)| e.kind == kind).map(|(id, _)| *id));
            }
            // Another call has succeeded since: the connection table is full.
            Outcome::ConnectFailed if endpoint.last_success > sent_at => {
                return endpoint.connection_refused_at = Some(now);
            }
            _ => {}
        }
        // A connection that timed out, rather than being refused at once, is silence: it counts twice.
        endpoint.failure_share += FAILURE_GAIN * (1.0 + f64::from(slow)) * (1.0 - endpoint.failure_share);
        // A single refusal may be due to the limit and needs no ramp. With a long wait the endpoint is
        // closed: all who were given the same end of the wait would return at once, so each adds a random gap
        // of its own.
        let closed = wait > MAX_TRIAL_BACKOFF;
        let is_busy = matches!(outcome, Outcome::Busy | Outcome::UnprovenBusy);
        endpoint.failing_since = endpoint
            .failing_since
            .or((!is_busy || closed || endpoint.failure_share > SUSPICION_THRESHOLD).then_some(now));
        if let Some(suspicion) = &mut endpoint.suspicion {
            suspicion.harmless &= is_busy || outcome.never_ran();
            if trial {
                suspicion.back_off(now, gap);
            }
        } else if closed || endpoint.failure_share > SUSPICION_THRESHOLD {
            endpoint.suspicion = Some(Suspicion::new(now, is_busy || outcome.never_ran(), gap));
        }
        endpoint
            .suspicion
            .iter_mut()
            .filter(|_| closed)
            .for_each(|s| s.next_trial = now + wait + gap as Micros);
        if closed {
            self.delay_other_endpoints(id, wait, |_| true);
        }
    }

    /// Suspects the other endpoints of a destination for which `applies` holds, after one announced an outage
    /// or fell silent: each waits a random gap and is then loaded gradually. Otherwise all senders would call
    /// them at once. Returns whether there are any.
    fn delay_other_endpoints(
        &mut self,
        id: EndpointId,
        wait: Micros,
        applies: impl Fn(&Endpoint) -> bool,
    ) -> bool {
        let Some(PoolKey::Destination(dest)) = self.endpoints.get(&id).map(|e| e.pool) else { return false };
        let endpoints = self.destinations.get(&dest).into_iter().flat_map(|d| d.endpoints.iter().copied());
        let others: Vec<_> =
            endpoints.filter(|o| *o != id && self.endpoints.get(o).is_some_and(&applies)).collect();
        for other in &others {
            let (now, gap) = (self.now, self.random_trial_gap(*other));
            let Some(endpoint) = self.endpoints.get_mut(other) else { continue };
            endpoint.failing_since = endpoint.failing_since.or(Some(now));
            let suspicion = endpoint.suspicion.get_or_insert_with(|| Suspicion::new(now, true, gap));
            suspicion.next_trial = suspicion.next_trial.max(now + wait + gap as Micros);
        }
        !others.is_empty()
    }

    /// Attributes a failure to the connection and not to the endpoint, unless another call has failed since.
    /// Idle connections may be dropped unnoticed: the next call on one then ends in silence or a reset. For a
    /// while no idle connections are kept at that kind, and the next call, on a new connection, decides. The
    /// cost is that one call of an outage is missed. Returns whether the failure was attributed to the
    /// connection.
    fn blame_idle_connection(&mut self, id: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&id).filter(|e| e.failure_share < FAILURE_GAIN) else {
            return false;
        };
        endpoint.failure_share += FAILURE_GAIN;
        self.refused_connections.insert(endpoint.kind, self.now);
        (endpoint.connections, endpoint.connection_refused_at) = (0, Some(self.now));
        self.ready.insert(endpoint.dest);
        self.idle_candidates.insert(id);
        true
    }

    /// Suspects the endpoint of a call that has been silent for longer than usual, and backs off if the call
    /// is a trial.
    pub(super) fn check_silence(&mut self, id: u64) {
        let now = self.now;
        let Some(&Call { endpoint: endpoint_id, sent_at, idle_for, .. }) = self.calls.get(&id) else {
            return;
        };
        let gap = self.random_trial_gap(endpoint_id);
        let silence = self.pool_of(endpoint_id).map_or(MIN_SILENCE, |pool| pool.latency.silence());
        let Some(endpoint) = self.endpoints.get(&endpoint_id) else { return };
        let (limit, longest) = (silence as Micros + 1, (silence * CANCEL_AFTER) as Micros + 1);
        let next = if now - sent_at < limit { limit } else { longest };
        self.schedule.extend((now - sent_at < longest).then_some((sent_at + next, Task::CheckSilence(id))));
        let (last_success, new) = (Some(endpoint.last_success), endpoint.suspicion.is_none());
        if now - sent_at < limit
            || last_success > Some(sent_at)
            || (idle_for > 0 && self.blame_idle_connection(endpoint_id))
        {
            return;
        }
        // A newly suspected endpoint is tested soon, unless another endpoint has failed since this one
        // answered: then all of them seem to be out, and the trials of all senders would come on top of the
        // calls by which each of them notices the outage.
        let failed = |o: &Endpoint| o.listed && o.suspicion.is_some() && o.failing_since > last_success;
        let first_gap = if new && self.delay_other_endpoints(endpoint_id, 0, failed) { gap } else { 0.0 };
        let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) else { return };
        self.ready.insert(endpoint.dest);
        endpoint.failing_since = endpoint.failing_since.or(Some(now));
        match &mut endpoint.suspicion {
            None => endpoint.suspicion = Some(Suspicion::new(now, false, first_gap)),
            Some(suspicion) if suspicion.trial.is_some_and(|s| s == sent_at) => {
                suspicion.harmless = false;
                suspicion.back_off(now, gap);
            }
            _ => {}
        }
    }
}
