//! A right front with one fault.

use super::Dialect;
use bytes::BytesMut;
use heronroute_engine::Micros;
use heronroute_engine::front::{
    AdmittedSession, ClientRequest, Delivery, Denied, DisconnectState, Front, RejectReason,
};
use heronroute_engine::outbox::OwedAnswer;
use heronroute_smpp::receipt::Answer;
use rusmpp_core::values::MessageState;
use std::collections::BTreeMap;

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A piece of a single octet behind another one is lost.
    LosesSmallPieces,
    /// It ends without a word.
    EndsMute,
    /// It panics at the octet 0xFD.
    Panics,
    /// A hand-in before entry is asked for.
    AsksEarly,
    /// It goes on asking after the end.
    AsksLate,
    /// The fourth hand-in is asked for twice.
    AsksTwice,
    /// A refusal is told as an acceptance.
    TakesAll,
    /// An answer that is given again is told again.
    TellsTwice,
    /// An answer to a token that was never asked is told as the one before.
    TellsAnything,
    /// It takes any number of requests.
    Greedy,
    /// A large piece is asked for to its end.
    Floods,
    /// Its room does not shrink.
    NoRoom,
    /// Its timers never fall due.
    Deaf,
    /// Half a minute after the start it ends whatever its client does.
    Impatient,
    /// It ends whenever it is asked about the time.
    Hasty,
    /// Its time is always over.
    Spins,
}

/// The front with its fault.
#[derive(Debug)]
pub struct Wrong {
    inner: Box<dyn Front>,
    fault: Fault,
    began: Micros,
    /// A hand-in, by which that fault knows one.
    hand_in: Vec<u8>,
    over: bool,
    /// What was told by token.
    told: BTreeMap<u32, Vec<u8>>,
    asked: Vec<u32>,
    room: Option<usize>,
}

/// A dialect whose fronts have a fault.
pub struct Planted<'a>(pub &'a dyn Dialect, pub Fault);

impl Wrong {
    fn is(&self, fault: Fault) -> bool {
        self.fault == fault
    }

    fn after(&mut self, octets: usize, from: usize, asks: &mut Vec<ClientRequest>) {
        if self.is(Fault::Floods) && octets > 2_000 {
            let first = asks[from..].iter().find_map(|a| match a {
                ClientRequest::Submit { submission, context, .. } => {
                    Some((submission.clone(), context.clone()))
                }
                _ => None,
            });
            asks.extend(first.into_iter().flat_map(|(submission, context)| {
                let again = move |token| ClientRequest::Submit {
                    token,
                    submission: submission.clone(),
                    context: context.clone(),
                };
                (0..40).map(again)
            }));
        }
        let hand_in = asks[from..].iter().find(|a| matches!(a, ClientRequest::Submit { .. })).cloned();
        if let Some(ask) = hand_in.filter(|_| self.is(Fault::AsksTwice) && self.asked.len() == 3) {
            asks.push(ask);
        }
        for ask in &asks[from..] {
            match ask {
                ClientRequest::Over(_) => self.over = true,
                ClientRequest::Submit { token, .. } => self.asked.push(*token),
                _ => {}
            }
        }
    }

    fn tell(&mut self, token: u32, out: &mut BytesMut, tell: impl FnOnce(&mut dyn Front, &mut BytesMut)) {
        let from = out.len();
        tell(&mut *self.inner, out);
        if out.len() > from {
            self.told.insert(token, out[from..].to_vec());
            return;
        }
        let last = self.told.values().next_back();
        let again = match self.fault {
            Fault::TellsTwice => self.told.get(&token),
            Fault::TellsAnything if !self.asked.contains(&token) => last,
            _ => None,
        };
        out.extend_from_slice(again.map_or(&[], Vec::as_slice));
    }
}

impl Front for Wrong {
    fn receive(
        &mut self,
        now: Micros,
        wall: Micros,
        octets: &[u8],
        out: &mut BytesMut,
        asks: &mut Vec<ClientRequest>,
    ) {
        assert!(!(self.is(Fault::Panics) && octets.contains(&0xFD)), "an octet that nobody thought of");
        if self.is(Fault::LosesSmallPieces) && octets.len() == 1 {
            return;
        }
        let (from, said, entered) = (asks.len(), out.len(), self.inner.entered());
        if self.is(Fault::Impatient) && now > self.began + 30_000_000 {
            asks.push(ClientRequest::Over(Some("for no reason")));
        }
        if self.is(Fault::AsksLate) && self.over {
            asks.push(ClientRequest::Query { token: 0, id: String::new(), source: String::new() });
        }
        self.inner.receive(now, wall, octets, out, asks);
        if self.is(Fault::AsksEarly) && !entered && !self.over && octets == self.hand_in {
            asks.push(ClientRequest::Query { token: 0, id: String::new(), source: String::new() });
        }
        self.after(octets.len(), from, asks);
        if self.is(Fault::EndsMute) && self.over {
            out.truncate(said);
        }
    }
    fn wake(&self) -> Micros {
        match self.fault {
            Fault::Deaf => Micros::MAX,
            Fault::Spins => 0,
            _ => self.inner.wake(),
        }
    }
    fn tick(&mut self, now: Micros, out: &mut BytesMut, asks: &mut Vec<ClientRequest>) {
        let from = asks.len();
        if self.is(Fault::Hasty) && now < self.inner.wake() {
            asks.push(ClientRequest::Over(Some("before its time")));
        }
        if !self.is(Fault::Deaf) {
            self.inner.tick(now, out, asks);
        }
        self.after(0, from, asks);
    }
    fn admitted(
        &mut self,
        now: Micros,
        token: u32,
        result: Result<AdmittedSession, Denied>,
        out: &mut BytesMut,
    ) {
        self.inner.admitted(now, token, result, out);
    }
    fn entered(&self) -> bool {
        self.inner.entered()
    }
    fn receives(&self) -> bool {
        self.inner.receives()
    }
    fn accepted(&mut self, token: u32, id: &str, out: &mut BytesMut) {
        self.tell(token, out, |f, out| f.accepted(token, id, out));
    }
    fn refused(&mut self, token: u32, no: RejectReason, out: &mut BytesMut) {
        let takes = self.is(Fault::TakesAll);
        self.tell(
            token,
            out,
            |f, out| if takes { f.accepted(token, "", out) } else { f.refused(token, no, out) },
        );
    }
    fn answered(&mut self, token: u32, id: &str, answer: Answer, out: &mut BytesMut) -> bool {
        self.inner.answered(token, id, answer, out)
    }
    fn queried(
        &mut self,
        token: u32,
        id: &str,
        state: MessageState,
        done: Option<Micros>,
        out: &mut BytesMut,
    ) {
        self.inner.queried(token, id, state, done, out);
    }
    fn told(&mut self, token: u32, text: String, state: &'static str, out: &mut BytesMut) {
        self.inner.told(token, text, state, out);
    }
    fn withdrawn(&mut self, token: u32, out: &mut BytesMut) {
        self.inner.withdrawn(token, out);
    }
    fn room(&self) -> usize {
        self.room.filter(|_| self.is(Fault::NoRoom)).unwrap_or_else(|| self.inner.room())
    }
    fn deliver(&mut self, now: Micros, owed: &OwedAnswer, out: &mut BytesMut) -> Delivery {
        self.room = self.room.or(Some(self.inner.room()));
        self.inner.deliver(now, owed, out)
    }
    fn leave(&mut self, now: Micros, out: &mut BytesMut, asks: &mut Vec<ClientRequest>) {
        self.inner.leave(now, out, asks);
    }
    fn session_taken_over(&mut self, out: &mut BytesMut) {
        self.inner.session_taken_over(out);
    }
    fn refuses(&self) -> bool {
        self.inner.refuses()
    }
    fn idle_since(&self) -> Option<Micros> {
        self.inner.idle_since()
    }
    fn listens(&self) -> bool {
        self.is(Fault::Greedy) || self.inner.listens()
    }
    fn disconnect_state(&mut self) -> DisconnectState {
        self.inner.disconnect_state()
    }
}

impl Dialect for Planted<'_> {
    fn front(&self, now: Micros) -> Box<dyn Front> {
        Box::new(Wrong {
            inner: self.0.front(now),
            fault: self.1,
            began: now,
            hand_in: self.0.hand_in(1),
            over: false,
            told: BTreeMap::new(),
            asked: Vec::new(),
            room: None,
        })
    }
    fn enter(&self) -> Option<Vec<u8>> {
        self.0.enter()
    }
    fn settle(&self) -> Vec<u8> {
        self.0.settle()
    }
    fn hand_in(&self, n: u16) -> Vec<u8> {
        self.0.hand_in(n)
    }
    fn ping(&self) -> Vec<u8> {
        self.0.ping()
    }
    fn bad(&self) -> Vec<super::Bad> {
        self.0.bad()
    }
    fn answers(&self, out: &[u8]) -> Vec<(u16, bool)> {
        self.0.answers(out)
    }
    fn acknowledge(&self, out: &[u8]) -> Vec<u8> {
        self.0.acknowledge(out)
    }
    fn at_once(&self) -> usize {
        self.0.at_once()
    }
}
