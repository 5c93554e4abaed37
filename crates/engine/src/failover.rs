//! The state of a node towards a partner in another region that may take over its work: whether its lease
//! holds, what the partner may have, and what is suspended. Free of I/O; `region` acts on it.

use crate::Micros;
use crate::outbox::OwedAnswer;
use heronroute::MsgId;
use heronroute_journal::entry::Held;
use heronroute_journal::takeovers::Takeovers;
use heronroute_journal::{JournalState, Open};
use heronroute_smpp::receipt::Answer;
use std::collections::{BTreeMap, BTreeSet};

/// Whether a message is suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Suspension {
    /// The message continues.
    #[default]
    No,
    /// A partner may have the message and the lease has ended: it is neither begun nor answered.
    Yes,
    /// As `Yes`, and its answer was found meanwhile; it is sent once the lease holds again.
    WithAnswer(Answer),
}

/// The state of a node towards its partner.
#[derive(Debug)]
pub(crate) struct Failover<H> {
    /// When the lease ends.
    pub(crate) lease_until: Micros,
    /// Messages with a number below this may be in the partner's copy.
    pub(crate) copied_below: u64,
    /// Whether entries are sent to the partner: all that is accepted from now on is in its copy as well.
    pub(crate) copy_active: bool,
    /// Whether the lease has ended and what the partner may have is suspended.
    pub(crate) lapsed: bool,
    /// Whether the partner took over and the extent of its copy is not known yet.
    pub(crate) extent_unknown: bool,
    /// Suspended messages, bounded by the node's room.
    pub(crate) suspended: BTreeSet<MsgId>,
    /// Messages of the journal state with an answer that was not acknowledged.
    pub(crate) unacknowledged: Vec<Open>,
    /// Answers that were about to be sent, each with its client and the mailbox's name; bounded by the
    /// clients' room.
    pub(crate) deferred_answers: Vec<(usize, String, OwedAnswer)>,
    /// Effects that became durable during the suspension.
    pub(crate) deferred_effects: Vec<H>,
    /// The members whose work was taken over.
    pub(crate) completed: Takeovers,
    /// Takeovers in progress, by the member taken over.
    pub(crate) pending: BTreeMap<String, PendingTakeover>,
}

/// The work that is being taken over, until all of it is durable.
#[derive(Debug, Default)]
pub(crate) struct PendingTakeover {
    /// Whether all of it is durable.
    pub(crate) durable: bool,
    pub(crate) open: Vec<Open>,
    /// Sessions, held messages, retained answers and names.
    pub(crate) state: JournalState,
}

impl<H> Failover<H> {
    /// Returns the state at a start: all from before may be in a copy, and there is no lease.
    pub(crate) fn new(takeovers: Takeovers) -> Self {
        let takeover = |(origin, open, held): (&str, Vec<Open>, Vec<Held>)| {
            let id = |h: &Held| h.accepted.as_ref().map(|a| a.id);
            let held = held.into_iter().filter_map(|h| id(&h).map(|id| (id, h))).collect();
            let mut state = JournalState::default();
            state.held = held;
            (origin.to_string(), PendingTakeover { durable: true, open, state })
        };
        let pending = takeovers.whole().map(takeover).collect();
        Failover {
            lease_until: Micros::MIN,
            copied_below: u64::MAX,
            copy_active: false,
            lapsed: true,
            extent_unknown: false,
            suspended: BTreeSet::new(),
            unacknowledged: Vec::new(),
            deferred_answers: Vec::new(),
            deferred_effects: Vec::new(),
            completed: takeovers,
            pending,
        }
    }

    /// Sets the number that is above all from before.
    pub(crate) fn with_copied_below(self, copied_below: u64) -> Self {
        Failover { copied_below, ..self }
    }

    /// Suspends a message of the journal state.
    pub(crate) fn suspend(&mut self, id: MsgId) {
        self.suspended.insert(id);
    }

    /// Defers an answer of the journal state that was not acknowledged.
    pub(crate) fn defer_answered(&mut self, open: Open) {
        self.unacknowledged.push(open);
    }

    /// Returns when the node next has to check its lease.
    pub(crate) fn wake(&self) -> Option<Micros> {
        (!self.lapsed).then_some(self.lease_until)
    }
}
