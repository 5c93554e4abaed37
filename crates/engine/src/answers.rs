//! Final answers to clients. The decision library says that a message is finished, refused or failed; what is
//! proven about its attempts determines which answer is true. Performs no I/O.

use crate::Micros;
use heronroute_smpp::receipt::Answer;
use rusmpp_core::CommandStatus;

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// A receiver accepted it.
    Delivered,
    /// The decision library refused it, with the time after which the client may retry.
    Refused(Micros),
    /// The decision library gave up on it.
    Failed,
    /// The sender shuts down while it is still open.
    Leaving,
    /// Its client withdrew it.
    Withdrawn,
}

/// Returns the true answer for an end. `may_run` says that some attempt has begun to be sent and was not
/// proven to have had no effect. `time_up` says that the message's deadline has passed.
pub fn answer(end: MessageEnd, may_run: bool, time_up: bool) -> Answer {
    match (end, may_run) {
        (MessageEnd::Delivered, _) => Answer::Delivered,
        // A refusal means that a retry does no harm. That does not say that the message certainly did not
        // run, so the client gets both: the state is unknown, with a time to retry after.
        (MessageEnd::Refused(wait), true) => Answer::Unknown { retry_after: Some(wait) },
        (_, true) => Answer::Unknown { retry_after: None },
        (MessageEnd::Refused(_) | MessageEnd::Failed, false) if time_up => Answer::Expired,
        (MessageEnd::Refused(retry_after), false) => Answer::Rejected { retry_after },
        (MessageEnd::Failed, false) => Answer::Undeliverable,
        (MessageEnd::Leaving, false) => Answer::Rejected { retry_after: 0 },
        (MessageEnd::Withdrawn, false) => Answer::Deleted,
    }
}

/// Returns the status of the response that carries an answer in forward (transaction) mode.
pub fn status(answer: Answer) -> CommandStatus {
    match answer {
        Answer::Delivered => CommandStatus::EsmeRok,
        Answer::Rejected { .. } => CommandStatus::EsmeRthrottled,
        Answer::Unknown { .. } => CommandStatus::EsmeRunknownerr,
        Answer::Undeliverable | Answer::Expired | Answer::Deleted => CommandStatus::EsmeRdeliveryfailure,
    }
}

#[cfg(test)]
mod tests;
