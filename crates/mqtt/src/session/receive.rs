//! Handles received packets in order, closes the connection on errors, and runs its timers.

use super::{Event, MAX_FILTERS, Session, State};
use crate::Micros;
use crate::codec::{self, Ack, PROTOCOL_ERROR, Packet, Rejection, Version};
use crate::topics::is_filter;
use bytes::BytesMut;

impl Session {
    /// Handles received bytes: adds events, and writes what the session answers by itself.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut BytesMut, events: &mut Vec<Event>) {
        if self.state == State::Closed {
            return;
        }
        self.just_acknowledged.clear();
        self.decoder.push(bytes);
        // Packets after a CONNECT wait until the caller has decided on it.
        while matches!(self.state, State::AwaitingConnect | State::Open) {
            let Some(packet) = self.decoder.next_packet() else { return };
            self.last_received = now;
            let result = packet.and_then(|p| self.handle_packet(p, out, events));
            if let Err(fault) = result {
                self.close(fault, out, events);
            }
        }
    }

    fn close(&mut self, fault: Rejection, out: &mut BytesMut, events: &mut Vec<Event>) {
        let reason = match fault.0 {
            0x81 => "malformed packet",
            0x82 => "protocol error",
            0x84 => "unknown protocol version",
            0x8C => "enhanced authentication is not offered",
            0x8D => "keep-alive ran out",
            0x90 => "a topic that leads nowhere",
            0x93 => "more publications without acknowledgement than the receive maximum",
            0x94 => "unknown topic alias",
            0x95 => "packet too large",
            0x9A => "retained messages are not kept",
            0xA1 => "subscription identifiers are not offered",
            _ => "refused",
        };
        match self.state {
            State::Open => codec::write_disconnect(self.version, fault.0, Some(reason), out),
            // Peers that don't send a CONNECT get no answer; 0x84 is answered in the form of version 3.1.1.
            State::AwaitingConnect if fault.0 == 0x84 => codec::write_refusal(Version::V3, fault.0, out),
            _ => {}
        }
        self.state = State::Closed;
        events.push(Event::Over(Some(reason)));
    }

    /// Returns the time at which [`Session::tick`] is next due.
    pub fn wake(&self) -> Micros {
        match self.state {
            State::AwaitingConnect | State::AwaitingAdmission => self.opened_at + self.limits.connect_within,
            State::Open if self.keep_alive > 0 => self.last_received + self.keep_alive,
            _ => Micros::MAX,
        }
    }

    /// Handles timers that are due.
    pub fn tick(&mut self, now: Micros, out: &mut BytesMut, events: &mut Vec<Event>) {
        if now < self.wake() {
            return;
        }
        match self.state {
            State::Open => self.close(Rejection(0x8D), out, events),
            State::AwaitingConnect | State::AwaitingAdmission => {
                self.state = State::Closed;
                events.push(Event::Over(Some("no CONNECT in time")));
            }
            State::Closed => {}
        }
    }

    fn handle_packet(
        &mut self,
        packet: Packet,
        out: &mut BytesMut,
        events: &mut Vec<Event>,
    ) -> Result<(), Rejection> {
        match packet {
            Packet::Connect(c) => self.handle_connect(*c, out, events),
            Packet::Publish(p) => self.handle_publish(*p, out, events),
            Packet::Ack(Ack::Puback, packet, _) => {
                // An error code is an acknowledgement too: the publication must not be sent again.
                if self.in_flight.remove(&packet) == Some(true) {
                    self.just_acknowledged.insert(packet);
                    events.push(Event::Heard(packet));
                }
                Ok(())
            }
            Packet::Ack(Ack::Pubrel, packet, _) => {
                let known = self.unreleased_qos2.remove(&packet);
                // The release of a publication acknowledged on an earlier connection may arrive on this one.
                let code = if known || self.version == Version::V3 { 0 } else { 0x92 };
                codec::write_ack(self.version, Ack::Pubcomp, packet, code, &[], out);
                Ok(())
            }
            // The server sends nothing with quality of service 2.
            Packet::Ack(Ack::Pubrec | Ack::Pubcomp, ..) => Err(PROTOCOL_ERROR),
            Packet::Subscribe(packet, filters, has_subscription_id) => {
                if has_subscription_id {
                    return Err(Rejection(0xA1));
                }
                let codes: Vec<u8> = filters.into_iter().map(|(f, qos)| self.subscribe(f, qos)).collect();
                let mut response = BytesMut::new();
                codec::write_suback(self.version, packet, &codes, &mut response);
                events.push(Event::Subscribed(response.into()));
                Ok(())
            }
            Packet::Unsubscribe(packet, filters) => {
                let remove = |f: &String| if self.filters.remove(f).is_some() { 0 } else { 0x11 };
                let codes: Vec<u8> = filters.iter().map(remove).collect();
                let mut response = BytesMut::new();
                codec::write_unsuback(self.version, packet, &codes, &mut response);
                events.push(Event::Subscribed(response.into()));
                Ok(())
            }
            Packet::Ping => {
                codec::write_pingresp(out);
                Ok(())
            }
            Packet::Disconnect(code, expiry) => {
                if let Some(expiry) = expiry {
                    if self.expiry == 0 && expiry > 0 {
                        return Err(PROTOCOL_ERROR);
                    }
                    self.expiry = expiry.min(self.limits.expiry);
                }
                // Any other code, such as 0x04, leaves the will to be published.
                if code == 0 {
                    self.will = None;
                }
                self.state = State::Closed;
                events.push(Event::Over(None));
                Ok(())
            }
            Packet::Auth => Err(PROTOCOL_ERROR),
        }
    }

    fn subscribe(&mut self, filter: String, qos: u8) -> u8 {
        if filter.starts_with("$share/") {
            return 0x9E;
        }
        if !is_filter(&filter) {
            return 0x8F;
        }
        if self.filters.len() >= MAX_FILTERS && !self.filters.contains_key(&filter) {
            return 0x97;
        }
        let granted = qos.min(codec::MAX_GRANTED_QOS);
        self.filters.insert(filter, granted);
        granted
    }
}
