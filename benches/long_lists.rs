//! Measures the cost of a decision for different numbers of endpoints per destination, in one run: messages
//! arrive at a steady rate for eight destinations, and each call is answered after 5 ms.
//!
//! `cargo bench -p heronroute --bench long_lists`

use heronroute::{
    Action, ClassSettings, DestId, Dispatcher, Effect, EndpointEntry, EndpointId, Event, Micros, MsgId,
    Outcome, Settings, Status,
};
use std::collections::VecDeque;
use std::time::Instant;

const DESTINATIONS: u32 = 8;
/// Endpoints per destination.
const ENDPOINTS: [u32; 3] = [25, 100, 400];
const MESSAGES: u64 = 4_000;
/// Time between two messages.
const MESSAGE_INTERVAL: Micros = 8_000;
/// Duration of a call.
const CALL_DURATION: Micros = 5_000;

fn directory(endpoints: u32) -> Event {
    let entry = |n: u32| EndpointEntry {
        endpoint: EndpointId(n),
        dest: DestId(i64::from(n % DESTINATIONS)),
        status: Status::Up,
        kind: 0,
        zone: 0,
        weight: None,
    };
    Event::DirectoryUpdate { whole: true, entries: (0..endpoints * DESTINATIONS).map(entry).collect() }
}

/// Returns the time per message in microseconds with this number of endpoints per destination, and the number
/// of messages sent.
fn measure(endpoints: u32) -> (f64, usize) {
    let mut settings = Settings::default();
    settings.classes.push(ClassSettings { effect: Effect::Free, ..ClassSettings::default() });
    let mut dispatcher = Dispatcher::new(0, 7, settings).expect("the settings are valid");
    let (mut actions, mut answers, mut sent) = (Vec::new(), VecDeque::new(), 0);
    dispatcher.round(0, &[directory(endpoints)], &mut actions);
    let started = Instant::now();
    for n in 1..=MESSAGES {
        let now = n as Micros * MESSAGE_INTERVAL;
        let mut events = vec![Event::Message {
            id: MsgId(n),
            class: 0,
            tenant: 0,
            key: None,
            dest: DestId((n % u64::from(DESTINATIONS)) as i64),
            time_left: 5_000_000,
            again: false,
        }];
        events.extend(answers.drain(..));
        actions.clear();
        dispatcher.round(now, &events, &mut actions);
        for action in &actions {
            if let Action::Send { id, endpoint, .. } = action {
                sent += 1;
                answers.push_back(Event::Outcome {
                    id: *id,
                    attempt: 0,
                    endpoint: *endpoint,
                    outcome: Outcome::Done,
                    message_closed: true,
                    elapsed: CALL_DURATION,
                    wait: 0,
                    report: None,
                });
            }
        }
    }
    (started.elapsed().as_secs_f64() * 1e6 / MESSAGES as f64, sent)
}

fn main() {
    let measurements: Vec<(f64, usize)> = ENDPOINTS.iter().map(|n| measure(*n)).collect();
    println!("{:>10} {:>12} {:>6} {:>6}", "endpoints", "us/message", "ratio", "sent");
    for (endpoints, (cost, sent)) in ENDPOINTS.iter().zip(&measurements) {
        println!("{endpoints:>10} {cost:>12.2} {:>6.2} {sent:>6}", cost / measurements[0].0);
    }
}
