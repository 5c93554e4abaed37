//! What the keepers' log says about regions; the same at all members that have read equally far.

use crate::list::{List, Region};
use heronroute_fleet::{Life, Name, Start, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The maximum number of senders of a process whose positions are recorded.
pub const MAX_SENDERS: usize = 256;
/// The maximum number of members recorded as having a member's copy.
pub const MAX_COPIES: usize = 4;
/// The maximum number of completed takeovers remembered by name; the oldest is dropped.
pub const MAX_REMEMBERED_TAKEOVERS: usize = 8;
/// The maximum number of known members, including those that left the list. Further members are not known,
/// and so get no lease.
pub const MAX_KNOWN_MEMBERS: usize = 4 * crate::list::MAX_PLACES;

/// A log entry about regions. Variants and fields are only ever added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// The approved list, from the leader's settings.
    List {
        /// The leader's term.
        term: Term,
        /// The list; its number must be higher than the previous one's.
        list: List,
    },
    /// Assigns what a life had accepted to a partner. The leader proposes it once no lease granted to that
    /// life can still be valid; the life sends and answers none of it any more, even if it returns.
    TakeOver {
        /// The leader's term.
        term: Term,
        /// The life that is taken over; what it and earlier lives of its name had accepted is taken over.
        of: Life,
        /// The member that finishes the work, from its copy.
        by: Name,
    },
    /// The partner has accepted all of it durably, and the copy is not needed any more. The partner sends
    /// and answers none of it before it has read this entry in the log.
    TakenOver {
        /// The life that was taken over.
        of: Life,
        /// The member that took it over.
        by: Name,
        /// The end of the copy, by sender: entries of the sender's journal before this position belong to
        /// the partner; what the life wrote from there on, no other member has.
        upto: Vec<u64>,
    },
    /// A life reports which members have a complete copy of its journals, most preferred first. Written on
    /// each change.
    Copies {
        /// The life that reports.
        of: Life,
        /// At most [`MAX_COPIES`] members, of other regions.
        by: Vec<Name>,
    },
}

impl Command {
    /// Returns the term that the command belongs to, if it is one of the leader.
    pub fn term(&self) -> Option<Term> {
        match self {
            Command::List { term, .. } | Command::TakeOver { term, .. } => Some(*term),
            Command::TakenOver { .. } | Command::Copies { .. } => None,
        }
    }
}

/// The effect of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// There is a new list.
    List,
    /// A life is taken over.
    TakeOver {
        /// The life that is taken over.
        of: Life,
        /// The member that takes it over.
        by: Name,
        /// The member that was to take it over before, and is dead itself.
        before: Option<Name>,
    },
    /// A takeover is complete.
    TakenOver {
        /// The life that was taken over.
        of: Life,
        /// The member that took it over.
        by: Name,
    },
    /// The members that have a member's copy changed.
    Copies {
        /// The member whose copies they are.
        of: Name,
    },
    /// No effect: an earlier entry in the log makes this one void.
    Nothing,
}

/// A takeover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Takeover {
    /// The life with this start is taken over, and those before it.
    pub start: Start,
    /// The member that takes it over.
    pub by: Name,
    /// Whether it is complete.
    pub done: bool,
}

/// What is known of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct MemberState {
    /// The latest start that wrote to the log, or was taken over.
    newest: Start,
    copies: Vec<Name>,
    takeover: Option<Takeover>,
    /// By sender: journal entries before these positions belong to other members.
    upto: Vec<u64>,
    /// The completed takeovers, by start and the member that took over; kept because that member may have
    /// died before it read the entry.
    done: Vec<(Start, Name)>,
}

/// What the log says about regions, up to the last applied entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionLogState {
    list: Arc<List>,
    members: BTreeMap<Name, MemberState>,
}

impl RegionLogState {
    /// Returns the list; its number is 0 if none was approved yet.
    pub fn list(&self) -> &Arc<List> {
        &self.list
    }

    /// Returns the latest known start of a member.
    pub fn newest(&self, name: &Name) -> Option<Start> {
        self.members.get(name).map(|member| member.newest)
    }

    /// Returns the last takeover of a member's lives.
    pub fn takeover(&self, name: &Name) -> Option<&Takeover> {
        self.members.get(name)?.takeover.as_ref()
    }

    /// Returns the positions, by sender, before which a member's journal entries belong to other members.
    pub fn upto(&self, name: &Name) -> &[u64] {
        self.members.get(name).map_or(&[], |member| &member.upto)
    }

    /// Returns the members that have a complete copy of a member's journals, as it reported itself.
    pub fn copies(&self, name: &Name) -> &[Name] {
        self.members.get(name).map_or(&[], |member| &member.copies)
    }

    /// Returns whether a member's latest life was taken over and no later one has started.
    pub fn is_gone(&self, name: &Name) -> bool {
        let gone = |member: &MemberState| {
            member.takeover.as_ref().is_some_and(|takeover| takeover.start >= member.newest)
        };
        self.members.get(name).is_some_and(gone)
    }

    /// Returns whether a life was taken over.
    pub fn is_over(&self, life: &Life) -> bool {
        self.takeover(&life.name).is_some_and(|takeover| life.start <= takeover.start)
    }

    /// Returns whether a life may be granted a lease: it is on the list, is the latest of its name and was
    /// not taken over.
    pub fn may_hold_lease(&self, life: &Life) -> bool {
        let newest = self.newest(&life.name) == Some(life.start);
        newest && self.list.place(&life.name).is_some() && !self.is_over(life)
    }

    /// Returns the lives that a member has to take over now, including takeovers in progress.
    pub fn taking(&self, by: &Name) -> Vec<Life> {
        let open = |(name, member): (&Name, &MemberState)| {
            let takeover =
                member.takeover.as_ref().filter(|takeover| !takeover.done && takeover.by == *by)?;
            Some(Life { name: name.clone(), start: takeover.start })
        };
        self.members.iter().filter_map(open).collect()
    }

    /// Returns the lives that a member has taken over, up to [`MAX_REMEMBERED_TAKEOVERS`] for each name.
    pub fn took(&self, by: &Name) -> Vec<Life> {
        let of = |(name, member): (&Name, &MemberState)| -> Vec<Life> {
            let own = member.done.iter().filter(|(_, done)| done == by);
            own.map(|(start, _)| Life { name: name.clone(), start: *start }).collect()
        };
        self.members.iter().flat_map(of).collect()
    }

    /// Records that the log has an entry of this life, of whatever kind: earlier lives of its name are
    /// over.
    pub fn life_seen(&mut self, life: &Life) {
        if let Some(member) = self.entry(&life.name) {
            member.newest = member.newest.max(life.start);
        }
    }

    /// Applies a command, in log order. The caller must discard commands of older terms, which are void.
    pub fn apply(&mut self, command: &Command) -> Effect {
        match command {
            Command::List { list, .. } if list.number > self.list.number && list.check().is_ok() => {
                self.list = Arc::new(list.clone());
                Effect::List
            }
            Command::List { .. } => Effect::Nothing,
            Command::TakeOver { of, by, .. } => self.apply_take_over(of, by),
            Command::TakenOver { of, by, upto } => self.apply_taken_over(of, by, upto),
            Command::Copies { of, by } => self.apply_copies(of, by),
        }
    }

    /// Returns whether a takeover of this life by this member would be valid.
    pub fn is_valid_takeover(&self, of: &Life, by: &Name) -> bool {
        let member = self.members.get(&of.name);
        let copies = self.copies(&of.name);
        let later = member.is_some_and(|member| member.newest > of.start);
        let away = self.in_different_regions(&of.name, by) && (copies.is_empty() || copies.contains(by));
        let before =
            member.and_then(|member| member.takeover.as_ref()).filter(|takeover| takeover.start >= of.start);
        // The member that was to do it before may already have taken it over: no other member may do so
        // until that member itself is gone.
        let free =
            before.is_none_or(|takeover| !takeover.done && takeover.by != *by && self.is_gone(&takeover.by));
        !later && away && free && !self.is_gone(by)
    }

    fn apply_take_over(&mut self, of: &Life, by: &Name) -> Effect {
        if !self.is_valid_takeover(of, by) {
            return Effect::Nothing;
        }
        let Some(member) = self.entry(&of.name) else { return Effect::Nothing };
        member.newest = member.newest.max(of.start);
        let takeover = Takeover { start: of.start, by: by.clone(), done: false };
        let before = member.takeover.replace(takeover).filter(|before| !before.done && before.by != *by);
        Effect::TakeOver { of: of.clone(), by: by.clone(), before: before.map(|before| before.by) }
    }

    fn apply_taken_over(&mut self, of: &Life, by: &Name, upto: &[u64]) -> Effect {
        // A member that was itself taken over meanwhile has completed nothing: its own partner may not know
        // of it.
        let gone = self.is_gone(by);
        let Some(member) = self.members.get_mut(&of.name) else { return Effect::Nothing };
        let open =
            |takeover: &&mut Takeover| takeover.start == of.start && takeover.by == *by && !takeover.done;
        let Some(takeover) = member.takeover.as_mut().filter(open) else { return Effect::Nothing };
        if gone || upto.len() > MAX_SENDERS {
            return Effect::Nothing;
        }
        takeover.done = true;
        member.upto.resize(member.upto.len().max(upto.len()), 0);
        member.upto.iter_mut().zip(upto).for_each(|(held, upto)| *held = (*held).max(*upto));
        member.copies.clear();
        if member.done.len() >= MAX_REMEMBERED_TAKEOVERS {
            member.done.remove(0);
        }
        member.done.push((of.start, by.clone()));
        Effect::TakenOver { of: of.clone(), by: by.clone() }
    }

    fn apply_copies(&mut self, of: &Life, by: &[Name]) -> Effect {
        let twice = by.iter().enumerate().any(|(at, name)| by.iter().skip(at + 1).any(|other| other == name));
        let fits = by.len() <= MAX_COPIES
            && !twice
            && by.iter().all(|name| self.in_different_regions(&of.name, name));
        if !fits || !self.may_hold_lease(of) || self.copies(&of.name) == by {
            return Effect::Nothing;
        }
        let Some(member) = self.entry(&of.name) else { return Effect::Nothing };
        member.copies = by.to_vec();
        Effect::Copies { of: of.name.clone() }
    }

    /// Returns whether both members are on the list, in different regions.
    fn in_different_regions(&self, of: &Name, by: &Name) -> bool {
        let regions: (Option<&Region>, Option<&Region>) = (self.list.region(of), self.list.region(by));
        matches!(regions, (Some(one), Some(other)) if one != other)
    }

    fn entry(&mut self, name: &Name) -> Option<&mut MemberState> {
        if !self.members.contains_key(name) && self.members.len() >= MAX_KNOWN_MEMBERS {
            // A member that left the list and was never taken over has no state that has to be remembered.
            let list = Arc::clone(&self.list);
            let idle = |(name, member): &(&Name, &MemberState)| {
                list.place(name).is_none() && member.takeover.is_none()
            };
            let idle = self.members.iter().find(idle).map(|(name, _)| name.clone())?;
            self.members.remove(&idle);
        }
        Some(self.members.entry(name.clone()).or_default())
    }

    /// Returns whether all bounds hold; checked for state that is read as well as for state that is
    /// produced.
    pub fn sound(&self) -> bool {
        let fits = |member: &MemberState| {
            member.copies.len() <= MAX_COPIES
                && member.upto.len() <= MAX_SENDERS
                && member.done.len() <= MAX_REMEMBERED_TAKEOVERS
        };
        self.members.len() <= MAX_KNOWN_MEMBERS
            && self.list.check().is_ok()
            && self.members.values().all(fits)
    }
}
