//! Octets that no correct member sends: nothing panics, everything is counted or answered, nothing grows.

use crate::world::{MS, SECOND, World, fast};
use heronroute_fleet::replicas::wire::{Head, ReplicaMessage, unpack};
use heronroute_fleet::replicas::{Lane, Replicas};
use heronroute_fleet::{Life, Start};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Messages that were really said, then altered a little: they get past the first checks.
#[test]
fn altered_messages_never_panic() {
    let mut w = World::new(20, 3, 1, fast());
    w.record = true;
    w.settle_down(6 * SECOND);
    for i in 0..40 {
        w.ask_new(i % 4, 300);
        w.run(w.now + 50 * MS);
    }
    w.kill(1);
    w.run(w.now + SECOND);
    w.settle_down(8 * SECOND);
    let said = std::mem::take(&mut w.recorded);
    assert!(said.len() > 500);
    let rounds = if std::env::var("HERONROUTE_LONG").is_ok() { 300 } else { 6 };
    let mut rng = SmallRng::seed_from_u64(1);
    for round in 0..rounds {
        // A keeper on a copy of its disk, in the life that the messages are for.
        let to = round % 3;
        let n = &w.nodes[to];
        let life = Life { name: n.peer.name.clone(), start: Start(n.start) };
        let disk = crate::node::Shelf::default();
        *disk.disk.lock().unwrap() = n.shelf.disk();
        let mut clock = n.clock(w.now);
        let mut m = Replicas::new(clock, life, "oduya", &w.peers, Some(disk), n.last_seed, fast()).unwrap();
        let to_it: Vec<_> = said.iter().filter(|(i, ..)| *i == to).collect();
        for number in 1..1_200 {
            let (_, from, lane, octets) = to_it[rng.random_range(0..to_it.len())];
            let mut octets = octets.clone();
            if let (Lane::Agreement, Some((mut head, said))) =
                (lane, unpack::<(Head, ReplicaMessage)>(&octets))
            {
                // In order, from a life that is known, of a keeper that votes: so that what is altered is looked at.
                head = Head { number, nonce: 1 + *from as u64, to: m.nonce(), voting: true, ..head };
                head.start = Start(u64::MAX);
                head.opened.epoch = 1 << 40;
                octets = alter(&mut rng, postcard::to_stdvec(&said).unwrap());
                octets.splice(0..0, postcard::to_stdvec(&head).unwrap());
            } else {
                octets = alter(&mut rng, octets);
            }
            m.handle(clock, &w.peers[*from].name, *lane, &octets);
            clock += 4 * MS;
            m.tick(clock);
            m.flush(clock);
            while m.poll().is_some() {}
        }
        let c = m.counts();
        assert!(c.refused > 0 && c.undecodable > 0 && c.refused + c.undecodable < 1_200, "{c:?}");
    }
}

/// Nothing, or a few octets changed, lost or put in.
fn alter(rng: &mut SmallRng, mut octets: Vec<u8>) -> Vec<u8> {
    for _ in 0..rng.random_range(0..3) {
        let at = rng.random_range(0..octets.len().min(48));
        match rng.random_range(0..6) {
            0 => octets[at] ^= 1 << rng.random_range(0..8),
            1 => octets[at] = octets[at].wrapping_add(1),
            2 => octets[at] = rng.random(),
            3 => octets.truncate(at.max(1)),
            4 => octets.insert(at, rng.random()),
            // The largest number that there is, in place of whatever stands there.
            _ => _ = octets.splice(at..at + 1, [255, 255, 255, 255, 255, 255, 255, 255, 255, 1]),
        }
    }
    octets
}

#[test]
fn any_octets_are_dropped_and_counted() {
    let w = World::new(21, 1, 1, fast());
    let mut rng = SmallRng::seed_from_u64(2);
    let mut m = Replicas::<crate::node::Shelf>::new(0, w.nodes[1].life(), "oduya", &w.peers, None, 1, fast())
        .unwrap();
    for round in 1..3_000 {
        let mut octets = vec![0; rng.random_range(0..100)];
        rng.fill(&mut octets[..]);
        let lane = if round % 2 == 0 { Lane::Log } else { Lane::Agreement };
        m.handle(0, &w.peers[0].name, lane, &octets);
        m.flush(0);
        let c = m.counts();
        assert_eq!(c.undecodable + c.refused + c.foreign, round, "{octets:?}");
    }
}
