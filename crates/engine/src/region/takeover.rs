//! Takes over a dead member's work from a copy of its journals.
//!
//! Guards against a partial takeover: everything is first written under this node's own message numbers, and
//! nothing is done before the last entry is durable. A crash before that leaves nothing, and the takeover is
//! begun anew.

use crate::failover::{Failover, PendingTakeover};
use crate::home::home;
use crate::node::{Effect, Node, Output};
use crate::restart::Restarted;
use crate::takeover::as_taken_over;
use heronroute_journal::entry::{
    Accepted, Answer, Final, Heir, Held, Inherited, Intent, Named, Request, Step, What,
};
use heronroute_journal::state::KeptSession;
use heronroute_journal::{JournalState, Open};
use std::collections::{BTreeMap, VecDeque};

impl Node {
    /// Writes down what the books of a dead member's senders have open for clients whose home is this sender.
    /// Answered with [`Output::Inherited`] once all of it is durable; nothing of it is done before
    /// [`Node::taken_over`]. Repeated calls write it only once.
    pub fn begin_takeover(&mut self, now: crate::Micros, origin: &str, books: Vec<JournalState>) {
        self.now = now.max(self.now);
        let Some(region) = &mut self.region else { return };
        if region.completed.own(origin) || region.pending.get(origin).is_some_and(|e| e.durable) {
            return self.outputs.push(Output::Inherited(origin.to_string()));
        }
        if region.pending.contains_key(origin) {
            return;
        }
        self.write_step(origin, Step::Begun);
        let mut pending = PendingTakeover::default();
        for state in books {
            self.write_book(origin, state, &mut pending);
        }
        self.write_step(origin, Step::Whole);
        if let Some(region) = &mut self.region {
            region.pending.insert(origin.to_string(), pending);
        }
        self.once_durable(Effect::Inherited { origin: origin.to_string() });
        self.settle(now);
    }

    /// Starts the work taken over, as the log assigned it to this process: it continues here as after a
    /// restart.
    pub fn taken_over(&mut self, now: crate::Micros, origin: &str) {
        self.now = now.max(self.now);
        let take_durable = |region: &mut Failover<Effect>| {
            region
                .pending
                .get(origin)
                .is_some_and(|e| e.durable)
                .then(|| region.pending.remove(origin))
                .flatten()
        };
        let Some(pending) = self.region.as_mut().and_then(take_durable) else { return };
        self.write_step(origin, Step::Own);
        if let Some(region) = &mut self.region {
            region.completed.add_own(origin);
        }
        self.restore_takeover(origin, pending);
        self.settle(now);
    }

    /// Abandons a takeover, as the work is another member's or was this member's own: nothing of it is done
    /// here.
    pub fn takeover_revoked(&mut self, now: crate::Micros, origin: &str) {
        self.now = now.max(self.now);
        if self.region.as_mut().is_some_and(|region| region.pending.remove(origin).is_some()) {
            self.write_step(origin, Step::Void);
        }
        self.settle(now);
    }

    fn write_step(&mut self, origin: &str, step: Step) {
        let entry = || Inherited { origin: origin.to_string(), step: step.into() };
        self.ledger.write(|| What::Inherited(entry()));
    }

    fn write_book(&mut self, origin: &str, state: JournalState, pending: &mut PendingTakeover) {
        let (own, senders) = (self.index, self.senders);
        let is_home = |client: &str| home(client, senders) == own;
        let mut ids: BTreeMap<u64, u64> = BTreeMap::new();
        for (id, open) in state.open.into_iter().filter(|(_, o)| is_home(&o.accepted.client)) {
            let class = self.class_names.get(&open.accepted.class);
            let effect = class.and_then(|c| self.cfg.settings.classes.get(*c)).map(|c| c.effect);
            let open = self.renumbered(id, as_taken_over(open, effect), &mut ids);
            let (accepted, answer) = (Some(open.accepted.clone()), open.answer.clone());
            let (attempts, may_run) = (open.attempts, open.may_run.clone());
            let origin = origin.to_string();
            self.ledger.write(|| {
                What::Heir(Box::new(Heir { origin, accepted, attempts, may_run, answer, held: None }))
            });
            pending.open.push(open);
        }
        for (id, held) in state.held {
            let Some(accepted) = held.accepted.clone().filter(|a| is_home(&a.client)) else { continue };
            let id = *ids.entry(id).or_insert_with(|| self.new_id().0);
            let held = Held { accepted: Some(Accepted { id, ..accepted }), ..held };
            let heir = Heir { origin: origin.to_string(), held: Some(held.clone()), ..Heir::default() };
            self.ledger.write(|| What::Heir(heir.into()));
            pending.state.held.insert(id, held);
        }
        for (id, f) in state.finals.into_iter().filter(|(_, f)| is_home(&f.client)) {
            let id = *ids.entry(id).or_insert_with(|| self.new_id().0);
            let Some(answer) = f.answer else { continue };
            let answer = Some(Answer { id, ..answer });
            let kept = Final { answer, ..f };
            self.ledger.write(|| What::Final(kept.clone()));
            pending.state.finals.insert(id, kept);
        }
        for named in state.names {
            // Names are digests, so their clients are unknown and each sender keeps all of them.
            let id = *ids.entry(named.id).or_insert_with(|| self.new_id().0);
            let named = Named { id, ..named };
            self.ledger.write(|| What::Named(named));
            pending.state.names.push_back(named);
        }
        if state.forgot > 0 {
            pending.state.forgot = pending.state.forgot.max(state.forgot);
        }
        for (key, kept) in state.sessions.into_iter().filter(|((c, _), _)| is_home(c)) {
            if self.has_session(&key.0, &key.1) {
                continue;
            }
            let renumbered = |request: &Request| Request {
                id: ids.get(&request.id).copied().unwrap_or(request.id),
                ..*request
            };
            let latest: VecDeque<Request> = kept.latest.iter().map(renumbered).collect();
            let kept = KeptSession { latest, ..kept };
            self.ledger.write(|| What::Session(kept.to_entry()));
            pending.state.sessions.insert(key, kept);
        }
    }

    /// Returns whether a session exists here already, which is then the later one.
    fn has_session(&mut self, client: &str, name: &str) -> bool {
        let client = self.client_index(client);
        let mailbox = self.mailboxes.find(client, name).and_then(|m| self.mailboxes.get(m));
        mailbox.is_some_and(|m| m.kept.is_some() || m.conn.is_some())
    }

    /// Gives an open message a number of this node.
    fn renumbered(&mut self, id: u64, mut open: Open, ids: &mut BTreeMap<u64, u64>) -> Open {
        let new = self.new_id().0;
        ids.insert(id, new);
        open.accepted.id = new;
        open.may_run = open.may_run.map(|i| Intent { id: new, ..i });
        open.answer = open.answer.map(|a| Answer { id: new, ..a });
        open
    }

    /// Reports that all entries of a takeover are durable.
    pub(crate) fn takeover_durable(&mut self, origin: String) {
        let pending = self.region.as_mut().and_then(|region| region.pending.get_mut(&origin));
        let Some(pending) = pending else { return };
        pending.durable = true;
        self.outputs.push(Output::Inherited(origin));
    }

    fn restore_takeover(&mut self, origin: &str, mut pending: PendingTakeover) {
        pending.state.sessions.retain(|(client, name), _| !self.has_session(client, name));
        // A held message that is open was handed in again, and must not be handed in beside that.
        pending.state.open = pending.open.iter().map(|o| (o.accepted.id, o.clone())).collect();
        self.restore_sessions(&pending.state);
        self.restore_held(&pending.state);
        self.restore_answers(&pending.state);
        let (wall, mut done) = (self.wall(), Restarted::default());
        for open in pending.open {
            self.restore_open(open, wall, &mut done);
        }
        let owed: Vec<_> = self.mailboxes.all().map(|(id, _)| id).collect();
        owed.into_iter().for_each(|mailbox| self.deliver_owed(mailbox));
        tracing::warn!(origin, ?done, "a dead member's work was taken over");
    }
}
