//! The leader's work: it compares reports with what is approved, gives orders, and saves its findings in the
//! log for the next leader.

use crate::Micros;
use crate::config::{Client, PlanSetting};
use crate::fences::Fences;
use crate::machine::{Body, MAX_FINDINGS_BYTES};
use crate::page::Page;
use crate::rollout_view;
use crate::waves::Waves;
use crate::wire::Piece;
use heronroute_drift::{Action, Config, Detector, Output, Report, content};
use heronroute_fleet::replicas::Leadership;
use heronroute_fleet::{Life, Name, Start, Term};
use heronroute_rules::digest::plan_digest;
use heronroute_rules::registry::{Command, Desired, Registry, Viewer};
use std::collections::{BTreeMap, VecDeque};

/// The drift detector with the state that a keeper needs while it leads.
#[derive(Debug)]
pub struct DriftMonitor {
    detector: Detector,
    /// The life of each member that reported last, and when its last counted report was sent, by its own
    /// clock.
    last_reports: BTreeMap<Name, (Start, Micros)>,
    /// Whether there are findings that were not saved yet.
    unsaved: bool,
    saved_at: Option<Micros>,
    /// The last term that this member began; none if it has not led since.
    begun_term: Option<Term>,
    /// When that term began.
    begun_at: Micros,
    /// Fences to set or lift through the log.
    fences: VecDeque<Body>,
}

impl DriftMonitor {
    /// Creates the state of a keeper. `lease` is how long a term counts unless it is confirmed.
    pub fn new(now: Micros, wall: Micros, mut config: Config, lease: Micros) -> Self {
        config.wall = wall.saturating_sub(now);
        config.lease = lease;
        let detector = Detector::new(config);
        DriftMonitor {
            detector,
            last_reports: BTreeMap::new(),
            unsaved: false,
            saved_at: None,
            begun_term: None,
            begun_at: now,
            fences: VecDeque::new(),
        }
    }

    /// Returns the detector.
    pub fn detector(&self) -> &Detector {
        &self.detector
    }

    /// Returns the detector, to report members' states to it.
    pub fn detector_mut(&mut self) -> &mut Detector {
        &mut self.detector
    }

    /// Passes on what is desired for a client.
    pub fn set_desired(&mut self, now: Micros, desired: &Desired) {
        self.detector.desired(
            now,
            &heronroute_drift::Desired {
                client: desired.client.clone(),
                version: desired.set.version,
                digest: content::digest(&desired.set.rules),
                at: now,
                uncut: None,
            },
        );
    }

    /// Updates whether this member leads; called before anything is done as the leader. Returns true where a
    /// term of its own begins, or resumes after its lease had expired: settings that were reloaded, or waited
    /// to be written, meanwhile would otherwise count only from the next term.
    pub fn update_leadership(
        &mut self,
        now: Micros,
        lease: Option<&Leadership>,
        known: Term,
        fences: &Fences,
    ) -> bool {
        let Some(lease) = lease else {
            self.begun_term = None;
            // Also without a greater known term: an expired lease must not be used any more.
            if self.detector.is_leading(now) {
                self.detector.term(now, known.max(self.detector.current_term()), false);
            }
            return false;
        };
        if !self.detector.is_leading(now) {
            // Fences requested before may not have reached the log.
            self.fences.clear();
            self.detector.fences(now, fences.all());
        }
        self.detector.term(now, lease.term, true);
        let begins = self.begun_term.is_none_or(|begun_term| lease.term > begun_term);
        if begins {
            (self.begun_term, self.begun_at) = (Some(lease.term), now);
        }
        begins && self.detector.is_leading(now)
    }

    /// Returns whether a member is present, as a rollout sees it; none while that is not known yet, because
    /// the term has just begun and no report arrived.
    pub fn is_present(&self, now: Micros, name: &Name, grace: Micros) -> Option<bool> {
        let reported = self.detector.heard(now, name);
        let is_new = now < self.begun_at.saturating_add(grace);
        (reported || !is_new || !self.detector.is_alive(name)).then_some(reported)
    }

    /// Handles a report of this life, sent at this time of its clock. An older report that arrives late
    /// through a relay does not count: an order would then answer it and be refused as an old one.
    pub fn report(&mut self, now: Micros, report: &Report, sent: Micros) {
        if self.detector.report(now, report) {
            self.last_reports.insert(report.life.name.clone(), (report.life.start, sent));
        }
    }

    /// Returns the next message to send and its receiver.
    pub fn poll(&mut self) -> Option<(Life, Piece)> {
        while let Some(output) = self.detector.poll() {
            let (to, piece) = match output {
                Output::Ack(ack) => (ack.to.clone(), Piece::Ack(ack)),
                Output::Ask(ask) => (ask.to.clone(), Piece::Ask(ask)),
                Output::Challenge(challenge) => (challenge.to.clone(), Piece::Challenge(challenge)),
                Output::Order(order) => {
                    tracing::info!(term = order.term.0, to = %order.to.name, act = ?order.act, "order");
                    self.unsaved = true;
                    // This queue is emptied along with the detector's, before the next leader acts.
                    let member = &order.to.name;
                    match &order.act {
                        Action::Fence { client } => {
                            self.fences.push_back(Body::fence(order.term, member, client, true));
                            continue;
                        }
                        Action::Lift { client } => {
                            self.fences.push_back(Body::fence(order.term, member, client, false));
                            continue;
                        }
                        _ => {}
                    }
                    let (start, answers) = self.last_reports.get(&order.to.name).copied().unwrap_or_default();
                    // An order for a life that has not reported answers no report and would be refused.
                    if start != order.to.start {
                        continue;
                    }
                    (order.to.clone(), Piece::Order { order, answers })
                }
                Output::Verdict(record) => {
                    self.unsaved = true;
                    tracing::info!(
                        member = %record.member, verdict = record.verdict.word(), term = record.term.0,
                        client = record.client, version = record.version, reason = record.reason, "verdict"
                    );
                    continue;
                }
                Output::Rollout { client, version, progress, .. } => {
                    tracing::info!(client, version, ?progress, "rollout");
                    continue;
                }
                Output::Superseded(term) => {
                    tracing::info!(term = term.0, "another member is the leader");
                    continue;
                }
            };
            return Some((to, piece));
        }
        None
    }

    /// Returns the findings, if they are due to be saved for the next leader.
    pub fn take_findings(&mut self, now: Micros, every: Micros) -> Option<Body> {
        let due = self.saved_at.is_none_or(|at| now >= at.saturating_add(every));
        if !self.unsaved || !due || !self.detector.is_leading(now) {
            return None;
        }
        (self.unsaved, self.saved_at) = (false, Some(now));
        let saved = self.detector.snapshot(MAX_FINDINGS_BYTES);
        (saved.len() <= MAX_FINDINGS_BYTES)
            .then(|| Body::Findings { term: self.detector.current_term(), saved })
    }

    /// Returns the next fence to set or lift.
    pub fn next_fence(&mut self) -> Option<Body> {
        self.fences.pop_front()
    }

    /// Loads the fences in the log, after it was restored as a whole or where this member's own requests may
    /// not have reached it.
    pub fn load_fences(&mut self, now: Micros, fences: &Fences) {
        self.detector.fences(now, fences.all());
    }

    /// Restores what another leader saved.
    pub fn restore_findings(&mut self, now: Micros, saved: &[u8]) {
        if !saved.is_empty() && self.detector.restore(now, saved).is_err() {
            tracing::warn!("the findings saved by the previous leader can't be read");
        }
    }

    /// Returns a page of the answer to `fleet/drift`.
    pub fn drift_page(&self, now: Micros, majority: bool, waves: &Waves, page: &Page) -> String {
        // Rollouts are taken from the log: the detector knows only those that it monitors.
        let records = self.detector.history().records();
        page.shown(&self.detector.view(now), majority, &rollout_view::all(waves), records)
    }
}

/// Returns the proposals that begin a term: they bring the plans in the log in line with this member's
/// settings.
pub fn term_start_proposals(
    registry: &Registry,
    clients: &BTreeMap<String, Client>,
    term: Term,
) -> Vec<Body> {
    let mut out = Vec::new();
    for (client, settings) in clients {
        let desired = registry.desired(client);
        let command = match &settings.plan {
            PlanSetting::Plan(plan) => {
                let same =
                    desired.as_ref().is_some_and(|d| d.plan == *plan) && !is_unreadable(registry, client);
                let digest = plan_digest(plan);
                (!same).then(|| Command::Plan {
                    client: client.clone(),
                    plan: Some(Box::new((**plan).clone())),
                    digest,
                })
            }
            PlanSetting::Unreadable => (desired.is_some() && !is_unreadable(registry, client))
                .then(|| Command::Plan { client: client.clone(), plan: None, digest: [0; 32] }),
            PlanSetting::Nothing => drop_plan(desired.as_ref(), client),
        };
        out.extend(command.map(|command| Body::Settings { term, command }));
    }
    let gone = registry.all().filter(|d| !clients.contains_key(&d.client));
    let gone = gone.filter_map(|d| drop_plan(Some(&d), &d.client));
    out.extend(gone.map(|command| Body::Settings { term, command }));
    out
}

/// An unreadable plan is reported in a notice that names no rule.
fn is_unreadable(registry: &Registry, client: &str) -> bool {
    let viewer = Viewer { client, operator: false };
    registry.view(viewer, client).is_some_and(|view| view.notices.iter().any(|n| n.rule.is_empty()))
}

fn drop_plan(desired: Option<&Desired>, client: &str) -> Option<Command> {
    // The plan of a dropped client has no name.
    desired.filter(|d| !d.plan.name.is_empty()).map(|_| Command::Drop { client: client.to_owned() })
}
