//! Directory lists, converted for the decision library.

use super::Node;
use super::address_claims::ClaimRank;
use super::api::Output;
use super::endpoints::{DirectoryEntry, EntryEffect, Upserted};
use super::state::TimerKey;
use crate::Micros;
use crate::directory::DirectoryEvent;
use heronroute::{DestId, EndpointEntry, EndpointId, Event, Status};
use heronroute_config::{EndpointConfig, Listing};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The most zones that are told apart.
const MAX_ZONES: usize = 64;

/// What a list changes.
#[derive(Debug, Default)]
struct ListUpdate {
    /// The entries for the decision library.
    entries: Vec<EndpointEntry>,
    /// The endpoints that the list names.
    named: BTreeSet<EndpointId>,
    /// The endpoints that a whole list does not name.
    gone: Vec<EndpointId>,
    /// The endpoints as which another process runs, and how long ago it started.
    replaced: Vec<(EndpointId, Micros)>,
    /// The addresses of the endpoints concerned, before and after.
    addresses: BTreeSet<SocketAddr>,
    /// The number of entries for which there is no room.
    without_room: usize,
}

impl ListUpdate {
    /// Returns the endpoints that take no further calls.
    fn down(&self) -> Vec<EndpointId> {
        let down = self.entries.iter().filter(|e| e.status != Status::Up).map(|e| e.endpoint);
        down.chain(self.gone.iter().copied()).collect()
    }
}

impl Node {
    /// Subscribes to the directory's lists.
    pub(crate) fn subscribe(&mut self) {
        if !self.directory.subscribe(self.now) {
            self.events.push(Event::DirectoryFailed);
        }
        self.schedule_directory();
    }

    /// Sets the directory's timer.
    pub(crate) fn schedule_directory(&mut self) {
        self.timers.set(TimerKey::Directory, self.directory.wake());
    }

    /// Handles lists and failures that the directory reported.
    pub(crate) fn handle_directory_events(&mut self, events: Vec<DirectoryEvent>) {
        for event in events {
            match event {
                DirectoryEvent::List(listing) => {
                    self.stats.lists += 1;
                    self.apply_listing(&listing);
                    self.outputs.extend(self.directory.text().map(Output::SaveList));
                }
                DirectoryEvent::Failed(why) => {
                    self.stats.list_failures += 1;
                    tracing::warn!(why, "the directory failed; the last list holds");
                    self.events.push(Event::DirectoryFailed);
                }
            }
        }
        self.schedule_directory();
    }

    /// Applies a directory list: updates the endpoint table and passes the list to the decision library.
    /// Entries of an unknown kind are skipped.
    pub(crate) fn apply_listing(&mut self, listing: &Listing) {
        self.lists_applied += 1;
        let mut update = ListUpdate::default();
        listing.endpoints.iter().for_each(|entry| self.apply_entry(entry, &mut update));
        if update.without_room > 0 {
            let without_room = update.without_room;
            tracing::warn!(
                without_room,
                "there is no memory for further endpoints of the list; they are not used"
            );
        }
        if listing.whole {
            self.remove_unnamed(&mut update);
        }
        self.settle_addresses(&mut update);
        let down = update.down();
        tracing::debug!(
            now = self.now,
            whole = listing.whole,
            changes = update.entries.len(),
            ?down,
            replaced = ?update.replaced,
            "applying a directory list"
        );
        self.events.push(Event::DirectoryUpdate { whole: listing.whole, entries: update.entries });
        for (endpoint, ago) in &update.replaced {
            self.events.push(Event::EndpointReplaced { endpoint: *endpoint, ago: *ago });
        }
        down.into_iter().for_each(|e| self.cancel_unsent_calls(e));
    }

    /// Applies one entry of a list.
    fn apply_entry(&mut self, entry: &EndpointConfig, update: &mut ListUpdate) {
        let Some(kind) = self.cfg.kinds.iter().position(|k| k.name == entry.kind) else {
            tracing::warn!(
                endpoint = entry.name,
                kind = entry.kind,
                "an endpoint of an unknown kind is not used"
            );
            return;
        };
        let (dest, status, started_ms) = (DestId(entry.destination), entry.status, entry.started_ms);
        let in_table = DirectoryEntry { address: entry.address, kind, dest, started_ms };
        let Some(Upserted { endpoint, effect, former }) = self.endpoints.upsert(&entry.name, in_table) else {
            update.without_room += 1;
            return;
        };
        if let Some(former) = former {
            self.remove_listed(former, update);
        }
        if self.held.is_some() {
            self.endpoints[endpoint].number = self.trail_number(&entry.name);
        }
        self.note_process(endpoint, effect, started_ms, update);
        let zone = self.zone_number(&entry.zone);
        let listed_as = EndpointEntry { endpoint, dest, status, kind, zone, weight: entry.weight };
        self.endpoints[endpoint].listed_as = Some(listed_as);
        update.entries.push(listed_as);
        update.named.insert(endpoint);
        update.addresses.insert(entry.address);
        self.endpoints.set_listed(endpoint, status != Status::Removed);
        if status == Status::Removed {
            update.addresses.extend(self.endpoints.claims.withdraw(endpoint));
            return self.close_idle_connections(endpoint);
        }
        let started_ms = self.endpoints[endpoint].started_ms;
        let rank = ClaimRank { list: self.lists_applied, serves: status == Status::Up, started_ms };
        update.addresses.extend(self.endpoints.claims.claim(endpoint, entry.address, rank));
    }

    /// Notes which process runs as an endpoint. The connections to an earlier one carry no further calls.
    fn note_process(
        &mut self,
        endpoint: EndpointId,
        effect: EntryEffect,
        started_ms: u64,
        update: &mut ListUpdate,
    ) {
        match effect {
            EntryEffect::Same => {}
            EntryEffect::Added if started_ms == 0 => {}
            EntryEffect::Added => {
                let started = i64::try_from(started_ms).unwrap_or(i64::MAX).saturating_mul(1_000);
                update.replaced.push((endpoint, self.wall().saturating_sub(started)));
            }
            EntryEffect::Replaced => {
                tracing::info!(
                    endpoint = self.endpoints[endpoint].name,
                    "another process runs as an endpoint"
                );
                self.stats.endpoints_replaced += 1;
                update.replaced.push((endpoint, 0));
                self.retire_connections(endpoint);
            }
        }
    }

    /// Removes the listed endpoints that a whole list does not name.
    fn remove_unnamed(&mut self, update: &mut ListUpdate) {
        let gone: Vec<EndpointId> = self.endpoints.listed().filter(|e| !update.named.contains(e)).collect();
        for endpoint in gone {
            self.endpoints.set_listed(endpoint, false);
            update.addresses.extend(self.endpoints.claims.withdraw(endpoint));
            update.gone.push(endpoint);
        }
    }

    /// Removes an endpoint whose name the list has given to another destination or kind.
    fn remove_listed(&mut self, endpoint: EndpointId, update: &mut ListUpdate) {
        self.endpoints.set_listed(endpoint, false);
        update.addresses.extend(self.endpoints.claims.withdraw(endpoint));
        let listed_as = self.endpoints[endpoint].listed_as;
        update.entries.extend(listed_as.map(|entry| EndpointEntry { status: Status::Removed, ..entry }));
        self.retire_connections(endpoint);
    }

    /// Decides whose the addresses are that a list names. An endpoint whose address is another's is removed for the
    /// decision library until the directory says otherwise.
    fn settle_addresses(&mut self, update: &mut ListUpdate) {
        for address in std::mem::take(&mut update.addresses) {
            for (endpoint, owns) in self.endpoints.claims.claimants(address) {
                let Some(listed_as) = self.endpoints[endpoint].listed_as else { continue };
                let was_displaced = std::mem::replace(&mut self.endpoints[endpoint].displaced, !owns);
                if !owns {
                    update.entries.push(EndpointEntry { status: Status::Removed, ..listed_as });
                } else if was_displaced && !update.named.contains(&endpoint) {
                    update.entries.push(listed_as);
                }
                if !owns && !was_displaced {
                    tracing::info!(endpoint = self.endpoints[endpoint].name, %address, "its address is another's now");
                    self.retire_connections(endpoint);
                }
            }
        }
    }

    /// Returns the number of a zone. Beyond [`MAX_ZONES`], zones share the last number.
    fn zone_number(&mut self, name: &str) -> usize {
        let known = self.zones.iter().position(|zone| zone == name);
        known.unwrap_or_else(|| {
            if self.zones.len() < MAX_ZONES {
                self.zones.push(name.to_string());
            }
            self.zones.len() - 1
        })
    }
}
