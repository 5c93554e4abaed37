//! `serve` and `check`.

use crate::{fail, installation};
use heronroute_config::{Config, parse};
use heronroute_net::Service;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

fn read(path: &Path) -> Result<Config, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    parse(&name, &text).map_err(|e| e.to_string())
}

pub fn check(path: &Path) -> ExitCode {
    match read(path) {
        Ok(cfg) => {
            println!(
                "{}: well: {} senders, {} clients, {} classes, {} kinds, {} routes, {} endpoints",
                path.display(),
                cfg.service.senders,
                cfg.clients.len(),
                cfg.class_names.len(),
                cfg.kinds.len(),
                cfg.routes.len(),
                cfg.endpoints.len()
            );
            ExitCode::SUCCESS
        }
        Err(e) => fail(2, e),
    }
}

pub fn serve(path: &Path) -> ExitCode {
    let cfg = match read(path) {
        Ok(cfg) => Arc::new(cfg),
        Err(e) => return fail(2, e),
    };
    // Signals are taken before anything starts, so that none ends the program halfway.
    let mut signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
        Ok(signals) => signals,
        Err(e) => return fail(1, format_args!("signals: {e}")),
    };
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_nanos() as u64);
    // A sender without its journal must not go on; the process ends, and a restart finds what was durable.
    let failed = Arc::new(|| _ = signal_hook::low_level::raise(SIGTERM));
    let seed = seed ^ u64::from(std::process::id());
    let fleet = match cfg.fleet.as_ref().map(|fleet| installation::setup(&cfg, fleet, seed)).transpose() {
        Ok(fleet) => fleet,
        Err(e) => return fail(2, format_args!("{}: {e}", path.display())),
    };
    let service = match Service::start_with_member(cfg, seed, failed, fleet) {
        Ok(service) => service,
        Err(e) => return fail(1, e),
    };
    println!("listening at {}", service.address());
    if let Some(address) = service.mqtt_address() {
        println!("listening for MQTT at {address}");
    }
    tracing::info!(address = %service.address(), "serving");
    for signal in signals.forever() {
        if signal != SIGHUP {
            tracing::info!(signal, "going out of service");
            break;
        }
        match read(path) {
            Err(e) => tracing::error!(error = e, "the settings are wrong; the old ones hold"),
            Ok(cfg) => {
                let cfg = Arc::new(cfg);
                let fixed = service.reload(&cfg);
                if fixed.is_empty() {
                    if let Some(fleet) = service.fleet()
                        && !fleet.clients(installation::clients(&cfg))
                    {
                        tracing::error!("the member is too busy to hear of plans; send SIGHUP once more");
                    }
                    tracing::info!("new settings taken over");
                } else {
                    tracing::error!(fields = fixed.join(", "), "these need a restart; the old settings hold");
                }
            }
        }
    }
    service.shut_down();
    match service.join() {
        Ok(stats) => {
            tracing::info!(?stats, "out of service");
            ExitCode::SUCCESS
        }
        Err(e) => fail(1, e),
    }
}
