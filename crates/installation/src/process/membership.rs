//! Outputs of the membership protocol.

use super::Installation;
use crate::Micros;
use crate::wire::Wire;
use heronroute_fleet::members::{Change, Output};
use heronroute_journal::Storage;

impl<S: Storage> Installation<S> {
    pub(super) fn drain_membership(&mut self, now: Micros) {
        while let Some(output) = self.members.next_output() {
            match output {
                Output::Send(peer, bytes) => self.send(peer, &Wire::Gossip(&bytes)),
                Output::Change(change) => self.handle_member_change(now, change),
            }
        }
    }

    fn handle_member_change(&mut self, now: Micros, change: Change) {
        match change {
            Change::Standing { peer, life, standing, .. } => {
                tracing::info!(member = %life.name, start = life.start.0, ?standing, "standing");
                self.region_standing(now, &life, standing);
                let zone = self.cfg.peers.get(peer).map_or("", |p| p.zone.as_str());
                if let Some(drift_monitor) = &mut self.drift_monitor {
                    drift_monitor.detector_mut().members(now, &life, zone, standing);
                }
            }
            Change::Stale(stale) => tracing::info!(stale, "membership staleness changed"),
            // The earlier process stays silent until the later one is gone: if both raised their start
            // numbers above each other's, they would never stop.
            Change::SharedName(life) if life.name == self.cfg.own.name && life.start > self.cfg.own.start => {
                tracing::error!(start = life.start.0, "another process has this member's name");
                if self.outlived.replace(life.start.max(self.outlived.unwrap_or_default())).is_none() {
                    self.answer_all_pending();
                }
            }
            Change::SharedName(life) => {
                tracing::error!(member = %life.name, "two processes have the same member name")
            }
            Change::Behind(start) => self.life_is_over(start),
        }
    }
}
