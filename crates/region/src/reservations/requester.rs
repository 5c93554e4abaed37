//! The requesting side of reservations: the member at which messages with names are submitted.

use super::{Message, Reply, ReservationKey};
use crate::Micros;
use crate::homes::Homes;
use crate::seam::{ReservationReply, ReservationRequest, ReservationResult, Token};
use heronroute_fleet::{Life, Name, Start};
use std::collections::{BTreeMap, HashMap};

/// Settings of a [`Requester`]; times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How long a reply of the home is waited for.
    pub reply_timeout: Micros,
    /// The interval between repetitions of a message.
    pub resend_interval: Micros,
    /// The retry delay returned to clients.
    pub retry_after: Micros,
    /// The maximum number of reservations that are open or whose result is not yet recorded by their home.
    /// Beyond it a request is answered with `Unsettled` without asking the home: no open reservation is
    /// dropped.
    pub max_open: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            reply_timeout: 300_000,
            resend_interval: 100_000,
            retry_after: 1_000_000,
            max_open: 100_000,
        }
    }
}

/// An output of a [`Requester`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send to a member; if it is this member, pass to its own [`super::Registry`].
    Send(Name, Message),
    /// Reply to the node that requested the reservation.
    Reply(Token, ReservationReply),
    /// Look up whether the journals of this folder, or the copy of that life that was taken over, have the
    /// name. Answer with [`Message::ResultReply`] to `asks` once they are completely read; do not answer
    /// for a life of which neither is here.
    LookUp { asks: Name, key: ReservationKey, of: Life, number: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The home was asked; its reply is awaited until this time.
    AwaitingReply(Micros),
    /// The node may accept the message and has not reported the result yet.
    AwaitingResult,
    /// The node reported whether it accepted the message.
    ResultKnown(bool),
}

#[derive(Clone, Debug)]
struct Reservation {
    token: Token,
    key: ReservationKey,
    until: Micros,
    state: State,
}

/// The reservations requested by one life.
pub struct Requester {
    own_life: Life,
    first_life: Start,
    options: Options,
    homes: Homes,
    number: u64,
    reservations: HashMap<u64, Reservation>,
    numbers_by_key: HashMap<ReservationKey, u64>,
    numbers_by_token: HashMap<Token, u64>,
    /// The times at which reservations need attention.
    due: BTreeMap<(Micros, u64), ()>,
    outputs: Vec<Output>,
}

impl Requester {
    /// Returns the requester of a life. `first_life` is the first life of this folder; this member knows
    /// nothing about lives before it.
    pub fn new(own_life: Life, first_life: Start, options: Options) -> Requester {
        Requester {
            own_life,
            first_life,
            options,
            homes: Homes::default(),
            number: 0,
            reservations: HashMap::new(),
            numbers_by_key: HashMap::new(),
            numbers_by_token: HashMap::new(),
            due: BTreeMap::new(),
            outputs: Vec::new(),
        }
    }

    /// Sets a new list; open reservations are sent to their new homes when they are next due.
    pub fn set_homes(&mut self, homes: Homes) {
        self.homes = homes;
    }

    /// Handles a node's request. A name with an open reservation here is unsettled.
    pub fn request(&mut self, now: Micros, request: &ReservationRequest) {
        let key = ReservationKey::new(&request.client, request.digest);
        let known =
            self.numbers_by_key.contains_key(&key) || self.numbers_by_token.contains_key(&request.token);
        if known || self.reservations.len() >= self.options.max_open {
            return self
                .reply(request.token, ReservationReply::Unsettled { retry_after: self.options.retry_after });
        }
        self.number += 1;
        let state = State::AwaitingReply(now.saturating_add(self.options.reply_timeout));
        let reservation = Reservation { token: request.token, key, until: request.until, state };
        self.reservations.insert(self.number, reservation);
        self.numbers_by_key.insert(key, self.number);
        self.numbers_by_token.insert(request.token, self.number);
        self.due.insert((now, self.number), ());
        self.tick(now);
    }

    /// Handles a node's result of a reservation that was answered with `New` or `Unreached`; each of these
    /// needs a result.
    pub fn handle_result(&mut self, now: Micros, result: ReservationResult) {
        let Some(number) = self.numbers_by_token.get(&result.token).copied() else { return };
        if let Some(reservation) = self.reservations.get_mut(&number)
            && reservation.state == State::AwaitingResult
        {
            reservation.state = State::ResultKnown(result.accepted);
            self.due.insert((now, number), ());
        }
        self.tick(now);
    }

    /// Handles a message of a member.
    pub fn handle_message(&mut self, from: &Name, message: Message) {
        match message {
            Message::Reply { key, number, answer } => self.handle_reply(key, number, answer),
            Message::ResultRecorded { key, number } => {
                let awaits_record = |reservation: &Reservation| {
                    reservation.key == key && matches!(reservation.state, State::ResultKnown(_))
                };
                if self.reservations.get(&number).is_some_and(awaits_record) {
                    self.remove(number);
                }
            }
            // An open reservation will be reported; one that is not open is over, and the journals know its
            // result.
            Message::ResultQuery { key, of, number } => {
                let is_own_member = of.name == self.own_life.name;
                if (of == self.own_life && self.reservations.contains_key(&number))
                    || (is_own_member && of.start < self.first_life)
                {
                    return;
                }
                self.outputs.push(Output::LookUp { asks: from.clone(), key, of, number });
            }
            _ => {}
        }
    }

    /// Handles all reservations that are due.
    pub fn tick(&mut self, now: Micros) {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, number), ()) = entry.remove_entry();
            self.advance(now, number);
        }
    }

    /// Returns the next time at which [`Requester::tick`] has something to do.
    pub fn next(&self) -> Option<Micros> {
        self.due.first_key_value().map(|((at, _), ())| *at)
    }

    /// Returns the outputs since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    fn advance(&mut self, now: Micros, number: u64) {
        let Some(reservation) = self.reservations.get_mut(&number) else { return };
        let (token, key, until) = (reservation.token, reservation.key, reservation.until);
        let message = match reservation.state {
            State::AwaitingResult => return,
            State::AwaitingReply(timeout) if now >= timeout => {
                reservation.state = State::AwaitingResult;
                return self
                    .reply(token, ReservationReply::Unreached { retry_after: self.options.retry_after });
            }
            State::AwaitingReply(_) => Message::Request { key, number, until },
            State::ResultKnown(accepted) => Message::Result { key, number, until, accepted },
        };
        if let Some(home) = self.homes.home(key.hash).cloned() {
            self.outputs.push(Output::Send(home, message));
        }
        self.due.insert((now.saturating_add(self.options.resend_interval.max(1)), number), ());
    }

    fn handle_reply(&mut self, key: ReservationKey, number: u64, answer: Reply) {
        let retry_after = self.options.retry_after;
        let Some(reservation) = self.reservations.get_mut(&number) else { return };
        // A reply that arrives after `Unreached` is ignored: the node has already decided by itself.
        if reservation.key != key || !matches!(reservation.state, State::AwaitingReply(_)) {
            return;
        }
        let token = reservation.token;
        let reply = match answer {
            Reply::New => ReservationReply::New,
            Reply::AcceptedAt(at) => ReservationReply::AcceptedAt { at },
            Reply::Unsettled => ReservationReply::Unsettled { retry_after },
        };
        match reply {
            ReservationReply::New => reservation.state = State::AwaitingResult,
            _ => self.remove(number),
        }
        self.reply(token, reply);
    }

    fn remove(&mut self, number: u64) {
        if let Some(reservation) = self.reservations.remove(&number) {
            self.numbers_by_key.remove(&reservation.key);
            self.numbers_by_token.remove(&reservation.token);
        }
    }

    fn reply(&mut self, token: Token, reply: ReservationReply) {
        self.outputs.push(Output::Reply(token, reply));
    }
}
