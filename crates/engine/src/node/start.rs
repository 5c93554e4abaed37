//! Creation of a node, and reload of its settings.

use super::Node;
use super::api::Start;
use super::endpoints::EndpointTable;
use super::state::Client;
use crate::Micros;
use crate::attempts::OpenAttempts;
use crate::calls::Calls;
use crate::closing_links::ClosingLinks;
use crate::directory::{Directory, Polled, Watched};
use crate::failover::Failover;
use crate::front::FRONT_COUNT;
use crate::identities::Identities;
use crate::ids::ID_SENDER_BITS;
use crate::ledger::Ledger;
use crate::limits::{ClientLimits, Limits};
use crate::mailboxes::Mailboxes;
use crate::memory::{MemoryBudget, MemoryUse};
use crate::read_budget::ReadBudgets;
use crate::routes::Trie;
use crate::rule_tables::RuleTables;
use crate::stats::Stats;
use crate::submitted::SubmittedMessages;
use crate::timers::Timers;
use crate::unconfirmed::UnconfirmedOutcomes;
use heronroute::{DestId, Discovery, Dispatcher, SettingsError};
use heronroute_config::{Config, Listing, parse_listing};
use heronroute_held::{Room, Store};
use heronroute_mqtt::session as mqtt;
use heronroute_platform::notice::Notices;
use heronroute_seen::SeenNames;
use heronroute_smpp::server;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Returns the weights of the fronts; empty if there is only one.
fn front_weights(cfg: &Config) -> Vec<f64> {
    cfg.mqtt.as_ref().map(|m| vec![cfg.smpp.weight, m.weight]).unwrap_or_default()
}

/// Returns the rate limits of the clients.
fn client_rates(cfg: &Config) -> Vec<ClientLimits> {
    cfg.clients.iter().map(|c| ClientLimits { rate: c.rate, burst: c.burst, weight: c.weight }).collect()
}

/// The part of the memory budget that one list of the directory may take, as a divisor.
const BUDGET_PER_LIST: usize = 8;
/// The part of the memory budget for endpoints, as a divisor.
const BUDGET_PER_ENDPOINTS: usize = 4;
/// What an endpoint takes, in bytes: its records here and in the decision library.
const ENDPOINT_BYTES: usize = 1_024;
/// The number of endpoints that are always taken.
const MIN_ENDPOINTS: usize = 1_024;
/// The size of a list that is always read, in bytes.
const MIN_LIST_BYTES: usize = 512 * 1024;

/// Returns the maximum size of a list of the directory, in bytes.
fn max_list_bytes(memory: &MemoryBudget) -> usize {
    (memory.limit() / BUDGET_PER_LIST).max(MIN_LIST_BYTES)
}

/// Returns the maximum number of endpoints in the table.
fn max_endpoints(memory: &MemoryBudget) -> usize {
    (memory.limit() / BUDGET_PER_ENDPOINTS / ENDPOINT_BYTES).max(MIN_ENDPOINTS)
}

impl Node {
    /// Creates a sender.
    ///
    /// # Errors
    ///
    /// Returns an error if the decision library rejects the settings.
    pub fn new(cfg: Arc<Config>, start: Start) -> Result<Self, SettingsError> {
        let s = &cfg.smpp;
        let smpp_limits = server::Limits {
            session_init: s.session_init,
            enquire_every: s.enquire_every,
            inactivity: s.inactivity,
            response: s.response,
            window: s.window,
            max_pdu: s.max_pdu,
        };
        let mqtt_limits = cfg.mqtt.as_ref().map(|m| mqtt::Limits {
            connect_within: m.connect_within,
            keep_alive: m.keep_alive,
            expiry: m.expiry,
            window: m.window,
            max_packet: m.max_packet,
        });
        let now = start.now;
        let memory = MemoryBudget::new(cfg.platform.map(|p| p.memory));
        let dispatcher = Dispatcher::new(now, start.seed, cfg.settings.clone())?;
        let push = cfg.settings.discovery == Discovery::Push;
        let directory: Box<dyn Directory> = match cfg.platform {
            Some(p) => Box::new(Watched::new(now, p.discovery, max_list_bytes(&memory))),
            None => Box::new(Polled::new(now, cfg.directory.address, cfg.directory.poll, push)),
        };
        let limits = Limits::new(
            now,
            &client_rates(&cfg),
            &front_weights(&cfg),
            cfg.settings.max_open as usize,
            cfg.service.owed_room,
        );
        let mut node = Node {
            smpp_limits,
            mqtt_limits,
            index: start.index,
            now,
            wall: start.wall - now,
            dispatcher,
            events: Vec::new(),
            actions: Vec::new(),
            last_round: Micros::MIN / 2,
            inputs_until: Micros::MAX,
            timers: Timers::default(),
            conns: BTreeMap::new(),
            next_conn: 0,
            sessions: [0; FRONT_COUNT],
            open_by_front: [0; FRONT_COUNT],
            senders: cfg.service.senders.max(1),
            mailboxes: Mailboxes::default(),
            seen: cfg.mqtt.as_ref().map(|m| SeenNames::new(m.remembered, start.wall, start.seed)),
            read_budgets: ReadBudgets::new(now),
            endpoints: EndpointTable::new(max_endpoints(&memory)),
            journal_memory: memory.count(MemoryUse::Journal, 0),
            notices_memory: memory.count(MemoryUse::Notices, 0),
            memory,
            held: cfg.held.map(|h| {
                let trails = Room { age: i64::MAX, count: h.trails, octets: u64::MAX };
                Store::new(trails, Room { age: h.age, count: h.count, octets: h.octets })
            }),
            unacknowledged: BTreeSet::new(),
            releases: BTreeMap::new(),
            trail_names: Vec::new(),
            trail_numbers: BTreeMap::new(),
            messages: BTreeMap::new(),
            finished: BTreeMap::new(),
            finished_order: VecDeque::new(),
            // Ids are never reused, not even across restarts and senders: those of an earlier run are lower,
            // as no sender accepts a million messages a second for as long as it runs.
            next_id: ((start.wall.max(0) as u64) << ID_SENDER_BITS) | start.index as u64,
            calls: Calls::default(),
            attempts: OpenAttempts::default(),
            closing_links: ClosingLinks::default(),
            delayed_calls: BTreeMap::new(),
            unconfirmed: UnconfirmedOutcomes::default(),
            prune_at: now,
            zones: cfg.zones.clone(),
            lists_applied: 0,
            clients: Vec::new(),
            client_names: BTreeMap::new(),
            class_names: cfg.class_names.iter().enumerate().map(|(i, n)| (n.clone(), i)).collect(),
            limits,
            routes: Trie::default(),
            directory,
            directory_conn: None,
            notices: cfg.platform.map(|p| Notices::new(p.discovery)),
            notices_conn: None,
            submitted: SubmittedMessages::default(),
            identities: Identities::new(cfg.platform.map_or(1, |p| p.remembered_ids), start.wall, start.seed),
            frozen: false,
            rule_tables: start.fleet.then(|| {
                let names = cfg.mqtt.as_ref().map_or(0, |m| m.remembered);
                RuleTables::new(names, cfg.clients.len())
            }),
            region: cfg.fleet.as_ref().and_then(|f| f.regions.as_ref()).map(|_| {
                Failover::new(start.state.as_ref().map(|b| b.takeovers.clone()).unwrap_or_default())
            }),
            ledger: Ledger::new(
                start.state.as_ref().map(|_| cfg.journal.limits),
                cfg.journal.most_lag,
                start.journal_usage,
            ),
            pending_replies: 0,
            outputs: Vec::new(),
            stats: Stats::default(),
            leaving: false,
            left: false,
            cfg: cfg.clone(),
        };
        node.apply_clients_and_routes(&cfg);
        let kept = start.kept.and_then(|text| match parse_listing("kept list", &text) {
            Ok(listing) => Some(listing),
            Err(e) => {
                tracing::warn!(error = %e, "the saved directory list cannot be read; starting without it");
                None
            }
        });
        let configured = Listing { version: start.list, whole: true, endpoints: cfg.endpoints.clone() };
        let first = kept.unwrap_or(configured);
        node.directory.known(&first);
        node.apply_listing(&first);
        if let Some(state) = start.state {
            node.restart(state);
        }
        // Everything accepted before may be in a copy.
        let next = node.next_id;
        node.region = node.region.map(|r| r.with_copied_below(next));
        node.schedule_directory();
        node.settle(now);
        Ok(node)
    }

    /// Applies clients and routes, at the start and at a reload. An existing client keeps its index.
    fn apply_clients_and_routes(&mut self, cfg: &Config) {
        for c in &cfg.clients {
            let next = self.clients.len();
            if !self.client_names.contains_key(&c.system_id) {
                self.client_names.insert(c.system_id.clone(), next);
                self.add_client();
            }
        }
        self.routes = Trie::default();
        for r in &cfg.routes {
            self.routes.insert(&r.prefix, DestId(r.destination));
        }
    }

    /// Adds the state of one more client.
    pub(crate) fn add_client(&mut self) {
        let mailbox = self.mailboxes.open(self.clients.len(), "");
        self.clients.push(Client { open: 0, owed: 0, admitted_conns: 0, mailbox });
    }

    /// Applies new settings, as far as they can change in service: added clients, passwords, rates, routes,
    /// and the endpoints of the file. Returns the names of settings that differ and need a restart.
    pub fn reload(&mut self, now: Micros, cfg: Arc<Config>) -> Vec<&'static str> {
        self.now = now.max(self.now);
        let old = self.cfg.clone();
        let mut needs_restart = Vec::new();
        let same_order = old.clients.iter().zip(&cfg.clients).all(|(a, b)| a.system_id == b.system_id);
        if !same_order || cfg.clients.len() < old.clients.len() {
            needs_restart.push("client (order, or one taken out)");
        }
        for (name, differs) in [
            ("service", old.service != cfg.service),
            ("smpp", old.smpp != cfg.smpp),
            ("mqtt", old.mqtt != cfg.mqtt),
            ("held", old.held != cfg.held),
            ("directory", old.directory != cfg.directory),
            ("journal", old.journal != cfg.journal),
            ("class", old.settings.classes != cfg.settings.classes || old.class_names != cfg.class_names),
            ("kind", old.kinds != cfg.kinds),
            ("fleet", old.fleet != cfg.fleet),
        ] {
            if differs {
                needs_restart.push(name);
            }
        }
        if !needs_restart.is_empty() {
            return needs_restart;
        }
        self.apply_clients_and_routes(&cfg);
        self.limits.reload(now, &client_rates(&cfg));
        if old.endpoints != cfg.endpoints && cfg.directory.address.is_none() {
            self.apply_listing(&Listing { version: 0, whole: true, endpoints: cfg.endpoints.clone() });
        }
        self.cfg = cfg;
        self.settle(now);
        needs_restart
    }
}
