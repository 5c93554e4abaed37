//! A trial of an entry (issue 36, "killed in the middle of [...] a recovery"), no case: payouts that wait for a receiver
//! that is down; the sender is killed again and again, some milliseconds behind its start; then the receiver is back.

use crate::common::*;
use crate::mqtt::{Client, Message, Packet};
use crate::receiver::{Answer, Receiver};
use std::collections::BTreeMap;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

const PAYOUTS: u16 = 90;
const KILLS: u64 = 25;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let folder = Folder::new();
    let well = Arc::new(AtomicBool::new(false));
    let is_well = well.clone();
    let receiver =
        Receiver::start(record, "receiver", false, move |_, _| match is_well.load(Ordering::SeqCst) {
            true => Answer { work: ms(20), ..Answer::ok() },
            false => Answer { status: Some(503), fields: "Retry-After: 1\r\n".into(), ..Answer::ok() },
        });
    let ports = free_ports(2);
    let (smpp, mqtt) = (ports[0], ports[1]);
    let settings = format!(
        "service {{ slots: 16 room: 2000 max_attempts: 50 }}\n\
         smpp {{ listen: \"{smpp}\" }}\n\
         mqtt {{ listen: \"{mqtt}\" }}\n\
         journal {{ folder: \"{}\" segment: \"64KiB\" }}\n\
         client {{ system_id: \"oduya\" password: \"secret\" }}\n\
         class {{ name: \"PAY\" effect: \"single_shot\" aim: \"2500ms\" deadline: \"60s\" }}\n\
         kind {{ name: \"bulk\" protocol: \"http\" }}\n\
         endpoint {{ name: \"e1\" address: \"{}\" destination: 1 kind: \"bulk\" }}\n\
         route {{ prefix: \"000001\" destination: 1 }}\n",
        folder.file("journal").display(),
        receiver.address
    );
    let config = folder.file("settings");
    fs::write(&config, settings).map_err(|e| e.to_string())?;
    let command = format!("target/release/heronroute --log info serve --config {}", config.display());
    let log = folder.file("log");
    let mut program = Program::start(&command, &[], &log);
    if !listens_within(mqtt, ms(10_000)) {
        return Err("the program does not listen".into());
    }
    let (mut client, _) = Client::connect(mqtt, true, "tool", "oduya", "secret")?;
    if !client.subscribe("answers/#") {
        return Err("no subscription".into());
    }
    for n in 1..=PAYOUTS {
        let user = vec![("message".to_string(), format!("payout-{n}"))];
        let (topic, payload) = (format!("to/000001{n:06}/PAY"), format!("payout {n}"));
        client.publish(&Message { packet: n, topic, payload, user, ..Message::default() });
    }
    std::thread::sleep(ms(1_500));
    if trouble {
        for n in 0..KILLS {
            program.kill();
            program = Program::start(&command, &[], &log);
            std::thread::sleep(ms(2 + (n * 7) % 40));
        }
        record.say(format!("{KILLS} kills, each 2 to 41 ms behind a start"));
        program.kill();
        program = Program::start(&command, &[], &log);
        if !listens_within(mqtt, ms(20_000)) {
            return Err("the program does not listen again".into());
        }
    }
    well.store(true, Ordering::SeqCst);
    let (again, present) = Client::connect(mqtt, true, "tool", "oduya", "secret")?;
    client = again;
    if !present && !client.subscribe("answers/#") {
        return Err("no subscription".into());
    }
    let (mut states, until) = (BTreeMap::new(), Instant::now() + ms(62_000));
    while Instant::now() < until && states.len() < usize::from(PAYOUTS) {
        if let Some(Packet::Publish(_, text)) = client.next(ms(200)) {
            let word = |name: &str| {
                text.split(' ').find_map(|w| w.strip_prefix(name)).unwrap_or_default().to_string()
            };
            states.insert(text.split("ref:").nth(1).unwrap_or_default().to_string(), word("stat:"));
        }
    }
    let mut counts = BTreeMap::<&str, usize>::new();
    states.values().for_each(|s| *counts.entry(s.as_str()).or_default() += 1);
    record.say(format!("answers: {} of {PAYOUTS}: {counts:?}", states.len()));
    if !program.running() {
        return Err("the program ended".into());
    }
    let ran: Vec<usize> = (1..=PAYOUTS).map(|n| receiver.answered_well(&format!("payout {n}"))).collect();
    record.say(format!("calls run, by payout: {ran:?}"));
    // A call that was turned away with 503 did not run.
    if ran.iter().any(|n| *n > 1) {
        return Ok(Verdict::Broken);
    }
    Ok(if states.len() < usize::from(PAYOUTS) { Verdict::Broken } else { Verdict::Held })
}
