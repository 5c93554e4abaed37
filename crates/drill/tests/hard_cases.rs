//! The hard cases, each end to end: real service, real sockets on loopback, audited from what crossed them.

use bytes::BytesMut;
use heronroute_audit::{Effect, Told, Verdict};
use heronroute_drill::{ClassSpec, ClientSpec, Day, Destination, Drill, Listed, Outcome, Rules};
use heronroute_smpp::codec::encode;
use heronroute_smpp::server::Mode;
use heronroute_smpp::submission::{ReceiptRequest, Submission};
use heronroute_standins::model::{Incident, ReceiverModel, Trouble};
use heronroute_standins::receivers::Speaks;
use heronroute_standins::smpp_clients::{Plan, Step};
use rusmpp_core::CommandStatus;

const MS: i64 = 1_000;
const S: i64 = 1_000_000;
const PAY: usize = 0;
const RESP: usize = 1;
const STAT: usize = 2;
const QUOTA: usize = 3;

fn class(name: &'static str, effect: Effect, deadline: i64, ordered: bool) -> ClassSpec {
    ClassSpec { name, effect, aim: S, deadline, ordered, worth: 1.0 }
}

fn destination(number: i64, speaks: Speaks, endpoints: usize) -> Destination {
    Destination {
        number,
        speaks,
        batch: 1,
        endpoints: vec![Listed::default(); endpoints],
        shape: ReceiverModel { pace: 10 * MS, ..ReceiverModel::default() },
        incidents: Vec::new(),
        strays: false,
    }
}

fn day(destinations: Vec<Destination>, plans: Vec<Plan>) -> Day {
    Day {
        seed: 7,
        senders: 1,
        slots: 32,
        room: 2_000,
        classes: vec![
            class("PAY", Effect::SingleShot, 3 * S, false),
            class("RESP", Effect::Guarded(3 * S), 4 * S, false),
            class("STAT", Effect::Free, 3 * S, false),
            class("QUOTA", Effect::Free, 3 * S, true),
        ],
        clients: vec![ClientSpec { system_id: "oduya".into(), rate: 0.0 }],
        destinations,
        plans,
        mqtt: Vec::new(),
        directory_errors: Vec::new(),
        stalls: Vec::new(),
        until: 15 * S,
        rules: Rules::default(),
        journal: None,
        more: String::new(),
    }
}

fn submit(class: usize, destination: i64, n: usize) -> Step {
    let service = ["PAY", "RESP", "STAT", "QUOTA"][class].to_string();
    let s = Submission {
        service,
        source: "survey".into(),
        destination: format!("{destination:06}{n:06}"),
        wanted: ReceiptRequest::Always,
        key: (class == QUOTA).then(|| format!("k{}", n % 3)),
        body: b"top up 100".to_vec(),
        ..Submission::default()
    };
    Step::Submit(Box::new(s), class)
}

fn plan(mut steps: Vec<(i64, Step)>) -> Plan {
    steps.sort_by_key(|s| s.0);
    Plan { system_id: "oduya".into(), password: "secret".into(), returns: false, steps }
}

/// A bind, and messages of a class at even gaps.
fn steady(class: usize, destinations: i64, n: usize, from: i64, gap: i64) -> Vec<(i64, Step)> {
    let mut steps = vec![(100 * MS, Step::Bind(Mode::Transceiver))];
    steps.extend((0..n).map(|i| (from + i as i64 * gap, submit(class, 1 + i as i64 % destinations, i))));
    steps
}

fn pass(day: Day) -> Outcome {
    let outcome = Drill::start(day).unwrap().run().unwrap();
    assert_eq!(outcome.breaches, [], "no rule is broken");
    outcome
}

fn told(outcome: &Outcome, which: Told) -> usize {
    outcome.record.submissions.iter().filter(|s| s.answers[0].1 == which).count()
}

#[test]
fn a_client_unbinds_while_an_unsafe_message_is_in_flight() {
    for speaks in [Speaks::Smpp, Speaks::Http] {
        let mut d = destination(1, speaks, 1);
        d.shape.pace = 700 * MS;
        let steps = vec![
            (100 * MS, Step::Bind(Mode::Transceiver)),
            (300 * MS, submit(PAY, 1, 0)),
            (500 * MS, Step::Unbind),
            (2 * S, Step::Bind(Mode::Receiver)),
        ];
        let o = pass(day(vec![d], vec![plan(steps)]));
        assert_eq!((o.record.arrivals.len(), told(&o, Told::Delivered)), (1, 1));
        assert!(o.record.submissions[0].answers[0].0 > 2 * S, "told at the next bind");
    }
}

#[test]
fn an_endpoint_drains_in_the_middle_of_a_burst() {
    let mut d = destination(1, Speaks::Smpp, 1);
    d.endpoints =
        vec![Listed { drains: Some(S), ..Listed::default() }, Listed { from: 900 * MS, ..Listed::default() }];
    let o = pass(day(vec![d], vec![plan(steady(PAY, 1, 400, 600 * MS, 3 * MS))]));
    assert_eq!(told(&o, Told::Delivered), 400);
    let at = |e: &str| o.record.arrivals.iter().filter(|a| a.endpoint == e).count();
    assert!(at("d1-0") > 50 && at("d1-1") > 50, "both served: {} and {}", at("d1-0"), at("d1-1"));
}

#[test]
fn a_receiver_loses_its_reply_to_an_unsafe_message() {
    let mut d = destination(1, Speaks::Http, 1);
    d.incidents = vec![Incident { from: 0, to: 60 * S, trouble: Trouble::AnswerLost(1.0) }];
    let steps = vec![(100 * MS, Step::Bind(Mode::Transceiver)), (300 * MS, submit(PAY, 1, 0))];
    let o = pass(day(vec![d], vec![plan(steps)]));
    assert_eq!((o.record.arrivals.len(), told(&o, Told::Unknown)), (1, 1));
}

#[test]
fn a_receiver_hangs_and_returns_cold() {
    let mut ds = vec![destination(1, Speaks::Smpp, 2), destination(2, Speaks::Http, 2)];
    ds[0].incidents = vec![Incident { from: S, to: 3 * S, trouble: Trouble::Hang }];
    let o = pass(day(ds, vec![plan(steady(RESP, 2, 1000, 500 * MS, 6 * MS))]));
    assert!(o.record.fell.is_empty());
    let healthy =
        o.record.submissions.iter().filter(|s| s.message != *"" && s.answers[0].1 == Told::Delivered);
    assert!(healthy.count() > 600, "the other receiver and the returned one are served");
    let late = o.record.arrivals.iter().filter(|a| a.destination == 1 && a.at > 4 * S).count();
    assert!(late > 20, "it is served again after its return: {late}");
}

#[test]
fn told_waits_are_kept() {
    for speaks in [Speaks::Smpp, Speaks::Http] {
        let mut d = destination(1, speaks, 2);
        d.shape.limit = Some((20, S));
        let o = pass(day(vec![d], vec![plan(steady(STAT, 1, 300, 500 * MS, 10 * MS))]));
        let waits =
            o.record.arrivals.iter().filter(|a| matches!(a.verdict, Verdict::Busy(w) if w > 0)).count();
        assert!(waits > 0, "waits were told");
    }
}

#[test]
fn a_senders_own_stall() {
    let mut one = day(
        vec![destination(1, Speaks::Smpp, 1), destination(2, Speaks::Http, 1)],
        vec![plan(steady(PAY, 2, 500, 500 * MS, 4 * MS))],
    );
    one.stalls = vec![(S, 0, 600 * MS)];
    let o = pass(one);
    assert!(told(&o, Told::Delivered) > 450, "{}", told(&o, Told::Delivered));
}

#[test]
fn a_receiver_answers_what_nobody_asked() {
    let mut d = destination(1, Speaks::Smpp, 1);
    d.strays = true;
    let o = pass(day(vec![d], vec![plan(steady(PAY, 1, 100, 500 * MS, 5 * MS))]));
    assert_eq!((told(&o, Told::Delivered), o.record.arrivals.len()), (100, 100));
}

#[test]
fn a_session_is_cut_in_the_middle_of_a_command() {
    let cut = vec![
        (100 * MS, Step::Bind(Mode::Transmitter)),
        (400 * MS, submit(PAY, 1, 0)),
        (600 * MS, Step::Raw(vec![0, 0, 0, 80, 0, 0, 0, 4, 0, 0, 0, 0, 0])),
        (700 * MS, Step::Cut),
    ];
    let wild = vec![(100 * MS, Step::Bind(Mode::Transmitter)), (600 * MS, Step::Raw(vec![0xFF; 64]))];
    let whole = plan(steady(PAY, 1, 100, 500 * MS, 5 * MS));
    let o = pass(day(vec![destination(1, Speaks::Smpp, 1)], vec![plan(cut), plan(wild), whole]));
    assert_eq!(told(&o, Told::Delivered), 101, "the one handed in before the cut too");
}

#[test]
fn keys_keep_their_order_through_troubles() {
    let mut ds = vec![destination(1, Speaks::Smpp, 2), destination(2, Speaks::Http, 2)];
    ds[0].incidents = vec![Incident { from: S, to: 3 * S, trouble: Trouble::Reset(0.5) }];
    ds[1].incidents = vec![Incident { from: S, to: 3 * S, trouble: Trouble::AnswerLost(0.3) }];
    let o = pass(day(ds, vec![plan(steady(QUOTA, 2, 200, 500 * MS, 15 * MS))]));
    assert!(told(&o, Told::Delivered) > 20);
}

#[test]
fn in_forward_mode_the_response_is_the_answer() {
    let mut ds = vec![destination(1, Speaks::Smpp, 1), destination(2, Speaks::Http, 1)];
    ds[1].incidents = vec![Incident { from: 0, to: 60 * S, trouble: Trouble::Refuse }];
    let mut steps = steady(PAY, 2, 40, 500 * MS, 10 * MS);
    for (_, step) in &mut steps {
        if let Step::Submit(s, _) = step {
            s.forward = true;
            s.wanted = ReceiptRequest::Never;
        }
    }
    let o = pass(day(ds, vec![plan(steps)]));
    assert_eq!((told(&o, Told::Delivered), told(&o, Told::NotRun)), (20, 20));
}

#[test]
fn a_client_over_its_rate_is_throttled_and_what_was_accepted_is_untouched() {
    let mut one =
        day(vec![destination(1, Speaks::Smpp, 2)], vec![plan(steady(RESP, 1, 600, 500 * MS, 2 * MS))]);
    one.clients[0].rate = 100.0;
    let o = pass(one);
    let n = o.record.submissions.len();
    assert!((150..280).contains(&n), "a second's burst and 100 a second for 1.2 s: {n}");
    assert_eq!(n + o.refused.len(), 600);
    assert!(o.refused.iter().all(|r| r.status == 0x58), "ESME_RTHROTTLED");
    assert_eq!(told(&o, Told::Delivered), n);
}

#[test]
fn a_thousand_sessions_at_once() {
    let plans = (0..1_000)
        .map(|i| {
            let mut steps = vec![(100 * MS + i * MS / 2, Step::Bind(Mode::Transceiver))];
            steps.extend((0..3).map(|n| (S + n * 300 * MS + i * 200, submit(RESP, 1 + i % 4, n as usize))));
            let mut p = plan(steps);
            p.system_id = format!("c{}", i % 20);
            p
        })
        .collect();
    let mut ds: Vec<Destination> = (1..=4).map(|n| destination(n, Speaks::Smpp, 2)).collect();
    ds.iter_mut()
        .for_each(|d| d.shape = ReceiverModel { pace: 2 * MS, width: 32, ..ReceiverModel::default() });
    let mut one = day(ds, plans);
    one.senders = 2;
    one.slots = 200;
    one.room = 5_000;
    one.clients = (0..20).map(|i| ClientSpec { system_id: format!("c{i}"), rate: 0.0 }).collect();
    let o = pass(one);
    assert_eq!((o.record.submissions.len(), told(&o, Told::Delivered)), (3_000, 3_000));
}

#[test]
fn a_full_disk_becomes_refusals_and_nothing_accepted_is_lost() {
    let mut one =
        day(vec![destination(1, Speaks::Smpp, 2)], vec![plan(steady(RESP, 1, 1_200, 500 * MS, 2 * MS))]);
    // Slow enough for messages to pile up, with room for some hundred of them in the journal.
    one.destinations[0].shape = ReceiverModel { pace: 300 * MS, width: 4, ..ReceiverModel::default() };
    one.classes[RESP].deadline = 6 * S;
    let folder =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("full-{}", std::process::id()));
    one.more = format!("journal {{ folder: \"{}\" most_disk: \"160KiB\" }}", folder.display());
    let o = pass(one);
    _ = std::fs::remove_dir_all(&folder);
    assert!(
        o.refused.len() > 100 && o.refused.iter().all(|r| r.status == 0x14),
        "ESME_RMSGQFUL: {}",
        o.refused.len()
    );
    assert!(o.record.submissions.len() > 50, "{}", o.record.submissions.len());
    assert_eq!(o.record.submissions.len() + o.refused.len(), 1_200);
}

#[test]
fn one_clients_flood_does_not_turn_another_away() {
    let mut flood = plan(steady(RESP, 1, 3_000, 500 * MS, MS));
    flood.system_id = "flood".into();
    let mut calm = plan(steady(RESP, 1, 100, 500 * MS, 30 * MS));
    calm.steps.iter_mut().for_each(|(_, step)| {
        if let Step::Submit(s, _) = step {
            s.destination.replace_range(..6, "000002");
        }
    });
    calm.system_id = "calm".into();
    let mut ds = vec![destination(1, Speaks::Smpp, 1), destination(2, Speaks::Http, 1)];
    ds[0].shape = ReceiverModel { pace: 200 * MS, width: 2, queue: 4, ..ReceiverModel::default() };
    let mut one = day(ds, vec![flood, calm]);
    one.room = 300;
    one.clients = ["flood", "calm"].map(|id| ClientSpec { system_id: id.into(), rate: 0.0 }).to_vec();
    let o = pass(one);
    let of = |id: &str| o.record.submissions.iter().filter(|s| s.client == id).collect::<Vec<_>>();
    let calm = of("calm");
    assert_eq!(calm.len(), 100, "all of the calm one's are accepted");
    assert!(calm.iter().all(|s| s.answers[0].1 == Told::Delivered));
    let mut times: Vec<i64> = calm.iter().map(|s| s.answers[0].0 - s.sent).collect();
    times.sort_unstable();
    assert!(times[95] < 500 * MS, "and answered soon: {} ms", times[95] / MS);
    assert!(o.refused.len() > 1_000 && o.refused.iter().all(|r| r.status == 0x58), "the flood is throttled");
}

#[test]
fn sequence_numbers_out_of_order_and_twice() {
    let mut d = destination(1, Speaks::Smpp, 1);
    d.shape.pace = 400 * MS;
    let mut raw = BytesMut::new();
    // Forward mode: the first is still owed its response when its number comes again.
    for (sequence, n) in [(900, 1), (7, 2), (900, 3)] {
        let Step::Submit(mut s, _) = submit(PAY, 1, n) else { continue };
        s.forward = true;
        encode(CommandStatus::EsmeRok, sequence, s.submit(None), &mut raw);
    }
    let steps = vec![
        (100 * MS, Step::Bind(Mode::Transceiver)),
        (300 * MS, Step::Raw(raw.to_vec())),
        (400 * MS, submit(PAY, 1, 4)),
    ];
    let o = Drill::start(day(vec![d], vec![plan(steps)])).unwrap().run().unwrap();
    let mut ids: Vec<&str> = o.record.arrivals.iter().map(|a| a.message.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(
        (ids.len(), o.record.arrivals.len()),
        (3, 3),
        "taken once for each number that was owed nothing"
    );
    assert_eq!(told(&o, Told::Delivered), 1, "the ordinary one beside them");
}
