//! An MQTT client, without sockets: the packets and the client's state machine are `mqtt-protocol-core`'s, so that the
//! service meets another's reading of the specifications, resends and all.

use bytes::BytesMut;
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, Event, Version, role};
use mqtt_protocol_core::mqtt::packet::{
    CorrelationData, GenericPacket, GenericPacketTrait, MessageExpiryInterval, Property, Qos, ReceiveMaximum,
    ResponseTopic, SessionExpiryInterval, SubEntry, SubOpts, TopicAliasMaximum, UserProperty,
    WillDelayInterval, v3_1_1, v5_0,
};
use std::collections::BTreeSet;

/// Who connects, and how.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Version 5.0, else 3.1.1.
    pub five: bool,
    /// The user name.
    pub user: String,
    /// The password.
    pub password: String,
    /// The client identifier.
    pub id: String,
    /// Clean start, or clean session.
    pub clean: bool,
    /// Session expiry in seconds.
    pub expiry: u32,
    /// Answers that it takes without acknowledging.
    pub window: u16,
    /// A will: its topic, and the seconds after which it is sent.
    pub will: Option<(String, u32)>,
}

impl ClientOptions {
    /// A client of version 5.0 or 3.1.1 that keeps its session for an hour.
    pub fn new(five: bool, user: &str, id: &str) -> Self {
        let (user, id) = (user.to_string(), id.to_string());
        let password = "secret".to_string();
        ClientOptions { five, user, password, id, clean: false, expiry: 3_600, window: 1_000, will: None }
    }
}

/// A message to hand in.
#[derive(Clone, Debug, Default)]
pub struct Publication {
    /// The topic.
    pub topic: String,
    /// The payload.
    pub payload: Vec<u8>,
    /// The quality of service.
    pub qos: u8,
    /// Seconds until it is of no use.
    pub expiry: Option<u32>,
    /// The response topic.
    pub response: Option<String>,
    /// The correlation data.
    pub correlation: Vec<u8>,
    /// User properties.
    pub user: Vec<(String, String)>,
}

/// A publication that a client received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// The topic.
    pub topic: String,
    /// The payload as text.
    pub text: String,
    /// The correlation data; empty in version 3.1.1.
    pub correlation: Vec<u8>,
    /// The user properties; none in version 3.1.1.
    pub user_properties: Vec<(String, String)>,
    /// Whether it may be a repeat of an earlier one.
    pub duplicate: bool,
}

/// An event on a client's connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// The connection was accepted. Whether an earlier session continues.
    Connected(bool),
    /// The connection was refused with this code.
    Refused(u8),
    /// A PUBACK or PUBREC: packet identifier, reason code, and the message's identity if it has one.
    Acknowledged(u16, u8, Option<String>),
    /// A PUBCOMP, with its packet identifier.
    Completed(u16),
    /// A SUBACK, with its codes.
    Subscribed(Vec<u8>),
    /// A publication.
    Received(ReceivedMessage),
    /// A DISCONNECT with its code.
    Disconnected(u8),
    /// An error that the protocol library reports.
    Failed(String),
}

/// The client; it outlives connections.
pub struct MqttClient {
    who: ClientOptions,
    core: Connection<role::Client>,
    /// The first packet of a connection, as far as it has come; see `first_packet`.
    first: Option<Vec<u8>>,
    /// The server's receive maximum, and publications that count against it.
    most: usize,
    out: BTreeSet<u16>,
}

impl MqttClient {
    /// A client that has not connected yet.
    pub fn new(who: ClientOptions) -> Self {
        let core = fresh(who.five);
        MqttClient { who, core, first: None, most: usize::MAX, out: BTreeSet::new() }
    }

    /// Who it is; to be changed between connections.
    pub fn who(&mut self) -> &mut ClientOptions {
        &mut self.who
    }

    fn work(events: Vec<Event>, out: &mut BytesMut, heard: &mut Vec<ClientEvent>) {
        for event in events {
            match event {
                Event::RequestSendPacket { packet, .. } => {
                    out.extend_from_slice(&packet.to_continuous_buffer());
                }
                Event::NotifyPacketReceived(packet) => heard.extend(read(&packet)),
                Event::NotifyError(e) => heard.push(ClientEvent::Failed(format!("{e:?}"))),
                _ => {}
            }
        }
    }

    /// Takes the receive maximum out of a CONNACK and counts by itself: the library (0.7.9) begins at 0 on every
    /// connection, does not count what it sends again, and falls below 0 when that is acknowledged.
    fn first_packet(&mut self, octets: &[u8]) -> Option<Vec<u8>> {
        let first = self.first.as_mut()?;
        first.extend_from_slice(octets);
        let length = usize::from(*first.get(1)?);
        if first.len() < 2 + length {
            return Some(Vec::new());
        }
        let first = self.first.take()?;
        let rest = &first[2 + length..];
        let body = &first[2..2 + length];
        self.most = usize::MAX;
        let changed = v5_0::Connack::parse(body).ok().filter(|_| self.who.five && first[0] == 0x20).and_then(
            |(c, _)| {
                let mut props = c.props().clone();
                props.retain(|p| match p {
                    Property::ReceiveMaximum(m) => {
                        self.most = usize::from(m.val());
                        false
                    }
                    _ => true,
                });
                let b = v5_0::Connack::builder()
                    .session_present(c.session_present())
                    .reason_code(c.reason_code());
                b.props(props).build().ok()
            },
        );
        let head = changed.map_or(first[..2 + length].to_vec(), |c| c.to_continuous_buffer());
        Some([&head[..], rest].concat())
    }

    /// Begins on a new connection.
    pub fn connect(&mut self, out: &mut BytesMut) {
        self.first = Some(Vec::new());
        let w = &self.who;
        let packet = if w.five {
            let props = vec![
                Property::SessionExpiryInterval(SessionExpiryInterval::new(w.expiry).expect("figure")),
                Property::ReceiveMaximum(ReceiveMaximum::new(w.window.max(1)).expect("figure")),
                Property::TopicAliasMaximum(TopicAliasMaximum::new(4).expect("figure")),
            ];
            let c = v5_0::Connect::builder()
                .client_id(w.id.as_str())
                .and_then(|c| c.user_name(w.user.as_str()))
                .and_then(|c| c.password(w.password.clone().into_bytes()))
                .and_then(|c| match &w.will {
                    Some((topic, delay)) => {
                        let delay = WillDelayInterval::new(*delay).map(Property::WillDelayInterval);
                        let c = c.will_message(topic.as_str(), b"77", Qos::AtLeastOnce, false)?;
                        Ok(c.will_props(delay.into_iter().collect::<Vec<_>>()))
                    }
                    None => Ok(c),
                })
                .and_then(|c| c.clean_start(w.clean).keep_alive(60).props(props).build());
            GenericPacket::V5_0Connect(c.expect("a CONNECT"))
        } else {
            let c = v3_1_1::Connect::builder()
                .client_id(w.id.as_str())
                .and_then(|c| c.user_name(w.user.as_str()))
                .and_then(|c| c.password(w.password.clone().into_bytes()))
                .and_then(|c| c.clean_session(w.clean).keep_alive(60).build());
            GenericPacket::V3_1_1Connect(c.expect("a CONNECT"))
        };
        Self::work(self.core.send(packet), out, &mut Vec::new());
    }

    /// Subscribes.
    pub fn subscribe(&mut self, filter: &str, qos: u8, out: &mut BytesMut) {
        let Ok(id) = self.core.acquire_packet_id() else { return };
        let qos = Qos::try_from(qos).unwrap_or(Qos::AtLeastOnce);
        let entry = SubEntry::new(filter, SubOpts::new().set_qos(qos)).expect("a filter");
        let packet = if self.who.five {
            let p = v5_0::Subscribe::builder().packet_id(id).entries(vec![entry]).build();
            GenericPacket::V5_0Subscribe(p.expect("a SUBSCRIBE"))
        } else {
            let p = v3_1_1::Subscribe::builder().packet_id(id).entries(vec![entry]).build();
            GenericPacket::V3_1_1Subscribe(p.expect("a SUBSCRIBE"))
        };
        Self::work(self.core.send(packet), out, &mut Vec::new());
    }

    /// Publishes; gives the packet identifier, 0 with quality 0 and where there is none left.
    pub fn publish(&mut self, hand: &Publication, out: &mut BytesMut) -> u16 {
        let id = if hand.qos > 0 { self.core.acquire_packet_id().unwrap_or(0) } else { 0 };
        if id > 0 {
            self.out.insert(id);
        }
        let qos = Qos::try_from(hand.qos).unwrap_or(Qos::AtLeastOnce);
        let packet = if self.who.five {
            let mut props: Vec<Property> = Vec::new();
            props.extend(hand.expiry.and_then(|s| MessageExpiryInterval::new(s).ok()).map(Into::into));
            props.extend(hand.response.as_deref().and_then(|t| ResponseTopic::new(t).ok()).map(Into::into));
            if !hand.correlation.is_empty() {
                props.extend(CorrelationData::new(hand.correlation.clone()).ok().map(Into::into));
            }
            let user = hand.user.iter().filter_map(|(k, v)| UserProperty::new(k.as_str(), v.as_str()).ok());
            props.extend(user.map(Into::into));
            let mut b = v5_0::Publish::builder().topic_name(hand.topic.as_str()).expect("a topic").qos(qos);
            if id > 0 {
                b = b.packet_id(id);
            }
            GenericPacket::V5_0Publish(
                b.props(props).payload(hand.payload.clone()).build().expect("a PUBLISH"),
            )
        } else {
            let mut b = v3_1_1::Publish::builder().topic_name(hand.topic.as_str()).expect("a topic").qos(qos);
            if id > 0 {
                b = b.packet_id(id);
            }
            GenericPacket::V3_1_1Publish(b.payload(hand.payload.clone()).build().expect("a PUBLISH"))
        };
        Self::work(self.core.send(packet), out, &mut Vec::new());
        id
    }

    /// Publications that may go out by the server's receive maximum.
    pub fn room(&self) -> usize {
        self.most.saturating_sub(self.out.len())
    }

    /// Octets came.
    pub fn receive(&mut self, octets: &[u8], out: &mut BytesMut, heard: &mut Vec<ClientEvent>) {
        let changed = self.first_packet(octets);
        let octets = changed.as_deref().unwrap_or(octets);
        let mut cursor = Cursor::new(octets);
        let from = heard.len();
        while (cursor.position() as usize) < octets.len() {
            let events = self.core.recv(&mut cursor);
            Self::work(events, out, heard);
        }
        for h in &heard[from..] {
            match h {
                ClientEvent::Connected(false) => self.out.clear(),
                ClientEvent::Acknowledged(packet, code, _) if self.qos1(*packet) || *code >= 0x80 => {
                    _ = self.out.remove(packet)
                }
                ClientEvent::Completed(packet) => _ = self.out.remove(packet),
                _ => {}
            }
        }
    }

    /// Whether a packet identifier is free again: a PUBACK, or a PUBREC that ends it.
    fn qos1(&self, packet: u16) -> bool {
        !self.core.get_stored_packets().iter().any(|p| p.packet_id() == packet)
    }

    /// Takes its leave.
    pub fn disconnect(&mut self, out: &mut BytesMut) {
        let packet = if self.who.five {
            GenericPacket::V5_0Disconnect(v5_0::Disconnect::builder().build().expect("a DISCONNECT"))
        } else {
            GenericPacket::V3_1_1Disconnect(v3_1_1::Disconnect::builder().build().expect("a DISCONNECT"))
        };
        Self::work(self.core.send(packet), out, &mut Vec::new());
    }

    /// The connection is gone. The library keeps the beginning of a packet that was cut off, so a new state machine
    /// goes on with what was stored.
    pub fn closed(&mut self) {
        self.core.notify_closed();
        let stored = self.core.get_stored_packets();
        self.core = fresh(self.who.five);
        self.core.restore_packets(stored);
    }
}

fn fresh(five: bool) -> Connection<role::Client> {
    let mut core = Connection::new(if five { Version::V5_0 } else { Version::V3_1_1 });
    core.set_auto_pub_response(true);
    core.set_auto_ping_response(true);
    core
}

fn read(packet: &GenericPacket<u16>) -> Option<ClientEvent> {
    let message = |props: Option<&Vec<Property>>| {
        props.into_iter().flatten().find_map(|p| match p {
            Property::UserProperty(u) if u.key() == "message" => Some(u.val().to_string()),
            _ => None,
        })
    };
    Some(match packet {
        GenericPacket::V5_0Connack(p) => match p.reason_code() as u8 {
            0 => ClientEvent::Connected(p.session_present()),
            code => ClientEvent::Refused(code),
        },
        GenericPacket::V3_1_1Connack(p) => match p.return_code() as u8 {
            0 => ClientEvent::Connected(p.session_present()),
            code => ClientEvent::Refused(code),
        },
        GenericPacket::V5_0Puback(p) => ClientEvent::Acknowledged(
            p.packet_id(),
            p.reason_code().map_or(0, |c| c as u8),
            message(p.props().as_ref()),
        ),
        GenericPacket::V5_0Pubrec(p) => ClientEvent::Acknowledged(
            p.packet_id(),
            p.reason_code().map_or(0, |c| c as u8),
            message(p.props().as_ref()),
        ),
        GenericPacket::V3_1_1Puback(p) => ClientEvent::Acknowledged(p.packet_id(), 0, None),
        GenericPacket::V3_1_1Pubrec(p) => ClientEvent::Acknowledged(p.packet_id(), 0, None),
        GenericPacket::V5_0Pubcomp(p) => ClientEvent::Completed(p.packet_id()),
        GenericPacket::V3_1_1Pubcomp(p) => ClientEvent::Completed(p.packet_id()),
        GenericPacket::V5_0Suback(p) => {
            ClientEvent::Subscribed(p.reason_codes().into_iter().map(|c| c as u8).collect())
        }
        GenericPacket::V3_1_1Suback(p) => {
            ClientEvent::Subscribed(p.return_codes().into_iter().map(|c| c as u8).collect())
        }
        GenericPacket::V5_0Publish(p) => {
            let (mut correlation, mut user) = (Vec::new(), Vec::new());
            for prop in p.props() {
                match prop {
                    Property::CorrelationData(c) => correlation = c.val().to_vec(),
                    Property::UserProperty(u) => user.push((u.key().to_string(), u.val().to_string())),
                    _ => {}
                }
            }
            let text = String::from_utf8_lossy(p.payload().as_slice()).into_owned();
            ClientEvent::Received(ReceivedMessage {
                topic: p.topic_name().to_string(),
                text,
                correlation,
                user_properties: user,
                duplicate: p.dup(),
            })
        }
        GenericPacket::V3_1_1Publish(p) => {
            let text = String::from_utf8_lossy(p.payload().as_slice()).into_owned();
            ClientEvent::Received(ReceivedMessage {
                topic: p.topic_name().to_string(),
                text,
                correlation: Vec::new(),
                user_properties: Vec::new(),
                duplicate: p.dup(),
            })
        }
        GenericPacket::V5_0Disconnect(p) => ClientEvent::Disconnected(p.reason_code().map_or(0, |c| c as u8)),
        _ => return None,
    })
}

/// A field of an answer's text, as `stat` of `id:7 stat:DELIVRD`.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix(':'))
}
