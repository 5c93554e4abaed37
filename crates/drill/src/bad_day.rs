//! Days made from a seed: the kinds of trouble known from the bench, on the real service.

use crate::setup::{ClassSpec, ClientSpec, Day, Destination, Listed, Rules};
use heronroute_audit::Effect;
use heronroute_smpp::server::Mode;
use heronroute_smpp::submission::{Submission, Wanted};
use heronroute_standins::Micros;
use heronroute_standins::clients::{Plan, Step};
use heronroute_standins::farm::Speaks;
use heronroute_standins::model::{Shape, Strike, Trouble};
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
        wanted: Wanted::Always,
        key,
        body: format!("message {n}").into_bytes(),
        ..Submission::default()
    }
}

/// A day of `length` with destinations of both kinds and steady traffic.
fn plain(seed: u64, destinations: usize, rate: f64, length: Micros) -> (Day, Dice) {
    let mut dice = Dice(ChaCha8Rng::seed_from_u64(seed));
    let classes = classes();
    let mut list = Vec::new();
    for number in 1..=destinations as i64 {
        let speaks = if dice.part() < 0.5 { Speaks::Smpp } else { Speaks::Http };
        let batch = if dice.part() < 0.3 { 5 } else { 1 };
        let shape = Shape {
            pace: dice.between(4e3, 40e3) as Micros,
            width: 4 + dice.below(8),
            limit: (dice.part() < 0.4).then(|| (20 + dice.below(60) as u32, S / 2)),
            tells_waits: dice.part(),
            ..Shape::default()
        };
        list.push(Destination {
            number,
            speaks,
            batch,
            endpoints: vec![Listed::default(); 1 + dice.below(3)],
            shape,
            strikes: Vec::new(),
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
                steps: vec![(S / 5, Step::Bind(mode))],
            });
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
        let plan = dice.below(plans.len());
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
        directory_errors: Vec::new(),
        stalls: Vec::new(),
        until: length + 12 * S,
        rules: Rules::default(),
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
    day.destinations[1].strikes.push(Strike { from: 3 * S, to: 5 * S, trouble: Trouble::Hang });
    day.destinations[2].strikes.push(Strike { from: 2 * S, to: 4 * S, trouble: Trouble::Slow(8.0) });
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

/// A day on which all kinds of trouble meet.
pub fn bad_day(seed: u64) -> BadDay {
    let length = 12 * S;
    let (mut day, mut dice) = plain(seed, 10, 220.0, length);
    let mut troubles = Vec::new();
    let kinds = [
        "hang",
        "slow",
        "fast_errors",
        "refuse",
        "vanish",
        "shut",
        "deploy",
        "burst",
        "hot_sender",
        "answer_lost",
        "reset",
        "trickle",
        "discovery_stale",
        "pause",
        "unbind",
        "cut",
        "strays",
    ];
    // Each day brings most kinds, each at a time and place of its own; two may meet.
    for kind in kinds {
        if dice.part() < 0.25 {
            continue;
        }
        let from = (dice.between(1.5, 7.0) * 1e6) as Micros;
        let to = from + (dice.between(1.0, 4.0) * 1e6) as Micros;
        let at = dice.below(day.destinations.len());
        let number = day.destinations[at].number;
        let span = format!("from {:.1} to {:.1} s", from as f64 / 1e6, to as f64 / 1e6);
        let share = dice.between(0.3, 0.95);
        let trouble = match kind {
            "hang" => Some(Trouble::Hang),
            "slow" => Some(Trouble::Slow(dice.between(5.0, 20.0))),
            "fast_errors" => Some(Trouble::FastErrors(share)),
            "refuse" => Some(Trouble::Refuse),
            "vanish" => Some(Trouble::Vanish),
            "shut" => Some(Trouble::Shut),
            "answer_lost" => Some(Trouble::AnswerLost(share)),
            "reset" => Some(Trouble::Reset(share)),
            "trickle" => Some(Trouble::Trickle(dice.between(5.0, 40.0))),
            _ => None,
        };
        if let Some(trouble) = trouble {
            day.destinations[at].strikes.push(Strike { from, to, trouble });
            troubles.push(format!("{kind}: receiver {number}, {span}: {trouble:?}"));
            continue;
        }
        match kind {
            "deploy" => {
                let lag = (dice.between(0.0, 2.0) * 1e6) as Micros;
                let mut n = 0;
                for d in &mut day.destinations {
                    if dice.part() < 0.6 {
                        let start = from + (dice.between(0.0, 2.0) * 1e6) as Micros;
                        for l in &mut d.endpoints {
                            l.drains = Some(start);
                            l.lag = lag;
                        }
                        d.endpoints.push(Listed { from: start - S / 2, drains: None, lag });
                        n += 1;
                    }
                }
                troubles.push(format!(
                    "deploy: {n} receivers replaced from {:.1} s on, told {lag} us late",
                    from as f64 / 1e6
                ));
            }
            "discovery_stale" => {
                day.directory_errors.push((from, to));
                troubles.push(format!("discovery_stale: the directory fails, {span}"));
            }
            "burst" | "hot_sender" => {
                let rate = 400.0;
                let hot = dice.below(day.plans.len() / 2) * 2;
                let mut t = from;
                let mut n = 500_000;
                while t < (from + 2 * S).min(length) {
                    t += dice.gap(rate);
                    n += 1;
                    let class = 1 + dice.below(2);
                    let destination =
                        if kind == "burst" { number } else { 1 + dice.below(day.destinations.len()) as i64 };
                    let plan = if kind == "burst" { dice.below(day.plans.len()) } else { hot };
                    let s = submission(&day.classes[class], destination, n, None);
                    day.plans[plan].steps.push((t, Step::Submit(Box::new(s), class)));
                }
                troubles.push(format!(
                    "{kind}: {rate} further messages a second for 2 s from {:.1} s",
                    from as f64 / 1e6
                ));
            }
            "pause" => {
                let sender = dice.below(day.senders);
                let span = (dice.between(0.2, 0.7) * 1e6) as Micros;
                day.stalls.push((from, sender, span));
                troubles.push(format!(
                    "pause: sender {sender} stands still for {} ms at {:.1} s",
                    span / 1_000,
                    from as f64 / 1e6
                ));
            }
            "unbind" | "cut" => {
                // The transceiver of a client goes and comes back.
                let plan = dice.below(day.plans.len() / 2) * 2;
                let back = (from + 3 * S / 2).min(length);
                day.plans[plan].steps.retain(|s| s.0 < from || s.0 > back + S / 10);
                let step = if kind == "unbind" { Step::Unbind } else { Step::Cut };
                day.plans[plan].steps.push((from, step));
                day.plans[plan].steps.push((back, Step::Bind(Mode::Transceiver)));
                troubles.push(format!("{kind}: {} is away {span}", day.plans[plan].system_id));
            }
            "strays" => {
                day.destinations[at].strays = true;
                troubles.push(format!("strays: receiver {number} answers requests that nobody made"));
            }
            _ => {}
        }
    }
    for p in &mut day.plans {
        p.steps.sort_by_key(|s| s.0);
    }
    let classes = names(&day);
    BadDay { day, troubles, classes }
}
