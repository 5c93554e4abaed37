//! An installation on a virtual clock: members, links, faults and editors from one seed.
#![allow(dead_code)]

pub mod book;
pub mod engine;
pub mod node;
pub mod script;

use book::Book;
use heronroute_fleet::{Name, Peer};
use heronroute_installation::machine::Machine;
use heronroute_installation::seam::{Input, Output};
use heronroute_installation::wire::{Piece, Wire};
use heronroute_installation::{Client, PlanSetting};
use heronroute_rules::check::destroys;
use heronroute_rules::registry::Desired;
use heronroute_rules::seam::{ClientRequest, DryRunResult, Live, Token, Told};
use heronroute_rules::share::share;
use heronroute_rules::{Plan, RuleLimits, RuleSet};
use node::{Folder, Node};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

pub const MS: i64 = 1000;
pub const S: i64 = 1_000_000;

#[derive(Debug)]
enum Event {
    Wake(usize),
    Deliver { from: usize, to: usize, link: u64, payload: Vec<u8> },
    Join(usize, usize),
    Live(usize, u64, Live),
    DryRunResult(usize, u64, DryRunResult),
    Start(usize, Option<heronroute_fleet::Start>),
}

/// A question and its answer.
pub struct Asked {
    pub at: i64,
    pub node: usize,
    pub client: String,
    pub words: String,
    pub body: Vec<u8>,
    pub told: Option<(i64, Told)>,
    /// Nobody was there to be asked.
    pub dead: bool,
}

pub struct World {
    pub now: i64,
    pub seed: u64,
    pub rng: SmallRng,
    pub peers: Vec<Peer>,
    pub nodes: Vec<Node>,
    /// Directions in which nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    pub latency: (i64, i64),
    /// In thousandths: comes late, as the transport sends it again.
    pub loss: u32,
    pub asks: Vec<Asked>,
    pub book: Book,
    links: BTreeMap<(usize, usize), u64>,
    last: BTreeMap<(usize, usize), i64>,
    queue: BinaryHeap<Reverse<(i64, u64)>>,
    events: BTreeMap<u64, Event>,
    seq: u64,
    /// When a majority of keepers could last speak to each other.
    majority_at: i64,
    /// Who says that it is in charge.
    charge: BTreeMap<usize, u64>,
    pub steps: u64,
    /// Steps in this second.
    second: (i64, u64),
}

pub fn plan(name: &str, hold: u64) -> Arc<Plan> {
    let most = RuleLimits {
        hold_for: Some(3_600 * S),
        hold_count: Some(hold),
        answer_for: Some(600 * S),
        release: Some(1_000),
        ..RuleLimits::default()
    };
    Arc::new(Plan {
        name: name.into(),
        rules: 8,
        most,
        changes_an_hour: 1_000,
        grace: 10 * S,
        ..Plan::default()
    })
}

pub fn clients() -> BTreeMap<String, Client> {
    let of = |plan| Client { operator: false, plan };
    let mut out = BTreeMap::new();
    out.insert("oduya".into(), of(PlanSetting::Plan(plan("small", 1_000))));
    out.insert("banda".into(), of(PlanSetting::Plan(plan("small", 1_000))));
    let mut slow = (*plan("slow", 1_000)).clone();
    slow.approval = true;
    out.insert("chike".into(), of(PlanSetting::Plan(Arc::new(slow))));
    out.insert("plain".into(), of(PlanSetting::Nothing));
    out.insert("ops".into(), Client { operator: true, plan: PlanSetting::Nothing });
    out
}

impl World {
    pub fn new(seed: u64, members: usize, replicas: usize) -> Self {
        Self::with(seed, members, replicas, 1)
    }

    pub fn with(seed: u64, members: usize, replicas: usize, senders: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let peer = |at: usize| Peer {
            name: Name::new(&format!("m{at:03}")).unwrap(),
            zone: format!("z{}", at % 3),
            address: ([127, 0, 0, 1], 7000 + at as u16).into(),
            keeper: at < replicas,
        };
        let peers: Vec<Peer> = (0..members).map(peer).collect();
        let nodes = peers.iter().map(|peer| {
            let (rate, offset) = (rng.random_range(985..=1015), rng.random_range(0..1_000) * S);
            Node::new(peer.clone(), clients(), rate, offset, senders)
        });
        let nodes = nodes.collect();
        World {
            now: 0,
            seed,
            rng,
            peers,
            nodes,
            cut: BTreeSet::new(),
            latency: (MS, 5 * MS),
            loss: 0,
            asks: Vec::new(),
            book: Book::default(),
            links: BTreeMap::new(),
            last: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            seq: 0,
            majority_at: 0,
            charge: BTreeMap::new(),
            steps: 0,
            second: (0, 0),
        }
    }

    /// All members run and are linked.
    pub fn begun(mut self) -> Self {
        (0..self.nodes.len()).for_each(|at| self.start(at, None));
        self
    }

    fn at(&mut self, at: i64, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at.max(self.now), self.seq)));
        self.events.insert(self.seq, event);
    }

    pub fn start(&mut self, at: usize, above: Option<heronroute_fleet::Start>) {
        let (now, seed) = (self.now, self.seed);
        let peers = self.peers.clone();
        self.nodes[at].start(now, &peers, seed, above);
        self.at(now, Event::Wake(at));
        for other in 0..self.nodes.len() {
            if other != at {
                let soon = now + self.rng.random_range(1..300) * MS;
                self.at(soon, Event::Join(at, other));
            }
        }
    }

    pub fn kill(&mut self, at: usize, folder: Folder) {
        let seed = self.rng.random();
        self.nodes[at].kill(folder, seed);
        self.charge.remove(&at);
        for other in 0..self.nodes.len() {
            self.unlink(at, other);
        }
    }

    pub fn pause(&mut self, at: usize) {
        self.nodes[at].paused = self.nodes[at].member.is_some();
    }

    pub fn resume(&mut self, at: usize) {
        self.nodes[at].paused = false;
        self.nodes[at].resumed = self.now;
        let waiting = std::mem::take(&mut self.nodes[at].waiting);
        for input in waiting {
            self.give(at, input);
        }
        self.at(self.now, Event::Wake(at));
    }

    /// Cuts both ways; links notice.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.cut.extend([(a, b), (b, a)]);
        self.unlink(a, b);
    }

    /// One way, and nobody is told.
    pub fn cut_way(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// One way, and the link breaks for both: as over sockets, once one has heard nothing for so long.
    pub fn cut_heard(&mut self, from: usize, to: usize, after: i64) {
        self.cut_way(from, to);
        self.run(after);
        self.cut(from, to);
    }

    pub fn split(&mut self, side: &[usize]) {
        for a in side {
            for b in (0..self.nodes.len()).filter(|b| !side.contains(b)) {
                self.cut(*a, b);
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        for a in 0..self.nodes.len() {
            for b in 0..a {
                if !self.links.contains_key(&(b, a)) {
                    let soon = self.now + self.rng.random_range(1..500) * MS;
                    self.at(soon, Event::Join(a, b));
                }
            }
        }
    }

    /// The link breaks and is made anew.
    pub fn reset(&mut self, a: usize, b: usize) {
        self.unlink(a, b);
        let soon = self.now + self.rng.random_range(50..400) * MS;
        self.at(soon, Event::Join(a, b));
    }

    fn unlink(&mut self, a: usize, b: usize) {
        if self.links.remove(&(a.min(b), a.max(b))).is_some() {
            self.give(a, Input::Unlinked { peer: b });
            self.give(b, Input::Unlinked { peer: a });
        }
    }

    fn join(&mut self, a: usize, b: usize) {
        let key = (a.min(b), a.max(b));
        let cut = self.cut.contains(&(a, b)) && self.cut.contains(&(b, a));
        let up = self.nodes[a].member.is_some() && self.nodes[b].member.is_some();
        if cut || !up || self.links.contains_key(&key) {
            return;
        }
        self.seq += 1;
        self.links.insert(key, self.seq);
        let (la, lb) = (self.nodes[a].life.clone(), self.nodes[b].life.clone());
        self.give(a, Input::Linked { peer: b, life: lb });
        self.give(b, Input::Linked { peer: a, life: la });
    }

    /// An input for a member.
    pub fn give(&mut self, at: usize, input: Input) {
        if self.nodes[at].member.is_none() {
            return;
        }
        if self.nodes[at].paused {
            self.nodes[at].waiting.push(input);
            return;
        }
        let outputs = self.nodes[at].handle(self.now, input);
        self.steps += 1;
        if self.now / S != self.second.0 {
            self.second = (self.now / S, 0);
        }
        self.second.1 += 1;
        if self.second.1 > 40_000 + 4_000 * self.nodes.len() as u64 {
            let what = format!("{} and others never rest", self.nodes[at].life.name);
            self.book.fail(self.now, what);
        }
        for output in outputs {
            self.output(at, output);
        }
        self.check(at);
    }

    fn output(&mut self, at: usize, output: Output) {
        match output {
            Output::Send { peer, payload, .. } => self.sent(at, peer, payload),
            Output::Wake(clock) => {
                let wake = self.nodes[at].world(clock).max(self.now + 1);
                self.nodes[at].wake = wake;
                self.at(wake, Event::Wake(at));
            }
            Output::Told(told) => self.told(at, told),
            Output::Apply(apply) => {
                let place = self.place(at);
                let version = self.book.versions.get(&(apply.client.clone(), apply.set.version));
                let whole =
                    RuleSet { version: apply.set.version, rules: version.cloned().unwrap_or_default() };
                let mine = share(&whole, place, self.nodes.len());
                let name = self.nodes[at].life.name.clone();
                if mine != *apply.set {
                    let what = format!("{name} applies what was not approved: {:?}", apply.set);
                    self.book.fail(self.now, what);
                }
                let none = RuleSet::default();
                let before = self.nodes[at].engine.at_home(&apply.client).unwrap_or(&none);
                let older = before.version > apply.set.version;
                if older && destroys(&before.rules, &apply.set.rules) {
                    let what = format!("{name} goes back from {} to {}", before.version, apply.set.version);
                    self.book.fail(self.now, what);
                }
                let now = self.now;
                let lives = self.nodes[at].engine.apply(now, &apply);
                self.lives(at, lives);
            }
            Output::Fence(fence) => {
                if let Some(under) = &fence.under {
                    let none = Vec::new();
                    let key = (fence.client.clone(), under.version);
                    let rules = self.book.versions.get(&key).unwrap_or(&none).clone();
                    let whole = RuleSet { version: under.version, rules };
                    let mine = share(&whole, self.place(at), self.nodes.len());
                    if mine != **under {
                        let what = format!("a fence over what was not approved: {under:?}");
                        self.book.fail(self.now, what);
                    }
                }
                let fences = &mut self.nodes[at].engine.fences;
                match fence.under {
                    Some(under) => _ = fences.insert(fence.client, under),
                    None => _ = fences.remove(&fence.client),
                }
            }
            Output::DryRun(weigh) => {
                let starts = self.nodes[at].starts;
                for weighed in self.nodes[at].engine.weigh(&weigh) {
                    let soon = self.now + self.rng.random_range(1..20) * MS;
                    self.at(soon, Event::DryRunResult(at, starts, weighed));
                }
            }
            Output::Decided(decided) => {
                let name = self.nodes[at].life.name.clone();
                self.book.decided(self.now, &name, &decided);
                self.rights_over();
                self.book.mark(decided.index ^ (at as u64) << 32);
            }
            Output::SendLease(right) => {
                // Nobody begins anything of a life that the log has taken over.
                let life = self.nodes[at].life.clone();
                let over = self.book.machine.agreed().is_over(&life);
                if over && self.nodes[at].clock(self.now) < right.until {
                    self.book.fail(self.now, format!("{life:?} has a right and was taken over"));
                }
                self.book.rights += 1;
            }
            Output::StartTakeover(up) => {
                let upto = vec![up.from.first().copied().unwrap_or(0) + 1];
                let took = heronroute_region::seam::TakeoverStored { of: up.of, upto };
                self.nodes[at].waiting_took.push(took);
            }
            Output::TakeoverConfirmed(_) => self.book.taken_up += 1,
            Output::MembersWithoutLease(_)
            | Output::List(_)
            | Output::Fenced(_)
            | Output::CancelTakeover(_) => {}
            Output::StartAbove(start) => {
                // The process's nodes go on.
                let fences = std::mem::take(&mut self.nodes[at].engine.fences);
                self.kill(at, Folder::Kept);
                self.nodes[at].engine.fences = fences;
                let soon = self.now + 100 * MS;
                self.at(soon, Event::Start(at, Some(start)));
            }
        }
    }

    /// A life that the log has taken over holds no right, asleep or awake.
    fn rights_over(&mut self) {
        for node in &self.nodes {
            let Some(member) = &node.member else { continue };
            let over = self.book.machine.agreed().is_over(&node.life);
            if over && member.right(node.clock(self.now)).is_some() {
                return self.book.fail(self.now, format!("{:?} is taken over and has a right", node.life));
            }
        }
    }

    /// Nodes say what they apply; it comes a little later, in order.
    pub fn lives(&mut self, at: usize, lives: Vec<Live>) {
        let starts = self.nodes[at].starts;
        for live in lives {
            let soon = self.now + self.rng.random_range(1..20) * MS;
            let last = &mut self.nodes[at].last_live;
            *last = soon.max(*last + 1);
            let soon = *last;
            self.at(soon, Event::Live(at, starts, live));
        }
    }

    fn sent(&mut self, from: usize, to: usize, payload: Vec<u8>) {
        let wire = match Wire::unpack(&payload) {
            Some(Wire::Relay { payload, .. }) => Wire::unpack(payload),
            wire => wire,
        };
        if let Some(Wire::Drift(pieces)) = wire {
            for piece in &pieces {
                if let Piece::Order { order, .. } = piece {
                    let name = self.nodes[from].life.name.clone();
                    self.book.acted(self.now, &name, order.term);
                    self.book.orders += 1;
                }
            }
        }
        self.book.mark(payload.len() as u64 ^ (from as u64) << 20 ^ (to as u64) << 40 ^ self.now as u64);
        let key = (from.min(to), from.max(to));
        let Some(link) = self.links.get(&key).copied().filter(|_| !self.cut.contains(&(from, to))) else {
            return;
        };
        let mut when = self.now + self.rng.random_range(self.latency.0..=self.latency.1);
        if self.loss > 0 && self.rng.random_range(0..1000) < self.loss {
            when += 200 * MS;
        }
        let last = self.last.entry((from, to)).or_insert(0);
        when = when.max(*last + 1);
        *last = when;
        self.at(when, Event::Deliver { from, to, link, payload });
    }

    fn told(&mut self, at: usize, told: Told) {
        let ask = told.token.token as usize;
        let Some(asked) = self.asks.get(ask) else { return };
        let (client, decides) = (asked.client.clone(), !asked.words.ends_with("check"));
        if asked.told.is_some() {
            self.book.fail(self.now, format!("ask {ask} is answered twice"));
        }
        if told.state == "approved" && decides {
            self.book.approved += 1;
            let value: serde_json::Value = serde_json::from_str(&told.text).unwrap();
            let version = value["version"].as_u64().unwrap();
            let whose = asked.words.split('/').nth(2).filter(|_| client == "ops").unwrap_or(&client);
            // A joined or superseded version is known by its number all the same.
            if version > 0 && !self.book.versions.contains_key(&(whose.into(), version)) {
                self.book.fail(self.now, format!("{whose} version {version} was told and is not in the log"));
            }
            // One that woke reads now what a majority said while it slept.
            if self.now > self.majority_at.max(self.nodes[at].resumed) + 3 * S {
                let what = format!("{whose} version {version} was approved without a majority");
                self.book.fail(self.now, what);
            }
        }
        self.book.mark(told.text.len() as u64 ^ (at as u64) << 50);
        self.asks[ask].told = Some((self.now, told));
    }

    /// Places go by the order of names, which here is that of the settings.
    fn place(&self, at: usize) -> usize {
        at
    }

    fn reach(&self, a: usize, b: usize) -> bool {
        a == b
            || self.links.contains_key(&(a.min(b), a.max(b)))
                && !self.cut.contains(&(a, b))
                && !self.cut.contains(&(b, a))
    }

    fn check(&mut self, at: usize) {
        let replicas: Vec<usize> =
            (0..self.nodes.len()).filter(|k| self.peers[*k].keeper && self.nodes[*k].up()).collect();
        let all = self.peers.iter().filter(|p| p.keeper).count();
        // One keeper that reaches a majority is enough to decide.
        let near = |k: &usize| replicas.iter().filter(|o| self.reach(*k, **o)).count() > all / 2;
        if replicas.iter().any(near) {
            self.majority_at = self.now;
        }
        let clock = self.nodes[at].clock(self.now);
        let term = self.nodes[at].member.as_ref().and_then(|m| m.in_charge(clock)).map(|c| c.term);
        match term {
            Some(term) => {
                let name = self.nodes[at].life.name.clone();
                self.book.acted(self.now, &name, term);
                self.charge.insert(at, term.0);
                let others: Vec<usize> = self.charge.keys().copied().filter(|o| *o != at).collect();
                for other in others {
                    let node = &self.nodes[other];
                    let clock = node.clock(self.now);
                    if node.member.as_ref().and_then(|m| m.in_charge(clock)).is_some() {
                        let what = format!("{name} and {} are in charge at one time", node.life.name);
                        self.book.fail(self.now, what);
                    }
                }
                if self.steps.is_multiple_of(self.nodes.len().max(4) as u64) {
                    self.check_in_line(at);
                }
            }
            None => _ = self.charge.remove(&at),
        }
    }

    /// Nobody is called in line who was not lately.
    fn check_in_line(&mut self, at: usize) {
        let node = &self.nodes[at];
        let clock = node.clock(self.now);
        let Some(member) = &node.member else { return };
        let Some(drift_monitor) = member.drift_monitor() else { return };
        let mut wrong = None;
        for other in 0..self.nodes.len() {
            let verdict = drift_monitor.detector().verdict(clock, &self.peers[other].name);
            if verdict != Some(heronroute_drift::Verdict::InLine) {
                continue;
            }
            let wanted = self.wanted(member.machine(), other);
            if !self.nodes[other].engine.applied_since(self.now - 12 * S, &wanted) {
                wrong = Some(self.peers[other].name.clone());
            }
        }
        if let Some(name) = wrong {
            self.book.fail(self.now, format!("{name} is called in line and is not"));
        }
    }

    /// What a member is to apply by a registry.
    pub fn wanted(&self, machine: &Machine, at: usize) -> BTreeMap<String, RuleSet> {
        let mine = |set: &RuleSet| share(set, self.place(at), self.nodes.len());
        let zones = self.peers.iter().map(|peer| (peer.name.clone(), peer.zone.clone())).collect();
        let target = |d: Desired| machine.target(&d.client, &self.peers[at].name, &zones);
        machine.registry().all().filter_map(target).map(|d| (d.client.clone(), mine(&d.set))).collect()
    }

    /// One event.
    pub fn step(&mut self) {
        let Some(Reverse((at, seq))) = self.queue.pop() else { return };
        self.now = at;
        match self.events.remove(&seq) {
            Some(Event::Wake(node)) if self.nodes[node].up() && self.nodes[node].wake <= self.now => {
                self.give(node, Input::Tick);
                for took in std::mem::take(&mut self.nodes[node].waiting_took) {
                    self.give(node, Input::TakeoverStored(took));
                }
            }
            Some(Event::Deliver { from, to, link, payload }) => {
                let key = (from.min(to), from.max(to));
                if self.links.get(&key) == Some(&link) && !self.cut.contains(&(from, to)) {
                    self.give(to, Input::Message { peer: from, payload });
                }
            }
            Some(Event::Join(a, b)) => self.join(a, b),
            Some(Event::DryRunResult(node, starts, weighed)) if self.nodes[node].starts == starts => {
                self.give(node, Input::DryRunResult(weighed));
            }
            Some(Event::Live(node, starts, live)) if self.nodes[node].starts == starts => {
                self.give(node, Input::Live(live));
            }
            Some(Event::Start(node, above)) if self.nodes[node].member.is_none() => self.start(node, above),
            Some(_) | None => {}
        }
    }

    pub fn run(&mut self, span: i64) {
        let until = self.now + span;
        while self.book.failed.is_none() && self.queue.peek().is_some_and(|Reverse((at, _))| *at <= until) {
            self.step();
        }
        self.now = self.now.max(until);
    }

    /// Until this holds, looked at every 50 ms; how long it took.
    pub fn until(&mut self, most: i64, holds: impl Fn(&World) -> bool) -> Option<i64> {
        let from = self.now;
        while self.now < from + most && self.book.failed.is_none() {
            if holds(self) {
                return Some(self.now - from);
            }
            self.run(50 * MS);
        }
        holds(self).then(|| self.now - from)
    }

    /// A client asks; gives back which question it is.
    pub fn ask(&mut self, at: usize, client: &str, words: &str, body: &str) -> usize {
        let id = self.asks.len();
        let token = Token { sender: 0, conn: 1, token: id as u32 };
        self.asks.push(Asked {
            at: self.now,
            node: at,
            client: client.into(),
            words: words.into(),
            body: body.into(),
            told: None,
            dead: self.nodes[at].member.is_none(),
        });
        let words = words.split('/').map(str::to_string).collect();
        let ask = ClientRequest { token, client: client.into(), words, body: body.as_bytes().to_vec() };
        self.give(at, Input::ClientRequest(ask));
        id
    }

    /// Asks and waits for the answer: its state and JSON.
    pub fn answer(
        &mut self,
        at: usize,
        client: &str,
        words: &str,
        body: &str,
    ) -> (&'static str, serde_json::Value) {
        let id = self.ask(at, client, words, body);
        self.until(5 * S, |w| w.asks[id].told.is_some());
        self.sound();
        let (_, told) = self.asks[id].told.clone().unwrap_or_else(|| panic!("{words} is not answered"));
        (told.state, serde_json::from_str(&told.text).unwrap())
    }

    pub fn submit(
        &mut self,
        at: usize,
        client: &str,
        base: u64,
        name: &str,
        hold: u64,
    ) -> (&'static str, serde_json::Value) {
        self.answer(at, client, "rules/submit", &draft(base, &[(name, hold)]))
    }

    /// Who is in charge.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|at| {
            let node = &self.nodes[*at];
            node.up() && node.member.as_ref().is_some_and(|m| m.in_charge(node.clock(self.now)).is_some())
        })
    }

    /// Everybody runs, has a majority, and applies what the log says; and the one in charge says so of all.
    pub fn in_line(&self) -> bool {
        let Some(leader) = self.leader().filter(|_| !self.book.machine.waves().running()) else {
            return false;
        };
        let node = &self.nodes[leader];
        let Some(drift_monitor) = node.member.as_ref().and_then(|m| m.drift_monitor()) else { return false };
        let line = |name: &Name| drift_monitor.detector().verdict(node.clock(self.now), name);
        (0..self.nodes.len()).all(|at| {
            let Some(member) = self.nodes[at].member.as_ref().filter(|_| !self.nodes[at].paused) else {
                return false;
            };
            let wanted = self.wanted(&self.book.machine, at);
            let truth = self.nodes[at].engine.applied_since(self.now, &wanted);
            let same = member.registry().digest() == self.book.machine.registry().digest();
            truth && same && line(&self.peers[at].name) == Some(heronroute_drift::Verdict::InLine)
        })
    }

    pub fn verdict(&self, at: usize) -> Option<heronroute_drift::Verdict> {
        let node = &self.nodes[self.leader()?];
        let drift_monitor = node.member.as_ref()?.drift_monitor()?;
        drift_monitor.detector().verdict(node.clock(self.now), &self.peers[at].name)
    }

    /// Nothing went wrong so far; else one line.
    pub fn sound(&self) {
        if let Some(failed) = &self.book.failed {
            panic!("seed {} members {}: {failed}", self.seed, self.nodes.len());
        }
    }
}

pub fn draft(base: u64, rules: &[(&str, u64)]) -> String {
    let rule = |(name, hold): &(&str, u64)| {
        format!(
            r#"{{"name":"{name}","to":"{}","hold_for":"{hold}s","hold_count":{hold}}}"#,
            name.len() * 7 + name.as_bytes()[0] as usize
        )
    };
    let rules: Vec<String> = rules.iter().map(rule).collect();
    format!(r#"{{"base":{base},"rules":[{}]}}"#, rules.join(","))
}
