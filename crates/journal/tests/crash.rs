//! Power is lost at every step of seeded workloads, and again during recovery: all entries reported as
//! durable are present, and no others than those written.

use heronroute_journal::disk::{Disk, Faults};
use heronroute_journal::entry::*;
use heronroute_journal::{Entry, Journal, JournalError, JournalState, Limits, Storage};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};

const SMALL: Limits = Limits { segment: 600, growth: 2, least: 1_500, most: 1 << 20 };

/// Generates batches of entries as a sender writes them.
fn workload(seed: u64, batches: usize) -> Vec<Vec<Entry>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut below = move |n: u64| random.next_u64() % n;
    let (mut next, mut open, mut list) = (0, Vec::new(), Vec::new());
    for _ in 0..batches {
        let mut batch: Vec<Entry> = Vec::new();
        for _ in 0..=below(4) {
            if open.is_empty() || below(3) == 0 {
                next += 1;
                let body = vec![7; below(60) as usize];
                let (client, mailbox) = ("c".to_string(), format!("s{}", below(3)));
                let taken = next as i64;
                let named =
                    (below(2) == 0).then_some(Named { high: next, low: 1, id: next, until: taken + 20 });
                let packet = below(4) as u32;
                let accepted =
                    Accepted { id: next, body, client, mailbox, taken, packet, named, ..Accepted::default() };
                batch.push(What::Accepted(accepted).into());
                open.push(next);
            }
            let at = below(open.len() as u64) as usize;
            let id = open[at];
            let what = match below(14) {
                0 | 1 => What::Intent(Intent { id, endpoint: format!("e{}", below(3)), at: 5 }),
                2 => What::Outcome(Outcome { id, never_ran: below(2) == 0 }),
                3 => What::Answer(Answer { id, word: "DELIVRD".into(), retry_after: -1, at: 9 }),
                4 => {
                    open.swap_remove(at);
                    What::Taken(Taken { id })
                }
                5 | 6 => What::Session(Session {
                    client: "c".into(),
                    name: format!("s{}", below(3)),
                    began: below(3) as i64,
                    expiry: below(3) as i64,
                    notes: vec![1; below(9) as usize],
                    window: 4,
                    latest: Vec::new(),
                    earlier: 0,
                }),
                7 => What::Held(Held {
                    accepted: Some(Accepted { id, ..Accepted::default() }),
                    trail: vec![1; below(5) as usize],
                    names: Vec::new(),
                }),
                8 => What::Released(Released { id }),
                9 => What::Final(Final {
                    client: "c".into(),
                    answer: Some(Answer { id, at: next as i64, ..Answer::default() }),
                    until: next as i64 + below(30) as i64,
                    ..Final::default()
                }),
                10 => What::Applied(Applied { client: "c".into(), version: next, ..Applied::default() }),
                11 => What::Inherited(Inherited { origin: format!("o{}", below(2)), step: below(4) as i32 }),
                12 => {
                    let accepted = Some(Accepted { id, ..Accepted::default() });
                    let held = Held { accepted: accepted.clone(), ..Held::default() };
                    let (accepted, held) = if below(2) == 1 { (accepted, None) } else { (None, Some(held)) };
                    What::Heir(Box::new(Heir {
                        origin: format!("o{}", below(2)),
                        accepted,
                        held,
                        ..Heir::default()
                    }))
                }
                _ => What::Place(Place {
                    endpoint: format!("e{}", below(3)),
                    wait_until: below(3) as i64,
                    back_since: below(2) as i64,
                    ..Place::default()
                }),
            };
            batch.push(what.into());
        }
        list.push(batch);
    }
    list
}

/// Returns the states after each number of batches; the first is empty.
fn books(batches: &[Vec<Entry>]) -> Vec<JournalState> {
    let mut state = JournalState::default();
    let mut list = vec![state.clone()];
    for b in batches {
        b.iter().for_each(|e| state.apply(e));
        list.push(state.clone());
    }
    list
}

fn same(a: &JournalState, b: &JournalState) -> bool {
    a.open == b.open
        && a.places == b.places
        && a.sessions == b.sessions
        && a.names == b.names
        && a.held == b.held
        && a.finals == b.finals
        && a.applied == b.applied
}

/// Runs a workload until power is lost; returns how many batches were reported as durable, and the disk.
fn run(batches: &[Vec<Entry>], disk: Disk) -> (usize, Disk) {
    let mut durable = 0;
    let Ok(mut journal) = Journal::open(disk.clone(), SMALL) else {
        // Power was lost while opening: repeats the steps to get the disk as it was then.
        let mut d = disk;
        _ = Journal::open(BorrowedDisk(&mut d), SMALL);
        return (0, d);
    };
    for b in batches {
        if journal.commit(b).is_err() {
            break;
        }
        durable += 1;
    }
    (durable, journal.into_storage())
}

/// Storage by reference, so that the disk can be used after a failed opening.
#[derive(Debug)]
struct BorrowedDisk<'a>(&'a mut Disk);

impl Storage for BorrowedDisk<'_> {
    fn list(&self) -> std::io::Result<Vec<String>> {
        self.0.list()
    }
    fn read(&self, name: &str) -> std::io::Result<Vec<u8>> {
        self.0.read(name)
    }
    fn create(&mut self, name: &str) -> std::io::Result<()> {
        self.0.create(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.0.append(name, bytes)
    }
    fn truncate(&mut self, name: &str, length: u64) -> std::io::Result<()> {
        self.0.truncate(name, length)
    }
    fn sync(&mut self, name: &str) -> std::io::Result<()> {
        self.0.sync(name)
    }
    fn sync_names(&mut self) -> std::io::Result<()> {
        self.0.sync_names()
    }
    fn rename(&mut self, from: &str, to: &str) -> std::io::Result<()> {
        self.0.rename(from, to)
    }
    fn remove(&mut self, name: &str) -> std::io::Result<()> {
        self.0.remove(name)
    }
}

fn steps(batches: &[Vec<Entry>]) -> u64 {
    run(batches, Disk::new(Faults::default())).1.steps
}

#[test]
fn power_loss_at_any_step_loses_no_durable_entry() {
    let mut runs = 0;
    for seed in 0..12 {
        let batches = workload(seed, 40);
        let books = books(&batches);
        for power in 1..=steps(&batches) {
            let (durable, disk) = run(&batches, Disk::new(Faults { power, ..Faults::default() }));
            assert!(disk.power_lost());
            for how in 0..3 {
                let found = disk.after_loss(seed * 1_000 + power * 10 + how);
                let mut again = found.clone();
                let journal = Journal::open(BorrowedDisk(&mut again), SMALL)
                    .unwrap_or_else(|e| panic!("seed {seed} power {power} how {how}: {e}"));
                // The batch under way when power was lost may be complete.
                let fits = [durable, durable + 1]
                    .into_iter()
                    .any(|n| books.get(n).is_some_and(|b| same(b, journal.state())));
                assert!(fits, "seed {seed} power {power} how {how}: {durable} batches were durable");
                drop(journal);
                runs += 1;
                // Power is lost again at some step of the recovery.
                let mut twice = found.clone();
                twice.faults = Faults { power: 1 + (power + how) % 6, ..Faults::default() };
                _ = Journal::open(BorrowedDisk(&mut twice), SMALL);
                let journal =
                    Journal::open(twice.after_loss(power), SMALL).expect("opens after a second loss");
                assert!(
                    [durable, durable + 1]
                        .into_iter()
                        .any(|n| books.get(n).is_some_and(|b| same(b, journal.state())))
                );
            }
        }
    }
    assert!(runs > 3_000, "{runs}");
}

#[test]
fn a_journal_accepts_commits_after_recovery() {
    let batches = workload(3, 60);
    let books = books(&batches);
    let (durable, disk) = run(&batches[..30], Disk::new(Faults { power: 70, ..Faults::default() }));
    let mut journal = Journal::open(disk.after_loss(5), SMALL).unwrap();
    let from = if same(journal.state(), &books[durable]) { durable } else { durable + 1 };
    for b in &batches[from..] {
        journal.commit(b).unwrap();
    }
    let journal = Journal::open(journal.into_storage(), SMALL).unwrap();
    assert!(same(journal.state(), &books[60]));
}

#[test]
fn a_last_frame_torn_at_any_byte_is_cut_off() {
    let batches = workload(1, 6);
    let books = books(&batches);
    let limits = Limits { segment: 1 << 20, least: 1 << 20, ..SMALL };
    let mut journal = Journal::open(Disk::default(), limits).unwrap();
    for b in &batches[..5] {
        journal.commit(b).unwrap();
    }
    let name = "log-0000000000000000";
    let mut disk = journal.into_storage();
    let before = disk.read(name).unwrap().len() as u64;
    let mut journal = Journal::open(disk.clone(), limits).unwrap();
    journal.commit(&batches[5]).unwrap();
    disk = journal.into_storage();
    let last = disk.list().unwrap().into_iter().rfind(|n| n.starts_with("log-")).unwrap();
    let whole = disk.read(&last).unwrap().len() as u64;
    assert!(before > 0 && whole > 0);
    for cut in 0..whole {
        let mut torn = disk.clone();
        torn.truncate(&last, cut).unwrap();
        let journal = Journal::open(torn, limits).unwrap();
        assert!(same(journal.state(), &books[5]), "cut at {cut}");
    }
}

#[test]
fn damage_in_the_middle_is_refused_with_its_offset() {
    let batches = workload(1, 12);
    let limits = Limits { segment: 1 << 20, least: 1 << 20, ..SMALL };
    let mut journal = Journal::open(Disk::default(), limits).unwrap();
    for b in &batches {
        journal.commit(b).unwrap();
    }
    let name = "log-0000000000000000";
    let disk = journal.into_storage();
    let bytes = disk.read(name).unwrap();
    let second = heronroute_journal::frame::read(&bytes).unwrap().length;
    for at in (second..bytes.len() / 2).step_by(3) {
        let mut broken = disk.clone();
        broken.truncate(name, 0).unwrap();
        let mut bad = bytes.clone();
        bad[at] ^= 0x55;
        broken.append(name, &bad).unwrap();
        match Journal::open(broken, limits) {
            Err(JournalError::Broken { file, offset, .. }) => {
                assert!(file == name && offset as usize <= at && offset > 0);
            }
            other => panic!("byte {at}: {other:?}"),
        }
    }
    let mut newer = disk.clone();
    newer.truncate(name, 0).unwrap();
    let mut v = bytes.clone();
    v[4] = 9;
    let crc = heronroute_journal::frame::checksum(&v[..second]);
    v[12..16].copy_from_slice(&crc.to_le_bytes());
    newer.append(name, &v).unwrap();
    assert!(matches!(Journal::open(newer, limits), Err(JournalError::Version { version: 9, .. })));
}

#[test]
fn a_full_disk_refuses_commits_and_recovers() {
    let mut journal = Journal::open(Disk::new(Faults { room: 4_000, ..Faults::default() }), SMALL).unwrap();
    let mut full = 0;
    let mut state = JournalState::default();
    for b in workload(4, 400) {
        match journal.commit(&b) {
            Ok(_) => b.iter().for_each(|e| state.apply(e)),
            Err(JournalError::Full) => full += 1,
            Err(e) => panic!("{e}"),
        }
        assert!(same(journal.state(), &state));
    }
    assert!(full > 0, "the disk was never full");
    let mut disk = journal.into_storage();
    disk.faults.room = 0;
    assert!(
        same(Journal::open(disk, SMALL).unwrap().state(), &state),
        "the state without the refused commits"
    );
}

#[test]
fn space_is_reclaimed_while_an_old_message_stays_open() {
    let old_message = What::Accepted(Accepted { id: 1, body: vec![1; 50], ..Accepted::default() });
    let mut journal = Journal::open(Disk::default(), SMALL).unwrap();
    journal.commit(&[old_message.into()]).unwrap();
    for id in 2..2_000 {
        let accepted = What::Accepted(Accepted { id, body: vec![2; 50], ..Accepted::default() });
        journal.commit(&[accepted.into(), What::Taken(Taken { id }).into()]).unwrap();
        assert!(journal.usage().octets < 4_000, "{:?}", journal.usage());
    }
    assert_eq!(journal.state().open.len(), 1);
}

#[test]
fn a_second_process_is_refused() {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("lock-test");
    let first = heronroute_journal::dir::Dir::open(&path).unwrap();
    let error = heronroute_journal::dir::Dir::open(&path).unwrap_err().to_string();
    assert!(error.contains("another process has this journal"), "{error}");
    drop(first);
    let dir = heronroute_journal::dir::Dir::open(&path).unwrap();
    let mut journal = Journal::open(dir, SMALL).unwrap();
    let before = journal.durable();
    journal.commit(&workload(1, 1)[0]).unwrap();
    drop(journal);
    let dir = heronroute_journal::dir::Dir::open(&path).unwrap();
    assert!(Journal::open(dir, SMALL).unwrap().durable() > before);
}
