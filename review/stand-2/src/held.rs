//! Messages that ended undelivered are held for their owners; the service is restarted with another number of senders.

use crate::common::*;
use crate::mqtt::{Client, Message, Packet};
use crate::receiver::{Answer, Receiver};
use std::fs;
use std::time::Instant;

const CLIENTS: usize = 6;

fn ask(client: &mut Client, packet: u16, topic: &str) -> Option<String> {
    let message = Message { packet, topic: topic.to_string(), ..Message::default() };
    client.publish(&message);
    let until = Instant::now() + ms(5_000);
    while Instant::now() < until {
        if let Some(Packet::Publish(_, text)) = client.next(ms(100)) {
            return Some(text);
        }
    }
    None
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let folder = Folder::new();
    // Takes the payouts and answers that they failed: they may have taken effect, and are not tried again.
    let receiver =
        Receiver::start(record, "receiver", false, |_, _| Answer { status: Some(500), ..Answer::ok() });
    let ports = free_ports(2);
    let (smpp, mqtt) = (ports[0], ports[1]);
    let config = folder.file("settings");
    let write = |senders: usize| {
        let mut text = format!(
            "service {{ senders: {senders} slots: 16 room: 2000 }}\n\
             smpp {{ listen: \"{smpp}\" }}\n\
             mqtt {{ listen: \"{mqtt}\" }}\n\
             held {{ }}\n\
             journal {{ folder: \"{}\" }}\n\
             class {{ name: \"PAY\" effect: \"single_shot\" aim: \"2500ms\" deadline: \"10s\" }}\n\
             kind {{ name: \"bulk\" protocol: \"http\" }}\n\
             endpoint {{ name: \"e1\" address: \"{}\" destination: 1 kind: \"bulk\" }}\n\
             route {{ prefix: \"000001\" destination: 1 }}\n",
            folder.file("journal").display(),
            receiver.address
        );
        for i in 0..CLIENTS {
            text.push_str(&format!("client {{ system_id: \"brand-{i}\" password: \"secret{i}\" }}\n"));
        }
        fs::write(&config, text).map_err(|e| e.to_string())
    };
    write(2)?;
    let command = format!("target/release/heronroute --log info serve --config {}", config.display());
    let log = folder.file("log");
    let mut program = Program::start(&command, &[], &log);
    if !listens_within(mqtt, ms(10_000)) {
        return Err("the program does not listen".into());
    }
    let enter = |i: usize| {
        Client::connect(mqtt, true, &format!("session-{i}"), &format!("brand-{i}"), &format!("secret{i}"))
    };
    let mut ids = Vec::new();
    for i in 0..CLIENTS {
        let (mut client, _) = enter(i)?;
        if !client.subscribe("answers/#") {
            return Err("no subscription".into());
        }
        let topic = format!("to/000001{i:06}/PAY");
        client.publish(&Message { packet: 7, topic, payload: format!("payout {i}"), ..Message::default() });
        let (until, mut id) = (Instant::now() + ms(15_000), String::new());
        while id.is_empty() && Instant::now() < until {
            if let Some(Packet::Publish(_, text)) = client.next(ms(100)) {
                record.say(format!("brand-{i}: {text}"));
                id = text.split(' ').find_map(|w| w.strip_prefix("id:")).unwrap_or_default().to_string();
            }
        }
        if id.is_empty() {
            return Err("no answer to a payout".into());
        }
        std::thread::sleep(ms(100));
        let list = ask(&mut client, 8, "held/list").unwrap_or_default();
        record.say(format!("brand-{i}: held/list: {list:?}"));
        if !list.contains(&id) {
            return Err("the payout is not held".into());
        }
        ids.push(id);
        client.leave();
    }
    write(if trouble { 1 } else { 2 })?;
    record.say(if trouble {
        "a planned restart, with senders: 1"
    } else {
        "a planned restart, with the same settings"
    });
    program.signal("TERM");
    let Some(status) = program.ended_within(ms(15_000)) else { return Err("it did not end".into()) };
    record.say(format!("the program ended: {status}"));
    program = Program::start(&command, &[], &log);
    if !listens_within(mqtt, ms(10_000)) {
        let log = fs::read_to_string(&log).unwrap_or_default();
        record.say(format!("log: {}", log.lines().last().unwrap_or_default()));
        // A start that is refused, with a reason, loses nothing.
        return if program.running() { Err("it does not listen".into()) } else { Ok(Verdict::Held) };
    }
    let mut lost = Vec::new();
    for (i, id) in ids.iter().enumerate() {
        let (mut client, present) = enter(i)?;
        if !present && !client.subscribe("answers/#") {
            return Err("no subscription".into());
        }
        let list = ask(&mut client, 9, "held/list").unwrap_or_default();
        let show = ask(&mut client, 10, &format!("held/show/{id}")).unwrap_or_default();
        record.say(format!("brand-{i}: held/list: {list:?}; held/show/{id}: {show:?}"));
        if !list.contains(id) || !show.contains(id) {
            lost.push(i);
        }
        client.leave();
    }
    record
        .say(format!("payouts that are no longer held for their owners: {}: of brands {lost:?}", lost.len()));
    Ok(if lost.is_empty() { Verdict::Held } else { Verdict::Broken })
}
