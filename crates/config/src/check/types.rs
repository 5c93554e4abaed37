//! Validated settings as plain data.

use heronroute::{Micros, Settings, Status};
use heronroute_rules::Plan;
use std::net::SocketAddr;

/// The settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The service itself.
    pub service: ServiceConfig,
    /// The SMPP front.
    pub smpp: SmppConfig,
    /// The MQTT front, if enabled.
    pub mqtt: Option<MqttConfig>,
    /// The front of the platform, if enabled. It is not part of settings files.
    pub platform: Option<PlatformConfig>,
    /// The storage of messages held for clients, if enabled.
    pub held: Option<HeldConfig>,
    /// The access to the directory.
    pub directory: DirectoryConfig,
    /// The journal.
    pub journal: JournalConfig,
    /// The installation that this process is a member of, if any.
    pub fleet: Option<FleetConfig>,
    /// The plans, which limit the rules that clients define, in the order of the file.
    pub plans: Vec<Plan>,
    /// The clients. A client's index is its tenant.
    pub clients: Vec<ClientConfig>,
    /// The names of the classes, in the order of `settings.classes`.
    pub class_names: Vec<String>,
    /// The kinds of destination, in the order of `settings.kinds`.
    pub kinds: Vec<KindConfig>,
    /// The names of the zones. An index identifies a zone.
    pub zones: Vec<String>,
    /// The routes.
    pub routes: Vec<RouteConfig>,
    /// The endpoints known at startup.
    pub endpoints: Vec<EndpointConfig>,
    /// The settings of the decision library.
    pub settings: Settings,
}

/// Limits and timeouts of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// The number of senders of the process.
    pub senders: usize,
    /// The maximum time for draining after SIGTERM.
    pub drain_for: Micros,
    /// The maximum number of receipts kept for a client that is not bound.
    pub owed_room: usize,
    /// The timeout for connecting to an endpoint.
    pub connect_timeout: Micros,
}

/// Limits and timeouts of the SMPP front.
#[derive(Clone, Debug, PartialEq)]
pub struct SmppConfig {
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The time within which a client has to bind.
    pub session_init: Micros,
    /// The silence after which an `enquire_link` is sent.
    pub enquire_every: Micros,
    /// The time without requests after which a session is unbound.
    pub inactivity: Micros,
    /// The time within which a response has to arrive.
    pub response: Micros,
    /// The maximum number of requests without a response in each direction, per session.
    pub window: usize,
    /// The maximum number of sessions of one sender.
    pub sessions: usize,
    /// The maximum size of a PDU in bytes.
    pub max_pdu: usize,
    /// The weight of its share of capacity among fronts.
    pub weight: f64,
}

/// Limits and addresses of the platform's front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformConfig {
    /// The maximum number of client connections.
    pub sessions: usize,
    /// The memory that the process may use, in bytes.
    pub memory: u64,
    /// The number of message ids that are remembered after their messages have ended.
    pub remembered_ids: usize,
    /// The address from which lists are fetched and to which notices are sent.
    pub discovery: SocketAddr,
}

/// Limits of the messages held for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldConfig {
    /// The maximum age of a held message.
    pub age: i64,
    /// The maximum number of held messages per client.
    pub count: usize,
    /// The maximum bytes of held messages per client.
    pub octets: u64,
    /// The maximum number of trails of other messages, of one sender.
    pub trails: usize,
}

/// Limits and timeouts of the MQTT front.
#[derive(Clone, Debug, PartialEq)]
pub struct MqttConfig {
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The time within which a CONNECT has to arrive.
    pub connect_within: i64,
    /// The maximum keep-alive in seconds, 0 for none.
    pub keep_alive: u16,
    /// The maximum time in seconds for which a session is kept without a connection.
    pub expiry: u32,
    /// The maximum number of unacknowledged PUBLISH packets in each direction.
    pub window: u16,
    /// The maximum size of a packet in bytes.
    pub max_packet: u32,
    /// The maximum number of sessions of one sender, with and without a connection.
    pub sessions: usize,
    /// The time for which message names given by clients are remembered.
    pub remember: i64,
    /// The maximum number of remembered names of one sender.
    pub remembered: usize,
    /// The weight of its share of capacity among fronts.
    pub weight: f64,
}

/// The access to the directory.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryConfig {
    /// The address of the directory, if there is one.
    pub address: Option<SocketAddr>,
    /// The maximum wait of one long poll.
    pub poll: Micros,
    /// The file that stores the latest list.
    pub keep: Option<String>,
}

/// The location and limits of the journal.
#[derive(Clone, Debug, PartialEq)]
pub struct JournalConfig {
    /// The folder of the journal. None: there is no journal.
    pub folder: Option<String>,
    /// The size limits of the journal.
    pub limits: heronroute_journal::Limits,
    /// The time for which the disk may lag before no more messages are accepted.
    pub most_lag: Micros,
    /// The time for which entries are gathered before a commit.
    pub gather: Micros,
}

/// A client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientConfig {
    /// The name with which it logs in.
    pub system_id: String,
    /// The password with which it logs in.
    pub password: String,
    /// The maximum rate of accepted messages per second. Infinite if none is set.
    pub rate: f64,
    /// The number of messages accepted at once above the rate.
    pub burst: f64,
    /// The weight of its share of capacity among clients.
    pub weight: f64,
    /// The name of the plan that limits the rules it defines. None: it can't define rules.
    pub plan: Option<String>,
    /// Whether it may approve other clients' rules and see the drift of the installation.
    pub operator: bool,
}

/// The installation, and this process's place in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// The name of the installation. Frames of another installation are dropped.
    pub id: String,
    /// The index of this process in `members`.
    pub own: usize,
    /// The address at which it listens for other members.
    pub listen: SocketAddr,
    /// The folder of its start number, its log and its history.
    pub folder: String,
    /// The file with the key of the installation.
    pub key_file: String,
    /// All members, in the order of the file; 1, 3 or 5 are keepers.
    pub members: Vec<MemberConfig>,
    /// The offset of this process's time of day from the machine's, negative if behind. For tests of clock
    /// skew.
    pub clock_ahead: Micros,
    /// The rollout of approved rules to the members.
    pub rollout: RolloutConfig,
    /// The regions of the members, if the installation has regions.
    pub regions: Option<RegionsConfig>,
}

/// The regions of an installation, each of which can carry the whole load alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionsConfig {
    /// The region of each member, in the order of the members.
    pub of: Vec<String>,
    /// The time for which a member that is cut off continues to send.
    pub right: Micros,
    /// The time for which a member has to be considered dead before it is taken over.
    pub gone: Micros,
    /// The folder of this member's copies of other members' journals.
    pub folder: String,
    /// The maximum bytes of all copies together.
    pub most_disk: u64,
    /// The maximum lag of a copy that counts as current.
    pub lag: Micros,
    /// The regions in which a message has to be durable, by class.
    pub classes: Vec<Copies>,
}

/// The regions in which a message has to be durable before it is accepted, attempted and answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Copies {
    /// In the member's own region. The copy in the other region follows.
    #[default]
    Local,
    /// In both regions. While the copy is not current, the message is refused with a retry time.
    Both,
    /// In both regions. While the copy is not current, as [`Copies::Local`].
    BothOrLocal,
}

/// The rollout of approved rules to the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutConfig {
    /// Whether rules go to one member first, then its zone, then all. Otherwise they go to all at once.
    pub waves: bool,
    /// The time for which a wave has to be in line before the next one begins.
    pub soak: Micros,
    /// The time within which a wave has to be in line.
    pub wave_for: Micros,
    /// Whether a stopped rollout is rolled back.
    pub back: bool,
}

/// A member of an installation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberConfig {
    /// Its unique name: 1 to 32 of `a-z`, `0-9` and `-`.
    pub name: String,
    /// The unique address at which the others reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Whether it takes part in consensus.
    pub keeper: bool,
}

/// The protocol of a kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// SMPP.
    Smpp,
    /// HTTP.
    Http,
    /// The calls of the users' platform. Not part of settings files.
    Platform,
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq)]
pub struct KindConfig {
    /// Its name.
    pub name: String,
    /// Its protocol.
    pub protocol: Protocol,
    /// The maximum number of messages in a call.
    pub batch: usize,
    /// The maximum number of concurrent calls on a connection.
    pub window: usize,
    /// The name for the login at an SMPP endpoint.
    pub system_id: String,
    /// The password for the login at an SMPP endpoint.
    pub password: String,
    /// The path of HTTP calls.
    pub path: String,
    /// The path of HTTP probes.
    pub probe_path: String,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteConfig {
    /// The prefix of the addresses that it matches.
    pub prefix: String,
    /// The destination.
    pub destination: i64,
}

/// An endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointConfig {
    /// Its unique name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// The destination that it serves.
    pub destination: i64,
    /// The name of its kind.
    pub kind: String,
    /// The name of its zone.
    pub zone: String,
    /// The calls per second that its destination accepts in total, if known.
    pub weight: Option<f64>,
    /// Its status.
    pub status: Status,
    /// When it last started, in milliseconds since 1970 UTC; 0 for long ago.
    pub started_ms: u64,
}

/// The answer of a directory.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The version of the list.
    pub version: u64,
    /// Whether this is the whole list. Otherwise it has changes only.
    pub whole: bool,
    /// The endpoints in the list.
    pub endpoints: Vec<EndpointConfig>,
}
