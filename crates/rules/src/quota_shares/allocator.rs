//! The member that grants shares of one quota, for one term.

use super::{ShareGrant, ShareRequest, Tuning, permille_of};
use crate::Micros;
use std::collections::VecDeque;

/// The number of a holder's grants that may be in effect. At this number its requests are dropped until a
/// grant ends or is superseded by an acknowledged later one.
const MAX_OPEN_GRANTS: usize = 16;

#[derive(Clone, Copy, Debug)]
struct OpenGrant {
    number: u64,
    leased: u64,
    ends_at: Micros,
}

/// The state of one member.
#[derive(Clone, Debug, Default)]
struct Account {
    incarnation: u64,
    last_request: u64,
    last_received: Option<Micros>,
    wanted: u64,
    used: u64,
    /// The number of the last grant.
    last_grant: u64,
    /// The grants from the acknowledged one to the last one, as far as their leases may still run. The member
    /// uses one of them.
    open_grants: VecDeque<OpenGrant>,
    /// What earlier incarnations were leased, and until when.
    earlier_incarnations: (u64, Micros),
    /// The greatest floor that the member may use.
    max_floor: u64,
    /// The floor in use since the grant of this number.
    announced_floor: (u64, u64),
}

impl Account {
    fn max_leased(&self, now: Micros) -> u64 {
        self.open_grants.iter().filter(|g| now < g.ends_at).map(|g| g.leased).max().unwrap_or(0)
    }

    fn leased_to_earlier(&self, now: Micros) -> u64 {
        if now < self.earlier_incarnations.1 { self.earlier_incarnations.0 } else { 0 }
    }

    /// Returns all that the member may use, or uses according to a report within the last lease. Use above
    /// the share was kept on a lease that ended. It reduces what others are leased, so that total use comes
    /// down to the quota before anything new is leased.
    fn committed(&self, now: Micros, tuning: &Tuning) -> u64 {
        let in_use = if self.is_recent(now, tuning) { self.used } else { 0 };
        self.max_floor
            .saturating_add(self.max_leased(now))
            .max(in_use)
            .saturating_add(self.leased_to_earlier(now))
    }

    fn is_recent(&self, now: Micros, tuning: &Tuning) -> bool {
        self.last_received.is_some_and(|at| now < at.saturating_add(tuning.lease))
    }

    /// Starts another incarnation of the member. What the earlier one was leased counts until the lease ends.
    fn start_incarnation(&mut self, now: Micros, incarnation: u64) {
        let until = self.open_grants.iter().map(|g| g.ends_at).max().unwrap_or(self.earlier_incarnations.1);
        self.earlier_incarnations = (
            self.leased_to_earlier(now).saturating_add(self.max_leased(now)),
            until.max(self.earlier_incarnations.1),
        );
        self.open_grants.clear();
        (self.incarnation, self.last_request) = (incarnation, 0);
    }

    /// Records that the member uses this grant and keeps `kept` of its lease.
    fn acknowledge(&mut self, number: u64, kept: u64) {
        self.open_grants.retain(|g| g.number >= number);
        if let Some(oldest) = self.open_grants.front_mut().filter(|g| g.number == number) {
            oldest.leased = oldest.leased.min(kept);
        }
        if number >= self.announced_floor.0 {
            self.max_floor = self.announced_floor.1;
        }
    }
}

/// Grants the shares of one quota to a fixed number of members, for one term. The cost per request grows with
/// the number of members only.
#[derive(Clone, Debug)]
pub struct QuotaAllocator {
    tuning: Tuning,
    term: u64,
    quota: u64,
    now: Micros,
    /// Nothing is granted before this time.
    ready_at: Micros,
    /// Nothing is granted from this time on.
    leader_until: Micros,
    last_grant: u64,
    accounts: Vec<Account>,
}

impl QuotaAllocator {
    /// Creates the allocator of a member that has just become leader. It does not know the grants of earlier
    /// leaders and waits for one whole lease. `floor` is the greatest floor that a member may still use: that
    /// of the greatest quota, with the fewest members, that may still be in use somewhere. A change of the
    /// list of members needs a new term.
    pub fn new(tuning: Tuning, now: Micros, term: u64, members: usize, quota: u64, floor: u64) -> Self {
        let account = Account { max_floor: floor, announced_floor: (0, floor), ..Account::default() };
        QuotaAllocator {
            tuning,
            term,
            quota,
            now,
            ready_at: now.saturating_add(tuning.allocator_lease()),
            leader_until: now,
            last_grant: 0,
            accounts: vec![account; members],
        }
    }

    /// Extends the time for which this member is leader, by its own clock.
    pub fn extend_leadership(&mut self, until: Micros) {
        self.leader_until = self.leader_until.max(until);
    }

    /// Sets a new quota. Grants from a greater quota count until their leases end.
    pub fn set_quota(&mut self, quota: u64) {
        self.quota = quota;
    }

    /// Returns the most that all holders together may use, as far as is known from this term's grants.
    pub fn total_committed(&self, now: Micros) -> u64 {
        self.accounts.iter().fold(0, |sum, a| sum.saturating_add(a.committed(now, &self.tuning)))
    }

    /// Answers a holder's request. Returns none if this member is not leader or not ready, or if the request
    /// is late, repeated, of an earlier incarnation, or invalid.
    pub fn handle_request(&mut self, now: Micros, request: &ShareRequest) -> Option<ShareGrant> {
        self.now = self.now.max(now);
        let now = self.now;
        if now < self.ready_at || now >= self.leader_until {
            return None;
        }
        let member = usize::try_from(request.member).ok()?;
        let account = self.accounts.get_mut(member)?;
        let known = request.term != self.term || request.grant_number <= account.last_grant;
        if !known
            || request.incarnation < account.incarnation
            || request.incarnation == account.incarnation && request.request_number <= account.last_request
        {
            return None;
        }
        if request.incarnation > account.incarnation {
            account.start_incarnation(now, request.incarnation);
        }
        (account.last_request, account.last_received) = (request.request_number, Some(now));
        (account.wanted, account.used) = (request.wanted, request.used);
        account.open_grants.retain(|g| now < g.ends_at);
        if request.term == self.term {
            account.acknowledge(request.grant_number, request.kept);
        }
        if account.open_grants.len() >= MAX_OPEN_GRANTS {
            return None;
        }
        self.make_grant(now, member, request)
    }

    fn make_grant(&mut self, now: Micros, member: usize, request: &ShareRequest) -> Option<ShareGrant> {
        let members = u64::try_from(self.accounts.len()).unwrap_or(u64::MAX).max(1);
        let (floor, fair_level) =
            (permille_of(self.quota, self.tuning.floor_permille.min(1000)) / members, self.fair_level(now));
        let others = self.accounts.iter().enumerate().filter(|(at, _)| *at != member);
        let others = others.fold(0u64, |sum, (_, a)| sum.saturating_add(a.committed(now, &self.tuning)));
        let account = self.accounts.get_mut(member)?;
        let available = self.quota.saturating_sub(others).saturating_sub(account.leased_to_earlier(now));
        let leased_now = account.max_leased(now);
        // A greater floor has to come out of what is free, since members not yet notified of a lowered quota
        // keep their floors.
        let floor = if floor <= account.max_floor.max(available.saturating_sub(leased_now)) {
            floor
        } else {
            account.announced_floor.1
        };
        self.last_grant += 1;
        if floor != account.announced_floor.1 {
            account.announced_floor = (self.last_grant, floor);
            account.max_floor = account.max_floor.max(floor);
        }
        // Holders that want more than there is get equal shares, but what is in use stays with its holder.
        let fair = request.wanted.saturating_sub(floor).min(fair_level);
        let in_use = request.used.saturating_sub(floor).min(leased_now);
        let leased = fair.max(in_use).min(available.saturating_sub(account.max_floor));
        account.last_grant = self.last_grant;
        account.open_grants.push_back(OpenGrant {
            number: self.last_grant,
            leased,
            ends_at: now.saturating_add(self.tuning.allocator_lease()),
        });
        Some(ShareGrant {
            member: request.member,
            incarnation: request.incarnation,
            term: self.term,
            grant_number: self.last_grant,
            request_sent_at: request.sent_at,
            floor,
            leased,
        })
    }

    /// Returns the greatest lease such that each member gets what it wants or as much as any other (max-min
    /// fairness).
    fn fair_level(&self, now: Micros) -> u64 {
        let is_recent = |a: &&Account| a.is_recent(now, &self.tuning);
        let mut wanted_amounts: Vec<u64> =
            self.accounts.iter().filter(is_recent).map(|a| a.wanted.saturating_sub(a.max_floor)).collect();
        wanted_amounts.sort_unstable();
        let floors = self.accounts.iter().fold(0u64, |sum, a| sum.saturating_add(a.max_floor));
        let mut left = self.quota.saturating_sub(floors);
        let mut remaining = u64::try_from(wanted_amounts.len()).unwrap_or(u64::MAX);
        for wanted in wanted_amounts {
            if wanted > left / remaining.max(1) {
                return left / remaining.max(1);
            }
            left -= wanted;
            remaining -= 1;
        }
        u64::MAX
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
        floor_permille: 200,
        headroom_permille: 100,
    };

    fn request(member: u32, request_number: u64, grant_number: u64, kept: u64, wanted: u64) -> ShareRequest {
        ShareRequest {
            member,
            incarnation: 1,
            request_number,
            sent_at: 0,
            term: 3,
            grant_number,
            kept,
            used: kept,
            wanted,
        }
    }

    fn allocator() -> QuotaAllocator {
        let mut allocator = QuotaAllocator::new(TUNING, 0, 3, 2, 100, 10);
        allocator.extend_leadership(9_000);
        allocator
    }

    fn leased(allocator: &mut QuotaAllocator, now: Micros, request: ShareRequest) -> Option<u64> {
        allocator.handle_request(now, &request).map(|g| g.leased)
    }

    #[test]
    fn no_grant_before_one_lease_out_of_charge_or_for_invalid_requests() {
        let mut allocator = allocator();
        assert_eq!(leased(&mut allocator, 1_100, request(0, 1, 0, 0, 50)), None);
        assert_eq!(leased(&mut allocator, 1_101, request(0, 1, 0, 0, 50)), Some(40));
        assert_eq!(leased(&mut allocator, 1_102, request(0, 1, 0, 0, 60)), None, "a repeated request");
        assert_eq!(
            leased(&mut allocator, 1_102, request(0, 2, 7, 0, 60)),
            None,
            "acknowledges a grant that was never made"
        );
        assert_eq!(leased(&mut allocator, 1_102, request(2, 1, 0, 0, 60)), None, "unknown member");
        assert_eq!(
            leased(&mut allocator, 1_103, ShareRequest { incarnation: 0, ..request(0, 9, 0, 0, 0) }),
            None,
            "an earlier incarnation"
        );
        let open =
            (10..99).filter(|n| leased(&mut allocator, 1_200, request(1, *n, 0, 0, 20)).is_some()).count();
        assert_eq!(open, MAX_OPEN_GRANTS, "unacknowledged grants");
        assert_eq!(leased(&mut allocator, 9_000, request(0, 9, 1, 0, 60)), None, "no longer leader");
    }

    #[test]
    fn a_share_is_free_once_returned_or_expired_but_not_while_used() {
        let mut allocator = allocator();
        assert_eq!(leased(&mut allocator, 2_000, request(0, 1, 0, 0, 100)), Some(80));
        assert_eq!(leased(&mut allocator, 2_010, request(0, 2, 0, 0, 20)), Some(10));
        assert_eq!(
            leased(&mut allocator, 2_020, request(1, 1, 0, 0, 90)),
            Some(0),
            "the other may still use its first grant"
        );
        assert_eq!(
            leased(&mut allocator, 2_030, request(0, 3, 1, 30, 40)),
            Some(30),
            "returns 50 of the first grant"
        );
        assert_eq!(leased(&mut allocator, 2_040, request(1, 2, 3, 0, 90)), Some(50));
        let used = ShareRequest { used: 40, ..request(0, 4, 4, 30, 15) };
        assert_eq!(leased(&mut allocator, 2_050, used), Some(30), "the use stays, though less is wanted");
        allocator.set_quota(50);
        assert_eq!(
            leased(&mut allocator, 2_060, request(0, 5, 6, 30, 40)),
            Some(0),
            "a lowered quota takes precedence"
        );
        assert_eq!(allocator.total_committed(2_060), 100, "open grants still count");
        allocator.set_quota(100);
        let other = ShareRequest { incarnation: 2, ..request(1, 1, 0, 0, 50) };
        assert_eq!(
            leased(&mut allocator, 2_070, other),
            Some(0),
            "the lease of an earlier incarnation is not free"
        );
        assert_eq!(
            leased(&mut allocator, 3_171, ShareRequest { request_number: 2, ..other }),
            Some(40),
            "until that lease ends"
        );
        let expired = ShareRequest { used: 45, ..request(0, 6, 0, 0, 45) };
        assert_eq!(
            leased(&mut allocator, 3_180, expired),
            Some(35),
            "kept on an expired lease, and there is room"
        );
        assert_eq!(
            leased(&mut allocator, 3_190, ShareRequest { used: 75, ..request(0, 7, 8, 35, 75) }),
            Some(40)
        );
        assert_eq!(
            leased(
                &mut allocator,
                3_200,
                ShareRequest { request_number: 3, grant_number: 7, kept: 40, ..other }
            ),
            Some(15),
            "until that use is gone"
        );
    }

    #[test]
    fn an_older_floor_counts_until_the_lowering_grant_is_acknowledged() {
        let mut allocator = allocator();
        leased(&mut allocator, 2_000, request(0, 1, 0, 0, 0));
        allocator.set_quota(50);
        leased(&mut allocator, 2_010, request(0, 2, 1, 0, 0));
        leased(&mut allocator, 2_020, request(0, 3, 1, 0, 0));
        assert_eq!(allocator.total_committed(2_020), 20);
        leased(&mut allocator, 2_030, request(0, 4, 2, 0, 0));
        assert_eq!(allocator.total_committed(2_030), 15);
    }
}
