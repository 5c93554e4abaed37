//! Finds what a new version of a client's rules might discard: a shorter holding time, a smaller store. It
//! errs on the safe side and names every change that is not certain to be harmless.

use heronroute_rules::{Field, Rule, RuleLimits, RuleSet};

/// Figures by which something is held. Names and answers that are already retained stay for the time set when
/// they were stored, whatever a new version says; validity and pace concern only new messages.
const HOLDING_FIELDS: [Field; 5] =
    [Field::HoldFor, Field::HoldCount, Field::HoldOctets, Field::Trails, Field::Remembered];

/// Returns the first rule and field by which something may be discarded, if there is one. `common` holds the
/// figures of the settings.
pub(crate) fn first_loss(
    before: &RuleSet,
    after: &RuleSet,
    common: &RuleLimits,
) -> Option<(String, &'static str)> {
    let find =
        |set: &'_ RuleSet, name: &str| -> Option<Rule> { set.rules.iter().find(|r| r.name == name).cloned() };
    let names = before.rules.iter().chain(&after.rules).map(|r| &r.name);
    for name in names {
        let (old, new) = (find(before, name), find(after, name));
        let scope = |r: &Rule| (r.class.clone(), r.to.clone(), r.key.clone());
        // Messages that the rule matched fall under another one, whose room may be smaller.
        let scope_changed = old.is_some() && old.as_ref().map(scope) != new.as_ref().map(scope);
        let (old, new) = (old.unwrap_or_default().limits, new.unwrap_or_default().limits);
        for field in HOLDING_FIELDS {
            let (old_value, new_value) = (field.get(&old), field.get(&new));
            if old_value.is_none() && new_value.is_none() {
                continue;
            }
            let common = field.get(common).unwrap_or(0);
            // What counted apart counts in the common room now, in addition to what is there.
            let joins_common_room = old_value.is_some() && new_value.is_none() && field != Field::HoldFor;
            if scope_changed || joins_common_room || new_value.unwrap_or(common) < old_value.unwrap_or(common)
            {
                return Some((name.clone(), field.name()));
            }
        }
    }
    None
}

#[cfg(test)]
mod tests;
