//! The lists of endpoints that the platform's discovery sends.

use heronroute::Status;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// The maximum length of an id, a zone or a kind, in bytes.
const MAX_NAME_BYTES: usize = 256;

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
    /// When it last started, in milliseconds since 1970 UTC; 0 for long ago.
    pub started_ms: u64,
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
    /// Parses a list. An unreadable entry is skipped; the others are still valid. Entries are parsed one by one, so
    /// that a long list takes little more memory than its entries.
    ///
    /// # Errors
    /// If the document is not a list.
    pub fn read(text: &[u8]) -> Result<Self, ListError> {
        let raw: RawList<'_> = serde_json::from_slice(text).map_err(ListError::Json)?;
        let version = parse_field(raw.version, "version", "a whole number")?;
        let full = parse_field(raw.full, "full", "true or false")?;
        let values: Vec<&RawValue> = parse_field(raw.servers, "servers", "a list")?;
        let entries: Vec<Entry> = values.iter().filter_map(|value| parse_entry(value)).collect();
        let unreadable_entries = values.len() - entries.len();
        Ok(List { version, full, entries, unreadable_entries })
    }
}

/// A list whose fields are not parsed yet.
#[derive(Deserialize)]
struct RawList<'a> {
    #[serde(borrow)]
    version: Option<&'a RawValue>,
    #[serde(borrow)]
    full: Option<&'a RawValue>,
    #[serde(borrow)]
    servers: Option<&'a RawValue>,
}

/// An entry as it is written. A weight or a start of another type counts as not stated.
#[derive(Deserialize)]
struct RawEntry {
    id: String,
    addr: String,
    zone: String,
    kind: String,
    cell: i64,
    state: String,
    weight: Option<Value>,
    started_ms: Option<Value>,
}

fn parse_field<'a, T: Deserialize<'a>>(
    value: Option<&'a RawValue>,
    name: &'static str,
    expected: &'static str,
) -> Result<T, ListError> {
    let parsed = value.and_then(|value| serde_json::from_str(value.get()).ok());
    parsed.ok_or(invalid_field(name, expected))
}

fn parse_entry(value: &RawValue) -> Option<Entry> {
    let raw: RawEntry = serde_json::from_str(value.get()).ok()?;
    let status = match raw.state.as_str() {
        "SERVING" => Status::Up,
        "DRAINING" => Status::Draining,
        "DELETED" => Status::Removed,
        _ => return None,
    };
    if [&raw.id, &raw.zone, &raw.kind].iter().any(|name| name.len() > MAX_NAME_BYTES) {
        return None;
    }
    Some(Entry {
        id: raw.id,
        addr: raw.addr.parse().ok()?,
        zone: raw.zone,
        kind: raw.kind,
        destination: raw.cell,
        status,
        weight: raw.weight.and_then(|weight| weight.as_f64()),
        started_ms: raw.started_ms.and_then(|started_ms| started_ms.as_u64()).unwrap_or(0),
    })
}
