//! Random schedules of faults, with invariants checked after each step. To repeat a failing seed:
//! `HERONROUTE_SEED=n cargo test -p heronroute-drift --test schedules`.

mod sim;

use heronroute_drift::{Action, Config, Micros, Verdict};
use heronroute_fleet::Name;
use rand::Rng;
use sim::{Event, Fault, Reporting, S, World, name};

/// The time after the last fault within which all members must be in line, with their fences lifted.
const IN_LINE_WITHIN: Micros = 240 * S;
const FAULTS_UNTIL: usize = 200;

fn config() -> Config {
    Config::new(Name::new("x").unwrap(), [0; 32])
}

/// Checks that no member is reported as in line that is not, and that no keeper gives orders after its lease.
fn check_invariants(world: &mut World, seed: u64) {
    let config = config();
    for member in 0..world.members.len() {
        let sim_member = &world.members[member];
        if sim_member.in_line == Some(true)
            || sim_member.reporting != Reporting::Honest
            || world.verdict(member) != Verdict::InLine
        {
            continue;
        }
        let age = world.now - world.last_equal[member];
        assert!(
            sim_member.live == world.desired || age <= config.fresh_for,
            "seed {seed} at {}: {} is reported in line but has not been for {age} µs",
            world.now,
            sim_member.name
        );
    }
    for (at, keeper, order) in world.orders.iter().rev().take_while(|(at, ..)| *at == world.now) {
        let keeper = &world.keepers[*keeper];
        assert_eq!(order.term, keeper.term, "seed {seed} at {at}: order of another term");
        let age = at - keeper.confirmed;
        assert!(
            age <= config.lease,
            "seed {seed} at {at}: an order {age} µs after the term was last confirmed"
        );
    }
}

/// Checks that the actions of each keeper stay within the token buckets, per member and in total.
fn check_budgets(world: &World, seed: u64) {
    let config = config();
    for keeper in 0..world.keepers.len() {
        let times = |member: Option<&Name>| -> Vec<Micros> {
            let own = world
                .orders
                .iter()
                .filter(|(_, k, o)| *k == keeper && member.is_none_or(|m| o.to.name == *m));
            own.map(|(at, ..)| *at).collect()
        };
        let within = |times: &[Micros], rate: heronroute_drift::actions::RateLimit, who: &str| {
            for (first, from) in times.iter().enumerate() {
                for (last, to) in times.iter().enumerate().skip(first) {
                    let allowed = i64::from(rate.burst) + (to - from) / rate.interval;
                    let actions = (last - first + 1) as i64;
                    assert!(
                        actions <= allowed,
                        "seed {seed}: {actions} actions for {who} within {} µs",
                        to - from
                    );
                }
            }
        };
        within(&times(None), config.total_rate, "all");
        for member in 0..world.members.len() {
            within(&times(Some(&name(member))), config.member_rate, "one");
        }
    }
}

fn world(seed: u64) -> World {
    World::new(seed, 3 + (seed % 5) as usize, 5 + (seed % 37) as usize)
}

fn run_schedule(seed: u64, mut world: World) -> World {
    world.loss_percent = if seed.is_multiple_of(3) { 5 } else { 0 };
    world.plan_faults(20, FAULTS_UNTIL);
    for _ in 0..world.rng.random_range(1..8) {
        let at = world.rng.random_range(10..FAULTS_UNTIL as i64) * S;
        world.schedule(at, Event::Approve);
    }
    world.run(FAULTS_UNTIL as i64 * S, |world| check_invariants(world, seed));
    world.loss_percent = 0;
    let (mut done, mut next) = (None, 0);
    let last = FAULTS_UNTIL as i64 * S;
    // Continues until all members have been in line for a while, or the time is over.
    while world.now < last + IN_LINE_WITHIN && done.is_none_or(|done| world.now < done + 40 * S) {
        world.run(world.now + 10 * S, |world| {
            check_invariants(world, seed);
            if world.now >= next {
                next = world.now + S / 2;
                let all = (0..world.members.len()).all(|m| world.verdict(m) == Verdict::InLine);
                done = if all { done.or(Some(world.now)) } else { None };
            }
        });
    }
    for member in 0..world.members.len() {
        let (sim_member, verdict) = (&world.members[member], world.verdict(member));
        let line =
            world.leader_detector().view(world.now).members.into_iter().find(|l| l.name == sim_member.name);
        assert!(
            sim_member.live == world.desired,
            "seed {seed}: {} is not repaired: {line:?}",
            sim_member.name
        );
        assert_eq!(verdict, Verdict::InLine, "seed {seed}: {line:?}");
    }
    world.last_equal[0] = done.unwrap() - last;
    check_budgets(&world, seed);
    world
}

fn seeds() -> Vec<u64> {
    if let Some(seed) = std::env::var("HERONROUTE_SEED").ok().and_then(|s| s.parse().ok()) {
        return vec![seed];
    }
    let long = std::env::var("HERONROUTE_LONG").is_ok();
    // Seed 1767: a member whose reports were lost for a while, which was altered, and still had unanswered
    // challenges when its reports arrived again. It was never repaired.
    (0..if long { 4000 } else { 200 }).chain([1767]).collect()
}

#[test]
fn random_fault_schedules_converge() {
    let (mut slowest, mut actions, mut entries) = ((0, 0), 0, 0);
    let mut kinds = std::collections::BTreeMap::new();
    let seeds = seeds();
    let worlds = std::thread::scope(|scope| {
        let some = seeds.chunks(seeds.len().div_ceil(4));
        let run = |some: &[u64]| {
            some.iter().map(|seed| (*seed, run_schedule(*seed, world(*seed)))).collect::<Vec<_>>()
        };
        let threads: Vec<_> = some.map(|some| scope.spawn(move || run(some))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("a seed failed, see above")).collect::<Vec<_>>()
    });
    for (seed, world) in worlds {
        slowest = slowest.max((world.last_equal[0], seed));
        actions += world.orders.len();
        for record in &world.records {
            *kinds.entry(record.verdict.word()).or_insert(0) += 1;
        }
        // No flapping: a member gets in line at most once per event that concerned it or all members.
        for member in 0..world.members.len() {
            let into = world
                .records
                .iter()
                .filter(|r| r.member == name(member) && r.verdict == Verdict::InLine)
                .count();
            let lost = if world.is_lossy(seed) { 12 } else { 0 };
            let causes = world.faults.len() + world.approvals.len() + world.terms.len() + 2 + lost;
            assert!(into <= causes, "seed {seed}: m{member} got in line {into} times for {causes} causes");
            entries += into;
        }
    }
    println!(
        "slowest {} s (seed {}), {actions} actions, {entries} times in line, verdicts {kinds:?}",
        slowest.0 / S,
        slowest.1
    );
}

trait Loss {
    fn is_lossy(&self, seed: u64) -> bool;
}

impl Loss for World {
    fn is_lossy(&self, seed: u64) -> bool {
        seed.is_multiple_of(3)
    }
}

fn run_traced(seed: u64) -> World {
    let mut world = world(seed);
    world.traced = true;
    run_schedule(seed, world)
}

#[test]
fn the_same_seed_replays_exactly() {
    for seed in [3, 14, 159] {
        let (one, two) = (run_traced(seed), run_traced(seed));
        assert!(one.trace.len() > 1000);
        assert!(one.trace == two.trace, "seed {seed}");
    }
}

/// A member that reports the desired state without applying it is detected by a challenge and judged as
/// altered.
#[test]
fn false_reports_are_detected_by_challenges() {
    for seed in 0..50 {
        let mut world = World::new(seed, 3, 20);
        world.schedule(30 * S, Event::Fault(Fault::ReportFalsely(1)));
        let mut found = None;
        world.run(120 * S, |world| {
            if world.verdict(1) == Verdict::Altered && found.is_none() {
                found = Some(world.now - 30 * S);
            }
        });
        let found = found.unwrap_or_else(|| panic!("seed {seed}: not detected"));
        assert!(found <= 50 * S, "seed {seed}: found after {found} µs");
        assert_eq!((world.verdict(0), world.verdict(2)), (Verdict::InLine, Verdict::InLine));
        assert!(
            world.orders.iter().any(|(_, _, o)| matches!(o.act, Action::Fence { .. })),
            "seed {seed}: no fence"
        );
    }
}

/// If a rule keeps changing, the verdict does not follow each change.
#[test]
fn an_alternating_member_causes_few_verdicts() {
    let mut world = World::new(5, 3, 5);
    for turn in 0..150 {
        world.schedule((20 + turn * 10) * S, Event::Fault(Fault::Alter(1)));
    }
    world.run(1520 * S, |world| check_invariants(world, 5));
    let into = world.records.iter().filter(|r| r.member == name(1) && r.verdict == Verdict::InLine).count();
    assert!(into <= 12, "{into} times in line");
    let fences = world
        .orders
        .iter()
        .filter(|(_, _, o)| matches!(o.act, Action::Fence { .. } | Action::Lift { .. }))
        .count();
    assert!(fences <= 40, "{fences} fences and lifts");
    check_budgets(&world, 5);
}
