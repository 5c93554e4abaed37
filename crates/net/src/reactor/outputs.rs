//! The node's outputs, and how a sender's thread executes them.

use super::Reactor;
use heronroute_engine::Output;
use std::io;
use std::path::Path;

/// Times in a turn that the node's outputs are taken, at most.
const OUTPUT_ROUNDS: usize = 1_000;

impl Reactor {
    /// Executes the node's outputs until it has no more.
    pub(super) fn execute_outputs(&mut self) {
        for _ in 0..OUTPUT_ROUNDS {
            let outputs = self.node.outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.execute(output);
            }
            self.node.settle(self.clock.now());
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Connect { conn, address } => self.connect(conn, address),
            Output::Write(conn) => self.write(conn),
            Output::Finish(conn) => self.finish(conn),
            Output::Drop(conn) => self.close(conn),
            Output::Journal(entries) => self.write_journal(entries),
            Output::Live(live) => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.live(live);
                }
            }
            // Nothing is copied to a partner yet.
            Output::Copying | Output::Inherited(_) => {}
            Output::ClientRequest(ask) => {
                let now = self.clock.now();
                // Nobody to ask, or no room: answered at once.
                if let Some(told) = self.fleet.as_mut().and_then(|f| f.ask(ask)) {
                    self.node.told(now, told);
                }
            }
            Output::SaveList(text) => {
                if let Some(path) = &self.keep
                    && let Err(e) = replace_file(path, &text)
                {
                    tracing::warn!(error = %e, "the directory's list could not be kept");
                }
            }
        }
    }
}

/// Writes a file so that a reader finds the old text or the new, never a part.
fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let part = path.with_extension("new");
    std::fs::write(&part, text)?;
    std::fs::rename(&part, path)
}
