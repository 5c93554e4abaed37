//! The settings that the platform gives a sender.
//!
//! The simulator's protocol and a real sender's configuration share this parser, so that they can't diverge.

use heronroute::{
    ClassSettings, DedupScope, Discovery, Effect, KindSettings, LateDecay, Micros, Settings, TenantSettings,
    Weights,
};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Profile {
    name: String,
    effect: String,
    group: String,
    hard_limit_us: Micros,
    objective_us: Micros,
    window_us: Micros,
    late_share: f64,
    worth: f64,
    serial_by_key: bool,
}

impl Default for Profile {
    fn default() -> Self {
        let c = ClassSettings::default();
        Profile {
            name: String::new(),
            effect: "single_shot".into(),
            group: "all".into(),
            hard_limit_us: c.deadline,
            objective_us: c.aim,
            window_us: c.window,
            late_share: c.late_share,
            worth: c.worth,
            serial_by_key: false,
        }
    }
}

impl Profile {
    fn settings(self) -> ClassSettings {
        ClassSettings {
            aim: self.objective_us,
            deadline: self.hard_limit_us,
            effect: match self.effect.as_str() {
                "free" => Effect::Free,
                "guarded" => Effect::Guarded,
                _ => Effect::SingleShot,
            },
            group: match self.group.as_str() {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                _ => DedupScope::Endpoint,
            },
            window: self.window_us,
            ordered: self.serial_by_key,
            worth: self.worth,
            late_share: self.late_share,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct FamilyInfo {
    batch_by_kind: Vec<u32>,
    kind_apart: Vec<bool>,
    carriage: Vec<f64>,
    late: String,
    workers: Option<u32>,
}

impl FamilyInfo {
    fn kind(&self, kind: usize) -> KindSettings {
        KindSettings {
            batch: self.batch_by_kind.get(kind).copied().unwrap_or(1).max(1),
            apart: self.kind_apart.get(kind).copied().unwrap_or(false),
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Limits {
    cancel: bool,
    connect_timeout_us: Option<Micros>,
    idle_close_us: Option<Micros>,
    max_attempts: Option<u32>,
    max_open: Option<u32>,
    max_retry_after_us: Micros,
    peers: bool,
    probes: bool,
    retry_after: bool,
    second_copies: bool,
    streams_per_conn: Option<u32>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Prices {
    cross_zone: f64,
    handshake: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Rules {
    ask_every_us: Option<Micros>,
    drain_grace_us: Micros,
    fall_multiple: Option<f64>,
    fall_us: Option<Micros>,
    cold_from: Option<f64>,
    warm_up_us: Option<Micros>,
    order_settle_us: Micros,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Customer {
    name: String,
    quota_rps: f64,
}

/// The settings in the platform's format.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct PlatformSettings {
    azs: Vec<String>,
    balancers: Option<u32>,
    customers: Option<Vec<Customer>>,
    discovery: String,
    family_info: FamilyInfo,
    limits: Limits,
    over_share_worth: Option<f64>,
    prices: Prices,
    profiles: Vec<Profile>,
    quantum_us: Micros,
    rules: Rules,
    shapes: Vec<String>,
    weights: String,
    zone: usize,
}

/// Names and values that a real sender needs besides the settings of the decision library.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// The classes, by index.
    pub classes: Vec<String>,
    /// The tenants, by index.
    pub tenants: Vec<String>,
    /// The kinds of endpoints, by index.
    pub kinds: Vec<String>,
    /// The zones, by index.
    pub zones: Vec<String>,
    /// The timeout of a connection attempt.
    pub connect_timeout: Option<Micros>,
}

impl PlatformSettings {
    /// Returns the names, by the indexes that the decision library uses.
    pub fn names(&self) -> Names {
        Names {
            classes: self.profiles.iter().map(|p| p.name.clone()).collect(),
            tenants: self.customers.iter().flatten().map(|c| c.name.clone()).collect(),
            kinds: self.shapes.clone(),
            zones: self.azs.clone(),
            connect_timeout: self.limits.connect_timeout_us,
        }
    }

    /// Converts to the decision library's settings. A missing setting has the library's default.
    pub fn settings(self) -> Settings {
        let d = Settings::default();
        let f = self.family_info;
        let kinds = self.shapes.len().max(f.batch_by_kind.len()).max(f.kind_apart.len());
        Settings {
            senders: self.balancers.unwrap_or(d.senders),
            zone: self.zone,
            slots: f.workers.unwrap_or(d.slots),
            max_open: self.limits.max_open.unwrap_or(d.max_open),
            max_attempts: self.limits.max_attempts.unwrap_or(d.max_attempts),
            second_copies: self.limits.second_copies,
            cancel: self.limits.cancel,
            probes: self.limits.probes,
            peers: self.limits.peers,
            max_retry_after: if self.limits.retry_after { self.limits.max_retry_after_us } else { 0 },
            idle_close: self.limits.idle_close_us.unwrap_or(d.idle_close),
            streams: self.limits.streams_per_conn.unwrap_or(d.streams),
            quantum: self.quantum_us,
            discovery: if self.discovery == "ask" { Discovery::Subscribe } else { Discovery::Push },
            subscribe_interval: self.rules.ask_every_us.unwrap_or(d.subscribe_interval),
            drain_grace: self.rules.drain_grace_us,
            fall_multiple: self.rules.fall_multiple.unwrap_or(d.fall_multiple),
            fall_window: self.rules.fall_us.unwrap_or(d.fall_window),
            cold_from: self.rules.cold_from.unwrap_or(d.cold_from),
            warm_up: self.rules.warm_up_us.unwrap_or(d.warm_up),
            order_settle: self.rules.order_settle_us,
            late: if f.late == "halves" { LateDecay::Halving } else { LateDecay::Linear },
            over_share_worth: self.over_share_worth.unwrap_or(d.over_share_worth),
            weights: match self.weights.as_str() {
                "nominal" => Weights::Nominal,
                "rough" => Weights::Rough,
                _ => Weights::Ignored,
            },
            cross_zone_price: self.prices.cross_zone,
            handshake_price: self.prices.handshake,
            zone_fees: f.carriage.clone(),
            classes: self.profiles.into_iter().map(Profile::settings).collect(),
            kinds: (0..kinds).map(|kind| f.kind(kind)).collect(),
            tenants: self
                .customers
                .unwrap_or_default()
                .iter()
                .map(|c| TenantSettings { quota: c.quota_rps })
                .collect(),
        }
    }
}
