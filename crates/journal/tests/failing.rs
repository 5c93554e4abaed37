//! Storage that fails for a while, at every step and for ranges of steps: no durable entry is lost, no entry
//! of a failed commit counts, and a retry succeeds once the storage works again.

use heronroute_journal::disk::{Disk, Failing, Faults};
use heronroute_journal::entry::{Accepted, Taken, What};
use heronroute_journal::{Entry, Journal, JournalState, Limits, Storage};
use std::io;

/// Small enough that new segments and snapshots are frequent.
const LIMITS: Limits = Limits { segment: 600, growth: 2, least: 1_500, most: 100_000 };
/// The number of commits in a run.
const BATCHES: u64 = 30;
/// The maximum number of attempts at a commit.
const MAX_ATTEMPTS: usize = 60;

fn batches() -> Vec<Vec<Entry>> {
    let batch = |n: u64| {
        let accepted = What::Accepted(Accepted { id: n, body: vec![n as u8; 60], ..Accepted::default() });
        let mut enattempts = vec![Entry::from(accepted)];
        if n > 6 {
            enattempts.push(What::Taken(Taken { id: n - 6 }).into());
        }
        enattempts
    };
    (1..=BATCHES).map(batch).collect()
}

/// Returns the states after each number of batches.
fn books(batches: &[Vec<Entry>]) -> Vec<JournalState> {
    let mut state = JournalState::default();
    let mut all = vec![state.clone()];
    for batch in batches {
        batch.iter().for_each(|e| state.apply(e));
        all.push(state.clone());
    }
    all
}

fn open_ids(state: &JournalState) -> Vec<u64> {
    state.open.keys().copied().collect()
}

fn reopened_state(disk: Disk) -> JournalState {
    Journal::open(disk, LIMITS).expect("the disk works").state().clone()
}

/// Commits all batches, retrying each until it succeeds. Checks at each failure, and after each batch, what
/// would be found after a loss of power.
fn run(faults: Faults) {
    let batches = batches();
    let books = books(&batches);
    let Ok(mut journal) = Journal::open(Disk::new(faults), LIMITS) else { return };
    for (count, batch) in batches.iter().enumerate() {
        let mut attempts = 0;
        while let Err(error) = journal.commit(batch) {
            attempts += 1;
            assert!(attempts < MAX_ATTEMPTS, "{faults:?}: batch {count} is never committed: {error}");
            assert_eq!(
                open_ids(journal.state()),
                open_ids(&books[count]),
                "{faults:?}: a failed commit counts"
            );
        }
        assert_eq!(journal.durable(), batches[..=count].iter().map(Vec::len).sum::<usize>() as u64);
        for seed in 1..4 {
            let disk = journal.storage().after_loss(seed);
            assert_eq!(
                open_ids(&reopened_state(disk)),
                open_ids(&books[count + 1]),
                "{faults:?}: batch {count} is lost"
            );
        }
    }
}

fn steps_without_faults() -> u64 {
    let mut journal = Journal::open(Disk::new(Faults::default()), LIMITS).unwrap();
    batches().iter().for_each(|b| _ = journal.commit(b).unwrap());
    journal.into_storage().steps
}

/// Writes or syncs that fail for a while must neither end the process nor lose a message.
#[test]
fn storage_that_fails_for_a_while_loses_nothing() {
    let all = steps_without_faults();
    assert!(all > 60, "{all}");
    for error in [io::ErrorKind::Other, io::ErrorKind::StorageFull] {
        for from in 1..=all {
            for span in [0, 1, 2, 3, 5, 9, 20] {
                run(Faults { failing: Some(Failing { from, to: from + span, error }), ..Faults::default() });
            }
        }
    }
}

/// A failed sync must not be retried: the second one would succeed without writing the data that the first
/// one lost.
#[test]
fn a_failed_sync_is_not_retried_and_its_enattempts_are_written_elsewhere() {
    for sync in 1..=steps_without_faults() {
        run(Faults { sync, ..Faults::default() });
    }
}

/// After a failure, enattempts must not be written to a segment that a snapshot has already replaced. Power is
/// lost at each of the steps that follow a failure.
#[test]
fn power_loss_after_a_failure_loses_nothing() {
    let batches = batches();
    let books = books(&batches);
    let all = steps_without_faults();
    for from in 1..=all {
        let failing = Failing { from, to: from + 2, error: io::ErrorKind::Other };
        for power in from + 3..from + 12 {
            let faults = Faults { failing: Some(failing), power, ..Faults::default() };
            let Ok(mut journal) = Journal::open(Disk::new(faults), LIMITS) else { continue };
            let mut durable = 0;
            'batches: for batch in &batches {
                while journal.commit(batch).is_err() {
                    if journal.storage().power_lost() {
                        break 'batches;
                    }
                }
                durable += 1;
            }
            for seed in 1..3 {
                let found = open_ids(&reopened_state(journal.storage().after_loss(seed)));
                let next = books.get(durable + 1).map(open_ids);
                let expected = found == open_ids(&books[durable]) || Some(found.clone()) == next;
                assert!(expected, "{faults:?}: {durable} batches were durable, found {found:?}");
            }
        }
    }
}

/// The simulated disk loses data whose sync failed, whatever later syncs return.
#[test]
fn the_simulated_disk_loses_data_of_a_failed_sync() {
    let mut disk = Disk::new(Faults { sync: 3, ..Faults::default() });
    disk.create("f").unwrap();
    disk.append("f", b"abc").unwrap();
    assert!(disk.sync("f").is_err());
    disk.sync("f").unwrap();
    disk.sync_names().unwrap();
    assert_eq!(disk.read("f").unwrap(), b"abc");
    assert_eq!(disk.after_loss(1).read("f").unwrap(), [0, 0, 0]);
}
