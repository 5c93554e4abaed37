//! Messages with names of their client's are handed back at a planned restart; their client hands them in again.

use crate::common::*;
use crate::mqtt::{Client, Message, Packet};
use crate::receiver::{Answer, Receiver};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::time::Instant;

const MESSAGES: u16 = 40;

/// What the client heard.
#[derive(Default)]
struct Heard {
    acknowledged: BTreeSet<u16>,
    /// The states of final answers, by the message's name.
    states: BTreeMap<String, Vec<String>>,
}

fn listen(client: &Client, heard: &mut Heard, record: &Record, span: std::time::Duration) -> bool {
    let Some(packet) = client.next(span) else { return true };
    match packet {
        Packet::Puback(id, code, message) => {
            record.say(format!("client: PUBACK of {id}, code {code:#04x}, message {message}"));
            if code < 0x80 {
                heard.acknowledged.insert(id);
            }
        }
        Packet::Publish(topic, text) => {
            record.say(format!("client: {topic}: {text}"));
            let word = |name: &str| {
                text.split(' ').find_map(|w| w.strip_prefix(name)).unwrap_or_default().to_string()
            };
            heard.states.entry(word("ref:")).or_default().push(word("stat:"));
        }
        Packet::Over(code) => {
            record.say(format!("client: the connection is over, {code:#04x}"));
            return false;
        }
        other => record.say(format!("client: {other:?}")),
    }
    true
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let folder = Folder::new();
    let receiver = Receiver::start(record, "receiver", true, |_, _| Answer { work: ms(150), ..Answer::ok() });
    let ports = free_ports(2);
    let (smpp, mqtt) = (ports[0], ports[1]);
    let settings = format!(
        "service {{ slots: 8 room: 2000 drain_for: \"2s\" }}\n\
         smpp {{ listen: \"{smpp}\" }}\n\
         mqtt {{ listen: \"{mqtt}\" }}\n\
         journal {{ folder: \"{}\" }}\n\
         client {{ system_id: \"oduya\" password: \"secret\" }}\n\
         class {{ name: \"RESP\" effect: \"guarded\" window: \"10s\" aim: \"2500ms\" deadline: \"24s\" }}\n\
         kind {{ name: \"bulk\" protocol: \"http\" window: 1 }}\n\
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
    let (mut client, _) = Client::connect(mqtt, true, "responses", "oduya", "secret")?;
    if !client.subscribe("answers/#") {
        return Err("no subscription".into());
    }
    let message = |packet: u16, n: u16, again: bool| {
        let mut user = vec![("message".to_string(), format!("name-{n}"))];
        if again {
            user.push(("again".to_string(), "1".to_string()));
        }
        let (topic, payload) = (format!("to/000001{n:06}/RESP"), format!("response {n}"));
        Message { packet, topic, payload, duplicate: false, user }
    };
    let mut heard = Heard::default();
    for n in 1..=MESSAGES {
        client.publish(&message(n, n, false));
    }
    record.say(format!("client: {MESSAGES} messages handed in, named name-1 to name-{MESSAGES}"));
    let until = Instant::now() + ms(1_000);
    while Instant::now() < until {
        listen(&client, &mut heard, record, ms(50));
    }
    if heard.acknowledged.len() < usize::from(MESSAGES) {
        return Err(format!("{} of {MESSAGES} were accepted", heard.acknowledged.len()));
    }
    let mut handed_back: Vec<u16> = Vec::new();
    if trouble {
        record.say("a planned restart: SIGTERM");
        program.signal("TERM");
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until && listen(&client, &mut heard, record, ms(200)) {}
        let Some(status) = program.ended_within(ms(10_000)) else { return Err("it did not end".into()) };
        record.say(format!("the program ended: {status}"));
        program = Program::start(&command, &[], &log);
        if !listens_within(mqtt, ms(10_000)) {
            return Err("the program does not listen again".into());
        }
        let (again, present) = Client::connect(mqtt, true, "responses", "oduya", "secret")?;
        client = again;
        record.say(format!("client: connected again; its session goes on: {present}"));
        if !present && !client.subscribe("answers/#") {
            return Err("no subscription".into());
        }
        let until = Instant::now() + ms(2_500);
        while Instant::now() < until {
            listen(&client, &mut heard, record, ms(50));
        }
        // Handed back, surely not run, may be handed in again.
        let rejected = |n: &u16| {
            let states = heard.states.get(&format!("name-{n}"));
            states.is_some_and(|s| s.len() == 1 && s[0] == "REJECTD")
        };
        handed_back = (1..=MESSAGES).filter(rejected).collect();
        record.say(format!("client: {} messages were handed back with REJECTD", handed_back.len()));
        if handed_back.is_empty() {
            return Err("none was handed back".into());
        }
        heard.acknowledged.clear();
        for n in &handed_back {
            client.publish(&message(1_000 + n, *n, true));
        }
        record.say("client: handed them in again, under their names, marked again=1");
    }
    // The time of the class, and half a second.
    let until = Instant::now() + ms(24_500);
    let answered = |heard: &Heard, n: u16| heard.states.get(&format!("name-{n}")).map_or(0, Vec::len);
    while Instant::now() < until {
        listen(&client, &mut heard, record, ms(100));
        let wanted = |n: u16| 1 + usize::from(handed_back.contains(&n));
        if (1..=MESSAGES).all(|n| answered(&heard, n) >= wanted(n)) {
            break;
        }
    }
    if !program.running() {
        return Err("the program ended".into());
    }
    let silent: Vec<u16> = if trouble {
        let accepted = |n: &u16| heard.acknowledged.contains(&(1_000 + n));
        let unanswered =
            |n: &u16| answered(&heard, *n) < 2 && receiver.runs_of(&format!("response {n}")) == 0;
        record.say(format!("accepted again: {}", handed_back.iter().filter(|n| accepted(n)).count()));
        handed_back.iter().copied().filter(accepted).filter(unanswered).collect()
    } else {
        (1..=MESSAGES).filter(|n| answered(&heard, *n) == 0).collect()
    };
    record.say(format!(
        "accepted, and neither delivered nor answered in their time: {}: {silent:?}",
        silent.len()
    ));
    Ok(if silent.is_empty() { Verdict::Held } else { Verdict::Broken })
}
