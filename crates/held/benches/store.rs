//! The store at 1,000,000 held messages: listings by index compared with a full scan, one inspection, and
//! memory.
//!
//! `cargo bench -p heronroute-held --bench store`

use heronroute_held::{KnownOutcome, MessageRecord, Query, Room, Store, Trail, What};
use std::time::Instant;

const N: u64 = 1_000_000;
const UNLIMITED: Room = Room { age: i64::MAX, count: usize::MAX, octets: u64::MAX };

fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|p| p.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

fn microseconds_each(n: usize, mut work: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..n).for_each(&mut work);
    start.elapsed().as_secs_f64() * 1e6 / n as f64
}

fn main() {
    let now = 1_790_000_000_000_000i64;
    let before = resident_bytes();
    let mut s = Store::new(UNLIMITED, UNLIMITED);
    let (mut trails, start) = (0usize, Instant::now());
    for i in 0..N {
        let at = now + i as i64 * 1_000;
        let mut t = Trail::new(at, (i % 50) as u32);
        for attempt in 0..3 {
            t.add(at + attempt * 900_000, What::Began((i % 300) as u32), 64);
            t.add(at + attempt * 900_000 + 40_000, What::Ended(KnownOutcome::Refused), 64);
        }
        t.add(at + 3_000_000, What::Answered(2), 64);
        let trail = t.write();
        trails += trail.len();
        let filed = MessageRecord {
            client: (i % 1_000) as u32,
            destination: (i * 7 % 2_000) as i64,
            class: 1,
            key: i * 13 % 5_000,
            trail: trail.into(),
            message: Some(vec![0; 120].into()),
            under_way: false,
            kept: false,
            not_received_at: None,
        };
        s.file(at, (at as u64) << 6, filed);
    }
    println!(
        "filed {N}: {:.2} us each, {:.0} bytes each (trail of three attempts {}, message 120)",
        start.elapsed().as_secs_f64() * 1e6 / N as f64,
        (resident_bytes() - before) / N as f64,
        trails / N as usize
    );
    let id = |i: usize| ((now + (i as i64 * 7_919 % N as i64) * 1_000) as u64) << 6;
    let inspect =
        microseconds_each(100_000, |i| assert!(s.get(id(i)).and_then(|f| Trail::read(&f.trail)).is_some()));
    println!("one inspection with its trail: {inspect:.2} us");
    let hour = |i: usize| now + (i as i64 * 37 % 900) * 1_000_000;
    type Make = fn(usize, i64) -> Query;
    let queries: [(&str, Make); 4] = [
        ("of a client", |i, _| Query { client: Some(i as u32 % 1_000), held: true, ..Query::default() }),
        ("to a destination", |i, _| Query {
            destination: Some(i as i64 % 2_000),
            held: true,
            ..Query::default()
        }),
        ("with a key", |i, _| Query { key: Some(1 + i as u64 % 4_999), ..Query::default() }),
        ("of a client in a minute", |i, at| Query {
            client: Some(i as u32 % 1_000),
            from: Some(at),
            to: Some(at + 60_000_000),
            held: true,
            ..Query::default()
        }),
    ];
    for (name, query) in queries {
        let listed = microseconds_each(2_000, |i| assert!(s.list(&query(i, hour(i)), 50).ids.len() <= 50));
        let scanned = microseconds_each(5, |i| assert!(s.scan(&query(i, hour(i)), 50).ids.len() <= 50));
        println!("a page of 50 {name}: {listed:.1} us, by a full scan {scanned:.0} us");
    }
    let mut n = 0;
    let taken = microseconds_each(100_000, |i| n += usize::from(s.take(id(i)).is_some()));
    println!("removing one: {taken:.2} us ({n} of 100,000)");
}
