//! Checks of each rule by itself: lengths, characters and bounds of limits.

use super::{Finding, Findings};
use crate::field::{Field, Unit};
use crate::limits;
use crate::model::Rule;
use std::collections::BTreeSet;

pub(super) fn check(rules: &[Rule], out: &mut Findings) {
    let mut names = BTreeSet::new();
    for rule in rules {
        if rule.name.is_empty() || rule.name.chars().count() > limits::MAX_RULE_NAME_CHARS {
            out.push(Finding::new(&rule.name, "name", "", "", "a name has 1 to 32 characters"));
        } else if !names.insert(&rule.name) {
            out.push(Finding::new(&rule.name, "name", "", "another name", "two rules bear this name"));
        }
        let texts = [
            ("name", &rule.name, limits::MAX_RULE_NAME_CHARS * 4),
            ("class", &rule.class, limits::MAX_CLASS_BYTES),
            ("to", &rule.to, limits::MAX_ADDRESS_PREFIX_BYTES),
            ("key", &rule.key, limits::MAX_KEY_PREFIX_BYTES),
        ];
        for (field, text, most) in texts {
            if text.len() > most {
                let fits = format!("{most} octets");
                out.push(Finding::new(&rule.name, field, "", &fits, "longer than any that is taken"));
            }
            if text.chars().any(char::is_control) {
                out.push(Finding::new(&rule.name, field, "", "", "it has a control character"));
            }
        }
        if Field::ALL.iter().all(|f| f.raw(&rule.limits).is_none()) {
            out.push(Finding::new(&rule.name, "", "", "", "it sets nothing"));
        }
        Field::ALL.into_iter().for_each(|field| check_field(rule, field, out));
    }
}

fn check_field(rule: &Rule, field: Field, out: &mut Findings) {
    let Some(value) = field.raw(&rule.limits) else { return };
    let most = match field.unit() {
        Unit::Duration => limits::MAX_DURATION as u64,
        Unit::Count => limits::MAX_COUNT,
        Unit::Bytes => limits::MAX_SIZE_BYTES,
    };
    if value < 0 {
        out.push(Finding::new(&rule.name, field.name(), "", "", "it is below nought"));
    } else if value > i128::from(most) {
        let why = "more than anybody may have";
        out.push(Finding::new(&rule.name, field.name(), "", &field.format(most), why));
    } else if value == 0 && field.requires_nonzero() {
        let why = "with nought nothing would ever be delivered";
        out.push(Finding::new(&rule.name, field.name(), "", &field.format(1), why));
    }
}
