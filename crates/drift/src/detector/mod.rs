//! The detector, which runs at every keeper and is active at the leader.
//!
//! Every keeper passes it the desired state and the membership. It handles reports and time only while its
//! keeper is the leader and only within the lease. A verdict is based on a report that was certainly written
//! within [`Config::fresh_for`] (the member echoes the time of the last acknowledgement), with the newest
//! known start and number. The work for an event depends on what changed: a member is checked when something
//! about it changes, or at the time that its last check asked for.

mod assess;
mod challenge;
mod check;
mod config;
mod desired;
mod interface;
mod leadership;
mod member;
mod rollouts;
mod snapshot;
mod status;
mod tree_walk;

pub use check::MIN_CHECK_INTERVAL;
pub use config::Config;
pub use desired::MAX_DESIRED_CLIENTS;
pub use interface::{Desired, Dropped, Output};
pub use rollouts::MAX_ROLLOUTS;
pub use snapshot::DetectorSnapshot;

use crate::actions::TokenBucket;
use crate::history::History;
use crate::random::SeededRandom;
use crate::report::{Ack, Ask, ChallengeAnswer, Echo, Report, TreeReply, Verdict};
use crate::rollout::Rollout;
use crate::{MAX_CLIENT_NAME_BYTES, Micros};
use desired::DesiredState;
use heronroute_fleet::{Life, Name, Standing, Start};
use heronroute_rules::RuleSet;
use leadership::Leadership;
use member::Member;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The maximum number of members; others are ignored and counted.
pub const MAX_MEMBERS: usize = 1024;

/// The maximum number of pending outputs. Queries, orders and challenges beyond it are dropped; all of them
/// are repeated later.
pub const MAX_OUTPUTS: usize = 8192;

type Rollouts = BTreeMap<String, Rollout>;

/// The detector.
#[derive(Debug)]
pub struct Detector {
    config: Config,
    leadership: Leadership,
    desired_state: DesiredState,
    members: BTreeMap<Name, Member>,
    wakes: BTreeSet<(Micros, Name)>,
    rollouts: Rollouts,
    history: History,
    /// The action budget shared by all members.
    bucket: TokenBucket,
    /// The turn of the last member that waits for that budget.
    last_turn: Micros,
    random: SeededRandom,
    out: VecDeque<Output>,
    dropped: Dropped,
}

impl Detector {
    /// Creates a detector that knows no members and is not the leader.
    pub fn new(config: Config) -> Self {
        let random = SeededRandom::new(config.seed);
        Detector {
            config,
            leadership: Leadership::default(),
            desired_state: DesiredState::default(),
            members: BTreeMap::new(),
            wakes: BTreeSet::new(),
            rollouts: BTreeMap::new(),
            history: History::default(),
            bucket: TokenBucket::default(),
            last_turn: Micros::MIN,
            random,
            out: VecDeque::new(),
            dropped: Dropped::default(),
        }
    }

    /// Sets the desired version of a client, after an approval or at startup.
    pub fn desired(&mut self, now: Micros, desired: &Desired) {
        if desired.client.len() > MAX_CLIENT_NAME_BYTES || !self.desired_state.set(desired) {
            self.dropped.no_room += 1;
            return;
        }
        self.supersede(desired);
        if !self.is_leading(now) {
            return;
        }
        // Only members in line can change by an approval. All others are checked when they report: checking
        // each of them for each of many approvals would cost members × clients.
        let in_line = |member: &Member| member.published.verdict == Verdict::InLine;
        let names: Vec<Name> =
            self.members.iter().filter(|(_, m)| in_line(m)).map(|(n, _)| n.clone()).collect();
        names.iter().for_each(|name| self.check_member(now, name, true));
    }

    /// Updates the membership state of a member.
    pub fn members(&mut self, now: Micros, life: &Life, zone: &str, standing: Standing) {
        let Some(member) = self.admit(now, life) else { return };
        if member.standing != standing {
            member.standing = standing;
            member.standing_since = now;
        }
        if member.zone != zone {
            member.zone = zone.chars().take(MAX_CLIENT_NAME_BYTES).collect();
        }
        self.check_member(now, &life.name, false);
    }

    /// Removes a member that is no longer in the settings.
    pub fn forget(&mut self, name: &Name) {
        if let Some(wake_at) = self.members.remove(name).and_then(|member| member.wake_at) {
            self.wakes.remove(&(wake_at, name.clone()));
        }
    }

    /// Handles a report. Returns false if it does not count, because this keeper is not the leader or the
    /// report is outdated.
    pub fn report(&mut self, now: Micros, report: &Report) -> bool {
        if !self.accept_term(now, report.term) {
            return false;
        }
        let term = self.leadership.term();
        let Some(member) = counted_sender(&mut self.members, &report.life, report.number, &mut self.dropped)
        else {
            return false;
        };
        if report.life.start > member.start {
            member.handle_restart(now, report.life.start);
        }
        member.number = report.number;
        member.health = report.health;
        // This leader never sent a time in the future.
        let echo = report.echo.filter(|echo| echo.term == term && echo.at <= now);
        member.written_after = member.written_after.max(echo.map(|echo| echo.at));
        member.apply_report(now, report.root, &report.clients, &self.desired_state.of(&report.life.name));
        let ack = Ack { to: report.life.clone(), number: report.number, echo: Echo { term, at: now } };
        self.push(Output::Ack(ack));
        if echo.is_some() {
            self.rollouts_report(now, &report.life.name);
        }
        self.check_member(now, &report.life.name, false);
        true
    }

    /// Handles the reply to a tree query.
    pub fn tell(&mut self, now: Micros, reply: &TreeReply) {
        if !self.is_leading(now) {
            self.dropped.not_leader += 1;
            return;
        }
        let Some(member) = counted_sender(&mut self.members, &reply.life, reply.number, &mut self.dropped)
        else {
            return;
        };
        // No query was sent to a start of the member that has not reported yet.
        if reply.life.start != member.start {
            self.dropped.invalid_answers += 1;
            return;
        }
        member.number = reply.number;
        match member.handle_reply(now, reply, &self.desired_state.of(&reply.life.name)) {
            Some(paths) => self.push_queries(&reply.life, paths),
            None => self.dropped.invalid_answers += 1,
        }
        self.check_member(now, &reply.life.name, false);
    }

    /// Returns the client that this challenge answer is about; its desired rules are passed to
    /// [`Detector::answer`].
    pub fn challenged(&self, answer: &ChallengeAnswer) -> Option<&str> {
        let member =
            self.members.get(&answer.life.name).filter(|member| member.start == answer.life.start)?;
        member.challenged(&answer.nonce)
    }

    /// Handles the answer to a challenge. `content` holds the desired rules of the client, whose digest was
    /// passed to [`Detector::desired`].
    pub fn answer(&mut self, now: Micros, answer: &ChallengeAnswer, content: &RuleSet) {
        let Some(member) = self.members.get_mut(&answer.life.name) else {
            self.dropped.unknown_member += 1;
            return;
        };
        if member.start != answer.life.start
            || !member.check_answer(now, answer, &self.desired_state.of(&answer.life.name), content)
        {
            self.dropped.invalid_answers += 1;
            return;
        }
        self.check_member(now, &answer.life.name, false);
    }

    /// Handles the passing of time.
    pub fn tick(&mut self, now: Micros) {
        if !self.is_leading(now) {
            return;
        }
        self.rollouts_tick(now);
        while self.wakes.first().is_some_and(|(wake_at, _)| *wake_at <= now) {
            // The check sets the member's next time, which is later than now.
            let Some((_, name)) = self.wakes.pop_first() else { break };
            self.check_member(now, &name, false);
        }
    }

    /// Returns the next time at which [`Detector::tick`] has something to do, or none while this keeper is
    /// not the leader. Checks of the same member are at least [`MIN_CHECK_INTERVAL`] apart.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        let rollouts = self.rollouts.values().filter_map(Rollout::next);
        let wake_at = self.wakes.first().map(|(wake_at, _)| *wake_at);
        rollouts.chain(wake_at).min().filter(|_| self.is_leading(now))
    }

    /// Returns the next output.
    pub fn poll(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// Returns the counts of dropped inputs and outputs.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// Returns the history of verdicts.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the last known rollout of a client.
    pub fn rollout_of(&self, client: &str) -> Option<&Rollout> {
        self.rollouts.get(client)
    }

    fn push(&mut self, output: Output) {
        if self.out.len() >= MAX_OUTPUTS {
            self.dropped.no_room += 1;
            return;
        }
        self.out.push_back(output);
    }

    fn push_queries(&mut self, to: &Life, paths: Vec<crate::tree::Path>) {
        let term = self.leadership.term();
        paths.into_iter().for_each(|path| self.push(Output::Ask(Ask { to: to.clone(), term, path })));
    }

    /// Returns the member, which is added if it is new; none if this start of it is over.
    fn admit(&mut self, now: Micros, life: &Life) -> Option<&mut Member> {
        if !self.members.contains_key(&life.name) {
            if self.members.len() >= MAX_MEMBERS {
                self.dropped.no_room += 1;
                return None;
            }
            self.members
                .insert(life.name.clone(), Member::new(now, life.start, &self.desired_state.of(&life.name)));
        }
        let member = self.members.get_mut(&life.name)?;
        if life.start < member.start {
            self.dropped.older_life += 1;
            return None;
        }
        if life.start > member.start {
            member.handle_restart(now, life.start);
        }
        Some(member)
    }
}

/// Returns the sender if its start and number are the newest; otherwise counts the message as dropped.
fn counted_sender<'a>(
    members: &'a mut BTreeMap<Name, Member>,
    life: &Life,
    number: u64,
    dropped: &mut Dropped,
) -> Option<&'a mut Member> {
    let Some(member) = members.get_mut(&life.name) else {
        dropped.unknown_member += 1;
        return None;
    };
    if life.start < member.start {
        dropped.older_life += 1;
        return None;
    }
    if life.start == member.start && number <= member.number {
        dropped.older_number += 1;
        return None;
    }
    Some(member)
}

/// Returns the life (name and start) of a member.
fn life(name: &Name, start: Start) -> Life {
    Life { name: name.clone(), start }
}
