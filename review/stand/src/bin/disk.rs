//! Case: one of twenty endpoints hangs for 12 s; from then on the sender refuses everything that it gets, for good, though
//! nothing is held any more.

use review_stand::*;
use std::sync::atomic::Ordering;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Each has one endpoint.
const DESTINATIONS: usize = 20;
/// A body holds at most 64 KiB.
const BODY: usize = 40 * 1024;
/// One message in so many goes to the first destination: less than the 27% of the users' page.
const SHARE_OF_FIRST: u64 = 4;
/// Between two messages: ten a second.
const GAP: Duration = Duration::from_millis(100);
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
    let mut sender = Sender::set_up(&record, &case, &scratch, &discovery, LIMITS, SETTINGS);
    sender.spawn();
    sender.ready(Duration::from_secs(20));

    let start = Instant::now();
    let (hang_from, hang_to, end) =
        (Duration::from_secs(3), Duration::from_secs(15), Duration::from_secs(55));
    let mut threads = Vec::new();
    let mut n = 0u64;
    let mut hung = false;
    while start.elapsed() < end {
        let in_hang = trouble() && (hang_from..hang_to).contains(&start.elapsed());
        if in_hang != hung {
            hung = in_hang;
            record.line(if hung { "endpoint s-0 hangs" } else { "endpoint s-0 answers again" });
            endpoints[0].hangs.store(hung, Ordering::Relaxed);
        }
        let dest = if n.is_multiple_of(SHARE_OF_FIRST) { 1 } else { n as usize % (DESTINATIONS - 1) + 2 };
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
    // From 15 s behind the end of the hang on every message that was held is over, as no deadline is beyond 12 s.
    let from = start + hang_to + Duration::from_secs(15);
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
        "handed in {}, taken on {}; from 15 s behind the hang on: handed in {}, taken on {}, longest span in which all were rejected and nothing was attempted: {:.1} s with {rejected} messages",
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
