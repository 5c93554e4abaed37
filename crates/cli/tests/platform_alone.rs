//! `heronroute platform` has what one sender needs and nothing of an installation: no second listener, no thread that works,
//! no timer, no file but its journal.

use heronroute_reserved_port::ReservedPort;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Ended with the test, however that ends.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

fn pings(at: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(at) else { return false };
    let mut answer = [0; 7];
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && &answer == b"+PONG\r\n"
}

#[test]
fn nothing_of_an_installation_is_there() {
    let folder = std::env::temp_dir().join(format!("heronroute-alone-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("state")).unwrap();
    let ports = [(); 2].map(|()| ReservedPort::on_localhost().unwrap());
    let [listen, discovery] = ports.each_ref().map(ReservedPort::address);
    let config = json!({"name": "n", "listen": listen, "discovery": discovery, "seed": "7",
        "limits": {"memory_mb": 32, "sockets": 128, "disk_mb": 1},
        "known": {"version": 1, "full": true, "servers": []},
        "settings": {"Azs": ["a"], "Shapes": ["m"], "Customers": [{"Name": "t", "QuotaRps": 500.0}],
            "Weights": "nominal", "QuantumUs": 1000, "Discovery": "push",
            "FamilyInfo": {"Workers": 12, "BatchByKind": [1]},
            "Limits": {"MaxOpen": 100, "MaxAttempts": 4, "Cancel": true, "RetryAfter": true,
                "MaxRetryAfterUs": 500_000, "IdleCloseUs": 5_000_000},
            "Profiles": [{"Name": "safe", "Effect": "free", "HardLimitUs": 4_000_000,
                "ObjectiveUs": 1_500_000, "WindowUs": 4_000_000, "Worth": 1.0}]}});
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_heronroute"))
        .args(["--log", "error", "platform"])
        .env("GW_CONFIG", folder.join("config.json"))
        .env("GW_STATE", folder.join("state"))
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let child = Running(child);
    let until = Instant::now() + Duration::from_secs(10);
    while !pings(listen) {
        assert!(Instant::now() < until, "ready in time");
        sleep(Duration::from_millis(5));
    }
    sleep(Duration::from_millis(1_500));

    let proc = format!("/proc/{}", child.0.id());
    assert_eq!(std::fs::read_dir(format!("{proc}/task")).unwrap().count(), 1, "threads");
    let listening: Vec<String> = std::fs::read_to_string("/proc/net/tcp")
        .unwrap()
        .lines()
        .filter(|l| l.split_whitespace().nth(3) == Some("0A"))
        .filter_map(|l| l.split_whitespace().nth(9).map(|inode| format!("socket:[{inode}]")))
        .collect();
    let (mut listeners, mut polls, mut wakers) = (0, 0, 0);
    for fd in std::fs::read_dir(format!("{proc}/fd")).unwrap().flatten() {
        // What it was started with is not its own; the same goes for devices and pipes beyond these.
        if fd.file_name().to_string_lossy().parse::<u32>().is_ok_and(|n| n <= 2) {
            continue;
        }
        let to = std::fs::read_link(fd.path()).unwrap_or_default().display().to_string();
        listeners += usize::from(listening.contains(&to));
        polls += usize::from(to.contains("eventpoll"));
        wakers += usize::from(to.contains("eventfd"));
        assert!(!to.contains("timerfd"), "a timer: {to}");
        let file = to.starts_with('/') && !to.starts_with("/dev/");
        assert!(!file || to.starts_with(&folder.display().to_string()), "a file: {to}");
    }
    assert_eq!((listeners, polls, wakers), (1, 1, 0), "one listener, one poll, no other thread's waker");
    let files: Vec<_> = std::fs::read_dir(&folder).unwrap().flatten().map(|f| f.file_name()).collect();
    assert_eq!(files.len(), 2, "{files:?}");
    drop(child);
    _ = std::fs::remove_dir_all(&folder);
}
