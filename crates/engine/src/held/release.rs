//! Release of a client's backlog, at the pace that the room allows.

use crate::Micros;
use crate::node::{BacklogRelease, Node, TimerKey};
use heronroute_held::{Pace, Query, Release};

/// The time within which a released message should be answered.
const ANSWER_TARGET: Micros = 200_000;

/// The interval at which a release checks whether it may resubmit more.
const RELEASE_INTERVAL: Micros = 20_000;

impl Node {
    /// Starts the release of a client's backlog, for one destination or all.
    pub(crate) fn start_release(
        &mut self,
        client: usize,
        destination: Option<i64>,
    ) -> (String, &'static str) {
        let Some(store) = &self.held else { return ("stat:NOTFOUND".to_string(), "NOTFOUND") };
        let (held, ..) = store.of(client as u32);
        let pace = Pace {
            least: 5.0,
            most: 10_000.0,
            // Released messages fill no more than a tenth of the room: the rest is for live traffic.
            out: (self.cfg.settings.max_open as usize / 10).max(1),
            span: 1_000_000,
            patience: ANSWER_TARGET,
        };
        let release = Release::new(self.now, pace);
        let backlog = BacklogRelease { release, destination, after: None, resubmitted: 0, skipped: 0 };
        self.releases.insert(client, backlog);
        self.timers.set(TimerKey::Release(client), self.now);
        (format!("stat:RELEASING held:{held}"), "RELEASING")
    }

    /// Resubmits as many messages as the pace allows.
    pub(crate) fn continue_release(&mut self, client: usize) {
        let Some(r) = self.releases.get_mut(&client) else { return };
        let count = r.release.may(self.now);
        let (destination, after) = (r.destination, r.after);
        let query = Query { client: Some(client as u32), destination, held: true, after, ..Query::default() };
        let page = self.held.as_ref().filter(|_| count > 0).map(|s| s.list(&query, count));
        let exhausted = page.as_ref().is_some_and(|p| p.ids.is_empty() && p.next.is_none());
        let (ids, next) = page.map_or((Vec::new(), None), |p| (p.ids, p.next));
        let mut position = next;
        for id in ids {
            if !self.may_release(client, id) {
                // The client's rules hold it back: the release tries it again later.
                position = self.releases.get(&client).and_then(|r| r.after);
                break;
            }
            let (_, state) = self.resubmit_held(client, id, false);
            if state == "ENROUTE" {
                self.record_release(client, id);
            }
            let Some(r) = self.releases.get_mut(&client) else { return };
            match state {
                "ENROUTE" => {
                    r.release.count_release();
                    r.resubmitted += 1;
                }
                "BUSY" => {
                    // There is no room now: the release tries it again, later and at a slower pace.
                    r.release.crowded();
                    position = r.after;
                    break;
                }
                _ => r.skipped += 1,
            }
            r.after = Some(id);
            position = position.max(Some(id));
        }
        if let Some(r) = self.releases.get_mut(&client) {
            r.after = position.max(r.after);
            if exhausted {
                tracing::info!(
                    client,
                    went = r.resubmitted,
                    passed_over = r.skipped,
                    "the release of a backlog is complete"
                );
                self.releases.remove(&client);
                return;
            }
        }
        self.timers.set(TimerKey::Release(client), self.now + RELEASE_INTERVAL);
    }

    /// Slows all releases, after live traffic was refused for lack of room.
    pub(crate) fn slow_releases(&mut self) {
        self.releases.values_mut().for_each(|r| r.release.crowded());
    }
}
