//! Decodes and encodes the packets of both versions with `mqtt-protocol-core`, in one common form.
//!
//! Only the library's packets are used, not its connection state machine: here acknowledgements wait for the
//! journal and answers outlive connections, which that state machine leaves to its own stores. This module
//! also rejects what the library accepts against the specifications (reserved flags, a packet identifier of
//! 0).

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

/// The protocol version of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Version {
    /// MQTT 3.1.1.
    #[default]
    V3,
    /// MQTT 5.0.
    V5,
}

/// An error that rejects a packet, as a reason code of MQTT 5.0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection(pub u8);

/// A malformed packet.
pub const MALFORMED_PACKET: Rejection = Rejection(0x81);
/// A protocol error.
pub const PROTOCOL_ERROR: Rejection = Rejection(0x82);

/// The will of a CONNECT.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Will {
    /// The delay in seconds after the connection is lost.
    pub delay: u32,
    /// The message to publish.
    pub publish: Publish,
}

/// A CONNECT packet.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Connect {
    /// The protocol version.
    pub version: Version,
    /// The client identifier.
    pub client_id: String,
    /// The clean start flag (5.0) or clean session flag (3.1.1).
    pub clean: bool,
    /// The keep-alive in seconds; 0 for none.
    pub keep_alive: u16,
    /// The user name.
    pub user: Option<String>,
    /// The password.
    pub password: Option<Vec<u8>>,
    /// The will.
    pub will: Option<Will>,
    /// The session expiry interval in seconds after the connection.
    pub expiry: u32,
    /// The number of unacknowledged publications that the client accepts.
    pub receive_maximum: u16,
    /// The largest packet in bytes that the client accepts.
    pub maximum_packet: u32,
    /// The topic alias maximum of the client.
    pub topic_alias_maximum: u16,
    /// Whether the client accepts user properties and reason strings on acknowledgements.
    pub problem_information: bool,
    /// Whether the client requests enhanced authentication.
    pub enhanced_authentication: bool,
}

/// A PUBLISH packet.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Publish {
    /// The topic; empty if only an alias is given.
    pub topic: String,
    /// The alias for the topic.
    pub alias: Option<u16>,
    /// The packet identifier, with quality of service 1 and 2.
    pub packet: u16,
    /// The quality of service.
    pub qos: u8,
    /// The DUP flag: the publication may have been sent before.
    pub duplicate: bool,
    /// The retain flag.
    pub retain: bool,
    /// The payload.
    pub payload: Vec<u8>,
    /// The message expiry interval in seconds.
    pub expiry: Option<u32>,
    /// The response topic.
    pub response_topic: Option<String>,
    /// The correlation data.
    pub correlation: Option<Vec<u8>>,
    /// The user properties.
    pub user_properties: Vec<(String, String)>,
}

/// A type of acknowledgement packet.
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

/// A packet from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Packet {
    /// CONNECT.
    Connect(Box<Connect>),
    /// PUBLISH.
    Publish(Box<Publish>),
    /// An acknowledgement, with its packet identifier and reason code.
    Ack(Ack, u16, u8),
    /// SUBSCRIBE: packet identifier, filters with their maximum quality of service, and whether there is a
    /// subscription identifier.
    Subscribe(u16, Vec<(String, u8)>, bool),
    /// UNSUBSCRIBE: packet identifier and filters.
    Unsubscribe(u16, Vec<String>),
    /// PINGREQ.
    Ping,
    /// DISCONNECT: reason code and changed session expiry interval.
    Disconnect(u8, Option<u32>),
    /// AUTH.
    Auth,
}

/// Splits a byte stream into packets.
pub struct Decoder {
    builder: PacketBuilder,
    /// Bytes after the last complete packet; the builder holds those of an incomplete packet.
    unread: BytesMut,
    version: Option<Version>,
}

impl std::fmt::Debug for Decoder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Decoder").field("unread", &self.unread.len()).field("version", &self.version).finish()
    }
}

impl Decoder {
    /// Creates a decoder for packets of up to `max_packet` bytes.
    pub fn new(max_packet: u32) -> Self {
        let builder = PacketBuilder::with_maximum_packet_size(max_packet);
        Decoder { builder, unread: BytesMut::new(), version: None }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.unread.extend_from_slice(bytes);
    }

    /// Returns the next complete packet, if there is one.
    pub fn next_packet(&mut self) -> Option<Result<Packet, Rejection>> {
        if self.unread.is_empty() {
            return None;
        }
        let mut cursor = Cursor::new(&self.unread[..]);
        let result = self.builder.feed(&mut cursor);
        let consumed = cursor.position() as usize;
        _ = self.unread.split_to(consumed);
        if self.unread.is_empty() {
            // Frees the buffer of an idle connection.
            self.unread = BytesMut::new();
        }
        match result {
            PacketBuildResult::Incomplete => None,
            PacketBuildResult::Error(e) => Some(Err(reason_code(e))),
            PacketBuildResult::Complete(raw) => Some(self.parse(&raw)),
        }
    }

    fn parse(&mut self, raw: &RawPacket) -> Result<Packet, Rejection> {
        let kind = raw.packet_type();
        // The flags are reserved on all packets but PUBLISH: 2 on PUBREL, SUBSCRIBE and UNSUBSCRIBE,
        // otherwise 0.
        let flags = if matches!(kind, 6 | 8 | 10) { 2 } else { 0 };
        if kind != 3 && raw.flags() != flags {
            return Err(MALFORMED_PACKET);
        }
        let version = match (kind, self.version) {
            (1, None) => {
                // The version byte follows the protocol name.
                let version = match raw.data_as_slice().get(6) {
                    Some(4) => Version::V3,
                    Some(5) => Version::V5,
                    Some(_) => return Err(Rejection(0x84)),
                    None => return Err(MALFORMED_PACKET),
                };
                self.version = Some(version);
                version
            }
            // Either a second CONNECT, or a first packet that is not a CONNECT.
            (1, Some(_)) | (_, None) => return Err(PROTOCOL_ERROR),
            (_, Some(version)) => version,
        };
        match version {
            Version::V3 => read_v3(kind, raw),
            Version::V5 => read_v5(kind, raw),
        }
    }
}

fn reason_code(e: MqttError) -> Rejection {
    Rejection(u8::try_from(e as u16).unwrap_or(0x81))
}

fn parse_exact<T>(
    raw: &RawPacket,
    parse: impl FnOnce(&[u8]) -> Result<(T, usize), MqttError>,
) -> Result<T, Rejection> {
    raw.parse_exact(parse).map_err(reason_code)
}

/// Rejects the packet identifier 0.
fn check_packet_id(packet: u16) -> Result<u16, Rejection> {
    if packet == 0 { Err(PROTOCOL_ERROR) } else { Ok(packet) }
}

fn shared_data(raw: &RawPacket) -> std::sync::Arc<[u8]> {
    raw.data_as_slice().into()
}

// The packet types of the two versions share no trait, but have the same method names for what they have in
// common.

macro_rules! read_ack {
    ($raw:expr, $kind:expr, $type:ty, $p:ident => $code:expr) => {{
        let $p = parse_exact($raw, <$type>::parse)?;
        Ok(Packet::Ack($kind, check_packet_id($p.packet_id())?, $code))
    }};
}

macro_rules! read_publish {
    ($raw:expr, $type:ty) => {{
        let p = parse_exact($raw, |_| <$type>::parse($raw.flags(), shared_data($raw)))?;
        let publish = Publish {
            topic: p.topic_name().to_string(),
            packet: p.packet_id().unwrap_or(0),
            qos: p.qos() as u8,
            duplicate: p.dup(),
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

/// Reads the fields that both versions have; the others get their values for 3.1.1, which `read_v5`
/// overwrites.
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
            topic_alias_maximum: 0,
            problem_information: false,
            enhanced_authentication: false,
        }
    };
}

macro_rules! read_subscribe {
    ($p:expr, $has_subscription_id:expr) => {{
        let filters = $p.entries().iter().map(|e| (e.topic_filter().to_string(), e.sub_opts().qos() as u8));
        Ok(Packet::Subscribe(check_packet_id($p.packet_id())?, filters.collect(), $has_subscription_id))
    }};
}

macro_rules! read_unsubscribe {
    ($raw:expr, $type:ty) => {{
        let p = parse_exact($raw, <$type>::parse)?;
        let filters = p.entries().iter().map(|e| e.as_str().to_string());
        Ok(Packet::Unsubscribe(check_packet_id(p.packet_id())?, filters.collect()))
    }};
}

fn read_v3(kind: u8, raw: &RawPacket) -> Result<Packet, Rejection> {
    match kind {
        1 => {
            let c = parse_exact(raw, v3_1_1::Connect::parse)?;
            let will = read_will!(c).map(|publish| Will { delay: 0, publish });
            // In 3.1.1 a session that is not clean never expires.
            let expiry = if c.clean_session() { 0 } else { u32::MAX };
            Ok(Packet::Connect(Box::new(Connect { expiry, ..read_connect!(c, Version::V3, will) })))
        }
        3 => check_publish(read_publish!(raw, v3_1_1::Publish).1),
        4 => read_ack!(raw, Ack::Puback, v3_1_1::Puback, p => 0),
        5 => read_ack!(raw, Ack::Pubrec, v3_1_1::Pubrec, p => 0),
        6 => read_ack!(raw, Ack::Pubrel, v3_1_1::Pubrel, p => 0),
        7 => read_ack!(raw, Ack::Pubcomp, v3_1_1::Pubcomp, p => 0),
        8 => {
            let p = parse_exact(raw, v3_1_1::Subscribe::parse)?;
            read_subscribe!(p, false)
        }
        10 => read_unsubscribe!(raw, v3_1_1::Unsubscribe),
        12 if raw.remaining_length() == 0 => Ok(Packet::Ping),
        14 if raw.remaining_length() == 0 => Ok(Packet::Disconnect(0, None)),
        12 | 14 => Err(MALFORMED_PACKET),
        _ => Err(PROTOCOL_ERROR),
    }
}

fn check_publish(p: Publish) -> Result<Packet, Rejection> {
    // A publication of quality of service 0 never has the DUP flag.
    if p.qos == 0 && p.duplicate || p.qos > 0 && p.packet == 0 {
        return Err(MALFORMED_PACKET);
    }
    Ok(Packet::Publish(Box::new(p)))
}

fn read_publish_properties(publish: &mut Publish, props: &Properties) {
    for p in props {
        match p {
            Property::TopicAlias(v) => publish.alias = Some(v.val()),
            Property::MessageExpiryInterval(v) => publish.expiry = Some(v.val()),
            Property::ResponseTopic(v) => publish.response_topic = Some(v.val().to_string()),
            Property::CorrelationData(v) => publish.correlation = Some(v.val().to_vec()),
            Property::UserProperty(v) => {
                publish.user_properties.push((v.key().to_string(), v.val().to_string()))
            }
            _ => {}
        }
    }
}

fn read_v5(kind: u8, raw: &RawPacket) -> Result<Packet, Rejection> {
    match kind {
        1 => {
            let c = parse_exact(raw, v5_0::Connect::parse)?;
            let will = read_will!(c).map(|mut publish| {
                read_publish_properties(&mut publish, c.will_props());
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
                    Property::TopicAliasMaximum(v) => connect.topic_alias_maximum = v.val(),
                    Property::RequestProblemInformation(v) => connect.problem_information = v.val() != 0,
                    Property::AuthenticationMethod(_) => connect.enhanced_authentication = true,
                    _ => {}
                }
            }
            Ok(Packet::Connect(Box::new(connect)))
        }
        3 => {
            let (p, mut publish) = read_publish!(raw, v5_0::Publish);
            read_publish_properties(&mut publish, p.props());
            check_publish(publish)
        }
        4 => read_ack!(raw, Ack::Puback, v5_0::Puback, p => p.reason_code().map_or(0, |c| c as u8)),
        5 => read_ack!(raw, Ack::Pubrec, v5_0::Pubrec, p => p.reason_code().map_or(0, |c| c as u8)),
        6 => read_ack!(raw, Ack::Pubrel, v5_0::Pubrel, p => p.reason_code().map_or(0, |c| c as u8)),
        7 => read_ack!(raw, Ack::Pubcomp, v5_0::Pubcomp, p => p.reason_code().map_or(0, |c| c as u8)),
        8 => {
            let p = parse_exact(raw, v5_0::Subscribe::parse)?;
            let has_subscription_id =
                p.props().iter().any(|p| matches!(p, Property::SubscriptionIdentifier(_)));
            read_subscribe!(p, has_subscription_id)
        }
        10 => read_unsubscribe!(raw, v5_0::Unsubscribe),
        12 if raw.remaining_length() == 0 => Ok(Packet::Ping),
        12 => Err(MALFORMED_PACKET),
        14 => {
            let p = parse_exact(raw, v5_0::Disconnect::parse)?;
            let expiry = p.props().iter().flatten().find_map(|p| match p {
                Property::SessionExpiryInterval(v) => Some(v.val()),
                _ => None,
            });
            Ok(Packet::Disconnect(p.reason_code().map_or(0, |c| c as u8), expiry))
        }
        15 => Ok(Packet::Auth),
        _ => Err(PROTOCOL_ERROR),
    }
}

/// The contents of a CONNACK that accepts a client.
#[derive(Clone, Debug, Default)]
pub struct Connack {
    /// Whether an earlier session is resumed.
    pub session_present: bool,
    /// The client identifier, if the server assigned it.
    pub assigned_client_id: Option<String>,
    /// The keep-alive in seconds, if the server set it.
    pub keep_alive: Option<u16>,
    /// The session expiry interval in seconds.
    pub expiry: u32,
    /// The number of unacknowledged publications that the server accepts.
    pub receive_maximum: u16,
    /// The largest packet in bytes that the server accepts.
    pub maximum_packet: u32,
    /// The topic alias maximum of the server.
    pub topic_alias_maximum: u16,
}

fn push_property<T: Into<Property>>(props: &mut Properties, value: Result<T, MqttError>) {
    props.extend(value.ok().map(Into::into));
}

/// Writes the packet of a builder, or nothing if it can't be built.
macro_rules! write_packet {
    ($out:expr, $builder:expr) => {
        if let Ok(p) = $builder.build() {
            $out.extend_from_slice(&p.to_continuous_buffer());
        }
    };
}

macro_rules! put_ack {
    ($out:expr, $type:ty, $code:ty, $packet:expr, $value:expr, $props:expr) => {{
        let mut b = <$type>::builder().packet_id($packet);
        if $value != 0 || !$props.is_empty() {
            b = b.reason_code(<$code>::try_from($value).unwrap_or(<$code>::Success));
        }
        if !$props.is_empty() {
            b = b.props($props);
        }
        write_packet!($out, b)
    }};
}

/// Writes the CONNACK that accepts a client.
pub fn write_connack(version: Version, connack: &Connack, out: &mut BytesMut) {
    if version == Version::V3 {
        let b = v3_1_1::Connack::builder().return_code(ConnectReturnCode::Accepted);
        write_packet!(out, b.session_present(connack.session_present));
        return;
    }
    let mut props = Properties::new();
    push_property(&mut props, SessionExpiryInterval::new(connack.expiry));
    push_property(&mut props, ReceiveMaximum::new(connack.receive_maximum));
    push_property(&mut props, MaximumPacketSize::new(connack.maximum_packet));
    push_property(&mut props, TopicAliasMaximum::new(connack.topic_alias_maximum));
    push_property(&mut props, RetainAvailable::new(0));
    push_property(&mut props, SubscriptionIdentifierAvailable::new(0));
    push_property(&mut props, SharedSubscriptionAvailable::new(0));
    if let Some(id) = &connack.assigned_client_id {
        push_property(&mut props, AssignedClientIdentifier::new(id.as_str()));
    }
    if let Some(seconds) = connack.keep_alive {
        push_property(&mut props, ServerKeepAlive::new(seconds));
    }
    let b = v5_0::Connack::builder().reason_code(ConnectReasonCode::Success);
    write_packet!(out, b.session_present(connack.session_present).props(props));
}

/// Writes the CONNACK that refuses a client, with a code of version 5.0.
pub fn write_refusal(version: Version, code: u8, out: &mut BytesMut) {
    match version {
        Version::V3 => {
            let code = match code {
                0x84 => ConnectReturnCode::UnacceptableProtocolVersion,
                0x85 => ConnectReturnCode::IdentifierRejected,
                0x86 => ConnectReturnCode::BadUserNameOrPassword,
                0x88 | 0x89 | 0x8B => ConnectReturnCode::ServerUnavailable,
                _ => ConnectReturnCode::NotAuthorized,
            };
            write_packet!(out, v3_1_1::Connack::builder().session_present(false).return_code(code));
        }
        Version::V5 => {
            let code = ConnectReasonCode::try_from(code).unwrap_or(ConnectReasonCode::UnspecifiedError);
            write_packet!(out, v5_0::Connack::builder().session_present(false).reason_code(code));
        }
    }
}

/// Writes an acknowledgement. Version 3.1.1 has neither reason codes nor properties.
pub fn write_ack(
    version: Version,
    ack: Ack,
    packet: u16,
    code: u8,
    user_properties: &[(&str, &str)],
    out: &mut BytesMut,
) {
    if version == Version::V3 || (code == 0 && user_properties.is_empty()) {
        let first_byte = match ack {
            Ack::Puback => 0x40,
            Ack::Pubrec => 0x50,
            Ack::Pubrel => 0x62,
            Ack::Pubcomp => 0x70,
        };
        let [high, low] = packet.to_be_bytes();
        return out.extend_from_slice(&[first_byte, 2, high, low]);
    }
    let mut props = Properties::new();
    user_properties
        .iter()
        .for_each(|(key, value)| push_property(&mut props, UserProperty::new(*key, *value)));
    match ack {
        Ack::Puback => put_ack!(out, v5_0::Puback, PubackReasonCode, packet, code, props),
        Ack::Pubrec => put_ack!(out, v5_0::Pubrec, PubrecReasonCode, packet, code, props),
        Ack::Pubcomp | Ack::Pubrel => put_ack!(out, v5_0::Pubcomp, PubcompReasonCode, packet, code, props),
    }
}

/// Writes a SUBACK with a code of version 5.0 for each filter.
pub fn write_suback(version: Version, packet: u16, codes: &[u8], out: &mut BytesMut) {
    match version {
        Version::V3 => {
            let to_code = |c: &u8| SubackReturnCode::try_from(*c).unwrap_or(SubackReturnCode::Failure);
            let codes = codes.iter().map(to_code).collect();
            write_packet!(out, v3_1_1::Suback::builder().packet_id(packet).return_codes(codes));
        }
        Version::V5 => {
            let to_code =
                |c: &u8| SubackReasonCode::try_from(*c).unwrap_or(SubackReasonCode::UnspecifiedError);
            let codes = codes.iter().map(to_code).collect();
            write_packet!(out, v5_0::Suback::builder().packet_id(packet).reason_codes(codes));
        }
    }
}

/// Writes an UNSUBACK.
pub fn write_unsuback(version: Version, packet: u16, codes: &[u8], out: &mut BytesMut) {
    match version {
        Version::V3 => write_packet!(out, v3_1_1::Unsuback::builder().packet_id(packet)),
        Version::V5 => {
            let to_code = |c: &u8| UnsubackReasonCode::try_from(*c).unwrap_or(UnsubackReasonCode::Success);
            let codes = codes.iter().map(to_code).collect();
            write_packet!(out, v5_0::Unsuback::builder().packet_id(packet).reason_codes(codes));
        }
    }
}

/// Writes a PINGRESP.
pub fn write_pingresp(out: &mut BytesMut) {
    out.extend_from_slice(&[0xD0, 0]);
}

/// Writes a DISCONNECT. Version 3.1.1 has none from the server.
pub fn write_disconnect(version: Version, code: u8, reason: Option<&str>, out: &mut BytesMut) {
    if version == Version::V3 {
        return;
    }
    let mut props = Properties::new();
    if let Some(reason) = reason {
        push_property(&mut props, ReasonString::new(reason));
    }
    let mut b = v5_0::Disconnect::builder()
        .reason_code(DisconnectReasonCode::try_from(code).unwrap_or(DisconnectReasonCode::UnspecifiedError));
    if !props.is_empty() {
        b = b.props(props);
    }
    write_packet!(out, b);
}

macro_rules! encode_publish_packet {
    ($p:expr, $qos:expr, $type:ty $(, $props:expr)?) => {{
        let mut b = <$type>::builder().topic_name($p.topic.as_str()).ok()?.qos($qos).dup($p.duplicate);
        if $p.qos > 0 {
            b = b.packet_id($p.packet);
        }
        $(b = b.props($props);)?
        b.payload($p.payload.clone()).build().ok().map(|p| p.to_continuous_buffer())
    }};
}

/// Encodes a PUBLISH; returns `None` if a part of it can't be encoded (such as an invalid topic).
pub fn encode_publish(version: Version, p: &Publish) -> Option<Vec<u8>> {
    let qos = Qos::try_from(p.qos).ok()?;
    if version == Version::V3 {
        return encode_publish_packet!(p, qos, v3_1_1::Publish);
    }
    let mut props = Properties::new();
    if let Some(alias) = p.alias {
        push_property(&mut props, TopicAlias::new(alias));
    }
    if let Some(c) = &p.correlation {
        push_property(&mut props, CorrelationData::new(c.clone()));
    }
    p.user_properties
        .iter()
        .for_each(|(k, v)| push_property(&mut props, UserProperty::new(k.as_str(), v.as_str())));
    encode_publish_packet!(p, qos, v5_0::Publish, props)
}

/// The maximum quality of service that is granted to subscriptions.
pub const MAX_GRANTED_QOS: u8 = 1;
