//! The program as one sender of the platform, as a process that ends with its test, and requests to it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::{Deref, DerefMut};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PAUSE: Duration = Duration::from_millis(5);

/// A running program. Guards against one that outlives a failed test, and holds up whoever waits for the end of its output.
pub struct Process(Child);

impl Process {
    /// Starts the program with its configuration and state in `folder`, and waits until it answers at `listen`.
    pub fn start(folder: &Path, listen: SocketAddr, patience: Duration) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_heronroute"))
            .args(["--log", "error", "platform"])
            .env("GW_CONFIG", folder.join("config.json"))
            .env("GW_STATE", folder.join("state"))
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let process = Process(child);
        let until = Instant::now() + patience;
        while ask(listen, &["PING"], patience).as_deref() != Some("+PONG") {
            assert!(Instant::now() < until, "ready in time");
            sleep(PAUSE);
        }
        process
    }

    /// Kills it and waits for its end.
    pub fn end(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

impl Deref for Process {
    type Target = Child;

    fn deref(&self) -> &Child {
        &self.0
    }
}

impl DerefMut for Process {
    fn deref_mut(&mut self) -> &mut Child {
        &mut self.0
    }
}

/// One request on a connection of its own, and its answer; none where it does not come in time.
pub fn ask(listen: SocketAddr, args: &[&str], patience: Duration) -> Option<String> {
    let mut stream = TcpStream::connect(listen).ok()?;
    stream.set_read_timeout(Some(patience)).unwrap();
    let strings: String = args.iter().map(|a| format!("${}\r\n{a}\r\n", a.len())).collect();
    write!(stream, "*{}\r\n{strings}", args.len()).ok()?;
    let (mut text, mut octet) = (String::new(), [0]);
    while !text.ends_with("\r\n") {
        stream.read_exact(&mut octet).ok()?;
        text.push(octet[0] as char);
    }
    Some(text.trim_end().to_string())
}
