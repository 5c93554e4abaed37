//! Whether a submission is accepted at all, before the decision library hears of it. Free of I/O.
//!
//! Guards against one client's flood filling the room of all, and against promising what could not be kept: what
//! is turned away here is turned away at once, in the protocol's words, and what was accepted is untouched.

use crate::Micros;
use heronroute_fair::{Holding, Share};

/// Why a submission is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The client is over its accepted rate.
    Rate,
    /// The client holds its fair part of the room already.
    Share,
    /// The sender has no room, or the client has too many answers waiting for it.
    Room,
    /// The sender is going out of service.
    Leaving,
}

/// A rate with a burst: tokens grow with time up to the burst, each submission takes one.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    weight: f64,
    shedding: bool,
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Micros,
}

/// What a sender holds just now, and who asks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Held {
    /// Messages without a final answer, in all.
    pub open: usize,
    /// Messages without a final answer and answers not yet taken, of this client.
    pub of_client: usize,
    /// Worth of the message, 1 where it is the mean of the classes.
    pub worth: f64,
    /// The front that it came by, by number, and messages without a final answer that came by it.
    pub front: Option<(usize, usize)>,
    /// Messages without a final answer that came by the same connection.
    pub of_session: usize,
    /// Connections of the client.
    pub sessions: usize,
}

/// What a client is due.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// Messages a second accepted at most; infinite where there is no limit.
    pub rate: f64,
    /// Messages at once above that.
    pub burst: f64,
    /// Its part of the room beside other clients.
    pub weight: f64,
}

/// Decides for one sender.
#[derive(Clone, Debug)]
pub struct Limits {
    buckets: Vec<Bucket>,
    /// Weight of each front, and whether it was refused last.
    fronts: Vec<(f64, bool)>,
    room: usize,
    room_of_client: usize,
    leaving: bool,
}

impl Limits {
    /// Limits with a rate and burst for each client, and a weight for each front (none where there is one only).
    pub fn new(now: Micros, rates: &[Part], fronts: &[f64], room: usize, room_of_client: usize) -> Self {
        let full = |p: &Part| Bucket {
            weight: p.weight,
            shedding: false,
            rate: p.rate,
            burst: p.burst.max(1.0),
            tokens: p.burst.max(1.0),
            filled: now,
        };
        let fronts = fronts.iter().map(|w| (*w, false)).collect();
        Limits { buckets: rates.iter().map(full).collect(), fronts, room, room_of_client, leaving: false }
    }

    /// Takes over new figures; what was saved up or used up by a client that stays is kept.
    pub fn reload(&mut self, now: Micros, rates: &[Part]) {
        let old = std::mem::take(&mut self.buckets);
        let fronts = std::mem::take(&mut self.fronts);
        let new = Limits::new(now, rates, &[], self.room, self.room_of_client);
        *self = Limits { leaving: self.leaving, fronts, ..new };
        for (new, old) in self.buckets.iter_mut().zip(old) {
            new.tokens = old.tokens.min(new.burst);
            new.filled = old.filled;
        }
    }

    /// From now on nothing is accepted.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether this client's submission is accepted; if so, it counts.
    ///
    /// # Errors
    /// Why not.
    pub fn admit(
        &mut self,
        now: Micros,
        client: usize,
        held: Held,
        session_shedding: &mut bool,
    ) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        // Room goes before the rate: a refusal for want of room must not use up the client's rate as well.
        if held.open >= self.room || held.of_client >= self.room_of_client {
            return Err(Refusal::Room);
        }
        let alone = self.buckets.len() < 2;
        let Some(b) = self.buckets.get_mut(client) else { return Ok(()) };
        // One client alone has all the room; several share it by weight and worth (see `heronroute_fair`).
        let party = Holding { held: held.of_client, weight: b.weight, shedding: b.shedding };
        b.shedding = !alone && !Share::new(self.room).admits(held.open, party, held.worth);
        if b.shedding {
            return Err(Refusal::Share);
        }
        // The fronts share the room among each other in the same way; in the end the tightest of all parts holds.
        if let Some((front, of_front)) = held.front
            && let Some((weight, shedding)) = self.fronts.get_mut(front)
        {
            let party = Holding { held: of_front, weight: *weight, shedding: *shedding };
            *shedding = !Share::new(self.room).admits(held.open, party, held.worth);
            if *shedding {
                return Err(Refusal::Share);
            }
        }
        // And the connections of one client what that client may hold.
        if held.sessions > 1 {
            let part =
                Share::new(self.room).threshold(held.open, if alone { 1.0 } else { b.weight }, held.worth);
            let part = Share::new((part as usize).min(self.room).min(self.room_of_client));
            let party = Holding { held: held.of_session, weight: 1.0, shedding: *session_shedding };
            *session_shedding = !part.admits(held.of_client, party, 1.0);
            if *session_shedding {
                return Err(Refusal::Share);
            }
        }
        if b.rate.is_infinite() {
            return Ok(());
        }
        let grown = (now - b.filled).max(0) as f64 / 1e6 * b.rate;
        b.tokens = (b.tokens + grown).min(b.burst);
        b.filled = now;
        if b.tokens < 1.0 {
            return Err(Refusal::Rate);
        }
        b.tokens -= 1.0;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
