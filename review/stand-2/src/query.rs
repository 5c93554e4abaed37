//! A client hands in payouts over SMPP without asking for receipts, and asks with query_sm what became of them, behind a
//! kill of the sender.

use crate::common::*;
use crate::receiver::{Answer, Receiver};
use crate::smpp::Client;
use std::fs;

const PAYOUTS: usize = 10;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let folder = Folder::new();
    let receiver =
        Receiver::start(record, "receiver", false, |_, _| Answer { work: ms(150), ..Answer::ok() });
    let smpp = free_ports(1)[0];
    let settings = format!(
        "service {{ slots: 16 room: 2000 }}\n\
         smpp {{ listen: \"{smpp}\" }}\n\
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
    if !listens_within(smpp, ms(10_000)) {
        return Err("the program does not listen".into());
    }
    let mut client = Client::bind(smpp, "oduya", "secret")?;
    let mut ids = Vec::new();
    for n in 0..PAYOUTS {
        let (status, id) = client.submit("PAY", &format!("000001{n:06}"), &format!("payout {n}"))?;
        record.say(format!("client: submit_sm of payout {n}: status {status:#x}, message_id {id}"));
        if status != 0 {
            return Err("a payout was refused".into());
        }
        ids.push(id);
    }
    if !wait_until(ms(20_000), || receiver.count() >= PAYOUTS) {
        return Err("not all payouts came".into());
    }
    std::thread::sleep(ms(600));
    if trouble {
        program.kill();
        record.say("SIGKILL, and a start with the same folder");
        program = Program::start(&command, &[], &log);
        if !listens_within(smpp, ms(10_000)) {
            return Err("the program does not listen again".into());
        }
        client = Client::bind(smpp, "oduya", "secret")?;
    }
    let mut lost = Vec::new();
    for (n, id) in ids.iter().enumerate() {
        let (status, state) = client.query(id)?;
        record
            .say(format!("client: query_sm of payout {n}, {id}: status {status:#x}, message_state {state}"));
        // ESME_RINVMSGID: what is not this client's, or long over.
        if status == 0x0C {
            lost.push(n);
        }
    }
    if !program.running() {
        return Err("the program ended".into());
    }
    record.say(format!(
        "payouts that were accepted and of which nothing is known any more: {}: {lost:?}",
        lost.len()
    ));
    Ok(if lost.is_empty() { Verdict::Held } else { Verdict::Broken })
}
