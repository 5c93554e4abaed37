//! Executes the node's outputs on the sender's thread.

use super::Reactor;
use heronroute_engine::Output;
use std::io;
use std::path::Path;

/// The maximum number of times that the node's outputs are taken in a turn.
const MAX_OUTPUT_ROUNDS: usize = 1_000;

impl Reactor {
    /// Executes the node's outputs until there are no more.
    pub(super) fn execute_outputs(&mut self) {
        for _ in 0..MAX_OUTPUT_ROUNDS {
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
                if let Some(member) = &mut self.member {
                    member.report_live(live);
                }
            }
            // Nothing is copied to a partner yet.
            Output::Copying | Output::Inherited(_) => {}
            Output::ClientRequest(request) => {
                let now = self.clock.now();
                // Without a member, or without room in its queue, the request is answered at once.
                if let Some(answer) = self.member.as_mut().and_then(|member| member.submit_request(request)) {
                    self.node.told(now, answer);
                }
            }
            Output::SaveList(text) => {
                if let Some(path) = &self.list_path
                    && let Err(e) = replace_file(path, &text)
                {
                    tracing::warn!(error = %e, "the directory's list could not be saved");
                }
            }
        }
    }
}

/// Replaces a file atomically: a reader sees the old text or the new one, never a part.
fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text)?;
    std::fs::rename(&temporary, path)
}
