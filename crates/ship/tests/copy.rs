//! Checks that the receiving side makes by itself, whatever the origin sends.

use heronroute_fleet::{Life, Name, Start};
use heronroute_journal::disk::Disk;
use heronroute_journal::entry::{Entry, Taken, What};
use heronroute_journal::{Digest, Limits, Mark};
use heronroute_ship::wire::{self, Entries, FromOrigin, FromPartner, Message};
use heronroute_ship::{CopyError, JournalCopy, Notice, Origin, ReplicationTarget};
use prost::Message as _;

fn name(n: &str) -> Name {
    Name::new(n).unwrap()
}

fn origin() -> Origin {
    Origin { life: Life { name: name("a"), start: Start(3) }, sender: 0 }
}

fn open(disk: Disk, member: &str, sender: u32) -> Result<JournalCopy<Disk>, CopyError> {
    JournalCopy::open(disk, name(member), sender, Limits::default(), 1_000)
}

fn exchange_message(to: &mut JournalCopy<Disk>, body: FromOrigin) -> Vec<FromPartner> {
    to.handle_message(0, &wire::write(&Message { origin: origin(), session: 1, body }).unwrap());
    let answers = std::iter::from_fn(|| to.poll(0));
    answers.map(|octets| wire::read::<FromPartner>(&octets).unwrap().body).collect()
}

/// Builds a message with log entries and their correct digest.
fn log_entries(first: u64, before: Digest, raws: &[Vec<u8>]) -> FromOrigin {
    let mut mark = Mark { number: first, digest: before };
    let mut octets = Vec::new();
    for raw in raws {
        mark.push(raw);
        prost::encode_length_delimiter(raw.len(), &mut octets).unwrap();
        octets.extend_from_slice(raw);
    }
    FromOrigin::Run(Entries { first, count: raws.len() as u64, more: false, octets, digest: mark.digest })
}

fn taken_entry(id: u64) -> Vec<u8> {
    Entry::from(What::Taken(Taken { id })).encode_to_vec()
}

#[test]
fn rejects_an_entry_with_an_unknown_field() {
    let mut copy = open(Disk::default(), "a", 0).unwrap();
    exchange_message(&mut copy, FromOrigin::Hello { next: 2, acked: 0 });
    // Field 99 is unknown to this version.
    let newer = [taken_entry(2), vec![0x9a, 0x06, 0x01, 0x07]].concat();
    let answers = exchange_message(&mut copy, log_entries(0, [0; 16], &[taken_entry(1), newer]));
    assert_eq!(answers, [FromPartner::EntryRejected { number: 0 }]);
    assert_eq!(copy.notice(), Some(Notice::EntryRejected { number: 0 }));
    assert_eq!(copy.state().unwrap().1, 0);
    assert_eq!(
        exchange_message(&mut copy, log_entries(0, [0; 16], &[taken_entry(1)])),
        [FromPartner::Durable { next: 1 }]
    );
}

#[test]
fn buffers_no_more_than_the_window_if_the_origin_ignores_it() {
    let mut copy = open(Disk::default(), "a", 0).unwrap();
    exchange_message(&mut copy, FromOrigin::Hello { next: 9, acked: 0 });
    let many: Vec<Vec<u8>> = (0..100).map(taken_entry).collect();
    let mut before = Mark::default();
    for n in 0..20 {
        let up = log_entries(n * 100, before.digest, &many);
        many.iter().for_each(|raw| before.push(raw));
        copy.handle_message(0, &wire::write(&Message { origin: origin(), session: 1, body: up }).unwrap());
        assert!(copy.held() <= 1_000, "{}", copy.held());
    }
}

#[test]
fn refuses_to_open_the_folder_of_another_origin() {
    let mut copy = open(Disk::default(), "a", 0).unwrap();
    assert!(copy.state().is_none(), "no origin has written yet");
    exchange_message(&mut copy, FromOrigin::Hello { next: 0, acked: 0 });
    let disk = copy.into_journal().unwrap().into_storage();
    for (member, sender) in [("b", 0), ("a", 1)] {
        assert!(matches!(open(disk.clone(), member, sender), Err(CopyError::OtherOrigin(..))));
    }
    assert!(open(disk, "a", 0).is_ok());
}
