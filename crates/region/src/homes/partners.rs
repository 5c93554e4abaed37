//! Partners: the member of another region that keeps a member's copy.

use super::hash::{self, HashDomain};
use crate::list::List;
use heronroute_fleet::Name;
use std::sync::Arc;

/// The partners of all members of a list.
#[derive(Clone, Debug, Default)]
pub struct Partners {
    list: Arc<List>,
    /// The partner's place, by the member's place.
    partner_places: Vec<Option<u16>>,
}

impl Partners {
    /// Assigns the partners by this list; costs one hash per pair of members of different regions, and is
    /// done when the list changes.
    pub fn new(list: &Arc<List>) -> Partners {
        let places = &list.places;
        let mut partner_places = Vec::with_capacity(places.len());
        let mut copy_counts: std::collections::BTreeMap<(&crate::list::Region, usize), usize> =
            Default::default();
        for of in places {
            let own = places.iter().filter(|place| place.region == of.region).count();
            let max_copies = (own * 5).div_ceil((places.len() - own).max(1) * 4);
            let best = ranked_candidates(list, &of.name)
                .into_iter()
                .find(|(at, _)| copy_counts.get(&(&of.region, *at)).is_none_or(|count| *count < max_copies));
            if let Some((at, _)) = best {
                *copy_counts.entry((&of.region, at)).or_default() += 1;
            }
            partner_places.push(best.map(|(at, _)| at as u16));
        }
        Partners { list: Arc::clone(list), partner_places }
    }

    /// Returns the member that keeps this one's copy.
    pub fn of(&self, name: &Name) -> Option<&Name> {
        let first = self.partner_places.get(self.list.place(name)?).copied().flatten()?;
        self.list.name(usize::from(first))
    }

    /// Returns all members that may keep this one's copy, in order: the partner, then those that replace it
    /// if it is dead for long.
    pub fn all(&self, name: &Name) -> Vec<&Name> {
        let first = self.of(name);
        let rest = ranked_candidates(&self.list, name).into_iter().filter_map(|(at, _)| self.list.name(at));
        first.into_iter().chain(rest.filter(|name| Some(*name) != first)).collect()
    }
}

/// Returns the members of other regions with their scores, best first.
fn ranked_candidates(list: &List, name: &Name) -> Vec<(usize, u64)> {
    let region = list.region(name);
    let own = hash::hash_bytes(HashDomain::Member, &[name.as_str().as_bytes()]);
    let others = list.places.iter().enumerate().filter(|(_, place)| Some(&place.region) != region);
    let score = |(at, place): (usize, &crate::list::Place)| {
        let other = hash::hash_bytes(HashDomain::Member, &[place.name.as_str().as_bytes()]);
        (at, hash::hash_pair(HashDomain::Partner, own, other))
    };
    let mut all: Vec<(usize, u64)> = others.map(score).collect();
    all.sort_unstable_by_key(|(at, score)| (std::cmp::Reverse(*score), *at));
    all
}
