//! The senders' nodes of one process: what they apply is on their own disk and outlives the process.

use heronroute_rules::check::LossCounts;
use heronroute_rules::home::home;
use heronroute_rules::seam::{Apply, DryRun, DryRunResult, Live};
use heronroute_rules::share::empty_share;
use heronroute_rules::{RuleSet, Turn};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How nodes take what they are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Good,
    /// Answers, and applies nothing.
    Deaf,
    /// Neither applies nor answers.
    Hung,
    /// Says that it can't.
    Unable,
    /// One of its senders applies nothing.
    Half,
}

pub struct Engine {
    pub mode: Mode,
    /// Messages that each sender holds.
    pub holds: u64,
    /// Questions of what would be let go that came here.
    pub weighed: usize,
    /// For each sender.
    pub tables: Vec<BTreeMap<String, RuleSet>>,
    /// What is approved for fenced clients, as nodes were told.
    pub fences: BTreeMap<String, Arc<RuleSet>>,
    /// When what applied; one that differs between senders is none.
    pub past: Vec<(i64, Option<BTreeMap<String, RuleSet>>)>,
}

impl Engine {
    pub fn new(senders: usize) -> Self {
        let tables = vec![BTreeMap::new(); senders];
        Engine {
            mode: Mode::Good,
            holds: 0,
            weighed: 0,
            tables,
            fences: BTreeMap::new(),
            past: vec![(i64::MIN, Some(BTreeMap::new()))],
        }
    }

    /// Takes it and says what applies.
    pub fn apply(&mut self, now: i64, apply: &Apply) -> Vec<Live> {
        let mut out = Vec::new();
        for (sender, table) in self.tables.iter_mut().enumerate() {
            let takes = match self.mode {
                Mode::Good => true,
                Mode::Half => sender == 0,
                Mode::Deaf | Mode::Hung | Mode::Unable => false,
            };
            if takes {
                let own = apply.turn.is_home(&apply.client, sender);
                table.insert(
                    apply.client.clone(),
                    if own { (*apply.set).clone() } else { empty_share(&apply.set) },
                );
            }
            let set = table.get(&apply.client).cloned().unwrap_or_default();
            let trouble = (self.mode == Mode::Unable).then(|| "no room".to_string());
            if self.mode != Mode::Hung {
                out.push(Live { sender, client: apply.client.clone(), set, turn: apply.turn, trouble });
            }
        }
        self.note(now);
        out
    }

    /// What would go beyond the counts of the rules.
    pub fn weigh(&mut self, weigh: &DryRun) -> Vec<DryRunResult> {
        self.weighed += 1;
        let room: u64 = weigh.set.rules.iter().filter_map(|r| r.limits.hold_count).sum();
        let would = LossCounts { messages: self.holds.saturating_sub(room), ..LossCounts::default() };
        let senders = if self.mode == Mode::Hung { 0 } else { self.tables.len() };
        let none = LossCounts { messages: self.holds, ..LossCounts::default() };
        let would = |sender| if weigh.turn.is_home(&weigh.client, sender) { would } else { none };
        (0..senders)
            .map(|sender| DryRunResult { number: weigh.number, sender, would: would(sender) })
            .collect()
    }

    /// A rule is altered on disk and read back.
    pub fn alter(&mut self, now: i64, client: &str) -> Vec<Live> {
        let mut out = Vec::new();
        for (sender, table) in self.tables.iter_mut().enumerate() {
            let Some(set) = table.get_mut(client) else { continue };
            for rule in &mut set.rules {
                rule.limits.hold_for = Some(1);
            }
            let set = set.clone();
            out.push(Live { sender, client: client.into(), set, turn: Turn::default(), trouble: None });
        }
        self.note(now);
        out
    }

    fn note(&mut self, now: i64) {
        // By client what its home has, where the others have the same without a share.
        let clients: Vec<String> = self.tables.iter().flat_map(|table| table.keys().cloned()).collect();
        let agreed = |client: &String| {
            let own = self.at_home(client)?;
            let other = empty_share(own);
            let at_home = home(client, self.tables.len());
            let mut others = self.tables.iter().enumerate().filter(|(at, _)| *at != at_home);
            others.all(|(_, table)| table.get(client) == Some(&other)).then(|| (client.clone(), own.clone()))
        };
        let all: Option<BTreeMap<String, RuleSet>> = clients.iter().map(agreed).collect();
        if self.past.last().is_none_or(|(_, last)| *last != all) {
            self.past.push((now, all));
        }
    }

    /// What a client's home applies for it.
    pub fn at_home(&self, client: &str) -> Option<&RuleSet> {
        self.tables[home(client, self.tables.len())].get(client)
    }

    /// Whether at some time since `from` exactly this applied.
    pub fn applied_since(&self, from: i64, wanted: &BTreeMap<String, RuleSet>) -> bool {
        let none = RuleSet::default();
        let same = |held: &BTreeMap<String, RuleSet>| {
            wanted.iter().all(|(client, set)| held.get(client).unwrap_or(&none) == set)
        };
        let mut until = i64::MAX;
        for (at, held) in self.past.iter().rev() {
            if until <= from {
                break;
            }
            if held.as_ref().is_some_and(same) {
                return true;
            }
            until = *at;
        }
        false
    }
}
