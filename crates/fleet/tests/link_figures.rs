//! Figures of links. Short in each run; `HERONROUTE_LONG=1 cargo test --release -p heronroute-fleet --test link_figures --
//! --nocapture` is what docs quote.

mod link_rig;

use heronroute_fleet::Kind;
use heronroute_fleet::frames::{FrameReader, FrameType, Head, seal};
use heronroute_fleet::key::Key;
use link_rig::*;
use std::time::Instant;

fn times(short: usize, long: usize) -> usize {
    if std::env::var_os("HERONROUTE_LONG").is_some() { long } else { short }
}

#[test]
fn an_idle_link_costs_a_few_octets_a_second() {
    for count in [2, times(3, 9)] {
        let mut w = World::new(Memory::new(usize::MAX), (0..count).map(|n| settings(n, count, 1)).collect());
        w.pass(5 * SECOND);
        let (before, spans) = (w.sent.iter().sum::<u64>(), times(10, 60) as i64);
        w.pass(spans * SECOND);
        let ways = (count * (count - 1)) as f64 * spans as f64;
        let each = (w.sent.iter().sum::<u64>() - before) as f64 / ways;
        println!(
            "{count} members at rest: {each:.1} octets a second and way of a link, {:.0} a member",
            each * (count - 1) as f64
        );
        assert!(each < 64.0);
    }
}

/// The same framing without a tag: length, head, payload.
fn bare(out: &mut Vec<u8>, head: Head, payload: &[u8]) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    *out = postcard::to_extend(&head, std::mem::take(out)).unwrap();
    out.extend_from_slice(payload);
    let length = (out.len() - start - 4) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn bare_open(frame: &[u8]) -> (Head, &[u8]) {
    let length = u32::from_be_bytes(frame[..4].try_into().unwrap()) as usize;
    postcard::take_from_bytes(&frame[4..4 + length]).unwrap()
}

#[test]
fn the_tag_of_a_frame_costs_little() {
    let key = Key::read(KEY).unwrap();
    for size in [0, 64, 1_024, 65_536] {
        let (payload, n) = (vec![7; size], times(200, 20_000_000 / (size + 1_000)));
        let head = |n| Head { what: FrameType::Message(Kind::Log), number: n as u64 };
        let begun = Instant::now();
        for i in 0..n {
            let (mut out, mut reader) = (Vec::new(), FrameReader::default());
            seal(&mut out, &key, &[], head(i), &payload);
            reader.push(&out);
            let raw = reader.next(1 << 18).unwrap().unwrap();
            let (_, heard) = raw.open(&key, &[]).unwrap();
            assert_eq!(heard.len(), size);
        }
        let with = begun.elapsed().as_nanos() as f64 / n as f64;
        let begun = Instant::now();
        for i in 0..n {
            let (mut out, mut held) = (Vec::new(), Vec::new());
            bare(&mut out, head(i), &payload);
            held.extend_from_slice(&out);
            assert_eq!(bare_open(&held).1.len(), size);
        }
        let without = begun.elapsed().as_nanos() as f64 / n as f64;
        println!(
            "{size} octets, sealed and opened: {with:.0} ns with a tag, {without:.0} without, {:.1} times",
            with / without
        );
    }
}

#[test]
fn messages_a_second_over_a_link() {
    let total = times(2_000, 400_000);
    let mut w = World::new(Memory::new(usize::MAX), (0..2).map(|n| settings(n, 2, 1)).collect());
    w.pass(SECOND);
    let begun = Instant::now();
    for n in 0..total {
        w.send(0, 1, Kind::Log, &[3; 100]);
        if n % 100 == 99 {
            w.pump();
        }
    }
    w.pump();
    let spent = begun.elapsed().as_secs_f64();
    assert_eq!(w.told[1].messages.len(), total);
    println!("{:.0} messages of 100 octets a second, both ends on one core", total as f64 / spent);
}
