//! Trial of an entry (issue 39, "Change of size"), no case: with another number of senders a remembered name is new at
//! its new home, and a once-only message that is handed in again under its name is delivered twice.

use review_stand::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

const CLIENTS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn text(text: &str) -> Vec<u8> {
    [&(text.len() as u16).to_be_bytes()[..], text.as_bytes()].concat()
}

/// A packet of MQTT 3.1.1 of less than 16 KiB.
fn packet(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = match body.len() {
        n @ ..128 => vec![n as u8],
        n => vec![(n % 128) as u8 | 128, (n / 128) as u8],
    };
    [&[kind][..], &length, body].concat()
}

fn read_packet(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut byte = [0];
    stream.read_exact(&mut byte).ok()?;
    let kind = byte[0];
    let (mut length, mut shift) = (0, 0);
    loop {
        stream.read_exact(&mut byte).ok()?;
        length |= usize::from(byte[0] & 127) << shift;
        shift += 7;
        if byte[0] < 128 {
            break;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((kind, body))
}

/// Hands in a message under a name, and waits 3 s for its answer.
fn publish(record: &Record, to: SocketAddr, client: &str, name: &str) {
    let Ok(mut stream) = TcpStream::connect(to) else { cannot_run(record, "no connection") };
    _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let connect = [text("MQTT"), vec![4, 0xC0, 0, 60], text("session"), text(client), text("secret")];
    _ = stream.write_all(&packet(0x10, &connect.concat()));
    if read_packet(&mut stream).is_none_or(|(_, connack)| connack[1] != 0) {
        cannot_run(record, "CONNECT was refused");
    }
    _ = stream.write_all(&packet(0x82, &[vec![0, 9], text("answers/session"), vec![1]].concat()));
    let topic = text(&format!("to/2341/PAY//{name}"));
    _ = stream.write_all(&packet(0x32, &[topic, vec![0, 1], b"pay 100".to_vec()].concat()));
    while let Some((kind, body)) = read_packet(&mut stream) {
        match kind >> 4 {
            4 => record.line(&format!("{client}: PUBACK")),
            3 => {
                let topic = usize::from(u16::from_be_bytes([body[0], body[1]]));
                record.line(&format!("{client}: {}", String::from_utf8_lossy(&body[topic + 4..])));
                _ = stream.write_all(&packet(0x40, &body[topic + 2..topic + 4]));
                sleep(200 * MS);
                return;
            }
            _ => {}
        }
    }
}

fn main() {
    let case = case_folder();
    let record = Record::new(&case.join("record.txt"));
    let scratch = Scratch::new();
    let root = root(&case);
    let (smpp, mqtt) = (free_address(), free_address());
    let (listener, receiver) = listen();
    let calls = Arc::new(Mutex::new(0));
    let seen = calls.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let seen = seen.clone();
            spawn(move || receive(stream, &seen));
        }
    });
    let config = scratch.0.join("service.txt");
    let write = |senders: u32| {
        let clients =
            CLIENTS.map(|c| format!("client {{ system_id: \"{c}\" password: \"secret\" }}\n")).concat();
        let settings = format!(
            "service {{ senders: {senders} slots: 8 room: 100 }}\nsmpp {{ listen: \"{smpp}\" }}\n\
             mqtt {{ listen: \"{mqtt}\" }}\njournal {{ folder: \"{}\" }}\n{clients}\
             class {{ name: \"PAY\" effect: \"single_shot\" deadline: \"8s\" }}\n\
             kind {{ name: \"hook\" protocol: \"http\" }}\nroute {{ prefix: \"234\" destination: 1 }}\n\
             endpoint {{ name: \"x\" address: \"{receiver}\" destination: 1 kind: \"hook\" }}\n",
            scratch.0.join("journal").display(),
        );
        std::fs::write(&config, settings).expect("a configuration");
    };
    write(1);
    let service = Service::start(&record, &root, &config, smpp);
    CLIENTS.iter().for_each(|client| publish(&record, mqtt, client, "pay-1"));
    service.signal(&record, SIGTERM);
    sleep(Duration::from_secs(1));
    service.kill(&record);
    if trouble() {
        write(2);
    }
    let service = Service::start(&record, &root, &config, smpp);
    CLIENTS.iter().for_each(|client| publish(&record, mqtt, client, "pay-1"));
    let calls = *calls.lock().unwrap();
    let text = format!("{} messages, each handed in twice under its name: {calls} delivered", CLIENTS.len());
    record.line(&text);
    println!("{text}");
    service.kill(&record);
    drop(scratch);
    std::process::exit(i32::from(calls > CLIENTS.len()));
}

/// A receiver that takes everything.
fn receive(stream: TcpStream, calls: &Mutex<usize>) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    let mut number = 0;
    while let Some(request) = HttpRequest::read(&mut reader) {
        number += 1;
        *calls.lock().unwrap() += usize::from(request.method == "POST");
        let answer = format!("HTTP/1.1 200 OK\r\nX-Answer: {number}\r\nContent-Length: 0\r\n\r\n");
        if out.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
