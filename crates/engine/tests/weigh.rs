//! What a node says that a version would let go of, beside what applying it then lets go of.

mod kept;
mod rig;

use heronroute_rules::check::LossCounts;
use heronroute_rules::seam::DryRun;
use heronroute_rules::{Rule, RuleLimits};
use kept::{Rig, SECOND, apply, rule, set};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Given up, so that it can't be told whose it was.
const UNSURE: u8 = 0x97;

fn rules(rng: &mut SmallRng) -> Vec<Rule> {
    let mut out = Vec::new();
    for (name, to) in [("a", "11"), ("b", "12"), ("c", "1"), ("d", "122")] {
        if rng.random_bool(0.7) {
            let mut some = |most: u64| rng.random_bool(0.5).then(|| rng.random_range(0..most));
            let limits = RuleLimits {
                answer_for: some(2).map(|_| 60 * SECOND),
                remember: Some(60 * SECOND),
                remembered: some(6),
                hold_count: some(8),
                hold_octets: some(3_000),
                hold_for: some(5).map(|s| s as i64 * SECOND),
                trails: some(6),
                ..RuleLimits::default()
            };
            out.push(rule(name, to, limits));
        }
    }
    out
}

fn weigh(r: &mut Rig, rules: &[Rule]) -> LossCounts {
    let (now, set) = (r.now, set(2, rules).into());
    r.node().weigh(now, &DryRun { number: 7, client: "c".into(), set, turn: Default::default() }).would
}

/// Messages held and their octets.
fn held(r: &mut Rig) -> (u64, u64) {
    let (_, told) = r.hand(0, "held/list", 3);
    let figure =
        |word: &str| told[0].split(word).nth(1).and_then(|t| t.split(' ').next()?.trim().parse().ok());
    (figure("held:").unwrap_or(0), figure("octets:").unwrap_or(0))
}

#[test]
fn what_is_said_to_be_let_go_is_let_go() {
    let seeds = if std::env::var("HERONROUTE_LONG").is_ok() { 3_000 } else { 60 };
    let (mut all, mut told_all) = (LossCounts::default(), 0);
    for seed in 0..seeds {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut r = Rig::new("held { count: 9 trails: 9 }");
        let first = rules(&mut rng);
        r.rules(1, &first);
        let mut topics = Vec::new();
        for down in [true, false] {
            r.down = down;
            for n in 0..rng.random_range(4..18) {
                let to = ["11", "12", "122", "19"][rng.random_range(0..4)];
                topics.push(format!("to/{to}00{n}/RESP//{down}{n}"));
                r.hand(0, topics.last().unwrap(), rng.random_range(2..9));
            }
            r.pass(1_200);
        }
        let answered = |r: &mut Rig| -> Vec<(u8, usize)> {
            topics.iter().map(|t| r.hand(0, t, 9)).map(|(code, told)| (code, told.len())).collect()
        };
        let (names_before, held_before) = (answered(&mut r), held(&mut r));
        let second = rules(&mut rng);
        let would = weigh(&mut r, &second);
        let now = r.now;
        r.node().apply(now, apply(2, &second, true));
        r.pass(2);
        assert_eq!(weigh(&mut r, &second), LossCounts::default(), "seed {seed}: it is gone already");
        let (names, kept) = (answered(&mut r), held(&mut r));
        let mut gone = LossCounts { trails: would.trails, ..LossCounts::default() };
        (gone.messages, gone.octets) = (held_before.0 - kept.0, held_before.1 - kept.1);
        for (was, is) in names_before.iter().zip(&names) {
            let lost = was.0 != UNSURE && is.0 == UNSURE;
            gone.names += u64::from(lost);
            gone.answers += u64::from(lost && was.1 > 0);
        }
        assert_eq!(would, gone, "seed {seed}: {first:?} then {second:?}");
        all = all.and(would);
        told_all += names_before.iter().filter(|(_, told)| *told > 0).count();
    }
    let LossCounts { names, answers, messages, trails, .. } = all;
    assert!(
        [names, answers, messages, trails].iter().all(|n| *n > 7) && told_all > 100,
        "{all:?} {told_all}"
    );
}

#[test]
fn what_is_not_known_here_lets_nothing_go() {
    let mut r = Rig::new("");
    assert_eq!(
        weigh(&mut r, &[rule("x", "", RuleLimits { hold_count: Some(0), ..RuleLimits::default() })]),
        LossCounts::default()
    );
    let (now, set) = (r.now, set(1, &[]).into());
    let weighed =
        r.node().weigh(now, &DryRun { number: 3, client: "nobody".into(), set, turn: Default::default() });
    assert_eq!((weighed.number, weighed.would), (3, LossCounts::default()));
}
