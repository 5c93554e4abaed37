//! Tests of the ledger.

use super::*;
use heronroute_journal::entry::{Accepted, Taken};

#[test]
fn effects_wait_for_the_entries_they_depend_on() {
    let mut ledger: Ledger<u32> = Ledger::new(Some(Limits::default()), 1_000, Usage::default());
    assert_eq!(ledger.hold(1), Some(1), "it depends on no entry");
    ledger.write(|| What::Taken(Taken { id: 1 }));
    assert_eq!(ledger.hold(2), None);
    ledger.write(|| What::Taken(Taken { id: 2 }));
    assert_eq!((ledger.hold(3), ledger.take_entries(0).len()), (None, 2));
    let refused = |at| ledger.refuses(at, 1, 0);
    assert_eq!(
        [200, 400, 600, 800, 999, 1_000].map(refused),
        [false, false, false, false, false, true],
        "refused once the lag reaches the limit"
    );
    assert_eq!(ledger.wake(), Some(1_100), "not before the next update is due");
    assert_eq!(ledger.durable(1, Usage::default()), [2]);
    assert_eq!(ledger.durable(2, Usage::default()), [3]);
    assert!(ledger.settled() && ledger.wake().is_none());
    let mut none: Ledger<u32> = Ledger::new(None, 1, Usage::default());
    none.write(|| unreachable!());
    assert_eq!(none.hold(4), Some(4));
    none.enable_copy();
    assert_eq!(
        (none.hold_both(5), none.refuses_both()),
        (Some(5), false),
        "without a journal nothing is held"
    );
}

fn write_taken(ledger: &mut Ledger<u32>, id: u64) {
    ledger.write(|| What::Taken(Taken { id }));
}

#[test]
fn effects_waiting_for_both_regions_delay_no_others() {
    let mut ledger: Ledger<u32> = Ledger::new(Some(Limits::default()), 1_000, Usage::default());
    ledger.enable_copy();
    assert!(ledger.refuses_both(), "the state of the other region is unknown");
    assert!(ledger.copied(0, true).is_empty() && !ledger.refuses_both());
    assert_eq!(ledger.hold_both(1), Some(1), "it depends on no entry");
    write_taken(&mut ledger, 1);
    assert_eq!((ledger.hold_both(2), ledger.hold(3)), (None, None));
    write_taken(&mut ledger, 2);
    assert_eq!((ledger.hold_both(4), ledger.hold(5)), (None, None));
    assert_eq!(ledger.take_entries(0).len(), 2);
    assert_eq!(
        ledger.durable(2, Usage::default()),
        [3, 5],
        "effects that need only this region do not wait for the other"
    );
    assert!(!ledger.settled(), "two effects wait for the other region");
    assert_eq!(ledger.hold(6), Some(6));
    assert_eq!(ledger.hold_both(7), None);
    assert_eq!(ledger.copied(1, true), [2], "released in order, one at a time");
    assert_eq!(ledger.copied(0, false), [0; 0], "the count never decreases");
    assert!(
        ledger.refuses_both() && !ledger.refuses(0, 1, 0),
        "only messages that must be in both regions are refused"
    );
    assert_eq!(ledger.copied(2, false), [4, 7], "entries copied count although the region lags");
    assert!(ledger.settled());
    assert_eq!(ledger.hold_both(8), Some(8));
}

#[test]
fn being_durable_in_the_other_region_alone_is_not_enough() {
    let mut ledger: Ledger<u32> = Ledger::new(Some(Limits::default()), 1_000, Usage::default());
    ledger.enable_copy();
    write_taken(&mut ledger, 1);
    write_taken(&mut ledger, 2);
    assert_eq!(ledger.hold_both(1), None);
    assert_eq!(ledger.copied(2, true), [0; 0], "not durable in this region yet");
    assert_eq!(ledger.durable(1, Usage::default()), [0; 0]);
    assert_eq!(ledger.hold_both(2), None);
    assert_eq!(ledger.durable(2, Usage::default()), [1, 2]);
    // A count above what was written says nothing of later entries.
    assert_eq!(ledger.copied(9, true), [0; 0]);
    write_taken(&mut ledger, 3);
    assert_eq!((ledger.hold_both(3), ledger.durable(3, Usage::default())), (None, vec![0; 0]));
    assert_eq!(ledger.copied(3, true), [3]);
}

#[test]
fn without_another_region_effects_wait_for_this_one_only() {
    let mut ledger: Ledger<u32> = Ledger::new(Some(Limits::default()), 1_000, Usage::default());
    write_taken(&mut ledger, 1);
    assert_eq!((ledger.hold_both(1), ledger.hold(2)), (None, None));
    assert_eq!(ledger.copied(9, true), [0; 0]);
    assert_eq!(ledger.durable(1, Usage::default()), [1, 2], "one queue, in order");
    assert_eq!((ledger.hold_both(3), ledger.refuses_both(), ledger.settled()), (Some(3), false, true));
}

/// Guards against messages that are accepted without room for them: at a start, before the first commit, and while entries
/// are still on their way to the disk.
#[test]
fn what_the_journal_holds_and_what_is_being_written_counts_against_its_limit() {
    const BODY_BYTES: usize = 10_000;
    let limits = Limits { most: 30_000, ..Limits::default() };
    let usage = |octets| Usage { octets, ..Usage::default() };
    let mut full: Ledger<u32> = Ledger::new(Some(limits), 1_000, usage(25_000));
    assert!(full.refuses(0, 0, BODY_BYTES), "the files of an earlier process");
    let mut ledger: Ledger<u32> = Ledger::new(Some(limits), 1_000, usage(0));
    let accepted = || Accepted { id: 1, body: vec![7; BODY_BYTES], ..Accepted::default() };
    ledger.write(|| What::Accepted(accepted()));
    assert!(!ledger.refuses(0, 1, BODY_BYTES));
    ledger.write(|| What::Accepted(accepted()));
    assert!(ledger.refuses(0, 2, BODY_BYTES), "entries that are not handed over");
    assert_eq!(ledger.take_entries(0).len(), 2);
    assert!(ledger.refuses(0, 2, BODY_BYTES), "entries that are not durable");
    ledger.durable(2, usage(9_000));
    assert!(!ledger.refuses(0, 0, BODY_BYTES), "the journal was written anew");
}
