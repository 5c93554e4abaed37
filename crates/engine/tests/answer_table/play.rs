//! A call that is answered, and all that the sender does with its messages afterwards.

use crate::answer::Answer;
use crate::sender::*;
use crate::table::{EITHER, History};
use heronroute_engine::{CloseReason, ConnId};
use std::collections::BTreeSet;

/// The time of a message.
pub const DEADLINE: i64 = 2_500 * MS;
/// The first OK on a connection and its copies.
const COPIED: &str = OK;

/// How all further calls are answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Further {
    Deliver,
    /// As turned away.
    Refuse,
}

/// One call, its answer, and all that follows.
pub struct Play {
    pub harness: Harness,
    port: u16,
    pub ids: Vec<&'static str>,
    further_answers: Further,
    /// The connection of the call, its answer's time, and whether it has been answered.
    pub call: Option<(ConnId, i64)>,
    is_out: bool,
    /// The times of further calls, by message.
    pub further: Vec<Vec<i64>>,
    /// The places of the messages that a further call has delivered.
    pub delivered: BTreeSet<usize>,
    notices: String,
    answers: u32,
    pub label: String,
}

impl Play {
    pub fn new(several: bool, further_answers: Further, label: String) -> Self {
        let (port, ids) = if several { (1002, vec!["m0", "m1"]) } else { (1001, vec!["m0"]) };
        Play {
            harness: new_harness(),
            port,
            further: vec![Vec::new(); ids.len()],
            ids,
            further_answers,
            call: None,
            is_out: false,
            delivered: BTreeSet::new(),
            notices: String::new(),
            answers: 0,
            label,
        }
    }

    /// The fields of a message of a class with a time.
    fn pairs(&self, class: &str, time: i64) -> String {
        format!("c={class},t=t,d={},k=abc,dest={}", time / MS, self.port - 1_000)
    }

    /// Sets up the connection's history, and submits the messages. Returns the connection of their call.
    pub fn call_after(&mut self, history: History, class: &str) -> ConnId {
        let client = self.harness.connect_client();
        let answers = match history {
            History::Fresh => vec![],
            History::Used => vec!["HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nused"],
            History::Doubtful | History::DoubtfulNow => vec![COPIED, COPIED],
            History::CopyBefore(_) => vec![COPIED],
        };
        let mut used = None;
        for (count, answer) in answers.iter().enumerate() {
            let pairs = self.pairs("safe", DEADLINE);
            self.harness.submit(client, &format!("before-{count}"), &pairs);
            let (conn, _) = self.harness.take_received(self.port).remove(0);
            self.harness.peer_sends(conn, answer);
            used = Some(conn);
        }
        self.harness.advance(if history == History::Doubtful { 600 * MS } else { 20 * MS });
        let conn = self.submit_together(client, class, &[DEADLINE, DEADLINE]);
        assert!(used.is_none_or(|used| used == conn), "{}: another connection", self.label);
        conn
    }

    /// Submits the messages with these times. Returns the connection of their call.
    pub fn submit_together(&mut self, client: ConnId, class: &str, times: &[i64]) -> ConnId {
        let commands = self.ids.iter().zip(times).map(|(id, time)| {
            let pairs = self.pairs(class, *time);
            out_add_command(id, &pairs, "body")
        });
        let text: String = commands.collect();
        self.harness.node.received(self.harness.now, client, text.as_bytes());
        self.harness.advance(5 * MS);
        let (conn, text) = self.harness.take_received(self.port).remove(0);
        assert!(self.ids.iter().all(|id| text.contains(id)), "{}: {text}", self.label);
        self.is_out = true;
        conn
    }

    /// Writes the call's own answer, if its connection is still open. Returns whether it is.
    pub fn answer(&mut self, conn: ConnId, history: History, answer: Answer) -> bool {
        if let History::CopyBefore(span) = history {
            if span > 0 {
                self.peer_sends(conn, COPIED);
                self.advance(span);
            }
            let together = if span == 0 { COPIED } else { "" };
            return self.write_answer(conn, &format!("{together}{}", answer.text(&self.ids)), answer);
        }
        self.write_answer(conn, &answer.text(&self.ids), answer)
    }

    pub fn write_answer(&mut self, conn: ConnId, text: &str, answer: Answer) -> bool {
        if !self.harness.node_connections.contains_key(&conn) {
            return false;
        }
        self.call = Some((conn, self.harness.now));
        self.is_out = answer == Answer::Nothing;
        self.peer_sends(conn, text);
        if answer.ends_connection() && self.harness.node_connections.contains_key(&conn) {
            let now = self.harness.now;
            let reason = if answer == Answer::Reset { CloseReason::Broken } else { CloseReason::Ended };
            self.harness.node.closed(now, conn, reason);
            if self.harness.node_connections.contains_key(&conn) {
                self.harness.connection_closed(conn);
            }
            self.advance(5 * MS);
        }
        true
    }

    pub fn peer_sends(&mut self, conn: ConnId, text: &str) {
        self.harness.node.received(self.harness.now, conn, text.as_bytes());
        self.advance(5 * MS);
    }

    pub fn restart(self) -> Self {
        let harness = self.harness.restart();
        Play { harness, is_out: false, ..self }
    }

    /// Advances the clock; answers further calls and notices.
    pub fn advance(&mut self, span: i64) {
        let end = self.harness.now + span;
        while self.harness.now < end {
            self.harness.advance(5 * MS);
            for (conn, text) in self.harness.take_received(self.port) {
                self.take_further_call(conn, &text);
            }
            for (conn, text) in self.harness.take_received(2) {
                if text.starts_with("POST") {
                    self.notices += &text;
                    self.harness.peer_sends(conn, NO_CONTENT);
                }
            }
        }
    }

    pub fn take_further_call(&mut self, conn: ConnId, text: &str) {
        let first = self.call.map(|(conn, _)| conn);
        let is_out =
            first.is_some_and(|first| self.is_out && self.harness.node_connections.contains_key(&first));
        let mut called = Vec::new();
        for (place, id) in self.ids.iter().enumerate().filter(|(_, id)| text.contains(*id)) {
            assert!(!is_out, "{}: {id} is out on two open connections", self.label);
            self.further[place].push(self.harness.now);
            if self.further_answers == Further::Deliver {
                self.delivered.insert(place);
            }
            called.push(*id);
        }
        self.answers += 1;
        let answer = match self.further_answers {
            Further::Deliver if text.starts_with("POST /inbox/bulk") => Answer::List("ok").text(&called),
            Further::Deliver => {
                let body = format!("{:04}", self.answers);
                format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n{body}")
            }
            Further::Refuse => Answer::Unavailable.text(&called),
        };
        self.harness.peer_sends(conn, &answer);
    }

    pub fn notice_states(&self, id: &str) -> BTreeSet<&'static str> {
        let of = |state: &&&str| {
            self.notices.contains(&format!(r#""id":"{id}","state":"{state}""#))
                || self
                    .notices
                    .lines()
                    .any(|line| line.contains(&format!(r#""id":"{id}""#)) && line.contains(**state))
        };
        EITHER.iter().filter(of).copied().collect()
    }
}
