//! The types that a session exchanges with its caller: submitted messages, events and answers.

use super::MICROS_PER_SECOND;
use crate::Micros;
use crate::codec::{Connect, Publish};
use crate::topics::{MAX_LENGTH, Target, parse_target};

/// A message that a client submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmittedMessage {
    /// The destination address.
    pub address: String,
    /// The class; empty for the first class.
    pub class: String,
    /// The ordering key.
    pub key: Option<String>,
    /// The client's own name for the message.
    pub name: Option<String>,
    /// Whether the client says that it may have submitted the message before.
    pub again: bool,
    /// The message expiry interval: how long the client waits.
    pub expiry: Option<Micros>,
    /// The response topic; empty for the client's default answer topic.
    pub reply: String,
    /// The correlation data that is returned with the answer.
    pub correlation: Vec<u8>,
    /// The payload.
    pub payload: Vec<u8>,
    /// The quality of service.
    pub qos: u8,
    /// The packet identifier, with quality of service 1 and 2.
    pub packet: u16,
    /// The DUP flag.
    pub duplicate: bool,
}

/// An event that a session reports to its caller. Numbers without a name are tokens for the answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client connects; answered with [`super::Session::admit`] or [`super::Session::refuse`].
    Connect(Box<Connect>),
    /// Submits a message; answered with [`super::Session::taken`] or [`super::Session::denied`].
    Submit(u32, Box<SubmittedMessage>),
    /// Queries the state of a message; answered with [`super::Session::told`] or [`super::Session::denied`].
    Query(u32, String),
    /// Withdraws a message; answered with [`super::Session::told`] or [`super::Session::denied`].
    Withdraw(u32, String),
    /// Makes a request on held messages, as topic levels; answered with [`super::Session::told`].
    Held(u32, Vec<String>),
    /// Makes a request on the client's rules or the fleet, as topic levels with a body; answered with
    /// [`super::Session::told`] at any later time.
    Rules(u32, Vec<String>, Vec<u8>),
    /// The subscriptions changed. Holds the acknowledgement packet, which the caller writes once it has
    /// stored them: otherwise a crash could lose a subscription that was already acknowledged to the client.
    Subscribed(Vec<u8>),
    /// The client acknowledged the answer with this packet identifier.
    Heard(u16),
    /// The connection is over. Holds the reason, unless the client disconnected normally.
    Over(Option<&'static str>),
}

/// An answer to send to the client.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct OutgoingAnswer<'a> {
    /// The topic; empty for the client's default answer topic.
    pub topic: &'a str,
    /// The correlation data.
    pub correlation: &'a [u8],
    /// The text.
    pub text: String,
    /// The user properties.
    pub user_properties: Vec<(&'static str, String)>,
    /// The packet identifier on the last connection, if the answer was sent before.
    pub before: Option<u16>,
}

/// Converts a publication into a message. User properties take precedence over topic levels.
pub fn submitted_message(p: Publish) -> Option<SubmittedMessage> {
    let Some(Target::Message { address, mut class, mut key, mut name }) = parse_target(&p.topic) else {
        return None;
    };
    let mut again = false;
    for (k, v) in p.user_properties {
        if v.len() > MAX_LENGTH {
            continue;
        }
        match k.as_str() {
            "class" => class = v,
            "key" => key = Some(v).filter(|v| (1..=64).contains(&v.len())),
            "message" => name = Some(v).filter(|v| !v.is_empty()),
            "again" => again = v == "1",
            _ => {}
        }
    }
    // Without correlation data, the answer returns the message's name: version 3.1.1 has no other way to tell
    // answers apart before the message's identity is known.
    let correlation = match (p.correlation, &name) {
        (Some(c), _) => c,
        (None, Some(name)) => name.clone().into_bytes(),
        (None, None) => Vec::new(),
    };
    Some(SubmittedMessage {
        address,
        class,
        key,
        name,
        again,
        expiry: p.expiry.map(|s| Micros::from(s) * MICROS_PER_SECOND),
        reply: p.response_topic.unwrap_or_default(),
        correlation,
        payload: p.payload,
        qos: p.qos,
        packet: p.packet,
        duplicate: p.duplicate,
    })
}
