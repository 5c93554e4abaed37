//! The directory: subscribing to it, applying its entries, and removing what it no longer lists.

use super::{pace::POOL_RESIZE_INTERVAL, pace::UNLIMITED_RATE};
use crate::{interface::*, state::*};

/// Share of the slots for a new pool: enough to learn from, too few to do harm.
const INITIAL_POOL_SHARE: f64 = 0.1;
/// Time constant of arrival rates, in microseconds: long enough to smooth bursts, short enough to follow the
/// day.
const ARRIVAL_TIME_CONSTANT: f64 = 8e6;
/// Time constant of a sender's share of the traffic, in microseconds: longer than the gaps between messages.
const SHARE_TIME_CONSTANT: f64 = 6e7;
/// A rough weight may be too low by this factor. Refusals correct the rest.
const ROUGH_WEIGHT_FACTOR: f64 = 1.5;

impl Dispatcher {
    /// Schedules another request to a directory that failed, or whose subscription broke, after an
    /// exponential random backoff: requests of hundreds of senders must not keep it down. Until then the last
    /// entries are used. The longest backoff is half the time after which a sender that doesn't ask counts as
    /// informed.
    pub(super) fn retry_subscription(&mut self) {
        let longest = (self.settings.subscribe_interval / 2).max(1);
        let backoff = (self.directory.backoff * 2).clamp((longest / 4).max(1), longest);
        let next_request = self.now + (backoff as f64 * (0.5 + 0.5 * self.random())) as Micros;
        self.directory = Directory { next_request, backoff, ..Directory::default() };
        self.schedule.insert((next_request, Task::Subscribe));
    }

    /// Sends a subscription request if none has been answered. One request is sent at a time, and repeated if
    /// no answer arrives at all.
    pub(super) fn subscribe(&mut self, out: &mut Vec<Action>) {
        if !self.directory.subscribed && self.now >= self.directory.next_request {
            self.directory.requested = true;
            self.directory.next_request = self.now + self.settings.subscribe_interval.max(1);
            self.schedule.insert((self.directory.next_request, Task::Subscribe));
            out.push(Action::Subscribe);
        }
    }

    /// Returns the destination, adding it if it is unknown.
    pub(super) fn destination(&mut self, id: DestId) -> &mut Destination {
        let now = self.now;
        let (arrivals, share) = (Rate::new(now, ARRIVAL_TIME_CONSTANT), Rate::new(now, SHARE_TIME_CONSTANT));
        self.destinations.entry(id).or_insert_with(|| Destination {
            arrivals,
            share,
            ..Destination::default()
        })
    }

    pub(super) fn pool_of(&mut self, endpoint: EndpointId) -> Option<&mut Pool> {
        self.endpoints.get(&endpoint).and_then(|e| self.pools.get_mut(&e.pool))
    }

    pub(super) fn update_endpoints(&mut self, whole: bool, entries: &[EndpointEntry]) {
        if whole {
            self.endpoints.values_mut().for_each(|e| e.listed = false);
            self.ready.extend(self.destinations.keys());
        }
        for entry in entries {
            let apart = self.settings.kinds.get(entry.kind).is_some_and(|kind| kind.apart);
            let pool = if apart { PoolKey::Route(entry.endpoint) } else { PoolKey::Destination(entry.dest) };
            let (now, listed) = (self.now, entry.status == Status::Up);
            let permits = ((self.settings.slots as f64 * INITIAL_POOL_SHARE) as u32).max(1);
            if !listed && !self.endpoints.contains_key(&entry.endpoint) {
                continue;
            }
            self.destination(entry.dest).endpoints.insert(entry.endpoint);
            self.ready.insert(entry.dest);
            let factor = if self.settings.weights == Weights::Rough { ROUGH_WEIGHT_FACTOR } else { 1.0 };
            let weight = entry.weight.filter(|w| w.is_finite() && *w > 0.0).map(|w| w * factor);
            let limit = weight.filter(|_| self.settings.weights != Weights::Ignored);
            let (dest, kind, zone) = (entry.dest, entry.kind, entry.zone);
            let (budget, tokens, accepted) =
                (f64::INFINITY, UNLIMITED_RATE, Rate::new(now, ARRIVAL_TIME_CONSTANT));
            let new =
                || Pool { dest, permits, tokens, refilled_at: now, budget, accepted, ..Pool::default() };
            let known_pool = self.pools.entry(pool).or_insert_with(new);
            known_pool.limit = limit.or(known_pool.limit);
            let new = || Endpoint { pool, dest, kind, zone, last_success: now, ..Endpoint::default() };
            let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(new);
            endpoint.listed = listed;
        }
        // A message that may have been executed may have lost the last endpoint that drops its duplicates: it
        // is checked in this round.
        let may_run = self.messages.iter().filter(|(_, m)| m.may_run.is_some());
        self.schedule.extend(may_run.map(|(id, _)| (self.now, Task::CheckMessage(*id))));
    }

    /// Removes what is no longer listed, so that a sender can run for months. Removed endpoints are
    /// remembered for a warm-up: if one is listed again, its wait and its health still apply.
    pub(super) fn remove_stale(&mut self) {
        let windows = self.settings.classes.iter().map(|class| class.window);
        let (now, keep) =
            (self.now, windows.fold(self.settings.warm_up.max(POOL_RESIZE_INTERVAL), Micros::max));
        if now < self.cleanup_at {
            return;
        }
        self.cleanup_at = now + keep;
        let pools = &self.pools;
        let waits = |e: &Endpoint| pools.get(&e.pool).is_some_and(|pool| pool.wait_until > now);
        self.endpoints.retain(|_, e| e.listed || e.in_flight > 0 || now - e.last_used <= keep || waits(e));
        self.destinations.values_mut().for_each(|d| d.endpoints.retain(|id| self.endpoints.contains_key(id)));
        self.destinations.retain(|_, d| {
            !d.endpoints.is_empty() || !d.pending.is_empty() || now - d.arrivals.updated_at <= keep
        });
        self.pools.retain(|key, pool| match key {
            PoolKey::Route(id) => self.endpoints.contains_key(id),
            _ => self.destinations.contains_key(&pool.dest),
        });
        self.keys.retain(|_, key| !key.queue.is_empty() || key.paused_until > now);
    }
}
