//! Admission of submissions, before they reach the decision library. Performs no I/O.
//!
//! Admission prevents one client's flood from filling the space of all clients, and prevents accepting
//! messages that could not be kept. A submission is rejected at once, with an error of the client's protocol.
//! Accepted messages are unaffected.

use crate::Micros;
use heronroute_fair::{PartyUsage, Share};

/// The reason for rejecting a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The client exceeds its accepted rate.
    Rate,
    /// The client already holds its fair share of the space.
    Share,
    /// The sender is full, or too many answers wait for the client.
    Room,
    /// The sender is shutting down.
    Leaving,
}

/// A token bucket: tokens grow with time up to the burst, and each submission takes one.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    weight: f64,
    shedding: bool,
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Micros,
}

/// The current usage of a sender, seen from one submission.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// The number of all messages without a final answer.
    pub open: usize,
    /// The number of this client's messages without a final answer and of its answers not yet collected.
    pub of_client: usize,
    /// The worth of the message, relative to a mean of 1 over all classes.
    pub worth: f64,
    /// The index of the front that received the submission, and the number of that front's messages without a
    /// final answer.
    pub front: Option<(usize, usize)>,
    /// The number of messages without a final answer that came over the same connection.
    pub of_session: usize,
    /// The number of connections of the client.
    pub sessions: usize,
}

/// The limits of one client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// The accepted rate in messages per second; infinite if unlimited.
    pub rate: f64,
    /// The number of messages accepted at once above the rate.
    pub burst: f64,
    /// The client's weight in sharing the space with other clients.
    pub weight: f64,
}

/// The admission limits of one sender.
#[derive(Clone, Debug)]
pub struct Limits {
    buckets: Vec<TokenBucket>,
    /// The weight of each front, and whether its last submission was rejected for its share.
    fronts: Vec<(f64, bool)>,
    room: usize,
    room_of_client: usize,
    leaving: bool,
}

impl Limits {
    /// Creates limits with a rate and burst for each client, and a weight for each front (none if there is
    /// only one).
    pub fn new(
        now: Micros,
        rates: &[ClientLimits],
        fronts: &[f64],
        room: usize,
        room_of_client: usize,
    ) -> Self {
        let full_bucket = |part: &ClientLimits| TokenBucket {
            weight: part.weight,
            shedding: false,
            rate: part.rate,
            burst: part.burst.max(1.0),
            tokens: part.burst.max(1.0),
            refilled_at: now,
        };
        let fronts = fronts.iter().map(|w| (*w, false)).collect();
        Limits {
            buckets: rates.iter().map(full_bucket).collect(),
            fronts,
            room,
            room_of_client,
            leaving: false,
        }
    }

    /// Applies new rates. Clients that stay keep their tokens, up to the new burst.
    pub fn reload(&mut self, now: Micros, rates: &[ClientLimits]) {
        let old = std::mem::take(&mut self.buckets);
        let fronts = std::mem::take(&mut self.fronts);
        let new = Limits::new(now, rates, &[], self.room, self.room_of_client);
        *self = Limits { leaving: self.leaving, fronts, ..new };
        for (new, old) in self.buckets.iter_mut().zip(old) {
            new.tokens = old.tokens.min(new.burst);
            new.refilled_at = old.refilled_at;
        }
    }

    /// Rejects all submissions from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Decides whether a client's submission is accepted, and counts it if so.
    ///
    /// # Errors
    ///
    /// The reason for the rejection.
    pub fn admit(
        &mut self,
        now: Micros,
        client: usize,
        usage: Usage,
        session_shedding: &mut bool,
    ) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        // Space is checked before the rate, so that a rejection for lack of space does not use up the
        // client's rate as well.
        if usage.open >= self.room || usage.of_client >= self.room_of_client {
            return Err(Refusal::Room);
        }
        let alone = self.buckets.len() < 2;
        let Some(bucket) = self.buckets.get_mut(client) else { return Ok(()) };
        // A single client may use all the space. Several clients share it by weight and worth (see
        // `heronroute_fair`).
        let party = PartyUsage { held: usage.of_client, weight: bucket.weight, shedding: bucket.shedding };
        bucket.shedding = !alone && !Share::new(self.room).admits(usage.open, party, usage.worth);
        if bucket.shedding {
            return Err(Refusal::Share);
        }
        // The fronts share the space in the same way. The tightest of all shares applies.
        if let Some((front, of_front)) = usage.front
            && let Some((weight, shedding)) = self.fronts.get_mut(front)
        {
            let party = PartyUsage { held: of_front, weight: *weight, shedding: *shedding };
            *shedding = !Share::new(self.room).admits(usage.open, party, usage.worth);
            if *shedding {
                return Err(Refusal::Share);
            }
        }
        // The connections of one client share what that client may hold.
        if usage.sessions > 1 {
            let client_share = Share::new(self.room).threshold(
                usage.open,
                if alone { 1.0 } else { bucket.weight },
                usage.worth,
            );
            let client_share = Share::new((client_share as usize).min(self.room).min(self.room_of_client));
            let party = PartyUsage { held: usage.of_session, weight: 1.0, shedding: *session_shedding };
            *session_shedding = !client_share.admits(usage.of_client, party, 1.0);
            if *session_shedding {
                return Err(Refusal::Share);
            }
        }
        if bucket.rate.is_infinite() {
            return Ok(());
        }
        let refill = (now - bucket.refilled_at).max(0) as f64 / 1e6 * bucket.rate;
        bucket.tokens = (bucket.tokens + refill).min(bucket.burst);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return Err(Refusal::Rate);
        }
        bucket.tokens -= 1.0;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
