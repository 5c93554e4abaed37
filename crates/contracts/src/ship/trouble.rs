//! What holds when disks are put back, fill up or fail, and lives overlap.

use super::Shipping;
use super::world::{SMALL, World, same, state, workload};
use crate::ensure;
use crate::suite::{Clause, done};
use heronroute_journal::disk::Faults;
use heronroute_journal::{Journal, Limits, Storage};
use heronroute_ship::Notice;

/// What holds in trouble.
pub const TROUBLE: &[Clause<dyn Shipping>] = &[
    Clause { name: "a copy that remembers less than it acknowledged is noticed", run: old_copy },
    Clause {
        name: "a copy that is not the origin's is put aside and kept, and nothing of it goes on",
        run: parted,
    },
    Clause {
        name: "logs that parted where neither reaches any more are found by their digests",
        run: parted_long_ago,
    },
    Clause { name: "an older life is refused", run: old_life },
    Clause { name: "a full copy acknowledges nothing, and goes on once there is room", run: full },
    Clause { name: "a failed sync is acknowledged never", run: failed },
];

fn old_copy(s: &dyn Shipping) -> Result<(), String> {
    let mut w = World::both(s)?;
    w.write(&workload(1, 25));
    w.settle()?;
    let old = w.copy.borrow().clone();
    w.write(&workload(2, 25));
    w.settle()?;
    w.cut(true);
    w.receiver = None;
    w.copy.replace(old);
    w.copy_up()?;
    w.link();
    while w.copied() < 50 && w.step() {
        ensure!(w.copied() == 50 || !w.durable().1, "it stands at {:?}", w.durable());
    }
    w.settle()?;
    let notice = Notice::CopyLostEntries { acked: 50, found: 25 };
    ensure!(w.told.contains(&notice), "the origin's side says {:?}", w.told);
    ensure!(w.told_there.contains(&notice), "the partner's side says {:?}", w.told_there);
    w.complete()
}

/// What lies aside, opened as a journal.
pub(super) fn aside(w: &World<'_>) -> Result<Option<Journal<heronroute_journal::disk::Disk>>, String> {
    let from = w.copy.borrow();
    let mut to = heronroute_journal::disk::Disk::default();
    let mut any = false;
    for name in done("list", from.list())? {
        if let Some(plain) = name.strip_prefix("aside-") {
            let octets = done("read", from.read(&name))?;
            done("create", to.create(plain))?;
            done("append", to.append(plain, &octets))?;
            any = true;
        }
    }
    let open = || done("what is aside", Journal::open_chained(to, super::world::LONG));
    if any { open().map(Some) } else { Ok(None) }
}

fn parted(s: &dyn Shipping) -> Result<(), String> {
    // The origin's disk was put back: its log is shorter, as long, or longer than the copy, and other since.
    for (more, limits) in
        [(0, super::world::LONG), (20, super::world::LONG), (33, super::world::LONG), (33, SMALL)]
    {
        let mut w = World::both(s)?;
        w.limits = limits;
        w.origin_up()?;
        w.link();
        w.write(&workload(1, 30));
        w.settle()?;
        let (yesterday, before) = (w.origin.borrow().clone(), w.written.clone());
        w.write(&workload(2, 20));
        w.settle()?;
        w.complete()?;
        let copy = w.written.clone();
        w.origin_down(1);
        w.origin.replace(yesterday);
        w.written = before;
        w.origin_up()?;
        if more > 0 {
            w.write(&workload(3, more));
        }
        w.told.clear();
        w.link();
        while w.step() {
            // The copy is the old one, whole, or the new one.
            if w.copied() != 50 || w.written.len() > 50 && w.sound().is_ok() {
                w.sound().map_err(|e| format!("{more} more: {e}"))?;
            }
        }
        ensure!(
            w.told.iter().any(|n| matches!(n, Notice::Diverged { copy: 50, .. })),
            "{more} more: the origin's side says {:?}",
            w.told
        );
        w.complete().map_err(|e| format!("{more} more: {e}"))?;
        let kept = aside(&w)?.ok_or("nothing is kept aside")?;
        ensure!(same(kept.state(), &state(&copy)), "{more} more: what is aside is not the old copy");
        // Once more: one is kept, and the next is not let go either.
        w.written.truncate(10);
        w.cut(true);
        let mut journal =
            done("open", Journal::open_chained(heronroute_journal::disk::Disk::default(), limits))?;
        done("commit", journal.commit(&w.written))?;
        w.origin.replace(journal.into_storage());
        w.start += 1;
        w.origin_up()?;
        w.link();
        w.settle()?;
        ensure!(w.told.contains(&Notice::SetAsideExists), "{more} more: a second time says {:?}", w.told);
        ensure!(
            !w.durable().1 && w.copied() == 30 + more as u64,
            "{more} more: it goes on at {}",
            w.copied()
        );
    }
    Ok(())
}

/// What both logs were differs in what neither has in its log any more.
fn parted_long_ago(s: &dyn Shipping) -> Result<(), String> {
    let mut w = World::both(s)?;
    (w.limits, w.copy_limits) = (SMALL, SMALL);
    (w.bounds.octets, w.bounds.entries) = (1 << 20, 10_000);
    w.origin_up()?;
    w.copy_up()?;
    w.link();
    w.write(&workload(1, 1_500));
    w.settle()?;
    let (yesterday, before) = (w.origin.borrow().clone(), w.written.clone());
    w.write(&workload(2, 1_000));
    w.settle()?;
    w.complete()?;
    w.origin_down(1);
    w.origin.replace(yesterday);
    w.written = before;
    w.origin_up()?;
    workload(3, 2_000).chunks(50).for_each(|part| _ = w.write(part));
    w.told.clear();
    w.link();
    w.settle()?;
    let wanted = Notice::Diverged { copy: 2_500, origin: 3_500 };
    ensure!(w.told.contains(&wanted), "the origin's side says {:?}", w.told);
    w.complete()
}

fn old_life(s: &dyn Shipping) -> Result<(), String> {
    let mut w = World::both(s)?;
    w.write(&workload(1, 10));
    w.settle()?;
    // The machine was copied: two lives write, each on.
    let paused = (w.shipper.take(), w.journal.take(), w.origin.borrow().clone());
    w.start += 1;
    w.origin_up()?;
    w.link();
    w.write(&workload(2, 10));
    w.settle()?;
    w.complete()?;
    let written = w.written.clone();
    for restart in [false, true] {
        if restart {
            w.copy_down(3);
            w.copy_up()?;
        }
        // The older one comes back, with a connection of its own.
        let mut older = World::both(s)?;
        older.shipper = None;
        older.origin.replace(paused.2.clone());
        older.start = 1;
        older.written.clone_from(&written);
        older.written.truncate(10);
        older.origin_up()?;
        older.copy = std::rc::Rc::clone(&w.copy);
        older.receiver = w.receiver.take();
        older.write(&workload(9, 5));
        older.link();
        older.settle()?;
        ensure!(older.copied() == 20, "it took {} entries", older.copied());
        let known = Notice::NewerLife { known: 2 };
        ensure!(older.told.contains(&known), "the older life is told {:?}", older.told);
        ensure!(older.told_there.contains(&known), "the partner says {:?}", older.told_there);
        ensure!(!older.durable().1, "the older life is called near");
        w.receiver = older.receiver.take();
    }
    w.cut(true);
    w.link();
    w.write(&workload(4, 10));
    w.settle()?;
    w.complete()
}

fn full(s: &dyn Shipping) -> Result<(), String> {
    let mut w = World::both(s)?;
    w.copy_limits = Limits { most: 1_500, least: 1_000_000, ..SMALL };
    w.copy_up()?;
    for part in workload(1, 200).chunks(5) {
        w.write(part);
        w.step();
        w.sound()?;
    }
    w.settle()?;
    ensure!(w.copied() < 200, "it fits");
    ensure!(w.told.contains(&Notice::Full), "the origin's side says {:?}", w.told);
    ensure!(w.told_there.contains(&Notice::Full), "the partner's side says {:?}", w.told_there);
    ensure!(!w.durable().1, "it stands");
    w.now += 30_000_000;
    w.settle()?;
    w.sound()?;
    ensure!(w.copied() < 200 && !w.durable().1, "it is full no more");
    w.copy_down(1);
    w.copy_limits = SMALL;
    w.copy_up()?;
    w.link();
    w.settle_well()?;
    w.complete()
}

fn failed(s: &dyn Shipping) -> Result<(), String> {
    let mut failures = 0;
    for sync in 4..30 {
        let mut w = World::new(s);
        w.copy.borrow_mut().faults = Faults { sync, ..Faults::default() };
        w.origin_up()?;
        if w.copy_up().is_err() {
            continue;
        }
        w.link();
        for part in workload(sync, 60).chunks(5) {
            w.write(part);
            w.step();
        }
        w.settle()?;
        if w.told_there.contains(&Notice::Failed) {
            failures += 1;
            ensure!(!w.durable().1, "it stands on a disk that failed at {sync}");
        }
        let promised = w.durable().0;
        w.copy_down(sync);
        w.copy_up()?;
        ensure!(w.copied() >= promised, "{promised} were called durable, {} are there", w.copied());
        w.link();
        w.settle_well()?;
        w.complete()?;
    }
    ensure!(failures > 5, "{failures} failures");
    Ok(())
}
