//! Checks of rules, cuts to a plan, sums, and destructive changes.

mod common;

use common::*;
use heronroute_rules::check::{Cut, Findings, check, cut, destroys, restore};
use heronroute_rules::share::share;
use heronroute_rules::{Command, Field, Plan, Rule, RuleLimits, RuleSet, Table, limits};
use proptest::prelude::*;

fn summaries(found: &Findings) -> Vec<[&str; 4]> {
    found.list.iter().map(|f| [f.rule.as_str(), &f.field, &f.plan, &f.fits]).collect()
}

#[test]
fn findings_name_rule_field_plan_value_and_fitting_value() {
    let plan = plan();
    let of = |rules: &[Rule]| check(rules, &plan);
    assert!(of(&[rule("long", "000001", 30 * MINUTE), counting_rule("b", "0000012", 1_000)]).is_empty());
    assert_eq!(summaries(&of(&[rule("long", "000001", 120 * MINUTE)])), [["long", "hold_for", "1h", "1h"]]);
    let class = Rule { class: "OTHER".into(), ..rule("c", "000001", MINUTE) };
    assert_eq!(summaries(&of(&[class])), [["c", "class", "RESP", "RESP"]]);
    assert_eq!(summaries(&of(&[rule("t", "0002", MINUTE)])), [["t", "to", "000001", "000001"]]);
    assert_eq!(summaries(&of(&[rule("t", "", MINUTE)])), [["t", "to", "000001", "000001"]]);
    let sums = [
        counting_rule("a", "0000011", 700),
        counting_rule("b", "0000012", 400),
        counting_rule("c", "0000013", 1),
    ];
    assert_eq!(summaries(&of(&sums)), [["b", "hold_count", "1000", "300"], ["c", "hold_count", "1000", "0"]]);
    let many: Vec<Rule> = (1..6).map(|i| rule(&format!("r{i}"), &format!("000001{i}"), i * MINUTE)).collect();
    assert_eq!(summaries(&of(&many)), [["", "rules", "4", "4"]]);
    let without_release = Plan { most: RuleLimits { release: None, ..plan.most.clone() }, ..plan.clone() };
    let with_release =
        Rule { limits: RuleLimits { release: Some(1), ..RuleLimits::default() }, ..rule("p", "000001", 0) };
    assert_eq!(
        summaries(&check(std::slice::from_ref(&with_release), &without_release)),
        [["p", "release", "none", "leave it out"]]
    );
    let zero_rate = Rule { limits: RuleLimits { release: Some(0), ..RuleLimits::default() }, ..with_release };
    assert_eq!(summaries(&of(&[zero_rate])), [["p", "release", "", "1"]]);
}

#[test]
fn names_and_texts_are_bounded() {
    let of = |name: &str| {
        summaries(&check(&[rule(name, "000001", MINUTE)], &plan())).first().map(|f| f[1].to_string())
    };
    assert_eq!(of(&"é".repeat(32)), None);
    assert_eq!([of(""), of(&"é".repeat(33)), of("a\n")], [(); 3].map(|()| Some("name".to_string())));
    let twice = [rule("a", "0000011", MINUTE), rule("a", "0000012", MINUTE)];
    assert_eq!(summaries(&check(&twice, &plan())), [["a", "name", "", "another name"]]);
    let nothing = Rule { limits: RuleLimits::default(), ..rule("n", "000001", 0) };
    assert_eq!(summaries(&check(&[nothing], &plan())), [["n", "", "", ""]]);
    let below = rule("n", "000001", -1);
    assert_eq!(summaries(&check(&[below], &plan())), [["n", "hold_for", "", ""]]);
    let many = vec![rule("", "9", -1); 1_000];
    let found = check(&many, &plan());
    assert_eq!((found.list.len(), found.more > 900), (32, true));
    let too_many = vec![rule("a", "000001", MINUTE); 1_025];
    assert_eq!(summaries(&check(&too_many, &unlimited_plan())), [["", "rules", "1024", ""]]);
}

#[test]
fn accepted_rules_fit_into_one_log_entry() {
    let text = |i: usize, len: usize| format!("{i:0len$}");
    let longest_rule = |i: usize| {
        let (class, to, key) = (
            text(i, limits::MAX_CLASS_BYTES),
            text(i, limits::MAX_ADDRESS_PREFIX_BYTES),
            text(i, limits::MAX_KEY_PREFIX_BYTES),
        );
        let mut rule =
            Rule { name: format!("{i:04}{}", "\u{10FFFF}".repeat(28)), class, to, key, ..Rule::default() };
        for field in Field::ALL {
            let duration = (limits::MAX_DURATION - 9_999 + i as i64) as u64;
            field.set(
                &mut rule.limits,
                Some(if field.is_summed() { limits::MAX_COUNT - i as u64 } else { duration }),
            );
        }
        rule.limits.hold_octets = Some(limits::MAX_SIZE_BYTES - i as u64);
        rule
    };
    let mut most = RuleLimits::default();
    Field::ALL.into_iter().for_each(|field| field.set(&mut most, Some(u64::MAX >> 1)));
    let plan = Plan { most, ..unlimited_plan() };
    let rules: Vec<Rule> = (0..1_024).map(longest_rule).collect();
    let fits = (0..1_024).rfind(|n| check(&rules[..*n], &plan).is_empty()).expect("some");
    let rules = rules[..fits].to_vec();
    let encoded_len =
        Command::Submit { request: [255; 32], client: "c".repeat(64), base: u64::MAX, rules }.pack().len();
    assert!((40_000..60_000).contains(&encoded_len), "{fits} rules, {encoded_len} bytes");
}

#[test]
fn conflicting_rules_are_found() {
    let of = |rules: &[Rule]| {
        let found = check(rules, &plan());
        found.list.into_iter().map(|f| (f.rule, f.field, f.why)).collect::<Vec<_>>()
    };
    let first = rule("a", "000001", MINUTE);
    let contradicting = of(&[first.clone(), rule("b", "000001", 2 * MINUTE)]);
    assert_eq!(
        contradicting,
        [("b".into(), "hold_for".into(), "it contradicts \"a\", which has the same match".into())]
    );
    let duplicate = of(&[first.clone(), rule("b", "000001", MINUTE)]);
    assert_eq!(
        duplicate,
        [("b".into(), String::new(), "it has the same match as \"a\": one of them is enough".into())]
    );
    let redundant = of(&[rule("b", "0000012", MINUTE), first.clone()]);
    assert_eq!(redundant, [("b".into(), String::new(), "all it sets holds already by \"a\"".into())]);
    // A rule between the two that sets something else makes the narrower one effective again.
    assert_eq!(of(&[rule("b", "00000123", MINUTE), rule("between", "0000012", 2 * MINUTE), first]), []);
    // Each rule has a count of its own.
    assert_eq!(of(&[counting_rule("b", "0000012", 5), counting_rule("a", "000001", 5)]), []);
}

#[test]
fn destructive_changes_are_detected() {
    let a = |hold: i64| rule("a", "000001", hold);
    let with_release = |n| Rule {
        limits: RuleLimits { hold_for: Some(MINUTE), release: Some(n), ..RuleLimits::default() },
        ..a(MINUTE)
    };
    assert!(!destroys(&[a(MINUTE)], &[a(MINUTE)]) && !destroys(&[a(MINUTE)], &[a(2 * MINUTE)]));
    assert!(destroys(&[a(2 * MINUTE)], &[a(MINUTE)]) && destroys(&[a(MINUTE)], &[]));
    assert!(destroys(&[], &[a(MINUTE)]), "the defaults that it replaces are not known");
    assert!(destroys(&[a(2 * MINUTE)], &[a(2 * MINUTE), rule("b", "0000012", MINUTE)]));
    assert!(!destroys(&[a(MINUTE)], &[a(MINUTE), rule("b", "0000012", 2 * MINUTE)]));
    assert!(!destroys(&[with_release(9)], &[with_release(1)]), "a slower rate drops nothing");
    assert!(
        !destroys(&[a(MINUTE)], &[Rule { name: "z".into(), ..a(MINUTE) }]),
        "renaming a rule drops nothing"
    );
}

fn assert_sums_within_plan(rules: &[Rule], plan: &Plan, members: usize) -> Result<(), TestCaseError> {
    let set = RuleSet { version: 1, rules: rules.to_vec() };
    for field in Field::ALL.into_iter().filter(|f| f.is_divided()) {
        let shares = (0..members).map(|m| share(&set, m, members));
        let sum: u64 = shares.flat_map(|s| s.rules).filter_map(|r| field.get(&r.limits)).sum();
        prop_assert!(sum <= field.get(&plan.most).unwrap_or(0), "{}", field.name());
        let whole: u64 = rules.iter().filter_map(|r| field.get(&r.limits)).sum();
        prop_assert_eq!(sum, whole, "shares add up");
    }
    Ok(())
}

proptest! {
    #![proptest_config(cases(96))]

    #[test]
    fn accepted_and_cut_rules_stay_within_the_plan(
        rules in any_rules(), first in any_plan(), second in any_plan(), members in 1usize..6,
    ) {
        let rules = valid_rules(rules, &first);
        assert_sums_within_plan(&rules, &first, members)?;
        let cut = cut(&Cut { rules: rules.clone(), ..Cut::default() }, &second);
        prop_assert_eq!(check(&cut.rules, &second), Findings::default());
        assert_sums_within_plan(&cut.rules, &second, members)?;
        let back = restore(&cut, &second);
        prop_assert_eq!(check(&back.rules, &second), Findings::default());
        for was in &cut.rules {
            let now = back.rules.iter().find(|r| r.name == was.name);
            let less = |f: &Field| now.and_then(|n| f.get(&n.limits)) < f.get(&was.limits);
            // A rule that has become redundant may be removed, which changes nothing.
            prop_assert!(now.is_none() || !Field::ALL.iter().any(less), "restored, but {} shrank", was.name);
        }
        let whole = restore(&cut, &first);
        let mut rules = rules;
        rules.sort_by(|a, b| a.name.cmp(&b.name));
        prop_assert_eq!(whole, Cut { rules, ..Cut::default() }, "everything is restored");
    }

    /// If a change is not detected as destructive, no message gets a smaller limit than before.
    #[test]
    fn every_destructive_change_is_detected(old in any_rules(), changes in edits(), lower in any::<prop::sample::Index>()) {
        let old = valid_rules(old, &unlimited_plan());
        let mut new = apply_edits(&old, changes);
        if let Some(rule) = new.len().checked_sub(1).and_then(|most| new.get_mut(lower.index(most + 1))) {
            rule.limits.hold_for = rule.limits.hold_for.map(|v| v - 1);
        }
        let new = valid_rules(new, &unlimited_plan());
        if destroys(&old, &new) {
            return Ok(());
        }
        let (a, b) = (Table::new(&old), Table::new(&new));
        for (class, to, key) in all_messages() {
            let (was, is) = (a.lookup(class, &to, &key).limits, b.lookup(class, &to, &key).limits);
            for field in Field::ALL.into_iter().filter(|f| f.smaller_loses_data()) {
                let (was, is) = (field.get(&was), field.get(&is));
                prop_assert!(is >= was && (was.is_some() || is.is_none()), "{} {:?} {:?}", field.name(), was, is);
            }
        }
    }

    /// A rule that is not reported as redundant makes a difference for some message.
    #[test]
    fn a_rule_without_effect_is_found_redundant(rules in any_rules()) {
        let only_durations = |r: &Rule| Field::ALL.iter().all(|f| !f.is_summed() || f.get(&r.limits).is_none());
        let rules: Vec<Rule> = valid_rules(rules, &unlimited_plan()).into_iter().collect();
        let whole = Table::new(&rules);
        for at in 0..rules.len() {
            let mut less = rules.clone();
            less.remove(at);
            let table = Table::new(&less);
            let differs = all_messages().into_iter()
                .any(|(c, t, k)| whole.lookup(c, &t, &k).limits != table.lookup(c, &t, &k).limits);
            prop_assert!(differs || !only_durations(&rules[at]), "{:?} changes nothing and was not reported", rules[at]);
        }
    }
}

/// All messages that rules from `any_rules` treat differently, and some others.
fn all_messages() -> Vec<(&'static str, Vec<u8>, Vec<u8>)> {
    let texts = |letters: [u8; 3], most: usize| {
        let mut all = vec![vec![]];
        for from in 0.. {
            let Some(text): Option<Vec<u8>> = all.get(from).cloned() else { break };
            if text.len() < most {
                all.extend(letters.map(|l| [&text[..], &[l]].concat()));
            }
        }
        all
    };
    let (to, keys) = (texts(*b"012", 4), texts(*b"xyz", 2));
    let keyed =
        |c: &'static str, t: &Vec<u8>| keys.iter().map(|k| (c, t.clone(), k.clone())).collect::<Vec<_>>();
    ["A", "B", "C"]
        .into_iter()
        .flat_map(|c| to.iter().flat_map(move |t| keyed(c, t)).collect::<Vec<_>>())
        .collect()
}
