//! What the keeper in charge does: it holds reports against what is approved, gives orders, and leaves what it found to the
//! next one through the log.

use crate::Micros;
use crate::config::{Client, Planned};
use crate::fences::Fences;
use crate::machine::{Body, MOST_FOUND};
use crate::page::Page;
use crate::rollouts;
use crate::waves::Waves;
use crate::wire::Piece;
use heronroute_drift::{Act, Config, Detector, Output, Report, content};
use heronroute_fleet::replicas::Leadership;
use heronroute_fleet::{Life, Name, Start, Term};
use heronroute_rules::digest::plan_digest;
use heronroute_rules::registry::{Command, Desired, Registry, Viewer};
use std::collections::{BTreeMap, VecDeque};

/// The detector and what stands around it.
#[derive(Debug)]
pub struct Watch {
    detector: Detector,
    /// For each member and life, when the last report that counted was sent, by its own clock.
    sent: BTreeMap<Name, (Start, Micros)>,
    /// Something is to be left to the next one.
    news: bool,
    saved_at: Option<Micros>,
    /// The term that was begun last; none where this member was not in charge since.
    begun: Option<Term>,
    /// When.
    since: Micros,
    /// Fences to be set or lifted through the log.
    fences: VecDeque<Body>,
}

impl Watch {
    /// Of a keeper. `lease`: how long a term counts unless it is confirmed.
    pub fn new(now: Micros, wall: Micros, mut config: Config, lease: Micros) -> Self {
        config.wall = wall.saturating_sub(now);
        config.lease = lease;
        let detector = Detector::new(config);
        Watch {
            detector,
            sent: BTreeMap::new(),
            news: false,
            saved_at: None,
            begun: None,
            since: now,
            fences: VecDeque::new(),
        }
    }

    /// The detector.
    pub fn detector(&self) -> &Detector {
        &self.detector
    }

    /// The detector, to be told of members.
    pub fn detector_mut(&mut self) -> &mut Detector {
        &mut self.detector
    }

    /// What is desired for a client.
    pub fn desired(&mut self, now: Micros, desired: &Desired) {
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

    /// Whether this member is in charge, asked before anything is done in that. True where a term of its own begins, or goes on
    /// after its lease had run out: guards against settings that were read again, or waited to be written, meanwhile, and would
    /// count only from the next term.
    pub fn confirm(
        &mut self,
        now: Micros,
        charge: Option<&Leadership>,
        known: Term,
        fences: &Fences,
    ) -> bool {
        let Some(charge) = charge else {
            self.begun = None;
            // Also where no greater term is known: a lease that has run out is not one's own any more.
            if self.detector.acting(now) {
                self.detector.term(now, known.max(self.detector.current()), false);
            }
            return false;
        };
        if !self.detector.acting(now) {
            // What it wanted before may not have got into the log.
            self.fences.clear();
            self.detector.fences(now, fences.all());
        }
        self.detector.term(now, charge.term, true);
        let begins = self.begun.is_none_or(|begun| charge.term > begun);
        if begins {
            (self.begun, self.since) = (Some(charge.term), now);
        }
        begins && self.detector.acting(now)
    }

    /// Whether a member is there, as a rollout sees it; none where that is not known yet, as its term has just begun and no
    /// report came.
    pub fn there(&self, now: Micros, name: &Name, patience: Micros) -> Option<bool> {
        let heard = self.detector.heard(now, name);
        let young = now < self.since.saturating_add(patience);
        (heard || !young || !self.detector.lives(name)).then_some(heard)
    }

    /// A report of this life, sent at this time of its clock. Guards against one that comes late, through a third member: an
    /// order would then answer it, and be refused as an old one.
    pub fn report(&mut self, now: Micros, report: &Report, sent: Micros) {
        if self.detector.report(now, report) {
            self.sent.insert(report.life.name.clone(), (report.life.start, sent));
        }
    }

    /// What is to be said next, and to whom.
    pub fn poll(&mut self) -> Option<(Life, Piece)> {
        while let Some(output) = self.detector.poll() {
            let (to, piece) = match output {
                Output::Ack(ack) => (ack.to.clone(), Piece::Ack(ack)),
                Output::Ask(ask) => (ask.to.clone(), Piece::Ask(ask)),
                Output::Challenge(challenge) => (challenge.to.clone(), Piece::Challenge(challenge)),
                Output::Order(order) => {
                    tracing::info!(term = order.term.0, to = %order.to.name, act = ?order.act, "order");
                    self.news = true;
                    // Its queue is emptied with the detector's, before the next one acts.
                    let member = &order.to.name;
                    match &order.act {
                        Act::Fence { client } => {
                            self.fences.push_back(Body::fence(order.term, member, client, true));
                            continue;
                        }
                        Act::Lift { client } => {
                            self.fences.push_back(Body::fence(order.term, member, client, false));
                            continue;
                        }
                        _ => {}
                    }
                    let (start, answers) = self.sent.get(&order.to.name).copied().unwrap_or_default();
                    // One for a life that has not reported has nothing to answer, and would be refused.
                    if start != order.to.start {
                        continue;
                    }
                    (order.to.clone(), Piece::Order { order, answers })
                }
                Output::Verdict(record) => {
                    self.news = true;
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
                    tracing::info!(term = term.0, "another member is in charge");
                    continue;
                }
            };
            return Some((to, piece));
        }
        None
    }

    /// What it found, where that is to be left to the next one now.
    pub fn save(&mut self, now: Micros, every: Micros) -> Option<Body> {
        let due = self.saved_at.is_none_or(|at| now >= at.saturating_add(every));
        if !self.news || !due || !self.detector.acting(now) {
            return None;
        }
        (self.news, self.saved_at) = (false, Some(now));
        let saved = self.detector.snapshot(MOST_FOUND);
        (saved.len() <= MOST_FOUND).then(|| Body::Found { term: self.detector.current(), saved })
    }

    /// The next fence to be set or lifted.
    pub fn fence(&mut self) -> Option<Body> {
        self.fences.pop_front()
    }

    /// What the log says of fences, where it was learnt as a whole or this member's own wishes may not have got there.
    pub fn fences(&mut self, now: Micros, fences: &Fences) {
        self.detector.fences(now, fences.all());
    }

    /// What another one left.
    pub fn found(&mut self, now: Micros, saved: &[u8]) {
        if !saved.is_empty() && self.detector.restore(now, saved).is_err() {
            tracing::warn!("what the member in charge left can't be read");
        }
    }

    /// A page of what `fleet/drift` answers.
    pub fn shown(&self, now: Micros, majority: bool, waves: &Waves, page: &Page) -> String {
        // Rollouts as the log has them: the detector knows those that it watches over.
        let records = self.detector.history().records();
        page.shown(&self.detector.view(now), majority, &rollouts::all(waves), records)
    }
}

/// What a term begins with: plans in the log are made those of the settings here.
pub fn settings(registry: &Registry, clients: &BTreeMap<String, Client>, term: Term) -> Vec<Body> {
    let mut out = Vec::new();
    for (client, settings) in clients {
        let desired = registry.desired(client);
        let command = match &settings.plan {
            Planned::Plan(plan) => {
                let same = desired.as_ref().is_some_and(|d| d.plan == *plan) && !unreadable(registry, client);
                let digest = plan_digest(plan);
                (!same).then(|| Command::Plan {
                    client: client.clone(),
                    plan: Some(Box::new((**plan).clone())),
                    digest,
                })
            }
            Planned::Unreadable => (desired.is_some() && !unreadable(registry, client))
                .then(|| Command::Plan { client: client.clone(), plan: None, digest: [0; 32] }),
            Planned::Nothing => dropped(desired.as_ref(), client),
        };
        out.extend(command.map(|command| Body::Settings { term, command }));
    }
    let gone = registry.all().filter(|d| !clients.contains_key(&d.client));
    let gone = gone.filter_map(|d| dropped(Some(&d), &d.client));
    out.extend(gone.map(|command| Body::Settings { term, command }));
    out
}

/// An unreadable plan is told in a notice about no single rule.
fn unreadable(registry: &Registry, client: &str) -> bool {
    let viewer = Viewer { client, operator: false };
    registry.view(viewer, client).is_some_and(|view| view.notices.iter().any(|n| n.rule.is_empty()))
}

fn dropped(desired: Option<&Desired>, client: &str) -> Option<Command> {
    // A dropped client's plan has no name.
    desired.filter(|d| !d.plan.name.is_empty()).map(|_| Command::Drop { client: client.to_owned() })
}
