//! How a client speaks MQTT, written out octet by octet.

use super::{Bad, Dialect};
use heronroute_engine::Micros;
use heronroute_engine::front::{Front, MqttFront};
use heronroute_mqtt::session::Limits;

/// MQTT, by its version: 4 (3.1.1) or 5.
pub struct Mqtt(pub u8);

const LIMITS: Limits =
    Limits { connect_within: 5_000_000, keep_alive: 60, expiry: 3_600, window: 10, max_packet: 66_000 };

const CONNACK: u8 = 2;
const PUBLISH: u8 = 3;
const PUBACK: u8 = 4;

/// A packet of up to 127 octets behind its head.
fn packet(head: u8, body: &[&[u8]]) -> Vec<u8> {
    let body = body.concat();
    let mut octets = vec![head, body.len() as u8];
    octets.extend_from_slice(&body);
    octets
}

fn text(text: &str) -> Vec<u8> {
    let mut octets = (text.len() as u16).to_be_bytes().to_vec();
    octets.extend_from_slice(text.as_bytes());
    octets
}

/// Packets in a stream: type, flags, and what stands behind the head.
fn packets(mut octets: &[u8]) -> Vec<(u8, u8, &[u8])> {
    let mut packets = Vec::new();
    while let Some((head, rest)) = octets.split_first() {
        let Some(end) = rest.iter().take(4).position(|b| b & 0x80 == 0) else { break };
        let length = rest[..=end].iter().rev().fold(0, |n, b| (n << 7) | usize::from(b & 0x7F));
        let Some((body, behind)) = rest[end + 1..].split_at_checked(length) else { break };
        packets.push((head >> 4, head & 15, body));
        octets = behind;
    }
    packets
}

fn number(octets: &[u8]) -> u16 {
    octets.first_chunk().map_or(0, |n| u16::from_be_bytes(*n))
}

impl Mqtt {
    /// No properties, where the version has them.
    fn none(&self) -> &'static [u8] {
        if self.0 == 5 { &[0] } else { &[] }
    }

    /// A packet, and the code of the DISCONNECT that answers it; 3.1.1 has none.
    fn wrong(&self, octets: &[u8], code: u8) -> Bad {
        let words = if self.0 == 5 { vec![code] } else { Vec::new() };
        Bad { entered: true, octets: octets.to_vec(), words }
    }
}

impl Dialect for Mqtt {
    fn front(&self, now: Micros) -> Box<dyn Front> {
        Box::new(MqttFront::new(now, LIMITS))
    }

    fn enter(&self) -> Option<Vec<u8>> {
        // User name, password, clean start; a keep-alive of 30 s.
        let head = [self.0, 0xC2, 0, 30];
        let body: [&[u8]; 6] =
            [&text("MQTT"), &head, self.none(), &text("c1"), &text("client"), &text("secret")];
        Some(packet(0x10, &body))
    }

    fn settle(&self) -> Vec<u8> {
        packet(0x82, &[&[0x70, 0], self.none(), &text("answers/#"), &[1]])
    }

    fn hand_in(&self, n: u16) -> Vec<u8> {
        packet(0x32, &[&text("to/234/PAY"), &n.to_be_bytes(), self.none(), format!("message {n}").as_bytes()])
    }

    fn ping(&self) -> Vec<u8> {
        vec![0xC0, 0]
    }

    fn bad(&self) -> Vec<Bad> {
        let first = |octets: &[u8], words: &[u8]| Bad {
            entered: false,
            octets: octets.to_vec(),
            words: words.to_vec(),
        };
        let unknown = packet(0x10, &[&text("MQTT"), &[9, 2, 0, 30], &text("c1")]);
        vec![
            // What is no MQTT is told nothing; a version that is not known is told so in the oldest words.
            first(&b"GET / HTTP/1.1\r\n".repeat(9), b""),
            first(&self.ping(), b""),
            first(&unknown, &[CONNACK << 4, 2, 0, 1]),
            self.wrong(&[0x00, 0], 0x82),
            self.wrong(&self.enter().unwrap_or_default(), 0x82),
            self.wrong(&[0x32, 0xFF, 0xFF, 0xFF, 0x7F], 0x95),
            self.wrong(&packet(0x36, &[&text("to/234"), &[0, 1], self.none(), b"both qualities"]), 0x81),
        ]
    }

    fn answers(&self, out: &[u8]) -> Vec<(u16, bool)> {
        let answer = |(kind, _, body): (u8, u8, &[u8])| {
            (kind == PUBACK).then(|| (number(body), body.get(2).is_none_or(|code| *code < 0x80)))
        };
        packets(out).into_iter().filter_map(answer).collect()
    }

    fn acknowledge(&self, out: &[u8]) -> Vec<u8> {
        let told = packets(out).into_iter().filter(|(kind, flags, _)| *kind == PUBLISH && flags & 6 == 2);
        let numbers = told.filter_map(|(_, _, body)| body.get(2 + usize::from(number(body))..).map(number));
        numbers.flat_map(|n| packet(PUBACK << 4, &[&n.to_be_bytes()])).collect()
    }

    fn at_once(&self) -> usize {
        usize::from(LIMITS.window)
    }
}
