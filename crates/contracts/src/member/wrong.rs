//! A right member with one fault.

use super::{Joining, Real};
use heronroute_fleet::{Decided, Entry, Kind, Life, Micros, Request, Start};
use heronroute_installation::seam::{Input, Member, Output};

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An answer is given twice.
    Twice,
    /// Who asks for what does not exist hears nothing.
    Mute,
    /// Answers wait for the next tick.
    Later,
    /// Octets that begin with a small number are taken for a decision.
    Trusts,
    /// It never says when to wake it.
    Sleeps,
    /// It wants to be woken now, always.
    Spins,
    /// A link has it send a thousand messages.
    Floods,
}

/// The member with its fault.
pub struct Planted(pub Fault);

impl Joining for Planted {
    fn start(&self, of: usize) -> Box<dyn Member> {
        Box::new(Wrong { inner: Real.start(of), fault: self.0, later: Vec::new() })
    }
}

struct Wrong {
    inner: Box<dyn Member>,
    fault: Fault,
    later: Vec<Output>,
}

impl Member for Wrong {
    fn handle(&mut self, now: Micros, wall: Micros, input: Input, out: &mut Vec<Output>) {
        if input == Input::Tick {
            out.append(&mut self.later);
        }
        let (linked, mute) = (
            matches!(input, Input::Linked { .. }),
            matches!(&input, Input::ClientRequest(a) if a.words.len() < 2),
        );
        let small = matches!(&input, Input::Message { payload, .. } if payload.len() < 200 && payload.first().is_some_and(|o| *o < 3));
        let mut all = Vec::new();
        self.inner.handle(now, wall, input, &mut all);
        match self.fault {
            Fault::Twice => {
                let again: Vec<Output> =
                    all.iter().filter(|o| matches!(o, Output::Told(_))).cloned().collect();
                all.extend(again);
            }
            Fault::Mute if mute => all.retain(|o| !matches!(o, Output::Told(_))),
            Fault::Later => {
                let (told, rest): (Vec<_>, Vec<_>) =
                    all.into_iter().partition(|o| matches!(o, Output::Told(_)));
                self.later.extend(told);
                all = rest;
            }
            Fault::Trusts if small => {
                let from = Life { name: super::name(1), start: Start(1) };
                let entry = Entry { request: Request { from, number: 1 }, wall, body: Vec::new() };
                all.push(Output::Decided(Decided { index: 1, entry }));
            }
            Fault::Sleeps => all.retain(|o| !matches!(o, Output::Wake(_))),
            Fault::Spins => all.push(Output::Wake(now)),
            Fault::Floods if linked => {
                let send = Output::Send { peer: 1, kind: Kind::Gossip, payload: vec![1] };
                all.extend(std::iter::repeat_n(send, 1_000));
            }
            _ => {}
        }
        out.append(&mut all);
    }
}
