//! Whether a submission is taken on at all, before the decision library hears of it. Free of I/O.
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
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// Messages without a final answer, in all.
    pub open: usize,
    /// Messages without a final answer and answers not yet taken, of this client.
    pub of_client: usize,
    /// Worth of the message, 1 where it is the mean of the classes.
    pub worth: f64,
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
    room: usize,
    room_of_client: usize,
    leaving: bool,
}

impl Limits {
    /// Limits with a rate and burst for each client.
    pub fn new(now: Micros, rates: &[Part], room: usize, room_of_client: usize) -> Self {
        let full = |p: &Part| Bucket {
            weight: p.weight,
            shedding: false,
            rate: p.rate,
            burst: p.burst.max(1.0),
            tokens: p.burst.max(1.0),
            filled: now,
        };
        Limits { buckets: rates.iter().map(full).collect(), room, room_of_client, leaving: false }
    }

    /// Takes over new figures; what was saved up or used up by a client that stays is kept.
    pub fn reload(&mut self, now: Micros, rates: &[Part]) {
        let old = std::mem::take(&mut self.buckets);
        *self = Limits { leaving: self.leaving, ..Limits::new(now, rates, self.room, self.room_of_client) };
        for (new, old) in self.buckets.iter_mut().zip(old) {
            new.tokens = old.tokens.min(new.burst);
            new.filled = old.filled;
        }
    }

    /// From now on nothing is taken on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether this client's submission is taken on; if so, it counts.
    ///
    /// # Errors
    /// Why not.
    pub fn admit(&mut self, now: Micros, client: usize, held: Held) -> Result<(), Refusal> {
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
mod tests {
    use super::*;

    #[test]
    fn rate_burst_and_room() {
        let part = |rate, burst| Part { rate, burst, weight: 1.0 };
        let mut l = Limits::new(0, &[part(10.0, 5.0), part(f64::INFINITY, 1.0)], 100, 50);
        let held = |open, of_client| Held { open, of_client, worth: 1.0 };
        let none = held(0, 0);
        let taken = (0..20).filter(|_| l.admit(0, 0, none).is_ok()).count();
        assert_eq!(taken, 5, "the burst");
        assert_eq!(l.admit(0, 0, none), Err(Refusal::Rate));
        assert_eq!(l.admit(0, 1, none), Ok(()), "another client is untouched");
        let taken = (0..1000).filter(|i| l.admit(i * 10_000, 0, none).is_ok()).count();
        assert!((98..=105).contains(&taken), "ten a second for ten seconds: {taken}");
        assert_eq!(l.admit(0, 1, held(100, 0)), Err(Refusal::Room));
        assert_eq!(l.admit(0, 1, held(0, 50)), Err(Refusal::Room));
        assert_eq!(l.admit(0, 1, held(80, 45)), Err(Refusal::Share), "20 are free, it may hold 40");
        assert_eq!(l.admit(0, 0, held(80, 10)).err(), Some(Refusal::Rate), "another is within its part");
        l.leave();
        assert_eq!(l.admit(0, 1, none), Err(Refusal::Leaving));
    }
}
