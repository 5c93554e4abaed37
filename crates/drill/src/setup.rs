//! Sets a day up, lets it pass, collects what was recorded.

use heronroute_audit::{Breach, Class, Effect, Record, Slack, check, trails};
use heronroute_config::{Config, format_duration, parse, raw};
use heronroute_engine::Stats;
use heronroute_net::{Clock, Service, StartError};
use heronroute_standins::Micros;
use heronroute_standins::directory::{Change, Directory};
use heronroute_standins::model::{Incident, ReceiverModel};
use heronroute_standins::mqtt_clients::{MqttClients, MqttPlan};
use heronroute_standins::receivers::{self, Endpoint, Receivers, Speaks};
use heronroute_standins::run::Running;
use heronroute_standins::smpp_clients::{Plan, Refused, SmppClients};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// A class of messages.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// Its service_type.
    pub name: &'static str,
    /// What a repeat does.
    pub effect: Effect,
    /// Wanted within this.
    pub aim: Micros,
    /// Given up after this.
    pub deadline: Micros,
    /// Messages with the same key keep their order.
    pub ordered: bool,
    /// Its worth.
    pub worth: f64,
}

/// A client.
#[derive(Clone, Debug)]
pub struct ClientSpec {
    /// Its system_id; its password is `secret`.
    pub system_id: String,
    /// Accepted rate, 0 for none.
    pub rate: f64,
}

/// A destination with its endpoints.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Its number; addresses that begin with it as six digits lead to it.
    pub number: i64,
    /// What it speaks.
    pub speaks: Speaks,
    /// Messages in one call at most.
    pub batch: usize,
    /// Its endpoints, those that come later included.
    pub endpoints: Vec<Listed>,
    /// How it is made.
    pub shape: ReceiverModel,
    /// What strikes it.
    pub incidents: Vec<Incident>,
    /// Before each response it answers something that nobody asked.
    pub strays: bool,
}

/// When an endpoint is listed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listed {
    /// It is added at this time; 0: from the start.
    pub from: Micros,
    /// It drains from this time on, gone two seconds later.
    pub drains: Option<Micros>,
    /// The directory is so late with it.
    pub lag: Micros,
}

/// Figures of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    pub drain_grace: Micros,
    pub order_settle: Micros,
    pub cold_from: f64,
    pub warm_up: Micros,
    pub fall_multiple: f64,
    pub fall_window: Micros,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace: 500_000,
            order_settle: 300_000,
            cold_from: 0.2,
            warm_up: 3_000_000,
            fall_multiple: 2.0,
            fall_window: 2_000_000,
        }
    }
}

/// Everything that a day brings.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub senders: usize,
    pub slots: usize,
    pub room: usize,
    pub classes: Vec<ClassSpec>,
    pub clients: Vec<ClientSpec>,
    pub destinations: Vec<Destination>,
    pub plans: Vec<Plan>,
    /// Clients that speak MQTT.
    pub mqtt: Vec<MqttPlan>,
    /// Spans in which the directory answers with errors.
    pub directory_errors: Vec<(Micros, Micros)>,
    /// Senders that stand still: when, which, how long.
    pub stalls: Vec<(Micros, usize, Micros)>,
    /// Clients wait for answers until this.
    pub until: Micros,
    pub rules: Rules,
    /// Where senders keep their journals, if they do. Emptied first.
    pub journal: Option<PathBuf>,
    /// Further lines of the settings file.
    pub more: String,
}

/// Why a day could not be run.
#[derive(Debug, thiserror::Error)]
pub enum DrillError {
    /// Its own settings are wrong.
    #[error("the day's settings: {0}")]
    Settings(#[from] heronroute_config::FileErrors),
    /// The service did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// Something of the machine.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// What came of a day.
#[derive(Debug)]
pub struct Outcome {
    /// What crossed the sockets.
    pub record: Record,
    /// What the audit found.
    pub breaches: Vec<Breach>,
    /// The service's own counts, for tables only.
    pub stats: Stats,
    /// Submissions that were turned away.
    pub refused: Vec<Refused>,
    /// What MQTT clients' state machines called wrong, and clients that were sent away.
    pub wrong: Vec<(Micros, String)>,
    /// Trails that were told, and what of them does not fit what receivers recorded.
    pub trails: usize,
    /// See `trails`.
    pub lies: Vec<String>,
}

/// A day under way.
pub struct Drill {
    day: Day,
    clock: Clock,
    receivers: Running<Receivers>,
    directory: Running<Directory>,
    service: Option<Service>,
}

impl Drill {
    /// Sets up stand-ins and service.
    ///
    /// # Errors
    /// Where something of it can't be had.
    pub fn start(day: Day) -> Result<Self, DrillError> {
        let clock = Clock::start();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut endpoints = Vec::new();
        for d in &day.destinations {
            for (i, l) in d.endpoints.iter().enumerate() {
                endpoints.push(Endpoint {
                    name: format!("d{}-{i}", d.number),
                    destination: d.number,
                    speaks: d.speaks,
                    batches: d.batch > 1,
                    // It goes once all who were told have had their grace.
                    leaves: l.drains.map(|t| t + l.lag + 2 * day.rules.drain_grace + 3_000_000),
                    strays: d.strays,
                });
            }
        }
        let models: Vec<receivers::Destination> = day
            .destinations
            .iter()
            .map(|d| receivers::Destination {
                destination: d.number,
                shape: d.shape,
                incidents: d.incidents.clone(),
            })
            .collect();
        let seed = day.seed;
        let receivers =
            Running::start(&vec![any; endpoints.len()], clock, |_| Receivers::new(endpoints, models, seed))?;
        let (list, changes) = listing(&day, &receivers.addresses);
        let errors = day.directory_errors.clone();
        let directory = Running::start(&[any], clock, |_| Directory::new(list, changes, errors))?;
        if let Some(folder) = &day.journal {
            _ = std::fs::remove_dir_all(folder);
        }
        let text = settings(&day, directory.addresses[0]);
        let cfg: Arc<Config> = Arc::new(parse("day", &text)?);
        let service = Some(Service::start(cfg, day.seed)?);
        Ok(Drill { day, clock, receivers, directory, service })
    }

    /// Lets the day pass, and checks what was recorded.
    ///
    /// # Errors
    /// Where a thread failed.
    pub fn run(mut self) -> Result<Outcome, DrillError> {
        let Some(service) = self.service.take() else { return Err(io::Error::other("no service").into()) };
        let (plans, until) = (self.day.plans.clone(), self.day.until);
        let deadlines: Vec<Micros> = self.day.classes.iter().map(|c| c.deadline).collect();
        let address = service.address();
        let mqtt_clients = match service.mqtt_address().filter(|_| !self.day.mqtt.is_empty()) {
            Some(address) => {
                let (plans, deadlines) = (self.day.mqtt.clone(), deadlines.clone());
                let mqtt_clients =
                    move |_: &[SocketAddr]| MqttClients::new(address, plans, deadlines, until).with_trails();
                Some(Running::start(&[], self.clock, mqtt_clients)?)
            }
            None => None,
        };
        let herd = if plans.is_empty() {
            None
        } else {
            Some(Running::start(&[], self.clock, move |_| {
                SmppClients::new(address, plans, deadlines, until)
            })?)
        };
        let mut stalls = self.day.stalls.clone();
        stalls.sort_unstable();
        stalls.reverse();
        let done = || {
            herd.as_ref().is_none_or(Running::finished) && mqtt_clients.as_ref().is_none_or(Running::finished)
        };
        while !done() {
            if let Some((_, sender, span)) = stalls.pop_if(|s| s.0 <= self.clock.now()) {
                service.stall(sender, Duration::from_micros(span as u64));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut herd = herd.map(Running::join).transpose()?;
        let mut mqtt_clients = mqtt_clients.map(Running::join).transpose()?;
        service.shut_down();
        let stats = service.join()?;
        let receivers = self.receivers.stop()?;
        let directory = self.directory.stop()?;
        let mut record = Record {
            fell: receivers.fallen(),
            arrivals: receivers.arrivals,
            drained: directory.told,
            ..Record::default()
        };
        let (mut refused, mut wrong) = (Vec::new(), Vec::new());
        let mut told = BTreeMap::new();
        if let Some(h) = &mut herd {
            h.close();
            record.submissions.append(&mut h.accepted);
            record.away.append(&mut h.away);
            record.unheard += h.unheard;
            record.strays.append(&mut h.strays);
            refused.append(&mut h.refused);
        }
        if let Some(f) = &mut mqtt_clients {
            f.close();
            record.submissions.append(&mut f.accepted);
            record.away.append(&mut f.away);
            record.unheard += f.unheard;
            record.strays.append(&mut f.strays);
            refused.append(&mut f.refused);
            wrong.append(&mut f.wrong);
            told = std::mem::take(&mut f.trails);
        }
        let classes: Vec<Class> =
            self.day.classes.iter().map(|c| Class { effect: c.effect, ordered: c.ordered }).collect();
        let longest_stall = self.day.stalls.iter().map(|s| s.2).max().unwrap_or(0);
        let slack = Slack {
            // Threads on a busy machine wait for their turn; a sender that stands still hears nothing.
            wire: 250_000 + longest_stall,
            drain_grace: self.day.rules.drain_grace,
            order_settle: self.day.rules.order_settle,
            least_timeout: 100_000,
        };
        let breaches = check(&record, &classes, slack);
        let lies = trails(&record, &told);
        Ok(Outcome { record, breaches, stats, refused, wrong, trails: told.len(), lies })
    }
}

fn listing(day: &Day, addresses: &[SocketAddr]) -> (Vec<raw::Endpoint>, Vec<Change>) {
    let (mut list, mut changes) = (Vec::new(), Vec::new());
    let mut next = addresses.iter();
    for d in &day.destinations {
        for (i, l) in d.endpoints.iter().enumerate() {
            let Some(address) = next.next() else { break };
            let line = |status: &str| raw::Endpoint {
                name: format!("d{}-{i}", d.number),
                address: address.to_string(),
                destination: d.number as u32,
                kind: kind_name(d),
                zone: String::new(),
                weight: 0.0,
                status: status.to_string(),
            };
            if l.from == 0 {
                list.push(line("up"));
            } else {
                changes.push(Change { at: l.from + l.lag, endpoint: line("up") });
            }
            if let Some(at) = l.drains {
                changes.push(Change { at: at + l.lag, endpoint: line("draining") });
                changes.push(Change { at: at + l.lag + 2_000_000, endpoint: line("removed") });
            }
        }
    }
    (list, changes)
}

fn kind_name(d: &Destination) -> String {
    let speaks = if d.speaks == Speaks::Smpp { "smpp" } else { "http" };
    format!("{speaks}-{}", d.batch)
}

/// The service's settings, as an operator would write them.
fn settings(day: &Day, directory: SocketAddr) -> String {
    let mut t = String::new();
    let r = day.rules;
    _ = writeln!(
        t,
        "service {{ senders: {} slots: {} room: {} max_attempts: 8 connect_timeout: \"500ms\" \
         drain_for: \"3s\" }}",
        day.senders, day.slots, day.room
    );
    _ = writeln!(t, "smpp {{ listen: \"127.0.0.1:0\" window: 1000 sessions: 20000 }}");
    if !day.mqtt.is_empty() {
        _ = writeln!(t, "mqtt {{ listen: \"127.0.0.1:0\" window: 1000 sessions: 20000 }} held {{}}");
    }
    _ = writeln!(
        t,
        "rules {{ drain_grace: \"{}\" order_settle: \"{}\" cold_from: {} warm_up: \"{}\" fall_multiple: {} \
         fall_window: \"{}\" }}",
        format_duration(r.drain_grace),
        format_duration(r.order_settle),
        r.cold_from,
        format_duration(r.warm_up),
        r.fall_multiple,
        format_duration(r.fall_window)
    );
    _ = writeln!(t, "directory {{ address: \"{directory}\" poll: \"2s\" }}");
    for c in &day.clients {
        _ = writeln!(t, "client {{ system_id: \"{}\" password: \"secret\" rate: {} }}", c.system_id, c.rate);
    }
    for c in &day.classes {
        let (effect, window) = match c.effect {
            Effect::Free => ("free", String::new()),
            Effect::Guarded(w) => ("guarded", format!(" window: \"{}\"", format_duration(w))),
            Effect::SingleShot => ("single_shot", String::new()),
        };
        _ = writeln!(
            t,
            "class {{ name: \"{}\" effect: \"{effect}\"{window} aim: \"{}\" deadline: \"{}\" ordered: {} worth: {} }}",
            c.name,
            format_duration(c.aim),
            format_duration(c.deadline),
            c.ordered,
            c.worth
        );
    }
    let mut kinds: Vec<(String, &str, usize)> = day
        .destinations
        .iter()
        .map(|d| (kind_name(d), if d.speaks == Speaks::Smpp { "smpp" } else { "http" }, d.batch))
        .collect();
    kinds.sort();
    kinds.dedup();
    for (name, protocol, batch) in kinds {
        _ = writeln!(t, "kind {{ name: \"{name}\" protocol: \"{protocol}\" batch: {batch} }}");
    }
    for d in &day.destinations {
        _ = writeln!(t, "route {{ prefix: \"{:06}\" destination: {} }}", d.number, d.number);
    }
    if let Some(folder) = &day.journal {
        _ = writeln!(t, "journal {{ folder: \"{}\" }}", folder.display());
    }
    t.push_str(&day.more);
    t
}
