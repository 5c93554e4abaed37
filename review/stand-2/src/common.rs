//! What all cases need: the record, a temporary folder, the program as a process, free ports.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// The record of a run. Each line bears the milliseconds since its beginning.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub began: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_millis();
        if let Ok(mut file) = self.file.lock() {
            _ = writeln!(file, "{at:>7} {}", text.as_ref());
        }
    }
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let nanos =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_nanos());
        let path = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder can be made");
        Folder(path)
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.0);
    }
}

/// A free port on the loopback address. All ports of a run are asked for at once, so that they differ.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    listeners.iter().map(|l| l.local_addr().expect("its address")).collect()
}

/// The process that runs now, for the watchdog; 0 for none.
static RUNNING: AtomicU32 = AtomicU32::new(0);

/// Ends everything if a case takes too long: it could not run then.
pub fn watch(record: &Record, span: Duration) {
    let record = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(span);
        record.say("the case takes too long");
        let id = RUNNING.load(Ordering::SeqCst);
        if id != 0 {
            _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {id}")).status();
        }
        std::process::exit(2);
    });
}

/// A process of the program. It is killed when this is dropped.
pub struct Program {
    child: Child,
}

impl Program {
    /// Starts the program, by `/bin/sh -c` from the repository's root. Its log goes to a file.
    pub fn start(command: &str, variables: &[(&str, String)], log: &Path) -> Program {
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
        let mut sh = Command::new("/bin/sh");
        sh.arg("-c").arg(format!("exec {command}"));
        variables.iter().for_each(|(name, value)| _ = sh.env(name, value));
        let out = log.try_clone().expect("a log file");
        // Where the driver is ended from outside, the program ends with it.
        unsafe {
            sh.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = sh.stdin(Stdio::null()).stdout(out).stderr(log).spawn().expect("the program starts");
        RUNNING.store(child.id(), Ordering::SeqCst);
        Program { child }
    }

    /// Sends a signal by its name, as TERM.
    pub fn signal(&self, name: &str) {
        let text = format!("kill -{name} {}", self.child.id());
        _ = Command::new("/bin/sh").arg("-c").arg(text).status();
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&mut self) {
        _ = self.child.kill();
        if self.child.wait().is_ok() {
            _ = RUNNING.compare_exchange(self.child.id(), 0, Ordering::SeqCst, Ordering::SeqCst);
        }
    }

    /// Waits until the process has ended by itself.
    pub fn ended_within(&mut self, span: Duration) -> Option<std::process::ExitStatus> {
        let until = Instant::now() + span;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                RUNNING.store(0, Ordering::SeqCst);
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    pub fn running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until something listens at an address.
pub fn listens_within(address: SocketAddr, span: Duration) -> bool {
    wait_until(span, || TcpStream::connect(address).is_ok())
}

/// Waits until something is true.
pub fn wait_until(span: Duration, mut what: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + span;
    loop {
        if what() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
