//! Passes clients' questions about their rules and about the fleet on to the process, and its answers back.

use crate::Micros;
use crate::front::RejectReason;
use crate::ids::ConnId;
use crate::node::{Node, Output};
use heronroute_rules::seam::{ClientRequest, Token, Told};

/// The most unanswered questions of a connection; further ones are answered with "busy" at once.
const MAX_OPEN_ASKS: usize = 16;

impl Node {
    pub(crate) fn forward_ask(&mut self, conn: ConnId, token: u32, words: Vec<String>, body: Vec<u8>) {
        let Some((client, _)) = self.owner_of(conn) else {
            if let Some((front, out)) = self.front(conn) {
                front.refused(token, RejectReason::NotEntered, out);
            }
            return;
        };
        let Some(k) = &mut self.rule_tables else { return };
        let open = k.asks.entry(conn).or_default();
        if open.len() >= MAX_OPEN_ASKS {
            if let Some((front, out)) = self.front(conn) {
                front.told(token, "{\"state\":\"busy\"}".to_string(), "busy", out);
            }
            return self.flush(conn);
        }
        open.insert(token);
        let client = self.cfg.clients.get(client).map(|c| c.system_id.clone()).unwrap_or_default();
        let token = Token { sender: self.index, conn, token };
        self.outputs.push(Output::ClientRequest(ClientRequest { token, client, words, body }));
    }

    /// Handles the process's answer to an [`Output::ClientRequest`]. The answer is dropped if nothing waits
    /// for it any more.
    pub fn told(&mut self, now: Micros, told: Told) {
        self.now = now.max(self.now);
        let Token { sender, conn, token } = told.token;
        let Some(k) = self.rule_tables.as_mut().filter(|_| sender == self.index) else { return };
        let Some(open) = k.asks.get_mut(&conn) else { return };
        let waits = open.remove(&token);
        if open.is_empty() {
            k.asks.remove(&conn);
        }
        if let Some((front, out)) = self.front(conn).filter(|_| waits) {
            front.told(token, told.text, told.state, out);
        }
        self.flush(conn);
    }
}
