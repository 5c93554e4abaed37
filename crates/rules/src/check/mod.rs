//! Rules against a plan, against each other, and against what stands.

mod bounds;
mod conflicts;
mod cut;
mod destroys;
mod dry_run;
mod finding;
mod plan;

pub use cut::{Cut, cut, restore};
pub use destroys::destroys;
pub use dry_run::LetGo;
pub use finding::{Finding, Findings};
pub use plan::covers;
pub(crate) use plan::is_usable;

use crate::limits;
use crate::model::{Plan, Rule};

/// All that is wrong with a client's rules under a plan. None: they may be approved, and then the sums of their counts,
/// octets and paces stay within the plan.
pub fn check(rules: &[Rule], plan: &Plan) -> Findings {
    let mut out = Findings::default();
    if rules.len() > limits::MAX_RULES || octets(rules) > limits::SET_OCTETS {
        // The checks below cost by the square of the number of rules: what is beyond all plans does not reach them.
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

/// What of the rules is beyond a plan, leaving aside whether they make sense among each other.
pub fn beyond(rules: &[Rule], plan: &Plan) -> Findings {
    let mut out = Findings::default();
    plan::check(rules, plan, &mut out);
    out
}

/// Octets that rules take at most when they are packed: 9 marks, 8 for a figure that is set, 6 for lengths of texts.
pub fn octets(rules: &[Rule]) -> u64 {
    let figures = |r: &Rule| crate::Field::ALL.iter().filter(|f| f.get(&r.figures).is_some()).count() * 8 + 9;
    let texts = |r: &Rule| r.name.len() + r.class.len() + r.to.len() + r.key.len() + 6;
    rules.iter().map(|r| (figures(r) + texts(r)) as u64).sum()
}
