//! The front for SMPP clients.

use super::{AdmittedSession, ClientRequest, Delivery, Denied, Front, RejectReason, SubmissionContext};
use crate::Micros;
use crate::answers;
use crate::outbox::OwedAnswer;
use bytes::BytesMut;
use heronroute_smpp::receipt::Answer;
use heronroute_smpp::server::{Event, Limits, Mode, Session};
use heronroute_smpp::tags;
use rusmpp_core::CommandStatus;
use rusmpp_core::tlvs::owned::MessageSubmissionResponseTlvValue as Tlv;
use rusmpp_core::types::owned::{AnyOctetString, COctetString};
use rusmpp_core::values::MessageState;

/// The system id that the service gives in bind responses.
const OWN_NAME: &str = "heronroute";

/// One SMPP session.
#[derive(Debug)]
pub struct SmppFront {
    session: Session,
    events: Vec<Event>,
}

impl SmppFront {
    /// Creates the front for a new connection.
    pub fn new(now: Micros, limits: Limits) -> Self {
        SmppFront { session: Session::new(now, limits), events: Vec::new() }
    }

    fn forward_events(&mut self, requests: &mut Vec<ClientRequest>) {
        for event in self.events.drain(..) {
            requests.push(match event {
                Event::Bind { system_id, password, sequence, .. } => {
                    ClientRequest::Admit { name: system_id, password, token: sequence, session: None }
                }
                Event::Submit { sequence, submission, .. } => ClientRequest::Submit {
                    token: sequence,
                    submission,
                    context: Box::new(SubmissionContext::default()),
                },
                Event::Query { sequence, id, source } => ClientRequest::Query { token: sequence, id, source },
                Event::Cancel { sequence, id, source, .. } => {
                    ClientRequest::Withdraw { token: sequence, id, source }
                }
                Event::Acknowledged { sequence, taken } => ClientRequest::Heard { token: sequence, taken },
                Event::Unbound => ClientRequest::Over(None),
                Event::Ended(why) => ClientRequest::Over(Some(why)),
            });
        }
    }
}

impl Front for SmppFront {
    fn receive(
        &mut self,
        now: Micros,
        wall: Micros,
        bytes: &[u8],
        out: &mut BytesMut,
        requests: &mut Vec<ClientRequest>,
    ) {
        self.session.receive(now, wall, bytes, out, &mut self.events);
        self.forward_events(requests);
    }

    fn wake(&self) -> Micros {
        self.session.wake()
    }

    fn tick(&mut self, now: Micros, out: &mut BytesMut, requests: &mut Vec<ClientRequest>) {
        self.session.tick(now, out, &mut self.events);
        self.forward_events(requests);
    }

    fn admitted(
        &mut self,
        now: Micros,
        token: u32,
        result: Result<AdmittedSession, Denied>,
        out: &mut BytesMut,
    ) {
        match result {
            Ok(_) => self.session.accept(now, token, OWN_NAME, out),
            Err(Denied::Name) => self.session.refuse(token, CommandStatus::EsmeRinvsysid, out),
            Err(Denied::Password) => self.session.refuse(token, CommandStatus::EsmeRinvpaswd, out),
            Err(Denied::Leaving | Denied::Busy | Denied::Elsewhere) => {
                self.session.refuse(token, CommandStatus::EsmeRbindfail, out)
            }
        }
    }

    fn entered(&self) -> bool {
        self.session.mode().is_some()
    }

    fn receives(&self) -> bool {
        self.session.mode().is_some_and(Mode::receives)
    }

    fn accepted(&mut self, token: u32, id: &str, out: &mut BytesMut) {
        self.session.submitted(token, id, CommandStatus::EsmeRok, Vec::new(), out);
    }

    fn refused(&mut self, token: u32, reason: RejectReason, out: &mut BytesMut) {
        let status = match reason {
            RejectReason::NotEntered => CommandStatus::EsmeRinvbndsts,
            RejectReason::Rate | RejectReason::Share => CommandStatus::EsmeRthrottled,
            RejectReason::Room | RejectReason::Unsure | RejectReason::Used => CommandStatus::EsmeRmsgqful,
            RejectReason::Class => CommandStatus::EsmeRinvsertyp,
            RejectReason::Address => CommandStatus::EsmeRinvdstadr,
            RejectReason::Time => CommandStatus::EsmeRinvexpiry,
            RejectReason::Message => CommandStatus::EsmeRinvmsgid,
            RejectReason::TooLate => CommandStatus::EsmeRcancelfail,
        };
        self.session.error(token, status, out);
    }

    fn answered(&mut self, token: u32, id: &str, answer: Answer, out: &mut BytesMut) -> bool {
        if self.session.mode().is_none() {
            return false;
        }
        let mut tlvs = Vec::new();
        if answer != Answer::Delivered {
            let word = COctetString::from_string(answer.word().to_string()).unwrap_or_default();
            tlvs.push(Tlv::AdditionalStatusInfoText(word));
        }
        if let Some(wait) = answer.retry_after() {
            let ms = u32::try_from(wait.max(0) / 1_000).unwrap_or(u32::MAX);
            let value = AnyOctetString::from_vec(ms.to_be_bytes().to_vec());
            tlvs.push(Tlv::Other { tag: tags::tag(tags::RETRY_AFTER), value });
        }
        self.session.submitted(token, id, answers::status(answer), tlvs, out);
        true
    }

    fn queried(
        &mut self,
        token: u32,
        id: &str,
        state: MessageState,
        done: Option<Micros>,
        out: &mut BytesMut,
    ) {
        self.session.queried(token, id, state, done, out);
    }

    fn withdrawn(&mut self, token: u32, out: &mut BytesMut) {
        self.session.cancelled(token, out);
    }

    fn room(&self) -> usize {
        self.session.room()
    }

    fn deliver(&mut self, now: Micros, owed: &OwedAnswer, out: &mut BytesMut) -> Delivery {
        Delivery::Sent(self.session.deliver(now, &owed.receipt, out))
    }

    fn leave(&mut self, now: Micros, out: &mut BytesMut, _: &mut Vec<ClientRequest>) {
        self.session.unbind(now, out);
    }
}
