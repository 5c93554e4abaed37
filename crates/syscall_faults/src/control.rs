//! The test's side: which calls fail from now on.

use crate::{AFFECTED, CONTROL};
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// A call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `write` to a file of the affected folder; nothing is written.
    Write,
    /// The same, but half of the octets are written first.
    HalfWrite,
    /// `fsync` and `fdatasync`.
    Sync,
    /// `ftruncate`.
    Truncate,
    /// `open` of a file that is to be made or written.
    Create,
    /// `open` of a file that is to be read.
    Open,
    /// `read` from a file of the affected folder.
    Read,
    /// `readdir` of any folder.
    List,
    /// `rename`.
    Rename,
    /// `unlink`.
    Remove,
    /// `accept4`.
    Accept,
    /// `connect`.
    Connect,
    /// `socket`.
    Socket,
    /// `recv`.
    Receive,
    /// `send`.
    Send,
    /// `epoll_wait`.
    Wait,
    /// `epoll_ctl`.
    Watch,
}

impl Call {
    /// The control file's name.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Call::Write => "write",
            Call::HalfWrite => "half-write",
            Call::Sync => "sync",
            Call::Truncate => "truncate",
            Call::Create => "create",
            Call::Open => "open",
            Call::Read => "read",
            Call::List => "list",
            Call::Rename => "rename",
            Call::Remove => "remove",
            Call::Accept => "accept",
            Call::Connect => "connect",
            Call::Socket => "socket",
            Call::Receive => "receive",
            Call::Send => "send",
            Call::Wait => "wait",
            Call::Watch => "watch",
        }
    }
}

impl Call {
    /// The name of the file that shows that the call was made while it failed.
    pub(crate) fn met_name(self) -> String {
        format!("{}-met", self.name())
    }
}

/// In place of an error number: one octet is read or written.
pub const ONE_OCTET: i32 = 0;

/// The control file with the microseconds by which the wall clock is ahead.
pub(crate) const WALL_CLOCK: &str = "wall-clock";

/// Controls the faults of the processes that were started with [`Control::preload`].
#[derive(Debug)]
pub struct Control {
    folder: PathBuf,
}

impl Control {
    /// Controls faults by files in `folder`, which is made. Nothing fails at first.
    ///
    /// # Errors
    /// Where the folder can't be made.
    pub fn new(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        Ok(Control { folder: folder.to_path_buf() })
    }

    /// Has the library loaded into a process that is to be started; faults are for files below `affected`.
    pub fn preload(&self, command: &mut Command, affected: &Path) {
        command.env("LD_PRELOAD", library()).env(CONTROL, &self.folder).env(AFFECTED, affected);
    }

    /// From now on a call fails with this error number. With EINTR every other one does, as a signal would do it; with
    /// [`ONE_OCTET`] a `recv` or `send` moves one octet.
    ///
    /// # Errors
    /// Where the control file can't be written.
    pub fn fail(&self, call: Call, errno: i32) -> io::Result<()> {
        self.put(call.name(), &errno.to_string())
    }

    /// Whether a call for sockets was made while it failed, since this was last asked.
    pub fn was_met(&self, call: Call) -> bool {
        std::fs::remove_file(self.folder.join(call.met_name())).is_ok()
    }

    /// From now on a call works again, if it failed.
    ///
    /// # Errors
    /// Where the control file can't be removed.
    pub fn heal(&self, call: Call) -> io::Result<()> {
        match std::fs::remove_file(self.folder.join(call.name())) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// Steps the wall clock: it is ahead of the machine's by so many microseconds from now on.
    ///
    /// # Errors
    /// Where the control file can't be written.
    pub fn step_wall_clock(&self, ahead: i64) -> io::Result<()> {
        self.put(WALL_CLOCK, &ahead.to_string())
    }

    /// Writes a control file so that a reader finds the old text or the new.
    fn put(&self, name: &str, text: &str) -> io::Result<()> {
        let part = self.folder.join("part");
        std::fs::write(&part, text)?;
        std::fs::rename(part, self.folder.join(name))
    }
}

/// The library's file, beside the test's own program.
///
/// # Panics
/// Where it is not there, as beside a copy of that program: the system starts a process without it all the same.
pub fn library() -> PathBuf {
    let program = std::env::current_exe().expect("the test's program has a path");
    let folder = program.parent().expect("a program stands in a folder");
    let library = folder.join("libheronroute_syscall_faults.so");
    assert!(library.exists(), "{library:?} is not there: no fault would be played");
    library
}
