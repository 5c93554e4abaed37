//! The space of a journal: what its maximum size holds back, and when its files become smaller.

use heronroute_journal::disk::Disk;
use heronroute_journal::entry::{Accepted, Answer, Held, Intent, Taken, What};
use heronroute_journal::space::remove_closed;
use heronroute_journal::{Entry, Journal, JournalError, Limits};

const LIMITS: Limits = Limits { segment: 1 << 20, growth: 4, least: 1 << 20, most: 100_000 };
const BODY_BYTES: usize = 9_000;

fn accepted(id: u64) -> Entry {
    What::Accepted(Accepted { id, body: vec![7; BODY_BYTES], ..Accepted::default() }).into()
}

fn answer(id: u64) -> Entry {
    What::Answer(Answer { id, word: "UNDELIV".into(), ..Answer::default() }).into()
}

fn taken(id: u64) -> Entry {
    What::Taken(Taken { id }).into()
}

/// Returns a journal that is full of open messages, and their number.
fn full_journal() -> (Journal<Disk>, u64) {
    let mut journal = Journal::open(Disk::default(), LIMITS).unwrap();
    let mut count = 0;
    loop {
        match journal.commit(&[accepted(count + 1)]) {
            Ok(_) => count += 1,
            Err(JournalError::Full) => return (journal, count),
            Err(error) => panic!("{error}"),
        }
    }
}

/// Guards against a full journal that can't take the ends of its messages, which alone make room.
#[test]
fn only_acceptances_are_held_to_the_maximum_size() {
    let (journal, count) = full_journal();
    let lowered = Limits { most: 20_000, ..LIMITS };
    let mut journal = Journal::open(journal.into_storage(), lowered).unwrap();
    assert_eq!(journal.state().open.len() as u64, count);
    assert!(matches!(journal.commit(&[accepted(count + 1)]), Err(JournalError::Full)));
    for id in 1..=count {
        let intent = Intent { id, endpoint: "e".into(), at: 1 };
        journal.commit(&[What::Intent(intent).into(), answer(id)]).unwrap();
        journal.commit(&[taken(id)]).unwrap();
    }
    assert!(journal.state().open.is_empty());
    journal.commit(&[accepted(count + 1)]).unwrap();
}

/// Guards against files that stay large once their messages have ended, as nothing else is written then.
#[test]
fn a_full_journal_becomes_smaller_once_its_messages_have_ended() {
    let (mut journal, count) = full_journal();
    let ends: Vec<Entry> = (1..=count).map(answer).collect();
    journal.commit(&ends).unwrap();
    let size = journal.usage().octets;
    assert!(size < LIMITS.most / 2, "{size} bytes for ended messages");
    assert_eq!(journal.state().open.len() as u64, count);
}

/// Guards against a start that refuses everything, as its folder is full of messages that have ended.
#[test]
fn a_folder_of_ended_messages_becomes_smaller_at_a_start() {
    let (journal, count) = full_journal();
    let roomy = Limits { most: 1 << 20, ..LIMITS };
    let mut journal = Journal::open(journal.into_storage(), roomy).unwrap();
    let ends: Vec<Entry> = (1..=count).flat_map(|id| [answer(id), taken(id)]).collect();
    journal.commit(&ends).unwrap();
    assert!(journal.usage().octets > LIMITS.most * 8 / 10);
    let journal = Journal::open(journal.into_storage(), LIMITS).unwrap();
    assert!(journal.usage().octets < 1_000, "{}", journal.usage().octets);
}

/// Guards against a journal that writes snapshot after snapshot though none makes it smaller.
#[test]
fn a_full_journal_of_open_messages_is_not_written_again_and_again() {
    let (mut journal, count) = full_journal();
    let before = journal.usage().snapshots;
    for id in 1..=count {
        let intent = Intent { id, endpoint: "e".into(), at: 1 };
        journal.commit(&[What::Intent(intent).into()]).unwrap();
    }
    assert_eq!(journal.usage().snapshots, before);
}

/// Guards against an estimate that drifts away from the state: what is gone must not count.
#[test]
fn the_estimated_size_follows_the_messages() {
    let mut journal = Journal::open(Disk::default(), LIMITS).unwrap();
    journal.commit(&[accepted(1), accepted(2)]).unwrap();
    assert!(journal.state().estimated_size() >= 2 * BODY_BYTES as u64);
    let held = |id| {
        let accepted = Accepted { id, body: vec![7; 500], ..Accepted::default() };
        Entry::from(What::Held(Held { accepted: Some(accepted), ..Held::default() }))
    };
    // Twice the same: the second one replaces the first.
    journal.commit(&[answer(1), held(1), held(1), taken(1)]).unwrap();
    let size = journal.state().estimated_size();
    assert!((BODY_BYTES as u64 + 500..BODY_BYTES as u64 + 700).contains(&size), "{size}");
    let replaced = Accepted { id: 3, replaces: 1, ..Accepted::default() };
    journal.commit(&[What::Accepted(replaced).into(), taken(2), taken(3), taken(9)]).unwrap();
    assert_eq!(journal.state().estimated_size(), 0);
    let reopened = Journal::open(journal.into_storage(), LIMITS).unwrap();
    assert_eq!(reopened.state().estimated_size(), 0);
}

/// Guards against entries of refused messages that hold up those behind them.
#[test]
fn entries_of_messages_that_are_accepted_and_closed_among_them_are_removed() {
    let replacing = || Entry::from(What::Accepted(Accepted { id: 5, replaces: 4, ..Accepted::default() }));
    let mut entries =
        vec![accepted(1), answer(2), accepted(3), taken(1), answer(3), taken(2), taken(3), accepted(6)];
    assert_eq!(remove_closed(&mut entries), 5);
    assert_eq!(entries, [answer(2), taken(2), accepted(6)]);
    let mut kept = vec![replacing(), taken(5), taken(7)];
    assert_eq!((remove_closed(&mut kept), kept.len()), (0, 3), "a held message is replaced by it");
}
