//! Lookup of the limits for one message: each comes from the most specific matching rule that sets it.

use crate::field::Field;
use crate::model::{Rule, RuleLimits};
use crate::trie::Trie;

/// A client's rules, indexed for lookups. The cost of a lookup depends on the lengths of address and key and
/// on the number of matching rules (at most one per prefix length), not on the number of rules.
#[derive(Clone, Debug, Default)]
pub struct Table {
    names: Vec<String>,
    /// The limits of each rule, with a bit for each [`Field`] that it sets.
    limits: Vec<(RuleLimits, u16)>,
    classes: Vec<String>,
    to: Trie,
    prefixes: Vec<PrefixRules>,
    /// The bits of all fields that any rule sets. A lookup ends once all of them are found.
    all: u16,
}

/// The rules of one address prefix.
#[derive(Clone, Debug, Default)]
struct PrefixRules {
    /// The rules of each class, sorted by the index of the class.
    by_class: Vec<(u32, KeyRules)>,
    /// The rules without a class.
    without_class: KeyRules,
}

/// The rules of one address prefix and class. Most often that is one rule without a key, which needs no tree.
#[derive(Clone, Debug, Default)]
enum KeyRules {
    #[default]
    None,
    One(u32),
    Many(Box<Trie>),
}

impl KeyRules {
    fn new(rules: &[(&Rule, u32)]) -> KeyRules {
        match rules {
            [] => KeyRules::None,
            [(rule, at)] if rule.key.is_empty() => KeyRules::One(*at),
            more => KeyRules::Many(Box::new(Trie::new(
                more.iter().map(|(r, at)| (r.key.as_bytes(), *at)).collect(),
            ))),
        }
    }

    /// Returns the rules that match a key, the most specific first.
    fn matching(&self, key: &[u8]) -> impl Iterator<Item = u32> {
        let (one, more) = match self {
            KeyRules::None => (None, None),
            KeyRules::One(at) => (Some(*at), None),
            KeyRules::Many(keys) => (None, Some(keys.prefixes(key))),
        };
        one.into_iter().chain(more.into_iter().flatten())
    }
}

/// The result of a lookup for one message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EffectiveLimits {
    /// The limits found; for those left out, the defaults in the settings apply.
    pub limits: RuleLimits,
    /// For each [`Field`], in the order of [`Field::ALL`], the index of the rule that set it. Counts and
    /// sizes are enforced per rule.
    pub from: [Option<u16>; Field::COUNT],
    /// The most specific matching rule.
    pub rule: Option<u16>,
}

impl EffectiveLimits {
    /// Returns the rule that set a limit.
    pub fn by(&self, field: Field) -> Option<u16> {
        self.from.get(field as usize).copied().flatten()
    }
}

/// Returns a sort key: of two rules that match a message, the one with the greater key takes precedence.
pub fn specificity(rule: &Rule) -> (usize, bool, usize) {
    (rule.to.len(), !rule.class.is_empty(), rule.key.len())
}

/// Returns whether a rule matches a message.
pub fn matches(rule: &Rule, class: &str, to: &[u8], key: &[u8]) -> bool {
    (rule.class.is_empty() || rule.class == class)
        && to.starts_with(rule.to.as_bytes())
        && key.starts_with(rule.key.as_bytes())
}

impl Table {
    /// Indexes a client's rules, at most 65,535. If two have the same match, the first one counts; checked
    /// rules have no such duplicates.
    pub fn new(rules: &[Rule]) -> Self {
        Self::build(rules, rules.iter().zip(0..).collect(), u16::MAX)
    }

    /// Indexes only the given fields, so that rules which set none of them cost nothing in lookups.
    pub fn of(rules: &[Rule], fields: &[Field]) -> Self {
        let bits = fields.iter().fold(0, |bits, field| bits | 1 << *field as u16);
        let some = rules.iter().zip(0..).filter(|(rule, _)| field_bits(&rule.limits) & bits != 0);
        Self::build(rules, some.collect(), bits)
    }

    /// Indexes some of a client's rules, given with their indexes, for the fields in `bits`.
    fn build(rules: &[Rule], mut order: Vec<(&Rule, u32)>, bits: u16) -> Self {
        let rules = rules.get(..usize::from(u16::MAX)).unwrap_or(rules);
        order.retain(|(_, at)| (*at as usize) < rules.len());
        let mut classes: Vec<String> =
            order.iter().map(|(r, _)| r.class.clone()).filter(|c| !c.is_empty()).collect();
        classes.sort_unstable();
        classes.dedup();
        order.sort_by_key(|(rule, _)| (&rule.to, &rule.class));
        let (mut prefixes, mut to) = (Vec::new(), Vec::new());
        for same_to in order.chunk_by(|a, b| a.0.to == b.0.to) {
            let mut prefix_rules = PrefixRules::default();
            for same in same_to.chunk_by(|a, b| a.0.class == b.0.class) {
                let Some((first, _)) = same.first() else { continue };
                let keys = KeyRules::new(same);
                match classes.binary_search(&first.class) {
                    Ok(class) => prefix_rules.by_class.push((class as u32, keys)),
                    Err(_) => prefix_rules.without_class = keys,
                }
            }
            if let Some((first, _)) = same_to.first() {
                to.push((first.to.as_bytes(), prefixes.len() as u32));
                prefixes.push(prefix_rules);
            }
        }
        let limits: Vec<(RuleLimits, u16)> =
            rules.iter().map(|r| (r.limits.clone(), field_bits(&r.limits) & bits)).collect();
        Table {
            all: limits.iter().fold(0, |all, (_, mask)| all | mask),
            names: rules.iter().map(|r| r.name.clone()).collect(),
            limits,
            classes,
            to: Trie::new(to),
            prefixes,
        }
    }

    /// Returns the limits for a message with this class, address and key (empty if it has none).
    pub fn lookup(&self, class: &str, to: &[u8], key: &[u8]) -> EffectiveLimits {
        let mut found = EffectiveLimits::default();
        if self.prefixes.is_empty() {
            return found;
        }
        let class = self.classes.binary_search_by(|c| c.as_str().cmp(class)).ok().map(|c| c as u32);
        let mut found_bits = 0u16;
        for prefix_rules in self.to.prefixes(to).filter_map(|s| self.prefixes.get(s as usize)) {
            let by_class = class.and_then(|class| {
                let at = prefix_rules.by_class.binary_search_by_key(&class, |(c, _)| *c).ok()?;
                prefix_rules.by_class.get(at).map(|(_, keys)| keys)
            });
            for keys in by_class.into_iter().chain([&prefix_rules.without_class]) {
                for rule in keys.matching(key) {
                    let Some((limits, mask)) = self.limits.get(rule as usize) else { continue };
                    let rule = u16::try_from(rule).ok();
                    found.rule = found.rule.or(rule);
                    copy_fields(&mut found, limits, rule, mask & !found_bits);
                    found_bits |= mask;
                    if found_bits == self.all {
                        return found;
                    }
                }
            }
        }
        found
    }

    /// Returns the name of a rule by its index.
    pub fn name(&self, rule: u16) -> Option<&str> {
        self.names.get(usize::from(rule)).map(String::as_str)
    }

    /// Returns the number of rules.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Returns whether there are no rules.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }
}

fn field_bits(limits: &RuleLimits) -> u16 {
    Field::ALL.iter().filter(|f| f.get(limits).is_some()).fold(0, |all, f| all | 1 << *f as u16)
}

/// Copies the limits of the fields in `bits`.
fn copy_fields(found: &mut EffectiveLimits, limits: &RuleLimits, rule: Option<u16>, mut bits: u16) {
    while let Some(field) = Field::ALL.get(bits.trailing_zeros() as usize) {
        bits &= bits - 1;
        field.set(&mut found.limits, field.get(limits));
        if let Some(from) = found.from.get_mut(*field as usize) {
            *from = rule;
        }
    }
}
