//! A client hands in payouts over MQTT 3.1.1; its line to the sender is cut behind them, and the sender's machine loses its
//! power behind their acceptance. The client sends again what it heard no acknowledgement of, marked so.

use crate::common::*;
use crate::line::Line;
use crate::mqtt::{Client, Message, Packet};
use crate::receiver::{Answer, Receiver};
use std::collections::BTreeSet;
use std::fs;

const PAYOUTS: u16 = 60;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let folder = Folder::new();
    let receiver = Receiver::start(record, "receiver", false, |_, _| Answer::ok());
    let ports = free_ports(2);
    let (smpp, mqtt) = (ports[0], ports[1]);
    let settings = format!(
        "service {{ slots: 64 room: 2000 }}\n\
         smpp {{ listen: \"{smpp}\" }}\n\
         mqtt {{ listen: \"{mqtt}\" window: 20 }}\n\
         journal {{ folder: \"{}\" }}\n\
         client {{ system_id: \"oduya\" password: \"secret\" }}\n\
         class {{ name: \"PAY\" effect: \"single_shot\" aim: \"2500ms\" deadline: \"28s\" }}\n\
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
    let line = Line::start(mqtt, ms(0));
    let (mut client, _) = Client::connect(line.address, false, "payouts", "oduya", "secret")?;
    if !client.subscribe("answers/#") {
        return Err("no subscription".into());
    }
    let message = |n: u16, duplicate: bool| Message {
        packet: n,
        topic: format!("to/000001{n:06}/PAY"),
        payload: format!("payout {n}"),
        duplicate,
        user: Vec::new(),
    };
    let burst: Vec<u8> =
        (1..=PAYOUTS).flat_map(|n| crate::mqtt::publication(false, &message(n, false))).collect();
    if trouble {
        line.cut_behind_next();
    }
    client.write(&burst);
    record.say(format!("client: {PAYOUTS} payouts handed in, packet identifiers 1 to {PAYOUTS}"));
    // All are accepted by then: their calls have come.
    if !wait_until(ms(4_000), || receiver.count() >= usize::from(PAYOUTS)) {
        return Err(format!("{} of {PAYOUTS} payouts came", receiver.count()));
    }
    let mut unheard: BTreeSet<u16> = (1..=PAYOUTS).collect();
    if trouble {
        // The cut line stays silent for a moment.
        std::thread::sleep(ms(300));
        line.cut();
        program.kill();
        line.end();
        record.say("the sender's machine lost its power: SIGKILL, and what was on its lines is gone");
        while let Some(packet) = client.next(ms(500)) {
            if let Packet::Puback(id, ..) = packet {
                unheard.remove(&id);
            }
        }
        record.say(format!("client: no acknowledgement of {} payouts: {unheard:?}", unheard.len()));
        if unheard.len() <= 20 {
            return Err("the client has heard too many acknowledgements before the cut".into());
        }
        program = Program::start(&command, &[], &log);
        if !listens_within(mqtt, ms(10_000)) {
            return Err("the program does not listen again".into());
        }
        let line = Line::start(mqtt, ms(0));
        let (again, present) = Client::connect(line.address, false, "payouts", "oduya", "secret")?;
        client = again;
        record.say(format!("client: connected again; its session goes on: {present}"));
        if !present {
            return Err("the session is over, so the client may not send anything again".into());
        }
        // MQTT 3.1.1, 4.4: in their order, with DUP.
        let burst: Vec<u8> =
            unheard.iter().flat_map(|n| crate::mqtt::publication(false, &message(*n, true))).collect();
        client.write(&burst);
        record.say("client: sent all of them again, in order, with DUP and their packet identifiers");
    }
    // Until all is acknowledged and answered, or well behind that.
    let (mut answers, until) = (0, std::time::Instant::now() + ms(15_000));
    while std::time::Instant::now() < until && !(unheard.is_empty() && answers >= usize::from(PAYOUTS)) {
        match client.next(ms(500)) {
            Some(Packet::Puback(id, ..)) => _ = unheard.remove(&id),
            Some(Packet::Publish(topic, text)) => {
                answers += 1;
                record.say(format!("client: {topic}: {text}"));
            }
            Some(other) => record.say(format!("client: {other:?}")),
            None => {}
        }
    }
    if !program.running() {
        return Err("the program ended".into());
    }
    let twice: Vec<(u16, usize)> = (1..=PAYOUTS)
        .map(|n| (n, receiver.runs_of(&format!("payout {n}"))))
        .filter(|(_, runs)| *runs > 1)
        .collect();
    record.say(format!(
        "acknowledgements missing at the end: {}; answers: {answers}; payouts that ran more than once: {}: {twice:?}",
        unheard.len(),
        twice.len()
    ));
    Ok(if twice.is_empty() { Verdict::Held } else { Verdict::Broken })
}
