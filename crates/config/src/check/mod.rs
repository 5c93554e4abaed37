//! From the raw file to checked settings: what is allowed, and what stands where nothing is said.

mod clients;
mod collect;
mod fleet;
mod fronts;
mod plans;
mod receivers;
mod regions;
mod service;
mod types;

pub use collect::Wrong;
pub use receivers::listing;
pub use types::*;

use crate::raw;
use collect::Check;
use heronroute::{Discovery, Settings, Weights};
use std::collections::BTreeSet;

pub fn config(raw: raw::File) -> Result<Config, Vec<Wrong>> {
    let mut c = Check::default();
    let smpp = fronts::smpp(&mut c, raw.smpp.clone().unwrap_or_default());
    let mqtt = fronts::mqtt(&mut c, &raw.mqtt.clone().unwrap_or_default());
    let held = raw.held.as_ref().map(|h| fronts::held(&mut c, h));
    let directory = raw.directory.clone().unwrap_or_default();
    let mut settings = Settings::default();
    let service = service::service(&mut c, raw.service.clone().unwrap_or_default(), &mut settings);
    service::rules(&mut c, raw.rules.clone().unwrap_or_default(), &mut settings);
    settings.discovery = match directory.mode.as_str() {
        "" | "push" => Discovery::Push,
        "ask" => Discovery::Subscribe,
        other => {
            c.say("directory.mode", format!("\"{other}\" is no mode: \"push\" or \"ask\""));
            Discovery::Push
        }
    };
    let address = match directory.address.as_str() {
        "" => None,
        text => c.address("directory.address", text),
    };
    if settings.discovery == Discovery::Subscribe && directory.address.is_empty() {
        c.say("directory.mode", "\"ask\" needs an address to ask at");
    }
    let poll = c.span("directory.poll", &directory.poll, 20_000_000, 1_000);
    settings.subscribe_interval = settings.subscribe_interval.max(poll);
    let keep = Some(directory.keep).filter(|k| !k.is_empty());
    let journal = service::journal(&mut c, raw.journal.clone().unwrap_or_default());
    let clients = clients::clients(&mut c, &raw.client, &mut settings);
    let plans = plans::plans(&mut c, &raw.plan, &raw.client, &raw.class);
    let regions = regions::regions(&mut c, &raw);
    let mut fleet = raw.fleet.as_ref().and_then(|f| fleet::fleet(&mut c, f));
    if let Some(fleet) = &mut fleet {
        fleet.regions = regions;
    }
    let class_names = clients::classes(&mut c, &raw.class, &mut settings);
    let kinds = receivers::kinds(&mut c, &raw.kind, &mut settings);
    let mut seen = BTreeSet::new();
    let endpoints: Vec<EndpointConfig> = raw
        .endpoint
        .iter()
        .enumerate()
        .filter_map(|(i, e)| receivers::endpoint(&mut c, &format!("endpoint[{i}]"), e, &mut seen))
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
    let routes = receivers::routes(&mut c, &raw.route);
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
