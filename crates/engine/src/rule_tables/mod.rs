//! What a client's own rules say of its messages, as plain tables: free of I/O, of the node and of its clock.
//!
//! - [`rules`]: each client's applied rules, and what they say of a message
//! - [`names`]: the number of remembered names
//! - [`answers`]: final answers retained to be repeated
//! - [`pace`]: the rate of releases
//! - [`change`]: what a new version would discard
//! - [`fence`]: what holds while a client's changes are fenced off
//!
//! Guards against a rule that makes an old name count as new: a name beyond the limit is unsure until its
//! time is over, and never forgotten.

pub(crate) mod answers;
pub(crate) mod change;
pub(crate) mod fence;
pub(crate) mod names;
pub(crate) mod pace;
pub(crate) mod rules;

use crate::ids::ConnId;
use heronroute_rules::{Plan, RuleSet, Turn};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The rule tables of a node in a fleet.
#[derive(Debug)]
pub(crate) struct RuleTables {
    /// Applied rules by client.
    pub rules: BTreeMap<usize, rules::ClientRules>,
    /// The version last written to the journal by client, with which the next one is compared.
    pub last_written: BTreeMap<usize, (Arc<RuleSet>, Arc<Plan>, Turn)>,
    /// Why the last version could not be applied, by client.
    pub trouble: BTreeMap<String, String>,
    /// Remembered names by client and rule.
    pub names: names::RememberedNames,
    /// Retained final answers.
    pub answers: answers::RetainedAnswers,
    /// Fences by client.
    pub fences: BTreeMap<usize, fence::Fence>,
    /// Questions that wait for the process's answer, by connection.
    pub asks: BTreeMap<ConnId, BTreeSet<u32>>,
}

impl RuleTables {
    /// Returns a client's applied rules, and the approved ones where a fence is set.
    pub(crate) fn rules_of(
        &self,
        client: usize,
    ) -> (Option<&rules::ClientRules>, Option<&rules::ClientRules>) {
        (self.rules.get(&client), self.fences.get(&client).and_then(fence::Fence::active_rules))
    }

    /// Returns tables with nothing applied. `names` is the capacity of the common name table; each of the
    /// `clients` may have its part of as many final answers retained.
    pub(crate) fn new(names: usize, clients: usize) -> Self {
        RuleTables {
            rules: BTreeMap::new(),
            last_written: BTreeMap::new(),
            trouble: BTreeMap::new(),
            names: names::RememberedNames::new(names),
            answers: answers::RetainedAnswers::new(names / clients.max(1)),
            fences: BTreeMap::new(),
            asks: BTreeMap::new(),
        }
    }
}
