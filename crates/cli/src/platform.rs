//! The command `platform`: one sender on the users' platform, configured by `GW_CONFIG` and `GW_STATE`.

use crate::fail;
use heronroute_net::{Reload, Signals, StandaloneSender, StartRetry, is_temporary};
use heronroute_platform::start::{StartUp, StartUpError, read};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What the platform gives to a sender.
struct Environment {
    config_file: PathBuf,
    start_up: StartUp,
    state_folder: PathBuf,
}

fn path_variable(name: &str) -> Result<PathBuf, String> {
    match std::env::var_os(name) {
        Some(value) if !value.is_empty() => Ok(value.into()),
        _ => Err(format!("{name} is not set")),
    }
}

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
enum ConfigError {
    #[error("GW_CONFIG: {0}: {1}")]
    Unreadable(String, io::Error),
    #[error("GW_CONFIG: {0}: {1}")]
    Invalid(String, StartUpError),
}

fn read_config(file: &Path) -> Result<StartUp, ConfigError> {
    let name = || file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| ConfigError::Unreadable(name(), error))?;
    read(&text).map_err(|error| ConfigError::Invalid(name(), error))
}

/// Reads the environment and the configuration, and retries while the file system fails.
fn read_environment(retry: StartRetry, signals: &Signals) -> Result<Environment, String> {
    let config_file = path_variable("GW_CONFIG")?;
    let may_pass = |error: &ConfigError| matches!(error, ConfigError::Unreadable(_, e) if is_temporary(e));
    let start_up = retry.run(signals, may_pass, || read_config(&config_file));
    let start_up = start_up.map_err(|error| error.to_string())?;
    let state_folder = path_variable("GW_STATE")?;
    let metadata = retry.run(signals, is_temporary, || std::fs::metadata(&state_folder));
    if !metadata.is_ok_and(|metadata| metadata.is_dir()) {
        return Err(format!("GW_STATE: {}: no folder", state_folder.display()));
    }
    Ok(Environment { config_file, start_up, state_folder })
}

/// Reads the configuration again.
fn reload(file: &Path) -> Reload {
    match read_config(file) {
        Ok(new) => {
            tracing::info!(discovery = %new.discovery, "the address of discovery was read again");
            Reload::Discovery(new.discovery)
        }
        Err(ConfigError::Unreadable(_, error)) => Reload::Unreadable(error),
        Err(error @ ConfigError::Invalid(..)) => {
            tracing::error!(%error, "the new configuration is invalid; the previous one stays in effect");
            Reload::Invalid
        }
    }
}

/// Runs one sender until it is shut down.
pub fn run() -> ExitCode {
    // Signals are handled before anything starts, so that none ends the process during its start.
    let signals = match Signals::install() {
        Ok(signals) => signals,
        Err(error) => return fail(1, format_args!("signals: {error}")),
    };
    let retry = StartRetry::begin();
    let environment = match read_environment(retry, &signals) {
        Ok(environment) => environment,
        Err(error) => return fail(2, error),
    };
    let Environment { config_file, start_up, state_folder } = environment;
    let reload = Box::new(move || reload(&config_file));
    let sender = match StandaloneSender::start(&start_up, &state_folder, retry, signals, reload) {
        Ok(sender) => sender,
        Err(error) => return fail(1, error),
    };
    match sender.run() {
        Ok(stats) => {
            tracing::info!(?stats, "out of service");
            ExitCode::SUCCESS
        }
        Err(error) => fail(1, error),
    }
}
