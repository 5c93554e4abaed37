//! Trails, and messages held for their clients: recorded, asked about, handed in again, given up, taken up after a
//! restart. `heronroute_held` decides; here it is carried out.
//!
//! Guards against a second effect by a hand-in: what went before it goes along (in the journal as an attempt that may
//! have run, to the decision library as `Resumed`), so that a crash or a new attempt finds it as if it had never been
//! answered.

use crate::Micros;
use crate::desk::{From, written};
use crate::front::Handing;
use crate::node::{ConnId, Key, Message, Node, key_of, read_id, show_id};
use crate::outbox::Reply;
use crate::stats::{ANSWERS, place};
use heronroute::{DestId, Event, MsgId};
use heronroute_held::{
    Ask, Decision, Deed, Effect, Filed, Grants, Known, Pace, Party, Past, Query, Refusal, Release, Trail,
    What, decide,
};
use heronroute_journal::entry::{self, Accepted, Held, Released};
use heronroute_journal::{Book, Open};
use heronroute_seen::digest;
use heronroute_smpp::receipt::Answer;
use prost::Message as _;

/// Steps of a trail at most.
const STEPS: usize = 64;
/// Messages on a page.
const PAGE: usize = 20;
/// What a release let go should be answered within this.
const PATIENCE: Micros = 200_000;
/// How often a release looks whether it may let something go.
const LOOK: Micros = 20_000;

/// A client's backlog that is being let go.
#[derive(Debug)]
pub(crate) struct Releasing {
    release: Release,
    destination: Option<i64>,
    /// All up to here was asked for once.
    after: Option<u64>,
    went: u64,
    passed_over: u64,
}

/// What is filed of a message, without the message itself.
fn filed(client: usize, class: Option<usize>, dest: i64, key: &str, trail: &Trail) -> Filed {
    Filed {
        client: client as u32,
        destination: dest,
        class: class.map_or(u32::MAX, |c| c as u32),
        key: if key.is_empty() { 0 } else { digest(client as u64, &[key.as_bytes()]).max(1) },
        trail: trail.write().into(),
        message: None,
        under_way: false,
        kept: false,
        not_seen: None,
    }
}

impl Node {
    /// Begins to let a client's backlog go, of one destination or all.
    fn release(&mut self, client: usize, destination: Option<i64>) -> (String, &'static str) {
        let Some(store) = &self.held else { return ("stat:NOTFOUND".to_string(), "NOTFOUND") };
        let (held, ..) = store.of(client as u32);
        let pace = Pace {
            least: 5.0,
            most: 10_000.0,
            // What is let go fills no more than a tenth of the room: the rest is for live traffic.
            out: (self.cfg.settings.max_open as usize / 10).max(1),
            span: 1_000_000,
            patience: PATIENCE,
        };
        let release = Release::new(self.now, pace);
        let releasing = Releasing { release, destination, after: None, went: 0, passed_over: 0 };
        self.releasing.insert(client, releasing);
        self.timers.set(Key::Release(client), self.now);
        (format!("stat:RELEASING held:{held}"), "RELEASING")
    }

    /// Lets go what the pace allows.
    pub(crate) fn release_on(&mut self, client: usize) {
        let Some(r) = self.releasing.get_mut(&client) else { return };
        let n = r.release.may(self.now);
        let (destination, after) = (r.destination, r.after);
        let query = Query { client: Some(client as u32), destination, held: true, after, ..Query::default() };
        let page = self.held.as_ref().filter(|_| n > 0).map(|s| s.list(&query, n));
        let last = page.as_ref().is_some_and(|p| p.ids.is_empty() && p.next.is_none());
        let (ids, next) = page.map_or((Vec::new(), None), |p| (p.ids, p.next));
        let mut at = next;
        for id in ids {
            let (_, state) = self.again(client, id, false);
            let Some(r) = self.releasing.get_mut(&client) else { return };
            match state {
                "ENROUTE" => {
                    r.release.let_go();
                    r.went += 1;
                }
                "BUSY" => {
                    // No room just now: it is asked for again, later and more slowly.
                    r.release.crowded();
                    at = r.after;
                    break;
                }
                _ => r.passed_over += 1,
            }
            r.after = Some(id);
            at = at.max(Some(id));
        }
        if let Some(r) = self.releasing.get_mut(&client) {
            r.after = at.max(r.after);
            if last {
                tracing::info!(client, went = r.went, passed_over = r.passed_over, "a backlog was let go");
                self.releasing.remove(&client);
                return;
            }
        }
        self.timers.set(Key::Release(client), self.now + LOOK);
    }

    /// Live traffic was turned away for want of room.
    pub(crate) fn crowded(&mut self) {
        self.releasing.values_mut().for_each(|r| r.release.crowded());
    }

    /// The number of a name in trails.
    pub(crate) fn trail_number(&mut self, name: &str) -> u32 {
        if let Some(n) = self.trail_numbers.get(name) {
            return *n;
        }
        let n = self.trail_names.len() as u32;
        self.trail_names.push(name.to_string());
        self.trail_numbers.insert(name.to_string(), n);
        n
    }

    /// Something happened to an open message.
    pub(crate) fn step(&mut self, id: MsgId, what: What) {
        let at = self.wall();
        if let Some(trail) = self.messages.get_mut(&id).and_then(|m| m.trail.as_mut()) {
            trail.add(at, what, STEPS);
        }
    }

    /// By which front and session it came.
    pub(crate) fn trail_by(&mut self, id: MsgId) {
        let Some(m) = self.messages.get(&id).filter(|m| m.trail.is_some()) else { return };
        let session = self.mailboxes.get(m.mailbox).map(|b| b.name.as_str()).unwrap_or_default();
        let name = format!("{:?}/{session}", m.speaks).to_lowercase();
        let number = self.trail_number(&name);
        if let Some(trail) = self.messages.get_mut(&id).and_then(|m| m.trail.as_mut()) {
            trail.by = number;
        }
    }

    /// An open message after a restart: attempts that had no effect are not known one by one any more.
    pub(crate) fn trail_again(&mut self, open: &Open) {
        let id = MsgId(open.accepted.id);
        let Some(store) = &self.held else { return };
        let before = store.get(id.0).and_then(|f| Trail::read(&f.trail));
        let mut trail = before.clone().unwrap_or_else(|| Trail::new(open.accepted.taken, 0));
        if let Some(ran) = open.may_run.as_ref().filter(|_| before.is_none()) {
            let number = self.trail_number(&ran.endpoint);
            trail.add(ran.at, What::Began(number), STEPS);
            trail.add(ran.at, What::Ended(Known::Written), STEPS);
        }
        if let Some(out) = &open.out {
            let number = self.trail_number(&out.endpoint);
            trail.add(out.at, What::Began(number), STEPS);
            trail.add(out.at, What::Ended(Known::Lost), STEPS);
        }
        trail.add(self.wall(), What::Restarted, STEPS);
        if let Some(m) = self.messages.get_mut(&id) {
            m.trail = Some(Box::new(trail));
        }
        if before.is_none() {
            self.trail_by(id);
        }
    }

    /// What is held, as the journal has it.
    pub(crate) fn take_up_held(&mut self, book: &Book) {
        let now = self.wall();
        for (id, held) in &book.held {
            let (Some(a), Some(mut trail)) = (&held.accepted, Trail::read(&held.trail)) else { continue };
            let numbers: Vec<u32> = held.names.iter().map(|n| self.trail_number(n)).collect();
            trail.rename(|n| numbers.get(n as usize).copied().unwrap_or(0));
            let client = self.client_named(&a.client);
            let class = self.class_names.get(&a.class).copied();
            let mut filed = filed(client, class, a.dest, &a.key, &trail);
            filed.message = Some(a.encode_to_vec().into());
            match book.open.get(id).map(|o| o.answer.is_some()) {
                Some(true) => _ = self.unheard.insert(*id),
                Some(false) => filed.under_way = true,
                None => {}
            }
            if let Some(store) = &mut self.held {
                store.file(now, *id, filed);
            }
        }
    }

    /// A message has its answer: its trail is filed, and the message held where it ended undelivered.
    pub(crate) fn file(&mut self, id: MsgId, m: &mut Message, answer: Answer) {
        let (Some(mut trail), now) = (m.trail.take(), self.wall()) else { return };
        trail.add(now, What::Answered(place(answer) as u32), STEPS);
        // One that was handed in again and not delivered stays its owner's, whatever it ended with.
        let handed_in = trail.steps().filter(|(_, what)| matches!(what, What::HandedIn(_))).last();
        if let (Some((at, _)), Some(r)) = (handed_in, self.releasing.get_mut(&m.client)) {
            r.release.answered(answer == Answer::Delivered, now - at);
        }
        let hold = matches!(answer, Answer::Undeliverable | Answer::Unknown { .. } | Answer::Expired)
            || (handed_in.is_some() && answer != Answer::Delivered);
        let dest = self.routes.find(&m.submission.destination).map_or(0, |d| d.0);
        let key = m.submission.key.as_deref().unwrap_or_default();
        let mut filed = filed(m.client, Some(m.class), dest, key, &trail);
        // Only what is held is written out: most messages leave no more than their trail.
        let held = hold.then(|| {
            let client = self.cfg.clients.get(m.client).map_or("", |c| c.system_id.as_str());
            let mailbox = self.mailboxes.get(m.mailbox).map_or("", |b| b.name.as_str());
            let class = self.cfg.class_names.get(m.class).cloned().unwrap_or_default();
            let rest = Accepted { id: id.0, class, dest, taken: m.taken, ..Accepted::default() };
            written(client, mailbox, &m.submission, &m.to, rest)
        });
        filed.message = held.as_ref().map(|a| a.encode_to_vec().into());
        let dropped = self.held.as_mut().map(|s| s.file(now, id.0, filed)).unwrap_or_default();
        if let Some(accepted) = held {
            self.unheard.insert(id.0);
            self.write_held(accepted, *trail);
        }
        self.write_released(&dropped);
    }

    fn write_held(&mut self, accepted: Accepted, mut trail: Trail) {
        let mut names = Vec::new();
        let all = &self.trail_names;
        trail.rename(|n| {
            let name = all.get(n as usize).cloned().unwrap_or_default();
            let at = names.iter().position(|x| *x == name);
            at.unwrap_or_else(|| {
                names.push(name);
                names.len() - 1
            }) as u32
        });
        self.ledger
            .write(|| entry::What::Held(Held { accepted: Some(accepted), trail: trail.write(), names }));
    }

    fn write_released(&mut self, ids: &[u64]) {
        for id in ids {
            self.ledger.write(|| entry::What::Released(Released { id: *id }));
        }
    }

    /// A client asks about what is held for it. What is another's is told as if it did not exist.
    pub(crate) fn asked_of_held(&mut self, conn: ConnId, token: u32, words: &[String]) {
        let Some((client, _)) = self.place_of(conn) else { return };
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        // What is another's and what does not exist are told in the same words.
        let with = |deed, id: &str| self.mine(client, id, deed);
        let nowhere = || ("stat:NOTFOUND".to_string(), "NOTFOUND");
        let (text, state) = match words[..] {
            ["list"] => (self.list_held(client, None), "HELD"),
            ["list", after] => (self.list_held(client, read_id(after).map(|i| i.0)), "HELD"),
            ["show", id] => with(Deed::See, id).map_or_else(nowhere, |id| (self.show_trail(id), "HELD")),
            ["drop", id] => with(Deed::GiveUp, id).map_or_else(nowhere, |id| self.give_up_held(id)),
            ["release"] => self.release(client, None),
            ["release", d] if d.parse::<i64>().is_ok() => self.release(client, d.parse().ok()),
            ["stop"] => {
                let (went, passed) =
                    self.releasing.remove(&client).map_or((0, 0), |r| (r.went, r.passed_over));
                (format!("stat:STOPPED went:{went} passed-over:{passed}"), "STOPPED")
            }
            ["again", id, ref new @ ..] if matches!(new, [] | ["new"]) => {
                let new_effect = !new.is_empty();
                with(Deed::HandIn, id).map_or_else(nowhere, |id| self.again(client, id, new_effect))
            }
            _ => ("stat:WHAT allowed: list[/AFTER], show/ID, again/ID[/new], drop/ID, release[/DESTINATION], stop".to_string(), "WHAT"),
        };
        if let Some((front, out)) = self.front(conn) {
            front.told(token, text, state, out);
        }
        self.flush(conn);
    }

    /// The message of a name, where this client may do this with it.
    fn mine(&self, client: usize, id: &str, deed: Deed) -> Option<u64> {
        let id = read_id(id)?.0;
        let filed = self.held.as_ref()?.get(id)?;
        let party = Party::Client(client as u32);
        Grants::default().allows(&party, deed, filed.client, filed.destination).then_some(id)
    }

    fn list_held(&self, client: usize, after: Option<u64>) -> String {
        let Some(store) = &self.held else { return "held:0".to_string() };
        let (count, octets, dropped) = store.of(client as u32);
        let query = Query { client: Some(client as u32), held: true, after, ..Query::default() };
        let page = store.list(&query, PAGE);
        let mut text = format!(
            "held:{count} octets:{octets} dropped-old:{} dropped-many:{} dropped-large:{}",
            dropped.age, dropped.count, dropped.octets
        );
        for id in page.ids {
            text = format!("{text}\n{}", show_id(MsgId(id)));
        }
        if let Some(r) = self.releasing.get(&client) {
            text = format!(
                "{text}\nreleasing:{:.0}/s went:{} passed-over:{}",
                r.release.rate(),
                r.went,
                r.passed_over
            );
        }
        match page.next {
            Some(next) => format!("{text}\nmore:{}", show_id(MsgId(next))),
            None => text,
        }
    }

    /// A trail in words, one step a line, with microseconds since 1970 UTC.
    fn show_trail(&self, id: u64) -> String {
        let filed = self.held.as_ref().and_then(|s| s.get(id));
        let Some(trail) = filed.and_then(|f| Trail::read(&f.trail)) else {
            return "stat:NOTFOUND".to_string();
        };
        let name = |n: u32| self.trail_names.get(n as usize).map_or("?", String::as_str);
        let mut text = format!("id:{} taken:{} by:{}", show_id(MsgId(id)), trail.taken, name(trail.by));
        for (at, what) in trail.steps() {
            let line = match what {
                What::Began(e) => format!("attempt at {}", name(e)),
                What::Ended(Known::NeverWritten) => "never left".to_string(),
                What::Ended(Known::Written) => "no proof that it had no effect".to_string(),
                What::Ended(Known::Took) => "taken by the receiver".to_string(),
                What::Ended(Known::Refused) => "turned away by the receiver".to_string(),
                What::Ended(Known::Lost) => "lost with a restart".to_string(),
                What::Restarted => "restart".to_string(),
                What::Answered(s) => format!("answer {}", ANSWERS.get(s as usize).unwrap_or(&"?")),
                What::Heard => "answer taken".to_string(),
                What::HandedIn(p) => format!("handed in again by {}", name(p)),
                What::GivenUp(p) => format!("given up by {}", name(p)),
            };
            text = format!("{text}\n{at} {line}");
        }
        if trail.may_have_run().is_some() {
            text.push_str("\nmay have taken effect");
        }
        text
    }

    fn give_up_held(&mut self, id: u64) -> (String, &'static str) {
        let Some(store) = &mut self.held else { return ("stat:NOTFOUND".to_string(), "NOTFOUND") };
        if store.get(id).is_some_and(|f| f.under_way || f.kept) {
            return ("stat:UNDERWAY".to_string(), "UNDERWAY");
        }
        store.take(id);
        self.write_released(&[id]);
        (format!("id:{} stat:DROPPED", show_id(MsgId(id))), "DROPPED")
    }

    /// Hands a held message of this client in again, or says why not.
    fn again(&mut self, client: usize, id: u64, new_effect: bool) -> (String, &'static str) {
        let said = |state: &'static str| (format!("id:{} stat:{state}", show_id(MsgId(id))), state);
        let now = self.wall();
        let filed = self.held.as_ref().and_then(|s| s.get(id)).cloned();
        let Some(filed) = filed else { return said("NOTFOUND") };
        let accepted = filed.message.as_deref().and_then(|m| Accepted::decode(m).ok());
        let (Some(a), Some(trail)) = (accepted, Trail::read(&filed.trail)) else { return said("DELIVRD") };
        let Some(class) = self.class_names.get(&a.class).copied() else { return said("NOCLASS") };
        let settings = &self.cfg.settings.classes[class];
        let (window, deadline, ordered) = (settings.window, settings.deadline, settings.ordered);
        let effect = match settings.effect {
            heronroute::Effect::Free => Effect::Free,
            heronroute::Effect::Guarded => Effect::Guarded(window),
            heronroute::Effect::SingleShot => Effect::SingleShot,
        };
        let ran = trail.may_have_run();
        let past = Past {
            effect,
            may_have_run: ran,
            delivered: false,
            under_way: filed.under_way,
            not_seen: filed.not_seen,
        };
        let decision = decide(now, past, Ask { new_effect, patience: deadline });
        let (leave_by, fresh) = match decision {
            Decision::Again { leave_by } => (leave_by, false),
            Decision::NewEffect { leave_by } => (leave_by, true),
            Decision::Refused(why) => {
                return said(match why {
                    Refusal::Delivered => "DELIVRD",
                    Refusal::UnderWay => "UNDERWAY",
                    Refusal::MayHaveRun => "MAYHAVERUN",
                    Refusal::WindowOver => "WINDOWOVER",
                });
            }
        };
        // Guards against the first answer's being taken closing the hand-in in the journal, which has the same
        // identity: after a crash what it did would not be known.
        if !fresh && self.unheard.contains(&id) {
            return said("UNHEARD");
        }
        let Some(dest) = self.routes.find(&a.destination) else { return said("NOROUTE") };
        if self.leaving || self.ledger.refuses(self.now, self.messages.len(), a.body.len()) {
            return said("BUSY");
        }
        // Its answer goes where the first one went, whoever asked.
        let mailbox = self.mailboxes.open(client, &a.mailbox);
        let from = From { conn: None, token: 0, client, mailbox };
        if self.admit(&from, class, false).is_err() {
            return said("BUSY");
        }
        let party = self.trail_number(&format!("client {}", a.client));
        let begun = self.held.as_mut().map(|s| s.begin(now, id, party, decision));
        if !matches!(begun, Some(Ok(_))) {
            return said("UNDERWAY");
        }
        let own = if fresh { self.new_id() } else { MsgId(id) };
        // What went before counts, unless the destination's owner said that it did not run, or it is a new effect.
        let ran = ran.filter(|at| !fresh && filed.not_seen.is_none_or(|said| *at >= said));
        let handing = Handing {
            reply: Reply { topic: a.reply.clone(), correlation: a.correlation.clone() },
            ..Handing::default()
        };
        let submission = crate::restart::submission(&a);
        let key = submission.key.as_ref().filter(|_| ordered).map(|k| key_of(client, k));
        self.events.push(Event::Message {
            id: own,
            class,
            tenant: client,
            key,
            dest: DestId(dest.0),
            time_left: leave_by - now,
            again: true,
        });
        let rest = Accepted {
            id: own.0,
            class: a.class.clone(),
            dest: dest.0,
            deadline: leave_by,
            replaces: if fresh { id } else { 0 },
            ..Accepted::default()
        };
        self.write_accepted(&from, &submission, &handing, rest);
        if let Some(at) = ran {
            let endpoint = trail.steps().find_map(|(t, w)| match w {
                What::Began(e) if t == at => self.trail_names.get(e as usize).cloned(),
                _ => None,
            });
            let endpoint = endpoint.unwrap_or_default();
            let known = self.names.get(&endpoint).copied();
            let place = known.unwrap_or(heronroute::EndpointId(u32::MAX));
            self.events.push(Event::Resumed { id: own, attempts: 0, may_run: Some((place, now - at)) });
            let intent = entry::Intent { id: own.0, endpoint, at };
            self.ledger.write(|| entry::What::Intent(intent));
            self.ledger.write(|| entry::What::Outcome(entry::Outcome { id: own.0, never_ran: false }));
        }
        let mut message = self.message(&from, class, submission, &handing, self.now + (leave_by - now));
        message.ran_at = ran.map(|at| self.now - (now - at).max(0));
        let before = self.held.as_ref().and_then(|s| s.get(id)).and_then(|f| Trail::read(&f.trail));
        if fresh {
            // Its own trail begins with the hand-in; the old one stays without its message.
            let ended = before.unwrap_or_default();
            let dropped = self.held.as_mut().map(|s| s.end(now, id, &ended, true)).unwrap_or_default();
            self.write_released(&dropped);
            let mut trail = Trail::new(now, 0);
            trail.add(now, What::HandedIn(party), STEPS);
            message.trail = Some(Box::new(trail));
        } else {
            message.trail = before.map(Box::new);
        }
        self.hold(own, message);
        if fresh {
            self.trail_by(own);
        }
        self.stats.accepted += 1;
        (format!("id:{} stat:ENROUTE", show_id(own)), "ENROUTE")
    }
}
