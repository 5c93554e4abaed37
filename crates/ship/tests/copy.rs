//! What one side must find though the other does not.

use heronroute_fleet::{Life, Name, Start};
use heronroute_journal::disk::Disk;
use heronroute_journal::entry::{Entry, Taken, What};
use heronroute_journal::{Digest, Limits, Mark};
use heronroute_ship::wire::{self, Down, Entries, Message, Up};
use heronroute_ship::{CopyError, Copying, Notice, Origin, Receiver};
use prost::Message as _;

fn name(n: &str) -> Name {
    Name::new(n).unwrap()
}

fn origin() -> Origin {
    Origin { life: Life { name: name("a"), start: Start(3) }, sender: 0 }
}

fn open(disk: Disk, member: &str, sender: u32) -> Result<Copying<Disk>, CopyError> {
    Copying::open(disk, name(member), sender, Limits::default(), 1_000)
}

fn say(to: &mut Copying<Disk>, body: Up) -> Vec<Down> {
    to.heard(0, &wire::write(&Message { origin: origin(), talk: 1, body }).unwrap());
    let answers = std::iter::from_fn(|| to.poll(0));
    answers.map(|octets| wire::read::<Down>(&octets).unwrap().body).collect()
}

/// A run of entries by their octets, with its right digest.
fn run(first: u64, before: Digest, raws: &[Vec<u8>]) -> Up {
    let mut mark = Mark { number: first, digest: before };
    let mut octets = Vec::new();
    for raw in raws {
        mark.push(raw);
        prost::encode_length_delimiter(raw.len(), &mut octets).unwrap();
        octets.extend_from_slice(raw);
    }
    Up::Run(Entries { first, count: raws.len() as u64, more: false, octets, digest: mark.digest })
}

fn taken(id: u64) -> Vec<u8> {
    Entry::from(What::Taken(Taken { id })).encode_to_vec()
}

#[test]
fn an_entry_of_a_newer_version_is_refused_rather_than_kept_in_part() {
    let mut copy = open(Disk::default(), "a", 0).unwrap();
    say(&mut copy, Up::Hello { next: 2, acked: 0 });
    // Field 99, which nobody knows yet.
    let newer = [taken(2), vec![0x9a, 0x06, 0x01, 0x07]].concat();
    let answers = say(&mut copy, run(0, [0; 16], &[taken(1), newer]));
    assert_eq!(answers, [Down::Odd { number: 0 }]);
    assert_eq!(copy.notice(), Some(Notice::Odd { number: 0 }));
    assert_eq!(copy.state().unwrap().1, 0);
    assert_eq!(say(&mut copy, run(0, [0; 16], &[taken(1)])), [Down::Durable { next: 1 }]);
}

#[test]
fn an_origin_that_heeds_no_window_is_not_followed() {
    let mut copy = open(Disk::default(), "a", 0).unwrap();
    say(&mut copy, Up::Hello { next: 9, acked: 0 });
    let many: Vec<Vec<u8>> = (0..100).map(taken).collect();
    let mut before = Mark::default();
    for n in 0..20 {
        let up = run(n * 100, before.digest, &many);
        many.iter().for_each(|raw| before.push(raw));
        copy.heard(0, &wire::write(&Message { origin: origin(), talk: 1, body: up }).unwrap());
        assert!(copy.held() <= 1_000, "{}", copy.held());
    }
}

#[test]
fn a_folder_of_another_is_refused() {
    let mut copy = open(Disk::default(), "a", 0).unwrap();
    assert!(copy.state().is_none(), "nobody has written yet");
    say(&mut copy, Up::Hello { next: 0, acked: 0 });
    let disk = copy.into_journal().unwrap().into_storage();
    for (member, sender) in [("b", 0), ("a", 1)] {
        assert!(matches!(open(disk.clone(), member, sender), Err(CopyError::Another(..))));
    }
    assert!(open(disk, "a", 0).is_ok());
}
