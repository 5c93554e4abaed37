//! A client's rules are taken over: all of a version or nothing, between two rounds.
//!
//! One entry of the journal has the version whole, and it is in force only once that entry is durable: a crash before
//! it comes back with the old one, a crash after it with the new one. What it lets go of is dropped after that, and
//! once more at a restart in between.

use crate::Micros;
use crate::keeping::change::destroys;
use crate::keeping::rules::{self, Rules};
use crate::node::{Effect, Node, TimerKey};
use heronroute_held::{PartRoom, Room, Store};
use heronroute_journal::Book;
use heronroute_journal::entry::{Applied, What};
use heronroute_rules::seam::Apply;
use heronroute_rules::share::empty_share;
use heronroute_rules::{Plan, RuleLimits, RuleSet, Turn};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Rules of a client at most; more can't be told apart by the look-up.
const MOST: usize = u16::MAX as usize;

/// How often it is looked for what has become too old.
pub(super) const LOOK: Micros = 1_000_000;

impl Node {
    /// Takes a client's rules over. What comes of it is told by [`crate::node::Output::Live`], once it is durable; where it
    /// can't be applied that says why, and what was in force still is. Nothing on a node that is in no fleet. To be
    /// followed by [`Node::settle`], as all inputs.
    pub fn apply(&mut self, now: Micros, mut apply: Apply) {
        self.now = now.max(self.now);
        apply.set = self.own_part(&apply.client, apply.set, apply.turn);
        let Some(keeping) = &self.keeping else { return };
        let client = self.client_names.get(&apply.client).copied();
        let Some(client) = client.filter(|c| *c < self.cfg.clients.len()) else {
            return self.cannot(&apply.client, "no client of that name here".to_string());
        };
        let latest = keeping.latest.get(&client);
        if latest
            .is_some_and(|(set, plan, turn)| *set == apply.set && *plan == apply.plan && *turn == apply.turn)
        {
            // Told again. One that is not durable yet is told when it is.
            let rules = keeping.rules.get(&client);
            if rules.is_some_and(|r| {
                r.version == apply.set.version && r.plan == apply.plan && r.turn == apply.turn
            }) {
                self.keeping.iter_mut().for_each(|k| _ = k.trouble.remove(&apply.client));
                self.now_applies(&apply.client);
            }
            return;
        }
        let none = RuleSet::default();
        if let Err(why) = self.can_apply(&apply, latest.map_or(&none, |(set, ..)| set)) {
            return self.cannot(&apply.client, why);
        }
        let entry = || -> Option<Applied> {
            let (rules, plan) =
                (serde_json::to_vec(&*apply.set).ok()?, serde_json::to_vec(&*apply.plan).ok()?);
            let Turn { place, members, senders } = apply.turn;
            let (client, version) = (apply.client.clone(), apply.set.version);
            Some(Applied { client, version, rules, plan, place, members, senders })
        };
        let Some(entry) = entry() else {
            return self.cannot(&apply.client, "it can't be written down".to_string());
        };
        if self.ledger.refuses(self.now, self.messages.len(), entry.rules.len() + entry.plan.len()) {
            return self.cannot(&apply.client, "no room in the journal".to_string());
        }
        self.ledger.write(|| What::Applied(entry));
        if let Some(k) = &mut self.keeping {
            k.latest.insert(client, (apply.set.clone(), apply.plan.clone(), apply.turn));
        }
        self.once_durable(Effect::Apply(Box::new(apply)));
    }

    /// Of its process's share this sender has all or none.
    pub(super) fn own_part(&self, client: &str, set: Arc<RuleSet>, turn: Turn) -> Arc<RuleSet> {
        if turn.is_home(client, self.index) { set } else { Arc::new(empty_share(&set)) }
    }

    fn can_apply(&self, apply: &Apply, latest: &RuleSet) -> Result<(), String> {
        let rules = &apply.set.rules;
        if rules.len() > MOST {
            return Err(format!("{} rules, at most {MOST}", rules.len()));
        }
        let names: BTreeSet<&str> = rules.iter().map(|r| r.name.as_str()).collect();
        if names.len() < rules.len() {
            return Err("two rules of one name".to_string());
        }
        match destroys(latest, &apply.set, &self.common()).filter(|_| !apply.certain) {
            Some((rule, field)) => Err(format!(
                "rule {rule}: {field} would let go of what is kept, and its approval is not certain"
            )),
            None => Ok(()),
        }
    }

    /// What holds where no rule says otherwise.
    pub(super) fn common(&self) -> RuleLimits {
        let held = self.cfg.held;
        RuleLimits {
            answer_for: Some(0),
            remember: Some(self.cfg.mqtt.as_ref().map_or(0, |m| m.remember)),
            hold_for: Some(held.map_or(0, |h| h.age)),
            hold_count: Some(held.map_or(0, |h| h.count as u64)),
            hold_octets: Some(held.map_or(0, |h| h.octets)),
            trails: Some(held.map_or(0, |h| h.trails as u64)),
            remembered: self.cfg.mqtt.as_ref().map(|m| m.remembered as u64),
            ..RuleLimits::default()
        }
    }

    fn cannot(&mut self, client: &str, why: String) {
        tracing::warn!(client, why, "rules can't be applied; those before are in force");
        if let Some(k) = &mut self.keeping {
            // One word for each client that there is, and one for those that there are not.
            let known = self.client_names.contains_key(client);
            if known {
                k.trouble.insert(client.to_string(), why.clone());
            }
        }
        self.cannot_apply(client, why);
    }

    /// A version is durable: from here on it is in force.
    pub(crate) fn in_force(&mut self, apply: &Apply) {
        let Some(client) = self.client_names.get(&apply.client).copied() else { return };
        self.put_in_force(client, &apply.set, apply.plan.clone(), apply.turn);
        if let Some(k) = &mut self.keeping {
            k.trouble.remove(&apply.client);
        }
        tracing::info!(client = apply.client, version = apply.set.version, "rules are in force");
        self.now_applies(&apply.client);
    }

    fn put_in_force(&mut self, client: usize, set: &RuleSet, plan: Arc<Plan>, turn: Turn) {
        let Some(keeping) = &mut self.keeping else { return };
        let before = keeping.rules.remove(&client);
        let after = Rules::new(set, plan, turn, before.as_ref());
        let stay: BTreeSet<u32> = after.places.iter().map(|p| p.part).collect();
        let gone = before.iter().flat_map(|b| &b.places).map(|p| p.part).filter(|p| !stay.contains(p));
        let gone: Vec<u32> = gone.collect();
        let now_has: Vec<(u32, RuleLimits)> =
            after.places.iter().zip(&set.rules).map(|(p, r)| (p.part, r.limits.clone())).collect();
        keeping.rules.insert(client, after);
        for part in &gone {
            keeping.names.limit(client, *part, None);
        }
        for (part, limits) in &now_has {
            keeping.names.limit(client, *part, limits.remembered);
        }
        let kept: Vec<(u32, PartRoom)> = gone
            .iter()
            .map(|part| (*part, PartRoom::default()))
            .chain(now_has.iter().map(|(part, f)| (*part, rules::room(f))))
            .collect();
        if kept.iter().any(|(_, room)| *room != PartRoom::default()) {
            self.hold_from_now_on();
        }
        if let Some(store) = &mut self.held {
            kept.iter().for_each(|(part, room)| store.limit(client as u32, *part, *room));
        }
        now_has.iter().for_each(|(part, _)| self.trim_names(client, *part));
        self.trim_held(client);
        self.timers.set(TimerKey::Keeping, self.now + LOOK);
    }

    /// A rule keeps messages, where the settings keep none: there is a store from now on, with no room but the rules'.
    fn hold_from_now_on(&mut self) {
        if self.held.is_some() {
            return;
        }
        let none = Room { age: 0, count: 0, octets: 0 };
        self.held = Some(Store::new(none, none));
        for endpoint in self.endpoints.ids() {
            let name = self.endpoints[endpoint].name.clone();
            self.endpoints[endpoint].number = self.trail_number(&name);
        }
    }

    pub(super) fn trim_held(&mut self, client: usize) {
        let now = self.wall();
        let dropped = self.held.as_mut().map(|s| s.trim(now, client as u32)).unwrap_or_default();
        self.write_released(&dropped);
    }

    /// What has become too old under clients' rules is dropped.
    pub(crate) fn keeping_due(&mut self) {
        let now = self.wall();
        let Some(k) = &mut self.keeping else { return };
        k.answers.expire(now);
        let clients: BTreeSet<usize> = k.rules.keys().chain(k.fences.keys()).copied().collect();
        clients.into_iter().for_each(|c| self.trim_held(c));
        self.clear_fences();
        self.timers.set(TimerKey::Keeping, self.now + LOOK);
    }

    /// After a restart: rules are in force before anything that they concern is taken up. What can't be read is as if it
    /// had never been applied; the process hears of that by what is told to be in force, and sends it again.
    pub(crate) fn take_up_rules(&mut self, book: &Book) {
        if self.keeping.is_none() {
            return;
        }
        for a in book.applied.values() {
            let Some(client) = self.client_names.get(&a.client).copied() else { continue };
            let read = (serde_json::from_slice::<RuleSet>(&a.rules), serde_json::from_slice::<Plan>(&a.plan));
            let (Ok(set), Ok(plan)) = read else {
                self.cannot(&a.client, "what was applied before can't be read".to_string());
                continue;
            };
            let (set, plan) = (Arc::new(set), Arc::new(plan));
            let turn = Turn { place: a.place, members: a.members, senders: a.senders };
            let turn = if a.members == 0 { Turn::default() } else { turn };
            if let Some(k) = &mut self.keeping {
                k.latest.insert(client, (set.clone(), plan.clone(), turn));
            }
            self.put_in_force(client, &set, plan, turn);
            self.now_applies(&a.client);
        }
    }
}
