//! Directory lists, converted for the decision library.

use super::Node;
use super::api::Output;
use super::state::TimerKey;
use crate::directory::DirectoryEvent;
use heronroute::{DestId, EndpointEntry, EndpointId, Event, Status};
use heronroute_config::Listing;
use std::collections::BTreeSet;

/// The most zones that are told apart.
const MAX_ZONES: usize = 64;

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
        let (mut entries, mut without_room) = (Vec::new(), 0);
        for e in &listing.endpoints {
            let Some(kind) = self.cfg.kinds.iter().position(|k| k.name == e.kind) else {
                tracing::warn!(
                    endpoint = e.name,
                    kind = e.kind,
                    "an endpoint of an unknown kind is not used"
                );
                continue;
            };
            let (dest, status) = (DestId(e.destination), e.status);
            let Some((endpoint, moved)) = self.endpoints.upsert(&e.name, e.address, kind, dest) else {
                without_room += 1;
                continue;
            };
            if self.held.is_some() {
                self.endpoints[endpoint].number = self.trail_number(&e.name);
            }
            self.endpoints.set_listed(endpoint, status != Status::Removed);
            if moved {
                self.close_idle_connections(endpoint);
            }
            let zone = self.zone_number(&e.zone);
            entries.push(EndpointEntry { endpoint, dest, status, kind, zone, weight: e.weight });
            if status == Status::Removed {
                self.close_idle_connections(endpoint);
            }
        }
        if without_room > 0 {
            tracing::warn!(
                without_room,
                "there is no memory for further endpoints of the list; they are not used"
            );
        }
        let mut down: Vec<EndpointId> =
            entries.iter().filter(|e| e.status != Status::Up).map(|e| e.endpoint).collect();
        if listing.whole {
            let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
            let gone: Vec<EndpointId> = self.endpoints.listed().filter(|e| !named.contains(e)).collect();
            gone.iter().for_each(|e| self.endpoints.set_listed(*e, false));
            down.extend(gone);
        }
        tracing::debug!(
            now = self.now,
            whole = listing.whole,
            changes = entries.len(),
            ?down,
            "applying a directory list"
        );
        self.events.push(Event::DirectoryUpdate { whole: listing.whole, entries });
        down.into_iter().for_each(|e| self.cancel_unsent_calls(e));
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
