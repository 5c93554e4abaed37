//! What several clients do when: each has its steps in order of time.

use crate::Micros;
use std::collections::BTreeSet;

/// One client's steps, and how many of them were taken.
type Steps<S> = (Vec<(Micros, S)>, usize);

/// Steps of clients, by number.
pub struct Schedule<S> {
    runs: Vec<Steps<S>>,
    due: BTreeSet<(Micros, usize)>,
    /// The one whose steps are being taken, and when it fell due.
    current: Option<(Micros, usize)>,
}

impl<S: Clone> Schedule<S> {
    /// Steps of each, in order of time.
    pub fn new(steps: impl IntoIterator<Item = Vec<(Micros, S)>>) -> Self {
        let runs: Vec<Steps<S>> = steps.into_iter().map(|s| (s, 0)).collect();
        let first = |(i, r): (usize, &Steps<S>)| r.0.first().map(|s| (s.0, i));
        let due = runs.iter().enumerate().filter_map(first).collect();
        Schedule { runs, due, current: None }
    }

    /// When the next step falls due.
    pub fn next(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }

    /// Whether no step is left.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    /// Takes the next step that is due: who takes it, for when it was planned, and the step. One takes all that are
    /// due of it before another does.
    pub fn take(&mut self, now: Micros) -> Option<(usize, Micros, S)> {
        loop {
            let (at, i) = match self.current {
                Some(current) => current,
                None => {
                    let first = self.due.first().copied().filter(|d| d.0 <= now)?;
                    self.due.remove(&first);
                    *self.current.insert(first)
                }
            };
            let (steps, taken) = &mut self.runs[i];
            match steps.get(*taken) {
                Some((planned, step)) if *planned <= now => {
                    *taken += 1;
                    return Some((i, *planned, step.clone()));
                }
                Some((next, _)) => _ = self.due.insert(((*next).max(at), i)),
                None => {}
            }
            self.current = None;
        }
    }

    /// One more step of one.
    pub fn add(&mut self, i: usize, at: Micros, step: S) {
        let (steps, taken) = &mut self.runs[i];
        steps.push((at, step));
        steps[*taken..].sort_by_key(|s| s.0);
        self.due.insert((at, i));
    }
}
