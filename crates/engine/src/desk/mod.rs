//! The clients' side, the same for all fronts: who is let in, what is accepted, which answers go where.

mod admit;
mod fronts;
mod keep;
mod pump;
mod query;
mod submit;

use crate::Micros;
use crate::ids::ConnId;
use crate::mailboxes::BoxId;
use crate::rule_tables::rules::RuleTerms;
use heronroute::DestId;

/// Where a message comes from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct From {
    /// The connection and request; none for a message submitted for a client that is gone.
    pub conn: Option<ConnId>,
    pub token: u32,
    pub client: usize,
    pub mailbox: BoxId,
}

/// The terms on which a message is accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms {
    pub(crate) class: usize,
    pub(crate) dest: DestId,
    /// It expires after this.
    pub(crate) span: Micros,
    /// What its client's rules say of it.
    pub(crate) keep: RuleTerms,
}

/// Compares without stopping at the first difference.
pub(crate) fn same(a: &str, b: &str) -> bool {
    let (a, b) = (a.as_bytes(), b.as_bytes());
    a.len() == b.len() && a.iter().zip(b).fold(0, |d, (x, y)| d | (x ^ y)) == 0
}
