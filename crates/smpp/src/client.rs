//! The ESME side of a session: for the senders of the service towards receivers, and for clients in tests and
//! tools.

use crate::Micros;
use crate::codec::{Decoder, Frame, encode, encode_error, encode_nack};
use crate::server::{Limits, Mode};
use bytes::BytesMut;
use rusmpp_core::CommandStatus;
use rusmpp_core::pdus::owned::*;
use rusmpp_core::tlvs::owned::Tlv;
use rusmpp_core::types::owned::COctetString;
use rusmpp_core::values::{InterfaceVersion, MessageState};
use std::collections::{BTreeMap, BTreeSet};

/// An event that a session reports to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The bind was accepted.
    Bound,
    /// The bind was refused; the session is over.
    BindRefused(CommandStatus),
    /// A response to a request arrived.
    Response {
        /// The sequence number of the request.
        sequence: u32,
        /// The status.
        status: CommandStatus,
        /// The message_id; empty if there is none.
        id: String,
        /// The TLVs.
        tlvs: Vec<Tlv>,
        /// The message state, in the response to a query.
        state: Option<MessageState>,
    },
    /// The peer answered an enquiry.
    EnquiryAnswered {
        /// The sequence number of the enquiry.
        sequence: u32,
        /// The status of the response.
        status: CommandStatus,
    },
    /// A deliver_sm arrived and was answered with success.
    Delivered(Box<DeliverSm>),
    /// A response arrived under a sequence number that was never used or is already answered; it is ignored.
    Stray(u32),
    /// The session is over: the peer unbound, or answered an unbind.
    Unbound,
    /// The session failed and the connection must be closed. Holds the reason.
    Ended(&'static str),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Bind,
    Message,
    Enquire,
    Unbind,
}

/// The session of one connection.
#[derive(Debug)]
pub struct Session {
    limits: Limits,
    decoder: Decoder,
    bound: bool,
    over: bool,
    last_sequence: u32,
    last_received: Micros,
    /// Requests without a response by sequence number, with their deadline and kind.
    outstanding: BTreeMap<u32, (Micros, RequestKind)>,
    /// The deadlines of outstanding requests that have one, with their sequence numbers.
    response_deadlines: BTreeSet<(Micros, u32)>,
    /// The number of outstanding enquiries.
    enquiries: usize,
}

impl Session {
    /// Creates a session on a new connection and writes its bind.
    pub fn bind(
        now: Micros,
        limits: Limits,
        mode: Mode,
        system_id: &str,
        password: &str,
        out: &mut BytesMut,
    ) -> Self {
        let mut s = Session::new(now, limits);
        s.send_bind(now, mode, system_id, password, "", out);
        s
    }

    /// Creates a session that has not bound yet.
    pub fn new(now: Micros, limits: Limits) -> Self {
        Session {
            limits,
            decoder: Decoder::new(limits.max_pdu),
            bound: false,
            over: false,
            last_sequence: 0,
            last_received: now,
            outstanding: BTreeMap::new(),
            response_deadlines: BTreeSet::new(),
            enquiries: 0,
        }
    }

    /// Writes a bind.
    pub fn send_bind(
        &mut self,
        now: Micros,
        mode: Mode,
        system_id: &str,
        password: &str,
        system_type: &str,
        out: &mut BytesMut,
    ) {
        let system_id = COctetString::from_string(system_id.to_string()).unwrap_or_default();
        let password = COctetString::from_string(password.to_string()).unwrap_or_default();
        let version = InterfaceVersion::Smpp3_4;
        let system_type = COctetString::from_string(system_type.to_string()).unwrap_or_default();
        let pdu: Pdu = match mode {
            Mode::Transmitter => BindTransmitter::builder()
                .system_id(system_id)
                .password(password)
                .system_type(system_type)
                .interface_version(version)
                .build()
                .into(),
            Mode::Receiver => BindReceiver::builder()
                .system_id(system_id)
                .password(password)
                .system_type(system_type)
                .interface_version(version)
                .build()
                .into(),
            Mode::Transceiver => BindTransceiver::builder()
                .system_id(system_id)
                .password(password)
                .system_type(system_type)
                .interface_version(version)
                .build()
                .into(),
        };
        self.send_request(now, RequestKind::Bind, Some(self.limits.response), pdu, out);
    }

    /// Returns whether the bind was accepted and the session is not over.
    pub fn bound(&self) -> bool {
        self.bound && !self.over
    }

    /// Writes a request and returns its sequence number. The session sets no deadline for the response; the
    /// caller may.
    pub fn request(&mut self, now: Micros, pdu: impl Into<Pdu>, out: &mut BytesMut) -> u32 {
        self.send_request(now, RequestKind::Message, None, pdu.into(), out)
    }

    /// Writes an enquiry for the caller and returns its sequence number.
    pub fn enquire(&mut self, now: Micros, out: &mut BytesMut) -> u32 {
        self.send_request(now, RequestKind::Enquire, Some(self.limits.response), Pdu::EnquireLink, out)
    }

    /// Writes an unbind.
    pub fn unbind(&mut self, now: Micros, out: &mut BytesMut) {
        self.send_request(now, RequestKind::Unbind, Some(self.limits.response), Pdu::Unbind, out);
    }

    /// Forgets a request; a later response to it is reported as [`Event::Stray`].
    pub fn forget(&mut self, sequence: u32) {
        if let Some((deadline, kind)) = self.outstanding.remove(&sequence) {
            self.response_deadlines.remove(&(deadline, sequence));
            self.enquiries -= usize::from(kind == RequestKind::Enquire);
        }
    }

    /// Returns the number of message requests without a response.
    pub fn out(&self) -> usize {
        self.outstanding.values().filter(|request| request.1 == RequestKind::Message).count()
    }

    fn send_request(
        &mut self,
        now: Micros,
        kind: RequestKind,
        timeout: Option<Micros>,
        pdu: Pdu,
        out: &mut BytesMut,
    ) -> u32 {
        self.last_sequence = if self.last_sequence >= 0x7FFF_FFFF { 1 } else { self.last_sequence + 1 };
        let deadline = timeout.map_or(Micros::MAX, |t| now + t);
        self.outstanding.insert(self.last_sequence, (deadline, kind));
        self.enquiries += usize::from(kind == RequestKind::Enquire);
        if timeout.is_some() {
            self.response_deadlines.insert((deadline, self.last_sequence));
        }
        encode(CommandStatus::EsmeRok, self.last_sequence, pdu, out);
        self.last_sequence
    }

    /// Handles received bytes: adds events, and writes what the session answers by itself.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut BytesMut, events: &mut Vec<Event>) {
        self.decoder.push(bytes);
        while !self.over {
            match self.decoder.next_frame() {
                Ok(None) => break,
                Ok(Some(frame)) => {
                    self.last_received = now;
                    self.handle_frame(frame, out, events);
                }
                Err(error) => {
                    encode_nack(CommandStatus::EsmeRinvcmdlen, error.sequence, out);
                    self.over = true;
                    events.push(Event::Ended("wrong command_length"));
                }
            }
        }
    }

    fn handle_frame(&mut self, frame: Frame, out: &mut BytesMut, events: &mut Vec<Event>) {
        let command = match frame {
            Frame::Command(command) => command,
            Frame::Unreadable { id, sequence, status } => {
                if id & 0x8000_0000 != 0 {
                    // The response belongs to this request, but its content is unknown: the message may have
                    // had an effect.
                    self.handle_response(
                        sequence,
                        CommandStatus::EsmeRunknownerr,
                        String::new(),
                        &[],
                        None,
                        events,
                    );
                } else {
                    encode_error(id, status, sequence, out);
                }
                return;
            }
        };
        let (sequence, status) = (command.sequence_number(), command.status());
        let Some(pdu) = command.pdu() else { return };
        match pdu {
            Pdu::EnquireLink => encode(CommandStatus::EsmeRok, sequence, Pdu::EnquireLinkResp, out),
            Pdu::Unbind => {
                encode(CommandStatus::EsmeRok, sequence, Pdu::UnbindResp, out);
                self.over = true;
                events.push(Event::Unbound);
            }
            Pdu::DeliverSm(sm) => {
                encode(CommandStatus::EsmeRok, sequence, DeliverSmResp::default(), out);
                events.push(Event::Delivered(Box::new(sm.clone())));
            }
            Pdu::SubmitSmResp(r) => {
                self.handle_response(
                    sequence,
                    status,
                    r.message_id().as_str().into(),
                    r.tlvs(),
                    None,
                    events,
                );
            }
            Pdu::DataSmResp(r) => {
                self.handle_response(
                    sequence,
                    status,
                    r.message_id().as_str().into(),
                    r.tlvs(),
                    None,
                    events,
                );
            }
            Pdu::QuerySmResp(r) => {
                let (id, state) = (r.message_id.as_str().into(), Some(r.message_state));
                self.handle_response(sequence, status, id, &[], state, events);
            }
            _ if u32::from(command.id()) & 0x8000_0000 != 0 => {
                // A successful response of another type must not count as a delivery: the message may have
                // had an effect, so its status is unknown.
                let is_message =
                    self.outstanding.get(&sequence).is_some_and(|(_, kind)| *kind == RequestKind::Message);
                let wrong_type = is_message && status == CommandStatus::EsmeRok;
                let status = if wrong_type { CommandStatus::EsmeRunknownerr } else { status };
                self.handle_response(sequence, status, String::new(), &[], None, events);
            }
            _ => encode_nack(CommandStatus::EsmeRinvcmdid, sequence, out),
        }
    }

    fn handle_response(
        &mut self,
        sequence: u32,
        status: CommandStatus,
        id: String,
        tlvs: &[Tlv],
        state: Option<MessageState>,
        events: &mut Vec<Event>,
    ) {
        let Some((deadline, kind)) = self.outstanding.remove(&sequence) else {
            return events.push(Event::Stray(sequence));
        };
        self.response_deadlines.remove(&(deadline, sequence));
        self.enquiries -= usize::from(kind == RequestKind::Enquire);
        match kind {
            RequestKind::Bind if status == CommandStatus::EsmeRok => {
                self.bound = true;
                events.push(Event::Bound);
            }
            RequestKind::Bind => {
                self.over = true;
                events.push(Event::BindRefused(status));
            }
            RequestKind::Message => {
                events.push(Event::Response { sequence, status, id, tlvs: tlvs.to_vec(), state });
            }
            RequestKind::Enquire => events.push(Event::EnquiryAnswered { sequence, status }),
            RequestKind::Unbind => {
                self.over = true;
                events.push(Event::Unbound);
            }
        }
    }

    /// Returns the time at which [`Session::tick`] is next due.
    pub fn wake(&self) -> Micros {
        if self.over {
            return Micros::MAX;
        }
        let enquire = if self.enquiries > 0 || !self.bound {
            Micros::MAX
        } else {
            self.last_received + self.limits.enquire_every
        };
        self.response_deadlines.first().map_or(enquire, |(deadline, _)| enquire.min(*deadline))
    }

    /// Handles timers that are due: sends enquiries, and ends the session if a response is missing.
    pub fn tick(&mut self, now: Micros, out: &mut BytesMut, events: &mut Vec<Event>) {
        if now < self.wake() {
            return;
        }
        if self.response_deadlines.first().is_some_and(|(deadline, _)| *deadline <= now) {
            self.over = true;
            return events.push(Event::Ended("no response in time"));
        }
        self.enquire(now, out);
    }
}
