//! A link between two processes: bytes pass through a relay here, and what goes wrong with a network is done to them.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How often a held byte looks whether its way is free, and how much is read at once.
const LOOK: Duration = Duration::from_millis(5);
const CHUNK: usize = 16 << 10;

/// One direction.
#[derive(Default)]
struct Lane {
    /// Bytes are held, as a network holds what it can't deliver: they come when it heals.
    cut: AtomicBool,
    delay_ms: AtomicU64,
    /// Bytes a second, 0 for as fast as it goes.
    rate: AtomicU64,
    passed: AtomicU64,
}

#[derive(Default)]
struct Inner {
    there: Lane,
    back: Lane,
    /// New connections are ended at once.
    refuses: AtomicBool,
    over: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

/// Ends, with all that is open on it, when it is dropped.
pub struct Link {
    pub at: SocketAddr,
    inner: Arc<Inner>,
}

/// Which way, as seen from who opens connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    There,
    Back,
    Both,
}

impl Link {
    /// To that address, from a port of the system's choice.
    pub fn to(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().expect("a bound port");
        let inner = Arc::new(Inner::default());
        let own = inner.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if own.over.load(Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if own.refuses.load(Relaxed) {
                    let _ = stream.shutdown(Shutdown::Both);
                    continue;
                }
                let inner = own.clone();
                thread::spawn(move || join(stream, target, inner));
            }
        });
        Link { at, inner }
    }

    fn lanes(&self, way: Way) -> impl Iterator<Item = &Lane> {
        let there = (way != Way::Back).then_some(&self.inner.there);
        there
            .into_iter()
            .chain((way != Way::There).then_some(&self.inner.back))
    }

    /// Nothing comes through that way until it heals.
    pub fn cut(&self, way: Way) {
        self.lanes(way).for_each(|l| l.cut.store(true, Relaxed));
    }

    pub fn delay(&self, way: Way, ms: u64) {
        self.lanes(way).for_each(|l| l.delay_ms.store(ms, Relaxed));
    }

    pub fn rate(&self, way: Way, bytes_a_second: u64) {
        self.lanes(way)
            .for_each(|l| l.rate.store(bytes_a_second, Relaxed));
    }

    /// Ends all that is open, and all that is opened until it heals.
    pub fn refuse(&self) {
        self.inner.refuses.store(true, Relaxed);
        self.reset();
    }

    /// Ends all that is open.
    pub fn reset(&self) {
        let mut open = self
            .inner
            .open
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        open.drain(..)
            .for_each(|s| drop(s.shutdown(Shutdown::Both)));
    }

    /// As it was at first.
    pub fn heal(&self) {
        self.inner.refuses.store(false, Relaxed);
        for lane in self.lanes(Way::Both) {
            lane.cut.store(false, Relaxed);
            lane.delay_ms.store(0, Relaxed);
            lane.rate.store(0, Relaxed);
        }
    }

    /// Bytes that came through, there and back.
    pub fn passed(&self) -> (u64, u64) {
        (
            self.inner.there.passed.load(Relaxed),
            self.inner.back.passed.load(Relaxed),
        )
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.inner.over.store(true, Relaxed);
        self.reset();
        // The listener's thread looks up once more.
        let _ = TcpStream::connect(self.at);
    }
}

fn join(from: TcpStream, target: SocketAddr, inner: Arc<Inner>) {
    // While the way there is cut nobody is reached: who opens waits.
    while inner.there.cut.load(Relaxed) && !inner.over.load(Relaxed) {
        thread::sleep(LOOK);
    }
    let Ok(to) = TcpStream::connect(target) else {
        let _ = from.shutdown(Shutdown::Both);
        return;
    };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let copies = (
        from.try_clone(),
        to.try_clone(),
        from.try_clone(),
        to.try_clone(),
    );
    let (Ok(f1), Ok(t1), Ok(f2), Ok(t2)) = copies else {
        return;
    };
    {
        let mut open = inner.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|s| s.peer_addr().is_ok());
        open.extend([f2, t2]);
    }
    let back = inner.clone();
    thread::spawn(move || pass(t1, f1, &back, |i| &i.back));
    pass(from, to, &inner, |i| &i.there);
}

fn pass(mut from: TcpStream, mut to: TcpStream, inner: &Inner, lane: fn(&Inner) -> &Lane) {
    let lane = lane(inner);
    let mut bytes = vec![0; CHUNK];
    loop {
        let n = match from.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(n) => n,
        };
        let came = Instant::now();
        while !inner.over.load(Relaxed) {
            let late = came.elapsed() < Duration::from_millis(lane.delay_ms.load(Relaxed));
            if !lane.cut.load(Relaxed) && !late {
                break;
            }
            thread::sleep(LOOK);
        }
        match lane.rate.load(Relaxed) {
            0 => {}
            rate => thread::sleep(Duration::from_secs_f64(n as f64 / rate as f64)),
        }
        if to
            .write_all(&bytes[..n])
            .is_err_and(|e| e.kind() != ErrorKind::Interrupted)
        {
            break;
        }
        lane.passed.fetch_add(n as u64, Relaxed);
    }
    // An end, too, comes only when its way is free.
    while lane.cut.load(Relaxed) && !inner.over.load(Relaxed) {
        thread::sleep(LOOK);
    }
    let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
}
