//! What the process's nodes really apply, as one report.
//!
//! The senders of a process count as one member: only where the client's home says that it has the process's share, and all
//! others say that they have none of it, is anything said to be applied, else the lowest version that one of them applies, under a digest that fits nothing approved, and how many are right.

use crate::Micros;
use crate::apply::Sent;
use crate::limits;
use heronroute_drift::{Challenge, ChallengeAnswer, Digest, PartlyApplied, Reporter, content};
use heronroute_fleet::Life;
use heronroute_rules::seam::Live;
use heronroute_rules::share::empty_share;
use heronroute_rules::{RuleSet, Turn};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::sync::LazyLock;

/// What each sender said for a client; none: nothing in this life of the process.
type Said = Vec<Option<(Applied, Option<String>)>>;

/// What a sender applies: rules, and its part of paces.
type Applied = (RuleSet, Turn);

/// What nodes said.
#[derive(Debug)]
pub struct Reports {
    /// Writes it down for the member in charge.
    pub reporter: Reporter,
    senders: Vec<usize>,
    said: BTreeMap<String, Said>,
    /// For each sender, since when it owes an answer.
    owes: Vec<Option<Micros>>,
    /// Challenges, each with the senders that have not answered since.
    challenges: BTreeMap<String, (Challenge, Vec<usize>)>,
    /// Clients for which senders differ, and since when.
    differ: BTreeMap<String, Micros>,
    /// From senders or of clients that are not known here.
    pub dropped: u64,
}

impl Reports {
    /// Of a life of the process with these senders.
    pub fn new(life: Life, senders: Vec<usize>) -> Self {
        let owes = vec![None; senders.len()];
        let reporter = Reporter::new(life);
        let (said, challenges, differ) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Reports { reporter, senders, said, owes, challenges, differ, dropped: 0 }
    }

    /// The nodes were told something, and owe an answer.
    pub fn asked(&mut self, now: Micros) {
        for owes in &mut self.owes {
            owes.get_or_insert(now);
        }
    }

    /// A sender has not answered for so long that nothing can be said of what it applies.
    pub fn hung(&self, now: Micros, after: Micros) -> bool {
        self.owes.iter().flatten().any(|since| now > since.saturating_add(after))
    }

    /// A node says what it applies; `sent` is what it was told last. Gives back the answer to a challenge that this was the
    /// last word for.
    pub fn live(&mut self, wall: Micros, live: Live, sent: Option<&Sent>) -> Option<ChallengeAnswer> {
        let at = self.senders.iter().position(|number| *number == live.sender);
        let known = self.said.contains_key(&live.client) || self.said.len() < limits::LIVE;
        let Some(at) = at.filter(|_| known) else {
            self.dropped += 1;
            return None;
        };
        if let Some(owes) = self.owes.get_mut(at) {
            *owes = None;
        }
        let client = live.client;
        let senders = self.senders.len();
        let said = self.said.entry(client.clone()).or_insert_with(|| vec![None; senders]);
        if let Some(place) = said.get_mut(at) {
            *place = Some(((live.set, live.turn), live.trouble));
        }
        self.tell(wall, &client, sent);
        let (_, waits) = self.challenges.get_mut(&client)?;
        waits.retain(|other| *other != live.sender);
        if !waits.is_empty() {
            return None;
        }
        let (challenge, _) = self.challenges.remove(&client)?;
        self.answer(&challenge, sent)
    }

    /// What the nodes were told for a client changed, so that the same words of theirs mean something else.
    pub fn tell(&mut self, wall: Micros, client: &str, sent: Option<&Sent>) {
        let Some(said) = self.said.get(client) else { return };
        let sides = Sides::new(client, &self.senders, said);
        let (version, digest) = sides.digest(sent);
        let partly = match sides.partly(sent) {
            Some((senders, of)) => {
                let since = *self.differ.entry(client.to_owned()).or_insert(wall);
                Some(PartlyApplied { senders, of, since })
            }
            None => {
                self.differ.remove(client);
                None
            }
        };
        self.reporter.partly(client, partly);
        let trouble = said.iter().flatten().find_map(|(_, trouble)| trouble.as_deref());
        self.reporter.live(client, version, digest, trouble);
    }

    /// The member in charge wants proof for a client: to be answered when the nodes have read it back once more. True where
    /// they are to be asked.
    pub fn challenge(&mut self, challenge: Challenge) -> bool {
        let client = challenge.client.clone();
        if self.challenges.len() >= limits::CHALLENGES && !self.challenges.contains_key(&client) {
            return false;
        }
        self.challenges.insert(client, (challenge, self.senders.clone()));
        true
    }

    fn answer(&self, challenge: &Challenge, sent: Option<&Sent>) -> Option<ChallengeAnswer> {
        let said = self.said.get(&challenge.client)?;
        let sides = Sides::new(&challenge.client, &self.senders, said);
        // Nothing is proved by senders that differ, or that have said nothing.
        let (first, _) = sides.agreed().filter(|_| said.iter().all(Option::is_some))?;
        let whole = sent.filter(|sent| sides.right(sent) == said.len()).map(|sent| &*sent.whole);
        self.reporter.answer(challenge, whole.unwrap_or(first))
    }
}

/// What the senders apply for a client: its home, and the others.
struct Sides<'a> {
    home: Option<&'a Applied>,
    others: Vec<&'a Applied>,
}

static NOTHING: LazyLock<Applied> = LazyLock::new(Applied::default);

impl<'a> Sides<'a> {
    fn new(client: &str, senders: &[usize], said: &'a Said) -> Self {
        let whose = Turn { senders: u32::try_from(senders.len()).unwrap_or(u32::MAX), ..Turn::default() };
        let (mut home, mut others) = (None, Vec::new());
        for (sender, one) in senders.iter().zip(said) {
            let applied = one.as_ref().map_or(&*NOTHING, |(applied, _)| applied);
            if home.is_none() && whose.is_home(client, *sender) {
                home = Some(applied);
            } else {
                others.push(applied);
            }
        }
        Sides { home, others }
    }

    fn all(&self) -> impl Iterator<Item = &'a Applied> {
        self.home.into_iter().chain(self.others.iter().copied())
    }

    /// What the home applies, where all others apply the same without a share.
    fn agreed(&self) -> Option<&'a Applied> {
        let home = self.home?;
        let none = empty_share(&home.0);
        self.others.iter().all(|(set, turn)| *set == none && *turn == home.1).then_some(home)
    }

    /// How many of them apply exactly what they were told.
    fn right(&self, sent: &Sent) -> usize {
        let none = empty_share(&sent.share);
        let home = self.home.filter(|applied| is(applied, &sent.share, sent.turn)).is_some();
        self.others.iter().filter(|applied| is(applied, &none, sent.turn)).count() + usize::from(home)
    }

    /// Where senders differ: how many of how many apply what they were told.
    fn partly(&self, sent: Option<&Sent>) -> Option<(u32, u32)> {
        if self.agreed().is_some() {
            return None;
        }
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Some((number(sent.map_or(0, |sent| self.right(sent))), number(self.all().count())))
    }

    /// What a member applies, as it can be held against what is approved for all: the approved digest where each sender
    /// applies exactly its part of this member's share.
    fn digest(&self, sent: Option<&Sent>) -> (u64, Digest) {
        let version = self.all().map(|(set, _)| set.version).min().unwrap_or(0);
        if let Some(sent) = sent
            && self.right(sent) == self.all().count()
        {
            return (version, content::digest(&sent.whole.rules));
        }
        if self.all().all(|(set, _)| set.rules.is_empty()) {
            return (version, content::digest(&[]));
        }
        // Not the plain digest of what they say: a member that applies the whole figure instead of its share would look as
        // if it were in line.
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

/// A sender that takes others' turns at a pace goes beyond it, whatever its rules say.
fn is((set, turn): &Applied, part: &RuleSet, own: Turn) -> bool {
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
    fn sent(version: u64) -> Sent {
        Sent {
            whole: set(version, 30).into(),
            share: set(version, 10).into(),
            turn: TURN,
            plan: Arc::new(Plan::default()),
        }
    }
    /// Of the client's home, or of the other one with the same but without a share.
    fn live(sender: usize, set: RuleSet) -> Live {
        let set = if sender == HOME { set } else { empty_share(&set) };
        Live { sender, client: "c".into(), set, turn: TURN, trouble: None }
    }
    fn reports() -> Reports {
        Reports::new(Life { name: Name::new("a").unwrap(), start: Start(1) }, vec![HOME, OTHER])
    }
    fn told(r: &Reports) -> Option<(u64, Digest)> {
        r.reporter.tree().get("c").map(|leaf| (leaf.version, leaf.digest))
    }

    #[test]
    fn only_senders_that_all_apply_the_share_are_in_line() {
        let mut r = reports();
        let (two, whole) = (sent(2), content::digest(&set(2, 30).rules));
        r.live(70, live(HOME, set(2, 10)), Some(&two));
        assert_ne!(told(&r), Some((2, whole)), "one of two has said nothing yet");
        r.live(90, live(OTHER, set(1, 10)), Some(&two));
        assert_eq!(told(&r).map(|t| t.0), Some(1), "the lowest version counts");
        let said = r.reporter.report(Default::default()).clients[0].partly;
        assert_eq!(said, Some(PartlyApplied { senders: 1, of: 2, since: 70 }), "from when on they differed");
        r.live(70, live(OTHER, set(2, 10)), Some(&two));
        assert_eq!(told(&r), Some((2, whole)));
        assert_eq!(r.reporter.report(Default::default()).clients[0].partly, None);
        r.live(70, live(HOME, set(2, 30)), Some(&two));
        assert_eq!(told(&r).map(|t| t.0), Some(2));
        assert_ne!(told(&r), Some((2, whole)), "the figure of the whole installation is more than its share");
        r.live(70, Live { turn: Turn::default(), ..live(HOME, set(2, 10)) }, Some(&two));
        assert_ne!(told(&r), Some((2, whole)), "it takes all members' turns at the pace");
        r.live(70, live(HOME, set(2, 10)), Some(&two));
        assert_eq!(told(&r), Some((2, whole)));
        let whole_too = Live { sender: OTHER, ..live(HOME, set(2, 10)) };
        r.live(70, whole_too, Some(&two));
        assert_ne!(told(&r), Some((2, whole)), "the share twice, at the home and beside it");
        r.live(70, live(9, set(2, 10)), Some(&two));
        assert_eq!(r.dropped, 1, "no such sender");
    }

    #[test]
    fn a_challenge_is_answered_by_what_was_read_after_it() {
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
        r.asked(5);
        r.live(70, live(OTHER, set(2, 10)), Some(&two));
        assert!(!r.hung(15, 10) && r.hung(16, 10), "the home owes an answer since 5");
    }
}
