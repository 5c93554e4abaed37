//! A line between a client and the service that takes its time in each direction and can be cut: what is on its way
//! then never arrives.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Line {
    pub address: SocketAddr,
    /// Whether it is cut towards the service, and back from it.
    cut: [Arc<AtomicBool>; 2],
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Line {
    pub fn start(to: SocketAddr, takes: Duration) -> Line {
        Line::start_uneven(to, takes, Duration::ZERO)
    }

    /// The same, where what comes within 10 ms behind other octets of its direction takes so much longer, as a segment
    /// does that has to be sent again.
    pub fn start_uneven(to: SocketAddr, takes: Duration, longer: Duration) -> Line {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let line = Line { address, cut: Default::default(), streams: Arc::default() };
        let own = line.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                for ((from, to), cut) in [(&near, &far), (&far, &near)].into_iter().zip(&own.cut) {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    _ = to.set_nodelay(true);
                    carry(from, to, (takes, longer), cut.clone());
                }
                if let Ok(mut streams) = own.streams.lock() {
                    streams.extend([near, far]);
                }
            }
        });
        line
    }

    /// Nothing arrives any more, in either direction.
    pub fn cut(&self) {
        self.cut.iter().for_each(|cut| cut.store(true, Ordering::SeqCst));
    }

    /// Nothing of the service's arrives any more. Called before the last octets of a client it is as a cut right behind
    /// them: they get through, and nothing comes back.
    pub fn cut_behind_next(&self) {
        self.cut[1].store(true, Ordering::SeqCst);
    }

    /// Ends all connections on it, so that both ends learn of the cut.
    pub fn end(&self) {
        if let Ok(streams) = self.streams.lock() {
            streams.iter().for_each(|s| _ = s.shutdown(Shutdown::Both));
        }
    }
}

fn carry(
    mut from: TcpStream,
    mut to: TcpStream,
    (takes, longer): (Duration, Duration),
    cut: Arc<AtomicBool>,
) {
    let (send, receive) = channel::<(Instant, Vec<u8>)>();
    std::thread::spawn(move || {
        let mut buffer = vec![0; 64 * 1024];
        let mut last: Option<Instant> = None;
        while let Ok(n) = from.read(&mut buffer) {
            let now = Instant::now();
            let is_behind = last.is_some_and(|last| now < last + Duration::from_millis(10));
            last = Some(now);
            let due = now + takes + if is_behind { longer } else { Duration::ZERO };
            if send.send((due, buffer[..n].to_vec())).is_err() || n == 0 {
                return;
            }
        }
    });
    std::thread::spawn(move || {
        while let Ok((due, bytes)) = receive.recv() {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if cut.load(Ordering::SeqCst) {
                continue;
            }
            if bytes.is_empty() {
                _ = to.shutdown(Shutdown::Write);
            } else if to.write_all(&bytes).is_err() {
                return;
            }
        }
    });
}
