//! The faults of a schedule, drawn from its seed.

use crate::planted::Plant;
use crate::world::{SECOND, World};
use heronroute_region::homes::{Homes, SLOTS};
use heronroute_region::{List, Place, Region};
use rand::Rng;
use std::sync::Arc;

impl World {
    /// Sets another list, with at least 2 of the members.
    pub fn list(&mut self, all: bool) {
        let places =
            (0..self.members.len()).filter(|_| all || self.random.random_bool(0.75)).collect::<Vec<_>>();
        let places = if places.len() < 2 { (0..self.members.len()).collect() } else { places };
        let region = |at: usize| Region(heronroute_fleet::Name::new(["east", "west"][at % 2]).unwrap());
        let places =
            places.into_iter().map(|at| Place { name: self.members[at].name.clone(), region: region(at) });
        let number = self.lists.last().map_or(1, |last| last.list().number + 1);
        self.lists.push(Homes::new(&Arc::new(List::of(number, places).unwrap())));
    }

    pub fn fault(&mut self) {
        let at = self.random.random_range(0..self.members.len());
        match self.random.random_range(0..10) {
            0..=2 => self.kill(at, false),
            3 if self.losses => self.kill(at, true),
            4 => self.list(false),
            5 | 6 => {
                let other = self.random.random_range(0..self.members.len());
                self.cuts.push((at, other));
            }
            7 => {
                let n = self.members.len();
                self.cuts
                    .extend((0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| a % 2 != b % 2));
            }
            _ => self.cuts.clear(),
        }
    }

    /// Kills a member; if `lost`, nothing is left of its folder.
    fn kill(&mut self, at: usize, lost: bool) {
        let back = self.now + self.random.random_range(SECOND / 5..8 * SECOND);
        let now = self.now;
        let member = &mut self.members[at];
        if member.life.is_none() {
            return;
        }
        self.sum.kills += 1;
        member.back = back;
        if let Some(mut life) = member.life.take() {
            life.store.crash();
            member.store = life.store;
        }
        if lost {
            self.sum.lost += 1;
            self.lost_at = Some(now);
            member.back = back.max(now + SECOND);
            self.lost.extend(member.lives.drain(..).map(|start| (at, start, now)));
            member.store = Default::default();
            if self.plant != Plant::ReusesFolderIdentity {
                member.folder = heronroute_fleet::Start(0);
            }
        }
    }

    /// Takes the authority anew, after a delay, over slots whose authority was lost with a folder.
    pub fn anew(&mut self) {
        let due = self.lost_at.is_some_and(|at| self.now > at + 4 * SECOND);
        if !due && self.plant != Plant::TakesAuthorityWhileHolderIsAway {
            return;
        }
        let Some(homes) = self.lists.last().cloned() else { return };
        let kept: Vec<_> = self.members.iter().map(|member| member.stored_slots()).collect();
        let folders: Vec<_> = self.members.iter().map(|member| member.folder).collect();
        let mut left = false;
        for slot in 0..SLOTS as u16 {
            let held = (0..kept.len()).any(|at| {
                let away =
                    self.plant == Plant::TakesAuthorityWhileHolderIsAway && self.members[at].life.is_none();
                kept[at].get(&slot).is_some_and(|slot| match &slot.transfer_to {
                    _ if away => false,
                    Some((_, None)) => true,
                    Some((to, Some(folder))) => folders[self.at(to)] == *folder,
                    None => slot.has_authority,
                })
            });
            if held {
                continue;
            }
            let Some(owner) = homes.owner(usize::from(slot)).and_then(|at| homes.list().name(at)) else {
                continue;
            };
            let at = self.at(owner);
            let forgotten_until = if self.plant == Plant::IgnoresForgottenNames {
                0
            } else {
                self.now + crate::world::NAME_LIFETIME
            };
            left = true;
            self.era += 1;
            let era = self.era;
            if let Some(life) = &mut self.members[at].life {
                life.registry.assume_authority(slot, era, forgotten_until);
            }
        }
        self.lost_at = self.lost_at.filter(|_| left);
    }
}
