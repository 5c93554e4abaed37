//! Case: a client is taken out of the settings at a restart, another is added with SIGHUP. What the first one's messages
//! leave behind is filed under the second one's name.

use review_stand::*;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

const ODUYA: Login<'_> = ("oduya", "secret-o");
const GAMMA: Login<'_> = ("gamma", "secret-g");

fn main() {
    let case = case_folder();
    let record = Record::new(&case.join("record.txt"));
    let scratch = Scratch::new();
    let root = root(&case);
    // Nobody listens at the receiver's address: it is down all the time.
    let (smpp, mqtt, receiver) = (free_address(), free_address(), free_address());
    let config = scratch.0.join("service.txt");
    let write = |clients: &[Login<'_>]| {
        let clients: String = clients
            .iter()
            .map(|(name, password)| format!("client {{ system_id: \"{name}\" password: \"{password}\" }}\n"))
            .collect();
        let text = format!(
            "service {{ slots: 8 room: 100 max_attempts: 60 }}\nsmpp {{ listen: \"{smpp}\" }}\n\
             mqtt {{ listen: \"{mqtt}\" }}\nheld {{ }}\njournal {{ folder: \"{}\" }}\n{clients}\
             class {{ name: \"PUSH\" effect: \"guarded\" deadline: \"6s\" window: \"6s\" }}\n\
             kind {{ name: \"hook\" protocol: \"http\" }}\nroute {{ prefix: \"234\" destination: 1 }}\n\
             endpoint {{ name: \"a\" address: \"{receiver}\" destination: 1 kind: \"hook\" }}\n",
            scratch.0.join("journal").display(),
        );
        std::fs::write(&config, text).expect("a configuration");
        let names: Vec<&str> = clients.split('"').skip(1).step_by(4).collect();
        record.line(&format!("settings: clients {}", names.join(", ")));
    };
    let start = |root: &Path| Service::start(&record, root, &config, smpp);
    let tools = Tools { record: &record, root: &root, smpp, mqtt };
    let beta = ("beta", "secret-b");

    write(&[beta, ODUYA]);
    let service = start(&root);
    let answer = tools.client(ODUYA, "2341", "1");
    let id = answer.split_whitespace().next().unwrap_or_default().to_string();
    if id.len() != 16 {
        cannot_run(&record, "the message was not accepted");
    }
    // Its client is taken out of the settings, with a restart, as the page wants.
    service.kill(&record);
    write(&[beta]);
    let service = start(&root);
    // Another client is added, with SIGHUP.
    sleep(500 * MS);
    if trouble() {
        write(&[beta, GAMMA]);
        service.signal(&record, SIGHUP);
        sleep(500 * MS);
    }
    tools.held(GAMMA, &["list"]);
    // The message ends undelivered.
    sleep(Duration::from_secs(8));
    service.kill(&record);
    write(&[beta, GAMMA]);
    let service = start(&root);
    let list = tools.held(GAMMA, &["list"]);
    let show = tools.held(GAMMA, &["show", &id]);
    let foreign = list.contains(&id) || show.contains(&format!("id:{id}"));
    let text = format!("gamma is told of the message that oduya handed in: {foreign}");
    record.line(&text);
    println!("{text}");
    service.kill(&record);
    drop(scratch);
    std::process::exit(i32::from(foreign));
}
