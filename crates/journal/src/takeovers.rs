//! The takeover of messages from dead members. A takeover is atomic: after a crash before all of its messages
//! are recorded none of them counts, and after that all do.

use crate::entry::{Entry, Heir, Held, Inherited, Step, What};
use crate::state::Open;
use std::collections::{BTreeMap, VecDeque};

/// The number of completed takeovers remembered at most; the oldest are dropped. Each is recorded in the
/// installation's log long before so many follow it.
const MAX_COMPLETED: usize = 4_096;

/// A takeover in progress.
#[derive(Clone, Debug, Default, PartialEq)]
struct InProgress {
    whole: bool,
    messages: Vec<Heir>,
}

/// The takeovers of dead members, in progress and completed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Takeovers {
    in_progress: BTreeMap<String, InProgress>,
    completed: VecDeque<String>,
}

impl Takeovers {
    /// Returns whether the takeover of `origin`, one life of a member, is completed.
    pub fn own(&self, origin: &str) -> bool {
        self.completed.iter().any(|o| o == origin)
    }

    /// Returns the takeovers that are recorded completely but not yet effective: the origin, its open
    /// messages and its held messages.
    pub fn whole(&self) -> impl Iterator<Item = (&str, Vec<Open>, Vec<Held>)> {
        self.in_progress.iter().filter(|(_, t)| t.whole).map(|(origin, t)| {
            let (open, held) = into_messages(t.messages.clone());
            (origin.as_str(), open, held)
        })
    }

    /// Records that the takeover of `origin` is completed.
    pub fn add_own(&mut self, origin: &str) {
        if self.own(origin) {
            return;
        }
        self.completed.push_back(origin.to_string());
        while self.completed.len() > MAX_COMPLETED {
            self.completed.pop_front();
        }
    }

    /// Adds a message of an origin whose takeover is in progress.
    pub(crate) fn add(&mut self, heir: &Heir) {
        if let Some(takeover) = self.in_progress.get_mut(&heir.origin) {
            takeover.messages.push(heir.clone());
        }
    }

    /// Applies a step of a takeover. The step that completes it returns the open and the held messages taken
    /// over.
    pub(crate) fn step(&mut self, step: &Inherited) -> (Vec<Open>, Vec<Held>) {
        let origin = &step.origin;
        match step.step() {
            // Discards what an earlier attempt at this takeover, cut off by a crash, left under other message
            // numbers.
            Step::Begun => _ = self.in_progress.insert(origin.clone(), InProgress::default()),
            Step::Whole => self.in_progress.entry(origin.clone()).or_default().whole = true,
            Step::Void => _ = self.in_progress.remove(origin),
            Step::Own => {
                self.add_own(origin);
                return into_messages(self.in_progress.remove(origin).unwrap_or_default().messages);
            }
        }
        Default::default()
    }

    /// Returns entries that rebuild the same takeovers.
    pub(crate) fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        let step = |origin: &str, step: Step| {
            What::Inherited(Inherited { origin: origin.to_string(), step: step.into() }).into()
        };
        let completed = self.completed.iter().map(move |o| step(o, Step::Own));
        let in_progress = self.in_progress.iter().flat_map(move |(origin, t)| {
            let messages = t.messages.iter().map(|h| What::Heir(Box::new(h.clone())).into());
            let whole = t.whole.then(|| step(origin, Step::Whole));
            std::iter::once(step(origin, Step::Begun)).chain(messages).chain(whole)
        });
        completed.chain(in_progress)
    }
}

/// Splits the messages of a takeover into open and held ones.
fn into_messages(messages: Vec<Heir>) -> (Vec<Open>, Vec<Held>) {
    let (mut open, mut held) = (Vec::new(), Vec::new());
    for heir in messages {
        held.extend(heir.held);
        let Some(accepted) = heir.accepted else { continue };
        let (attempts, may_run, answer) = (heir.attempts, heir.may_run, heir.answer);
        open.push(Open { accepted, attempts, may_run, out: None, answer });
    }
    (open, held)
}
