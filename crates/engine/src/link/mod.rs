//! Connections to receivers, independent of the protocol.
//!
//! A link encodes calls into bytes and decodes bytes into replies. It has no time-outs of its own for calls:
//! those, and the outcome of calls that were still open when a connection ended, belong to
//! [`calls`](crate::calls). To add a protocol, add a link here and its name to the settings.

mod attribution;
mod http;
mod platform;
mod smpp;

pub use attribution::CONFIRMATION_DELAY;

use crate::Micros;
use crate::stream::Stream;
use heronroute::{Finality, LimitReport, Outcome};
use heronroute_config::{KindConfig, Protocol};
pub use heronroute_platform::call::LateAnswers;
use heronroute_smpp::server::Limits;
use heronroute_smpp::submission::Submission;

/// A message to be sent to a receiver.
pub struct OutboundMessage<'a> {
    /// The message's index in its call.
    pub part: usize,
    /// The message's identity, which is the same for each attempt.
    pub id: String,
    /// The name of the message's class (the SMPP service_type).
    pub class: &'a str,
    /// Whether the receiver drops repeats of the message. If so, it is sent with its identity as idempotency
    /// key.
    pub guarded: bool,
    /// How long its answer is waited for.
    pub wait: Micros,
    /// The client's submission.
    pub submission: &'a Submission,
}

/// A receiver's answer to a message or a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reply {
    /// How the attempt ended: done, error, or busy.
    pub outcome: Outcome,
    /// The wait that the receiver announced, 0 if none.
    pub wait: Micros,
    /// Whether the message may be sent again.
    pub finality: Finality,
    /// What the receiver reported about its limit.
    pub report: Option<LimitReport>,
}

/// An event that a link passes to the sender.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkEvent {
    /// The connection is ready for calls.
    Ready,
    /// A message of a call was answered.
    Answered {
        /// The call's number.
        call: u64,
        /// The message's index in the call.
        part: usize,
        /// The answer.
        reply: Reply,
    },
    /// A message of a call was answered, but the answer may be a second copy of an earlier one on the
    /// connection.
    AnsweredUnconfirmed {
        /// The call's number.
        call: u64,
        /// The message's index in the call.
        part: usize,
        /// The answer.
        reply: Reply,
    },
    /// The next answer is certainly the own answer of its call, and so every earlier one was.
    EarlierConfirmed,
    /// What followed the unconfirmed answers shows that the calls they were attributed to may have ended
    /// otherwise. Contains whether their messages may then be sent again.
    Contradicted(Finality),
    /// Each unconfirmed answer, including the one whose event follows, may belong to the call before its own.
    /// The connection takes no calls until they are confirmed.
    PauseUntilConfirmed,
    /// An answer has begun that belongs to no open call. The connection takes no more calls, and is kept until the answer
    /// has arrived or this time has come.
    AwaitRest(Micros),
    /// An answer that has not arrived completely announces a wait.
    WaitAnnounced(Micros),
    /// The connection takes no more calls. Answers to the calls on it are still accepted.
    NoMoreCalls,
    /// A refusal on the connection proves nothing any more, because responses may belong to earlier calls.
    RefusalsUnproven,
    /// A call was answered as delivered. Contains the digest of what tells the answer from other deliveries' answers. It
    /// precedes the answers to the call's messages.
    DeliveryDigest(u64),
    /// A probe was answered.
    Probed(Reply),
    /// The connection can't be used any more and must be closed. Contains the reason.
    Unusable(&'static str),
}

/// The protocol of one connection to a receiver.
pub trait Link: std::fmt::Debug + Send {
    /// Handles an established connection: writes the protocol's opening messages, if any.
    fn open(&mut self, now: Micros, stream: &mut Stream, events: &mut Vec<LinkEvent>);
    /// Writes a call. Returns the start and end position of each message in the stream.
    fn send(
        &mut self,
        now: Micros,
        call: u64,
        messages: &[OutboundMessage<'_>],
        stream: &mut Stream,
    ) -> Vec<(u64, u64)>;
    /// Writes a probe.
    fn probe(&mut self, now: Micros, stream: &mut Stream);
    /// Handles received bytes.
    fn receive(&mut self, now: Micros, bytes: &[u8], stream: &mut Stream, events: &mut Vec<LinkEvent>);
    /// Handles the end of the connection by the receiver.
    fn ended(&mut self, now: Micros, events: &mut Vec<LinkEvent>);
    /// Stops waiting for the answer to a message; if it arrives, it is ignored. `unsent` says that the
    /// message was never sent, so that no answer will come.
    fn forget(&mut self, call: u64, part: usize, unsent: bool);
    /// Returns whether nothing of the last request has been sent and no other request is open. Bytes received
    /// in this state answer nothing.
    fn is_request_unsent(&self, _: &Stream) -> bool {
        false
    }
    /// Returns whether a message of the open call may be sent again if its connection ends now, by the incomplete
    /// answer that has been received. `part` is the message's index in the call.
    fn finality_so_far(&self, _part: usize) -> Finality {
        Finality::Open
    }
    /// Returns the same for messages of earlier calls whose answers are unconfirmed.
    fn finality_of_earlier(&self) -> Finality {
        Finality::Open
    }
    /// Reads bytes that had arrived before this side closed the connection, and were not handled then. Returns
    /// what they say about the calls on it. `None` if the protocol has no answers that end a message for good.
    fn read_unhandled(&mut self, _bytes: &[u8]) -> Option<LateAnswers> {
        None
    }
    /// Returns the time until which what follows unconfirmed answers may tell which calls they belonged to, if
    /// there are any.
    fn unconfirmed_until(&self) -> Option<Micros> {
        None
    }
    /// Writes the protocol's closing messages, if any, before an orderly close.
    fn close(&mut self, now: Micros, stream: &mut Stream);
    /// Discards unsent bytes as far as the protocol allows stopping in the middle of a request. It is called
    /// when all calls on the connection have ended and it is about to be closed.
    fn discard_unsent(&mut self, _stream: &mut Stream) {}
    /// Returns how many bytes of memory the connection holds of what was received.
    fn held_bytes(&self) -> usize {
        0
    }
    /// Returns the time at which [`Link::tick`] must be called next.
    fn wake(&self) -> Micros;
    /// Handles the protocol's own timers.
    fn tick(&mut self, now: Micros, stream: &mut Stream, events: &mut Vec<LinkEvent>);
}

/// The maximum total size of messages that share a call, in bytes: the body limit of a call to the platform's
/// endpoints.
pub const MAX_CALL_BYTES: usize = 64 * 1024;

/// Returns how much of [`MAX_CALL_BYTES`] a message uses, or 0 if its protocol has no such limit.
pub fn size_in_call(kind: &KindConfig, submission: &Submission) -> usize {
    match kind.protocol {
        Protocol::Platform => {
            let length = |n: &Option<String>| n.as_ref().map_or(0, String::len);
            heronroute_platform::call::max_batch_entry_size(
                length(&submission.identity),
                length(&submission.key),
                submission.body.len(),
            )
        }
        Protocol::Smpp | Protocol::Http => 0,
    }
}

/// Creates a link for an endpoint of a kind. `sender` is the index of the sender that uses it.
pub fn new(kind: &KindConfig, limits: Limits, host: String, sender: usize) -> Box<dyn Link> {
    match kind.protocol {
        Protocol::Smpp => Box::new(smpp::SmppLink::new(kind, limits, sender)),
        Protocol::Http => Box::new(http::HttpLink::new(kind, host, sender)),
        Protocol::Platform => Box::new(platform::PlatformLink::new(host)),
    }
}
