//! The choice of the next call: which endpoints can take one, which messages may go there, and what they
//! would earn.

use crate::{interface::*, state::*};
use std::collections::BTreeMap;

/// Largest share of the slots for a destination that is suspected or borrows slots, as it may stop answering
/// at any time.
const MAX_DESTINATION_SHARE: f64 = 0.5;
/// Largest share of the slots for all suspected destinations together, so that pools whose calls hang can't
/// fill them.
const MAX_SUSPECTED_SHARE: f64 = 0.6;
/// Share of the slots that may not be borrowed.
const BORROWING_RESERVE: f64 = 0.15;
/// Once messages are late, they are ranked by the worth that they lose by waiting this long, in microseconds
/// ...
const LATE_LOOKAHEAD: f64 = 1.5e6;
/// ... plus this share of their present worth, which is lost for good if the backlog stays.
const PRESENT_WORTH_WEIGHT: f64 = 0.4;

/// What a choice needs of a pool.
#[derive(Clone, Copy)]
struct PoolView<'a> {
    pool: &'a Pool,
    /// Whether it answers more slowly than usual.
    slow: bool,
    /// Its mean latency in microseconds.
    mean: f64,
}

/// The pools as a choice sees them. The last view is cached: in most lists, endpoints that share a pool are
/// adjacent.
struct PoolViews<'a> {
    pools: &'a BTreeMap<PoolKey, Pool>,
    last: Option<(PoolKey, PoolView<'a>)>,
}

impl<'a> PoolViews<'a> {
    fn new(pools: &'a BTreeMap<PoolKey, Pool>) -> Self {
        PoolViews { pools, last: None }
    }

    fn get(&mut self, key: PoolKey) -> Option<PoolView<'a>> {
        if let Some((_, view)) = self.last.filter(|(last, _)| *last == key) {
            return Some(view);
        }
        let pool = self.pools.get(&key)?;
        let view = PoolView { pool, slow: pool.latency.slow(), mean: pool.latency.mean() };
        self.last = Some((key, view));
        Some(view)
    }
}

impl Dispatcher {
    /// Starts calls, the best first, until no slot is free or nothing can be sent.
    pub(super) fn dispatch(&mut self, out: &mut Vec<Action>) {
        let (mut candidates, ready) = (BTreeMap::<DestId, Candidate>::new(), self.ready.clone());
        // Destinations whose candidate was chosen after the last call was sent.
        let mut current = ready.clone();
        self.refreshed.clear();
        for dest in ready.iter().copied() {
            if self.destinations.get(&dest).is_none_or(|d| d.pending.is_empty()) {
                self.ready.remove(&dest);
                continue;
            }
            self.probe(dest, false, out);
            candidates.extend(self.candidate(dest).map(|c| (dest, c)));
        }
        while self.used_slots < self.settings.slots {
            let best = candidates.iter().rev().max_by(|a, b| a.1.rank.total_cmp(&b.1.rank));
            let Some((dest, candidate)) = best.map(|(d, c)| (*d, *c)) else { break };
            // A call only narrows what the others may do, so only the best candidate needs to be chosen
            // again.
            let mut next = if current.contains(&dest) { Some(candidate) } else { self.candidate(dest) };
            if next == Some(candidate) {
                self.send(candidate.id, candidate.endpoint, out);
                current.clear();
                next = self.candidate(dest);
            }
            current.insert(dest);
            candidates.remove(&dest);
            candidates.extend(next.map(|c| (dest, c)));
        }
        ready.into_iter().for_each(|dest| self.probe(dest, true, out));
    }

    /// Returns the next call of this destination. A destination that can't send anything is no longer ready
    /// until that may have changed.
    fn candidate(&mut self, dest: DestId) -> Option<Candidate> {
        if self.refreshed.insert(dest) {
            self.refresh(dest);
        }
        let pending = self.destinations.get(&dest).map(|d| &d.pending)?;
        if pending.is_empty() {
            // The next round removes it from `ready`, unless a message arrives before.
            return None;
        }
        let (usable, mut recheck) = self.usable_endpoints(dest);
        // Oldest first until one is late; then those that lose most by waiting, and the oldest first among
        // equals.
        let mut order: Vec<(f64, MsgId)> = Vec::new();
        if !usable.is_empty() {
            order.extend(pending.iter().map(|(_, id)| (0.0, *id)));
            let worth = |id: &MsgId, ahead: f64| self.worth(&self.messages[id], ahead);
            let late = |id: &MsgId| {
                self.messages[id].short || worth(id, 0.0) < self.class_of(&self.messages[id]).worth
            };
            if order.iter().any(|(_, id)| late(id)) {
                let lost =
                    |id: &MsgId| worth(id, LATE_LOOKAHEAD) - (1.0 + PRESENT_WORTH_WEIGHT) * worth(id, 0.0);
                order.iter_mut().for_each(|(rank, id)| *rank = lost(id));
                order.sort_by(|a, b| a.0.total_cmp(&b.0));
            }
        }
        for (_, id) in &order {
            let message = &self.messages[id];
            let allowed = || usable.iter().filter(|(e, careful, _)| self.may_send_to(*id, *e, *careful));
            if let Some((e, ..)) = allowed().find(|(e, ..)| message.avoid != Some(*e)).or(allowed().next()) {
                let mean = self.pools[&self.endpoints[e].pool].latency.mean();
                return Some(Candidate { rank: self.worth(message, mean) / mean, id: *id, endpoint: *e });
            }
            let paused_until =
                message.key.as_ref().and_then(|k| self.keys.get(k)).map_or(0, |k| k.paused_until);
            if paused_until > self.now {
                recheck.at = recheck.at.min(paused_until);
            }
        }
        if !recheck.on_free_slot {
            self.ready.remove(&dest);
        }
        let (destination, now) = (self.destinations.get_mut(&dest)?, self.now);
        if recheck.at < Micros::MAX
            && !destination.pending.is_empty()
            && (destination.next_check <= now || recheck.at < destination.next_check)
        {
            self.schedule.remove(&(destination.next_check, Task::CheckDestination(dest)));
            destination.next_check = recheck.at;
            self.schedule.insert((recheck.at, Task::CheckDestination(dest)));
        }
        None
    }

    /// Returns the endpoints that can take a call now, cheapest first, each with whether only a repeatable
    /// message may go there and with its cost; and when to check the destination again.
    pub(super) fn usable_endpoints(&self, dest: DestId) -> (Vec<(EndpointId, bool, f64)>, Recheck) {
        let now = self.now;
        let slots = self.settings.slots as f64;
        let (mut usable, mut recheck) = (Vec::new(), Recheck { at: Micros::MAX, on_free_slot: false });
        let Some(destination) = self.destinations.get(&dest) else { return (usable, recheck) };
        let endpoints: Vec<(&EndpointId, &Endpoint)> =
            destination.endpoints.iter().filter_map(|id| self.endpoints.get(id).map(|e| (id, e))).collect();
        let in_flight: u32 = endpoints.iter().map(|(_, e)| e.in_flight).sum();
        let mut views = PoolViews::new(&self.pools);
        let listed = || endpoints.iter().filter(|(_, e)| e.listed);
        let suspected =
            listed().any(|(_, e)| e.suspicion.is_some() || views.get(e.pool).is_some_and(|v| v.slow));
        // Where nothing can be probed and there is no other message, an unsafe one is the trial.
        let is_unsafe =
            |(_, id): &(u64, MsgId)| self.class_of(&self.messages[id]).effect == Effect::SingleShot;
        let test_first = self.settings.probes || !destination.pending.iter().all(is_unsafe);
        let part = |share: f64| ((slots * share) as u32).max(1);
        let full = in_flight >= (slots * MAX_DESTINATION_SHARE).ceil() as u32;
        let to_suspect = |c: &&Call| self.endpoints.get(&c.endpoint).is_some_and(|e| self.is_suspect(e));
        let suspects_full =
            suspected && self.calls.values().filter(to_suspect).count() as u32 >= part(MAX_SUSPECTED_SHARE);
        recheck.on_free_slot = suspects_full;
        let free = self.settings.slots.saturating_sub(self.used_slots);
        let may_borrow = !suspected && free > (slots * BORROWING_RESERVE) as u32;
        for (id, e) in listed() {
            let Some(PoolView { pool, mean, .. }) = views.get(e.pool) else { continue };
            let mut from = pool.wait_until;
            for (tokens, rate) in
                e.ramp.iter().map(|r| (r.tokens, r.refill_rate)).chain([(pool.tokens, pool.refill_rate)])
            {
                if tokens < 1.0 {
                    from = from.max(now + ((1.0 - tokens) / rate.max(1e-3) * 1e6) as Micros + 1);
                }
            }
            let careful = test_first && e.suspicion.as_ref().is_some_and(|s| !s.harmless && !s.probed);
            from = from.max(e.suspicion.as_ref().map_or(0, |s| s.next_trial));
            if e.suspicion.as_ref().is_some_and(|s| s.trial.is_some() || s.probing) {
                continue;
            } else if from > now {
                recheck.at = recheck.at.min(from);
                continue;
            }
            let no_permit = pool.in_flight >= pool.permits && !may_borrow;
            recheck.on_free_slot |= no_permit;
            if full || suspects_full || no_permit {
                continue;
            }
            let connected = now - e.last_used < self.settings.idle_close
                && e.in_flight < e.connections * self.settings.streams;
            let factor = |applies: bool, price: f64| if applies { 1.0 + price } else { 1.0 };
            let fee = self.settings.zone_fees.get(e.zone).copied().unwrap_or(0.0);
            let cost = mean
                * (1.0 + e.in_flight as f64)
                * factor(e.zone != self.settings.zone, 30.0 * self.settings.cross_zone_price)
                * factor(!connected, 10.0 * self.settings.handshake_price)
                * factor(matches!(e.pool, PoolKey::Route(_)), 100.0 * fee)
                * factor(e.suspicion.is_some(), 9.0);
            usable.push((**id, careful, cost));
        }
        usable.sort_by(|a, b| a.2.total_cmp(&b.2));
        (usable, recheck)
    }

    fn is_suspect(&self, e: &Endpoint) -> bool {
        e.suspicion.is_some() || self.pools.get(&e.pool).is_some_and(|pool| pool.latency.slow())
    }

    /// Returns whether this message may go to this endpoint now. `careful` means that the endpoint is
    /// suspected and takes only messages that may be repeated.
    pub(super) fn may_send_to(&self, id: MsgId, endpoint: EndpointId, careful: bool) -> bool {
        let message = &self.messages[&id];
        let class = self.class_of(message);
        let spared =
            class.effect == Effect::SingleShot || (self.settings.probes && message.may_run.is_none());
        if !self.may_retry(id) || (careful && spared) {
            return false;
        }
        if let Some(key) = message.key.as_ref().and_then(|k| self.keys.get(k))
            && (key.queue.first() != Some(&(message.sequence, id))
                || (message.attempts == 0 && self.now < key.paused_until))
        {
            return false;
        }
        let may_run = message.may_run.filter(|_| class.effect == Effect::Guarded);
        may_run.is_none_or(|may_run| self.drops_duplicates(class.group, may_run, endpoint))
    }

    /// Returns the worth that a message would earn if delivered `ahead` microseconds from now.
    pub(super) fn worth(&self, message: &Message, ahead: f64) -> f64 {
        let class = self.class_of(message);
        let (aim, deadline) = (class.aim.max(1) as f64, class.deadline.max(1) as f64);
        let age = (self.now - message.age_from) as f64 + ahead;
        let share = match self.settings.late {
            _ if self.now as f64 + ahead >= message.deadline as f64 => 0.0,
            _ if age <= aim => 1.0,
            _ if age >= deadline => 0.0,
            LateDecay::Linear => 1.0 - (1.0 - class.late_share) * (age - aim) / (deadline - aim).max(1.0),
            LateDecay::Halving => 0.5_f64.powf((age - aim) / aim).max(class.late_share),
        };
        class.worth * share
    }
}
