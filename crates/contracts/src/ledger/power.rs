//! What holds of a keeper's log on a disk that loses power.

use super::{Held, Keeping, Ledger, Shelf};
use crate::ensure;
use crate::suite::{Clause, done};
use heronroute_journal::disk::{Disk, Faults};
use std::cell::RefCell;
use std::rc::Rc;

type Of<'a> = &'a dyn Keeping;

/// What holds whatever the disk does.
pub const POWER: &[Clause<dyn Keeping>] = &[
    Clause { name: "what may be told survives a loss of power at any step", run: survives },
    Clause { name: "a commit is found whole or not at all", run: whole },
    Clause { name: "a failed commit may not be told, and nothing after it", run: failed },
];

/// Octets of the greatest items, and losses at each step: small, and such that the file is written anew.
const SIZES: [(usize, u64); 2] = [(9, 8), (140_000, 1)];

/// Commits of a run.
const COMMITS: usize = 5;

/// Something of each kind, several commits, the log written anew among them. Gives what it held after each commit that
/// succeeded, and what the one that failed would have made of it.
fn script(log: &mut dyn Ledger, big: usize) -> (Vec<Held>, Held) {
    let mut told = vec![log.held()];
    let big = vec![7; big];
    for n in 0..COMMITS {
        log.promise(2 + n as u32);
        log.take(2 + n as u32, n, &[if n == 2 || n == 3 { &big } else { b"small" }]);
        log.decide(n);
        if n > 3 {
            log.trim(n - 1);
        }
        if !log.commit() {
            break;
        }
        told.push(log.held());
    }
    (told, log.held())
}

/// Runs the script on a disk for each step at which power may be lost; looks at what is found after each loss.
fn each_step(k: Of, look: impl Fn(u64, &[Held], &Held, &Held) -> Result<(), String>) -> Result<(), String> {
    SIZES.into_iter().try_for_each(|(big, seeds)| each_step_of(k, big, seeds, &look))
}

fn each_step_of(
    k: Of,
    big: usize,
    seeds: u64,
    look: &impl Fn(u64, &[Held], &Held, &Held) -> Result<(), String>,
) -> Result<(), String> {
    for step in 1.. {
        let disk = Rc::new(RefCell::new(Disk::new(Faults { power: step, ..Faults::default() })));
        let shelf: Shelf = disk.clone();
        let mut log = done("open an empty folder", k.open(shelf, 1))?;
        let (told, tried) = script(&mut *log, big);
        if !disk.borrow().power_lost() {
            return Ok(());
        }
        for seed in step..step + seeds {
            let after = Rc::new(RefCell::new(disk.borrow().after_loss(seed)));
            let found = done(&format!("open after a loss at step {step}, seed {seed}"), k.open(after, 1))?;
            look(step, &told, &tried, &found.held())?;
        }
    }
    Ok(())
}

fn survives(k: Of) -> Result<(), String> {
    each_step(k, |step, told, _, found| {
        let last = told.last().cloned().unwrap_or_default();
        ensure!(
            found.promised >= last.promised,
            "step {step}: promised {}, and was {}",
            found.promised,
            last.promised
        );
        ensure!(
            found.accepted >= last.accepted,
            "step {step}: accepted {}, and was {}",
            found.accepted,
            last.accepted
        );
        ensure!(
            found.decided >= last.decided,
            "step {step}: decided {}, and was {}",
            found.decided,
            last.decided
        );
        let end = |held: &Held| held.trimmed + held.items.len();
        ensure!(end(found) >= end(&last), "step {step}: {} items, and were {}", end(found), end(&last));
        Ok(())
    })
}

fn whole(k: Of) -> Result<(), String> {
    each_step(k, |step, told, tried, found| {
        let fits = told.contains(found) || found == tried;
        ensure!(
            fits,
            "step {step}: a part of a commit is found: promised {}, accepted {}, decided {}, {} items",
            found.promised,
            found.accepted,
            found.decided,
            found.items.len()
        );
        Ok(())
    })
}

fn failed(k: Of) -> Result<(), String> {
    let big = 9;
    let whole = Rc::new(RefCell::new(Disk::default()));
    script(&mut *done("open", k.open(whole.clone(), 1))?, big);
    let steps = whole.borrow().steps;
    let mut met = 0;
    for step in 1..=steps {
        let disk = Rc::new(RefCell::new(Disk::new(Faults { sync: step, ..Faults::default() })));
        let mut log = done("open", k.open(disk.clone(), 1))?;
        let (told, _) = script(&mut *log, big);
        if told.len() > COMMITS {
            continue;
        }
        met += 1;
        log.promise(99);
        ensure!(!log.commit(), "the sync at step {step} failed, and the next commit may be told");
    }
    ensure!(met > 0, "no sync that fails is ever told");
    Ok(())
}
