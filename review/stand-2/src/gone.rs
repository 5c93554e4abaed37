//! A trial of an entry (issue 64, "a client that is gone"), no case: a message of a client that is out of the settings as
//! it ends undelivered. The client comes back with the next restart.

use crate::common::*;
use crate::mqtt::{Client, Message, Packet};
use std::fs;
use std::time::Instant;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let folder = Folder::new();
    let ports = free_ports(3);
    // Nobody listens at the third: connections are refused.
    let (smpp, mqtt, down) = (ports[0], ports[1], ports[2]);
    let config = folder.file("settings");
    let write = |clients: &[&str]| {
        let mut text = format!(
            "service {{ slots: 16 room: 2000 drain_for: \"1s\" }}\n\
             smpp {{ listen: \"{smpp}\" }}\n\
             mqtt {{ listen: \"{mqtt}\" }}\n\
             held {{ }}\n\
             journal {{ folder: \"{}\" }}\n\
             class {{ name: \"PAY\" effect: \"single_shot\" aim: \"2500ms\" deadline: \"8s\" }}\n\
             kind {{ name: \"hook\" protocol: \"http\" }}\n\
             endpoint {{ name: \"e1\" address: \"{down}\" destination: 1 kind: \"hook\" }}\n\
             route {{ prefix: \"000001\" destination: 1 }}\n",
            folder.file("journal").display(),
        );
        for name in clients {
            text.push_str(&format!("client {{ system_id: \"{name}\" password: \"of-{name}\" }}\n"));
        }
        fs::write(&config, text).map_err(|e| e.to_string())
    };
    let command = format!("target/release/heronroute --log info serve --config {}", config.display());
    let log = folder.file("log");
    write(&["askw", "field"])?;
    let mut program = Program::start(&command, &[], &log);
    if !listens_within(mqtt, ms(10_000)) {
        return Err("the program does not listen".into());
    }
    let (mut owner, _) = Client::connect(mqtt, true, "tool", "field", "of-field")?;
    if !owner.subscribe("answers/#") {
        return Err("no subscription".into());
    }
    let topic = "to/000001000001/PAY".to_string();
    owner.publish(&Message { packet: 7, topic, payload: "payout".into(), ..Message::default() });
    let acknowledged = |packet: &Packet| matches!(packet, Packet::Puback(7, code, _) if *code < 0x80);
    let heard = std::iter::from_fn(|| owner.next(ms(2_000))).find(acknowledged);
    if heard.is_none() {
        return Err("the payout was not accepted".into());
    }
    // Killed, so that the message is still open at the next start.
    for clients in [if trouble { &["askw"][..] } else { &["askw", "field"][..] }, &["askw", "field"][..]] {
        program.kill();
        write(clients)?;
        record.say(format!("killed, and a start with the clients {clients:?}"));
        program = Program::start(&command, &[], &log);
        if !listens_within(mqtt, ms(10_000)) {
            return Err("the program does not listen again".into());
        }
        std::thread::sleep(ms(10_000));
    }
    let (mut owner, present) = Client::connect(mqtt, true, "tool", "field", "of-field")?;
    if !present && !owner.subscribe("answers/#") {
        return Err("no subscription".into());
    }
    let mut list = String::new();
    owner.publish(&Message { packet: 8, topic: "held/list".into(), ..Message::default() });
    let until = Instant::now() + ms(5_000);
    while Instant::now() < until && !list.starts_with("held:") {
        if let Some(packet) = owner.next(ms(100)) {
            record.say(format!("field: {packet:?}"));
            if let Packet::Publish(_, text) = packet {
                list = text;
            }
        }
    }
    record.say(format!("field: held/list: {list:?}"));
    if !program.running() {
        return Err("the program ended".into());
    }
    Ok(if list.starts_with("held:0") { Verdict::Broken } else { Verdict::Held })
}
