//! A simulated installation on a virtual clock: members with live tables and faults, keepers with detectors,
//! and a network that delays, loses and reorders messages. One seed determines everything.

#![allow(dead_code)]

mod faults;
mod member;

pub use faults::Fault;
pub use member::{Reporting, SimMember};

use heronroute_drift::*;
use heronroute_fleet::{Life, Name, Standing, Start, Term};
use heronroute_rules::{Rule, RuleLimits, RuleSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

pub const S: Micros = 1_000_000;

pub fn name(number: usize) -> Name {
    Name::new(&format!("m{number}")).unwrap()
}

/// A version, and a salt that changes its content.
pub type Set = (u64, i64);

pub fn rules((version, salt): Set) -> RuleSet {
    let limits = RuleLimits { hold_for: Some(version as i64 * 1000 + salt), ..RuleLimits::default() };
    let rule = Rule { name: "r".into(), class: "RESP".into(), limits, ..Rule::default() };
    RuleSet { version, rules: vec![rule] }
}

#[derive(Clone, Debug)]
pub enum Event {
    Report(usize),
    ToKeeper(usize, MemberMessage),
    ToMember(usize, KeeperMessage),
    Tick,
    /// A wake that the detector of this keeper requested.
    Wake(usize),
    Confirm,
    Approve,
    Fault(Fault),
    Standing(usize, Start, Standing),
}

#[derive(Clone, Debug)]
pub enum MemberMessage {
    Report(Report),
    TreeReply(TreeReply),
    ChallengeAnswer(ChallengeAnswer),
}

#[derive(Clone, Debug)]
pub enum KeeperMessage {
    Apply(Term, Vec<(String, Set)>),
    TakeBack(Term, Vec<String>),
    Ack(Ack),
    Ask(Ask),
    Challenge(Challenge),
}

pub struct Keeper {
    pub detector: Detector,
    pub paused: bool,
    pub confirmed: Micros,
    pub term: Term,
}

pub struct World {
    pub rng: SmallRng,
    pub now: Micros,
    queue: BTreeMap<(Micros, u64), Event>,
    count: u64,
    pub members: Vec<SimMember>,
    pub keepers: Vec<Keeper>,
    /// The index of the leader among the keepers, and its term.
    pub leader: usize,
    pub term: Term,
    pub desired: BTreeMap<String, Set>,
    /// For each member, the last time at which its live tables were equal to the current desired state.
    pub last_equal: Vec<Micros>,
    /// The percentage of lost messages.
    pub loss_percent: u32,
    pub orders: Vec<(Micros, usize, Order)>,
    pub records: Vec<Record>,
    pub trace: String,
    pub faults: Vec<(Micros, Fault)>,
    pub approvals: Vec<Micros>,
    pub terms: Vec<Micros>,
    /// If set, members that apply a new version refuse messages.
    pub fail_on_new_version: bool,
    pub rollouts: Vec<(Micros, Progress)>,
    /// The log state of the rollout, and whether a stopped rollout is reverted.
    pub logged_rollout: Option<LoggedRollout>,
    pub revert_on_stop: bool,
    pub traced: bool,
    /// If set, detectors are ticked at the times that they request, and not periodically.
    pub wake_on_demand: bool,
    /// The time that each keeper's detector requested last.
    pub requested_wakes: Vec<Option<Micros>>,
    /// The wakes, with the keeper.
    pub wakes: Vec<(Micros, usize)>,
}

pub use heronroute_drift::rollout::Progress;
use heronroute_drift::rollout::{HealthThresholds, Plan};

impl World {
    pub fn new(seed: u64, members: usize, clients: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let keeper = |number: usize, rng: &mut SmallRng| {
            let mut config = Config::new(Name::new(&format!("k{number}")).unwrap(), rng.random());
            // All keepers share one clock here, but records use another time base.
            config.wall = 1_000 * S;
            Keeper { detector: Detector::new(config), paused: false, confirmed: 0, term: Term(0) }
        };
        let keepers = (0..2).map(|number| keeper(number, &mut rng)).collect();
        let mut world = World {
            rng,
            now: 0,
            queue: BTreeMap::new(),
            count: 0,
            members: (0..members).map(SimMember::new).collect(),
            keepers,
            leader: 0,
            term: Term(1),
            desired: BTreeMap::new(),
            last_equal: vec![0; members],
            loss_percent: 0,
            orders: Vec::new(),
            records: Vec::new(),
            trace: String::new(),
            faults: Vec::new(),
            approvals: Vec::new(),
            terms: Vec::new(),
            fail_on_new_version: false,
            rollouts: Vec::new(),
            logged_rollout: None,
            revert_on_stop: false,
            traced: false,
            wake_on_demand: false,
            requested_wakes: vec![None; 2],
            wakes: Vec::new(),
        };
        for client in 0..clients {
            world.desired.insert(format!("c{client}"), (1, 0));
        }
        for member in &mut world.members {
            world.desired.iter().for_each(|(client, set)| member.apply(client, *set));
            member.make_backup();
        }
        let desired = world.desired.clone();
        for (client, set) in desired {
            world.publish_desired(&client, set);
        }
        for member in 0..members {
            world.standing(member, Standing::Alive);
            let spread = world.rng.random_range(0..2 * S);
            world.schedule(spread, Event::Report(member));
        }
        world.schedule(0, Event::Confirm);
        world.schedule(0, Event::Tick);
        world
    }

    pub fn schedule(&mut self, time: Micros, event: Event) {
        self.count += 1;
        self.queue.insert((time.max(self.now), self.count), event);
    }

    fn random_delay(&mut self) -> Micros {
        match self.rng.random_range(0..200) {
            0 => self.rng.random_range(0..25 * S),
            1..5 => self.rng.random_range(0..3 * S),
            _ => self.rng.random_range(1_000..60_000),
        }
    }

    /// Sends a message with a random delay, or loses it.
    pub fn send(&mut self, event: Event) {
        if self.rng.random_range(0..100) >= self.loss_percent {
            let delay = self.random_delay();
            self.schedule(self.now + delay, event);
        }
    }

    pub fn standing(&mut self, member: usize, standing: Standing) {
        let life = self.members[member].life();
        let zone = format!("z{}", member % 3);
        for keeper in &mut self.keepers {
            keeper.detector.members(self.now, &life, &zone, standing);
        }
    }

    pub fn publish_desired(&mut self, client: &str, set: Set) {
        let digest = content::digest(&rules(set).rules);
        let desired = Desired { client: client.into(), version: set.0, digest, at: self.now, uncut: None };
        for keeper in &mut self.keepers {
            keeper.detector.desired(self.now, &desired);
        }
    }

    /// Approves a new version of a client, and sends it to all members if `spread`; some of the messages are
    /// lost.
    pub fn approve(&mut self, client: &str, spread: bool) {
        let version = self.desired[client].0 + 1;
        let set = (version, 0);
        self.desired.insert(client.to_owned(), set);
        self.approvals.push(self.now);
        self.publish_desired(client, set);
        if self.logged_rollout.take_if(|logged_rollout| logged_rollout.plan.client == client).is_some() {
            let now = self.now;
            self.keepers.iter_mut().for_each(|k| k.detector.finish_rollout(now, client));
        }
        if spread {
            for member in 0..self.members.len() {
                self.send(Event::ToMember(
                    member,
                    KeeperMessage::Apply(self.term, vec![(client.to_owned(), set)]),
                ));
            }
        }
        // The members were in line with the old version only.
        for member in 0..self.members.len() {
            self.last_equal[member] = Micros::MIN / 2;
            self.members[member].in_line = None;
        }
    }

    /// Approves a new version of a client and starts its rollout: the first member, the rest of its zone (one
    /// of three), then all.
    pub fn start_rollout(&mut self, client: &str) {
        let before = self.desired[client];
        let set = (before.0 + 1, 0);
        let wave = |m: usize| if m == 0 { 0 } else { 1 + usize::from(!m.is_multiple_of(3)) };
        let thresholds = HealthThresholds::default();
        let (wave_for, soak) = (30 * S, 10 * S);
        let plan = Plan { client: client.into(), version: set.0, wave_for, soak, thresholds };
        let of = |set: Set| (set.0, content::digest(&rules(set).rules));
        self.logged_rollout = Some(LoggedRollout {
            plan,
            members: (0..self.members.len()).map(|m| (name(m), wave(m))).collect(),
            meant: vec![of(before); 3],
            wave: None,
            without: Default::default(),
            heard: Default::default(),
            passes: (0, 0),
            baseline: Default::default(),
            halted: None,
        });
        self.publish_rollout();
        self.desired.insert(client.to_owned(), set);
        self.publish_desired(client, set);
        self.start_wave(0);
    }

    fn publish_rollout(&mut self) {
        let (Some(logged_rollout), now) = (self.logged_rollout.clone(), self.now) else { return };
        self.keepers.iter_mut().for_each(|k| k.detector.logged_rollout(now, &logged_rollout));
    }

    /// Logs the start of a wave, once.
    fn start_wave(&mut self, wave: usize) {
        let Some(logged_rollout) = &mut self.logged_rollout else { return };
        if logged_rollout.wave.is_some_and(|before| before >= wave) || logged_rollout.halted.is_some() {
            return;
        }
        let (client, version) = (logged_rollout.plan.client.clone(), logged_rollout.plan.version);
        logged_rollout.wave = Some(wave);
        let meant = (version, content::digest(&rules((version, 0)).rules));
        logged_rollout.meant.iter_mut().take(wave + 1).for_each(|one| *one = meant);
        let all = logged_rollout.members.clone();
        let detector = &self.keepers[self.leader].detector;
        let gone = all.iter().filter(|(name, w)| *w == wave && !detector.is_alive(name));
        let gone: Vec<Name> = gone.map(|(name, _)| name.clone()).collect();
        logged_rollout.without.extend(gone);
        self.publish_rollout();
        for (member, _) in all.iter().enumerate().filter(|(_, (_, w))| *w == wave) {
            self.send(Event::ToMember(
                member,
                KeeperMessage::Apply(self.term, vec![(client.clone(), (version, 0))]),
            ));
        }
    }

    fn apply_progress(&mut self, client: &str, progress: &Progress) {
        match progress {
            Progress::Next { wave } => self.start_wave(*wave),
            Progress::Stopped(_) if self.revert_on_stop => self.approve(client, true),
            Progress::Stopped(why) => {
                if let Some(logged_rollout) = &mut self.logged_rollout {
                    logged_rollout.halted.get_or_insert(why.to_string());
                }
                self.publish_rollout();
            }
            Progress::Done => {
                self.logged_rollout = None;
                let now = self.now;
                self.keepers.iter_mut().for_each(|k| k.detector.finish_rollout(now, client));
            }
            Progress::Pass { .. } | Progress::Superseded => {}
        }
    }

    /// Runs until a time and calls `check` after each step.
    pub fn run(&mut self, until: Micros, mut check: impl FnMut(&mut World)) {
        while let Some(((time, _), _)) = self.queue.first_key_value()
            && *time <= until
        {
            let ((time, _), event) = self.queue.pop_first().unwrap();
            self.now = time;
            self.step(event);
            self.execute_outputs();
            self.schedule_wakes();
            for member in 0..self.members.len() {
                let sim_member = &mut self.members[member];
                // The comparison is repeated only after something was applied or approved.
                let in_line = *sim_member.in_line.get_or_insert_with(|| sim_member.live == self.desired);
                if in_line {
                    self.last_equal[member] = self.now;
                }
            }
            check(self);
        }
        self.now = until;
    }

    /// Schedules the wakes that the detectors request.
    fn schedule_wakes(&mut self) {
        for keeper in 0..self.keepers.len() {
            let next = self.keepers[keeper].detector.next(self.now);
            if let Some(at) = next.filter(|_| self.wake_on_demand && !self.keepers[keeper].paused)
                && next != self.requested_wakes[keeper]
            {
                self.requested_wakes[keeper] = next;
                self.schedule(at, Event::Wake(keeper));
            }
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick if self.wake_on_demand => {}
            // Ignores a wake that was postponed in the meantime.
            Event::Wake(keeper) if self.requested_wakes[keeper] == Some(now) => {
                self.requested_wakes[keeper] = None;
                if !self.keepers[keeper].paused {
                    self.wakes.push((now, keeper));
                    let detector = &mut self.keepers[keeper].detector;
                    detector.tick(now);
                    let next = detector.next(now);
                    assert!(next.is_none_or(|next| next > now), "at {now}: requests {next:?} again");
                }
            }
            Event::Wake(_) => {}
            Event::Tick => {
                self.keepers.iter_mut().filter(|k| !k.paused).for_each(|k| k.detector.tick(now));
                self.schedule(now + 250_000, Event::Tick);
            }
            Event::Confirm => {
                let (leader, term) = (self.leader, self.term);
                let keeper = &mut self.keepers[leader];
                if !keeper.paused {
                    keeper.confirmed = now;
                    keeper.term = term;
                    keeper.detector.term(now, term, true);
                }
                self.schedule(now + 2 * S, Event::Confirm);
            }
            Event::Report(member) => {
                if !self.members[member].silent && !self.members[member].reports_lost {
                    self.report(member);
                }
                let next = now + 2 * S + self.rng.random_range(0..200_000);
                self.schedule(next, Event::Report(member));
            }
            Event::ToKeeper(keeper, message) => self.handle_member_message(keeper, message),
            Event::ToMember(member, message) => self.handle_keeper_message(member, message),
            Event::Approve => {
                let client = format!("c{}", self.rng.random_range(0..self.desired.len()));
                self.approve(&client, true);
            }
            Event::Fault(fault) => self.fault(fault),
            // Ignores events about a life that is over.
            Event::Standing(member, start, standing) if start == self.members[member].start => {
                self.standing(member, standing);
            }
            Event::Standing(..) => {}
        }
    }

    pub fn report(&mut self, member: usize) {
        let fail_on_new_version = self.fail_on_new_version;
        let report = self.members[member].report(&self.desired, fail_on_new_version);
        self.send(Event::ToKeeper(self.leader, MemberMessage::Report(report)));
    }

    fn handle_member_message(&mut self, keeper: usize, message: MemberMessage) {
        let now = self.now;
        if self.keepers[keeper].paused {
            return;
        }
        let detector = &mut self.keepers[keeper].detector;
        match message {
            MemberMessage::Report(report) => _ = detector.report(now, &report),
            MemberMessage::TreeReply(tell) => detector.tell(now, &tell),
            MemberMessage::ChallengeAnswer(answer) => {
                if let Some(set) = detector.challenged(&answer).and_then(|client| self.desired.get(client)) {
                    detector.answer(now, &answer, &rules(*set));
                }
            }
        }
    }

    fn handle_keeper_message(&mut self, member: usize, message: KeeperMessage) {
        let desired = &self.desired;
        let sim_member = &mut self.members[member];
        if sim_member.silent {
            return;
        }
        let reply = match message {
            KeeperMessage::Apply(term, sets) => {
                if accepts(term, sim_member.term) {
                    sim_member.accept_order(term);
                    sets.into_iter().for_each(|(client, set)| sim_member.apply_order(&client, set));
                }
                return;
            }
            KeeperMessage::TakeBack(term, clients) => {
                if accepts(term, sim_member.term) {
                    sim_member.accept_order(term);
                    for client in clients {
                        if let Some(set) = desired.get(&client) {
                            sim_member.apply_order(&client, *set);
                        }
                    }
                }
                return;
            }
            KeeperMessage::Ack(ack) => {
                if sim_member.reporter.handle_ack(&ack) && !sim_member.reports_lost {
                    self.report(member);
                }
                return;
            }
            KeeperMessage::Ask(ask) => sim_member.tell(&ask, desired).map(MemberMessage::TreeReply),
            KeeperMessage::Challenge(challenge) => {
                sim_member.answer(&challenge).map(MemberMessage::ChallengeAnswer)
            }
        };
        if let Some(reply) = reply.filter(|_| !self.members[member].reports_lost) {
            self.send(Event::ToKeeper(self.leader, reply));
        }
    }

    fn execute_outputs(&mut self) {
        for keeper in 0..self.keepers.len() {
            while let Some(output) = self.keepers[keeper].detector.poll() {
                if self.traced {
                    use std::fmt::Write;
                    writeln!(self.trace, "{} {keeper} {output:?}", self.now).unwrap();
                }
                self.execute(keeper, output);
            }
        }
    }

    fn member_index(&self, life: &Life) -> Option<usize> {
        self.members.iter().position(|sim_member| sim_member.name == life.name)
    }

    fn execute(&mut self, keeper: usize, output: Output) {
        match output {
            Output::Verdict(record) => self.records.push(record),
            Output::Order(order) => {
                self.orders.push((self.now, keeper, order.clone()));
                let Some(member) = self.member_index(&order.to) else { return };
                let of = |clients: &[String], desired: &BTreeMap<String, Set>| {
                    clients.iter().filter_map(|c| Some((c.clone(), *desired.get(c)?))).collect::<Vec<_>>()
                };
                let message = match &order.act {
                    Action::SendAgain { clients } => {
                        KeeperMessage::Apply(order.term, of(clients, &self.desired))
                    }
                    Action::SendWhole { except } => {
                        let all: Vec<String> =
                            self.desired.keys().filter(|c| !except.contains(c)).cloned().collect();
                        KeeperMessage::Apply(order.term, of(&all, &self.desired))
                    }
                    Action::TakeBack { clients } => KeeperMessage::TakeBack(order.term, clients.clone()),
                    _ => return,
                };
                self.send(Event::ToMember(member, message));
            }
            Output::Ack(ack) => {
                if let Some(member) = self.member_index(&ack.to) {
                    self.send(Event::ToMember(member, KeeperMessage::Ack(ack)));
                }
            }
            Output::Ask(ask) => {
                if let Some(member) = self.member_index(&ask.to) {
                    self.send(Event::ToMember(member, KeeperMessage::Ask(ask)));
                }
            }
            Output::Challenge(challenge) => {
                if let Some(member) = self.member_index(&challenge.to) {
                    self.send(Event::ToMember(member, KeeperMessage::Challenge(challenge)));
                }
            }
            Output::Rollout { client, progress, .. } => {
                self.rollouts.push((self.now, progress.clone()));
                self.apply_progress(&client, &progress);
            }
            Output::Superseded(_) => {}
        }
    }

    pub fn leader_detector(&self) -> &Detector {
        &self.keepers[self.leader].detector
    }

    pub fn verdict(&self, member: usize) -> Verdict {
        self.leader_detector().verdict(self.now, &name(member)).unwrap_or(Verdict::NotReporting)
    }

    /// Makes the other keeper the leader, with a snapshot of the former leader or without. The former one
    /// continues until it learns of the new term.
    pub fn take_over(&mut self, with_snapshot: bool) {
        let before = self.leader;
        self.leader = 1 - before;
        self.term = Term(self.term.0 + 1);
        self.terms.push(self.now);
        if with_snapshot {
            let saved = self.keepers[before].detector.snapshot(64 * 1024);
            self.keepers[self.leader].detector.restore(self.now, &saved).unwrap();
        }
        let (now, term) = (self.now, self.term);
        let keeper = &mut self.keepers[self.leader];
        keeper.paused = false;
        keeper.confirmed = now;
        keeper.term = term;
        keeper.detector.term(now, term, true);
    }

    pub fn start_of(&self, member: usize) -> Start {
        self.members[member].start
    }
}
