//! A connection to a receiver, and the sender's part in it.

use super::{How, Receiver};
use heronroute::Outcome;
use heronroute_engine::link::{Link, LinkEvent, OutboundMessage, Reply};
use heronroute_engine::{Micros, Stream};
use heronroute_smpp::submission::Submission;

/// The connection as seen from both its ends.
pub struct Wire<'a> {
    /// Who is at its other end.
    pub receiver: &'a dyn Receiver,
    /// The link.
    pub link: Box<dyn Link>,
    /// What goes out.
    pub stream: Stream,
    /// All that has gone out.
    pub sent: Vec<u8>,
    /// All that the link has handed on.
    pub events: Vec<LinkEvent>,
    /// The time.
    pub now: Micros,
}

impl<'a> Wire<'a> {
    /// A new connection, opened.
    pub fn new(receiver: &'a dyn Receiver) -> Self {
        let (stream, sent, events) = (Stream::default(), Vec::new(), Vec::new());
        let mut w = Wire { receiver, link: receiver.link(), stream, sent, events, now: 1_000_000 };
        w.link.open(w.now, &mut w.stream, &mut w.events);
        w
    }

    /// One that takes calls.
    ///
    /// # Errors
    /// Where it does not.
    pub fn ready(receiver: &'a dyn Receiver) -> Result<Self, String> {
        let mut w = Wire::new(receiver);
        w.greet();
        if w.events.contains(&LinkEvent::Ready) {
            return Ok(w);
        }
        Err(format!("it does not get ready: {:?}", w.events))
    }

    /// The receiver hears the first octets and says its own.
    pub fn greet(&mut self) {
        let sent = self.flush();
        if let Some(octets) = self.receiver.greet(&sent) {
            self.hear(&octets);
        }
    }

    /// Sends a call of so many messages; gives where each lies in the stream.
    pub fn call(&mut self, call: u64, messages: usize) -> Vec<(u64, u64)> {
        let submission = |part| Submission {
            service: "PAY".into(),
            source: "000001".into(),
            destination: "234".into(),
            body: format!("call {call}, message {part}").into_bytes(),
            ..Submission::default()
        };
        let submissions: Vec<Submission> = (0..messages).map(submission).collect();
        let cargo = |(part, submission)| OutboundMessage {
            part,
            id: format!("{call:08}-{part}"),
            class: "PAY",
            guarded: false,
            wait: 1_000_000,
            submission,
        };
        let cargo: Vec<OutboundMessage<'_>> = submissions.iter().enumerate().map(cargo).collect();
        self.link.send(self.now, call, &cargo, &mut self.stream)
    }

    /// The system takes all that goes out; gives it.
    pub fn flush(&mut self) -> Vec<u8> {
        let sent = self.stream.out.to_vec();
        self.stream.wrote(sent.len());
        self.sent.extend_from_slice(&sent);
        sent
    }

    /// Octets come.
    pub fn hear(&mut self, octets: &[u8]) {
        self.link.receive(self.now, octets, &mut self.stream, &mut self.events);
    }

    /// The receiver answers all that was sent in these octets.
    pub fn answer(&mut self, sent: &[u8], how: How) {
        for octets in self.receiver.answers(sent, how) {
            self.hear(&octets);
        }
    }

    /// What was answered: call, message, how.
    pub fn answered(&self) -> Vec<(u64, usize, Reply)> {
        let answered = |e: &LinkEvent| match e {
            LinkEvent::Answered { call, part, reply }
            | LinkEvent::AnsweredUnconfirmed { call, part, reply } => Some((*call, *part, *reply)),
            _ => None,
        };
        self.events.iter().filter_map(answered).collect()
    }

    /// Calls and messages that were answered as done, in order of call and message.
    pub fn done(&self) -> Vec<(u64, usize)> {
        let all = self.answered().into_iter().filter(|a| a.2.outcome == Outcome::Done);
        let mut done: Vec<(u64, usize)> = all.map(|a| (a.0, a.1)).collect();
        done.sort_unstable();
        done
    }

    /// Whether the connection is of no more use.
    pub fn over(&self) -> bool {
        self.events.iter().any(|e| matches!(e, LinkEvent::Unusable(_)))
    }

    /// Whether it takes further calls.
    pub fn usable(&self) -> bool {
        !self.over() && !self.events.contains(&LinkEvent::NoMoreCalls)
    }
}
