//! Whose the servers' addresses are by the list, as it changes: an endpoint moves to another address, and its former one is
//! given to an endpoint of another destination.

use std::time::{Duration, Instant};

/// A span in which a server's address belonged to an endpoint of a destination.
#[derive(Clone, Debug)]
pub struct Tenancy {
    pub server: usize,
    pub dest: u64,
    pub since: Instant,
    /// The end of the span, if it has ended.
    pub end: Option<TenancyEnd>,
}

/// The end of a tenancy.
#[derive(Clone, Debug)]
pub struct TenancyEnd {
    pub at: Instant,
    /// The version of the list that says so.
    pub version: u64,
    /// When discovery had written it to each process, or when it counts as told though it has not.
    pub told: Vec<Option<Instant>>,
}

impl Tenancy {
    pub fn new(server: usize, dest: u64) -> Self {
        Tenancy { server, dest, since: Instant::now(), end: None }
    }

    /// Whether a process may send a call for the destination to the server at a time. A change that was told binds a little
    /// later.
    fn allows(&self, process: usize, at: Instant, slack: Duration) -> bool {
        let told = self.end.as_ref().map(|end| end.told[process]);
        at + slack >= self.since && told.is_none_or(|told| told.is_none_or(|told| at <= told + slack))
    }
}

/// Whether a call of a process for a destination came at a server whose address was not, or no longer, that of one of the
/// destination's endpoints. None is judged from when the process was going down or stopped until it was ready.
pub fn is_elsewhere(
    tenancies: &[Tenancy],
    (process, dest): (usize, u64),
    (server, at): (usize, Instant),
    slack: Duration,
    spans: &[(Instant, Instant)],
) -> bool {
    let mut own = tenancies.iter().filter(|tenancy| (tenancy.server, tenancy.dest) == (server, dest));
    if own.clone().next().is_none() {
        return true;
    }
    let is_excused = spans.iter().any(|(began, ready)| *began <= at && at <= *ready + slack);
    !is_excused && !own.any(|tenancy| tenancy.allows(process, at, slack))
}
