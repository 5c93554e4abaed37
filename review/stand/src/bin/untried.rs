//! Trial of an entry (issue 45, "an intent written as a call is decided"), no case: once-only messages whose connections
//! never came up are given up with no call after a kill.
use review_stand::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::thread::sleep;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
}

fn main() {
    let case = case_folder();
    let record = Record::new(&case.join("record.txt"));
    let scratch = Scratch::new();
    let settings = SETTINGS.replace(r#""Effect":"free""#, r#""Effect":"single_shot""#);
    let mut gone = Vec::new();
    let mut listed = Vec::new();
    let mut fill = Vec::new();
    for cell in 1..=10 {
        let listener = TcpListener::bind((own_address(), 0)).unwrap();
        let addr: SocketAddr = listener.local_addr().unwrap();
        unsafe { listen(listener.as_raw_fd(), 0) };
        // New connections never come up: the queue of the listener is full.
        for _ in 0..2 {
            fill.extend(TcpStream::connect_timeout(&addr, 50 * MS).ok());
        }
        listed.push(Listed {
            id: format!("s-{cell}"),
            addr,
            kind: "client-hook".into(),
            cell,
            state: "SERVING",
            started_ms: 0,
            weight: 100.0,
        });
        gone.push(listener);
    }
    let discovery = Discovery::start(&record, &listed);
    let mut sender = Sender::set_up(&record, &case, &scratch, &discovery, LIMITS, &settings);
    sender.spawn();
    sender.ready(Duration::from_secs(20));
    let mut ids = Vec::new();
    for cell in 1..=10 {
        let id = new_id(0x0471);
        if let Heard::Line(line) = hand_in(
            &record,
            sender.listen,
            &id,
            &format!("c=status-sync,t=oduya-forms,d=12000,dest={cell}"),
            b"pay",
        ) && line.starts_with('+')
        {
            ids.push(id);
        }
    }
    let taken = Instant::now();
    if trouble() {
        sleep(400 * MS);
        sender.kill();
        sleep(600 * MS);
        sender.spawn();
        sender.ready(Duration::from_secs(20));
    }
    sleep(Duration::from_secs(3));
    let notices = discovery.notices.lock().unwrap().clone();
    let given_up = ids.iter().filter(|id| notices.contains_key(*id)).count();
    let text = format!(
        "taken on {}, {:.1} s later given up with no call: {given_up}",
        ids.len(),
        taken.elapsed().as_secs_f64()
    );
    record.line(&text);
    println!("{text}");
    sender.kill();
    drop((sender, scratch));
    std::process::exit(i32::from(given_up * 2 > ids.len()));
}
