//! Seeded series of submissions, withdrawals, hand-ins, drops, lost answers and kills, on a virtual clock: what a client was
//! told holds behind a kill, and no message takes effect twice unasked.
//!
//! More seeds by hand: `TOLD_SEEDS=2000 cargo test -p heronroute-engine --test told_and_killed`, one again with
//! `TOLD_SEED=N`.

mod kept;
mod rig;

use heronroute_engine::CloseReason;
use heronroute_standins::mqtt::field;
use kept::{Harness, MS, id};
use rig::TestRng;
use std::collections::BTreeMap;

/// Seeds in CI.
const SEEDS: u64 = 60;
const STEPS: usize = 100;
/// How long receivers remember a guarded message, by the harness's settings.
const WINDOW: i64 = 2_000 * MS;
/// The most messages of a run that something is still done with.
const LATEST: u64 = 3;

/// What is known of one message outside the node.
#[derive(Default)]
struct Message {
    /// Its number in the service: as accepted, or as handed in as a new effect.
    id: String,
    is_guarded: bool,
    /// When it took effect: a receiver drops repeats of a guarded message for the window from then on.
    effects: Vec<i64>,
    /// The hand-ins that the client was told of.
    hand_ins: usize,
    /// The hand-ins as a new effect that were asked for, told or not: each may take effect once more.
    new_effects: usize,
    /// When the client was told that it was withdrawn or dropped.
    over: Option<i64>,
}

struct Run {
    harness: Harness,
    random: TestRng,
    /// By their bodies, which are the topics that they were published to.
    messages: BTreeMap<String, Message>,
    submitted: u64,
    /// The bodies that were looked at.
    seen: usize,
    log: Vec<String>,
}

impl Run {
    fn new(seed: u64) -> Self {
        Run {
            harness: Harness::new("held { }"),
            random: TestRng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1),
            messages: BTreeMap::new(),
            submitted: 0,
            seen: 0,
            log: Vec::new(),
        }
    }

    fn note(&mut self, text: String) {
        self.log.push(format!("{} {text}", self.harness.now / MS));
    }

    /// Counts what receivers got since the last call.
    fn look_at_receivers(&mut self) -> Result<(), String> {
        let (now, new) = (self.harness.now, self.harness.received_bodies[self.seen..].to_vec());
        self.seen += new.len();
        for body in new {
            self.note(format!("received {body}"));
            let message = self.messages.entry(body.clone()).or_default();
            // A new effect goes on under another id than the one that is over.
            if message.over.is_some() && message.new_effects == 0 {
                return Err(format!("{body} was sent after its client was told that it is over"));
            }
            let is_dropped = message.is_guarded && message.effects.last().is_some_and(|at| now < at + WINDOW);
            if !is_dropped {
                message.effects.push(now);
            }
            if message.effects.len() > 1 + message.new_effects {
                return Err(format!("{body} took effect {} times", message.effects.len()));
            }
        }
        Ok(())
    }

    fn advance(&mut self, ms: i64) -> Result<(), String> {
        for _ in 0..ms {
            self.harness.advance(1);
            self.look_at_receivers()?;
        }
        Ok(())
    }

    /// Publishes as the client. Returns the acknowledgement's code and the first reply, as far as they came.
    fn ask(&mut self, topic: &str) -> Result<(u8, String), String> {
        let (code, replies) = self.harness.publish(0, topic, 1 + self.random.below(3) as i64);
        let reply = replies.into_iter().next().unwrap_or_default();
        self.note(format!("{topic}: {code} {reply}"));
        self.look_at_receivers()?;
        Ok((code, reply))
    }

    fn submit(&mut self) -> Result<(), String> {
        self.submitted += 1;
        self.harness.commits_paused = false;
        let is_guarded = self.random.below(3) > 0;
        let class = if is_guarded { "RESP" } else { "PAY" };
        let topic = format!("to/1000001/{class}//n{}", self.submitted);
        let before = self.open_ids();
        self.messages.insert(topic.clone(), Message { is_guarded, ..Message::default() });
        self.ask(&topic)?;
        let new: Vec<String> = self.open_ids().into_iter().filter(|id| !before.contains(id)).collect();
        if let (Some(message), [id]) = (self.messages.get_mut(&topic), &new[..]) {
            message.id.clone_from(id);
        }
        Ok(())
    }

    /// The ids of the messages that are open by the journal.
    fn open_ids(&self) -> Vec<String> {
        let Some((_, journal)) = &self.harness.running else { return Vec::new() };
        journal.state().open.keys().map(|id| format!("{id:016x}")).collect()
    }

    /// One of the latest messages that have an id and are not over.
    fn pick(&mut self) -> Option<(String, String)> {
        let number = self.submitted.saturating_sub(self.random.below(LATEST));
        let name = format!("//n{number}");
        let found = self.messages.iter().find(|(body, _)| body.ends_with(&name));
        found.filter(|(_, m)| !m.id.is_empty() && m.over.is_none()).map(|(b, m)| (b.clone(), m.id.clone()))
    }

    fn withdraw(&mut self, body: &str, message_id: &str) -> Result<(), String> {
        let (code, reply) = self.ask(&format!("withdraw/{message_id}"))?;
        if code == 0 && reply.is_empty() {
            self.end(body);
        }
        Ok(())
    }

    fn drop_held(&mut self, body: &str, message_id: &str) -> Result<(), String> {
        let (_, reply) = self.ask(&format!("held/drop/{message_id}"))?;
        if field(&reply, "stat") == Some("DROPPED") {
            self.end(body);
        }
        Ok(())
    }

    fn hand_in(&mut self, body: &str, message_id: &str, is_new: bool) -> Result<(), String> {
        let suffix = if is_new { "/new" } else { "" };
        self.messages
            .get_mut(body)
            .into_iter()
            .for_each(|message| message.new_effects += usize::from(is_new));
        let (_, reply) = self.ask(&format!("held/again/{message_id}{suffix}"))?;
        if field(&reply, "stat") != Some("ENROUTE") {
            return Ok(());
        }
        let Some(message) = self.messages.get_mut(body) else { return Ok(()) };
        let new_id = id(&reply);
        if new_id == message.id {
            message.hand_ins += 1;
        } else {
            (message.id, message.hand_ins) = (new_id, 1);
        }
        Ok(())
    }

    fn end(&mut self, body: &str) {
        let now = self.harness.now;
        self.messages.get_mut(body).into_iter().for_each(|message| message.over = Some(now));
    }

    /// What the client was told of a message holds behind a kill.
    fn check_told(&mut self, body: &str) -> Result<(), String> {
        let (message_id, is_over) = (self.messages[body].id.clone(), self.messages[body].over.is_some());
        if !is_over {
            return self.check_trail(body, &message_id);
        }
        if self.open_ids().contains(&message_id) && !self.ends_answered(&message_id) {
            return Err(format!("{body} goes on after its client was told that it is over"));
        }
        let (_, state) = self.ask(&format!("held/again/{message_id}"))?;
        if field(&state, "stat") == Some("ENROUTE") {
            return Err(format!("{body} is held after its client was told that it is over"));
        }
        Ok(())
    }

    /// Whether the journal has the final answer of an open message.
    fn ends_answered(&self, message_id: &str) -> bool {
        let Some((_, journal)) = &self.harness.running else { return false };
        let id = u64::from_str_radix(message_id, 16).unwrap_or_default();
        journal.state().open.get(&id).is_some_and(|open| open.answer.is_some())
    }

    /// The trail of a held message has every hand-in that its client was told of.
    fn check_trail(&mut self, body: &str, message_id: &str) -> Result<(), String> {
        let (_, reply) = self.ask(&format!("held/show/{message_id}"))?;
        let told = self.messages[body].hand_ins;
        let listed = reply.matches("handed in again").count();
        if reply.contains("answer ") && listed < told {
            return Err(format!("{body}: told of {told} hand-ins, its trail has {listed}: {reply}"));
        }
        Ok(())
    }

    fn lose_answers(&mut self) {
        let conns: Vec<u64> = self.harness.receivers.keys().copied().collect();
        self.harness.receivers.clear();
        let now = self.harness.now;
        for conn in conns {
            self.harness.node().closed(now, conn, CloseReason::Ended);
        }
    }

    /// A kill: what was not committed is lost.
    fn kill(&mut self) -> Result<(), String> {
        self.note("killed".into());
        self.harness.commits_paused = false;
        self.harness.uncommitted.clear();
        let down = self.harness.receivers_down;
        self.harness.crash();
        self.harness.receivers_down = down;
        self.harness.connect_clients();
        self.look_at_receivers()
    }

    fn step(&mut self) -> Result<(), String> {
        match self.random.below(22) {
            0..3 => self.submit()?,
            3 | 4 => self.harness.receivers_down = self.random.below(2) == 0,
            5 => self.harness.answers_lost = self.random.below(2) == 0,
            6 => self.lose_answers(),
            7 | 8 => self.kill()?,
            // The disk is slow: a kill comes between a request and its durability.
            9 => self.harness.commits_paused = self.random.below(2) == 0,
            10 | 16 | 17 => {
                let ms = 200 + self.random.below(2_400) as i64;
                self.harness.commits_paused = false;
                self.advance(ms)?;
            }
            kind => {
                let Some((body, message_id)) = self.pick() else { return Ok(()) };
                // The disk is slow, and the kill comes right behind the reply.
                let is_killed = self.random.below(3) == 0;
                self.harness.commits_paused |= is_killed;
                let is_new = self.random.below(4) == 0;
                match kind {
                    11 => self.withdraw(&body, &message_id)?,
                    12 => self.drop_held(&body, &message_id)?,
                    13 => self.check_trail(&body, &message_id)?,
                    14 => self.hand_in(&body, &message_id, is_new)?,
                    _ => self.hand_in(&body, &message_id, false)?,
                }
                if is_killed {
                    self.kill()?;
                    self.check_told(&body)?;
                }
            }
        }
        let ms = self.random.below(30) as i64;
        self.advance(ms)
    }
}

/// Plays one seed. Returns the number of messages that took effect, and of hand-ins that were told.
fn play(seed: u64) -> Result<(usize, usize), String> {
    let mut run = Run::new(seed);
    for _ in 0..STEPS {
        if let Err(broken) = run.step() {
            return Err(format!("TOLD_SEED={seed}: {broken}\n{}", run.log.join("\n")));
        }
    }
    let effects = run.messages.values().filter(|m| !m.effects.is_empty()).count();
    Ok((effects, run.messages.values().map(|m| m.hand_ins).sum()))
}

/// Guards against replies that a kill undoes, and against attempts that a restart forgets.
#[test]
fn what_clients_were_told_holds_behind_kills() {
    let number = |name: &str| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let seeds: Vec<u64> = match number("TOLD_SEED") {
        Some(seed) => vec![seed],
        None => (1..=number("TOLD_SEEDS").unwrap_or(SEEDS)).collect(),
    };
    let (mut effects, mut hand_ins, mut broken) = (0, 0, Vec::new());
    for seed in &seeds {
        match play(*seed) {
            Ok((took_effect, told)) => (effects, hand_ins) = (effects + took_effect, hand_ins + told),
            Err(what) => broken.push(what),
        }
    }
    println!(
        "{} seeds, {effects} messages took effect, {hand_ins} hand-ins, {} broken",
        seeds.len(),
        broken.len()
    );
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    assert!(
        effects > seeds.len() && hand_ins * 2 > seeds.len(),
        "{effects}, {hand_ins}: too few to show anything"
    );
}
