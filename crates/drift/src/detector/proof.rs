//! Challenges, which detect a member that reports the desired state without applying it.

use super::Config;
use super::member::Member;
use super::wanted::Wanted;
use crate::draw::Draw;
use crate::report::Answer;
use crate::{Digest, Micros, content};
use heronroute_rules::RuleSet;

#[derive(Debug, Default)]
pub(super) struct Proof {
    next: Option<Micros>,
    open: Option<Open>,
    /// The number of consecutive unanswered challenges.
    pub(super) missed: u8,
    /// The client for which the member's answer was wrong.
    pub(super) false_for: Option<String>,
}

#[derive(Debug)]
struct Open {
    nonce: Digest,
    client: String,
    version: u64,
    digest: Digest,
    until: Micros,
}

impl Member {
    /// Returns the nonce and the client of a challenge that is due. Only members that claim to be in line are
    /// challenged, since the others are repaired anyway.
    pub(super) fn challenge(
        &mut self,
        now: Micros,
        wanted: &Wanted,
        config: &Config,
        draw: &mut Draw,
    ) -> Option<(Digest, String)> {
        if self.proof.open.as_ref().is_some_and(|open| now > open.until) {
            self.proof.open = None;
            self.proof.missed = self.proof.missed.saturating_add(1);
            self.proof.next = Some(now);
        }
        let next = *self.proof.next.get_or_insert_with(|| {
            // The first challenge comes early, since until then a member that applies nothing is believed.
            now.saturating_add(span(draw, config.challenge_every / 4))
        });
        if now < next
            || self.proof.open.is_some()
            || self.root != Some(wanted.tree.root())
            || self.heard.is_none()
        {
            return None;
        }
        let again = match &self.proof.false_for {
            Some(client) => wanted.tree.get(client),
            None => None,
        };
        let leaf = match again {
            Some(leaf) => leaf,
            None => wanted.tree.nth(usize::try_from(draw.below(wanted.tree.len() as u64)).unwrap_or(0))?,
        };
        let nonce = draw.octets();
        self.proof.open = Some(Open {
            nonce,
            client: leaf.client.to_string(),
            version: leaf.version,
            digest: leaf.digest,
            until: now.saturating_add(config.answer_within),
        });
        let wait = if self.proof.missed > 0 || self.proof.false_for.is_some() {
            config.answer_within
        } else {
            config.challenge_every / 2 + span(draw, config.challenge_every)
        };
        self.proof.next = Some(now.saturating_add(wait));
        Some((nonce, leaf.client.to_string()))
    }

    /// Cancels the open challenge, without counting it as unanswered.
    pub(super) fn unasked(&mut self) {
        self.proof.open = None;
        self.proof.next = None;
    }

    /// Returns the next time at which challenges need attention.
    pub(super) fn challenge_next(&self, wanted: &Wanted) -> Option<Micros> {
        match &self.proof.open {
            Some(open) => Some(open.until.saturating_add(1)),
            // Without desired rules there is nothing to prove; a challenge would otherwise stay due for ever.
            None => {
                self.proof.next.filter(|_| self.root == Some(wanted.tree.root()) && !wanted.tree.is_empty())
            }
        }
    }

    /// Handles an answer, given the desired rules of its client. Returns false if it does not match the open
    /// challenge.
    pub(super) fn answered(
        &mut self,
        now: Micros,
        answer: &Answer,
        wanted: &Wanted,
        content: &RuleSet,
    ) -> bool {
        let Some(open) = self.proof.open.take_if(|open| open.nonce == answer.nonce) else { return false };
        let still = wanted
            .tree
            .get(&open.client)
            .is_some_and(|l| l.version == open.version && l.digest == open.digest);
        if !still || content.version != open.version || content::digest(&content.rules) != open.digest {
            // Another version was approved in the meantime, so the answer proves nothing either way.
            return true;
        }
        self.proof.missed = 0;
        if content::proof(&answer.nonce, content.version, &content.rules) == answer.proof {
            self.proof.false_for = None;
        } else {
            self.proof.false_for = Some(open.client);
            self.proof.next = Some(now);
        }
        true
    }

    /// Returns the client of the open challenge with this nonce.
    pub(super) fn challenged(&self, nonce: &Digest) -> Option<&str> {
        self.proof.open.as_ref().filter(|open| open.nonce == *nonce).map(|open| open.client.as_str())
    }
}

fn span(draw: &mut Draw, most: Micros) -> Micros {
    Micros::try_from(draw.below(most.max(1).unsigned_abs())).unwrap_or(0)
}
