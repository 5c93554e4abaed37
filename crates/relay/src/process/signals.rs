//! Signals, to its own id alone.

use super::{Process, ProcessError};
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use std::process::ExitStatus;
use std::time::Duration;

/// How long a signal that cannot be ignored may take.
const SIGNALLED: Duration = Duration::from_secs(30);

impl Process {
    /// Sends a signal to it and to nobody else: until it was waited for, its id is given to no other process, and
    /// once it was there is no id to send to.
    fn signal(&mut self, signal: Signal) -> Result<Pid, ProcessError> {
        self.must_run()?;
        let down = || ProcessError::Down(self.spec.name.clone());
        let pid = self.child.as_ref().map(Pid::from_child).ok_or_else(down)?;
        kill_process(pid, signal).map_err(|e| self.io("signal it", e.into()))?;
        Ok(pid)
    }

    /// SIGKILL, and waits for its end.
    ///
    /// # Errors
    /// Where it does not run.
    pub fn kill(&mut self) -> Result<ExitStatus, ProcessError> {
        self.must_run()?;
        let Some(mut child) = self.child.take() else {
            return Err(ProcessError::Down(self.spec.name.clone()));
        };
        _ = child.kill();
        let status = child.wait().map_err(|e| self.io("wait for it", e))?;
        self.status = Some(status);
        Ok(status)
    }

    /// SIGSTOP, and waits until it stands still.
    ///
    /// # Errors
    /// Where it does not run.
    pub fn pause(&mut self) -> Result<(), ProcessError> {
        let pid = self.signal(Signal::STOP)?;
        self.paused = true;
        let stopped = move |_: &mut Self| {
            let options = WaitIdOptions::STOPPED | WaitIdOptions::NOHANG;
            matches!(waitid(WaitId::Pid(pid), options), Ok(Some(_)))
        };
        self.wait(SIGNALLED, "its stop", stopped)
    }

    /// SIGCONT.
    ///
    /// # Errors
    /// Where it does not run.
    pub fn wake(&mut self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)?;
        self.paused = false;
        Ok(())
    }

    /// SIGHUP: reads its settings again.
    ///
    /// # Errors
    /// Where it does not run.
    pub fn hang_up(&mut self) -> Result<(), ProcessError> {
        self.signal(Signal::HUP).map(drop)
    }

    /// SIGTERM, and waits for its end; one that is late goes on.
    ///
    /// # Errors
    /// Where it does not run or does not end in time.
    pub fn terminate(&mut self, within: Duration) -> Result<ExitStatus, ProcessError> {
        self.signal(Signal::TERM)?;
        match self.wait(within, "its end", |_| false) {
            Err(ProcessError::Ended { status, .. }) => Ok(status),
            Err(e) => Err(e),
            Ok(()) => Err(ProcessError::Down(self.spec.name.clone())),
        }
    }
}
