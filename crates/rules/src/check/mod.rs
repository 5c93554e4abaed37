//! Checks of rules: against a plan, against each other, and against the rules in effect.

mod bounds;
mod conflicts;
mod cut;
mod destroys;
mod dry_run;
mod finding;
mod plan;

pub use cut::{Cut, cut, restore};
pub use destroys::destroys;
pub use dry_run::LossCounts;
pub use finding::{Finding, Findings};
pub use plan::covers;
pub(crate) use plan::is_usable;

use crate::limits;
use crate::model::{Plan, Rule};

/// Returns everything that is wrong with a client's rules under a plan. If there is nothing, they may be
/// approved, and the sums of their counts, sizes and rates are within the plan.
pub fn check(rules: &[Rule], plan: &Plan) -> Findings {
    let mut out = Findings::default();
    if rules.len() > limits::MAX_RULES || octets(rules) > limits::MAX_RULES_BYTES {
        // The checks below have quadratic cost in the number of rules, so rules that exceed every plan must
        // not reach them.
        out.push(Finding::new(
            "",
            "rules",
            &limits::MAX_RULES.to_string(),
            "",
            "more rules than anybody may have",
        ));
        return out;
    }
    bounds::check(rules, &mut out);
    plan::check(rules, plan, &mut out);
    conflicts::check(rules, &mut out);
    out
}

/// Returns what of the rules exceeds a plan, without checking them against each other.
pub fn plan_violations(rules: &[Rule], plan: &Plan) -> Findings {
    let mut out = Findings::default();
    plan::check(rules, plan, &mut out);
    out
}

/// Returns an upper bound on the encoded size of rules: 9 bytes for option tags, 8 for each limit set, 6 for
/// the lengths of texts.
pub fn octets(rules: &[Rule]) -> u64 {
    let limits = |r: &Rule| crate::Field::ALL.iter().filter(|f| f.get(&r.limits).is_some()).count() * 8 + 9;
    let texts = |r: &Rule| r.name.len() + r.class.len() + r.to.len() + r.key.len() + 6;
    rules.iter().map(|r| (limits(r) + texts(r)) as u64).sum()
}
