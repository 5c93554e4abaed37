//! Reports of what the process's nodes really apply.
//!
//! The senders of a process count as one member. It reports the approved rules only if the client's home
//! sender has the process's share and all others have an empty one. Otherwise it reports the lowest version
//! that any sender applies, with a digest that matches nothing approved, and how many senders are right.

use crate::Micros;
use crate::apply::SentRules;
use crate::limits;
use heronroute_drift::{Challenge, ChallengeAnswer, Digest, PartlyApplied, Reporter, content};
use heronroute_fleet::Life;
use heronroute_rules::seam::Live;
use heronroute_rules::share::empty_share;
use heronroute_rules::{RuleSet, Turn};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::sync::LazyLock;

/// What each sender reported for a client; none: nothing in this life of the process.
type SenderReports = Vec<Option<(Applied, Option<String>)>>;

/// What a sender applies: rules, and its part of release rates.
type Applied = (RuleSet, Turn);

/// What the nodes reported, and what they still owe.
#[derive(Debug)]
pub struct Reports {
    /// Builds the reports to the leader.
    pub reporter: Reporter,
    senders: Vec<usize>,
    reported: BTreeMap<String, SenderReports>,
    /// For each sender, since when an answer is outstanding.
    awaiting_since: Vec<Option<Micros>>,
    /// The open challenges by client, each with the senders that have not answered since.
    challenges: BTreeMap<String, (Challenge, Vec<usize>)>,
    /// The clients for which senders differ, and since when.
    differ_since: BTreeMap<String, Micros>,
    /// The number of reports dropped, from unknown senders or about too many clients.
    pub dropped: u64,
}

impl Reports {
    /// Creates the reports of a life of the process with these senders.
    pub fn new(life: Life, senders: Vec<usize>) -> Self {
        let awaiting_since = vec![None; senders.len()];
        let reporter = Reporter::new(life);
        let (reported, challenges, differ_since) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Reports { reporter, senders, reported, awaiting_since, challenges, differ_since, dropped: 0 }
    }

    /// Records that the nodes were sent something and have to answer.
    pub fn expect_answers(&mut self, now: Micros) {
        for awaiting_since in &mut self.awaiting_since {
            awaiting_since.get_or_insert(now);
        }
    }

    /// Returns whether a sender has not answered for so long that what it applies is unknown.
    pub fn hung(&self, now: Micros, after: Micros) -> bool {
        self.awaiting_since.iter().flatten().any(|since| now > since.saturating_add(after))
    }

    /// Handles a node's report of what it applies; `sent` is what it was sent last. Returns the answer to a
    /// challenge, if this was the last report that it needed.
    pub fn live(&mut self, wall: Micros, live: Live, sent: Option<&SentRules>) -> Option<ChallengeAnswer> {
        let at = self.senders.iter().position(|number| *number == live.sender);
        let known =
            self.reported.contains_key(&live.client) || self.reported.len() < limits::MAX_REPORTED_CLIENTS;
        let Some(at) = at.filter(|_| known) else {
            self.dropped += 1;
            return None;
        };
        if let Some(awaiting_since) = self.awaiting_since.get_mut(at) {
            *awaiting_since = None;
        }
        let client = live.client;
        let senders = self.senders.len();
        let reports = self.reported.entry(client.clone()).or_insert_with(|| vec![None; senders]);
        if let Some(slot) = reports.get_mut(at) {
            *slot = Some(((live.set, live.turn), live.trouble));
        }
        self.update(wall, &client, sent);
        let (_, waits) = self.challenges.get_mut(&client)?;
        waits.retain(|other| *other != live.sender);
        if !waits.is_empty() {
            return None;
        }
        let (challenge, _) = self.challenges.remove(&client)?;
        self.answer(&challenge, sent)
    }

    /// Updates what is reported for a client, after a node's report or after the nodes were sent something
    /// else, which gives their reports another meaning.
    pub fn update(&mut self, wall: Micros, client: &str, sent: Option<&SentRules>) {
        let Some(reports) = self.reported.get(client) else { return };
        let states = SenderStates::new(client, &self.senders, reports);
        let (version, digest) = states.digest(sent);
        let partly = match states.partly(sent) {
            Some((senders, of)) => {
                let since = *self.differ_since.entry(client.to_owned()).or_insert(wall);
                Some(PartlyApplied { senders, of, since })
            }
            None => {
                self.differ_since.remove(client);
                None
            }
        };
        self.reporter.partly(client, partly);
        let trouble = reports.iter().flatten().find_map(|(_, trouble)| trouble.as_deref());
        self.reporter.live(client, version, digest, trouble);
    }

    /// Records the leader's challenge for a client, to be answered when all nodes have read their rules back.
    /// Returns true if they are to be asked.
    pub fn challenge(&mut self, challenge: Challenge) -> bool {
        let client = challenge.client.clone();
        if self.challenges.len() >= limits::MAX_CHALLENGES && !self.challenges.contains_key(&client) {
            return false;
        }
        self.challenges.insert(client, (challenge, self.senders.clone()));
        true
    }

    fn answer(&self, challenge: &Challenge, sent: Option<&SentRules>) -> Option<ChallengeAnswer> {
        let reports = self.reported.get(&challenge.client)?;
        let states = SenderStates::new(&challenge.client, &self.senders, reports);
        // Senders that differ, or have not reported, prove nothing.
        let (first, _) = states.common().filter(|_| reports.iter().all(Option::is_some))?;
        let approved = sent.filter(|sent| states.matching(sent) == reports.len()).map(|sent| &*sent.approved);
        self.reporter.answer(challenge, approved.unwrap_or(first))
    }
}

/// What the senders apply for a client: its home, and the others.
struct SenderStates<'a> {
    home: Option<&'a Applied>,
    others: Vec<&'a Applied>,
}

static NO_RULES: LazyLock<Applied> = LazyLock::new(Applied::default);

impl<'a> SenderStates<'a> {
    fn new(client: &str, senders: &[usize], reports: &'a SenderReports) -> Self {
        let whose = Turn { senders: u32::try_from(senders.len()).unwrap_or(u32::MAX), ..Turn::default() };
        let (mut home, mut others) = (None, Vec::new());
        for (sender, one) in senders.iter().zip(reports) {
            let applied = one.as_ref().map_or(&*NO_RULES, |(applied, _)| applied);
            if home.is_none() && whose.is_home(client, *sender) {
                home = Some(applied);
            } else {
                others.push(applied);
            }
        }
        SenderStates { home, others }
    }

    fn all(&self) -> impl Iterator<Item = &'a Applied> {
        self.home.into_iter().chain(self.others.iter().copied())
    }

    /// Returns what the home applies, if all others apply the same with an empty share.
    fn common(&self) -> Option<&'a Applied> {
        let home = self.home?;
        let none = empty_share(&home.0);
        self.others.iter().all(|(set, turn)| *set == none && *turn == home.1).then_some(home)
    }

    /// Returns how many senders apply exactly what they were sent.
    fn matching(&self, sent: &SentRules) -> usize {
        let none = empty_share(&sent.share);
        let home = self.home.filter(|applied| is_exactly(applied, &sent.share, sent.turn)).is_some();
        self.others.iter().filter(|applied| is_exactly(applied, &none, sent.turn)).count() + usize::from(home)
    }

    /// Returns how many of how many senders apply what they were sent, if they differ.
    fn partly(&self, sent: Option<&SentRules>) -> Option<(u32, u32)> {
        if self.common().is_some() {
            return None;
        }
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Some((number(sent.map_or(0, |sent| self.matching(sent))), number(self.all().count())))
    }

    /// Returns the version and digest to report: the approved digest if each sender applies exactly its part
    /// of this member's share.
    fn digest(&self, sent: Option<&SentRules>) -> (u64, Digest) {
        let version = self.all().map(|(set, _)| set.version).min().unwrap_or(0);
        if let Some(sent) = sent
            && self.matching(sent) == self.all().count()
        {
            return (version, content::digest(&sent.approved.rules));
        }
        if self.all().all(|(set, _)| set.rules.is_empty()) {
            return (version, content::digest(&[]));
        }
        // The plain digest of the applied rules would not do: a member that applies the limits of the whole
        // installation instead of its share would look as if it were in line.
        let mut hash = Sha256::new();
        hash.update(b"heronroute applied otherwise");
        for (set, turn) in self.all() {
            hash.update(set.version.to_be_bytes());
            hash.update(content::digest(&set.rules));
            [turn.place, turn.members, turn.senders].iter().for_each(|n| hash.update(n.to_be_bytes()));
        }
        (version, hash.finalize().into())
    }
}

/// Returns whether a sender applies exactly this part. One that uses others' turns of a release rate exceeds
/// it, whatever its rules say.
fn is_exactly((set, turn): &Applied, part: &RuleSet, own: Turn) -> bool {
    set == part && (*turn == own || set.rules.iter().all(|r| r.limits.release.is_none()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use heronroute_fleet::{Name, Start};
    use heronroute_rules::{Plan, Rule, RuleLimits};
    use std::sync::Arc;

    const TURN: Turn = Turn { place: 1, members: 3, senders: 2 };
    const HOME: usize = 7;
    const OTHER: usize = 4;

    fn set(version: u64, hold: u64) -> RuleSet {
        let limits = RuleLimits { hold_count: Some(hold), release: Some(2), ..RuleLimits::default() };
        RuleSet { version, rules: vec![Rule { name: "one".into(), limits, ..Rule::default() }] }
    }
    fn sent(version: u64) -> SentRules {
        SentRules {
            approved: set(version, 30).into(),
            share: set(version, 10).into(),
            turn: TURN,
            plan: Arc::new(Plan::default()),
        }
    }
    /// Returns the report of the client's home, or of the other sender, which has the same rules with an
    /// empty share.
    fn live(sender: usize, set: RuleSet) -> Live {
        let set = if sender == HOME { set } else { empty_share(&set) };
        Live { sender, client: "c".into(), set, turn: TURN, trouble: None }
    }
    fn reports() -> Reports {
        Reports::new(Life { name: Name::new("a").unwrap(), start: Start(1) }, vec![HOME, OTHER])
    }
    fn reported(r: &Reports) -> Option<(u64, Digest)> {
        r.reporter.tree().get("c").map(|leaf| (leaf.version, leaf.digest))
    }

    #[test]
    fn a_member_is_in_line_only_if_all_senders_apply_the_share() {
        let mut r = reports();
        let (two, whole) = (sent(2), content::digest(&set(2, 30).rules));
        r.live(70, live(HOME, set(2, 10)), Some(&two));
        assert_ne!(reported(&r), Some((2, whole)), "one of two has not reported yet");
        r.live(90, live(OTHER, set(1, 10)), Some(&two));
        assert_eq!(reported(&r).map(|t| t.0), Some(1), "the lowest version counts");
        let reports = r.reporter.report(Default::default()).clients[0].partly;
        assert_eq!(reports, Some(PartlyApplied { senders: 1, of: 2, since: 70 }), "since when they differ");
        r.live(70, live(OTHER, set(2, 10)), Some(&two));
        assert_eq!(reported(&r), Some((2, whole)));
        assert_eq!(r.reporter.report(Default::default()).clients[0].partly, None);
        r.live(70, live(HOME, set(2, 30)), Some(&two));
        assert_eq!(reported(&r).map(|t| t.0), Some(2));
        assert_ne!(
            reported(&r),
            Some((2, whole)),
            "the limit of the whole installation is more than its share"
        );
        r.live(70, Live { turn: Turn::default(), ..live(HOME, set(2, 10)) }, Some(&two));
        assert_ne!(reported(&r), Some((2, whole)), "it uses all members' turns of the release rate");
        r.live(70, live(HOME, set(2, 10)), Some(&two));
        assert_eq!(reported(&r), Some((2, whole)));
        let whole_too = Live { sender: OTHER, ..live(HOME, set(2, 10)) };
        r.live(70, whole_too, Some(&two));
        assert_ne!(
            reported(&r),
            Some((2, whole)),
            "the share is applied twice, at the home and at the other sender"
        );
        r.live(70, live(9, set(2, 10)), Some(&two));
        assert_eq!(r.dropped, 1, "no such sender");
    }

    #[test]
    fn a_challenge_is_answered_by_later_reports() {
        let mut r = reports();
        let two = sent(2);
        r.live(70, live(HOME, set(2, 10)), Some(&two));
        r.live(70, live(OTHER, set(2, 10)), Some(&two));
        let to = Life { name: Name::new("a").unwrap(), start: Start(1) };
        let challenge = Challenge { to, term: heronroute_fleet::Term(1), nonce: [3; 32], client: "c".into() };
        assert!(r.challenge(challenge.clone()));
        assert_eq!(r.live(70, live(HOME, set(2, 10)), Some(&two)), None);
        let answer = r.live(70, live(OTHER, set(2, 10)), Some(&two)).unwrap();
        assert_eq!(answer.proof, content::proof(&[3; 32], 2, &set(2, 30).rules));
        r.challenge(challenge);
        r.live(70, live(HOME, set(2, 9)), Some(&two));
        assert_eq!(r.live(70, live(OTHER, set(1, 10)), Some(&two)), None, "they differ");
        r.expect_answers(5);
        r.live(70, live(OTHER, set(2, 10)), Some(&two));
        assert!(!r.hung(15, 10) && r.hung(16, 10), "the home has not answered since 5");
    }
}
