//! Reads back what a node really applies, from the tables that messages are checked against.

use crate::node::{Node, Output};
use heronroute_rules::seam::Live;

impl Node {
    /// Returns what is in force for a client, read from the live tables rather than from what was sent.
    /// Returns `None` on a node outside a fleet, and for an unknown client.
    pub fn live(&self, client: &str) -> Option<Live> {
        let rule_tables = self.rule_tables.as_ref()?;
        let at = *self.client_names.get(client)?;
        let set = rule_tables.rules.get(&at).map(|rules| {
            let rooms = self.held.as_ref().map(|s| s.rooms(at as u32)).unwrap_or_default();
            rules.read_back(&rooms, |part| rule_tables.names.max_names(at, part))
        });
        Some(Live {
            sender: self.index,
            client: client.to_string(),
            set: set.unwrap_or_default(),
            turn: rule_tables.rules.get(&at).map(|rules| rules.turn).unwrap_or_default(),
            trouble: rule_tables.trouble.get(client).cloned(),
        })
    }

    pub(super) fn report_live(&mut self, client: &str) {
        if let Some(live) = self.live(client) {
            self.outputs.push(Output::Live(live));
        }
    }

    pub(super) fn report_trouble(&mut self, client: &str, why: String) {
        let (set, turn) = self.live(client).map_or_else(Default::default, |l| (l.set, l.turn));
        let live = Live { sender: self.index, client: client.to_string(), set, turn, trouble: Some(why) };
        self.outputs.push(Output::Live(live));
    }
}
