//! The configuration that a sender starts with.

use crate::catalog::{List, ListError};
use crate::settings::{Names, PlatformSettings};
use heronroute::{Settings, SettingsError};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// The limits on a sender's resources.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// The memory, in megabytes.
    pub memory_mb: f64,
    /// The number of file descriptors of the process.
    pub sockets: usize,
    /// The disk space in the directory that outlives the process, in megabytes.
    pub disk_mb: f64,
}

/// A sender's configuration.
#[derive(Clone, Debug)]
pub struct StartUp {
    /// The sender's name.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery, which sends lists and receives notices.
    pub discovery: SocketAddr,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The limits on its resources.
    pub limits: Limits,
    /// The endpoints that are known at the start.
    pub known: List,
    /// The settings of the decision library.
    pub settings: Settings,
    /// The names that belong to the settings.
    pub names: Names,
}

/// The configuration in JSON.
#[derive(Deserialize)]
struct Raw {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    known: Option<Box<RawValue>>,
    settings: PlatformSettings,
}

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StartUpError {
    /// Not JSON, or a field is missing or of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number.
    #[error("seed: should be a hexadecimal number")]
    Seed,
    /// The list of known endpoints can't be read.
    #[error("known: {0}")]
    Known(#[source] ListError),
    /// The decision library rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A list of names is empty.
    #[error("settings: at least one class, kind and tenant must be named")]
    Names,
    /// The limits are too low.
    #[error("limits: memory_mb, disk_mb and sockets must leave room to work")]
    Limits,
}

/// Parses a configuration.
///
/// # Errors
/// If the configuration is invalid. The error names the field that is missing or wrong.
pub fn read(text: &str) -> Result<StartUp, StartUpError> {
    let raw: Raw = serde_json::from_str(text)?;
    let seed = u64::from_str_radix(&raw.seed, 16).map_err(|_| StartUpError::Seed)?;
    let known = raw
        .known
        .as_ref()
        .map(|known| List::read(known.get().as_bytes()))
        .transpose()
        .map_err(StartUpError::Known)?;
    let names = raw.settings.names();
    let settings = raw.settings.settings();
    settings.validate()?;
    if names.classes.is_empty() || names.kinds.is_empty() || names.tenants.is_empty() {
        return Err(StartUpError::Names);
    }
    let l = raw.limits;
    if !(l.memory_mb >= 1.0 && l.disk_mb > 0.0 && l.sockets >= 32) {
        return Err(StartUpError::Limits);
    }
    Ok(StartUp {
        name: raw.name,
        listen: raw.listen,
        discovery: raw.discovery,
        seed,
        limits: raw.limits,
        known: known.unwrap_or_default(),
        settings,
        names,
    })
}
