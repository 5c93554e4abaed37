//! Individual tests of guards that the schedules rarely exercise.

use heronroute_fleet::{Life, Name, Start};
use heronroute_region::homes::{Homes, SLOTS};
use heronroute_region::reservations::{
    Limits, MemoryStore, Message, Options, Output, Registry, Reply, Requester, ReservationKey,
};
use heronroute_region::seam::{NameDigest, ReservationReply, ReservationRequest, ReservationResult, Token};
use heronroute_region::{List, Place, Region};
use std::sync::Arc;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn life(text: &str, start: u64) -> Life {
    Life { name: name(text), start: Start(start) }
}

fn homes(number: u64, members: &[&str]) -> Homes {
    let place = |text: &&str| Place { name: name(text), region: Region(name("east")) };
    Homes::new(&Arc::new(List::of(number, members.iter().map(place)).unwrap()))
}

/// Returns names of one slot.
fn keys(count: usize) -> Vec<ReservationKey> {
    let all =
        (0..).map(|low| ReservationKey::new("c", NameDigest { high: 1, low })).filter(|key| key.slot == 5);
    all.take(count).collect()
}

struct Home(Registry, MemoryStore, Life);

impl Home {
    fn new(text: &str, folder: u64) -> Home {
        let limits = Limits { part: 2, ..Limits::default() };
        let store = MemoryStore::default();
        Home(Registry::new(name(text), Start(folder), limits, &store), store, life(text, folder))
    }

    fn hear(&mut self, from: &Life, message: Message) -> Vec<Message> {
        self.0.handle_message(0, from, message, &|_| None);
        self.said()
    }

    fn tick(&mut self) -> Vec<Message> {
        self.0.tick(0, &|_| None);
        self.said()
    }

    fn said(&mut self) -> Vec<Message> {
        assert!(self.0.take_messages(&mut self.1).is_empty(), "said before it is durable");
        self.1.sync();
        self.0.take_messages(&mut self.1).into_iter().map(|(_, message)| message).collect()
    }

    fn ask(&mut self, by: &Life, key: ReservationKey) -> Reply {
        match self.hear(by, Message::Request { key, number: 9, until: 10 }).pop() {
            Some(Message::Reply { answer, .. }) => answer,
            other => panic!("{other:?}"),
        }
    }
}

/// Returns home `a` with five names of accepted messages, whose slot now belongs to `b`.
fn giver() -> Home {
    let mut a = Home::new("a", 1);
    (0..SLOTS as u16).for_each(|at| a.0.assume_authority(at, 1, 0));
    for key in keys(5) {
        a.hear(&life("x", 1), Message::Result { key, number: 1, until: 10, accepted: true });
    }
    a.0.set_homes(homes(1, &["b"]));
    a
}

fn about(said: Vec<Message>) -> Vec<Message> {
    let five = |one: &Message| {
        matches!(one, Message::TransferPart { slot: 5, .. } | Message::TransferAck { slot: 5, .. })
    };
    said.into_iter().filter(five).collect()
}

#[test]
fn parts_out_of_order_leave_no_gap() {
    let (mut a, mut b) = (giver(), Home::new("b", 2));
    let mut gives = about(a.tick());
    let mut seen = Vec::new();
    for round in 0..40 {
        let Some(give) = gives.pop() else { break };
        seen.push(give.clone());
        for took in about(b.hear(&a.2, give)) {
            gives.extend(about(a.hear(&b.2, took)));
        }
        if round == 2 {
            // The process of `b` restarts and receives an older part first.
            b.0 = Registry::new(name("b"), Start(2), Limits::default(), &b.1);
            let mut last = seen[2].clone();
            if let Message::TransferPart { last, after, .. } = &mut last {
                (*last, *after) = (true, Some(keys(5)[4]));
            }
            b.hear(&a.2, last);
            assert!(b.0.slot_state(5).is_none_or(|slot| !slot.has_authority), "a part is missing");
        }
    }
    assert!(b.0.slot_state(5).unwrap().has_authority);
    assert!(keys(5).into_iter().all(|key| b.ask(&life("y", 1), key) == Reply::AcceptedAt(name("x"))));
    assert_eq!(a.0.entry_count(), 0);
}

#[test]
fn the_authority_goes_only_to_the_folder_it_was_bound_to() {
    let (mut a, mut b) = (giver(), Home::new("b", 2));
    let asks = about(a.tick()).pop().unwrap();
    let took = about(b.hear(&a.2, asks.clone())).pop().unwrap();
    let bound = about(a.hear(&b.2, took)).pop().unwrap();
    // `b` loses its folder: the new folder gets neither the parts in flight nor later ones.
    let mut b = Home::new("b", 3);
    assert!(b.hear(&a.2, bound).is_empty());
    let took = about(b.hear(&a.2, asks)).pop().unwrap();
    assert!(about(a.hear(&b.2, took)).is_empty());
    assert!(b.0.slot_state(5).is_none_or(|slot| !slot.has_authority));
}

#[test]
fn no_result_is_recorded_without_the_authority() {
    let mut b = Home::new("b", 2);
    let settled = Message::Result { key: keys(1)[0], number: 1, until: 10, accepted: true };
    assert!(b.hear(&life("x", 1), settled.clone()).is_empty());
    b.0.assume_authority(5, 1, 0);
    assert_eq!(b.hear(&life("x", 1), settled).len(), 1);
    assert_eq!(b.ask(&life("y", 1), keys(1)[0]), Reply::AcceptedAt(name("x")));
}

fn reservation_request(number: u64, low: u64) -> ReservationRequest {
    let token = Token { sender: 0, number };
    ReservationRequest { token, client: "c".into(), digest: NameDigest { high: 1, low }, until: 10 }
}

fn answers(requester: &mut Requester) -> Vec<ReservationReply> {
    let reservation_reply = |life_seen| match life_seen {
        Output::Reply(_, reservation_reply) => Some(reservation_reply),
        _ => None,
    };
    requester.take_outputs().into_iter().filter_map(reservation_reply).collect()
}

#[test]
fn a_member_does_not_answer_for_lives_whose_folder_it_lost() {
    let mut requester = Requester::new(life("a", 7), Start(5), Options::default());
    let what = |of| Message::ResultQuery { key: keys(1)[0], of, number: 1 };
    requester.handle_message(&name("b"), what(life("a", 4)));
    assert!(requester.take_outputs().is_empty());
    requester.handle_message(&name("b"), what(life("a", 5)));
    assert_eq!(requester.take_outputs().len(), 1);
}

#[test]
fn a_requester_is_bounded_and_requests_a_name_once() {
    let mut requester = Requester::new(life("a", 1), Start(1), Options { max_open: 2, ..Options::default() });
    let unsettled = ReservationReply::Unsettled { retry_after: Options::default().retry_after };
    requester.request(0, &reservation_request(1, 1));
    requester.request(0, &reservation_request(2, 1));
    assert_eq!(answers(&mut requester), vec![unsettled.clone()]);
    requester.request(0, &reservation_request(3, 2));
    requester.request(0, &reservation_request(4, 3));
    assert_eq!(answers(&mut requester), vec![unsettled]);
}

#[test]
fn the_first_result_of_a_reservation_is_final() {
    let mut requester = Requester::new(life("a", 1), Start(1), Options::default());
    requester.set_homes(homes(1, &["b"]));
    requester.request(0, &reservation_request(1, 1));
    let key = ReservationKey::new("c", NameDigest { high: 1, low: 1 });
    requester.handle_message(&name("b"), Message::Reply { key, number: 1, answer: Reply::New });
    let token = reservation_request(1, 1).token;
    requester.handle_result(1, ReservationResult { token, accepted: true });
    requester.handle_result(2, ReservationResult { token, accepted: false });
    requester.tick(1_000_000);
    let told =
        |life_seen: &Output| matches!(life_seen, Output::Send(_, Message::Result { accepted: false, .. }));
    assert!(!requester.take_outputs().iter().any(told));
}
