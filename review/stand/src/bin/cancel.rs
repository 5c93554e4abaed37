//! Case: a client withdraws a message and hears that it is withdrawn; the service is killed right behind that answer and
//! started again. The message is sent all the same.

use review_stand::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const SUBMIT: u32 = 4;
const DELIVER: u32 = 5;
const CANCEL: u32 = 8;
const BIND_TRANSCEIVER: u32 = 9;
const ENQUIRE: u32 = 0x15;
const RESPONSE: u32 = 0x8000_0000;
const SOURCE: &str = "100";

/// A client that speaks SMPP 3.4, as far as the case needs it.
struct Smpp {
    stream: TcpStream,
    last: u32,
    receipts: Vec<String>,
    record: Record,
}

struct Pdu {
    command: u32,
    status: u32,
    sequence: u32,
    body: Vec<u8>,
}

impl Smpp {
    fn bind(record: &Record, to: SocketAddr) -> Smpp {
        let Ok(stream) = TcpStream::connect(to) else { cannot_run(record, "no connection") };
        _ = stream.set_nodelay(true);
        let mut client = Smpp { stream, last: 0, receipts: Vec::new(), record: record.clone() };
        let body = [text("oduya"), text("secret"), text(""), vec![0x34, 0, 0], text("")].concat();
        let answer = client.ask(BIND_TRANSCEIVER, &body);
        if answer.is_none_or(|a| a.status != 0) {
            cannot_run(record, "the bind was refused");
        }
        client
    }

    fn write(&mut self, command: u32, status: u32, sequence: u32, body: &[u8]) {
        let length = 16 + body.len() as u32;
        let head = [length, command, status, sequence].map(u32::to_be_bytes).concat();
        _ = self.stream.write_all(&[&head, body].concat());
    }

    /// The next command within a time; receipts and enquiries are answered on the way.
    fn next(&mut self, patience: Duration) -> Option<Pdu> {
        let until = Instant::now() + patience;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            _ = self.stream.set_read_timeout(Some(left.max(MS)));
            let mut head = [0; 16];
            self.stream.read_exact(&mut head).ok()?;
            let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
            let mut body = vec![0; (word(0) as usize).saturating_sub(16)];
            self.stream.read_exact(&mut body).ok()?;
            let pdu = Pdu { command: word(4), status: word(8), sequence: word(12), body };
            match pdu.command {
                ENQUIRE => self.write(ENQUIRE | RESPONSE, 0, pdu.sequence, &[]),
                DELIVER => {
                    let receipt = String::from_utf8_lossy(&pdu.body).into_owned();
                    let receipt: String =
                        receipt.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
                    self.record.line(&format!("client: receipt {receipt}"));
                    self.receipts.push(receipt);
                    self.write(DELIVER | RESPONSE, 0, pdu.sequence, &[0]);
                }
                _ => return Some(pdu),
            }
        }
    }

    fn ask(&mut self, command: u32, body: &[u8]) -> Option<Pdu> {
        self.last += 1;
        let sequence = self.last;
        self.write(command, 0, sequence, body);
        loop {
            let pdu = self.next(Duration::from_secs(5))?;
            if pdu.command == command | RESPONSE && pdu.sequence == sequence {
                return Some(pdu);
            }
        }
    }
}

/// A C-octet string.
fn text(text: &str) -> Vec<u8> {
    [text.as_bytes(), &[0]].concat()
}

fn address(address: &str) -> Vec<u8> {
    [vec![1, 1], text(address)].concat()
}

fn main() {
    let case = case_folder();
    let record = Record::new(&case.join("record.txt"));
    let scratch = Scratch::new();
    let root = root(&case);
    let (smpp, receiver) = (free_address(), free_address());
    let config = scratch.0.join("service.txt");
    let settings = format!(
        "service {{ slots: 8 room: 100 max_attempts: 60 }}\nsmpp {{ listen: \"{smpp}\" }}\n\
         journal {{ folder: \"{}\" gather: \"100ms\" }}\nclient {{ system_id: \"oduya\" password: \"secret\" }}\n\
         class {{ name: \"PAY\" effect: \"single_shot\" deadline: \"20s\" }}\n\
         kind {{ name: \"hook\" protocol: \"http\" }}\nroute {{ prefix: \"234\" destination: 1 }}\n\
         endpoint {{ name: \"a\" address: \"{receiver}\" destination: 1 kind: \"hook\" }}\n",
        scratch.0.join("journal").display(),
    );
    std::fs::write(&config, settings).expect("a configuration");
    let mut service = Some(Service::start(&record, &root, &config, smpp));
    // The receiver is down. A message is handed in, and withdrawn while nothing of it has left.
    let mut client = Smpp::bind(&record, smpp);
    let pay = b"pay 100";
    let submit = [
        text("PAY"),
        address(SOURCE),
        address("2341"),
        vec![0, 0, 0, 0, 0, 1, 0, 0, 0, pay.len() as u8],
        pay.to_vec(),
    ];
    let Some(accepted) = client.ask(SUBMIT, &submit.concat()).filter(|a| a.status == 0) else {
        cannot_run(&record, "the message was not accepted");
    };
    let id = String::from_utf8_lossy(&accepted.body).trim_end_matches('\0').to_string();
    record.line(&format!("client: submit_sm accepted, message_id {id}"));
    sleep(Duration::from_secs(2));
    let cancel = [text(""), text(&id), address(SOURCE), address("")].concat();
    let Some(withdrawn) = client.ask(CANCEL, &cancel) else {
        cannot_run(&record, "cancel_sm was not answered")
    };
    if trouble() {
        service.take().into_iter().for_each(|s| s.kill(&record));
    }
    record.line(&format!("client: cancel_sm was answered with status {}", withdrawn.status));
    if withdrawn.status != 0 {
        cannot_run(&record, "cancel_sm was refused");
    }
    if trouble() {
        sleep(200 * MS);
        service = Some(Service::start(&record, &root, &config, smpp));
        client = Smpp::bind(&record, smpp);
    }
    // The receiver is back.
    let calls = Arc::new(Mutex::new(Vec::new()));
    let Ok(listener) = TcpListener::bind(receiver) else { cannot_run(&record, "no receiver") };
    let (seen, log) = (calls.clone(), record.clone());
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (seen, log) = (seen.clone(), log.clone());
            spawn(move || {
                let Ok(mut out) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = HttpRequest::read(&mut reader) {
                    if request.method == "POST" {
                        let id = request.fields.get("message-id").cloned().unwrap_or_default();
                        log.line(&format!("receiver: call {id}: {}", String::from_utf8_lossy(&request.body)));
                        seen.lock().unwrap().push(id);
                    }
                    if out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until && client.next(Duration::from_secs(1)).is_none() {}
    let ran = calls.lock().unwrap().iter().filter(|call| **call == id).count();
    let told = format!("{}", client.receipts.iter().any(|r| r.contains("stat:DELIVRD")));
    let text = format!("withdrawn, and then delivered {ran} times; its receipt says DELIVRD: {told}");
    record.line(&text);
    println!("{text}");
    service.into_iter().for_each(|s| s.kill(&record));
    drop(scratch);
    std::process::exit(i32::from(ran > 0));
}
