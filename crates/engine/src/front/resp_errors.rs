//! The error lines that platform clients receive.

use super::RejectReason;

/// The request is refused; to submit the message again is harmless.
pub(super) const BUSY: &str = "BUSY";
/// The command is not one of this protocol.
pub(super) const UNKNOWN_COMMAND: &str = "ERR unknown command";
/// The rest of a request did not arrive in time.
pub(super) const UNFINISHED: &str = "ERR a request that was not finished";
/// The client has not read its replies in time.
pub(super) const NOT_READ: &str = "ERR replies that were not read";

/// Returns the error line for a request that is refused for a reason.
pub(super) fn error_text(reason: RejectReason) -> &'static str {
    match reason {
        RejectReason::NotEntered => "ERR unknown tenant",
        RejectReason::Class => "ERR unknown class",
        RejectReason::Address => "ERR unknown destination",
        RejectReason::Time => "ERR no time left",
        RejectReason::Message => "ERR the id is open already",
        RejectReason::Used => "ERR the id was used before",
        RejectReason::TooLate => "ERR an idempotency key is wanted in this class",
        RejectReason::Rate | RejectReason::Share | RejectReason::Room | RejectReason::Unsure => BUSY,
    }
}
