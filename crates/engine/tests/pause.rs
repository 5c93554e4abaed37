//! A node whose process was paused, beside one whose disk is slow: the first refuses nothing for it, the second sheds.

use bytes::BytesMut;
use heronroute_config::parse;
use heronroute_engine::front::Speaks;
use heronroute_engine::{ConnId, Node, Output, Start};
use heronroute_journal::{JournalState, Usage};
use heronroute_smpp::client::{Event, Session};
use heronroute_smpp::server::{Limits, Mode};
use heronroute_smpp::submission::{ReceiptRequest, Submission};
use rusmpp_core::CommandStatus;
use std::sync::Arc;

const LIMITS: Limits = Limits {
    session_init: 1 << 40,
    enquire_every: 1 << 40,
    inactivity: 1 << 40,
    response: 1 << 40,
    window: 100,
    max_pdu: 70_000,
};
const MS: i64 = 1_000;
/// What the journal may lag, in these settings.
const LAG: i64 = 1_000 * MS;

struct Rig {
    node: Node,
    conn: ConnId,
    session: Session,
    /// Entries handed over, and of them durable.
    handed: u64,
}

impl Rig {
    /// With one message handed in, on its way to the disk at nought.
    fn new() -> Self {
        let text = "service { quantum: \"0s\" } smpp { enquire_every: \"1h\" inactivity: \"8h\" } \
            client { system_id: \"c\" password: \"p\" } journal { most_lag: \"1s\" } \
            class { name: \"PAY\" effect: \"free\" deadline: \"1h\" } \
            kind { name: \"k\" protocol: \"http\" } route { destination: 1 }";
        let state = Some(JournalState::default());
        let start =
            Start { index: 0, seed: 3, now: 0, wall: 1 << 50, list: 0, kept: None, state, fleet: false };
        let mut node = Node::new(Arc::new(parse("test", text).unwrap()), start).unwrap();
        let mut out = BytesMut::new();
        let session = Session::bind(0, LIMITS, Mode::Transceiver, "c", "p", &mut out);
        let conn = node.accepted(0, Speaks::Smpp, &out).unwrap();
        let mut rig = Rig { node, conn, session, handed: 0 };
        rig.hear(0);
        rig.hand_in(0);
        assert!(rig.handed > 0 && rig.hear(0).is_empty(), "accepted, and not told before it is durable");
        rig
    }

    fn settle(&mut self, now: i64) {
        self.node.settle(now);
        for output in self.node.outputs() {
            if let Output::Journal(entries) = output {
                self.handed += entries.len() as u64;
            }
        }
    }

    /// What lay in its socket is read, and the turn ends.
    fn hand_in(&mut self, now: i64) {
        let s = Submission {
            service: "PAY".into(),
            destination: "234".into(),
            wanted: ReceiptRequest::Never,
            body: b"pay".to_vec(),
            ..Submission::default()
        };
        let mut out = BytesMut::new();
        self.session.request(now, s.submit(None), &mut out);
        self.node.received(now, self.conn, &out);
        self.settle(now);
    }

    /// What the client is told.
    fn hear(&mut self, now: i64) -> Vec<CommandStatus> {
        let octets = self.node.pending(self.conn).to_vec();
        self.node.wrote(self.conn, octets.len());
        let (mut out, mut events) = (BytesMut::new(), Vec::new());
        self.session.receive(now, &octets, &mut out, &mut events);
        let each = |e| if let Event::Response { status, .. } = e { Some(status) } else { None };
        events.into_iter().filter_map(each).collect()
    }

    fn durable(&mut self, now: i64) {
        self.node.durable(now, self.handed, Usage::default());
        self.settle(now);
    }

    /// The process runs, and nothing comes: it is called when it asks to be, `late` after that.
    fn idle(&mut self, to: i64, late: i64) {
        while let Some(at) = self.node.wake().map(|at| at + late).filter(|at| *at <= to) {
            self.settle(at);
        }
    }
}

#[test]
fn what_lay_in_the_sockets_during_a_pause_is_taken_on() {
    let mut rig = Rig::new();
    rig.idle(100 * MS, 0);
    let awake = 100 * MS + 2_300 * MS;
    // Read before word of the disk, which may come later in the same turn or the next.
    rig.hand_in(awake);
    rig.hand_in(awake + MS);
    assert_eq!(rig.hear(awake), [], "neither refused, nor told before it is durable");
    rig.durable(awake + 2 * MS);
    assert_eq!(rig.hear(awake), [CommandStatus::EsmeRok; 3]);
    // Paused between a look and reading.
    rig.hand_in(awake + 10 * MS);
    rig.settle(awake + 5_000 * MS);
    rig.hand_in(awake + 5_001 * MS);
    rig.durable(awake + 5_002 * MS);
    assert_eq!(rig.hear(awake + 5_002 * MS), [CommandStatus::EsmeRok; 2]);
}

#[test]
fn a_slow_disk_sheds_also_where_the_node_is_idle_and_called_late() {
    for late in [0, 20 * MS, 90 * MS] {
        let mut rig = Rig::new();
        rig.idle(LAG - 200 * MS, late);
        rig.hand_in(LAG - 200 * MS);
        assert_eq!(rig.hear(0), [], "not slow enough, called {late} late");
        rig.idle(LAG, late);
        rig.hand_in(LAG);
        assert_eq!(rig.hear(0), [CommandStatus::EsmeRmsgqful], "called {late} late");
    }
}

#[test]
fn a_disk_that_is_slow_after_a_pause_sheds_a_lag_later() {
    let mut rig = Rig::new();
    let awake = 10_000 * MS;
    rig.settle(awake);
    rig.idle(awake + LAG / 2, 0);
    rig.hand_in(awake + LAG / 2);
    assert_eq!(rig.hear(0), []);
    rig.idle(awake + LAG, 0);
    rig.hand_in(awake + LAG);
    assert_eq!(rig.hear(0), [CommandStatus::EsmeRmsgqful]);
    // And takes on again once the disk is done.
    rig.durable(awake + LAG + MS);
    rig.hand_in(awake + LAG + 2 * MS);
    rig.durable(awake + LAG + 3 * MS);
    assert_eq!(rig.hear(0), [CommandStatus::EsmeRok; 3]);
}

#[test]
fn a_node_that_waits_for_no_disk_is_not_called_for_it() {
    let mut rig = Rig::new();
    rig.durable(MS);
    rig.hear(MS);
    // What else it waits for: the message's deadline, and sessions that are asked whether they live.
    let before = rig.node.wake();
    rig.settle(2 * MS);
    assert!(before.is_none_or(|at| at > LAG), "{before:?}");
}
