//! The MQTT client against the service itself, within this process; and, where `HERONROUTE_BIN` names the program, the
//! harness and the client against three processes of it.

use heronroute_relay::client::{Client, ClientError, Login};
use heronroute_relay::fleet::{Fleet, FleetSpec};
use heronroute_relay::schedule::Folder;
use heronroute_reserved_port::ReservedPort;
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;

const SOON: Duration = Duration::from_secs(60);

const BASE: &str = "service { senders: 1 drain_for: \"100ms\" } client { system_id: \"oduya\" password: \"secret\" } \
    class { name: \"STAT\" effect: \"free\" deadline: \"1s\" } kind { name: \"k\" protocol: \"http\" } \
    route { prefix: \"234\" destination: 1 } endpoint { name: \"e\" address: \"@nobody@\" destination: 1 kind: \"k\" } held { } \
    smpp { listen: \"@smpp@\" } mqtt { listen: \"@mqtt@\" } journal { folder: \"@folder@/journal\" }";

#[test]
fn asks_hands_in_and_hears_what_became_of_it() {
    let nobody = ReservedPort::on_localhost().unwrap();
    let home = heronroute_relay::process::Home::new("client").unwrap();
    let text = BASE
        .replace("@nobody@", &nobody.address().to_string())
        .replace("@smpp@", "127.0.0.1:0")
        .replace("@mqtt@", "127.0.0.1:0")
        .replace("@folder@", &home.path().display().to_string());
    let cfg = Arc::new(heronroute_config::parse("test", &text).unwrap());
    let service = heronroute_net::Service::start(cfg, 1).unwrap();
    let at = service.mqtt_address().unwrap();
    let mut client = Client::connect(&Login::new(at, "oduya", "m1"), SOON).unwrap();
    let list = client.ask("held/list", "", SOON).unwrap();
    assert!(list.starts_with("held:0 "), "{list}");
    assert!(
        matches!(client.ask_json("held/list", &Value::Null, SOON), Err(ClientError::Json(text, _)) if text == list)
    );
    // More at once than the library's own queue has room for.
    let numbers: Vec<u64> =
        (0..150).map(|n| client.publish(&format!("to/234{n:06}/STAT"), "x", &[]).unwrap()).collect();
    let ids: Vec<_> = numbers.iter().map(|n| client.acknowledged(*n, SOON).unwrap().unwrap()).collect();
    assert!(matches!(client.answer(numbers[0], Duration::ZERO), Err(ClientError::Late(_))));
    for (number, id) in numbers.iter().zip(&ids) {
        let answer = client.answer(*number, SOON).unwrap();
        assert!(answer.text.starts_with(&format!("id:{id} stat:")), "{answer:?}");
        client.done(*number);
    }
    // Answers owed to an identifier come on its next connection, and are not taken for those to other questions.
    let login = Login::new(at, "oduya", "m2");
    let mut other = Client::connect(&login, SOON).unwrap();
    let number = other.publish("to/234000999/STAT", "x", &[]).unwrap();
    let id = other.acknowledged(number, SOON).unwrap().unwrap();
    drop(other);
    while !client.ask("held/list", "", SOON).unwrap().starts_with("held:151 ") {}
    let mut other = Client::connect(&login, SOON).unwrap();
    assert!(other.ask("held/list", "", SOON).unwrap().starts_with("held:151 "));
    assert!(other.answer(number, SOON).unwrap().text.starts_with(&format!("id:{id} stat:")));
    let wrong = client.ask("no/such/topic", "", SOON);
    assert!(matches!(wrong, Err(ClientError::Refused(0x90, _))), "{wrong:?}");
    service.shut_down();
    service.join().unwrap();
    let gone = client.ask("held/list", "", SOON);
    assert!(matches!(gone, Err(ClientError::Lost(_))), "{gone:?}");
    assert!(matches!(client.ask("held/list", "", SOON), Err(ClientError::Lost(_))), "and stays so");
    let never = Client::connect(&Login::new(at, "oduya", "m1"), Duration::from_millis(50));
    assert!(matches!(never, Err(ClientError::Lost(_) | ClientError::Late(_))));
}

#[test]
#[ignore = "needs HERONROUTE_BIN, the path of the program"]
fn processes_of_the_program_are_driven() {
    let Ok(program) = std::env::var("HERONROUTE_BIN") else { return };
    let nobody = ReservedPort::on_localhost().unwrap();
    let base = BASE.replace("@nobody@", &nobody.address().to_string());
    // The program has no `fleet { }` yet.
    let spec = FleetSpec { section: false, ..FleetSpec::new(program, 3, 1).base(&base) };
    let mut fleet = Fleet::new(&spec).unwrap();
    fleet.start(SOON).unwrap();
    for member in 0..3 {
        let login = Login::new(fleet.front(member, "mqtt").unwrap(), "oduya", "m1");
        let mut client = Client::connect(&login, SOON).unwrap();
        let number = client.publish("to/234000001/STAT", "x", &[]).unwrap();
        let id = client.acknowledged(number, SOON).unwrap().unwrap();
        client.answer(number, SOON).unwrap();
        let process = fleet.member(member).unwrap();
        process.pause().unwrap();
        let late = client.ask("held/list", "", Duration::from_millis(200));
        assert!(matches!(late, Err(ClientError::Late(_))), "{late:?}");
        process.wake().unwrap();
        assert!(client.ask("held/list", "", SOON).unwrap().starts_with("held:1 "));
        // At the same port, with its journal; then with an empty folder.
        for (folder, held) in
            [(Folder::Kept, "held:1 "), (Folder::Old, "held:1 "), (Folder::Emptied, "held:0 ")]
        {
            fleet.kill(member, folder).unwrap();
            fleet.member(member).unwrap().start(SOON).unwrap();
            let mut client = Client::connect(&login, SOON).unwrap();
            let list = client.ask("held/list", "", SOON).unwrap();
            assert!(
                list.starts_with(held) && list.contains(&id) != (folder == Folder::Emptied),
                "{folder:?}: {list}"
            );
        }
        assert!(fleet.member(member).unwrap().terminate(SOON).unwrap().success());
    }
}
