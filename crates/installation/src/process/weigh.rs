//! What rules would let go of, weighed by the nodes of this process and by other members.

use super::Installation;
use super::carry::Sayer;
use crate::Micros;
use crate::asks;
use crate::asks::weighing::{Weighing, Whose};
use crate::limits;
use crate::seam::Output;
use crate::wire::Wire;
use heronroute_fleet::Standing;
use heronroute_fleet::members::Row;
use heronroute_journal::Storage;
use heronroute_rules::check::{LossCounts, octets};
use heronroute_rules::registry::Command;
use heronroute_rules::seam::{ClientRequest, DryRun};
use heronroute_rules::{Rule, RuleSet};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl<S: Storage> Installation<S> {
    /// What `rules/submit` would say, whether anything that is kept would be let go, and how much.
    pub(super) fn check(&mut self, now: Micros, ask: ClientRequest, command: &Command) {
        // Guards against a client that asks as fast as it can: every member's senders would look for it without end.
        if let Err(wait) = self.rates.client(now, &ask.client) {
            return self.told(asks::too_often(&ask, wait));
        }
        let (outcome, set) = self.machine.registry().dry_run(self.wall, command);
        let state = outcome.reply.state();
        let mut value: Value = serde_json::from_str(&outcome.reply.json()).unwrap_or_default();
        if let Some(object) = value.as_object_mut() {
            let own = |d: &&heronroute_rules::registry::Desired| d.client == ask.client;
            if let Some(desired) = outcome.changed.iter().find(own) {
                object.insert("destroys".into(), desired.destroys.into());
            }
            let empty_share_notices =
                set.as_ref().map(|set| self.applier.empty_share_notices(set)).unwrap_or_default();
            if !empty_share_notices.is_empty() {
                object.insert("notices".into(), json!(empty_share_notices));
            }
        }
        let Some(set) = set else {
            let text = self.marked(value.to_string());
            return self.told(asks::told(&ask, text, state));
        };
        let client = ask.client.clone();
        let others = self.abroad(&set.rules);
        let whose = Whose::Client(ask, value, state);
        let number = self.weigh(now, whose, &client, &set, &others);
        for peer in others {
            let rules = set.rules.clone();
            self.pass(now, peer, None, &Wire::DryRun { number, client: client.clone(), rules });
        }
        let whole = self.weighings.whole(number);
        self.weighed(whole);
    }

    /// Members that are asked too: those that a link stands to or that live, where that is little enough to be said to all of them.
    fn abroad(&self, rules: &[Rule]) -> Vec<usize> {
        let own = self.places.get(&self.cfg.own.name).copied();
        let rows = self.members.rows();
        let there = |row: &Row| row.linked || self.linked > 0 && row.standing == Standing::Alive;
        let there = |at: &usize| rows.get(*at).is_some_and(there);
        let others: Vec<usize> =
            (0..self.cfg.peers.len()).filter(|at| Some(*at) != own).filter(there).collect();
        let little = octets(rules).saturating_mul(others.len() as u64) <= limits::WEIGHED_ABROAD;
        if little && self.allows().agrees && self.weighings.may_go_abroad() { others } else { Vec::new() }
    }

    /// Asks this process's nodes; opens the question.
    fn weigh(&mut self, now: Micros, whose: Whose, client: &str, set: &RuleSet, others: &[usize]) -> u64 {
        let number = self.next_number();
        let set = Arc::new(self.applier.share(set));
        let weighing = Weighing {
            whose,
            senders: self.cfg.senders.iter().copied().collect::<BTreeSet<_>>(),
            here: LossCounts::default(),
            others: others.iter().map(|at| (*at, None)).collect::<BTreeMap<_, _>>(),
            until: now.saturating_add(self.cfg.pace.patience),
        };
        let over = self.weighings.open(number, weighing);
        self.weighed(over);
        let turn = self.applier.turn();
        self.outputs.push(Output::DryRun(DryRun { number, client: client.to_owned(), set, turn }));
        number
    }

    /// Another member asks. One whose life is over says nothing, nor does one that is asked too often: a member that does not
    /// hold its clients to their rate harms itself alone.
    pub(super) fn weigh_for(
        &mut self,
        now: Micros,
        sayer: &Sayer,
        number: u64,
        client: &str,
        rules: Vec<Rule>,
    ) {
        if self.allows().agrees && self.rates.peer(now, sayer.peer) {
            let set = RuleSet { version: 0, rules };
            let own =
                self.weigh(now, Whose::Member(sayer.peer, number, sayer.carried.clone()), client, &set, &[]);
            let whole = self.weighings.whole(own);
            self.weighed(whole);
        }
    }

    /// Tells what was weighed, all of it or as much as was heard in time.
    pub(super) fn weighed(&mut self, weighing: Option<Weighing>) {
        let Some(Weighing { whose, senders, here, others, .. }) = weighing else { return };
        match whose {
            // Part of a member's would look like all of it.
            Whose::Member(peer, number, life) if senders.is_empty() => {
                self.pass(self.last, peer, life.as_ref(), &Wire::DryRunResult { number, would: here });
            }
            Whose::Member(..) => {}
            Whose::Client(ask, mut value, state) => {
                let heard: Vec<usize> = others.iter().filter_map(|(at, said)| said.map(|_| *at)).collect();
                let whole = others.values().flatten().fold(here, |sum, said| sum.and(*said));
                let own = self.places.get(&self.cfg.own.name).copied().filter(|_| senders.is_empty());
                let names = self.cfg.peers.iter().enumerate();
                let silent = names.filter(|(at, _)| Some(*at) != own && !heard.contains(at));
                let silent: Vec<&str> = silent.map(|(_, peer)| peer.name.as_str()).collect();
                if let Some(object) = value.as_object_mut() {
                    object.insert("would".into(), json!(whole));
                    object.insert("here".into(), json!(here));
                    object.insert("members heard".into(), (self.cfg.peers.len() - silent.len()).into());
                    if !silent.is_empty() {
                        let named = silent.iter().take(limits::SILENT).collect::<Vec<_>>();
                        object.insert("not heard".into(), json!(named));
                    }
                }
                let text = self.marked(value.to_string());
                self.told(asks::told(&ask, text, state));
            }
        }
    }
}
