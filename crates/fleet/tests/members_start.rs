//! The start number: never twice, whatever the disk does.

use heronroute_fleet::Start;
use heronroute_fleet::start::{FILE, StartError, StoredStart, raise, read_stored};
use heronroute_journal::Storage;
use heronroute_journal::dir::Dir;
use heronroute_journal::disk::{Disk, Faults};

const WALL: i64 = 1_700_000_000_000_000;

fn put(disk: &mut Disk, octets: &[u8]) {
    disk.create(FILE).unwrap();
    disk.append(FILE, octets).unwrap();
    disk.sync(FILE).unwrap();
    disk.sync_names().unwrap();
}

#[test]
fn it_rises_with_every_start_whatever_the_clock_says() {
    let mut disk = Disk::default();
    let mut last = Start(0);
    for wall in [WALL, WALL + 5, WALL - 3_600_000_000, 0, -7, i64::MIN, WALL + 6, WALL + 6] {
        let raised = raise(&mut disk, wall, Start(0)).unwrap();
        assert!(raised.start > last, "clock at {wall}");
        assert_eq!(read_stored(&disk), StoredStart::Number(raised.start));
        last = raised.start;
    }
    assert_eq!(last, Start(WALL as u64 + 11));
}

#[test]
fn an_empty_an_old_and_a_spoilt_disk_begin_above_what_was_given_out() {
    let mut disk = Disk::default();
    let old = disk.clone();
    let first = raise(&mut disk, WALL, Start(0)).unwrap();
    assert_eq!(first.found, StoredStart::Nothing);
    let copy = disk.clone();
    let second = raise(&mut disk, WALL + 1_000_000, Start(0)).unwrap().start;
    for mut lost in [old, copy] {
        assert!(raise(&mut lost, WALL + 2_000_000, Start(0)).unwrap().start > second);
    }
    let whole = disk.read(FILE).unwrap();
    let mut spoilt: Vec<Vec<u8>> = (0..whole.len()).map(|n| whole[..n].to_vec()).collect();
    spoilt.extend((0..whole.len() * 8).map(|bit| {
        let mut octets = whole.clone();
        octets[bit / 8] ^= 1 << (bit % 8);
        octets
    }));
    spoilt.push([&whole[..], b"x"].concat());
    for octets in spoilt {
        let mut bad = Disk::default();
        put(&mut bad, &octets);
        let raised = raise(&mut bad, WALL + 2_000_000, Start(0)).unwrap();
        assert_eq!(raised.found, StoredStart::Unreadable);
        assert!(raised.start > second);
    }
}

#[test]
fn it_rises_above_what_others_have_seen() {
    let mut disk = Disk::default();
    assert_eq!(raise(&mut disk, 1000, Start(5000)).unwrap().start, Start(5001));
    assert_eq!(raise(&mut disk, 1000, Start(20)).unwrap().start, Start(5002));
    assert!(matches!(raise(&mut disk, 1000, Start(u64::MAX)), Err(StartError::UsedUp)));
}

#[test]
fn power_lost_or_a_failed_sync_at_each_step_never_gives_a_number_twice() {
    for seed in 0..50 {
        for step in 1..=12 {
            for fault in
                [Faults { power: step, ..Faults::default() }, Faults { sync: step, ..Faults::default() }]
            {
                let mut disk = Disk::new(fault);
                let mut given = Vec::new();
                // The clock stands still: only the disk keeps numbers apart.
                while let (true, Ok(raised)) = (given.len() < 3, raise(&mut disk, 5, Start(0))) {
                    given.push(raised.start);
                }
                let mut after = disk.after_loss(seed);
                let raised = raise(&mut after, 5, Start(0)).unwrap();
                assert!(
                    !given.contains(&raised.start),
                    "seed {seed}, {fault:?}: {given:?} and again {raised:?}"
                );
                assert!(given.iter().all(|start| *start < raised.start), "seed {seed}, {fault:?}");
            }
        }
    }
}

#[test]
fn where_it_cannot_be_stored_there_is_none() {
    let mut disk = Disk::new(Faults { room: 10, ..Faults::default() });
    assert!(matches!(raise(&mut disk, WALL, Start(0)), Err(StartError::Store(_))));
}

#[test]
fn on_a_real_directory() {
    let path = std::env::temp_dir().join(format!("heronroute-start-{}", std::process::id()));
    let mut last = Start(0);
    for _ in 0..3 {
        let mut dir = Dir::open(&path).unwrap();
        let raised = raise(&mut dir, 7, Start(0)).unwrap().start;
        assert!(raised > last);
        last = raised;
    }
    std::fs::remove_dir_all(path).unwrap();
}
