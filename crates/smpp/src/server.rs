//! The message centre side of a session: towards the clients of the service, and in simulated receivers.
//!
//! The session handles by itself what the specification defines (states, lengths, unknown commands, windows,
//! enquiries, unbinding, timers). It reports the rest as events; the caller answers each under its sequence
//! number.

use crate::codec::{Decoder, Frame, HEADER, encode, encode_error, encode_nack};
use crate::receipt::Receipt;
use crate::submission::Submission;
use crate::{Micros, time};
use bytes::BytesMut;
use rusmpp_core::command::owned::Command;
use rusmpp_core::pdus::owned::*;
use rusmpp_core::tlvs::owned::{MessageDeliveryRequestTlvValue, MessageSubmissionResponseTlvValue};
use rusmpp_core::types::owned::COctetString;
use rusmpp_core::values::{InterfaceVersion, MessageState};
use rusmpp_core::{CommandId, CommandStatus};
use std::collections::{BTreeMap, BTreeSet};

/// The time for which acknowledgements are accepted after the peer has unbound.
const UNBIND_GRACE: Micros = 1_000_000;

/// The maximum length of a system_id with its end, in bytes.
const SYSTEM_ID_BYTES: usize = 16;

/// The limits of a session.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The time within which a bind must arrive after the connection is made.
    pub session_init: Micros,
    /// The time without received commands after which an enquiry is sent to the peer.
    pub enquire_every: Micros,
    /// The time without requests other than enquiries after which the session is unbound.
    pub inactivity: Micros,
    /// The time within which the peer must respond to a request.
    pub response: Micros,
    /// The number of requests without a response, in each direction.
    pub window: usize,
    /// The maximum length of a command in bytes.
    pub max_pdu: usize,
}

/// The mode in which a peer is bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The peer may only submit messages.
    Transmitter,
    /// The peer may only receive receipts.
    Receiver,
    /// The peer may submit messages and receive receipts.
    Transceiver,
}

impl Mode {
    /// Returns whether the peer may submit messages.
    pub fn sends(self) -> bool {
        self != Mode::Receiver
    }
    /// Returns whether the peer may receive receipts.
    pub fn receives(self) -> bool {
        self != Mode::Transmitter
    }
}

/// An event that a session reports to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The peer binds; answered with [`Session::accept`] or [`Session::refuse`].
    Bind {
        /// The requested mode.
        mode: Mode,
        /// The system_id that the peer claims.
        system_id: String,
        /// The password.
        password: String,
        /// The system_type.
        system_type: String,
        /// The sequence number for the answer.
        sequence: u32,
    },
    /// The peer submits a message; answered with [`Session::submitted`] or [`Session::error`].
    Submit {
        /// The sequence number for the answer.
        sequence: u32,
        /// The command of the request.
        request: CommandId,
        /// The submitted message.
        submission: Box<Submission>,
    },
    /// The peer queries the state of a message; answered with [`Session::queried`] or [`Session::error`].
    Query {
        /// The sequence number for the answer.
        sequence: u32,
        /// The message_id.
        id: String,
        /// The source address, which must match.
        source: String,
    },
    /// The peer withdraws messages; answered with [`Session::cancelled`] or [`Session::error`].
    Cancel {
        /// The sequence number for the answer.
        sequence: u32,
        /// The message_id; empty for all messages that match the addresses.
        id: String,
        /// The source address, which must match.
        source: String,
        /// The destination address, if no message_id is given.
        destination: String,
    },
    /// The peer answered a receipt.
    Acknowledged {
        /// The sequence number that [`Session::deliver`] gave.
        sequence: u32,
        /// Whether the receipt needs no further delivery.
        taken: bool,
    },
    /// The session ended normally; close the connection once all output is written.
    Unbound,
    /// The session failed; close the connection once all output is written. Holds the reason.
    Ended(&'static str),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Binding,
    Bound(Mode),
    Unbinding,
    /// The peer unbound at this time; acknowledgements that crossed its unbind are still accepted.
    Draining(Micros),
    Closed,
}

/// The session of one connection.
#[derive(Debug)]
pub struct Session {
    limits: Limits,
    decoder: Decoder,
    state: State,
    version: u8,
    last_sequence: u32,
    opened_at: Micros,
    last_received: Micros,
    /// The time of the last request other than an enquiry.
    last_active: Micros,
    /// The peer's requests without a response: sequence numbers and commands.
    unanswered: BTreeMap<u32, CommandId>,
    /// Requests to the peer without a response by sequence number, with their deadline and kind.
    outstanding: BTreeMap<u32, (Micros, RequestKind)>,
    /// The deadlines of outstanding requests, with their sequence numbers.
    response_deadlines: BTreeSet<(Micros, u32)>,
    /// The number of outstanding receipts.
    unacknowledged_receipts: usize,
    /// Whether an enquiry is outstanding.
    enquiry_outstanding: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Deliver,
    Enquire,
    Unbind,
}

impl Session {
    /// Creates a session on a new connection.
    pub fn new(now: Micros, limits: Limits) -> Self {
        Session {
            limits,
            decoder: Decoder::new(limits.max_pdu),
            state: State::Open,
            version: 0x34,
            last_sequence: 0,
            opened_at: now,
            last_received: now,
            last_active: now,
            unanswered: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            response_deadlines: BTreeSet::new(),
            unacknowledged_receipts: 0,
            enquiry_outstanding: false,
        }
    }

    /// Returns the mode in which the peer is bound, if it is.
    pub fn mode(&self) -> Option<Mode> {
        if let State::Bound(mode) = self.state { Some(mode) } else { None }
    }

    /// Returns how many more receipts may be sent before one is acknowledged.
    pub fn room(&self) -> usize {
        let receives = self.mode().is_some_and(Mode::receives);
        if receives { self.limits.window.saturating_sub(self.unacknowledged_receipts) } else { 0 }
    }

    /// Returns the number of requests of the peer without a response.
    pub fn owed(&self) -> usize {
        self.unanswered.len()
    }

    /// Handles received bytes: adds events, and writes what the session answers by itself.
    pub fn receive(
        &mut self,
        now: Micros,
        wall: Micros,
        bytes: &[u8],
        out: &mut BytesMut,
        events: &mut Vec<Event>,
    ) {
        if self.state == State::Closed {
            return;
        }
        self.decoder.push(bytes);
        while self.state != State::Closed {
            match self.decoder.next_frame() {
                Ok(None) => break,
                Ok(Some(frame)) => {
                    self.last_received = now;
                    self.handle_frame(now, wall, frame, out, events);
                }
                Err(error) => {
                    // Nothing after an invalid length can be read, so by the specification the session ends.
                    encode_nack(CommandStatus::EsmeRinvcmdlen, error.sequence, out);
                    self.end("wrong command_length", events);
                }
            }
        }
    }

    fn handle_frame(
        &mut self,
        now: Micros,
        wall: Micros,
        frame: Frame,
        out: &mut BytesMut,
        events: &mut Vec<Event>,
    ) {
        let command = match frame {
            Frame::Command(command) => command,
            Frame::Unreadable { id, sequence, status } => {
                match CommandId::from(id) {
                    CommandId::Other(_) => encode_nack(CommandStatus::EsmeRinvcmdid, sequence, out),
                    // A response that can't be decoded is ignored; its request will time out.
                    _ if id & 0x8000_0000 != 0 => {}
                    _ => encode_error(id, status, sequence, out),
                }
                return;
            }
        };
        let (id, sequence) = (command.id(), command.sequence_number());
        let Some(pdu) = command.pdu().cloned() else {
            if let CommandId::Other(_) = id {
                return encode_nack(CommandStatus::EsmeRinvcmdid, sequence, out);
            }
            return encode_error(id.into(), CommandStatus::EsmeRinvcmdlen, sequence, out);
        };
        match pdu {
            Pdu::EnquireLink => encode(CommandStatus::EsmeRok, sequence, Pdu::EnquireLinkResp, out),
            Pdu::EnquireLinkResp => _ = self.take_outstanding(sequence, RequestKind::Enquire),
            Pdu::DeliverSmResp(_) => self.handle_acknowledgement(&command, events),
            Pdu::GenericNack => self.handle_acknowledgement(&command, events),
            Pdu::UnbindResp => {
                if self.take_outstanding(sequence, RequestKind::Unbind) {
                    self.state = State::Closed;
                    events.push(Event::Unbound);
                }
            }
            Pdu::Unbind => {
                self.last_active = now;
                if self.state == State::Open || self.state == State::Binding {
                    return encode_error(id.into(), CommandStatus::EsmeRinvbndsts, sequence, out);
                }
                encode(CommandStatus::EsmeRok, sequence, Pdu::UnbindResp, out);
                // A receipt that the peer acknowledges while its unbind is on the way must not be sent again.
                if self.unacknowledged_receipts > 0 {
                    self.state = State::Draining(now);
                    return;
                }
                self.state = State::Closed;
                events.push(Event::Unbound);
            }
            Pdu::BindTransmitter(b) => {
                self.register_bind(id, sequence, b.interface_version, out).then(|| {
                    events.push(bind_event(
                        Mode::Transmitter,
                        &b.system_id,
                        &b.password,
                        &b.system_type,
                        sequence,
                    ))
                });
            }
            Pdu::BindReceiver(b) => {
                self.register_bind(id, sequence, b.interface_version, out).then(|| {
                    events.push(bind_event(
                        Mode::Receiver,
                        &b.system_id,
                        &b.password,
                        &b.system_type,
                        sequence,
                    ))
                });
            }
            Pdu::BindTransceiver(b) => {
                self.register_bind(id, sequence, b.interface_version, out).then(|| {
                    events.push(bind_event(
                        Mode::Transceiver,
                        &b.system_id,
                        &b.password,
                        &b.system_type,
                        sequence,
                    ))
                });
            }
            Pdu::SubmitSm(sm) => {
                let submission = Submission::from_submit(&sm, wall);
                self.handle_submit(now, id, sequence, submission, out, events);
            }
            Pdu::DataSm(sm) => {
                let submission = Submission::from_data(&sm);
                self.handle_submit(now, id, sequence, submission, out, events);
            }
            Pdu::QuerySm(q) => {
                if self.register_request(now, id, sequence, out) {
                    let (id, source) = (q.message_id.as_str().into(), q.source_addr.as_str().into());
                    events.push(Event::Query { sequence, id, source });
                }
            }
            Pdu::CancelSm(c) => {
                if self.register_request(now, id, sequence, out) {
                    let (id, source) = (c.message_id.as_str().into(), c.source_addr.as_str().into());
                    let destination = c.destination_addr.as_str().into();
                    events.push(Event::Cancel { sequence, id, source, destination });
                }
            }
            // The specification defines these commands and this server doesn't support them, so they get
            // their own errors instead of that for unknown commands.
            Pdu::ReplaceSm(_) => encode_error(id.into(), CommandStatus::EsmeRreplacefail, sequence, out),
            Pdu::SubmitMulti(_) => encode_error(id.into(), CommandStatus::EsmeRsubmitfail, sequence, out),
            Pdu::BroadcastSm(_) => encode_error(id.into(), CommandStatus::EsmeRbcastfail, sequence, out),
            Pdu::QueryBroadcastSm(_) => {
                encode_error(id.into(), CommandStatus::EsmeRbcastqueryfail, sequence, out);
            }
            Pdu::CancelBroadcastSm(_) => {
                encode_error(id.into(), CommandStatus::EsmeRbcastcancelfail, sequence, out);
            }
            _ if u32::from(id) & 0x8000_0000 != 0 => {}
            _ => encode_nack(CommandStatus::EsmeRinvcmdid, sequence, out),
        }
    }

    fn register_bind(
        &mut self,
        id: CommandId,
        sequence: u32,
        version: InterfaceVersion,
        out: &mut BytesMut,
    ) -> bool {
        if self.state != State::Open {
            encode_error(id.into(), CommandStatus::EsmeRalybnd, sequence, out);
            return false;
        }
        self.version = version.into();
        self.state = State::Binding;
        self.unanswered.insert(sequence, id);
        true
    }

    /// Registers a request and returns whether it goes on; otherwise a repeat is ignored and a wrong state or
    /// a full window is answered with an error.
    fn register_request(&mut self, now: Micros, id: CommandId, sequence: u32, out: &mut BytesMut) -> bool {
        let State::Bound(mode) = self.state else {
            encode_error(id.into(), CommandStatus::EsmeRinvbndsts, sequence, out);
            return false;
        };
        if !mode.sends() {
            encode_error(id.into(), CommandStatus::EsmeRinvbndsts, sequence, out);
            return false;
        }
        self.last_active = now;
        // A sequence number without a response yet is a repeat of that request and is answered with it, so
        // that one request is not accepted twice. The peer would read a separate answer as that to the first
        // request.
        if self.unanswered.contains_key(&sequence) {
            return false;
        }
        if self.unanswered.len() >= self.limits.window {
            encode_error(id.into(), CommandStatus::EsmeRthrottled, sequence, out);
            return false;
        }
        self.unanswered.insert(sequence, id);
        true
    }

    fn handle_submit(
        &mut self,
        now: Micros,
        id: CommandId,
        sequence: u32,
        submission: Result<Submission, CommandStatus>,
        out: &mut BytesMut,
        events: &mut Vec<Event>,
    ) {
        if !self.register_request(now, id, sequence, out) {
            return;
        }
        match submission {
            Ok(s) => events.push(Event::Submit { sequence, request: id, submission: Box::new(s) }),
            Err(status) => self.error(sequence, status, out),
        }
    }

    fn take_outstanding(&mut self, sequence: u32, expected: RequestKind) -> bool {
        let Some((deadline, kind)) = self.outstanding.get(&sequence).copied() else { return false };
        if kind != expected {
            return false;
        }
        self.outstanding.remove(&sequence);
        self.response_deadlines.remove(&(deadline, sequence));
        match kind {
            RequestKind::Deliver => self.unacknowledged_receipts -= 1,
            RequestKind::Enquire => self.enquiry_outstanding = false,
            RequestKind::Unbind => {}
        }
        true
    }

    /// Handles a response to a receipt; ignores those with an unknown sequence number.
    fn handle_acknowledgement(&mut self, command: &Command, events: &mut Vec<Event>) {
        let sequence = command.sequence_number();
        if self.take_outstanding(sequence, RequestKind::Deliver) {
            // A permanent refusal counts as delivered; any other error requests another attempt.
            use CommandStatus::{EsmeRok, EsmeRxPAppn, EsmeRxRAppn};
            let delivered = matches!(command.status(), EsmeRok | EsmeRxPAppn | EsmeRxRAppn);
            let taken = delivered && command.id() != CommandId::GenericNack;
            events.push(Event::Acknowledged { sequence, taken });
            if matches!(self.state, State::Draining(_)) && self.unacknowledged_receipts == 0 {
                self.state = State::Closed;
                events.push(Event::Unbound);
            }
        }
    }

    fn end(&mut self, reason: &'static str, events: &mut Vec<Event>) {
        self.state = State::Closed;
        events.push(Event::Ended(reason));
    }

    /// Accepts a bind, with `own` as the system_id of the message centre.
    pub fn accept(&mut self, now: Micros, sequence: u32, own: &str, out: &mut BytesMut) {
        let Some(id) = self.unanswered.remove(&sequence) else { return };
        let system_id = COctetString::from_string(own.to_string()).unwrap_or_default();
        let version = (self.version >= 0x34).then_some(InterfaceVersion::Smpp5_0);
        let (mode, pdu): (Mode, Pdu) = match id {
            CommandId::BindTransmitter => {
                let resp = BindTransmitterResp::builder().system_id(system_id).sc_interface_version(version);
                (Mode::Transmitter, resp.build().into())
            }
            CommandId::BindReceiver => {
                let resp = BindReceiverResp::builder().system_id(system_id).sc_interface_version(version);
                (Mode::Receiver, resp.build().into())
            }
            _ => {
                let resp = BindTransceiverResp::builder().system_id(system_id).sc_interface_version(version);
                (Mode::Transceiver, resp.build().into())
            }
        };
        self.state = State::Bound(mode);
        self.last_active = now;
        encode(CommandStatus::EsmeRok, sequence, pdu, out);
    }

    /// Refuses a bind. The peer may try again until the time limit for a bind.
    pub fn refuse(&mut self, sequence: u32, status: CommandStatus, out: &mut BytesMut) {
        self.state = State::Open;
        self.error(sequence, status, out);
    }

    /// Answers a submission with its message_id.
    pub fn submitted(
        &mut self,
        sequence: u32,
        id: &str,
        status: CommandStatus,
        tlvs: Vec<MessageSubmissionResponseTlvValue>,
        out: &mut BytesMut,
    ) {
        let Some(request) = self.unanswered.remove(&sequence) else { return };
        let id = COctetString::from_string(id.to_string()).unwrap_or_default();
        if request == CommandId::DataSm {
            let mut resp = DataSmResp::builder().message_id(id).build();
            for t in tlvs {
                if let MessageSubmissionResponseTlvValue::Other { tag, value } = t {
                    resp.push_tlv(rusmpp_core::tlvs::owned::MessageDeliveryResponseTlvValue::Other {
                        tag,
                        value,
                    });
                }
            }
            encode(status, sequence, resp, out);
        } else {
            encode(status, sequence, SubmitSmResp::new(id, tlvs), out);
        }
    }

    /// Answers a query for a message.
    pub fn queried(
        &mut self,
        sequence: u32,
        id: &str,
        state: MessageState,
        done: Option<Micros>,
        out: &mut BytesMut,
    ) {
        if self.unanswered.remove(&sequence).is_none() {
            return;
        }
        let id = COctetString::from_string(id.to_string()).unwrap_or_default();
        let date = done.map(time::absolute).unwrap_or_default();
        let date = rusmpp_core::types::owned::EmptyOrFullCOctetString::from_string(date).unwrap_or_default();
        encode(CommandStatus::EsmeRok, sequence, QuerySmResp::new(id, date, state, 0), out);
    }

    /// Confirms a withdrawal.
    pub fn cancelled(&mut self, sequence: u32, out: &mut BytesMut) {
        if self.unanswered.remove(&sequence).is_some() {
            encode(CommandStatus::EsmeRok, sequence, Pdu::CancelSmResp, out);
        }
    }

    /// Answers a request with an error.
    pub fn error(&mut self, sequence: u32, status: CommandStatus, out: &mut BytesMut) {
        if let Some(id) = self.unanswered.remove(&sequence) {
            encode_error(id.into(), status, sequence, out);
        }
    }

    /// Sends a receipt to the peer and returns its sequence number.
    pub fn deliver(&mut self, now: Micros, receipt: &Receipt, out: &mut BytesMut) -> u32 {
        let mut sm = receipt.deliver();
        if self.version < 0x34 {
            // By the specification a peer of version 3.3 or earlier gets no TLVs.
            sm.set_tlvs(Vec::<MessageDeliveryRequestTlvValue>::new());
        }
        self.send_request(now, RequestKind::Deliver, sm.into(), out)
    }

    fn send_request(&mut self, now: Micros, kind: RequestKind, pdu: Pdu, out: &mut BytesMut) -> u32 {
        self.last_sequence = if self.last_sequence >= 0x7FFF_FFFF { 1 } else { self.last_sequence + 1 };
        let (sequence, deadline) = (self.last_sequence, now + self.limits.response);
        self.outstanding.insert(sequence, (deadline, kind));
        self.response_deadlines.insert((deadline, sequence));
        match kind {
            RequestKind::Deliver => self.unacknowledged_receipts += 1,
            RequestKind::Enquire => self.enquiry_outstanding = true,
            RequestKind::Unbind => {}
        }
        encode(CommandStatus::EsmeRok, sequence, pdu, out);
        sequence
    }

    /// Sends an unbind to a bound peer; otherwise ends the session at once.
    pub fn unbind(&mut self, now: Micros, out: &mut BytesMut) {
        if matches!(self.state, State::Bound(_)) {
            self.state = State::Unbinding;
            self.send_request(now, RequestKind::Unbind, Pdu::Unbind, out);
        } else {
            self.state = State::Closed;
        }
    }

    /// Returns whether the session has ended.
    pub fn over(&self) -> bool {
        self.state == State::Closed
    }

    /// Returns the time at which [`Session::tick`] is next due.
    pub fn wake(&self) -> Micros {
        let timers = match self.state {
            State::Closed => return Micros::MAX,
            State::Open | State::Binding => self.opened_at + self.limits.session_init,
            State::Unbinding => Micros::MAX,
            State::Draining(since) => return since + UNBIND_GRACE,
            State::Bound(_) => {
                let enquire = if self.enquiry_outstanding {
                    Micros::MAX
                } else {
                    self.last_received + self.limits.enquire_every
                };
                enquire.min(self.last_active + self.limits.inactivity)
            }
        };
        self.response_deadlines.first().map_or(timers, |(deadline, _)| timers.min(*deadline))
    }

    /// Handles timers that are due.
    pub fn tick(&mut self, now: Micros, out: &mut BytesMut, events: &mut Vec<Event>) {
        if self.state == State::Closed || now < self.wake() {
            return;
        }
        if let State::Draining(_) = self.state {
            self.state = State::Closed;
            return events.push(Event::Unbound);
        }
        if matches!(self.state, State::Open | State::Binding) {
            return self.end("no bind in time", events);
        }
        if self.response_deadlines.first().is_some_and(|(deadline, _)| *deadline <= now) {
            // Unacknowledged receipts stay owed; the response timer ends the session.
            return self.end("no response in time", events);
        }
        if let State::Bound(_) = self.state {
            if now >= self.last_active + self.limits.inactivity && self.unanswered.is_empty() {
                return self.unbind(now, out);
            }
            if now >= self.last_active + self.limits.inactivity {
                self.last_active = now;
            }
            if !self.enquiry_outstanding && now >= self.last_received + self.limits.enquire_every {
                self.send_request(now, RequestKind::Enquire, Pdu::EnquireLink, out);
            }
        }
    }
}

fn bind_event(
    mode: Mode,
    system_id: &COctetString<1, 16>,
    password: &COctetString<1, 9>,
    system_type: &COctetString<1, 13>,
    sequence: u32,
) -> Event {
    let (system_id, password) = (system_id.as_str().to_string(), password.as_str().to_string());
    let system_type = system_type.as_str().to_string();
    Event::Bind { mode, system_id, password, system_type, sequence }
}

/// The beginning of a command: its length and its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// The command_length, in bytes.
    pub length: usize,
    /// The command_id.
    pub id: u32,
}

impl FrameHeader {
    /// Returns whether the command is a bind.
    pub fn is_bind(self) -> bool {
        [CommandId::BindReceiver, CommandId::BindTransmitter, CommandId::BindTransceiver]
            .into_iter()
            .any(|bind| u32::from(bind) == self.id)
    }

    /// Returns whether the length is possible, and at most `max_bytes`.
    pub fn has_valid_length(self, max_bytes: usize) -> bool {
        (HEADER..=max_bytes).contains(&self.length)
    }
}

/// Returns the header of the first command of a stream, once it is complete.
pub fn frame_header(bytes: &[u8]) -> Option<FrameHeader> {
    let read_u32 = |at: usize| Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    (bytes.len() >= HEADER).then_some(())?;
    Some(FrameHeader { length: read_u32(0)? as usize, id: read_u32(4)? })
}

/// Returns the system_id in the first command of a stream: `None` while it is incomplete, an empty one if the
/// command is not a bind. An acceptor routes the connection by it before a session exists. The system_id stands within
/// the first bytes of a bind, whatever its length.
pub fn peek_system_id(bytes: &[u8]) -> Option<String> {
    let header = frame_header(bytes)?;
    if !header.is_bind() || header.length < HEADER {
        return Some(String::new());
    }
    let end = bytes.len().min(header.length);
    let body = &bytes[HEADER..end];
    match body.iter().take(SYSTEM_ID_BYTES).position(|b| *b == 0) {
        Some(at) => Some(String::from_utf8_lossy(&body[..at]).into_owned()),
        None if end == header.length || body.len() >= SYSTEM_ID_BYTES => Some(String::new()),
        None => None,
    }
}
