//! The prediction of what limits would drop equals what is dropped then, over random contents and limits.

use heronroute_held::{MessagePartitions, MessageRecord, PartitionLimits, PredictedDrops, Room, Store};
use proptest::prelude::*;

const NOW: i64 = 2_000;

#[derive(Clone, Debug)]
struct Item {
    at: i64,
    client: u32,
    held: bool,
    octets: usize,
    parts: [u32; 4],
    kept: bool,
    under_way: bool,
}

fn item() -> impl Strategy<Value = Item> {
    let parts = prop::array::uniform4(0..4u32);
    (0..NOW, 0..2u32, any::<bool>(), 0..80usize, parts, prop::bool::weighted(0.1), prop::bool::weighted(0.1))
        .prop_map(|(at, client, held, octets, parts, kept, under_way)| Item {
            at,
            client,
            held,
            octets,
            parts,
            kept,
            under_way,
        })
}

fn id(n: usize, item: &Item) -> u64 {
    ((item.at as u64) << 6) | (n as u64 % 64)
}

fn room() -> impl Strategy<Value = PartitionLimits> {
    let some = |most: u64| prop::option::weighted(0.6, 0..most);
    (some(2_000), some(12), some(1_500), some(6)).prop_map(|(age, count, octets, trails)| PartitionLimits {
        age: age.map(|n| n as i64),
        count: count.map(|n| n as usize),
        octets,
        trails: trails.map(|n| n as usize),
    })
}

fn rooms() -> impl Strategy<Value = Vec<(u32, PartitionLimits)>> {
    prop::collection::btree_map(0..4u32, room(), 0..4).prop_map(|rooms| rooms.into_iter().collect())
}

fn store(before: &[(u32, PartitionLimits)], items: &[Item], common: (usize, u64, usize)) -> Store {
    let (count, octets, trails) = common;
    let mut store =
        Store::new(Room { age: 1_900, count: trails, octets: 1_500 }, Room { age: 1_800, count, octets });
    before.iter().for_each(|(part, room)| store.limit(0, *part, *room));
    for (n, i) in items.iter().enumerate() {
        let filed = MessageRecord {
            client: i.client,
            destination: 1,
            class: 0,
            key: 0,
            trail: vec![0; 8].into(),
            message: i.held.then(|| vec![0; i.octets].into()),
            under_way: i.under_way,
            kept: i.kept,
            not_received_at: None,
        };
        let [age, count, octets, trails] = i.parts;
        store.file_in(0, id(n, i), filed, MessagePartitions { age, count, octets, trails });
    }
    store
}

/// Returns the number of held messages of a client, their bytes, and the number of its trails.
fn usage(store: &Store, items: &[Item]) -> (u64, u64, u64) {
    let (held, octets, _) = store.of(0);
    let ids = items.iter().enumerate().map(|(n, i)| id(n, i));
    let ids: std::collections::BTreeSet<u64> = ids.collect();
    let own = |id: &&u64| store.get(**id).is_some_and(|f| f.client == 0 && f.message.is_none());
    (held as u64, octets, ids.iter().filter(own).count() as u64)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: if std::env::var("HERONROUTE_LONG").is_ok() { 200_000 } else { 1_500 },
        rng_seed: prop::test_runner::RngSeed::Fixed(34), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn prediction_equals_what_is_dropped(
        before in rooms(), after in rooms(), items in prop::collection::vec(item(), 0..50),
        common in (0..40usize, 0..4_000u64, 0..40usize), looks in prop_oneof![Just(10_000usize), 0..20usize],
    ) {
        let mut store = store(&before, &items, common);
        let predicted = store.weigh(NOW, 0, &after, looks);
        let before_trim = usage(&store, &items);
        after.iter().for_each(|(part, room)| store.limit(0, *part, *room));
        store.trim(NOW, 0);
        let after_trim = usage(&store, &items);
        let dropped = PredictedDrops { messages: before_trim.0 - after_trim.0, octets: before_trim.1 - after_trim.1, trails: before_trim.2 - after_trim.2, more: false };
        if predicted.more {
            prop_assert!(looks < 10_000, "all messages could be examined");
            let within = predicted.messages <= dropped.messages && predicted.octets <= dropped.octets && predicted.trails <= dropped.trails;
            prop_assert!(within, "{:?} is more than {:?}", predicted, dropped);
        } else {
            prop_assert_eq!(predicted, dropped);
        }
    }
}
