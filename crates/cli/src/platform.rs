//! `platform`: one real sender on the users' platform, which tells it everything by `GW_CONFIG` and `GW_STATE`.

use crate::fail;
use heronroute_net::{Signals, StandaloneSender};
use heronroute_platform::start::{StartUp, read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

fn variable(name: &str) -> Result<PathBuf, String> {
    match std::env::var_os(name) {
        Some(value) if !value.is_empty() => Ok(value.into()),
        _ => Err(format!("{name} is not set")),
    }
}

fn start_up(path: &Path) -> Result<StartUp, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("GW_CONFIG: {}: {e}", path.display()))?;
    read(&text).map_err(|e| format!("GW_CONFIG: {}: {e}", path.display()))
}

fn told() -> Result<(PathBuf, StartUp, PathBuf), String> {
    let config = variable("GW_CONFIG")?;
    let start_up = start_up(&config)?;
    let folder = variable("GW_STATE")?;
    if !folder.is_dir() {
        return Err(format!("GW_STATE: {}: no folder", folder.display()));
    }
    Ok((config, start_up, folder))
}

pub fn run() -> ExitCode {
    // Signals are taken before anything starts, so that none ends the program halfway.
    let signals = match Signals::install() {
        Ok(signals) => signals,
        Err(e) => return fail(1, format_args!("signals: {e}")),
    };
    let (path, start_up_, folder) = match told() {
        Ok(told) => told,
        Err(e) => return fail(2, e),
    };
    let reload = move || match start_up(&path) {
        Ok(new) => {
            tracing::info!(discovery = %new.discovery, "discovery is elsewhere");
            Some(new.discovery)
        }
        Err(e) => {
            tracing::error!(error = e, "the new configuration is wrong; the old one holds");
            None
        }
    };
    let sender = match StandaloneSender::start(&start_up_, &folder, signals, Box::new(reload)) {
        Ok(started) => started,
        Err(e) => return fail(1, e),
    };
    match sender.run() {
        Ok(stats) => {
            tracing::info!(?stats, "out of service");
            ExitCode::SUCCESS
        }
        Err(e) => fail(1, e),
    }
}
