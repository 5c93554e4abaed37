//! Counts of what a sender did, for tables, logs and tests. No decision depends on them.

use heronroute_smpp::receipt::Answer;

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Submissions accepted.
    pub accepted: u64,
    /// Submissions refused for rate.
    pub refused_rate: u64,
    /// Submissions refused for room.
    pub refused_room: u64,
    /// Submissions refused because they could not be read or routed.
    pub refused_other: u64,
    /// Repeated requests, which were answered as such.
    pub repeated: u64,
    /// Of those, retained answers that were sent again.
    pub told_again: u64,
    /// Final answers by state, in the order delivered, rejected, undeliverable, unknown, expired, deleted.
    pub answers: [u64; 6],
    /// Receipts that a client acknowledged.
    pub receipts: u64,
    /// Attempts by outcome, as [`ATTEMPT_NAMES`] names them.
    pub attempts: [u64; 10],
    /// Attempts that waited until an earlier attempt of their message was certainly over: its connection was
    /// closed first.
    pub attempts_delayed: u64,
    /// Attempts that were not started, because an earlier one was waiting to start or their message may have
    /// run and must not run twice.
    pub attempts_denied: u64,
    /// Deliveries that could not be proved and were reported as failed, which does no harm to a delivered
    /// message.
    pub unproven_deliveries: u64,
    /// Answers that may have belonged to another call.
    pub doubtful: u64,
    /// Unconfirmed answers that were contradicted by what followed.
    pub contradicted: u64,
    /// Messages ended by an answer that may have belonged to another call.
    pub ended_in_doubt: u64,
    /// Calls to receivers.
    pub calls: u64,
    /// Probes of receivers.
    pub probes: u64,
    /// Connections made to receivers.
    pub connections: u64,
    /// Rounds of decisions.
    pub rounds: u64,
    /// Lists received from the directory.
    pub lists: u64,
    /// Requests to the directory that failed.
    pub list_failures: u64,
    /// Journal entries made durable.
    pub entries: u64,
    /// Syncs that made them durable.
    pub syncs: u64,
    /// Messages refused because there was no memory for them.
    pub refused_memory: u64,
    /// Connections to receivers closed because there was no memory for an answer.
    pub answers_without_memory: u64,
    /// Endpoints as which another process came to run.
    pub endpoints_replaced: u64,
    /// Periods in which the journal's storage failed.
    pub storage_failures: u64,
}

/// Returns the index of an answer in [`Stats::answers`].
pub fn answer_index(answer: Answer) -> usize {
    match answer {
        Answer::Delivered => 0,
        Answer::Rejected { .. } => 1,
        Answer::Undeliverable => 2,
        Answer::Unknown { .. } => 3,
        Answer::Expired => 4,
        Answer::Deleted => 5,
    }
}

/// Names of [`Stats::answers`], in order.
pub const ANSWER_NAMES: [&str; 6] = ["DELIVRD", "REJECTD", "UNDELIV", "UNKNOWN", "EXPIRED", "DELETED"];

/// Names of [`Stats::attempts`], in order.
pub const ATTEMPT_NAMES: [&str; 10] = [
    "done",
    "error",
    "busy",
    "timed_out",
    "connect_failed",
    "reset",
    "cancelled",
    "skipped",
    "crowded",
    "unproven_busy",
];

impl Stats {
    /// Adds another sender's counts.
    pub fn add(&mut self, other: &Stats) {
        self.accepted += other.accepted;
        self.refused_rate += other.refused_rate;
        self.refused_room += other.refused_room;
        self.refused_other += other.refused_other;
        self.repeated += other.repeated;
        self.told_again += other.told_again;
        self.answers.iter_mut().zip(other.answers).for_each(|(a, b)| *a += b);
        self.receipts += other.receipts;
        self.attempts.iter_mut().zip(other.attempts).for_each(|(a, b)| *a += b);
        self.attempts_delayed += other.attempts_delayed;
        self.attempts_denied += other.attempts_denied;
        self.unproven_deliveries += other.unproven_deliveries;
        self.doubtful += other.doubtful;
        self.contradicted += other.contradicted;
        self.calls += other.calls;
        self.probes += other.probes;
        self.connections += other.connections;
        self.rounds += other.rounds;
        self.lists += other.lists;
        self.list_failures += other.list_failures;
        self.entries += other.entries;
        self.syncs += other.syncs;
        self.storage_failures += other.storage_failures;
    }
}
