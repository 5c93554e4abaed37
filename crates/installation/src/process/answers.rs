//! Answers to clients.

use super::Installation;
use super::carry::Sayer;
use crate::Micros;
use crate::asks::{self, Question};
use crate::page::Page;
use crate::rollouts;
use crate::seam::Output;
use crate::wire::Wire;
use heronroute_fleet::{Name, Standing};
use heronroute_journal::Storage;
use heronroute_rules::json;
use heronroute_rules::registry::Viewer;
use heronroute_rules::seam::{ClientRequest, Told};
use serde_json::{Value, json};

impl<S: Storage> Installation<S> {
    pub(super) fn ask(&mut self, now: Micros, ask: ClientRequest) {
        let operator = self.cfg.clients.get(&ask.client).is_some_and(|c| c.operator);
        let question = match asks::read(&ask, operator, self.machine.registry()) {
            Ok(question) => question,
            Err(reply) => return self.told(asks::reply(&ask, &reply)),
        };
        match question {
            Question::Show(client) => {
                let told = self.show(&ask, operator, &client);
                self.told(told);
            }
            Question::Check(command) => self.check(now, ask, &command),
            Question::Decide(_) if !self.allows().edits => self.told(asks::no_majority(&ask)),
            Question::Decide(command) => self.propose(now, ask, command),
            Question::Members => {
                let text = self.members_json();
                self.told(asks::told(&ask, text, "shown"));
            }
            Question::Drift(page) => self.drift(now, ask, &page),
        }
    }

    pub(super) fn told(&mut self, told: Told) {
        self.outputs.push(Output::Told(told));
    }

    fn show(&self, ask: &ClientRequest, operator: bool, client: &str) -> Told {
        let viewer = Viewer { client: &ask.client, operator };
        match self.machine.registry().view(viewer, client) {
            Some(mut view) => {
                view.notices.extend(self.applier.empty_share_notices(&view.set));
                asks::told(ask, self.marked(self.rolled(json::show(&view), client)), "shown")
            }
            None => asks::unknown(ask),
        }
    }

    /// With how far the last version has gone, where it is not meant for all, and why it stopped.
    fn rolled(&self, text: String, client: &str) -> String {
        let Some(rollout) = rollouts::of(self.machine.waves(), client) else { return text };
        let mut value: Value = serde_json::from_str(&text).unwrap_or_default();
        if let Some(object) = value.as_object_mut() {
            object.insert("rollout".into(), rollout);
        }
        value.to_string()
    }

    /// Says so where it is not certain that this is what holds.
    pub(super) fn marked(&self, text: String) -> String {
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
        let line = |row: &heronroute_fleet::members::Row| {
            let state = match row.standing {
                // What was believed before a pause is not said to be so.
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
            "members": others.map(line).collect::<Vec<_>>(),
        })
        .to_string()
    }

    fn drift(&mut self, now: Micros, ask: ClientRequest, page: &Page) {
        if let Err(reply) = page.exists(|name| self.places.contains_key(name)) {
            return self.told(asks::reply(&ask, &reply));
        }
        if self.in_charge(now).is_some()
            && let Some(watch) = &self.watch
        {
            let text = watch.shown(now, true, self.machine.waves(), page);
            return self.told(asks::told(&ask, text, "shown"));
        }
        let leader = self.replicas.leader().map(|(_, life)| life.name.clone());
        let peer =
            leader.filter(|name| *name != self.cfg.own.name).and_then(|n| self.places.get(&n).copied());
        let Some(peer) = peer.filter(|_| self.allows().edits) else { return self.nothing_known(&ask) };
        let number = self.next_number();
        if let Some(over) = self.open.seek(number, ask, now.saturating_add(self.cfg.pace.patience)) {
            self.nothing_known(&over);
        }
        let wire = Wire::Page { number, after: page.after(), most: page.most() };
        self.pass(now, peer, None, &wire);
    }

    pub(super) fn nothing_known(&mut self, ask: &ClientRequest) {
        let page = Page::read(&ask.body).unwrap_or_default();
        let text = page.unknown(self.replicas.term(), self.allows().edits, self.places.keys());
        self.told(asks::told(ask, text, "shown"));
    }

    /// Another member asks for one of its operators. One that is not in charge says nothing: it is not known here.
    pub(super) fn sought(&mut self, now: Micros, sayer: &Sayer, number: u64, page: &Page) {
        let text = match &self.watch {
            Some(watch) if self.in_charge(now).is_some() => {
                watch.shown(now, true, self.machine.waves(), page)
            }
            _ => return,
        };
        self.pass(now, sayer.peer, sayer.carried.as_ref(), &Wire::Shown { number, text });
    }

    pub(super) fn shown(&mut self, from: &Name, number: u64, text: String) {
        if self.replicas.leader().is_none_or(|(_, life)| life.name != *from) {
            self.counts.misrouted += 1;
            return;
        }
        if let Some(ask) = self.open.shown(number) {
            self.told(asks::told(&ask, text, "shown"));
        }
    }
}
