//! The state that the entries of a journal add up to: open messages, answers not yet confirmed, and what is
//! known of endpoints.

use crate::entry::{
    Accepted, Answer, Applied, EarlierRequests, Entry, Final, Held, Intent, Named, Place, Request, Session,
    Taken, What,
};
use crate::takeovers::Takeovers;
use prost::Message as _;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The number of client-given message names kept at most. Beyond it the oldest are dropped, and the state
/// records that.
const MAX_NAMES: usize = 1 << 20;

/// The number of final answers kept at most. Beyond it those that expire first are dropped and are not
/// repeated.
const MAX_FINALS: usize = 1 << 17;

/// A message whose answer is not confirmed yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Open {
    /// The message as it was accepted.
    pub accepted: Accepted,
    /// The number of attempts begun.
    pub attempts: u32,
    /// The first attempt that may have taken effect.
    pub may_run: Option<Intent>,
    /// The attempt under way: it has no outcome yet.
    pub out: Option<Intent>,
    /// The final answer, if there is one.
    pub answer: Option<Answer>,
}

/// The state that a journal's entries add up to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JournalState {
    /// The open messages, by number.
    pub open: BTreeMap<u64, Open>,
    /// What is known of endpoints, by endpoint name.
    pub places: BTreeMap<String, Place>,
    /// The next free message number.
    pub next_id: u64,
    /// The durable sessions, by client and session name.
    pub sessions: BTreeMap<(String, String), KeptSession>,
    /// The names that clients gave their messages, oldest first.
    pub names: VecDeque<Named>,
    /// The undelivered messages held for their clients, by number.
    pub held: BTreeMap<u64, Held>,
    /// The time up to which dropped names would have been valid: a name valid no longer than that may have
    /// been dropped.
    pub forgot: i64,
    /// The final answers kept so that they can be repeated, by message number.
    pub finals: BTreeMap<u64, Final>,
    /// The same, ordered by the time until which they are kept.
    expiries: BTreeSet<(i64, u64)>,
    /// The rules that clients set themselves, by client.
    pub applied: BTreeMap<String, Applied>,
    /// The takeovers of dead members' messages.
    pub takeovers: Takeovers,
    /// The number of names kept at most, if it is lower than usual.
    max_names: Option<usize>,
    /// The encoded size of the open and the held messages, in bytes.
    message_bytes: u64,
}

/// What a name, a kept answer and an endpoint take in a snapshot, in bytes.
const NAME_BYTES: usize = 32;
const FINAL_BYTES: usize = 128;
const PLACE_BYTES: usize = 64;

/// A session that survives the loss of its connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KeptSession {
    /// The session as it was last recorded.
    pub session: Session,
    /// The latest requests, at most one window of them.
    pub latest: VecDeque<Request>,
    /// Whether the session had, or may have had, earlier requests than these.
    pub has_dropped: bool,
}

impl KeptSession {
    /// Records that a request was accepted in the session.
    fn add(&mut self, request: Request) {
        self.latest.push_back(request);
        while self.latest.len() > self.session.window as usize {
            self.latest.pop_front();
            self.has_dropped = true;
        }
    }

    /// Replaces the requests by those of an entry. What the entry does not say may have been.
    fn replace_requests(&mut self, s: &Session) {
        self.latest = s.latest.iter().copied().collect();
        self.has_dropped = match s.earlier() {
            EarlierRequests::Unknown => !s.latest.is_empty(),
            EarlierRequests::None => false,
            EarlierRequests::Some => true,
        };
    }

    /// Returns the entry that rebuilds the session with its requests.
    pub fn to_entry(&self) -> Session {
        let earlier = if self.has_dropped { EarlierRequests::Some } else { EarlierRequests::None };
        Session {
            latest: self.latest.iter().copied().collect(),
            earlier: earlier.into(),
            ..self.session.clone()
        }
    }
}

impl JournalState {
    /// Applies an entry. Entries about messages that are not open change nothing.
    pub fn apply(&mut self, entry: &Entry) {
        match &entry.what {
            Some(What::Accepted(a)) => {
                self.next_id = self.next_id.max(a.id + 1);
                if a.packet > 0
                    && let Some(kept) = self.sessions.get_mut(&(a.client.clone(), a.mailbox.clone()))
                {
                    kept.add(Request { packet: a.packet, digest: a.digest, id: a.id });
                }
                if let Some(named) = a.named {
                    self.add_name(named, a.taken);
                }
                // One entry both accepts this message and removes the held one that it replaces, so that a
                // crash can't lead to the held message being resubmitted twice.
                if a.replaces > 0 {
                    self.remove_held(a.replaces);
                }
                // The session's requests and the list of names hold these from here on.
                let accepted = Accepted { packet: 0, digest: 0, named: None, replaces: 0, ..a.clone() };
                self.insert_open(Open { accepted, attempts: 0, may_run: None, out: None, answer: None });
            }
            Some(What::Intent(i)) => {
                if let Some(o) = self.open.get_mut(&i.id) {
                    o.attempts += 1;
                    // A message has one attempt at a time, so an attempt without an outcome when the next
                    // begins was cut off by the end of its process. Keeping it in `may_run` prevents that a
                    // second restart forgets an attempt that may have taken effect.
                    let cut_off = o.out.replace(i.clone());
                    o.may_run = o.may_run.take().or(cut_off);
                }
            }
            Some(What::Outcome(end)) => {
                if let Some(o) = self.open.get_mut(&end.id) {
                    let out = o.out.take();
                    if !end.never_ran && o.may_run.is_none() {
                        o.may_run = out;
                    }
                }
            }
            Some(What::Answer(a)) => {
                // Only the first answer counts.
                if let Some(o) = self.open.get_mut(&a.id).filter(|o| o.answer.is_none()) {
                    o.answer = Some(a.clone());
                    // The body was needed for delivery only.
                    self.message_bytes -= o.accepted.encoded_len() as u64;
                    o.accepted.body = Vec::new();
                    self.message_bytes += o.accepted.encoded_len() as u64;
                    if a.word == "DELIVRD" {
                        self.remove_held(a.id);
                    }
                }
            }
            Some(What::Taken(Taken { id })) => {
                let removed = self.open.remove(id);
                self.message_bytes -= removed.map_or(0, |o| o.accepted.encoded_len() as u64);
            }
            Some(What::Place(p)) => {
                let unknown = Place { endpoint: p.endpoint.clone(), ..Place::default() };
                if *p == unknown {
                    self.places.remove(&p.endpoint);
                } else {
                    self.places.insert(p.endpoint.clone(), p.clone());
                }
            }
            Some(What::Held(h)) => {
                if let Some(a) = &h.accepted {
                    self.next_id = self.next_id.max(a.id + 1);
                    self.insert_held(h.clone());
                }
            }
            Some(What::Released(r)) => self.remove_held(r.id),
            Some(What::Session(s)) => self.update_session(s),
            Some(What::Named(n)) => self.add_name(*n, i64::MIN),
            Some(What::Final(f)) => self.keep_final(f),
            Some(What::Applied(a)) => _ = self.applied.insert(a.client.clone(), a.clone()),
            Some(What::Heir(h)) => {
                let ids = [h.accepted.as_ref(), h.held.as_ref().and_then(|h| h.accepted.as_ref())];
                ids.into_iter().flatten().for_each(|a| self.next_id = self.next_id.max(a.id + 1));
                self.takeovers.add(h);
            }
            Some(What::Inherited(step)) => {
                let (open, held) = self.takeovers.step(step);
                open.into_iter().for_each(|o| self.insert_open(o));
                held.into_iter().for_each(|h| self.insert_held(h));
            }
            // Describes the log, not the state.
            Some(What::Chain(_)) | None => {}
        }
    }

    /// Returns about how large a snapshot of this state is, in bytes, without what changes little: sessions, rules and
    /// takeovers. Takes no longer with more in the state.
    pub fn estimated_size(&self) -> u64 {
        let names = self.names.len() * NAME_BYTES;
        let finals = self.finals.len() * FINAL_BYTES;
        let places = self.places.len() * PLACE_BYTES;
        self.message_bytes + (names + finals + places) as u64
    }

    fn insert_open(&mut self, open: Open) {
        self.message_bytes += open.accepted.encoded_len() as u64;
        let before = self.open.insert(open.accepted.id, open);
        self.message_bytes -= before.map_or(0, |o| o.accepted.encoded_len() as u64);
    }

    /// Adds a held message, unless it lacks the message itself.
    fn insert_held(&mut self, held: Held) {
        let Some(id) = held.accepted.as_ref().map(|a| a.id) else { return };
        self.message_bytes += held.encoded_len() as u64;
        let before = self.held.insert(id, held);
        self.message_bytes -= before.map_or(0, |h| h.encoded_len() as u64);
    }

    fn remove_held(&mut self, id: u64) {
        let removed = self.held.remove(&id);
        self.message_bytes -= removed.map_or(0, |h| h.encoded_len() as u64);
    }

    /// Limits the number of names that are kept.
    pub fn limit_names(&mut self, max_names: usize) {
        self.max_names = Some(max_names.min(MAX_NAMES));
        self.drop_names(i64::MIN);
    }

    /// Records a session's new state, or its end.
    fn update_session(&mut self, s: &Session) {
        let key = (s.client.clone(), s.name.clone());
        if s.expiry == 0 {
            self.sessions.remove(&key);
            return;
        }
        let kept = self.sessions.entry(key).or_default();
        if kept.session.began != s.began || !s.latest.is_empty() {
            kept.replace_requests(s);
        }
        kept.session = Session { latest: Vec::new(), earlier: 0, ..s.clone() };
    }

    /// Adds a message name, and drops expired names and those beyond the maximum.
    fn add_name(&mut self, named: Named, now: i64) {
        if named.id == 0 {
            // An entry without a message records until when dropped names would have been valid.
            self.forgot = self.forgot.max(named.until);
            return;
        }
        self.names.push_back(named);
        self.drop_names(now);
    }

    /// Drops names that have expired, and those beyond the maximum.
    fn drop_names(&mut self, now: i64) {
        let max_names = self.max_names.unwrap_or(MAX_NAMES);
        while let Some(first) = self.names.front().copied() {
            if self.names.len() > max_names {
                self.forgot = self.forgot.max(first.until);
            } else if first.until >= now {
                break;
            }
            self.names.pop_front();
        }
    }

    /// Keeps a final answer, and drops expired ones and those beyond the maximum.
    fn keep_final(&mut self, f: &Final) {
        let Some(answer) = &f.answer else { return };
        if let Some(before) = self.finals.insert(answer.id, f.clone()) {
            self.expiries.remove(&(before.until, answer.id));
        }
        self.expiries.insert((f.until, answer.id));
        while let Some((until, id)) = self.expiries.first().copied() {
            if until >= answer.at && self.expiries.len() <= MAX_FINALS {
                break;
            }
            self.expiries.pop_first();
            self.finals.remove(&id);
        }
    }

    /// Returns entries that rebuild this state.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        let messages = self.open.values().flat_map(Open::entries);
        let sessions = self.sessions.values().map(|k| What::Session(k.to_entry()).into());
        let forgot = Named { until: self.forgot, ..Named::default() };
        let forgot = Some(forgot).filter(|f| f.until > 0);
        let names = forgot.into_iter().chain(self.names.iter().copied()).map(|n| What::Named(n).into());
        let places = self.places.values().map(|p| What::Place(p.clone()).into());
        // Held messages come after the open ones: an answer among those would remove a held message.
        let held = self.held.values().map(|h| What::Held(h.clone()).into());
        // In order of expiry, so that the same answers are dropped where there are too many.
        let finals = self.expiries.iter().filter_map(|(_, id)| self.finals.get(id));
        let finals = finals.map(|f| What::Final(f.clone()).into());
        let applied = self.applied.values().map(|a| What::Applied(a.clone()).into());
        let takeovers = self.takeovers.entries();
        sessions
            .chain(names)
            .chain(takeovers)
            .chain(messages)
            .chain(held)
            .chain(places)
            .chain(finals)
            .chain(applied)
    }
}
