//! Notices that report the ends of messages to the platform, on connections of their own.

use crate::Micros;
use crate::ids::ConnId;
use crate::node::{ConnRole, Node, Output, TimerKey};
use heronroute::MsgId;
use heronroute_platform::notice::{NoticeAction, UndeliveredEnd};
use heronroute_smpp::receipt::Answer;

/// What a pending notice takes, in bytes: its text, and the journal's record of its message.
const NOTICE_BYTES: usize = 1_024;

impl Node {
    /// Adds a notice that reports a message's end.
    pub(crate) fn owe_notice(&mut self, id: MsgId, identity: &str, answer: Answer) {
        let end = answer.retry_after().map_or(UndeliveredEnd::Failed, UndeliveredEnd::Returned);
        if let Some(notices) = &mut self.notices {
            notices.add(id, identity, end);
        }
        self.schedule_notices();
    }

    fn schedule_notices(&mut self) {
        let pending = self.notices.as_ref().map_or(0, |n| n.pending_count());
        self.notices_memory.set(pending * NOTICE_BYTES);
        let wake = self.notices.as_ref().map_or(Micros::MAX, |n| n.wake());
        self.timers.set(TimerKey::Notices, wake);
    }

    /// Handles the timer of the notices.
    pub(crate) fn notices_due(&mut self) {
        let Some(notices) = &mut self.notices else { return };
        let mut no_conn = bytes::BytesMut::new();
        let conn = self.notices_conn;
        let out = conn.and_then(|c| self.conns.get_mut(&c)).map_or(&mut no_conn, |c| &mut c.stream.out);
        match notices.tick(self.now, out) {
            NoticeAction::Nothing => {}
            NoticeAction::Connect(address) => {
                let conn = self.add_conn(ConnRole::Notices);
                self.notices_conn = Some(conn);
                self.outputs.push(Output::Connect { conn, address });
            }
            NoticeAction::Drop => {
                if let Some(conn) = self.notices_conn.take() {
                    self.drop_conn(conn);
                }
            }
        }
        if let Some(conn) = self.notices_conn {
            self.flush(conn);
        }
        self.schedule_notices();
    }

    /// Handles an established notice connection.
    pub(crate) fn notices_connected(&mut self, conn: ConnId) {
        let now = self.now;
        if let (Some(n), Some(c)) = (&mut self.notices, self.conns.get_mut(&conn)) {
            n.connected(now, &mut c.stream.out);
        }
        self.flush(conn);
        self.schedule_notices();
    }

    /// Handles bytes received on the notice connection.
    pub(crate) fn notices_received(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.now;
        let (Some(n), Some(c)) = (&mut self.notices, self.conns.get_mut(&conn)) else { return };
        let (acknowledged, disconnect) = match n.receive(now, bytes, &c.stream.out) {
            Ok(acknowledged) => (acknowledged, n.is_disconnected()),
            Err(why) => {
                tracing::warn!(
                    why = why.to_string(),
                    "notices could not be delivered; they will be sent again"
                );
                n.ended(now);
                (Vec::new(), true)
            }
        };
        tracing::debug!(now, notices = acknowledged.len(), "notices were acknowledged");
        acknowledged.into_iter().for_each(|id| self.taken(id));
        self.flush(conn);
        if disconnect {
            self.notices_conn = None;
            self.drop_conn(conn);
        }
        self.schedule_notices();
    }

    /// Handles the end of the notice connection.
    pub(crate) fn notices_closed(&mut self, conn: ConnId) {
        if self.notices_conn == Some(conn) {
            self.notices_conn = None;
            let now = self.now;
            if let Some(n) = &mut self.notices {
                n.ended(now);
            }
        }
        self.schedule_notices();
    }

    /// Handles a new address of the platform's discovery.
    pub fn discovery_moved(&mut self, now: Micros, address: std::net::SocketAddr) {
        self.now = now.max(self.now);
        self.directory.moved(self.now, address);
        for conn in [self.directory_conn.take(), self.notices_conn.take()].into_iter().flatten() {
            self.drop_conn(conn);
        }
        if let Some(n) = &mut self.notices {
            n.moved(now, address);
        }
        self.schedule_notices();
        self.schedule_directory();
        self.settle(now);
    }
}
