//! Planted breaks of each rule of the judge: each is found, and a message that breaks none is not.

use crate::addresses::{Tenancy, TenancyEnd};
use crate::clients::{MESSAGE_TIME, Response, Submitted};
use crate::judge::{Case, ProcessHistory, RULES, Wait, judge, judge_run};
use crate::listing::Drain;
use crate::run_rules::RUN_RULES;
use crate::world::Trail;
use std::time::{Duration, Instant};

/// All that the judge looks at for one message, and the start of the run.
struct Planted {
    start: Instant,
    message: Submitted,
    trail: Trail,
    process: ProcessHistory,
    waits: Vec<Wait>,
    drains: Vec<Drain>,
    tenancies: Vec<Tenancy>,
}

impl Planted {
    /// A message that was accepted, called once, and delivered.
    fn new() -> Self {
        let start = Instant::now();
        let message = Submitted {
            process: 0,
            id: "c0-1".to_string(),
            class: "once",
            dest: 1,
            at: start,
            response: Response::Accepted(start),
            again: None,
        };
        let mut planted = Planted {
            start,
            message,
            trail: Trail::default(),
            process: ProcessHistory::default(),
            waits: Vec::new(),
            drains: Vec::new(),
            tenancies: vec![Tenancy { server: 0, dest: 1, since: start, end: None }],
        };
        let at = planted.at(10);
        planted.trail = Trail {
            runs: vec![at],
            calls: vec![(0, at)],
            delivered: Some(planted.at(20)),
            ..Trail::default()
        };
        planted
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn call_at(&mut self, ms: u64) {
        let at = self.at(ms);
        self.trail.calls.push((0, at));
    }

    fn case(&self) -> Case<'_> {
        let Planted { message, trail, process, waits, drains, tenancies, .. } = self;
        Case { message, trail, process, waits, drains, tenancies }
    }

    fn broken(&self) -> Vec<&'static str> {
        let broken = judge(&self.case());
        let named = |rule: &&'static str| broken.iter().any(|text| text.starts_with(&format!("{rule}: ")));
        RULES.iter().map(|rule| rule.name).filter(named).collect()
    }
}

/// A rule by its name, and what breaks it and no other.
type Break = (&'static str, fn(&mut Planted));

const BREAKS: [Break; 23] = [
    ("two out at once", |planted| planted.trail.overlaps.push(planted.start)),
    ("run twice", |planted| planted.trail.runs.push(planted.at(900))),
    ("repeated after its window", |planted| {
        planted.message.class = "keyed";
        let late = planted.at(5_000);
        planted.trail.runs.push(late);
    }),
    ("called after its time", |planted| planted.trail.last_open_run = Some(planted.at(3_000))),
    ("returned though it may have run", |planted| planted.trail.returned = true),
    ("sent again though an endpoint had ended it", |planted| {
        planted.trail.ended = Some(planted.at(20));
        planted.call_at(700);
    }),
    ("sent again after its notice", |planted| {
        planted.trail.noticed = Some(planted.at(20));
        planted.call_at(700);
    }),
    ("sent though it was answered -BUSY", |planted| {
        (planted.message.class, planted.message.response) = ("safe", Response::Busy(planted.at(20)));
        planted.call_at(700);
    }),
    ("more attempts than allowed", |planted| (0..4).for_each(|count| planted.call_at(100 * count))),
    ("sent within a told wait", |planted| {
        let (told, until) = (planted.at(100), planted.at(500));
        planted.waits.push(Wait { process: 0, dest: 1, told, until, steps: Vec::new() });
        planted.call_at(300);
    }),
    ("sent to another destination", |planted| planted.message.dest = 2),
    ("sent to another destination", |planted| {
        planted.message.class = "safe";
        let told = vec![Some(planted.at(200))];
        planted.tenancies[0].end = Some(TenancyEnd { at: planted.at(150), version: 2, told });
        planted.tenancies.push(Tenancy { server: 0, dest: 2, since: planted.at(150), end: None });
        planted.call_at(1_000);
    }),
    ("sent on though its client had left before it was read", |planted| {
        planted.message.response = Response::LeftUnread(planted.start);
    }),
    ("accepted twice under one id", |planted| {
        planted.message.again = Some(Response::Accepted(planted.at(500)));
    }),
    ("a call behind another on its connection", |planted| planted.trail.has_call_behind = true),
    ("a malformed call", |planted| planted.trail.malformed.push("another key".to_string())),
    ("two different ends", |planted| {
        planted.message.class = "safe";
        (planted.trail.failed, planted.trail.returned) = (true, true);
    }),
    ("a malformed notice", |planted| planted.trail.bad_notices.push("{}".to_string())),
    ("an answer to a client that the protocol does not have", |planted| {
        planted.message.response = Response::Other("-ERR".to_string());
    }),
    ("a client's connection ended with no answer", |planted| {
        planted.message.response = Response::Closed(planted.at(5));
    }),
    ("sent to a draining or removed endpoint", |planted| {
        let told = vec![Some(planted.start)];
        planted.drains.push(Drain { endpoint: 0, since: planted.start, told, over: None, version: 2 });
        planted.call_at(2_000);
    }),
    ("lost", |planted| planted.trail.delivered = None),
    ("noticed though it was answered -BUSY", |planted| {
        (planted.message.class, planted.message.response) = ("safe", Response::Busy(planted.at(20)));
        planted.trail.noticed = Some(planted.at(30));
    }),
];

/// Guards against a rule that nothing breaks.
#[test]
fn each_planted_break_of_a_rule_is_found() {
    assert!(Planted::new().broken().is_empty(), "a message that breaks no rule");
    for rule in &RULES {
        assert!(BREAKS.iter().any(|(name, _)| *name == rule.name), "{}: nothing is planted", rule.name);
    }
    for (rule, plant) in BREAKS {
        let mut planted = Planted::new();
        plant(&mut planted);
        assert_eq!(planted.broken(), [rule]);
    }
}

/// Many messages, and what a run of them breaks.
fn broken_by_all(planted: &[Planted]) -> Vec<&'static str> {
    let cases: Vec<Case<'_>> = planted.iter().map(Planted::case).collect();
    let broken = judge_run(&cases);
    let named = |name: &&str| broken.iter().any(|text| text.starts_with(&format!("{name}: ")));
    RUN_RULES.iter().map(|rule| rule.name).filter(named).collect()
}

/// So many messages, `interval_ms` apart, each with the same change.
fn many(interval_ms: u64, change: fn(&mut Planted)) -> Vec<Planted> {
    let all = (0..40).map(|number| {
        let mut planted = Planted::new();
        planted.start += Duration::from_millis(number * interval_ms);
        (planted.message.at, planted.message.response) = (planted.start, Response::Accepted(planted.start));
        change(&mut planted);
        planted
    });
    all.collect()
}

/// Guards against a rule on a whole run that nothing breaks.
#[test]
fn each_planted_break_of_a_rule_on_a_whole_run_is_found() {
    let [untried, untried_not_safe, accepted_late, rejected, over_memory, over_disk] =
        RUN_RULES.each_ref().map(|rule| rule.name);
    let give_up = |planted: &mut Planted| {
        planted.trail = Trail { noticed: Some(planted.at(600)), ..Trail::default() };
        planted.process.downs.push((planted.at(100), planted.at(500)));
    };
    assert!(broken_by_all(&many(0, |_| {})).is_empty(), "messages that break no rule");
    assert_eq!(broken_by_all(&many(0, give_up)), [untried, untried_not_safe]);
    let mut mostly_safe = many(0, give_up);
    for (index, planted) in mostly_safe.iter_mut().enumerate().filter(|(index, _)| *index >= 15) {
        planted.message.class = "safe";
        if index >= 16 {
            planted.call_at(550);
        }
    }
    assert_eq!(broken_by_all(&mostly_safe), [untried_not_safe]);
    let give_up_at_the_end = |planted: &mut Planted| {
        planted.process.downs.push((planted.at(100), planted.at(500)));
        planted.trail = Trail { noticed: Some(planted.start + MESSAGE_TIME), ..Trail::default() };
    };
    assert!(broken_by_all(&many(0, give_up_at_the_end)).is_empty(), "at the end of their time");
    let accept_late = |planted: &mut Planted| planted.message.response = Response::Accepted(planted.at(50));
    assert_eq!(broken_by_all(&many(0, accept_late)), [accepted_late]);
    let reject = |planted: &mut Planted| {
        planted.trail = Trail::default();
        planted.message.response = Response::Busy(planted.start);
    };
    assert_eq!(broken_by_all(&many(110, reject)), [rejected]);
    assert!(broken_by_all(&many(90, reject)).is_empty(), "for less than the span");
    let use_too_much = |planted: &mut Planted| {
        (planted.process.peak_memory, planted.process.memory_limit) = (33_000_000, 32_000_000);
    };
    assert_eq!(broken_by_all(&many(0, use_too_much)), [over_memory]);
    let fill_the_disk = |planted: &mut Planted| {
        (planted.process.peak_disk, planted.process.disk_limit) = (1_000_512, 1_000_000);
    };
    assert_eq!(broken_by_all(&many(0, fill_the_disk)), [over_disk]);
    let mut with_a_call = many(110, reject);
    with_a_call[20].call_at(1);
    assert!(broken_by_all(&with_a_call).is_empty(), "with an attempt in between");
}

/// Guards against a break that is charged to a process which was killed before it could write down what it had read, or
/// whose read failed.
#[test]
fn a_kill_or_a_failed_read_at_an_answer_excuses_a_further_call() {
    let mut planted = Planted::new();
    planted.trail.ended = Some(planted.at(20));
    planted.call_at(1_500);
    planted.process.kills.push((planted.at(100), planted.at(101)));
    assert!(planted.broken().is_empty());
    planted.process.kills[0] = (planted.at(900), planted.at(901));
    planted.process.failed_reads.push((planted.at(0), planted.at(60)));
    assert!(planted.broken().is_empty(), "its read failed");
    planted.process.failed_reads.clear();
    assert_eq!(planted.broken(), ["sent again though an endpoint had ended it"]);
}
