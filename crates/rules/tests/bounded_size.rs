//! The size of a registry under continuous edits.

mod common;

use common::{MINUTE, plan};
use heronroute_rules::digest::plan_digest;
use heronroute_rules::{Command, Plan, Registry, Reply, Rule, RuleLimits, limits};

const CLIENT_COUNT: u64 = 100;
const SECOND: i64 = 1_000_000;

/// Pseudo-random numbers with a fixed seed.
struct SeededRandom(u64);

impl SeededRandom {
    fn below(&mut self, sides: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % sides
    }
}

fn rules(random: &mut SeededRandom) -> Vec<Rule> {
    let rule = |n: u64, random: &mut SeededRandom| {
        let limits = RuleLimits {
            hold_for: Some(1 + random.below(60 * MINUTE as u64) as i64),
            hold_count: Some(random.below(250)),
            ..RuleLimits::default()
        };
        // Names and keys are as long as allowed, so that everything kept adds to the size.
        let (name, key) = (format!("{n}{}", "n".repeat(30)), "k".repeat(limits::MAX_KEY_PREFIX_BYTES));
        Rule { name, class: "RESP".into(), to: format!("000001{n}"), key, limits }
    };
    (0..1 + random.below(4)).map(|n| rule(n, random)).collect()
}

fn client_plan(unlimited_plan: bool, approval: bool) -> Plan {
    let mut plan = Plan { changes_an_hour: 20, approval, grace: 5 * SECOND, ..plan() };
    plan.most.hold_count = Some(if unlimited_plan { 1_000 } else { 300 });
    plan
}

fn replan(client: &str, plan: Plan) -> Command {
    Command::Plan { client: client.into(), digest: plan_digest(&plan), plan: Some(Box::new(plan)) }
}

#[test]
fn the_snapshot_stops_growing_over_ten_thousand_edits() {
    let (mut registry, mut random) = (Registry::new(), SeededRandom(34));
    let name = |n: u64| format!("client{n:02}");
    let (mut done, mut refused, mut largest, mut sizes) = (0u64, 0u64, 0usize, Vec::new());
    (0..CLIENT_COUNT).for_each(|n| _ = registry.apply(0, &replan(&name(n), client_plan(true, n % 4 == 0))));
    for edit in 0..10_000u64 {
        // About as many changes as the plans allow per hour.
        let (wall, n) = (edit as i64 * 2 * SECOND, random.below(CLIENT_COUNT));
        let client = name(n);
        let version = registry.desired(&client).expect("known").set.version;
        let waits = registry.waiting(1_000).iter().find(|(c, _)| *c == client).map(|(_, v)| *v);
        let mut request = [0; 32];
        request[..8].copy_from_slice(&edit.to_be_bytes());
        let command = match (random.below(20), waits) {
            (0, _) => replan(&client, client_plan(random.below(2) == 0, n.is_multiple_of(4))),
            (1, _) => Command::RollBack { client, version: version.saturating_sub(random.below(5)), request },
            (2 | 3, Some(version)) => Command::Approve { client, version, by: "o".repeat(64) },
            (4, Some(version)) => Command::Refuse {
                client,
                version,
                by: "o".repeat(64),
                why: "w".repeat(limits::MAX_REASON_CHARS),
            },
            (5, _) => Command::Tick,
            _ => Command::Submit { request, client, base: version, rules: rules(&mut random) },
        };
        let reply = registry.apply(wall, &command).reply;
        done += u64::from(matches!(reply, Reply::Approved { .. } | Reply::Waiting { .. }));
        refused += u64::from(matches!(reply, Reply::Refused { .. }));
        assert!(registry.bytes() <= limits::MAX_TOTAL_BYTES && registry.len() as u64 == CLIENT_COUNT);
        if edit % 250 == 249 {
            let size = registry.snapshot().len();
            largest = largest.max(size);
            sizes.push(size);
        }
    }
    assert!(done > 5_000 && refused > 500, "{done} done, {refused} refused");
    // The history of each client is full after a while; from then on neither the snapshot nor the registry's
    // own count grows.
    let most = |sizes: &[usize]| sizes.iter().copied().max().unwrap_or(0);
    let (middle, end) = (most(&sizes[24..32]), most(&sizes[32..]));
    assert!(end <= middle + middle / 20, "{middle} bytes, then {end}: {sizes:?}");
    // 34 versions of at most four rules, 64 requests and an hour's changes take about 40 KB.
    let each = largest / CLIENT_COUNT as usize;
    assert!((1_000..50_000).contains(&each), "{each} bytes per client");
    assert!(Registry::restore(&registry.snapshot()).is_ok_and(|back| back == registry));
}
