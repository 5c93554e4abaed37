//! Converts the raw file to validated settings: allowed values and defaults.

mod checker;
mod clients;
mod fleet;
mod fronts;
mod plans;
mod receivers;
mod regions;
mod service;
mod types;

pub use checker::InvalidField;
pub use receivers::listing;
pub use types::*;

use crate::raw;
use checker::Checker;
use heronroute::{Discovery, Settings, Weights};
use std::collections::BTreeSet;

pub fn config(raw: raw::File) -> Result<Config, Vec<InvalidField>> {
    let mut check = Checker::default();
    let smpp = fronts::smpp(&mut check, raw.smpp.clone().unwrap_or_default());
    let mqtt = fronts::mqtt(&mut check, &raw.mqtt.clone().unwrap_or_default());
    let held = raw.held.as_ref().map(|h| fronts::held(&mut check, h));
    let directory = raw.directory.clone().unwrap_or_default();
    let mut settings = Settings::default();
    let service = service::service(&mut check, raw.service.clone().unwrap_or_default(), &mut settings);
    service::rules(&mut check, raw.rules.clone().unwrap_or_default(), &mut settings);
    settings.discovery = match directory.mode.as_str() {
        "" | "push" => Discovery::Push,
        "ask" => Discovery::Subscribe,
        other => {
            check.report("directory.mode", format!("\"{other}\" is not a mode: \"push\" or \"ask\""));
            Discovery::Push
        }
    };
    let address = match directory.address.as_str() {
        "" => None,
        text => check.address("directory.address", text),
    };
    if settings.discovery == Discovery::Subscribe && directory.address.is_empty() {
        check.report("directory.mode", "\"ask\" needs the address of a directory");
    }
    let poll = check.duration("directory.poll", &directory.poll, 20_000_000, 1_000);
    settings.subscribe_interval = settings.subscribe_interval.max(poll);
    let keep = Some(directory.keep).filter(|k| !k.is_empty());
    let journal = service::journal(&mut check, raw.journal.clone().unwrap_or_default());
    let clients = clients::clients(&mut check, &raw.client, &mut settings);
    let plans = plans::plans(&mut check, &raw.plan, &raw.client, &raw.class);
    let regions = regions::regions(&mut check, &raw);
    let mut fleet = raw.fleet.as_ref().and_then(|f| fleet::fleet(&mut check, f));
    if let Some(fleet) = &mut fleet {
        fleet.regions = regions;
    }
    let class_names = clients::classes(&mut check, &raw.class, &mut settings);
    let kinds = receivers::kinds(&mut check, &raw.kind, &mut settings);
    let mut seen = BTreeSet::new();
    let endpoints: Vec<EndpointConfig> = raw
        .endpoint
        .iter()
        .enumerate()
        .filter_map(|(i, e)| receivers::endpoint(&mut check, &format!("endpoint[{i}]"), e, &mut seen))
        .collect();
    for (i, e) in endpoints.iter().enumerate() {
        if !kinds.iter().any(|k| k.name == e.kind) {
            check.report(
                &format!("endpoint[{i}].kind"),
                format!("\"{}\" is none of the kinds of this file", e.kind),
            );
        }
    }
    let mut zones: Vec<String> = Vec::new();
    let own_zone = raw.service.map(|s| s.zone).unwrap_or_default();
    let any_named = endpoints.iter().any(|e| !e.zone.is_empty());
    for zone in std::iter::once(&own_zone).chain(endpoints.iter().map(|e| &e.zone)) {
        let is_unnamed = zone.is_empty() && any_named;
        if !is_unnamed && !zones.contains(zone) {
            zones.push(zone.clone());
        }
    }
    if endpoints.iter().any(|e| e.weight.is_some()) {
        settings.weights = Weights::Nominal;
    }
    let routes = receivers::routes(&mut check, &raw.route);
    if let Err(e) = settings.validate() {
        check.report("service", e.to_string());
    }
    if !check.errors.is_empty() {
        return Err(check.errors);
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
        fleet,
        plans,
        clients,
        class_names,
        kinds,
        zones,
        routes,
        endpoints,
        settings,
    })
}
