//! Challenges, which detect a member that reports the desired state without applying it.

use super::Config;
use super::desired::MemberTarget;
use super::member::Member;
use crate::random::SeededRandom;
use crate::report::ChallengeAnswer;
use crate::{Digest, Micros, content};
use heronroute_rules::RuleSet;

#[derive(Debug, Default)]
pub(super) struct ChallengeState {
    next: Option<Micros>,
    open: Option<OpenChallenge>,
    /// The number of consecutive unanswered challenges.
    pub(super) unanswered: u8,
    /// The client for which the member's answer was wrong.
    pub(super) disproved_client: Option<String>,
}

#[derive(Debug)]
struct OpenChallenge {
    nonce: Digest,
    client: String,
    version: u64,
    digest: Digest,
    until: Micros,
}

impl Member {
    /// Returns the nonce and the client of a challenge that is due. Only members that claim to be in line are
    /// challenged, since the others are repaired anyway.
    pub(super) fn next_challenge(
        &mut self,
        now: Micros,
        target: &MemberTarget,
        config: &Config,
        random: &mut SeededRandom,
    ) -> Option<(Digest, String)> {
        if self.challenges.open.as_ref().is_some_and(|open| now > open.until) {
            self.challenges.open = None;
            self.challenges.unanswered = self.challenges.unanswered.saturating_add(1);
            self.challenges.next = Some(now);
        }
        let next = *self.challenges.next.get_or_insert_with(|| {
            // The first challenge comes early, since until then a member that applies nothing is believed.
            now.saturating_add(random_delay(random, config.challenge_every / 4))
        });
        if now < next
            || self.challenges.open.is_some()
            || self.root != Some(target.tree.root())
            || self.written_after.is_none()
        {
            return None;
        }
        let again = match &self.challenges.disproved_client {
            Some(client) => target.tree.get(client),
            None => None,
        };
        let leaf = match again {
            Some(leaf) => leaf,
            None => target.tree.nth(usize::try_from(random.below(target.tree.len() as u64)).unwrap_or(0))?,
        };
        let nonce = random.bytes();
        self.challenges.open = Some(OpenChallenge {
            nonce,
            client: leaf.client.to_string(),
            version: leaf.version,
            digest: leaf.digest,
            until: now.saturating_add(config.answer_within),
        });
        let wait = if self.challenges.unanswered > 0 || self.challenges.disproved_client.is_some() {
            config.answer_within
        } else {
            config.challenge_every / 2 + random_delay(random, config.challenge_every)
        };
        self.challenges.next = Some(now.saturating_add(wait));
        Some((nonce, leaf.client.to_string()))
    }

    /// Cancels the open challenge, without counting it as unanswered.
    pub(super) fn cancel_challenge(&mut self) {
        self.challenges.open = None;
        self.challenges.next = None;
    }

    /// Returns the next time at which challenges need attention.
    pub(super) fn challenge_wake_at(&self, target: &MemberTarget) -> Option<Micros> {
        match &self.challenges.open {
            Some(open) => Some(open.until.saturating_add(1)),
            // Without desired rules there is nothing to prove; a challenge would otherwise stay due for ever.
            None => self
                .challenges
                .next
                .filter(|_| self.root == Some(target.tree.root()) && !target.tree.is_empty()),
        }
    }

    /// Handles an answer, given the desired rules of its client. Returns false if it does not match the open
    /// challenge.
    pub(super) fn check_answer(
        &mut self,
        now: Micros,
        answer: &ChallengeAnswer,
        target: &MemberTarget,
        content: &RuleSet,
    ) -> bool {
        let Some(open) = self.challenges.open.take_if(|open| open.nonce == answer.nonce) else {
            return false;
        };
        let still = target
            .tree
            .get(&open.client)
            .is_some_and(|l| l.version == open.version && l.digest == open.digest);
        if !still || content.version != open.version || content::digest(&content.rules) != open.digest {
            // Another version was approved in the meantime, so the answer proves nothing either way.
            return true;
        }
        self.challenges.unanswered = 0;
        if content::proof(&answer.nonce, content.version, &content.rules) == answer.proof {
            self.challenges.disproved_client = None;
        } else {
            self.challenges.disproved_client = Some(open.client);
            self.challenges.next = Some(now);
        }
        true
    }

    /// Returns the client of the open challenge with this nonce.
    pub(super) fn challenged(&self, nonce: &Digest) -> Option<&str> {
        self.challenges.open.as_ref().filter(|open| open.nonce == *nonce).map(|open| open.client.as_str())
    }
}

fn random_delay(random: &mut SeededRandom, most: Micros) -> Micros {
    Micros::try_from(random.below(most.max(1).unsigned_abs())).unwrap_or(0)
}
