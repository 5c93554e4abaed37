//! The home's side of reservations.

use super::{Entry, MAX_PART_ENTRIES, Message, Op, Reply, ReservationKey, Slot, Store};
use crate::Micros;
use crate::homes::{Homes, SLOTS};
use heronroute_fleet::{Life, Name, Start};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

/// Limits of a [`Registry`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of entries. Beyond it the entry that expires first is dropped, and its slot
    /// declares no name new until that entry would have expired.
    pub entries: usize,
    /// The maximum number of messages waiting for their batch; further ones are dropped, and requested
    /// again by the peer.
    pub waiting: usize,
    /// The maximum number of names queried, and of slots transferred, per [`Registry::tick`].
    pub at_once: usize,
    /// The maximum number of entries in one part of a transfer; at most [`MAX_PART_ENTRIES`].
    pub part: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { entries: 1_000_000, waiting: 100_000, at_once: 64, part: MAX_PART_ENTRIES }
    }
}

/// The reservations of names whose home is this member.
pub struct Registry {
    own_name: Name,
    folder: Start,
    limits: Limits,
    homes: Homes,
    keys: BTreeMap<ReservationKey, Entry>,
    /// Keys by expiry.
    by_expiry: BTreeSet<(Micros, ReservationKey)>,
    /// Keys whose reservation has no result yet.
    unsettled: BTreeSet<ReservationKey>,
    /// The key after which the next round of queries starts.
    query_cursor: Option<ReservationKey>,
    slots: BTreeMap<u16, Slot>,
    /// Slots that are being transferred to other members, and the last key that was acknowledged.
    outgoing: BTreeMap<u16, Option<ReservationKey>>,
    transfer_cursor: Option<u16>,
    /// Slots that are being received: the epoch and the last key received.
    incoming: BTreeMap<u16, (u64, Option<ReservationKey>)>,
    ops: Vec<Op>,
    /// Messages waiting for their batch to be durable.
    waiting: VecDeque<(u64, Name, Message)>,
    unbatched: Vec<(Name, Message)>,
}

impl Registry {
    /// Returns the registry with the contents of its store. `folder` is the first life of the folder that
    /// the store is in.
    pub fn new(own_name: Name, folder: Start, limits: Limits, store: &dyn Store) -> Registry {
        let (keys, slots) = store.load();
        let by_expiry = keys.iter().map(|(key, entry)| (entry.until, *key)).collect();
        let unsettled = keys.iter().filter(|(_, entry)| !entry.accepted).map(|(key, _)| *key).collect();
        let outgoing =
            slots.iter().filter(|(_, slot)| slot.transfer_to.is_some()).map(|(at, _)| (*at, None)).collect();
        Registry {
            own_name,
            folder,
            limits,
            homes: Homes::default(),
            keys,
            by_expiry,
            unsettled,
            query_cursor: None,
            slots,
            outgoing,
            transfer_cursor: None,
            incoming: BTreeMap::new(),
            ops: Vec::new(),
            waiting: VecDeque::new(),
            unbatched: Vec::new(),
        }
    }

    /// Sets a new list: slots that belong to other members are transferred to them.
    pub fn set_homes(&mut self, homes: Homes) {
        self.homes = homes;
        for at in 0..SLOTS as u16 {
            self.start_transfer(at);
        }
    }

    /// Takes the authority over a slot. The caller guarantees that no member has it or can get it: either
    /// the installation is new (`forgotten_until` is 0), or the member that had it lost its folder and that
    /// member's last life is taken over. In the latter case names may have been forgotten that are valid
    /// until `forgotten_until`, by time of day. `era` comes from the log and is higher than in all earlier
    /// guarantees.
    pub fn assume_authority(&mut self, at: u16, era: u32, forgotten_until: Micros) {
        let mut slot = self.slots.get(&at).cloned().unwrap_or_default();
        let epoch = u64::from(era) << 32;
        if slot.has_authority || slot.epoch >= epoch || usize::from(at) >= SLOTS {
            return;
        }
        self.outgoing.remove(&at);
        (slot.has_authority, slot.transfer_to, slot.epoch) = (true, None, epoch);
        slot.forgotten_until = slot.forgotten_until.max(forgotten_until);
        self.put_slot(at, slot);
        self.start_transfer(at);
    }

    /// Returns the state of a slot; `None` if this member never had the authority over it.
    pub fn slot_state(&self, at: u16) -> Option<&Slot> {
        self.slots.get(&at)
    }

    /// Returns the number of entries.
    pub fn entry_count(&self) -> usize {
        self.keys.len()
    }

    /// Handles a message of a life. `wall` is the time of day; `heir` returns the member that took a life
    /// over, by the log.
    pub fn handle_message(
        &mut self,
        wall: Micros,
        from: &Life,
        message: Message,
        heir: &dyn Fn(&Life) -> Option<Name>,
    ) {
        match message {
            Message::Request { key, number, until } if key.is_valid() && until > wall => {
                let answer = self.reserve(wall, from, key, number, until);
                self.send(from.name.clone(), Message::Reply { key, number, answer });
            }
            // Without the authority the result is not recorded: it is sent again, to the member that has
            // the authority by then.
            Message::Result { key, number, until, accepted }
                if key.is_valid() && self.slot_with_authority(key.slot).is_some() =>
            {
                self.record_result(wall, Entry { by: from.clone(), number, until, accepted }, key);
                self.send(from.name.clone(), Message::ResultRecorded { key, number });
            }
            Message::ResultReply { key, of, number, accepted } if key.is_valid() => {
                let may = of.name == from.name || heir(&of).is_some_and(|heir| heir == from.name);
                let held = self.keys.get(&key).filter(|held| held.by == of && held.number == number);
                if let (true, Some(held), Some(_)) = (may, held.cloned(), self.slot_with_authority(key.slot))
                {
                    self.record_result(wall, Entry { accepted, ..held }, key);
                }
            }
            Message::TransferPart { .. } => self.handle_transfer_part(from.name.clone(), message),
            Message::TransferAck { slot, epoch, folder, upto, done } => {
                self.handle_transfer_ack(&from.name, (slot, epoch, folder), upto, done)
            }
            _ => {}
        }
        self.drop_excess_entries();
    }

    /// Removes expired entries, queries reservations without a result and continues transfers. Called about
    /// as often as a lost message should be repeated.
    pub fn tick(&mut self, wall: Micros, heir: &dyn Fn(&Life) -> Option<Name>) {
        while let Some((_, key)) = self.by_expiry.first().copied().filter(|(end, _)| *end <= wall) {
            self.remove(key);
        }
        let from = self.query_cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let queried: Vec<ReservationKey> =
            self.unsettled.range((from, Bound::Unbounded)).take(self.limits.at_once).copied().collect();
        self.query_cursor = queried.last().copied().filter(|_| queried.len() == self.limits.at_once);
        for key in queried {
            let Some(entry) = self.keys.get(&key) else { continue };
            let (of, number) = (entry.by.clone(), entry.number);
            if let Some(heir) = heir(&of).filter(|heir| *heir != of.name) {
                self.send(heir, Message::ResultQuery { key, of: of.clone(), number });
            }
            self.send(of.name.clone(), Message::ResultQuery { key, of, number });
        }
        let from = self.transfer_cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let slots: Vec<u16> = self
            .outgoing
            .range((from, Bound::Unbounded))
            .take(self.limits.at_once)
            .map(|(at, _)| *at)
            .collect();
        self.transfer_cursor = slots.last().copied().filter(|_| slots.len() == self.limits.at_once);
        for at in slots {
            self.send_part(at);
        }
    }

    /// Writes the changes, then returns all messages whose changes are durable. Messages wait until the
    /// batch of changes before them is durable.
    pub fn take_messages(&mut self, store: &mut dyn Store) -> Vec<(Name, Message)> {
        if !self.ops.is_empty() || !self.unbatched.is_empty() {
            let batch = store.write(std::mem::take(&mut self.ops));
            for (to, message) in std::mem::take(&mut self.unbatched) {
                if self.waiting.len() < self.limits.waiting {
                    self.waiting.push_back((batch, to, message));
                }
            }
        }
        let mut out = Vec::new();
        while self.waiting.front().is_some_and(|(batch, ..)| *batch <= store.durable()) {
            out.extend(self.waiting.pop_front().map(|(_, to, message)| (to, message)));
        }
        out
    }

    fn slot_with_authority(&self, at: u16) -> Option<&Slot> {
        self.slots.get(&at).filter(|slot| slot.has_authority)
    }

    fn reserve(&mut self, wall: Micros, by: &Life, key: ReservationKey, number: u64, until: Micros) -> Reply {
        let Some(forgotten_until) = self.slot_with_authority(key.slot).map(|slot| slot.forgotten_until)
        else {
            return Reply::Unsettled;
        };
        match self.keys.get(&key).filter(|held| held.until > wall) {
            Some(held) if held.accepted => Reply::AcceptedAt(held.by.name.clone()),
            Some(held) if held.by == *by && held.number == number => Reply::New,
            Some(_) => Reply::Unsettled,
            // The name may be a forgotten one.
            None if forgotten_until > wall => Reply::Unsettled,
            None => {
                self.put(key, Entry { by: by.clone(), number, until, accepted: false });
                Reply::New
            }
        }
    }

    fn record_result(&mut self, wall: Micros, entry: Entry, key: ReservationKey) {
        let held = self.keys.get(&key).filter(|held| held.until > wall);
        let its = held.is_some_and(|held| held.by == entry.by && held.number == entry.number);
        match (held.is_some(), its, entry.accepted) {
            // The message was accepted where it arrived, because this home was unreachable.
            (false, _, true) if entry.until > wall => self.put(key, entry),
            (true, true, true) => self.put(key, entry),
            (true, true, false) if held.is_some_and(|held| !held.accepted) => self.remove(key),
            _ => {}
        }
    }

    /// Starts the transfer of a slot whose authority is here if the slot belongs to another member.
    fn start_transfer(&mut self, at: u16) {
        let Some(mut slot) = self.slot_with_authority(at).cloned() else { return };
        let owner = self.homes.owner(usize::from(at)).and_then(|place| self.homes.list().name(place));
        if let Some(to) = owner.filter(|owner| **owner != self.own_name) {
            slot.has_authority = false;
            slot.epoch += 1;
            slot.transfer_to = Some((to.clone(), None));
            self.put_slot(at, slot);
            self.outgoing.insert(at, None);
        }
    }

    fn send_part(&mut self, at: u16) {
        let Some(slot) = self.slots.get(&at).cloned() else { return };
        let Some((to, folder)) = slot.transfer_to else { return };
        let after = self.outgoing.get(&at).copied().flatten();
        let from = after.map_or(Bound::Included(ReservationKey::first(at)), Bound::Excluded);
        let mut part = self.keys.range((from, Bound::Included(ReservationKey::last(at))));
        let entries: Vec<_> = part
            .by_ref()
            .take(self.limits.part.clamp(1, MAX_PART_ENTRIES))
            .map(|(key, entry)| (*key, entry.clone()))
            .collect();
        let last = part.next().is_none();
        self.send(
            to,
            Message::TransferPart {
                slot: at,
                epoch: slot.epoch,
                folder,
                forgotten_until: slot.forgotten_until,
                after,
                entries,
                last,
            },
        );
    }

    fn handle_transfer_ack(
        &mut self,
        from: &Name,
        (at, epoch, folder): (u16, u64, Start),
        upto: Option<ReservationKey>,
        done: bool,
    ) {
        let Some(mut slot) = self.slots.get(&at).cloned().filter(|slot| slot.epoch == epoch) else { return };
        match &slot.transfer_to {
            Some((to, None)) if to == from => {
                // From here on the slot goes to that folder or to nobody: a member that lost its folder may
                // have had the authority, and more entries than this member knows.
                slot.transfer_to = Some((to.clone(), Some(folder)));
                self.put_slot(at, slot.clone());
            }
            Some((to, Some(bound))) if to == from && *bound == folder => {}
            _ => return,
        }
        if !done {
            if let Some(cursor) = self.outgoing.get_mut(&at) {
                *cursor = upto.filter(|key| key.slot == at);
                self.send_part(at);
            }
            return;
        }
        slot.transfer_to = None;
        self.outgoing.remove(&at);
        self.put_slot(at, slot);
        let gone: Vec<ReservationKey> = self
            .keys
            .range(ReservationKey::first(at)..=ReservationKey::last(at))
            .map(|(key, _)| *key)
            .collect();
        gone.into_iter().for_each(|key| self.remove(key));
    }

    fn handle_transfer_part(&mut self, from: Name, message: Message) {
        let Message::TransferPart { slot: at, epoch, folder, forgotten_until, after, entries, last } =
            message
        else {
            return;
        };
        let is_valid = |key: &ReservationKey| key.slot == at && key.is_valid();
        if usize::from(at) >= SLOTS
            || entries.len() > MAX_PART_ENTRIES
            || !entries.iter().all(|(key, _)| is_valid(key))
        {
            return;
        }
        let mut slot = self.slots.get(&at).cloned().unwrap_or_default();
        let took = |upto, done| Message::TransferAck { slot: at, epoch, folder: self.folder, upto, done };
        if slot.epoch >= epoch {
            // Already received; the authority may have been transferred again since.
            return self.send(from, took(None, true));
        }
        let upto = self.incoming.get(&at).filter(|(of, _)| *of == epoch).and_then(|(_, upto)| *upto);
        if folder != Some(self.folder) {
            if folder.is_none() {
                self.send(from, took(None, false));
            }
            return;
        }
        if after.is_some() && after != upto {
            // An older part, or this life started after it was sent: the transfer continues at the last key
            // received here.
            return self.send(from, took(upto, false));
        }
        let upto = entries.last().map(|(key, _)| *key).or(after);
        let said = took(upto, last);
        for (key, entry) in entries {
            self.put(key, entry);
        }
        // Entries of the slot dropped during the transfer count as forgotten as well.
        slot.forgotten_until = slot.forgotten_until.max(forgotten_until);
        if last {
            (slot.epoch, slot.has_authority, slot.transfer_to) = (epoch, true, None);
            self.incoming.remove(&at);
            self.outgoing.remove(&at);
        } else {
            self.incoming.insert(at, (epoch, upto));
        }
        self.put_slot(at, slot);
        self.send(from, said);
        self.start_transfer(at);
    }

    /// Drops entries beyond the limit. Each dropped entry raises its slot's forgotten-until time, which is
    /// transferred with the slot.
    fn drop_excess_entries(&mut self) {
        while self.keys.len() > self.limits.entries {
            let Some((until, key)) = self.by_expiry.first().copied() else { return };
            let mut slot = self.slots.get(&key.slot).cloned().unwrap_or_default();
            slot.forgotten_until = slot.forgotten_until.max(until);
            self.put_slot(key.slot, slot);
            self.remove(key);
        }
    }

    fn put(&mut self, key: ReservationKey, entry: Entry) {
        self.remove_indexes(key);
        self.by_expiry.insert((entry.until, key));
        if !entry.accepted {
            self.unsettled.insert(key);
        }
        self.keys.insert(key, entry.clone());
        self.ops.push(Op::Put(key, entry));
    }

    fn remove(&mut self, key: ReservationKey) {
        self.remove_indexes(key);
        self.keys.remove(&key);
        self.ops.push(Op::Remove(key));
    }

    fn remove_indexes(&mut self, key: ReservationKey) {
        if let Some(old) = self.keys.get(&key) {
            self.by_expiry.remove(&(old.until, key));
            self.unsettled.remove(&key);
        }
    }

    fn put_slot(&mut self, at: u16, slot: Slot) {
        self.slots.insert(at, slot.clone());
        self.ops.push(Op::Slot(at, slot));
    }

    fn send(&mut self, to: Name, message: Message) {
        if self.unbatched.len() < self.limits.waiting {
            self.unbatched.push((to, message));
        }
    }
}
