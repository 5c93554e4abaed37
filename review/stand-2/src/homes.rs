//! Two sessions of one client, of which one has a will of 5 KB. A message with a name is handed in by that one; its
//! connection is lost behind the acceptance, and the other session hands the message in again under its name.

use crate::common::*;
use crate::line::Line;
use crate::mqtt::{Client, Message, Packet, Will};
use crate::receiver::{Answer, Receiver};
use std::fs;
use std::time::Instant;

const CLIENTS: usize = 6;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let folder = Folder::new();
    let receiver =
        Receiver::start(record, "receiver", false, |_, _| Answer { work: ms(150), ..Answer::ok() });
    let ports = free_ports(2);
    let (smpp, mqtt) = (ports[0], ports[1]);
    let config = folder.file("settings");
    let mut text = format!(
        "service {{ senders: 2 slots: 16 room: 2000 }}\n\
         smpp {{ listen: \"{smpp}\" }}\n\
         mqtt {{ listen: \"{mqtt}\" }}\n\
         journal {{ folder: \"{}\" }}\n\
         class {{ name: \"PAY\" effect: \"single_shot\" aim: \"2500ms\" deadline: \"28s\" }}\n\
         class {{ name: \"RESP\" effect: \"guarded\" window: \"10s\" aim: \"2500ms\" deadline: \"24s\" }}\n\
         kind {{ name: \"bulk\" protocol: \"http\" }}\n\
         endpoint {{ name: \"e1\" address: \"{}\" destination: 1 kind: \"bulk\" }}\n\
         route {{ prefix: \"000001\" destination: 1 }}\n",
        folder.file("journal").display(),
        receiver.address
    );
    for i in 0..CLIENTS {
        text.push_str(&format!("client {{ system_id: \"brand-{i}\" password: \"secret{i}\" }}\n"));
    }
    fs::write(&config, text).map_err(|e| e.to_string())?;
    let command = format!("target/release/heronroute --log info serve --config {}", config.display());
    let mut program = Program::start(&command, &[], &folder.file("log"));
    if !listens_within(mqtt, ms(10_000)) {
        return Err("the program does not listen".into());
    }
    let payout = |i: usize, packet: u16, again: bool| {
        let mut user = vec![("message".to_string(), format!("payout-{i}"))];
        if again {
            user.push(("again".to_string(), "1".to_string()));
        }
        Message {
            packet,
            topic: format!("to/000001{i:06}/PAY"),
            payload: format!("payout {i}"),
            user,
            ..Message::default()
        }
    };
    let mut twice = Vec::new();
    for i in 0..CLIENTS {
        let (user, password) = (format!("brand-{i}"), format!("secret{i}"));
        // What a field agent's tool has collected so far: handed in where its connection is lost.
        let will = Will { topic: format!("to/000001{i:06}/RESP"), payload: "x".repeat(5_000) };
        let line = Line::start(mqtt, ms(0));
        let (mut field, _) =
            Client::connect_with(line.address, true, &format!("field-{i}"), &user, &password, Some(&will))?;
        let (mut office, _) = Client::connect(mqtt, true, &format!("office-{i}"), &user, &password)?;
        if !(field.subscribe("answers/#") && office.subscribe("answers/#")) {
            return Err("no subscription".into());
        }
        let body = format!("payout {i}");
        if trouble {
            line.cut_behind_next();
        }
        field.publish(&payout(i, 7, false));
        record.say(format!("{user}: session field-{i} hands in payout-{i}"));
        if !wait_until(ms(10_000), || receiver.runs_of(&body) > 0) {
            return Err("the payout did not come".into());
        }
        if trouble {
            line.cut();
            line.end();
            record.say(format!("{user}: the connection of field-{i} is lost, with what was on its way"));
            let heard = std::iter::from_fn(|| field.next(ms(300)))
                .filter(|p| matches!(p, Packet::Puback(..)))
                .count();
            record.say(format!("{user}: acknowledgements that field-{i} heard: {heard}"));
            office.publish(&payout(i, 8, true));
            record.say(format!(
                "{user}: session office-{i} hands in payout-{i} again, under its name, again=1"
            ));
            let until = Instant::now() + ms(3_000);
            while Instant::now() < until {
                match office.next(ms(100)) {
                    Some(Packet::Puback(id, code, message)) => {
                        record.say(format!("{user}: PUBACK of {id}, code {code:#04x}, message {message}"));
                        std::thread::sleep(ms(500));
                        break;
                    }
                    Some(other) => record.say(format!("{user}: {other:?}")),
                    None => {}
                }
            }
        } else {
            std::thread::sleep(ms(500));
        }
        let runs = receiver.runs_of(&body);
        record.say(format!("{user}: payout-{i} ran {runs} times"));
        if runs > 1 {
            twice.push(i);
        }
        field.leave();
        office.leave();
    }
    if !program.running() {
        return Err("the program ended".into());
    }
    record.say(format!("payouts that ran more than once: {}: of brands {twice:?}", twice.len()));
    Ok(if twice.is_empty() { Verdict::Held } else { Verdict::Broken })
}
