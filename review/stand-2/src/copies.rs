//! Receivers send second copies of some of their answers, directly behind them and where nothing else waits on the
//! connection, and turn some calls away; the network takes 22 ms each way, and 6 ms more for a segment that follows
//! right behind another.

use crate::common::*;
use crate::line::Line;
use crate::mqtt::{Client, Message, Packet};
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Receivers, each a destination of its own.
const RECEIVERS: usize = 12;
/// Payouts to each.
const PAYOUTS: usize = 40;
/// The first call, in the order in which they come, that a receiver turns away: it is above its limit for ten calls.
const TURNED_AWAY: usize = 21;
/// Of so many answers one is followed by a second copy.
const COPIED: usize = 2;

/// What the receiver did: calls run and turned away, by body.
#[derive(Default)]
struct Done {
    ran: BTreeMap<String, usize>,
    turned_away: BTreeMap<String, usize>,
    copies: usize,
}

fn read_call(reader: &mut BufReader<TcpStream>) -> Option<(bool, String)> {
    let (mut first, mut length) = (String::new(), 0);
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.starts_with("GET "), String::from_utf8_lossy(&body).into_owned()))
}

fn serve(
    mut stream: TcpStream,
    own: usize,
    record: &Record,
    done: &Mutex<Done>,
    calls: &AtomicUsize,
    copies: bool,
) {
    _ = stream.set_nodelay(true);
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reader);
    while let Some((probe, body)) = read_call(&mut reader) {
        let n = if probe { 0 } else { calls.fetch_add(1, Ordering::SeqCst) + 1 };
        let first = TURNED_AWAY + own;
        let refused = (first..first + 10).contains(&n);
        let answer = if refused {
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
        } else {
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        };
        if !probe && let Ok(mut done) = done.lock() {
            let list = if refused { &mut done.turned_away } else { &mut done.ran };
            *list.entry(body.clone()).or_default() += 1;
            record.say(format!(
                "receiver {own}: {body:?} {}",
                if refused { "turned away, 503" } else { "ran, 200" }
            ));
        }
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        if !copies || probe || refused || !n.is_multiple_of(COPIED) {
            continue;
        }
        // Directly behind it, as a segment of its own. Only where nothing else waits.
        std::thread::sleep(ms(2));
        _ = stream.set_nonblocking(true);
        let mut byte = [0];
        let waits = !reader.buffer().is_empty() || matches!(stream.peek(&mut byte), Ok(1));
        _ = stream.set_nonblocking(false);
        if !waits {
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            if let Ok(mut done) = done.lock() {
                done.copies += 1;
            }
            record
                .say(format!("receiver {own}: a second copy of the answer to {body:?}; nothing else waits"));
        }
    }
}

fn receiver(own: usize, record: &Record, done: &Arc<Mutex<Done>>, copies: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let (record, done, calls) = (record.clone(), done.clone(), Arc::new(AtomicUsize::new(0)));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, done, calls) = (record.clone(), done.clone(), calls.clone());
            std::thread::spawn(move || serve(stream, own, &record, &done, &calls, copies));
        }
    });
    address
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let folder = Folder::new();
    let done = Arc::new(Mutex::new(Done::default()));
    let lines: Vec<Line> = (0..RECEIVERS)
        .map(|own| Line::start_uneven(receiver(own, record, &done, trouble), ms(22), ms(6)))
        .collect();
    let ports = free_ports(2);
    let (smpp, mqtt) = (ports[0], ports[1]);
    let mut settings = format!(
        "service {{ slots: 48 room: 2000 }}\n\
         smpp {{ listen: \"{smpp}\" }}\n\
         mqtt {{ listen: \"{mqtt}\" window: 1000 }}\n\
         client {{ system_id: \"oduya\" password: \"secret\" }}\n\
         class {{ name: \"PAY\" effect: \"single_shot\" aim: \"2500ms\" deadline: \"28s\" }}\n\
         kind {{ name: \"bulk\" protocol: \"http\" }}\n"
    );
    for (i, line) in lines.iter().enumerate() {
        let at = line.address;
        settings.push_str(&format!(
            "endpoint {{ name: \"e{i}\" address: \"{at}\" destination: {i} kind: \"bulk\" }}\n\
             route {{ prefix: \"{i:06}\" destination: {i} }}\n"
        ));
    }
    let config = folder.file("settings");
    fs::write(&config, settings).map_err(|e| e.to_string())?;
    let command = format!("target/release/heronroute --log info serve --config {}", config.display());
    let mut program = Program::start(&command, &[], &folder.file("log"));
    if !listens_within(mqtt, ms(10_000)) {
        return Err("the program does not listen".into());
    }
    let (mut client, _) = Client::connect(mqtt, true, "payouts", "oduya", "secret")?;
    if !client.subscribe("answers/#") {
        return Err("no subscription".into());
    }
    let payouts: Vec<(usize, usize)> =
        (1..=PAYOUTS).flat_map(|n| (0..RECEIVERS).map(move |own| (own, n))).collect();
    for (at, (own, n)) in payouts.iter().enumerate() {
        let name = format!("payout-{own}-{n}");
        let user = vec![("message".to_string(), name.clone())];
        let topic = format!("to/{own:06}{n:06}/PAY");
        client.publish(&Message { packet: at as u16 + 1, topic, payload: name, user, ..Message::default() });
    }
    let (mut states, until) = (BTreeMap::new(), Instant::now() + ms(12_000));
    while Instant::now() < until && states.len() < payouts.len() {
        if let Some(Packet::Publish(_, text)) = client.next(ms(200)) {
            record.say(format!("client: {text}"));
            let word = |name: &str| {
                text.split(' ').find_map(|w| w.strip_prefix(name)).unwrap_or_default().to_string()
            };
            states.insert(word("ref:"), word("stat:"));
        }
    }
    if !program.running() {
        return Err("the program ended".into());
    }
    std::thread::sleep(ms(500));
    let Ok(done) = done.lock() else { return Err("the receiver failed".into()) };
    if trouble && done.copies == 0 {
        return Err("no copy was sent".into());
    }
    let names = payouts.iter().map(|(own, n)| format!("payout-{own}-{n}"));
    let told = |name: &String| states.get(name).is_some_and(|s| s == "DELIVRD");
    let ran = |name: &String| done.ran.contains_key(name);
    let wrong: Vec<String> = names.filter(told).filter(|name| !ran(name)).collect();
    record.say(format!(
        "answers: {}; calls run: {}, turned away: {}, second copies: {}; told as delivered, and never run: {}: {wrong:?}",
        states.len(),
        done.ran.values().sum::<usize>(),
        done.turned_away.values().sum::<usize>(),
        done.copies,
        wrong.len()
    ));
    Ok(if wrong.is_empty() { Verdict::Held } else { Verdict::Broken })
}
