//! Approved versions on their way to the process's nodes.
//!
//! Nothing leaves before this life has seen an entry of its own decided. An old folder holds versions that were approved and
//! are so no more: applied, they would let go of what the newer ones keep. Until then nodes go on under the rules that
//! they have on disk. From then on all that is applied was decided by a majority and read here from the log.

use crate::machine::Machine;
use crate::waves::Zones;
use heronroute_fleet::Name;
use heronroute_rules::registry::{Desired, Notice};
use heronroute_rules::seam::{Apply, Fence};
use heronroute_rules::share::{empty_share_notices, share};
use heronroute_rules::{Plan, RuleSet, Turn};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Clients whose rules leave in one turn at most; the others' leave with the next, at once.
pub const MOST_AT_ONCE: usize = 64;

/// What the nodes were told last for a client.
#[derive(Clone, Debug)]
pub struct Sent {
    /// As it was approved, for the whole installation.
    pub whole: Arc<RuleSet>,
    /// This member's share of it.
    pub share: Arc<RuleSet>,
    /// This member's part of paces.
    pub turn: Turn,
    /// The plan.
    pub plan: Arc<Plan>,
}

/// What was told and is to be told.
#[derive(Debug)]
pub struct Applier {
    place: usize,
    members: usize,
    senders: usize,
    certain: bool,
    sent: BTreeMap<String, Sent>,
    due: BTreeSet<String>,
    /// Of those due, the ones that an order mends: they pass a fence, as nothing else would ever lift it.
    mends: BTreeSet<String>,
    /// Fenced clients, each with what is approved for it.
    fenced: BTreeMap<String, Option<Sent>>,
    /// What the nodes were told of fences in this life: they outlive it, and may know of one that was lifted meanwhile.
    told: BTreeMap<String, Option<Arc<RuleSet>>>,
    probed: Option<String>,
}

impl Applier {
    /// For the member at this place, by the order of names, and its senders.
    pub fn new(place: usize, members: usize, senders: usize) -> Self {
        Applier {
            place,
            members,
            senders,
            certain: false,
            sent: BTreeMap::new(),
            due: BTreeSet::new(),
            mends: BTreeSet::new(),
            fenced: BTreeMap::new(),
            told: BTreeMap::new(),
            probed: None,
        }
    }

    /// What is desired for a client changed.
    pub fn changed(&mut self, client: &str) {
        self.due.insert(client.to_owned());
    }

    /// The member in charge has it sent once more.
    pub fn mend(&mut self, client: &str) {
        self.due.insert(client.to_owned());
        self.mends.insert(client.to_owned());
    }

    /// An entry of this life was decided: all that was decided before is known.
    pub fn settle(&mut self) {
        self.certain = true;
    }

    /// Whether it was.
    pub fn settled(&self) -> bool {
        self.certain
    }

    /// Takes no more changes of a client.
    pub fn fence(&mut self, client: &str) {
        if self.fenced.len() < crate::limits::FENCED && !self.is_fenced(client) {
            self.fenced.insert(client.to_owned(), None);
            self.changed(client);
        }
    }

    /// Takes them again.
    pub fn lift(&mut self, client: &str) {
        if self.fenced.remove(client).is_some() {
            self.changed(client);
        }
    }

    /// These are fenced and no others: the log was learnt as a whole.
    pub fn fences<'a>(&mut self, clients: impl Iterator<Item = &'a str>) {
        let clients: BTreeSet<&str> = clients.collect();
        let gone = self.fenced.keys().filter(|client| !clients.contains(client.as_str()));
        let gone: Vec<String> = gone.cloned().collect();
        gone.iter().for_each(|client| self.lift(client));
        clients.iter().for_each(|client| self.fence(client));
    }

    /// Whether changes of a client are not taken.
    pub fn is_fenced(&self, client: &str) -> bool {
        self.fenced.contains_key(client)
    }

    /// What the nodes' words are held against: what they were told last, or where this life told them nothing behind a fence,
    /// what is approved.
    pub fn sent(&self, client: &str) -> Option<&Sent> {
        self.sent.get(client).or_else(|| self.fenced.get(client)?.as_ref())
    }

    /// Whether something can leave at once.
    pub fn waits(&self) -> bool {
        self.certain && !self.due.is_empty()
    }

    /// What the nodes are to apply now, and the fences that they are to know of before.
    pub fn next(&mut self, machine: &Machine, own: &Name, zones: &Zones) -> (Vec<Fence>, Vec<Apply>) {
        let (mut fences, mut out) = (Vec::new(), Vec::new());
        while self.certain && out.len().max(fences.len()) < MOST_AT_ONCE {
            let Some(client) = self.due.pop_first() else { break };
            // A wave that has not left counts here as little as a version that is not approved.
            let meant = machine.meant(&client, own, zones).map(|d| self.shared(&d));
            fences.extend(self.stands(&client, meant.as_ref()));
            // Fenced, its nodes are told what they were told before.
            let again = !self.mends.remove(&client) && self.is_fenced(&client);
            if let Some(sent) = meant.filter(|_| !again) {
                self.sent.insert(client.clone(), sent);
            }
            out.extend(self.again(&client));
        }
        (fences, out)
    }

    /// What the nodes are to be told of a client's fence, where they don't know it.
    fn stands(&mut self, client: &str, meant: Option<&Sent>) -> Option<Fence> {
        let fenced = self.fenced.get_mut(client);
        // Of a client without approved rules nothing is stricter than what is applied: no rule at all.
        let under = fenced.as_ref().map(|_| meant.map_or_else(Arc::default, |sent| Arc::clone(&sent.share)));
        if let Some(approved) = fenced {
            *approved = meant.cloned();
        }
        if self.told.get(client) == Some(&under) {
            return None;
        }
        self.told.insert(client.to_owned(), under.clone());
        Some(Fence { client: client.to_owned(), under, turn: self.turn() })
    }

    /// The same once more: nodes that have it answer what they really apply.
    pub fn again(&self, client: &str) -> Option<Apply> {
        let sent = self.sent.get(client)?;
        Some(Apply {
            client: client.to_owned(),
            set: Arc::clone(&sent.share),
            turn: sent.turn,
            plan: Arc::clone(&sent.plan),
            certain: self.certain,
        })
    }

    /// One client after the other, for [`Applier::again`].
    pub fn probe(&mut self) -> Option<Apply> {
        let after = self.probed.as_ref().map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let next = self.sent.range::<String, _>((after, std::ops::Bound::Unbounded)).next();
        let client = next.or_else(|| self.sent.first_key_value()).map(|(client, _)| client.clone())?;
        self.probed = Some(client.clone());
        self.again(&client)
    }

    /// Which part of a pace is this member's.
    pub fn turn(&self) -> Turn {
        let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Turn {
            place: number(self.place),
            members: number(self.members),
            senders: number(self.senders.max(1)),
        }
    }

    /// This member's share of rules.
    pub fn share(&self, set: &RuleSet) -> RuleSet {
        share(set, self.place, self.members)
    }

    /// What of rules is too little to be had by all.
    pub fn empty_share_notices(&self, set: &RuleSet) -> Vec<Notice> {
        empty_share_notices(set, self.members)
    }

    fn shared(&self, desired: &Desired) -> Sent {
        let mine = self.share(&desired.set);
        Sent {
            whole: Arc::clone(&desired.set),
            share: Arc::new(mine),
            turn: self.turn(),
            plan: Arc::clone(&desired.plan),
        }
    }
}
