//! A correct link with one planted fault.

use super::{CallOutcome, Receiver};
use heronroute::{Finality, Outcome};
use heronroute_engine::link::{LateAnswers, Link, LinkEvent, OutboundMessage, Reply};
use heronroute_engine::{Micros, Stream};

/// The planted fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The link is ready before the receiver is.
    ReadyEarly,
    /// The answer to the fourth call is taken for the first's.
    Confuses,
    /// The answer to the third message of a call is lost.
    LosesThird,
    /// An announced wait is lost.
    NoWait,
    /// A read of a single byte is lost.
    LosesSmallPieces,
    /// Positions are counted from the last written byte, not from the start of the stream.
    Relative,
    /// A call that was withdrawn behind another one counts as open.
    KeepsUnsent,
    /// A call that was withdrawn with none before it counts as open.
    KeepsFirst,
    /// A message that is no longer waited for is answered.
    Remembers,
    /// An answer to no request is attributed to a call.
    TakesStrays,
    /// A deliver_sm_resp is attributed to the last call.
    TakesAny,
    /// The answer to a probe is attributed to a call.
    ProbeAsCall,
    /// Calls open when the receiver closes count as delivered.
    Hopeful,
    /// An unconfirmed answer is reported as certain, and its connection stays in use.
    BelievesCopies,
    /// An answer that ends a message frees it.
    ForgetsEnds,
    /// The same only where the answer may be another call's.
    ForgetsEndsInDoubt,
    /// The same only where the answer breaks off.
    ForgetsHeads,
    /// The same only where the answer lies unread as this side closes the connection.
    ForgetsUnread,
    /// A wait in an answer to an earlier call is lost.
    NoLateWait,
    /// The link panics at the byte 0xFD.
    Panics,
    /// A duplicate answer is reported again.
    Twice,
    /// The link becomes unusable at each tick.
    Hasty,
    /// The link always wants a tick at once.
    Spins,
}

const DONE: Reply = Reply { outcome: Outcome::Done, wait: 0, finality: Finality::Over, report: None };

/// A link with a planted fault.
#[derive(Debug)]
struct FaultyLink {
    inner: Box<dyn Link>,
    fault: Fault,
    calls: Vec<u64>,
    last: Option<LinkEvent>,
    heard: bool,
    is_unusable: bool,
}

/// A receiver whose links have a planted fault.
pub struct FaultyReceiver<'a>(pub &'a dyn Receiver, pub Fault);

impl FaultyLink {
    fn is(&self, fault: Fault) -> bool {
        self.fault == fault
    }

    fn spoil(&mut self, octets: &[u8], from: usize, events: &mut Vec<LinkEvent>) {
        let quiet = events.len() == from;
        for event in &mut events[from..] {
            match event {
                LinkEvent::Answered { call, .. } | LinkEvent::AnsweredUnconfirmed { call, .. }
                    if self.is(Fault::Confuses) && self.calls.get(3) == Some(call) =>
                {
                    *call = self.calls[0];
                }
                LinkEvent::Answered { reply, .. } => {
                    if self.is(Fault::NoWait) {
                        reply.wait = 0;
                    }
                    if self.is(Fault::ForgetsEnds) && reply.outcome != Outcome::Done {
                        reply.finality = Finality::Open;
                    }
                }
                LinkEvent::AnsweredUnconfirmed { reply, .. }
                    if self.is(Fault::ForgetsEndsInDoubt) && reply.outcome != Outcome::Done =>
                {
                    reply.finality = Finality::Open;
                }
                LinkEvent::AnsweredUnconfirmed { call, part, reply } if self.is(Fault::BelievesCopies) => {
                    *event = LinkEvent::Answered { call: *call, part: *part, reply: *reply };
                }
                LinkEvent::Probed(reply) if self.is(Fault::ProbeAsCall) => {
                    *event = LinkEvent::Answered { call: 0, part: 0, reply: *reply };
                }
                LinkEvent::Unusable(_) if self.is(Fault::TakesStrays) && self.calls.is_empty() => {
                    *event = LinkEvent::Answered { call: 0, part: 0, reply: DONE };
                }
                _ => {}
            }
        }
        if self.is(Fault::BelievesCopies) {
            events.retain(|e| *e != LinkEvent::NoMoreCalls);
        }
        if self.is(Fault::NoLateWait) {
            events.retain(|e| !matches!(e, LinkEvent::WaitAnnounced(_)));
        }
        if self.is(Fault::LosesThird) {
            let third = |e: &LinkEvent| matches!(e, LinkEvent::Answered { part: 2, .. });
            events.retain(|e| !third(e));
        }
        let other = octets.starts_with(&[0, 0, 0, 17, 0x80, 0, 0, 5]);
        if let Some(call) = self.calls.last().filter(|_| self.is(Fault::TakesAny) && other) {
            events.truncate(from);
            events.push(LinkEvent::Answered { call: *call, part: 0, reply: DONE });
        }
        let whole = octets.first_chunk().is_some_and(|n| u32::from_be_bytes(*n) as usize == octets.len());
        if self.is(Fault::Twice) && whole && quiet && !self.is_unusable {
            events.extend(self.last.take());
        }
        if let Some(answered) = events[from..].iter().rfind(|e| matches!(e, LinkEvent::Answered { .. })) {
            self.last = Some(answered.clone());
        }
        self.is_unusable |= events.iter().any(|e| matches!(e, LinkEvent::Unusable(_)));
    }
}

impl Link for FaultyLink {
    fn open(&mut self, now: Micros, stream: &mut Stream, events: &mut Vec<LinkEvent>) {
        self.inner.open(now, stream, events);
        if self.is(Fault::ReadyEarly) {
            events.push(LinkEvent::Ready);
        }
    }
    fn send(
        &mut self,
        now: Micros,
        call: u64,
        messages: &[OutboundMessage<'_>],
        stream: &mut Stream,
    ) -> Vec<(u64, u64)> {
        self.calls.push(call);
        let mut ranges = self.inner.send(now, call, messages, stream);
        if self.is(Fault::Relative) {
            ranges.iter_mut().for_each(|r| *r = (r.0 - stream.sent, r.1 - stream.sent));
        }
        ranges
    }
    fn probe(&mut self, now: Micros, stream: &mut Stream) {
        self.inner.probe(now, stream);
    }
    fn receive(&mut self, now: Micros, octets: &[u8], stream: &mut Stream, events: &mut Vec<LinkEvent>) {
        assert!(!(self.is(Fault::Panics) && octets.contains(&0xFD)), "an unexpected byte");
        if self.is(Fault::LosesSmallPieces) && octets.len() == 1 {
            return;
        }
        self.heard |= !octets.is_empty();
        let from = events.len();
        self.inner.receive(now, octets, stream, events);
        self.spoil(octets, from, events);
    }
    fn ended(&mut self, now: Micros, events: &mut Vec<LinkEvent>) {
        if self.is(Fault::Hopeful) && !self.heard {
            let call = self.calls.last().copied();
            events.extend(call.map(|call| LinkEvent::Answered { call, part: 0, reply: DONE }));
        }
        self.inner.ended(now, events);
    }
    fn forget(&mut self, call: u64, part: usize, unsent: bool) {
        let deaf = match (unsent, self.calls.len()) {
            (false, _) => Fault::Remembers,
            (true, 1) => Fault::KeepsFirst,
            (true, _) => Fault::KeepsUnsent,
        };
        if !self.is(deaf) {
            self.inner.forget(call, part, unsent);
        }
    }
    fn finality_so_far(&self, part: usize) -> Finality {
        if self.is(Fault::ForgetsHeads) { Finality::Open } else { self.inner.finality_so_far(part) }
    }
    fn read_unhandled(&mut self, bytes: &[u8]) -> Option<LateAnswers> {
        let mut answers = self.inner.read_unhandled(bytes)?;
        if self.is(Fault::ForgetsUnread) {
            answers.finality = Finality::Open;
        }
        Some(answers)
    }
    fn finality_of_earlier(&self) -> Finality {
        self.inner.finality_of_earlier()
    }
    fn close(&mut self, now: Micros, stream: &mut Stream) {
        self.inner.close(now, stream);
    }
    fn wake(&self) -> Micros {
        if self.is(Fault::Spins) { 0 } else { self.inner.wake() }
    }
    fn tick(&mut self, now: Micros, stream: &mut Stream, events: &mut Vec<LinkEvent>) {
        if self.is(Fault::Hasty) {
            events.push(LinkEvent::Unusable("before its time"));
        }
        self.inner.tick(now, stream, events);
    }
}

impl Receiver for FaultyReceiver<'_> {
    fn link(&self) -> Box<dyn Link> {
        let inner = self.0.link();
        Box::new(FaultyLink {
            inner,
            fault: self.1,
            calls: Vec::new(),
            last: None,
            heard: false,
            is_unusable: false,
        })
    }
    fn opening_reply(&self, sent: &[u8]) -> Option<Vec<u8>> {
        self.0.opening_reply(sent)
    }
    fn answers(&self, sent: &[u8], how: CallOutcome) -> Vec<Vec<u8>> {
        self.0.answers(sent, how)
    }
    fn unrequested_answer(&self) -> Vec<u8> {
        self.0.unrequested_answer()
    }
    fn mismatch(&self, sent: &[u8]) -> Option<Vec<u8>> {
        self.0.mismatch(sent)
    }
    fn max_open_calls(&self) -> usize {
        self.0.max_open_calls()
    }
    fn may_reorder(&self) -> bool {
        self.0.may_reorder()
    }
    fn batch(&self) -> usize {
        self.0.batch()
    }
    fn can_end_messages(&self) -> bool {
        self.0.can_end_messages()
    }
}
