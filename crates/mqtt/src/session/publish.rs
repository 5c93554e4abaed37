//! Handles publications of the client and acknowledges them in order.

use super::types::submitted_message;
use super::{Event, MAX_TOPIC_ALIASES, Pending, Session};
use crate::codec::{self, Ack, PROTOCOL_ERROR, Publish, Rejection, Version};
use crate::topics::{MAX_LENGTH, Target, is_topic, parse_target};
use bytes::BytesMut;

impl Session {
    pub(super) fn handle_publish(
        &mut self,
        mut p: Publish,
        out: &mut BytesMut,
        events: &mut Vec<Event>,
    ) -> Result<(), Rejection> {
        if p.retain && self.version == Version::V5 {
            return Err(Rejection(0x9A));
        }
        self.resolve_alias(&mut p)?;
        if p.qos > 0 {
            if p.qos == 2 && self.unreleased_qos2.contains(&p.packet) {
                // The identifier belongs to an exchange in progress.
                let undecided = self.pending.iter().any(|w| w.qos == 2 && w.packet == p.packet);
                if !undecided {
                    codec::write_ack(self.version, Ack::Pubrec, p.packet, 0, &[], out);
                }
                return Ok(());
            }
            let in_use = self.pending.iter().any(|w| w.packet == p.packet);
            if in_use && !p.duplicate {
                return Err(PROTOCOL_ERROR);
            }
            if self.version == Version::V5 && self.receive_window_full() {
                return Err(Rejection(0x93));
            }
        }
        let token = self.next_token;
        self.next_token = self.next_token.wrapping_add(1);
        let request =
            parse_target(&p.topic).filter(|t| self.serves_rules_topics || !matches!(t, Target::Rules(_)));
        let is_query = matches!(request, Some(Target::Ask(_) | Target::Withdraw(_) | Target::Held(_)));
        if p.qos > 0 || is_query {
            let reply = is_query.then(|| {
                (p.response_topic.clone().unwrap_or_default(), p.correlation.clone().unwrap_or_default())
            });
            self.pending.push_back(Pending { token, packet: p.packet, qos: p.qos, outcome: None, reply });
        }
        match p.qos {
            1 => self.unacknowledged_qos1 += 1,
            2 => _ = self.unreleased_qos2.insert(p.packet),
            _ => {}
        }
        let fault = if p.response_topic.as_ref().is_some_and(|r| !r.is_empty() && !is_topic(r)) {
            Some(0x90)
        } else if p.correlation.as_ref().is_some_and(|c| c.len() > MAX_LENGTH) {
            Some(0x97)
        } else {
            None
        };
        let event = match (fault, request) {
            (Some(code), _) => Err(code),
            (None, Some(Target::Rules(levels))) => {
                let reply = (p.response_topic.unwrap_or_default(), p.correlation.unwrap_or_default());
                self.reply_addresses.insert(token, reply);
                events.push(Event::Rules(token, levels, p.payload));
                // Acknowledged at once: members have to agree on the answer, and acknowledgements go out in
                // order, so a slow answer would delay those of all later messages.
                self.complete(token, 0, String::new(), out);
                return Ok(());
            }
            (None, Some(Target::Ask(id))) => Ok(Event::Query(token, id)),
            (None, Some(Target::Withdraw(id))) => Ok(Event::Withdraw(token, id)),
            (None, Some(Target::Held(levels))) => Ok(Event::Held(token, levels)),
            (None, Some(Target::Message { .. })) => {
                Ok(Event::Submit(token, Box::new(submitted_message(p).ok_or(PROTOCOL_ERROR)?)))
            }
            (None, None) => Err(0x90),
        };
        match event {
            Ok(event) => events.push(event),
            // Version 3.1.1 can't refuse a publication, and acknowledging it would lose the message silently.
            Err(code) if self.version == Version::V3 => return Err(Rejection(code)),
            Err(code) => self.complete(token, code, String::new(), out),
        }
        Ok(())
    }

    /// Replaces a topic alias with its topic, and stores new aliases.
    fn resolve_alias(&mut self, p: &mut Publish) -> Result<(), Rejection> {
        match p.alias {
            None if p.topic.is_empty() => return Err(PROTOCOL_ERROR),
            None => {}
            Some(0) => return Err(Rejection(0x94)),
            Some(alias) if alias > MAX_TOPIC_ALIASES => return Err(Rejection(0x94)),
            Some(alias) => {
                let index = usize::from(alias) - 1;
                if p.topic.is_empty() {
                    let known = self.client_aliases.get(index).filter(|t| !t.is_empty());
                    p.topic.clone_from(known.ok_or(PROTOCOL_ERROR)?);
                } else if p.topic.len() <= MAX_LENGTH {
                    if self.client_aliases.len() <= index {
                        self.client_aliases.resize(index + 1, String::new());
                    }
                    self.client_aliases[index].clone_from(&p.topic);
                }
            }
        }
        Ok(())
    }

    /// Sets the outcome of a publication, and writes the acknowledgements that are due: all go out in the
    /// order in which the publications arrived.
    pub(super) fn complete(&mut self, token: u32, code: u8, id: String, out: &mut BytesMut) {
        let found = self.pending.iter_mut().find(|p| p.token == token);
        if let Some(p) = found {
            p.outcome = Some((code, id));
        }
        while self.pending.front().is_some_and(|p| p.outcome.is_some()) {
            let Some(Pending { packet, qos, outcome: Some((code, id)), .. }) = self.pending.pop_front()
            else {
                break;
            };
            self.unacknowledged_qos1 -= usize::from(qos == 1);
            if qos == 0 {
                continue;
            }
            let kind = if qos == 2 { Ack::Pubrec } else { Ack::Puback };
            if qos == 2 && code >= 0x80 && self.version == Version::V5 {
                // A refusal ends the exchange of quality of service 2.
                self.unreleased_qos2.remove(&packet);
            }
            let user_properties = [("message", id.as_str())];
            let user_properties =
                if self.problem_information && !id.is_empty() { &user_properties[..] } else { &[] };
            codec::write_ack(self.version, kind, packet, code, user_properties, out);
        }
    }

    /// Acknowledges a message that was accepted under the identity `id`.
    pub fn taken(&mut self, token: u32, id: &str, out: &mut BytesMut) {
        self.complete(token, 0, id.to_string(), out);
    }

    /// Refuses a request with a code of version 5.0.
    pub fn denied(&mut self, token: u32, code: u8, out: &mut BytesMut) {
        self.complete(token, code, String::new(), out);
    }
}
