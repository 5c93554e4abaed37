//! A client's backlog is let go, at the pace that the room allows.

use crate::Micros;
use crate::node::{Key, Node, Releasing};
use heronroute_held::{Pace, Query, Release};

/// What a release let go should be answered within this.
const PATIENCE: Micros = 200_000;

/// How often a release looks whether it may let something go.
const LOOK: Micros = 20_000;

impl Node {
    /// Begins to let a client's backlog go, of one destination or all.
    pub(crate) fn release(&mut self, client: usize, destination: Option<i64>) -> (String, &'static str) {
        let Some(store) = &self.held else { return ("stat:NOTFOUND".to_string(), "NOTFOUND") };
        let (held, ..) = store.of(client as u32);
        let pace = Pace {
            least: 5.0,
            most: 10_000.0,
            // What is let go fills no more than a tenth of the room: the rest is for live traffic.
            out: (self.cfg.settings.max_open as usize / 10).max(1),
            span: 1_000_000,
            patience: PATIENCE,
        };
        let release = Release::new(self.now, pace);
        let releasing = Releasing { release, destination, after: None, went: 0, passed_over: 0 };
        self.releasing.insert(client, releasing);
        self.timers.set(Key::Release(client), self.now);
        (format!("stat:RELEASING held:{held}"), "RELEASING")
    }

    /// Lets go what the pace allows.
    pub(crate) fn release_on(&mut self, client: usize) {
        let Some(r) = self.releasing.get_mut(&client) else { return };
        let n = r.release.may(self.now);
        let (destination, after) = (r.destination, r.after);
        let query = Query { client: Some(client as u32), destination, held: true, after, ..Query::default() };
        let page = self.held.as_ref().filter(|_| n > 0).map(|s| s.list(&query, n));
        let last = page.as_ref().is_some_and(|p| p.ids.is_empty() && p.next.is_none());
        let (ids, next) = page.map_or((Vec::new(), None), |p| (p.ids, p.next));
        let mut at = next;
        for id in ids {
            if !self.may_release(client, id) {
                // Its client holds it back: it is asked for again.
                at = self.releasing.get(&client).and_then(|r| r.after);
                break;
            }
            let (_, state) = self.again(client, id, false);
            if state == "ENROUTE" {
                self.record_release(client, id);
            }
            let Some(r) = self.releasing.get_mut(&client) else { return };
            match state {
                "ENROUTE" => {
                    r.release.let_go();
                    r.went += 1;
                }
                "BUSY" => {
                    // No room just now: it is asked for again, later and more slowly.
                    r.release.crowded();
                    at = r.after;
                    break;
                }
                _ => r.passed_over += 1,
            }
            r.after = Some(id);
            at = at.max(Some(id));
        }
        if let Some(r) = self.releasing.get_mut(&client) {
            r.after = at.max(r.after);
            if last {
                tracing::info!(client, went = r.went, passed_over = r.passed_over, "a backlog was let go");
                self.releasing.remove(&client);
                return;
            }
        }
        self.timers.set(Key::Release(client), self.now + LOOK);
    }

    /// Live traffic was turned away for want of room.
    pub(crate) fn crowded(&mut self) {
        self.releasing.values_mut().for_each(|r| r.release.crowded());
    }
}
