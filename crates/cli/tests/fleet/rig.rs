//! An installation of real processes, and questions to its members.

use crate::traffic::{CLASSES, MemberReceivers, Traffic};
use heronroute_net::Clock;
use heronroute_relay::client::{Client, ClientError, Login};
use heronroute_relay::fleet::{Fleet, FleetSpec};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Longer than anything takes here on a machine under load.
pub const SOON: Duration = Duration::from_secs(30);
const EACH: Duration = Duration::from_secs(4);

/// The journal lies beside the folder, which may be put back or emptied: accepted messages would be lost with it.
const BASE: &str = "service { senders: 2 slots: 64 room: 4000 max_attempts: 8 connect_timeout: \"500ms\" drain_for: \"100ms\" }
smpp { listen: \"@smpp@\" window: 1000 }
mqtt { listen: \"@mqtt@\" window: 200 }
held { }
journal { folder: \"@settings@.journal\" most_disk: \"64MiB\" segment: \"256KiB\" gather: \"5ms\" }
rules { order_settle: \"300ms\" warm_up: \"3s\" }
plan { name: \"small\" rules: 4 class: \"RESP\" prefix: \"000001\" hold_for: \"1h\" hold_count: 1000 hold_octets: \"1MiB\"
       remember: \"10m\" remembered: 1000 answer_for: \"10m\" trails: 1000 validity: \"1h\" release: 20
       changes_an_hour: 5000 approval: false grace: \"10m\" }
client { system_id: \"oduya\" password: \"secret\" plan: \"small\" }
client { system_id: \"ops\" password: \"secret\" operator: true }\n";

pub struct Rig {
    pub fleet: Fleet,
    pub clock: Clock,
    receivers: Vec<Option<MemberReceivers>>,
    /// Connections of the client and the operator with each member.
    clients: Vec<[Option<Client>; 2]>,
}

const USERS: [&str; 2] = ["oduya", "ops"];

impl Rig {
    pub fn new(members: usize, keepers: usize, seed: u64) -> Self {
        Rig::with(members, keepers, seed, |spec| spec)
    }

    /// With something else in the settings.
    pub fn with(
        members: usize,
        keepers: usize,
        seed: u64,
        change: impl FnOnce(FleetSpec) -> FleetSpec,
    ) -> Self {
        let clock = Clock::start();
        let receivers: Vec<_> =
            (0..members).map(|m| MemberReceivers::start(clock, seed + m as u64)).collect();
        let base = format!("{BASE}{CLASSES}");
        let mut spec = FleetSpec::new(env!("CARGO_BIN_EXE_heronroute"), members, seed)
            .keepers(keepers)
            .zones(&["north", "south"])
            .base(&base);
        for (m, r) in receivers.iter().enumerate() {
            spec = spec.more(m, &r.settings());
        }
        let mut fleet = Fleet::new(&change(spec)).unwrap();
        fleet.start(SOON).unwrap();
        let clients = (0..members).map(|_| [None, None]).collect();
        Rig { fleet, clock, receivers: receivers.into_iter().map(Some).collect(), clients }
    }

    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Messages through one member, for so many microseconds.
    pub fn traffic(&mut self, member: usize, length: i64) -> Traffic {
        let front = self.fleet.front(member, "mqtt").unwrap();
        Traffic::start(front, self.receivers[member].take().unwrap(), self.clock, length)
    }

    /// Asks a member; nothing where it doesn't answer. A connection from before it was started again is not its last word.
    pub fn try_ask(&mut self, member: usize, user: usize, topic: &str, body: &Value) -> Option<Value> {
        let had = self.clients[member][user].is_some();
        let answer = self.ask_once(member, user, topic, body);
        let lost = had && self.clients[member][user].is_none();
        if answer.is_none() && lost { self.ask_once(member, user, topic, body) } else { answer }
    }

    fn ask_once(&mut self, member: usize, user: usize, topic: &str, body: &Value) -> Option<Value> {
        let at = self.fleet.front(member, "mqtt").unwrap();
        let slot = &mut self.clients[member][user];
        if slot.is_none() {
            let login = Login::new(at, USERS[user], &format!("q-{}", USERS[user]));
            *slot = Client::connect(&login, EACH).ok();
        }
        let answer = slot.as_mut()?.ask_json(topic, body, EACH);
        match answer {
            Ok(answer) => Some(answer),
            Err(ClientError::Refused(code, why)) => panic!("{topic}: refused with {code} {why}"),
            Err(ClientError::Json(text, e)) => panic!("{topic}: {e}: {text}"),
            Err(e) => {
                println!("{topic} at {member}: {e}");
                *slot = None;
                None
            }
        }
    }

    /// Asks as the client.
    pub fn ask(&mut self, member: usize, topic: &str, body: &Value) -> Value {
        self.try_ask(member, 0, topic, body).unwrap_or(Value::Null)
    }

    /// `rules/submit` of one rule that holds messages so many minutes.
    pub fn submit(&mut self, member: usize, base: u64, minutes: u64) -> Value {
        let rule = json!({"name": "long", "class": "RESP", "to": "000001", "key": "", "hold_for": format!("{minutes}m")});
        self.ask(member, "rules/submit", &json!({"base": base, "rules": [rule]}))
    }

    /// Until `done` gives something; `what` for the panic, with what was seen last.
    pub fn until<T>(
        &mut self,
        what: &str,
        mut done: impl FnMut(&mut Self) -> Result<T, Value>,
    ) -> (T, Duration) {
        let begin = Instant::now();
        loop {
            match done(self) {
                Ok(found) => return (found, begin.elapsed()),
                Err(seen) => {
                    assert!(begin.elapsed() < SOON, "{what}: not seen in time, but {seen}\n{}", self.tails());
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn tails(&mut self) -> String {
        (0..self.len()).map(|m| format!("{m}:\n{}\n", self.fleet.member(m).unwrap().log().tail())).collect()
    }

    /// Until this member says that it has a majority and that all but these are alive and these are in this state.
    pub fn sees(&mut self, member: usize, others: &[usize], state: &str) -> Duration {
        let names: Vec<String> = others.iter().map(|m| name(*m)).collect();
        let what = format!("at {member}, {names:?} {state}");
        self.until(&what, |rig| {
            let seen = rig.ask(member, "fleet/members", &Value::Null);
            let members = seen["members"].as_array().cloned().unwrap_or_default();
            let fits = |m: &Value| {
                let wanted = if names.iter().any(|n| m["name"] == n.as_str()) { state } else { "alive" };
                m["state"] == wanted
            };
            let well = seen["majority"] == true && members.len() + 1 == rig.len() && members.iter().all(fits);
            if well { Ok(()) } else { Err(seen) }
        })
        .1
    }

    /// The member in charge as this one knows it.
    pub fn in_charge(&mut self, member: usize) -> usize {
        self.until("one in charge", |rig| {
            let seen = rig.ask(member, "fleet/members", &Value::Null);
            let found = seen["charge"].as_str().and_then(|name| name.bytes().next());
            found.map(|b| usize::from(b - b'a')).ok_or(seen)
        })
        .0
    }

    /// Until the operator is told at this member that these are in line, with this version.
    pub fn in_line(&mut self, member: usize, members: &[usize], version: u64) -> Duration {
        self.until(&format!("{members:?} in line with {version}, as told at {member}"), |rig| {
            let seen = rig.try_ask(member, 1, "fleet/drift", &Value::Null).unwrap_or(Value::Null);
            let rows = seen["members"].as_array().cloned().unwrap_or_default();
            let fits = |m: &usize| {
                rows.iter().any(|r| {
                    r["name"] == name(*m).as_str() && r["verdict"] == "in line" && r["version"] == version
                })
            };
            if members.iter().all(fits) { Ok(()) } else { Err(seen) }
        })
        .1
    }

    /// What the operator is told of a member at another one, from the one in charge.
    pub fn row(&mut self, at: usize, member: usize) -> Value {
        let seen = self.try_ask(at, 1, "fleet/drift", &Value::Null).unwrap_or(Value::Null);
        let rows = seen["members"].as_array().cloned().unwrap_or_default();
        rows.into_iter().find(|r| r["name"] == name(member).as_str()).unwrap_or(seen)
    }

    /// Verdicts that were, as the operator is told at a member.
    pub fn history(&mut self, at: usize) -> Vec<Value> {
        let told = self.until("the history of verdicts", |rig| {
            let seen = rig.try_ask(at, 1, "fleet/drift", &Value::Null).unwrap_or(Value::Null);
            seen["history"].as_array().cloned().ok_or(seen)
        });
        told.0
    }

    /// Until the operator is told this of a member.
    pub fn verdict(&mut self, at: usize, member: usize, verdict: &str) -> Duration {
        self.until(&format!("{member} {verdict}, as told at {at}"), |rig| {
            let row = rig.row(at, member);
            if row["verdict"] == verdict { Ok(()) } else { Err(row) }
        })
        .1
    }

    /// Until nothing has changed for `span`: all see all alive and have a majority, and none names another one in charge
    /// or another term than before. On a machine under load a false suspicion may come between; whoever flaps for ever is never so.
    pub fn steady(&mut self, what: &str, span: Duration) -> Duration {
        let (mut since, mut before) = (Instant::now(), Value::Null);
        self.until(what, |rig| {
            let all: Vec<Value> = (0..rig.len()).map(|m| rig.ask(m, "fleet/members", &Value::Null)).collect();
            let well = |seen: &Value| {
                let others = seen["members"].as_array().cloned().unwrap_or_default();
                seen["condition"] == "with majority"
                    && others.len() + 1 == rig.len()
                    && others.iter().all(|m| m["state"] == "alive")
            };
            let well = all.iter().all(well);
            let now = Value::Array(all);
            if !well || now != before {
                (since, before) = (Instant::now(), now.clone());
            }
            if well && since.elapsed() >= span { Ok(()) } else { Err(now) }
        })
        .1
    }

    /// Until this member shows this version to the client.
    pub fn shows(&mut self, member: usize, version: u64) -> Duration {
        self.until(&format!("version {version} shown at {member}"), |rig| {
            let seen = rig.ask(member, "rules/show", &Value::Null);
            if seen["version"] == version { Ok(()) } else { Err(seen) }
        })
        .1
    }

    /// Submits until it is approved; gives the version. Asked again, it is the same request.
    pub fn approved(&mut self, member: usize, base: u64, minutes: u64) -> (u64, Duration) {
        self.until(&format!("{minutes}m approved at {member}"), |rig| {
            let seen = rig.submit(member, base, minutes);
            let version = seen["version"].as_u64().filter(|_| seen["state"] == "approved");
            version.ok_or(seen)
        })
    }

    /// Likewise on whatever the member shows.
    pub fn approved_next(&mut self, member: usize, minutes: u64) -> (u64, Duration) {
        self.until(&format!("{minutes}m approved at {member}, on what it shows"), |rig| {
            let base = rig.ask(member, "rules/show", &Value::Null)["version"].as_u64().unwrap_or(0);
            let seen = rig.submit(member, base, minutes);
            let version = seen["version"].as_u64().filter(|_| seen["state"] == "approved");
            version.ok_or(seen)
        })
    }
}

pub fn name(member: usize) -> String {
    char::from(b'a' + member as u8).to_string()
}
