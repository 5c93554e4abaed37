//! What holds of each keeper's log on any folder.

use super::{Held, Keeping, Ledger, Shelf};
use crate::ensure;
use crate::suite::{Clause, done};
use std::rc::Rc;

type Of<'a> = &'a dyn Keeping;

/// What holds of each.
pub const CLAUSES: &[Clause<dyn Keeping>] = &[
    Clause { name: "what was promised is found again", run: promised },
    Clause { name: "what was taken is found again", run: taken },
    Clause { name: "what was decided is found again", run: decided },
    Clause { name: "what was taken later replaces what it contradicts", run: replaced },
    Clause { name: "what is decided never shrinks", run: never_shrinks },
    Clause { name: "trimming keeps the rest", run: trimmed },
    Clause { name: "a log written anew holds the same", run: anew },
    Clause { name: "a torn end is cut, and the rest is found", run: torn },
    Clause { name: "a broken middle is refused", run: broken },
    Clause { name: "an old folder is told by its mark", run: old },
    Clause { name: "another keeper's log is refused", run: other },
];

/// The keeper of most clauses.
const OWN: u8 = 1;

fn open(k: Of, shelf: &Shelf) -> Result<Box<dyn Ledger>, String> {
    done("open", k.open(Rc::clone(shelf), OWN))
}

fn commit(log: &mut dyn Ledger) -> Result<(), String> {
    ensure!(log.commit(), "a commit failed");
    Ok(())
}

/// What is found by whoever opens the folder next.
fn again(k: Of, shelf: &Shelf, log: Box<dyn Ledger>) -> Result<(Held, u64), String> {
    drop(log);
    let log = open(k, shelf)?;
    Ok((log.held(), log.mark()))
}

fn promised(k: Of) -> Result<(), String> {
    let shelf = k.shelf();
    let mut log = open(k, &shelf)?;
    for n in [1, 5] {
        log.promise(n);
        commit(&mut *log)?;
        let found = again(k, &shelf, log)?.0.promised;
        ensure!(found == n, "ballot {n} was promised, {found} is found");
        log = open(k, &shelf)?;
    }
    Ok(())
}

fn taken(k: Of) -> Result<(), String> {
    let shelf = k.shelf();
    let mut log = open(k, &shelf)?;
    log.take(2, 0, &[b"one", b"two"]);
    commit(&mut *log)?;
    log.take(2, 2, &[b"three"]);
    commit(&mut *log)?;
    let found = again(k, &shelf, log)?.0;
    ensure!(found.items == [&b"one"[..], b"two", b"three"], "{found:?}");
    ensure!(found.accepted == 2, "taken in ballot 2, {} is found", found.accepted);
    Ok(())
}

fn decided(k: Of) -> Result<(), String> {
    let shelf = k.shelf();
    let mut log = open(k, &shelf)?;
    log.take(2, 0, &[b"one", b"two"]);
    for n in [1, 2] {
        log.decide(n);
        commit(&mut *log)?;
    }
    let found = again(k, &shelf, log)?.0.decided;
    ensure!(found == 2, "two slots were decided, {found} are found");
    Ok(())
}

fn replaced(k: Of) -> Result<(), String> {
    let shelf = k.shelf();
    let mut log = open(k, &shelf)?;
    log.take(2, 0, &[b"one", b"two", b"three"]);
    commit(&mut *log)?;
    log.take(3, 1, &[b"other"]);
    commit(&mut *log)?;
    let found = again(k, &shelf, log)?.0;
    ensure!(found.items == [&b"one"[..], b"other"] && found.accepted == 3, "{found:?}");
    Ok(())
}

fn never_shrinks(k: Of) -> Result<(), String> {
    let shelf = k.shelf();
    let mut log = open(k, &shelf)?;
    log.take(2, 0, &[b"one", b"two", b"three"]);
    log.decide(3);
    commit(&mut *log)?;
    log.decide(1);
    ensure!(log.held().decided == 3, "{} slots are decided, and three were", log.held().decided);
    // It may refuse; what it may not is forget.
    _ = log.commit();
    let found = again(k, &shelf, log)?.0.decided;
    ensure!(found == 3, "three slots were decided, {found} are found");
    Ok(())
}

fn trimmed(k: Of) -> Result<(), String> {
    let shelf = k.shelf();
    let mut log = open(k, &shelf)?;
    log.promise(2);
    log.take(2, 0, &[b"0", b"1", b"2", b"3", b"4"]);
    log.decide(4);
    commit(&mut *log)?;
    log.trim(3);
    commit(&mut *log)?;
    let mut wanted =
        Held { promised: 2, accepted: 2, decided: 4, trimmed: 3, items: vec![b"3".into(), b"4".into()] };
    ensure!(log.held() == wanted, "{:?}", log.held());
    log.take(2, 5, &[b"5"]);
    commit(&mut *log)?;
    wanted.items.push(b"5".into());
    let found = again(k, &shelf, log)?.0;
    ensure!(found == wanted, "{found:?}");
    Ok(())
}

fn anew(k: Of) -> Result<(), String> {
    let shelf = k.shelf();
    let mut log = open(k, &shelf)?;
    log.promise(4);
    let mut most = 0;
    for n in 0..20 {
        let body = vec![n as u8; 20_000];
        log.take(4, n, &[&body]);
        log.decide(n + 1);
        log.trim(n.saturating_sub(1));
        commit(&mut *log)?;
        most = most.max(octets(&shelf)?);
    }
    ensure!(octets(&shelf)? < 20 * 20_000 && most < 20 * 20_000, "{most} octets for two items that are kept");
    let (before, found) = (log.held(), again(k, &shelf, log)?.0);
    ensure!(found == before && found.items.len() == 2, "{found:?}");
    Ok(())
}

/// Octets of all files of the log.
fn octets(shelf: &Shelf) -> Result<usize, String> {
    let all = shelf.borrow();
    let names = done("list", all.list())?;
    Ok(names.iter().map(|n| all.read(n).map_or(0, |o| o.len())).sum())
}

/// The file of a log that has but one, and what is in it.
fn file(shelf: &Shelf) -> Result<(String, Vec<u8>), String> {
    let all = shelf.borrow();
    let names = done("list", all.list())?;
    let full =
        names.into_iter().filter_map(|n| Some((n.clone(), all.read(&n).ok()?))).find(|(_, o)| !o.is_empty());
    full.ok_or("there is no file".into())
}

fn put(shelf: &Shelf, name: &str, octets: &[u8]) -> Result<(), String> {
    let mut all = shelf.borrow_mut();
    done("create", all.create(name))?;
    done("append", all.append(name, octets))
}

/// A folder with two commits; the file after the first and after both.
fn two(k: Of) -> Result<(Shelf, String, Vec<u8>, Vec<u8>), String> {
    let shelf = k.shelf();
    let mut log = open(k, &shelf)?;
    log.promise(2);
    log.take(2, 0, &[b"first"]);
    commit(&mut *log)?;
    let (name, first) = file(&shelf)?;
    log.promise(3);
    log.take(3, 1, &[b"second"]);
    log.decide(1);
    commit(&mut *log)?;
    let both = file(&shelf)?.1;
    ensure!(both.starts_with(&first) && both.len() > first.len(), "a commit is not appended");
    Ok((shelf, name, first, both))
}

fn torn(k: Of) -> Result<(), String> {
    let (shelf, name, first, both) = two(k)?;
    for end in first.len()..both.len() {
        put(&shelf, &name, &both[..end])?;
        let mut log = done(&format!("open, torn at octet {end}"), k.open(Rc::clone(&shelf), OWN))?;
        let found = log.held();
        ensure!(
            found.promised == 2 && found.items == [b"first"] && found.decided == 0,
            "octet {end}: {found:?}"
        );
        // What is written next must not stand behind the torn end.
        log.promise(9);
        commit(&mut *log)?;
        let found = again(k, &shelf, log)?.0;
        ensure!(
            found.promised == 9 && found.items == [b"first"],
            "octet {end}, after the next commit: {found:?}"
        );
    }
    Ok(())
}

fn broken(k: Of) -> Result<(), String> {
    let (shelf, name, first, both) = two(k)?;
    for at in 0..first.len() {
        let mut octets = both.clone();
        octets[at] ^= 0x10;
        put(&shelf, &name, &octets)?;
        ensure!(k.open(Rc::clone(&shelf), OWN).is_err(), "octet {at} is altered, and it opens");
        ensure!(file(&shelf)?.1 == octets, "octet {at} is altered, and the file was changed");
    }
    put(&shelf, &name, &both)?;
    open(k, &shelf).map(drop)
}

fn old(k: Of) -> Result<(), String> {
    let shelf = k.shelf();
    let mut log = open(k, &shelf)?;
    let (mut marks, mut copies) = (Vec::new(), Vec::new());
    for n in 1..6 {
        log.promise(n);
        commit(&mut *log)?;
        marks.push(log.mark());
        copies.push(file(&shelf)?);
    }
    ensure!(marks.is_sorted_by(|a, b| a < b), "marks do not rise with each commit: {marks:?}");
    let (_, mark) = again(k, &shelf, log)?;
    ensure!(Some(&mark) == marks.last(), "the mark was {marks:?}, {mark} is found");
    for ((name, octets), wanted) in copies.iter().zip(&marks) {
        put(&shelf, name, octets)?;
        let found = open(k, &shelf)?.mark();
        ensure!(found == *wanted, "a folder from before has mark {found}, and had {wanted}");
    }
    Ok(())
}

fn other(k: Of) -> Result<(), String> {
    let (shelf, name, _, both) = two(k)?;
    ensure!(k.open(Rc::clone(&shelf), OWN + 1).is_err(), "the second keeper opens the first one's log");
    ensure!(file(&shelf)? == (name, both), "the file was changed");
    Ok(())
}
