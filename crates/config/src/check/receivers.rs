//! Validates kinds of destination, routes, endpoints, and the listings of a directory.

use super::checker::{Checker, InvalidField};
use super::types::{EndpointConfig, KindConfig, Listing, Protocol, RouteConfig};
use crate::raw;
use heronroute::{KindSettings, Settings, Status};
use std::collections::{BTreeMap, BTreeSet};

pub fn kinds(check: &mut Checker, kinds: &[raw::Kind], settings: &mut Settings) -> Vec<KindConfig> {
    let mut seen = BTreeSet::new();
    let mut list = Vec::new();
    for (i, kind) in kinds.iter().enumerate() {
        let path = |field: &str| format!("kind[{i}].{field}");
        check.name(&path("name"), &kind.name, 64, &mut seen);
        let protocol = match kind.protocol.as_str() {
            "smpp" => Protocol::Smpp,
            "http" => Protocol::Http,
            other => {
                check.report(
                    &path("protocol"),
                    format!("\"{other}\" is not a protocol: \"smpp\" or \"http\""),
                );
                Protocol::Http
            }
        };
        if kind.system_id.len() > 15 || kind.password.len() > 8 {
            check.report(&path("system_id"), "at most 15 characters, and 8 of password");
        }
        for (field, text) in [("path", &kind.path), ("probe_path", &kind.probe_path)] {
            let plain = text.starts_with('/') && text.bytes().all(|b| b.is_ascii_graphic());
            if !text.is_empty() && !plain {
                check.report(
                    &path(field),
                    format!("\"{text}\" is not a path: it has to begin with / and have no spaces"),
                );
            }
        }
        let batch = check.count(&path("batch"), kind.batch, 1, 1_000);
        let window = check.count(&path("window"), kind.window, 8, 10_000);
        settings.kinds.push(KindSettings { batch, apart: kind.apart });
        let or = |text: &str, other: &str| if text.is_empty() { other.into() } else { text.to_string() };
        list.push(KindConfig {
            name: kind.name.clone(),
            protocol,
            batch: batch as usize,
            window: window as usize,
            system_id: or(&kind.system_id, "heronroute"),
            password: kind.password.clone(),
            path: or(&kind.path, "/"),
            probe_path: or(&kind.probe_path, "/health"),
        });
    }
    // The decision library weighs handshakes by the calls that a connection carries; the smallest window is
    // the safe value.
    settings.streams =
        list.iter().map(|kind| kind.window.div_ceil(kind.batch) as u32).min().unwrap_or(1).max(1);
    if list.is_empty() {
        check.report("kind", "no kind of destination is given: at least one is required");
    }
    list
}

/// Returns whether a text can be the prefix of an address.
pub fn is_prefix(text: &str) -> bool {
    text.len() <= 20 && text.bytes().all(|b| b.is_ascii_graphic())
}

pub fn routes(check: &mut Checker, routes: &[raw::Route]) -> Vec<RouteConfig> {
    let mut seen: BTreeMap<&str, u32> = BTreeMap::new();
    for (i, route) in routes.iter().enumerate() {
        let path = format!("route[{i}].prefix");
        if !is_prefix(&route.prefix) {
            check.report(
                &path,
                format!("\"{}\" is not a prefix: at most 20 printable ASCII characters", route.prefix),
            );
        }
        if let Some(other) = seen.insert(&route.prefix, route.destination) {
            check.report(&path, format!("\"{}\" already leads to destination {other}", route.prefix));
        }
    }
    if routes.is_empty() {
        check.report("route", "no route is given: at least one is required");
    }
    let plain = |route: &raw::Route| RouteConfig {
        prefix: route.prefix.clone(),
        destination: i64::from(route.destination),
    };
    routes.iter().map(plain).collect()
}

pub fn endpoint(
    check: &mut Checker,
    path: &str,
    e: &raw::Endpoint,
    seen: &mut BTreeSet<String>,
) -> Option<EndpointConfig> {
    check.name(&format!("{path}.name"), &e.name, 128, seen);
    let status = match e.status.as_str() {
        "" | "up" => Status::Up,
        "draining" => Status::Draining,
        "removed" => Status::Removed,
        other => {
            let what = format!("\"{other}\" is not a status: \"up\", \"draining\" or \"removed\"");
            check.report(&format!("{path}.status"), what);
            Status::Up
        }
    };
    let weight = check.number(&format!("{path}.weight"), e.weight, 0.0, 1e9);
    let address = check.address(&format!("{path}.address"), &e.address)?;
    Some(EndpointConfig {
        name: e.name.clone(),
        address,
        destination: i64::from(e.destination),
        kind: e.kind.clone(),
        zone: e.zone.clone(),
        weight: (weight > 0.0).then_some(weight),
        status,
        started_ms: 0,
    })
}

pub fn listing(raw: &raw::Listing) -> Result<Listing, Vec<InvalidField>> {
    let mut check = Checker::default();
    let mut seen = BTreeSet::new();
    let rows = raw.endpoint.iter().enumerate();
    let endpoints = rows
        .filter_map(|(i, e)| {
            // A list of changes may name an endpoint several times, in order (draining, then removed), and
            // must not be rejected for that after a gap. Only a whole list names each endpoint once.
            if !raw.whole {
                seen.clear();
            }
            endpoint(&mut check, &format!("endpoint[{i}]"), e, &mut seen)
        })
        .collect();
    if check.errors.is_empty() {
        Ok(Listing { version: raw.version, whole: raw.whole, endpoints })
    } else {
        Err(check.errors)
    }
}
