//! Proposals of this member for the log, made one after the other.

use crate::Micros;
use crate::limits;
use crate::machine::Body;
use heronroute_fleet::replicas::Answer;
use std::collections::VecDeque;

/// The delay after a proposal that could not be decided.
const RETRY_DELAY: Micros = 500_000;

/// The queue of this member's own proposals; at most one is in flight.
#[derive(Debug, Default)]
pub struct PendingProposals {
    queue: VecDeque<Body>,
    in_flight: Option<(u64, Body)>,
    retry_at: Micros,
}

impl PendingProposals {
    /// Queues a proposal, unless it is queued already or there is no room; the caller repeats it.
    pub fn add(&mut self, body: Body) {
        let same = self.in_flight.as_ref().is_some_and(|(_, in_flight)| *in_flight == body);
        if !same && self.queue.len() < limits::MAX_PENDING_PROPOSALS && !self.queue.contains(&body) {
            self.queue.push_back(body);
        }
    }

    /// Returns whether a proposal about this client's rollout is queued or in flight.
    pub fn has_rollout_of(&self, client: &str) -> bool {
        let in_flight = self.in_flight.iter().map(|(_, body)| body);
        in_flight.chain(&self.queue).any(|body| body.rolls() == Some(client))
    }

    /// Replaces the leader's queued proposals by these, which must differ from each other and from all others
    /// in the queue.
    pub fn replace(&mut self, bodies: Vec<Body>) {
        self.queue.retain(|body| !body.is_leaders());
        let room = limits::MAX_PENDING_PROPOSALS.saturating_sub(self.queue.len());
        self.queue.extend(bodies.into_iter().take(room));
    }

    /// Returns whether nothing is queued and nothing is in flight.
    pub fn idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Returns the next proposal to make now, under this number. A member that leads no more drops the
    /// leader's proposals.
    pub fn next(&mut self, now: Micros, number: u64, leads: bool) -> Option<Vec<u8>> {
        if !leads && self.queue.iter().any(Body::is_leaders) {
            self.replace(Vec::new());
        }
        if self.in_flight.is_some() || now < self.retry_at {
            return None;
        }
        let body = self.queue.pop_front()?;
        let bytes = body.pack();
        self.in_flight = Some((number, body));
        Some(bytes)
    }

    /// Returns when something can be proposed again.
    pub fn wake(&self) -> Option<Micros> {
        (self.in_flight.is_none() && !self.queue.is_empty()).then_some(self.retry_at)
    }

    /// Handles the result of a request. Returns false if it is none of these.
    pub fn answered(&mut self, now: Micros, number: u64, answer: Answer) -> bool {
        let Some((_, body)) = self.in_flight.take_if(|(in_flight, _)| *in_flight == number) else {
            return false;
        };
        match answer {
            Answer::Decided(_) | Answer::Long => {}
            Answer::NoMajority | Answer::Busy | Answer::Superseded => {
                // Each of them may be committed twice without any change.
                self.queue.push_front(body);
                self.retry_at = now.saturating_add(RETRY_DELAY);
            }
        }
        true
    }
}
