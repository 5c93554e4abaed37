//! What is given up when slots, connections or buffer space run short.

use crate::{interface::*, state::*};

/// Silent calls are cancelled once fewer slots than this share are free.
const MIN_FREE_SLOT_SHARE: f64 = 0.2;
/// A call may be cancelled once it has been silent for this multiple of the pool's silence limit ...
pub(super) const CANCEL_AFTER: f64 = 3.0;
/// ... or for this multiple, if its endpoint answers other calls and cancelling it loses no message.
const CANCEL_EARLY_AFTER: f64 = 1.5;
/// For this long after a refused connection, in microseconds, no idle connections are kept at that kind.
pub(super) const REFUSED_CONNECTION_MEMORY: Micros = 20_000_000;
/// A connection that is in use for this share of the time is kept nevertheless ...
const MIN_CONNECTION_USE: f64 = 0.3;
/// ... and all are kept where there are at most this many senders, few enough that each can keep one.
const FEW_SENDERS: f64 = 6.0;
/// Share of `max_open` that is kept free, so that no message is turned away without being looked at.
const MIN_FREE_BUFFER_SHARE: f64 = 0.06;

impl Dispatcher {
    /// Cancels a silent call if slots are short and other messages wait: the one that has been silent
    /// longest, relative to the latency of its pool. Otherwise silent calls could fill the slots, since the
    /// unsafe calls of a hung destination hold theirs until the deadline. The cost is an unsafe message whose
    /// answer was only late. A call that keeps a pool full although its endpoint has answered others since is
    /// cancelled too: connections that fall silent one by one would otherwise block a healthy destination.
    pub(super) fn cancel_silent_calls(&mut self, out: &mut Vec<Action>) {
        let reserve = (self.settings.slots as f64 * MIN_FREE_SLOT_SHARE).ceil() as u32;
        let has_pending = |d: &DestId| self.destinations.get(d).is_some_and(|d| !d.pending.is_empty());
        let short = self.settings.slots.saturating_sub(self.used_slots) < reserve
            && self.ready.iter().any(has_pending);
        let answers = |c: &Call| self.endpoints.get(&c.endpoint).filter(|e| e.last_success > c.sent_at);
        let blocks = |c: &Call| {
            let pool = answers(c).filter(|e| has_pending(&e.dest)).and_then(|e| self.pools.get(&e.pool));
            pool.is_some_and(|pool| pool.in_flight >= pool.permits)
        };
        // Earlier if the endpoint answers others and no message of the call is lost with it.
        let carries_unsafe = |call: u64| {
            let carried = |m: &&Message| m.in_flight.iter().any(|a| a.call == call);
            self.messages.values().filter(carried).any(|m| self.class_of(m).effect == Effect::SingleShot)
        };
        let cancel_after = |id: u64| match answers(&self.calls[&id]) {
            Some(_) if !carries_unsafe(id) => CANCEL_EARLY_AFTER,
            _ => CANCEL_AFTER,
        };
        let relative_silence = |c: &Call| {
            let pool = self.endpoints.get(&c.endpoint).and_then(|e| self.pools.get(&e.pool));
            pool.map_or(0.0, |pool| (self.now - c.sent_at) as f64 / pool.latency.silence())
        };
        let silent = self
            .calls
            .iter()
            .filter(|(_, c)| self.settings.cancel && !c.cancelled)
            .map(|(id, c)| (relative_silence(c), *id));
        let silent = silent.filter(|s| {
            s.0 > CANCEL_EARLY_AFTER && (short || blocks(&self.calls[&s.1])) && s.0 > cancel_after(s.1)
        });
        let Some((_, call)) = silent.max_by(|a, b| a.0.total_cmp(&b.0)) else { return };
        self.calls.entry(call).and_modify(|c| c.cancelled = true);
        for (id, message) in &self.messages {
            let attempts = message.in_flight.iter().filter(|a| a.call == call);
            out.extend(attempts.map(|a| Action::Cancel { id: *id, attempt: a.number }));
        }
    }

    /// Closes idle connections where an endpoint accepts few, since they keep other senders out: once a kind
    /// has refused a connection at once, none is kept idle for a while. The cost is a handshake per call,
    /// also after endpoints were merely down.
    pub(super) fn close_idle_connections(&mut self, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.idle_candidates) {
            let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
            let (Some(destination), Some(pool)) =
                (self.destinations.get(&endpoint.dest), self.pools.get(&endpoint.pool))
            else {
                continue;
            };
            let in_use = destination.share.get(self.now) * pool.latency.mean()
                / 1e6
                / destination.endpoints.len() as f64;
            let rarely_used = endpoint.in_flight == 0
                && in_use < MIN_CONNECTION_USE * (1.0 - FEW_SENDERS / self.settings.senders as f64);
            let refused = self
                .refused_connections
                .get(&endpoint.kind)
                .is_some_and(|t| self.now - t <= REFUSED_CONNECTION_MEMORY);
            if endpoint.connection_refused_at == Some(self.now) || (rarely_used && refused) {
                endpoint.connections = endpoint.in_flight;
                out.push(Action::Close { endpoint: id });
            }
        }
    }

    /// Sheds the pending messages that would earn least when the buffer is full.
    pub(super) fn shed_excess(&mut self, out: &mut Vec<Action>) {
        let reserve = ((self.settings.max_open as f64 * MIN_FREE_BUFFER_SHARE).ceil() as usize).max(1);
        let most = (self.settings.max_open as usize).saturating_sub(reserve);
        if self.open_messages <= most {
            return;
        }
        let pending =
            self.destinations.values().flat_map(|d| &d.pending).map(|(_, id)| (*id, &self.messages[id]));
        let pending = pending.filter(|(_, message)| self.may_refuse(message));
        let mut pending: Vec<(f64, MsgId)> =
            pending.map(|(id, message)| (self.shedding_worth(message), id)).collect();
        pending.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        for (_, id) in pending.into_iter().take(self.open_messages - most) {
            self.give_final_answer(id, out);
        }
    }
}
