//! What a process that runs costs, as the system tells it.

use super::{Process, ProcessError};
use std::time::Duration;

impl Process {
    /// Octets of its resident set.
    ///
    /// # Errors
    /// Where it does not run, or the system does not tell.
    pub fn resident(&self) -> Result<u64, ProcessError> {
        let text = self.told("status")?;
        let kilos =
            text.lines().find_map(|l| l.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok());
        kilos.map(|k: u64| k * 1_024).ok_or_else(|| self.untold())
    }

    /// Processor time of its threads that still run.
    ///
    /// # Errors
    /// As [`Process::resident`].
    pub fn processor_time(&self) -> Result<Duration, ProcessError> {
        let tasks = std::fs::read_dir(self.proc("task")?).map_err(|e| self.io("read its threads", e))?;
        let one = |task: std::io::Result<std::fs::DirEntry>| {
            // A thread that has just ended is passed over.
            let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<u64>().ok()
        };
        Ok(Duration::from_nanos(tasks.filter_map(one).sum()))
    }

    fn proc(&self, what: &str) -> Result<String, ProcessError> {
        let id = self.id().ok_or_else(|| ProcessError::Down(self.spec.name.clone()))?;
        Ok(format!("/proc/{id}/{what}"))
    }

    fn told(&self, what: &str) -> Result<String, ProcessError> {
        std::fs::read_to_string(self.proc(what)?).map_err(|e| self.io("read what it costs", e))
    }

    fn untold(&self) -> ProcessError {
        self.io("read what it costs", std::io::Error::other("the system does not tell"))
    }
}
