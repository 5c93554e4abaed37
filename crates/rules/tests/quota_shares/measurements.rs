//! Prints the measurements quoted in docs/regions.md; asserts nothing.

use crate::simulation::{MS, SeededRandom, TUNING};
use heronroute_rules::Micros;
use heronroute_rules::quota_shares::{QuotaAllocator, QuotaHolder, ShareGrant, ShareRequest};
use std::collections::VecDeque;

const QUOTA: u64 = 1_000;
const RUN_LENGTH: Micros = 30_000 * MS;
/// The lifetime of an item. With 4 or 5 new items per millisecond, 900 of the quota of 1,000 are in use at a
/// time.
const ITEM_LIFETIME: Micros = 200 * MS;

enum Packet {
    ShareRequest(ShareRequest),
    ShareGrant(ShareGrant),
}

/// Returns the fraction served with leased shares and with fixed shares, the messages for shares, the items
/// that arrived, and the greatest sums of shares and of items in use.
fn simulate(members: usize, hot_member_period: Micros, delay: Micros) -> (f64, f64, u64, u64, u64, u64) {
    let mut random = SeededRandom(7);
    let mut holders: Vec<QuotaHolder> =
        (0..members).map(|at| QuotaHolder::new(TUNING, at as u32, 1, 0)).collect();
    let mut allocator = QuotaAllocator::new(TUNING, 0, 1, members, QUOTA, QUOTA / 10 / members as u64);
    allocator.extend_leadership(Micros::MAX);
    let mut network: VecDeque<(Micros, Packet)> = VecDeque::new();
    let mut kept: VecDeque<(Micros, usize)> = VecDeque::new();
    let mut fixed = kept.clone();
    let mut fixed_used = vec![0; members];
    let (mut arrived, mut served, mut fixed_served, mut messages, mut max_share_sum, mut max_kept) =
        (0, 0, 0, 0, 0, 0);
    let warm_up_end = 2_000 * MS;
    for t in (0..RUN_LENGTH).step_by(MS as usize) {
        while let Some((_, at)) = kept.pop_front_if(|(until, _)| *until <= t) {
            holders[at].release(1);
        }
        while let Some((_, at)) = fixed.pop_front_if(|(until, _)| *until <= t) {
            fixed_used[at] -= 1;
        }
        let hot = (t / hot_member_period) as usize % members;
        for _ in 0..4 + random.below(2) {
            let counts = u64::from(t >= warm_up_end);
            arrived += counts;
            if holders[hot].take(t, 1) {
                kept.push_back((t + ITEM_LIFETIME, hot));
                served += counts;
            }
            if fixed_used[hot] < QUOTA / members as u64 {
                fixed_used[hot] += 1;
                fixed.push_back((t + ITEM_LIFETIME, hot));
                fixed_served += counts;
            }
        }
        for holder in &mut holders {
            if let Some(request) = holder.tick(t).request {
                network.push_back((t + delay, Packet::ShareRequest(request)));
                messages += u64::from(t >= warm_up_end);
            }
        }
        while let Some((_, packet)) = network.pop_front_if(|(at, _)| *at <= t) {
            match packet {
                Packet::ShareGrant(grant) => {
                    holders[grant.member as usize].apply_grant(t, &grant);
                }
                Packet::ShareRequest(request) => {
                    if let Some(grant) = allocator.handle_request(t, &request) {
                        network.push_back((t + delay, Packet::ShareGrant(grant)));
                        messages += u64::from(t >= warm_up_end);
                    }
                }
            }
        }
        max_share_sum = max_share_sum.max(holders.iter().map(|h| h.share(t)).sum());
        max_kept = max_kept.max(kept.len() as u64);
    }
    (
        served as f64 / arrived as f64,
        fixed_served as f64 / arrived as f64,
        messages,
        arrived,
        max_share_sum,
        max_kept,
    )
}

#[test]
fn print_measurements() {
    println!(
        "| members | traffic at | one way | served: shares | fixed | one counter | messages/s: shares | one counter | sum | kept |"
    );
    for (members, hot_member_period, name) in [
        (3, RUN_LENGTH, "one"),
        (9, RUN_LENGTH, "one"),
        (5, 2_000 * MS, "another each 2 s"),
        (9, 2_000 * MS, "another each 2 s"),
    ] {
        for delay in [1, 20] {
            let (shares, fixed, messages, arrived, max_share_sum, max_kept) =
                simulate(members, hot_member_period, delay * MS);
            let measured_seconds = (RUN_LENGTH / MS / 1_000 - 2) as u64;
            // A single counter serves everything that fits the quota (900 of 1,000), at two messages per item
            // and one at its end.
            println!(
                "| {members} | {name} | {delay} ms | {shares:.3} | {fixed:.3} | 1.000 | {} | {} | {max_share_sum} | {max_kept} |",
                messages / measured_seconds,
                arrived * 3 / measured_seconds
            );
        }
    }
}
