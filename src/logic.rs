//! All decisions of heronroute. What goes in and comes out is defined in `src/interface.rs`, the plain data
//! kept between rounds in `src/state.rs`.
//!
//! The ordinary path is a bulkhead: each destination owns a pool of permits sized rate x p99 x safety, a call
//! holds a permit until its outcome, and messages wait in the destination's hold, oldest first. Around it
//! stand a call budget (pace), a judgement of each endpoint's health with single trials, and a paced return.
//! A *lane* is what has one limit and one pool: a destination, or one route of it where routes are apart.

use crate::interface::*;
use crate::state::*;
use std::collections::BTreeMap;

/// Safety factor of the sizing rule, as in the source.
const SAFETY: f64 = 1.5;
/// A new pool gets this share of the slots: wide enough to learn from, too small to do harm.
const START_SHARE: f64 = 0.1;
/// A sized pool never exceeds this share of the slots, the design's fifth; more is only borrowed.
const SHARE_CAP: f64 = 0.2;
/// With borrowed slots a destination stays within this share: it may fall silent the moment after.
const BORROW_CAP: f64 = 0.5;
/// A sick destination holds at most this share of the slots.
const SICK_CAP: f64 = 0.5;
/// All sick destinations together hold at most this share, so that frozen pools cannot fill the slots.
const ALL_SICK_CAP: f64 = 0.6;
/// Slots kept free of borrowers, as a share.
const BORROW_RESERVE: f64 = 0.15;
/// With fewer free slots than this share, silent calls are given up ...
const RECLAIM_RESERVE: f64 = 0.2;
/// ... once they have been out for this multiple of what counts as silence.
const RECLAIM_AFTER: f64 = 3.0;
/// Memory of arrival rates: long against clumps, short against a day's swing.
const RATE_MEMORY: f64 = 8e6;
/// Weight of a new latency sample once there are many.
const LATENCY_GAIN: f64 = 0.04;
/// Assumed p99 before the first sample.
const P99_UNKNOWN: f64 = 2e6;
/// Silence beyond this multiple of p99 is a symptom.
const SILENCE: f64 = 1.5;
/// Silence shorter than this is never a symptom.
const SILENCE_LEAST: f64 = 4e5;
/// Weight of one outcome in an endpoint's share of failures; two in a row cross one half.
const FAIL_GAIN: f64 = 0.3;
/// Share of failures at which an endpoint is in trouble.
const FAIL_LIMIT: f64 = 0.5;
/// Time between trials: first, and at most.
const TRIAL_FIRST: Micros = 200_000;
const TRIAL_MOST: Micros = 2_000_000;
/// Trouble that lasted at least this long may have been an outage: the return is paced.
const COLD_AFTER: Micros = 1_500_000;
/// Share of the allowed load that this sender uses on a cold destination.
const RAMP_SAFETY: f64 = 0.75;
/// What each further message of a batch weighs on a cold destination, in calls.
const BATCH_WEIGHT: f64 = 0.25;
/// Repeatable messages are waited for this multiple of p99, at least `TIMEOUT_LEAST`.
const TIMEOUT: f64 = 4.0;
const TIMEOUT_LEAST: f64 = 1.2e6;
/// Part of a keyed window after which an attempt is given up, so that a resend fits in.
const WINDOW_PART: f64 = 0.45;
/// Budget after a refusal as a share of what was accepted; its growth a second and the least of it, as
/// shares of this sender's own demand, so that senders with more traffic get more.
const BUDGET_CUT: f64 = 0.75;
const BUDGET_GROWTH: f64 = 0.2;
const BUDGET_LEAST: f64 = 0.4;
/// Where no limit is known the cut starts from this multiple of what was accepted.
const QUEUE_SLACK: f64 = 1.5;
/// Share of a known limit that is used at most.
const LIMIT_PART: f64 = 0.95;
/// A rough weight may be too low by this factor: refusals teach the rest.
const ROUGH: f64 = 1.5;
/// Calls a second that stand for no budget at all.
const UNPACED: f64 = 1e6;
/// Saved-up calls, in seconds of budget.
const BURST: f64 = 0.4;
/// Pause after a refusal that told no wait.
const REFUSED_PAUSE: Micros = 250_000;
/// A crowded endpoint is given one more call at a time after each such span.
const UNCROWD: Micros = 400_000;
/// Once messages are late, rank goes by the worth lost within this span of waiting ...
const YIELD: f64 = 1.5e6;
/// ... plus this share of the worth at hand, which may be lost for good if the backlog stays.
const WORTH_NOW: f64 = 0.4;
/// Room kept free below `max_open`, as a share, so that new messages are never turned away unseen.
const ROOM: f64 = 0.06;
/// Between rounds with work at hand.
const TICK: Micros = 10_000;
/// Pools are resized this often.
const RESIZE: Micros = 500_000;

impl Rate {
    fn new(now: Micros) -> Self {
        Rate { born: now, at: now, value: 0.0 }
    }
    fn add(&mut self, now: Micros) {
        self.value = self.value * (-((now - self.at) as f64) / RATE_MEMORY).exp() + 1e6 / RATE_MEMORY;
        self.at = now;
    }
    fn get(&self, now: Micros) -> f64 {
        let age = (now - self.born).max(1_000_000) as f64;
        self.value * (-((now - self.at) as f64) / RATE_MEMORY).exp() / (1.0 - (-age / RATE_MEMORY).exp())
    }
}

impl Latency {
    fn learn(&mut self, elapsed: Micros) {
        let x = elapsed.max(1_000) as f64;
        self.recent = if self.n == 0.0 { x } else { self.recent + 0.3 * (x - self.recent) };
        // A slow spell widens the picture only little by little: the sized latency is that of health.
        let l = if self.n < 8.0 { x.ln() } else { x.ln().min(self.p99().ln() + 0.7) };
        let gain = (1.0 / (self.n + 1.0)).max(LATENCY_GAIN);
        let d = l - self.mu;
        self.mu += gain * d;
        self.var = (1.0 - gain) * (self.var + gain * d * d);
        self.n += 1.0;
    }
    fn p99(&self) -> f64 {
        if self.n == 0.0 {
            return P99_UNKNOWN;
        }
        (self.mu + 2.33 * self.var.sqrt()).exp() * (1.0 + 3.0 / (self.n + 1.0))
    }
    fn mean(&self) -> f64 {
        if self.n == 0.0 { P99_UNKNOWN / 4.0 } else { (self.mu + self.var / 2.0).exp() }
    }
    fn slow(&self) -> bool {
        self.n > 0.0 && self.recent > self.p99()
    }
    fn silence(&self) -> f64 {
        (SILENCE * self.p99()).max(2.0 * self.recent).max(SILENCE_LEAST)
    }
}

/// Decides for one sender. Feed it rounds of events; it answers with actions.
#[derive(Default)]
pub struct Dispatcher {
    now: Micros,
    random: u64,
    set: Settings,
    seq: u64,
    lanes: BTreeMap<LaneKey, Lane>,
    dests: BTreeMap<DestId, Dest>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    msgs: BTreeMap<MsgId, Msg>,
    calls: BTreeMap<u64, Call>,
    keys: BTreeMap<String, Key>,
    used: u32,
    wake: Micros,
}

impl Dispatcher {
    /// Starts a dispatcher.
    ///
    /// # Errors
    /// When the settings hold a figure with which it cannot work.
    pub fn new(now: Micros, seed: u64, settings: Settings) -> Result<Self, SettingsError> {
        settings.validate()?;
        let (random, wake) = (seed | 1, Micros::MIN);
        Ok(Dispatcher { now, random, wake, set: settings, ..Dispatcher::default() })
    }

    /// Takes all that happened by `now`, then decides.
    pub fn round(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        for event in events {
            self.absorb(event);
        }
        self.finish_due(out);
        self.watch();
        let crowded = self.endpoints.iter().filter(|(_, e)| e.crowded.is_some_and(|c| c.1 == self.now));
        out.extend(crowded.map(|(id, _)| Action::Close { endpoint: *id }));
        self.reclaim(out);
        self.probe(out);
        self.dispatch(out);
        self.make_room(out);
        self.set_timer(out);
    }

    fn absorb(&mut self, event: &Event) {
        match event {
            Event::Members { whole, entries } => self.members(*whole, entries),
            Event::Message { id, class, key, dest, time_left, again, .. } => {
                if self.msgs.contains_key(id) {
                    return;
                }
                self.seq += 1;
                let now = self.now;
                let ordered = self.set.classes.get(*class).is_some_and(|c| c.ordered);
                let msg = Msg {
                    seq: self.seq,
                    class: *class,
                    key: key.clone().filter(|_| ordered),
                    dest: *dest,
                    deadline: now + (*time_left).clamp(0, MAX_SPAN),
                    ..Msg::default()
                };
                if let Some(k) = &msg.key {
                    self.keys.entry(k.clone()).or_default().queue.insert((self.seq, *id));
                }
                let d = self.dest(*dest);
                // Clients that come again are no new demand: they must not widen the pool.
                if !again {
                    d.rate.add(now);
                }
                d.hold.insert((msg.seq, *id));
                self.msgs.insert(*id, msg);
            }
            Event::Outcome { id, attempt, outcome, last, elapsed, wait, report, .. } => {
                let wait = (*wait).clamp(0, MAX_SPAN);
                let answer = Answer { outcome: *outcome, took: *elapsed, wait, report: *report };
                self.outcome(*id, *attempt, *last, answer);
            }
            Event::Left { id } => self.close(*id),
            Event::Probed { endpoint, outcome, report } => {
                let now = self.now;
                self.read(*endpoint, *report);
                let Some(t) = self.endpoints.get_mut(endpoint).and_then(|e| e.trouble.as_mut()) else {
                    return;
                };
                t.probing = false;
                if *outcome == Outcome::Done {
                    (t.probed, t.next) = (true, now);
                } else {
                    t.again(now, 1.0);
                }
            }
            Event::Timer { .. } | Event::Note { .. } => {}
        }
    }

    fn dest(&mut self, id: DestId) -> &mut Dest {
        let now = self.now;
        self.dests.entry(id).or_insert_with(|| Dest { rate: Rate::new(now), ..Dest::default() })
    }

    fn members(&mut self, whole: bool, entries: &[EndpointEntry]) {
        if whole {
            self.endpoints.values_mut().for_each(|e| e.listed = false);
        }
        for entry in entries {
            let apart = self.set.kinds.get(entry.kind).is_some_and(|k| k.apart);
            let lane = if apart { LaneKey::Route(entry.endpoint) } else { LaneKey::Whole(entry.dest) };
            let now = self.now;
            let listed = entry.status == Status::Up;
            let start = ((self.set.slots as f64 * START_SHARE) as u32).max(1);
            if !listed && !self.endpoints.contains_key(&entry.endpoint) {
                continue;
            }
            self.dest(entry.dest).endpoints.insert(entry.endpoint);
            let slack = if self.set.weights == Weights::Rough { ROUGH } else { 1.0 };
            let weight = entry.weight.filter(|w| w.is_finite() && *w > 0.0).map(|w| w * slack);
            let limit = weight.filter(|_| self.set.weights != Weights::Silent);
            let (dest, budget, accepted) = (entry.dest, f64::INFINITY, Rate::new(now));
            let fresh = || Lane {
                dest,
                permits: start,
                tokens: UNPACED,
                filled: now,
                budget,
                accepted,
                ..Lane::default()
            };
            let l = self.lanes.entry(lane).or_insert_with(fresh);
            l.limit = limit.or(l.limit);
            let (kind, zone) = (entry.kind, entry.zone);
            let fresh = || Endpoint { lane, dest, kind, zone, last_ok: now, ..Endpoint::default() };
            let e = self.endpoints.entry(entry.endpoint).or_insert_with(fresh);
            e.listed = listed;
        }
        // What is gone is remembered for a warm-up: named again, its wait and its health still hold.
        let idle = |e: &Endpoint| !e.listed && e.out == 0 && self.now - e.used > self.set.warm_up;
        let waits = |e: &Endpoint| self.lanes.get(&e.lane).is_some_and(|l| l.wait_until > self.now);
        let gone = self.endpoints.iter().filter(|(_, e)| idle(e) && !waits(e)).map(|(id, _)| *id);
        let gone: Vec<EndpointId> = gone.collect();
        for id in gone {
            if let Some(e) = self.endpoints.remove(&id) {
                if let Some(d) = self.dests.get_mut(&e.dest) {
                    d.endpoints.remove(&id);
                }
                if matches!(e.lane, LaneKey::Route(_)) {
                    self.lanes.remove(&e.lane);
                }
            }
        }
    }

    fn read(&mut self, endpoint: EndpointId, report: Option<Report>) {
        let Some(lane) = self.endpoints.get(&endpoint).and_then(|e| self.lanes.get_mut(&e.lane)) else {
            return;
        };
        lane.limit = report.and_then(|r| r.limit).filter(|l| l.is_finite() && *l > 0.0).or(lane.limit);
    }

    fn outcome(&mut self, id: MsgId, attempt: u32, last: bool, answer: Answer) {
        let Answer { outcome, wait, .. } = answer;
        let now = self.now;
        let Some(msg) = self.msgs.get_mut(&id) else { return };
        let Some(at) = msg.out.iter().position(|a| a.no == attempt) else {
            return;
        };
        let a = msg.out.remove(at);
        let Some(call) = self.calls.get_mut(&a.call) else {
            return;
        };
        let (endpoint, trial, first) = (call.endpoint, call.trial, !call.judged);
        call.judged = true;
        call.left = call.left.saturating_sub(1);
        let over = call.left == 0;
        if !outcome.never_ran() && outcome != Outcome::Done {
            let sent = msg.may_run.map_or(a.sent, |m| m.0.min(a.sent));
            msg.may_run = Some((sent, msg.may_run.map_or(endpoint, |m| m.1)));
            if let Some(key) = msg.key.as_ref().and_then(|k| self.keys.get_mut(k))
                && outcome != Outcome::Error
            {
                key.rest_until = now + self.set.order_settle;
            }
        }
        msg.avoid = Some(endpoint);
        let closed = last || outcome == Outcome::Done || msg.closed;
        if over {
            self.calls.remove(&a.call);
            self.used -= 1;
            if let Some(e) = self.endpoints.get_mut(&endpoint) {
                e.out -= 1;
                e.used = now;
                if let Some(l) = self.lanes.get_mut(&e.lane) {
                    l.out -= 1;
                }
            }
        }
        // Each outcome of a batch may tell a wait of its own: all of them bind, not only the first.
        if wait > 0
            && let Some(l) = self.endpoints.get(&endpoint).and_then(|e| self.lanes.get_mut(&e.lane))
        {
            l.wait_until = l.wait_until.max(now + wait);
        }
        if first {
            self.read(endpoint, answer.report);
            self.judge(endpoint, answer, a.sent, trial);
        }
        if closed {
            self.close(id);
        } else if self.may_retry(id) {
            let (seq, dest) = (self.msgs[&id].seq, self.msgs[&id].dest);
            self.dest(dest).hold.insert((seq, id));
        }
        // A message that may not be tried again and has nothing out is failed by `finish_due`.
    }

    /// What one call's end says of its endpoint and lane.
    fn judge(&mut self, id: EndpointId, answer: Answer, sent: Micros, trial: bool) {
        let Answer { outcome, took, wait, .. } = answer;
        let now = self.now;
        let jitter = self.jitter();
        let Some(e) = self.endpoints.get_mut(&id) else {
            return;
        };
        let Some(lane) = self.lanes.get_mut(&e.lane) else {
            return;
        };
        match outcome {
            Outcome::Done => {
                lane.latency.learn(took);
                lane.accepted.add(now);
                e.last_ok = now;
                e.fails *= 1.0 - FAIL_GAIN;
                if let Some(t) = &mut e.trouble {
                    if trial {
                        (t.trial, t.next) = (None, now);
                    }
                    if e.fails < FAIL_LIMIT && (trial || sent >= t.since || now - t.since < COLD_AFTER) {
                        if now - t.since >= COLD_AFTER {
                            e.warm = Some(Warm { since: now, tokens: 0.0, filled: now });
                        }
                        e.trouble = None;
                    }
                }
                return;
            }
            Outcome::Skipped | Outcome::Cancelled => {
                if let Some(t) = e.trouble.as_mut().filter(|_| trial) {
                    t.trial = None;
                }
                return;
            }
            Outcome::Busy => {
                if wait == 0 {
                    lane.wait_until = lane.wait_until.max(now + REFUSED_PAUSE);
                }
                if now - lane.cut > REFUSED_PAUSE {
                    lane.cut = now;
                    // Without a limit it was a full queue, which drains by itself: a gentler cut will do.
                    let slack = if lane.limit.is_some() { 1.0 } else { QUEUE_SLACK };
                    let top = lane.limit.unwrap_or(f64::INFINITY);
                    let own = self.dests.get(&lane.dest).map_or(0.0, |d| d.rate.get(now));
                    let least = (own * BUDGET_LEAST).min(top * 0.5).max(0.1);
                    let from = lane.budget.min(top).min((lane.accepted.get(now) * slack).max(least));
                    lane.budget = (from * BUDGET_CUT).max(least);
                    lane.tokens = lane.tokens.min(0.0);
                }
            }
            // Guards against a full table of connections being taken for an endpoint that is down: it
            // answered while the call was out. Fewer calls for a while; idle connections are let go.
            Outcome::ConnectFailed if e.last_ok > sent => {
                e.crowded = Some((e.out.max(1), now));
                return;
            }
            _ => {}
        }
        e.fails += FAIL_GAIN * (1.0 - e.fails);
        let harmless = outcome.never_ran();
        match &mut e.trouble {
            Some(t) => {
                t.harmless &= harmless;
                if trial {
                    t.again(now, jitter);
                }
            }
            None if e.fails > FAIL_LIMIT => e.trouble = Some(Trouble::new(now, harmless)),
            None => {}
        }
    }

    fn jitter(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        0.8 + 0.4 * (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The message is over for its client. Attempts still out are remembered until they end.
    fn close(&mut self, id: MsgId) {
        let Some(msg) = self.msgs.get_mut(&id) else { return };
        msg.closed = true;
        let entry = (msg.seq, id);
        if let Some(d) = self.dests.get_mut(&msg.dest) {
            d.hold.remove(&entry);
        }
        if msg.out.is_empty() {
            if let Some(k) = msg.key.take()
                && let Some(key) = self.keys.get_mut(&k)
            {
                key.queue.remove(&entry);
                if key.queue.is_empty() && key.rest_until <= self.now {
                    self.keys.remove(&k);
                }
            }
            self.msgs.remove(&id);
        }
    }

    fn class(&self, msg: &Msg) -> ClassSettings {
        self.set.classes.get(msg.class).cloned().unwrap_or_default()
    }

    /// Whether a further attempt is allowed at all, now.
    fn may_retry(&self, id: MsgId) -> bool {
        let Some(msg) = self.msgs.get(&id) else {
            return false;
        };
        if msg.closed || !msg.out.is_empty() || msg.attempts >= self.set.max_attempts {
            return false;
        }
        let class = self.class(msg);
        match (class.effect, msg.may_run) {
            (Effect::Free, _) | (_, None) => true,
            (Effect::Guarded, Some((first, _))) => self.now < first + class.window,
            (Effect::SingleShot, Some(_)) => false,
        }
    }

    /// Whether a client may be told that handing it in again does no harm.
    fn may_refuse(&self, msg: &Msg) -> bool {
        let class = self.class(msg);
        class.effect == Effect::Free
            || (msg.out.is_empty() && msg.may_run.is_none())
            || (class.effect == Effect::Guarded && class.group == Group::All)
    }

    fn finish(&mut self, id: MsgId, out: &mut Vec<Action>) {
        let Some(msg) = self.msgs.get(&id) else { return };
        out.push(if self.may_refuse(msg) {
            Action::Refuse { id, retry_after: self.set.max_retry_after / 2 }
        } else {
            Action::Fail { id }
        });
        self.close(id);
    }

    /// The final answers that are due: time is up, or nothing more may be tried.
    fn finish_due(&mut self, out: &mut Vec<Action>) {
        let mut due = Vec::new();
        for (id, msg) in self.msgs.iter().filter(|(_, m)| !m.closed) {
            let late = self.now + self.set.quantum >= msg.deadline;
            if late || (msg.out.is_empty() && !self.may_retry(*id)) {
                due.push(*id);
            }
        }
        for id in due {
            self.finish(id, out);
        }
    }

    /// Silence past p99 is a symptom; so is a trial that stays unanswered.
    fn watch(&mut self) {
        let now = self.now;
        for call in self.calls.values() {
            let Some(e) = self.endpoints.get_mut(&call.endpoint) else {
                continue;
            };
            let Some(lane) = self.lanes.get(&e.lane) else {
                continue;
            };
            let silent = now - call.sent > lane.latency.silence() as Micros && e.last_ok <= call.sent;
            match &mut e.trouble {
                None if silent => e.trouble = Some(Trouble::new(now, false)),
                Some(t) if silent && t.trial.is_some_and(|s| s == call.sent) => {
                    t.harmless = false;
                    t.again(now, 1.0);
                }
                _ => {}
            }
        }
        for (key, lane) in &mut self.lanes {
            let cap = lane.limit.map_or(f64::INFINITY, |l| l * LIMIT_PART);
            let dt = (now - lane.filled) as f64 / 1e6;
            let own = self.dests.get(&lane.dest).map_or(0.0, |d| d.rate.get(now));
            if lane.budget.is_finite() {
                lane.budget = (lane.budget + BUDGET_GROWTH * own.max(0.2) * dt).min(cap.max(0.5));
            }
            let pace = lane.budget.min(cap).min(UNPACED);
            lane.tokens = (lane.tokens + pace * dt).min((pace * BURST).max(1.0));
            lane.filled = now;
            let ill = |e: &Endpoint| e.listed && e.lane == *key && e.trouble.is_some();
            let sick = lane.latency.slow() || self.endpoints.values().any(ill);
            if now - lane.resized >= RESIZE && !sick {
                lane.resized = now;
                let top = ((self.set.slots as f64 * SHARE_CAP).ceil() as u32).max(1);
                let sized = (own * lane.latency.p99() / 1e6 * SAFETY).ceil() as u32;
                lane.permits = sized.clamp(1, top);
            }
        }
        let (from, warm_up, multiple) = (self.set.cold_from, self.set.warm_up, self.set.fall_multiple);
        let senders = self.set.senders as f64;
        let mut listed: BTreeMap<LaneKey, u32> = BTreeMap::new();
        for e in self.endpoints.values().filter(|e| e.listed) {
            *listed.entry(e.lane).or_default() += 1;
        }
        for e in self.endpoints.values_mut() {
            let Some(w) = &mut e.warm else { continue };
            let (Some(d), Some(l)) = (self.dests.get(&e.dest), self.lanes.get(&e.lane)) else {
                continue;
            };
            if now - w.since >= warm_up {
                e.warm = None;
                continue;
            }
            let share = from + (1.0 - from) * (now - w.since) as f64 / warm_up.max(1) as f64;
            let usual = d.rate.get(now).max(l.limit.map_or(0.0, |x| x / senders));
            let parts = listed.get(&e.lane).copied().unwrap_or(1);
            let pace = RAMP_SAFETY * multiple * share * usual / parts as f64;
            w.tokens = (w.tokens + pace * (now - w.filled) as f64 / 1e6).min(1.0_f64.max(pace * 0.25));
            w.filled = now;
        }
    }

    /// Guards against silent calls filling the slots (a hung destination's unsafe calls hold theirs until the
    /// deadline): short of slots, with others waiting, the call that has been silent longest for its lane is
    /// given up. Covers any cause of silence; harms an unsafe message whose answer was merely late.
    fn reclaim(&mut self, out: &mut Vec<Action>) {
        let reserve = (self.set.slots as f64 * RECLAIM_RESERVE).ceil() as u32;
        let held = self.dests.values().any(|d| !d.hold.is_empty());
        if !self.set.cancel || !held || self.set.slots.saturating_sub(self.used) >= reserve {
            return;
        }
        let mut worst: Option<(f64, u64)> = None;
        for (id, call) in self.calls.iter_mut().filter(|(_, c)| !c.cancelled) {
            let Some(e) = self.endpoints.get(&call.endpoint) else { continue };
            let Some(lane) = self.lanes.get(&e.lane) else { continue };
            let over = (self.now - call.sent) as f64 / lane.latency.silence();
            if over > RECLAIM_AFTER && worst.is_none_or(|w| over > w.0) {
                worst = Some((over, *id));
            }
        }
        let Some((_, call)) = worst else { return };
        self.calls.entry(call).and_modify(|c| c.cancelled = true);
        for (id, msg) in &self.msgs {
            let attempts = msg.out.iter().filter(|a| a.call == call);
            out.extend(attempts.map(|a| Action::Cancel { id: *id, attempt: a.no }));
        }
    }

    /// Endpoints in trouble are asked by a probe first, where that is allowed.
    fn probe(&mut self, out: &mut Vec<Action>) {
        if !self.set.probes {
            return;
        }
        for (id, e) in &mut self.endpoints {
            let Some(lane) = self.lanes.get(&e.lane) else {
                continue;
            };
            let wanted = self.dests.get(&e.dest).is_some_and(|d| !d.hold.is_empty());
            let Some(t) = &mut e.trouble else { continue };
            let due = !t.harmless && !t.probed && !t.probing && t.trial.is_none() && self.now >= t.next;
            if e.listed && wanted && due && self.now >= lane.wait_until {
                t.probing = true;
                out.push(Action::Probe { endpoint: *id });
            }
        }
    }

    /// The endpoints of a destination that could take a call now, each with whether only a repeatable message
    /// may go there, and its cost.
    fn usable(&self, dest: DestId) -> Vec<(EndpointId, bool, f64)> {
        let now = self.now;
        let slots = self.set.slots as f64;
        let Some(d) = self.dests.get(&dest) else {
            return Vec::new();
        };
        let mut total = 0;
        let mut doubtful = false;
        for id in &d.endpoints {
            let e = &self.endpoints[id];
            total += e.out;
            doubtful |= e.listed && self.doubtful(e);
        }
        let part = |share: f64| ((slots * share) as u32).max(1);
        let ceiling = if doubtful { part(SICK_CAP) } else { part(BORROW_CAP) };
        let free = self.set.slots.saturating_sub(self.used);
        if total >= ceiling || (doubtful && self.sick_out() >= part(ALL_SICK_CAP)) {
            return Vec::new();
        }
        let reserve = (slots * BORROW_RESERVE).ceil() as u32;
        let mut list = Vec::new();
        for id in &d.endpoints {
            let e = &self.endpoints[id];
            let Some(lane) = self.lanes.get(&e.lane) else {
                continue;
            };
            let borrow = !doubtful && free > reserve;
            if !e.listed
                || now < lane.wait_until
                || lane.tokens < 1.0
                || (lane.out >= lane.permits && !borrow)
            {
                continue;
            }
            if e.crowded.is_some_and(|(cap, at)| e.out >= cap + ((now - at) / UNCROWD) as u32)
                || e.warm.as_ref().is_some_and(|w| w.tokens < 1.0)
            {
                continue;
            }
            let mut careful = false;
            if let Some(t) = &e.trouble {
                if now < t.next || t.trial.is_some() || t.probing {
                    continue;
                }
                if !t.harmless && self.set.probes && !t.probed {
                    continue;
                }
                careful = !t.harmless && !t.probed;
            }
            let mut cost = lane.latency.mean() * (1.0 + e.out as f64);
            if e.zone != self.set.zone {
                cost *= 1.0 + 30.0 * self.set.cross_zone_price;
            }
            let warm = now - e.used < self.set.idle_close && e.out < e.conns * self.set.streams;
            if !warm {
                cost *= 1.0 + 10.0 * self.set.handshake_price;
            }
            if matches!(e.lane, LaneKey::Route(_)) {
                cost *= 1.0 + 100.0 * self.set.zone_fees.get(e.zone).copied().unwrap_or(0.0);
            }
            if e.trouble.is_some() {
                cost *= 10.0;
            }
            list.push((*id, careful, cost));
        }
        list.sort_by(|a, b| a.2.total_cmp(&b.2));
        list
    }

    fn doubtful(&self, e: &Endpoint) -> bool {
        e.trouble.is_some() || self.lanes.get(&e.lane).is_some_and(|l| l.latency.slow())
    }

    fn sick_out(&self) -> u32 {
        self.endpoints.values().filter(|e| self.doubtful(e)).map(|e| e.out).sum()
    }

    /// Whether this message may go to this endpoint now.
    fn fits(&self, id: MsgId, endpoint: EndpointId, careful: bool) -> bool {
        let msg = &self.msgs[&id];
        let class = self.class(msg);
        if !self.may_retry(id) || (careful && class.effect == Effect::SingleShot) {
            return false;
        }
        if let Some(key) = msg.key.as_ref().and_then(|k| self.keys.get(k))
            && (key.queue.first() != Some(&(msg.seq, id)) || (msg.attempts == 0 && self.now < key.rest_until))
        {
            return false;
        }
        match (class.effect, class.group, msg.may_run) {
            (Effect::Guarded, Group::Endpoint, Some((_, at))) => at == endpoint,
            (Effect::Guarded, Group::Zone, Some((_, at))) => {
                let zone = |e: EndpointId| self.endpoints.get(&e).map(|e| e.zone);
                zone(at).is_some() && zone(at) == zone(endpoint)
            }
            _ => true,
        }
    }

    /// The worth that a message would earn if delivered `ahead` from now.
    fn worth(&self, msg: &Msg, ahead: f64) -> f64 {
        let c = self.class(msg);
        let (aim, deadline) = (c.aim.max(1) as f64, c.deadline.max(1) as f64);
        let age = deadline - (msg.deadline - self.now) as f64 + ahead;
        if age <= aim {
            return c.worth;
        }
        if age >= deadline {
            return 0.0;
        }
        c.worth
            * match self.set.late {
                Late::Line => 1.0 - (1.0 - c.late_share) * (age - aim) / (deadline - aim).max(1.0),
                Late::Halves => 0.5_f64.powf((age - aim) / aim).max(c.late_share),
            }
    }

    fn candidate(&self, dest: DestId) -> Option<(f64, MsgId, EndpointId)> {
        let list = self.usable(dest);
        if list.is_empty() {
            return None;
        }
        // Oldest first until one is late; then those that lose most by waiting, oldest first among equals.
        let mut hold: Vec<(f64, MsgId)> = self.dests[&dest].hold.iter().map(|(_, id)| (0.0, *id)).collect();
        let late = |id: &MsgId| self.worth(&self.msgs[id], 0.0) < self.class(&self.msgs[id]).worth;
        if hold.iter().any(|(_, id)| late(id)) {
            for (rank, id) in &mut hold {
                let now = self.worth(&self.msgs[id], 0.0);
                *rank = self.worth(&self.msgs[id], YIELD) - (1.0 + WORTH_NOW) * now;
            }
            hold.sort_by(|a, b| a.0.total_cmp(&b.0));
        }
        for (_, id) in &hold {
            let msg = &self.msgs[id];
            let ok = || list.iter().filter(|(e, careful, _)| self.fits(*id, *e, *careful));
            if let Some((e, ..)) = ok().find(|(e, ..)| msg.avoid != Some(*e)).or(ok().next()) {
                let mean = self.lanes[&self.endpoints[e].lane].latency.mean();
                return Some((self.worth(msg, mean) / mean, *id, *e));
            }
        }
        None
    }

    fn dispatch(&mut self, out: &mut Vec<Action>) {
        let mut open: Vec<DestId> =
            self.dests.iter().filter(|(_, d)| !d.hold.is_empty()).map(|(id, _)| *id).collect();
        while self.used < self.set.slots && !open.is_empty() {
            let mut best: Option<(f64, MsgId, EndpointId)> = None;
            open.retain(|dest| match self.candidate(*dest) {
                None => false,
                Some(c) => {
                    if best.is_none_or(|b| c.0 > b.0) {
                        best = Some(c);
                    }
                    true
                }
            });
            let Some((_, id, endpoint)) = best else { break };
            self.send(id, endpoint, out);
        }
    }

    /// One call: this message, and where the kind batches, others of the hold that may share its fate.
    fn send(&mut self, id: MsgId, endpoint: EndpointId, out: &mut Vec<Action>) {
        let now = self.now;
        let (dest, kind) = (self.endpoints[&endpoint].dest, self.endpoints[&endpoint].kind);
        let trial = self.endpoints[&endpoint].trouble.is_some();
        let most = if trial { 1 } else { self.set.kinds.get(kind).map_or(1, |k| k.batch.max(1)) as usize };
        let mut batch = vec![id];
        for (_, other) in &self.dests[&dest].hold {
            if batch.len() >= most {
                break;
            }
            if *other != id && self.fits(*other, endpoint, false) {
                batch.push(*other);
            }
        }
        self.seq += 1;
        let call = self.seq;
        self.calls.insert(
            call,
            Call { endpoint, sent: now, left: batch.len() as u32, judged: false, trial, cancelled: false },
        );
        self.used += 1;
        let Some(e) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let Some(lane) = self.lanes.get_mut(&e.lane) else {
            return;
        };
        if now - e.used >= self.set.idle_close && e.out == 0 {
            e.conns = 0;
        }
        e.out += 1;
        e.used = now;
        e.conns = e.conns.max(e.out.div_ceil(self.set.streams.max(1)));
        if let Some(t) = &mut e.trouble {
            t.trial = Some(now);
        }
        if let Some(w) = &mut e.warm {
            w.tokens -= 1.0 + BATCH_WEIGHT * (batch.len() - 1) as f64;
        }
        lane.out += 1;
        lane.tokens -= 1.0;
        let patience = (TIMEOUT * lane.latency.p99()).max(TIMEOUT_LEAST) as Micros;
        for id in batch {
            let Some(msg) = self.msgs.get_mut(&id) else {
                continue;
            };
            let class = self.set.classes.get(msg.class).cloned().unwrap_or_default();
            let left = msg.deadline - now;
            let timeout = match class.effect {
                Effect::Free => patience,
                Effect::Guarded => patience.min((class.window as f64 * WINDOW_PART) as Micros),
                Effect::SingleShot => left,
            };
            let timeout = timeout.clamp(1, left.max(1));
            msg.out.push(Attempt { no: msg.attempts, call, sent: now });
            msg.attempts += 1;
            if let Some(d) = self.dests.get_mut(&dest) {
                d.hold.remove(&(msg.seq, id));
            }
            out.push(Action::Send { id, endpoint, timeout });
        }
    }

    /// Short of room, what earns least is shed first.
    fn make_room(&mut self, out: &mut Vec<Action>) {
        let room = ((self.set.max_open as f64 * ROOM).ceil() as usize).max(1);
        let most = (self.set.max_open as usize).saturating_sub(room);
        let open = self.msgs.values().filter(|m| !m.closed).count();
        if open <= most {
            return;
        }
        let mut held: Vec<(f64, MsgId)> = Vec::new();
        for d in self.dests.values() {
            for (_, id) in &d.hold {
                let msg = &self.msgs[id];
                if self.may_refuse(msg) {
                    held.push((self.worth(msg, 0.0), *id));
                }
            }
        }
        held.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        for (_, id) in held.into_iter().take(open - most) {
            self.finish(id, out);
        }
    }

    fn set_timer(&mut self, out: &mut Vec<Action>) {
        let open = self.msgs.values().filter(|m| !m.closed).map(|m| m.deadline).min();
        let Some(deadline) = open else { return };
        let at = (deadline - self.set.quantum).min(self.now + TICK).max(self.now + 1);
        if self.wake > self.now && self.wake <= at {
            return;
        }
        self.wake = at;
        out.push(Action::Timer { at, token: 0 });
    }
}

impl Trouble {
    fn new(since: Micros, harmless: bool) -> Self {
        Trouble { since, next: since + TRIAL_FIRST, backoff: TRIAL_FIRST, harmless, ..Trouble::default() }
    }
    /// A trial or probe came to nothing: the next one waits longer.
    fn again(&mut self, now: Micros, jitter: f64) {
        (self.trial, self.probed) = (None, false);
        self.backoff = (self.backoff * 2).min(TRIAL_MOST);
        self.next = now + (self.backoff as f64 * jitter) as Micros;
    }
}
