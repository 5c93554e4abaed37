//! Which final answer a client is told. The decision library says that a message is over, refused or failed; what
//! the wire proved of its attempts says which word is true of it. Free of I/O.

use crate::Micros;
use heronroute_smpp::receipt::Answer;
use rusmpp_core::CommandStatus;

/// How a message came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A receiver took it.
    Delivered,
    /// The decision library handed it back, with the time to stay away.
    Refused(Micros),
    /// The decision library gave it up.
    Failed,
    /// The sender goes out of service with it still open.
    Leaving,
    /// Its client withdrew it.
    Withdrawn,
}

/// The true word for an end. `may_run`: some attempt has begun to leave and was not proved to have had no effect.
/// `time_up`: its time has run out.
pub fn answer(end: End, may_run: bool, time_up: bool) -> Answer {
    match (end, may_run) {
        (End::Delivered, _) => Answer::Delivered,
        // A refusal says that trying again does no harm; where the message may have run, that is not the same as
        // having surely not run, and the client is told both.
        (End::Refused(wait), true) => Answer::Unknown { retry_after: Some(wait) },
        (_, true) => Answer::Unknown { retry_after: None },
        (End::Refused(_) | End::Failed, false) if time_up => Answer::Expired,
        (End::Refused(retry_after), false) => Answer::Rejected { retry_after },
        (End::Failed, false) => Answer::Undeliverable,
        (End::Leaving, false) => Answer::Rejected { retry_after: 0 },
        (End::Withdrawn, false) => Answer::Deleted,
    }
}

/// The status of the response that carries an answer in forward (transaction) mode.
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
