//! A node is made, and takes over new settings.

use super::Node;
use super::api::Start;
use super::remotes::Remotes;
use super::state::Client;
use crate::Micros;
use crate::calls::Calls;
use crate::directory::{Directory, Polled, Watched};
use crate::front::FRONTS;
use crate::ids::ID_SENDER_BITS;
use crate::keeping::Keeping;
use crate::ledger::Ledger;
use crate::limits::{ClientLimits, Limits};
use crate::mailboxes::Mailboxes;
use crate::read_budget::ReadBudgets;
use crate::routes::Trie;
use crate::standing::Standing;
use crate::stats::Stats;
use crate::timers::Timers;
use crate::unconfirmed::UnconfirmedOutcomes;
use heronroute::{DestId, Discovery, Dispatcher, SettingsError};
use heronroute_config::{Config, Listing, parse_listing};
use heronroute_held::{Room, Store};
use heronroute_mqtt::session as mqtt;
use heronroute_platform::notice::Notices;
use heronroute_seen::Seen;
use heronroute_smpp::server;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// What the fronts are due beside each other; none where there is one only.
fn fronts(cfg: &Config) -> Vec<f64> {
    cfg.mqtt.as_ref().map(|m| vec![cfg.smpp.weight, m.weight]).unwrap_or_default()
}

fn rates(cfg: &Config) -> Vec<ClientLimits> {
    cfg.clients.iter().map(|c| ClientLimits { rate: c.rate, burst: c.burst, weight: c.weight }).collect()
}

impl Node {
    /// Starts a sender.
    ///
    /// # Errors
    /// When the decision library can't work with the settings.
    pub fn new(cfg: Arc<Config>, start: Start) -> Result<Self, SettingsError> {
        let s = &cfg.smpp;
        let session_limits = server::Limits {
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
        let dispatcher = Dispatcher::new(now, start.seed, cfg.settings.clone())?;
        let follow = cfg.settings.discovery == Discovery::Push;
        let directory: Box<dyn Directory> = match cfg.platform {
            Some(p) => Box::new(Watched::new(now, p.discovery)),
            None => Box::new(Polled::new(now, cfg.directory.address, cfg.directory.poll, follow)),
        };
        let limits = Limits::new(
            now,
            &rates(&cfg),
            &fronts(&cfg),
            cfg.settings.max_open as usize,
            cfg.service.owed_room,
        );
        let mut node = Node {
            session_limits,
            mqtt_limits,
            index: start.index,
            now,
            wall: start.wall - now,
            dispatcher,
            events: Vec::new(),
            actions: Vec::new(),
            last_round: Micros::MIN / 2,
            timers: Timers::default(),
            conns: BTreeMap::new(),
            next_conn: 0,
            sessions: [0; FRONTS],
            open_of: [0; FRONTS],
            mailboxes: Mailboxes::default(),
            seen: cfg.mqtt.as_ref().map(|m| Seen::new(m.remembered, start.wall, start.seed)),
            read_budgets: ReadBudgets::new(now),
            held: cfg.held.map(|h| {
                let trails = Room { age: i64::MAX, count: h.trails, octets: u64::MAX };
                Store::new(trails, Room { age: h.age, count: h.count, octets: h.octets })
            }),
            unheard: BTreeSet::new(),
            releasing: BTreeMap::new(),
            trail_names: Vec::new(),
            trail_numbers: BTreeMap::new(),
            messages: BTreeMap::new(),
            ended: BTreeMap::new(),
            ended_order: VecDeque::new(),
            // Numbers are never used twice, over restarts and senders too: an earlier run's lie lower, as no
            // sender takes on a million messages a second for as long as it runs.
            next_id: ((start.wall.max(0) as u64) << ID_SENDER_BITS) | start.index as u64,
            calls: Calls::default(),
            unconfirmed: UnconfirmedOutcomes::default(),
            remotes: Remotes::default(),
            forget_at: now,
            zones: cfg.zones.clone(),
            clients: Vec::new(),
            client_names: BTreeMap::new(),
            class_names: cfg.class_names.iter().enumerate().map(|(i, n)| (n.clone(), i)).collect(),
            limits,
            routes: Trie::default(),
            directory,
            directory_conn: None,
            notices: cfg.platform.map(|p| Notices::new(p.discovery)),
            notices_conn: None,
            fresh: Vec::new(),
            fresh_octets: 0,
            by_identity: BTreeMap::new(),
            frozen: false,
            keeping: start.fleet.then(|| {
                let names = cfg.mqtt.as_ref().map_or(0, |m| m.remembered);
                Keeping::new(names, cfg.clients.len())
            }),
            region: cfg
                .fleet
                .as_ref()
                .and_then(|f| f.regions.as_ref())
                .map(|_| Standing::new(start.book.as_ref().map(|b| b.heirs.clone()).unwrap_or_default())),
            ledger: Ledger::new(start.book.as_ref().map(|_| cfg.journal.limits), cfg.journal.most_lag),
            outputs: Vec::new(),
            stats: Stats::default(),
            leaving: false,
            left: false,
            cfg: cfg.clone(),
        };
        node.take_over(&cfg);
        let kept = start.kept.and_then(|text| match parse_listing("kept list", &text) {
            Ok(listing) => Some(listing),
            Err(e) => {
                tracing::warn!(error = %e, "the kept list cannot be read; starting without it");
                None
            }
        });
        let known = Listing { version: start.list, whole: true, endpoints: cfg.endpoints.clone() };
        let first = kept.unwrap_or(known);
        node.directory.known(&first);
        node.members(&first);
        if let Some(book) = start.book {
            node.restart(book);
        }
        // All that was accepted before may be in a copy.
        let next = node.next_id;
        node.region = node.region.map(|r| r.began(next));
        node.schedule_directory();
        node.settle(now);
        Ok(node)
    }

    /// Clients and routes, at the start and at a reload. A client that stays keeps its place.
    fn take_over(&mut self, cfg: &Config) {
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

    /// A place for one more client.
    pub(crate) fn add_client(&mut self) {
        let mailbox = self.mailboxes.open(self.clients.len(), "");
        self.clients.push(Client { open: 0, owed: 0, conns: 0, mailbox });
    }

    /// Takes over new settings, as far as they can change in service: clients that were added, passwords, rates,
    /// routes and endpoints of the file. Gives the names of what differs and needs a restart.
    pub fn reload(&mut self, now: Micros, cfg: Arc<Config>) -> Vec<&'static str> {
        self.now = now.max(self.now);
        let old = self.cfg.clone();
        let mut fixed = Vec::new();
        let same_order = old.clients.iter().zip(&cfg.clients).all(|(a, b)| a.system_id == b.system_id);
        if !same_order || cfg.clients.len() < old.clients.len() {
            fixed.push("client (order, or one taken out)");
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
                fixed.push(name);
            }
        }
        if !fixed.is_empty() {
            return fixed;
        }
        self.take_over(&cfg);
        self.limits.reload(now, &rates(&cfg));
        if old.endpoints != cfg.endpoints && cfg.directory.address.is_none() {
            self.members(&Listing { version: 0, whole: true, endpoints: cfg.endpoints.clone() });
        }
        self.cfg = cfg;
        self.settle(now);
        fixed
    }
}
