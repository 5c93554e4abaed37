//! The watch on the platform's discovery under every order of two events at each of its states. Discovery is a model
//! here: it has a catalogue that changes, and each connection fares as the order says. Behind the order discovery
//! serves well again, and a connection on which something was left unfinished says nothing more.

mod sender;

use heronroute::Status;
use heronroute_engine::directory::{ConnectionAction, Directory, DirectoryEvent, Watched};
use heronroute_engine::{Micros, Stream};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const MS: Micros = 1_000;
/// Within this a change has to be known.
const TOLD: Micros = 6_000 * MS;
/// Within this after SIGHUP.
const TOLD_AFTER_MOVE: Micros = 4_000 * MS;
/// A lost watch is sought again within this.
const NEXT_ATTEMPT: Micros = 400 * MS;
/// The longest time without any look at the clock.
const LONGEST_WAIT: Micros = 2_600 * MS;
/// Connections in a second at most, whatever discovery does.
const MOST_A_SECOND: usize = 9;
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
    SpoiltOctets,
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
    Event::SpoiltOctets,
    Event::End,
    Event::Break,
    Event::ConnectRefused,
    Event::ConnectHangs,
    Event::Silence,
    Event::Move,
    Event::Tick,
];

#[derive(Clone, Copy, Debug)]
enum At {
    Due,
    Connecting,
    Asked,
    HeadSaid,
    HalfFirstList,
    Open,
    OpenIdle,
    HalfChange,
    Retry,
    AskedWhole,
}

const STATES: [At; 10] = [
    At::Due,
    At::Connecting,
    At::Asked,
    At::HeadSaid,
    At::HalfFirstList,
    At::Open,
    At::OpenIdle,
    At::HalfChange,
    At::Retry,
    At::AskedWhole,
];

/// How a connection that is still to be made fares.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Refused,
    Hangs,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Connection {
    None,
    /// Under way, and never to stand.
    Hangs,
    /// Under way.
    Coming,
    /// It stands, the whole list is asked for, and nothing was said.
    AskedWhole,
    /// It stands, and nothing was said.
    Asked(u64),
    /// The head was said.
    Begun(u64),
    /// Lists up to that version were said, whole.
    Good(u64),
    /// Something was left unfinished, or the peer has fallen silent.
    Lost,
}

struct World {
    watch: Watched,
    stream: Stream,
    now: Micros,
    connection: Connection,
    fates: VecDeque<Fate>,
    /// Discovery's own: the standing of each endpoint and the version that brought it.
    catalogue: BTreeMap<String, (Status, u64)>,
    version: u64,
    /// As the sender holds it.
    held: BTreeMap<String, Status>,
    connects: Vec<Micros>,
    next_empty_line: Micros,
    /// The form in which discovery writes each of its lists.
    form: fn(&str) -> String,
}

fn word(status: Status) -> &'static str {
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
            word(*status)
        )
    };
    let rows: Vec<String> = rows.iter().map(row).collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}", rows.join(","))
}

fn indented(line: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(line).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

impl World {
    fn new() -> Self {
        let catalogue = BTreeMap::from([("a".to_string(), (Status::Up, 1))]);
        World {
            watch: Watched::new(0, at(2)),
            stream: Stream::default(),
            now: 0,
            connection: Connection::None,
            fates: VecDeque::new(),
            catalogue,
            version: 1,
            held: BTreeMap::new(),
            connects: Vec::new(),
            next_empty_line: 0,
            form: str::to_string,
        }
    }

    /// Something changes at discovery.
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

    fn heard(&mut self, heard: Vec<DirectoryEvent>) {
        for one in heard {
            let DirectoryEvent::List(listing) = one else { continue };
            if listing.whole {
                self.held.clear();
            }
            for endpoint in listing.endpoints {
                self.held.insert(endpoint.name, endpoint.status);
            }
        }
    }

    fn say(&mut self, text: &str) {
        if matches!(self.connection, Connection::None | Connection::Hangs | Connection::Coming) {
            return;
        }
        let mut heard = Vec::new();
        let goes_on = self.watch.receive(self.now, text.as_bytes(), &mut self.stream, &mut heard);
        self.heard(heard);
        if !goes_on {
            self.connection = Connection::None;
        }
    }

    fn connected(&mut self) {
        self.stream = Stream::default();
        self.watch.connected(self.now, &mut self.stream);
        self.asked();
    }

    /// Reads what is asked.
    fn asked(&mut self) {
        let said = String::from_utf8_lossy(&self.stream.out.split()).into_owned();
        self.connection = match said.split("since=").nth(1).and_then(|t| t.split(' ').next()) {
            Some(since) => Connection::Asked(since.parse().unwrap()),
            None => {
                assert!(said.starts_with("GET /catalog/members HTTP/1.1\r\n"), "{said}");
                Connection::AskedWhole
            }
        };
    }

    /// Answers the question for the whole list.
    fn say_whole(&mut self, text: &str) {
        assert_eq!(self.connection, Connection::AskedWhole);
        self.say(&format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()));
        if self.connection != Connection::None {
            self.asked();
        }
    }

    fn ended(&mut self) {
        let mut heard = Vec::new();
        self.watch.ended(self.now, &mut heard);
        self.heard(heard);
        self.connection = Connection::None;
    }

    fn tick(&mut self) {
        let mut heard = Vec::new();
        let want = self.watch.tick(self.now, &mut heard);
        self.heard(heard);
        match want {
            ConnectionAction::Nothing => {}
            ConnectionAction::Drop => self.connection = Connection::None,
            ConnectionAction::Connect(_) => {
                self.connects.push(self.now);
                match self.fates.pop_front() {
                    None => self.connection = Connection::Coming,
                    Some(Fate::Hangs) => self.connection = Connection::Hangs,
                    Some(Fate::Refused) => {
                        self.connection = Connection::Coming;
                        self.ended();
                    }
                }
            }
        }
    }

    /// On to when the watch wants to act next.
    fn act_next(&mut self) {
        self.now = self.now.max(self.watch.wake());
        self.tick();
    }

    /// Says a list whole, in the form that `form` gives it, with all that is to be said before it.
    fn tell(&mut self, form: fn(&str) -> String) {
        let (head, since) = match self.connection {
            Connection::Asked(since) => (HEAD, since),
            Connection::Begun(since) | Connection::Good(since) => ("", since),
            Connection::Lost => {
                // Behind half a list: it can't be told from its rest.
                let text = chunk(&format!("{}\n", form(&self.changes(0))));
                return self.say(&text);
            }
            _ => return,
        };
        let text = format!("{}\n", form(&self.changes(since)));
        // In two chunks, each octet by itself where it is short.
        let (a, b) = text.split_at(text.len() / 3);
        let octets = format!("{head}{}{}", chunk(a), chunk(b));
        for piece in octets.as_bytes().chunks(7) {
            self.say(std::str::from_utf8(piece).unwrap());
        }
        if self.connection != Connection::None {
            self.connection = Connection::Good(self.version);
            self.next_empty_line = self.now + 2_000 * MS;
        }
    }

    fn half(&mut self) {
        let (head, since) = match self.connection {
            Connection::Asked(since) => (HEAD, since),
            Connection::Begun(since) | Connection::Good(since) => ("", since),
            _ => ("", 0),
        };
        self.change();
        let line = self.changes(since);
        let text = format!("{head}{}", chunk(&line[..line.len() / 2]));
        self.say(&text);
        self.lose();
    }

    fn lose(&mut self) {
        if !matches!(self.connection, Connection::None | Connection::Hangs | Connection::Coming) {
            self.connection = Connection::Lost;
        }
    }

    fn happens(&mut self, event: Event) {
        let stands = !matches!(self.connection, Connection::None | Connection::Hangs | Connection::Coming);
        match event {
            Event::Head if stands => {
                let first = matches!(self.connection, Connection::Asked(_));
                self.say(HEAD);
                match self.connection {
                    Connection::Asked(since) if first => self.connection = Connection::Begun(since),
                    _ => self.lose(),
                }
            }
            Event::EmptyLine if stands => {
                let head = if matches!(self.connection, Connection::Asked(_)) { HEAD } else { "" };
                self.say(&format!("{head}{}", chunk("\n")));
                if let Connection::Asked(since) = self.connection {
                    self.connection = Connection::Begun(since);
                }
            }
            Event::HalfList => self.half(),
            Event::WholeList => {
                self.change();
                self.tell(str::to_string);
            }
            Event::IndentedList => {
                self.change();
                self.tell(indented);
            }
            Event::SpoiltOctets if stands => {
                let head = if matches!(self.connection, Connection::Asked(_)) { HEAD } else { "" };
                self.say(&format!("{head}{}", chunk("}\u{1}{{\"]\n")));
                self.lose();
            }
            Event::End if stands => {
                let head = if matches!(self.connection, Connection::Asked(_)) { HEAD } else { "" };
                self.say(&format!("{head}{END}"));
            }
            Event::Break if self.connection != Connection::None => self.ended(),
            Event::ConnectRefused => self.fates.push_back(Fate::Refused),
            Event::ConnectHangs => self.fates.push_back(Fate::Hangs),
            Event::Silence => self.lose(),
            Event::Move => {
                self.watch.moved(self.now, at(3));
                self.connection = Connection::None;
            }
            Event::Tick => self.act_next(),
            _ => {}
        }
    }

    fn reach(&mut self, state: At) {
        if matches!(state, At::Due) {
            return;
        }
        self.tick();
        if matches!(state, At::Connecting) {
            return;
        }
        self.connected();
        match state {
            At::Asked => return,
            At::HeadSaid => return self.happens(Event::Head),
            At::HalfFirstList => return self.half(),
            _ => self.tell(str::to_string),
        }
        match state {
            At::OpenIdle => {
                self.now += 2_000 * MS;
                self.happens(Event::EmptyLine);
                self.next_empty_line = self.now + 2_000 * MS;
                self.now += 1_900 * MS;
            }
            At::HalfChange => {
                self.now += 500 * MS;
                self.half();
            }
            At::Retry => self.happens(Event::Break),
            At::AskedWhole => {
                self.change();
                let line = self.changes(self.version - 1).replacen("SERVING", "ASLEEP", 1);
                self.say(&chunk(&format!("{line}\n")));
                self.asks_whole();
            }
            _ => {}
        }
    }

    fn knows(&self) -> bool {
        let own = self.catalogue.iter().map(|(id, (status, _))| (id, *status));
        self.held.iter().map(|(id, status)| (id, *status)).eq(own)
    }

    /// Discovery serves well from now on: each connection that comes stands, and is told all that changed.
    fn serve(&mut self, until: Micros) {
        loop {
            match self.connection {
                Connection::Coming => self.connected(),
                Connection::AskedWhole => {
                    let whole = self.changes(0);
                    self.say_whole(&(self.form)(&whole));
                }
                Connection::Asked(_) | Connection::Begun(_) => self.tell(self.form),
                Connection::Good(version) if version < self.version => self.tell(self.form),
                Connection::Good(_) if self.next_empty_line <= self.now => {
                    self.say(&chunk("\n"));
                    self.next_empty_line = self.now + 2_000 * MS;
                }
                _ => {
                    let wake = self.watch.wake();
                    assert!(wake - self.now <= LONGEST_WAIT, "it waits for {} us", wake - self.now);
                    if self.connection == Connection::None {
                        assert!(wake - self.now <= NEXT_ATTEMPT, "next attempt in {} us", wake - self.now);
                    }
                    let line = match self.connection {
                        Connection::Good(_) => self.next_empty_line,
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

    fn most_in_a_second(&self) -> usize {
        let within =
            |from: Micros| self.connects.iter().filter(|c| (from..from + 1_000 * MS).contains(c)).count();
        self.connects.iter().map(|from| within(*from)).max().unwrap_or(0)
    }
}

#[test]
fn after_each_order_of_two_events_at_each_state_a_change_is_known_in_time() {
    every_order_of_two("on one line", str::to_string);
    every_order_of_two("indented", indented);
}

fn every_order_of_two(name: &str, form: fn(&str) -> String) {
    let mut wrong = Vec::new();
    let mut orders = 0;
    for state in STATES {
        for first in EVENTS {
            for second in EVENTS {
                orders += 1;
                let played = std::panic::catch_unwind(|| {
                    let mut w = World::new();
                    w.form = form;
                    w.reach(state);
                    w.happens(first);
                    w.happens(second);
                    w.change();
                    let from = w.now;
                    w.serve(from + TOLD);
                    let held = w.held.clone();
                    let known = w.knows();
                    // And it stays so, with a further change.
                    w.change();
                    w.serve(w.now + TOLD);
                    (known, w.knows(), held, w.connects.clone(), w.most_in_a_second())
                });
                match played {
                    Ok((true, true, _, _, most)) if most <= MOST_A_SECOND => {}
                    Ok(other) => wrong.push(format!("{state:?}, {first:?}, {second:?}: {other:?}")),
                    Err(_) => wrong.push(format!("{state:?}, {first:?}, {second:?}: an assertion failed")),
                }
            }
        }
    }
    assert!(
        wrong.is_empty(),
        "lists {name}: {} of {orders} orders, among them:\n{}",
        wrong.len(),
        wrong[..wrong.len().min(12)].join("\n")
    );
}

/// What a connection does to a watch, again and again.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Down {
    Refuses,
    Hangs,
    SaysNothing,
    HeadOnly,
    HalfList,
    ListAndEnd,
    Spoilt,
    Breaks,
}

const DOWN: [Down; 8] = [
    Down::Refuses,
    Down::Hangs,
    Down::SaysNothing,
    Down::HeadOnly,
    Down::HalfList,
    Down::ListAndEnd,
    Down::Spoilt,
    Down::Breaks,
];

impl World {
    fn attempt(&mut self, down: Down) {
        while self.connection == Connection::None {
            match down {
                Down::Refuses => self.fates.push_back(Fate::Refused),
                Down::Hangs => self.fates.push_back(Fate::Hangs),
                _ => {}
            }
            self.act_next();
            if down == Down::Refuses {
                return;
            }
        }
        if self.connection == Connection::Coming {
            self.connected();
            match down {
                Down::HeadOnly => self.happens(Event::Head),
                Down::HalfList => self.half(),
                Down::ListAndEnd => {
                    self.tell(str::to_string);
                    self.happens(Event::End);
                }
                Down::Spoilt => self.happens(Event::SpoiltOctets),
                Down::Breaks => self.happens(Event::Break),
                _ => {}
            }
            self.lose();
        }
        while self.connection != Connection::None {
            self.act_next();
        }
    }
}

#[test]
fn a_watch_that_falls_silent_and_two_attempts_that_fail_in_any_way_stay_within_the_time() {
    let mut wrong = Vec::new();
    for first in DOWN {
        for second in DOWN {
            let mut w = World::new();
            w.reach(At::Open);
            let fell_silent = w.now;
            w.lose();
            while w.connection != Connection::None {
                w.act_next();
            }
            w.attempt(first);
            w.attempt(second);
            w.change();
            w.serve(fell_silent + TOLD);
            if !w.knows() {
                wrong.push(format!("{first:?}, {second:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{} of {}: {wrong:?}", wrong.len(), DOWN.len() * DOWN.len());
}

#[test]
fn while_discovery_is_down_attempts_are_bounded_and_never_cease() {
    for down in DOWN {
        let mut w = World::new();
        while w.now < 30_000 * MS {
            w.attempt(down);
        }
        assert!(w.most_in_a_second() <= MOST_A_SECOND, "{down:?}: {} in a second", w.most_in_a_second());
        let gaps = w.connects.windows(2).map(|c| c[1] - c[0]);
        let longest = gaps.max().unwrap();
        assert!(longest <= LONGEST_WAIT, "{down:?}: {longest} us between two attempts");
        // And it is back in time.
        w.change();
        w.serve(w.now + TOLD_AFTER_MOVE);
        assert!(w.knows(), "{down:?}");
    }
}

#[test]
fn while_discovery_says_nothing_an_attempt_is_under_way_nearly_always() {
    // At its return what the agent gets counts at once.
    for down in [Down::Hangs, Down::SaysNothing, Down::HeadOnly] {
        let mut w = World::new();
        while w.now < 30_000 * MS {
            w.attempt(down);
            let apart = w.watch.wake() - w.now;
            assert!(apart <= 100 * MS, "{down:?}: none for {apart} us");
        }
    }
}

#[test]
fn octets_that_complete_no_line_are_no_sign_of_life() {
    // One octet of a list a second; and white space without an end of line.
    for text in [list(2, false, &[("a", Status::Draining)]), " ".repeat(300)] {
        let mut w = World::new();
        w.reach(At::Open);
        let from = w.now;
        for octet in text.chars() {
            w.now += 1_000 * MS;
            while w.connection != Connection::None && w.watch.wake() <= w.now {
                w.tick();
            }
            if w.connection == Connection::None {
                break;
            }
            w.say(&chunk(&octet.to_string()));
        }
        assert!(w.connection == Connection::None, "it lives on such octets");
        assert!(w.now - from <= 3_000 * MS, "given up after {} us", w.now - from);
    }
}

#[test]
fn an_agent_that_says_only_empty_lines_while_nothing_changes_is_followed() {
    // The first line may be the empty one that is promised every 2 s.
    let mut w = World::new();
    w.reach(At::Open);
    w.happens(Event::Break);
    let from = w.now;
    let mut stood_since = None;
    while w.now < from + 20_000 * MS {
        match w.connection {
            Connection::Coming => {
                w.connected();
                w.happens(Event::Head);
                stood_since = Some(w.now);
                w.next_empty_line = w.now + 2_000 * MS;
            }
            Connection::Begun(_) if w.next_empty_line <= w.watch.wake() => {
                w.now = w.next_empty_line;
                w.happens(Event::EmptyLine);
                w.next_empty_line = w.now + 2_000 * MS;
            }
            _ => w.act_next(),
        }
    }
    assert!(stood_since.is_some_and(|at| at < from + 3_000 * MS), "it is opened anew again and again");
}

fn version_two() -> World {
    let mut w = World::new();
    w.change();
    w.reach(At::Open);
    assert!(w.knows() && w.held["a"] == Status::Draining);
    w
}

#[test]
fn a_list_from_before_changes_nothing_and_what_is_new_behind_it_does() {
    let mut w = version_two();
    w.happens(Event::Break);
    w.act_next();
    w.connected();
    let old = list(1, true, &[("a", Status::Up)]);
    w.say(&format!("{HEAD}{}", chunk(&format!("{old}\n"))));
    assert!(w.knows(), "an old list takes back what was told: {:?}", w.held);
    // Known already, and then new.
    for version in [2, 3] {
        if version == 3 {
            w.change();
        }
        let line = w.changes(version - 1);
        w.say(&chunk(&format!("{line}\n")));
        assert!(w.knows(), "{:?}", w.held);
    }
}

#[test]
fn a_numbering_that_began_anew_is_believed_in_time() {
    for moves in [false, true] {
        let mut w = version_two();
        let from = w.now;
        w.happens(if moves { Event::Move } else { Event::Break });
        // Discovery has lost its count: another list under the first number.
        w.version = 1;
        w.catalogue = BTreeMap::from([("n".to_string(), (Status::Up, 1))]);
        let told = |full| list(1, full, &[("n", Status::Up)]);
        while !w.knows() && w.now < from + TOLD_AFTER_MOVE {
            match w.connection {
                Connection::Coming => w.connected(),
                Connection::AskedWhole => w.say_whole(&indented(&told(true))),
                Connection::Asked(since) => {
                    assert_eq!(since, 2, "the whole is asked for by itself");
                    w.say(&format!("{HEAD}{}", chunk(&format!("{}\n", told(true)))));
                    w.connection = Connection::Good(1);
                    w.next_empty_line = w.now + 2_000 * MS;
                }
                Connection::Good(_) if w.next_empty_line <= w.watch.wake() => {
                    w.now = w.next_empty_line;
                    w.say(&chunk("\n"));
                    w.next_empty_line += 2_000 * MS;
                }
                _ => w.act_next(),
            }
        }
        assert!(w.knows() && w.now - from <= TOLD_AFTER_MOVE, "{} us: {:?}", w.now - from, w.held);
        assert_eq!(w.connection, Connection::Asked(1), "and followed from there");
    }
}

#[test]
fn a_whole_list_in_the_place_of_changes_is_the_list() {
    let mut w = version_two();
    w.happens(Event::Break);
    w.act_next();
    w.connected();
    assert_eq!(w.connection, Connection::Asked(2));
    w.say(&format!("{HEAD}{}", chunk(&format!("{}\n", list(7, true, &[("z", Status::Up)])))));
    assert_eq!(w.held.keys().collect::<Vec<_>>(), ["z"]);
    w.happens(Event::Break);
    w.act_next();
    w.connected();
    assert_eq!(w.connection, Connection::Asked(7));
}

#[test]
fn the_rest_of_half_a_list_is_not_read_as_the_new_watchs() {
    let mut w = version_two();
    let line = list(3, false, &[("a", Status::Up)]);
    let (half, rest) = line.split_at(line.len() / 2);
    w.say(&chunk(half));
    w.happens(Event::Move);
    w.tick();
    w.connected();
    w.say(&format!("{HEAD}{}", chunk(&format!("{rest}\n"))));
    assert!(w.knows() && w.connection == Connection::None, "{:?}", w.held);
    w.change();
    w.serve(w.now + TOLD_AFTER_MOVE);
    assert!(w.knows());
}

#[test]
fn what_comes_on_the_old_connection_after_a_move_is_not_heard() {
    let drains = list(5, false, &[("e1", Status::Draining)]).replace("\"{\\\"}\"", "\"a\"");
    let drains = drains.replace("\"m\"", "\"one\"").replace("\"cell\":3", "\"cell\":1");
    let drains = drains.replace("127.0.0.1:9", "127.0.0.1:1001");
    let whole = format!("{HEAD}{}", chunk(&format!("{drains}\n")));
    for moves in [false, true] {
        let mut w = sender::world();
        let (old, _) = w.came(2).into_iter().find(|(_, t)| t.starts_with("GET /catalog")).unwrap();
        if moves {
            w.node.discovery_moved(w.now, at(3));
            w.pass(5 * MS);
            assert!(w.ended.contains(&old));
        }
        w.says(old, &whole);
        let c = w.client();
        w.add(c, "m1", sender::SAFE);
        w.pass(100 * MS);
        assert_eq!(w.came(1001).len(), usize::from(moves), "a drain is heard, but not on the old connection");
    }
    // One that was on its way, and comes up after the move.
    let mut w = sender::world();
    let (watch, _) = w.came(2).into_iter().find(|(_, t)| t.starts_with("GET /catalog")).unwrap();
    w.silent = Some(2);
    w.gone(watch);
    w.node.closed(w.now, watch, heronroute_engine::CloseReason::Broken);
    w.pass(500 * MS);
    let coming = w.coming.pop().expect("it connects anew");
    w.node.discovery_moved(w.now, at(3));
    w.pass(5 * MS);
    w.node.connected(w.now, coming);
    w.pass(5 * MS);
    assert!(w.came(2).is_empty(), "nothing is asked there");
    let watches: Vec<_> = w.came(3).into_iter().filter(|(_, t)| t.starts_with("GET /catalog")).collect();
    assert_eq!(watches.len(), 1);
}

fn opened_anew(w: &mut World) {
    w.happens(Event::Break);
    w.act_next();
    w.connected();
}

impl World {
    /// The watch is given up for the whole list, within a second or so.
    fn asks_whole(&mut self) {
        let from = self.now;
        while self.connection != Connection::AskedWhole {
            assert_ne!(self.connection, Connection::Lost);
            if self.connection == Connection::Coming {
                self.connected();
            } else {
                self.act_next();
            }
            assert!(self.now - from <= 1_500 * MS, "the whole is not asked for");
        }
    }
}

#[test]
fn behind_lines_that_could_not_be_read_the_whole_is_asked_for() {
    let bad = list(3, false, &[("a", Status::Up), ("c", Status::Up)]).replacen("SERVING", "ASLEEP", 1);
    let mut w = version_two();
    w.say(&chunk(&format!("{bad}\n")));
    assert!(w.held["a"] == Status::Draining && w.held["c"] == Status::Up, "{:?}", w.held);
    assert_ne!(w.connection, Connection::None, "the watch goes on");
    w.asks_whole();
    w.say_whole(&list(4, true, &[("a", Status::Up)]));
    assert_eq!((w.connection, &w.held), (Connection::Asked(4), &BTreeMap::from([("a".into(), Status::Up)])));
    // That ends it, also with a line that can't be read: a whole list stands as it is.
    opened_anew(&mut w);
    assert_eq!(w.connection, Connection::Asked(4));
    w.say(&format!("{HEAD}{}", chunk(&format!("{}\n", bad.replace("\"version\":3", "\"version\":5")))));
    w.asks_whole();
    w.say_whole(&bad.replace("\"version\":3,\"full\":false", "\"version\":5,\"full\":true"));
    for _ in 0..3 {
        assert_eq!(w.connection, Connection::Asked(5));
        w.say(&format!("{HEAD}{}", chunk("\n")));
        w.now += 1_500 * MS;
        assert!(w.watch.wake() > w.now, "it is left in peace");
        opened_anew(&mut w);
    }
    // An old whole list takes nothing back either.
    w.say(&format!("{HEAD}{}", chunk(&format!("{}\n", bad.replace("\"version\":3", "\"version\":6")))));
    w.asks_whole();
    let held = w.held.clone();
    w.say_whole(&list(1, true, &[]));
    assert_eq!((w.connection, &w.held), (Connection::Asked(6), &held));
}

#[test]
fn where_changes_or_the_whole_cannot_be_read_the_other_is_asked_for() {
    let no_list = format!("{HEAD}{}", chunk("{\"version\":9}\n"));
    let mut w = version_two();
    opened_anew(&mut w);
    w.say(&no_list);
    opened_anew(&mut w);
    // The whole is asked for behind the second, and where it can't be had the changes again, and so on.
    let mut asked = Vec::new();
    for _ in 0..20 {
        asked.push(w.connection);
        match w.connection {
            Connection::AskedWhole => w.say("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"),
            _ => w.say(&no_list),
        }
        assert_eq!(w.connection, Connection::None);
        w.act_next();
        w.connected();
    }
    assert_eq!(asked[..3], [Connection::Asked(2), Connection::AskedWhole, Connection::Asked(2)]);
    assert!(asked.iter().filter(|a| **a == Connection::AskedWhole).count() >= 4, "{asked:?}");
    assert!(asked.iter().filter(|a| **a == Connection::Asked(2)).count() >= 4, "{asked:?}");
    for broken in ["x\r\n\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", ""] {
        let mut w = version_two();
        w.say(&chunk(&format!("{}\n", list(3, false, &[("a", Status::Up)]).replace("SERVING", "?"))));
        w.asks_whole();
        w.say(broken);
        if broken.is_empty() {
            // Silence.
            w.act_next();
        }
        assert_eq!(w.connection, Connection::None, "{broken:?}");
        w.act_next();
        w.connected();
        assert_eq!(w.connection, Connection::Asked(3), "{broken:?}");
        w.say(&format!("{HEAD}{}", chunk("\n")));
        w.asks_whole();
    }
}
