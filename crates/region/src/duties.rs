//! Periodic work, divided by the approved list.
//!
//! With each lease the leader says which members can hold none. A member does the share that
//! falls to it by the list without those members, and only while it holds a lease that was granted under
//! the list that it has itself. So it does not matter whom others believe dead: two members that each
//! believe the other dead continue with their own shares.

use crate::Micros;
use crate::homes::{Homes, SLOTS};
use crate::list::List;
use crate::rights::MembersWithoutLease;
use crate::seam::SendLease;
use heronroute_fleet::Name;
use std::sync::Arc;

/// A kind of periodic work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Duty {
    /// Probing whether a destination accepts messages again.
    Probing,
    /// Releasing held messages at their time.
    Releasing,
    /// Removing what has been kept for its retention time.
    Retention,
    /// Sending clients the notices that outlive the member that was to send them.
    Notices,
}

/// Who does which share now, as far as this member knows.
#[derive(Clone, Debug, Default)]
pub struct Duties {
    homes: Homes,
    own: Option<usize>,
    out: MembersWithoutLease,
    /// The place of the member that has the slot now, by slot.
    assignees: Vec<Option<u16>>,
}

impl Duties {
    /// Divides the work by this list, at this member.
    pub fn new(list: &Arc<List>, own: &Name) -> Duties {
        let mut duties = Duties {
            homes: Homes::new(list),
            own: list.place(own),
            out: MembersWithoutLease::default(),
            assignees: Vec::new(),
        };
        duties.assign();
        duties
    }

    /// Returns the division by the same list for another member.
    pub fn for_member(&self, own: &Name) -> Duties {
        Duties { own: self.homes.list().place(own), ..self.clone() }
    }

    /// Sets the members without a lease, from the newest lease. Costs one hash per member for each of their
    /// slots, and nothing if they have not changed.
    pub fn set_out(&mut self, out: &MembersWithoutLease) {
        if self.out != *out {
            self.out = out.clone();
            self.assign();
        }
    }

    fn assign(&mut self) {
        let same = self.out.list == self.homes.list().number;
        let left = |at: usize| !same || !self.out.has(at);
        let of = |slot| {
            self.homes.owner(slot).filter(|at| left(*at)).or_else(|| self.homes.fallback_owner(slot, left))
        };
        self.assignees = (0..SLOTS).map(|slot| of(slot).map(|at| at as u16)).collect();
    }

    /// Returns the member that does this share of a duty now: `key` is its subject, by
    /// [`crate::homes::client_key`] or similar.
    pub fn assignee(&self, duty: Duty, key: u64) -> Option<&Name> {
        self.homes.list().name(self.place(duty, key)?)
    }

    /// Returns whether this member does this share now, under its lease.
    pub fn is_own(&self, now: Micros, right: Option<SendLease>, duty: Duty, key: u64) -> bool {
        let holds = right.is_some_and(|right| now < right.until);
        // A lease granted under another list says nothing about this division.
        holds
            && self.out.list == self.homes.list().number
            && self.place(duty, key) == self.own
            && self.own.is_some()
    }

    fn place(&self, duty: Duty, key: u64) -> Option<usize> {
        // Mostly, two duties with the same subject fall to different members.
        let slot = Homes::slot(key.wrapping_add((duty as u64).wrapping_mul(1_009)));
        self.assignees.get(slot).copied().flatten().map(usize::from)
    }
}
