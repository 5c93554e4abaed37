//! Validates the settings of the service itself, of its decisions, and of its journal.

use super::checker::Checker;
use super::types::{JournalConfig, ServiceConfig};
use crate::raw;
use heronroute::Settings;

pub fn service(check: &mut Checker, service: raw::Service, settings: &mut Settings) -> ServiceConfig {
    let senders = check.count("service.senders", service.senders, 1, 64);
    settings.senders = check.count("service.fleet", service.fleet, senders, 100_000);
    settings.slots = check.count("service.slots", service.slots, 256, 1 << 20);
    settings.max_open = check.count("service.room", service.room, 10_000, 1 << 24);
    settings.max_attempts = check.count("service.max_attempts", service.max_attempts, 6, 1_000);
    settings.max_retry_after =
        check.duration("service.max_retry_after", &service.max_retry_after, 2_000_000, 0);
    settings.quantum = check.duration("service.quantum", &service.quantum, 1_000, 0);
    settings.idle_close = check.duration("service.idle_close", &service.idle_close, 30_000_000, 1_000);
    (settings.cancel, settings.probes) = (true, true);
    ServiceConfig {
        senders: senders as usize,
        drain_for: check.duration("service.drain_for", &service.drain_for, 30_000_000, 0),
        owed_room: check.count("service.owed_room", service.owed_room, 10_000, 1 << 24) as usize,
        connect_timeout: check.duration(
            "service.connect_timeout",
            &service.connect_timeout,
            1_500_000,
            1_000,
        ),
    }
}

pub fn rules(check: &mut Checker, rules: raw::Rules, settings: &mut Settings) {
    settings.drain_grace = check.duration("rules.drain_grace", &rules.drain_grace, 1_000_000, 0);
    settings.fall_multiple = check.number("rules.fall_multiple", rules.fall_multiple, 2.0, 100.0);
    settings.fall_window = check.duration("rules.fall_window", &rules.fall_window, 2_000_000, 0);
    settings.cold_from = check.number("rules.cold_from", rules.cold_from, 0.2, 1.0);
    settings.warm_up = check.duration("rules.warm_up", &rules.warm_up, 10_000_000, 0);
    settings.order_settle = check.duration("rules.order_settle", &rules.order_settle, 0, 0);
}

pub fn journal(check: &mut Checker, journal: raw::Journal) -> JournalConfig {
    let usual = heronroute_journal::Limits::default();
    let most = check.size("journal.most_disk", &journal.most_disk, usual.most, 1 << 16);
    let segment = check.size("journal.segment", &journal.segment, usual.segment, 1 << 12);
    // Snapshots are written early enough that two of them fit on the disk.
    let least = usual.least.min(most / 8);
    JournalConfig {
        folder: Some(journal.folder).filter(|f| !f.is_empty()),
        limits: heronroute_journal::Limits { segment, least, most, ..usual },
        most_lag: check.duration("journal.most_lag", &journal.most_lag, 1_000_000, 1_000),
        gather: check.duration("journal.gather", &journal.gather, 0, 0),
    }
}
