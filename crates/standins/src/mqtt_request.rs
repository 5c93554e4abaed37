//! One question over MQTT, and its answer.

use crate::Micros;
use crate::actor::{Action, Actor, Conn};
use crate::mqtt::{ClientEvent, ClientOptions, MqttClient, Publication, ReceivedMessage};
use bytes::BytesMut;
use std::net::SocketAddr;

/// Asks, waits for the answer, and goes.
pub struct MqttRequest {
    core: MqttClient,
    topic: String,
    actions: Vec<Action>,
    until: Micros,
    now: Micros,
    /// The answer, or why there is none.
    pub answer: Option<Result<String, String>>,
}

impl MqttRequest {
    /// A question to a topic; its answer is waited for until a time.
    pub fn new(address: SocketAddr, who: ClientOptions, topic: String, until: Micros) -> Self {
        let actions = vec![Action::Connect { tag: 0, address }];
        MqttRequest { core: MqttClient::new(who), topic, actions, until, now: 0, answer: None }
    }

    fn end(&mut self, conn: Conn, answer: Result<String, String>) {
        self.answer.get_or_insert(answer);
        let mut out = BytesMut::new();
        self.core.disconnect(&mut out);
        self.actions.extend([Action::Write(conn, out.to_vec()), Action::Close(conn)]);
    }
}

impl Actor for MqttRequest {
    fn accepted(&mut self, _: Micros, _: usize, _: Conn) {}

    fn connected(&mut self, _: Micros, _: usize, conn: Conn) {
        let mut out = BytesMut::new();
        self.core.connect(&mut out);
        self.actions.push(Action::Write(conn, out.to_vec()));
    }

    fn refused(&mut self, _: Micros, _: usize) {
        self.answer.get_or_insert(Err("the service can't be reached".into()));
    }

    fn received(&mut self, _: Micros, conn: Conn, octets: &[u8]) {
        let (mut out, mut heard) = (BytesMut::new(), Vec::new());
        self.core.receive(octets, &mut out, &mut heard);
        for h in heard {
            match h {
                ClientEvent::Connected(_) => self.core.subscribe("answers/#", 1, &mut out),
                ClientEvent::Subscribed(_) => {
                    let topic = self.topic.clone();
                    let hand =
                        Publication { topic, qos: 1, correlation: b"?".to_vec(), ..Publication::default() };
                    self.core.publish(&hand, &mut out);
                }
                ClientEvent::Received(ReceivedMessage { text, correlation, .. }) if correlation == b"?" => {
                    self.end(conn, Ok(text));
                }
                ClientEvent::Refused(0x86) => {
                    self.end(conn, Err("unknown system_id or wrong password".into()))
                }
                ClientEvent::Refused(code)
                | ClientEvent::Acknowledged(_, code @ 0x80.., _)
                | ClientEvent::Disconnected(code) => {
                    self.end(conn, Err(format!("refused with code {code:#04x}")));
                }
                _ => {}
            }
        }
        self.actions.insert(0, Action::Write(conn, out.to_vec()));
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

    fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn finished(&self) -> bool {
        self.answer.is_some() && self.actions.is_empty()
    }
}
