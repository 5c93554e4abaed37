//! Converts a platform sender's start-up settings to the engine's configuration.

use crate::Micros;
use crate::directory::listing;
use crate::front::SMALL_CLIENT_BYTES;
use heronroute_config::{
    ClientConfig, Config, DirectoryConfig, JournalConfig, KindConfig, PlatformConfig, Protocol,
    ServiceConfig, SmppConfig,
};
use heronroute_journal::Limits;
use heronroute_platform::start::StartUp;

/// The part of the descriptors for clients: a third for requests, and as much again for connections that are
/// idle or silent. The rest is for endpoints, discovery and files, and for accepting connections that are
/// then closed.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.6;
/// The part of the memory for connections of clients that send small requests.
const CLIENT_MEMORY_SHARE: f64 = 1.0 / 6.0;
/// The part of the disk for the log and its snapshot. While a new snapshot is written both exist, and the
/// snapshot is no larger than what it replaces.
const JOURNAL_DISK_SHARE: f64 = 0.45;
/// The part of the disk for the log, at which a snapshot is due.
const SEGMENT_DISK_SHARE: f64 = 0.15;
/// The part of the memory for the ids of messages that have ended, and what an id takes there, in bytes: in the table,
/// and in the journal's state.
const ID_MEMORY_SHARE: f64 = 1.0 / 64.0;
const ID_MEMORY_BYTES: f64 = 68.0;
/// The part of the disk for the same, and what an id takes in a snapshot, in bytes.
const ID_DISK_SHARE: f64 = 0.05;
const ID_DISK_BYTES: f64 = 48.0;
/// How long a sender continues after SIGTERM before it accepts nothing more and waits for its calls. It is
/// killed 3.7 s after the signal at the earliest.
const DRAIN_DELAY: Micros = 2_900_000;

/// Returns the configuration of one real sender of the platform, with all other features of the product
/// turned off.
pub fn config(start_up: &StartUp) -> Config {
    let disk = start_up.limits.disk_mb * 1e6;
    let memory = start_up.limits.memory_mb * 1e6;
    let clients_by_descriptors = start_up.limits.sockets as f64 * CLIENT_DESCRIPTOR_SHARE;
    let ids_by_memory = memory * ID_MEMORY_SHARE / ID_MEMORY_BYTES;
    let ids_by_disk = disk * ID_DISK_SHARE / ID_DISK_BYTES;
    let clients_by_memory = memory * CLIENT_MEMORY_SHARE / SMALL_CLIENT_BYTES as f64;
    let client = |name: &String| ClientConfig {
        system_id: name.clone(),
        password: String::new(),
        rate: f64::INFINITY,
        burst: 1.0,
        weight: 1.0,
        plan: None,
        operator: false,
    };
    let kind = |(name, kind_settings): (&String, &heronroute::KindSettings)| KindConfig {
        name: name.clone(),
        protocol: Protocol::Platform,
        batch: kind_settings.batch.max(1) as usize,
        window: 1,
        system_id: String::new(),
        password: String::new(),
        path: String::new(),
        probe_path: String::new(),
    };
    let known = listing(&start_up.known);
    Config {
        service: ServiceConfig {
            senders: 1,
            drain_for: DRAIN_DELAY,
            owed_room: usize::MAX,
            connect_timeout: start_up.names.connect_timeout.unwrap_or(1_500_000),
        },
        smpp: SmppConfig {
            listen: start_up.listen,
            session_init: 0,
            enquire_every: 0,
            inactivity: 0,
            response: 0,
            window: 0,
            sessions: 0,
            max_pdu: 0,
            weight: 1.0,
        },
        mqtt: None,
        held: None,
        platform: Some(PlatformConfig {
            sessions: (clients_by_descriptors.min(clients_by_memory) as usize).max(1),
            memory: memory as u64,
            remembered_ids: (ids_by_memory.min(ids_by_disk) as usize).max(1),
            discovery: start_up.discovery,
        }),
        directory: DirectoryConfig { address: Some(start_up.discovery), poll: 0, keep: None },
        journal: JournalConfig {
            folder: None,
            limits: Limits {
                segment: (disk * SEGMENT_DISK_SHARE) as u64,
                growth: 1,
                least: (disk * SEGMENT_DISK_SHARE) as u64,
                most: (disk * JOURNAL_DISK_SHARE) as u64,
            },
            most_lag: 1_000_000,
            gather: 0,
        },
        fleet: None,
        plans: Vec::new(),
        clients: start_up.names.tenants.iter().map(client).collect(),
        class_names: start_up.names.classes.clone(),
        kinds: start_up.names.kinds.iter().zip(&start_up.settings.kinds).map(kind).collect(),
        zones: start_up.names.zones.clone(),
        routes: Vec::new(),
        endpoints: known.endpoints,
        settings: start_up.settings.clone(),
    }
}
