//! Findings: what is wrong with rules, described so that their owner can correct it.

use crate::limits;
use serde::{Deserialize, Serialize};

/// One thing that is wrong.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The rule's name; empty: all rules.
    pub rule: String,
    /// The field of the rule, by its JSON name; empty: the whole rule.
    pub field: String,
    /// The plan's maximum, if there is one.
    pub plan: String,
    /// A value that would be accepted, if there is one.
    pub fits: String,
    /// The reason in words.
    pub why: String,
}

impl Finding {
    /// Creates a finding, with all texts shortened to what may be quoted back.
    pub fn new(rule: &str, field: &str, plan: &str, fits: &str, why: &str) -> Self {
        let echo = |text: &str| limits::shorten(text, limits::MAX_ECHO_CHARS);
        Finding {
            rule: limits::shorten(rule, limits::MAX_RULE_NAME_CHARS),
            field: echo(field),
            plan: echo(plan),
            fits: echo(fits),
            why: limits::shorten(why, limits::MAX_REASON_CHARS),
        }
    }
}

/// A list of at most [`limits::MAX_FINDINGS`] findings; further ones are only counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    /// The findings, in the order in which they were found.
    pub list: Vec<Finding>,
    /// The number of findings not listed.
    pub more: u64,
}

impl Findings {
    /// Creates a list of one finding.
    pub fn one(finding: Finding) -> Self {
        Findings { list: vec![finding], more: 0 }
    }

    /// Adds a finding, or counts it if the list is full.
    pub fn push(&mut self, finding: Finding) {
        if self.list.len() < limits::MAX_FINDINGS {
            self.list.push(finding);
        } else {
            self.more += 1;
        }
    }

    /// Returns whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}
