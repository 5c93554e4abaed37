//! Case: one of twenty endpoints hangs, the journal's room is filled by what is held for it, the sender is killed and
//! started again. The first message behind the start is let in as if the folder were empty; from then on nothing can be
//! written, and what had been taken on gets neither delivery nor notice.

use review_stand::*;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const DESTINATIONS: u64 = 20;
/// Bodies for the first destination, and for the others: 64 KiB at most.
const LARGE: usize = 60 * 1024;
const SMALL: usize = 300;
/// The time of each message, and what the rule adds: 300 ms, and 50 ms of slack on sockets.
const DEADLINE: Duration = Duration::from_secs(12);
const GRACE: Duration = Duration::from_millis(350);
/// No notice is overdue until so long behind the start.
const AFTER_READY: Duration = Duration::from_millis(1_550);

type TakenOn = Arc<Mutex<BTreeMap<String, Instant>>>;

struct Clients {
    record: Record,
    taken_on: TakenOn,
}

impl Clients {
    /// Hands a message in from a connection of its own, without waiting for it here.
    fn hand_in(&self, to: std::net::SocketAddr, dest: u64, size: usize) -> std::thread::JoinHandle<Heard> {
        let (record, taken_on) = (self.record.clone(), self.taken_on.clone());
        spawn(move || {
            let (id, at) = (new_id(0x1057), Instant::now());
            let pairs = format!("c=status-sync,t=oduya-forms,d={},dest={dest}", DEADLINE.as_millis());
            let heard = hand_in(&record, to, &id, &pairs, &vec![b'x'; size]);
            if matches!(&heard, Heard::Line(line) if line.starts_with('+')) {
                taken_on.lock().unwrap().insert(id, at);
            }
            heard
        })
    }
}

fn main() {
    let case = case_folder();
    let record = Record::new(&case.join("record.txt"));
    let scratch = Scratch::new();
    let endpoints: Vec<Endpoint> =
        (1..=DESTINATIONS).map(|i| Endpoint::start(&record, &format!("s-{i}"), 150 * MS)).collect();
    let listed: Vec<Listed> =
        endpoints.iter().zip(1..).map(|(e, cell)| e.listed("client-hook", cell)).collect();
    let discovery = Discovery::start(&record, &listed);
    let mut sender = Sender::set_up(&record, &case, &scratch, &discovery, LIMITS, SETTINGS);
    sender.spawn();
    sender.ready(Duration::from_secs(20));

    let clients = Clients { record: record.clone(), taken_on: TakenOn::default() };
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let (hang_from, kill_at, hang_to, end) = (second, 10 * second, 13 * second, 20 * second);
    let mut killed = false;
    let mut ready = start;
    let mut small_from = start;
    let mut n = 0u64;
    let mut hung = false;
    while start.elapsed() < end {
        let in_hang = trouble() && (hang_from..hang_to).contains(&start.elapsed());
        if in_hang != hung {
            hung = in_hang;
            record.line(if hung { "endpoint s-1 hangs" } else { "endpoint s-1 answers again" });
            endpoints[0].hangs.store(hung, Ordering::Relaxed);
        }
        if trouble() && !killed && start.elapsed() >= kill_at {
            killed = true;
            sender.kill();
            sleep(600 * MS);
            sender.spawn();
            sender.ready(Duration::from_secs(20));
            ready = Instant::now();
            // One client comes at once, the others when their pause after the broken connection is over.
            _ = clients.hand_in(sender.listen, 2, LARGE);
            small_from = ready + second;
            sleep(300 * MS);
        }
        // Twelve a second; a quarter to the first destination.
        if n.is_multiple_of(4) {
            clients.hand_in(sender.listen, 1, LARGE);
        } else if Instant::now() >= small_from {
            clients.hand_in(sender.listen, n % (DESTINATIONS - 1) + 2, SMALL);
        }
        n += 1;
        sleep(83 * MS);
    }
    let last = clients.taken_on.lock().unwrap().values().max().copied().unwrap_or(start) + DEADLINE + GRACE;
    sleep(last.saturating_duration_since(Instant::now()) + second);
    let taken_on = clients.taken_on.lock().unwrap().clone();
    let delivered: Vec<String> = endpoints.iter().flat_map(Endpoint::delivered).collect();
    let notices = discovery.notices.lock().unwrap().clone();
    let mut lost = 0;
    for (id, at) in &taken_on {
        let due = (*at + DEADLINE + GRACE).max(ready + AFTER_READY);
        if Instant::now() > due && !delivered.contains(id) && !notices.contains_key(id) {
            lost += 1;
            record.line(&format!("lost: {id}, neither delivered nor ended by a notice"));
        }
    }
    let text = format!(
        "handed in {n}, taken on {}, delivered {}, ended by a notice {}, lost {lost}",
        taken_on.len(),
        taken_on.keys().filter(|id| delivered.contains(id)).count(),
        taken_on.keys().filter(|id| notices.contains_key(*id)).count(),
    );
    record.line(&text);
    println!("{text}");
    if sender.has_ended() {
        record.line("the sender has ended by itself");
    }
    sender.kill();
    drop((sender, scratch));
    std::process::exit(i32::from(lost > 0));
}
