//! The probe under way, asked again of its target itself. Where there are many members, others probe for this one; among
//! three there is one other, and two messages lost would make a suspicion.

use super::state::Members;
use super::wire::{self, Packet};
use crate::Micros;
use foca::{Message, ProbeNumber};

/// A probe that has not been answered.
pub(super) struct ProbeRetry {
    to: usize,
    key: u64,
    number: ProbeNumber,
    bytes: Vec<u8>,
    next: Micros,
    left: usize,
}

impl ProbeRetry {
    /// The process did not run for so long.
    pub fn shift(&mut self, by: Micros) {
        self.next = self.next.saturating_add(by);
    }
}

impl Members {
    /// A probe has begun: the last that was put out since the outbox held so many.
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
        self.probe_retry = Some(ProbeRetry { to, key, number, bytes, next, left: self.tuning.again });
    }

    /// A message may answer it: by the target itself, or through another.
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

    /// When it is asked again.
    pub(super) fn probe_retry_at(&self) -> Option<Micros> {
        self.probe_retry.as_ref().map(|retry| retry.next)
    }

    /// Asks again, as far as due: evenly over what is left of the period.
    pub(super) fn retry_probe(&mut self, now: Micros) {
        let tuning = &self.tuning;
        let every = (tuning.period - tuning.rtt) / (tuning.again as Micros + 1);
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
