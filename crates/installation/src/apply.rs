//! Delivery of approved versions to the process's nodes.
//!
//! Nothing is sent before this life has seen an entry of its own committed. An old folder may hold versions
//! that are approved no more: applied, they would drop what newer ones keep. Until then nodes keep the rules
//! that they have on disk. From then on all that is applied was committed by a majority and read from the
//! log.

use crate::machine::Machine;
use crate::waves::Zones;
use heronroute_fleet::Name;
use heronroute_rules::registry::{Desired, Notice};
use heronroute_rules::seam::{Apply, Fence};
use heronroute_rules::share::{empty_share_notices, share};
use heronroute_rules::{Plan, RuleSet, Turn};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The most clients whose rules are sent in one turn; the others follow in the next one, at once.
pub const MAX_CLIENTS_PER_TURN: usize = 64;

/// What the nodes were sent last for a client.
#[derive(Clone, Debug)]
pub struct SentRules {
    /// The rules as approved, for the whole installation.
    pub approved: Arc<RuleSet>,
    /// This member's share of the rules.
    pub share: Arc<RuleSet>,
    /// This member's part of release rates.
    pub turn: Turn,
    /// The client's plan.
    pub plan: Arc<Plan>,
}

/// What was sent to the nodes and what is due.
#[derive(Debug)]
pub struct Applier {
    index: usize,
    members: usize,
    senders: usize,
    settled: bool,
    sent: BTreeMap<String, SentRules>,
    due: BTreeSet<String>,
    /// Due clients that an order has sent again: their rules pass a fence, which nothing else would ever
    /// lift.
    forced: BTreeSet<String>,
    /// Fenced clients, each with the rules approved for it.
    fenced: BTreeMap<String, Option<SentRules>>,
    /// What the nodes were told of fences in this life. Nodes outlive it, and may still have a fence that was
    /// lifted meanwhile.
    told_fences: BTreeMap<String, Option<Arc<RuleSet>>>,
    probed: Option<String>,
}

impl Applier {
    /// Creates the state for the member at this index, by the order of names, with its number of senders.
    pub fn new(index: usize, members: usize, senders: usize) -> Self {
        Applier {
            index,
            members,
            senders,
            settled: false,
            sent: BTreeMap::new(),
            due: BTreeSet::new(),
            forced: BTreeSet::new(),
            fenced: BTreeMap::new(),
            told_fences: BTreeMap::new(),
            probed: None,
        }
    }

    /// Marks a client as due: what is desired for it changed.
    pub fn changed(&mut self, client: &str) {
        self.due.insert(client.to_owned());
    }

    /// Sends a client's rules again, by an order of the leader.
    pub fn force_resend(&mut self, client: &str) {
        self.due.insert(client.to_owned());
        self.forced.insert(client.to_owned());
    }

    /// Records that an entry of this life was committed: all that was committed before it is known.
    pub fn entry_committed(&mut self) {
        self.settled = true;
    }

    /// Returns whether an entry of this life was committed.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Fences a client: its changes are not applied any more.
    pub fn fence(&mut self, client: &str) {
        if self.fenced.len() < crate::limits::MAX_FENCES && !self.is_fenced(client) {
            self.fenced.insert(client.to_owned(), None);
            self.changed(client);
        }
    }

    /// Lifts the fence of a client.
    pub fn lift(&mut self, client: &str) {
        if self.fenced.remove(client).is_some() {
            self.changed(client);
        }
    }

    /// Replaces all fences, after the log was restored as a whole.
    pub fn replace_fences<'a>(&mut self, clients: impl Iterator<Item = &'a str>) {
        let clients: BTreeSet<&str> = clients.collect();
        let gone = self.fenced.keys().filter(|client| !clients.contains(client.as_str()));
        let gone: Vec<String> = gone.cloned().collect();
        gone.iter().for_each(|client| self.lift(client));
        clients.iter().for_each(|client| self.fence(client));
    }

    /// Returns whether a client is fenced.
    pub fn is_fenced(&self, client: &str) -> bool {
        self.fenced.contains_key(client)
    }

    /// Returns what the nodes' reports are compared with: what they were sent last, or what is approved if
    /// this life sent them nothing because of a fence.
    pub fn sent(&self, client: &str) -> Option<&SentRules> {
        self.sent.get(client).or_else(|| self.fenced.get(client)?.as_ref())
    }

    /// Returns whether something can be sent at once.
    pub fn has_due(&self) -> bool {
        self.settled && !self.due.is_empty()
    }

    /// Returns what the nodes are to apply now, and the fences that they have to know before.
    pub fn take_due(&mut self, machine: &Machine, own: &Name, zones: &Zones) -> (Vec<Fence>, Vec<Apply>) {
        let (mut fences, mut out) = (Vec::new(), Vec::new());
        while self.settled && out.len().max(fences.len()) < MAX_CLIENTS_PER_TURN {
            let Some(client) = self.due.pop_first() else { break };
            // A wave that has not started counts as little as a version that is not approved.
            let target = machine.target(&client, own, zones).map(|d| self.rules_to_send(&d));
            fences.extend(self.fence_update(&client, target.as_ref()));
            // Nodes of a fenced client are sent what they were sent before.
            let fence_holds = !self.forced.remove(&client) && self.is_fenced(&client);
            if let Some(sent) = target.filter(|_| !fence_holds) {
                self.sent.insert(client.clone(), sent);
            }
            out.extend(self.resend(&client));
        }
        (fences, out)
    }

    /// Returns what the nodes have to be told of a client's fence, if they don't know it.
    fn fence_update(&mut self, client: &str, target: Option<&SentRules>) -> Option<Fence> {
        let fenced = self.fenced.get_mut(client);
        // Without approved rules nothing is stricter than what is applied: no rule at all.
        let under = fenced.as_ref().map(|_| target.map_or_else(Arc::default, |sent| Arc::clone(&sent.share)));
        if let Some(approved) = fenced {
            *approved = target.cloned();
        }
        if self.told_fences.get(client) == Some(&under) {
            return None;
        }
        self.told_fences.insert(client.to_owned(), under.clone());
        Some(Fence { client: client.to_owned(), under, turn: self.turn() })
    }

    /// Returns the same rules again: nodes that have them answer what they really apply.
    pub fn resend(&self, client: &str) -> Option<Apply> {
        let sent = self.sent.get(client)?;
        Some(Apply {
            client: client.to_owned(),
            set: Arc::clone(&sent.share),
            turn: sent.turn,
            plan: Arc::clone(&sent.plan),
            certain: self.settled,
        })
    }

    /// Returns the rules of the next client in turn, as [`Applier::resend`] does.
    pub fn next_probe(&mut self) -> Option<Apply> {
        let after = self.probed.as_ref().map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let next = self.sent.range::<String, _>((after, std::ops::Bound::Unbounded)).next();
        let client = next.or_else(|| self.sent.first_key_value()).map(|(client, _)| client.clone())?;
        self.probed = Some(client.clone());
        self.resend(&client)
    }

    /// Returns which part of a release rate is this member's.
    pub fn turn(&self) -> Turn {
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Turn {
            place: number(self.index),
            members: number(self.members),
            senders: number(self.senders.max(1)),
        }
    }

    /// Returns this member's share of rules.
    pub fn share(&self, set: &RuleSet) -> RuleSet {
        share(set, self.index, self.members)
    }

    /// Returns notices of limits that are too small to be shared by all members.
    pub fn empty_share_notices(&self, set: &RuleSet) -> Vec<Notice> {
        empty_share_notices(set, self.members)
    }

    fn rules_to_send(&self, desired: &Desired) -> SentRules {
        let share = self.share(&desired.set);
        SentRules {
            approved: Arc::clone(&desired.set),
            share: Arc::new(share),
            turn: self.turn(),
            plan: Arc::clone(&desired.plan),
        }
    }
}
