//! The lists of endpoints that the platform's discovery sends.

use heronroute::Status;
use serde_json::Value;
use std::net::SocketAddr;

/// One endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id, which is the same for all senders.
    pub id: String,
    /// The address at which this sender reaches it.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// The destination that it belongs to.
    pub destination: i64,
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
    /// Whether the list is full. Endpoints that a full list does not name are removed.
    pub full: bool,
    /// Its entries.
    pub entries: Vec<Entry>,
    /// The number of unreadable entries. Among changes they have no effect; a full list counts as not naming
    /// them.
    pub unreadable_entries: usize,
}

/// Why a document is not a list.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is not JSON.
    #[error("{0}")]
    Json(serde_json::Error),
    /// A field is missing or of the wrong type.
    #[error("{name}: should be {expected}")]
    Field {
        /// The name of the field.
        name: &'static str,
        /// The expected value.
        expected: &'static str,
    },
}

fn invalid_field(name: &'static str, expected: &'static str) -> ListError {
    ListError::Field { name, expected }
}

impl List {
    /// Parses a list. An unreadable entry is skipped; the others are still valid.
    ///
    /// # Errors
    /// If the document is not a list.
    pub fn read(text: &[u8]) -> Result<Self, ListError> {
        Self::from_json(&serde_json::from_slice(text).map_err(ListError::Json)?)
    }

    /// Converts a list from parsed JSON.
    ///
    /// # Errors
    /// As [`List::read`].
    pub fn from_json(value: &Value) -> Result<Self, ListError> {
        let version = value["version"].as_u64().ok_or(invalid_field("version", "a whole number"))?;
        let full = value["full"].as_bool().ok_or(invalid_field("full", "true or false"))?;
        let values = value["servers"].as_array().ok_or(invalid_field("servers", "a list"))?;
        let entries: Vec<Entry> = values.iter().filter_map(parse_entry).collect();
        let unreadable_entries = values.len() - entries.len();
        Ok(List { version, full, entries, unreadable_entries })
    }
}

fn parse_entry(value: &Value) -> Option<Entry> {
    let text = |name: &str| value[name].as_str().map(str::to_string);
    let status = match value["state"].as_str()? {
        "SERVING" => Status::Up,
        "DRAINING" => Status::Draining,
        "DELETED" => Status::Removed,
        _ => return None,
    };
    Some(Entry {
        id: text("id")?,
        addr: value["addr"].as_str()?.parse().ok()?,
        zone: text("zone")?,
        kind: text("kind")?,
        destination: value["cell"].as_i64()?,
        status,
        weight: value["weight"].as_f64(),
    })
}
