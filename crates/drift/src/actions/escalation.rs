//! Chooses the next action for a verdict: mild actions first, with an increasing delay between repetitions.

use super::{Action, MAX_CLIENTS_PER_ACTION};
use crate::report::Verdict;
use crate::{Micros, truncate_reason};

/// The escalation state of one member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Escalation {
    verdict: Option<Verdict>,
    attempts: u32,
    /// The earliest time of the next action.
    pub(crate) next: Micros,
}

impl Escalation {
    /// Returns the number of actions taken for this verdict so far. A different verdict restarts the count,
    /// but the delay since the last action remains, so that a member that alternates between faults costs no
    /// more than one that stays in a single fault.
    pub(crate) fn attempts_for(&mut self, verdict: Verdict) -> u32 {
        if self.verdict != Some(verdict) {
            self.verdict = Some(verdict);
            self.attempts = 0;
        }
        self.attempts
    }

    /// Records an action and doubles the delay before the next one, up to `max`.
    pub(crate) fn record_action(&mut self, now: Micros, first: Micros, max: Micros) {
        let wait = first.saturating_mul(1 << self.attempts.min(16)).min(max);
        self.attempts = self.attempts.saturating_add(1);
        self.next = now.saturating_add(wait);
    }

    /// Resets the state of a member that was in line for long enough.
    pub(crate) fn reset(&mut self) {
        *self = Escalation::default();
    }
}

/// The input for choosing the next action.
pub(crate) struct ActionInput<'a> {
    pub(crate) verdict: Verdict,
    pub(crate) attempts: u32,
    /// The clients to repair.
    pub(crate) clients: Vec<String>,
    /// A client that is altered, beyond its plan or can't be applied, and is not fenced yet.
    pub(crate) unfenced: Option<String>,
    /// Some clients differ, and it is not known which.
    pub(crate) unknown: bool,
    pub(crate) reason: &'a str,
}

/// Returns the next action, or none to wait.
pub(crate) fn choose_action(input: ActionInput<'_>) -> Option<Action> {
    let mut clients = input.clients;
    clients.truncate(MAX_CLIENTS_PER_ACTION);
    let notify = || {
        Some(Action::TellOperator {
            text: truncate_reason(&format!("{}: {}", input.verdict.word(), input.reason)),
        })
    };
    if input.verdict == Verdict::NotReporting {
        return notify();
    }
    if matches!(input.verdict, Verdict::InLine | Verdict::Converging)
        || (clients.is_empty() && !input.unknown)
    {
        return None;
    }
    let resend_all = Action::SendWhole { except: Vec::new() };
    if clients.is_empty() {
        return if input.attempts % 4 == 3 { notify() } else { Some(resend_all) };
    }
    let resend = Action::SendAgain { clients: clients.clone() };
    let fence = input.unfenced.map(|client| Action::Fence { client });
    match (input.verdict, input.attempts) {
        (Verdict::Ahead, 0 | 1) => Some(Action::TakeBack { clients }),
        // Sending the rules again does not help if they can't be applied: first the client is fenced, then
        // the operator is notified. The fence is requested again in each cycle while none is set, since an
        // earlier request may never have taken effect.
        (Verdict::CantApply, attempts) if attempts % 4 == 0 => fence.or(Some(resend)),
        (Verdict::CantApply, 1) => notify(),
        (Verdict::Altered | Verdict::BeyondPlan, attempts) if attempts % 4 == 1 => fence.or(Some(resend)),
        (_, 0 | 1) => Some(resend),
        (_, attempts) if attempts % 4 == 3 => notify(),
        (Verdict::CantApply, attempts) if attempts % 2 == 0 => Some(resend),
        _ => Some(resend_all),
    }
}
