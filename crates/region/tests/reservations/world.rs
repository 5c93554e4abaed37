//! The simulated members, their network and their clients.

use crate::planted::Plant;
use heronroute_fleet::{Life, Name, Start};
use heronroute_region::homes::{Homes, SLOTS};
use heronroute_region::reservations::{
    Limits, MemoryStore, Message, Options, Output, Registry, Requester, ReservationKey, Slot, Store,
};
use heronroute_region::seam::{NameDigest, ReservationReply, ReservationRequest, ReservationResult, Token};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub const SECOND: i64 = 1_000_000;
/// How long a name is remembered.
pub const NAME_LIFETIME: i64 = 30 * SECOND;
const STEP: i64 = SECOND / 50;
const FAULTS_END: i64 = 40 * SECOND;

#[derive(Clone, Copy, Debug, Default)]
pub struct Sum {
    pub accepted: u64,
    pub same: u64,
    pub unsettled: u64,
    pub unreached: u64,
    pub refused: u64,
    pub lost: u64,
    pub kills: u64,
    pub given: u64,
    /// The worst time to an answer after the last fault, in microseconds.
    pub worst: i64,
}

impl Sum {
    pub fn with(self, o: Sum) -> Sum {
        Sum {
            accepted: self.accepted + o.accepted,
            same: self.same + o.same,
            unsettled: self.unsettled + o.unsettled,
            unreached: self.unreached + o.unreached,
            refused: self.refused + o.refused,
            lost: self.lost + o.lost,
            kills: self.kills + o.kills,
            given: self.given + o.given,
            worst: self.worst.max(o.worst),
        }
    }
}

pub struct Running {
    pub start: Start,
    pub requester: Requester,
    pub registry: Registry,
    pub store: MemoryStore,
    list: usize,
    /// Reservations by token: the name, and when the node decides, once it may.
    reservations: BTreeMap<Token, (usize, Option<i64>)>,
    number: u64,
    read_at: i64,
    tick: i64,
}

pub struct Member {
    pub name: Name,
    pub life: Option<Running>,
    pub back: i64,
    pub folder: Start,
    pub lives: Vec<Start>,
    pub store: MemoryStore,
}

impl Member {
    pub fn stored_slots(&self) -> BTreeMap<u16, Slot> {
        match &self.life {
            Some(life) => {
                (0..SLOTS as u16).filter_map(|at| Some((at, life.registry.slot_state(at)?.clone()))).collect()
            }
            None => self.store.load().1,
        }
    }
}

/// A name that clients submit.
struct SubmittedName {
    digest: NameDigest,
    until: i64,
    began: i64,
    /// Whether the message may be repeated.
    free: bool,
    next: i64,
    /// The members and lives that got the reply `New`.
    new: BTreeSet<(usize, Start)>,
    /// The members and lives in whose journals the acceptance is durable.
    accepted: BTreeSet<(usize, Start)>,
    done: bool,
}

/// Sender, its life, receiver, the receiver's start, and the message.
type NetworkMessage = (usize, Life, usize, Start, Message);

pub struct World {
    seed: u64,
    pub plant: Plant,
    pub random: SmallRng,
    pub now: i64,
    pub members: Vec<Member>,
    pub lists: Vec<Homes>,
    pub cuts: Vec<(usize, usize)>,
    pub losses: bool,
    /// Whether homes have too little room.
    tight: bool,
    /// From this time on all submissions are answered at once.
    calm: i64,
    /// Lives whose folder is lost, and when.
    pub lost: Vec<(usize, Start, i64)>,
    pub lost_at: Option<i64>,
    pub era: u32,
    pub sum: Sum,
    names: Vec<SubmittedName>,
    net: BTreeMap<(i64, u64), NetworkMessage>,
    sent: u64,
}

impl World {
    pub fn new(seed: u64, plant: Plant) -> World {
        let mut random = SmallRng::seed_from_u64(seed);
        let members = random.random_range(3..=12);
        let member = |at| Member {
            name: Name::new(&format!("m{at:02}")).unwrap(),
            life: None,
            back: 0,
            folder: Start(0),
            lives: Vec::new(),
            store: MemoryStore::default(),
        };
        let mut world = World {
            seed,
            plant,
            calm: 0,
            losses: random.random_bool(0.5),
            tight: random.random_bool(0.2),
            random,
            now: SECOND,
            members: (0..members).map(member).collect(),
            lists: Vec::new(),
            cuts: Vec::new(),
            lost: Vec::new(),
            lost_at: None,
            era: 1,
            sum: Sum::default(),
            names: Vec::new(),
            net: BTreeMap::new(),
            sent: 0,
        };
        world.list(true);
        (0..members).for_each(|at| world.start(at));
        for slot in 0..SLOTS as u16 {
            let owner = world.lists[0].owner(usize::from(slot)).unwrap();
            world.members[owner].life.as_mut().unwrap().registry.assume_authority(slot, 1, 0);
        }
        world
    }

    pub fn at(&self, name: &Name) -> usize {
        self.members.iter().position(|member| member.name == *name).unwrap()
    }

    fn start(&mut self, at: usize) {
        let member = &mut self.members[at];
        let start = Start(self.now as u64);
        if member.folder == Start(0) {
            member.folder = start;
        }
        member.lives.push(start);
        let options = Options { retry_after: SECOND, ..Options::default() };
        let me = Life { name: member.name.clone(), start };
        let since = if self.plant == Plant::AnswersForLostFolder { Start(0) } else { member.folder };
        let limits = Limits {
            entries: if self.tight { 10 } else { 1000 },
            at_once: 512,
            part: 2,
            ..Limits::default()
        };
        let store = std::mem::take(&mut member.store);
        member.life = Some(Running {
            start,
            requester: Requester::new(me, since, options),
            registry: Registry::new(member.name.clone(), member.folder, limits, &store),
            store,
            list: 0,
            reservations: BTreeMap::new(),
            number: 0,
            read_at: self.now + SECOND / 2,
            tick: 0,
        });
        let list = self.lists[0].clone();
        let life = member.life.as_mut().unwrap();
        life.requester.set_homes(list.clone());
        life.registry.set_homes(list);
    }

    pub fn schedule(mut self) -> Result<Sum, String> {
        let (seed, plant) = (self.seed, self.plant);
        let end = self.run().map_err(|line| format!("HERONROUTE_SEED={seed} {plant:?}: {line}"));
        end.map(|()| self.sum)
    }

    fn run(&mut self) -> Result<(), String> {
        self.calm = FAULTS_END + if self.losses { NAME_LIFETIME + 15 * SECOND } else { 15 * SECOND };
        let calm = self.calm;
        let mut fault = 3 * SECOND;
        while self.now < calm + 10 * SECOND {
            self.now += STEP;
            if self.now > fault && self.now < FAULTS_END {
                self.fault();
                fault = self.now + self.random.random_range(SECOND / 5..3 * SECOND);
            } else if self.now >= FAULTS_END {
                self.cuts.clear();
            }
            for at in 0..self.members.len() {
                if self.members[at].life.is_none() && self.now >= self.members[at].back {
                    self.start(at);
                }
            }
            if self.now % (SECOND / 2) == 0 {
                self.anew();
            }
            self.clients(self.now < calm)?;
            while let Some(first) = self.net.first_entry().filter(|first| first.key().0 <= self.now) {
                let (from, life, to, start, message) = first.remove();
                self.deliver(from, life, to, start, message);
            }
            for at in 0..self.members.len() {
                self.turn(at)?;
            }
        }
        let open = |name: &&SubmittedName| !self.tight && !name.done && name.until > self.now;
        match self.names.iter().find(open) {
            Some(name) => Err(format!("a name of {} s has no answer at the end", name.began / SECOND)),
            None => Ok(()),
        }
    }

    /// Submits names repeatedly, at any member.
    fn clients(&mut self, more: bool) -> Result<(), String> {
        if more && self.random.random_bool(0.02) {
            // The names fall into few slots, so that a transfer has more than one part.
            let mut all = (0..).map(|low| NameDigest { high: self.names.len() as u64, low });
            let digest = all.find(|digest| ReservationKey::new("c", *digest).slot < 8).unwrap();
            let free = self.random.random_bool(0.1);
            let (new, accepted) = Default::default();
            let (until, began, next) = (self.now + NAME_LIFETIME, self.now, self.now);
            self.names.push(SubmittedName { digest, until, began, free, next, new, accepted, done: false });
        }
        for index in 0..self.names.len() {
            if self.names[index].next > self.now || self.names[index].until <= self.now {
                continue;
            }
            let times = self.random.random_range(1..=3);
            // A name that was answered is submitted again as well, to check that its answer does not
            // change.
            let pause = if self.names[index].done { 8 * SECOND } else { SECOND };
            self.names[index].next = self.now + self.random.random_range(pause / 2..pause);
            for _ in 0..times {
                let at = self.random.random_range(0..self.members.len());
                self.submit(at, index);
            }
        }
        Ok(())
    }

    fn submit(&mut self, at: usize, index: usize) {
        let (now, name, member) = (self.now, &mut self.names[index], &mut self.members[at]);
        let Some(life) = member.life.as_mut().filter(|life| life.read_at <= now) else { return };
        // The member's own journals have the name.
        if name.accepted.iter().any(|(by, start)| *by == at && member.lives.contains(start)) {
            name.done = true;
            return;
        }
        life.number += 1;
        let token = Token { sender: 0, number: life.number };
        life.reservations.insert(token, (index, None));
        life.requester.request(
            now,
            &ReservationRequest { token, client: "c".into(), digest: name.digest, until: name.until },
        );
    }

    fn turn(&mut self, at: usize) -> Result<(), String> {
        let (now, faulty) = (self.now, self.now < FAULTS_END);
        let heirs = self.heirs();
        let last = self.lists.len() - 1;
        let hears = !faulty || self.random.random_bool(0.02);
        let synced = self.random.random_bool(0.4) || !faulty;
        let member = &mut self.members[at];
        let Some(life) = member.life.as_mut() else { return Ok(()) };
        if hears && life.list < last {
            life.list = last;
            life.requester.set_homes(self.lists[last].clone());
            life.registry.set_homes(self.lists[last].clone());
        }
        life.requester.tick(now);
        if now >= life.tick {
            life.tick = now + SECOND / 10;
            life.registry.tick(now, &|of| heirs.get(of).cloned());
        }
        // The node decides.
        let ready = |(token, (index, when)): (&Token, &(usize, Option<i64>))| {
            Some((*token, *index, when.filter(|t| *t <= now)?))
        };
        let due: Vec<_> = life.reservations.iter().filter_map(ready).collect();
        let mut said = life.requester.take_outputs();
        let mut dones = Vec::new();
        for (token, index, _) in due {
            life.reservations.remove(&token);
            let accepted = self.random.random_bool(0.8) && self.names[index].until > now;
            if accepted {
                self.names[index].accepted.insert((at, life.start));
                self.sum.accepted += 1;
                dones.push(index);
            } else {
                self.sum.refused += 1;
            }
            if self.plant != Plant::NeverReportsResult {
                life.requester.handle_result(now, ReservationResult { token, accepted });
            }
        }
        said.extend(life.requester.take_outputs());
        if synced {
            life.store.sync();
        }
        let mut out = life.registry.take_messages(&mut life.store);
        if self.plant == Plant::RepliesBeforeDurable {
            let mut ahead = life.store.clone();
            ahead.sync();
            out.extend(life.registry.take_messages(&mut ahead));
        }
        dones.into_iter().for_each(|index| self.done(index));
        for (to, message) in out {
            self.sum.given += u64::from(matches!(message, Message::TransferAck { done: true, .. }));
            self.send(at, &to, message);
        }
        for one in said {
            match one {
                Output::Send(to, message) => self.send(at, &to, message),
                Output::Reply(token, reservation_reply) => {
                    self.reservation_reply(at, token, reservation_reply)?
                }
                Output::LookUp { asks, key, of, number } => self.look(at, asks, key, of, number),
            }
        }
        Ok(())
    }

    fn reservation_reply(
        &mut self,
        at: usize,
        token: Token,
        reservation_reply: ReservationReply,
    ) -> Result<(), String> {
        let (now, later) = (self.now, self.now + self.random.random_range(0..SECOND / 2));
        let Some(life) = self.members[at].life.as_mut() else { return Ok(()) };
        let start = life.start;
        let Some((index, _)) = life.reservations.get(&token).copied() else { return Ok(()) };
        match reservation_reply {
            ReservationReply::New => drop(life.reservations.insert(token, (index, Some(later)))),
            ReservationReply::Unreached { .. } if self.names[index].free => {
                // The message is accepted where it arrived.
                life.reservations.insert(token, (index, Some(later)));
                self.sum.unreached += 1;
                return Ok(());
            }
            ReservationReply::Unreached { .. } => {
                life.reservations.remove(&token);
                life.requester.handle_result(now, ReservationResult { token, accepted: false });
                self.sum.unreached += 1;
                return Ok(());
            }
            _ => drop(life.reservations.remove(&token)),
        }
        let name = &mut self.names[index];
        match reservation_reply {
            ReservationReply::New if name.until > now && !name.free => {
                for (other, of) in name.new.iter().filter(|one| **one != (at, start)) {
                    let runs = self.members[*other].life.as_ref().filter(|life| life.start == *of);
                    let open = runs.is_some_and(|life| {
                        life.reservations.values().any(|(i, when)| *i == index && when.is_some())
                    });
                    if name.accepted.contains(&(*other, *of)) || open {
                        let what = if open { "may take it on" } else { "took it on" };
                        return Err(format!("at {now} name {index} is new at {at}, and {other} {what}"));
                    }
                }
                name.new.insert((at, start));
            }
            ReservationReply::AcceptedAt { at: other } => {
                let other = self.members.iter().position(|member| member.name == other).unwrap();
                if !name.accepted.iter().any(|(by, _)| *by == other) {
                    return Err(format!(
                        "at {now} name {index} is said to be at {other}, which never took it on"
                    ));
                }
                self.sum.same += 1;
                self.done(index);
            }
            ReservationReply::Unsettled { .. } => self.sum.unsettled += 1,
            _ => {}
        }
        Ok(())
    }

    /// Records that a name has an answer.
    fn done(&mut self, index: usize) {
        let name = &mut self.names[index];
        if !std::mem::replace(&mut name.done, true) && name.began > self.calm - 5 * SECOND && !self.tight {
            self.sum.worst = self.sum.worst.max(self.now - name.began);
        }
    }

    /// Returns the members that took over lives of lost folders: after a delay, the first one that runs.
    fn heirs(&self) -> BTreeMap<Life, Name> {
        let over = self.lost.iter().filter(|(_, _, when)| self.now > when + 3 * SECOND);
        over.filter_map(|(at, start, _)| {
            let of = Life { name: self.members[*at].name.clone(), start: *start };
            let heir =
                self.members.iter().enumerate().find(|(other, one)| *other != *at && one.life.is_some())?;
            Some((of, heir.1.name.clone()))
        })
        .collect()
    }

    fn look(&mut self, at: usize, asks: Name, key: ReservationKey, of: Life, number: u64) {
        let early = self.members[at].life.as_ref().is_none_or(|life| life.read_at > self.now);
        if early && self.plant != Plant::AnswersBeforeReadingJournals {
            return;
        }
        let whose = self.at(&of.name);
        let mine = whose == at && self.members[at].lives.contains(&of.start);
        let heir = self.heirs().get(&of) == Some(&self.members[at].name);
        let lost = self.plant == Plant::AnswersForLostFolder && whose == at && !mine;
        if !mine && !heir && !lost {
            return;
        }
        let name = self.names.iter().find(|name| ReservationKey::new("c", name.digest) == key);
        let accepted = !early && !lost && name.is_some_and(|name| name.accepted.contains(&(whose, of.start)));
        self.send(at, &asks, Message::ResultReply { key, of, number, accepted });
    }

    fn send(&mut self, from: usize, to: &Name, message: Message) {
        let to = self.at(to);
        let Some(sender) = self.members[from].life.as_ref().map(|life| life.start) else { return };
        let Some(start) = self.members[to].life.as_ref().map(|life| life.start) else { return };
        let life = Life { name: self.members[from].name.clone(), start: sender };
        let faulty = self.now < FAULTS_END && from != to;
        if faulty && self.random.random_bool(0.1) {
            return;
        }
        let most = if faulty { SECOND / 5 } else { SECOND / 50 };
        for _ in 0..if faulty && self.random.random_bool(0.1) { 2 } else { 1 } {
            let late = if faulty && self.random.random_bool(0.02) { 5 * SECOND } else { 0 };
            self.sent += 1;
            let at = self.now + late + self.random.random_range(0..most);
            self.net.insert((at, self.sent), (from, life.clone(), to, start, message.clone()));
        }
    }

    /// Delivers a message between two lives, to which the link is bound.
    fn deliver(&mut self, from: usize, sender: Life, to: usize, start: Start, message: Message) {
        let heirs = self.heirs();
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let Some(life) = self.members[to].life.as_mut().filter(|life| life.start == start) else { return };
        match message {
            Message::Reply { .. } | Message::ResultRecorded { .. } | Message::ResultQuery { .. } => {
                life.requester.handle_message(&sender.name, message);
            }
            _ => life.registry.handle_message(self.now, &sender, message, &|of| heirs.get(of).cloned()),
        }
    }
}
