//! A sender driven step by step by a test: its settings and events, and the actions of its dispatcher.
#![allow(dead_code)]

use heronroute::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const FREE: usize = 0;
pub const GUARDED: usize = 1;
pub const UNSAFE: usize = 2;
pub const ORDERED: usize = 3;

pub fn settings() -> Settings {
    let class = |effect, ordered| ClassSettings {
        aim: 2 * S,
        deadline: 20 * S,
        effect,
        window: 8 * S,
        ordered,
        late_share: 0.4,
        ..ClassSettings::default()
    };
    Settings {
        senders: 2,
        slots: 12,
        max_open: 100,
        max_attempts: 5,
        cancel: true,
        probes: true,
        max_retry_after: 2 * S,
        quantum: 5 * MS,
        drain_grace: 500 * MS,
        order_settle: S,
        classes: vec![
            class(Effect::Free, false),
            class(Effect::Guarded, false),
            class(Effect::SingleShot, false),
            class(Effect::Free, true),
        ],
        kinds: vec![
            KindSettings { batch: 1, apart: false },
            KindSettings { batch: 10, apart: false },
            KindSettings { batch: 1, apart: true },
        ],
        ..Settings::default()
    }
}

pub fn entry(endpoint: u32, dest: i64, kind: usize) -> EndpointEntry {
    let (endpoint, dest) = (EndpointId(endpoint), DestId(dest));
    EndpointEntry { endpoint, dest, status: Status::Up, kind, zone: 0, weight: None }
}

pub fn message(id: u64, class: usize, dest: i64) -> Event {
    let (id, dest) = (MsgId(id), DestId(dest));
    Event::Message { id, class, tenant: 0, key: None, dest, time_left: 20 * S, again: false }
}

pub fn ordered_message(id: u64, dest: i64, key: &str) -> Event {
    let (id, dest, key) = (MsgId(id), DestId(dest), Some(key.to_string()));
    Event::Message { id, class: ORDERED, tenant: 0, key, dest, time_left: 20 * S, again: false }
}

/// An attempt in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub id: u64,
    pub attempt: u32,
    pub endpoint: u32,
    pub sent: Micros,
    pub timeout: Micros,
}

/// A sender with its dispatcher, and what the dispatcher requested so far.
pub struct TestSender {
    pub dispatcher: Dispatcher,
    pub now: Micros,
    pub in_flight: Vec<Attempt>,
    pub attempts: std::collections::BTreeMap<u64, u32>,
    pub refused: Vec<u64>,
    pub failed: Vec<u64>,
    pub probes: Vec<u32>,
    pub closes: Vec<u32>,
    pub cancels: Vec<(u64, u32)>,
    pub sent_at: Vec<Micros>,
    pub timer_requests: usize,
    pub timers: std::collections::BTreeSet<Micros>,
}

impl TestSender {
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> TestSender {
        let dispatcher = Dispatcher::new(0, 7, settings).expect("the settings are valid");
        let mut sender = TestSender {
            dispatcher,
            now: 0,
            in_flight: vec![],
            attempts: Default::default(),
            refused: vec![],
            failed: vec![],
            probes: vec![],
            closes: vec![],
            cancels: vec![],
            sent_at: vec![],
            timer_requests: 0,
            timers: Default::default(),
        };
        sender.round(&[Event::DirectoryUpdate { whole: true, entries }]);
        sender
    }

    /// Runs one round at the current time. Returns the attempts that it started.
    pub fn round(&mut self, events: &[Event]) -> Vec<Attempt> {
        let mut actions = Vec::new();
        self.dispatcher.round(self.now, events, &mut actions);
        let mut started = Vec::new();
        for a in &actions {
            match a {
                Action::Send { id, endpoint, timeout } => {
                    let count = self.attempts.entry(id.0).or_insert(0);
                    let (id, endpoint, timeout) = (id.0, endpoint.0, *timeout);
                    started.push(Attempt { id, attempt: *count, endpoint, sent: self.now, timeout });
                    *count += 1;
                }
                Action::Refuse { id, .. } => self.refused.push(id.0),
                Action::Fail { id } => self.failed.push(id.0),
                Action::Probe { endpoint } => self.probes.push(endpoint.0),
                Action::Cancel { id, attempt } => self.cancels.push((id.0, *attempt)),
                Action::Close { endpoint } => self.closes.push(endpoint.0),
                Action::Timer { at, .. } => {
                    self.timer_requests += 1;
                    self.timers.insert(*at);
                }
                _ => {}
            }
        }
        self.sent_at.extend(started.iter().map(|o| o.sent));
        self.in_flight.extend(started.clone());
        started
    }

    /// Advances the time in steps of 10 ms, with timeouts. Returns the attempts started meanwhile.
    pub fn advance(&mut self, span: Micros) -> Vec<Attempt> {
        let end = self.now + span;
        let mut started = Vec::new();
        while self.now < end {
            self.now += 10 * MS;
            let timed_out: Vec<Attempt> =
                self.in_flight.iter().filter(|o| self.now - o.sent >= o.timeout).cloned().collect();
            let mut events = vec![Event::Timer { token: 0 }];
            events.extend(timed_out.iter().map(|o| self.end_attempt(o, Outcome::TimedOut, 0)));
            started.extend(self.round(&events));
        }
        started
    }

    /// Removes an attempt from those in flight and returns the event that ends it.
    pub fn end_attempt(&mut self, attempt: &Attempt, outcome: Outcome, wait: Micros) -> Event {
        self.in_flight.retain(|other| other != attempt);
        let (id, endpoint) = (MsgId(attempt.id), EndpointId(attempt.endpoint));
        let (attempt, message_closed, elapsed) =
            (attempt.attempt, outcome == Outcome::Done, self.now - attempt.sent);
        Event::Outcome { id, attempt, endpoint, outcome, message_closed, elapsed, wait, report: None }
    }

    pub fn finish_attempt(&mut self, attempt: &Attempt, outcome: Outcome) -> Vec<Attempt> {
        let event = self.end_attempt(attempt, outcome, 0);
        self.round(&[event])
    }

    /// Submits `n` messages, one each `gap`, and answers every call after 100 ms.
    pub fn serve_steadily(&mut self, first: u64, n: u64, class: usize, dest: i64, gap: Micros) {
        for i in 0..n {
            self.round(&[message(first + i, class, dest)]);
            let mut left = gap;
            while left > 0 {
                self.advance(10 * MS);
                left -= 10 * MS;
                let due: Vec<Attempt> =
                    self.in_flight.iter().filter(|o| self.now - o.sent >= 100 * MS).cloned().collect();
                for o in due {
                    self.finish_attempt(&o, Outcome::Done);
                }
            }
        }
        for o in self.in_flight.clone() {
            self.finish_attempt(&o, Outcome::Done);
        }
    }

    /// Ends the attempts that were cancelled.
    pub fn confirm_cancellations(&mut self) {
        for (id, attempt) in std::mem::take(&mut self.cancels) {
            if let Some(o) = self.in_flight.iter().find(|o| (o.id, o.attempt) == (id, attempt)).cloned() {
                self.finish_attempt(&o, Outcome::Cancelled);
            }
        }
    }

    /// Returns the number of attempts started from `from` until before `to`.
    pub fn calls_between(&self, from: Micros, to: Micros) -> usize {
        self.sent_at.iter().filter(|t| (from..to).contains(t)).count()
    }

    /// Returns the number of attempts in flight to the matching endpoints.
    pub fn in_flight_to(&self, matches: impl Fn(u32) -> bool) -> usize {
        self.in_flight.iter().filter(|o| matches(o.endpoint)).count()
    }
}
