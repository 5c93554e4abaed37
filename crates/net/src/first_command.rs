//! The first command of a client's connection, by whose name the connection goes to the client's home sender. Performs no
//! I/O.
//!
//! The name is found whatever the size of the command and however it arrives. What SMPP allows before a bind is answered
//! here, so that a client is not passed on before it is known.

use bytes::BytesMut;
use heronroute_engine::front::Speaks;
use heronroute_mqtt::peek::{packet_length, user_name};
use heronroute_smpp::server::{Event, Limits, Session, frame_header, peek_system_id};

/// The number of bytes that each connection may hold without a reservation.
pub const UNRESERVED_BYTES: usize = 4_096;

/// What the first command needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// More bytes.
    Read,
    /// A reservation of this many bytes, before more is read.
    Reserve(usize),
    /// The connection goes to the home of the client with this name; an empty name if it gave none.
    PassOn(String),
    /// The connection is to be closed once the reply is written.
    Close,
}

/// The bytes of a connection until its client is known.
pub struct FirstCommand {
    protocol: Speaks,
    /// The bytes to be passed on.
    bytes: Vec<u8>,
    /// The bytes to be written to the client.
    reply: BytesMut,
    /// The number of bytes that `bytes` may hold.
    limit: usize,
    /// The maximum length of a command, in bytes.
    max_command: usize,
    /// What answers SMPP commands before a bind.
    unbound: Session,
}

impl FirstCommand {
    /// Creates the state of a new connection.
    pub fn new(protocol: Speaks, max_command: usize) -> Self {
        let never = i64::MAX / 2;
        let limits = Limits {
            session_init: never,
            enquire_every: never,
            inactivity: never,
            response: never,
            window: 1,
            max_pdu: UNRESERVED_BYTES,
        };
        FirstCommand {
            protocol,
            bytes: Vec::new(),
            reply: BytesMut::new(),
            limit: UNRESERVED_BYTES,
            max_command,
            unbound: Session::new(0, limits),
        }
    }

    /// Returns how many more bytes may be added now.
    pub fn room(&self) -> usize {
        self.limit.saturating_sub(self.bytes.len())
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Allows as many bytes as were reserved.
    pub fn reserved(&mut self, bytes: usize) {
        self.limit = self.limit.max(bytes);
    }

    /// Returns the bytes to be written to the client, and forgets them.
    pub fn take_reply(&mut self) -> BytesMut {
        self.reply.split()
    }

    /// Returns the bytes that are passed on with the connection.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// Returns what is needed next.
    pub fn step(&mut self) -> Step {
        match self.protocol {
            Speaks::Mqtt => self.step_mqtt(),
            Speaks::Smpp => self.step_smpp(),
            // RESP clients connect to a sender directly.
            Speaks::Resp => Step::PassOn(String::new()),
        }
    }

    fn step_mqtt(&mut self) -> Step {
        let Some(length) = packet_length(&self.bytes) else { return Step::Read };
        // What can't be read, or is too long, is refused by any sender.
        let Some(length) = length.filter(|length| *length <= self.max_command) else {
            return Step::PassOn(String::new());
        };
        if self.bytes.len() >= length {
            return Step::PassOn(user_name(&self.bytes[..length], self.max_command).unwrap_or_default());
        }
        if length > self.limit { Step::Reserve(length) } else { Step::Read }
    }

    fn step_smpp(&mut self) -> Step {
        while let Some(header) = frame_header(&self.bytes) {
            if header.is_bind() || !header.has_valid_length(UNRESERVED_BYTES) {
                // A sender answers an invalid length as one of its own.
                return match peek_system_id(&self.bytes) {
                    Some(name) => Step::PassOn(name),
                    None => Step::Read,
                };
            }
            if self.bytes.len() < header.length {
                return Step::Read;
            }
            let frame: Vec<u8> = self.bytes.drain(..header.length).collect();
            let mut events = Vec::new();
            self.unbound.receive(0, 0, &frame, &mut self.reply, &mut events);
            if events.iter().any(|event| matches!(event, Event::Unbound | Event::Ended(_))) {
                return Step::Close;
            }
        }
        Step::Read
    }
}

#[cfg(test)]
mod tests;
