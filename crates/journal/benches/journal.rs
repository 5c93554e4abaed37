//! The cost of durability: this journal, a plain append and sync, and redb, with the same entries on the same
//! disk in one run; recovery time and memory by the number of open messages; the duration of a snapshot.
//!
//! `cargo bench -p heronroute-journal --bench journal`

use heronroute_journal::dir::Dir;
use heronroute_journal::entry::{Accepted, Answer, Entry, Intent, Taken, What};
use heronroute_journal::{Journal, Limits, frame};
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::time::Instant;

fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("folder");
    path
}

fn accepted(id: u64) -> Entry {
    What::Accepted(Accepted {
        id,
        client: "oduya".into(),
        class: "RESP".into(),
        source: "survey".into(),
        destination: format!("234{id:09}"),
        dest: 7,
        body: vec![b'x'; 60],
        taken: 1_796_083_200_000_000,
        deadline: 1_796_083_224_000_000,
        wanted: 1,
        ..Accepted::default()
    })
    .into()
}

/// The four entries of one message.
fn message_entries(id: u64) -> [Entry; 4] {
    let at = 1_796_083_200_000_000;
    [
        accepted(id),
        What::Intent(Intent { id, endpoint: "d7-1".into(), at }).into(),
        What::Answer(Answer { id, word: "DELIVRD".into(), retry_after: -1, at }).into(),
        What::Taken(Taken { id }).into(),
    ]
}

fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|p| p.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

fn commits(batch: u64, rounds: u64) {
    let entries = |round: u64| -> Vec<Entry> {
        (0..batch).flat_map(|i| message_entries(1 + round * batch + i)).collect()
    };
    let per_second = |start: Instant| rounds as f64 * batch as f64 / start.elapsed().as_secs_f64();
    let mut journal =
        Journal::open(Dir::open(&folder("bench-journal")).expect("dir"), Limits::default()).expect("journal");
    let start = Instant::now();
    for r in 0..rounds {
        journal.commit(&entries(r)).expect("commit");
    }
    let ours = per_second(start);
    let mut raw = File::create(folder("bench-raw").join("raw")).expect("file");
    let start = Instant::now();
    let mut out = Vec::new();
    for r in 0..rounds {
        out.clear();
        frame::write(0, 0, &entries(r), &mut out);
        raw.write_all(&out).expect("write");
        raw.sync_data().expect("sync");
    }
    let bare = per_second(start);
    let db = redb::Database::create(folder("bench-redb").join("db")).expect("redb");
    let table: redb::TableDefinition<u64, &[u8]> = redb::TableDefinition::new("messages");
    let start = Instant::now();
    for r in 0..rounds {
        let txn = db.begin_write().expect("txn");
        {
            let mut t = txn.open_table(table).expect("table");
            for i in 0..batch {
                let id = 1 + r * batch + i;
                let mut out = Vec::new();
                // The equivalent of the four entries: the message is inserted, updated twice and removed.
                for e in &message_entries(id)[..3] {
                    frame::write(id, 0, std::slice::from_ref(e), &mut out);
                    t.insert(id, out.as_slice()).expect("insert");
                }
                t.remove(id).expect("remove");
            }
        }
        txn.commit().expect("commit");
    }
    let embedded = per_second(start);
    println!(
        "{batch:>5} messages a sync: journal {ours:>9.0}/s, raw append and sync {bare:>9.0}/s ({:.2}), redb {embedded:>9.0}/s",
        ours / bare
    );
}

fn main() {
    println!("messages a second, four entries each:");
    for (batch, rounds) in [(1, 400), (10, 300), (100, 200), (1_000, 60)] {
        commits(batch, rounds);
    }
    for n in [10_000u64, 100_000, 1_000_000] {
        let path = folder("bench-recover");
        let limits = Limits { least: 1 << 40, most: 1 << 40, ..Limits::default() };
        let mut journal = Journal::open(Dir::open(&path).expect("dir"), limits).expect("journal");
        let before = resident_bytes();
        for from in (0..n).step_by(10_000) {
            journal.commit(&(from..from + 10_000).map(accepted).collect::<Vec<_>>()).expect("commit");
        }
        let memory = (resident_bytes() - before) / n as f64;
        drop(journal);
        let start = Instant::now();
        let mut journal = Journal::open(Dir::open(&path).expect("dir"), limits).expect("journal");
        let log = start.elapsed().as_secs_f64();
        let start = Instant::now();
        journal.snapshot().expect("snapshot");
        let snapshot = start.elapsed().as_secs_f64();
        drop(journal);
        let start = Instant::now();
        let journal = Journal::open(Dir::open(&path).expect("dir"), limits).expect("journal");
        assert_eq!(journal.state().open.len() as u64, n);
        let again = start.elapsed().as_secs_f64();
        println!(
            "{n:>8} open: recovery from the log {log:.3} s ({:.0}/s), from a snapshot {again:.3} s ({:.0}/s), the \
             snapshot took {snapshot:.3} s on the journal's thread, {memory:.0} bytes a message in the state",
            n as f64 / log,
            n as f64 / again
        );
    }
    for name in ["bench-journal", "bench-raw", "bench-redb", "bench-recover"] {
        _ = std::fs::remove_dir_all(PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name));
    }
}
