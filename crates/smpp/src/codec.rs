//! Converts bytes to commands and back. `rusmpp-core` encodes and decodes; this module does the framing, so
//! that a command that cannot be decoded is answered under its own sequence number instead of failing the
//! stream.

use bytes::{Buf, BytesMut};
use rusmpp_core::CommandStatus;
use rusmpp_core::command::owned::Command;
use rusmpp_core::decode::owned::DecodeWithLength;
use rusmpp_core::encode::{Length, owned::Encode};
use rusmpp_core::pdus::owned::Pdu;

/// The length of a command header in bytes.
pub const HEADER: usize = 16;

/// A frame of the stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// A command.
    Command(Box<Command>),
    /// A command with a valid header and a body that cannot be decoded.
    Unreadable {
        /// Its command_id.
        id: u32,
        /// Its sequence_number.
        sequence: u32,
        /// The status to answer with.
        status: CommandStatus,
    },
}

/// An invalid command_length: the start of the next command is unknown, so the stream can't be read any
/// further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidLength {
    /// The invalid command_length.
    pub length: u32,
    /// The sequence_number of the command, or 0 if it was not received.
    pub sequence: u32,
}

/// Splits a byte stream into commands. Buffers the bytes that are not decoded yet.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    max_bytes: usize,
}

impl Decoder {
    /// Creates a decoder for commands of up to `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Decoder { buffer: BytesMut::new(), max_bytes: max_bytes.max(HEADER) }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes that are not decoded yet.
    pub fn waiting(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the next frame, if it is complete.
    ///
    /// # Errors
    /// Fails if a command_length is invalid; nothing after it can be read.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, InvalidLength> {
        if self.buffer.len() < 4 {
            return Ok(None);
        }
        let read_u32 = |b: &BytesMut, at: usize| {
            b.get(at..at + 4).map_or(0, |w| u32::from_be_bytes([w[0], w[1], w[2], w[3]]))
        };
        let length = read_u32(&self.buffer, 0);
        if (length as usize) < HEADER || length as usize > self.max_bytes {
            return Err(InvalidLength { length, sequence: read_u32(&self.buffer, 12) });
        }
        if self.buffer.len() < length as usize {
            return Ok(None);
        }
        let mut command = self.buffer.split_to(length as usize);
        let (id, status, sequence) = (read_u32(&command, 4), read_u32(&command, 8), read_u32(&command, 12));
        command.advance(4);
        let body_length = command.len();
        // By the specification an error response may have no body; some peers also omit the empty body of a
        // deliver_sm_resp.
        if body_length == HEADER - 4 && id & 0x8000_0000 != 0 {
            return Ok(Some(Frame::Command(Box::new(response_without_body(id, status, sequence)))));
        }
        Ok(Some(match Command::decode(&mut command, body_length) {
            Ok((command, _)) => Frame::Command(Box::new(command)),
            Err(_) => Frame::Unreadable { id, sequence, status: CommandStatus::EsmeRinvcmdlen },
        }))
    }
}

/// Returns the response to a header without a body, with default values in the body.
fn response_without_body(id: u32, status: u32, sequence: u32) -> Command {
    use rusmpp_core::CommandId;
    let pdu = match CommandId::from(id) {
        CommandId::SubmitSmResp => Pdu::SubmitSmResp(Default::default()),
        CommandId::DataSmResp => Pdu::DataSmResp(Default::default()),
        CommandId::DeliverSmResp => Pdu::DeliverSmResp(Default::default()),
        CommandId::BindTransceiverResp => Pdu::BindTransceiverResp(Default::default()),
        CommandId::BindTransmitterResp => Pdu::BindTransmitterResp(Default::default()),
        CommandId::BindReceiverResp => Pdu::BindReceiverResp(Default::default()),
        CommandId::QuerySmResp => Pdu::QuerySmResp(Default::default()),
        CommandId::CancelSmResp => Pdu::CancelSmResp,
        CommandId::ReplaceSmResp => Pdu::ReplaceSmResp,
        CommandId::UnbindResp => Pdu::UnbindResp,
        CommandId::EnquireLinkResp => Pdu::EnquireLinkResp,
        CommandId::GenericNack => Pdu::GenericNack,
        other => Pdu::Other { command_id: other, body: Default::default() },
    };
    Command::new(CommandStatus::from(status), sequence, pdu)
}

/// Appends a command to a buffer.
pub fn encode(status: CommandStatus, sequence: u32, pdu: impl Into<Pdu>, out: &mut BytesMut) {
    let command = Command::new(status, sequence, pdu);
    out.extend_from_slice(&(4 + command.length() as u32).to_be_bytes());
    command.encode(out);
}

/// Appends an error response, which is a header alone.
pub fn encode_error(request: u32, status: CommandStatus, sequence: u32, out: &mut BytesMut) {
    let id = request | 0x8000_0000;
    for word in [HEADER as u32, id, u32::from(status), sequence] {
        out.extend_from_slice(&word.to_be_bytes());
    }
}

/// Appends a generic_nack.
pub fn encode_nack(status: CommandStatus, sequence: u32, out: &mut BytesMut) {
    encode_error(0x8000_0000, status, sequence, out);
}
