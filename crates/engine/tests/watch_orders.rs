//! Plays every order of two events in each state of the watch on the platform's discovery. Discovery is a
//! model with a catalogue that changes, and the order decides what happens to each connection. After the
//! order discovery works again, except that a connection on which data was left unfinished stays silent.

mod sender;

use heronroute::Status;
use heronroute_engine::directory::{ConnectionAction, Directory, DirectoryEvent, Watched};
use heronroute_engine::{Micros, Stream};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const MS: Micros = 1_000;
/// The watch must receive a change within this time.
const CHANGE_LIMIT: Micros = 6_000 * MS;
/// The same limit after a move of discovery by SIGHUP.
const CHANGE_LIMIT_AFTER_MOVE: Micros = 4_000 * MS;
/// A lost watch is reconnected within this time.
const RECONNECT_LIMIT: Micros = 400 * MS;
/// The longest time between two ticks, or between two connection attempts.
const TICK_LIMIT: Micros = 2_600 * MS;
/// The most connection attempts within a second, whatever discovery does.
const MOST_CONNECTS_A_SECOND: usize = 9;
const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const END: &str = "0\r\n\r\n";

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Head,
    EmptyLine,
    HalfList,
    WholeList,
    IndentedList,
    InvalidBytes,
    End,
    Break,
    ConnectRefused,
    ConnectHangs,
    Silence,
    Move,
    Tick,
}

const EVENTS: [Event; 13] = [
    Event::Head,
    Event::EmptyLine,
    Event::HalfList,
    Event::WholeList,
    Event::IndentedList,
    Event::InvalidBytes,
    Event::End,
    Event::Break,
    Event::ConnectRefused,
    Event::ConnectHangs,
    Event::Silence,
    Event::Move,
    Event::Tick,
];

/// The state of the watch when the first event happens.
#[derive(Clone, Copy, Debug)]
enum WatchState {
    Due,
    Connecting,
    Asked,
    HeadSent,
    HalfFirstList,
    Open,
    OpenIdle,
    HalfChange,
    Retry,
    AskedWhole,
}

const STATES: [WatchState; 10] = [
    WatchState::Due,
    WatchState::Connecting,
    WatchState::Asked,
    WatchState::HeadSent,
    WatchState::HalfFirstList,
    WatchState::Open,
    WatchState::OpenIdle,
    WatchState::HalfChange,
    WatchState::Retry,
    WatchState::AskedWhole,
];

/// The outcome of a future connection attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectOutcome {
    Refused,
    Hangs,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Connection {
    None,
    /// It is being established, and never succeeds.
    Hangs,
    /// It is being established.
    Connecting,
    /// It is established, and the full list is requested; no byte of the answer was sent.
    AskedWhole,
    /// It is established, and changes since a version are requested; no byte of the answer was sent.
    Asked(u64),
    /// The head of the answer was sent.
    HeadSent(u64),
    /// Complete lists up to this version were sent.
    UpToDate(u64),
    /// Data was left unfinished, or the peer has fallen silent.
    Stalled,
}

/// A watch on a model of discovery, with a simulated clock.
struct Harness {
    watch: Watched,
    stream: Stream,
    now: Micros,
    connection: Connection,
    connect_outcomes: VecDeque<ConnectOutcome>,
    /// Discovery's catalogue: the status of each endpoint and the version that set it.
    catalogue: BTreeMap<String, (Status, u64)>,
    version: u64,
    /// The status of each endpoint as the watch reported it.
    reported: BTreeMap<String, Status>,
    connects: Vec<Micros>,
    next_empty_line: Micros,
    /// Formats each list that discovery sends.
    format_list: fn(&str) -> String,
}

fn status_word(status: Status) -> &'static str {
    match status {
        Status::Up => "SERVING",
        Status::Draining => "DRAINING",
        Status::Removed => "DELETED",
    }
}

fn list(version: u64, full: bool, rows: &[(&str, Status)]) -> String {
    let row = |(id, status): &(&str, Status)| {
        format!(
            r#"{{"id":"{id}","addr":"127.0.0.1:9","zone":"{{\"}}","kind":"m","cell":3,"state":"{}"}}"#,
            status_word(*status)
        )
    };
    let rows: Vec<String> = rows.iter().map(row).collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}", rows.join(","))
}

fn indented(line: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(line).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

impl Harness {
    fn new() -> Self {
        let catalogue = BTreeMap::from([("a".to_string(), (Status::Up, 1))]);
        Harness {
            watch: Watched::new(0, at(2), 4 << 20),
            stream: Stream::default(),
            now: 0,
            connection: Connection::None,
            connect_outcomes: VecDeque::new(),
            catalogue,
            version: 1,
            reported: BTreeMap::new(),
            connects: Vec::new(),
            next_empty_line: 0,
            format_list: str::to_string,
        }
    }

    /// Changes the catalogue of discovery.
    fn change(&mut self) {
        self.version += 1;
        let status = if self.version.is_multiple_of(2) { Status::Draining } else { Status::Up };
        self.catalogue.insert("a".to_string(), (status, self.version));
        self.catalogue.insert(format!("b{}", self.version), (Status::Up, self.version));
    }

    fn changes(&self, since: u64) -> String {
        let rows = self.catalogue.iter().filter(|(_, (_, version))| *version > since);
        let rows: Vec<(&str, Status)> = rows.map(|(id, (status, _))| (id.as_str(), *status)).collect();
        list(self.version, since == 0, &rows)
    }

    fn record(&mut self, events: Vec<DirectoryEvent>) {
        for event in events {
            let DirectoryEvent::List(listing) = event else { continue };
            if listing.whole {
                self.reported.clear();
            }
            for endpoint in listing.endpoints {
                self.reported.insert(endpoint.name, endpoint.status);
            }
        }
    }

    fn send(&mut self, text: &str) {
        if matches!(self.connection, Connection::None | Connection::Hangs | Connection::Connecting) {
            return;
        }
        let mut events = Vec::new();
        let keep_open = self.watch.receive(self.now, text.as_bytes(), &mut self.stream, &mut events);
        self.record(events);
        if !keep_open {
            self.connection = Connection::None;
        }
    }

    fn establish(&mut self) {
        self.stream = Stream::default();
        self.watch.connected(self.now, &mut self.stream);
        self.read_request();
    }

    /// Reads the request that the watch wrote.
    fn read_request(&mut self) {
        let request = String::from_utf8_lossy(&self.stream.out.split()).into_owned();
        self.connection = match request.split("since=").nth(1).and_then(|t| t.split(' ').next()) {
            Some(since) => Connection::Asked(since.parse().unwrap()),
            None => {
                assert!(request.starts_with("GET /catalog/members HTTP/1.1\r\n"), "{request}");
                Connection::AskedWhole
            }
        };
    }

    /// Answers the request for the full list.
    fn send_full_list(&mut self, text: &str) {
        assert_eq!(self.connection, Connection::AskedWhole);
        self.send(&format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()));
        if self.connection != Connection::None {
            self.read_request();
        }
    }

    fn connection_closed(&mut self) {
        let mut events = Vec::new();
        self.watch.ended(self.now, &mut events);
        self.record(events);
        self.connection = Connection::None;
    }

    fn tick(&mut self) {
        let mut events = Vec::new();
        let action = self.watch.tick(self.now, &mut events);
        self.record(events);
        match action {
            ConnectionAction::Nothing => {}
            ConnectionAction::Drop => self.connection = Connection::None,
            ConnectionAction::Connect(_) => {
                self.connects.push(self.now);
                match self.connect_outcomes.pop_front() {
                    None => self.connection = Connection::Connecting,
                    Some(ConnectOutcome::Hangs) => self.connection = Connection::Hangs,
                    Some(ConnectOutcome::Refused) => {
                        self.connection = Connection::Connecting;
                        self.connection_closed();
                    }
                }
            }
        }
    }

    /// Advances the clock to the next wake time of the watch, and runs its tick.
    fn run_next_tick(&mut self) {
        self.now = self.now.max(self.watch.wake());
        self.tick();
    }

    /// Sends a complete list in the format of `format_list`, with the head of the answer where it is missing.
    fn send_list(&mut self, format_list: fn(&str) -> String) {
        let (head, since) = match self.connection {
            Connection::Asked(since) => (HEAD, since),
            Connection::HeadSent(since) | Connection::UpToDate(since) => ("", since),
            Connection::Stalled => {
                // After half a list, this one can't be distinguished from the rest of that one.
                let text = chunk(&format!("{}\n", format_list(&self.changes(0))));
                return self.send(&text);
            }
            _ => return,
        };
        let text = format!("{}\n", format_list(&self.changes(since)));
        // Sent as two chunks, in pieces of 7 bytes.
        let (a, b) = text.split_at(text.len() / 3);
        let bytes = format!("{head}{}{}", chunk(a), chunk(b));
        for piece in bytes.as_bytes().chunks(7) {
            self.send(std::str::from_utf8(piece).unwrap());
        }
        if self.connection != Connection::None {
            self.connection = Connection::UpToDate(self.version);
            self.next_empty_line = self.now + 2_000 * MS;
        }
    }

    fn send_half_list(&mut self) {
        let (head, since) = match self.connection {
            Connection::Asked(since) => (HEAD, since),
            Connection::HeadSent(since) | Connection::UpToDate(since) => ("", since),
            _ => ("", 0),
        };
        self.change();
        let line = self.changes(since);
        let text = format!("{head}{}", chunk(&line[..line.len() / 2]));
        self.send(&text);
        self.stop_answering();
    }

    fn stop_answering(&mut self) {
        if !matches!(self.connection, Connection::None | Connection::Hangs | Connection::Connecting) {
            self.connection = Connection::Stalled;
        }
    }

    fn apply(&mut self, event: Event) {
        let established =
            !matches!(self.connection, Connection::None | Connection::Hangs | Connection::Connecting);
        match event {
            Event::Head if established => {
                let first = matches!(self.connection, Connection::Asked(_));
                self.send(HEAD);
                match self.connection {
                    Connection::Asked(since) if first => self.connection = Connection::HeadSent(since),
                    _ => self.stop_answering(),
                }
            }
            Event::EmptyLine if established => {
                let head = if matches!(self.connection, Connection::Asked(_)) { HEAD } else { "" };
                self.send(&format!("{head}{}", chunk("\n")));
                if let Connection::Asked(since) = self.connection {
                    self.connection = Connection::HeadSent(since);
                }
            }
            Event::HalfList => self.send_half_list(),
            Event::WholeList => {
                self.change();
                self.send_list(str::to_string);
            }
            Event::IndentedList => {
                self.change();
                self.send_list(indented);
            }
            Event::InvalidBytes if established => {
                let head = if matches!(self.connection, Connection::Asked(_)) { HEAD } else { "" };
                self.send(&format!("{head}{}", chunk("}\u{1}{{\"]\n")));
                self.stop_answering();
            }
            Event::End if established => {
                let head = if matches!(self.connection, Connection::Asked(_)) { HEAD } else { "" };
                self.send(&format!("{head}{END}"));
            }
            Event::Break if self.connection != Connection::None => self.connection_closed(),
            Event::ConnectRefused => self.connect_outcomes.push_back(ConnectOutcome::Refused),
            Event::ConnectHangs => self.connect_outcomes.push_back(ConnectOutcome::Hangs),
            Event::Silence => self.stop_answering(),
            Event::Move => {
                self.watch.moved(self.now, at(3));
                self.connection = Connection::None;
            }
            Event::Tick => self.run_next_tick(),
            _ => {}
        }
    }

    fn reach(&mut self, state: WatchState) {
        if matches!(state, WatchState::Due) {
            return;
        }
        self.tick();
        if matches!(state, WatchState::Connecting) {
            return;
        }
        self.establish();
        match state {
            WatchState::Asked => return,
            WatchState::HeadSent => return self.apply(Event::Head),
            WatchState::HalfFirstList => return self.send_half_list(),
            _ => self.send_list(str::to_string),
        }
        match state {
            WatchState::OpenIdle => {
                self.now += 2_000 * MS;
                self.apply(Event::EmptyLine);
                self.next_empty_line = self.now + 2_000 * MS;
                self.now += 1_900 * MS;
            }
            WatchState::HalfChange => {
                self.now += 500 * MS;
                self.send_half_list();
            }
            WatchState::Retry => self.apply(Event::Break),
            WatchState::AskedWhole => {
                self.change();
                let line = self.changes(self.version - 1).replacen("SERVING", "ASLEEP", 1);
                self.send(&chunk(&format!("{line}\n")));
                self.await_full_list_request();
            }
            _ => {}
        }
    }

    fn is_up_to_date(&self) -> bool {
        let own = self.catalogue.iter().map(|(id, (status, _))| (id, *status));
        self.reported.iter().map(|(id, status)| (id, *status)).eq(own)
    }

    /// Runs discovery without faults from now on: each connection succeeds, and receives all changes.
    fn serve_until(&mut self, until: Micros) {
        loop {
            match self.connection {
                Connection::Connecting => self.establish(),
                Connection::AskedWhole => {
                    let whole = self.changes(0);
                    self.send_full_list(&(self.format_list)(&whole));
                }
                Connection::Asked(_) | Connection::HeadSent(_) => self.send_list(self.format_list),
                Connection::UpToDate(version) if version < self.version => self.send_list(self.format_list),
                Connection::UpToDate(_) if self.next_empty_line <= self.now => {
                    self.send(&chunk("\n"));
                    self.next_empty_line = self.now + 2_000 * MS;
                }
                _ => {
                    let wake = self.watch.wake();
                    assert!(wake - self.now <= TICK_LIMIT, "the next tick is in {} us", wake - self.now);
                    if self.connection == Connection::None {
                        assert!(wake - self.now <= RECONNECT_LIMIT, "next attempt in {} us", wake - self.now);
                    }
                    let line = match self.connection {
                        Connection::UpToDate(_) => self.next_empty_line,
                        _ => Micros::MAX,
                    };
                    let next = wake.min(line).max(self.now);
                    if next > until {
                        self.now = until;
                        return;
                    }
                    self.now = next;
                    if wake <= self.now {
                        self.tick();
                        assert!(self.watch.wake() > self.now || self.connection == Connection::None);
                    }
                }
            }
        }
    }

    fn most_connects_in_a_second(&self) -> usize {
        let within = |from: Micros| {
            self.connects.iter().filter(|client| (from..from + 1_000 * MS).contains(client)).count()
        };
        self.connects.iter().map(|from| within(*from)).max().unwrap_or(0)
    }
}

#[test]
fn after_each_order_of_two_events_at_each_state_a_change_is_known_in_time() {
    every_order_of_two("on one line", str::to_string);
    every_order_of_two("indented", indented);
}

fn every_order_of_two(name: &str, format_list: fn(&str) -> String) {
    let mut failures = Vec::new();
    let mut orders = 0;
    for state in STATES {
        for first in EVENTS {
            for second in EVENTS {
                orders += 1;
                let played = std::panic::catch_unwind(|| {
                    let mut harness = Harness::new();
                    harness.format_list = format_list;
                    harness.reach(state);
                    harness.apply(first);
                    harness.apply(second);
                    harness.change();
                    let from = harness.now;
                    harness.serve_until(from + CHANGE_LIMIT);
                    let reported = harness.reported.clone();
                    let was_up_to_date = harness.is_up_to_date();
                    // A further change is received as well.
                    harness.change();
                    harness.serve_until(harness.now + CHANGE_LIMIT);
                    (
                        was_up_to_date,
                        harness.is_up_to_date(),
                        reported,
                        harness.connects.clone(),
                        harness.most_connects_in_a_second(),
                    )
                });
                match played {
                    Ok((true, true, _, _, most)) if most <= MOST_CONNECTS_A_SECOND => {}
                    Ok(other) => failures.push(format!("{state:?}, {first:?}, {second:?}: {other:?}")),
                    Err(_) => failures.push(format!("{state:?}, {first:?}, {second:?}: an assertion failed")),
                }
            }
        }
    }
    assert!(
        failures.is_empty(),
        "lists {name}: {} of {orders} orders, among them:\n{}",
        failures.len(),
        failures[..failures.len().min(12)].join("\n")
    );
}

/// A fault that affects every connection of the watch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Refuses,
    Hangs,
    Silent,
    HeadOnly,
    HalfList,
    ListThenEnd,
    InvalidBytes,
    Resets,
}

const FAULTS: [Fault; 8] = [
    Fault::Refuses,
    Fault::Hangs,
    Fault::Silent,
    Fault::HeadOnly,
    Fault::HalfList,
    Fault::ListThenEnd,
    Fault::InvalidBytes,
    Fault::Resets,
];

impl Harness {
    fn attempt(&mut self, fault: Fault) {
        while self.connection == Connection::None {
            match fault {
                Fault::Refuses => self.connect_outcomes.push_back(ConnectOutcome::Refused),
                Fault::Hangs => self.connect_outcomes.push_back(ConnectOutcome::Hangs),
                _ => {}
            }
            self.run_next_tick();
            if fault == Fault::Refuses {
                return;
            }
        }
        if self.connection == Connection::Connecting {
            self.establish();
            match fault {
                Fault::HeadOnly => self.apply(Event::Head),
                Fault::HalfList => self.send_half_list(),
                Fault::ListThenEnd => {
                    self.send_list(str::to_string);
                    self.apply(Event::End);
                }
                Fault::InvalidBytes => self.apply(Event::InvalidBytes),
                Fault::Resets => self.apply(Event::Break),
                _ => {}
            }
            self.stop_answering();
        }
        while self.connection != Connection::None {
            self.run_next_tick();
        }
    }
}

#[test]
fn a_change_is_received_in_time_after_a_silent_watch_and_two_failed_attempts() {
    let mut failures = Vec::new();
    for first in FAULTS {
        for second in FAULTS {
            let mut harness = Harness::new();
            harness.reach(WatchState::Open);
            let fell_silent = harness.now;
            harness.stop_answering();
            while harness.connection != Connection::None {
                harness.run_next_tick();
            }
            harness.attempt(first);
            harness.attempt(second);
            harness.change();
            harness.serve_until(fell_silent + CHANGE_LIMIT);
            if !harness.is_up_to_date() {
                failures.push(format!("{first:?}, {second:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{} of {}: {failures:?}", failures.len(), FAULTS.len() * FAULTS.len());
}

#[test]
fn reconnect_attempts_are_limited_and_continue_while_discovery_is_down() {
    for fault in FAULTS {
        let mut harness = Harness::new();
        while harness.now < 30_000 * MS {
            harness.attempt(fault);
        }
        assert!(
            harness.most_connects_in_a_second() <= MOST_CONNECTS_A_SECOND,
            "{fault:?}: {} in a second",
            harness.most_connects_in_a_second()
        );
        let gaps = harness.connects.windows(2).map(|pair| pair[1] - pair[0]);
        let longest = gaps.max().unwrap();
        assert!(longest <= TICK_LIMIT, "{fault:?}: {longest} us between two attempts");
        // The watch recovers in time.
        harness.change();
        harness.serve_until(harness.now + CHANGE_LIMIT_AFTER_MOVE);
        assert!(harness.is_up_to_date(), "{fault:?}");
    }
}

#[test]
fn an_attempt_is_nearly_always_open_while_discovery_is_silent() {
    // This way a list is received at once when discovery works again.
    for fault in [Fault::Hangs, Fault::Silent, Fault::HeadOnly] {
        let mut harness = Harness::new();
        while harness.now < 30_000 * MS {
            harness.attempt(fault);
            let apart = harness.watch.wake() - harness.now;
            assert!(apart <= 100 * MS, "{fault:?}: no attempt for {apart} us");
        }
    }
}

#[test]
fn bytes_that_complete_no_line_do_not_keep_the_watch_open() {
    // One byte of a list a second, and white space without an end of line.
    for text in [list(2, false, &[("a", Status::Draining)]), " ".repeat(300)] {
        let mut harness = Harness::new();
        harness.reach(WatchState::Open);
        let from = harness.now;
        for byte in text.chars() {
            harness.now += 1_000 * MS;
            while harness.connection != Connection::None && harness.watch.wake() <= harness.now {
                harness.tick();
            }
            if harness.connection == Connection::None {
                break;
            }
            harness.send(&chunk(&byte.to_string()));
        }
        assert!(harness.connection == Connection::None, "such bytes keep the watch open");
        assert!(harness.now - from <= 3_000 * MS, "closed after {} us", harness.now - from);
    }
}

#[test]
fn a_watch_that_receives_only_empty_lines_stays_open() {
    // The first line may be the empty line that discovery sends every 2 s.
    let mut harness = Harness::new();
    harness.reach(WatchState::Open);
    harness.apply(Event::Break);
    let from = harness.now;
    let mut established_at = None;
    while harness.now < from + 20_000 * MS {
        match harness.connection {
            Connection::Connecting => {
                harness.establish();
                harness.apply(Event::Head);
                established_at = Some(harness.now);
                harness.next_empty_line = harness.now + 2_000 * MS;
            }
            Connection::HeadSent(_) if harness.next_empty_line <= harness.watch.wake() => {
                harness.now = harness.next_empty_line;
                harness.apply(Event::EmptyLine);
                harness.next_empty_line = harness.now + 2_000 * MS;
            }
            _ => harness.run_next_tick(),
        }
    }
    assert!(
        established_at.is_some_and(|at| at < from + 3_000 * MS),
        "the watch is reconnected again and again"
    );
}

fn version_two() -> Harness {
    let mut harness = Harness::new();
    harness.change();
    harness.reach(WatchState::Open);
    assert!(harness.is_up_to_date() && harness.reported["a"] == Status::Draining);
    harness
}

#[test]
fn an_old_list_changes_nothing_and_a_newer_one_after_it_does() {
    let mut harness = version_two();
    harness.apply(Event::Break);
    harness.run_next_tick();
    harness.establish();
    let old = list(1, true, &[("a", Status::Up)]);
    harness.send(&format!("{HEAD}{}", chunk(&format!("{old}\n"))));
    assert!(harness.is_up_to_date(), "an old list reverts a newer one: {:?}", harness.reported);
    // First a list with a known version, then one with a new version.
    for version in [2, 3] {
        if version == 3 {
            harness.change();
        }
        let line = harness.changes(version - 1);
        harness.send(&chunk(&format!("{line}\n")));
        assert!(harness.is_up_to_date(), "{:?}", harness.reported);
    }
}

#[test]
fn a_restarted_version_counter_is_accepted_in_time() {
    for moves in [false, true] {
        let mut harness = version_two();
        let from = harness.now;
        harness.apply(if moves { Event::Move } else { Event::Break });
        // Discovery has lost its version counter: another list has the first version.
        harness.version = 1;
        harness.catalogue = BTreeMap::from([("n".to_string(), (Status::Up, 1))]);
        let list_text = |full| list(1, full, &[("n", Status::Up)]);
        while !harness.is_up_to_date() && harness.now < from + CHANGE_LIMIT_AFTER_MOVE {
            match harness.connection {
                Connection::Connecting => harness.establish(),
                Connection::AskedWhole => harness.send_full_list(&indented(&list_text(true))),
                Connection::Asked(since) => {
                    assert_eq!(since, 2, "the full list is requested separately");
                    harness.send(&format!("{HEAD}{}", chunk(&format!("{}\n", list_text(true)))));
                    harness.connection = Connection::UpToDate(1);
                    harness.next_empty_line = harness.now + 2_000 * MS;
                }
                Connection::UpToDate(_) if harness.next_empty_line <= harness.watch.wake() => {
                    harness.now = harness.next_empty_line;
                    harness.send(&chunk("\n"));
                    harness.next_empty_line += 2_000 * MS;
                }
                _ => harness.run_next_tick(),
            }
        }
        assert!(
            harness.is_up_to_date() && harness.now - from <= CHANGE_LIMIT_AFTER_MOVE,
            "{} us: {:?}",
            harness.now - from,
            harness.reported
        );
        assert_eq!(harness.connection, Connection::Asked(1), "changes are requested from that version");
    }
}

#[test]
fn a_full_list_sent_in_place_of_changes_replaces_the_list() {
    let mut harness = version_two();
    harness.apply(Event::Break);
    harness.run_next_tick();
    harness.establish();
    assert_eq!(harness.connection, Connection::Asked(2));
    harness.send(&format!("{HEAD}{}", chunk(&format!("{}\n", list(7, true, &[("z", Status::Up)])))));
    assert_eq!(harness.reported.keys().collect::<Vec<_>>(), ["z"]);
    harness.apply(Event::Break);
    harness.run_next_tick();
    harness.establish();
    assert_eq!(harness.connection, Connection::Asked(7));
}

#[test]
fn the_rest_of_a_list_is_not_read_on_the_next_connection() {
    let mut harness = version_two();
    let line = list(3, false, &[("a", Status::Up)]);
    let (half, rest) = line.split_at(line.len() / 2);
    harness.send(&chunk(half));
    harness.apply(Event::Move);
    harness.tick();
    harness.establish();
    harness.send(&format!("{HEAD}{}", chunk(&format!("{rest}\n"))));
    assert!(harness.is_up_to_date() && harness.connection == Connection::None, "{:?}", harness.reported);
    harness.change();
    harness.serve_until(harness.now + CHANGE_LIMIT_AFTER_MOVE);
    assert!(harness.is_up_to_date());
}

#[test]
fn bytes_on_the_old_connection_after_a_move_are_ignored() {
    let drains = list(5, false, &[("e1", Status::Draining)]).replace("\"{\\\"}\"", "\"a\"");
    let drains = drains.replace("\"m\"", "\"one\"").replace("\"cell\":3", "\"cell\":1");
    let drains = drains.replace("127.0.0.1:9", "127.0.0.1:1001");
    let whole = format!("{HEAD}{}", chunk(&format!("{drains}\n")));
    for moves in [false, true] {
        let mut harness = sender::new_harness();
        let (old, _) =
            harness.take_received(2).into_iter().find(|(_, t)| t.starts_with("GET /catalog")).unwrap();
        if moves {
            harness.node.discovery_moved(harness.now, at(3));
            harness.advance(5 * MS);
            assert!(harness.closed.contains(&old));
        }
        harness.peer_sends(old, &whole);
        let client = harness.connect_client();
        harness.submit(client, "m1", sender::SAFE);
        harness.advance(100 * MS);
        assert_eq!(
            harness.take_received(1001).len(),
            usize::from(moves),
            "a drain counts, but not on the old connection"
        );
    }
    // A connection that was being established during the move.
    let mut harness = sender::new_harness();
    let (watch, _) =
        harness.take_received(2).into_iter().find(|(_, t)| t.starts_with("GET /catalog")).unwrap();
    harness.slow_port = Some(2);
    harness.connection_closed(watch);
    harness.node.closed(harness.now, watch, heronroute_engine::CloseReason::Broken);
    harness.advance(500 * MS);
    let pending = harness.connecting.pop().expect("the watch reconnects");
    harness.node.discovery_moved(harness.now, at(3));
    harness.advance(5 * MS);
    harness.node.connected(harness.now, pending);
    harness.advance(5 * MS);
    assert!(harness.take_received(2).is_empty(), "no request is sent there");
    let watches: Vec<_> =
        harness.take_received(3).into_iter().filter(|(_, t)| t.starts_with("GET /catalog")).collect();
    assert_eq!(watches.len(), 1);
}

fn reconnect(harness: &mut Harness) {
    harness.apply(Event::Break);
    harness.run_next_tick();
    harness.establish();
}

impl Harness {
    /// Waits until the watch requests the full list, which takes at most 1.5 s.
    fn await_full_list_request(&mut self) {
        let from = self.now;
        while self.connection != Connection::AskedWhole {
            assert_ne!(self.connection, Connection::Stalled);
            if self.connection == Connection::Connecting {
                self.establish();
            } else {
                self.run_next_tick();
            }
            assert!(self.now - from <= 1_500 * MS, "the full list is not requested");
        }
    }
}

#[test]
fn the_full_list_is_requested_after_unreadable_lines() {
    let bad = list(3, false, &[("a", Status::Up), ("c", Status::Up)]).replacen("SERVING", "ASLEEP", 1);
    let mut harness = version_two();
    harness.send(&chunk(&format!("{bad}\n")));
    assert!(
        harness.reported["a"] == Status::Draining && harness.reported["c"] == Status::Up,
        "{:?}",
        harness.reported
    );
    assert_ne!(harness.connection, Connection::None, "the watch is not closed");
    harness.await_full_list_request();
    harness.send_full_list(&list(4, true, &[("a", Status::Up)]));
    assert_eq!(
        (harness.connection, &harness.reported),
        (Connection::Asked(4), &BTreeMap::from([("a".into(), Status::Up)]))
    );
    // A full list is accepted as it is, even with an unreadable entry, and isn't requested again.
    reconnect(&mut harness);
    assert_eq!(harness.connection, Connection::Asked(4));
    harness
        .send(&format!("{HEAD}{}", chunk(&format!("{}\n", bad.replace("\"version\":3", "\"version\":5")))));
    harness.await_full_list_request();
    harness.send_full_list(&bad.replace("\"version\":3,\"full\":false", "\"version\":5,\"full\":true"));
    for _ in 0..3 {
        assert_eq!(harness.connection, Connection::Asked(5));
        harness.send(&format!("{HEAD}{}", chunk("\n")));
        harness.now += 1_500 * MS;
        assert!(harness.watch.wake() > harness.now, "the full list is not requested again");
        reconnect(&mut harness);
    }
    // An old full list reverts nothing either.
    harness
        .send(&format!("{HEAD}{}", chunk(&format!("{}\n", bad.replace("\"version\":3", "\"version\":6")))));
    harness.await_full_list_request();
    let reported = harness.reported.clone();
    harness.send_full_list(&list(1, true, &[]));
    assert_eq!((harness.connection, &harness.reported), (Connection::Asked(6), &reported));
}

#[test]
fn unreadable_changes_and_full_lists_are_requested_in_turn() {
    let no_list = format!("{HEAD}{}", chunk("{\"version\":9}\n"));
    let mut harness = version_two();
    reconnect(&mut harness);
    harness.send(&no_list);
    reconnect(&mut harness);
    // The full list is requested after the second failure, then the changes again if it fails, and so on.
    let mut asked = Vec::new();
    for _ in 0..20 {
        asked.push(harness.connection);
        match harness.connection {
            Connection::AskedWhole => harness.send("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"),
            _ => harness.send(&no_list),
        }
        assert_eq!(harness.connection, Connection::None);
        harness.run_next_tick();
        harness.establish();
    }
    assert_eq!(asked[..3], [Connection::Asked(2), Connection::AskedWhole, Connection::Asked(2)]);
    assert!(asked.iter().filter(|a| **a == Connection::AskedWhole).count() >= 4, "{asked:?}");
    assert!(asked.iter().filter(|a| **a == Connection::Asked(2)).count() >= 4, "{asked:?}");
    for broken in ["x\r\n\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", ""] {
        let mut harness = version_two();
        harness.send(&chunk(&format!("{}\n", list(3, false, &[("a", Status::Up)]).replace("SERVING", "?"))));
        harness.await_full_list_request();
        harness.send(broken);
        if broken.is_empty() {
            // Discovery does not answer.
            harness.run_next_tick();
        }
        assert_eq!(harness.connection, Connection::None, "{broken:?}");
        harness.run_next_tick();
        harness.establish();
        assert_eq!(harness.connection, Connection::Asked(3), "{broken:?}");
        harness.send(&format!("{HEAD}{}", chunk("\n")));
        harness.await_full_list_request();
    }
}
