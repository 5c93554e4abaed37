use super::identity::TIME_SHIFT;
use super::*;
use crate::partitions::{LimitKind, MessagePartitions, PartitionLimits};
use crate::trail::Trail;
use crate::{Decision, Micros, Refusal, What};
use proptest::prelude::*;

const UNLIMITED: Room = Room { age: Micros::MAX, count: usize::MAX, octets: u64::MAX };

fn filed(client: u32, destination: i64, key: u64, held: bool) -> MessageRecord {
    MessageRecord {
        client,
        destination,
        class: 0,
        key,
        trail: Trail::new(5, 0).write().into(),
        message: held.then(|| vec![1; 100].into()),
        under_way: false,
        kept: false,
        not_received_at: None,
    }
}

proptest! {
    /// The pages of a query together equal a full scan, and the counts are right after any changes.
    #[test]
    fn indexes_match_a_full_scan(
        steps in prop::collection::vec((0u64..60, 0u32..3, 0i64..3, 0u64..3, any::<bool>(), any::<bool>()), 1..80),
        client in prop::option::of(0u32..3), destination in prop::option::of(0i64..3),
        key in prop::option::of(0u64..3), from in prop::option::of(0i64..60), to in prop::option::of(0i64..60),
        held: bool,
    ) {
        let mut s = Store::new(UNLIMITED, UNLIMITED);
        for (at, c, d, k, h, out) in steps {
            let id = at << TIME_SHIFT;
            if out {
                s.take(id);
            } else {
                s.file(0, id, filed(c, d, k, h));
            }
        }
        let key = key.filter(|k| *k > 0);
        let mut q = Query { client, destination, key, from, to, held, after: None };
        let wanted = s.scan(&q, usize::MAX).ids;
        let mut found: Vec<u64> = Vec::new();
        loop {
            let page = s.list(&q, 1);
            found.extend(&page.ids);
            if page.next.is_none() {
                break;
            }
            prop_assert!(page.next > q.after);
            q.after = page.next;
        }
        prop_assert_eq!(found, wanted);
        let held = s.by_id.values().filter(|f| f.message.is_some());
        prop_assert_eq!(held.clone().count(), (0..3).map(|c| s.of(c).0).sum::<usize>());
        prop_assert_eq!(held.map(MessageRecord::size).sum::<u64>(), (0..3).map(|c| s.of(c).1).sum::<u64>());
        prop_assert_eq!(s.held_to.len(), s.held_of.len());
    }
}

proptest! {
    /// After any filing, removal, growth and change of limits: every partition is within its limits, all
    /// counts equal those of a full scan, and a client without partitions behaves as if it were alone.
    #[test]
    fn partitions_stay_within_their_limits(
        steps in prop::collection::vec((0u32..6, 0u64..40, 0u32..4, any::<bool>(), 0usize..6), 1..120),
    ) {
        let room = Room { age: 1_000, count: 5, octets: 100_000 };
        let (mut s, mut alone) = (Store::new(UNLIMITED, room), Store::new(UNLIMITED, room));
        let mut of: BTreeMap<u64, MessagePartitions> = BTreeMap::new();
        let mut rooms: BTreeMap<u32, PartitionLimits> = BTreeMap::new();
        for (n, (what, at, part, held, size)) in steps.into_iter().enumerate() {
            let (id, now) = (at << TIME_SHIFT, n as i64);
            match what {
                0 => {
                    let some = |on: bool| on.then_some(size);
                    let room = PartitionLimits {
                        count: some(size > 1),
                        octets: some(held).map(|n| n as u64 * 90),
                        age: some(size % 2 == 0).map(|n| n as i64 * 20),
                        trails: some(held),
                    };
                    s.limit(1, part, room);
                    if part > 0 && room == PartitionLimits::default() {
                        rooms.remove(&part);
                    } else if part > 0 {
                        rooms.insert(part, room);
                    }
                    s.trim(now, 1);
                }
                1 => _ = s.take(id),
                2 => s.note(now, id, What::Restarted),
                _ => {
                    let parts = MessagePartitions { age: part, count: part, octets: (part + 1) % 4, trails: part };
                    of.insert(id, parts);
                    s.file_in(now, id, filed(1, 1, 0, held), parts);
                    let other = (50 + at) << TIME_SHIFT;
                    prop_assert_eq!(
                        s.file(now, other, filed(2, 1, 0, held)),
                        alone.file(now, other, filed(2, 1, 0, held))
                    );
                }
            }
            prop_assert_eq!(s.rooms(1), rooms.iter().map(|(p, r)| (*p, *r)).collect::<Vec<_>>());
            let mine: Vec<&MessageRecord> = s.by_id.values().filter(|f| f.client == 1 && f.message.is_some()).collect();
            prop_assert_eq!(s.of(1).0, mine.len());
            prop_assert_eq!(s.of(1).1, mine.iter().map(|f| f.size()).sum::<u64>());
            let Some(partitions) = s.partitions.get(&1) else { continue };
            let (mut all, mut octets) = (0, 0);
            for part in 0..4 {
                let room = partitions.room(part);
                let count = partitions.count(LimitKind::Count, part);
                prop_assert!(count <= room.count.unwrap_or(5) as u64, "part {part}: {count} {room:?}");
                prop_assert!(partitions.count(LimitKind::Trails, part) <= room.trails.unwrap_or(0) as u64);
                // Growth by a note is noticed at the next filing.
                (all, octets) = (all + count, octets + partitions.count(LimitKind::Octets, part));
            }
            prop_assert_eq!((all as usize, octets), (s.of(1).0, s.of(1).1));
        }
    }
}

#[test]
fn an_owner_over_its_limit_loses_only_its_own_oldest_messages() {
    let room = Room { age: 1_000, count: 3, octets: 10_000 };
    let mut s = Store::new(UNLIMITED, room);
    let id = |at: u64| at << TIME_SHIFT;
    s.file(0, id(1), filed(9, 1, 0, true));
    for at in 10..13 {
        assert_eq!(s.file(20, id(at), filed(1, 1, 0, true)), []);
    }
    s.keep(id(10), true);
    assert_eq!(s.file(20, id(13), filed(1, 1, 0, true)), [id(11)], "a message kept by an operator stays");
    s.begin(20, id(12), 0, Decision::Again { leave_by: 0 }).unwrap();
    assert_eq!(s.file(20, id(14), filed(1, 1, 0, true)), [id(13)], "and so does one under way");
    assert_eq!(s.expire(1_014), [id(1)], "too old");
    s.keep(id(10), false);
    assert_eq!(s.expire(5_000), [id(10), id(14)]);
    assert_eq!(s.of(1).2, Dropped { age: 2, count: 2, octets: 0 });
    assert_eq!(s.of(1).0, 1);
}

#[test]
fn one_of_two_concurrent_resubmissions_succeeds() {
    let mut s = Store::new(UNLIMITED, UNLIMITED);
    s.file(0, 64, filed(1, 1, 0, true));
    let again = Decision::Again { leave_by: 9 };
    assert_eq!(s.begin(3, 64, 1, again), Ok(again));
    assert_eq!(s.begin(3, 64, 2, again), Err(Refusal::UnderWay));
    assert_eq!(
        s.begin(3, 128, 2, again),
        Err(Refusal::Delivered),
        "an unknown message is reported as delivered"
    );
    let trail = Trail::read(&s.get(64).unwrap().trail).unwrap();
    assert_eq!(trail.steps().collect::<Vec<_>>(), [(3, What::Resubmitted(1))]);
    s.end(4, 64, &trail, false);
    assert_eq!(s.begin(5, 64, 2, again), Ok(again), "undelivered again: it is held as before");
    s.end(6, 64, &trail, true);
    assert_eq!((s.get(64).unwrap().message.is_none(), s.of(1).0), (true, 0), "its trail stays");
}
