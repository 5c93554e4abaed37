//! The message centre's side of a session: towards our clients, and in stand-ins for receivers.
//!
//! The session answers by itself what the specification settles (states, lengths, unknown commands, windows,
//! enquiries, unbinding, timers) and hands on the rest as events, each to be answered under its sequence number.

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

/// How long acknowledgements are heard after the peer has unbound.
const PARTING: Micros = 1_000_000;

/// Figures of a session.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A bind must come within this after the connection.
    pub session_init: Micros,
    /// Silence after which the peer is asked whether it is there.
    pub enquire_every: Micros,
    /// Without any request but enquiries for so long, the session is unbound.
    pub inactivity: Micros,
    /// A response of the peer must come within this.
    pub response: Micros,
    /// Requests that may lack a response, in each direction.
    pub window: usize,
    /// Octets of a command at most.
    pub max_pdu: usize,
}

/// What a bound peer may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It hands in only.
    Transmitter,
    /// It is handed receipts only.
    Receiver,
    /// Both.
    Transceiver,
}

impl Mode {
    /// Whether messages may be handed in.
    pub fn sends(self) -> bool {
        self != Mode::Receiver
    }
    /// Whether receipts may be handed out.
    pub fn receives(self) -> bool {
        self != Mode::Transmitter
    }
}

/// What a session hands on.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A bind, to be answered with [`Session::accept`] or [`Session::refuse`].
    Bind {
        /// What it binds as.
        mode: Mode,
        /// Who it says it is.
        system_id: String,
        /// What it says for proof.
        password: String,
        /// Its system_type.
        system_type: String,
        /// To be given back with the answer.
        sequence: u32,
    },
    /// A message, to be answered with [`Session::submitted`] or [`Session::error`].
    Submit {
        /// To be given back with the answer.
        sequence: u32,
        /// The command that carried it.
        request: CommandId,
        /// What it asks for.
        submission: Box<Submission>,
    },
    /// A question after a message, to be answered with [`Session::queried`] or [`Session::error`].
    Query {
        /// To be given back with the answer.
        sequence: u32,
        /// The message.
        id: String,
        /// The source address that must fit.
        source: String,
    },
    /// A withdrawal, to be answered with [`Session::cancelled`] or [`Session::error`].
    Cancel {
        /// To be given back with the answer.
        sequence: u32,
        /// The message; empty for all that fit the addresses.
        id: String,
        /// The source address that must fit.
        source: String,
        /// The destination address, where no message is named.
        destination: String,
    },
    /// The peer answered a receipt.
    Acknowledged {
        /// The sequence number that [`Session::deliver`] gave.
        sequence: u32,
        /// It took the receipt.
        taken: bool,
    },
    /// The session is over in good order; close once all is written.
    Unbound,
    /// The session is over: close once all is written. Says why.
    Ended(&'static str),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Binding,
    Bound(Mode),
    Unbinding,
    /// The peer has unbound; acknowledgements of receipts that crossed its unbind are still heard.
    Parting(Micros),
    Over,
}

/// One session.
#[derive(Debug)]
pub struct Session {
    limits: Limits,
    decoder: Decoder,
    state: State,
    version: u8,
    next: u32,
    began: Micros,
    heard: Micros,
    active: Micros,
    /// Sequence numbers of the peer's requests that are owed a response, with the command.
    owed: BTreeMap<u32, CommandId>,
    /// Our requests that lack a response, with the time by which it must come.
    asked: BTreeMap<u32, (Micros, Asked)>,
    due: BTreeSet<(Micros, u32)>,
    /// Of `asked`, how many are receipts, and whether an enquiry is among them.
    delivering: usize,
    enquiring: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Deliver,
    Enquire,
    Unbind,
}

impl Session {
    /// A session on a connection that was just made.
    pub fn new(now: Micros, limits: Limits) -> Self {
        Session {
            limits,
            decoder: Decoder::new(limits.max_pdu),
            state: State::Open,
            version: 0x34,
            next: 0,
            began: now,
            heard: now,
            active: now,
            owed: BTreeMap::new(),
            asked: BTreeMap::new(),
            due: BTreeSet::new(),
            delivering: 0,
            enquiring: false,
        }
    }

    /// What the peer is bound as.
    pub fn mode(&self) -> Option<Mode> {
        if let State::Bound(mode) = self.state { Some(mode) } else { None }
    }

    /// Receipts that may go out before one is answered.
    pub fn room(&self) -> usize {
        let receives = self.mode().is_some_and(Mode::receives);
        if receives { self.limits.window.saturating_sub(self.delivering) } else { 0 }
    }

    /// Requests of the peer that lack their response.
    pub fn owed(&self) -> usize {
        self.owed.len()
    }

    /// Takes octets; gives events, and writes what it answers by itself.
    pub fn receive(
        &mut self,
        now: Micros,
        wall: Micros,
        octets: &[u8],
        out: &mut BytesMut,
        events: &mut Vec<Event>,
    ) {
        if self.state == State::Over {
            return;
        }
        self.decoder.push(octets);
        while self.state != State::Over {
            match self.decoder.next_frame() {
                Ok(None) => break,
                Ok(Some(frame)) => {
                    self.heard = now;
                    self.take(now, wall, frame, out, events);
                }
                Err(lost) => {
                    // Nothing after a wrong length can be read: the specification has the session end.
                    encode_nack(CommandStatus::EsmeRinvcmdlen, lost.sequence, out);
                    self.end("wrong command_length", events);
                }
            }
        }
    }

    fn take(&mut self, now: Micros, wall: Micros, frame: Frame, out: &mut BytesMut, events: &mut Vec<Event>) {
        let command = match frame {
            Frame::Command(command) => command,
            Frame::Unreadable { id, sequence, status } => {
                match CommandId::from(id) {
                    CommandId::Other(_) => encode_nack(CommandStatus::EsmeRinvcmdid, sequence, out),
                    // A response that can't be read answers nothing; what it was for will time out.
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
            Pdu::EnquireLinkResp => _ = self.answered(sequence, Asked::Enquire),
            Pdu::DeliverSmResp(_) => self.acknowledged(&command, events),
            Pdu::GenericNack => self.acknowledged(&command, events),
            Pdu::UnbindResp => {
                if self.answered(sequence, Asked::Unbind) {
                    self.state = State::Over;
                    events.push(Event::Unbound);
                }
            }
            Pdu::Unbind => {
                self.active = now;
                if self.state == State::Open || self.state == State::Binding {
                    return encode_error(id.into(), CommandStatus::EsmeRinvbndsts, sequence, out);
                }
                encode(CommandStatus::EsmeRok, sequence, Pdu::UnbindResp, out);
                // Guards against telling an answer twice that was taken while the peer's unbind was on its way.
                if self.delivering > 0 {
                    self.state = State::Parting(now);
                    return;
                }
                self.state = State::Over;
                events.push(Event::Unbound);
            }
            Pdu::BindTransmitter(b) => {
                self.bind(id, sequence, b.interface_version, out).then(|| {
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
                self.bind(id, sequence, b.interface_version, out).then(|| {
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
                self.bind(id, sequence, b.interface_version, out).then(|| {
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
                let read = Submission::from_submit(&sm, wall);
                self.submit(now, id, sequence, read, out, events);
            }
            Pdu::DataSm(sm) => {
                let read = Submission::from_data(&sm);
                self.submit(now, id, sequence, read, out, events);
            }
            Pdu::QuerySm(q) => {
                if self.request(now, id, sequence, out) {
                    let (id, source) = (q.message_id.as_str().into(), q.source_addr.as_str().into());
                    events.push(Event::Query { sequence, id, source });
                }
            }
            Pdu::CancelSm(c) => {
                if self.request(now, id, sequence, out) {
                    let (id, source) = (c.message_id.as_str().into(), c.source_addr.as_str().into());
                    let destination = c.destination_addr.as_str().into();
                    events.push(Event::Cancel { sequence, id, source, destination });
                }
            }
            // Known to the specification, not offered here; it is not an unknown command.
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

    fn bind(&mut self, id: CommandId, sequence: u32, version: InterfaceVersion, out: &mut BytesMut) -> bool {
        if self.state != State::Open {
            encode_error(id.into(), CommandStatus::EsmeRalybnd, sequence, out);
            return false;
        }
        self.version = version.into();
        self.state = State::Binding;
        self.owed.insert(sequence, id);
        true
    }

    /// Whether a bound peer's request may go on; says no to the peer otherwise.
    fn request(&mut self, now: Micros, id: CommandId, sequence: u32, out: &mut BytesMut) -> bool {
        let State::Bound(mode) = self.state else {
            encode_error(id.into(), CommandStatus::EsmeRinvbndsts, sequence, out);
            return false;
        };
        if !mode.sends() {
            encode_error(id.into(), CommandStatus::EsmeRinvbndsts, sequence, out);
            return false;
        }
        self.active = now;
        // Guards against one request taken twice: a number that is still owed its response is a repeat of
        // that request, and is answered with it. An answer of its own would be read as the first one's.
        if self.owed.contains_key(&sequence) {
            return false;
        }
        if self.owed.len() >= self.limits.window {
            encode_error(id.into(), CommandStatus::EsmeRthrottled, sequence, out);
            return false;
        }
        self.owed.insert(sequence, id);
        true
    }

    fn submit(
        &mut self,
        now: Micros,
        id: CommandId,
        sequence: u32,
        read: Result<Submission, CommandStatus>,
        out: &mut BytesMut,
        events: &mut Vec<Event>,
    ) {
        if !self.request(now, id, sequence, out) {
            return;
        }
        match read {
            Ok(s) => events.push(Event::Submit { sequence, request: id, submission: Box::new(s) }),
            Err(status) => self.error(sequence, status, out),
        }
    }

    fn answered(&mut self, sequence: u32, wanted: Asked) -> bool {
        let Some((at, asked)) = self.asked.get(&sequence).copied() else { return false };
        if asked != wanted {
            return false;
        }
        self.asked.remove(&sequence);
        self.due.remove(&(at, sequence));
        match asked {
            Asked::Deliver => self.delivering -= 1,
            Asked::Enquire => self.enquiring = false,
            Asked::Unbind => {}
        }
        true
    }

    /// A response to a receipt; ones with numbers that were never used are passed over.
    fn acknowledged(&mut self, command: &Command, events: &mut Vec<Event>) {
        let sequence = command.sequence_number();
        if self.answered(sequence, Asked::Deliver) {
            // A peer that refuses for good has been told all the same; any other error asks for another try.
            use CommandStatus::{EsmeRok, EsmeRxPAppn, EsmeRxRAppn};
            let told = matches!(command.status(), EsmeRok | EsmeRxPAppn | EsmeRxRAppn);
            let taken = told && command.id() != CommandId::GenericNack;
            events.push(Event::Acknowledged { sequence, taken });
            if matches!(self.state, State::Parting(_)) && self.delivering == 0 {
                self.state = State::Over;
                events.push(Event::Unbound);
            }
        }
    }

    fn end(&mut self, why: &'static str, events: &mut Vec<Event>) {
        self.state = State::Over;
        events.push(Event::Ended(why));
    }

    /// Accepts a bind.
    pub fn accept(&mut self, now: Micros, sequence: u32, own: &str, out: &mut BytesMut) {
        let Some(id) = self.owed.remove(&sequence) else { return };
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
        self.active = now;
        encode(CommandStatus::EsmeRok, sequence, pdu, out);
    }

    /// Refuses a bind. The session stays open for another try, until its time to bind is up.
    pub fn refuse(&mut self, sequence: u32, status: CommandStatus, out: &mut BytesMut) {
        self.state = State::Open;
        self.error(sequence, status, out);
    }

    /// Answers a submission with the message_id it was given.
    pub fn submitted(
        &mut self,
        sequence: u32,
        id: &str,
        status: CommandStatus,
        tlvs: Vec<MessageSubmissionResponseTlvValue>,
        out: &mut BytesMut,
    ) {
        let Some(request) = self.owed.remove(&sequence) else { return };
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

    /// Answers a question after a message.
    pub fn queried(
        &mut self,
        sequence: u32,
        id: &str,
        state: MessageState,
        done: Option<Micros>,
        out: &mut BytesMut,
    ) {
        if self.owed.remove(&sequence).is_none() {
            return;
        }
        let id = COctetString::from_string(id.to_string()).unwrap_or_default();
        let date = done.map(time::absolute).unwrap_or_default();
        let date = rusmpp_core::types::owned::EmptyOrFullCOctetString::from_string(date).unwrap_or_default();
        encode(CommandStatus::EsmeRok, sequence, QuerySmResp::new(id, date, state, 0), out);
    }

    /// Answers a withdrawal that was carried out.
    pub fn cancelled(&mut self, sequence: u32, out: &mut BytesMut) {
        if self.owed.remove(&sequence).is_some() {
            encode(CommandStatus::EsmeRok, sequence, Pdu::CancelSmResp, out);
        }
    }

    /// Answers a request with an error.
    pub fn error(&mut self, sequence: u32, status: CommandStatus, out: &mut BytesMut) {
        if let Some(id) = self.owed.remove(&sequence) {
            encode_error(id.into(), status, sequence, out);
        }
    }

    /// Hands a receipt to the peer; gives the sequence number under which it will be answered.
    pub fn deliver(&mut self, now: Micros, receipt: &Receipt, out: &mut BytesMut) -> u32 {
        let mut sm = receipt.deliver();
        if self.version < 0x34 {
            // A peer of 3.3 or earlier is sent no TLVs, by the specification.
            sm.set_tlvs(Vec::<MessageDeliveryRequestTlvValue>::new());
        }
        self.ask(now, Asked::Deliver, sm.into(), out)
    }

    fn ask(&mut self, now: Micros, what: Asked, pdu: Pdu, out: &mut BytesMut) -> u32 {
        self.next = if self.next >= 0x7FFF_FFFF { 1 } else { self.next + 1 };
        let (sequence, due) = (self.next, now + self.limits.response);
        self.asked.insert(sequence, (due, what));
        self.due.insert((due, sequence));
        match what {
            Asked::Deliver => self.delivering += 1,
            Asked::Enquire => self.enquiring = true,
            Asked::Unbind => {}
        }
        encode(CommandStatus::EsmeRok, sequence, pdu, out);
        sequence
    }

    /// Asks the peer to end the session.
    pub fn unbind(&mut self, now: Micros, out: &mut BytesMut) {
        if matches!(self.state, State::Bound(_)) {
            self.state = State::Unbinding;
            self.ask(now, Asked::Unbind, Pdu::Unbind, out);
        } else {
            self.state = State::Over;
        }
    }

    /// Whether the session has ended.
    pub fn over(&self) -> bool {
        self.state == State::Over
    }

    /// When [`Session::tick`] is next needed.
    pub fn wake(&self) -> Micros {
        let timers = match self.state {
            State::Over => return Micros::MAX,
            State::Open | State::Binding => self.began + self.limits.session_init,
            State::Unbinding => Micros::MAX,
            State::Parting(since) => return since + PARTING,
            State::Bound(_) => {
                let enquire =
                    if self.enquiring { Micros::MAX } else { self.heard + self.limits.enquire_every };
                enquire.min(self.active + self.limits.inactivity)
            }
        };
        self.due.first().map_or(timers, |(at, _)| timers.min(*at))
    }

    /// Acts on timers that fell due.
    pub fn tick(&mut self, now: Micros, out: &mut BytesMut, events: &mut Vec<Event>) {
        if self.state == State::Over || now < self.wake() {
            return;
        }
        if let State::Parting(_) = self.state {
            self.state = State::Over;
            return events.push(Event::Unbound);
        }
        if matches!(self.state, State::Open | State::Binding) {
            return self.end("no bind in time", events);
        }
        if self.due.first().is_some_and(|(at, _)| *at <= now) {
            // Receipts without an answer stay owed; the session is given up, as the response timer has it.
            return self.end("no response in time", events);
        }
        if let State::Bound(_) = self.state {
            if now >= self.active + self.limits.inactivity && self.owed.is_empty() {
                return self.unbind(now, out);
            }
            if now >= self.active + self.limits.inactivity {
                self.active = now;
            }
            if !self.enquiring && now >= self.heard + self.limits.enquire_every {
                self.ask(now, Asked::Enquire, Pdu::EnquireLink, out);
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

/// The system_id in the first command of a stream: `None` while it isn't whole, an empty one where the command
/// is no bind. A front door goes by it before any session exists.
pub fn peek_system_id(octets: &[u8], most: usize) -> Option<String> {
    if octets.len() < HEADER {
        return None;
    }
    let word = |at: usize| u32::from_be_bytes([octets[at], octets[at + 1], octets[at + 2], octets[at + 3]]);
    let (length, id) = (word(0) as usize, word(4));
    if !matches!(id, 1 | 2 | 9) || !(HEADER..=most).contains(&length) {
        return Some(String::new());
    }
    let end = octets.len().min(length);
    let body = &octets[HEADER..end];
    match body.iter().take(16).position(|b| *b == 0) {
        Some(at) => Some(String::from_utf8_lossy(&body[..at]).into_owned()),
        None if end == length || body.len() >= 16 => Some(String::new()),
        None => None,
    }
}
