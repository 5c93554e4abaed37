//! The cost of replication with in-memory storage: plain commits, chained commits, and replicated commits, in
//! one run; resuming after a lag of 100,000 entries, from the log and from a snapshot; bytes buffered.
//!
//! `cargo bench -p heronroute-ship --bench ship`

use criterion::{BatchSize, Criterion, Throughput, criterion_group, criterion_main};
use heronroute_fleet::{Life, Name, Start};
use heronroute_journal::disk::Disk;
use heronroute_journal::entry::{Accepted, Answer, Entry, Intent, Taken, What};
use heronroute_journal::{Journal, Limits};
use heronroute_ship::{
    Cursors, JournalCopy, JournalReplicator, Origin, ReplicationLimits, ReplicationSource, ReplicationTarget,
    serve,
};
use std::hint::black_box;

const COMMIT: usize = 400;
const COMMITS: u64 = 25;

fn name() -> Name {
    Name::new("a").expect("a name")
}

/// Returns the four entries of one message's life cycle.
fn life(id: u64) -> [Entry; 4] {
    let at = 1_796_083_200_000_000;
    let accepted = Accepted {
        id,
        client: "oduya".into(),
        class: "RESP".into(),
        source: "survey".into(),
        destination: format!("234{id:09}"),
        body: vec![b'x'; 60],
        taken: at,
        deadline: at + 24_000_000,
        ..Accepted::default()
    };
    [
        What::Accepted(accepted).into(),
        What::Intent(Intent { id, endpoint: "d7-1".into(), at }).into(),
        What::Answer(Answer { id, word: "DELIVRD".into(), retry_after: -1, at }).into(),
        What::Taken(Taken { id }).into(),
    ]
}

fn commit_batches() -> Vec<Vec<Entry>> {
    let one = |b: u64| (0..COMMIT as u64 / 4).flat_map(|i| life(b * COMMIT as u64 + i)).collect();
    (0..COMMITS).map(one).collect()
}

fn sender(journal: &Journal<Disk>) -> JournalReplicator {
    let origin = Origin { life: Life { name: name(), start: Start(1) }, sender: 0 };
    // Fewer than the lag below, so that entries have to be read from the log again.
    JournalReplicator::new(
        origin,
        ReplicationLimits { entries: 20_000, ..ReplicationLimits::default() },
        journal,
        0,
    )
}

fn copying() -> JournalCopy<Disk> {
    JournalCopy::open(Disk::default(), name(), 0, Limits::default(), 4 << 20).expect("copy")
}

/// Exchanges messages until both sides are idle. Returns the maximum number of bytes that they buffered
/// together.
fn settle(
    journal: &Journal<Disk>,
    s: &mut JournalReplicator,
    cursors: &mut Cursors,
    r: &mut JournalCopy<Disk>,
) -> usize {
    let mut most = 0;
    loop {
        let mut moved = false;
        while let Some(want) = s.pending_read() {
            s.read_finished(0, serve(journal, cursors, want).expect("the log"));
        }
        while let Some(octets) = s.poll(0) {
            r.handle_message(0, &octets);
            moved = true;
        }
        most = most.max(s.held() + r.held());
        while let Some(octets) = r.poll(0) {
            s.handle_message(0, &octets);
            moved = true;
        }
        if !moved {
            return most;
        }
    }
}

/// Returns an origin that is `times * COMMITS` commits ahead of an empty copy.
fn lagging(times: u64, limits: Limits) -> (Journal<Disk>, JournalReplicator) {
    let mut journal = Journal::open_chained(Disk::default(), limits).expect("journal");
    let mut s = sender(&journal);
    for _ in 0..times {
        for b in &commit_batches() {
            let first = journal.durable();
            journal.commit(b).expect("commit");
            s.entries_written(0, first, b);
        }
    }
    (journal, s)
}

fn bench_replication(c: &mut Criterion) {
    let commit_batches = commit_batches();
    let mut group = c.benchmark_group("entries");
    group.sample_size(20).throughput(Throughput::Elements(COMMIT as u64 * COMMITS));
    for (what, chained) in [("plain commits", false), ("chained commits", true)] {
        let open = if chained { Journal::open_chained } else { Journal::open };
        group.bench_function(what, |b| {
            let fresh = || open(Disk::default(), Limits::default()).expect("journal");
            b.iter_batched(
                fresh,
                |mut j| {
                    commit_batches.iter().for_each(|b| _ = j.commit(b).expect("commit"));
                    j
                },
                BatchSize::PerIteration,
            );
        });
    }
    group.bench_function("shipped commits, both sides", |b| {
        let fresh = || {
            let journal = Journal::open_chained(Disk::default(), Limits::default()).expect("journal");
            let (mut s, mut r, mut cursors) = (sender(&journal), copying(), Cursors::default());
            s.connected(0, true);
            settle(&journal, &mut s, &mut cursors, &mut r);
            (journal, s, r, cursors)
        };
        b.iter_batched(
            fresh,
            |(mut journal, mut s, mut r, mut cursors)| {
                for b in &commit_batches {
                    let first = journal.durable();
                    journal.commit(b).expect("commit");
                    s.entries_written(0, first, b);
                    settle(&journal, &mut s, &mut cursors, &mut r);
                }
                assert_eq!(s.durable(0), (COMMIT as u64 * COMMITS, true));
                (journal, s, r)
            },
            BatchSize::PerIteration,
        );
    });
    group.finish();
    let mut group = c.benchmark_group("resume after 100,000 entries of lag");
    group.sample_size(10).throughput(Throughput::Elements(100_000));
    let log = Limits::default();
    let state = Limits { least: 1 << 20, ..log };
    for (what, limits) in [("from the log", log), ("from the book and the log behind it", state)] {
        let mut held = 0;
        group.bench_function(what, |b| {
            b.iter_batched(
                || lagging(10, limits),
                |(journal, mut s)| {
                    let mut r = copying();
                    s.connected(0, true);
                    held = settle(&journal, &mut s, &mut Cursors::default(), &mut r);
                    assert_eq!(s.durable(0), (100_000, true));
                    black_box((journal, s, r))
                },
                BatchSize::PerIteration,
            );
        });
        println!("{what}: both sides buffered {held} bytes at most");
    }
    group.finish();
}

criterion_group!(benches, bench_replication);
criterion_main!(benches);
