//! Plans, rules and versions as plain data.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// The limits that a rule sets. A limit that is left out is taken from the next less specific matching rule,
/// or from the defaults in the settings if no rule sets it. Counts, sizes and rates are for the whole
/// installation ([`crate::share`]).
///
/// No field may be skipped in serialization: postcard has no field names, so a skipped field would shift all
/// later ones. The JSON of the topics is defined in [`crate::json`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RuleLimits {
    /// How long a final answer is kept, to be returned again when a message with the same name is submitted
    /// again.
    pub answer_for: Option<Micros>,
    /// How long the client's own name of a message is remembered.
    pub remember: Option<Micros>,
    /// The number of names remembered at once.
    pub remembered: Option<u64>,
    /// How long an undelivered message is held.
    pub hold_for: Option<Micros>,
    /// The number of undelivered messages held at once.
    pub hold_count: Option<u64>,
    /// The total size in bytes of the undelivered messages held at once.
    pub hold_octets: Option<u64>,
    /// The number of trails kept at once.
    pub trails: Option<u64>,
    /// The longest validity of a message.
    pub validity: Option<Micros>,
    /// The number of held messages released per second.
    pub release: Option<u64>,
}

/// One rule of a client. It matches by class, address prefix and key prefix; an empty one matches everything.
/// Of several matching rules, the one with the longest address prefix takes precedence, then one that names
/// the class, then the one with the longest key prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// The name, unique among the client's rules: 1 to 32 characters.
    pub name: String,
    /// The message class to match; empty: any.
    pub class: String,
    /// The address prefix to match; empty: any.
    pub to: String,
    /// The key prefix to match; empty: any.
    pub key: String,
    /// The limits that the rule sets.
    #[serde(rename = "figures")]
    pub limits: RuleLimits,
}

/// All rules of a client at one version. Versions are counted per client, from 1; version 0 has no rules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleSet {
    /// The version number.
    pub version: u64,
    /// The rules, sorted by name.
    pub rules: Vec<Rule>,
}

/// The bounds on a client's rules: `plan { }` in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The name of the plan.
    pub name: String,
    /// The maximum number of rules.
    pub rules: usize,
    /// The allowed classes; empty: all.
    pub classes: Vec<String>,
    /// The address prefixes that rules have to be under; empty: all.
    pub prefixes: Vec<String>,
    /// The maximum of each limit. For counts, sizes and rates it also bounds the sum over all rules and all
    /// members. A limit that is left out cannot be set by the client: a line forgotten in the settings must
    /// not mean "unlimited".
    pub most: RuleLimits,
    /// The maximum number of changes per hour.
    pub changes_an_hour: u32,
    /// Whether an operator has to approve changes.
    pub approval: bool,
    /// How long rules that exceed a lowered plan stay in effect.
    pub grace: Micros,
}
