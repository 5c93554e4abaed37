//! Lists of endpoints, as the platform's discovery writes them.

use heronroute::Status;
use serde_json::Value;
use std::net::SocketAddr;

/// One endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id, the same for all senders.
    pub id: String,
    /// Where this sender reaches it.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// The destination that it belongs to.
    pub cell: i64,
    /// Its standing.
    pub status: Status,
    /// Its weight, where one is given.
    pub weight: Option<f64>,
}

/// A list, or the changes to one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    /// Its version.
    pub version: u64,
    /// What it does not name is gone.
    pub full: bool,
    /// Its lines.
    pub entries: Vec<Entry>,
    /// Lines that could not be read. They change nothing among changes; a whole list does not name them.
    pub passed_over: usize,
}

/// What is no list.
#[derive(Debug, thiserror::Error)]
pub enum Unreadable {
    /// No JSON.
    #[error("{0}")]
    Json(serde_json::Error),
    /// A field that is missing, or not what it should be.
    #[error("{name}: should be {should_be}")]
    Field {
        /// Its name.
        name: &'static str,
        /// What it should be.
        should_be: &'static str,
    },
}

fn lacks(name: &'static str, should_be: &'static str) -> Unreadable {
    Unreadable::Field { name, should_be }
}

impl List {
    /// Reads a list.
    ///
    /// # Errors
    /// Where it is none. A single line that can't be read is passed over: the others still hold.
    pub fn read(text: &[u8]) -> Result<Self, Unreadable> {
        Self::of(&serde_json::from_slice(text).map_err(Unreadable::Json)?)
    }

    /// The same, of what was read already.
    ///
    /// # Errors
    /// As [`List::read`].
    pub fn of(value: &Value) -> Result<Self, Unreadable> {
        let version = value["version"].as_u64().ok_or(lacks("version", "a whole number"))?;
        let full = value["full"].as_bool().ok_or(lacks("full", "true or false"))?;
        let lines = value["servers"].as_array().ok_or(lacks("servers", "a list"))?;
        let entries: Vec<Entry> = lines.iter().filter_map(entry).collect();
        let passed_over = lines.len() - entries.len();
        Ok(List { version, full, entries, passed_over })
    }
}

fn entry(v: &Value) -> Option<Entry> {
    let text = |name: &str| v[name].as_str().map(str::to_string);
    let status = match v["state"].as_str()? {
        "SERVING" => Status::Up,
        "DRAINING" => Status::Draining,
        "DELETED" => Status::Removed,
        _ => return None,
    };
    Some(Entry {
        id: text("id")?,
        addr: v["addr"].as_str()?.parse().ok()?,
        zone: text("zone")?,
        kind: text("kind")?,
        cell: v["cell"].as_i64()?,
        status,
        weight: v["weight"].as_f64(),
    })
}
