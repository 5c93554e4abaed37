//! A simulated member: its live tables, its disk, and its faults.

use super::{Set, name, rules};
use heronroute_drift::*;
use heronroute_fleet::{Life, Name, Start, Term};
use heronroute_rules::RuleSet;
use std::collections::BTreeMap;

/// What the member reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporting {
    /// What its live tables hold.
    Honest,
    /// The desired state, while nothing new is applied.
    PretendsDesired,
}

pub struct SimMember {
    pub name: Name,
    pub start: Start,
    pub live: BTreeMap<String, Set>,
    pub disk: BTreeMap<String, Set>,
    /// A backup of the disk.
    pub backup: BTreeMap<String, Set>,
    pub reporter: Reporter,
    pub term: Term,
    pub silent: bool,
    /// The member is alive, but its reports do not arrive.
    pub reports_lost: bool,
    /// A client whose rules the member can't apply.
    pub cannot_apply: Option<String>,
    /// The member executes no orders.
    pub stuck: bool,
    pub reporting: Reporting,
    pub health: Health,
    /// Whether the live tables are equal to the desired state; none if not compared yet.
    pub in_line: Option<bool>,
    last_read: BTreeMap<String, (Set, bool)>,
}

impl SimMember {
    pub fn new(number: usize) -> Self {
        let life = Life { name: name(number), start: Start(1) };
        SimMember {
            name: name(number),
            start: Start(1),
            live: BTreeMap::new(),
            disk: BTreeMap::new(),
            backup: BTreeMap::new(),
            reporter: Reporter::new(life),
            term: Term(0),
            silent: false,
            reports_lost: false,
            cannot_apply: None,
            stuck: false,
            reporting: Reporting::Honest,
            health: Health { refused: 0, failed: 0, memory: 100 << 20 },
            in_line: None,
            last_read: BTreeMap::new(),
        }
    }

    pub fn life(&self) -> Life {
        Life { name: self.name.clone(), start: self.start }
    }

    pub fn make_backup(&mut self) {
        self.backup = self.live.clone();
    }

    pub fn apply(&mut self, client: &str, set: Set) {
        self.in_line = None;
        self.disk.insert(client.to_owned(), set);
        self.live.insert(client.to_owned(), set);
    }

    pub fn accept_order(&mut self, term: Term) {
        self.term = self.term.max(term);
        self.reporter.term(term);
    }

    pub fn apply_order(&mut self, client: &str, set: Set) {
        if !self.stuck && self.reporting == Reporting::Honest && self.cannot_apply.as_deref() != Some(client)
        {
            self.apply(client, set);
        }
    }

    /// Starts a new life, which applies what the disk holds.
    pub fn restart(&mut self) {
        self.start = Start(self.start.0 + 1);
        self.live = self.disk.clone();
        self.in_line = None;
        self.last_read.clear();
        self.reporter = Reporter::new(self.life());
        self.health.refused = 0;
        self.health.failed = 0;
    }

    fn update_reporter(&mut self, desired: &BTreeMap<String, Set>) {
        let reported = if self.reporting == Reporting::PretendsDesired { desired } else { &self.live };
        let gone: Vec<String> = {
            let known = self.reporter.tree();
            desired.keys().filter(|c| !reported.contains_key(*c) && known.get(c).is_some()).cloned().collect()
        };
        for client in gone {
            self.last_read.remove(&client);
            self.reporter.live(&client, 0, content::digest(&[]), None);
        }
        for (client, set) in reported {
            let cannot_apply = self.cannot_apply.as_ref() == Some(client);
            if self
                .last_read
                .get(client)
                .is_some_and(|(last_read, could)| last_read == set && *could == cannot_apply)
            {
                continue;
            }
            self.last_read.insert(client.clone(), (*set, cannot_apply));
            let problem = cannot_apply.then_some("no room for it");
            self.reporter.live(client, set.0, content::digest(&rules(*set).rules), problem);
        }
    }

    pub fn report(&mut self, desired: &BTreeMap<String, Set>, fail_on_new_version: bool) -> Report {
        self.update_reporter(desired);
        self.health.refused += 1;
        if fail_on_new_version && self.live.values().any(|set| set.0 > 1) {
            self.health.refused += 50;
        }
        self.reporter.report(self.health)
    }

    pub fn tell(&mut self, ask: &Ask, desired: &BTreeMap<String, Set>) -> Option<TreeReply> {
        self.update_reporter(desired);
        self.reporter.tell(ask)
    }

    pub fn answer(&self, challenge: &Challenge) -> Option<ChallengeAnswer> {
        let live = self.live.get(&challenge.client).map_or_else(RuleSet::default, |set| rules(*set));
        self.reporter.answer(challenge, &live)
    }
}
