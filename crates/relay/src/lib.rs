//! A relay of faults between processes, and a harness that starts and stops them.
//!
//! Does: stands in a TCP link on loopback, each way by itself: cuts, delays, slows, loses, doubles and reorders frames,
//! lets half a frame through and falls silent, resets, as told or by seed ([`relay`]); starts processes, kills, pauses and
//! wakes them, by their ids, with the folder kept, old or emptied ([`process`]); joins both into an installation
//! ([`fleet`]) and plays a list of faults made from a seed on it ([`schedule`]); asks a process over MQTT ([`client`]).
//! Decides: from its seed, which frame is hit.
//! Never: is part of the program; touches an address outside loopback or a process it did not start.

#![forbid(unsafe_code)]

pub mod client;
pub mod fault;
pub mod fleet;
pub mod lag;
pub mod lane;
pub mod process;
mod reactor;
pub mod relay;
pub mod schedule;
pub mod split;

pub use fault::{Cut, Door, Flow, Shape, Way};
pub use relay::{Link, LinkCounts, LinkSpec, Relay, RelayError};
pub use split::Split;

/// Time in microseconds since the relay's start.
pub type Micros = u64;
