//! What holds while nothing worse happens than cuts.

use super::Shipping;
use super::world::{BOUNDS, SMALL, World, down, up, workload};
use crate::ensure;
use crate::suite::Clause;
use heronroute_journal::entry::{Accepted, What};
use heronroute_ship::wire::{self, FromOrigin, FromPartner};
use heronroute_ship::{Notice, ReplicationLimits};

/// What holds of both sides.
pub const CLAUSES: &[Clause<dyn Shipping>] = &[
    Clause { name: "the copy's book is the origin's at its number, always", run: same },
    Clause { name: "after a cut it goes on from where both agree", run: cut },
    Clause { name: "what comes late or twice of an older connection counts for nothing", run: late },
    Clause { name: "what waits is committed at once", run: at_once },
    Clause { name: "no more is on its way than the partner allows", run: window },
    Clause { name: "what is held is bounded, and what is let go comes from the log", run: let_go },
    Clause { name: "a cut is told", run: cut_told },
    Clause { name: "a partner that lags by entries does not stand", run: lag_entries },
    Clause { name: "a partner that lags by time does not stand", run: lag_time },
    Clause { name: "an entry larger than a message arrives whole", run: large },
    Clause { name: "where the log is gone the book goes, whole or not at all", run: anew },
    Clause { name: "noise changes nothing", run: noise },
];

fn same(s: &dyn Shipping) -> Result<(), String> {
    for seed in 0..6 {
        let mut w = World::both(s)?;
        (w.limits, w.copy_limits) = (SMALL, SMALL);
        w.copy_up()?;
        for part in workload(seed, 300).chunks(1 + seed as usize * 3) {
            w.write(part);
            for _ in 0..2 {
                w.step();
                w.sound().map_err(|e| format!("seed {seed}: {e}"))?;
            }
        }
        w.settle()?;
        w.complete().map_err(|e| format!("seed {seed}: {e}"))?;
    }
    Ok(())
}

fn cut(s: &dyn Shipping) -> Result<(), String> {
    let mut w = World::both(s)?;
    for (i, part) in workload(7, 400).chunks(8).enumerate() {
        w.write(part);
        w.step();
        if i % 4 == 3 {
            w.cut(true);
            w.write(&workload(i as u64, 3));
            w.link();
        }
        w.sound()?;
    }
    w.settle()?;
    w.complete()?;
    // What was acknowledged is not sent again.
    w.cut(true);
    w.write(&workload(1, 2));
    w.link();
    w.past.clear();
    w.settle()?;
    let sent: u64 = w
        .past
        .iter()
        .filter_map(|(_, octets)| match up(octets)?.body {
            FromOrigin::Run(e) => Some(e.count),
            _ => None,
        })
        .sum();
    ensure!(sent == 2, "{sent} were sent for two that were new");
    w.complete()
}

fn late(s: &dyn Shipping) -> Result<(), String> {
    // A word of an older connection: the copy has less now.
    let mut w = World::both(s)?;
    w.write(&workload(1, 20));
    w.settle()?;
    let old = w.copy.borrow().clone();
    w.write(&workload(2, 20));
    w.settle()?;
    let word = w.past.iter().rev().find(|(is_up, o)| {
        !is_up && down(o).is_some_and(|m| matches!(m.body, FromPartner::Durable { next: 40 }))
    });
    let word = word.map(|(_, octets)| octets.clone()).ok_or("nothing said that 40 are durable")?;
    w.cut(true);
    w.receiver = None;
    w.copy.replace(old);
    w.copy_up()?;
    w.link();
    // Hello, Have, and the entries are on their way.
    for _ in 0..2 {
        w.step();
    }
    if let Some(shipper) = &mut w.shipper {
        shipper.handle_message(w.now, &word);
    }
    ensure!(w.durable().0 <= w.copied(), "{} by an old word, {} are there", w.durable().0, w.copied());
    w.settle()?;
    w.complete()?;
    // Anything of older connections, either way, at any time.
    for seed in 0..4 {
        let mut random = crate::random::SeededRandom::new(seed);
        let mut w = World::both(s)?;
        for (i, part) in workload(seed, 300).chunks(6).enumerate() {
            w.write(part);
            w.step();
            if i % 5 == 4 {
                w.cut(random.below(2) == 0);
                w.link();
            }
            if random.below(2) == 0 && !w.past.is_empty() {
                let (is_up, octets) = w.past[random.below(w.past.len())].clone();
                if is_up { &mut w.up } else { &mut w.down }.push_back((w.now, octets));
            }
            w.sound().map_err(|e| format!("seed {seed}: {e}"))?;
        }
        w.settle()?;
        w.complete().map_err(|e| format!("seed {seed}: {e}"))?;
    }
    Ok(())
}

fn at_once(s: &dyn Shipping) -> Result<(), String> {
    let mut w = World::both(s)?;
    w.settle()?;
    // Each is sent by itself, and all of them are there at once.
    for e in workload(3, 20) {
        w.write(&[e]);
        w.turn();
    }
    let before = w.copy.borrow().steps;
    w.step();
    let steps = w.copy.borrow().steps - before;
    ensure!(w.copied() == 20, "{} of 20 were taken", w.copied());
    ensure!(steps == 2, "{steps} steps of the disk, where an append and a sync do");
    Ok(())
}

fn window(s: &dyn Shipping) -> Result<(), String> {
    let mut w = World::both(s)?;
    w.settle()?;
    w.write(&workload(1, 150));
    for e in workload(2, 150) {
        w.write(&[e]);
        w.turn();
    }
    let octets: usize =
        w.up.iter()
            .filter_map(|(_, o)| match up(o)?.body {
                FromOrigin::Run(e) => Some(e.octets.len()),
                _ => None,
            })
            .sum();
    ensure!(octets > 0, "nothing is on its way");
    // One that nothing is on its way beside may be larger.
    let allowed = (2 << 10).max(w.up.front().map_or(0, |(_, o)| o.len()));
    ensure!(octets <= allowed, "{octets} octets are on their way, {allowed} may be");
    for _ in 0..2_000 {
        if !w.step() {
            break;
        }
        let held = w.receiver.as_ref().map_or(0, |r| r.held());
        ensure!(held <= allowed, "the partner holds {held} octets");
    }
    w.complete()
}

fn let_go(s: &dyn Shipping) -> Result<(), String> {
    let mut w = World::both(s)?;
    w.settle()?;
    w.cut(true);
    for part in workload(5, 3_000).chunks(10) {
        w.write(part);
        w.turn();
        let held = w.shipper.as_ref().map_or(0, |s| s.held());
        ensure!(held <= BOUNDS.octets + 200, "{held} octets are held");
    }
    ensure!(
        w.told.iter().any(|n| matches!(n, Notice::BufferLimitReached { .. })),
        "nobody was told: {:?}",
        w.told
    );
    w.link();
    for _ in 0..3_000 {
        let moves = w.step();
        w.sound()?;
        let (next, stands) = w.durable();
        ensure!(!stands || next + BOUNDS.lag_entries >= 3_000, "it stands at {next} of 3,000");
        if !moves {
            break;
        }
    }
    w.complete()
}

fn cut_told(s: &dyn Shipping) -> Result<(), String> {
    let mut w = World::new(s);
    w.origin_up()?;
    w.copy_up()?;
    ensure!(!w.durable().1, "it stands before there was a connection");
    w.link();
    ensure!(!w.durable().1, "it stands before the partner said a word");
    w.settle()?;
    ensure!(w.durable().1, "it does not stand");
    w.cut(true);
    ensure!(!w.durable().1, "it stands without a connection");
    Ok(())
}

fn lag_entries(s: &dyn Shipping) -> Result<(), String> {
    let mut w = World::both(s)?;
    w.settle()?;
    w.write(&workload(1, 99));
    ensure!(w.durable().1, "it does not stand at 99 of 100");
    w.write(&workload(2, 1));
    ensure!(!w.durable().1, "it stands at 100 of 100");
    // It comes back well below, and does not flap.
    while w.step() {
        let (next, stands) = w.durable();
        ensure!(!stands || next > 30, "it stands again at {next} of 100");
    }
    w.complete()
}

fn lag_time(s: &dyn Shipping) -> Result<(), String> {
    let mut w = World::both(s)?;
    w.settle()?;
    w.write(&workload(1, 1));
    w.now += 999;
    ensure!(w.durable().1, "it does not stand at 999 of 1,000 us");
    w.now += 1;
    ensure!(!w.durable().1, "it stands at 1,000 of 1,000 us");
    w.write(&workload(2, 1));
    ensure!(!w.durable().1, "a later entry makes it stand");
    w.settle()?;
    w.complete()
}

fn large(s: &dyn Shipping) -> Result<(), String> {
    for limits in [super::world::LONG, SMALL] {
        let mut w = World::new(s);
        w.limits = limits;
        w.origin_up()?;
        w.copy_up()?;
        let body = vec![7; 3 * wire::MAX_MESSAGE_BYTES + 11];
        let large = What::Accepted(Accepted { id: 900, body, ..Accepted::default() }).into();
        w.write(&workload(1, 10));
        w.write(&[large]);
        w.write(&workload(2, 30));
        w.link();
        for _ in 0..200 {
            if !w.step() {
                break;
            }
            let most = w.up.iter().map(|(_, o)| o.len()).max().unwrap_or(0);
            ensure!(most <= wire::MAX_MESSAGE_BYTES, "a message of {most} octets");
            w.sound()?;
        }
        w.complete()?;
    }
    Ok(())
}

fn anew(s: &dyn Shipping) -> Result<(), String> {
    let mut w = World::new(s);
    (w.limits, w.bounds) = (SMALL, ReplicationLimits { entries: 50, ..BOUNDS });
    w.origin_up()?;
    w.copy_up()?;
    w.link();
    w.write(&workload(1, 30));
    w.settle()?;
    for round in 0..6 {
        w.cut(true);
        for part in workload(round, 500).chunks(9) {
            w.write(part);
        }
        w.told.clear();
        w.link();
        // It is cut once more, at another place each time, or the partner goes down.
        for _ in 0..3 + round {
            w.step();
            w.sound().map_err(|e| format!("round {round}: {e}"))?;
        }
        ensure!(
            w.told.iter().any(|n| matches!(n, Notice::RebuildStarted { .. })),
            "round {round}: {:?}",
            w.told
        );
        if round % 2 == 0 {
            w.copy_down(round);
            w.copy_up()?;
        } else {
            w.cut(true);
        }
        w.sound()?;
        w.link();
        w.settle()?;
        w.complete().map_err(|e| format!("round {round}: {e}"))?;
    }
    Ok(())
}

fn noise(s: &dyn Shipping) -> Result<(), String> {
    // In a book too.
    let mut w = World::new(s);
    (w.limits, w.bounds.window) = (SMALL, 200);
    w.origin_up()?;
    w.copy_up()?;
    workload(3, 2_500).chunks(9).for_each(|part| _ = w.write(part));
    w.link();
    let mut spoilt = 0;
    for _ in 0..30 {
        w.step();
        let body = w.up.back_mut().and_then(|(_, octets)| Some((up(octets)?, octets)));
        if let Some((mut m, octets)) = body
            && let FromOrigin::SnapshotEntries(e) = &mut m.body
            && spoilt < 1
        {
            spoilt += 1;
            if let Some(last) = e.octets.last_mut() {
                *last ^= 1;
            }
            *octets = wire::write(&m).unwrap_or_default();
        }
        w.sound()?;
    }
    ensure!(spoilt == 1, "no book went");
    w.settle_well()?;
    w.complete()?;
    let mut w = World::both(s)?;
    let mut random = crate::random::SeededRandom::new(1);
    for part in workload(1, 200).chunks(4) {
        w.write(part);
        w.step();
        if w.past.is_empty() {
            continue;
        }
        // Spoilt in its head or cut short: of a life or a talk that is none, or no message. What is spoilt further in is the
        // connection's to find.
        let (is_up, octets) = w.past[random.below(w.past.len())].clone();
        let mut bad = random.octets(3);
        bad.extend_from_slice(&octets[..random.below(octets.len())]);
        let mut whole = bad.clone();
        // Entries of the talk that stands, with one octet changed: they are not taken, or not as they are.
        let spoilt = w.up.back().and_then(|(_, octets)| up(octets)).and_then(|mut m| match &mut m.body {
            FromOrigin::Run(e) | FromOrigin::SnapshotEntries(e) => {
                let at = random.below(e.octets.len());
                e.octets[at] ^= 1 << random.below(8);
                wire::write(&m)
            }
            _ => None,
        });
        let is_up = is_up || spoilt.is_some();
        whole = spoilt.unwrap_or(whole);
        if let (true, Some(r)) = (is_up, &mut w.receiver) {
            r.handle_message(w.now, &whole);
        }
        if let (false, Some(s)) = (is_up, &mut w.shipper) {
            s.handle_message(w.now, &whole);
        }
        w.sound()?;
    }
    w.settle_well()?;
    w.complete()
}
