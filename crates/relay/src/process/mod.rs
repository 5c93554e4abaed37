//! A process under test: started by a command, signalled by its own id alone, killed when dropped.

mod cost;
mod disk;
mod folder;
mod home;
mod log;
mod signals;
mod spec;

pub use home::Home;
pub use log::Log;
pub use spec::{Ready, Spec};

use std::fs::OpenOptions;
use std::io;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// How often a condition outside this process is looked at again.
const LOOK: Duration = Duration::from_millis(5);

/// Why a process is not as it was to be.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A file, folder or the process itself.
    #[error("{name}: {what}: {why}")]
    Io {
        /// The process.
        name: String,
        /// What was tried.
        what: &'static str,
        /// Why it failed.
        why: io::Error,
    },
    /// A place in the settings or arguments that has no value.
    #[error("{0}: @{1}@ has no value")]
    Place(String, String),
    /// It ended by itself.
    #[error("{name} ended with {status}; its log ends:\n{tail}")]
    Ended {
        /// The process.
        name: String,
        /// How.
        status: ExitStatus,
        /// The end of its log.
        tail: String,
    },
    /// It was not heard of in time.
    #[error("{name}: {what} not seen within {within:?}; its log ends:\n{tail}")]
    Late {
        /// The process.
        name: String,
        /// What was waited for.
        what: String,
        /// For how long.
        within: Duration,
        /// The end of its log.
        tail: String,
    },
    /// It runs, and must not for this.
    #[error("{0} runs")]
    Running(String),
    /// It does not run.
    #[error("{0} does not run")]
    Down(String),
}

/// A process, its folder, settings and log.
#[derive(Debug)]
pub struct Process {
    spec: Spec,
    home: PathBuf,
    log: Log,
    child: Option<Child>,
    status: Option<ExitStatus>,
    paused: bool,
}

impl Process {
    /// One that does not run yet, with an empty folder, under `home`.
    ///
    /// # Errors
    /// Where its folders can't be made.
    pub fn new(home: &Home, spec: Spec) -> Result<Self, ProcessError> {
        let home = home.path().join(&spec.name);
        let log = Log::new(home.join("log.txt"));
        let process = Process { spec, home, log, child: None, status: None, paused: false };
        std::fs::create_dir_all(process.folder()).map_err(|e| process.io("make its folder", e))?;
        Ok(process)
    }

    fn io(&self, what: &'static str, why: io::Error) -> ProcessError {
        ProcessError::Io { name: self.spec.name.clone(), what, why }
    }

    /// What it is started with; changes count from the next start on.
    pub fn spec(&mut self) -> &mut Spec {
        &mut self.spec
    }

    /// The folder that outlives it: `@folder@`.
    pub fn folder(&self) -> PathBuf {
        self.home.join("folder")
    }

    /// The file of its settings: `@settings@`.
    pub fn settings(&self) -> PathBuf {
        self.home.join("settings.txt")
    }

    /// What it wrote, over all its lives.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Its id while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Writes its settings and starts it, without waiting for it.
    ///
    /// # Errors
    /// Where it runs already, a place has no value, or the system refuses.
    pub fn spawn(&mut self) -> Result<(), ProcessError> {
        if self.runs() {
            return Err(ProcessError::Running(self.spec.name.clone()));
        }
        self.write_settings()?;
        let args = self.spec.args.iter().map(|a| self.filled(a)).collect::<Result<Vec<_>, _>>()?;
        let open = || OpenOptions::new().create(true).append(true).open(self.log.path());
        let log =
            open().and_then(|out| Ok((out.try_clone()?, out))).map_err(|e| self.io("open its log", e))?;
        self.log.next_life();
        let child = Command::new(&self.spec.program)
            .args(args)
            .envs(self.spec.env.iter().map(|(k, v)| (k, v)))
            .current_dir(&self.home)
            .stdin(Stdio::null())
            .stdout(log.0)
            .stderr(log.1)
            .spawn()
            .map_err(|e| self.io("start it", e))?;
        (self.child, self.status, self.paused) = (Some(child), None, false);
        Ok(())
    }

    /// Writes its settings as they are now, for a process that reads them again while it runs.
    ///
    /// # Errors
    /// Where a place has no value, or the file can't be written.
    pub fn write_settings(&self) -> Result<(), ProcessError> {
        let text = self.filled(&self.spec.settings)?;
        std::fs::write(self.settings(), text).map_err(|e| self.io("write its settings", e))
    }

    fn filled(&self, text: &str) -> Result<String, ProcessError> {
        let value = |place: &str| match place {
            "folder" => Some(self.folder().display().to_string()),
            "settings" => Some(self.settings().display().to_string()),
            "name" => Some(self.spec.name.clone()),
            _ => self.spec.values.get(place).cloned(),
        };
        spec::fill(text, value).map_err(|place| ProcessError::Place(self.spec.name.clone(), place))
    }

    /// Waits until it is ready, as its spec says.
    ///
    /// # Errors
    /// Where it ends or the time does.
    pub fn wait_ready(&mut self, within: Duration) -> Result<(), ProcessError> {
        match self.spec.ready.clone() {
            Ready::Spawned => Ok(()),
            Ready::Listens(at) => self.wait(within, &format!("a listener at {at}"), |_| {
                TcpStream::connect_timeout(&at, Duration::from_secs(1)).is_ok()
            }),
            Ready::Line(text) => self.wait_line(&text, within),
        }
    }

    /// Starts it and waits until it is ready.
    ///
    /// # Errors
    /// As [`Process::spawn`] and [`Process::wait_ready`].
    pub fn start(&mut self, within: Duration) -> Result<(), ProcessError> {
        self.spawn()?;
        self.wait_ready(within)
    }

    /// Waits for a line of this life's log that holds `text`; lines that were looked at before are not looked at again.
    ///
    /// # Errors
    /// Where it ends or the time does.
    pub fn wait_line(&mut self, text: &str, within: Duration) -> Result<(), ProcessError> {
        self.wait(within, &format!("{text:?}"), |p| p.log.seek(text))
    }

    fn wait(
        &mut self,
        within: Duration,
        what: &str,
        mut seen: impl FnMut(&mut Self) -> bool,
    ) -> Result<(), ProcessError> {
        let end = Instant::now() + within;
        loop {
            // Its end is looked for first: what it wrote before is then all there.
            let runs = self.runs();
            if seen(self) {
                return Ok(());
            }
            if runs && Instant::now() < end {
                std::thread::sleep(LOOK);
                continue;
            }
            let (name, tail) = (self.spec.name.clone(), self.log.tail());
            return match self.must_run() {
                Ok(()) => Err(ProcessError::Late { name, what: what.into(), within, tail }),
                ended => ended,
            };
        }
    }

    /// That it runs, paused or not.
    ///
    /// # Errors
    /// How its last life ended, with the end of its log, or that there was none.
    pub fn must_run(&mut self) -> Result<(), ProcessError> {
        if self.runs() {
            return Ok(());
        }
        let (name, tail) = (self.spec.name.clone(), self.log.tail());
        Err(match self.status {
            Some(status) => ProcessError::Ended { name, status, tail },
            None => ProcessError::Down(name),
        })
    }

    /// Whether it runs, paused or not.
    pub fn runs(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        if let Ok(Some(status)) = child.try_wait() {
            (self.child, self.status) = (None, Some(status));
        }
        self.child.is_some()
    }

    /// How its last life ended; nothing while it runs or before its first.
    pub fn status(&mut self) -> Option<ExitStatus> {
        if self.runs() { None } else { self.status }
    }

    /// Whether it is paused.
    pub fn paused(&mut self) -> bool {
        self.runs() && self.paused
    }

    /// Everything of it on disk.
    pub fn home(&self) -> &Path {
        &self.home
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        _ = self.kill();
    }
}
