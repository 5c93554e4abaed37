//! Compares the losses that a dry run of a version reports with the losses when the version is applied.

mod kept;
mod rig;

use heronroute_rules::check::LossCounts;
use heronroute_rules::seam::DryRun;
use heronroute_rules::{Rule, RuleLimits};
use kept::{Harness, SECOND, apply, rule, set};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The acknowledgement code for a name that was dropped, so that a repeat can't be distinguished from a new
/// message.
const FORGOTTEN_NAME_CODE: u8 = 0x97;

fn random_rules(rng: &mut SmallRng) -> Vec<Rule> {
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

fn dry_run(harness: &mut Harness, rules: &[Rule]) -> LossCounts {
    let (now, set) = (harness.now, set(2, rules).into());
    harness.node().weigh(now, &DryRun { number: 7, client: "c".into(), set, turn: Default::default() }).would
}

/// Returns the number of held messages and their size in bytes.
fn held_messages_and_bytes(harness: &mut Harness) -> (u64, u64) {
    let (_, answers) = harness.publish(0, "held/list", 3);
    let figure =
        |word: &str| answers[0].split(word).nth(1).and_then(|t| t.split(' ').next()?.trim().parse().ok());
    (figure("held:").unwrap_or(0), figure("octets:").unwrap_or(0))
}

#[test]
fn dry_run_losses_equal_the_losses_on_apply() {
    let seeds = if std::env::var("HERONROUTE_LONG").is_ok() { 3_000 } else { 60 };
    let (mut all, mut answered_names) = (LossCounts::default(), 0);
    for seed in 0..seeds {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut harness = Harness::new("held { count: 9 trails: 9 }");
        let first = random_rules(&mut rng);
        harness.apply_certain(1, &first);
        let mut topics = Vec::new();
        for down in [true, false] {
            harness.receivers_down = down;
            for n in 0..rng.random_range(4..18) {
                let to = ["11", "12", "122", "19"][rng.random_range(0..4)];
                topics.push(format!("to/{to}00{n}/RESP//{down}{n}"));
                harness.publish(0, topics.last().unwrap(), rng.random_range(2..9));
            }
            harness.advance(1_200);
        }
        let republish_all = |harness: &mut Harness| -> Vec<(u8, usize)> {
            topics
                .iter()
                .map(|t| harness.publish(0, t, 9))
                .map(|(code, answers)| (code, answers.len()))
                .collect()
        };
        let (names_before, held_before) =
            (republish_all(&mut harness), held_messages_and_bytes(&mut harness));
        let second = random_rules(&mut rng);
        let would = dry_run(&mut harness, &second);
        let now = harness.now;
        harness.node().apply(now, apply(2, &second, true));
        harness.advance(2);
        assert_eq!(dry_run(&mut harness, &second), LossCounts::default(), "seed {seed}: already dropped");
        let (names, kept) = (republish_all(&mut harness), held_messages_and_bytes(&mut harness));
        let mut gone = LossCounts { trails: would.trails, ..LossCounts::default() };
        (gone.messages, gone.octets) = (held_before.0 - kept.0, held_before.1 - kept.1);
        for (was, is) in names_before.iter().zip(&names) {
            let lost = was.0 != FORGOTTEN_NAME_CODE && is.0 == FORGOTTEN_NAME_CODE;
            gone.names += u64::from(lost);
            gone.answers += u64::from(lost && was.1 > 0);
        }
        assert_eq!(would, gone, "seed {seed}: {first:?} then {second:?}");
        all = all.and(would);
        answered_names += names_before.iter().filter(|(_, answers)| *answers > 0).count();
    }
    let LossCounts { names, answers, messages, trails, .. } = all;
    assert!(
        [names, answers, messages, trails].iter().all(|n| *n > 7) && answered_names > 100,
        "{all:?} {answered_names}"
    );
}

#[test]
fn dry_run_without_applied_rules_or_client_loses_nothing() {
    let mut harness = Harness::new("");
    assert_eq!(
        dry_run(&mut harness, &[rule("x", "", RuleLimits { hold_count: Some(0), ..RuleLimits::default() })]),
        LossCounts::default()
    );
    let (now, set) = (harness.now, set(1, &[]).into());
    let weighed = harness
        .node()
        .weigh(now, &DryRun { number: 3, client: "nobody".into(), set, turn: Default::default() });
    assert_eq!((weighed.number, weighed.would), (3, LossCounts::default()));
}
