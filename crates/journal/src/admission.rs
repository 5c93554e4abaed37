//! Admission by the state of the journal: decides whether a sender accepts more messages. Does no I/O.
//!
//! Accepted messages must still be answered, and answers need space and time in the journal too, so a slow or
//! full disk would lead to loss. Acceptance therefore stops before the limits are reached, and resumes only
//! well below them, so that it doesn't flap.

use crate::log::Usage;

/// The limits at which acceptance stops.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimits {
    /// The maximum size on disk, in bytes.
    pub most_disk: u64,
    /// The bytes reserved for each open message: its attempts, outcomes and answer.
    pub reserve: u64,
    /// The longest time an entry may wait to become durable, in microseconds.
    pub most_lag: i64,
}

/// Decides whether to accept messages, with hysteresis.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionControl {
    marks: AdmissionLimits,
    shedding: bool,
}

/// Acceptance resumes below this share of a limit.
const RESUME_SHARE: f64 = 0.7;

impl AdmissionControl {
    /// Returns a control that accepts messages at first.
    pub fn new(marks: AdmissionLimits) -> Self {
        AdmissionControl { marks, shedding: false }
    }

    /// Returns whether to refuse messages now. `coming` is the number of bytes of this message and of others
    /// accepted but not yet recorded, so that a large message is not accepted without space for it. `lag` is
    /// how long the oldest entry has waited to become durable.
    pub fn refuses(&mut self, usage: Usage, open: usize, coming: u64, lag: i64) -> bool {
        let needed = usage.octets + (open as u64 * self.marks.reserve).saturating_add(coming);
        let full = needed as f64 / self.marks.most_disk.max(1) as f64;
        let slow = lag as f64 / self.marks.most_lag.max(1) as f64;
        let mark = if self.shedding { RESUME_SHARE } else { 1.0 };
        self.shedding = full >= mark || slow >= mark;
        self.shedding
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn refuses_before_the_limit_and_resumes_well_below_it() {
        let mut s = AdmissionControl::new(AdmissionLimits { most_disk: 1_000, reserve: 10, most_lag: 100 });
        let at = |bytes| Usage { octets: bytes, ..Usage::default() };
        assert!(!s.refuses(at(500), 49, 9, 0));
        assert!(s.refuses(at(500), 49, 10, 0), "the message itself would not fit");
        let mut s = AdmissionControl::new(s.marks);
        assert!(s.refuses(at(500), 50, 0, 0), "open messages need the rest");
        assert!(s.refuses(at(700), 0, 0, 0), "no resumption until well below the limit");
        assert!(!s.refuses(at(699), 0, 0, 0));
        assert!(s.refuses(at(0), 0, 0, 100), "commits are too slow");
        assert!(s.refuses(at(0), 0, 0, 70));
        assert!(!s.refuses(at(0), 0, 0, 69));
    }
}
