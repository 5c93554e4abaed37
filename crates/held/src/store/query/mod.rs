//! Queries and pages of results.

mod list;

use crate::Micros;

/// The criteria of a listing.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// The client, by index.
    pub client: Option<u32>,
    /// The destination.
    pub destination: Option<i64>,
    /// The digest of the key.
    pub key: Option<u64>,
    /// The earliest time of acceptance.
    pub from: Option<Micros>,
    /// The time before which the message was accepted.
    pub to: Option<Micros>,
    /// Whether only held messages match.
    pub held: bool,
    /// Only identities after this one: see [`Page::next`].
    pub after: Option<u64>,
}

/// A page of results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The identities, in order.
    pub ids: Vec<u64>,
    /// Set where there may be more results: the value of [`Query::after`] for the next page.
    pub next: Option<u64>,
}
