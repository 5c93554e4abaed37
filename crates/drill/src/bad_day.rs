//! Days made from a seed: the kinds of trouble known from the bench, on the real service.

use crate::setup::{ClassSpec, ClientSpec, Day, Destination, Listed, Rules};
use heronroute_audit::Effect;
use heronroute_config::{parse_duration, raw};
use heronroute_smpp::server::Mode;
use heronroute_smpp::submission::{ReceiptRequest, Submission};
use heronroute_standins::Micros;
use heronroute_standins::model::{Incident, ReceiverModel, Trouble};
use heronroute_standins::mqtt::ClientOptions;
use heronroute_standins::mqtt_clients::{self, MqttPlan, PlannedMessage};
use heronroute_standins::receivers::Speaks;
use heronroute_standins::smpp_clients::{Plan, Step};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};

const S: Micros = 1_000_000;

/// A day and what it brings, in words.
pub struct BadDay {
    /// The day.
    pub day: Day,
    /// Its troubles.
    pub troubles: Vec<String>,
    /// Names of its classes.
    pub classes: Vec<&'static str>,
}

struct Dice(ChaCha8Rng);

impl Dice {
    fn part(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.part()
    }
    fn below(&mut self, n: usize) -> usize {
        (self.part() * n as f64) as usize
    }
    fn gap(&mut self, rate: f64) -> Micros {
        (-(1.0 - self.part()).ln() / rate * 1e6) as Micros
    }
}

fn classes() -> Vec<ClassSpec> {
    vec![
        ClassSpec {
            name: "PAY",
            effect: Effect::SingleShot,
            aim: S,
            deadline: 6 * S,
            ordered: false,
            worth: 5.0,
        },
        ClassSpec {
            name: "RESP",
            effect: Effect::Guarded(4 * S),
            aim: S,
            deadline: 7 * S,
            ordered: false,
            worth: 1.0,
        },
        ClassSpec {
            name: "STAT",
            effect: Effect::Free,
            aim: S / 2,
            deadline: 3 * S,
            ordered: false,
            worth: 2.0,
        },
        ClassSpec { name: "QUOTA", effect: Effect::Free, aim: S, deadline: 5 * S, ordered: true, worth: 1.0 },
    ]
}

/// A submission of a class to a destination.
fn submission(class: &ClassSpec, destination: i64, n: usize, key: Option<String>) -> Submission {
    Submission {
        service: class.name.to_string(),
        source: "survey".into(),
        destination: format!("{destination:06}{n:06}"),
        wanted: ReceiptRequest::Always,
        key,
        body: format!("message {n}").into_bytes(),
        ..Submission::default()
    }
}

/// The same for MQTT.
fn letter(class: (&ClassSpec, usize), destination: i64, n: usize, key: Option<String>) -> mqtt_clients::Step {
    mqtt_clients::Step::Submit(PlannedMessage {
        address: format!("{destination:06}{n:06}"),
        class: (class.0.name, class.1),
        key,
        body: format!("message {n}").into_bytes(),
        qos: 1 + (n % 2) as u8,
    })
}

/// A day of `length` with destinations of both kinds and steady traffic.
fn plain(seed: u64, destinations: usize, rate: f64, length: Micros) -> (Day, Dice) {
    let mut dice = Dice(ChaCha8Rng::seed_from_u64(seed));
    let classes = classes();
    let mut list = Vec::new();
    for number in 1..=destinations as i64 {
        let speaks = if dice.part() < 0.5 { Speaks::Smpp } else { Speaks::Http };
        let batch = if dice.part() < 0.3 { 5 } else { 1 };
        let shape = ReceiverModel {
            pace: dice.between(4e3, 40e3) as Micros,
            width: 4 + dice.below(8),
            limit: (dice.part() < 0.4).then(|| (20 + dice.below(60) as u32, S / 2)),
            tells_waits: dice.part(),
            ..ReceiverModel::default()
        };
        list.push(Destination {
            number,
            speaks,
            batch,
            endpoints: vec![Listed::default(); 1 + dice.below(3)],
            shape,
            incidents: Vec::new(),
            strays: false,
        });
    }
    let clients: Vec<ClientSpec> = ["oduya", "askwell", "pollhouse"]
        .iter()
        .map(|name| ClientSpec { system_id: name.to_string(), rate: 0.0 })
        .collect();
    let mut plans: Vec<Plan> = Vec::new();
    for c in &clients {
        for part in 0..2 {
            let mode = if part == 0 { Mode::Transceiver } else { Mode::Transmitter };
            plans.push(Plan {
                system_id: c.system_id.clone(),
                password: "secret".into(),
                returns: false,
                steps: vec![(S / 5, Step::Bind(mode))],
            });
        }
    }
    // Beside them one of each version of MQTT for each client.
    let mut mqtt: Vec<MqttPlan> = Vec::new();
    for c in &clients {
        for five in [true, false] {
            let id = if five { "five" } else { "three" };
            let who = ClientOptions::new(five, &c.system_id, id);
            mqtt.push(MqttPlan { who, returns: true, steps: vec![(S / 5, mqtt_clients::Step::Connect)] });
        }
    }
    let mut at = S / 2;
    let mut n = 0;
    while at < length {
        at += dice.gap(rate);
        n += 1;
        let class = [0, 1, 1, 2, 2, 3][dice.below(6)];
        // A few destinations get much of the traffic.
        let destination = 1 + (dice.part().powi(2) * destinations as f64) as i64;
        let key = classes[class].ordered.then(|| format!("k{}", dice.below(6)));
        let plan = dice.below(plans.len() + mqtt.len());
        if let Some(plan) = plan.checked_sub(plans.len()) {
            let key = key.map(|k| format!("m{k}"));
            mqtt[plan].steps.push((at, letter((&classes[class], class), destination, n, key)));
            continue;
        }
        // Keys are in order within one session; several sessions race before they are accepted.
        let plan = if key.is_some() { plan / 2 * 2 } else { plan };
        let mut s = submission(&classes[class], destination, n, key);
        s.forward = class == 0 && dice.part() < 0.2;
        plans[plan].steps.push((at, Step::Submit(Box::new(s), class)));
    }
    let day = Day {
        seed,
        senders: 2,
        slots: 48,
        room: 400,
        classes,
        clients,
        destinations: list,
        plans,
        mqtt,
        directory_errors: Vec::new(),
        stalls: Vec::new(),
        until: length + 12 * S,
        rules: Rules::default(),
        journal: None,
        more: String::new(),
    };
    (day, dice)
}

fn names(day: &Day) -> Vec<&'static str> {
    day.classes.iter().map(|c| c.name).collect()
}

/// A quiet day with a little trouble, for those who see the program for the first time.
pub fn demo(seed: u64) -> BadDay {
    let (mut day, _) = plain(seed, 6, 150.0, 8 * S);
    day.destinations[1].incidents.push(Incident { from: 3 * S, to: 5 * S, trouble: Trouble::Hang });
    day.destinations[2].incidents.push(Incident { from: 2 * S, to: 4 * S, trouble: Trouble::Slow(8.0) });
    day.destinations[0].endpoints = vec![
        Listed { drains: Some(4 * S), lag: S / 2, ..Listed::default() },
        Listed::default(),
        Listed { from: 4 * S, lag: S / 2, ..Listed::default() },
    ];
    let troubles = vec![
        "receiver 2 takes calls and answers none, from 3 to 5 s".into(),
        "receiver 3 answers 8 times slower, from 2 to 4 s".into(),
        "an endpoint of receiver 1 drains at 4 s and is replaced".into(),
    ];
    let classes = names(&day);
    BadDay { day, troubles, classes }
}

const RECEIVERS: [&str; 10] =
    ["hang", "slow", "fast_errors", "refuse", "vanish", "shut", "answer_lost", "reset", "trickle", "strays"];
const OTHERS: [&str; 7] = ["deploy", "discovery_stale", "burst", "hot_sender", "pause", "unbind", "cut"];

/// The script of a day on which most kinds of trouble meet, each at a time and place of its own.
pub fn mixed(seed: u64) -> raw::Day {
    let mut dice = Dice(ChaCha8Rng::seed_from_u64(seed ^ 0xBAD_DA1));
    let mut trouble = Vec::new();
    for kind in RECEIVERS.iter().chain(&OTHERS) {
        if dice.part() < 0.25 {
            continue;
        }
        let from = dice.between(1.5, 7.0);
        let length = if *kind == "pause" { dice.between(0.2, 0.7) } else { dice.between(1.0, 4.0) };
        trouble.push(raw::Trouble {
            kind: kind.to_string(),
            from: format!("{from:.3}s"),
            to: format!("{:.3}s", from + length),
            share: if *kind == "deploy" { 0.6 } else { 0.1 },
            figure: match *kind {
                "slow" => dice.between(5.0, 20.0),
                "fast_errors" | "answer_lost" | "reset" => dice.between(0.3, 0.95),
                "trickle" => dice.between(5.0, 40.0),
                "burst" | "hot_sender" => 400.0,
                _ => 0.0,
            },
        });
    }
    raw::Day { seed, trouble, ..raw::Day::default() }
}

/// Puts a script on the stage.
///
/// # Errors
/// The path of the first field that is wrong, and what is allowed.
pub fn stage(script: &raw::Day) -> Result<BadDay, (String, String)> {
    let wrong = |path: &str, what: &str| (path.to_string(), what.to_string());
    let receivers = if script.receivers == 0 { 10 } else { script.receivers as usize };
    if receivers > 1_000 {
        return Err(wrong("receivers", "at most 1,000"));
    }
    let rate = if script.rate == 0.0 { 220.0 } else { script.rate };
    if !(rate > 0.0 && rate <= 20_000.0) {
        return Err(wrong("rate", "above 0, at most 20,000"));
    }
    let length = if script.length.is_empty() { "12s" } else { &script.length };
    let length = parse_duration(length).map_err(|e| ("length".to_string(), e))?;
    if length > 600 * S {
        return Err(wrong("length", "at most 10 minutes"));
    }
    let seed = script.seed.max(1);
    let (mut day, mut dice) = plain(seed, receivers, rate, length);
    if script.senders > 0 {
        day.senders = script.senders.min(64) as usize;
    }
    let mut troubles = Vec::new();
    for (i, t) in script.trouble.iter().enumerate() {
        let path = |field: &str| format!("trouble[{i}].{field}");
        let span = |field: &str, text: &str| parse_duration(text).map_err(|e| (path(field), e));
        let (from, to) = (span("from", &t.from)?, span("to", &t.to)?);
        if to <= from {
            return Err((path("to"), "must lie after from".into()));
        }
        let share = if t.share == 0.0 { 0.1 } else { t.share };
        if !(0.0..=1.0).contains(&share) || t.figure < 0.0 {
            return Err((path("share"), "0 to 1, and no negative figure".into()));
        }
        let words = strike(&mut day, &mut dice, t, (from, to), share, length);
        troubles.push(words.ok_or_else(|| {
            let all = RECEIVERS.iter().chain(&OTHERS).copied().collect::<Vec<_>>().join(", ");
            (path("kind"), format!("\"{}\" is no kind of trouble: {all}", t.kind))
        })?);
    }
    for p in &mut day.plans {
        p.steps.sort_by_key(|s| s.0);
    }
    for p in &mut day.mqtt {
        p.steps.sort_by_key(|s| s.0);
    }
    let classes = names(&day);
    Ok(BadDay { day, troubles, classes })
}

/// A day on which all kinds of trouble meet.
pub fn bad_day(seed: u64) -> BadDay {
    stage(&mixed(seed)).unwrap_or_else(|(path, what)| unreachable!("{path}: {what}"))
}

/// Has one trouble strike; gives it in words, or nothing for an unknown kind.
fn strike(
    day: &mut Day,
    dice: &mut Dice,
    t: &raw::Trouble,
    (from, to): (Micros, Micros),
    share: f64,
    length: Micros,
) -> Option<String> {
    let kind = t.kind.as_str();
    let span = format!("from {:.1} to {:.1} s", from as f64 / 1e6, to as f64 / 1e6);
    let or = |other: f64| if t.figure == 0.0 { other } else { t.figure };
    if RECEIVERS.contains(&kind) {
        let trouble = match kind {
            "hang" => Trouble::Hang,
            "slow" => Trouble::Slow(or(8.0)),
            "fast_errors" => Trouble::FastErrors(or(0.8)),
            "refuse" => Trouble::Refuse,
            "vanish" => Trouble::Vanish,
            "shut" => Trouble::Shut,
            "answer_lost" => Trouble::AnswerLost(or(0.5)),
            "reset" => Trouble::Reset(or(0.5)),
            _ => Trouble::Trickle(or(20.0)),
        };
        let mut struck = Vec::new();
        let n = ((day.destinations.len() as f64 * share).round() as usize).clamp(1, day.destinations.len());
        while struck.len() < n {
            let at = dice.below(day.destinations.len());
            let number = day.destinations[at].number;
            if struck.contains(&number) {
                continue;
            }
            struck.push(number);
            if kind == "strays" {
                day.destinations[at].strays = true;
            } else {
                day.destinations[at].incidents.push(Incident { from, to, trouble });
            }
        }
        let what = if kind == "strays" { "answers what nobody asked".into() } else { format!("{trouble:?}") };
        return Some(format!("{kind}: receivers {struck:?}, {span}: {what}"));
    }
    Some(match kind {
        "deploy" => {
            let lag = (dice.between(0.0, 2.0) * 1e6) as Micros;
            let mut n = 0;
            for d in &mut day.destinations {
                if dice.part() < share {
                    let start = from + (dice.part() * (to - from) as f64) as Micros;
                    for l in &mut d.endpoints {
                        (l.drains, l.lag) = (Some(start), lag);
                    }
                    d.endpoints.push(Listed { from: (start - S / 2).max(1), drains: None, lag });
                    n += 1;
                }
            }
            format!("deploy: {n} receivers replaced {span}, told {} ms late", lag / 1_000)
        }
        "discovery_stale" => {
            day.directory_errors.push((from, to));
            format!("discovery_stale: the directory fails, {span}")
        }
        "burst" | "hot_sender" => {
            let rate = or(400.0);
            let hot = dice.below(day.plans.len() / 2) * 2;
            let number = 1 + dice.below(day.destinations.len()) as i64;
            let (mut at, mut n) = (from, 500_000);
            while at < to.min(length) {
                at += dice.gap(rate);
                n += 1;
                let class = 1 + dice.below(2);
                let burst = kind == "burst";
                let destination = if burst { number } else { 1 + dice.below(day.destinations.len()) as i64 };
                let plan = if burst { dice.below(day.plans.len()) } else { hot };
                if burst && dice.part() < 0.4 {
                    let plan = dice.below(day.mqtt.len());
                    let class = (&day.classes[class], class);
                    day.mqtt[plan].steps.push((at, letter(class, destination, n, None)));
                    continue;
                }
                let s = submission(&day.classes[class], destination, n, None);
                day.plans[plan].steps.push((at, Step::Submit(Box::new(s), class)));
            }
            format!("{kind}: {rate} further messages a second, {span}")
        }
        "pause" => {
            let sender = dice.below(day.senders);
            day.stalls.push((from, sender, to - from));
            format!("pause: sender {sender} stands still, {span}")
        }
        "unbind" | "cut" => {
            // An MQTT client goes and comes back.
            let plan = dice.below(day.mqtt.len());
            let back = to.min(length);
            let p = &mut day.mqtt[plan];
            p.steps.push((
                from,
                if kind == "unbind" { mqtt_clients::Step::Leave } else { mqtt_clients::Step::Cut },
            ));
            p.steps.push((back, mqtt_clients::Step::Connect));
            let other = format!("{}/{}", p.who.user, p.who.id);
            // The transceiver of a client goes and comes back.
            let plan = dice.below(day.plans.len() / 2) * 2;
            let back = to.min(length);
            let p = &mut day.plans[plan];
            p.steps.retain(|s| s.0 < from || s.0 > back + S / 10);
            p.steps.push((from, if kind == "unbind" { Step::Unbind } else { Step::Cut }));
            p.steps.push((back, Step::Bind(Mode::Transceiver)));
            format!("{kind}: {} and {other} are away, {span}", p.system_id)
        }
        _ => return None,
    })
}
