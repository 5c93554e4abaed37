//! The believed state of each member, by index in the settings.

use super::change::MembersError;
use super::member_id::{MemberId, key_of};
use crate::Micros;
use crate::name::{Life, Name, Peer, Standing};
use foca::{Incarnation, Member, State};
use std::collections::VecDeque;

/// A member and its believed state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The name.
    pub name: Name,
    /// The zone.
    pub zone: String,
    /// The latest known life; `None` if nothing was received about the member since this process started.
    pub life: Option<Life>,
    /// The state; [`Standing::Dead`] also if nothing was received about the member.
    pub standing: Standing,
    /// The time since which it has this state, on the caller's clock.
    pub since: Micros,
    /// Whether its link is up.
    pub linked: bool,
    pub(super) known: Option<Member<MemberId>>,
    pub(super) rival: Option<Rival>,
    key: u64,
    changed: bool,
}

/// An earlier life that still sends messages although a later one holds its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Rival {
    pub who: MemberId,
    pub since: Micros,
    /// The time at which it was last informed of the later life.
    pub last_notified: Micros,
    pub reported: bool,
}

/// The rows of all members.
pub(super) struct Rows {
    pub all: Vec<Row>,
    by_key: Vec<(u64, u16)>,
    by_name: Vec<u16>,
    /// Rows with a change that wasn't reported yet, each once.
    changed: VecDeque<u16>,
}

impl Rows {
    pub fn new(now: Micros, peers: &[Peer]) -> Result<Self, MembersError> {
        let row = |peer: &Peer| Row {
            name: peer.name.clone(),
            zone: peer.zone.clone(),
            life: None,
            standing: Standing::Dead,
            since: now,
            linked: false,
            known: None,
            rival: None,
            key: key_of(&peer.name),
            changed: false,
        };
        let all: Vec<Row> = peers.iter().map(row).collect();
        let count = u16::try_from(all.len()).map_err(|_| MembersError::TooMany)?;
        let mut by_name: Vec<u16> = (0..count).collect();
        by_name.sort_by(|a, b| all[usize::from(*a)].name.cmp(&all[usize::from(*b)].name));
        let mut by_key: Vec<(u64, u16)> = all.iter().map(|r| r.key).zip(0..count).collect();
        by_key.sort_unstable();
        if let Some(w) = by_key.windows(2).find(|w| w[0].0 == w[1].0) {
            return Err(MembersError::Twice(all[usize::from(w[1].1)].name.clone()));
        }
        Ok(Rows { all, by_key, by_name, changed: VecDeque::new() })
    }

    pub fn index(&self, key: u64) -> Option<usize> {
        let at = self.by_key.binary_search_by_key(&key, |(key, _)| *key).ok()?;
        self.by_key.get(at).map(|(_, index)| usize::from(*index))
    }

    pub fn index_of_name(&self, name: &Name) -> Option<usize> {
        let order = |i: &u16| self.all.get(usize::from(*i)).map(|row| &row.name).cmp(&Some(name));
        let at = self.by_name.binary_search_by(order).ok()?;
        self.by_name.get(at).map(|i| usize::from(*i))
    }

    pub fn key(&self, index: usize) -> Option<u64> {
        self.all.get(index).map(|row| row.key)
    }

    /// Returns whether a member is suspected in this incarnation.
    pub fn suspected(&self, who: &MemberId, incarnation: Incarnation) -> bool {
        let row = self.index(who.key).and_then(|index| self.all.get(index));
        let known = row.and_then(|row| row.known.as_ref());
        known.is_some_and(|m| m.id() == who && m.incarnation() == incarnation && m.state() == State::Suspect)
    }

    /// Stores `foca`'s state of a member. Returns whether the member has died.
    pub fn update(&mut self, now: Micros, index: usize, member: &Member<MemberId>) -> bool {
        let Some(row) = self.all.get_mut(index) else { return false };
        if row.known.as_ref() == Some(member) {
            return false;
        }
        let lived = row.standing != Standing::Dead;
        let standing = match member.state() {
            State::Alive => Standing::Alive,
            State::Suspect => Standing::Suspect,
            State::Down => Standing::Dead,
        };
        let start = member.id().start;
        if row.life.as_ref().is_none_or(|life| life.start != start) || row.standing != standing {
            row.life = Some(Life { name: row.name.clone(), start });
            row.standing = standing;
            row.since = now;
            if !row.changed {
                row.changed = true;
                self.changed.extend(u16::try_from(index));
            }
        }
        if row.known.as_ref().is_some_and(|old| old.id().precedence() != member.id().precedence()) {
            row.rival = None;
        }
        row.known = Some(member.clone());
        lived && standing == Standing::Dead
    }

    /// Returns the next row with a change that wasn't reported yet.
    pub fn next_changed(&mut self) -> Option<usize> {
        let index = usize::from(self.changed.pop_front()?);
        self.all.get_mut(index)?.changed = false;
        Some(index)
    }
}
