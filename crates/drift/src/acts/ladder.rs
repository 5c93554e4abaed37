//! Chooses the next action for a verdict: mild actions first, with an increasing delay between repetitions.

use super::{Act, MOST_NAMED};
use crate::report::Verdict;
use crate::{Micros, cut};

/// The escalation state of one member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ladder {
    verdict: Option<Verdict>,
    tries: u32,
    /// The earliest time of the next action.
    pub(crate) next: Micros,
}

impl Ladder {
    /// Returns the number of actions taken for this verdict so far. A different verdict restarts the count,
    /// but the delay since the last action remains, so that a member that alternates between faults costs no
    /// more than one that stays in a single fault.
    pub(crate) fn facing(&mut self, verdict: Verdict) -> u32 {
        if self.verdict != Some(verdict) {
            self.verdict = Some(verdict);
            self.tries = 0;
        }
        self.tries
    }

    /// Records an action and doubles the delay before the next one, up to `max`.
    pub(crate) fn acted(&mut self, now: Micros, first: Micros, most: Micros) {
        let wait = first.saturating_mul(1 << self.tries.min(16)).min(most);
        self.tries = self.tries.saturating_add(1);
        self.next = now.saturating_add(wait);
    }

    /// Resets the state of a member that was in line for long enough.
    pub(crate) fn reset(&mut self) {
        *self = Ladder::default();
    }
}

/// The input for choosing the next action.
pub(crate) struct Step<'a> {
    pub(crate) verdict: Verdict,
    pub(crate) tries: u32,
    /// The clients to repair.
    pub(crate) clients: Vec<String>,
    /// A client that is altered, beyond its plan or can't be applied, and is not fenced yet.
    pub(crate) unfenced: Option<String>,
    /// Some clients differ, and it is not known which.
    pub(crate) unknown: bool,
    pub(crate) reason: &'a str,
}

/// Returns the next action, or none to wait.
pub(crate) fn climb(step: Step<'_>) -> Option<Act> {
    let mut clients = step.clients;
    clients.truncate(MOST_NAMED);
    let tell = || Some(Act::TellOperator { text: cut(&format!("{}: {}", step.verdict.word(), step.reason)) });
    if step.verdict == Verdict::NotHeardOf {
        return tell();
    }
    if matches!(step.verdict, Verdict::InLine | Verdict::Converging) || (clients.is_empty() && !step.unknown)
    {
        return None;
    }
    let whole = Act::SendWhole { except: Vec::new() };
    if clients.is_empty() {
        return if step.tries % 4 == 3 { tell() } else { Some(whole) };
    }
    let again = Act::SendAgain { clients: clients.clone() };
    let fence = step.unfenced.map(|client| Act::Fence { client });
    match (step.verdict, step.tries) {
        (Verdict::Ahead, 0 | 1) => Some(Act::TakeBack { clients }),
        // Sending the rules again does not help if they can't be applied: first the client is fenced, then
        // the operator is notified. The fence is requested again in each cycle while none is set, since an
        // earlier request may never have taken effect.
        (Verdict::CantApply, tries) if tries % 4 == 0 => fence.or(Some(again)),
        (Verdict::CantApply, 1) => tell(),
        (Verdict::Altered | Verdict::BeyondPlan, tries) if tries % 4 == 1 => fence.or(Some(again)),
        (_, 0 | 1) => Some(again),
        (_, tries) if tries % 4 == 3 => tell(),
        (Verdict::CantApply, tries) if tries % 2 == 0 => Some(again),
        _ => Some(whole),
    }
}
