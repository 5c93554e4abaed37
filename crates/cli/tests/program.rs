//! The program as an operator runs it: exit codes, messages, signals.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_heronroute");

fn run(args: &[&str]) -> Output {
    Command::new(PROGRAM).args(args).output().unwrap()
}

fn file(name: &str, text: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(std::process::id().to_string());
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Starts a part of it and gives the address that it listens at.
fn start(args: &[&str]) -> (Child, String, BufReader<std::process::ChildStdout>) {
    let mut child = Command::new(PROGRAM)
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap());
    let mut line = String::new();
    lines.read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("listening at ").unwrap().to_string();
    (child, address, lines)
}

fn settings(receiver: &str, more: &str) -> String {
    format!(
        "service {{ slots: 32 room: 500 }}\n\
         smpp {{ listen: \"127.0.0.1:0\" }}\n\
         client {{ system_id: \"oduya\" password: \"secret\" }}\n\
         class {{ name: \"PAY\" effect: \"single_shot\" deadline: \"5s\" }}\n\
         kind {{ name: \"k\" protocol: \"smpp\" }}\n\
         route {{ prefix: \"234\" destination: 1 }}\n\
         endpoint {{ name: \"a\" address: \"{receiver}\" destination: 1 kind: \"k\" }}\n{more}"
    )
}

fn signal(child: &Child, name: &str) {
    let pid = child.id().to_string();
    assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
}

#[test]
fn check_tells_what_is_wrong_and_where() {
    let good = file("good.txt", &settings("127.0.0.1:9", ""));
    let out = run(&["check", good.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(0));
    let bad = file("bad.txt", &settings("127.0.0.1:9", "").replace("\"5s\"", "\"5 sec\""));
    let out = run(&["check", bad.to_str().unwrap()]);
    let told = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2));
    assert!(told.contains("bad.txt:4:43: class[0].deadline"), "{told}");
    assert_eq!(run(&["check", "no such file"]).status.code(), Some(2));
    assert_eq!(run(&["serve"]).status.code(), Some(2));
    assert_eq!(
        run(&["client", "--system-id", "a-name-that-is-too-long", "--password", "x", "--to", "1"])
            .status
            .code(),
        Some(2)
    );
}

#[test]
fn a_journal_is_looked_into_while_it_is_written_and_refused_to_a_second() {
    let (receiver, at, _lines) =
        start(&["standin", "receiver", "--pace", "100ms", "--trouble", "hang", "0", "60"]);
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("looked-into-{}", std::process::id()));
    _ = std::fs::remove_dir_all(&folder);
    let folder = folder.to_str().unwrap().to_string();
    let path = file("journal.txt", &settings(&at, &format!("journal {{ folder: \"{folder}\" }}")));
    let config = path.to_str().unwrap();
    let (mut service, address, _out) = start(&["serve", "--config", config]);
    let client =
        ["client", "--connect", &address, "--system-id", "oduya", "--password", "secret", "--class", "PAY"];
    let mut client =
        Command::new(PROGRAM).args(client).args(["--to", "2341"]).stdout(Stdio::piped()).spawn().unwrap();
    std::thread::sleep(std::time::Duration::from_millis(500));
    let out = run(&["journal", "stats", &folder]);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(
        out.status.success() && text.contains("1 messages open, 1 of them with an attempt out"),
        "{text}"
    );
    let dump = run(&["journal", "dump", &folder]);
    let text = String::from_utf8_lossy(&dump.stdout).into_owned();
    assert!(text.contains("Accepted") && text.contains("Intent"), "{text}");
    let id = text.split("id: ").nth(1).and_then(|t| t.split(',').next()).unwrap().parse::<u64>().unwrap();
    let out = run(&["journal", "inspect", &folder, "--id", &format!("{id:016x}")]);
    assert!(String::from_utf8_lossy(&out.stdout).contains("open: "));
    let second = run(&["serve", "--config", config]);
    assert_eq!(second.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&second.stderr).contains("another process has this journal"));

    // Killed with a payout in flight: after the restart its client is told UNKNOWN at once.
    service.kill().unwrap();
    service.wait().unwrap();
    client.kill().unwrap();
    client.wait().unwrap();
    assert!(run(&["journal", "verify", &folder]).status.success());
    let (mut service, address, _out) = start(&["serve", "--config", config]);
    let out = run(&[
        "client",
        "--connect",
        &address,
        "--system-id",
        "oduya",
        "--password",
        "secret",
        "--class",
        "PAY",
        "--to",
        "99",
        "--wait",
        "1",
    ]);
    assert_eq!(out.status.code(), Some(1));
    let text = String::from_utf8_lossy(&run(&["journal", "dump", &folder]).stdout).into_owned();
    assert!(text.contains("word: \"UNKNOWN\""), "{text}");
    service.kill().unwrap();
    service.wait().unwrap();
    drop(receiver);
}

#[test]
fn a_scripted_day_is_run_and_its_faults_are_told() {
    let day = "length: \"2s\" receivers: 3 rate: 50\n\
               trouble { kind: \"hang\" from: \"1s\" to: \"1.5s\" share: 0.4 }\n\
               trouble { kind: \"reset\" from: \"0.8s\" to: \"1.8s\" figure: 0.3 }\n";
    let good = file("day.txt", day);
    let out = run(&["bad-day", "--script", good.to_str().unwrap()]);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert_eq!(out.status.code(), Some(0), "{text}");
    assert!(text.contains("hang: receivers") && text.contains("rule 6 (order): kept"), "{text}");
    let bad = file("bad-day.txt", &day.replace("reset", "resett"));
    let out = run(&["bad-day", "--script", bad.to_str().unwrap()]);
    let told = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2));
    assert!(told.contains("bad-day.txt:3:11: trouble[1].kind: \"resett\" is no kind"), "{told}");
    let out = run(&["bad-day", "--seed", "3", "--show"]);
    file("shown.txt", &String::from_utf8_lossy(&out.stdout));
    assert!(out.stdout.len() > 300);
}

#[test]
fn serve_reloads_and_leaves_in_good_order() {
    let (mut receiver, at, _lines) = start(&["standin", "receiver", "--pace", "300ms"]);
    let path = file("serve.txt", &settings(&at, ""));
    let (mut service, address, _out) = start(&["serve", "--config", path.to_str().unwrap()]);
    let client = |id: &str, to: &str| {
        run(&[
            "client",
            "--connect",
            &address,
            "--system-id",
            id,
            "--password",
            "secret",
            "--class",
            "PAY",
            "--to",
            to,
            "--count",
            "3",
            "--wait",
            "3",
        ])
    };
    let out = client("oduya", "2348012");
    assert_eq!(out.status.code(), Some(0), "{out:?}");
    assert_eq!(String::from_utf8_lossy(&out.stdout).matches("Delivered").count(), 3);
    assert_eq!(client("oduya", "99").status.code(), Some(1), "no route leads there");

    // A wrong file changes nothing; a right one adds a route.
    file("serve.txt", "service {");
    signal(&service, "-HUP");
    assert_eq!(client("oduya", "2348012").status.code(), Some(0));
    file("serve.txt", &settings(&at, "route { prefix: \"99\" destination: 1 }\n"));
    signal(&service, "-HUP");
    let mut tries = 0;
    while client("oduya", "99").status.code() != Some(0) {
        tries += 1;
        assert!(tries < 10, "the new route is used");
    }

    // A message in flight at the signal is still answered.
    let child = Command::new(PROGRAM)
        .args([
            "client",
            "--connect",
            &address,
            "--system-id",
            "oduya",
            "--password",
            "secret",
            "--class",
            "PAY",
        ])
        .args(["--to", "2345", "--wait", "4"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    std::thread::sleep(std::time::Duration::from_millis(150));
    signal(&service, "-TERM");
    let out = child.wait_with_output().unwrap();
    assert!(String::from_utf8_lossy(&out.stdout).contains("Delivered"), "{out:?}");
    assert_eq!(service.wait().unwrap().code(), Some(0));
    drop(receiver.stdin.take());
    assert_eq!(receiver.wait().unwrap().code(), Some(0));
}

#[test]
fn a_held_message_is_listed_shown_and_given_up_by_its_client_alone() {
    let (mut receiver, at, _lines) =
        start(&["standin", "receiver", "--pace", "100ms", "--trouble", "hang", "0", "60"]);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("held-{}", std::process::id()));
    _ = std::fs::remove_dir_all(&folder);
    let more = format!(
        "journal {{ folder: \"{}\" }} mqtt {{ listen: \"127.0.0.1:0\" }} held {{ }}\n\
         client {{ system_id: \"other\" password: \"secret\" }}",
        folder.display()
    );
    let path = file("held.txt", &settings(&at, &more).replace("\"5s\"", "\"800ms\""));
    let config = path.to_str().unwrap();
    let (mut service, address, mut out) = start(&["serve", "--config", config]);
    let mut line = String::new();
    out.read_line(&mut line).unwrap();
    let mqtt = line.trim().strip_prefix("listening for MQTT at ").unwrap().to_string();
    let who = ["--system-id", "oduya", "--password", "secret"];
    let client = [&["client", "--connect", &address, "--to", "2341", "--class", "PAY"][..], &who].concat();
    let told = String::from_utf8_lossy(&run(&client).stdout).into_owned();
    let id = told.split(' ').next().unwrap().to_string();
    assert!(told.contains("Unknown"), "{told}");
    let ask = |who: &[&str], words: &[&str]| {
        let out = run(&[&["held", "--connect", &mqtt][..], who, words].concat());
        (out.status.code().unwrap(), String::from_utf8_lossy(&out.stdout).into_owned())
    };
    let (code, list) = ask(&who, &["list"]);
    assert!(code == 0 && list.starts_with("held:1 ") && list.contains(&id), "{list}");
    let trail = run(&[&["trail", "--connect", &mqtt, &id][..], &who].concat());
    let trail = String::from_utf8_lossy(&trail.stdout).into_owned();
    assert!(
        trail.contains("by:smpp/") && trail.contains("attempt at a") && trail.contains("answer UNKNOWN"),
        "{trail}"
    );
    assert_eq!(ask(&who, &["resubmit", &id]), (1, format!("id:{id} stat:MAYHAVERUN\n")));
    let other = ["--system-id", "other", "--password", "secret"];
    for words in [["show", &id], ["resubmit", &id], ["drop", &id]] {
        assert_eq!(ask(&other, &words), (1, "stat:NOTFOUND\n".to_string()));
    }
    let wrong = ["--system-id", "other", "--password", "guess"];
    assert_eq!(ask(&wrong, &["list"]).0, 1);
    assert_eq!(run(&["held", "list"]).status.code(), Some(2));
    // Held over a kill, and given up.
    service.kill().unwrap();
    service.wait().unwrap();
    let (mut service, _, mut out) = start(&["serve", "--config", config]);
    line.clear();
    out.read_line(&mut line).unwrap();
    let mqtt = line.trim().strip_prefix("listening for MQTT at ").unwrap().to_string();
    let ask = |words: &[&str]| {
        let out = run(&[&["held", "--connect", &mqtt][..], &who, words].concat());
        String::from_utf8_lossy(&out.stdout).into_owned()
    };
    assert!(ask(&["list"]).contains(&id));
    assert_eq!(ask(&["drop", &id]), format!("id:{id} stat:DROPPED\n"));
    assert!(ask(&["list"]).starts_with("held:0 "));
    service.kill().unwrap();
    service.wait().unwrap();
    receiver.kill().unwrap();
    receiver.wait().unwrap();
    _ = std::fs::remove_dir_all(folder);
}
