//! Looks up what a client's rules say of a message: at submission, while it is held, and at its release.

use crate::Micros;
use crate::ids::ConnId;
use crate::node::Node;
use crate::rule_tables::fence::StricterRules;
use crate::rule_tables::pace::Pace;
use crate::rule_tables::rules::{ClientRules, RuleTerms};
use heronroute_held::MessagePartitions;
use heronroute_journal::entry::Accepted;
use heronroute_rules::Turn;
use heronroute_seen::Name;
use heronroute_smpp::submission::Submission;
use prost::Message as _;

/// Returns the key by which rules match a message: classes without ordering have none.
fn ordering_key(ordered: bool, key: Option<&str>) -> &str {
    key.filter(|_| ordered).unwrap_or_default()
}

impl Node {
    /// Returns the terms of a message that is being submitted.
    pub(crate) fn rule_terms_for(&self, client: usize, class: usize, submission: &Submission) -> RuleTerms {
        let Some(rule_tables) = self.rule_tables.as_ref() else { return RuleTerms::default() };
        let (rules, fence) = rule_tables.rules_of(client);
        if rules.is_none() && fence.is_none() {
            return RuleTerms::default();
        }
        let ordered = self.cfg.settings.classes.get(class).is_some_and(|c| c.ordered);
        let name = self.cfg.class_names.get(class).map_or("", String::as_str);
        let at = (name, submission.destination.as_str(), ordering_key(ordered, submission.key.as_deref()));
        match (rules, fence) {
            (rules, Some(fence)) => StricterRules::at_submission(rules, fence, &self.common_figures(), at),
            (Some(rules), None) => rules.terms(at.0, at.1, at.2),
            (None, None) => RuleTerms::default(),
        }
    }

    /// Returns the parts of the client's room in which a message counts while it is held.
    pub(crate) fn held_parts_for(
        &self,
        client: usize,
        class: Option<usize>,
        to: &str,
        key: &str,
    ) -> MessagePartitions {
        let Some(rule_tables) = self.rule_tables.as_ref() else { return MessagePartitions::default() };
        let (rules, fence) = rule_tables.rules_of(client);
        if rules.is_none() && fence.is_none() {
            return MessagePartitions::default();
        }
        let ordered = class.and_then(|c| self.cfg.settings.classes.get(c)).is_some_and(|c| c.ordered);
        let name = class.and_then(|c| self.cfg.class_names.get(c)).map_or("", String::as_str);
        let at = (name, to, ordering_key(ordered, Some(key)));
        match (rules, fence) {
            (rules, Some(fence)) => StricterRules::while_held(rules, fence, &self.common_figures(), at),
            (Some(rules), None) => rules.held_parts(at.0, at.1, at.2),
            (None, None) => MessagePartitions::default(),
        }
    }

    /// Returns the longest validity of a held message that is resubmitted.
    pub(crate) fn validity_for(&self, client: usize, class: usize, accepted: &Accepted) -> Option<Micros> {
        let submission = Submission {
            destination: accepted.destination.clone(),
            key: Some(accepted.key.clone()),
            ..Submission::default()
        };
        self.rule_terms_for(client, class, &submission).validity
    }

    /// Counts a remembered name under its rule, and drops the oldest names of that rule beyond its limit.
    pub(crate) fn count_name(&mut self, client: usize, terms: RuleTerms, name: Name, id: u64, until: Micros) {
        if terms.names_part == 0 {
            return;
        }
        if let Some(rule_tables) = &mut self.rule_tables {
            rule_tables.names.add(client, terms.names_part, name, id, until);
        }
        self.trim_names(client, terms.names_part);
    }

    /// Drops names beyond a rule's limit. Guards against a dropped name being taken for a new one: it stays
    /// in the table as unsure for as long as it would have counted.
    pub(super) fn trim_names(&mut self, client: usize, part: u32) {
        let now = self.wall();
        let Some(rule_tables) = &mut self.rule_tables else { return };
        for (name, id) in rule_tables.names.trim(now, client, part) {
            rule_tables.answers.remove(id);
            if let Some(seen) = &mut self.seen {
                seen.give_up(now, name);
            }
        }
    }

    /// Returns whether a held message may be released now at the pace that its client set; under a fence, at
    /// both paces.
    pub(crate) fn may_release(&mut self, client: usize, id: u64) -> bool {
        let wall = self.wall();
        let allowed = self.with_paces(client, id, |now, paces| match paces {
            [Some(applied), Some(approved)] => Pace::both_allow(now, wall, applied, approved),
            [one, other] => one.or(other).is_none_or(|(pace, turn)| pace.allows(now, wall, turn)),
        });
        allowed.unwrap_or(true)
    }

    /// Counts a release.
    pub(crate) fn record_release(&mut self, client: usize, id: u64) {
        self.with_paces(client, id, |now, paces| {
            paces.into_iter().flatten().for_each(|(pace, _)| pace.record(now));
        });
    }

    /// Calls `act` with the paces of the applied and of the approved rules for a held message.
    fn with_paces<T>(
        &mut self,
        client: usize,
        id: u64,
        act: impl FnOnce(Micros, [Option<(&mut Pace, Turn)>; 2]) -> T,
    ) -> Option<T> {
        let now = self.now;
        let rule_tables = self.rule_tables.as_mut()?;
        let has_paces = |rules: &&mut ClientRules| !rules.paces.is_empty();
        let applied = rule_tables.rules.get_mut(&client).filter(has_paces);
        let approved =
            rule_tables.fences.get_mut(&client).and_then(|f| f.active_rules_mut()).filter(has_paces);
        if applied.is_none() && approved.is_none() {
            return None;
        }
        let filed = self.held.as_ref()?.get(id)?;
        let accepted = filed.message.as_deref().and_then(|m| Accepted::decode(m).ok())?;
        let class = self.class_names.get(&accepted.class).and_then(|c| self.cfg.settings.classes.get(*c));
        let key = ordering_key(class.is_some_and(|c| c.ordered), Some(&accepted.key));
        let paces = [applied, approved].map(|rules| {
            let rules = rules?;
            let (part, turn) = (rules.pace_part(&accepted.class, &accepted.destination, key), rules.turn);
            rules.paces.get_mut(&part).map(|pace| (pace, turn))
        });
        Some(act(now, paces))
    }

    /// Forgets the questions of a connection that is gone.
    pub(crate) fn forget_asks(&mut self, conn: ConnId) {
        if let Some(rule_tables) = &mut self.rule_tables {
            rule_tables.asks.remove(&conn);
        }
    }
}
