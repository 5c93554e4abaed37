//! Rates: budgets, pool sizes and ramps over time, and the times between trials.

use crate::{interface::*, state::*};
use std::collections::BTreeSet;

/// Safety factor of the rule by which pools are sized, as in the original design.
const POOL_SAFETY: f64 = 1.5;
/// Largest share of the slots for a sized pool, as in the original design. More can only be borrowed.
const MAX_POOL_SHARE: f64 = 0.2;
/// First time between trials, in microseconds ...
const FIRST_TRIAL_BACKOFF: Micros = 200_000;
/// ... and the longest to which the backoff grows.
pub(super) const MAX_TRIAL_BACKOFF: Micros = 2_000_000;
/// Calls per second that any destination is assumed to accept where no limit is known.
const DEFAULT_LIMIT: f64 = 3.0;
/// Share of the allowed load that this sender uses at a cold destination.
const RAMP_SAFETY: f64 = 0.75;
/// Growth of a budget per second, as a share of this sender's own demand ...
const BUDGET_GROWTH: f64 = 0.2;
/// ... or of this multiple of an equal share of the limit, if that is less, so that many budgets together
/// leave room.
const FAIR_SHARE_GROWTH: f64 = 0.5;
/// Largest share of a known limit that is used.
const MAX_LIMIT_USE: f64 = 0.95;
/// A rate in calls per second that means no limit.
pub(super) const UNLIMITED_RATE: f64 = 1e6;
/// Tokens that may accumulate, in seconds of the budget.
const BURST: f64 = 0.4;
/// At a kind where retries succeed: the first wait after a refusal, in mean latencies.
const REFUSAL_WAIT: f64 = 2.0;
/// From this share of failed retries on, refused calls are assumed to use up a kind's limits.
pub(super) const HIGH_RETRY_FAILURES: f64 = 0.5;
/// Growth of a budget per second, as a share of it, at a kind where retries succeed, once successes have made
/// up for the refusals.
const RECOVERY_GROWTH: f64 = 0.25;
/// Time between two adjustments of a pool's size, in microseconds.
pub(super) const POOL_RESIZE_INTERVAL: Micros = 500_000;

impl Dispatcher {
    /// Returns the next random number from 0 to 1.
    pub(super) fn random(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a random time until the next trial of an endpoint, in microseconds. Trials of many senders
    /// would add up: they come at random times, by this sender's share of the traffic, so that all together
    /// stay near what a cold destination can take. The cost is that a recovery is noticed late.
    pub(super) fn random_trial_gap(&mut self, id: EndpointId) -> f64 {
        let random = self.random();
        let own = self.endpoints.get(&id).map_or(0.0, |e| self.own_share(e));
        2.0 * random * 1e6 / (self.settings.cold_from * self.settings.fall_multiple * own).max(1e-3)
    }

    /// Returns this sender's share of what an endpoint accepts, in calls per second.
    fn own_share(&self, endpoint: &Endpoint) -> f64 {
        let limit = self.pools.get(&endpoint.pool).and_then(|pool| pool.limit).unwrap_or(DEFAULT_LIMIT);
        let (own, endpoints) = self
            .destinations
            .get(&endpoint.dest)
            .map_or((0.0, 1), |d| (d.share.get(self.now), d.endpoints.len()));
        let limit =
            if matches!(endpoint.pool, PoolKey::Route(_)) { limit } else { limit / endpoints.max(1) as f64 };
        (own / endpoints.max(1) as f64).max(limit / self.settings.senders as f64)
    }

    /// Updates the budgets, pools and ramps of a destination to the present.
    pub(super) fn refresh(&mut self, dest: DestId) {
        let now = self.now;
        let Some(destination) = self.destinations.get(&dest) else { return };
        let own = destination.arrivals.get(now);
        let listed =
            destination.endpoints.iter().filter_map(|id| self.endpoints.get(id)).filter(|e| e.listed);
        let suspected: BTreeSet<PoolKey> = listed.filter(|e| e.suspicion.is_some()).map(|e| e.pool).collect();
        let warm_up = self.settings.warm_up;
        // In most lists, endpoints that share a pool are adjacent: the pool is updated once.
        let mut refreshed = None;
        for id in &destination.endpoints {
            let Some(endpoint) = self.endpoints.get(id) else { continue };
            if refreshed == Some((endpoint.pool, endpoint.kind)) && endpoint.ramp.is_none() {
                continue;
            }
            refreshed = Some((endpoint.pool, endpoint.kind));
            let usual = if endpoint.ramp.is_some() { self.own_share(endpoint) } else { 0.0 };
            let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
            let Some(pool) = self.pools.get_mut(&endpoint.pool) else { continue };
            let suspected = suspected.contains(&endpoint.pool);
            let retries_fail =
                self.retry_failures.get(&endpoint.kind).is_none_or(|f| *f >= HIGH_RETRY_FAILURES);
            let cap = pool.limit.map_or(f64::INFINITY, |limit| limit * MAX_LIMIT_USE);
            let seconds = (now - pool.refilled_at) as f64 / 1e6;
            if pool.budget.is_finite() {
                let fair = pool.limit.map_or(own.max(0.2), |limit| {
                    own.min(limit / self.settings.senders as f64 * FAIR_SHARE_GROWTH)
                });
                // Senders with little traffic would otherwise stay away for longer than messages live. A
                // queue drains by itself, so where retries succeed there is one call in a time that doubles
                // with each refusal.
                let one_call =
                    1e6 / (REFUSAL_WAIT * pool.latency.mean() * pool.net_refusals.min(20.0).exp2());
                let least = if pool.net_refusals > 0.0 && !retries_fail { one_call } else { 0.0 };
                let growth = if pool.net_refusals < 1.0 && !retries_fail {
                    pool.budget * RECOVERY_GROWTH
                } else {
                    0.0
                };
                pool.budget =
                    (pool.budget + (BUDGET_GROWTH * fair + growth) * seconds).max(least).min(cap.max(0.5));
            }
            pool.refill_rate = pool.budget.min(cap).min(UNLIMITED_RATE);
            pool.tokens = (pool.tokens + pool.refill_rate * seconds).min((pool.refill_rate * BURST).max(1.0));
            pool.refilled_at = now;
            if now - pool.resized_at >= POOL_RESIZE_INTERVAL && !pool.latency.slow() && !suspected {
                pool.resized_at = now;
                let most = ((self.settings.slots as f64 * MAX_POOL_SHARE).ceil() as u32).max(1);
                let sized = (own * pool.latency.p99() / 1e6 * POOL_SAFETY).ceil() as u32;
                pool.permits = sized.clamp(1, most);
            }
            endpoint.ramp = endpoint.ramp.take().filter(|ramp| now - ramp.since < warm_up);
            let Some(ramp) = &mut endpoint.ramp else { continue };
            let share = (now - ramp.since) as f64 / warm_up.max(1) as f64;
            ramp.refill_rate = RAMP_SAFETY
                * self.settings.fall_multiple
                * (self.settings.cold_from * (1.0 - share) + share)
                * usual;
            ramp.tokens = (ramp.tokens + ramp.refill_rate * (now - ramp.refilled_at) as f64 / 1e6)
                .min(1.0_f64.max(ramp.refill_rate * 0.25));
            ramp.refilled_at = now;
        }
    }
}

impl Suspicion {
    pub(super) fn new(now: Micros, harmless: bool, gap: f64) -> Self {
        let mut suspicion = Suspicion { backoff: FIRST_TRIAL_BACKOFF / 2, harmless, ..Suspicion::default() };
        suspicion.back_off(now, gap);
        suspicion
    }
    /// Schedules the next trial after a failed trial or probe, with a longer wait.
    pub(super) fn back_off(&mut self, now: Micros, gap: f64) {
        (self.trial, self.probed) = (None, false);
        self.backoff = (self.backoff * 2).min(MAX_TRIAL_BACKOFF);
        self.next_trial = now + self.backoff.max(gap as Micros);
    }
}
