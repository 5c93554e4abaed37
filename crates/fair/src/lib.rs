//! Fair admission.
//!
//! Does: bounds what each party (front, tenant, session) may hold of a shared room by what is free and its weight
//! ([`Share`]); finds the parties with the most traffic in bounded memory with a known error ([`Sketch`]).
//! Decides: whether a party may take one place more, with hysteresis.
//! Never: reads a clock, knows a protocol, or keeps a party that holds nothing.

#![forbid(unsafe_code)]

mod share;
mod sketch;

pub use share::{Holding, Share};
pub use sketch::{Heavy, Sketch};
