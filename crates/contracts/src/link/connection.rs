//! A connection to a receiver, and the sender's side of it.

use super::{CallOutcome, Receiver};
use heronroute::Outcome;
use heronroute_engine::link::{Link, LinkEvent, OutboundMessage, Reply};
use heronroute_engine::{Micros, Stream};
use heronroute_smpp::submission::Submission;

/// A connection, seen from both ends.
pub struct Connection<'a> {
    /// The receiver at the other end.
    pub receiver: &'a dyn Receiver,
    /// The link.
    pub link: Box<dyn Link>,
    /// The outgoing bytes.
    pub stream: Stream,
    /// All bytes sent so far.
    pub sent: Vec<u8>,
    /// All events that the link reported.
    pub events: Vec<LinkEvent>,
    /// The current time.
    pub now: Micros,
}

impl<'a> Connection<'a> {
    /// Opens a connection.
    pub fn new(receiver: &'a dyn Receiver) -> Self {
        let (stream, sent, events) = (Stream::default(), Vec::new(), Vec::new());
        let mut w = Connection { receiver, link: receiver.link(), stream, sent, events, now: 1_000_000 };
        w.link.open(w.now, &mut w.stream, &mut w.events);
        w
    }

    /// Opens a connection that is ready for calls.
    ///
    /// # Errors
    /// If the link does not become ready.
    pub fn ready(receiver: &'a dyn Receiver) -> Result<Self, String> {
        let mut w = Connection::new(receiver);
        w.opening_reply();
        if w.events.contains(&LinkEvent::Ready) {
            return Ok(w);
        }
        Err(format!("it does not get ready: {:?}", w.events))
    }

    /// Delivers the first bytes to the receiver, and its reply to the link.
    pub fn opening_reply(&mut self) {
        let sent = self.flush();
        if let Some(bytes) = self.receiver.opening_reply(&sent) {
            self.receive(&bytes);
        }
    }

    /// Sends a call with `messages` messages. Returns the position of each in the stream.
    pub fn call(&mut self, call: u64, messages: usize) -> Vec<(u64, u64)> {
        let submission = |part| Submission {
            service: "PAY".into(),
            source: "000001".into(),
            destination: "234".into(),
            body: format!("call {call}, message {part}").into_bytes(),
            ..Submission::default()
        };
        let submissions: Vec<Submission> = (0..messages).map(submission).collect();
        let outbound = |(part, submission)| OutboundMessage {
            part,
            id: format!("{call:08}-{part}"),
            class: "PAY",
            guarded: false,
            wait: 1_000_000,
            submission,
        };
        let messages: Vec<OutboundMessage<'_>> = submissions.iter().enumerate().map(outbound).collect();
        self.link.send(self.now, call, &messages, &mut self.stream)
    }

    /// Writes all outgoing bytes, and returns them.
    pub fn flush(&mut self) -> Vec<u8> {
        let sent = self.stream.out.to_vec();
        self.stream.wrote(sent.len());
        self.sent.extend_from_slice(&sent);
        sent
    }

    /// Delivers bytes to the link.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.link.receive(self.now, bytes, &mut self.stream, &mut self.events);
    }

    /// Delivers the receiver's answers to all requests in these bytes.
    pub fn answer(&mut self, sent: &[u8], how: CallOutcome) {
        for bytes in self.receiver.answers(sent, how) {
            self.receive(&bytes);
        }
    }

    /// Returns the answered messages: call, index in the call, reply.
    pub fn answered(&self) -> Vec<(u64, usize, Reply)> {
        let answered = |e: &LinkEvent| match e {
            LinkEvent::Answered { call, part, reply }
            | LinkEvent::AnsweredUnconfirmed { call, part, reply } => Some((*call, *part, *reply)),
            _ => None,
        };
        self.events.iter().filter_map(answered).collect()
    }

    /// Returns the delivered messages by call and index, in order.
    pub fn done(&self) -> Vec<(u64, usize)> {
        let all = self.answered().into_iter().filter(|a| a.2.outcome == Outcome::Done);
        let mut done: Vec<(u64, usize)> = all.map(|a| (a.0, a.1)).collect();
        done.sort_unstable();
        done
    }

    /// Returns whether the connection can't be used any more.
    pub fn is_unusable(&self) -> bool {
        self.events.iter().any(|e| matches!(e, LinkEvent::Unusable(_)))
    }

    /// Returns whether the connection takes further calls.
    pub fn usable(&self) -> bool {
        !self.is_unusable() && !self.events.contains(&LinkEvent::NoMoreCalls)
    }
}
