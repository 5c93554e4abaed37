//! The simulation: many senders, one destination that has an outage and recovers cold, and the count of the
//! calls that it gets.

use super::trace::{Arrival, AssumedState, Cause, Overload};
use heronroute::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
const DEST: DestId = DestId(1);
/// The start of the outage.
const OUTAGE_START: Micros = 8 * S;

/// Returns the number of calls and probes of all senders in a window above which a cold destination with
/// capacity `n` is overloaded.
pub fn overload_threshold(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// How the destination behaves during the outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outage {
    /// It rejects all calls; every second answer announces the end of the outage.
    Shut,
    /// It refuses connections.
    Down,
    /// It accepts calls and doesn't answer.
    Hung,
}

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub senders: usize,
    /// N: the calls that the settings allow in a window right after the recovery.
    pub n: f64,
    /// The number of endpoints.
    pub endpoints: u32,
    pub outage: Outage,
    /// The length of the outage.
    pub outage_length: Micros,
    /// When seven in ten senders are killed at once, relative to the recovery. They restart 0.6 s later.
    pub restart: Option<Micros>,
    /// How many of the endpoints stay healthy. If there are any, the destination counts neither as out nor as
    /// cold.
    pub healthy: u32,
}

/// The result of a simulation.
pub struct SimulationResult {
    /// The first overload that counts as a failure.
    pub overload: Option<Overload>,
    /// Whether there was an overload, but with a third or more of the calls from senders that were not
    /// informed.
    pub uninformed_overload: bool,
    /// Calls served up to the failure, or to the end.
    pub served: usize,
    /// Calls served from the recovery to the end, regardless of a failure.
    pub served_after_recovery: usize,
    /// Calls served during the outage, at endpoints that stay healthy.
    pub served_during_outage: usize,
}

/// A sender's probes of one endpoint, for the trace.
#[derive(Clone, Copy, Default)]
struct ProbeHistory {
    count: u32,
    probe_succeeded: bool,
}

/// What a sender's journal keeps of a message's attempts.
#[derive(Clone, Copy, Default)]
struct AttemptHistory {
    count: u32,
    /// The endpoint and time of the first attempt that may have been executed.
    may_run: Option<(u32, Micros)>,
}

struct Sender {
    dispatcher: Dispatcher,
    started_at: Micros,
    informed: bool,
    /// Whether it has restarted, with no successful call since.
    restarted: bool,
    probes: BTreeMap<u32, ProbeHistory>,
    alive: bool,
    /// Counts the restarts. Events of an earlier run are lost.
    run: u32,
    attempts: BTreeMap<u64, AttemptHistory>,
    timer: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    /// Sender.
    Message(usize),
    /// Sender, its run.
    Timer(usize, u32),
    /// Sender, its run, message, attempt, endpoint, time sent, kind of end (0 done, 1 busy, 2 connection
    /// refused, 3 silent), wait.
    End(usize, u32, u64, u32, u32, Micros, u8, Micros),
    /// Sender, its run, message, cancelled attempt.
    Cancelled(usize, u32, u64, u32),
    /// Sender, its run, endpoint, whether it is healthy.
    Probe(usize, u32, u32, bool),
    Kill,
    Start(usize),
}

pub struct Simulation {
    scenario: Scenario,
    settings: Settings,
    limit: f64,
    recovered_at: Micros,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, SimulationEvent)>>,
    count: u64,
    senders: Vec<Sender>,
    random: u64,
    /// The arrivals of the last window.
    recent: VecDeque<Arrival>,
    served_at: VecDeque<Micros>,
    result: SimulationResult,
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

impl Simulation {
    pub fn new(scenario: Scenario) -> Self {
        let settings = settings(scenario.senders);
        let limit =
            scenario.n / (settings.fall_multiple * settings.cold_from * settings.fall_window as f64 / 1e6);
        let mut simulation = Simulation {
            scenario,
            limit,
            recovered_at: OUTAGE_START + scenario.outage_length,
            now: 0,
            queue: BinaryHeap::new(),
            count: 0,
            senders: Vec::new(),
            random: scenario.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            recent: VecDeque::new(),
            served_at: VecDeque::new(),
            result: SimulationResult {
                overload: None,
                uninformed_overload: false,
                served: 0,
                served_after_recovery: 0,
                served_during_outage: 0,
            },
            settings,
        };
        for i in 0..scenario.senders {
            let dispatcher = simulation.dispatcher(i as u64);
            simulation.senders.push(Sender {
                dispatcher,
                started_at: 0,
                informed: false,
                restarted: false,
                probes: BTreeMap::new(),
                alive: true,
                run: 0,
                attempts: BTreeMap::new(),
                timer: Micros::MAX,
            });
            let at = simulation.gap(i);
            simulation.schedule(at, SimulationEvent::Message(i));
            simulation.round(i, &[simulation.directory()]);
        }
        if let Some(after) = scenario.restart {
            simulation.schedule(simulation.recovered_at + after, SimulationEvent::Kill);
        }
        simulation
    }

    fn directory(&self) -> Event {
        let entry = |e| EndpointEntry {
            endpoint: EndpointId(e),
            dest: DEST,
            status: Status::Up,
            kind: 0,
            zone: 0,
            weight: Some(self.limit),
        };
        Event::DirectoryUpdate { whole: true, entries: (0..self.scenario.endpoints).map(entry).collect() }
    }

    fn dispatcher(&mut self, i: u64) -> Dispatcher {
        Dispatcher::new(
            0,
            self.scenario.seed ^ (i + 1).wrapping_mul(0x1234_5679) ^ (self.now as u64) << 20,
            self.settings.clone(),
        )
        .expect("the settings are valid")
    }

    fn chance(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns the time until a sender's next message. All senders together offer seven tenths of the limit;
    /// one sender in ten has four times the mean rate.
    fn gap(&mut self, i: usize) -> Micros {
        let part = if i % 10 == 3 { 4.0 } else { 0.67 };
        let rate = 0.7 * self.limit * part / self.scenario.senders as f64;
        (-(1.0 - self.chance()).ln() / rate * 1e6) as Micros + 1
    }

    fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }

    /// Returns whether this endpoint has its outage now.
    fn has_outage(&self, endpoint: EndpointId) -> bool {
        (OUTAGE_START..self.recovered_at).contains(&self.now)
            && endpoint.0 < self.scenario.endpoints - self.scenario.healthy
    }

    /// Returns the current capacity of the destination in calls per second.
    fn capacity(&self) -> f64 {
        if self.now < OUTAGE_START || self.scenario.healthy > 0 {
            return self.limit;
        }
        let share = ((self.now - self.recovered_at) as f64 / self.settings.warm_up as f64).clamp(0.0, 1.0);
        self.limit * (self.settings.cold_from + (1.0 - self.settings.cold_from) * share)
    }

    /// Records the arrival of a call or probe, and the first overload that counts as a failure.
    fn record_arrival(&mut self, i: usize, endpoint: EndpointId, cause: Cause) {
        let sender = &self.senders[i];
        let restart_state = sender.dispatcher.restart_state(endpoint);
        let assumed = match (restart_state.bad_since, restart_state.back_since) {
            (Some(_), _) => AssumedState::Out,
            (None, Some(_)) => AssumedState::Cold,
            (None, None) => AssumedState::Healthy,
        };
        let (informed, restarted) = (sender.informed, sender.restarted);
        self.recent.push_back(Arrival { at: self.now, sender: i, informed, restarted, cause, assumed });
        while self.recent.front().is_some_and(|a| a.at <= self.now - self.settings.fall_window) {
            self.recent.pop_front();
        }
        let cold = self.scenario.healthy == 0
            && (self.recovered_at..self.recovered_at + self.settings.warm_up).contains(&self.now);
        let n = self.settings.fall_multiple * self.capacity() * self.settings.fall_window as f64 / 1e6;
        let (received, informed) = (self.recent.len(), self.recent.iter().filter(|a| a.informed).count());
        if !cold || (received as f64) <= overload_threshold(n) || self.result.overload.is_some() {
            return;
        }
        if informed * 3 <= received * 2 {
            self.result.uninformed_overload = true;
            return;
        }
        let (after, window) = (self.now - self.recovered_at, self.recent.iter().copied().collect());
        self.result.overload = Some(Overload { scenario: self.scenario, after, n, window });
    }

    /// Returns the reason for a call to this endpoint.
    fn call_cause(&mut self, i: usize, endpoint: EndpointId, attempt: u32) -> Cause {
        let probes = self.senders[i].probes.entry(endpoint.0).or_default();
        match std::mem::take(&mut probes.probe_succeeded) {
            true => Cause::AfterProbe,
            false if attempt > 0 => Cause::Retry,
            false => Cause::FirstCall,
        }
    }

    fn probe_cause(&mut self, i: usize, endpoint: EndpointId) -> Cause {
        let probes = self.senders[i].probes.entry(endpoint.0).or_default();
        probes.count += 1;
        if probes.count == 1 { Cause::FirstProbe } else { Cause::LaterProbe }
    }

    fn round(&mut self, i: usize, events: &[Event]) {
        let mut actions = Vec::new();
        let sender = &mut self.senders[i];
        let (local_now, run) = (self.now - sender.started_at, sender.run);
        sender.dispatcher.round(local_now, events, &mut actions);
        for a in actions {
            match a {
                Action::Send { id, endpoint, timeout } => {
                    let history = self.senders[i].attempts.entry(id.0).or_default();
                    let attempt = history.count;
                    history.count += 1;
                    history.may_run = history.may_run.or(Some((endpoint.0, self.now)));
                    // A refused connection adds no load.
                    if !(self.has_outage(endpoint) && self.scenario.outage == Outage::Down) {
                        let cause = self.call_cause(i, endpoint, attempt);
                        self.record_arrival(i, endpoint, cause);
                    }
                    let (kind, took, wait) = self.serve(endpoint, timeout);
                    let end = SimulationEvent::End(i, run, id.0, attempt, endpoint.0, self.now, kind, wait);
                    self.schedule(self.now + took, end);
                }
                Action::Probe { endpoint } => {
                    if !(self.has_outage(endpoint) && self.scenario.outage == Outage::Down) {
                        let cause = self.probe_cause(i, endpoint);
                        self.record_arrival(i, endpoint, cause);
                    }
                    let healthy = !self.has_outage(endpoint);
                    let silent = !healthy && self.scenario.outage == Outage::Hung;
                    let took = if silent { S } else { 30 * MS };
                    self.schedule(self.now + took, SimulationEvent::Probe(i, run, endpoint.0, healthy));
                }
                Action::Timer { at, .. } => {
                    let sender = &mut self.senders[i];
                    sender.timer = at + sender.started_at;
                    self.schedule(at + self.senders[i].started_at, SimulationEvent::Timer(i, run));
                }
                // The cancellation is confirmed at once. It counts as information about the outage, as the
                // sender knows why it gave up the call.
                Action::Cancel { id, attempt } => {
                    self.schedule(self.now + MS, SimulationEvent::Cancelled(i, run, id.0, attempt))
                }
                Action::Refuse { id, .. } | Action::Fail { id } => _ = self.senders[i].attempts.remove(&id.0),
                _ => {}
            }
        }
    }

    /// Returns how a call ends, after which time, and the wait that the answer asks for.
    fn serve(&mut self, endpoint: EndpointId, timeout: Micros) -> (u8, Micros, Micros) {
        let took = 40 * MS + (self.chance() * 80.0) as Micros * MS;
        if self.has_outage(endpoint) {
            let announces = self.chance() < 0.5;
            return match self.scenario.outage {
                Outage::Shut if announces => (1, took, (self.recovered_at - self.now - took).max(0)),
                Outage::Shut => (1, took, 0),
                Outage::Down => (2, MS, 0),
                Outage::Hung => (3, timeout, 0),
            };
        }
        while self.served_at.front().is_some_and(|at| *at <= self.now - S) {
            self.served_at.pop_front();
        }
        if self.served_at.len() as f64 >= self.capacity().max(1.0) {
            return (1, took, 0);
        }
        self.served_at.push_back(self.now);
        (0, took, 0)
    }

    fn step(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Message(i) => {
                let at = self.now + self.gap(i);
                self.schedule(at, SimulationEvent::Message(i));
                if !self.senders[i].alive {
                    return;
                }
                self.count += 1;
                let (id, class) = (MsgId(self.count), (self.count % 3) as usize);
                let time_left = self.settings.classes[class].deadline;
                let message =
                    Event::Message { id, class, tenant: 0, key: None, dest: DEST, time_left, again: false };
                self.round(i, &[message]);
            }
            SimulationEvent::Timer(i, run) => {
                let sender = &self.senders[i];
                if !sender.alive || sender.run != run || sender.timer != self.now {
                    return;
                }
                self.round(i, &[Event::Timer { token: 0 }]);
            }
            SimulationEvent::End(i, run, id, attempt, endpoint, sent, kind, wait) => {
                let sender = &mut self.senders[i];
                if !sender.alive || sender.run != run {
                    return;
                }
                let outcome = match kind {
                    0 => Outcome::Done,
                    1 => Outcome::Busy,
                    2 => Outcome::ConnectFailed,
                    _ => Outcome::TimedOut,
                };
                // A call of the outage also informs the sender if its loss is noticed only after the
                // recovery.
                sender.informed |= kind != 0 && (OUTAGE_START..self.recovered_at).contains(&sent);
                // A refusal proves that this attempt was not executed.
                if let Some(history) = sender.attempts.get_mut(&id) {
                    history.may_run = history.may_run.filter(|first| *first != (endpoint, sent) || kind == 3);
                }
                if kind == 0 {
                    sender.attempts.remove(&id);
                    sender.restarted = false;
                    sender.probes.remove(&endpoint);
                    self.result.served += usize::from(self.result.overload.is_none());
                    self.result.served_after_recovery += usize::from(self.now >= self.recovered_at);
                    self.result.served_during_outage +=
                        usize::from((OUTAGE_START..self.recovered_at).contains(&self.now));
                }
                let end = Event::Outcome {
                    id: MsgId(id),
                    attempt,
                    endpoint: EndpointId(endpoint),
                    outcome,
                    message_closed: kind == 0,
                    elapsed: self.now - sent,
                    wait,
                    report: None,
                };
                self.round(i, &[end]);
            }
            SimulationEvent::Cancelled(i, run, id, attempt) => {
                let sender = &mut self.senders[i];
                if !sender.alive || sender.run != run {
                    return;
                }
                sender.informed |= (OUTAGE_START..self.recovered_at).contains(&self.now);
                let end = Event::Outcome {
                    id: MsgId(id),
                    attempt,
                    endpoint: EndpointId(0),
                    outcome: Outcome::Cancelled,
                    message_closed: false,
                    elapsed: 0,
                    wait: 0,
                    report: None,
                };
                self.round(i, &[end]);
            }
            SimulationEvent::Probe(i, run, endpoint, healthy) => {
                let sender = &mut self.senders[i];
                if !sender.alive || sender.run != run {
                    return;
                }
                sender.informed |= !healthy;
                sender.probes.entry(endpoint).or_default().probe_succeeded = healthy;
                let outcome = if healthy { Outcome::Done } else { Outcome::Error };
                self.round(i, &[Event::Probed { endpoint: EndpointId(endpoint), outcome, report: None }]);
            }
            SimulationEvent::Kill => {
                for i in (0..self.senders.len()).filter(|i| i % 10 < 7) {
                    self.senders[i].alive = false;
                    self.schedule(self.now + 600 * MS, SimulationEvent::Start(i));
                }
            }
            SimulationEvent::Start(i) => {
                // Restores what the journal keeps: open messages, and what was known of the destination.
                let (now, new) = (self.now, self.dispatcher(i as u64));
                let sender = &mut self.senders[i];
                let (old, old_now) =
                    (std::mem::replace(&mut sender.dispatcher, new), self.now - sender.started_at);
                let ago = |at: Option<Micros>| at.map(|at| old_now - at);
                let mut events = vec![];
                for (endpoint, k) in
                    (0..self.scenario.endpoints).map(EndpointId).map(|e| (e, old.restart_state(e)))
                {
                    let (failing_for, warming_for, budget) = (ago(k.bad_since), ago(k.back_since), k.budget);
                    events.push(Event::EndpointRestored {
                        endpoint,
                        wait: 0,
                        failing_for,
                        warming_for,
                        budget,
                    });
                }
                (sender.started_at, sender.alive, sender.run) = (self.now, true, sender.run + 1);
                (sender.restarted, sender.probes) = (true, BTreeMap::new());
                for (id, history) in sender.attempts.clone() {
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
                    let may_run = history.may_run.map(|(at, sent)| (EndpointId(at), now - sent));
                    events.push(Event::Resumed { id, attempts: history.count, may_run });
                }
                events.insert(0, self.directory());
                self.round(i, &events);
            }
        }
    }

    /// Runs the simulation until a second after the end of the warm-up.
    pub fn run(mut self) -> SimulationResult {
        let end = self.recovered_at + self.settings.warm_up + S;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(event);
        }
        self.result
    }
}
