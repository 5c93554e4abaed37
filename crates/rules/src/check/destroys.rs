//! Detection of changes that can drop kept data.

use super::conflicts::{contains, overlaps};
use crate::field::Field;
use crate::model::Rule;
use std::collections::BTreeMap;

type MatchKey<'a> = (&'a str, &'a str, &'a str);

/// Returns whether going from `old` to `new` rules may reduce what is kept of some message. It errs on the
/// safe side: a new rule that replaces the settings' defaults, which are not known here, counts as
/// destructive.
pub fn destroys(old: &[Rule], new: &[Rule]) -> bool {
    fn by_match(rules: &[Rule]) -> BTreeMap<MatchKey<'_>, &Rule> {
        rules.iter().map(|r| ((r.to.as_str(), r.class.as_str(), r.key.as_str()), r)).collect()
    }
    let (old_by_match, new_by_match) = (by_match(old), by_match(new));
    Field::ALL.into_iter().filter(|f| f.smaller_loses_data()).any(|field| {
        let get = |rule: Option<&&Rule>| rule.and_then(|r| field.get(&r.limits));
        // If every match that set the limit still sets it at least as high, a message falls under its old
        // rule or a new one.
        let lost = old_by_match.iter().any(|(at, rule)| match field.get(&rule.limits) {
            Some(value) => get(new_by_match.get(at)).is_none_or(|now| now < value),
            None => false,
        });
        lost || new_by_match.iter().any(|(at, rule)| {
            match (field.get(&rule.limits), get(old_by_match.get(at))) {
                (None, _) | (_, Some(_)) => false,
                (Some(value), None) => gives_less(old, rule, field, value),
            }
        })
    })
}

/// Returns whether a new rule gives less than some message that it matches had before.
fn gives_less(old: &[Rule], rule: &Rule, field: Field, value: u64) -> bool {
    let mut covered = false;
    for was in old.iter().filter(|was| overlaps(was, rule)) {
        let Some(had) = field.get(&was.limits) else { continue };
        if value < had {
            return true;
        }
        covered |= contains(was, rule);
    }
    !covered
}
