//! Packets of both versions in one plain form, by `mqtt-protocol-core`'s packet types.
//!
//! Only its packets are used, not its connection: acknowledgements here wait for the journal and answers outlive
//! connections, which that state machine leaves to its own stores. What it lets pass and the specifications don't
//! (reserved flags, a packet identifier of 0) is checked here.

use bytes::BytesMut;
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{PacketBuildResult, PacketBuilder, RawPacket};
use mqtt_protocol_core::mqtt::packet::{
    AssignedClientIdentifier, CorrelationData, MaximumPacketSize, Properties, Property, Qos, ReasonString,
    ReceiveMaximum, RetainAvailable, ServerKeepAlive, SessionExpiryInterval, SharedSubscriptionAvailable,
    SubscriptionIdentifierAvailable, TopicAlias, TopicAliasMaximum, UserProperty, v3_1_1, v5_0,
};
use mqtt_protocol_core::mqtt::result_code::{
    ConnectReasonCode, ConnectReturnCode, DisconnectReasonCode, MqttError, PubackReasonCode,
    PubcompReasonCode, PubrecReasonCode, SubackReasonCode, SubackReturnCode, UnsubackReasonCode,
};

/// The version that a client speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Version {
    /// 3.1.1.
    #[default]
    V3,
    /// 5.0.
    V5,
}

/// A packet that can't be taken: the reason code of MQTT 5.0 for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad(pub u8);

/// Malformed packet.
pub const MALFORMED: Bad = Bad(0x81);
/// Protocol error.
pub const PROTOCOL: Bad = Bad(0x82);

/// What a will asks for.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Will {
    /// To be sent so many seconds after the connection was lost.
    pub delay: u32,
    /// The message.
    pub publish: Publish,
}

/// CONNECT.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Connect {
    /// The version.
    pub version: Version,
    /// The client identifier.
    pub client_id: String,
    /// Clean start, or clean session.
    pub clean: bool,
    /// Seconds; 0 for none.
    pub keep_alive: u16,
    /// The user name.
    pub user: Option<String>,
    /// The password.
    pub password: Option<Vec<u8>>,
    /// The will.
    pub will: Option<Will>,
    /// Seconds for which the session is wanted after the connection.
    pub expiry: u32,
    /// Answers that it takes without acknowledging.
    pub receive_maximum: u16,
    /// Octets of a packet that it takes.
    pub maximum_packet: u32,
    /// Topic aliases that it knows.
    pub aliases: u16,
    /// It takes user properties and reason strings on acknowledgements.
    pub problem_information: bool,
    /// It asks for enhanced authentication.
    pub method: bool,
}

/// PUBLISH.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Publish {
    /// The topic; empty where only an alias is given.
    pub topic: String,
    /// The alias for the topic.
    pub alias: Option<u16>,
    /// The packet identifier, with quality of service 1 and 2.
    pub packet: u16,
    /// The quality of service.
    pub qos: u8,
    /// It may have been sent before.
    pub again: bool,
    /// The retain flag.
    pub retain: bool,
    /// The payload.
    pub payload: Vec<u8>,
    /// Seconds after which it is of no use.
    pub expiry: Option<u32>,
    /// The response topic.
    pub response: Option<String>,
    /// The correlation data.
    pub correlation: Option<Vec<u8>>,
    /// User properties.
    pub user: Vec<(String, String)>,
}

/// The kinds of acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ack {
    /// PUBACK.
    Puback,
    /// PUBREC.
    Pubrec,
    /// PUBREL.
    Pubrel,
    /// PUBCOMP.
    Pubcomp,
}

/// A packet of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Packet {
    /// CONNECT.
    Connect(Box<Connect>),
    /// PUBLISH.
    Publish(Box<Publish>),
    /// An acknowledgement, with its packet identifier and reason code.
    Ack(Ack, u16, u8),
    /// SUBSCRIBE: packet identifier, filters with their greatest quality of service, whether there is a subscription
    /// identifier.
    Subscribe(u16, Vec<(String, u8)>, bool),
    /// UNSUBSCRIBE: packet identifier, filters.
    Unsubscribe(u16, Vec<String>),
    /// PINGREQ.
    Ping,
    /// DISCONNECT: reason code, changed session expiry.
    Disconnect(u8, Option<u32>),
    /// AUTH.
    Auth,
}

/// Cuts a stream into packets.
pub struct Decoder {
    builder: PacketBuilder,
    /// Octets of a packet that is not whole yet are in the builder; those behind a packet are here.
    rest: BytesMut,
    version: Option<Version>,
}

impl std::fmt::Debug for Decoder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Decoder").field("rest", &self.rest.len()).field("version", &self.version).finish()
    }
}

impl Decoder {
    /// For packets of at most so many octets.
    pub fn new(max_packet: u32) -> Self {
        let builder = PacketBuilder::with_maximum_packet_size(max_packet);
        Decoder { builder, rest: BytesMut::new(), version: None }
    }

    /// Octets came.
    pub fn push(&mut self, octets: &[u8]) {
        self.rest.extend_from_slice(octets);
    }

    /// The next whole packet.
    pub fn take(&mut self) -> Option<Result<Packet, Bad>> {
        if self.rest.is_empty() {
            return None;
        }
        let mut cursor = Cursor::new(&self.rest[..]);
        let result = self.builder.feed(&mut cursor);
        let used = cursor.position() as usize;
        _ = self.rest.split_to(used);
        if self.rest.is_empty() {
            // An idle connection holds no buffer.
            self.rest = BytesMut::new();
        }
        match result {
            PacketBuildResult::Incomplete => None,
            PacketBuildResult::Error(e) => Some(Err(bad(e))),
            PacketBuildResult::Complete(raw) => Some(self.read(&raw)),
        }
    }

    fn read(&mut self, raw: &RawPacket) -> Result<Packet, Bad> {
        let kind = raw.packet_type();
        // Flags are reserved but on PUBLISH: 2 on PUBREL, SUBSCRIBE and UNSUBSCRIBE, 0 on all others.
        let flags = if matches!(kind, 6 | 8 | 10) { 2 } else { 0 };
        if kind != 3 && raw.flags() != flags {
            return Err(MALFORMED);
        }
        let version = match (kind, self.version) {
            (1, None) => {
                // The version stands behind the protocol's name.
                let v = match raw.data_as_slice().get(6) {
                    Some(4) => Version::V3,
                    Some(5) => Version::V5,
                    Some(_) => return Err(Bad(0x84)),
                    None => return Err(MALFORMED),
                };
                self.version = Some(v);
                v
            }
            // A first packet that is none, or a second CONNECT.
            (1, Some(_)) | (_, None) => return Err(PROTOCOL),
            (_, Some(v)) => v,
        };
        match version {
            Version::V3 => read_v3(kind, raw),
            Version::V5 => read_v5(kind, raw),
        }
    }
}

fn bad(e: MqttError) -> Bad {
    Bad(u8::try_from(e as u16).unwrap_or(0x81))
}

fn exact<T>(raw: &RawPacket, parse: impl FnOnce(&[u8]) -> Result<(T, usize), MqttError>) -> Result<T, Bad> {
    raw.parse_exact(parse).map_err(bad)
}

/// A packet identifier is never 0.
fn numbered(packet: u16) -> Result<u16, Bad> {
    if packet == 0 { Err(PROTOCOL) } else { Ok(packet) }
}

fn shared(raw: &RawPacket) -> std::sync::Arc<[u8]> {
    raw.data_as_slice().into()
}

// The packet types of the two versions share no trait, but name alike what they have in common.

macro_rules! read_ack {
    ($raw:expr, $kind:expr, $type:ty, $p:ident => $code:expr) => {{
        let $p = exact($raw, <$type>::parse)?;
        Ok(Packet::Ack($kind, numbered($p.packet_id())?, $code))
    }};
}

macro_rules! read_publish {
    ($raw:expr, $type:ty) => {{
        let p = exact($raw, |_| <$type>::parse($raw.flags(), shared($raw)))?;
        let publish = Publish {
            topic: p.topic_name().to_string(),
            packet: p.packet_id().unwrap_or(0),
            qos: p.qos() as u8,
            again: p.dup(),
            retain: p.retain(),
            payload: p.payload().as_slice().to_vec(),
            ..Publish::default()
        };
        (p, publish)
    }};
}

macro_rules! read_will {
    ($c:expr) => {
        $c.will_flag().then(|| Publish {
            topic: $c.will_topic().unwrap_or_default().to_string(),
            qos: $c.will_qos() as u8,
            retain: $c.will_retain(),
            payload: $c.will_payload().unwrap_or_default().to_vec(),
            ..Publish::default()
        })
    };
}

/// Only what both versions say; the rest is as for 3.1.1, for 5.0 to change.
macro_rules! read_connect {
    ($c:expr, $version:expr, $will:expr) => {
        Connect {
            version: $version,
            client_id: $c.client_id().to_string(),
            clean: $c.clean_start(),
            keep_alive: $c.keep_alive(),
            user: $c.user_name().map(str::to_string),
            password: $c.password().map(<[u8]>::to_vec),
            will: $will,
            expiry: 0,
            receive_maximum: u16::MAX,
            maximum_packet: u32::MAX,
            aliases: 0,
            problem_information: false,
            method: false,
        }
    };
}

macro_rules! read_subscribe {
    ($p:expr, $named:expr) => {{
        let list = $p.entries().iter().map(|e| (e.topic_filter().to_string(), e.sub_opts().qos() as u8));
        Ok(Packet::Subscribe(numbered($p.packet_id())?, list.collect(), $named))
    }};
}

macro_rules! read_unsubscribe {
    ($raw:expr, $type:ty) => {{
        let p = exact($raw, <$type>::parse)?;
        let list = p.entries().iter().map(|e| e.as_str().to_string());
        Ok(Packet::Unsubscribe(numbered(p.packet_id())?, list.collect()))
    }};
}

fn read_v3(kind: u8, raw: &RawPacket) -> Result<Packet, Bad> {
    match kind {
        1 => {
            let c = exact(raw, v3_1_1::Connect::parse)?;
            let will = read_will!(c).map(|publish| Will { delay: 0, publish });
            // A session that is not clean has no end by itself.
            let expiry = if c.clean_session() { 0 } else { u32::MAX };
            Ok(Packet::Connect(Box::new(Connect { expiry, ..read_connect!(c, Version::V3, will) })))
        }
        3 => published(read_publish!(raw, v3_1_1::Publish).1),
        4 => read_ack!(raw, Ack::Puback, v3_1_1::Puback, p => 0),
        5 => read_ack!(raw, Ack::Pubrec, v3_1_1::Pubrec, p => 0),
        6 => read_ack!(raw, Ack::Pubrel, v3_1_1::Pubrel, p => 0),
        7 => read_ack!(raw, Ack::Pubcomp, v3_1_1::Pubcomp, p => 0),
        8 => {
            let p = exact(raw, v3_1_1::Subscribe::parse)?;
            read_subscribe!(p, false)
        }
        10 => read_unsubscribe!(raw, v3_1_1::Unsubscribe),
        12 if raw.remaining_length() == 0 => Ok(Packet::Ping),
        14 if raw.remaining_length() == 0 => Ok(Packet::Disconnect(0, None)),
        12 | 14 => Err(MALFORMED),
        _ => Err(PROTOCOL),
    }
}

fn published(p: Publish) -> Result<Packet, Bad> {
    // Quality of service 0 is never sent again.
    if p.qos == 0 && p.again || p.qos > 0 && p.packet == 0 {
        return Err(MALFORMED);
    }
    Ok(Packet::Publish(Box::new(p)))
}

fn publish_properties(publish: &mut Publish, props: &Properties) {
    for p in props {
        match p {
            Property::TopicAlias(v) => publish.alias = Some(v.val()),
            Property::MessageExpiryInterval(v) => publish.expiry = Some(v.val()),
            Property::ResponseTopic(v) => publish.response = Some(v.val().to_string()),
            Property::CorrelationData(v) => publish.correlation = Some(v.val().to_vec()),
            Property::UserProperty(v) => publish.user.push((v.key().to_string(), v.val().to_string())),
            _ => {}
        }
    }
}

fn read_v5(kind: u8, raw: &RawPacket) -> Result<Packet, Bad> {
    match kind {
        1 => {
            let c = exact(raw, v5_0::Connect::parse)?;
            let will = read_will!(c).map(|mut publish| {
                publish_properties(&mut publish, c.will_props());
                let delay = c.will_props().iter().find_map(|p| match p {
                    Property::WillDelayInterval(v) => Some(v.val()),
                    _ => None,
                });
                Will { delay: delay.unwrap_or(0), publish }
            });
            let mut connect = read_connect!(c, Version::V5, will);
            connect.problem_information = true;
            for p in c.props() {
                match p {
                    Property::SessionExpiryInterval(v) => connect.expiry = v.val(),
                    Property::ReceiveMaximum(v) => connect.receive_maximum = v.val(),
                    Property::MaximumPacketSize(v) => connect.maximum_packet = v.val(),
                    Property::TopicAliasMaximum(v) => connect.aliases = v.val(),
                    Property::RequestProblemInformation(v) => connect.problem_information = v.val() != 0,
                    Property::AuthenticationMethod(_) => connect.method = true,
                    _ => {}
                }
            }
            Ok(Packet::Connect(Box::new(connect)))
        }
        3 => {
            let (p, mut publish) = read_publish!(raw, v5_0::Publish);
            publish_properties(&mut publish, p.props());
            published(publish)
        }
        4 => read_ack!(raw, Ack::Puback, v5_0::Puback, p => p.reason_code().map_or(0, |c| c as u8)),
        5 => read_ack!(raw, Ack::Pubrec, v5_0::Pubrec, p => p.reason_code().map_or(0, |c| c as u8)),
        6 => read_ack!(raw, Ack::Pubrel, v5_0::Pubrel, p => p.reason_code().map_or(0, |c| c as u8)),
        7 => read_ack!(raw, Ack::Pubcomp, v5_0::Pubcomp, p => p.reason_code().map_or(0, |c| c as u8)),
        8 => {
            let p = exact(raw, v5_0::Subscribe::parse)?;
            let named = p.props().iter().any(|p| matches!(p, Property::SubscriptionIdentifier(_)));
            read_subscribe!(p, named)
        }
        10 => read_unsubscribe!(raw, v5_0::Unsubscribe),
        12 if raw.remaining_length() == 0 => Ok(Packet::Ping),
        12 => Err(MALFORMED),
        14 => {
            let p = exact(raw, v5_0::Disconnect::parse)?;
            let expiry = p.props().iter().flatten().find_map(|p| match p {
                Property::SessionExpiryInterval(v) => Some(v.val()),
                _ => None,
            });
            Ok(Packet::Disconnect(p.reason_code().map_or(0, |c| c as u8), expiry))
        }
        15 => Ok(Packet::Auth),
        _ => Err(PROTOCOL),
    }
}

/// What a CONNACK says of the server.
#[derive(Clone, Debug, Default)]
pub struct Welcome {
    /// An earlier session goes on.
    pub present: bool,
    /// The client identifier, where the server chose it.
    pub assigned: Option<String>,
    /// The keep-alive, where the server set it.
    pub keep_alive: Option<u16>,
    /// The session's expiry in seconds.
    pub expiry: u32,
    /// Requests without an acknowledgement that are taken.
    pub receive_maximum: u16,
    /// Octets of a packet that are taken.
    pub maximum_packet: u32,
    /// Topic aliases that are taken.
    pub aliases: u16,
}

fn put<T: Into<Property>>(props: &mut Properties, value: Result<T, MqttError>) {
    props.extend(value.ok().map(Into::into));
}

/// Writes a packet that was built; one that can't be is left out.
macro_rules! put_packet {
    ($out:expr, $builder:expr) => {
        if let Ok(p) = $builder.build() {
            $out.extend_from_slice(&p.to_continuous_buffer());
        }
    };
}

macro_rules! write_ack {
    ($out:expr, $type:ty, $code:ty, $packet:expr, $value:expr, $props:expr) => {{
        let mut b = <$type>::builder().packet_id($packet);
        if $value != 0 || !$props.is_empty() {
            b = b.reason_code(<$code>::try_from($value).unwrap_or(<$code>::Success));
        }
        if !$props.is_empty() {
            b = b.props($props);
        }
        put_packet!($out, b)
    }};
}

/// Writes the CONNACK of a session that begins.
pub fn welcome(version: Version, w: &Welcome, out: &mut BytesMut) {
    if version == Version::V3 {
        let b = v3_1_1::Connack::builder().return_code(ConnectReturnCode::Accepted);
        put_packet!(out, b.session_present(w.present));
        return;
    }
    let mut props = Properties::new();
    put(&mut props, SessionExpiryInterval::new(w.expiry));
    put(&mut props, ReceiveMaximum::new(w.receive_maximum));
    put(&mut props, MaximumPacketSize::new(w.maximum_packet));
    put(&mut props, TopicAliasMaximum::new(w.aliases));
    put(&mut props, RetainAvailable::new(0));
    put(&mut props, SubscriptionIdentifierAvailable::new(0));
    put(&mut props, SharedSubscriptionAvailable::new(0));
    if let Some(id) = &w.assigned {
        put(&mut props, AssignedClientIdentifier::new(id.as_str()));
    }
    if let Some(seconds) = w.keep_alive {
        put(&mut props, ServerKeepAlive::new(seconds));
    }
    let b = v5_0::Connack::builder().reason_code(ConnectReasonCode::Success);
    put_packet!(out, b.session_present(w.present).props(props));
}

/// Writes the CONNACK that turns a client away.
pub fn unwelcome(version: Version, code: u8, out: &mut BytesMut) {
    match version {
        Version::V3 => {
            let code = match code {
                0x84 => ConnectReturnCode::UnacceptableProtocolVersion,
                0x85 => ConnectReturnCode::IdentifierRejected,
                0x86 => ConnectReturnCode::BadUserNameOrPassword,
                0x88 | 0x89 | 0x8B => ConnectReturnCode::ServerUnavailable,
                _ => ConnectReturnCode::NotAuthorized,
            };
            put_packet!(out, v3_1_1::Connack::builder().session_present(false).return_code(code));
        }
        Version::V5 => {
            let code = ConnectReasonCode::try_from(code).unwrap_or(ConnectReasonCode::UnspecifiedError);
            put_packet!(out, v5_0::Connack::builder().session_present(false).reason_code(code));
        }
    }
}

/// Writes an acknowledgement. Version 3.1.1 knows neither codes nor properties. `said`: user properties.
pub fn ack(version: Version, kind: Ack, packet: u16, code: u8, said: &[(&str, &str)], out: &mut BytesMut) {
    if version == Version::V3 || (code == 0 && said.is_empty()) {
        let first = match kind {
            Ack::Puback => 0x40,
            Ack::Pubrec => 0x50,
            Ack::Pubrel => 0x62,
            Ack::Pubcomp => 0x70,
        };
        let [high, low] = packet.to_be_bytes();
        return out.extend_from_slice(&[first, 2, high, low]);
    }
    let mut props = Properties::new();
    said.iter().for_each(|(key, value)| put(&mut props, UserProperty::new(*key, *value)));
    match kind {
        Ack::Puback => write_ack!(out, v5_0::Puback, PubackReasonCode, packet, code, props),
        Ack::Pubrec => write_ack!(out, v5_0::Pubrec, PubrecReasonCode, packet, code, props),
        Ack::Pubcomp | Ack::Pubrel => write_ack!(out, v5_0::Pubcomp, PubcompReasonCode, packet, code, props),
    }
}

/// Writes a SUBACK, with a code of version 5.0 for each filter.
pub fn suback(version: Version, packet: u16, codes: &[u8], out: &mut BytesMut) {
    match version {
        Version::V3 => {
            let one = |c: &u8| SubackReturnCode::try_from(*c).unwrap_or(SubackReturnCode::Failure);
            let codes = codes.iter().map(one).collect();
            put_packet!(out, v3_1_1::Suback::builder().packet_id(packet).return_codes(codes));
        }
        Version::V5 => {
            let one = |c: &u8| SubackReasonCode::try_from(*c).unwrap_or(SubackReasonCode::UnspecifiedError);
            let codes = codes.iter().map(one).collect();
            put_packet!(out, v5_0::Suback::builder().packet_id(packet).reason_codes(codes));
        }
    }
}

/// Writes an UNSUBACK.
pub fn unsuback(version: Version, packet: u16, codes: &[u8], out: &mut BytesMut) {
    match version {
        Version::V3 => put_packet!(out, v3_1_1::Unsuback::builder().packet_id(packet)),
        Version::V5 => {
            let one = |c: &u8| UnsubackReasonCode::try_from(*c).unwrap_or(UnsubackReasonCode::Success);
            let codes = codes.iter().map(one).collect();
            put_packet!(out, v5_0::Unsuback::builder().packet_id(packet).reason_codes(codes));
        }
    }
}

/// Writes a PINGRESP.
pub fn pong(out: &mut BytesMut) {
    out.extend_from_slice(&[0xD0, 0]);
}

/// Writes a DISCONNECT; version 3.1.1 has none from the server.
pub fn disconnect(version: Version, code: u8, why: Option<&str>, out: &mut BytesMut) {
    if version == Version::V3 {
        return;
    }
    let mut props = Properties::new();
    if let Some(why) = why {
        put(&mut props, ReasonString::new(why));
    }
    let mut b = v5_0::Disconnect::builder()
        .reason_code(DisconnectReasonCode::try_from(code).unwrap_or(DisconnectReasonCode::UnspecifiedError));
    if !props.is_empty() {
        b = b.props(props);
    }
    put_packet!(out, b);
}

macro_rules! publish_octets {
    ($p:expr, $qos:expr, $type:ty $(, $props:expr)?) => {{
        let mut b = <$type>::builder().topic_name($p.topic.as_str()).ok()?.qos($qos).dup($p.again);
        if $p.qos > 0 {
            b = b.packet_id($p.packet);
        }
        $(b = b.props($props);)?
        b.payload($p.payload.clone()).build().ok().map(|p| p.to_continuous_buffer())
    }};
}

/// The octets of a PUBLISH; none where a part of it can't be written (a topic that is none).
pub fn publish(version: Version, p: &Publish) -> Option<Vec<u8>> {
    let qos = Qos::try_from(p.qos).ok()?;
    if version == Version::V3 {
        return publish_octets!(p, qos, v3_1_1::Publish);
    }
    let mut props = Properties::new();
    if let Some(alias) = p.alias {
        put(&mut props, TopicAlias::new(alias));
    }
    if let Some(c) = &p.correlation {
        put(&mut props, CorrelationData::new(c.clone()));
    }
    p.user.iter().for_each(|(k, v)| put(&mut props, UserProperty::new(k.as_str(), v.as_str())));
    publish_octets!(p, qos, v5_0::Publish, props)
}

/// The greatest quality of service that is granted to subscriptions.
pub const GRANTED: u8 = 1;
