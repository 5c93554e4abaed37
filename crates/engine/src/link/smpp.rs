//! Receivers that speak SMPP. The sender binds as transceiver, submit_sm_resp is the outcome, ESME_RTHROTTLED
//! and ESME_RMSGQFUL mean that the receiver rejected the message without processing it, congestion_state is
//! the limit report, and enquire_link is the probe. The messages of a batch are submit_sm PDUs in one write.
//! A vendor TLV may announce a wait (`docs/smpp.md`).

use super::{Link, LinkEvent, OutboundMessage, Reply};
use crate::Micros;
use crate::stream::Stream;
use heronroute::{Finality, LimitReport, Outcome};
use heronroute_config::KindConfig;
use heronroute_smpp::client::{Event, Session};
use heronroute_smpp::server::{Limits, Mode};
use heronroute_smpp::tags;
use rusmpp_core::CommandStatus;
use rusmpp_core::tlvs::owned::{Tlv, TlvValue};
use std::collections::BTreeMap;

/// A connection to a receiver that speaks SMPP.
#[derive(Debug)]
pub struct SmppLink {
    session: Session,
    system_id: String,
    password: String,
    system_type: String,
    /// The message of each open request, by sequence number.
    open_requests: BTreeMap<u32, (u64, usize)>,
    sequence_by_part: BTreeMap<(u64, usize), u32>,
    /// The sequence number of the open probe.
    probe: Option<u32>,
    events: Vec<Event>,
}

impl SmppLink {
    pub fn new(kind: &KindConfig, limits: Limits, sender: usize) -> Self {
        SmppLink {
            session: Session::new(0, limits),
            system_id: kind.system_id.clone(),
            password: kind.password.clone(),
            // Receivers can tell the senders apart by the system_type.
            system_type: format!("sender-{sender}"),
            open_requests: BTreeMap::new(),
            sequence_by_part: BTreeMap::new(),
            probe: None,
            events: Vec::new(),
        }
    }

    fn handle_session_events(&mut self, events: &mut Vec<LinkEvent>) {
        for event in self.events.drain(..) {
            match event {
                Event::Bound => events.push(LinkEvent::Ready),
                Event::BindRefused(_) => events.push(LinkEvent::Unusable("bind refused")),
                Event::Response { sequence, status, tlvs, .. } => {
                    if let Some((call, part)) = self.open_requests.remove(&sequence) {
                        self.sequence_by_part.remove(&(call, part));
                        events.push(LinkEvent::Answered { call, part, reply: reply(status, &tlvs) });
                    }
                }
                Event::EnquiryAnswered { sequence, status } => {
                    if self.probe == Some(sequence) {
                        self.probe = None;
                        events.push(LinkEvent::Probed(reply(status, &[])));
                    }
                }
                // They answer no request, so they say nothing about the sender's messages.
                Event::Stray(_) | Event::Delivered(_) => {}
                Event::Unbound => events.push(LinkEvent::Unusable("unbound by the receiver")),
                Event::Ended(why) => events.push(LinkEvent::Unusable(why)),
            }
        }
    }
}

fn reply(status: CommandStatus, tlvs: &[Tlv]) -> Reply {
    let outcome = match status {
        CommandStatus::EsmeRok => Outcome::Done,
        CommandStatus::EsmeRthrottled | CommandStatus::EsmeRmsgqful => Outcome::Busy,
        // With any other error the receiver has seen the message, and may have processed it.
        _ => Outcome::Error,
    };
    let wait = tags::find_u32(tlvs, tags::RECEIVER_RETRY_AFTER).map_or(0, |ms| Micros::from(ms) * 1_000);
    let congestion = tlvs.iter().find_map(|t| match t.value() {
        Some(TlvValue::CongestionState(c)) => Some(u8::from(*c)),
        _ => None,
    });
    let remaining = congestion.map(|load| 1.0 - f64::from(load.min(100)) / 100.0);
    let report = remaining.map(|remaining| LimitReport { remaining: Some(remaining), limit: None });
    Reply {
        outcome,
        wait: if outcome == Outcome::Busy { wait } else { 0 },
        finality: if outcome == Outcome::Done { Finality::Over } else { Finality::Open },
        report,
    }
}

impl Link for SmppLink {
    fn open(&mut self, now: Micros, stream: &mut Stream, _: &mut Vec<LinkEvent>) {
        let (system_id, password, system_type) = (&self.system_id, &self.password, &self.system_type);
        self.session.send_bind(now, Mode::Transceiver, system_id, password, system_type, &mut stream.out);
    }

    fn send(
        &mut self,
        now: Micros,
        call: u64,
        messages: &[OutboundMessage<'_>],
        stream: &mut Stream,
    ) -> Vec<(u64, u64)> {
        let mut ranges = Vec::with_capacity(messages.len());
        for message in messages {
            let start = stream.position();
            let mut request = message.submission.submit(Some(&message.id));
            // The receiver's own receipts and modes are not requested, because its response is the outcome.
            request.registered_delivery = Default::default();
            let sequence = self.session.request(now, request, &mut stream.out);
            self.open_requests.insert(sequence, (call, message.part));
            self.sequence_by_part.insert((call, message.part), sequence);
            ranges.push((start, stream.position()));
        }
        ranges
    }

    fn probe(&mut self, now: Micros, stream: &mut Stream) {
        self.probe = Some(self.session.enquire(now, &mut stream.out));
    }

    fn receive(&mut self, now: Micros, bytes: &[u8], stream: &mut Stream, events: &mut Vec<LinkEvent>) {
        self.session.receive(now, bytes, &mut stream.out, &mut self.events);
        self.handle_session_events(events);
    }

    fn ended(&mut self, _: Micros, events: &mut Vec<LinkEvent>) {
        events.push(LinkEvent::Unusable("closed by the receiver"));
    }

    fn forget(&mut self, call: u64, part: usize, _: bool) {
        if let Some(sequence) = self.sequence_by_part.remove(&(call, part)) {
            self.open_requests.remove(&sequence);
            self.session.forget(sequence);
        }
    }

    fn close(&mut self, now: Micros, stream: &mut Stream) {
        if self.session.bound() {
            self.session.unbind(now, &mut stream.out);
        }
    }

    fn wake(&self) -> Micros {
        self.session.wake()
    }

    fn tick(&mut self, now: Micros, stream: &mut Stream, events: &mut Vec<LinkEvent>) {
        self.session.tick(now, &mut stream.out, &mut self.events);
        self.handle_session_events(events);
    }
}
