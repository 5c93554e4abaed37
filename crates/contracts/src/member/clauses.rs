//! What holds of each member.

use super::{CLIENT, Joining, name};
use crate::ensure;
use crate::random::SeededRandom;
use crate::suite::Clause;
use heronroute_fleet::{Life, Micros, Start};
use heronroute_installation::seam::{Input, Member, Output};
use heronroute_rules::seam::{ClientRequest, Token, Told};

type Of<'a> = &'a dyn Joining;

/// The time of day at time 0.
pub const WALL: Micros = 1_800_000_000_000_000;
const SECOND: Micros = 1_000_000;
/// Outputs of one input at most, and octets that they send.
const MOST_OUTPUTS: usize = 256;
const MOST_OCTETS: usize = 4 * 1024 * 1024;

/// What holds of each member.
pub const CLAUSES: &[Clause<dyn Joining>] = &[
    Clause { name: "each question is answered once", run: once },
    Clause { name: "without a majority the answer says so at once", run: no_majority },
    Clause { name: "octets that mean nothing do nothing", run: garbage },
    Clause { name: "it says when it wants to be woken, and not for the past", run: woken },
    Clause { name: "one input has a bounded amount done", run: bounded },
];

/// A member on its clock.
struct One {
    member: Box<dyn Member>,
    now: Micros,
    wake: Micros,
    told: Vec<Told>,
    asked: u32,
}

impl One {
    fn new(joining: Of, of: usize) -> Self {
        One { member: joining.start(of), now: 0, wake: 0, told: Vec::new(), asked: 0 }
    }

    fn give(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.member.handle(self.now, WALL + self.now, input, &mut out);
        for output in &out {
            match output {
                Output::Wake(at) => self.wake = *at,
                Output::Told(told) => self.told.push(told.clone()),
                _ => {}
            }
        }
        out
    }

    /// Ticks it as it wishes; a member that names no time is ticked each second.
    fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            let next = if self.wake > self.now { self.wake } else { self.now + SECOND };
            self.now = next.min(until);
            self.give(Input::Tick);
        }
    }

    fn ask(&mut self, topic: &str, body: &str) -> (Token, Vec<Output>) {
        self.asked += 1;
        let token = Token { sender: 0, conn: 1, token: self.asked };
        let words = topic.split('/').map(str::to_string).collect();
        let ask = ClientRequest { token, client: CLIENT.into(), words, body: body.as_bytes().to_vec() };
        (token, self.give(Input::ClientRequest(ask)))
    }

    fn answers(&self, token: Token) -> usize {
        self.told.iter().filter(|t| t.token == token).count()
    }
}

/// Topics and bodies, some of which mean nothing.
const QUESTIONS: &[(&str, &str)] = &[
    ("rules/show", ""),
    ("rules/check", r#"{"base":0,"rules":[]}"#),
    ("rules/submit", r#"{"base":0,"rules":[]}"#),
    ("rules/submit", "{"),
    ("rules/back/0", ""),
    ("rules/approve/nobody/1", ""),
    ("fleet/members", ""),
    ("fleet/drift", ""),
    ("fleet/none", ""),
    ("", ""),
];

fn once(j: Of) -> Result<(), String> {
    for of in [1, 3] {
        let mut one = One::new(j, of);
        one.pass(5 * SECOND);
        let mut asked = Vec::new();
        for (topic, body) in QUESTIONS {
            asked.push((*topic, one.ask(topic, body).0));
            one.pass(SECOND / 10);
        }
        one.pass(10 * SECOND);
        for (topic, token) in asked {
            let n = one.answers(token);
            ensure!(n == 1, "{topic:?} is answered {n} times by one of {of}");
        }
        ensure!(one.told.len() == QUESTIONS.len(), "something is answered that was not asked");
    }
    Ok(())
}

fn no_majority(j: Of) -> Result<(), String> {
    let mut one = One::new(j, 3);
    one.pass(5 * SECOND);
    let (_, out) = one.ask("rules/submit", r#"{"base":0,"rules":[]}"#);
    let told = out.iter().find_map(|o| if let Output::Told(told) = o { Some(told) } else { None });
    let told = told.ok_or("nothing is said at once")?;
    ensure!(told.state == "no majority" && told.text.contains("no majority"), "it says {told:?}");
    Ok(())
}

fn garbage(j: Of) -> Result<(), String> {
    let mut one = One::new(j, 3);
    let mut random = SeededRandom::new(1);
    let life = Life { name: name(1), start: Start(1) };
    one.give(Input::Linked { peer: 1, life });
    for n in 0..600 {
        let length = random.below(200);
        let mut payload = random.octets(length);
        // Small numbers are what heads are made of.
        payload.iter_mut().take(n % 5).for_each(|octet| *octet %= 8);
        let out = one.give(Input::Message { peer: n % 4, payload });
        let did = out.iter().find(|o| matches!(o, Output::Decided(_) | Output::Apply(_) | Output::Told(_)));
        ensure!(did.is_none(), "octets of {length} had it do {did:?}");
        if n % 20 == 0 {
            one.pass(SECOND / 10);
        }
    }
    let (token, _) = one.ask("fleet/members", "");
    one.pass(2 * SECOND);
    ensure!(one.answers(token) > 0, "it does not answer after that");
    Ok(())
}

fn woken(j: Of) -> Result<(), String> {
    for of in [1, 3] {
        let mut one = One::new(j, of);
        one.give(Input::Tick);
        for _ in 0..200 {
            ensure!(one.wake > one.now, "at {} it wants to be woken at {}", one.now, one.wake);
            ensure!(one.wake - one.now <= 60 * SECOND, "it sleeps for {} µs", one.wake - one.now);
            one.now = one.wake;
            one.give(Input::Tick);
        }
        // Woken late it makes up for nothing, or a process that was paused would be flooded.
        one.now += 3_600 * SECOND;
        let out = one.give(Input::Tick);
        ensure!(out.len() <= MOST_OUTPUTS, "{} outputs after an hour's pause", out.len());
        ensure!(one.wake > one.now, "after an hour's pause it wants to be woken in the past");
    }
    Ok(())
}

fn bounded(j: Of) -> Result<(), String> {
    let mut one = One::new(j, 5);
    let life = |n| Life { name: name(n), start: Start(1) };
    let mut inputs: Vec<Input> = (1..5).map(|n| Input::Linked { peer: n, life: life(n) }).collect();
    inputs.extend((0..50).map(|_| Input::Tick));
    inputs.extend((1..5).map(|n| Input::Message { peer: n, payload: vec![1; 100_000] }));
    inputs.extend([Input::Unlinked { peer: 1 }, Input::Linked { peer: 1, life: life(1) }]);
    for (n, input) in inputs.into_iter().enumerate() {
        one.now = one.wake.max(one.now);
        let out = one.give(input);
        let octets = |o: &Output| if let Output::Send { payload, .. } = o { payload.len() } else { 0 };
        let octets: usize = out.iter().map(octets).sum();
        ensure!(out.len() <= MOST_OUTPUTS, "input {n} has {} outputs", out.len());
        ensure!(octets <= MOST_OCTETS, "input {n} has {octets} octets sent");
        let kinds = out.iter().all(|o| !matches!(o, Output::Send { peer, .. } if !(1..5).contains(peer)));
        ensure!(kinds, "input {n} has something sent to nobody");
    }
    Ok(())
}
