//! What must hold after each step.

use heronroute_fleet::{Decided, Entry, Name, Term};
use heronroute_installation::machine::{Effect, Machine};
use heronroute_rules::Rule;
use std::collections::BTreeMap;

/// What all members together have said and done.
#[derive(Default)]
pub struct Book {
    pub log: Vec<Entry>,
    /// The log's state, by the same machine.
    pub machine: Machine,
    /// What each version says.
    pub versions: BTreeMap<(String, u64), Vec<Rule>>,
    /// Who acted in which term.
    pub terms: BTreeMap<Term, Name>,
    pub failed: Option<String>,
    pub orders: u64,
    pub approved: u64,
    /// Of regions: rights told to nodes, and what partners have taken on.
    pub rights: u64,
    pub taken_up: u64,
    /// A mark over all that happened.
    pub trace: u64,
}

impl Book {
    pub fn fail(&mut self, now: i64, what: String) {
        self.failed.get_or_insert(format!("at {:.3} s: {what}", now as f64 / 1e6));
    }

    pub fn mark(&mut self, of: u64) {
        self.trace = (self.trace ^ of).wrapping_mul(0x0000_0100_0000_01B3).rotate_left(17);
    }

    pub fn decided(&mut self, now: i64, who: &Name, decided: &Decided) {
        let at = decided.index as usize;
        if let Some(known) = at.checked_sub(1).and_then(|at| self.log.get(at)) {
            if *known != decided.entry {
                self.fail(now, format!("{who} has another entry at {at}"));
            }
            return;
        }
        if at != self.log.len() + 1 {
            return self.fail(now, format!("{who} is told entry {at} after {}", self.log.len()));
        }
        self.log.push(decided.entry.clone());
        let changed = match self.machine.apply(decided) {
            Effect::Rules(outcome) => outcome.changed,
            Effect::RolloutsChanged { changed, .. } => changed,
            _ => Vec::new(),
        };
        {
            for desired in changed {
                let key = (desired.client.clone(), desired.set.version);
                let rules = self.versions.entry(key).or_insert_with(|| desired.set.rules.clone()).clone();
                if rules != desired.set.rules {
                    let what = format!("{} version {} has two contents", desired.client, desired.set.version);
                    self.fail(now, what);
                }
            }
        }
    }

    pub fn acted(&mut self, now: i64, who: &Name, term: Term) {
        let first = self.terms.entry(term).or_insert_with(|| who.clone()).clone();
        if first != *who {
            self.fail(now, format!("{first} and {who} act in term {}", term.0));
        }
    }
}
