//! What is due as time goes on, and when the next turn is.

use super::Installation;
use crate::Micros;
use crate::machine::Body;
use crate::seam::Output;
use crate::wire::Piece;
use heronroute_drift::detector::STEP;
use heronroute_journal::Storage;
use heronroute_rules::registry::Command;

/// Having been declared dead shows for so long.
pub(super) const DOUBTED: Micros = 10_000_000;

impl<S: Storage> Installation<S> {
    pub(super) fn time(&mut self, now: Micros) {
        self.replicas.tick(now);
        self.still |= self.outlived.is_some() && self.members.stale();
        if self.still && self.members.awake() {
            // Members answer this life again: the one that held its name is gone.
            (self.outlived, self.still) = (None, false);
        }
        while let Some(ask) = self.open.late(now) {
            self.nothing_known(&ask);
        }
        while let Some(late) = self.weighings.late(now) {
            self.weighed(Some(late));
        }
        self.lead(now);
        self.region_time(now);
        self.probe(now);
        self.report(now);
    }

    /// In charge: the detector's time, plans that are to be cut, and what is left to the next one.
    fn lead(&mut self, now: Micros) {
        let Some(charge) = self.in_charge(now) else {
            self.unsent.clear();
            return;
        };
        let Some(watch) = &mut self.watch else { return };
        watch.detector_mut().tick(now);
        if let Some(body) = watch.save(now, self.cfg.pace.save) {
            self.errands.add(body);
        }
        if self.machine.registry().due().is_some_and(|due| due <= self.wall) && self.errands.idle() {
            self.errands.add(Body::Rules(Command::Tick));
        }
        self.roll(now, charge.term);
    }

    fn probe(&mut self, now: Micros) {
        if now < self.probe_at {
            return;
        }
        self.probe_at = now.saturating_add(self.cfg.pace.probe);
        if let Some(apply) = self.applier.probe().filter(|_| self.allows().applies) {
            self.reports.asked(now);
            self.outputs.push(Output::Apply(apply));
        }
    }

    fn report(&mut self, now: Micros) {
        if now < self.report_at || now < self.report_soon {
            return;
        }
        let rolling = self.machine.waves().running();
        let every = if rolling { self.cfg.pace.report_rolling } else { self.cfg.pace.report };
        self.report_at = now.saturating_add(every.min(self.cfg.pace.report));
        self.report_soon = now.saturating_add(self.cfg.pace.report_soon);
        // What a hung node said last may be no more so, and silence is never taken for well.
        if !self.allows().reports || self.reports.hung(now, self.cfg.pace.hung) {
            return;
        }
        let report = self.reports.reporter.report(self.health);
        self.report_to_charge(now, Piece::Report { report, sent: now });
    }

    pub(super) fn wake(&self, now: Micros) -> Micros {
        let watch = self.watch.as_ref().and_then(|watch| watch.detector().next(now));
        // Only where they may leave: else the turn would be taken again and again for them.
        let applies = self.applier.waits() && self.allows().applies;
        // Until members were heard of there is no next wave, and no other word of it.
        let rolls = self.in_charge(now).is_some() && self.machine.waves().running();
        let unsent = rolls.then(|| now.saturating_add(10 * STEP));
        let rest = [
            watch,
            unsent,
            self.open.wake(),
            self.weighings.wake(),
            self.errands.wake(),
            applies.then_some(now),
            self.region_wake(),
        ];
        let report = self.report_at.max(self.report_soon);
        let own = self.members.wake().min(self.replicas.next_wake()).min(report).min(self.probe_at);
        // Always in the future, so that a turn that could do nothing is not followed by one at the same time.
        rest.into_iter().flatten().fold(own, Micros::min).max(now.saturating_add(1))
    }
}
