//! Submissions a second over loopback sockets: the service end to end (submit_sm, call, response, receipt,
//! acknowledgement) beside a bare SMPP echo over the same kind of sockets, with the same clients, in one run.
//! And the processor time of the sender's thread at a steady 1,100 messages a second.
//!
//! `cargo bench -p heronroute-drill --bench end_to_end`

mod shared;

use heronroute_config::parse;
use heronroute_net::{Clock, Service};
use heronroute_standins::run::Running;
use shared::{Receiver, SmppLoad};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Processor seconds of this process's threads whose name begins so.
fn spent(name: &str) -> f64 {
    let tasks = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let one = |t: std::fs::DirEntry| {
        let comm = std::fs::read_to_string(t.path().join("comm")).ok()?;
        let stat = std::fs::read_to_string(t.path().join("schedstat")).ok()?;
        comm.starts_with(name).then_some(stat.split(' ').next()?.parse::<f64>().ok()? / 1e9)
    };
    tasks.filter_map(one).sum()
}

fn service(echo: SocketAddr, senders: usize, journal: &str) -> Service {
    let mut t = format!(
        "service {{ senders: {senders} slots: 2000 room: 50000 owed_room: 50000 }} \
         smpp {{ listen: \"127.0.0.1:0\" window: 60000 }} \
         client {{ system_id: \"c\" password: \"p\" }} \
         {journal} class {{ name: \"RESP\" effect: \"guarded\" window: \"10s\" deadline: \"30s\" }} \
         kind {{ name: \"k\" protocol: \"smpp\" window: 64 }}\n"
    );
    for d in 1..=20 {
        _ = writeln!(t, "route {{ prefix: \"{d:06}\" destination: {d} }}");
        _ = writeln!(t, "endpoint {{ name: \"e{d}\" address: \"{echo}\" destination: {d} kind: \"k\" }}");
    }
    Service::start(Arc::new(parse("bench", &t).expect("settings")), 1).expect("service")
}

/// Messages a second, and the share that was delivered.
fn pass(address: SocketAddr, sessions: usize, window: usize, total: usize, receipts: bool) -> (f64, f64) {
    let start = Instant::now();
    let load =
        Running::start(&[], Clock::start(), |_| SmppLoad::new(address, sessions, window, total, receipts));
    let load = load.and_then(Running::join).expect("load");
    (total as f64 / start.elapsed().as_secs_f64(), load.delivered as f64 / total as f64)
}

fn main() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let echo = Running::start(&[any], Clock::start(), |_| Receiver::default()).expect("echo");
    let at = echo.addresses[0];
    println!("sessions x window: bare echo, end to end, ratio; delivered");
    for (sessions, window) in [(1, 16), (10, 16), (10, 64), (100, 16), (1_000, 4)] {
        let (bare, _) = pass(at, sessions, window, 40_000, false);
        let s = service(at, 1, "");
        // Pools of permits learn the rate first.
        pass(s.address(), sessions, window, 10_000, true);
        let (rate, delivered) = pass(s.address(), sessions, window, 40_000, true);
        println!(
            "{sessions:>5} x {window:<3}: {bare:>8.0}/s {rate:>8.0}/s {:>5.2}; {:.1}%",
            rate / bare,
            delivered * 100.0
        );
        s.shut_down();
        s.join().expect("service");
    }
    let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bench-end");
    for (sessions, window) in [(10, 64), (100, 16)] {
        let mut rates = Vec::new();
        let mut per_sync = 0.0;
        for journal in [String::new(), format!("journal {{ folder: \"{}\" }}", folder.display())] {
            _ = std::fs::remove_dir_all(&folder);
            let s = service(at, 1, &journal);
            pass(s.address(), sessions, window, 10_000, true);
            rates.push(pass(s.address(), sessions, window, 40_000, true).0);
            s.shut_down();
            let stats = s.join().expect("service");
            per_sync = stats.entries as f64 / stats.syncs.max(1) as f64;
        }
        let (off, on) = (rates[0], rates[1]);
        println!(
            "{sessions:>5} x {window:<3}: journal off {off:>8.0}/s, on {on:>8.0}/s {:>5.2}, {per_sync:.0} entries a sync",
            on / off
        );
    }
    _ = std::fs::remove_dir_all(&folder);
    let s = service(at, 1, "");
    let before = spent("sender-0");
    let start = Instant::now();
    let address = s.address();
    let load = Running::start(&[], Clock::start(), move |_| {
        let mut load = SmppLoad::new(address, 10, 1, 5_500, true);
        load.every = Some(909);
        load
    });
    load.and_then(Running::join).expect("load");
    let share = (spent("sender-0") - before) / start.elapsed().as_secs_f64();
    println!("at 1,100 a second the sender's thread takes {:.1}% of a core", share * 100.0);
    s.shut_down();
    s.join().expect("service");
    std::thread::sleep(Duration::from_millis(10));
    echo.stop().expect("echo");
}
