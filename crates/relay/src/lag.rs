//! How much longer things take on this machine than on an idle one, so that what a test allows for the wire grows with the
//! load, and with nothing else.

use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const SLEEP: Duration = Duration::from_millis(40);
/// Processor time of one look: longer than the system's slices, so that it is interrupted where others want the core.
const WORK: Duration = Duration::from_millis(4);
/// Looks that are taken together: one that was interrupted once is no load.
const TOGETHER: u32 = 10;
/// Threads that an octet passes from a decision to the record of its arrival, and back: a sender's, its journal's, a
/// receiver's. Each wakes late by itself.
const HOPS: u32 = 6;

/// A thread that works a little, over and over, and sees how long that took.
#[derive(Debug)]
pub struct Lag {
    stop: Arc<AtomicBool>,
    seen: Arc<Seen>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Seen {
    /// How much longer work took than its processor time, in thousandths, at the worst.
    slower: AtomicU64,
    /// How late it woke, in microseconds, at the worst.
    late: AtomicU64,
}

impl Lag {
    /// Measures from now on.
    pub fn start() -> Self {
        let (stop, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Seen::default()));
        let (done, to) = (stop.clone(), seen.clone());
        let thread = std::thread::spawn(move || {
            while !done.load(Ordering::Relaxed) {
                look(&done, &to);
            }
        });
        Lag { stop, seen, thread: Some(thread) }
    }

    /// What takes so long on an idle machine may have taken this long at the worst time.
    pub fn stretch(&self, idle: Duration) -> Duration {
        let slower = self.seen.slower.load(Ordering::Relaxed).max(1_000);
        let late = Duration::from_micros(self.seen.late.load(Ordering::Relaxed));
        idle * u32::try_from(slower).unwrap_or(u32::MAX) / 1_000 + late * HOPS
    }
}

fn look(done: &AtomicBool, seen: &Seen) {
    let mut took = Duration::ZERO;
    for _ in 0..TOGETHER {
        let asleep = Instant::now();
        std::thread::sleep(SLEEP);
        let late = asleep.elapsed().saturating_sub(SLEEP);
        seen.late.fetch_max(late.as_micros() as u64, Ordering::Relaxed);
        let (begin, from) = (Instant::now(), processor());
        while processor().saturating_sub(from) < WORK {
            std::hint::spin_loop();
        }
        took += begin.elapsed();
        if done.load(Ordering::Relaxed) {
            return;
        }
    }
    let slower = took.as_micros() * 1_000 / (WORK * TOGETHER).as_micros();
    seen.slower.fetch_max(slower as u64, Ordering::Relaxed);
}

/// Processor time of this thread.
fn processor() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

impl Drop for Lag {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Threads that want more cores than there are stretch things, by how many there are to a core.
    #[test]
    fn load_is_seen() {
        let stop = Arc::new(AtomicBool::new(false));
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let busy = |_| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    std::hint::spin_loop()
                }
            })
        };
        let busy: Vec<_> = (0..4 * cores).map(busy).collect();
        let lag = Lag::start();
        let begin = Instant::now();
        while lag.stretch(Duration::from_secs(1)) < Duration::from_secs(2)
            && begin.elapsed() < Duration::from_secs(30)
        {
            std::thread::sleep(Duration::from_millis(20));
        }
        stop.store(true, Ordering::Relaxed);
        busy.into_iter().for_each(|b| b.join().unwrap());
        assert!(lag.stretch(Duration::from_secs(1)) >= Duration::from_secs(2));
    }
}
