//! Validates the client protocols and the storage of messages held for clients.

use super::checker::Checker;
use super::types::{HeldConfig, MqttConfig, SmppConfig};
use crate::raw;
use crate::units::parse_size;
use std::net::SocketAddr;

pub fn smpp(check: &mut Checker, smpp: raw::Smpp) -> SmppConfig {
    let listen = if smpp.listen.is_empty() { "127.0.0.1:2775" } else { &smpp.listen };
    SmppConfig {
        listen: check
            .address("smpp.listen", listen)
            .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 2775))),
        session_init: check.duration("smpp.session_init", &smpp.session_init, 5_000_000, 1_000),
        enquire_every: check.duration("smpp.enquire_every", &smpp.enquire_every, 30_000_000, 1_000),
        inactivity: check.duration("smpp.inactivity", &smpp.inactivity, 600_000_000, 1_000),
        response: check.duration("smpp.response", &smpp.response, 10_000_000, 1_000),
        window: check.count("smpp.window", smpp.window, 100, 65_536) as usize,
        sessions: check.count("smpp.sessions", smpp.sessions, 4_096, 1 << 20) as usize,
        max_pdu: check.count("smpp.max_pdu", smpp.max_pdu, 66_000, 1 << 20) as usize,
        weight: check.number("smpp.weight", smpp.weight, 1.0, 1e3),
    }
}

pub fn held(check: &mut Checker, held: &raw::Held) -> HeldConfig {
    let octets = if held.octets.is_empty() { Ok(64 << 20) } else { parse_size(&held.octets) };
    HeldConfig {
        age: check.duration("held.age", &held.age, 86_400_000_000, 1_000_000),
        count: check.count("held.count", held.count, 100_000, 1 << 24) as usize,
        octets: octets.unwrap_or_else(|e| {
            check.report("held.octets", e);
            0
        }),
        trails: check.count("held.trails", held.trails, 100_000, 1 << 24) as usize,
    }
}

pub fn mqtt(check: &mut Checker, mqtt: &raw::Mqtt) -> Option<MqttConfig> {
    let keep_alive = check.duration("mqtt.keep_alive", &mqtt.keep_alive, 300_000_000, 0);
    let seconds = u16::try_from(keep_alive / 1_000_000).unwrap_or_else(|_| {
        check.report("mqtt.keep_alive", format!("\"{}\" is too long: at most 65,535 s", mqtt.keep_alive));
        0
    });
    if keep_alive % 1_000_000 != 0 {
        check.report("mqtt.keep_alive", format!("\"{}\" is not a whole number of seconds", mqtt.keep_alive));
    }
    let expiry = check.duration("mqtt.expiry", &mqtt.expiry, 86_400_000_000, 0) / 1_000_000;
    let mut config = MqttConfig {
        listen: SocketAddr::from(([127, 0, 0, 1], 1883)),
        connect_within: check.duration("mqtt.connect_within", &mqtt.connect_within, 5_000_000, 1_000),
        keep_alive: seconds,
        expiry: u32::try_from(expiry).unwrap_or(u32::MAX - 1).min(u32::MAX - 1),
        window: check.count("mqtt.window", mqtt.window, 100, 65_535) as u16,
        max_packet: check.count("mqtt.max_packet", mqtt.max_packet, 66_000, 1 << 24),
        sessions: check.count("mqtt.sessions", mqtt.sessions, 10_000, 1 << 20) as usize,
        remember: check.duration("mqtt.remember", &mqtt.remember, 600_000_000, 0),
        remembered: check.count("mqtt.remembered", mqtt.remembered, 262_144, 1 << 24) as usize,
        weight: check.number("mqtt.weight", mqtt.weight, 1.0, 1e3),
    };
    if mqtt.listen.is_empty() {
        if *mqtt != raw::Mqtt::default() {
            check.report("mqtt", "without `listen` no other field has an effect");
        }
        return None;
    }
    config.listen = check.address("mqtt.listen", &mqtt.listen)?;
    Some(config)
}
