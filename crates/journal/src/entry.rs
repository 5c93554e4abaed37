//! The entries of the journal, encoded as protobuf: fields may be added, and none changes its meaning.

/// One entry of the journal.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// The contents of the entry.
    #[prost(oneof = "What", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15")]
    pub what: Option<What>,
}

/// The kinds of entries.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum What {
    /// A message was accepted. Durable before the client is notified.
    #[prost(message, tag = "1")]
    Accepted(Accepted),
    /// An attempt is about to be sent. Durable before any byte of it is sent.
    #[prost(message, tag = "2")]
    Intent(Intent),
    /// An attempt ended.
    #[prost(message, tag = "3")]
    Outcome(Outcome),
    /// The final answer of a message. Durable before it is reported.
    #[prost(message, tag = "4")]
    Answer(Answer),
    /// The client confirmed the answer, or needs none.
    #[prost(message, tag = "5")]
    Taken(Taken),
    /// What is known of an endpoint, as far as the rules need it after a restart.
    #[prost(message, tag = "6")]
    Place(Place),
    /// The new state of a client's session that survives the loss of its connection.
    #[prost(message, tag = "7")]
    Session(Session),
    /// The name that a client gave a message that is no longer open.
    #[prost(message, tag = "8")]
    Named(Named),
    /// An undelivered message is held for its client.
    #[prost(message, tag = "9")]
    Held(Held),
    /// A message is no longer held.
    #[prost(message, tag = "10")]
    Released(Released),
    /// A final answer is kept so that it can be repeated.
    #[prost(message, tag = "11")]
    Final(Final),
    /// A client's own rules take effect. Durable before this is reported to anyone.
    #[prost(message, tag = "12")]
    Applied(Applied),
    /// The digest chain at the number that a snapshot covers up to. In snapshots only.
    #[prost(message, tag = "13")]
    Chain(Chained),
    /// A message taken over from a dead member; it has no effect before [`What::Inherited`].
    #[prost(message, boxed, tag = "14")]
    Heir(Box<Heir>),
    /// A step of the takeover of a dead member's messages.
    #[prost(message, tag = "15")]
    Inherited(Inherited),
}

impl From<What> for Entry {
    fn from(what: What) -> Self {
        Entry { what: Some(what) }
    }
}

/// A message as its client submitted it. Times are microseconds since 1970 UTC.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accepted {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The client, by system_id.
    #[prost(string, tag = "2")]
    pub client: String,
    /// The class, by name.
    #[prost(string, tag = "3")]
    pub class: String,
    #[prost(string, tag = "4")]
    pub source: String,
    #[prost(string, tag = "5")]
    pub destination: String,
    /// The destination that the address resolved to.
    #[prost(sint64, tag = "6")]
    pub dest: i64,
    #[prost(string, tag = "7")]
    pub key: String,
    #[prost(bytes = "vec", tag = "8")]
    pub body: Vec<u8>,
    #[prost(int64, tag = "9")]
    pub taken: i64,
    /// The time at which the message expires.
    #[prost(int64, tag = "10")]
    pub deadline: i64,
    /// Forward mode: the response to the submission was to carry the answer.
    #[prost(bool, tag = "11")]
    pub forward: bool,
    /// Which receipts the client wants: 0 none, 1 all, 2 for failure, 3 for success.
    #[prost(uint32, tag = "12")]
    pub wanted: u32,
    #[prost(bool, tag = "13")]
    pub again: bool,
    #[prost(uint32, tag = "14")]
    pub coding: u32,
    #[prost(uint32, tag = "15")]
    pub esm: u32,
    /// The client's session that the answer goes to; empty where any of its sessions will do.
    #[prost(string, tag = "16")]
    pub mailbox: String,
    /// The address of the answer in the client's protocol.
    #[prost(string, tag = "17")]
    pub reply: String,
    /// The data that is returned with the answer.
    #[prost(bytes = "vec", tag = "18")]
    pub correlation: Vec<u8>,
    /// The protocol's number of the request, 0 for none.
    #[prost(uint32, tag = "19")]
    pub packet: u32,
    /// The digest of the request.
    #[prost(fixed64, tag = "20")]
    pub digest: u64,
    /// The client's own name for the message.
    #[prost(message, optional, tag = "21")]
    pub named: Option<Named>,
    /// The message was refused: it was recorded only for the refusal and is never sent.
    #[prost(bool, tag = "22")]
    pub refused: bool,
    /// The held message that this one resubmits as a new effect; it is no longer held.
    #[prost(uint64, tag = "23")]
    pub replaces: u64,
    /// The message's identity, where the client's side gave it one.
    #[prost(string, tag = "24")]
    pub identity: String,
    /// How long the final answer is kept so that it can be repeated; 0: not at all.
    #[prost(int64, tag = "25")]
    pub answer_for: i64,
    /// Whether the message, its attempts and its answer had to be durable in both regions before taking
    /// effect.
    #[prost(bool, tag = "26")]
    pub both: bool,
    /// Whether its client handed in a held message again: this one, or the one that it replaces.
    #[prost(bool, tag = "27")]
    pub resubmitted: bool,
}

/// An attempt that may be sent from now on.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Intent {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The name of the endpoint.
    #[prost(string, tag = "2")]
    pub endpoint: String,
    #[prost(int64, tag = "3")]
    pub at: i64,
}

/// The outcome of the last attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Outcome {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Whether it is proved that the attempt had no effect.
    #[prost(bool, tag = "2")]
    pub never_ran: bool,
}

/// The final answer of a message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The state, as written in receipts.
    #[prost(string, tag = "2")]
    pub word: String,
    /// The wait reported with the answer, in microseconds; below 0: none.
    #[prost(sint64, tag = "3")]
    pub retry_after: i64,
    #[prost(int64, tag = "4")]
    pub at: i64,
}

/// The answer was confirmed: the message is no longer open.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Taken {
    #[prost(uint64, tag = "1")]
    pub id: u64,
}

/// What is known of an endpoint. The last entry for an endpoint replaces earlier ones.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Place {
    /// The name of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// The time until which the endpoint asked to wait.
    #[prost(int64, tag = "2")]
    pub wait_until: i64,
    /// The time since which calls to it have failed; 0 where the last one succeeded.
    #[prost(int64, tag = "3")]
    pub bad_since: i64,
    /// The time since which it is back from an outage and still warming up; 0 where it is not.
    #[prost(int64, tag = "4")]
    pub back_since: i64,
    /// The number of calls allowed in a thousand seconds after the last call was refused; 0 where it was not.
    #[prost(uint32, tag = "5")]
    pub budget: u32,
}

/// A session that survives the loss of its connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Session {
    /// The client, by system_id.
    #[prost(string, tag = "1")]
    pub client: String,
    /// The name of the session, unique within the client.
    #[prost(string, tag = "2")]
    pub name: String,
    /// When the session began; another time means another session.
    #[prost(int64, tag = "3")]
    pub began: i64,
    /// How long the session is kept without a connection; 0: the session is over.
    #[prost(int64, tag = "4")]
    pub expiry: i64,
    /// The data that the protocol keeps with the session.
    #[prost(bytes = "vec", tag = "5")]
    pub notes: Vec<u8>,
    /// The number of requests that the client may send again.
    #[prost(uint32, tag = "6")]
    pub window: u32,
    /// The latest of those requests, oldest first. In snapshots only.
    #[prost(message, repeated, tag = "7")]
    pub latest: Vec<Request>,
    /// Whether earlier requests of the session are missing from `latest`. In snapshots only.
    #[prost(enumeration = "EarlierRequests", tag = "8")]
    pub earlier: i32,
}

/// Whether a session had requests that its list of the latest ones does not contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum EarlierRequests {
    /// Not recorded, as by earlier versions of the program.
    Unknown = 0,
    /// It had none.
    None = 1,
    /// It had some.
    Some = 2,
}

/// A request of a session.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Request {
    #[prost(uint32, tag = "1")]
    pub packet: u32,
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    #[prost(uint64, tag = "3")]
    pub id: u64,
}

/// The name that a client gave a message, as a digest.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Named {
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    #[prost(fixed64, tag = "2")]
    pub low: u64,
    #[prost(uint64, tag = "3")]
    pub id: u64,
    /// The time until which the name is valid.
    #[prost(int64, tag = "4")]
    pub until: i64,
}

/// An undelivered message held for its client.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Held {
    /// The message as it was submitted.
    #[prost(message, optional, tag = "1")]
    pub accepted: Option<Accepted>,
    /// The encoded trail of the message; see the package `heronroute-held`.
    #[prost(bytes = "vec", tag = "2")]
    pub trail: Vec<u8>,
    /// The names that the trail refers to by index, from 0.
    #[prost(string, repeated, tag = "3")]
    pub names: Vec<String>,
}

/// A message is no longer held: its client dropped it, or there was no space.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Released {
    #[prost(uint64, tag = "1")]
    pub id: u64,
}

/// A final answer that is kept after it was confirmed, with the fields reported with it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Final {
    /// The client, by system_id.
    #[prost(string, tag = "1")]
    pub client: String,
    /// The answer.
    #[prost(message, optional, tag = "2")]
    pub answer: Option<Answer>,
    /// The source address of the message.
    #[prost(string, tag = "3")]
    pub source: String,
    /// The destination address of the message.
    #[prost(string, tag = "4")]
    pub destination: String,
    /// When the message was accepted.
    #[prost(int64, tag = "5")]
    pub taken: i64,
    /// The time until which the answer is kept.
    #[prost(int64, tag = "6")]
    pub until: i64,
}

/// One version of a client's rules, in a single entry, so that a crash leaves either the old rules or the new
/// ones.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Applied {
    /// The client, by system_id.
    #[prost(string, tag = "1")]
    pub client: String,
    /// The version of the rules.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The rules, as encoded by their package.
    #[prost(bytes = "vec", tag = "3")]
    pub rules: Vec<u8>,
    /// The plan, likewise.
    #[prost(bytes = "vec", tag = "4")]
    pub plan: Vec<u8>,
    /// The index of the member, the number of members, and the member's number of senders; 0 members: the
    /// rates are not divided among members.
    #[prost(uint32, tag = "5")]
    pub place: u32,
    #[prost(uint32, tag = "6")]
    pub members: u32,
    #[prost(uint32, tag = "7")]
    pub senders: u32,
}

/// A message of a dead member, under a new number of the member that takes it over.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heir {
    /// The life of the member that died.
    #[prost(string, tag = "1")]
    pub origin: String,
    /// The message, where it was open.
    #[prost(message, optional, tag = "2")]
    pub accepted: Option<Accepted>,
    /// The number of attempts.
    #[prost(uint32, tag = "3")]
    pub attempts: u32,
    /// The first attempt that may have taken effect.
    #[prost(message, optional, tag = "4")]
    pub may_run: Option<Intent>,
    /// The answer, where it was not confirmed.
    #[prost(message, optional, tag = "5")]
    pub answer: Option<Answer>,
    /// The held message, where it was held.
    #[prost(message, optional, tag = "6")]
    pub held: Option<Held>,
}

/// A step of a takeover.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Inherited {
    /// The life of the member that died.
    #[prost(string, tag = "1")]
    pub origin: String,
    /// The step, a [`Step`].
    #[prost(enumeration = "Step", tag = "2")]
    pub step: i32,
}

/// A digest chain.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Chained {
    /// The current number and digest.
    #[prost(message, optional, tag = "1")]
    pub at: Option<Marked>,
    /// The marks at earlier numbers that are kept, lowest number first.
    #[prost(message, repeated, tag = "2")]
    pub marks: Vec<Marked>,
}

/// The digest of all entries before a number.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Marked {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
}

/// The steps of a takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Step {
    /// The takeover begins; entries of an earlier attempt at it are void.
    Begun = 0,
    /// All messages are recorded, and none takes effect yet.
    Whole = 1,
    /// The messages belong to this journal from here on.
    Own = 2,
    /// The takeover is void: the messages belong to another member or to none.
    Void = 3,
}
