//! What a cold destination got in the window in which it fell, by what made the senders call.

use super::world::Day;
use heronroute::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Why a sender asked or called the destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The sender's first probe of the endpoint since it last served a call.
    FirstProbe,
    /// A probe behind one that failed.
    LaterProbe,
    /// The call that a good probe lets through.
    BehindProbe,
    /// A message's first attempt.
    FirstCall,
    /// A message's later attempt.
    Repeat,
}

/// What the sender believes of the endpoint as it calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Belief {
    /// Nothing speaks against it.
    Well,
    /// It failed since its last answer.
    Out,
    /// It is back and loaded bit by bit.
    Cold,
}

/// One call or probe that arrived.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Micros,
    pub sender: usize,
    /// Whether the sender had been told of the outage.
    pub told: bool,
    /// Whether the sender was started anew and has had no answer since.
    pub restarted: bool,
    pub cause: Cause,
    pub belief: Belief,
}

/// A fall that breaks the rule: over two thirds of the window came from told senders.
pub struct Fall {
    pub day: Day,
    /// Counted from the return.
    pub after: Micros,
    /// What the settings let the destination bear in the window.
    pub n: f64,
    /// What it got in the window.
    pub window: Vec<Arrival>,
}

impl fmt::Debug for Fall {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let after = self.after as f64 / 1e6;
        let (got, told) = (self.window.len(), self.window.iter().filter(|a| a.told).count());
        write!(f, "{after:.2} s after its return: {got} calls, {told} told, N {:.1}; {:?}", self.n, self.day)
    }
}

/// The mean window of some falls, a line for each cause, belief, and whether told and restarted, largest first.
pub fn tally(falls: &[&Fall]) -> String {
    let mut parts: BTreeMap<_, usize> = BTreeMap::new();
    for a in falls.iter().flat_map(|f| &f.window) {
        *parts.entry((a.cause, a.belief, a.told, a.restarted)).or_default() += 1;
    }
    let mut parts: Vec<_> = parts.into_iter().collect();
    parts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let mean = |count: usize| count as f64 / falls.len().max(1) as f64;
    let all: usize = parts.iter().map(|p| p.1).sum();
    let of: usize =
        falls.iter().map(|f| f.window.iter().map(|a| a.sender).collect::<BTreeSet<_>>().len()).sum();
    let (all, of) = (mean(all), mean(of));
    let mut text = format!("mean window of {} falls: {all:.1} calls of {of:.1} senders\n", falls.len());
    for ((cause, belief, told, restarted), count) in parts {
        let (told, restarted) =
            (if told { "told" } else { "untold" }, if restarted { ", restarted" } else { "" });
        text += &format!("{:>8.1}  {cause:?}, seems {belief:?}, {told}{restarted}\n", mean(count));
    }
    text
}
