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
    /// Lines that could not be read; they change nothing.
    pub passed_over: usize,
}

impl List {
    /// Reads a list.
    ///
    /// # Errors
    /// Where it is none. A single line that can't be read is passed over: the others still hold.
    pub fn read(text: &[u8]) -> Result<Self, String> {
        Self::of(&serde_json::from_slice(text).map_err(|e| e.to_string())?)
    }

    /// The same, of what was read already.
    ///
    /// # Errors
    /// As [`List::read`].
    pub fn of(value: &Value) -> Result<Self, String> {
        let version = value["version"].as_u64().ok_or("version: should be a whole number")?;
        let full = value["full"].as_bool().ok_or("full: should be true or false")?;
        let lines = value["servers"].as_array().ok_or("servers: should be a list")?;
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_that_cannot_be_read_harms_no_other() {
        let line = r#"{"id":"s","addr":"127.0.0.1:9","zone":"a","kind":"m","cell":3,"state":"DRAINING","weight":1.5}"#;
        let bad = line.replace("DRAINING", "ASLEEP");
        let text = format!(r#"{{"version":7,"full":false,"servers":[{bad},{line},4]}}"#);
        let list = List::read(text.as_bytes()).unwrap();
        assert_eq!((list.version, list.full, list.passed_over), (7, false, 2));
        let e = &list.entries[0];
        assert_eq!((e.cell, e.status, e.weight), (3, Status::Draining, Some(1.5)));
        assert!(List::read(b"{}").unwrap_err().contains("version"));
    }
}
