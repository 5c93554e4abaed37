//! What a new version of a client's rules would let go of: a shorter keeping time, a smaller store. It errs on one side:
//! what can't be told to be harmless is named.

use heronroute_rules::{Field, Rule, RuleLimits, RuleSet};

/// Figures by which something is kept. Names and answers that are kept already stay for as long as was said when they
/// were kept, whatever a new version says; validity and pace concern what comes.
const KEPT: [Field; 5] =
    [Field::HoldFor, Field::HoldCount, Field::HoldOctets, Field::Trails, Field::Remembered];

/// The first rule and field by which something may be let go, if there is one. `common`: the settings' figures.
pub(crate) fn destroys(
    before: &RuleSet,
    after: &RuleSet,
    common: &RuleLimits,
) -> Option<(String, &'static str)> {
    let find =
        |set: &'_ RuleSet, name: &str| -> Option<Rule> { set.rules.iter().find(|r| r.name == name).cloned() };
    let names = before.rules.iter().chain(&after.rules).map(|r| &r.name);
    for name in names {
        let (old, new) = (find(before, name), find(after, name));
        let place = |r: &Rule| (r.class.clone(), r.to.clone(), r.key.clone());
        // Messages that it matched fall under another, whose room may be smaller.
        let moved = old.is_some() && old.as_ref().map(place) != new.as_ref().map(place);
        let (old, new) = (old.unwrap_or_default().limits, new.unwrap_or_default().limits);
        for field in KEPT {
            let (was, is) = (field.get(&old), field.get(&new));
            if was.is_none() && is.is_none() {
                continue;
            }
            let common = field.get(common).unwrap_or(0);
            // What counted apart counts in the common room, beside what is there.
            let joins = was.is_some() && is.is_none() && field != Field::HoldFor;
            if moved || joins || is.unwrap_or(common) < was.unwrap_or(common) {
                return Some((name.clone(), field.name()));
            }
        }
    }
    None
}

#[cfg(test)]
mod tests;
