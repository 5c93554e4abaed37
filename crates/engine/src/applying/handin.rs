//! What a client's rules say of a message: at its hand-in, while it is held, at its release.

use crate::Micros;
use crate::ids::ConnId;
use crate::keeping::fence::Strict;
use crate::keeping::pace::Pace;
use crate::keeping::rules::{Keep, Rules};
use crate::node::Node;
use heronroute_held::Parts;
use heronroute_journal::entry::Accepted;
use heronroute_rules::Turn;
use heronroute_seen::Name;
use heronroute_smpp::submission::Submission;
use prost::Message as _;

/// The key by which rules know a message: classes that keep no order have none.
fn key(ordered: bool, key: Option<&str>) -> &str {
    key.filter(|_| ordered).unwrap_or_default()
}

impl Node {
    /// What holds for a message that is submitted.
    pub(crate) fn keep_for(&self, client: usize, class: usize, s: &Submission) -> Keep {
        let Some(keeping) = self.keeping.as_ref() else { return Keep::default() };
        let (rules, fence) = keeping.of(client);
        if rules.is_none() && fence.is_none() {
            return Keep::default();
        }
        let ordered = self.cfg.settings.classes.get(class).is_some_and(|c| c.ordered);
        let name = self.cfg.class_names.get(class).map_or("", String::as_str);
        let at = (name, s.destination.as_str(), key(ordered, s.key.as_deref()));
        match (rules, fence) {
            (rules, Some(fence)) => Strict::at_hand_in(rules, fence, &self.common(), at),
            (Some(rules), None) => rules.keep(at.0, at.1, at.2),
            (None, None) => Keep::default(),
        }
    }

    /// The parts of its client's room in which a message counts while it is held.
    pub(crate) fn parts_for(&self, client: usize, class: Option<usize>, to: &str, k: &str) -> Parts {
        let Some(keeping) = self.keeping.as_ref() else { return Parts::default() };
        let (rules, fence) = keeping.of(client);
        if rules.is_none() && fence.is_none() {
            return Parts::default();
        }
        let ordered = class.and_then(|c| self.cfg.settings.classes.get(c)).is_some_and(|c| c.ordered);
        let name = class.and_then(|c| self.cfg.class_names.get(c)).map_or("", String::as_str);
        let at = (name, to, key(ordered, Some(k)));
        match (rules, fence) {
            (rules, Some(fence)) => Strict::later(rules, fence, &self.common(), at),
            (Some(rules), None) => rules.parts(at.0, at.1, at.2),
            (None, None) => Parts::default(),
        }
    }

    /// The longest validity of a held message that is submitted again.
    pub(crate) fn validity_for(&self, client: usize, class: usize, a: &Accepted) -> Option<Micros> {
        let s = Submission {
            destination: a.destination.clone(),
            key: Some(a.key.clone()),
            ..Submission::default()
        };
        self.keep_for(client, class, &s).validity
    }

    /// A name was remembered: it counts under its rule, and the oldest there beyond the number are dropped.
    pub(crate) fn count_name(&mut self, client: usize, keep: Keep, name: Name, id: u64, until: Micros) {
        if keep.names == 0 {
            return;
        }
        if let Some(k) = &mut self.keeping {
            k.names.add(client, keep.names, name, id, until);
        }
        self.trim_names(client, keep.names);
    }

    /// Guards against a name that is dropped and taken for new: it stays in the table, unsure, for as long as it
    /// would have counted.
    pub(super) fn trim_names(&mut self, client: usize, part: u32) {
        let now = self.wall();
        let Some(k) = &mut self.keeping else { return };
        for (name, id) in k.names.trim(now, client, part) {
            k.answers.drop(id);
            if let Some(seen) = &mut self.seen {
                seen.give_up(now, name);
            }
        }
    }

    /// Whether a held message may be released now, by the pace that its client set for it; fenced, by both paces.
    pub(crate) fn may_release(&mut self, client: usize, id: u64) -> bool {
        let wall = self.wall();
        let may = self.with_paces(client, id, |now, paces| match paces {
            [Some(applied), Some(approved)] => Pace::may_by_both(now, wall, applied, approved),
            [one, other] => one.or(other).is_none_or(|(pace, turn)| pace.may(now, wall, turn)),
        });
        may.unwrap_or(true)
    }

    /// It was.
    pub(crate) fn was_released(&mut self, client: usize, id: u64) {
        self.with_paces(client, id, |now, paces| {
            paces.into_iter().flatten().for_each(|(pace, _)| pace.went(now));
        });
    }

    /// The pace of what is applied and of what is approved, for a message that is held.
    fn with_paces<T>(
        &mut self,
        client: usize,
        id: u64,
        act: impl FnOnce(Micros, [Option<(&mut Pace, Turn)>; 2]) -> T,
    ) -> Option<T> {
        let now = self.now;
        let keeping = self.keeping.as_mut()?;
        let some = |rules: &&mut Rules| !rules.paces.is_empty();
        let applied = keeping.rules.get_mut(&client).filter(some);
        let approved = keeping.fences.get_mut(&client).and_then(|f| f.stands_mut()).filter(some);
        if applied.is_none() && approved.is_none() {
            return None;
        }
        let filed = self.held.as_ref()?.get(id)?;
        let a = filed.message.as_deref().and_then(|m| Accepted::decode(m).ok())?;
        let class = self.class_names.get(&a.class).and_then(|c| self.cfg.settings.classes.get(*c));
        let key = key(class.is_some_and(|c| c.ordered), Some(&a.key));
        let paces = [applied, approved].map(|rules| {
            let rules = rules?;
            let (part, turn) = (rules.pace(&a.class, &a.destination, key), rules.turn);
            rules.paces.get_mut(&part).map(|pace| (pace, turn))
        });
        Some(act(now, paces))
    }

    /// A connection is gone: nobody waits for its questions' answers.
    pub(crate) fn forget_asks(&mut self, conn: ConnId) {
        if let Some(k) = &mut self.keeping {
            k.asks.remove(&conn);
        }
    }
}
