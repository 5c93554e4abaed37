//! A dead member's work is taken over from a copy of its journals.
//!
//! Guards against half a take-over: all that comes of it is written under this node's own numbers first, and nothing is done
//! before the last entry of it is durable; a crash before that leaves nothing, and it is begun anew.

use crate::heir::heir;
use crate::home::home;
use crate::node::{Effect, Node, Output};
use crate::restart::Restarted;
use crate::standing::{Estate, Standing};
use heronroute_journal::book::Kept;
use heronroute_journal::entry::{
    Accepted, Answer, Final, Heir, Held, Inherited, Intent, Named, Request, Session, Step, What,
};
use heronroute_journal::{Book, Open};
use std::collections::{BTreeMap, VecDeque};

impl Node {
    /// Writes down what the books of a dead life's senders have open for clients that have their home at this sender. Answered
    /// with [`Output::Inherited`] once all of it is durable; nothing of it is done before [`Node::inherited`]. Asked again, it
    /// is written once.
    pub fn inherit(&mut self, now: crate::Micros, origin: &str, books: Vec<Book>) {
        self.now = now.max(self.now);
        let Some(r) = &mut self.region else { return };
        if r.heirs.own(origin) || r.inheriting.get(origin).is_some_and(|e| e.whole) {
            return self.outputs.push(Output::Inherited(origin.to_string()));
        }
        if r.inheriting.contains_key(origin) {
            return;
        }
        self.step_of(origin, Step::Begun);
        let mut estate = Estate::default();
        for book in books {
            self.inherit_book(origin, book, &mut estate);
        }
        self.step_of(origin, Step::Whole);
        if let Some(r) = &mut self.region {
            r.inheriting.insert(origin.to_string(), estate);
        }
        self.once_durable(Effect::Inherited { origin: origin.to_string() });
        self.settle(now);
    }

    /// What was taken over of this life is this process's by the log: it goes on here, as after a restart.
    pub fn inherited(&mut self, now: crate::Micros, origin: &str) {
        self.now = now.max(self.now);
        let whole = |r: &mut Standing<Effect>| {
            r.inheriting.get(origin).is_some_and(|e| e.whole).then(|| r.inheriting.remove(origin)).flatten()
        };
        let Some(estate) = self.region.as_mut().and_then(whole) else { return };
        self.step_of(origin, Step::Own);
        if let Some(r) = &mut self.region {
            r.heirs.add_own(origin);
        }
        self.take_up_estate(origin, estate);
        self.settle(now);
    }

    /// It is another's after all, or was its own: nothing of it is done here.
    pub fn disinherited(&mut self, now: crate::Micros, origin: &str) {
        self.now = now.max(self.now);
        if self.region.as_mut().is_some_and(|r| r.inheriting.remove(origin).is_some()) {
            self.step_of(origin, Step::Void);
        }
        self.settle(now);
    }

    fn step_of(&mut self, origin: &str, step: Step) {
        let inherited = || Inherited { origin: origin.to_string(), step: step.into() };
        self.ledger.write(|| What::Inherited(inherited()));
    }

    fn inherit_book(&mut self, origin: &str, book: Book, estate: &mut Estate) {
        let (own, senders) = (self.index, self.cfg.service.senders);
        let mine = |client: &str| home(client, senders) == own;
        let mut ids: BTreeMap<u64, u64> = BTreeMap::new();
        for (id, open) in book.open.into_iter().filter(|(_, o)| mine(&o.accepted.client)) {
            let class = self.class_names.get(&open.accepted.class);
            let effect = class.and_then(|c| self.cfg.settings.classes.get(*c)).map(|c| c.effect);
            let open = self.renumbered(id, heir(open, effect), &mut ids);
            let (accepted, answer) = (Some(open.accepted.clone()), open.answer.clone());
            let (attempts, may_run) = (open.attempts, open.may_run.clone());
            let origin = origin.to_string();
            self.ledger.write(|| {
                What::Heir(Box::new(Heir { origin, accepted, attempts, may_run, answer, held: None }))
            });
            estate.open.push(open);
        }
        for (id, held) in book.held {
            let Some(accepted) = held.accepted.clone().filter(|a| mine(&a.client)) else { continue };
            let id = *ids.entry(id).or_insert_with(|| self.new_id().0);
            let held = Held { accepted: Some(Accepted { id, ..accepted }), ..held };
            let heir = Heir { origin: origin.to_string(), held: Some(held.clone()), ..Heir::default() };
            self.ledger.write(|| What::Heir(heir.into()));
            estate.book.held.insert(id, held);
        }
        for (id, f) in book.finals.into_iter().filter(|(_, f)| mine(&f.client)) {
            let id = *ids.entry(id).or_insert_with(|| self.new_id().0);
            let Some(answer) = f.answer else { continue };
            let answer = Some(Answer { id, ..answer });
            let kept = Final { answer, ..f };
            self.ledger.write(|| What::Final(kept.clone()));
            estate.book.finals.insert(id, kept);
        }
        for named in book.names {
            // Names are digests: whose they are is not known, so each sender keeps all of them.
            let id = *ids.entry(named.id).or_insert_with(|| self.new_id().0);
            let named = Named { id, ..named };
            self.ledger.write(|| What::Named(named));
            estate.book.names.push_back(named);
        }
        if book.forgot > 0 {
            estate.book.forgot = estate.book.forgot.max(book.forgot);
        }
        for (key, kept) in book.sessions.into_iter().filter(|((c, _), _)| mine(c)) {
            if self.has_session(&key.0, &key.1) {
                continue;
            }
            let renumbered = |r: &Request| Request { id: ids.get(&r.id).copied().unwrap_or(r.id), ..*r };
            let latest: VecDeque<Request> = kept.latest.iter().map(renumbered).collect();
            let session = Session { latest: latest.iter().copied().collect(), ..kept.session.clone() };
            self.ledger.write(|| What::Session(session));
            estate.book.sessions.insert(key, Kept { latest, ..kept });
        }
    }

    /// A session that began here since is the later one.
    fn has_session(&mut self, client: &str, name: &str) -> bool {
        let client = self.client_named(client);
        let mailbox = self.mailboxes.find(client, name).and_then(|m| self.mailboxes.get(m));
        mailbox.is_some_and(|m| m.kept.is_some() || m.conn.is_some())
    }

    /// Under a number of this node's.
    fn renumbered(&mut self, id: u64, mut open: Open, ids: &mut BTreeMap<u64, u64>) -> Open {
        let new = self.new_id().0;
        ids.insert(id, new);
        open.accepted.id = new;
        open.may_run = open.may_run.map(|i| Intent { id: new, ..i });
        open.answer = open.answer.map(|a| Answer { id: new, ..a });
        open
    }

    /// All of it is durable.
    pub(crate) fn estate_durable(&mut self, origin: String) {
        let estate = self.region.as_mut().and_then(|r| r.inheriting.get_mut(&origin));
        let Some(estate) = estate else { return };
        estate.whole = true;
        self.outputs.push(Output::Inherited(origin));
    }

    fn take_up_estate(&mut self, origin: &str, mut estate: Estate) {
        estate.book.sessions.retain(|(client, name), _| !self.has_session(client, name));
        self.take_up_sessions(&estate.book);
        self.restore_held(&estate.book);
        self.take_up_answers(&estate.book);
        let (wall, mut done) = (self.wall(), Restarted::default());
        for open in estate.open {
            self.take_up_open(open, wall, &mut done);
        }
        let owed: Vec<_> = self.mailboxes.all().map(|(id, _)| id).collect();
        owed.into_iter().for_each(|mailbox| self.deliver_owed(mailbox));
        tracing::warn!(origin, ?done, "taken over");
    }
}
