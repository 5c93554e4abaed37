//! Timers: what is due, and when the next turn is.

use super::Installation;
use crate::Micros;
use crate::machine::Body;
use crate::seam::Output;
use crate::wire::Piece;
use heronroute_drift::detector::MIN_CHECK_INTERVAL;
use heronroute_journal::Storage;
use heronroute_rules::registry::Command;

/// How long a member that was declared dead stays in the condition `suspected`.
pub(super) const SUSPECTED_FOR: Micros = 10_000_000;

impl<S: Storage> Installation<S> {
    pub(super) fn run_timers(&mut self, now: Micros) {
        self.replicas.tick(now);
        self.silenced |= self.outlived.is_some() && self.members.stale();
        if self.silenced && self.members.awake() {
            // Members answer this life again: the other process of its name is gone.
            (self.outlived, self.silenced) = (None, false);
        }
        while let Some(client_request) = self.pending.take_expired(now) {
            self.answer_unknown(&client_request);
        }
        while let Some(late) = self.dry_runs.take_expired(now) {
            self.finish_dry_run(Some(late));
        }
        self.run_leader_timers(now);
        self.region_timers(now);
        self.probe_if_due(now);
        self.report_if_due(now);
    }

    /// Does the leader's timed work: the detector's timers, cuts of plans that are due, and saving of
    /// findings.
    fn run_leader_timers(&mut self, now: Micros) {
        let Some(lease) = self.in_charge(now) else {
            self.unstarted_since.clear();
            return;
        };
        let Some(drift_monitor) = &mut self.drift_monitor else { return };
        drift_monitor.detector_mut().tick(now);
        if let Some(body) = drift_monitor.take_findings(now, self.cfg.timing.save_interval) {
            self.proposals.add(body);
        }
        if self.machine.registry().due().is_some_and(|due| due <= self.wall) && self.proposals.idle() {
            self.proposals.add(Body::Rules(Command::Tick));
        }
        self.propose_rollout_steps(now, lease.term);
    }

    fn probe_if_due(&mut self, now: Micros) {
        if now < self.probe_at {
            return;
        }
        self.probe_at = now.saturating_add(self.cfg.timing.probe_interval);
        if let Some(apply) = self.applier.next_probe().filter(|_| self.allows().applies) {
            self.reports.expect_answers(now);
            self.outputs.push(Output::Apply(apply));
        }
    }

    fn report_if_due(&mut self, now: Micros) {
        if now < self.report_at || now < self.report_soon {
            return;
        }
        let rolling = self.machine.waves().running();
        let every =
            if rolling { self.cfg.timing.rollout_report_interval } else { self.cfg.timing.report_interval };
        self.report_at = now.saturating_add(every.min(self.cfg.timing.report_interval));
        self.report_soon = now.saturating_add(self.cfg.timing.min_report_interval);
        // What a hung node reported last may be outdated, and its silence must not count as health.
        if !self.allows().reports || self.reports.hung(now, self.cfg.timing.hung_after) {
            return;
        }
        let report = self.reports.reporter.report(self.health);
        self.send_to_leader(now, Piece::Report { report, sent: now });
    }

    pub(super) fn next_wake(&self, now: Micros) -> Micros {
        let drift_monitor =
            self.drift_monitor.as_ref().and_then(|drift_monitor| drift_monitor.detector().next(now));
        // Only where they may be sent: otherwise turns would repeat without end.
        let applies = self.applier.has_due() && self.allows().applies;
        // Before members have reported, no wave can start and nothing else wakes the rollout.
        let rolls = self.in_charge(now).is_some() && self.machine.waves().running();
        let unsent = rolls.then(|| now.saturating_add(10 * MIN_CHECK_INTERVAL));
        let rest = [
            drift_monitor,
            unsent,
            self.pending.wake(),
            self.dry_runs.wake(),
            self.proposals.wake(),
            applies.then_some(now),
            self.region_wake(),
        ];
        let report = self.report_at.max(self.report_soon);
        let own = self.members.wake().min(self.replicas.next_wake()).min(report).min(self.probe_at);
        // Always in the future, so that a turn that could do nothing is not followed by one at the same time.
        rest.into_iter().flatten().fold(own, Micros::min).max(now.saturating_add(1))
    }
}
