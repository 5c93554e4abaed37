//! Runs heronroute dispatchers behind a JSON line protocol. It translates events and actions and keeps the
//! instances isolated from each other; it makes no decisions.
//!
//! Unknown event names, unknown settings and surplus values are ignored, and so are events for an instance
//! that isn't running. Any other input that can't be parsed is an error that names its position.

use heronroute::{
    Action, DestId, Dispatcher, EndpointEntry, EndpointId, Event, LimitReport, Micros, MsgId, Outcome, Status,
};
use heronroute_platform::settings;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// The dispatcher of one sender, with its own numbering of endpoints.
struct Instance {
    dispatcher: Dispatcher,
    endpoint_ids: BTreeMap<String, EndpointId>,
    endpoint_names: Vec<String>,
}

impl Instance {
    /// Returns the number of an endpoint, assigning one to a new name.
    fn endpoint_id(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.endpoint_ids.get(name) {
            return *id;
        }
        let id = EndpointId(self.endpoint_names.len() as u32);
        self.endpoint_names.push(name.to_string());
        self.endpoint_ids.insert(name.to_string(), id);
        id
    }
}

/// A directory entry as read, before an instance assigns a number to the endpoint.
struct TableRow {
    name: String,
    entry: EndpointEntry,
}

/// One input line.
#[derive(Deserialize)]
struct Batch {
    #[serde(rename = "TUs")]
    now: Micros,
    seq: Value,
    msgs: Vec<Value>,
}

/// All instances of a process. They share only the numbered directory tables of the protocol.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<String, Instance>,
    tables: BTreeMap<i64, Vec<TableRow>>,
}

/// Reads the values of one message by position. Errors name the position.
struct Fields<'a> {
    name: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    fn new(value: &'a Value) -> Result<Self, String> {
        let values = value.as_array().ok_or("a message is not an array")?;
        let name = values.first().and_then(Value::as_str).ok_or("a message has no name")?;
        Ok(Fields { name, values: &values[1..] })
    }

    fn error(&self, index: usize, expected: &str) -> String {
        match self.values.get(index) {
            Some(value) => format!("{}: value {} should be {expected}, not {value}", self.name, index + 1),
            None => format!("{}: value {} ({expected}) is missing", self.name, index + 1),
        }
    }

    fn optional(&self, index: usize) -> Option<&'a Value> {
        self.values.get(index).filter(|v| !v.is_null())
    }

    fn get(&self, index: usize, expected: &str) -> Result<&'a Value, String> {
        self.optional(index).ok_or_else(|| self.error(index, expected))
    }

    fn text(&self, index: usize) -> Result<&'a str, String> {
        self.get(index, "a string")?.as_str().ok_or_else(|| self.error(index, "a string"))
    }

    fn int(&self, index: usize) -> Result<i64, String> {
        whole_number(self.get(index, "a whole number")?).ok_or_else(|| self.error(index, "a whole number"))
    }

    fn int_or(&self, index: usize, default: i64) -> Result<i64, String> {
        if self.optional(index).is_none() { Ok(default) } else { self.int(index) }
    }

    fn index_or(&self, index: usize, default: i64) -> Result<usize, String> {
        usize::try_from(self.int_or(index, default)?).map_err(|_| self.error(index, "an index"))
    }

    fn flag(&self, index: usize) -> Result<bool, String> {
        match self.optional(index) {
            None => Ok(false),
            Some(v) => v.as_bool().ok_or_else(|| self.error(index, "true or false")),
        }
    }

    fn message_id(&self, index: usize) -> Result<MsgId, String> {
        let text = self.text(index)?;
        let valid = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let number = if valid { u64::from_str_radix(text, 16).ok() } else { None };
        number.map(MsgId).ok_or_else(|| self.error(index, "16 hex digits"))
    }

    fn outcome(&self, index: usize) -> Result<Outcome, String> {
        Ok(match self.text(index)? {
            "done" => Outcome::Done,
            "err" => Outcome::Error,
            "busy" => Outcome::Busy,
            "etimedout" => Outcome::TimedOut,
            "econnrefused" => Outcome::ConnectFailed,
            "econnreset" => Outcome::Reset,
            "ecanceled" => Outcome::Cancelled,
            "skipped" => Outcome::Skipped,
            _ => return Err(self.error(index, "a known outcome")),
        })
    }

    fn report(&self, index: usize) -> Result<Option<LimitReport>, String> {
        let Some(v) = self.optional(index) else { return Ok(None) };
        let object: &Map<String, Value> = v.as_object().ok_or_else(|| self.error(index, "a load report"))?;
        let number = |name: &str| object.get(name).and_then(Value::as_f64);
        Ok(Some(LimitReport { remaining: number("x0"), limit: number("x1") }))
    }
}

/// Returns a whole number, which may also be written with a fraction of zero.
fn whole_number(value: &Value) -> Option<i64> {
    value.as_i64().or_else(|| {
        let float = value.as_f64()?;
        (float.fract() == 0.0 && float.abs() < 9e15).then_some(float as i64)
    })
}

fn table_row(value: &Value) -> Result<TableRow, String> {
    let values = value.as_array().ok_or("Table: an entry is not an array")?;
    let fields = Fields { name: "Table entry", values };
    let status = match fields.text(0)? {
        "up" => Status::Up,
        "draining" => Status::Draining,
        "removed" => Status::Removed,
        _ => return Err(fields.error(0, "a known status")),
    };
    let weight = match fields.optional(2) {
        None => None,
        Some(w) => Some(w.as_f64().ok_or_else(|| fields.error(2, "a number"))?),
    };
    let entry = EndpointEntry {
        endpoint: EndpointId(0),
        dest: DestId(fields.int_or(6, 0)?),
        status,
        kind: fields.index_or(1, 0)?,
        zone: fields.index_or(4, 0)?,
        weight,
    };
    Ok(TableRow { name: fields.text(5)?.to_string(), entry })
}

impl Host {
    /// Handles one line with a batch of messages and returns the reply line.
    ///
    /// # Errors
    /// Returns what couldn't be parsed, and its position.
    pub fn batch(&mut self, line: &str) -> Result<String, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| format!("bad batch: {e}"))?;
        let mut order: Vec<String> = Vec::new();
        let mut queues: BTreeMap<String, Vec<Event>> = BTreeMap::new();
        for (index, value) in batch.msgs.iter().enumerate() {
            self.collect_event(batch.now, value, &mut order, &mut queues)
                .map_err(|e| format!("message {}: {e}", index + 1))?;
        }
        let mut output: Vec<Value> = Vec::new();
        let mut actions = Vec::new();
        for name in order {
            let (Some(instance), Some(events)) = (self.instances.get_mut(&name), queues.remove(&name)) else {
                continue;
            };
            actions.clear();
            instance.dispatcher.round(batch.now, &events, &mut actions);
            output.extend(actions.iter().map(|a| to_json(&name, &instance.endpoint_names, a)));
        }
        Ok(json!({"seq": batch.seq, "output": output}).to_string())
    }

    /// Adds the event of one message to the queue of its instance, or handles the message at once.
    fn collect_event(
        &mut self,
        now: Micros,
        value: &Value,
        order: &mut Vec<String>,
        queues: &mut BTreeMap<String, Vec<Event>>,
    ) -> Result<(), String> {
        let fields = Fields::new(value)?;
        match fields.name {
            "Table" => {
                let rows = fields.get(1, "a list")?.as_array().ok_or_else(|| fields.error(1, "a list"))?;
                self.tables.insert(fields.int(0)?, rows.iter().map(table_row).collect::<Result<_, _>>()?);
                return Ok(());
            }
            "NewInstance" => return self.start_instance(now, &fields, order, queues),
            "Teardown" => {
                let name = fields.text(0)?;
                self.instances.remove(name);
                queues.remove(name);
                order.retain(|n| n != name);
                return Ok(());
            }
            "Announce" | "Inbound" | "Outcome" | "Left" | "Elapsed" | "Pong" | "Datagram"
            | "HeadReceived" => {}
            _ => return Ok(()),
        }
        let name = fields.text(0)?;
        let Some(instance) = self.instances.get_mut(name) else {
            return Ok(());
        };
        if let Some(event) = to_event(&fields, instance, &self.tables)? {
            if !queues.contains_key(name) {
                order.push(name.to_string());
            }
            queues.entry(name.to_string()).or_default().push(event);
        }
        Ok(())
    }

    fn start_instance(
        &mut self,
        now: Micros,
        fields: &Fields<'_>,
        order: &mut Vec<String>,
        queues: &mut BTreeMap<String, Vec<Event>>,
    ) -> Result<(), String> {
        let name = fields.text(0)?;
        let seed = fields.get(1, "a whole number")?;
        let seed = seed.as_u64().or_else(|| seed.as_i64().map(|s| s as u64));
        let seed = seed.ok_or_else(|| fields.error(1, "a whole number"))?;
        let data = settings::PlatformSettings::deserialize(fields.get(2, "the settings")?)
            .map_err(|e| format!("NewInstance {name}: settings: {e}"))?;
        let dispatcher =
            Dispatcher::new(now, seed, data.settings()).map_err(|e| format!("NewInstance {name}: {e}"))?;
        let instance = Instance { dispatcher, endpoint_ids: BTreeMap::new(), endpoint_names: Vec::new() };
        self.instances.insert(name.to_string(), instance);
        order.retain(|n| n != name);
        order.push(name.to_string());
        queues.insert(name.to_string(), Vec::new());
        Ok(())
    }
}

/// Converts one message of the protocol into an event.
fn to_event(
    fields: &Fields<'_>,
    instance: &mut Instance,
    tables: &BTreeMap<i64, Vec<TableRow>>,
) -> Result<Option<Event>, String> {
    Ok(Some(match fields.name {
        "Announce" => {
            let whole = match fields.text(1)? {
                "Partial" => false,
                "Complete" | "Persisted" => true,
                "Error" => return Ok(Some(Event::DirectoryFailed)),
                _ => return Err(fields.error(1, "a known kind of list")),
            };
            let number = fields.int(3)?;
            let rows = tables.get(&number).ok_or_else(|| format!("Announce: no Table {number}"))?;
            let to_entry =
                |r: &TableRow| EndpointEntry { endpoint: instance.endpoint_id(&r.name), ..r.entry };
            Event::DirectoryUpdate { whole, entries: rows.iter().map(to_entry).collect() }
        }
        "Inbound" => Event::Message {
            id: fields.message_id(1)?,
            class: fields.index_or(2, 0)?,
            tenant: fields.index_or(3, 0)?,
            key: if fields.optional(4).is_some() { Some(fields.text(4)?.to_string()) } else { None },
            dest: DestId(fields.int_or(7, 0)?),
            time_left: fields.int(5)?,
            again: fields.int_or(8, 0)? & 2 != 0,
        },
        "Outcome" => {
            let outcome = fields.outcome(2)?;
            let wait_ms = fields.int_or(6, 0)?;
            Event::Outcome {
                id: fields.message_id(1)?,
                attempt: fields.index_or(4, 0)? as u32,
                endpoint: instance.endpoint_id(fields.text(7)?),
                outcome,
                message_closed: fields.flag(3)?,
                elapsed: fields.int_or(5, 0)?,
                wait: if outcome == Outcome::Busy { wait_ms.saturating_mul(1000) } else { 0 },
                report: fields.report(8)?,
            }
        }
        "Left" => Event::Withdrawn { id: fields.message_id(1)? },
        "Elapsed" => {
            let token = u64::try_from(fields.int(1)?).map_err(|_| fields.error(1, "a token"))?;
            Event::Timer { token }
        }
        "Pong" => Event::Probed {
            endpoint: instance.endpoint_id(fields.text(1)?),
            outcome: fields.outcome(2)?,
            report: fields.report(4)?,
        },
        "Datagram" => {
            Event::PeerMessage { from: fields.index_or(1, 0)? as u32, text: fields.text(2)?.to_string() }
        }
        _ => return Ok(None),
    }))
}

/// Converts one action into a message of the protocol.
fn to_json(sender: &str, endpoint_names: &[String], action: &Action) -> Value {
    let hex = |id: &MsgId| format!("{:016x}", id.0);
    let name = |e: &EndpointId| endpoint_names.get(e.0 as usize).map_or("", String::as_str);
    match action {
        Action::Send { id, endpoint, timeout } => {
            json!(["Issue", sender, hex(id), name(endpoint), timeout])
        }
        Action::Cancel { id, attempt } => json!(["AbortAttempt", sender, hex(id), attempt]),
        Action::Refuse { id, retry_after } => json!(["Shed", sender, hex(id), retry_after]),
        Action::Fail { id } => json!(["Abort", sender, hex(id)]),
        Action::Timer { at, token } => json!(["After", sender, at, token]),
        Action::Subscribe => json!(["StreamChanges", sender, true]),
        Action::Probe { endpoint } => json!(["HealthCheck", sender, name(endpoint)]),
        Action::Close { endpoint } => json!(["LetGo", sender, name(endpoint)]),
        Action::Broadcast { text } => json!(["BroadcastTo", sender, null, text]),
    }
}
