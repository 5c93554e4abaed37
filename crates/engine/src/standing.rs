//! How a node stands to a partner in another region that may take over its work: whether its right holds, what the partner may
//! have, and what stands still. Free of I/O; `region` acts on it.

use crate::Micros;
use crate::outbox::OwedAnswer;
use heronroute::MsgId;
use heronroute_journal::entry::Held;
use heronroute_journal::heirs::Heirs;
use heronroute_journal::{Book, Open};
use heronroute_smpp::receipt::Answer;
use std::collections::{BTreeMap, BTreeSet};

/// Whether a message goes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Still {
    /// It does.
    #[default]
    No,
    /// A partner may have it, and the right is over: nothing of it is begun or answered.
    Yes,
    /// The same, and its answer was found meanwhile; it is told once the right is there again.
    Found(Answer),
}

/// How a node stands to its partner.
#[derive(Debug)]
pub(crate) struct Standing<H> {
    /// The right ends then.
    pub(crate) until: Micros,
    /// What has a number below may be in the partner's copy.
    pub(crate) copied_below: u64,
    /// Entries are sent to the partner: all that is accepted from now on is in its copy as well.
    pub(crate) copying: bool,
    /// The right is over, and what the partner may have stands still.
    pub(crate) lapsed: bool,
    /// The partner took over, and how far its copy went is not known yet.
    pub(crate) unknown: bool,
    /// Messages that stand still; the node's room bounds them.
    pub(crate) still: BTreeSet<MsgId>,
    /// Of the book, answered and not taken.
    pub(crate) answered: Vec<Open>,
    /// Answers that were about to go out, with whose they are and the mailbox's name; the clients' room bounds them.
    pub(crate) owed: Vec<(usize, String, OwedAnswer)>,
    /// What became durable meanwhile.
    pub(crate) effects: Vec<H>,
    /// Whose work was taken over.
    pub(crate) heirs: Heirs,
    /// Whose work is being taken over, with what comes of it.
    pub(crate) inheriting: BTreeMap<String, Estate>,
}

/// What is taken over, until all of it is durable.
#[derive(Debug, Default)]
pub(crate) struct Estate {
    /// All of it is durable.
    pub(crate) whole: bool,
    pub(crate) open: Vec<Open>,
    /// Sessions, held messages, kept answers, names.
    pub(crate) book: Book,
}

impl<H> Standing<H> {
    /// At a start: all from before may be in a copy, and no right is known.
    pub(crate) fn new(heirs: Heirs) -> Self {
        let estate = |(origin, open, held): (&str, Vec<Open>, Vec<Held>)| {
            let id = |h: &Held| h.accepted.as_ref().map(|a| a.id);
            let held = held.into_iter().filter_map(|h| id(&h).map(|id| (id, h))).collect();
            let mut book = Book::default();
            book.held = held;
            (origin.to_string(), Estate { whole: true, open, book })
        };
        let inheriting = heirs.whole().map(estate).collect();
        Standing {
            until: Micros::MIN,
            copied_below: u64::MAX,
            copying: false,
            lapsed: true,
            unknown: false,
            still: BTreeSet::new(),
            answered: Vec::new(),
            owed: Vec::new(),
            effects: Vec::new(),
            heirs,
            inheriting,
        }
    }

    /// The number above all from before.
    pub(crate) fn began(self, copied_below: u64) -> Self {
        Standing { copied_below, ..self }
    }

    /// A message of the book waits for the right.
    pub(crate) fn wait(&mut self, id: MsgId) {
        self.still.insert(id);
    }

    /// An answer of the book that was not taken waits for it.
    pub(crate) fn wait_answered(&mut self, open: Open) {
        self.answered.push(open);
    }

    /// When it has to be looked at next.
    pub(crate) fn wake(&self) -> Option<Micros> {
        (!self.lapsed).then_some(self.until)
    }
}
