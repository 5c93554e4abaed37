//! The member's side: a tree of what its live tables hold, and the reports on it.
//!
//! The caller reads the live tables and passes the result to [`Reporter::live`]. Reports describe what is
//! applied, never what the member was sent.

use crate::report::{
    Ack, AppliedRules, Ask, Challenge, ChallengeAnswer, Echo, Health, MAX_CLIENTS_PER_REPORT, PartlyApplied,
    Report, TreeNode, TreeReply,
};
use crate::tree::Tree;
use crate::{Digest, content, truncate_reason};
use heronroute_fleet::{Life, Term};
use heronroute_rules::RuleSet;
use std::collections::BTreeMap;

/// The maximum number of clients tracked as changed. Others are left out of the reports; the root still
/// differs, and the detector finds them by querying the tree.
pub const MAX_CHANGED: usize = 1024;

/// The maximum number of tracked problems (clients whose rules cannot be applied), and of clients whose
/// senders differ. A member with more is judged as lagging instead of unable to apply for the others.
pub const MAX_PROBLEMS: usize = 64;

/// Writes the reports of one member.
#[derive(Debug)]
pub struct Reporter {
    life: Life,
    number: u64,
    term: Term,
    tree: Tree,
    /// The changed clients, each with the number of the last report that listed it; 0 if none did.
    changed: BTreeMap<String, u64>,
    problems: BTreeMap<String, String>,
    partly: BTreeMap<String, PartlyApplied>,
    echo: Option<Echo>,
}

impl Reporter {
    /// Creates a reporter for one start of a member, with nothing applied.
    pub fn new(life: Life) -> Self {
        Reporter {
            life,
            number: 0,
            term: Term::default(),
            tree: Tree::default(),
            changed: BTreeMap::new(),
            problems: BTreeMap::new(),
            partly: BTreeMap::new(),
            echo: None,
        }
    }

    /// Records the version and content digest that the live tables hold for a client, and why the last order
    /// for it could not be applied. The cost is proportional to the depth of the tree, and constant if
    /// nothing changed.
    pub fn live(&mut self, client: &str, version: u64, digest: Digest, problem: Option<&str>) {
        let tree_entry = tree_entry(version, digest);
        let before = self.tree.get(client).map(|leaf| (leaf.version, leaf.digest));
        let problem = problem.map(truncate_reason);
        if before == tree_entry && self.problems.get(client) == problem.as_ref() {
            return;
        }
        if before != tree_entry {
            self.tree.set(client, tree_entry);
        }
        match problem {
            Some(why) if self.problems.len() < MAX_PROBLEMS || self.problems.contains_key(client) => {
                self.problems.insert(client.to_owned(), why);
            }
            _ => {
                self.problems.remove(client);
            }
        }
        if self.changed.len() < MAX_CHANGED || self.changed.contains_key(client) {
            self.changed.insert(client.to_owned(), 0);
        }
    }

    /// Records how many senders apply the version of a client; `None` if all do. Must be called before
    /// [`Reporter::live`], since the applied rules then differ as well. Clients beyond [`MAX_PROBLEMS`] are
    /// left out and show by their version only.
    pub fn partly(&mut self, client: &str, partly: Option<PartlyApplied>) {
        let before = self.partly.get(client).copied();
        match partly {
            Some(partly) if self.partly.len() < MAX_PROBLEMS || before.is_some() => {
                self.partly.insert(client.to_owned(), partly);
            }
            _ => _ = self.partly.remove(client),
        }
        let counts = |p: Option<PartlyApplied>| p.map(|p| (p.senders, p.of));
        let room = self.changed.len() < MAX_CHANGED || self.changed.contains_key(client);
        if counts(before) != counts(self.partly.get(client).copied()) && room {
            self.changed.insert(client.to_owned(), 0);
        }
    }

    /// Records the term of an accepted order.
    pub fn term(&mut self, term: Term) {
        self.term = self.term.max(term);
    }

    /// Returns the tree of the applied rules.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Returns the next report: the root and up to [`MAX_CLIENTS_PER_REPORT`] clients that changed since the
    /// last acknowledged report.
    pub fn report(&mut self, health: Health) -> Report {
        self.number += 1;
        let mut clients = Vec::new();
        // Unreported clients come first, so that a long list makes progress even if acknowledgements are
        // slow.
        for unreported in [true, false] {
            for (client, reported_in) in &mut self.changed {
                if clients.len() < MAX_CLIENTS_PER_REPORT
                    && (*reported_in == 0) == unreported
                    && *reported_in != self.number
                {
                    *reported_in = self.number;
                    let mut entry = applied(&self.tree, &self.problems, client);
                    entry.partly = self.partly.get(client).copied();
                    clients.push(entry);
                }
            }
        }
        Report {
            life: self.life.clone(),
            number: self.number,
            term: self.term,
            root: self.tree.root(),
            clients,
            health,
            echo: self.echo,
        }
    }

    /// Handles an acknowledgement. Returns true if it is the first one of a term: the next report should then
    /// be sent at once, since only a report with this term's echo counts as fresh.
    pub fn handle_ack(&mut self, ack: &Ack) -> bool {
        if ack.to != self.life
            || self.echo.is_some_and(|echo| (echo.term, echo.at) > (ack.echo.term, ack.echo.at))
        {
            return false;
        }
        let first = self.echo.is_none_or(|echo| echo.term < ack.echo.term);
        self.echo = Some(ack.echo);
        self.changed.retain(|_, reported_in| *reported_in == 0 || *reported_in > ack.number);
        first
    }

    /// Answers a query for one node of the tree; the size of the reply is bounded by the kind of node.
    pub fn tell(&mut self, query: &Ask) -> Option<TreeReply> {
        if query.to != self.life {
            return None;
        }
        self.number += 1;
        let mut node = self.tree.node_at(&query.path);
        if let TreeNode::Bucket(clients) = &mut node {
            for client in clients {
                client.problem = self.problems.get(&client.client).cloned();
                client.partly = self.partly.get(&client.client).copied();
            }
        }
        Some(TreeReply {
            life: self.life.clone(),
            number: self.number,
            root: self.tree.root(),
            path: query.path.clone(),
            node,
        })
    }

    /// Answers a challenge with the rules that the live tables hold for its client now.
    pub fn answer(&self, challenge: &Challenge, live: &RuleSet) -> Option<ChallengeAnswer> {
        (challenge.to == self.life).then(|| ChallengeAnswer {
            life: self.life.clone(),
            nonce: challenge.nonce,
            proof: content::proof(&challenge.nonce, live.version, &live.rules),
        })
    }
}

/// Returns the tree entry for a client: none if there is neither a version nor a rule.
pub(crate) fn tree_entry(version: u64, digest: Digest) -> Option<(u64, Digest)> {
    (version != 0 || digest != content::digest(&[])).then_some((version, digest))
}

fn applied(tree: &Tree, problems: &BTreeMap<String, String>, client: &str) -> AppliedRules {
    let (version, digest) =
        tree.get(client).map_or_else(|| (0, content::digest(&[])), |leaf| (leaf.version, leaf.digest));
    AppliedRules {
        client: client.to_owned(),
        version,
        digest,
        problem: problems.get(client).cloned(),
        partly: None,
    }
}
