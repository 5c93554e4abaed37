//! One question over MQTT, and its answer.

use crate::Micros;
use crate::actor::{Actor, Ask, Conn};
use crate::mqtt::{Hand, Heard, MqttClient, Who};
use bytes::BytesMut;
use std::net::SocketAddr;

/// Asks, waits for the answer, and goes.
pub struct Asker {
    core: MqttClient,
    topic: String,
    asks: Vec<Ask>,
    until: Micros,
    now: Micros,
    /// The answer, or why there is none.
    pub answer: Option<Result<String, String>>,
}

impl Asker {
    /// A question to a topic; its answer is waited for until a time.
    pub fn new(address: SocketAddr, who: Who, topic: String, until: Micros) -> Self {
        let asks = vec![Ask::Connect { tag: 0, address }];
        Asker { core: MqttClient::new(who), topic, asks, until, now: 0, answer: None }
    }

    fn end(&mut self, conn: Conn, answer: Result<String, String>) {
        self.answer.get_or_insert(answer);
        let mut out = BytesMut::new();
        self.core.disconnect(&mut out);
        self.asks.extend([Ask::Write(conn, out.to_vec()), Ask::Close(conn)]);
    }
}

impl Actor for Asker {
    fn accepted(&mut self, _: Micros, _: usize, _: Conn) {}

    fn connected(&mut self, _: Micros, _: usize, conn: Conn) {
        let mut out = BytesMut::new();
        self.core.connect(&mut out);
        self.asks.push(Ask::Write(conn, out.to_vec()));
    }

    fn refused(&mut self, _: Micros, _: usize) {
        self.answer.get_or_insert(Err("the service can't be reached".into()));
    }

    fn received(&mut self, _: Micros, conn: Conn, octets: &[u8]) {
        let (mut out, mut heard) = (BytesMut::new(), Vec::new());
        self.core.receive(octets, &mut out, &mut heard);
        for h in heard {
            match h {
                Heard::In(_) => self.core.subscribe("answers/#", 1, &mut out),
                Heard::Subscribed(_) => {
                    let topic = self.topic.clone();
                    let hand = Hand { topic, qos: 1, correlation: b"?".to_vec(), ..Hand::default() };
                    self.core.publish(&hand, &mut out);
                }
                Heard::Told(_, text, correlation, ..) if correlation == b"?" => {
                    self.end(conn, Ok(text));
                }
                Heard::Refused(0x86) => self.end(conn, Err("unknown system_id or wrong password".into())),
                Heard::Refused(code) | Heard::Acked(_, code @ 0x80.., _) | Heard::Bye(code) => {
                    self.end(conn, Err(format!("refused with code {code:#04x}")));
                }
                _ => {}
            }
        }
        self.asks.insert(0, Ask::Write(conn, out.to_vec()));
    }

    fn closed(&mut self, _: Micros, _: Conn) {
        self.answer.get_or_insert(Err("the connection was closed".into()));
    }

    fn tick(&mut self, now: Micros) {
        self.now = now;
        if now >= self.until {
            self.answer.get_or_insert(Err("no answer in time".into()));
        }
    }

    fn wake(&self) -> Micros {
        self.until
    }

    fn asks(&mut self) -> Vec<Ask> {
        std::mem::take(&mut self.asks)
    }

    fn finished(&self) -> bool {
        self.answer.is_some() && self.asks.is_empty()
    }
}
