//! Stand-ins of the users' platform for the review's cases, written from the users' protocol page: discovery with its
//! watch and its notices, endpoints, clients, and the start of a sender by the deploy file's `run`.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub const MS: Duration = Duration::from_millis(1);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// What has to be ended and removed where the case breaks off: processes, and the folder of the run.
static LEFT: Mutex<(Vec<u32>, Vec<PathBuf>)> = Mutex::new((Vec::new(), Vec::new()));

/// Starts a process that ends with this one, however that ends.
fn spawn_process(command: &mut Command) -> std::io::Result<Child> {
    const PR_SET_PDEATHSIG: i32 = 1;
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        })
    };
    let child = command.spawn()?;
    LEFT.lock().unwrap().0.push(child.id());
    Ok(child)
}

/// Ends a process and waits for its end.
fn end_process(mut child: Child) {
    _ = child.kill();
    _ = child.wait();
    LEFT.lock().unwrap().0.retain(|pid| *pid != child.id());
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Writes `record.txt`: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn new(file: &Path) -> Record {
        Record(Arc::new((Mutex::new(File::create(file).expect("record.txt")), Instant::now())))
    }

    pub fn line(&self, text: &str) {
        let ms = self.0.1.elapsed().as_secs_f64() * 1e3;
        _ = writeln!(self.0.0.lock().unwrap(), "{ms:10.1} {text}");
    }

    pub fn elapsed(&self) -> Duration {
        self.0.1.elapsed()
    }
}

/// The case could not run: exit code 2.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.line(&format!("the case could not run: {why}"));
    println!("the case could not run: {why}");
    let (processes, folders) = std::mem::take(&mut *LEFT.lock().unwrap());
    processes.into_iter().for_each(|pid| _ = unsafe { kill(pid as i32, SIGKILL) });
    sleep(50 * MS);
    folders.iter().for_each(|folder| _ = std::fs::remove_dir_all(folder));
    std::process::exit(2);
}

/// A loopback address of this process's own, so that no other socket is given its ports.
pub fn own_address() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 250, low, 1)
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((own_address(), 0)).expect("a free port");
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// An address for the sender: a port that was free a moment ago.
pub fn free_address() -> SocketAddr {
    listen().1
}

/// One HTTP request, as far as the stand-ins need it.
pub struct HttpRequest {
    pub method: String,
    pub target: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Reads the next request; `None` at the end of the connection.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<HttpRequest> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut words = line.split_whitespace();
        let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
        let mut fields = BTreeMap::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            fields.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
        }
        let length = fields.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        Some(HttpRequest { method, target, fields, body })
    }
}

/// An endpoint in discovery's list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub addr: SocketAddr,
    pub kind: String,
    pub cell: i64,
    pub state: &'static str,
    pub started_ms: u64,
    pub weight: f64,
}

impl Listed {
    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"block-a","kind":"{}","cell":{},"state":"{}","weight":{:.1},"started_ms":{}}}"#,
            self.id, self.addr, self.kind, self.cell, self.state, self.weight, self.started_ms
        )
    }
}

pub fn list_json(version: u64, full: bool, servers: &[Listed]) -> String {
    let servers: Vec<String> = servers.iter().map(Listed::json).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, servers.join(","))
}

#[derive(Default)]
struct Catalog {
    version: u64,
    /// Each change: its version and the entry.
    changes: Vec<(u64, Listed)>,
}

/// A notice that a sender sent: `failed`, or `returned`.
pub type Notices = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

/// Discovery's agent: the whole list, the watch, and notices.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    catalog: Arc<Mutex<Catalog>>,
    pub notices: Notices,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, servers: &[Listed]) -> Discovery {
        let (listener, addr) = listen();
        let catalog = Catalog { version: 1, changes: servers.iter().map(|s| (1, s.clone())).collect() };
        let discovery = Discovery {
            addr,
            catalog: Arc::new(Mutex::new(catalog)),
            notices: Notices::default(),
            record: record.clone(),
        };
        let own = discovery.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                spawn(move || own.serve(stream));
            }
        });
        discovery
    }

    /// Changes an entry, or adds one.
    pub fn change(&self, entry: Listed) {
        let mut catalog = self.catalog.lock().unwrap();
        catalog.version += 1;
        let version = catalog.version;
        self.record.line(&format!("discovery: version {version}: {}", entry.json()));
        catalog.changes.push((version, entry));
    }

    /// The list as it stands, without what was deleted.
    pub fn whole(&self) -> String {
        let catalog = self.catalog.lock().unwrap();
        let mut now: BTreeMap<String, Listed> = BTreeMap::new();
        for (_, entry) in &catalog.changes {
            match entry.state {
                "DELETED" => _ = now.remove(&entry.id),
                _ => _ = now.insert(entry.id.clone(), entry.clone()),
            }
        }
        list_json(catalog.version, true, &now.into_values().collect::<Vec<_>>())
    }

    fn since(&self, version: u64) -> Option<(u64, String)> {
        let catalog = self.catalog.lock().unwrap();
        let new: Vec<Listed> =
            catalog.changes.iter().filter(|(v, _)| *v > version).map(|(_, e)| e.clone()).collect();
        (catalog.version > version).then(|| (catalog.version, list_json(catalog.version, false, &new)))
    }

    fn serve(&self, stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = HttpRequest::read(&mut reader) {
            if request.method == "POST" && request.target == "/v1/outcomes" {
                for line in String::from_utf8_lossy(&request.body).lines() {
                    let id = text_of(line, "id").unwrap_or_default();
                    self.record.line(&format!("notice {line}"));
                    self.notices.lock().unwrap().entry(id).or_default().push(line.to_string());
                }
                if out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                    return;
                }
            } else if request.target.starts_with("/catalog/members?") {
                let since = request.target.split(['?', '&']).find_map(|p| p.strip_prefix("since="));
                return self.watch(since.and_then(|s| s.parse().ok()).unwrap_or(0), &mut out);
            } else if request.target == "/catalog/members" {
                let body = self.whole();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                if out.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            } else if out.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").is_err() {
                return;
            }
        }
    }

    fn watch(&self, mut version: u64, out: &mut TcpStream) {
        if out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        let mut quiet = Instant::now() - Duration::from_secs(2);
        loop {
            let mut line = None;
            if let Some((now, text)) = self.since(version) {
                version = now;
                line = Some(text);
            } else if quiet.elapsed() >= Duration::from_secs(2) {
                line = Some(String::new());
            }
            if let Some(line) = line {
                quiet = Instant::now();
                let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                if out.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
            }
            sleep(5 * MS);
        }
    }
}

/// The text of a field of a small JSON object.
pub fn text_of(json: &str, field: &str) -> Option<String> {
    let (_, rest) = json.split_once(&format!("\"{field}\":\""))?;
    Some(rest.split_once('"')?.0.to_string())
}

/// All values of a text field of a JSON text.
pub fn texts_of(json: &str, field: &str) -> Vec<String> {
    json.split(&format!("\"{field}\":\""))
        .skip(1)
        .filter_map(|r| Some(r.split_once('"')?.0.to_string()))
        .collect()
}

/// A call that an endpoint got.
#[derive(Clone, Debug)]
pub struct Call {
    pub at: Instant,
    pub ids: Vec<String>,
    /// Whether its messages took effect (the endpoint was not hung then, or came back while the call was there).
    pub answered: Option<Instant>,
}

/// An endpoint: takes calls on any number of connections, and answers each after `service`, unless it hangs.
#[derive(Clone)]
pub struct Endpoint {
    pub name: String,
    pub addr: SocketAddr,
    pub hangs: Arc<AtomicBool>,
    /// One call in so many gets a spoilt answer: its length does not fit, and its rest never comes. 0: none.
    pub spoils: Arc<AtomicU64>,
    pub calls: Arc<Mutex<Vec<Call>>>,
    service: Duration,
    record: Record,
}

impl Endpoint {
    pub fn start(record: &Record, name: &str, service: Duration) -> Endpoint {
        let (listener, addr) = listen();
        let endpoint = Endpoint {
            name: name.to_string(),
            addr,
            hangs: Arc::default(),
            spoils: Arc::default(),
            calls: Arc::default(),
            service,
            record: record.clone(),
        };
        let own = endpoint.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                spawn(move || own.serve(stream));
            }
        });
        endpoint
    }

    pub fn listed(&self, kind: &str, cell: i64) -> Listed {
        Listed {
            id: self.name.clone(),
            addr: self.addr,
            kind: kind.to_string(),
            cell,
            state: "SERVING",
            started_ms: 0,
            weight: 100.0,
        }
    }

    /// The ids that were answered as delivered.
    pub fn delivered(&self) -> Vec<String> {
        let calls = self.calls.lock().unwrap();
        calls.iter().filter(|c| c.answered.is_some()).flat_map(|c| c.ids.clone()).collect()
    }

    /// The number of calls that came since a moment.
    pub fn calls_since(&self, moment: Instant) -> usize {
        self.calls.lock().unwrap().iter().filter(|c| c.at >= moment).count()
    }

    fn serve(&self, stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = HttpRequest::read(&mut reader) {
            let answer = match (request.method.as_str(), request.target.as_str()) {
                ("GET", "/ping") => {
                    if !self.wait(&out) {
                        return;
                    }
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_string()
                }
                ("POST", "/inbox" | "/inbox/bulk") => {
                    let body = String::from_utf8_lossy(&request.body).into_owned();
                    let single = request.target == "/inbox";
                    let ids = match request.fields.get("x-call-id") {
                        Some(id) if single => vec![id.clone()],
                        _ => texts_of(&body, "id"),
                    };
                    self.record.line(&format!("{}: call {}", self.name, ids.join(" ")));
                    let index = {
                        let mut calls = self.calls.lock().unwrap();
                        calls.push(Call { at: Instant::now(), ids: ids.clone(), answered: None });
                        calls.len() - 1
                    };
                    if !self.wait(&out) {
                        self.record.line(&format!("{}: given up {}", self.name, ids.join(" ")));
                        return;
                    }
                    let spoils = self.spoils.load(Ordering::Relaxed) as usize;
                    if spoils > 0 && index % spoils == spoils - 1 {
                        self.record.line(&format!("{}: spoilt answer {}", self.name, ids.join(" ")));
                        let head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 60000\r\n\r\n";
                        let text = [head.as_bytes(), &[b'x'; 55_000]].concat();
                        if out.write_all(&text).is_err() {
                            return;
                        }
                        while !closed(&out) {
                            sleep(20 * MS);
                        }
                        return;
                    }
                    self.calls.lock().unwrap()[index].answered = Some(Instant::now());
                    self.record.line(&format!("{}: answers 200 {}", self.name, ids.join(" ")));
                    let ends: Vec<String> =
                        ids.iter().map(|id| format!(r#"{{"id":"{id}","state":"ok"}}"#)).collect();
                    let body = if single { String::new() } else { format!("[{}]", ends.join(",")) };
                    // Answers differ from one another, as those with a date or a number do.
                    format!(
                        "HTTP/1.1 200 OK\r\nX-Answer: {}-{index}\r\nContent-Length: {}\r\n\r\n{body}",
                        self.name,
                        body.len()
                    )
                }
                _ => "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_string(),
            };
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Serves for a while; while the endpoint hangs, nothing is answered. Returns false where the sender has closed
    /// the connection meanwhile.
    fn wait(&self, stream: &TcpStream) -> bool {
        sleep(self.service);
        while self.hangs.load(Ordering::Relaxed) {
            sleep(10 * MS);
            if closed(stream) {
                return false;
            }
        }
        !closed(stream)
    }
}

/// Whether the peer has closed the connection or its side of it.
pub fn closed(stream: &TcpStream) -> bool {
    _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0]) {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    };
    _ = stream.set_nonblocking(false);
    closed
}

/// A client's connection to a sender.
pub struct Client {
    stream: TcpStream,
    read: Vec<u8>,
}

/// What a client hears of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    Line(String),
    /// Nothing within the client's 400 ms.
    Nothing,
    Closed,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Client { stream, read: Vec::new() })
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn line(&mut self, patience: Duration) -> Heard {
        let until = Instant::now() + patience;
        loop {
            if let Some(end) = self.read.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.read[..end]).into_owned();
                self.read.drain(..end + 2);
                return Heard::Line(line);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Heard::Nothing;
            }
            _ = self.stream.set_read_timeout(Some(left));
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Heard::Closed,
                Ok(n) => self.read.extend_from_slice(&buffer[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Heard::Closed,
            }
        }
    }

    pub fn end(&self) {
        _ = self.stream.shutdown(Shutdown::Both);
    }
}

pub fn ping() -> Vec<u8> {
    b"*1\r\n$4\r\nPING\r\n".to_vec()
}

/// A hand-in as a client writes it.
pub fn out_add(id: &str, pairs: &str, body: &[u8]) -> Vec<u8> {
    let mut text = b"*5\r\n".to_vec();
    for arg in [b"OUT.ADD", b"0000000000000000".as_slice(), id.as_bytes(), pairs.as_bytes(), body] {
        text.extend_from_slice(format!("${}\r\n", arg.len()).as_bytes());
        text.extend_from_slice(arg);
        text.extend_from_slice(b"\r\n");
    }
    text
}

/// Hands in a message on a connection of its own and waits for the answer as clients do: 400 ms.
pub fn hand_in(record: &Record, to: SocketAddr, id: &str, pairs: &str, body: &[u8]) -> Heard {
    let Some(mut client) = Client::connect(to) else {
        record.line(&format!("client: {id} no connection"));
        return Heard::Closed;
    };
    let heard = if client.write(&out_add(id, pairs, body)) { client.line(400 * MS) } else { Heard::Closed };
    client.end();
    record.line(&format!("client: OUT.ADD {id} {pairs} ({} octets): {heard:?}", body.len()));
    heard
}

/// A new id, as each hand-in has: 16 hexadecimal digits.
pub fn new_id(prefix: u32) -> String {
    static COUNT: AtomicU64 = AtomicU64::new(1);
    format!("{prefix:08x}{:08x}", COUNT.fetch_add(1, Ordering::Relaxed))
}

/// The repository's root: two folders above the case's.
pub fn root(case: &Path) -> PathBuf {
    case.join("../..").canonicalize().expect("the root")
}

/// A value of the deploy file.
pub fn deploy(root: &Path, key: &str) -> Option<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text.lines().find(|l| l.starts_with(&format!("{key} =")))?;
    Some(line.split_once('"')?.1.rsplit_once('"')?.0.to_string())
}

/// A folder of this run alone, removed at its end.
pub struct Scratch(pub PathBuf);

impl Default for Scratch {
    fn default() -> Self {
        Scratch::new()
    }
}

impl Scratch {
    pub fn new() -> Scratch {
        let folder = std::env::temp_dir().join(format!("heronroute-review-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("state")).expect("a temporary folder");
        LEFT.lock().unwrap().1.push(folder.clone());
        Scratch(folder)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// One sender, started by the deploy file's `run`.
pub struct Sender {
    pub listen: SocketAddr,
    child: Option<Child>,
    scratch: PathBuf,
    root: PathBuf,
    discovery: SocketAddr,
    record: Record,
}

impl Sender {
    /// Writes the configuration; the process is started with [`Sender::spawn`].
    pub fn set_up(
        record: &Record,
        case: &Path,
        scratch: &Scratch,
        discovery: &Discovery,
        limits: &str,
        settings: &str,
    ) -> Sender {
        let listen = free_address();
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{limits},"known":{},"settings":{settings}}}"#,
            discovery.addr,
            discovery.whole()
        );
        std::fs::write(scratch.0.join("config.json"), config).expect("a configuration");
        Sender {
            listen,
            child: None,
            scratch: scratch.0.clone(),
            root: root(case),
            discovery: discovery.addr,
            record: record.clone(),
        }
    }

    pub fn spawn(&mut self) {
        let run = deploy(&self.root, "run")
            .unwrap_or_else(|| cannot_run(&self.record, "no run in the deploy file"));
        let log = File::options().create(true).append(true).open(self.scratch.join("log")).expect("a log");
        let tmp = self.scratch.join("tmp");
        _ = std::fs::remove_dir_all(&tmp);
        std::fs::create_dir_all(&tmp).expect("a temporary folder");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .current_dir(&self.root)
            .env("GW_NAME", "n0")
            .env("GW_LISTEN", self.listen.to_string())
            .env("GW_DISCOVERY", self.discovery.to_string())
            .env("GW_STATE", self.scratch.join("state"))
            .env("GW_CONFIG", self.scratch.join("config.json"))
            .env("TMPDIR", tmp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .process_group(0);
        match spawn_process(&mut command) {
            Ok(child) => self.child = Some(child),
            Err(e) => cannot_run(&self.record, &format!("the sender can't be started: {e}")),
        }
        self.record.line("sender: started");
    }

    /// Waits until the sender answers PING.
    pub fn ready(&mut self, patience: Duration) {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            if self.has_ended() {
                cannot_run(&self.record, "the sender ended before it was ready");
            }
            if let Some(mut client) = Client::connect(self.listen)
                && client.write(&ping())
                && client.line(Duration::from_secs(1)) == Heard::Line("+PONG".into())
            {
                self.record.line("sender: ready");
                return;
            }
            sleep(20 * MS);
        }
        cannot_run(&self.record, "the sender was not ready in time");
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            self.record.line(&format!("sender: signal {signal}"));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|c| c.try_wait().ok().flatten().is_some())
    }

    /// SIGKILL; returns once the process is gone.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        self.child.take().into_iter().for_each(end_process);
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.child.take().into_iter().for_each(end_process);
    }
}

/// Whether the disruption is played: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The folder of the case: the first argument.
pub fn case_folder() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).expect("the folder of the case"))
}

/// The settings of the users' wire page, with one kind that takes single messages.
pub const SETTINGS: &str = r#"{"Azs":["block-a"],"Balancers":2,"Customers":[{"Name":"oduya-forms","QuotaRps":500.0}],
"Discovery":"push","FamilyInfo":{"BatchByKind":[1],"KindApart":[false],"Late":"line","Workers":40},
"Limits":{"Cancel":true,"ConnectTimeoutUs":1500000,"IdleCloseUs":5000000,"MaxAttempts":6,"MaxOpen":313,
"MaxRetryAfterUs":2000000,"Peers":false,"Probes":true,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":8},
"OverShareWorth":0.05,"Prices":{"CrossZone":0.01,"Handshake":0.04},
"Profiles":[{"Effect":"free","Group":"all","HardLimitUs":12000000,"LateShare":0.0,"Name":"status-sync",
"ObjectiveUs":1500000,"WindowUs":5000000,"Worth":2.0}],"QuantumUs":5000,
"Rules":{"AskEveryUs":10000000,"ColdFrom":0.19,"DrainGraceUs":1000000,"FallMultiple":2.0,"FallUs":2000000,
"WarmUpUs":10000000},"Shapes":["client-hook"],"Weights":"nominal","Zone":0}"#;
/// The limits of the example on the deploy page, and less memory.
pub const LIMITS: &str = r#"{"cores":1.0,"memory_mb":64,"sockets":512,"disk_mb":3}"#;

/// The program as the service that `heronroute serve` is.
pub struct Service {
    child: Child,
}

impl Service {
    /// Starts the program of the deploy file's `run`, as the service that it is elsewhere.
    pub fn start(record: &Record, root: &Path, config: &Path, smpp: SocketAddr) -> Service {
        let Some(run) = deploy(root, "run") else { cannot_run(record, "no run in the deploy file") };
        let run = run.replace(" platform", &format!(" serve --config '{}'", config.display()));
        let log =
            File::options().create(true).append(true).open(config.with_extension("log")).expect("a log");
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &run]).current_dir(root).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log")).stderr(log);
        let Ok(child) = spawn_process(&mut command) else {
            cannot_run(record, "the service can't be started")
        };
        record.line("service: started");
        let until = Instant::now() + Duration::from_secs(20);
        while Client::connect(smpp).is_none() {
            if Instant::now() > until {
                cannot_run(record, "the service does not listen");
            }
            sleep(10 * MS);
        }
        Service { child }
    }

    pub fn signal(&self, record: &Record, signal: i32) {
        record.line(&format!("service: signal {signal}"));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn kill(self, record: &Record) {
        record.line("service: SIGKILL");
        end_process(self.child);
    }
}

/// The project's own clients of the service.
pub struct Tools<'a> {
    pub record: &'a Record,
    pub root: &'a Path,
    pub smpp: SocketAddr,
    pub mqtt: SocketAddr,
}

/// A client's name and password.
pub type Login<'a> = (&'a str, &'a str);

impl Tools<'_> {
    fn program(&self, args: &[&str]) -> Output {
        let program = self.root.join("target/release/heronroute");
        let Ok(output) = Command::new(program).args(args).output() else {
            cannot_run(self.record, "the program can't be started");
        };
        output
    }

    /// Hands a message in as the client, and waits for its answer.
    pub fn client(&self, (name, password): Login<'_>, to: &str, wait: &str) -> String {
        let at = self.smpp.to_string();
        let output = self.program(&[
            "client",
            "--connect",
            &at,
            "--system-id",
            name,
            "--password",
            password,
            "--to",
            to,
            "--wait",
            wait,
        ]);
        let text = String::from_utf8_lossy(&output.stdout).trim().to_string();
        self.record.line(&format!("{name}: message to {to}: {text}"));
        text
    }

    pub fn held(&self, (name, password): Login<'_>, command: &[&str]) -> String {
        let at = self.mqtt.to_string();
        let mut args = vec!["held", "--connect", &at, "--system-id", name, "--password", password];
        args.extend_from_slice(command);
        let output = self.program(&args);
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text).trim().to_string();
        self.record.line(&format!("{name}: held {}: {}", command.join(" "), text.replace('\n', " | ")));
        text
    }
}
