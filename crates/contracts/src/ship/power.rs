//! Power is lost at every step of seeded workloads, at the partner or at the origin, and again while that comes back.

use super::Shipping;
use super::trouble::aside;
use super::world::{SMALL, World, same, state, workload};
use crate::ensure;
use crate::suite::Clause;
use heronroute_journal::disk::Faults;

/// What holds when power is lost.
pub const POWER: &[Clause<dyn Shipping>] = &[
    Clause { name: "nothing is called durable that a loss of power at the partner takes", run: partner },
    Clause { name: "a loss of power at the origin leaves the copy a part of its log", run: origin },
    Clause { name: "a loss of power leaves a copy where it was, or aside", run: putting_aside },
];

/// A run: three parts of it, cuts between them, the second long enough for the book to go.
fn run(w: &mut World<'_>, seed: u64) -> Result<(), String> {
    for (i, part) in workload(seed, 200).chunks(40).enumerate() {
        for some in part.chunks(7) {
            w.write(some);
            if i != 2 {
                w.step();
            }
        }
        w.cut(i % 2 == 0);
        w.link();
    }
    // Whatever was lost, it ends.
    for _ in 0..40 {
        if !w.step() {
            break;
        }
    }
    Ok(())
}

fn fresh(s: &dyn Shipping) -> Result<World<'_>, String> {
    let mut w = World::new(s);
    (w.limits, w.copy_limits) = (SMALL, SMALL);
    w.bounds.entries = 30;
    w.origin_up()?;
    Ok(w)
}

/// After each loss the copy is sound; then all of it comes together.
fn end(w: &mut World<'_>, what: &str, promised: u64) -> Result<(), String> {
    w.sound().map_err(|e| format!("{what}: {e}"))?;
    ensure!(w.copied() >= promised, "{what}: {promised} were called durable, {} are there", w.copied());
    w.link();
    w.settle_well().map_err(|e| format!("{what}: {e}"))?;
    w.complete().map_err(|e| format!("{what}: {e}"))
}

fn partner(s: &dyn Shipping) -> Result<(), String> {
    for seed in 0..2 {
        let mut whole = fresh(s)?;
        whole.copy_up()?;
        whole.link();
        run(&mut whole, seed)?;
        let steps = whole.copy.borrow().steps;
        for power in 1..=steps {
            let mut w = fresh(s)?;
            w.copy.borrow_mut().faults = Faults { power, ..Faults::default() };
            _ = w.copy_up();
            w.link();
            run(&mut w, seed)?;
            let promised = w.durable().0;
            w.copy_down(power);
            // Power goes again as it comes back.
            w.copy.borrow_mut().faults = Faults { power: 1 + power % 9, ..Faults::default() };
            if w.copy_up().is_ok() {
                w.link();
                (0..6).for_each(|_| _ = w.step());
            }
            w.copy_down(power + 1);
            w.copy_up().map_err(|e| format!("seed {seed} power {power}: {e}"))?;
            end(&mut w, &format!("seed {seed} power {power}"), promised)?;
        }
    }
    Ok(())
}

fn origin(s: &dyn Shipping) -> Result<(), String> {
    for seed in 0..2 {
        let mut whole = fresh(s)?;
        whole.copy_up()?;
        whole.link();
        run(&mut whole, seed)?;
        let steps = whole.origin.borrow().steps;
        for power in 1..=steps {
            let mut w = World::new(s);
            (w.limits, w.copy_limits) = (SMALL, SMALL);
            w.bounds.entries = 30;
            w.origin.borrow_mut().faults = Faults { power, ..Faults::default() };
            _ = w.origin_up();
            w.copy_up()?;
            w.link();
            run(&mut w, seed)?;
            for again in [1 + power % 9, 0] {
                w.origin_down(power + again);
                w.origin.borrow_mut().faults = Faults { power: again, ..Faults::default() };
                let what = format!("seed {seed} power {power} again {again}");
                if w.origin_up().is_ok() {
                    // What was being written may have become whole, though nobody was told.
                    let found = w.journal.as_ref().map_or(0, |j| j.durable() as usize);
                    let all = workload(seed, 200);
                    ensure!(found >= w.written.len() && found <= all.len(), "{what}: {found}");
                    w.written = all[..found].to_vec();
                    w.sound().map_err(|e| format!("{what}: {e}"))?;
                    w.link();
                    (0..6).for_each(|_| _ = w.step());
                }
            }
            ensure!(w.journal.is_some(), "seed {seed} power {power}: it does not come up");
            end(&mut w, &format!("seed {seed} power {power}"), 0)?;
        }
    }
    Ok(())
}

/// Power is lost at each step in which a copy is put aside.
fn putting_aside(s: &dyn Shipping) -> Result<(), String> {
    let mut ends = [0, 0];
    for power in 0..25 {
        let mut w = World::both(s)?;
        w.copy_limits = SMALL;
        w.copy_up()?;
        w.link();
        workload(1, 150).chunks(10).for_each(|part| {
            w.write(part);
            w.step();
        });
        w.settle()?;
        let copy = w.written.clone();
        w.cut(true);
        w.origin.replace(heronroute_journal::disk::Disk::default());
        (w.start, w.written) = (2, Vec::new());
        w.origin_up()?;
        w.write(&workload(2, 20));
        // Past the new life's name.
        let at = w.copy.borrow().steps + 6 + power;
        w.copy.borrow_mut().faults = Faults { power: at, ..Faults::default() };
        w.link();
        w.settle()?;
        w.copy_down(power);
        w.copy_up()?;
        let whole = w
            .receiver
            .as_ref()
            .and_then(|r| r.state())
            .is_some_and(|(b, n)| n == 150 && same(b, &state(&copy)));
        if !whole {
            w.sound().map_err(|e| format!("power {power}: {e}"))?;
        }
        ends[usize::from(whole)] += 1;
        w.link();
        w.settle_well()?;
        w.complete().map_err(|e| format!("power {power}: {e}"))?;
        let kept = aside(&w)?.ok_or("nothing is kept aside")?;
        ensure!(same(kept.state(), &state(&copy)), "power {power}: what is aside is not the old copy");
    }
    ensure!(ends.iter().all(|n| *n > 1), "before and after: {ends:?}");
    Ok(())
}
