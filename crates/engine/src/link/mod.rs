//! One connection to a receiver, whatever it speaks.
//!
//! A link turns calls into octets and octets into replies. It waits for nothing: time-outs, and what an end of the
//! connection proves, belong to `calls`. Adding a protocol means adding a link here and a name in the settings.

mod attribution;
mod http;
mod platform;
mod smpp;

pub use attribution::CONFIRMATION;

use crate::Micros;
use crate::stream::Stream;
use heronroute::{LimitReport, Outcome};
use heronroute_config::{KindConfig, Protocol};
use heronroute_smpp::server::Limits;
use heronroute_smpp::submission::Submission;

/// A message on its way to a receiver.
pub struct Cargo<'a> {
    /// Its place in the call.
    pub part: usize,
    /// Its identity, the same for each attempt.
    pub id: String,
    /// Its class, by service_type.
    pub class: &'a str,
    /// A repeat of it is dropped by the receiver, so it is sent with its identity as idempotency key.
    pub guarded: bool,
    /// Its answer is waited for so long.
    pub wait: Micros,
    /// What the client submitted.
    pub submission: &'a Submission,
}

/// What a receiver answered to a message or a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reply {
    /// How it ended: done, error, or busy.
    pub outcome: Outcome,
    /// The wait it told, 0 if none.
    pub wait: Micros,
    /// The message is over: no answer is owed.
    pub over: bool,
    /// What it told of its limit.
    pub report: Option<LimitReport>,
}

/// What a link hands on.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkEvent {
    /// Calls may be sent.
    Ready,
    /// A part of a call was answered.
    Answered {
        /// The call.
        call: u64,
        /// Which of its messages.
        part: usize,
        /// How.
        reply: Reply,
    },
    /// The same, by an answer that may be a second copy of an earlier one on the connection.
    AnsweredDoubtfully {
        /// The call.
        call: u64,
        /// Which of its messages.
        part: usize,
        /// How.
        reply: Reply,
    },
    /// What followed the doubtful answers shows that the calls they were taken for may have ended otherwise.
    Contradicted,
    /// The doubtful answers, the one that follows among them, may each be the one before's: no call goes there until they
    /// are believed.
    Rests,
    /// An answer that is still coming tells a wait.
    Waits(Micros),
    /// The connection takes no more calls; what is said of those that it carries still comes.
    Spent,
    /// A probe was answered.
    Probed(Reply),
    /// The connection is of no more use: close it. Says why.
    Over(&'static str),
}

/// One connection to a receiver.
pub trait Link: std::fmt::Debug + Send {
    /// The connection stands: writes what must go first.
    fn open(&mut self, now: Micros, stream: &mut Stream, events: &mut Vec<LinkEvent>);
    /// Writes a call; gives for each message where its octets begin and end in the stream.
    fn send(&mut self, now: Micros, call: u64, cargo: &[Cargo<'_>], stream: &mut Stream) -> Vec<(u64, u64)>;
    /// Writes a probe.
    fn probe(&mut self, now: Micros, stream: &mut Stream);
    /// Octets came.
    fn receive(&mut self, now: Micros, octets: &[u8], stream: &mut Stream, events: &mut Vec<LinkEvent>);
    /// The receiver closed its side.
    fn ended(&mut self, now: Micros, events: &mut Vec<LinkEvent>);
    /// Nobody waits for this answer any more; if it comes it is passed over. `unsent`: it never left, so that
    /// none will come.
    fn forget(&mut self, call: u64, part: usize, unsent: bool);
    /// What was asked last has not begun to leave, and nothing else is awaited: what can be read by now answers
    /// nothing.
    fn unbegun(&self, _: &Stream) -> bool {
        false
    }
    /// The time until which doubtful answers may be contradicted, if any came.
    fn unsettled_until(&self) -> Option<Micros> {
        None
    }
    /// Writes what must go before the connection is closed in good order.
    fn close(&mut self, now: Micros, stream: &mut Stream);
    /// All calls on the connection are over, and it is about to be closed: discards what has not left, as far as the
    /// protocol allows stopping halfway.
    fn discard_unsent(&mut self, _stream: &mut Stream) {}
    /// When [`Link::tick`] is next needed.
    fn wake(&self) -> Micros;
    /// Acts on timers of the protocol itself.
    fn tick(&mut self, now: Micros, stream: &mut Stream, events: &mut Vec<LinkEvent>);
}

/// Octets that messages which share a call have together at most: the body of a call to the platform's endpoints.
pub const MOST_OCTETS: usize = 64 * 1024;

/// What a message takes up of [`MOST_OCTETS`]; nothing where its protocol has no such bound.
pub fn size(kind: &KindConfig, submission: &Submission) -> usize {
    match kind.protocol {
        Protocol::Platform => {
            let name = |n: &Option<String>| n.as_ref().map_or(0, String::len);
            heronroute_platform::call::max_batch_entry_size(
                name(&submission.identity),
                name(&submission.key),
                submission.body.len(),
            )
        }
        Protocol::Smpp | Protocol::Http => 0,
    }
}

/// A link for a kind of destination; `sender` is which of our senders it belongs to.
pub fn new(kind: &KindConfig, limits: Limits, host: String, sender: usize) -> Box<dyn Link> {
    match kind.protocol {
        Protocol::Smpp => Box::new(smpp::SmppLink::new(kind, limits, sender)),
        Protocol::Http => Box::new(http::HttpLink::new(kind, host, sender)),
        Protocol::Platform => Box::new(platform::PlatformLink::new(host)),
    }
}
