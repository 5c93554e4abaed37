//! Tests with a paused process and with a slow disk: a node must not refuse messages because it was paused,
//! but must shed them when its disk is slow.

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
/// The journal lag from which the node sheds messages (`most_lag` in the settings).
const LAG_LIMIT: i64 = 1_000 * MS;

/// A node with one SMPP client and a journal that becomes durable only when a test says so.
struct Harness {
    node: Node,
    conn: ConnId,
    session: Session,
    /// Entries that the node passed to the journal.
    journalled: u64,
}

impl Harness {
    /// Starts a node with one submitted message, whose entries are passed to the journal at time 0.
    fn new() -> Self {
        let text = "service { quantum: \"0s\" } smpp { enquire_every: \"1h\" inactivity: \"8h\" } \
            client { system_id: \"c\" password: \"p\" } journal { most_lag: \"1s\" } \
            class { name: \"PAY\" effect: \"free\" deadline: \"1h\" } \
            kind { name: \"k\" protocol: \"http\" } route { destination: 1 }";
        let state = Some(JournalState::default());
        let start = Start {
            index: 0,
            seed: 3,
            now: 0,
            wall: 1 << 50,
            list: 0,
            kept: None,
            state,
            journal_usage: Usage::default(),
            fleet: false,
        };
        let mut node = Node::new(Arc::new(parse("test", text).unwrap()), start).unwrap();
        let mut output = BytesMut::new();
        let session = Session::bind(0, LIMITS, Mode::Transceiver, "c", "p", &mut output);
        let conn = node.accepted(0, Speaks::Smpp, &output).unwrap();
        let mut harness = Harness { node, conn, session, journalled: 0 };
        harness.take_responses(0);
        harness.submit_message(0);
        assert!(
            harness.journalled > 0 && harness.take_responses(0).is_empty(),
            "must be accepted, and not answered before it is durable"
        );
        harness
    }

    /// Runs one turn of the node, and counts its journal entries.
    fn settle(&mut self, now: i64) {
        self.node.settle(now);
        for output in self.node.outputs() {
            if let Output::Journal(entries) = output {
                self.journalled += entries.len() as u64;
            }
        }
    }

    /// Reads one submission from the client's socket, and ends the turn.
    fn submit_message(&mut self, now: i64) {
        let submission = Submission {
            service: "PAY".into(),
            destination: "234".into(),
            wanted: ReceiptRequest::Never,
            body: b"pay".to_vec(),
            ..Submission::default()
        };
        let mut output = BytesMut::new();
        self.session.request(now, submission.submit(None), &mut output);
        self.node.received(now, self.conn, &output);
        self.settle(now);
    }

    /// Returns the status of each response that the client received.
    fn take_responses(&mut self, now: i64) -> Vec<CommandStatus> {
        let bytes = self.node.pending(self.conn).to_vec();
        self.node.wrote(self.conn, bytes.len());
        let (mut output, mut events) = (BytesMut::new(), Vec::new());
        self.session.receive(now, &bytes, &mut output, &mut events);
        let response_status =
            |event| if let Event::Response { status, .. } = event { Some(status) } else { None };
        events.into_iter().filter_map(response_status).collect()
    }

    /// Reports all entries as durable.
    fn mark_durable(&mut self, now: i64) {
        self.node.durable(now, self.journalled, Usage::default());
        self.settle(now);
    }

    /// Runs an idle process: the node is called `late` after each of its wake times.
    fn run_idle(&mut self, until: i64, late: i64) {
        while let Some(at) = self.node.wake().map(|at| at + late).filter(|at| *at <= until) {
            self.settle(at);
        }
    }
}

/// Guards against refusals after a pause of the process: the time of the pause must not count as a lag of the
/// disk.
#[test]
fn messages_received_during_a_pause_are_accepted() {
    let mut harness = Harness::new();
    harness.run_idle(100 * MS, 0);
    let resumed_at = 100 * MS + 2_300 * MS;
    // Read before the node learns of durable entries, which may be later in the same turn or in the next one.
    harness.submit_message(resumed_at);
    harness.submit_message(resumed_at + MS);
    assert_eq!(
        harness.take_responses(resumed_at),
        [],
        "must be neither refused, nor answered before it is durable"
    );
    harness.mark_durable(resumed_at + 2 * MS);
    assert_eq!(harness.take_responses(resumed_at), [CommandStatus::EsmeRok; 3]);
    // The process is paused between a settle and reading from the socket.
    harness.submit_message(resumed_at + 10 * MS);
    harness.settle(resumed_at + 5_000 * MS);
    harness.submit_message(resumed_at + 5_001 * MS);
    harness.mark_durable(resumed_at + 5_002 * MS);
    assert_eq!(harness.take_responses(resumed_at + 5_002 * MS), [CommandStatus::EsmeRok; 2]);
}

/// Guards against a slow disk that isn't noticed because an idle node is called late.
#[test]
fn a_slow_disk_sheds_messages_even_if_an_idle_node_is_called_late() {
    for late in [0, 20 * MS, 90 * MS] {
        let mut harness = Harness::new();
        harness.run_idle(LAG_LIMIT - 200 * MS, late);
        harness.submit_message(LAG_LIMIT - 200 * MS);
        assert_eq!(harness.take_responses(0), [], "the lag is still below the limit, called {late} us late");
        harness.run_idle(LAG_LIMIT, late);
        harness.submit_message(LAG_LIMIT);
        assert_eq!(harness.take_responses(0), [CommandStatus::EsmeRmsgqful], "called {late} us late");
    }
}

/// Guards against a pause that hides a slow disk: the lag counts again from the end of the pause.
#[test]
fn a_disk_that_is_slow_after_a_pause_sheds_messages_after_the_lag_limit() {
    let mut harness = Harness::new();
    let resumed_at = 10_000 * MS;
    harness.settle(resumed_at);
    harness.run_idle(resumed_at + LAG_LIMIT / 2, 0);
    harness.submit_message(resumed_at + LAG_LIMIT / 2);
    assert_eq!(harness.take_responses(0), []);
    harness.run_idle(resumed_at + LAG_LIMIT, 0);
    harness.submit_message(resumed_at + LAG_LIMIT);
    assert_eq!(harness.take_responses(0), [CommandStatus::EsmeRmsgqful]);
    // Messages are accepted again once the entries are durable.
    harness.mark_durable(resumed_at + LAG_LIMIT + MS);
    harness.submit_message(resumed_at + LAG_LIMIT + 2 * MS);
    harness.mark_durable(resumed_at + LAG_LIMIT + 3 * MS);
    assert_eq!(harness.take_responses(0), [CommandStatus::EsmeRok; 3]);
}

#[test]
fn a_node_without_pending_entries_has_no_wake_time_for_the_disk() {
    let mut harness = Harness::new();
    harness.mark_durable(MS);
    harness.take_responses(MS);
    // The remaining wake times are the message's deadline and the enquire_link of sessions.
    let before = harness.node.wake();
    harness.settle(2 * MS);
    assert!(before.is_none_or(|at| at > LAG_LIMIT), "{before:?}");
}
