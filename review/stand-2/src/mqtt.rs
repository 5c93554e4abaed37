//! A small MQTT client for versions 3.1.1 and 5.0, as the standards have them. It acknowledges what it is sent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// What the service sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Packet {
    /// CONNACK: whether the session goes on, and the code.
    Connack(bool, u8),
    /// PUBACK: the packet identifier, the reason code, the user property `message`.
    Puback(u16, u8, String),
    /// SUBACK.
    Suback(u8),
    /// PUBLISH: topic and payload.
    Publish(String, String),
    /// DISCONNECT with its code, or the end of the connection.
    Over(u8),
    Other(u8),
}

/// A publication.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub packet: u16,
    pub topic: String,
    pub payload: String,
    pub duplicate: bool,
    /// User properties, in version 5.0.
    pub user: Vec<(String, String)>,
}

/// The will of a client, of quality 1.
#[derive(Clone, Debug)]
pub struct Will {
    pub topic: String,
    pub payload: String,
}

pub struct Client {
    stream: TcpStream,
    five: bool,
    packets: Receiver<Packet>,
}

fn text(out: &mut Vec<u8>, value: &str) {
    out.extend((value.len() as u16).to_be_bytes());
    out.extend(value.as_bytes());
}

fn number(out: &mut Vec<u8>, mut n: usize) {
    loop {
        let (low, rest) = ((n % 128) as u8, n / 128);
        out.push(if rest > 0 { low | 128 } else { low });
        if rest == 0 {
            return;
        }
        n = rest;
    }
}

fn packet(first: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![first];
    number(&mut out, body.len());
    out.extend(body);
    out
}

/// Encodes a publication of quality 1.
pub fn publication(five: bool, message: &Message) -> Vec<u8> {
    let mut body = Vec::new();
    text(&mut body, &message.topic);
    body.extend(message.packet.to_be_bytes());
    if five {
        let mut properties = Vec::new();
        for (name, value) in &message.user {
            properties.push(0x26);
            text(&mut properties, name);
            text(&mut properties, value);
        }
        number(&mut body, properties.len());
        body.extend(properties);
    }
    body.extend(message.payload.as_bytes());
    packet(0x32 | (u8::from(message.duplicate) << 3), &body)
}

impl Client {
    /// Connects, with a session that is kept for an hour. Returns whether an earlier session goes on.
    pub fn connect(
        address: SocketAddr,
        five: bool,
        id: &str,
        user: &str,
        password: &str,
    ) -> Result<(Client, bool), String> {
        Client::connect_with(address, five, id, user, password, None)
    }

    /// The same, with a will.
    pub fn connect_with(
        address: SocketAddr,
        five: bool,
        id: &str,
        user: &str,
        password: &str,
        will: Option<&Will>,
    ) -> Result<(Client, bool), String> {
        let stream = TcpStream::connect(address).map_err(|e| e.to_string())?;
        _ = stream.set_nodelay(true);
        let mut body = Vec::new();
        text(&mut body, "MQTT");
        body.push(if five { 5 } else { 4 });
        body.push(0b1100_0000 | if will.is_some() { 0b0000_1100 } else { 0 });
        body.extend(60u16.to_be_bytes());
        if five {
            body.push(5);
            body.push(0x11);
            body.extend(3_600u32.to_be_bytes());
        }
        text(&mut body, id);
        if let Some(will) = will {
            if five {
                body.push(0);
            }
            text(&mut body, &will.topic);
            text(&mut body, &will.payload);
        }
        text(&mut body, user);
        text(&mut body, password);
        let (to_client, packets) = channel();
        let mut client = Client { stream, five, packets };
        client.write(&packet(0x10, &body));
        let reader = client.stream.try_clone().map_err(|e| e.to_string())?;
        std::thread::spawn(move || read(reader, five, &to_client));
        match client.next(Duration::from_secs(10)) {
            Some(Packet::Connack(present, 0)) => Ok((client, present)),
            other => Err(format!("no CONNACK that lets it in: {other:?}")),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn publish(&mut self, message: &Message) -> bool {
        let bytes = publication(self.five, message);
        self.write(&bytes)
    }

    /// Subscribes with quality 1, and waits for the SUBACK.
    pub fn subscribe(&mut self, filter: &str) -> bool {
        let mut body = vec![0, 1];
        if self.five {
            body.push(0);
        }
        text(&mut body, filter);
        body.push(1);
        self.write(&packet(0x82, &body));
        let until = Instant::now() + Duration::from_secs(10);
        while let Some(found) = self.next(until.saturating_duration_since(Instant::now())) {
            if let Packet::Suback(code) = found {
                return code < 0x80;
            }
        }
        false
    }

    /// The next packet that comes within a span.
    pub fn next(&self, span: Duration) -> Option<Packet> {
        self.packets.recv_timeout(span).ok()
    }

    /// Takes its leave: the session stays.
    pub fn leave(&mut self) {
        self.write(&[0xE0, 0]);
        _ = self.stream.shutdown(Shutdown::Write);
    }
}

fn read_number(stream: &mut impl Read) -> Option<usize> {
    let (mut n, mut shift) = (0, 0);
    loop {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        n |= usize::from(byte[0] & 127) << shift;
        shift += 7;
        if byte[0] & 128 == 0 {
            return Some(n);
        }
        if shift > 21 {
            return None;
        }
    }
}

fn read_text(bytes: &mut &[u8]) -> String {
    let Some((length, rest)) = bytes.split_first_chunk::<2>() else { return String::new() };
    let length = usize::from(u16::from_be_bytes(*length)).min(rest.len());
    let (value, rest) = rest.split_at(length);
    *bytes = rest;
    String::from_utf8_lossy(value).into_owned()
}

/// The user property `message` among properties that begin with it; "" where there is none.
fn message_property(mut bytes: &[u8]) -> String {
    if read_number(&mut bytes).is_none() {
        return String::new();
    }
    while bytes.first() == Some(&0x26) {
        bytes = &bytes[1..];
        let name = read_text(&mut bytes);
        let value = read_text(&mut bytes);
        if name == "message" {
            return value;
        }
    }
    String::new()
}

fn read_packet(stream: &mut TcpStream, five: bool) -> Option<Packet> {
    let mut first = [0];
    stream.read_exact(&mut first).ok()?;
    let length = read_number(stream)?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    let byte = |at: usize| body.get(at).copied().unwrap_or(0);
    Some(match first[0] >> 4 {
        2 => Packet::Connack(byte(0) & 1 == 1, byte(1)),
        3 => {
            let mut rest = &body[..];
            let topic = read_text(&mut rest);
            let mut id = None;
            if first[0] & 0b110 != 0 {
                let (number, after) = rest.split_first_chunk::<2>()?;
                (id, rest) = (Some(*number), after);
            }
            if five {
                let mut cursor = rest;
                let skip = read_number(&mut cursor)?;
                rest = cursor.get(skip..)?;
            }
            if let Some(id) = id {
                _ = stream.write_all(&[0x40, 2, id[0], id[1]]);
            }
            Packet::Publish(topic, String::from_utf8_lossy(rest).into_owned())
        }
        4 => {
            let id = u16::from_be_bytes([byte(0), byte(1)]);
            let message = if body.len() > 3 { message_property(&body[3..]) } else { String::new() };
            Packet::Puback(id, byte(2), message)
        }
        9 => Packet::Suback(body.last().copied().unwrap_or(0x80)),
        14 => Packet::Over(byte(0)),
        other => Packet::Other(other),
    })
}

fn read(mut stream: TcpStream, five: bool, to_client: &Sender<Packet>) {
    while let Some(found) = read_packet(&mut stream, five) {
        if to_client.send(found).is_err() {
            return;
        }
    }
    _ = to_client.send(Packet::Over(0xFF));
}
