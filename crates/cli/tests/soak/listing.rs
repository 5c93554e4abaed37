//! The list of endpoints that discovery tells of, as it changes: endpoints drain or are removed, and serve again; one moves to
//! another address, and an endpoint of another destination takes its former one.

use crate::addresses::{Tenancy, TenancyEnd};
use crate::connection::Connection;
use crate::world::{Random, Trail, World};
use serde_json::{Value, json};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How often a watch looks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// After so long without a change a watch gets an empty line.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// The state of an endpoint that was removed from the list.
const DELETED: &str = "DELETED";

/// The endpoint that moves, the destination of the one that takes its address, and that one's id.
const MOVING: usize = 1;
const TAKER_DEST: u64 = 2;
const TAKER: &str = "taker";

/// A change counts as told so long after discovery had it and could be reached.
const TOLD_WITHIN: Duration = Duration::from_secs(6);

/// A span in which an endpoint was draining or removed.
#[derive(Clone, Debug)]
pub struct Drain {
    pub endpoint: usize,
    pub since: Instant,
    /// When discovery had written it to each process, or when it counts as told though it has not.
    pub told: Vec<Option<Instant>>,
    pub over: Option<Instant>,
    pub version: u64,
}

#[derive(Default)]
struct State {
    /// The version that each process was told last.
    told: Vec<u64>,
    version: u64,
    /// The entries of each version, from 1.
    versions: Vec<Vec<Value>>,
    /// The changes since the first version, oldest first.
    changes: Vec<(u64, Value)>,
    /// The spans in which watches get nothing.
    silences: Vec<(Instant, Instant)>,
    drains: Vec<Drain>,
    /// The server that no endpoint runs on at first, and its address.
    spare: Option<(usize, Value)>,
    tenancies: Vec<Tenancy>,
}

impl State {
    /// Makes a new version of the list with these changed entries, by their index.
    fn change(&mut self, changed: &[(usize, Value)]) {
        let mut entries = self.versions.last().cloned().unwrap_or_default();
        for (index, entry) in changed {
            entries.resize(entries.len().max(index + 1), Value::Null);
            entries[*index] = entry.clone();
            self.changes.push((self.version, entry.clone()));
        }
        self.versions.push(entries);
    }

    /// Gives a server's address to a destination's endpoint, and ends whose it was.
    fn hand_over(&mut self, server: usize, dest: Option<u64>) {
        let (version, told) = (self.version, vec![None; self.told.len()]);
        let open =
            self.tenancies.iter_mut().filter(|tenancy| tenancy.server == server && tenancy.end.is_none());
        open.for_each(|tenancy| {
            tenancy.end = Some(TenancyEnd { at: Instant::now(), version, told: told.clone() });
        });
        self.tenancies.extend(dest.map(|dest| Tenancy::new(server, dest)));
    }
}

/// The list, and what has been told of it.
#[derive(Default)]
pub struct Listing(Mutex<State>);

impl Listing {
    /// Sets the endpoints that the processes know at their start, and the number of processes.
    pub fn set_entries(&self, entries: &[Value], processes: usize) {
        let mut state = self.0.lock().unwrap();
        state.told = vec![1; processes];
        state.version = 1;
        state.versions = vec![entries.to_vec()];
        let tenancy =
            |(server, entry): (usize, &Value)| Tenancy::new(server, entry["cell"].as_u64().unwrap());
        state.tenancies = entries.iter().enumerate().map(tenancy).collect();
    }

    /// The list as a process last held it.
    pub fn held_by(&self, process: usize) -> Value {
        let state = self.0.lock().unwrap();
        let version = state.told[process];
        let entries = &state.versions[version as usize - 1];
        let listed: Vec<&Value> = entries.iter().filter(|entry| entry["state"] != DELETED).collect();
        json!({"version": version, "full": true, "servers": listed})
    }

    /// Sets the server that an endpoint may move to.
    pub fn set_spare(&self, server: usize, address: Value) {
        self.0.lock().unwrap().spare = Some((server, address));
    }

    /// Lets an endpoint move to the spare address, and another one take its former address; or both go back. Gives what was
    /// done, in words.
    pub fn toggle_address(&self) -> String {
        let mut state = self.0.lock().unwrap();
        let Some((spare, spare_address)) = state.spare.clone() else { return String::new() };
        state.version += 1;
        let (mut moved, own) =
            (state.versions.last().unwrap()[MOVING].clone(), state.versions[0][MOVING].clone());
        let taker_index = state.versions[0].len();
        let has_moved = moved["addr"] == spare_address;
        let mut taker = own.clone();
        (taker["id"], taker["cell"]) = (TAKER.into(), TAKER_DEST.into());
        taker["state"] = if has_moved { DELETED } else { "SERVING" }.into();
        moved["addr"] = if has_moved { own["addr"].clone() } else { spare_address };
        state.change(&[(MOVING, moved), (taker_index, taker)]);
        let dest = own["cell"].as_u64();
        state.hand_over(spare, dest.filter(|_| !has_moved));
        state.hand_over(MOVING, if has_moved { dest } else { Some(TAKER_DEST) });
        format!("endpoint {MOVING} moves {}", if has_moved { "back" } else { "away" })
    }

    /// Whose the servers' addresses were, and when each end of that counts as told to each process.
    pub fn tenancies(&self) -> Vec<Tenancy> {
        let state = self.0.lock().unwrap();
        let mut tenancies = state.tenancies.clone();
        for end in tenancies.iter_mut().filter_map(|tenancy| tenancy.end.as_mut()) {
            let due = told_at_the_latest(end.at, &state.silences);
            end.told.iter_mut().for_each(|told| *told = Some(told.map_or(due, |told| told.min(due))));
        }
        tenancies
    }

    /// Lets an endpoint drain or be removed, or serve again where it does not. Gives what was done, in words.
    pub fn toggle(&self, endpoint: usize, removed: bool) -> String {
        let mut state = self.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let open = state.drains.iter_mut().find(|drain| drain.endpoint == endpoint && drain.over.is_none());
        let word = match open {
            Some(drain) => {
                drain.over = Some(Instant::now());
                "SERVING"
            }
            None => {
                let told = vec![None; state.told.len()];
                state.drains.push(Drain { endpoint, since: Instant::now(), told, over: None, version });
                if removed { DELETED } else { "DRAINING" }
            }
        };
        let mut entry = state.versions.last().unwrap()[endpoint].clone();
        entry["state"] = word.into();
        state.change(&[(endpoint, entry)]);
        format!("endpoint {endpoint} is {word}")
    }

    /// Lets discovery say nothing for a span.
    pub fn fall_silent(&self, span: Duration) {
        let now = Instant::now();
        self.0.lock().unwrap().silences.push((now, now + span));
    }

    fn is_silent(&self) -> bool {
        self.0.lock().unwrap().silences.last().is_some_and(|(_, until)| Instant::now() < *until)
    }

    /// The spans in which endpoints were draining or removed, and when each counts as told to each process.
    pub fn drains(&self) -> Vec<Drain> {
        let state = self.0.lock().unwrap();
        let mut drains = state.drains.clone();
        for drain in &mut drains {
            let due = told_at_the_latest(drain.since, &state.silences);
            drain.told.iter_mut().for_each(|told| *told = Some(told.map_or(due, |told| told.min(due))));
        }
        drains
    }

    /// Answers a process's watch until it ends. At times a line breaks off with its connection, or an earlier line
    /// is written once more.
    pub fn follow(
        &self,
        process: usize,
        connection: &Connection,
        request: &str,
        random: &mut Random,
        world: &World,
    ) {
        let since =
            request.split("since=").nth(1).and_then(|text| text.split([' ', '&']).next()?.parse().ok());
        let mut version = since.unwrap_or(1);
        let mut open = connection.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        let mut last_write = Instant::now();
        let mut earlier = vec![self.first_line()];
        while open {
            if self.is_silent() {
                open = connection.stays_open_for(POLL_INTERVAL, world);
                continue;
            }
            if let Some((new_version, line)) = self.line_after(version) {
                let chunk = chunk(&line);
                if random.one_in(8) {
                    _ = connection.write(&chunk[..chunk.len() / 2]);
                    return;
                }
                open = connection.write(&chunk);
                last_write = Instant::now();
                version = new_version;
                self.mark_told(process, version, last_write);
                if random.one_in(2) {
                    // Mostly the last one: what it says of an endpoint is most likely to be wrong now.
                    let last = earlier.len() - 1;
                    let copy =
                        if random.one_in(4) { random.below(earlier.len() as u64) as usize } else { last };
                    open = open && connection.write(&earlier[copy]);
                }
                earlier.push(chunk);
            } else if last_write.elapsed() >= IDLE_INTERVAL {
                open = connection.write(&chunk("\n"));
                last_write = Instant::now();
            }
            open = open && connection.stays_open_for(POLL_INTERVAL, world);
        }
    }

    /// The first whole list as a line.
    fn first_line(&self) -> String {
        let state = self.0.lock().unwrap();
        chunk(&format!("{}\n", json!({"version": 1, "full": true, "servers": state.versions[0]})))
    }

    /// The changes after a version as a line, if there are any, and the version that it leads to.
    fn line_after(&self, version: u64) -> Option<(u64, String)> {
        let state = self.0.lock().unwrap();
        let entries: Vec<&Value> =
            state.changes.iter().filter(|(of, _)| *of > version).map(|(_, entry)| entry).collect();
        entries.first()?;
        // The last state of each endpoint.
        let mut newest: Vec<&Value> = Vec::new();
        for entry in entries {
            newest.retain(|other| other["id"] != entry["id"]);
            newest.push(entry);
        }
        let line = json!({"version": state.version, "full": false, "servers": newest});
        Some((state.version, format!("{line}\n")))
    }

    /// Records that all drains up to a version have been told to a process.
    fn mark_told(&self, process: usize, version: u64, now: Instant) {
        let mut state = self.0.lock().unwrap();
        state.told[process] = version.max(state.told[process]);
        for drain in state.drains.iter_mut().filter(|drain| drain.version <= version) {
            drain.told[process].get_or_insert(now);
        }
        let ends = state.tenancies.iter_mut().filter_map(|tenancy| tenancy.end.as_mut());
        for end in ends.filter(|end| end.version <= version) {
            end.told[process].get_or_insert(now);
        }
    }
}

/// When a change counts as told at the latest, by the spans in which discovery could not be reached.
fn told_at_the_latest(since: Instant, silences: &[(Instant, Instant)]) -> Instant {
    silences.iter().fold(since + TOLD_WITHIN, |due, (began, until)| {
        if *began < due && *until > since { due.max(*until + TOLD_WITHIN) } else { due }
    })
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The first call of a process's message that came while its endpoint was draining or removed and this had long been told.
pub fn called_while_draining(
    process: usize,
    trail: &Trail,
    drains: &[Drain],
    grace: Duration,
    starts: &[(Instant, Instant)],
) -> Option<(usize, Instant)> {
    trail.calls.iter().copied().find(|(endpoint, at)| {
        let after_start = starts.iter().any(|(began, ready)| *began <= *at && *at <= *ready + grace);
        let in_drain = |drain: &Drain| {
            let told = drain.told[process].is_some_and(|told| told + grace < *at);
            drain.endpoint == *endpoint && told && drain.over.is_none_or(|over| *at < over)
        };
        !after_start && drains.iter().any(in_drain)
    })
}
