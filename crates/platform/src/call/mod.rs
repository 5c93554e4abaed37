//! Calls to endpoints: one message, or several in one; and what their answers prove.

mod answers;
mod outcome;
mod request;

pub use answers::{Answers, Heard};
pub use outcome::Fate;
pub use request::{Item, size, write};
