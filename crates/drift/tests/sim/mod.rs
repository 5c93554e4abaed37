//! A small installation on a virtual clock: members with live tables that go wrong, keepers with detectors, a network that
//! delays, loses and reorders. All from one seed.

#![allow(dead_code)]

mod faults;
mod member;

pub use faults::Fault;
pub use member::{Lie, Real};

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

/// A version, and what its content hangs on.
pub type Set = (u64, i64);

pub fn rules((version, salt): Set) -> RuleSet {
    let limits = RuleLimits { hold_for: Some(version as i64 * 1000 + salt), ..RuleLimits::default() };
    let rule = Rule { name: "r".into(), class: "RESP".into(), limits, ..Rule::default() };
    RuleSet { version, rules: vec![rule] }
}

#[derive(Clone, Debug)]
pub enum Event {
    Report(usize),
    ToKeeper(usize, Up),
    ToMember(usize, Down),
    Tick,
    /// What the detector of this keeper asked for.
    Wake(usize),
    Confirm,
    Approve,
    Fault(Fault),
    Standing(usize, Start, Standing),
}

#[derive(Clone, Debug)]
pub enum Up {
    Report(Report),
    Tell(Tell),
    Answer(Answer),
}

#[derive(Clone, Debug)]
pub enum Down {
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
    pub members: Vec<Real>,
    pub keepers: Vec<Keeper>,
    /// Which keeper is in charge, and its term.
    pub charge: usize,
    pub term: Term,
    pub desired: BTreeMap<String, Set>,
    /// For each member: when its live tables last were what is desired now.
    pub equal: Vec<Micros>,
    /// Of a hundred messages.
    pub loss: u32,
    pub orders: Vec<(Micros, usize, Order)>,
    pub records: Vec<Record>,
    pub trace: String,
    pub faults: Vec<(Micros, Fault)>,
    pub approvals: Vec<Micros>,
    pub terms: Vec<Micros>,
    /// A fault of a rollout's wave: members that apply the version refuse messages.
    pub sick: bool,
    pub rollouts: Vec<(Micros, Progress)>,
    /// The log's part of a rollout, and whether one that stops goes back.
    pub reach: Option<Reach>,
    pub back: bool,
    pub traced: bool,
    /// Detectors are ticked when they ask for it, not every so often: and when that was last asked for, by keeper.
    pub eager: bool,
    pub asked: Vec<Option<Micros>>,
    /// When they were, and by which keeper.
    pub wakes: Vec<(Micros, usize)>,
}

pub use heronroute_drift::rollout::Progress;
use heronroute_drift::rollout::{Plan, Worse};

impl World {
    pub fn new(seed: u64, members: usize, clients: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let keeper = |number: usize, rng: &mut SmallRng| {
            let mut config = Config::new(Name::new(&format!("k{number}")).unwrap(), rng.random());
            // Keepers' clocks are the same here; what is kept bears another base all the same.
            config.wall = 1_000 * S;
            Keeper { detector: Detector::new(config), paused: false, confirmed: 0, term: Term(0) }
        };
        let keepers = (0..2).map(|number| keeper(number, &mut rng)).collect();
        let mut world = World {
            rng,
            now: 0,
            queue: BTreeMap::new(),
            count: 0,
            members: (0..members).map(Real::new).collect(),
            keepers,
            charge: 0,
            term: Term(1),
            desired: BTreeMap::new(),
            equal: vec![0; members],
            loss: 0,
            orders: Vec::new(),
            records: Vec::new(),
            trace: String::new(),
            faults: Vec::new(),
            approvals: Vec::new(),
            terms: Vec::new(),
            sick: false,
            rollouts: Vec::new(),
            reach: None,
            back: false,
            traced: false,
            eager: false,
            asked: vec![None; 2],
            wakes: Vec::new(),
        };
        for client in 0..clients {
            world.desired.insert(format!("c{client}"), (1, 0));
        }
        for member in &mut world.members {
            world.desired.iter().for_each(|(client, set)| member.apply(client, *set));
            member.save();
        }
        let desired = world.desired.clone();
        for (client, set) in desired {
            world.tell_desired(&client, set);
        }
        for member in 0..members {
            world.standing(member, Standing::Alive);
            let spread = world.rng.random_range(0..2 * S);
            world.at(spread, Event::Report(member));
        }
        world.at(0, Event::Confirm);
        world.at(0, Event::Tick);
        world
    }

    pub fn at(&mut self, time: Micros, event: Event) {
        self.count += 1;
        self.queue.insert((time.max(self.now), self.count), event);
    }

    fn delay(&mut self) -> Micros {
        match self.rng.random_range(0..200) {
            0 => self.rng.random_range(0..25 * S),
            1..5 => self.rng.random_range(0..3 * S),
            _ => self.rng.random_range(1_000..60_000),
        }
    }

    /// Puts a message on its way, or loses it.
    pub fn send(&mut self, event: Event) {
        if self.rng.random_range(0..100) >= self.loss {
            let delay = self.delay();
            self.at(self.now + delay, event);
        }
    }

    pub fn standing(&mut self, member: usize, standing: Standing) {
        let life = self.members[member].life();
        let zone = format!("z{}", member % 3);
        for keeper in &mut self.keepers {
            keeper.detector.members(self.now, &life, &zone, standing);
        }
    }

    pub fn tell_desired(&mut self, client: &str, set: Set) {
        let digest = content::digest(&rules(set).rules);
        let desired = Desired { client: client.into(), version: set.0, digest, at: self.now, uncut: None };
        for keeper in &mut self.keepers {
            keeper.detector.desired(self.now, &desired);
        }
    }

    /// A new version of a client is approved, and sent to all; to some it does not get.
    pub fn approve(&mut self, client: &str, spread: bool) {
        let version = self.desired[client].0 + 1;
        let set = (version, 0);
        self.desired.insert(client.to_owned(), set);
        self.approvals.push(self.now);
        self.tell_desired(client, set);
        if self.reach.take_if(|reach| reach.plan.client == client).is_some() {
            let now = self.now;
            self.keepers.iter_mut().for_each(|k| k.detector.reached_all(now, client));
        }
        if spread {
            for member in 0..self.members.len() {
                self.send(Event::ToMember(member, Down::Apply(self.term, vec![(client.to_owned(), set)])));
            }
        }
        // What was equal up to now is so to the old version.
        for member in 0..self.members.len() {
            self.equal[member] = Micros::MIN / 2;
            self.members[member].same = None;
        }
    }

    /// A new version of a client is approved, for the first wave; three zones, the first one's members in the second wave.
    pub fn roll(&mut self, client: &str) {
        let before = self.desired[client];
        let set = (before.0 + 1, 0);
        let wave = |m: usize| if m == 0 { 0 } else { 1 + usize::from(!m.is_multiple_of(3)) };
        let worse = Worse::default();
        let (wave_for, soak) = (30 * S, 10 * S);
        let plan = Plan { client: client.into(), version: set.0, wave_for, soak, worse };
        let of = |set: Set| (set.0, content::digest(&rules(set).rules));
        self.reach = Some(Reach {
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
        self.tell_reach();
        self.desired.insert(client.to_owned(), set);
        self.tell_desired(client, set);
        self.leaves(0);
    }

    fn tell_reach(&mut self) {
        let (Some(reach), now) = (self.reach.clone(), self.now) else { return };
        self.keepers.iter_mut().for_each(|k| k.detector.reach(now, &reach));
    }

    /// The log says that a wave leaves, once.
    fn leaves(&mut self, wave: usize) {
        let Some(reach) = &mut self.reach else { return };
        if reach.wave.is_some_and(|before| before >= wave) || reach.halted.is_some() {
            return;
        }
        let (client, version) = (reach.plan.client.clone(), reach.plan.version);
        reach.wave = Some(wave);
        let meant = (version, content::digest(&rules((version, 0)).rules));
        reach.meant.iter_mut().take(wave + 1).for_each(|one| *one = meant);
        let all = reach.members.clone();
        let detector = &self.keepers[self.charge].detector;
        let gone = all.iter().filter(|(name, w)| *w == wave && !detector.lives(name));
        let gone: Vec<Name> = gone.map(|(name, _)| name.clone()).collect();
        reach.without.extend(gone);
        self.tell_reach();
        for (member, _) in all.iter().enumerate().filter(|(_, (_, w))| *w == wave) {
            self.send(Event::ToMember(member, Down::Apply(self.term, vec![(client.clone(), (version, 0))])));
        }
    }

    fn rolled(&mut self, client: &str, progress: &Progress) {
        match progress {
            Progress::Next { wave } => self.leaves(*wave),
            Progress::Stopped(_) if self.back => self.approve(client, true),
            Progress::Stopped(why) => {
                if let Some(reach) = &mut self.reach {
                    reach.halted.get_or_insert(why.to_string());
                }
                self.tell_reach();
            }
            Progress::Done => {
                self.reach = None;
                let now = self.now;
                self.keepers.iter_mut().for_each(|k| k.detector.reached_all(now, client));
            }
            Progress::Pass { .. } | Progress::Superseded => {}
        }
    }

    /// Runs until a time, calling `check` after each step.
    pub fn run(&mut self, until: Micros, mut check: impl FnMut(&mut World)) {
        while let Some(((time, _), _)) = self.queue.first_key_value()
            && *time <= until
        {
            let ((time, _), event) = self.queue.pop_first().unwrap();
            self.now = time;
            self.step(event);
            self.drain();
            self.ask();
            for member in 0..self.members.len() {
                let real = &mut self.members[member];
                // Compared anew only where something was applied or approved.
                let same = *real.same.get_or_insert_with(|| real.live == self.desired);
                if same {
                    self.equal[member] = self.now;
                }
            }
            check(self);
        }
        self.now = until;
    }

    /// Puts down when the detectors want to be woken.
    fn ask(&mut self) {
        for keeper in 0..self.keepers.len() {
            let next = self.keepers[keeper].detector.next(self.now);
            if let Some(at) = next.filter(|_| self.eager && !self.keepers[keeper].paused)
                && next != self.asked[keeper]
            {
                self.asked[keeper] = next;
                self.at(at, Event::Wake(keeper));
            }
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick if self.eager => {}
            // Of an hour that was put off since.
            Event::Wake(keeper) if self.asked[keeper] == Some(now) => {
                self.asked[keeper] = None;
                if !self.keepers[keeper].paused {
                    self.wakes.push((now, keeper));
                    let detector = &mut self.keepers[keeper].detector;
                    detector.tick(now);
                    let next = detector.next(now);
                    assert!(next.is_none_or(|next| next > now), "at {now} it asks for {next:?} again");
                }
            }
            Event::Wake(_) => {}
            Event::Tick => {
                self.keepers.iter_mut().filter(|k| !k.paused).for_each(|k| k.detector.tick(now));
                self.at(now + 250_000, Event::Tick);
            }
            Event::Confirm => {
                let (charge, term) = (self.charge, self.term);
                let keeper = &mut self.keepers[charge];
                if !keeper.paused {
                    keeper.confirmed = now;
                    keeper.term = term;
                    keeper.detector.term(now, term, true);
                }
                self.at(now + 2 * S, Event::Confirm);
            }
            Event::Report(member) => {
                if !self.members[member].silent && !self.members[member].mute {
                    self.report(member);
                }
                let next = now + 2 * S + self.rng.random_range(0..200_000);
                self.at(next, Event::Report(member));
            }
            Event::ToKeeper(keeper, up) => self.up(keeper, up),
            Event::ToMember(member, down) => self.down(member, down),
            Event::Approve => {
                let client = format!("c{}", self.rng.random_range(0..self.desired.len()));
                self.approve(&client, true);
            }
            Event::Fault(fault) => self.fault(fault),
            // Of a life that is over by now nothing is said.
            Event::Standing(member, start, standing) if start == self.members[member].start => {
                self.standing(member, standing);
            }
            Event::Standing(..) => {}
        }
    }

    pub fn report(&mut self, member: usize) {
        let sick = self.sick;
        let report = self.members[member].report(&self.desired, sick);
        self.send(Event::ToKeeper(self.charge, Up::Report(report)));
    }

    fn up(&mut self, keeper: usize, up: Up) {
        let now = self.now;
        if self.keepers[keeper].paused {
            return;
        }
        let detector = &mut self.keepers[keeper].detector;
        match up {
            Up::Report(report) => _ = detector.report(now, &report),
            Up::Tell(tell) => detector.tell(now, &tell),
            Up::Answer(answer) => {
                if let Some(set) = detector.challenged(&answer).and_then(|client| self.desired.get(client)) {
                    detector.answer(now, &answer, &rules(*set));
                }
            }
        }
    }

    fn down(&mut self, member: usize, down: Down) {
        let desired = &self.desired;
        let real = &mut self.members[member];
        if real.silent {
            return;
        }
        let up = match down {
            Down::Apply(term, sets) => {
                if accepts(term, real.term) {
                    real.order(term);
                    sets.into_iter().for_each(|(client, set)| real.apply_order(&client, set));
                }
                return;
            }
            Down::TakeBack(term, clients) => {
                if accepts(term, real.term) {
                    real.order(term);
                    for client in clients {
                        if let Some(set) = desired.get(&client) {
                            real.apply_order(&client, *set);
                        }
                    }
                }
                return;
            }
            Down::Ack(ack) => {
                if real.reporter.acked(&ack) && !real.mute {
                    self.report(member);
                }
                return;
            }
            Down::Ask(ask) => real.tell(&ask, desired).map(Up::Tell),
            Down::Challenge(challenge) => real.answer(&challenge).map(Up::Answer),
        };
        if let Some(up) = up.filter(|_| !self.members[member].mute) {
            self.send(Event::ToKeeper(self.charge, up));
        }
    }

    fn drain(&mut self) {
        for keeper in 0..self.keepers.len() {
            while let Some(output) = self.keepers[keeper].detector.poll() {
                if self.traced {
                    use std::fmt::Write;
                    writeln!(self.trace, "{} {keeper} {output:?}", self.now).unwrap();
                }
                self.carry_out(keeper, output);
            }
        }
    }

    fn number(&self, life: &Life) -> Option<usize> {
        self.members.iter().position(|real| real.name == life.name)
    }

    fn carry_out(&mut self, keeper: usize, output: Output) {
        match output {
            Output::Verdict(record) => self.records.push(record),
            Output::Order(order) => {
                self.orders.push((self.now, keeper, order.clone()));
                let Some(member) = self.number(&order.to) else { return };
                let of = |clients: &[String], desired: &BTreeMap<String, Set>| {
                    clients.iter().filter_map(|c| Some((c.clone(), *desired.get(c)?))).collect::<Vec<_>>()
                };
                let down = match &order.act {
                    Act::SendAgain { clients } => Down::Apply(order.term, of(clients, &self.desired)),
                    Act::SendWhole { except } => {
                        let all: Vec<String> =
                            self.desired.keys().filter(|c| !except.contains(c)).cloned().collect();
                        Down::Apply(order.term, of(&all, &self.desired))
                    }
                    Act::TakeBack { clients } => Down::TakeBack(order.term, clients.clone()),
                    _ => return,
                };
                self.send(Event::ToMember(member, down));
            }
            Output::Ack(ack) => {
                if let Some(member) = self.number(&ack.to) {
                    self.send(Event::ToMember(member, Down::Ack(ack)));
                }
            }
            Output::Ask(ask) => {
                if let Some(member) = self.number(&ask.to) {
                    self.send(Event::ToMember(member, Down::Ask(ask)));
                }
            }
            Output::Challenge(challenge) => {
                if let Some(member) = self.number(&challenge.to) {
                    self.send(Event::ToMember(member, Down::Challenge(challenge)));
                }
            }
            Output::Rollout { client, progress, .. } => {
                self.rollouts.push((self.now, progress.clone()));
                self.rolled(&client, &progress);
            }
            Output::Superseded(_) => {}
        }
    }

    pub fn acting(&self) -> &Detector {
        &self.keepers[self.charge].detector
    }

    pub fn verdict(&self, member: usize) -> Verdict {
        self.acting().verdict(self.now, &name(member)).unwrap_or(Verdict::NotHeardOf)
    }

    /// Another keeper takes over, with the other's snapshot or without. The one before goes on until it hears of it.
    pub fn take_over(&mut self, with_snapshot: bool) {
        let before = self.charge;
        self.charge = 1 - before;
        self.term = Term(self.term.0 + 1);
        self.terms.push(self.now);
        if with_snapshot {
            let saved = self.keepers[before].detector.snapshot(64 * 1024);
            self.keepers[self.charge].detector.restore(self.now, &saved).unwrap();
        }
        let (now, term) = (self.now, self.term);
        let keeper = &mut self.keepers[self.charge];
        keeper.paused = false;
        keeper.confirmed = now;
        keeper.term = term;
        keeper.detector.term(now, term, true);
    }

    pub fn start_of(&self, member: usize) -> Start {
        self.members[member].start
    }
}
