//! What the members' part says.

use super::Installation;
use crate::Micros;
use crate::wire::Wire;
use heronroute_fleet::members::{Change, Output};
use heronroute_journal::Storage;

impl<S: Storage> Installation<S> {
    pub(super) fn swim(&mut self, now: Micros) {
        while let Some(output) = self.members.next_output() {
            match output {
                Output::Send(peer, octets) => self.send(peer, &Wire::Gossip(&octets)),
                Output::Change(change) => self.member_changed(now, change),
            }
        }
    }

    fn member_changed(&mut self, now: Micros, change: Change) {
        match change {
            Change::Standing { peer, life, standing, .. } => {
                tracing::info!(member = %life.name, start = life.start.0, ?standing, "standing");
                self.region_standing(now, &life, standing);
                let zone = self.cfg.peers.get(peer).map_or("", |p| p.zone.as_str());
                if let Some(watch) = &mut self.watch {
                    watch.detector_mut().members(now, &life, zone, standing);
                }
            }
            Change::Stale(stale) => tracing::info!(stale, "what is believed of others"),
            // The elder one keeps still until the later one is gone; raised above it, the two would never end.
            Change::SharedName(life) if life.name == self.cfg.own.name && life.start > self.cfg.own.start => {
                tracing::error!(start = life.start.0, "another process bears this member's name");
                if self.outlived.replace(life.start.max(self.outlived.unwrap_or_default())).is_none() {
                    self.end_asks();
                }
            }
            Change::SharedName(life) => tracing::error!(member = %life.name, "two processes bear one name"),
            Change::Behind(start) => self.over(start),
        }
    }
}
