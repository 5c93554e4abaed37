//! Directory lists, converted for the decision library.

use super::Node;
use super::api::Output;
use super::state::TimerKey;
use crate::directory::DirectoryEvent;
use heronroute::{DestId, EndpointEntry, EndpointId, Event, Status};
use heronroute_config::Listing;
use std::collections::BTreeSet;

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
        let mut entries = Vec::new();
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
            let (endpoint, moved) = self.endpoints.upsert(&e.name, e.address, kind, dest);
            if self.held.is_some() {
                self.endpoints[endpoint].number = self.trail_number(&e.name);
            }
            self.endpoints.set_listed(endpoint, status != Status::Removed);
            if moved {
                self.close_idle_connections(endpoint);
            }
            let zone = self.zones.iter().position(|z| *z == e.zone).unwrap_or_else(|| {
                self.zones.push(e.zone.clone());
                self.zones.len() - 1
            });
            entries.push(EndpointEntry { endpoint, dest, status, kind, zone, weight: e.weight });
            if status == Status::Removed {
                self.close_idle_connections(endpoint);
            }
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
}
