//! Lists of endpoints, as the platform's discovery sends them.

use heronroute::Status;
use serde_json::Value;
use std::net::SocketAddr;

/// One endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id, which is the same for all senders.
    pub id: String,
    /// The address under which this sender reaches it.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// The destination that it belongs to.
    pub cell: i64,
    /// Its status.
    pub status: Status,
    /// Its weight, if the list states one.
    pub weight: Option<f64>,
}

/// A full list, or changes to an earlier one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    /// Its version.
    pub version: u64,
    /// The list is full: endpoints that it does not name are removed.
    pub full: bool,
    /// Its entries.
    pub entries: Vec<Entry>,
    /// The number of entries that could not be read. Among changes they have no effect; a full list counts as not naming
    /// them.
    pub passed_over: usize,
}

/// Why a document is not a list.
#[derive(Debug, thiserror::Error)]
pub enum Unreadable {
    /// It is not JSON.
    #[error("{0}")]
    Json(serde_json::Error),
    /// A field is missing or of the wrong type.
    #[error("{name}: should be {should_be}")]
    Field {
        /// The name of the field.
        name: &'static str,
        /// The expected value.
        should_be: &'static str,
    },
}

fn invalid_field(name: &'static str, should_be: &'static str) -> Unreadable {
    Unreadable::Field { name, should_be }
}

impl List {
    /// Parses a list. A single entry that can't be read is skipped: the others are still valid.
    ///
    /// # Errors
    /// If the document is not a list.
    pub fn read(text: &[u8]) -> Result<Self, Unreadable> {
        Self::of(&serde_json::from_slice(text).map_err(Unreadable::Json)?)
    }

    /// Converts a list from parsed JSON.
    ///
    /// # Errors
    /// As [`List::read`].
    pub fn of(value: &Value) -> Result<Self, Unreadable> {
        let version = value["version"].as_u64().ok_or(invalid_field("version", "a whole number"))?;
        let full = value["full"].as_bool().ok_or(invalid_field("full", "true or false"))?;
        let lines = value["servers"].as_array().ok_or(invalid_field("servers", "a list"))?;
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
