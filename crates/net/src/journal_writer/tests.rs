//! Tests of the journal writer thread.

use super::*;
use heronroute_journal::Limits;
use heronroute_journal::disk::Disk;
use heronroute_journal::entry::{Accepted, Taken, What};
use mio::{Poll, Token, Waker};
use std::sync::Arc;
use std::sync::mpsc::channel;

/// Guards against an entry that does not fit and holds up all later ones for good: its message can't be refused any more.
#[test]
fn an_entry_beyond_the_limit_is_written_and_holds_up_no_other() {
    let limits = Limits { segment: 1 << 20, growth: 4, least: 1 << 20, most: 50_000 };
    let journal = Journal::open(Disk::default(), limits).unwrap();
    let poll = Poll::new().unwrap();
    let waker = Arc::new(Waker::new(poll.registry(), Token(0)).unwrap());
    let (commands, inbox) = channel();
    let sender = SenderHandle { commands, waker };
    let (entries, queue) = channel();
    let accepted = |id| What::Accepted(Accepted { id, body: vec![7; 30_000], ..Accepted::default() }).into();
    entries.send(vec![accepted(1)]).unwrap();
    entries.send(vec![accepted(2)]).unwrap();
    entries.send(vec![What::Taken(Taken { id: 1 }).into()]).unwrap();
    drop(entries);
    run(journal, &queue, &sender, Duration::ZERO).unwrap();
    let counts: Vec<u64> = inbox
        .try_iter()
        .filter_map(|command| match command {
            Command::Durable(count, _) => Some(count),
            _ => None,
        })
        .collect();
    assert_eq!(counts.last(), Some(&3), "{counts:?}");
}
