//! Applies a version of a client's rules, whole or not at all, between two rounds.
//!
//! One journal entry holds the whole version, which takes effect only once that entry is durable. A crash
//! before that restores the old version, a crash after it the new one. What the new version discards is
//! dropped after that, and dropped again if a restart comes in between.

use crate::Micros;
use crate::node::{Effect, Node, TimerKey};
use crate::rule_tables::change::first_loss;
use crate::rule_tables::rules::{self, ClientRules};
use heronroute_held::{PartitionLimits, Room, Store};
use heronroute_journal::JournalState;
use heronroute_journal::entry::{Applied, What};
use heronroute_rules::seam::Apply;
use heronroute_rules::share::empty_share;
use heronroute_rules::{Plan, RuleLimits, RuleSet, Turn};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The most rules of a client; the look-up can't tell more of them apart.
const MAX_RULES: usize = u16::MAX as usize;

/// How often expired entries are looked for.
pub(super) const EXPIRY_INTERVAL: Micros = 1_000_000;

impl Node {
    /// Applies a client's rules. The result is reported by [`crate::node::Output::Live`] once it is durable;
    /// if the rules can't be applied, the output says why and the previous rules stay in force. Does nothing
    /// on a node outside a fleet. Must be followed by [`Node::settle`], as all inputs.
    pub fn apply(&mut self, now: Micros, mut apply: Apply) {
        self.now = now.max(self.now);
        apply.set = self.own_share(&apply.client, apply.set, apply.turn);
        let Some(rule_tables) = &self.rule_tables else { return };
        let client = self.client_names.get(&apply.client).copied();
        let Some(client) = client.filter(|c| *c < self.cfg.clients.len()) else {
            return self.reject_version(&apply.client, "no client of that name here".to_string());
        };
        let last_written = rule_tables.last_written.get(&client);
        if last_written
            .is_some_and(|(set, plan, turn)| *set == apply.set && *plan == apply.plan && *turn == apply.turn)
        {
            // Sent again. A version that is not yet durable is reported once it is.
            let rules = rule_tables.rules.get(&client);
            if rules.is_some_and(|r| {
                r.version == apply.set.version && r.plan == apply.plan && r.turn == apply.turn
            }) {
                self.rule_tables.iter_mut().for_each(|k| _ = k.trouble.remove(&apply.client));
                self.report_live(&apply.client);
            }
            return;
        }
        let empty = RuleSet::default();
        if let Err(why) = self.check_version(&apply, last_written.map_or(&empty, |(set, ..)| set)) {
            return self.reject_version(&apply.client, why);
        }
        let entry = || -> Option<Applied> {
            let (rules, plan) =
                (serde_json::to_vec(&*apply.set).ok()?, serde_json::to_vec(&*apply.plan).ok()?);
            let Turn { place, members, senders } = apply.turn;
            let (client, version) = (apply.client.clone(), apply.set.version);
            Some(Applied { client, version, rules, plan, place, members, senders })
        };
        let Some(entry) = entry() else {
            return self.reject_version(&apply.client, "it can't be written down".to_string());
        };
        if self.ledger.refuses(self.now, self.messages.len(), entry.rules.len() + entry.plan.len()) {
            return self.reject_version(&apply.client, "no room in the journal".to_string());
        }
        self.ledger.write(|| What::Applied(entry));
        if let Some(k) = &mut self.rule_tables {
            k.last_written.insert(client, (apply.set.clone(), apply.plan.clone(), apply.turn));
        }
        self.once_durable(Effect::Apply(Box::new(apply)));
    }

    /// Returns the rules with this sender's part of the process's share, which is all of it or none.
    pub(super) fn own_share(&self, client: &str, set: Arc<RuleSet>, turn: Turn) -> Arc<RuleSet> {
        if turn.is_home(client, self.index) { set } else { Arc::new(empty_share(&set)) }
    }

    fn check_version(&self, apply: &Apply, last_written: &RuleSet) -> Result<(), String> {
        let rules = &apply.set.rules;
        if rules.len() > MAX_RULES {
            return Err(format!("{} rules, at most {MAX_RULES}", rules.len()));
        }
        let names: BTreeSet<&str> = rules.iter().map(|r| r.name.as_str()).collect();
        if names.len() < rules.len() {
            return Err("two rules of one name".to_string());
        }
        match first_loss(last_written, &apply.set, &self.common_figures()).filter(|_| !apply.certain) {
            Some((rule, field)) => Err(format!(
                "rule {rule}: {field} would let go of what is kept, and its approval is not certain"
            )),
            None => Ok(()),
        }
    }

    /// Returns the figures that hold where no rule says otherwise.
    pub(super) fn common_figures(&self) -> RuleLimits {
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

    fn reject_version(&mut self, client: &str, why: String) {
        tracing::warn!(client, why, "rules can't be applied; the previous ones stay in force");
        if let Some(k) = &mut self.rule_tables {
            // The map holds at most one reason for each known client; unknown names are not stored.
            let known = self.client_names.contains_key(client);
            if known {
                k.trouble.insert(client.to_string(), why.clone());
            }
        }
        self.report_trouble(client, why);
    }

    /// Puts a version in force, as its entry is durable.
    pub(crate) fn rules_durable(&mut self, apply: &Apply) {
        let Some(client) = self.client_names.get(&apply.client).copied() else { return };
        self.put_in_force(client, &apply.set, apply.plan.clone(), apply.turn);
        if let Some(k) = &mut self.rule_tables {
            k.trouble.remove(&apply.client);
        }
        tracing::info!(client = apply.client, version = apply.set.version, "rules are in force");
        self.report_live(&apply.client);
    }

    fn put_in_force(&mut self, client: usize, set: &RuleSet, plan: Arc<Plan>, turn: Turn) {
        let Some(rule_tables) = &mut self.rule_tables else { return };
        let before = rule_tables.rules.remove(&client);
        let after = ClientRules::new(set, plan, turn, before.as_ref());
        let remaining: BTreeSet<u32> = after.rule_parts.iter().map(|p| p.part).collect();
        let removed =
            before.iter().flat_map(|b| &b.rule_parts).map(|p| p.part).filter(|p| !remaining.contains(p));
        let removed: Vec<u32> = removed.collect();
        let figures_by_part: Vec<(u32, RuleLimits)> =
            after.rule_parts.iter().zip(&set.rules).map(|(p, r)| (p.part, r.limits.clone())).collect();
        rule_tables.rules.insert(client, after);
        for part in &removed {
            rule_tables.names.limit(client, *part, None);
        }
        for (part, limits) in &figures_by_part {
            rule_tables.names.limit(client, *part, limits.remembered);
        }
        let rooms: Vec<(u32, PartitionLimits)> = removed
            .iter()
            .map(|part| (*part, PartitionLimits::default()))
            .chain(figures_by_part.iter().map(|(part, f)| (*part, rules::part_room(f))))
            .collect();
        if rooms.iter().any(|(_, room)| *room != PartitionLimits::default()) {
            self.ensure_held_store();
        }
        if let Some(store) = &mut self.held {
            rooms.iter().for_each(|(part, room)| store.limit(client as u32, *part, *room));
        }
        figures_by_part.iter().for_each(|(part, _)| self.trim_names(client, *part));
        self.trim_held(client);
        self.timers.set(TimerKey::RuleTables, self.now + EXPIRY_INTERVAL);
    }

    /// Adds a held store where the settings have none, as a rule holds messages. It has no room but that of
    /// the rules.
    fn ensure_held_store(&mut self) {
        if self.held.is_some() {
            return;
        }
        let no_room = Room { age: 0, count: 0, octets: 0 };
        self.held = Some(Store::new(no_room, no_room));
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

    /// Drops what has expired under clients' rules.
    pub(crate) fn expire_by_rules(&mut self) {
        let now = self.wall();
        let Some(k) = &mut self.rule_tables else { return };
        k.answers.expire(now);
        let clients: BTreeSet<usize> = k.rules.keys().chain(k.fences.keys()).copied().collect();
        clients.into_iter().for_each(|c| self.trim_held(c));
        self.clear_fences();
        self.timers.set(TimerKey::RuleTables, self.now + EXPIRY_INTERVAL);
    }

    /// Restores rules after a restart, before anything that they concern. Rules that can't be read count as
    /// never applied; the process sees that in the report of what is in force, and sends them again.
    pub(crate) fn restore_rules(&mut self, state: &JournalState) {
        if self.rule_tables.is_none() {
            return;
        }
        for applied in state.applied.values() {
            let Some(client) = self.client_names.get(&applied.client).copied() else { continue };
            let read = (
                serde_json::from_slice::<RuleSet>(&applied.rules),
                serde_json::from_slice::<Plan>(&applied.plan),
            );
            let (Ok(set), Ok(plan)) = read else {
                self.reject_version(&applied.client, "what was applied before can't be read".to_string());
                continue;
            };
            let (set, plan) = (Arc::new(set), Arc::new(plan));
            let turn = Turn { place: applied.place, members: applied.members, senders: applied.senders };
            let turn = if applied.members == 0 { Turn::default() } else { turn };
            if let Some(k) = &mut self.rule_tables {
                k.last_written.insert(client, (set.clone(), plan.clone(), turn));
            }
            self.put_in_force(client, &set, plan, turn);
            self.report_live(&applied.client);
        }
    }
}
