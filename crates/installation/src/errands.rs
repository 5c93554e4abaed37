//! What this member itself wants written to the log, one after the other.

use crate::Micros;
use crate::limits;
use crate::machine::Body;
use heronroute_fleet::replicas::Answer;
use std::collections::VecDeque;

/// After one that could not be decided.
const AGAIN: Micros = 500_000;

/// Errands.
#[derive(Debug, Default)]
pub struct Errands {
    waiting: VecDeque<Body>,
    flying: Option<(u64, Body)>,
    next: Micros,
}

impl Errands {
    /// One more, if it does not wait already and there is room; whoever wants it asks again.
    pub fn add(&mut self, body: Body) {
        let same = self.flying.as_ref().is_some_and(|(_, flying)| *flying == body);
        if !same && self.waiting.len() < limits::ERRANDS && !self.waiting.contains(&body) {
            self.waiting.push_back(body);
        }
    }

    /// Whether one about this client's rollout waits or is under way.
    pub fn rolls(&self, client: &str) -> bool {
        let flying = self.flying.iter().map(|(_, body)| body);
        flying.chain(&self.waiting).any(|body| body.rolls() == Some(client))
    }

    /// Many at once that differ from each other and from all that waits: what waited of the member in charge goes.
    pub fn replace(&mut self, bodies: Vec<Body>) {
        self.waiting.retain(|body| !body.leads());
        let room = limits::ERRANDS.saturating_sub(self.waiting.len());
        self.waiting.extend(bodies.into_iter().take(room));
    }

    /// Nothing waits and nothing is under way.
    pub fn idle(&self) -> bool {
        self.waiting.is_empty() && self.flying.is_none()
    }

    /// The next to be proposed now, under this number. Those of the member in charge are given up where it is that no more.
    pub fn next(&mut self, now: Micros, number: u64, leads: bool) -> Option<Vec<u8>> {
        if !leads && self.waiting.iter().any(Body::leads) {
            self.replace(Vec::new());
        }
        if self.flying.is_some() || now < self.next {
            return None;
        }
        let body = self.waiting.pop_front()?;
        let octets = body.pack();
        self.flying = Some((number, body));
        Some(octets)
    }

    /// When something can be proposed again.
    pub fn wake(&self) -> Option<Micros> {
        (self.flying.is_none() && !self.waiting.is_empty()).then_some(self.next)
    }

    /// What became of a request. False: it is none of these.
    pub fn answered(&mut self, now: Micros, number: u64, answer: Answer) -> bool {
        let Some((_, body)) = self.flying.take_if(|(flying, _)| *flying == number) else { return false };
        match answer {
            Answer::Decided(_) | Answer::Long => {}
            Answer::NoMajority | Answer::Busy | Answer::Superseded => {
                // All of them may be decided twice: that changes nothing.
                self.waiting.push_front(body);
                self.next = now.saturating_add(AGAIN);
            }
        }
        true
    }
}
