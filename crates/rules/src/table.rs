//! Which figures hold for one message: each from the most specific matching rule that sets it.

use crate::field::Field;
use crate::model::{Figures, Rule};
use crate::trie::Trie;

/// A client's rules, made ready for look-ups. A look-up costs by the lengths of address and key and by how many rules
/// match the message (at most one for each length of prefix), not by how many rules there are.
#[derive(Clone, Debug, Default)]
pub struct Table {
    names: Vec<String>,
    /// With bits by [`Field`] of what each sets.
    figures: Vec<(Figures, u16)>,
    classes: Vec<String>,
    to: Trie,
    prefixes: Vec<PrefixRules>,
    /// Bit by [`Field`]: set by any rule. A look-up ends when all of these are found.
    all: u16,
}

/// The rules of one address prefix.
#[derive(Clone, Debug, Default)]
struct PrefixRules {
    /// Keys by class, in order.
    by_class: Vec<(u32, KeyRules)>,
    /// Keys of the rules without a class.
    without_class: KeyRules,
}

/// The rules of one address prefix and class. Most have one without a key, for which no tree is walked.
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

    /// Rules that match a key, the most specific first.
    fn matching(&self, key: &[u8]) -> impl Iterator<Item = u32> {
        let (one, more) = match self {
            KeyRules::None => (None, None),
            KeyRules::One(at) => (Some(*at), None),
            KeyRules::Many(keys) => (None, Some(keys.prefixes(key))),
        };
        one.into_iter().chain(more.into_iter().flatten())
    }
}

/// What holds for a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Effective {
    /// The figures; what is left out is as the settings' defaults have it.
    pub figures: Figures,
    /// For each [`Field`] in the order of [`Field::ALL`], the rule that set it, by its place in the rules given: counts
    /// and octets are held to by rule.
    pub from: [Option<u16>; Field::COUNT],
    /// The most specific rule that matches.
    pub rule: Option<u16>,
}

impl Effective {
    /// The rule that set a figure.
    pub fn by(&self, field: Field) -> Option<u16> {
        self.from.get(field as usize).copied().flatten()
    }
}

/// How specific a rule is: of two that match one message the greater one goes first.
pub fn specificity(rule: &Rule) -> (usize, bool, usize) {
    (rule.to.len(), !rule.class.is_empty(), rule.key.len())
}

/// A rule matches a message.
pub fn matches(rule: &Rule, class: &str, to: &[u8], key: &[u8]) -> bool {
    (rule.class.is_empty() || rule.class == class)
        && to.starts_with(rule.to.as_bytes())
        && key.starts_with(rule.key.as_bytes())
}

impl Table {
    /// Of a client's rules, at most 65,535. Of two with the same match the first counts (checked sets have none).
    pub fn new(rules: &[Rule]) -> Self {
        Self::build(rules, rules.iter().zip(0..).collect(), u16::MAX)
    }

    /// The same of what they say of these fields: a rule that sets none of them costs no look-up anything.
    pub fn of(rules: &[Rule], fields: &[Field]) -> Self {
        let bits = fields.iter().fold(0, |bits, field| bits | 1 << *field as u16);
        let some = rules.iter().zip(0..).filter(|(rule, _)| field_bits(&rule.figures) & bits != 0);
        Self::build(rules, some.collect(), bits)
    }

    /// Of some of a client's rules, with their places, and of the fields of these bits.
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
        let figures: Vec<(Figures, u16)> =
            rules.iter().map(|r| (r.figures.clone(), field_bits(&r.figures) & bits)).collect();
        Table {
            all: figures.iter().fold(0, |all, (_, mask)| all | mask),
            names: rules.iter().map(|r| r.name.clone()).collect(),
            figures,
            classes,
            to: Trie::new(to),
            prefixes,
        }
    }

    /// What holds for a message of a class, to an address, under a key (empty: none).
    pub fn look(&self, class: &str, to: &[u8], key: &[u8]) -> Effective {
        let mut found = Effective::default();
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
                    let Some((figures, mask)) = self.figures.get(rule as usize) else { continue };
                    let rule = u16::try_from(rule).ok();
                    found.rule = found.rule.or(rule);
                    copy_fields(&mut found, figures, rule, mask & !found_bits);
                    found_bits |= mask;
                    if found_bits == self.all {
                        return found;
                    }
                }
            }
        }
        found
    }

    /// A rule's name, by its place.
    pub fn name(&self, rule: u16) -> Option<&str> {
        self.names.get(usize::from(rule)).map(String::as_str)
    }

    /// Rules held.
    pub fn len(&self) -> usize {
        self.figures.len()
    }

    /// It has no rule.
    pub fn is_empty(&self) -> bool {
        self.figures.is_empty()
    }
}

fn field_bits(figures: &Figures) -> u16 {
    Field::ALL.iter().filter(|f| f.get(figures).is_some()).fold(0, |all, f| all | 1 << *f as u16)
}

/// Takes over the figures of the bits of `take`.
fn copy_fields(found: &mut Effective, figures: &Figures, rule: Option<u16>, mut bits: u16) {
    while let Some(field) = Field::ALL.get(bits.trailing_zeros() as usize) {
        bits &= bits - 1;
        field.set(&mut found.figures, field.get(figures));
        if let Some(from) = found.from.get_mut(*field as usize) {
            *from = rule;
        }
    }
}
