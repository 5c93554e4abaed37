//! The directory's lists, put into the decision library's words.

use super::Node;
use super::api::Output;
use super::state::Key;
use crate::directory::DirectoryEvent;
use heronroute::{DestId, EndpointEntry, EndpointId, Event, Status};
use heronroute_config::Listing;
use std::collections::BTreeSet;

impl Node {
    pub(crate) fn subscribe(&mut self) {
        if !self.directory.subscribe(self.now) {
            self.events.push(Event::DirectoryFailed);
        }
        self.schedule_directory();
    }

    pub(crate) fn schedule_directory(&mut self) {
        self.timers.set(Key::Directory, self.directory.wake());
    }

    pub(crate) fn heard(&mut self, heard: Vec<DirectoryEvent>) {
        for h in heard {
            match h {
                DirectoryEvent::List(listing) => {
                    self.stats.lists += 1;
                    self.members(&listing);
                    self.outputs.extend(self.directory.text().map(Output::Keep));
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

    /// Puts a listing into the decision library's words. What names an unknown kind is passed over.
    pub(crate) fn members(&mut self, listing: &Listing) {
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
            let (endpoint, moved) = self.remotes.entry(&e.name, e.address, kind, dest);
            if self.held.is_some() {
                self.remotes[endpoint].number = self.trail_number(&e.name);
            }
            self.remotes.list(endpoint, status != Status::Removed);
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
            let gone: Vec<EndpointId> = self.remotes.listed().filter(|e| !named.contains(e)).collect();
            gone.iter().for_each(|e| self.remotes.list(*e, false));
            down.extend(gone);
        }
        tracing::debug!(now = self.now, whole = listing.whole, changes = entries.len(), ?down, "a list");
        self.events.push(Event::DirectoryUpdate { whole: listing.whole, entries });
        down.into_iter().for_each(|e| self.cancel_unsent_calls(e));
    }
}
