//! Unconfirmed outcomes, by connection. Performs no I/O.

use crate::Micros;
use crate::ids::ConnId;
use crate::link::Reply;
use heronroute::{DestId, EndpointId, MsgId};
use std::collections::{BTreeMap, BTreeSet};

/// An outcome that is not confirmed yet.
#[derive(Clone, Copy, Debug)]
pub enum UnconfirmedOutcome {
    /// A message of a call was refused, so that it never ran.
    Refused {
        /// The call's number.
        call: u64,
        /// The message's index in the call.
        part: usize,
        /// The answer.
        reply: Reply,
    },
    /// A message was delivered.
    Delivered {
        /// The message.
        message: MsgId,
        /// The message's destination.
        dest: DestId,
        /// The endpoint that the call went to.
        endpoint: EndpointId,
        /// The time at which the call was decided.
        began: Micros,
        /// The time at which the message must end, confirmed or not.
        latest: Micros,
    },
}

/// The unconfirmed outcomes of each connection, with the time at which the wait for each ends.
#[derive(Debug, Default)]
pub struct UnconfirmedOutcomes {
    by_connection: BTreeMap<ConnId, Vec<(Micros, UnconfirmedOutcome)>>,
    deliveries: BTreeSet<MsgId>,
    /// For each connection the earliest deadline of a message whose delivery was never confirmed, so that its
    /// call may still be out.
    expiries: BTreeMap<ConnId, Micros>,
}

impl UnconfirmedOutcomes {
    /// Adds an outcome that is handled as unproved at `due`.
    pub fn add(&mut self, conn: ConnId, due: Micros, outcome: UnconfirmedOutcome) {
        if let UnconfirmedOutcome::Delivered { message, .. } = outcome {
            self.deliveries.insert(message);
        }
        self.by_connection.entry(conn).or_default().push((due, outcome));
    }

    /// Delays the end of the wait for a connection's outcomes until at least `until`, but not beyond a delivery's
    /// `latest`.
    pub fn extend(&mut self, conn: ConnId, until: Micros) {
        for (due, outcome) in self.by_connection.get_mut(&conn).into_iter().flatten() {
            let latest = if let UnconfirmedOutcome::Delivered { latest, .. } = outcome {
                *latest
            } else {
                Micros::MAX
            };
            *due = until.min(latest).max(*due);
        }
    }

    /// Returns the time at which the wait for the first outcome on a connection ends.
    pub fn next(&self, conn: ConnId) -> Option<Micros> {
        self.by_connection.get(&conn)?.iter().map(|(due, _)| *due).min()
    }

    /// Removes and returns the outcomes of a connection that are due.
    pub fn take_due(&mut self, conn: ConnId, now: Micros) -> Vec<UnconfirmedOutcome> {
        let waiting = self.by_connection.remove(&conn).unwrap_or_default();
        let (due, later): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(due, _)| *due <= now);
        if !later.is_empty() {
            self.by_connection.insert(conn, later);
        }
        let due: Vec<UnconfirmedOutcome> = due.into_iter().map(|(_, outcome)| outcome).collect();
        for outcome in &due {
            if let UnconfirmedOutcome::Delivered { message, .. } = outcome {
                self.deliveries.remove(message);
            }
        }
        due
    }

    /// Records the deadline of a message whose call may still be out on a connection. Returns whether it is the
    /// earliest there.
    pub fn limit_connection(&mut self, conn: ConnId, deadline: Micros) -> bool {
        let earliest = self.expiries.entry(conn).or_insert(Micros::MAX);
        let is_earliest = deadline < *earliest;
        *earliest = deadline.min(*earliest);
        is_earliest
    }

    /// Returns the time by which a connection must be closed, if there is one.
    pub fn expiry(&self, conn: ConnId) -> Option<Micros> {
        self.expiries.get(&conn).copied()
    }

    /// Records that no delivery on a connection is unconfirmed any more, or that it was closed.
    pub fn remove_expiry(&mut self, conn: ConnId) {
        self.expiries.remove(&conn);
    }

    /// Returns whether a message's delivery is unconfirmed.
    pub fn is_unconfirmed_delivery(&self, message: MsgId) -> bool {
        self.deliveries.contains(&message)
    }
}
