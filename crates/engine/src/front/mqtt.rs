//! The front for MQTT clients.

use super::{
    AdmittedSession, ClientRequest, Delivery, Denied, DisconnectState, Front, RejectReason, SessionRequest,
    SubmissionContext,
};
use crate::Micros;
use crate::outbox::{OwedAnswer, ReplyAddress};
use bytes::BytesMut;
use heronroute_mqtt::session::{Event, Limits, OutgoingAnswer, Session, SubmittedMessage, submitted_message};
use heronroute_seen::{RequestKey, digest};
use heronroute_smpp::receipt::{Answer, word};
use heronroute_smpp::submission::{ReceiptRequest as Receipts, Submission};
use rusmpp_core::values::MessageState;

const SECOND: Micros = 1_000_000;

/// One MQTT connection.
#[derive(Debug)]
pub struct MqttFront {
    session: Session,
    events: Vec<Event>,
}

impl MqttFront {
    /// Creates the front for a new connection.
    pub fn new(now: Micros, limits: Limits) -> Self {
        MqttFront { session: Session::new(now, limits), events: Vec::new() }
    }

    /// Sets whether the client may ask about its rules and the fleet.
    pub fn fleet(mut self, on: bool) -> Self {
        self.session = self.session.fleet(on);
        self
    }

    fn forward_events(&mut self, requests: &mut Vec<ClientRequest>) {
        for event in std::mem::take(&mut self.events) {
            requests.push(match event {
                Event::Connect(c) => ClientRequest::Admit {
                    name: c.user.unwrap_or_default(),
                    password: String::from_utf8(c.password.unwrap_or_default()).unwrap_or_default(),
                    token: 0,
                    session: Some(SessionRequest {
                        name: c.client_id,
                        clean: c.clean,
                        expiry: Micros::from(self.session.expiry()) * SECOND,
                    }),
                },
                Event::Submit(token, h) => {
                    let (submission, context) = to_submission(*h);
                    ClientRequest::Submit {
                        token,
                        submission: Box::new(submission),
                        context: Box::new(context),
                    }
                }
                Event::Query(token, id) => ClientRequest::Query { token, id, source: String::new() },
                Event::Withdraw(token, id) => ClientRequest::Withdraw { token, id, source: String::new() },
                Event::Held(token, words) => ClientRequest::Held { token, words },
                Event::Rules(token, words, body) => ClientRequest::Rules { token, words, body },
                Event::Subscribed(reply) => {
                    ClientRequest::SaveNotes { notes: write_filters(&self.session.filters()), reply }
                }
                Event::Heard(packet) => ClientRequest::Heard { token: u32::from(packet), taken: true },
                Event::Over(why) => ClientRequest::Over(why),
            });
        }
    }
}

/// Converts a published message into the form that all fronts share.
fn to_submission(h: SubmittedMessage) -> (Submission, SubmissionContext) {
    let key = h.key.as_deref().unwrap_or_default();
    let name = h.name.as_deref().unwrap_or_default();
    // The digest covers what stays the same when the message is sent again. That excludes the expiry, which
    // may have counted down.
    let parts = [
        h.address.as_bytes(),
        h.class.as_bytes(),
        key.as_bytes(),
        name.as_bytes(),
        h.reply.as_bytes(),
        &h.correlation,
        &h.payload,
    ];
    // Messages with QoS 0 are never sent again.
    let handle = (h.qos > 0).then(|| RequestKey {
        packet: h.packet,
        digest: digest(u64::from(h.qos), &parts),
        again: h.duplicate,
    });
    let context = SubmissionContext {
        reply: ReplyAddress { topic: h.reply, correlation: h.correlation },
        handle,
        name: h.name,
        may_be_lost: h.qos == 0,
    };
    let submission = Submission {
        service: h.class,
        destination: h.address,
        validity: h.expiry,
        wanted: Receipts::Always,
        key: h.key,
        again: h.again,
        body: h.payload,
        ..Submission::default()
    };
    (submission, context)
}

/// Encodes subscriptions as session notes: QoS, length and filter of each.
fn write_filters(filters: &[(String, u8)]) -> Vec<u8> {
    let mut notes = Vec::new();
    for (filter, qos) in filters {
        let length = u16::try_from(filter.len()).unwrap_or(0).to_be_bytes();
        notes.extend_from_slice(&[*qos, length[0], length[1]]);
        notes.extend_from_slice(filter.as_bytes());
    }
    notes
}

fn read_filters(mut notes: &[u8]) -> Vec<(String, u8)> {
    let mut filters = Vec::new();
    while let [qos, high, low, rest @ ..] = notes {
        let Some((filter, rest)) = rest.split_at_checked(usize::from(u16::from_be_bytes([*high, *low])))
        else {
            break;
        };
        filters.push((String::from_utf8_lossy(filter).into_owned(), *qos));
        notes = rest;
    }
    filters
}

/// Describes the state of a message, as text and as user properties.
fn describe_state(id: &str, word: &str, answer: Option<Answer>) -> (String, Vec<(&'static str, String)>) {
    let mut text = format!("id:{id} stat:{word}");
    let mut properties = vec![("message", id.to_string()), ("state", word.to_string())];
    if let Some(wait) = answer.and_then(Answer::retry_after) {
        let ms = (wait.max(0) / 1_000).to_string();
        text = format!("{text} retry:{ms}");
        properties.push(("retry-after", ms));
    }
    (text, properties)
}

impl Front for MqttFront {
    fn receive(
        &mut self,
        now: Micros,
        _: Micros,
        bytes: &[u8],
        out: &mut BytesMut,
        requests: &mut Vec<ClientRequest>,
    ) {
        self.session.receive(now, bytes, out, &mut self.events);
        self.forward_events(requests);
    }

    fn wake(&self) -> Micros {
        self.session.wake()
    }

    fn tick(&mut self, now: Micros, out: &mut BytesMut, requests: &mut Vec<ClientRequest>) {
        self.session.tick(now, out, &mut self.events);
        self.forward_events(requests);
    }

    fn admitted(&mut self, _: Micros, _: u32, result: Result<AdmittedSession, Denied>, out: &mut BytesMut) {
        match result {
            Ok(entered) => {
                let filters = entered.notes.as_deref().map(read_filters).unwrap_or_default();
                self.session.admit(entered.assigned_name, entered.notes.is_some(), &filters, out);
            }
            Err(Denied::Name | Denied::Password) => self.session.refuse(0x86, out),
            Err(Denied::Leaving | Denied::Elsewhere) => self.session.refuse(0x88, out),
            Err(Denied::Busy) => self.session.refuse(0x89, out),
        }
    }

    fn entered(&self) -> bool {
        self.session.open()
    }

    fn receives(&self) -> bool {
        self.session.open()
    }

    fn accepted(&mut self, token: u32, id: &str, out: &mut BytesMut) {
        self.session.taken(token, id, out);
    }

    fn refused(&mut self, token: u32, reason: RejectReason, out: &mut BytesMut) {
        let state = match reason {
            RejectReason::Message => Some("NOTFOUND"),
            RejectReason::TooLate => Some("TOOLATE"),
            _ => None,
        };
        if let Some(state) = state {
            return self.session.told(
                token,
                format!("stat:{state}"),
                vec![("state", state.to_string())],
                out,
            );
        }
        let code = match reason {
            RejectReason::NotEntered => 0x87,
            RejectReason::Rate
            | RejectReason::Share
            | RejectReason::Room
            | RejectReason::Unsure
            | RejectReason::Used => 0x97,
            RejectReason::Class | RejectReason::Address => 0x90,
            RejectReason::Time | RejectReason::TooLate | RejectReason::Message => 0x83,
        };
        self.session.denied(token, code, out);
    }

    fn answered(&mut self, _: u32, _: &str, _: Answer, _: &mut BytesMut) -> bool {
        // MQTT has no forward mode: the acknowledgement only says that the message was accepted.
        false
    }

    fn queried(&mut self, token: u32, id: &str, state: MessageState, _: Option<Micros>, out: &mut BytesMut) {
        let (text, properties) = describe_state(id, word(state), None);
        self.session.told(token, text, properties, out);
    }

    fn told(&mut self, token: u32, text: String, state: &'static str, out: &mut BytesMut) {
        self.session.told(token, text, vec![("state", state.to_string())], out);
    }

    fn withdrawn(&mut self, token: u32, out: &mut BytesMut) {
        self.session.taken(token, "", out);
    }

    fn room(&self) -> usize {
        self.session.room()
    }

    fn deliver(&mut self, _: Micros, owed: &OwedAnswer, out: &mut BytesMut) -> Delivery {
        if self.session.subscribed_qos(&owed.reply.topic).is_none() {
            return Delivery::NotSubscribed;
        }
        let answer = owed.receipt.answer;
        let (mut text, properties) = describe_state(&owed.receipt.id, answer.word(), Some(answer));
        let plain = owed.reply.correlation.iter().all(u8::is_ascii_graphic);
        if plain && !owed.reply.correlation.is_empty() {
            text = format!("{text} ref:{}", String::from_utf8_lossy(&owed.reply.correlation));
        }
        let telling = OutgoingAnswer {
            topic: &owed.reply.topic,
            correlation: &owed.reply.correlation,
            text,
            user_properties: properties,
            before: owed.before.and_then(|n| u16::try_from(n).ok()),
        };
        match self.session.deliver(&telling, out) {
            Some(packet) => Delivery::Sent(u32::from(packet)),
            None => Delivery::Done,
        }
    }

    fn leave(&mut self, _: Micros, out: &mut BytesMut, requests: &mut Vec<ClientRequest>) {
        self.session.leave(0x8B, out);
        requests.push(ClientRequest::Over(None));
    }

    fn session_taken_over(&mut self, out: &mut BytesMut) {
        self.session.leave(0x8E, out);
    }

    fn refuses(&self) -> bool {
        self.session.refuses()
    }

    fn listens(&self) -> bool {
        self.session.listens()
    }

    fn disconnect_state(&mut self) -> DisconnectState {
        let expiry = Micros::from(self.session.expiry()) * SECOND;
        let will = self.session.will().and_then(|w| {
            let (submission, context) = to_submission(submitted_message(w.publish)?);
            Some((Micros::from(w.delay) * SECOND, Box::new(submission), context.reply))
        });
        DisconnectState { expiry, will }
    }
}

#[cfg(test)]
mod tests;
