//! Checks the six rules from what crossed the sockets alone.
//!
//! Does: takes the records of receivers (every arrival and what was answered), of clients (every submission and
//! every answer) and of the directory (what it told whom), all on one clock, and names each breach.
//! Decides: what counts as a breach, with the slack that the records themselves need.
//! Never: looks into the service, its counts or its logs.

#![forbid(unsafe_code)]

mod rules;
mod trails;

pub use rules::{Breach, RULES, Slack, check};
pub use trails::trails;

/// Time in microseconds on the one clock of all records.
pub type Micros = i64;

/// What a second delivery of a message would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No harm.
    Free,
    /// Dropped within this span of the first.
    Guarded(Micros),
    /// It takes effect again.
    SingleShot,
}

/// A class of messages, as the rules need it.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// What a repeat does.
    pub effect: Effect,
    /// Messages with the same key keep their order.
    pub ordered: bool,
}

/// What a receiver answered to one arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect and said so, or would have.
    Done,
    /// It answered with an error.
    Error,
    /// Turned away unseen, with the wait that was told (0 if none).
    Busy(Micros),
    /// No answer left the receiver.
    Silent,
}

/// One arrival of a message at a receiver.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it was read whole.
    pub at: Micros,
    /// It may have lain unread since then: a receiver that did not read, and read again.
    pub earliest: Micros,
    /// The endpoint and its destination.
    pub endpoint: String,
    /// See `endpoint`.
    pub destination: i64,
    /// Which of our senders sent it.
    pub sender: String,
    /// The message's identity.
    pub message: String,
    /// What was answered.
    pub verdict: Verdict,
    /// It took effect.
    pub ran: bool,
    /// When the answer left.
    pub answered: Option<Micros>,
    /// When the connection that it came on ended, if before the answer.
    pub broken: Option<Micros>,
}

/// An answer that a client got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// DELIVRD.
    Delivered,
    /// One that says that it surely did not run: REJECTD, UNDELIV, EXPIRED, DELETED.
    NotRun,
    /// UNKNOWN.
    Unknown,
}

/// One submission that was accepted.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The identity it was given; empty in forward mode until the answer.
    pub message: String,
    /// Place in the order in which one sender accepted its client's messages.
    pub order: u64,
    /// The client.
    pub client: String,
    /// Index of its class.
    pub class: usize,
    /// The key, where it has one.
    pub key: Option<String>,
    /// When it was sent off, and when its acceptance came back.
    pub sent: Micros,
    /// See `sent`.
    pub accepted: Micros,
    /// It must be answered within this.
    pub deadline: Micros,
    /// All answers that came.
    pub answers: Vec<(Micros, Told)>,
}

/// A span in which a client had no session that could take receipts.
#[derive(Clone, Debug)]
pub struct Away {
    /// The client.
    pub client: String,
    /// From and to.
    pub from: Micros,
    /// See `from`.
    pub to: Micros,
}

/// That the directory told a sender that an endpoint drains or is gone.
#[derive(Clone, Debug)]
pub struct Drained {
    /// When the answer left the directory.
    pub at: Micros,
    /// The endpoint.
    pub endpoint: String,
}

/// A destination that came back cold fell over.
#[derive(Clone, Debug)]
pub struct Fell {
    /// When.
    pub at: Micros,
    /// The destination.
    pub destination: i64,
}

/// Everything that was recorded.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Arrivals in order of time.
    pub arrivals: Vec<Arrival>,
    /// Accepted submissions.
    pub submissions: Vec<Submission>,
    /// Spans in which clients were away.
    pub away: Vec<Away>,
    /// Drains that were told.
    pub drained: Vec<Drained>,
    /// Destinations pushed over.
    pub fell: Vec<Fell>,
    /// Destinations whose endpoints are separate routes.
    pub apart: Vec<i64>,
    /// Submissions whose response was lost with their session: their clients know no identity for them.
    pub unheard: usize,
    /// Answers to messages that nobody handed in.
    pub strays: Vec<(Micros, String)>,
}
