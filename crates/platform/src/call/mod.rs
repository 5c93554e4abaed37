//! Calls to endpoints, which carry one message or a batch, and the outcomes that their answers prove.

mod answers;
mod outcome;
mod request;

pub use answers::{AnswerEvent, AnswerReader, Identity, LateAnswers};
pub use outcome::MessageOutcome;
pub use request::{OutgoingMessage, max_batch_entry_size, write_call};
