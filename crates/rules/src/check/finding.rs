//! What is wrong, said so that its owner can mend it.

use crate::limits;
use serde::{Deserialize, Serialize};

/// One thing that is wrong.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The rule's name; empty: all of them.
    pub rule: String,
    /// Which part of it, by its name in JSON; empty: the whole.
    pub field: String,
    /// The plan's figure, where there is one.
    pub plan: String,
    /// What would fit, where anything would.
    pub fits: String,
    /// In words.
    pub why: String,
}

impl Finding {
    /// All texts are shortened to what may be repeated back.
    pub fn new(rule: &str, field: &str, plan: &str, fits: &str, why: &str) -> Self {
        let echo = |text: &str| limits::short(text, limits::MAX_ECHO_CHARS);
        Finding {
            rule: limits::short(rule, limits::MAX_RULE_NAME_CHARS),
            field: echo(field),
            plan: echo(plan),
            fits: echo(fits),
            why: limits::short(why, limits::WHY),
        }
    }
}

/// At most [`limits::MAX_FINDINGS`] of them; of the rest only the number is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    /// In the order they were found.
    pub list: Vec<Finding>,
    /// Found beside these.
    pub more: u64,
}

impl Findings {
    /// One.
    pub fn one(finding: Finding) -> Self {
        Findings { list: vec![finding], more: 0 }
    }

    /// Adds one, or counts it.
    pub fn push(&mut self, finding: Finding) {
        if self.list.len() < limits::MAX_FINDINGS {
            self.list.push(finding);
        } else {
            self.more += 1;
        }
    }

    /// Nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}
