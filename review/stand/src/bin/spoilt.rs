//! Case: for 45 s one answer in eight arrives spoilt; from then on the sender refuses everything that it gets, for good,
//! though nothing is held any more.

use review_stand::*;
use std::sync::atomic::Ordering;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Each has one endpoint.
const DESTINATIONS: usize = 10;
const BODY: usize = 300;
/// One answer in so many is spoilt, at every endpoint alike.
const SPOILT: u64 = 8;
/// Between two messages: sixty a second.
const GAP: Duration = Duration::from_micros(16_600);
const LESS_MEMORY: &str = r#"{"cores":1.0,"memory_mb":32,"sockets":512,"disk_mb":3}"#;
/// The rule's span: all that comes is rejected for this long on end, 15 messages or more.
const REJECTS_ON_END: Duration = Duration::from_secs(4);

fn main() {
    let case = case_folder();
    let record = Record::new(&case.join("record.txt"));
    let scratch = Scratch::new();
    let endpoints: Vec<Endpoint> =
        (0..DESTINATIONS).map(|i| Endpoint::start(&record, &format!("s-{i}"), 150 * MS)).collect();
    let listed: Vec<Listed> =
        endpoints.iter().enumerate().map(|(i, e)| e.listed("client-hook", i as i64 + 1)).collect();
    let discovery = Discovery::start(&record, &listed);
    let mut sender = Sender::set_up(&record, &case, &scratch, &discovery, LESS_MEMORY, SETTINGS);
    sender.spawn();
    sender.ready(Duration::from_secs(20));

    let start = Instant::now();
    let (trouble_from, trouble_to, end) =
        (Duration::from_secs(3), Duration::from_secs(48), Duration::from_secs(78));
    let mut threads = Vec::new();
    let mut n = 0u64;
    let mut on = false;
    while start.elapsed() < end {
        let in_trouble = trouble() && (trouble_from..trouble_to).contains(&start.elapsed());
        if in_trouble != on {
            on = in_trouble;
            record.line(if on { "answers arrive spoilt" } else { "no answer is spoilt any more" });
            endpoints.iter().for_each(|e| e.spoils.store(if on { SPOILT } else { 0 }, Ordering::Relaxed));
        }
        let dest = n as usize % DESTINATIONS + 1;
        let (to, record) = (sender.listen, record.clone());
        threads.push(spawn(move || {
            let id = new_id(0xd15c);
            let at = Instant::now();
            let pairs = format!("c=status-sync,t=oduya-forms,d=12000,dest={dest}");
            (at, id.clone(), hand_in(&record, to, &id, &pairs, &[b'x'; BODY]))
        }));
        n += 1;
        sleep(GAP);
    }
    let heard: Vec<(Instant, String, Heard)> = threads.into_iter().map(|t| t.join().unwrap()).collect();
    // From 15 s behind the last spoilt answer on every message that was held is over, as no deadline is beyond 12 s.
    let from = start + trouble_to + Duration::from_secs(15);
    let late: Vec<&(Instant, String, Heard)> = heard.iter().filter(|(at, ..)| *at >= from).collect();
    let taken = |h: &Heard| matches!(h, Heard::Line(l) if l.starts_with('+'));
    // The longest span without a message taken on and without a call to an endpoint, and the messages in it.
    let calls =
        endpoints.iter().flat_map(|e| e.calls.lock().unwrap().iter().map(|c| c.at).collect::<Vec<_>>());
    let accepted = late.iter().filter(|(.., h)| taken(h)).map(|(at, ..)| *at);
    let until = start + end;
    let mut marks: Vec<Instant> = calls.chain(accepted).filter(|at| *at >= from && *at < until).collect();
    marks.extend([from, until]);
    marks.sort();
    let (span, rejected) = marks
        .windows(2)
        .map(|w| (w[1] - w[0], late.iter().filter(|(at, ..)| *at > w[0] && *at < w[1]).count()))
        .max()
        .unwrap_or_default();
    let text = format!(
        "handed in {}, taken on {}; from 15 s behind the last spoilt answer on: handed in {}, taken on {}, longest span in which all were rejected and nothing was attempted: {:.1} s with {rejected} messages",
        heard.len(),
        heard.iter().filter(|(.., h)| taken(h)).count(),
        late.len(),
        late.iter().filter(|(.., h)| taken(h)).count(),
        span.as_secs_f64(),
    );
    record.line(&text);
    println!("{text}");
    sender.kill();
    drop((sender, scratch));
    std::process::exit(i32::from(span >= REJECTS_ON_END && rejected >= 15));
}
