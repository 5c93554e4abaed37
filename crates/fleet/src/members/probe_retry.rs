//! Repeats an unanswered direct probe. In a large installation other members probe indirectly on this one's
//! behalf; among three members there is only one other, and without retries two lost messages would raise a
//! suspicion.

use super::state::Members;
use super::wire::{self, Packet};
use crate::Micros;
use foca::{Message, ProbeNumber};

/// A probe that hasn't been answered.
pub(super) struct ProbeRetry {
    to: usize,
    key: u64,
    number: ProbeNumber,
    bytes: Vec<u8>,
    next: Micros,
    left: usize,
}

impl ProbeRetry {
    /// Shifts the next retry by the time for which the process didn't run.
    pub fn shift(&mut self, by: Micros) {
        self.next = self.next.saturating_add(by);
    }
}

impl Members {
    /// Remembers the probe that was just sent: the last ping in the outbox beyond the first `before`
    /// messages.
    pub(super) fn remember_probe(&mut self, now: Micros, before: usize) {
        self.probe_retry = None;
        let ping = |(to, bytes): &(usize, Vec<u8>)| match wire::read(bytes)? {
            Packet::Swim(swim) => match swim.header.message {
                Message::Ping(number) => Some((*to, swim.header.dst.key, number, bytes.clone())),
                _ => None,
            },
            Packet::Extension(_) => None,
        };
        let Some((to, key, number, bytes)) = self.out.sends.iter().skip(before).find_map(ping) else {
            return;
        };
        let next = now.saturating_add(self.tuning.rtt);
        self.probe_retry = Some(ProbeRetry { to, key, number, bytes, next, left: self.tuning.probe_retries });
    }

    /// Ends the retries if a message answers the probe, directly or through another member.
    pub(super) fn settle_probe(&mut self, index: usize, message: &Message<super::member_id::MemberId>) {
        let Some(retry) = &self.probe_retry else { return };
        let answers = match message {
            Message::Ack(number) => index == retry.to && *number == retry.number,
            Message::ForwardedAck { origin, probe_number } => {
                origin.key == retry.key && *probe_number == retry.number
            }
            _ => false,
        };
        if answers {
            self.probe_retry = None;
        }
    }

    /// Returns the time of the next retry.
    pub(super) fn probe_retry_at(&self) -> Option<Micros> {
        self.probe_retry.as_ref().map(|retry| retry.next)
    }

    /// Sends the probe again if that is due. Retries are spread evenly over the rest of the probe period.
    pub(super) fn retry_probe(&mut self, now: Micros) {
        let tuning = &self.tuning;
        let every = (tuning.period - tuning.rtt) / (tuning.probe_retries as Micros + 1);
        let Some(retry) = self.probe_retry.as_mut().filter(|retry| retry.next <= now) else { return };
        retry.next = now.saturating_add(every.max(1));
        let (to, bytes) = (retry.to, retry.bytes.clone());
        retry.left = retry.left.saturating_sub(1);
        if retry.left == 0 {
            self.probe_retry = None;
        }
        self.out.send(&self.rows, to, bytes);
    }
}
