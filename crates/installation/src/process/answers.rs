//! Answers to clients and to other members' questions.

use super::Installation;
use super::relay::MessageSource;
use crate::Micros;
use crate::asks::{self, ParsedRequest};
use crate::page::Page;
use crate::rollout_view;
use crate::seam::Output;
use crate::wire::Wire;
use heronroute_fleet::{Name, Standing};
use heronroute_journal::Storage;
use heronroute_rules::json;
use heronroute_rules::registry::Viewer;
use heronroute_rules::seam::{ClientRequest, Told};
use serde_json::{Value, json};

impl<S: Storage> Installation<S> {
    pub(super) fn handle_client_request(&mut self, now: Micros, client_request: ClientRequest) {
        let operator = self.cfg.clients.get(&client_request.client).is_some_and(|c| c.operator);
        let parsed = match asks::read(&client_request, operator, self.machine.registry()) {
            Ok(parsed) => parsed,
            Err(reply) => return self.answer_client(asks::reply(&client_request, &reply)),
        };
        match parsed {
            ParsedRequest::Show(client) => {
                let answer = self.rules_answer(&client_request, operator, &client);
                self.answer_client(answer);
            }
            ParsedRequest::Check(command) => self.start_check(now, client_request, &command),
            ParsedRequest::Decide(_) if !self.allows().edits => {
                self.answer_client(asks::no_majority(&client_request))
            }
            ParsedRequest::Decide(command) => self.propose(now, client_request, command),
            ParsedRequest::Members => {
                let text = self.members_json();
                self.answer_client(asks::answer(&client_request, text, "shown"));
            }
            ParsedRequest::Drift(page) => self.answer_drift(now, client_request, &page),
        }
    }

    pub(super) fn answer_client(&mut self, told: Told) {
        self.outputs.push(Output::Told(told));
    }

    fn rules_answer(&self, client_request: &ClientRequest, operator: bool, client: &str) -> Told {
        let viewer = Viewer { client: &client_request.client, operator };
        match self.machine.registry().view(viewer, client) {
            Some(mut view) => {
                view.notices.extend(self.applier.empty_share_notices(&view.set));
                asks::answer(
                    client_request,
                    self.with_certainty(self.with_rollout(json::show(&view), client)),
                    "shown",
                )
            }
            None => asks::unknown(client_request),
        }
    }

    /// Adds the progress of the client's rollout, where there is one, and why it stopped.
    fn with_rollout(&self, text: String, client: &str) -> String {
        let Some(rollout) = rollout_view::of(self.machine.waves(), client) else { return text };
        let mut value: Value = serde_json::from_str(&text).unwrap_or_default();
        if let Some(object) = value.as_object_mut() {
            object.insert("rollout".into(), rollout);
        }
        value.to_string()
    }

    /// Adds that the answer is uncertain and the condition, where this member can't be sure that it shows the
    /// current state.
    pub(super) fn with_certainty(&self, text: String) -> String {
        if self.allows().certain {
            return text;
        }
        let mut value: Value = serde_json::from_str(&text).unwrap_or_default();
        if let Some(object) = value.as_object_mut() {
            object.insert("certain".into(), false.into());
            object.insert("condition".into(), self.condition.word().into());
        }
        value.to_string()
    }

    fn members_json(&self) -> String {
        let stale = self.members.stale();
        let others = self.members.rows().iter().filter(|row| row.name != self.cfg.own.name);
        let row_json = |row: &heronroute_fleet::members::Row| {
            let state = match row.standing {
                // What was believed before a pause is not reported as fact.
                Standing::Alive if stale => "suspect",
                Standing::Alive => "alive",
                Standing::Suspect => "suspect",
                Standing::Dead => "dead",
            };
            json!({
                "name": row.name.as_str(), "state": state, "zone": row.zone,
                "start": row.life.as_ref().map_or(0, |life| life.start.0),
            })
        };
        let leader = self.replicas.leader();
        json!({
            "self": self.cfg.own.name.as_str(),
            "start": self.cfg.own.start.0,
            "majority": self.allows().edits,
            "condition": self.condition.word(),
            "term": self.replicas.term().0,
            "charge": leader.map(|(_, life)| life.name.as_str()),
            "members": others.map(row_json).collect::<Vec<_>>(),
        })
        .to_string()
    }

    fn answer_drift(&mut self, now: Micros, client_request: ClientRequest, page: &Page) {
        if let Err(reply) = page.exists(|name| self.peer_indexes.contains_key(name)) {
            return self.answer_client(asks::reply(&client_request, &reply));
        }
        if self.in_charge(now).is_some()
            && let Some(drift_monitor) = &self.drift_monitor
        {
            let text = drift_monitor.drift_page(now, true, self.machine.waves(), page);
            return self.answer_client(asks::answer(&client_request, text, "shown"));
        }
        let leader = self.replicas.leader().map(|(_, life)| life.name.clone());
        let peer =
            leader.filter(|name| *name != self.cfg.own.name).and_then(|n| self.peer_indexes.get(&n).copied());
        let Some(peer) = peer.filter(|_| self.allows().edits) else {
            return self.answer_unknown(&client_request);
        };
        let number = self.next_number();
        if let Some(evicted) =
            self.pending.add_query(number, client_request, now.saturating_add(self.cfg.timing.peer_timeout))
        {
            self.answer_unknown(&evicted);
        }
        let wire = Wire::Page { number, after: page.after(), most: page.most() };
        self.send_or_relay(now, peer, None, &wire);
    }

    pub(super) fn answer_unknown(&mut self, client_request: &ClientRequest) {
        let page = Page::read(&client_request.body).unwrap_or_default();
        let text = page.unknown(self.replicas.term(), self.allows().edits, self.peer_indexes.keys());
        self.answer_client(asks::answer(client_request, text, "shown"));
    }

    /// Answers another member's question for one of its operators. A member that is not the leader does not
    /// answer, as it does not know.
    pub(super) fn handle_drift_query(
        &mut self,
        now: Micros,
        source: &MessageSource,
        number: u64,
        page: &Page,
    ) {
        let text = match &self.drift_monitor {
            Some(drift_monitor) if self.in_charge(now).is_some() => {
                drift_monitor.drift_page(now, true, self.machine.waves(), page)
            }
            _ => return,
        };
        self.send_or_relay(
            now,
            source.peer,
            source.relayed_life.as_ref(),
            &Wire::DriftAnswer { number, text },
        );
    }

    pub(super) fn handle_drift_answer(&mut self, from: &Name, number: u64, text: String) {
        if self.replicas.leader().is_none_or(|(_, life)| life.name != *from) {
            self.counts.misrouted += 1;
            return;
        }
        if let Some(client_request) = self.pending.take_query(number) {
            self.answer_client(asks::answer(&client_request, text, "shown"));
        }
    }
}
