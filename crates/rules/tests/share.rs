//! The shares of all members of a limit for the whole installation.

mod common;

use common::cases;
use heronroute_rules::home::home;
use heronroute_rules::share::{empty_share, empty_share_notices, share};
use heronroute_rules::{Field, Rule, RuleLimits, RuleSet, Turn};
use proptest::prelude::*;

const SECOND: i64 = 1_000_000;

fn rules_with(field: Field, value: u64) -> RuleSet {
    let mut limits = RuleLimits::default();
    field.set(&mut limits, Some(value));
    RuleSet { version: 1, rules: vec![Rule { name: "r".into(), limits, ..Rule::default() }] }
}

/// Returns what a sender has, as the installation and the sender itself divide it.
fn sender_share(whole: &RuleSet, field: Field, turn: Turn, sender: usize) -> u64 {
    let mine = share(whole, turn.place as usize, turn.members as usize);
    let mine = if turn.is_home("c", sender) { mine } else { empty_share(&mine) };
    field.get(&mine.rules[0].limits).expect("set")
}

/// Any value, mostly near the numbers of members and senders.
fn any_value() -> impl Strategy<Value = u64> {
    prop_oneof![0..4u64, 0..600u64, 0..5_000u64, any::<u64>().prop_map(|n| n >> 23)]
}

#[test]
fn a_rate_rotates_among_the_members() {
    let turn = |place| Turn { place, members: 3, senders: 1 };
    let row = |place, rate| (0..6).map(|s| turn(place).rate_share(rate, s * SECOND)).collect::<Vec<_>>();
    assert_eq!([row(0, 1), row(1, 1)], [[1, 0, 0, 1, 0, 0], [0, 1, 0, 0, 1, 0]]);
    assert_eq!([row(0, 2), row(2, 2)], [[1, 1, 0, 1, 1, 0], [0, 1, 1, 0, 1, 1]]);
    assert_eq!(row(1, 7), [2, 3, 2, 2, 3, 2]);
    assert_eq!(Turn::default().rate_share(7, 1), 7);
    // Values that settings never produce.
    let odd = Turn { place: 9, members: 0, senders: 0 };
    assert_eq!((odd.rate_share(u64::MAX, i64::MAX), odd.rate_share(5, i64::MIN)), (u64::MAX, 5));
}

proptest! {
    #![proptest_config(cases(256))]

    /// Counts and sizes: the shares of all members add up to the limit, and each member's share is all at the
    /// client's home.
    #[test]
    fn shares_add_up_to_the_value(value in any_value(), members in 1u32..=9, senders in prop::collection::vec(1u32..=8, 9)) {
        for field in Field::ALL.into_iter().filter(|f| f.is_divided()) {
            let whole = rules_with(field, value);
            let (mut sum, mut without) = (0, 0);
            for (place, senders) in (0..members).zip(&senders) {
                let turn = Turn { place, members, senders: *senders };
                let all: Vec<u64> = (0..*senders as usize).map(|s| sender_share(&whole, field, turn, s)).collect();
                let own = field.get(&share(&whole, place as usize, members as usize).rules[0].limits);
                prop_assert_eq!(Some(all[home("c", all.len())]), own, "the home has the whole share of the process");
                prop_assert_eq!(Some(all.iter().sum::<u64>()), own);
                sum += all.iter().sum::<u64>();
                without += usize::from(own == Some(0));
            }
            prop_assert_eq!(sum, value, "{}", field.name());
            let notes = empty_share_notices(&whole, members as usize);
            prop_assert_eq!(notes.len(), usize::from(without > 0 && value > 0), "a notice if some members have none");
            if let Some(note) = notes.first() {
                prop_assert!(note.why.contains(&format!(": {without} of them have none")), "{}", note.why);
                prop_assert!(empty_share_notices(&rules_with(field, u64::from(members)), members as usize).is_empty(), "the suggested value is accepted");
            }
        }
        prop_assert_eq!(share(&rules_with(Field::Release, value), 0, 3), rules_with(Field::Release, value), "a rate stays whole");
    }

    /// Durations are the same for all, and a sender that is not the home has the same fields set.
    #[test]
    fn senders_other_than_the_home_have_empty_shares(values in prop::collection::vec(prop::option::of(any_value()), Field::COUNT)) {
        let mut whole = rules_with(Field::Validity, 1);
        Field::ALL.iter().zip(&values).for_each(|(f, v)| f.set(&mut whole.rules[0].limits, *v));
        let other = empty_share(&whole);
        for (field, value) in Field::ALL.into_iter().zip(values) {
            let wanted = if field.is_summed() { value.map(|_| 0) } else { field.get(&whole.rules[0].limits) };
            prop_assert_eq!(field.get(&other.rules[0].limits), wanted, "{}", field.name());
        }
        prop_assert_eq!(empty_share(&other), other);
    }

    /// Rates: in each second the parts of all senders add up to the rate, and over as many seconds as there
    /// are members the members' totals differ by at most one.
    #[test]
    fn rate_shares_add_up_in_each_second(
        rate in any_value(), members in 1u32..=500, senders in 1u32..=8, from in 0i64..4_000_000_000, within in 0..SECOND,
    ) {
        let at = |second: i64| (from + second) * SECOND + within;
        let (whole, empty) = (rules_with(Field::Release, rate), empty_share(&rules_with(Field::Release, rate)));
        let rate_share = |place, sender, second| {
            let turn = Turn { place, members, senders };
            let set = if turn.is_home("c", sender as usize) { &whole } else { &empty };
            turn.rate_share(set.rules[0].limits.release.expect("set"), at(second))
        };
        for second in 0..3 {
            let all = (0..members).flat_map(|p| (0..senders).map(move |s| (p, s)));
            let sum: u64 = all.map(|(p, s)| rate_share(p, s, second)).sum();
            prop_assert_eq!(sum, rate);
        }
        let round = i64::from(members).min(400);
        let home = home("c", senders as usize) as u32;
        let own = |place| (0..round).map(|second| rate_share(place, home, second)).sum::<u64>();
        let some = [own(0), own(members - 1), own(members / 2)];
        let (most, least) = (some.iter().max().unwrap(), some.iter().min().unwrap());
        prop_assert!(most - least <= 1, "{:?}", some);
    }
}
