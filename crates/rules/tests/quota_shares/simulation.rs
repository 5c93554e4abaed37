//! The simulation of members that share a quota.

use heronroute_rules::Micros;
use heronroute_rules::quota_shares::{QuotaAllocator, QuotaHolder, ShareGrant, ShareRequest, Tuning};

pub const MS: Micros = 1_000;
pub const TUNING: Tuning = Tuning {
    lease: 500 * MS,
    drift_permille: 50,
    request_interval: 50 * MS,
    urgent_interval: 10 * MS,
    floor_permille: 100,
    headroom_permille: 125,
};
const STEP: Micros = 2 * MS;
/// How long a member stays leader unless it is renewed.
const LEADERSHIP_LENGTH: Micros = 400 * MS;
const FAULTS_END: Micros = 12_000 * MS;
/// The time from the last fault until one member has 80% of the quota: the end of a leadership, the new
/// leader's wait, and some requests.
const SETTLE_LIMIT: Micros = 1_600 * MS;
const MAX_QUOTA: u64 = 1_000;

/// A safeguard that is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A new allocator does not wait for one lease.
    NoWait,
    /// The allocator makes no allowance for drift.
    NoDrift,
    /// A holder counts its lease from the arrival of the grant.
    LeaseFromArrival,
    /// The allocator treats every request as acknowledging its last grant.
    AssumesLastGrant,
    /// A holder reports that it returned everything, but keeps it.
    KeepsReturned,
    /// A leader stays leader beside the next one.
    TwoAllocators,
}

/// Pseudo-random numbers from a seed (SplitMix64).
pub struct SeededRandom(pub u64);

impl SeededRandom {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % n
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    fn duration(&mut self, ms: u64) -> Micros {
        self.below(ms * 1_000) as Micros
    }
}

struct Member {
    holder: Option<QuotaHolder>,
    incarnation: u64,
    /// Crashed or paused until then.
    down_until: Micros,
    drift_permille: Micros,
    offset: Micros,
    demand: u64,
    /// The last grant made to this member.
    last_grant: (u64, u64),
}

impl Member {
    fn local_time(&self, t: Micros) -> Micros {
        self.offset + t + t * self.drift_permille / 1000
    }
}

enum Packet {
    ShareRequest(ShareRequest),
    ShareGrant(ShareGrant),
}

/// The worst values of a run.
#[derive(Debug, Default)]
pub struct Extremes {
    /// The sum of shares, in thousandths of the greatest quota that may still apply.
    pub sum: u64,
    /// The amount in use, in thousandths of the greatest quota of the run.
    pub kept: u64,
    /// The time from the last fault until the only member with traffic has 80% for good.
    pub settled: Micros,
}

pub struct Simulation {
    extremes: Extremes,
    random: SeededRandom,
    fault: Fault,
    time: Micros,
    members: Vec<Member>,
    /// The allocators and the members they run on; the last one is leader, earlier ones may not know yet.
    allocators: Vec<(usize, QuotaAllocator)>,
    term: u64,
    leadership_start: Micros,
    deposed: bool,
    quota: u64,
    /// The quotas that allocators used, and until when they may still apply.
    binding_quotas: Vec<(u64, Micros)>,
    network: Vec<(Micros, usize, Packet)>,
    link_down_until: Vec<Vec<Micros>>,
}

impl Simulation {
    pub fn new(seed: u64, fault: Fault) -> Self {
        let mut random = SeededRandom(seed);
        let n = 3 + random.below(7) as usize;
        let member = |random: &mut SeededRandom| Member {
            holder: None,
            incarnation: 0,
            down_until: 0,
            // Most clocks differ by as much as is allowed.
            drift_permille: (random.below(150) as Micros - 50).clamp(0, 50),
            offset: random.duration(1_000_000),
            demand: 0,
            last_grant: (0, 0),
        };
        let members = (0..n).map(|_| member(&mut random)).collect();
        Simulation {
            extremes: Extremes::default(),
            random,
            fault,
            time: 0,
            members,
            allocators: Vec::new(),
            term: 0,
            leadership_start: -LEADERSHIP_LENGTH,
            deposed: false,
            quota: MAX_QUOTA,
            binding_quotas: Vec::new(),
            network: Vec::new(),
            link_down_until: vec![vec![0; n]; n],
        }
    }

    pub fn run(mut self) -> Result<Extremes, String> {
        while self.time < FAULTS_END {
            self.inject_faults();
            self.step()?;
        }
        // All faults end, and all traffic moves to one member.
        let hot = self.random.below(self.members.len() as u64) as usize;
        for (at, m) in self.members.iter_mut().enumerate() {
            m.down_until = m.down_until.min(self.time);
            m.demand = if at == hot { u64::MAX } else { 0 };
        }
        self.link_down_until.iter_mut().flatten().for_each(|until| *until = 0);
        while self.time < FAULTS_END + SETTLE_LIMIT {
            self.step()?;
            let used = self.members[hot].holder.as_ref().map_or(0, QuotaHolder::used);
            if used * 10 < self.quota * 8 {
                self.extremes.settled = self.time - FAULTS_END;
            }
        }
        if self.extremes.settled + STEP >= SETTLE_LIMIT {
            return Err(format!("less than 80% of {} at the only member with traffic", self.quota));
        }
        Ok(self.extremes)
    }

    fn inject_faults(&mut self) {
        let n = self.members.len();
        let any = self.random.below(n as u64) as usize;
        let until = self.time + self.random.duration(1_500);
        match self.random.below(2_000) {
            0..6 => self.members[any].down_until = until,
            6..8 => {
                self.members[any].down_until = until;
                self.members[any].holder = None;
                // The previous leader never becomes leader again.
                self.deposed |= self.allocators.last().is_some_and(|(at, _)| *at == any);
                self.allocators.retain(|(at, _)| *at != any);
            }
            8..20 => {
                let to = self.random.below(n as u64) as usize;
                self.link_down_until[any][to] = until;
            }
            // A leader that is not notified of its replacement.
            20..24 => self.deposed = true,
            24..27 => self.quota = MAX_QUOTA * (4 + self.random.below(7)) / 10,
            // Below the sum of the floors of the greatest quota.
            27 => self.quota = MAX_QUOTA / 20,
            28..90 => {
                let has_traffic = self.random.one_in(2);
                self.members[any].demand = if has_traffic { self.random.below(MAX_QUOTA * 2) } else { 0 };
            }
            _ => {}
        }
    }

    fn renew_or_replace_allocator(&mut self) {
        let is_up = |m: &Member, t| m.down_until <= t && m.holder.is_some();
        let Some((at, allocator)) =
            self.allocators.last_mut().filter(|(at, _)| is_up(&self.members[*at], self.time))
        else {
            return self.start_allocator();
        };
        // The leader is renewed while its last leadership is valid, and learns of the quota at that time.
        if self.time < self.leadership_start + LEADERSHIP_LENGTH && !self.deposed {
            if self.time >= self.leadership_start + 50 * MS {
                self.leadership_start = self.time;
                let until = self.members[*at].local_time(self.time) + LEADERSHIP_LENGTH;
                allocator.extend_leadership(until);
                allocator.set_quota(self.quota);
            }
        } else {
            self.start_allocator();
        }
    }

    /// Starts another allocator once the last leadership has certainly ended.
    fn start_allocator(&mut self) {
        // The leaders' clocks are never slower than the simulation's.
        let free = self.time >= self.leadership_start + LEADERSHIP_LENGTH;
        let at = self.random.below(self.members.len() as u64) as usize;
        let m = &self.members[at];
        if !free || m.down_until > self.time || m.holder.is_none() {
            return;
        }
        self.term += 1;
        (self.leadership_start, self.deposed) = (self.time, false);
        let mut tuning = TUNING;
        if self.fault == Fault::NoDrift {
            tuning.drift_permille = 0;
        }
        let now = m.local_time(self.time);
        let floor = MAX_QUOTA / 10 / self.members.len() as u64;
        let from = if self.fault == Fault::NoWait { now - 10 * TUNING.lease } else { now };
        let mut allocator =
            QuotaAllocator::new(tuning, from, self.term, self.members.len(), self.quota, floor);
        allocator.extend_leadership(now + LEADERSHIP_LENGTH);
        if self.fault == Fault::TwoAllocators {
            allocator.extend_leadership(Micros::MAX);
        }
        self.allocators.push((at, allocator));
        if self.allocators.len() > 4 {
            self.allocators.remove(0);
        }
    }

    fn send(&mut self, from: usize, to: usize, copy: fn(&Packet) -> Packet, packet: &Packet) {
        let times = if self.random.one_in(10) { 2 } else { 1 };
        for _ in 0..times {
            let late = [4, 4, 4, 30, 30, 30, 30, 30, 30, 800][self.random.below(10) as usize];
            let at = self.time + self.random.duration(late);
            let lost = self.random.one_in(12) || self.link_down_until[from][to] > self.time;
            if !lost {
                self.network.push((at, to, copy(packet)));
            }
        }
    }

    fn step(&mut self) -> Result<(), String> {
        self.time += STEP;
        let t = self.time;
        self.renew_or_replace_allocator();
        for at in 0..self.members.len() {
            // Now and then a request goes to a former leader.
            let target = if self.random.one_in(8) { self.allocators.first() } else { self.allocators.last() };
            let leader = target.map(|(l, _)| *l);
            let m = &mut self.members[at];
            if m.down_until > t {
                continue;
            }
            let now = m.local_time(t);
            if m.holder.is_none() {
                m.incarnation += 1;
                m.holder = Some(QuotaHolder::new(TUNING, at as u32, m.incarnation, 0));
            }
            let Some(holder) = m.holder.as_mut() else { continue };
            let (used, demand) = (holder.used(), m.demand);
            if used > demand {
                holder.release((used - demand).min(20));
            }
            for _ in 0..demand.saturating_sub(used).min(20) {
                holder.take(now, 1);
            }
            let out = holder.tick(now);
            if let (Some(mut request), Some(to)) = (out.request, leader) {
                if self.fault == Fault::KeepsReturned {
                    request.kept = 0;
                }
                self.send(at, to, copy_of, &Packet::ShareRequest(request));
            }
        }
        self.deliver();
        self.check()
    }

    fn deliver(&mut self) {
        let t = self.time;
        let (due, rest) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|(at, to, _)| *at <= t && self.members[*to].down_until <= t);
        self.network = rest;
        let due: Vec<(Micros, usize, Packet)> = due;
        for (_, to, packet) in due {
            let now = self.members[to].local_time(t);
            match packet {
                Packet::ShareGrant(mut grant) => {
                    if self.fault == Fault::LeaseFromArrival {
                        grant.request_sent_at = now;
                    }
                    let Some(holder) = self.members[to].holder.as_mut() else { continue };
                    holder.apply_grant(now, &grant);
                }
                Packet::ShareRequest(mut request) => {
                    let mut grants = Vec::new();
                    for (_, allocator) in self.allocators.iter_mut().filter(|(at, _)| *at == to) {
                        let last_grant = self.members[request.member as usize].last_grant;
                        if self.fault == Fault::AssumesLastGrant && request.term == last_grant.0 {
                            request.grant_number = last_grant.1;
                        }
                        grants.extend(allocator.handle_request(now, &request));
                    }
                    for grant in grants {
                        self.members[grant.member as usize].last_grant = (grant.term, grant.grant_number);
                        self.send(to, grant.member as usize, copy_of, &Packet::ShareGrant(grant));
                    }
                }
            }
        }
    }

    fn check(&mut self) -> Result<(), String> {
        let t = self.time;
        // The leader uses the last quota it was notified of for as long as its leadership lasts, and its
        // grants for one lease more.
        let binds = t + TUNING.lease + TUNING.lease / 10 + LEADERSHIP_LENGTH;
        self.binding_quotas.retain(|(quota, until)| *until > t && *quota != self.quota);
        self.binding_quotas.push((self.quota, binds));
        // Members not yet notified of a lowered quota keep the floors of the greatest one.
        let most = self.binding_quotas.iter().map(|(quota, _)| *quota).max().unwrap_or(0).max(MAX_QUOTA / 10);
        let holders = || self.members.iter().filter_map(|m| m.holder.as_ref().map(|h| (m, h)));
        let sum: u64 = holders().map(|(m, h)| h.share(m.local_time(t))).sum();
        let kept: u64 = holders().map(|(_, h)| h.used()).sum();
        self.extremes.sum = self.extremes.sum.max(sum * 1000 / most);
        self.extremes.kept = self.extremes.kept.max(kept * 1000 / MAX_QUOTA);
        if sum > most { Err(format!("at {t} us, shares of {sum} out of {most}")) } else { Ok(()) }
    }
}

fn copy_of(packet: &Packet) -> Packet {
    match packet {
        Packet::ShareRequest(request) => Packet::ShareRequest(*request),
        Packet::ShareGrant(grant) => Packet::ShareGrant(*grant),
    }
}
