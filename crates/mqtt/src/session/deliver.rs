//! Sends answers: chooses their topic and packet identifier, and fits them into the client's maximum packet
//! size.

use super::{OutgoingAnswer, Session};
use crate::codec::{self, Publish};
use crate::topics::matches_filter;
use bytes::BytesMut;

impl Session {
    /// Answers a query with a publication to its response topic. The answer is dropped if the client has no
    /// subscription for that topic or no room for it.
    pub fn told(
        &mut self,
        token: u32,
        text: String,
        properties: Vec<(&'static str, String)>,
        out: &mut BytesMut,
    ) {
        let reply = self.pending.iter_mut().find(|p| p.token == token).and_then(|p| p.reply.take());
        let reply = reply.or_else(|| self.reply_addresses.remove(&token));
        let (topic, correlation) = reply.unwrap_or_default();
        let answer = OutgoingAnswer {
            topic: &topic,
            correlation: &correlation,
            text,
            user_properties: properties,
            before: None,
        };
        let deliverable = self.subscribed_qos(&topic).is_some() && self.room() > 0;
        self.complete(token, if deliverable { 0 } else { 0x10 }, String::new(), out);
        if deliverable {
            self.send_answer(&answer, false, out);
        }
    }

    /// Returns the maximum quality of service of the subscriptions that match a topic, if any do. An empty
    /// topic is the client's default answer topic.
    pub fn subscribed_qos(&self, topic: &str) -> Option<u8> {
        let own;
        let topic = if topic.is_empty() {
            own = self.default_answer_topic();
            &own
        } else {
            topic
        };
        self.filters.iter().filter(|(f, _)| matches_filter(topic, f)).map(|(_, q)| *q).max()
    }

    fn default_answer_topic(&self) -> String {
        format!("answers/{}", self.client_id)
    }

    /// Returns how many more answers may be sent before one is acknowledged.
    pub fn room(&self) -> usize {
        if !self.open() {
            return 0;
        }
        usize::from(self.receive_maximum).saturating_sub(self.in_flight.len())
    }

    /// Sends an answer to a topic that the client is subscribed to. Returns its packet identifier, or `None`
    /// if the answer needs no acknowledgement: it was sent with quality of service 0, or can't be sent to
    /// this client.
    pub fn deliver(&mut self, answer: &OutgoingAnswer<'_>, out: &mut BytesMut) -> Option<u16> {
        self.send_answer(answer, true, out)
    }

    fn send_answer(&mut self, answer: &OutgoingAnswer<'_>, report: bool, out: &mut BytesMut) -> Option<u16> {
        let own = self.default_answer_topic();
        let topic = if answer.topic.is_empty() { own.as_str() } else { answer.topic };
        let qos = self.subscribed_qos(topic)?;
        let is_free = |id: &u16| !self.in_flight.contains_key(id) && !self.just_acknowledged.contains(id);
        // An answer that was unacknowledged when a connection was lost keeps its packet identifier.
        let resent = answer.before.filter(|p| qos > 0 && is_free(p));
        let packet = match resent {
            Some(p) => p,
            None => {
                // A window is at most half the packet identifiers, so one is always free.
                let mut next = self.last_packet_id.wrapping_add(1).max(1);
                while !is_free(&next) {
                    next = next.wrapping_add(1).max(1);
                }
                self.last_packet_id = next;
                next
            }
        };
        let mut p = Publish {
            topic: topic.to_string(),
            packet,
            qos,
            duplicate: resent.is_some(),
            payload: answer.text.clone().into_bytes(),
            correlation: Some(answer.correlation.to_vec()).filter(|c| !c.is_empty()),
            user_properties: answer
                .user_properties
                .iter()
                .map(|(k, v)| ((*k).to_string(), v.clone()))
                .collect(),
            ..Publish::default()
        };
        let alias_count = self.server_aliases.len();
        self.apply_alias(&mut p);
        let bytes = self.encode_to_fit(p);
        if bytes.is_none() {
            // The packet with the new alias is not sent, so the client never learns the alias.
            self.server_aliases.truncate(alias_count);
        }
        match bytes {
            Some(bytes) => {
                out.extend_from_slice(&bytes);
                if qos == 0 {
                    return None;
                }
                self.in_flight.insert(packet, report);
                Some(packet)
            }
            // By the specification a packet that is too large for the client counts as sent.
            None => None,
        }
    }

    /// Encodes a publication. To fit the client's maximum packet size, it drops user properties other than
    /// the state and the message first, then the payload.
    fn encode_to_fit(&self, mut p: Publish) -> Option<Vec<u8>> {
        let max_bytes = self.maximum_packet as usize;
        for step in 0..3 {
            let bytes = codec::encode_publish(self.version, &p)?;
            if bytes.len() <= max_bytes {
                return Some(bytes);
            }
            match step {
                0 => p.user_properties.retain(|(k, _)| matches!(k.as_str(), "state" | "message")),
                _ => p.payload.clear(),
            }
        }
        None
    }

    fn apply_alias(&mut self, p: &mut Publish) {
        if let Some(index) = self.server_aliases.iter().position(|t| *t == p.topic) {
            p.alias = Some(index as u16 + 1);
            p.topic.clear();
        } else if self.server_aliases.len() < usize::from(self.client_alias_maximum) {
            self.server_aliases.push(p.topic.clone());
            p.alias = Some(self.server_aliases.len() as u16);
        }
    }
}
