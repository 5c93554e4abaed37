//! Case: a held message is handed in again, its receiver takes it and its answer is lost, the service is killed and
//! started again. The attempt is gone from the message's trail: when the message is held once more, its owner may hand
//! it in again long after the receiver has forgotten its key, and it takes effect twice.

use review_stand::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const ODUYA: (&str, &str) = ("oduya", "secret");
/// How long a receiver remembers a key: the class's window.
const WINDOW: Duration = Duration::from_secs(6);

/// A receiver over HTTP, by docs/smpp.md: drops repeats of a key for the window from when the message took effect.
#[derive(Clone)]
struct Receiver {
    addr: SocketAddr,
    answers: Arc<AtomicBool>,
    listens: Arc<AtomicBool>,
    effects: Arc<Mutex<BTreeMap<String, Vec<Instant>>>>,
    record: Record,
}

impl Receiver {
    fn start(record: &Record) -> Receiver {
        let receiver = Receiver {
            addr: free_address(),
            answers: Arc::default(),
            listens: Arc::default(),
            effects: Arc::default(),
            record: record.clone(),
        };
        let own = receiver.clone();
        spawn(move || {
            let mut listener = None;
            loop {
                match (own.listens.load(Ordering::Relaxed), &listener) {
                    (true, None) => {
                        listener = TcpListener::bind(own.addr).ok();
                        listener.iter().for_each(|l| _ = l.set_nonblocking(true));
                    }
                    (false, Some(_)) => listener = None,
                    _ => {}
                }
                if let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) {
                    _ = stream.set_nonblocking(false);
                    let own = own.clone();
                    spawn(move || own.serve(stream));
                }
                sleep(2 * MS);
            }
        });
        receiver
    }

    fn serve(&self, stream: std::net::TcpStream) {
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut number = 0;
        while let Some(request) = HttpRequest::read(&mut reader) {
            number += 1;
            if request.method == "POST" {
                let field = |name: &str| request.fields.get(name).cloned().unwrap_or_default();
                let (id, key) = (field("message-id"), field("idempotency-key"));
                let mut effects = self.effects.lock().unwrap();
                let of = effects.entry(key).or_default();
                let known = of.last().is_some_and(|at| at.elapsed() < WINDOW);
                if !known {
                    of.push(Instant::now());
                }
                self.record.line(&format!(
                    "receiver: call {id}, {}",
                    if known { "a repeat, dropped" } else { "takes effect" }
                ));
            }
            if !self.answers.load(Ordering::Relaxed) {
                self.record.line("receiver: its answer is lost, and it is down from now on");
                self.listens.store(false, Ordering::Relaxed);
                while !closed(&out) {
                    sleep(10 * MS);
                }
                return;
            }
            let answer = format!("HTTP/1.1 200 OK\r\nX-Answer: {number}\r\nContent-Length: 0\r\n\r\n");
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn main() {
    let case = case_folder();
    let record = Record::new(&case.join("record.txt"));
    let scratch = Scratch::new();
    let root = root(&case);
    let (receiver, other) = (Receiver::start(&record), Receiver::start(&record));
    other.answers.store(true, Ordering::Relaxed);
    other.listens.store(true, Ordering::Relaxed);
    let (smpp, mqtt) = (free_address(), free_address());
    let config = scratch.0.join("service.txt");
    let text = format!(
        "service {{ slots: 8 room: 100 max_attempts: 60 }}\nsmpp {{ listen: \"{smpp}\" }}\nmqtt {{ listen: \"{mqtt}\" }}\nheld {{ }}\n\
         journal {{ folder: \"{}\" }}\nclient {{ system_id: \"oduya\" password: \"secret\" }}\n\
         class {{ name: \"PUSH\" effect: \"guarded\" deadline: \"8s\" window: \"{}s\" }}\n\
         kind {{ name: \"hook\" protocol: \"http\" }}\n\
         route {{ prefix: \"234\" destination: 1 }}\nroute {{ prefix: \"235\" destination: 2 }}\n\
         endpoint {{ name: \"a\" address: \"{}\" destination: 1 kind: \"hook\" }}\n\
         endpoint {{ name: \"b\" address: \"{}\" destination: 2 kind: \"hook\" }}\n",
        scratch.0.join("journal").display(),
        WINDOW.as_secs(),
        receiver.addr,
        other.addr,
    );
    std::fs::write(&config, text).expect("a configuration");
    let tools = Tools { record: &record, root: &root, smpp, mqtt };
    let mut service = Service::start(&record, &root, &config, smpp);

    // The receiver is down: the message ends undelivered, surely not run, and is held.
    let answer = tools.client(ODUYA, "2341", "15");
    let id = answer.split_whitespace().next().unwrap_or_default().to_string();
    if !answer.contains("NotRun") {
        cannot_run(&record, "the message did not end undelivered");
    }
    // The receiver is back; its owner hands it in again. It takes effect, and the answer is lost.
    receiver.listens.store(true, Ordering::Relaxed);
    sleep(2_500 * MS);
    tools.held(ODUYA, &["resubmit", &id]);
    let until = Instant::now() + Duration::from_secs(3);
    while receiver.effects.lock().unwrap().is_empty() && Instant::now() < until {
        sleep(5 * MS);
    }
    let Some(first) = receiver.effects.lock().unwrap().values().next().map(|e| e[0]) else {
        service.kill(&record);
        cannot_run(&record, "the message handed in again did not reach its receiver");
    };
    // The sender has given the attempt up by now, and the message still has time.
    sleep((first + 3_500 * MS).saturating_duration_since(Instant::now()));
    if trouble() {
        service.kill(&record);
        sleep(200 * MS);
        service = Service::start(&record, &root, &config, smpp);
    }
    // It ends again, and its client takes the answer beside another message's.
    sleep((first + Duration::from_secs(9)).saturating_duration_since(Instant::now()));
    tools.client(ODUYA, "2351", "3");
    tools.held(ODUYA, &["show", &id]);
    sleep((first + WINDOW + 5_000 * MS).saturating_duration_since(Instant::now()));
    // The receiver is back and has forgotten the key; the owner hands the message in again, not as a new effect.
    receiver.answers.store(true, Ordering::Relaxed);
    receiver.listens.store(true, Ordering::Relaxed);
    let told = tools.held(ODUYA, &["resubmit", &id]);
    sleep(Duration::from_secs(5));
    let effects = receiver.effects.lock().unwrap().values().map(Vec::len).max().unwrap_or(0);
    let text = format!("handed in again behind the window: {told}; effects of the message: {effects}");
    record.line(&text);
    println!("{text}");
    service.kill(&record);
    drop(scratch);
    std::process::exit(i32::from(effects > 1));
}
