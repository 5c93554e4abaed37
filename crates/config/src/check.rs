//! From the raw file to checked settings: what is allowed, and what stands where nothing is said.

use crate::raw;
use crate::units::{parse_size, parse_span};
use heronroute::{
    ClassSettings, Discovery, Effect, Group, KindSettings, Micros, Settings, Status, TenantSettings, Weights,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A field that is wrong, by path.
pub struct Wrong {
    pub path: String,
    pub what: String,
}

/// Everything a service is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The service itself.
    pub service: ServiceConfig,
    /// The front for clients.
    pub smpp: SmppConfig,
    /// The MQTT front, where it is spoken.
    pub mqtt: Option<MqttConfig>,
    /// The platform's front, where it is spoken; not in settings files.
    pub platform: Option<PlatformConfig>,
    /// Messages held for their clients, where any are.
    pub held: Option<HeldConfig>,
    /// The directory.
    pub directory: DirectoryConfig,
    /// The journal.
    pub journal: JournalConfig,
    /// Clients, which are the tenants; a client's index is its tenant.
    pub clients: Vec<ClientConfig>,
    /// Names of the classes, in the order of `settings.classes`.
    pub class_names: Vec<String>,
    /// Kinds of destination, in the order of `settings.kinds`.
    pub kinds: Vec<KindConfig>,
    /// Names of zones; an index is a zone.
    pub zones: Vec<String>,
    /// Routes.
    pub routes: Vec<RouteConfig>,
    /// Endpoints known from the start.
    pub endpoints: Vec<EndpointConfig>,
    /// What the decision library is told.
    pub settings: Settings,
}

/// Figures of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    pub senders: usize,
    pub drain_for: Micros,
    pub owed_room: usize,
    pub connect_timeout: Micros,
}

/// Figures of the SMPP front.
#[derive(Clone, Debug, PartialEq)]
pub struct SmppConfig {
    pub listen: SocketAddr,
    pub session_init: Micros,
    pub enquire_every: Micros,
    pub inactivity: Micros,
    pub response: Micros,
    pub window: usize,
    pub sessions: usize,
    pub max_pdu: usize,
    /// Its part of the room beside other fronts.
    pub weight: f64,
}

/// Figures of the platform's front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformConfig {
    /// Connections of clients at most.
    pub sessions: usize,
    /// Where lists come from and notices go.
    pub discovery: SocketAddr,
}

/// Messages held for their clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldConfig {
    /// Kept so long.
    pub age: i64,
    /// Of each client.
    pub count: usize,
    /// Octets of each client.
    pub octets: u64,
    /// Trails of other messages.
    pub trails: usize,
}

/// The front that speaks MQTT.
#[derive(Clone, Debug, PartialEq)]
pub struct MqttConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// A CONNECT must come within this.
    pub connect_within: i64,
    /// The longest keep-alive in seconds, 0 for none.
    pub keep_alive: u16,
    /// The longest a session is kept without a connection, in seconds.
    pub expiry: u32,
    /// PUBLISHes without an acknowledgement, either way.
    pub window: u16,
    /// Octets of a packet.
    pub max_packet: u32,
    /// Sessions of one sender, with and without a connection.
    pub sessions: usize,
    /// Clients' own names of messages count for so long.
    pub remember: i64,
    /// Such names of one sender at once.
    pub remembered: usize,
    /// Its part of the room beside other fronts.
    pub weight: f64,
}

/// How the directory is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryConfig {
    pub address: Option<SocketAddr>,
    pub poll: Micros,
    pub keep: Option<String>,
}

/// Where and how large the journal is.
#[derive(Clone, Debug, PartialEq)]
pub struct JournalConfig {
    pub folder: Option<String>,
    pub limits: heronroute_journal::Limits,
    pub most_lag: Micros,
    pub gather: Micros,
}

/// One client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientConfig {
    pub system_id: String,
    pub password: String,
    /// Messages a second accepted at most; infinite where none is set.
    pub rate: f64,
    pub burst: f64,
    /// Its part of the room beside other clients.
    pub weight: f64,
}

/// The protocol of a kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Smpp,
    Http,
    /// The calls of the users' platform; not in settings files.
    Platform,
}

/// One kind of destination.
#[derive(Clone, Debug, PartialEq)]
pub struct KindConfig {
    pub name: String,
    pub protocol: Protocol,
    pub batch: usize,
    pub window: usize,
    pub system_id: String,
    pub password: String,
    pub path: String,
    pub probe_path: String,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteConfig {
    pub prefix: String,
    pub destination: i64,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointConfig {
    pub name: String,
    pub address: SocketAddr,
    pub destination: i64,
    pub kind: String,
    pub zone: String,
    pub weight: Option<f64>,
    pub status: Status,
}

/// A directory's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    pub version: u64,
    pub whole: bool,
    pub endpoints: Vec<EndpointConfig>,
}

/// Collects what is wrong while values are taken.
#[derive(Default)]
struct Check {
    wrong: Vec<Wrong>,
}

impl Check {
    fn say(&mut self, path: &str, what: impl Into<String>) {
        self.wrong.push(Wrong { path: path.to_string(), what: what.into() });
    }

    fn span(&mut self, path: &str, text: &str, other: Micros, least: Micros) -> Micros {
        if text.is_empty() {
            return other;
        }
        match parse_span(text) {
            Ok(span) if span >= least => span,
            Ok(_) => {
                self.say(path, format!("\"{text}\" is too short: at least {}", crate::show_span(least)));
                other
            }
            Err(e) => {
                self.say(path, e);
                other
            }
        }
    }

    fn count(&mut self, path: &str, value: u32, other: u32, most: u32) -> u32 {
        if value > most {
            self.say(path, format!("{value} is too many: 1 to {most}"));
        }
        if value == 0 { other } else { value.min(most) }
    }

    fn figure(&mut self, path: &str, value: f64, other: f64, most: f64) -> f64 {
        if !(0.0..=most).contains(&value) {
            self.say(path, format!("{value} is out of range: 0 to {most}"));
            return other;
        }
        if value == 0.0 { other } else { value }
    }

    fn name(&mut self, path: &str, value: &str, most: usize, seen: &mut BTreeSet<String>) {
        if value.is_empty() || value.len() > most || !value.bytes().all(|b| b.is_ascii_graphic()) {
            self.say(
                path,
                format!("\"{value}\" is no name: 1 to {most} printable ASCII characters, no spaces"),
            );
        } else if !seen.insert(value.to_string()) {
            self.say(path, format!("\"{value}\" was named before"));
        }
    }

    /// Only loopback addresses are served: the service runs beside its front layer.
    fn address(&mut self, path: &str, text: &str) -> Option<SocketAddr> {
        match text.parse::<SocketAddr>() {
            Ok(a) if a.ip().is_loopback() => Some(a),
            Ok(_) => {
                self.say(path, format!("\"{text}\" is not a loopback address"));
                None
            }
            Err(_) => {
                self.say(path, format!("\"{text}\" is no address: as 127.0.0.1:2775 or [::1]:2775"));
                None
            }
        }
    }
}

pub fn config(raw: raw::File) -> Result<Config, Vec<Wrong>> {
    let mut c = Check::default();
    let smpp = smpp(&mut c, raw.smpp.unwrap_or_default());
    let mqtt = mqtt(&mut c, &raw.mqtt.unwrap_or_default());
    let held = raw.held.map(|h| held(&mut c, &h));
    let directory = raw.directory.unwrap_or_default();
    let mut settings = Settings::default();
    let service = service(&mut c, raw.service.clone().unwrap_or_default(), &mut settings);
    rules(&mut c, raw.rules.unwrap_or_default(), &mut settings);
    settings.discovery = match directory.mode.as_str() {
        "" | "push" => Discovery::Push,
        "ask" => Discovery::Ask,
        other => {
            c.say("directory.mode", format!("\"{other}\" is no mode: \"push\" or \"ask\""));
            Discovery::Push
        }
    };
    let address = match directory.address.as_str() {
        "" => None,
        text => c.address("directory.address", text),
    };
    if settings.discovery == Discovery::Ask && directory.address.is_empty() {
        c.say("directory.mode", "\"ask\" needs an address to ask at");
    }
    let poll = c.span("directory.poll", &directory.poll, 20_000_000, 1_000);
    settings.ask_every = settings.ask_every.max(poll);
    let keep = Some(directory.keep).filter(|k| !k.is_empty());
    let journal = journal(&mut c, raw.journal.unwrap_or_default());
    let clients = clients(&mut c, &raw.client, &mut settings);
    let class_names = classes(&mut c, &raw.class, &mut settings);
    let kinds = kinds(&mut c, &raw.kind, &mut settings);
    let mut seen = BTreeSet::new();
    let endpoints: Vec<EndpointConfig> = raw
        .endpoint
        .iter()
        .enumerate()
        .filter_map(|(i, e)| endpoint(&mut c, &format!("endpoint[{i}]"), e, &mut seen))
        .collect();
    for (i, e) in endpoints.iter().enumerate() {
        if !kinds.iter().any(|k| k.name == e.kind) {
            c.say(
                &format!("endpoint[{i}].kind"),
                format!("\"{}\" is none of the kinds of this file", e.kind),
            );
        }
    }
    let mut zones: Vec<String> = Vec::new();
    let own = raw.service.map(|s| s.zone).unwrap_or_default();
    let named = endpoints.iter().any(|e| !e.zone.is_empty());
    for zone in std::iter::once(&own).chain(endpoints.iter().map(|e| &e.zone)) {
        let unnamed = zone.is_empty() && named;
        if !unnamed && !zones.contains(zone) {
            zones.push(zone.clone());
        }
    }
    if endpoints.iter().any(|e| e.weight.is_some()) {
        settings.weights = Weights::Nominal;
    }
    let routes = routes(&mut c, &raw.route);
    if let Err(e) = settings.validate() {
        c.say("service", e.to_string());
    }
    if !c.wrong.is_empty() {
        return Err(c.wrong);
    }
    let directory = DirectoryConfig { address, poll, keep };
    Ok(Config {
        service,
        smpp,
        mqtt,
        platform: None,
        held,
        directory,
        journal,
        clients,
        class_names,
        kinds,
        zones,
        routes,
        endpoints,
        settings,
    })
}

fn journal(c: &mut Check, j: raw::Journal) -> JournalConfig {
    let usual = heronroute_journal::Limits::default();
    let mut size = |path: &str, text: &str, other: u64, least: u64| {
        if text.is_empty() {
            return other;
        }
        match parse_size(text) {
            Ok(size) if size >= least => size,
            Ok(_) => {
                c.say(path, format!("\"{text}\" is too small: at least {least} octets"));
                other
            }
            Err(e) => {
                c.say(path, e);
                other
            }
        }
    };
    let most = size("journal.most_disk", &j.most_disk, usual.most, 1 << 16);
    let segment = size("journal.segment", &j.segment, usual.segment, 1 << 12);
    // Snapshots begin early enough for two of them to fit.
    let least = usual.least.min(most / 8);
    JournalConfig {
        folder: Some(j.folder).filter(|f| !f.is_empty()),
        limits: heronroute_journal::Limits { segment, least, most, ..usual },
        most_lag: c.span("journal.most_lag", &j.most_lag, 1_000_000, 1_000),
        gather: c.span("journal.gather", &j.gather, 0, 0),
    }
}

fn service(c: &mut Check, s: raw::Service, settings: &mut Settings) -> ServiceConfig {
    let senders = c.count("service.senders", s.senders, 1, 64);
    settings.senders = c.count("service.fleet", s.fleet, senders, 100_000);
    settings.slots = c.count("service.slots", s.slots, 256, 1 << 20);
    settings.max_open = c.count("service.room", s.room, 10_000, 1 << 24);
    settings.max_attempts = c.count("service.max_attempts", s.max_attempts, 6, 1_000);
    settings.max_retry_after = c.span("service.max_retry_after", &s.max_retry_after, 2_000_000, 0);
    settings.quantum = c.span("service.quantum", &s.quantum, 1_000, 0);
    settings.idle_close = c.span("service.idle_close", &s.idle_close, 30_000_000, 1_000);
    (settings.cancel, settings.probes) = (true, true);
    ServiceConfig {
        senders: senders as usize,
        drain_for: c.span("service.drain_for", &s.drain_for, 30_000_000, 0),
        owed_room: c.count("service.owed_room", s.owed_room, 10_000, 1 << 24) as usize,
        connect_timeout: c.span("service.connect_timeout", &s.connect_timeout, 1_500_000, 1_000),
    }
}

fn smpp(c: &mut Check, s: raw::Smpp) -> SmppConfig {
    let listen = if s.listen.is_empty() { "127.0.0.1:2775" } else { &s.listen };
    SmppConfig {
        listen: c.address("smpp.listen", listen).unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 2775))),
        session_init: c.span("smpp.session_init", &s.session_init, 5_000_000, 1_000),
        enquire_every: c.span("smpp.enquire_every", &s.enquire_every, 30_000_000, 1_000),
        inactivity: c.span("smpp.inactivity", &s.inactivity, 600_000_000, 1_000),
        response: c.span("smpp.response", &s.response, 10_000_000, 1_000),
        window: c.count("smpp.window", s.window, 100, 65_536) as usize,
        sessions: c.count("smpp.sessions", s.sessions, 4_096, 1 << 20) as usize,
        max_pdu: c.count("smpp.max_pdu", s.max_pdu, 66_000, 1 << 20) as usize,
        weight: c.figure("smpp.weight", s.weight, 1.0, 1e3),
    }
}

fn held(c: &mut Check, h: &raw::Held) -> HeldConfig {
    let octets = if h.octets.is_empty() { Ok(64 << 20) } else { parse_size(&h.octets) };
    HeldConfig {
        age: c.span("held.age", &h.age, 86_400_000_000, 1_000_000),
        count: c.count("held.count", h.count, 100_000, 1 << 24) as usize,
        octets: octets.unwrap_or_else(|e| {
            c.say("held.octets", e);
            0
        }),
        trails: c.count("held.trails", h.trails, 100_000, 1 << 24) as usize,
    }
}

fn mqtt(c: &mut Check, m: &raw::Mqtt) -> Option<MqttConfig> {
    let keep_alive = c.span("mqtt.keep_alive", &m.keep_alive, 300_000_000, 0);
    let seconds = u16::try_from(keep_alive / 1_000_000).unwrap_or_else(|_| {
        c.say("mqtt.keep_alive", format!("\"{}\" is too long: at most 65,535 s", m.keep_alive));
        0
    });
    if keep_alive % 1_000_000 != 0 {
        c.say("mqtt.keep_alive", format!("\"{}\" is no whole number of seconds", m.keep_alive));
    }
    let expiry = c.span("mqtt.expiry", &m.expiry, 86_400_000_000, 0) / 1_000_000;
    let mut config = MqttConfig {
        listen: SocketAddr::from(([127, 0, 0, 1], 1883)),
        connect_within: c.span("mqtt.connect_within", &m.connect_within, 5_000_000, 1_000),
        keep_alive: seconds,
        expiry: u32::try_from(expiry).unwrap_or(u32::MAX - 1).min(u32::MAX - 1),
        window: c.count("mqtt.window", m.window, 100, 65_535) as u16,
        max_packet: c.count("mqtt.max_packet", m.max_packet, 66_000, 1 << 24),
        sessions: c.count("mqtt.sessions", m.sessions, 10_000, 1 << 20) as usize,
        remember: c.span("mqtt.remember", &m.remember, 600_000_000, 0),
        remembered: c.count("mqtt.remembered", m.remembered, 262_144, 1 << 24) as usize,
        weight: c.figure("mqtt.weight", m.weight, 1.0, 1e3),
    };
    if m.listen.is_empty() {
        if *m != raw::Mqtt::default() {
            c.say("mqtt", "without `listen` no other field of it has a meaning");
        }
        return None;
    }
    config.listen = c.address("mqtt.listen", &m.listen)?;
    Some(config)
}

fn rules(c: &mut Check, r: raw::Rules, settings: &mut Settings) {
    settings.drain_grace = c.span("rules.drain_grace", &r.drain_grace, 1_000_000, 0);
    settings.fall_multiple = c.figure("rules.fall_multiple", r.fall_multiple, 2.0, 100.0);
    settings.fall_window = c.span("rules.fall_window", &r.fall_window, 2_000_000, 0);
    settings.cold_from = c.figure("rules.cold_from", r.cold_from, 0.2, 1.0);
    settings.warm_up = c.span("rules.warm_up", &r.warm_up, 10_000_000, 0);
    settings.order_settle = c.span("rules.order_settle", &r.order_settle, 0, 0);
}

fn clients(c: &mut Check, clients: &[raw::Client], settings: &mut Settings) -> Vec<ClientConfig> {
    let mut seen = BTreeSet::new();
    let list = clients.iter().enumerate().map(|(i, k)| {
        let path = |field: &str| format!("client[{i}].{field}");
        c.name(&path("system_id"), &k.system_id, 15, &mut seen);
        c.name(&path("password"), &k.password, 8, &mut BTreeSet::new());
        let quota = c.figure(&path("quota"), k.quota, 0.0, 1e9);
        settings.tenants.push(TenantSettings { quota });
        let rate = c.figure(&path("rate"), k.rate, f64::INFINITY, 1e9);
        let burst = if k.burst == 0 { rate.max(1.0) } else { f64::from(k.burst) };
        let weight = c.figure(&path("weight"), k.weight, 1.0, 1e3);
        ClientConfig { system_id: k.system_id.clone(), password: k.password.clone(), rate, burst, weight }
    });
    let list: Vec<ClientConfig> = list.collect();
    if list.is_empty() {
        c.say("client", "no client is named: at least one");
    }
    list
}

fn classes(c: &mut Check, classes: &[raw::Class], settings: &mut Settings) -> Vec<String> {
    let mut seen = BTreeSet::new();
    for (i, k) in classes.iter().enumerate() {
        let path = |field: &str| format!("class[{i}].{field}");
        c.name(&path("name"), &k.name, 5, &mut seen);
        let effect = match k.effect.as_str() {
            "free" => Effect::Free,
            "guarded" => Effect::Guarded,
            "single_shot" | "" => Effect::SingleShot,
            other => {
                c.say(
                    &path("effect"),
                    format!("\"{other}\" is no effect: \"free\", \"guarded\" or \"single_shot\""),
                );
                Effect::SingleShot
            }
        };
        let group = match k.group.as_str() {
            "" | "all" => Group::All,
            "zone" => Group::Zone,
            "endpoint" => Group::Endpoint,
            other => {
                c.say(&path("group"), format!("\"{other}\" is no group: \"all\", \"zone\" or \"endpoint\""));
                Group::All
            }
        };
        if effect == Effect::Guarded && k.window.is_empty() {
            c.say(&path("window"), "a guarded class needs the span in which receivers drop repeats");
        }
        let deadline = c.span(&path("deadline"), &k.deadline, 30_000_000, 1_000);
        let aim = c.span(&path("aim"), &k.aim, deadline.min(2_000_000), 0);
        if aim > deadline {
            c.say(&path("aim"), "the aim lies after the deadline");
        }
        settings.classes.push(ClassSettings {
            aim,
            deadline,
            effect,
            group,
            window: c.span(&path("window"), &k.window, 0, 0),
            ordered: k.ordered,
            worth: c.figure(&path("worth"), k.worth, 1.0, 1e6),
            late_share: c.figure(&path("late_share"), k.late_share, 0.0, 1.0),
        });
    }
    if classes.is_empty() {
        c.say("class", "no class is named: at least one");
    }
    classes.iter().map(|k| k.name.clone()).collect()
}

fn kinds(c: &mut Check, kinds: &[raw::Kind], settings: &mut Settings) -> Vec<KindConfig> {
    let mut seen = BTreeSet::new();
    let mut list = Vec::new();
    for (i, k) in kinds.iter().enumerate() {
        let path = |field: &str| format!("kind[{i}].{field}");
        c.name(&path("name"), &k.name, 64, &mut seen);
        let protocol = match k.protocol.as_str() {
            "smpp" => Protocol::Smpp,
            "http" => Protocol::Http,
            other => {
                c.say(&path("protocol"), format!("\"{other}\" is no protocol: \"smpp\" or \"http\""));
                Protocol::Http
            }
        };
        if k.system_id.len() > 15 || k.password.len() > 8 {
            c.say(&path("system_id"), "at most 15 characters, and 8 of password");
        }
        for (field, text) in [("path", &k.path), ("probe_path", &k.probe_path)] {
            let plain = text.starts_with('/') && text.bytes().all(|b| b.is_ascii_graphic());
            if !text.is_empty() && !plain {
                c.say(&path(field), format!("\"{text}\" is no path: it begins with / and has no spaces"));
            }
        }
        let batch = c.count(&path("batch"), k.batch, 1, 1_000);
        let window = c.count(&path("window"), k.window, 8, 10_000);
        settings.kinds.push(KindSettings { batch, apart: k.apart });
        let or = |text: &str, other: &str| if text.is_empty() { other.into() } else { text.to_string() };
        list.push(KindConfig {
            name: k.name.clone(),
            protocol,
            batch: batch as usize,
            window: window as usize,
            system_id: or(&k.system_id, "heronroute"),
            password: k.password.clone(),
            path: or(&k.path, "/"),
            probe_path: or(&k.probe_path, "/health"),
        });
    }
    // The module prices handshakes by the calls that a connection carries; the smallest window is the safe one.
    settings.streams = list.iter().map(|k| k.window.div_ceil(k.batch) as u32).min().unwrap_or(1).max(1);
    if list.is_empty() {
        c.say("kind", "no kind of destination is named: at least one");
    }
    list
}

fn routes(c: &mut Check, routes: &[raw::Route]) -> Vec<RouteConfig> {
    let mut seen: BTreeMap<&str, u32> = BTreeMap::new();
    for (i, r) in routes.iter().enumerate() {
        let path = format!("route[{i}].prefix");
        if r.prefix.len() > 20 || !r.prefix.bytes().all(|b| b.is_ascii_graphic()) {
            c.say(&path, format!("\"{}\" is no prefix: at most 20 printable ASCII characters", r.prefix));
        }
        if let Some(other) = seen.insert(&r.prefix, r.destination) {
            c.say(&path, format!("\"{}\" already leads to destination {other}", r.prefix));
        }
    }
    if routes.is_empty() {
        c.say("route", "no route is named: at least one");
    }
    let plain =
        |r: &raw::Route| RouteConfig { prefix: r.prefix.clone(), destination: i64::from(r.destination) };
    routes.iter().map(plain).collect()
}

fn endpoint(
    c: &mut Check,
    path: &str,
    e: &raw::Endpoint,
    seen: &mut BTreeSet<String>,
) -> Option<EndpointConfig> {
    c.name(&format!("{path}.name"), &e.name, 128, seen);
    let status = match e.status.as_str() {
        "" | "up" => Status::Up,
        "draining" => Status::Draining,
        "removed" => Status::Removed,
        other => {
            let what = format!("\"{other}\" is no status: \"up\", \"draining\" or \"removed\"");
            c.say(&format!("{path}.status"), what);
            Status::Up
        }
    };
    let weight = c.figure(&format!("{path}.weight"), e.weight, 0.0, 1e9);
    let address = c.address(&format!("{path}.address"), &e.address)?;
    Some(EndpointConfig {
        name: e.name.clone(),
        address,
        destination: i64::from(e.destination),
        kind: e.kind.clone(),
        zone: e.zone.clone(),
        weight: (weight > 0.0).then_some(weight),
        status,
    })
}

pub fn listing(raw: &raw::Listing) -> Result<Listing, Vec<Wrong>> {
    let mut c = Check::default();
    let mut seen = BTreeSet::new();
    let rows = raw.endpoint.iter().enumerate();
    let endpoints = rows
        .filter_map(|(i, e)| {
            // Guards against losing a list after a gap: changes may name an endpoint several times, in their
            // order (draining, then removed). Only a whole list names each once.
            if !raw.whole {
                seen.clear();
            }
            endpoint(&mut c, &format!("endpoint[{i}]"), e, &mut seen)
        })
        .collect();
    if c.wrong.is_empty() {
        Ok(Listing { version: raw.version, whole: raw.whole, endpoints })
    } else {
        Err(c.wrong)
    }
}
