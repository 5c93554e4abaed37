//! Handles CONNECT and writes the CONNACK with the limits of the session.

use super::{Event, MAX_IN_FLIGHT, MAX_TOPIC_ALIASES, MICROS_PER_SECOND, Session, State};
use crate::Micros;
use crate::codec::{self, Connack, Connect, Rejection, Version};
use crate::topics::{MAX_LENGTH, Target, is_topic, parse_target};
use bytes::BytesMut;

impl Session {
    pub(super) fn handle_connect(
        &mut self,
        c: Connect,
        out: &mut BytesMut,
        events: &mut Vec<Event>,
    ) -> Result<(), Rejection> {
        self.version = c.version;
        let will_fault = c.will.as_ref().and_then(|w| {
            if w.publish.retain && c.version == Version::V5 {
                return Some(0x9A);
            }
            let is_message = matches!(parse_target(&w.publish.topic), Some(Target::Message { .. }));
            let reply_is_valid = w.publish.response_topic.as_ref().is_none_or(|r| is_topic(r));
            let correlation_fits = w.publish.correlation.as_ref().is_none_or(|c| c.len() <= MAX_LENGTH);
            // Rejects a will that could not be published later: an error now is better than a lost will.
            (!is_message || !reply_is_valid || !correlation_fits).then_some(0x90)
        });
        let code = if c.enhanced_authentication {
            Some(0x8C)
        } else if c.client_id.len() > MAX_LENGTH
            || c.client_id.contains(['+', '#'])
            || (c.client_id.is_empty() && c.version == Version::V3 && !c.clean)
        {
            // The client identifier is part of a topic, see `default_answer_topic`.
            Some(0x85)
        } else {
            will_fault
        };
        if let Some(code) = code {
            codec::write_refusal(c.version, code, out);
            self.state = State::Closed;
            events.push(Event::Over(Some("its CONNECT was refused")));
            return Ok(());
        }
        self.state = State::AwaitingAdmission;
        self.client_id = c.client_id.clone();
        self.expiry = c.expiry.min(self.limits.expiry);
        self.receive_maximum = c.receive_maximum.min(self.limits.window).min(MAX_IN_FLIGHT);
        self.maximum_packet = c.maximum_packet;
        self.client_alias_maximum = c.topic_alias_maximum.min(MAX_TOPIC_ALIASES);
        self.problem_information = c.problem_information;
        self.will = c.will.clone();
        let requested = Micros::from(c.keep_alive) * MICROS_PER_SECOND;
        let maximum = Micros::from(self.limits.keep_alive) * MICROS_PER_SECOND;
        // Version 3.1.1 has no way to report a shorter keep-alive to the client.
        let effective = if c.version == Version::V5 && maximum > 0 && (requested == 0 || requested > maximum)
        {
            maximum
        } else {
            requested
        };
        self.keep_alive = effective + effective / 2;
        events.push(Event::Connect(Box::new(c)));
        Ok(())
    }

    /// Admits the client. `assigned_client_id` is the client identifier that the server chose, if it did;
    /// `session_present` says that an earlier session with these filters is resumed.
    pub fn admit(
        &mut self,
        assigned_client_id: Option<String>,
        session_present: bool,
        filters: &[(String, u8)],
        out: &mut BytesMut,
    ) {
        if self.state != State::AwaitingAdmission {
            return;
        }
        self.state = State::Open;
        if let Some(id) = &assigned_client_id {
            self.client_id.clone_from(id);
        }
        self.filters = filters.iter().cloned().collect();
        let seconds = u16::try_from(self.keep_alive / MICROS_PER_SECOND * 2 / 3).unwrap_or(u16::MAX);
        let connack = Connack {
            session_present,
            assigned_client_id,
            keep_alive: Some(seconds).filter(|_| self.limits.keep_alive > 0),
            expiry: self.expiry,
            receive_maximum: self.limits.window,
            maximum_packet: self.limits.max_packet,
            topic_alias_maximum: MAX_TOPIC_ALIASES,
        };
        codec::write_connack(self.version, &connack, out);
    }

    /// Refuses the client with a code of version 5.0.
    pub fn refuse(&mut self, code: u8, out: &mut BytesMut) {
        codec::write_refusal(self.version, code, out);
        self.will = None;
        self.state = State::Closed;
    }
}
