//! What replication needs of a journal: reading entries from any number on while it is written, reading the
//! newest snapshot, a digest chain that survives reopening, and replacement by the snapshot of another
//! journal.

use heronroute_journal::disk::{Disk, Faults};
use heronroute_journal::entry::*;
use heronroute_journal::{Cursor, Entry, Journal, JournalError, Limits, frame};
use prost::Message as _;

const SMALL: Limits = Limits { segment: 600, growth: 2, least: 3_000, most: 1 << 20 };

fn entries(n: u64) -> Vec<Entry> {
    let body = |id| vec![7; (id * 37 % 90) as usize];
    let one = |id| What::Accepted(Accepted { id, body: body(id), ..Accepted::default() }).into();
    (0..n).map(|id| if id % 3 == 2 { What::Taken(Taken { id: id - 1 }).into() } else { one(id) }).collect()
}

fn decoded(bytes: &[u8]) -> Vec<Entry> {
    frame::encoded_entries(bytes).map(|e| Entry::decode(e).unwrap()).collect()
}

#[test]
fn the_log_can_be_read_from_any_number_while_it_grows() {
    let all = entries(400);
    let mut journal = Journal::open_chained(Disk::default(), SMALL).unwrap();
    let (mut cursor, mut have) = (Cursor::default(), 0);
    let mut dropped = 0;
    for (i, part) in all.chunks(7).enumerate() {
        journal.commit(part).unwrap();
        for most in [1, 40, 300] {
            match journal.read(&mut cursor, have, most).unwrap() {
                Some(run) => {
                    let to = (have + run.count) as usize;
                    assert_eq!(decoded(&run.octets), all[have as usize..to], "commit {i} from {have}");
                    assert!(run.count > 0 || have == journal.durable());
                    have = to as u64;
                }
                // A snapshot removed it: a new cursor doesn't find it either.
                None => {
                    assert!(journal.read(&mut Cursor::default(), have, most).unwrap().is_none());
                    dropped += 1;
                    have = journal.durable();
                }
            }
        }
        for from in (0..=journal.durable()).rev().step_by(5) {
            if let Some(run) = journal.read(&mut Cursor::default(), from, usize::MAX).unwrap() {
                assert_eq!(
                    decoded(&run.octets),
                    all[from as usize..journal.durable() as usize],
                    "from {from}"
                );
            }
        }
    }
    assert!(dropped > 2 && journal.usage().snapshots > 2);
    assert!(journal.read(&mut cursor, 401, 1).unwrap().is_none(), "not written yet");
}

#[test]
fn the_chain_survives_reopening_and_snapshots() {
    let all = entries(3_000);
    let mut journal = Journal::open_chained(Disk::default(), SMALL).unwrap();
    let whole = {
        let mut other = Journal::open_chained(Disk::default(), Limits::default()).unwrap();
        other.commit(&all).unwrap();
        other.chain().cloned().unwrap()
    };
    for part in all.chunks(11) {
        journal.commit(part).unwrap();
        let before = journal.chain().cloned();
        journal = Journal::open_chained(journal.into_storage(), SMALL).unwrap();
        assert_eq!(journal.chain(), before.as_ref());
    }
    assert_eq!(journal.chain(), Some(&whole), "the chain depends on the entries alone");
    // A process that runs without replication drops the chain, and a new one begins afterwards.
    let mut plain = Journal::open(journal.into_storage(), SMALL).unwrap();
    plain.snapshot().unwrap();
    let journal = Journal::open_chained(plain.into_storage(), SMALL).unwrap();
    assert!(journal.chain().unwrap().digest(3_000).is_some_and(|d| d != whole.at().digest));
    assert_eq!(journal.chain().unwrap().digest(1_024), None);
}

/// Copies the newest snapshot in parts.
fn copy(from: &Journal<Disk>, to: &mut Journal<Disk>) -> Result<(), JournalError> {
    let (mut cursor, mut at, mut base) = (Cursor::default(), 0, None);
    loop {
        let part = from.read_snapshot_part(&mut cursor, None, at, 500)?.unwrap();
        let mut under_way = match base.take() {
            Some(base) => base,
            None => to.begin_replacement(part.chain.clone())?,
        };
        to.add_to_replacement(&mut under_way, &decoded(&part.run.octets))?;
        at += part.run.count;
        if part.end {
            return to.finish_replacement(under_way);
        }
        base = Some(under_way);
    }
}

#[test]
fn a_journal_is_replaced_by_a_snapshot_completely_or_not_at_all() {
    let all = entries(200);
    let mut origin = Journal::open_chained(Disk::default(), SMALL).unwrap();
    origin.commit(&all).unwrap();
    origin.snapshot().unwrap();
    let (state, chain) = (origin.state().clone(), origin.chain().cloned());
    let old = &all[..20];
    let fresh = || {
        let mut j = Journal::open_chained(Disk::default(), SMALL).unwrap();
        j.commit(old).unwrap();
        j
    };
    let before = fresh();
    let (book_before, chain_before) = (before.state().clone(), before.chain().cloned());
    let steps = before.into_storage().steps;
    let mut whole = 0;
    for power in steps + 1..steps + 60 {
        let mut disk = fresh().into_storage();
        disk.faults = Faults { power, ..Faults::default() };
        // Power may also be lost while the journal is opened.
        let Ok(mut to) = Journal::open_chained(disk, SMALL) else { continue };
        let done = copy(&origin, &mut to).is_ok();
        for how in 0..8 {
            let found = Journal::open_chained(to.storage().after_loss(how * 7 + power), SMALL).unwrap();
            let new = found.state() == &state && found.chain() == chain.as_ref() && found.durable() == 200;
            let old = found.state() == &book_before && found.chain() == chain_before.as_ref();
            assert!(new || (old && !done), "power {power} how {how}");
            whole += u32::from(new);
        }
    }
    assert!(whole > 100, "{whole}");
    let mut to = fresh();
    copy(&origin, &mut to).unwrap();
    to.commit(&all[..5]).unwrap();
    assert_eq!(to.durable(), 205);
    assert!(copy(&origin, &mut to).is_err(), "the snapshot has fewer entries than the journal");
}
