//! Dry runs of rules: what would be dropped, as estimated by the nodes of this process and by other members.

use super::Installation;
use super::relay::MessageSource;
use crate::Micros;
use crate::asks;
use crate::asks::dry_runs::{OpenDryRun, Requester};
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
    /// Answers `rules/check`: what `rules/submit` would say, whether anything that is kept would be dropped,
    /// and how much.
    pub(super) fn start_check(&mut self, now: Micros, client_request: ClientRequest, command: &Command) {
        // A client that asks as fast as it can would occupy the senders of every member.
        if let Err(wait) = self.rates.client(now, &client_request.client) {
            return self.answer_client(asks::too_often(&client_request, wait));
        }
        let (outcome, set) = self.machine.registry().dry_run(self.wall, command);
        let state = outcome.reply.state();
        let mut value: Value = serde_json::from_str(&outcome.reply.json()).unwrap_or_default();
        if let Some(object) = value.as_object_mut() {
            let own = |d: &&heronroute_rules::registry::Desired| d.client == client_request.client;
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
            let text = self.with_certainty(value.to_string());
            return self.answer_client(asks::answer(&client_request, text, state));
        };
        let client = client_request.client.clone();
        let others = self.dry_run_peers(&set.rules);
        let requester = Requester::Client(client_request, value, state);
        let number = self.start_dry_run(now, requester, &client, &set, &others);
        for peer in others {
            let rules = set.rules.clone();
            self.send_or_relay(now, peer, None, &Wire::DryRun { number, client: client.clone(), rules });
        }
        let complete = self.dry_runs.take_if_complete(number);
        self.finish_dry_run(complete);
    }

    /// Returns the other members to ask: those that are linked or alive, if the rules are small enough to be
    /// sent to all of them.
    fn dry_run_peers(&self, rules: &[Rule]) -> Vec<usize> {
        let own = self.peer_indexes.get(&self.cfg.own.name).copied();
        let rows = self.members.rows();
        let reachable = |row: &Row| row.linked || self.linked > 0 && row.standing == Standing::Alive;
        let reachable = |at: &usize| rows.get(*at).is_some_and(reachable);
        let others: Vec<usize> =
            (0..self.cfg.peers.len()).filter(|at| Some(*at) != own).filter(reachable).collect();
        let small_enough =
            octets(rules).saturating_mul(others.len() as u64) <= limits::MAX_PEER_DRY_RUN_BYTES;
        if small_enough && self.allows().agrees && self.dry_runs.may_ask_peers() {
            others
        } else {
            Vec::new()
        }
    }

    /// Starts a dry run at this process's nodes and records the query.
    fn start_dry_run(
        &mut self,
        now: Micros,
        requester: Requester,
        client: &str,
        set: &RuleSet,
        others: &[usize],
    ) -> u64 {
        let number = self.next_number();
        let set = Arc::new(self.applier.share(set));
        let dry_run = OpenDryRun {
            requester,
            senders: self.cfg.senders.iter().copied().collect::<BTreeSet<_>>(),
            local: LossCounts::default(),
            others: others.iter().map(|at| (*at, None)).collect::<BTreeMap<_, _>>(),
            deadline: now.saturating_add(self.cfg.timing.peer_timeout),
        };
        let evicted = self.dry_runs.open(number, dry_run);
        self.finish_dry_run(evicted);
        let turn = self.applier.turn();
        self.outputs.push(Output::DryRun(DryRun { number, client: client.to_owned(), set, turn }));
        number
    }

    /// Handles another member's dry run. A life that is over does not answer, nor does a member that is asked
    /// too often: one that does not hold its clients to their rate harms only itself.
    pub(super) fn dry_run_for_member(
        &mut self,
        now: Micros,
        source: &MessageSource,
        number: u64,
        client: &str,
        rules: Vec<Rule>,
    ) {
        if self.allows().agrees && self.rates.peer(now, source.peer) {
            let set = RuleSet { version: 0, rules };
            let own = self.start_dry_run(
                now,
                Requester::Member(source.peer, number, source.relayed_life.clone()),
                client,
                &set,
                &[],
            );
            let complete = self.dry_runs.take_if_complete(own);
            self.finish_dry_run(complete);
        }
    }

    /// Answers a dry run with all results, or with those received in time.
    pub(super) fn finish_dry_run(&mut self, dry_run: Option<OpenDryRun>) {
        let Some(OpenDryRun { requester, senders, local, others, .. }) = dry_run else { return };
        match requester {
            // A partial result of a member would look like a complete one.
            Requester::Member(peer, number, life) if senders.is_empty() => {
                self.send_or_relay(
                    self.latest_time,
                    peer,
                    life.as_ref(),
                    &Wire::DryRunResult { number, would: local },
                );
            }
            Requester::Member(..) => {}
            Requester::Client(client_request, mut value, state) => {
                let answered: Vec<usize> =
                    others.iter().filter_map(|(at, answer)| answer.map(|_| *at)).collect();
                let total = others.values().flatten().fold(local, |sum, answer| sum.and(*answer));
                let own = self.peer_indexes.get(&self.cfg.own.name).copied().filter(|_| senders.is_empty());
                let names = self.cfg.peers.iter().enumerate();
                let silent = names.filter(|(at, _)| Some(*at) != own && !answered.contains(at));
                let silent: Vec<&str> = silent.map(|(_, peer)| peer.name.as_str()).collect();
                if let Some(object) = value.as_object_mut() {
                    object.insert("would".into(), json!(total));
                    object.insert("here".into(), json!(local));
                    object.insert("members heard".into(), (self.cfg.peers.len() - silent.len()).into());
                    if !silent.is_empty() {
                        let named = silent.iter().take(limits::MAX_LISTED_SILENT).collect::<Vec<_>>();
                        object.insert("not heard".into(), json!(named));
                    }
                }
                let text = self.with_certainty(value.to_string());
                self.answer_client(asks::answer(&client_request, text, state));
            }
        }
    }
}
