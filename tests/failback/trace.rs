//! The calls that a cold destination got in the window in which it was overloaded, by their cause.

use super::simulation::Scenario;
use heronroute::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The reason for a call or probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The sender's first probe of the endpoint since its last successful call.
    FirstProbe,
    /// A probe after a failed one.
    LaterProbe,
    /// The call that a successful probe permits.
    AfterProbe,
    /// A message's first attempt.
    FirstCall,
    /// A message's later attempt.
    Retry,
}

/// The state that the sender assumes for the endpoint when it calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AssumedState {
    /// No failure is known.
    Healthy,
    /// It has failed since its last success.
    Out,
    /// It has recovered and its load is raised gradually.
    Cold,
}

/// A call or probe that arrived at the destination.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Micros,
    pub sender: usize,
    /// Whether the sender had been informed of the outage, by an outcome or a probe.
    pub informed: bool,
    /// Whether the sender has restarted and has had no successful call since.
    pub restarted: bool,
    pub cause: Cause,
    pub assumed: AssumedState,
}

/// An overload that counts as a failure: over two thirds of the calls in the window came from informed
/// senders.
pub struct Overload {
    pub scenario: Scenario,
    /// The time since the recovery.
    pub after: Micros,
    /// N: the calls that the settings allow in the window.
    pub n: f64,
    /// The calls and probes in the window.
    pub window: Vec<Arrival>,
}

impl fmt::Debug for Overload {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let after = self.after as f64 / 1e6;
        let (received, informed) = (self.window.len(), self.window.iter().filter(|a| a.informed).count());
        write!(
            f,
            "{after:.2} s after the recovery: {received} calls, {informed} informed, N {:.1}; {:?}",
            self.n, self.scenario
        )
    }
}

/// Returns the mean window of these overloads as text, with a line for each combination of cause, assumed
/// state, and whether the sender was informed and restarted, largest first.
pub fn describe(overloads: &[&Overload]) -> String {
    let mut parts: BTreeMap<_, usize> = BTreeMap::new();
    for a in overloads.iter().flat_map(|f| &f.window) {
        *parts.entry((a.cause, a.assumed, a.informed, a.restarted)).or_default() += 1;
    }
    let mut parts: Vec<_> = parts.into_iter().collect();
    parts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let mean = |count: usize| count as f64 / overloads.len().max(1) as f64;
    let all: usize = parts.iter().map(|p| p.1).sum();
    let senders: usize =
        overloads.iter().map(|f| f.window.iter().map(|a| a.sender).collect::<BTreeSet<_>>().len()).sum();
    let (all, senders) = (mean(all), mean(senders));
    let mut text =
        format!("mean window of {} overloads: {all:.1} calls by {senders:.1} senders\n", overloads.len());
    for ((cause, assumed, informed, restarted), count) in parts {
        let (informed, restarted) =
            (if informed { "informed" } else { "uninformed" }, if restarted { ", restarted" } else { "" });
        text += &format!("{:>8.1}  {cause:?}, assumed {assumed:?}, {informed}{restarted}\n", mean(count));
    }
    text
}
