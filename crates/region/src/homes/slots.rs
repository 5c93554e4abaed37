//! Assigns keys to slots, and slots to members.

use super::hash::{self, HashDomain};
use crate::list::List;
use heronroute_fleet::Name;
use std::sync::Arc;

/// The number of slots.
pub const SLOTS: usize = 4_096;

/// Which member each slot belongs to. No member has more than 1.25 times its even share.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    list: Arc<List>,
    /// The owner's place in the list, by slot; empty if the list is empty.
    owners: Vec<u16>,
}

impl Homes {
    /// Assigns the slots by this list; costs one hash per slot and member, and is done when the list
    /// changes.
    pub fn new(list: &Arc<List>) -> Homes {
        let members = member_hashes(list);
        let mut remaining = vec![max_slots(members.len()); members.len()];
        let mut owners = Vec::with_capacity(if members.is_empty() { 0 } else { SLOTS });
        for slot in 0..SLOTS {
            let scores =
                members.iter().enumerate().filter(|(at, _)| remaining.get(*at).is_some_and(|r| *r > 0));
            let best = scores
                .max_by_key(|(_, member_hash)| hash::hash_pair(HashDomain::Slot, **member_hash, slot as u64));
            let Some((at, _)) = best else { break };
            if let Some(remaining) = remaining.get_mut(at) {
                *remaining -= 1;
            }
            owners.push(at as u16);
        }
        Homes { list: Arc::clone(list), owners }
    }

    /// Returns the list that the assignment is based on.
    pub fn list(&self) -> &Arc<List> {
        &self.list
    }

    /// Returns the slot of a key.
    pub fn slot(key: u64) -> usize {
        (key % SLOTS as u64) as usize
    }

    /// Returns the owner of a slot, as its place in the list.
    pub fn owner(&self, slot: usize) -> Option<usize> {
        self.owners.get(slot).map(|at| usize::from(*at))
    }

    /// Returns the home of a key; `None` if the list is empty.
    pub fn home(&self, key: u64) -> Option<&Name> {
        self.list.name(self.owner(Self::slot(key))?)
    }

    /// Returns which of the remaining places takes a slot over from its owner: the one with the best score,
    /// regardless of its share.
    pub(crate) fn fallback_owner(&self, slot: usize, left: impl Fn(usize) -> bool) -> Option<usize> {
        let member_hashes = self.list.places.iter().map(member_hash).enumerate().filter(|(at, _)| left(*at));
        member_hashes
            .max_by_key(|(_, member_hash)| hash::hash_pair(HashDomain::Slot, *member_hash, slot as u64))
            .map(|(at, _)| at)
    }
}

/// The most slots that one member may own.
fn max_slots(members: usize) -> usize {
    (SLOTS * 5 / 4).checked_div(members).unwrap_or(0)
}

fn member_hash(place: &crate::list::Place) -> u64 {
    hash::hash_bytes(HashDomain::Member, &[place.name.as_str().as_bytes()])
}

fn member_hashes(list: &List) -> Vec<u64> {
    list.places.iter().map(member_hash).collect()
}
