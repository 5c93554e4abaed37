//! A member's share of one quota.

use super::{ShareGrant, ShareRequest, Tuning, permille_of};
use crate::Micros;

/// Reports that a lease ended without a new one, so that the share is the floor alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseExpired {
    /// The share before.
    pub before: u64,
    /// The share now.
    pub after: u64,
    /// The amount in use, which may exceed the share; it is kept.
    pub used: u64,
}

/// The result of a tick.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TickOutput {
    /// To be sent to the leader.
    pub request: Option<ShareRequest>,
    /// To be reported.
    pub lease_expired: Option<LeaseExpired>,
}

/// A member's share of one quota, and how much of it is in use.
#[derive(Clone, Debug)]
pub struct QuotaHolder {
    tuning: Tuning,
    member: u32,
    incarnation: u64,
    /// The term and number of the grant in use.
    last_grant: (u64, u64),
    floor: u64,
    leased: u64,
    /// When the lease ends.
    lease_end: Micros,
    used: u64,
    /// The amounts refused in the current interval of [`Tuning::request_interval`] and in the one before. The
    /// current one alone would only hold what arrived since the last request, and the share would grow by
    /// that little per round trip.
    refused_amounts: (u64, u64),
    /// When the current interval began.
    interval_start: Micros,
    /// Whether anything was refused since the last request.
    refused_since_request: bool,
    request_count: u64,
    last_request_at: Option<Micros>,
}

impl QuotaHolder {
    /// Creates the holder of a new incarnation. `floor` is 0, or the last floor that was persisted before it
    /// was used.
    pub fn new(tuning: Tuning, member: u32, incarnation: u64, floor: u64) -> Self {
        QuotaHolder {
            tuning,
            member,
            incarnation,
            last_grant: (0, 0),
            floor,
            leased: 0,
            lease_end: Micros::MIN,
            used: 0,
            refused_amounts: (0, 0),
            interval_start: Micros::MIN,
            refused_since_request: false,
            request_count: 0,
            last_request_at: None,
        }
    }

    /// Returns how much may be used now.
    pub fn share(&self, now: Micros) -> u64 {
        let leased = if now < self.lease_end { self.leased } else { 0 };
        self.floor.saturating_add(leased)
    }

    /// Returns when the share drops to the floor, by the holder's clock; none if it is the floor already.
    pub fn lease_end(&self) -> Option<Micros> {
        (self.leased > 0).then_some(self.lease_end)
    }

    /// Returns how much is in use; this exceeds the share if the share shrank.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Takes an amount of the share. Returns false, and takes nothing, if it does not fit.
    pub fn take(&mut self, now: Micros, amount: u64) -> bool {
        match self.used.checked_add(amount) {
            Some(used) if used <= self.share(now) => {
                self.used = used;
                true
            }
            _ => {
                self.refused_amounts.0 = self.refused_amounts.0.saturating_add(amount);
                self.refused_since_request = true;
                false
            }
        }
    }

    /// Gives an amount back to the share.
    pub fn release(&mut self, amount: u64) {
        self.used = self.used.saturating_sub(amount);
    }

    /// Advances the time: reports the end of a lease, and makes a request when one is due.
    pub fn tick(&mut self, now: Micros) -> TickOutput {
        let mut out = TickOutput::default();
        if self.leased > 0 && now >= self.lease_end {
            let before = self.floor.saturating_add(self.leased);
            self.leased = 0;
            out.lease_expired = Some(LeaseExpired { before, after: self.floor, used: self.used });
        }
        if now >= self.interval_start.saturating_add(self.tuning.request_interval) {
            let is_next_interval =
                now < self.interval_start.saturating_add(self.tuning.request_interval.saturating_mul(2));
            self.refused_amounts = (0, if is_next_interval { self.refused_amounts.0 } else { 0 });
            self.interval_start = now;
        }
        // A holder that refused something needs more soon; one with much unused share has what others may be
        // refused.
        let unused = self.share(now).saturating_sub(self.wanted());
        let urgent = self.refused_since_request
            || self.leased > 0 && unused > permille_of(self.share(now), self.tuning.headroom_permille);
        let wait = if urgent { self.tuning.urgent_interval } else { self.tuning.request_interval };
        if self.last_request_at.is_none_or(|at| now >= at.saturating_add(wait)) {
            out.request = Some(self.make_request(now));
        }
        out
    }

    fn wanted(&self) -> u64 {
        let needed = self.used.saturating_add(self.refused_amounts.0).saturating_add(self.refused_amounts.1);
        let headroom = if needed == 0 {
            0
        } else {
            permille_of(needed, self.tuning.headroom_permille).saturating_add(1)
        };
        needed.saturating_add(headroom)
    }

    fn make_request(&mut self, now: Micros) -> ShareRequest {
        let wanted = self.wanted();
        // The unused lease is given up before the request says so, so that it is never in use here and
        // granted elsewhere at once.
        self.leased = self.leased.min(wanted.saturating_sub(self.floor));
        self.refused_since_request = false;
        self.request_count = self.request_count.saturating_add(1);
        self.last_request_at = Some(now);
        ShareRequest {
            member: self.member,
            incarnation: self.incarnation,
            request_number: self.request_count,
            sent_at: now,
            term: self.last_grant.0,
            grant_number: self.last_grant.1,
            kept: self.leased,
            used: self.used,
            wanted,
        }
    }

    /// Applies a grant. Returns false if it is for another member or incarnation, not newer than the one in
    /// use, or answers a request from the future.
    pub fn apply_grant(&mut self, now: Micros, grant: &ShareGrant) -> bool {
        // A late or repeated older grant would restore a lease that was returned since.
        let newer = (grant.term, grant.grant_number) > self.last_grant;
        if (grant.member, grant.incarnation) != (self.member, self.incarnation)
            || !newer
            || grant.request_sent_at > now
        {
            return false;
        }
        self.last_grant = (grant.term, grant.grant_number);
        self.floor = grant.floor;
        self.leased = grant.leased;
        // The lease counts from when the request was sent. The allocator counts from a later time, and so its
        // lease is longer.
        self.lease_end = grant.request_sent_at.saturating_add(self.tuning.lease);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TUNING: Tuning = Tuning {
        lease: 1_000,
        drift_permille: 100,
        request_interval: 100,
        urgent_interval: 10,
        floor_permille: 100,
        headroom_permille: 100,
    };

    #[test]
    fn a_shrunk_share_keeps_its_use_and_old_grants_are_ignored() {
        let mut holder = QuotaHolder::new(TUNING, 1, 4, 0);
        let grant = |grant_number, request_sent_at, leased| ShareGrant {
            member: 1,
            incarnation: 4,
            term: 2,
            grant_number,
            request_sent_at,
            floor: 5,
            leased,
        };
        assert!(holder.apply_grant(50, &grant(7, 10, 95)));
        assert!(holder.take(1_009, 90) && !holder.take(1_009, 11), "up to the share and no further");
        assert!(!holder.apply_grant(60, &grant(7, 10, 95)), "a repeated grant");
        assert!(!holder.apply_grant(60, &grant(6, 10, 99)), "a late grant");
        assert!(!holder.apply_grant(60, &ShareGrant { term: 1, ..grant(9, 10, 99) }), "of an earlier term");
        assert!(
            !holder.apply_grant(60, &ShareGrant { incarnation: 3, ..grant(9, 10, 99) }),
            "to an earlier incarnation"
        );
        assert!(!holder.apply_grant(60, &grant(8, 61, 99)), "answers a request from the future");
        assert_eq!(holder.share(1_010), 5, "the lease runs from when the request was sent");
        assert!(!holder.take(1_010, 1), "also before the next tick");
        let expired = holder.tick(1_010).lease_expired;
        assert_eq!(
            expired,
            Some(LeaseExpired { before: 100, after: 5, used: 90 }),
            "reported, and nothing dropped"
        );
        assert_eq!(holder.tick(1_011).lease_expired, None, "reported once");
        holder.release(85);
        assert!(!holder.take(1_020, 1), "nothing new above the share");
        holder.release(1);
        assert!(holder.take(1_020, 1));
    }
}
