//! From octets to commands and back. `rusmpp-core` packs and unpacks; framing is ours, so that a command that
//! cannot be read is answered under its own sequence number instead of ending in an error.

use bytes::{Buf, BytesMut};
use rusmpp_core::CommandStatus;
use rusmpp_core::command::owned::Command;
use rusmpp_core::decode::owned::DecodeWithLength;
use rusmpp_core::encode::{Length, owned::Encode};
use rusmpp_core::pdus::owned::Pdu;

/// Octets of a header.
pub const HEADER: usize = 16;

/// What came out of the stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// A command.
    Command(Box<Command>),
    /// A command with a known header and a body that cannot be read.
    Unreadable {
        /// Its command_id.
        id: u32,
        /// Its sequence_number.
        sequence: u32,
        /// What to answer.
        status: CommandStatus,
    },
}

/// The stream is lost: where the next command begins is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lost {
    /// The command_length that cannot be.
    pub length: u32,
    /// The sequence_number beside it, where it came along.
    pub sequence: u32,
}

/// Cuts a stream into commands. Holds at most one command and what came behind it.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    most: usize,
}

impl Decoder {
    /// A decoder that takes commands of up to `most` octets.
    pub fn new(most: usize) -> Self {
        Decoder { buffer: BytesMut::new(), most: most.max(HEADER) }
    }

    /// Takes octets from the stream.
    pub fn push(&mut self, octets: &[u8]) {
        self.buffer.extend_from_slice(octets);
    }

    /// Octets at hand that make no whole command yet.
    pub fn waiting(&self) -> usize {
        self.buffer.len()
    }

    /// The next command, if one is whole.
    ///
    /// # Errors
    /// Where a length is impossible; nothing after it can be read.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, Lost> {
        if self.buffer.len() < 4 {
            return Ok(None);
        }
        let word = |b: &BytesMut, at: usize| {
            b.get(at..at + 4).map_or(0, |w| u32::from_be_bytes([w[0], w[1], w[2], w[3]]))
        };
        let length = word(&self.buffer, 0);
        if (length as usize) < HEADER || length as usize > self.most {
            return Err(Lost { length, sequence: word(&self.buffer, 12) });
        }
        if self.buffer.len() < length as usize {
            return Ok(None);
        }
        let mut whole = self.buffer.split_to(length as usize);
        let (id, status, sequence) = (word(&whole, 4), word(&whole, 8), word(&whole, 12));
        whole.advance(4);
        let body = whole.len();
        // A response that reports an error may come without a body, by the specification; some peers leave out
        // the empty body of a deliver_sm_resp too.
        if body == HEADER - 4 && id & 0x8000_0000 != 0 {
            return Ok(Some(Frame::Command(Box::new(bare(id, status, sequence)))));
        }
        Ok(Some(match Command::decode(&mut whole, body) {
            Ok((command, _)) => Frame::Command(Box::new(command)),
            Err(_) => Frame::Unreadable { id, sequence, status: CommandStatus::EsmeRinvcmdlen },
        }))
    }
}

/// A response without a body, as its default.
fn bare(id: u32, status: u32, sequence: u32) -> Command {
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

/// Appends a response that reports an error: a header alone.
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
