//! Who has been handed how much of one figure, in one term.

use super::{ShareGrant, ShareRequest, Tuning, permille_of};
use crate::Micros;
use std::collections::VecDeque;

/// Grants to one holder that may all be the one it goes by. Where there are so many, its asks are dropped until one is
/// over or it names a later one.
const MAX_OPEN_GRANTS: usize = 16;

#[derive(Clone, Copy, Debug)]
struct OpenGrant {
    number: u64,
    leased: u64,
    ends_at: Micros,
}

/// What one member may have.
#[derive(Clone, Debug, Default)]
struct Account {
    incarnation: u64,
    last_request: u64,
    last_received: Option<Micros>,
    wanted: u64,
    used: u64,
    /// The last grant's number.
    last_grant: u64,
    /// From the one that it goes by to the last, as far as their leases may hold; it goes by one of them.
    open_grants: VecDeque<OpenGrant>,
    /// Of earlier lives, and until when.
    earlier_incarnations: (u64, Micros),
    /// The greatest floor it may go by.
    max_floor: u64,
    /// The floor told since the grant of this number.
    announced_floor: (u64, u64),
}

impl Account {
    fn max_leased(&self, now: Micros) -> u64 {
        self.open_grants.iter().filter(|g| now < g.ends_at).map(|g| g.leased).max().unwrap_or(0)
    }

    fn leased_to_earlier(&self, now: Micros) -> u64 {
        if now < self.earlier_incarnations.1 { self.earlier_incarnations.0 } else { 0 }
    }

    /// All that it may use, or uses as it said within a lease. More used than may be was kept on a lease that ended; what
    /// others are lent shrinks by it, so that what all keep comes down to the figure before anything new is lent.
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

    /// Another life of the member: what the earlier one was lent counts to its end.
    fn start_incarnation(&mut self, now: Micros, incarnation: u64) {
        let until = self.open_grants.iter().map(|g| g.ends_at).max().unwrap_or(self.earlier_incarnations.1);
        self.earlier_incarnations = (
            self.leased_to_earlier(now).saturating_add(self.max_leased(now)),
            until.max(self.earlier_incarnations.1),
        );
        self.open_grants.clear();
        (self.incarnation, self.last_request) = (incarnation, 0);
    }

    /// It goes by this grant, of which it keeps so much.
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

/// Hands out the parts of one figure, in one term, among so many members. Cost per ask grows with the members alone.
#[derive(Clone, Debug)]
pub struct QuotaAllocator {
    tuning: Tuning,
    term: u64,
    quota: u64,
    now: Micros,
    /// Nothing is handed out before it.
    ready_at: Micros,
    /// Nor from then on.
    in_charge_until: Micros,
    last_grant: u64,
    accounts: Vec<Account>,
}

impl QuotaAllocator {
    /// Of the member that is in charge from now on. It knows nothing of earlier lenders' grants and waits one whole lease.
    /// `floor` is the greatest floor that a member may still go by: that of the greatest figure, among the fewest
    /// members, that not all have left behind. Another list of members needs another term.
    pub fn new(tuning: Tuning, now: Micros, term: u64, members: usize, quota: u64, floor: u64) -> Self {
        let account = Account { max_floor: floor, announced_floor: (0, floor), ..Account::default() };
        QuotaAllocator {
            tuning,
            term,
            quota,
            now,
            ready_at: now.saturating_add(tuning.allocator_lease()),
            in_charge_until: now,
            last_grant: 0,
            accounts: vec![account; members],
        }
    }

    /// In charge until then, by its own clock.
    pub fn extend_charge(&mut self, until: Micros) {
        self.in_charge_until = self.in_charge_until.max(until);
    }

    /// The plan's figure is another now. What was handed out of a greater one counts to the end of its lease.
    pub fn set_quota(&mut self, quota: u64) {
        self.quota = quota;
    }

    /// The most that all holders may use together, as far as this term's grants tell.
    pub fn total_committed(&self, now: Micros) -> u64 {
        self.accounts.iter().fold(0, |sum, a| sum.saturating_add(a.committed(now, &self.tuning)))
    }

    /// Answers a holder. Nothing where it is not in charge or not ready, or the ask is late, doubled, of an earlier life
    /// or makes no sense.
    pub fn handle_request(&mut self, now: Micros, request: &ShareRequest) -> Option<ShareGrant> {
        self.now = self.now.max(now);
        let now = self.now;
        if now < self.ready_at || now >= self.in_charge_until {
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
        // A greater floor only out of what is free, as members not yet told of a lowered figure keep theirs.
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
        // Even among those that want more than there is; but what is used stays with its holder.
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

    /// The most that each may be lent so that all have as much as they want or as any other.
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
        allocator.extend_charge(9_000);
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
        assert_eq!(leased(&mut allocator, 1_102, request(0, 1, 0, 0, 60)), None, "twice");
        assert_eq!(
            leased(&mut allocator, 1_102, request(0, 2, 7, 0, 60)),
            None,
            "names a grant that was never given"
        );
        assert_eq!(leased(&mut allocator, 1_102, request(2, 1, 0, 0, 60)), None, "no member");
        assert_eq!(
            leased(&mut allocator, 1_103, ShareRequest { incarnation: 0, ..request(0, 9, 0, 0, 0) }),
            None,
            "an earlier life"
        );
        let open =
            (10..99).filter(|n| leased(&mut allocator, 1_200, request(1, *n, 0, 0, 20)).is_some()).count();
        assert_eq!(open, MAX_OPEN_GRANTS, "grants that nobody names");
        assert_eq!(leased(&mut allocator, 9_000, request(0, 9, 1, 0, 60)), None, "not in charge");
    }

    #[test]
    fn a_share_is_free_once_returned_or_expired_but_not_while_used() {
        let mut allocator = allocator();
        assert_eq!(leased(&mut allocator, 2_000, request(0, 1, 0, 0, 100)), Some(80));
        assert_eq!(leased(&mut allocator, 2_010, request(0, 2, 0, 0, 20)), Some(10));
        assert_eq!(
            leased(&mut allocator, 2_020, request(1, 1, 0, 0, 90)),
            Some(0),
            "it may still go by the first"
        );
        assert_eq!(
            leased(&mut allocator, 2_030, request(0, 3, 1, 30, 40)),
            Some(30),
            "gives 50 of the first back"
        );
        assert_eq!(leased(&mut allocator, 2_040, request(1, 2, 3, 0, 90)), Some(50));
        let used = ShareRequest { used: 40, ..request(0, 4, 4, 30, 15) };
        assert_eq!(leased(&mut allocator, 2_050, used), Some(30), "what is used stays though it wants less");
        allocator.set_quota(50);
        assert_eq!(
            leased(&mut allocator, 2_060, request(0, 5, 6, 30, 40)),
            Some(0),
            "a lowered plan comes first"
        );
        assert_eq!(allocator.total_committed(2_060), 100, "what is out is out");
        allocator.set_quota(100);
        let other = ShareRequest { incarnation: 2, ..request(1, 1, 0, 0, 50) };
        assert_eq!(
            leased(&mut allocator, 2_070, other),
            Some(0),
            "what an earlier life was lent is not free"
        );
        assert_eq!(
            leased(&mut allocator, 3_171, ShareRequest { request_number: 2, ..other }),
            Some(40),
            "until it is over"
        );
        let expired = ShareRequest { used: 45, ..request(0, 6, 0, 0, 45) };
        assert_eq!(
            leased(&mut allocator, 3_180, expired),
            Some(35),
            "kept on a lease that is over, and there is room"
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
            "until that has gone"
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
