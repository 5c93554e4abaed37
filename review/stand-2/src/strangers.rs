//! A client is taken out of the settings, and another one is added later. The new one asks, with its own password, for
//! what is held for the former one.

use crate::common::*;
use crate::mqtt::{Client, Message, Packet};
use crate::receiver::{Answer, Receiver};
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

fn ask(client: &mut Client, packet: u16, topic: &str) -> String {
    client.publish(&Message { packet, topic: topic.to_string(), ..Message::default() });
    let until = Instant::now() + ms(5_000);
    while Instant::now() < until {
        if let Some(Packet::Publish(_, text)) = client.next(ms(100)) {
            return text;
        }
    }
    String::new()
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let folder = Folder::new();
    let well = Arc::new(AtomicBool::new(false));
    let is_well = well.clone();
    let receiver = Receiver::start(record, "receiver", false, move |_, _| Answer {
        status: Some(if is_well.load(Ordering::SeqCst) { 200 } else { 500 }),
        ..Answer::ok()
    });
    let ports = free_ports(2);
    let (smpp, mqtt) = (ports[0], ports[1]);
    let config = folder.file("settings");
    let write = |clients: &[&str]| {
        let mut text = format!(
            "service {{ slots: 16 room: 2000 }}\n\
             smpp {{ listen: \"{smpp}\" }}\n\
             mqtt {{ listen: \"{mqtt}\" }}\n\
             held {{ }}\n\
             journal {{ folder: \"{}\" }}\n\
             class {{ name: \"STAT\" effect: \"free\" aim: \"1500ms\" deadline: \"5s\" }}\n\
             kind {{ name: \"hook\" protocol: \"http\" }}\n\
             endpoint {{ name: \"e1\" address: \"{}\" destination: 1 kind: \"hook\" }}\n\
             route {{ prefix: \"000001\" destination: 1 }}\n",
            folder.file("journal").display(),
            receiver.address
        );
        for name in clients {
            text.push_str(&format!("client {{ system_id: \"{name}\" password: \"of-{name}\" }}\n"));
        }
        let new = folder.file("settings.new");
        fs::write(&new, text).and_then(|()| fs::rename(&new, &config)).map_err(|e| e.to_string())
    };
    write(if trouble { &["askw", "field"] } else { &["askw", "field", "poll"] })?;
    let command = format!("target/release/heronroute --log info serve --config {}", config.display());
    let log = folder.file("log");
    let mut program = Program::start(&command, &[], &log);
    if !listens_within(mqtt, ms(10_000)) {
        return Err("the program does not listen".into());
    }
    let (mut owner, _) = Client::connect(mqtt, true, "field-tool", "field", "of-field")?;
    if !owner.subscribe("answers/#") {
        return Err("no subscription".into());
    }
    let (topic, payload) = ("to/000001000001/STAT".to_string(), "response of field".to_string());
    owner.publish(&Message { packet: 7, topic, payload, ..Message::default() });
    let (until, mut id) = (Instant::now() + ms(15_000), String::new());
    while id.is_empty() && Instant::now() < until {
        if let Some(Packet::Publish(_, text)) = owner.next(ms(100)) {
            record.say(format!("field: {text}"));
            id = text.split(' ').find_map(|w| w.strip_prefix("id:")).unwrap_or_default().to_string();
        }
    }
    std::thread::sleep(ms(200));
    let list = ask(&mut owner, 8, "held/list");
    record.say(format!("field: held/list: {list:?}"));
    if id.is_empty() || !list.contains(&id) {
        return Err("the message is not held".into());
    }
    owner.leave();
    well.store(true, Ordering::SeqCst);
    let calls = receiver.count();
    if trouble {
        write(&["askw"])?;
        record.say("the client field is taken out of the settings: a planned restart (SIGTERM)");
        program.signal("TERM");
        let Some(status) = program.ended_within(ms(15_000)) else { return Err("it did not end".into()) };
        record.say(format!("the program ended: {status}"));
        program = Program::start(&command, &[], &log);
        if !listens_within(mqtt, ms(10_000)) {
            return Err("the program does not listen again".into());
        }
        std::thread::sleep(ms(2_000));
        if Client::connect(mqtt, true, "field-tool-2", "field", "of-field").is_ok() {
            return Err("the client that was taken out is still let in".into());
        }
        write(&["askw", "poll"])?;
        record.say("the client poll is added to the settings: SIGHUP");
        program.signal("HUP");
        let taken = || fs::read_to_string(&log).is_ok_and(|log| log.contains("new settings taken over"));
        if !wait_until(ms(5_000), taken) {
            return Err("the new settings were not taken over".into());
        }
    }
    record.say("poll connects under the name of field, with its own password");
    let mut broken = false;
    match Client::connect(mqtt, true, "poll-tool", "field", "of-poll") {
        Err(why) => record.say(format!("poll: turned away: {why}")),
        Ok((mut stranger, _)) => {
            broken = true;
            record.say("poll: LET IN as field, with the password of poll");
            stranger.subscribe("answers/#");
            for (packet, topic) in [
                (8, "held/list".to_string()),
                (9, format!("held/show/{id}")),
                (10, format!("held/again/{id}")),
            ] {
                let told = ask(&mut stranger, packet, &topic);
                record.say(format!("poll: {topic}: {told:?}"));
            }
            std::thread::sleep(ms(1_000));
            record.say(format!(
                "calls at the receiver since, that field did not ask for: {}",
                receiver.count() - calls
            ));
        }
    }
    let own = Client::connect(mqtt, true, "poll-tool", "poll", "of-poll");
    record.say(format!("poll, under its own name: {}", own.map_or_else(|why| why, |_| "let in".into())));
    if !program.running() {
        return Err("the program ended".into());
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
