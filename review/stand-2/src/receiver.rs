//! An HTTP/1.1 receiver: records each call whose last octet has come, and answers it.

use crate::common::Record;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A call that came whole.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: String,
    /// The status that it was answered, once it was.
    pub status: Option<u16>,
}

impl Arrival {
    pub fn field(&self, name: &str) -> &str {
        self.fields.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value)
    }
}

/// What is answered: the status, further fields, and how long the work takes. No status: the call is taken and never
/// answered.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: Option<u16>,
    pub fields: String,
    pub work: Duration,
}

impl Answer {
    pub fn ok() -> Answer {
        Answer { status: Some(200), fields: String::new(), work: Duration::ZERO }
    }
}

type Decide = Arc<dyn Fn(&Arrival, usize) -> Answer + Send + Sync>;

/// A receiver. It serves until the process ends.
#[derive(Clone)]
pub struct Receiver {
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Receiver {
    /// `decide` is given a call and how many came before it; `one_at_a_time`: the work of a call begins when that of
    /// all before it is done.
    pub fn start(
        record: &Record,
        name: &'static str,
        one_at_a_time: bool,
        decide: impl Fn(&Arrival, usize) -> Answer + Send + Sync + 'static,
    ) -> Receiver {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let receiver = Receiver { address, arrivals: arrivals.clone() };
        let decide: Decide = Arc::new(decide);
        let (record, turn) = (record.clone(), Arc::new(Mutex::new(())));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, decide, arrivals) = (record.clone(), decide.clone(), arrivals.clone());
                let turn = one_at_a_time.then(|| turn.clone());
                std::thread::spawn(move || serve(stream, name, &record, &decide, &arrivals, turn));
            }
        });
        receiver
    }

    pub fn count(&self) -> usize {
        self.arrivals.lock().map_or(0, |a| a.len())
    }

    /// How often a body came and was answered 200.
    pub fn answered_well(&self, body: &str) -> usize {
        let well = |call: &&Arrival| call.body == body && call.status == Some(200);
        self.arrivals.lock().map_or(0, |a| a.iter().filter(well).count())
    }

    /// How often a body came.
    pub fn runs_of(&self, body: &str) -> usize {
        self.arrivals.lock().map_or(0, |a| a.iter().filter(|call| call.body == body).count())
    }
}

fn read_call(reader: &mut BufReader<TcpStream>) -> Option<(String, Arrival)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_string();
    let mut fields = Vec::new();
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
        fields.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
    }
    let length =
        fields.iter().find(|(n, _)| n == "content-length").and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Some((first, Arrival { fields, body, status: None }))
}

fn serve(
    mut stream: TcpStream,
    name: &str,
    record: &Record,
    decide: &Decide,
    arrivals: &Mutex<Vec<Arrival>>,
    turn: Option<Arc<Mutex<()>>>,
) {
    _ = stream.set_nodelay(true);
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reader);
    let mut n = 0;
    while let Some((first, call)) = read_call(&mut reader) {
        n += 1;
        if first.starts_with("GET ") {
            if write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Answer: probe-{n}\r\n\r\n").is_err()
            {
                return;
            }
            continue;
        }
        let before = {
            let Ok(mut list) = arrivals.lock() else { return };
            list.push(call.clone());
            list.len() - 1
        };
        let own_turn = turn.as_ref().map(|t| t.lock());
        let answer = decide(&call, before);
        record.say(format!(
            "{name}: call {before} came: message-id={} class={} body={:?}; answer {:?}{}",
            call.field("message-id"),
            call.field("message-class"),
            call.body,
            answer.status,
            if answer.fields.is_empty() { String::new() } else { format!(" {}", answer.fields.trim_end()) }
        ));
        std::thread::sleep(answer.work);
        drop(own_turn);
        let Some(status) = answer.status else { continue };
        if let Some(call) = arrivals.lock().ok().as_mut().and_then(|list| list.get_mut(before)) {
            call.status = Some(status);
        }
        // Each answer differs from all others, so that none can be taken for a copy.
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Length: 0\r\nX-Answer: {before}\r\n{}\r\n",
            answer.fields
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
