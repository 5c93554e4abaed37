//! Reservations of memory for what is read of large first commands, in all. Performs no I/O.
//!
//! Requests are granted in their order. While some wait, what has been held for a turn is taken back, so that slow
//! connections don't keep others out.

use std::collections::{BTreeMap, BTreeSet};

/// The time for which a reservation is held while others wait, in microseconds.
const TURN: i64 = 2_000_000;

#[derive(Clone, Copy, Debug)]
enum Place {
    Held { bytes: usize, since: i64 },
    Waiting { order: u64 },
}

/// The reservations of all connections, by the connection's token.
#[derive(Debug)]
pub struct Reservations {
    budget: usize,
    reserved: usize,
    places: BTreeMap<usize, Place>,
    /// The tokens that hold a reservation, with the time since when.
    held: BTreeSet<(i64, usize)>,
    /// The tokens that wait, with the bytes that they need, in the order of their requests.
    waiting: BTreeMap<u64, (usize, usize)>,
    next_order: u64,
}

impl Reservations {
    /// Creates reservations of at most `budget` bytes in all.
    pub fn new(budget: usize) -> Self {
        Reservations {
            budget,
            reserved: 0,
            places: BTreeMap::new(),
            held: BTreeSet::new(),
            waiting: BTreeMap::new(),
            next_order: 0,
        }
    }

    /// Requests bytes, at most the budget, for a connection that neither holds nor waits for any. [`Self::grant_next`]
    /// grants them.
    pub fn request(&mut self, token: usize, bytes: usize) {
        if self.places.contains_key(&token) {
            return;
        }
        let order = self.next_order;
        self.next_order += 1;
        self.waiting.insert(order, (token, bytes.min(self.budget)));
        self.places.insert(token, Place::Waiting { order });
    }

    /// Grants the oldest request if there is room for it. Returns its connection and the bytes.
    pub fn grant_next(&mut self, now: i64) -> Option<(usize, usize)> {
        let (order, (token, bytes)) =
            self.waiting.first_key_value().map(|(order, request)| (*order, *request))?;
        if self.reserved + bytes > self.budget {
            return None;
        }
        self.waiting.remove(&order);
        self.reserved += bytes;
        self.held.insert((now, token));
        self.places.insert(token, Place::Held { bytes, since: now });
        Some((token, bytes))
    }

    /// Gives back what a connection holds or waits for.
    pub fn release(&mut self, token: usize) {
        match self.places.remove(&token) {
            Some(Place::Held { bytes, since }) => {
                self.reserved -= bytes;
                self.held.remove(&(since, token));
            }
            Some(Place::Waiting { order }) => _ = self.waiting.remove(&order),
            None => {}
        }
    }

    /// Returns a connection whose turn is over, if there is one.
    pub fn overdue(&self, now: i64) -> Option<usize> {
        self.next_timeout().filter(|at| *at <= now)?;
        self.held.first().map(|(_, token)| *token)
    }

    /// Returns when the next turn is over.
    pub fn next_timeout(&self) -> Option<i64> {
        self.waiting.first_key_value()?;
        self.held.first().map(|(since, _)| since + TURN)
    }
}

#[cfg(test)]
mod tests;
