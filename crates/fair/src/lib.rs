//! Fair admission to a shared queue.
//!
//! [`Share`] limits how many places each party (front, tenant or session) may hold, by its weight and what is
//! free, and decides with hysteresis whether a party may take one more. A sketch of event counts finds the
//! parties with the most traffic in bounded memory with a known error.
//!
//! The library reads no clock, knows no protocol and keeps no state for a party that holds nothing.

#![forbid(unsafe_code)]

mod share;
mod sketch;

pub use share::{PartyUsage, Share};
pub use sketch::{HeavyParty, TrafficSketch};
