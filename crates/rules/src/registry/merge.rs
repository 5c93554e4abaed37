//! Three-way merge of concurrent edits.

use crate::model::Rule;
use std::collections::{BTreeMap, BTreeSet};

/// Merges two edits of `base`, rule by rule (by name): a rule that only one edit changed is taken from that
/// edit. Names have to be unique in each list.
///
/// # Errors
/// Returns the names of rules that both edits changed in different ways.
pub fn merge(base: &[Rule], theirs: &[Rule], mine: &[Rule]) -> Result<Vec<Rule>, Vec<String>> {
    let by_name =
        |rules| -> BTreeMap<&str, &Rule> { Iterator::map(rules, |r: &Rule| (r.name.as_str(), r)).collect() };
    let (base_rules, their_rules, my_rules) =
        (by_name(base.iter()), by_name(theirs.iter()), by_name(mine.iter()));
    let names: BTreeSet<&str> =
        base_rules.keys().chain(their_rules.keys()).chain(my_rules.keys()).copied().collect();
    let (mut merged, mut conflicting) = (Vec::new(), Vec::new());
    for name in names {
        let (base, theirs, mine) = (base_rules.get(name), their_rules.get(name), my_rules.get(name));
        if mine == base || mine == theirs {
            merged.extend(theirs.map(|r| (*r).clone()));
        } else if theirs == base {
            merged.extend(mine.map(|r| (*r).clone()));
        } else {
            conflicting.push(name.to_string());
        }
    }
    if conflicting.is_empty() { Ok(merged) } else { Err(conflicting) }
}
