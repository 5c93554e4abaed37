//! The model: some hundreds of senders, one destination that is out and comes back cold, and the count of what it gets.

use super::trace::{Arrival, Belief, Cause, Fall};
use heronroute::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
const DEST: DestId = DestId(1);
/// When the outage begins.
const OUT_FROM: Micros = 8 * S;

/// Calls and probes of all senders together that a cold destination bears in a window in which it can do `n`.
pub fn borne(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// How the destination is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outage {
    /// Turns all away; every second answer tells when it will be back.
    Shut,
    /// Refuses connections.
    Down,
    /// Takes calls and says nothing.
    Hung,
}

#[derive(Clone, Copy, Debug)]
pub struct Day {
    pub seed: u64,
    pub senders: usize,
    /// What the settings let it bear in a window when it has just come back, in calls.
    pub n: f64,
    /// Endpoints.
    pub ways: u32,
    pub outage: Outage,
    pub age: Micros,
    /// When seven in ten senders are killed at once, counted from the return; they start again 0.6 s later.
    pub restart: Option<Micros>,
    /// How many of the endpoints stay well all the while; with any, the destination is not out and not cold.
    pub well: u32,
}

/// What a played day came to.
pub struct Played {
    /// The first fall that breaks the rule.
    pub fall: Option<Fall>,
    /// Whether more came than is borne, but a third or more of it from senders that had not been told.
    pub fell_untold: bool,
    /// Calls served up to the fall, or to the end.
    pub served: usize,
    /// Calls served from the return to the end, as if nothing had fallen.
    pub served_back: usize,
    /// Calls served while the outage lasts, at endpoints that stay well.
    pub served_out: usize,
}

/// What a sender's calls to one endpoint came to, for the trace.
#[derive(Clone, Copy, Default)]
struct Asked {
    probes: u32,
    probe_was_good: bool,
}

/// What a sender's journal keeps of a message's attempts.
#[derive(Clone, Copy, Default)]
struct Tries {
    count: u32,
    /// The first that may have run: where, and when it was sent.
    may_run: Option<(u32, Micros)>,
}

struct Sender {
    d: Dispatcher,
    from: Micros,
    told: bool,
    /// Started anew, with no answer since.
    restarted: bool,
    asked: BTreeMap<u32, Asked>,
    alive: bool,
    /// Which life; what was under way in an earlier one is lost.
    life: u32,
    attempts: BTreeMap<u64, Tries>,
    timer: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Message(usize),
    Timer(usize, u32),
    /// Sender, its life, message, attempt, endpoint, when sent, kind of end (0 done, 1 busy, 2 refused, 3 silent), wait.
    End(usize, u32, u64, u32, u32, Micros, u8, Micros),
    /// Sender, its life, message, attempt that was called off.
    Cancelled(usize, u32, u64, u32),
    /// Sender, its life, endpoint, whether it is well.
    Probe(usize, u32, u32, bool),
    Kill,
    Start(usize),
}

pub struct World {
    day: Day,
    set: Settings,
    limit: f64,
    back: Micros,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, What)>>,
    count: u64,
    senders: Vec<Sender>,
    random: u64,
    /// Arrivals in the window.
    recent: VecDeque<Arrival>,
    taken: VecDeque<Micros>,
    played: Played,
}

fn settings(senders: usize) -> Settings {
    let class = |effect| ClassSettings {
        aim: S,
        deadline: 12 * S,
        effect,
        window: 8 * S,
        late_share: 0.4,
        ..ClassSettings::default()
    };
    Settings {
        senders: senders as u32,
        slots: 16,
        max_open: 200,
        max_attempts: 6,
        cancel: true,
        probes: true,
        max_retry_after: 2 * S,
        quantum: 5 * MS,
        drain_grace: 500 * MS,
        weights: Weights::Nominal,
        classes: vec![class(Effect::Free), class(Effect::Guarded), class(Effect::SingleShot)],
        kinds: vec![KindSettings { batch: 1, apart: false }],
        ..Settings::default()
    }
}

impl World {
    pub fn new(day: Day) -> Self {
        let set = settings(day.senders);
        let limit = day.n / (set.fall_multiple * set.cold_from * set.fall_window as f64 / 1e6);
        let mut w = World {
            day,
            limit,
            back: OUT_FROM + day.age,
            now: 0,
            queue: BinaryHeap::new(),
            count: 0,
            senders: Vec::new(),
            random: day.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            recent: VecDeque::new(),
            taken: VecDeque::new(),
            played: Played { fall: None, fell_untold: false, served: 0, served_back: 0, served_out: 0 },
            set,
        };
        for i in 0..day.senders {
            let d = w.dispatcher(i as u64);
            w.senders.push(Sender {
                d,
                from: 0,
                told: false,
                restarted: false,
                asked: BTreeMap::new(),
                alive: true,
                life: 0,
                attempts: BTreeMap::new(),
                timer: Micros::MAX,
            });
            let at = w.gap(i);
            w.plan(at, What::Message(i));
            w.round(i, &[w.list()]);
        }
        if let Some(after) = day.restart {
            w.plan(w.back + after, What::Kill);
        }
        w
    }

    fn list(&self) -> Event {
        let entry = |e| EndpointEntry {
            endpoint: EndpointId(e),
            dest: DEST,
            status: Status::Up,
            kind: 0,
            zone: 0,
            weight: Some(self.limit),
        };
        Event::Members { whole: true, entries: (0..self.day.ways).map(entry).collect() }
    }

    fn dispatcher(&mut self, i: u64) -> Dispatcher {
        Dispatcher::new(
            0,
            self.day.seed ^ (i + 1).wrapping_mul(0x1234_5679) ^ (self.now as u64) << 20,
            self.set.clone(),
        )
        .expect("settings are good")
    }

    fn chance(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Until a sender's next message: all together offer seven tenths of the limit; one in ten has four times the mean.
    fn gap(&mut self, i: usize) -> Micros {
        let part = if i % 10 == 3 { 4.0 } else { 0.67 };
        let rate = 0.7 * self.limit * part / self.day.senders as f64;
        (-(1.0 - self.chance()).ln() / rate * 1e6) as Micros + 1
    }

    fn plan(&mut self, at: Micros, what: What) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, what)));
    }

    /// Whether this endpoint is out now.
    fn out(&self, endpoint: EndpointId) -> bool {
        (OUT_FROM..self.back).contains(&self.now) && endpoint.0 < self.day.ways - self.day.well
    }

    /// Calls a second that it can do now.
    fn can(&self) -> f64 {
        if self.now < OUT_FROM || self.day.well > 0 {
            return self.limit;
        }
        let share = ((self.now - self.back) as f64 / self.set.warm_up as f64).clamp(0.0, 1.0);
        self.limit * (self.set.cold_from + (1.0 - self.set.cold_from) * share)
    }

    /// One call or probe arrives; the first that pushes the destination over and breaks the rule is kept.
    fn arrives(&mut self, i: usize, endpoint: EndpointId, cause: Cause) {
        let s = &self.senders[i];
        let known = s.d.known(endpoint);
        let belief = match (known.bad_since, known.back_since) {
            (Some(_), _) => Belief::Out,
            (None, Some(_)) => Belief::Cold,
            (None, None) => Belief::Well,
        };
        let (told, restarted) = (s.told, s.restarted);
        self.recent.push_back(Arrival { at: self.now, sender: i, told, restarted, cause, belief });
        while self.recent.front().is_some_and(|a| a.at <= self.now - self.set.fall_window) {
            self.recent.pop_front();
        }
        let cold = self.day.well == 0 && (self.back..self.back + self.set.warm_up).contains(&self.now);
        let n = self.set.fall_multiple * self.can() * self.set.fall_window as f64 / 1e6;
        let (got, told) = (self.recent.len(), self.recent.iter().filter(|a| a.told).count());
        if !cold || (got as f64) <= borne(n) || self.played.fall.is_some() {
            return;
        }
        if told * 3 <= got * 2 {
            self.played.fell_untold = true;
            return;
        }
        let (after, window) = (self.now - self.back, self.recent.iter().copied().collect());
        self.played.fall = Some(Fall { day: self.day, after, n, window });
    }

    /// Why a call to this endpoint is made.
    fn cause(&mut self, i: usize, endpoint: EndpointId, attempt: u32) -> Cause {
        let asked = self.senders[i].asked.entry(endpoint.0).or_default();
        match std::mem::take(&mut asked.probe_was_good) {
            true => Cause::BehindProbe,
            false if attempt > 0 => Cause::Repeat,
            false => Cause::FirstCall,
        }
    }

    fn probe_cause(&mut self, i: usize, endpoint: EndpointId) -> Cause {
        let asked = self.senders[i].asked.entry(endpoint.0).or_default();
        asked.probes += 1;
        if asked.probes == 1 { Cause::FirstProbe } else { Cause::LaterProbe }
    }

    fn round(&mut self, i: usize, events: &[Event]) {
        let mut actions = Vec::new();
        let s = &mut self.senders[i];
        let (mine, life) = (self.now - s.from, s.life);
        s.d.round(mine, events, &mut actions);
        for a in actions {
            match a {
                Action::Send { id, endpoint, timeout } => {
                    let tries = self.senders[i].attempts.entry(id.0).or_default();
                    let attempt = tries.count;
                    tries.count += 1;
                    tries.may_run = tries.may_run.or(Some((endpoint.0, self.now)));
                    // A connection refused pushes nobody.
                    if !(self.out(endpoint) && self.day.outage == Outage::Down) {
                        let cause = self.cause(i, endpoint, attempt);
                        self.arrives(i, endpoint, cause);
                    }
                    let (kind, took, wait) = self.serve(endpoint, timeout);
                    let end = What::End(i, life, id.0, attempt, endpoint.0, self.now, kind, wait);
                    self.plan(self.now + took, end);
                }
                Action::Probe { endpoint } => {
                    if !(self.out(endpoint) && self.day.outage == Outage::Down) {
                        let cause = self.probe_cause(i, endpoint);
                        self.arrives(i, endpoint, cause);
                    }
                    let well = !self.out(endpoint);
                    let silent = !well && self.day.outage == Outage::Hung;
                    let took = if silent { S } else { 30 * MS };
                    self.plan(self.now + took, What::Probe(i, life, endpoint.0, well));
                }
                Action::Timer { at, .. } => {
                    let s = &mut self.senders[i];
                    s.timer = at + s.from;
                    self.plan(at + self.senders[i].from, What::Timer(i, life));
                }
                // Called off: known at once, and the sender knows why it gave the call up.
                Action::Cancel { id, attempt } => {
                    self.plan(self.now + MS, What::Cancelled(i, life, id.0, attempt))
                }
                Action::Refuse { id, .. } | Action::Fail { id } => _ = self.senders[i].attempts.remove(&id.0),
                _ => {}
            }
        }
    }

    /// How a call ends, after which time, and the wait it is told.
    fn serve(&mut self, endpoint: EndpointId, timeout: Micros) -> (u8, Micros, Micros) {
        let took = 40 * MS + (self.chance() * 80.0) as Micros * MS;
        if self.out(endpoint) {
            let tells = self.chance() < 0.5;
            return match self.day.outage {
                Outage::Shut if tells => (1, took, (self.back - self.now - took).max(0)),
                Outage::Shut => (1, took, 0),
                Outage::Down => (2, MS, 0),
                Outage::Hung => (3, timeout, 0),
            };
        }
        while self.taken.front().is_some_and(|at| *at <= self.now - S) {
            self.taken.pop_front();
        }
        if self.taken.len() as f64 >= self.can().max(1.0) {
            return (1, took, 0);
        }
        self.taken.push_back(self.now);
        (0, took, 0)
    }

    fn step(&mut self, what: What) {
        match what {
            What::Message(i) => {
                let at = self.now + self.gap(i);
                self.plan(at, What::Message(i));
                if !self.senders[i].alive {
                    return;
                }
                self.count += 1;
                let (id, class) = (MsgId(self.count), (self.count % 3) as usize);
                let time_left = self.set.classes[class].deadline;
                let message =
                    Event::Message { id, class, tenant: 0, key: None, dest: DEST, time_left, again: false };
                self.round(i, &[message]);
            }
            What::Timer(i, life) => {
                let s = &self.senders[i];
                if !s.alive || s.life != life || s.timer != self.now {
                    return;
                }
                self.round(i, &[Event::Timer { token: 0 }]);
            }
            What::End(i, life, id, attempt, endpoint, sent, kind, wait) => {
                let s = &mut self.senders[i];
                if !s.alive || s.life != life {
                    return;
                }
                let outcome = match kind {
                    0 => Outcome::Done,
                    1 => Outcome::Busy,
                    2 => Outcome::ConnectFailed,
                    _ => Outcome::TimedOut,
                };
                // A call of the outage that is known to be lost only after the return tells of it all the same.
                s.told |= kind != 0 && (OUT_FROM..self.back).contains(&sent);
                // A refusal proves that this attempt did not run.
                if let Some(tries) = s.attempts.get_mut(&id) {
                    tries.may_run = tries.may_run.filter(|first| *first != (endpoint, sent) || kind == 3);
                }
                if kind == 0 {
                    s.attempts.remove(&id);
                    s.restarted = false;
                    s.asked.remove(&endpoint);
                    self.played.served += usize::from(self.played.fall.is_none());
                    self.played.served_back += usize::from(self.now >= self.back);
                    self.played.served_out += usize::from((OUT_FROM..self.back).contains(&self.now));
                }
                let end = Event::Outcome {
                    id: MsgId(id),
                    attempt,
                    endpoint: EndpointId(endpoint),
                    outcome,
                    last: kind == 0,
                    elapsed: self.now - sent,
                    wait,
                    report: None,
                };
                self.round(i, &[end]);
            }
            What::Cancelled(i, life, id, attempt) => {
                let s = &mut self.senders[i];
                if !s.alive || s.life != life {
                    return;
                }
                s.told |= (OUT_FROM..self.back).contains(&self.now);
                let end = Event::Outcome {
                    id: MsgId(id),
                    attempt,
                    endpoint: EndpointId(0),
                    outcome: Outcome::Cancelled,
                    last: false,
                    elapsed: 0,
                    wait: 0,
                    report: None,
                };
                self.round(i, &[end]);
            }
            What::Probe(i, life, endpoint, well) => {
                let s = &mut self.senders[i];
                if !s.alive || s.life != life {
                    return;
                }
                s.told |= !well;
                s.asked.entry(endpoint).or_default().probe_was_good = well;
                let outcome = if well { Outcome::Done } else { Outcome::Error };
                self.round(i, &[Event::Probed { endpoint: EndpointId(endpoint), outcome, report: None }]);
            }
            What::Kill => {
                for i in (0..self.senders.len()).filter(|i| i % 10 < 7) {
                    self.senders[i].alive = false;
                    self.plan(self.now + 600 * MS, What::Start(i));
                }
            }
            What::Start(i) => {
                // What its journal kept: messages open, and what was believed of the destination.
                let (now, fresh) = (self.now, self.dispatcher(i as u64));
                let s = &mut self.senders[i];
                let (old, past) = (std::mem::replace(&mut s.d, fresh), self.now - s.from);
                let ago = |at: Option<Micros>| at.map(|at| past - at);
                let mut events = vec![];
                for (endpoint, k) in (0..self.day.ways).map(EndpointId).map(|e| (e, old.known(e))) {
                    let (bad_for, back, budget) = (ago(k.bad_since), ago(k.back_since), k.budget);
                    events.push(Event::Remembered { endpoint, wait: 0, bad_for, back, budget });
                }
                (s.from, s.alive, s.life) = (self.now, true, s.life + 1);
                (s.restarted, s.asked) = (true, BTreeMap::new());
                for (id, tries) in s.attempts.clone() {
                    let (id, class) = (MsgId(id), (id % 3) as usize);
                    let time_left = 4 * S;
                    events.push(Event::Message {
                        id,
                        class,
                        tenant: 0,
                        key: None,
                        dest: DEST,
                        time_left,
                        again: true,
                    });
                    let may_run = tries.may_run.map(|(at, sent)| (EndpointId(at), now - sent));
                    events.push(Event::Resumed { id, attempts: tries.count, may_run });
                }
                events.insert(0, self.list());
                self.round(i, &events);
            }
        }
    }

    /// Plays the day to the end of the warm-up and a second.
    pub fn play(mut self) -> Played {
        let end = self.back + self.set.warm_up + S;
        while let Some(Reverse((at, _, what))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(what);
        }
        self.played
    }
}
