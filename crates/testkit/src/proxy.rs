//! A fault proxy for TCP on loopback: it listens on a port that the system chooses, forwards each connection to one
//! target, and puts faults on the way as a test says: delay, a cut one way (bytes are taken and dropped, as by a lost
//! route), a partition (both ways cut and new connections closed at once), and resets of all open connections.
//!
//! Bounded: at most [`MOST_CONNECTIONS`] at once (more are closed at once), two threads a connection and one that
//! accepts; all end within [`POLL`] after the proxy is dropped.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Connections at once at most.
pub const MOST_CONNECTIONS: usize = 64;
/// How often a thread looks whether it should end or the faults changed.
pub const POLL: Duration = Duration::from_millis(20);

/// The faults in force.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Each read chunk waits this long before it is passed on, in both ways; order is kept.
    pub delay: Duration,
    /// Bytes from the client to the target are dropped.
    pub cut_forward: bool,
    /// Bytes from the target to the client are dropped.
    pub cut_backward: bool,
    /// New connections are closed as soon as they come.
    pub refuse: bool,
    /// Whole messages from the client to the target are doubled and overtake each other, now and then: what [`Cut`] says
    /// where one ends. Chosen by the number of the message, so that a run is the same for the same messages.
    pub shuffle: Option<Cut>,
}

/// How many bytes the first message takes; nothing while its head is not whole.
pub type Cut = fn(&[u8]) -> Option<usize>;

impl Faults {
    /// Both ways cut and new connections refused.
    pub fn partition() -> Self {
        Self { cut_forward: true, cut_backward: true, refuse: true, ..Self::default() }
    }
}

#[derive(Default)]
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    faults: Mutex<Faults>,
    open: Mutex<Vec<TcpStream>>,
    stop: AtomicBool,
    passed: Mutex<[u64; 2]>,
    dropped: Mutex<[u64; 2]>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    // A thread that panicked while it held the lock held no half-written state: the value is still whole.
    m.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A running proxy; dropping it ends its threads and closes its connections.
pub struct Proxy {
    addr: SocketAddr,
    shared: Arc<Shared>,
    accept: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Listens on `127.0.0.1:0` and forwards to `target`; without one, connections are closed until it is told.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn start(target: Option<SocketAddr>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared { target: Mutex::new(target), ..Shared::default() });
        let inner = shared.clone();
        let accept =
            thread::Builder::new().name(format!("proxy {addr}")).spawn(move || accept(listener, inner))?;
        Ok(Self { addr, shared, accept: Some(accept) })
    }

    /// Where clients connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Forwards new connections there from now on: a process that starts again has another port.
    pub fn forward_to(&self, target: SocketAddr) {
        *lock(&self.shared.target) = Some(target);
    }

    /// Puts these faults in force, from the next chunk on.
    pub fn set(&self, faults: Faults) {
        *lock(&self.shared.faults) = faults;
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        *lock(&self.shared.faults)
    }

    /// No faults any more.
    pub fn heal(&self) {
        self.set(Faults::default());
    }

    /// Closes every open connection at once, both ways: the peers see their connection end.
    pub fn reset(&self) {
        for stream in lock(&self.shared.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Bytes passed on so far: forward, backward.
    pub fn passed(&self) -> [u64; 2] {
        *lock(&self.shared.passed)
    }

    /// Bytes dropped by cuts so far: forward, backward.
    pub fn dropped(&self) -> [u64; 2] {
        *lock(&self.shared.dropped)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        self.reset();
        if let Some(accept) = self.accept.take() {
            let _ = accept.join();
        }
    }
}

fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut pumps: Vec<JoinHandle<()>> = Vec::new();
    while !shared.stop.load(Ordering::SeqCst) {
        pumps.retain(|p| !p.is_finished());
        let client = match listener.accept() {
            Ok((client, _)) => client,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                thread::sleep(POLL);
                continue;
            }
            Err(e) => {
                log::warn!(target: "proxy", "accept: {e}");
                thread::sleep(POLL);
                continue;
            }
        };
        let refuse = lock(&shared.faults).refuse;
        if refuse || pumps.len() >= 2 * MOST_CONNECTIONS {
            let _ = client.shutdown(Shutdown::Both);
            continue;
        }
        let target = *lock(&shared.target);
        let dial = |target: SocketAddr| TcpStream::connect_timeout(&target, Duration::from_secs(1)).ok();
        let Some(server) = target.and_then(dial) else {
            let _ = client.shutdown(Shutdown::Both);
            continue;
        };
        let streams = (client.try_clone(), server.try_clone(), client.try_clone(), server.try_clone());
        let (Ok(c2), Ok(s2), Ok(c3), Ok(s3)) = streams else { continue };
        lock(&shared.open).extend([c3, s3]);
        for (from, to, way) in [(client, s2, 0), (server, c2, 1)] {
            let inner = shared.clone();
            if let Ok(pump) =
                thread::Builder::new().name("proxy pump".into()).spawn(move || pump(from, to, way, &inner))
            {
                pumps.push(pump);
            }
        }
    }
    for pump in pumps {
        let _ = pump.join();
    }
}

/// Doubles and reorders whole messages.
#[derive(Default)]
struct Shuffle {
    held: Vec<u8>,
    /// One that others overtake.
    late: Option<Vec<u8>>,
    count: u64,
}

impl Shuffle {
    /// Takes bytes as they came, and gives those to pass on: always whole messages.
    fn pass(&mut self, bytes: &[u8], cut: Cut) -> Vec<u8> {
        self.held.extend_from_slice(bytes);
        let mut out = Vec::new();
        while let Some(length) = cut(&self.held).filter(|&n| n <= self.held.len()) {
            let message: Vec<u8> = self.held.drain(..length).collect();
            self.count += 1;
            // Every third waits for the one after it, every fourth comes twice.
            if self.count.is_multiple_of(3) && self.late.is_none() {
                self.late = Some(message);
                continue;
            }
            (0..1 + u64::from(self.count.is_multiple_of(4))).for_each(|_| out.extend_from_slice(&message));
            out.extend(self.late.take().into_iter().flatten());
        }
        out
    }

    /// What is held, once messages are passed on as they come again.
    fn rest(&mut self) -> Vec<u8> {
        let late = self.late.take().unwrap_or_default();
        [late, std::mem::take(&mut self.held)].concat()
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, way: usize, shared: &Shared) {
    let _ = from.set_read_timeout(Some(POLL));
    let (mut buf, mut shuffle) = (vec![0; 16 * 1024], Shuffle::default());
    while !shared.stop.load(Ordering::SeqCst) {
        let n = match from.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) =>
            {
                continue
            }
            Err(_) => break,
        };
        let faults = *lock(&shared.faults);
        if (way == 0 && faults.cut_forward) || (way == 1 && faults.cut_backward) {
            lock(&shared.dropped)[way] += n as u64;
            continue;
        }
        if !faults.delay.is_zero() {
            thread::sleep(faults.delay);
        }
        let passed = match faults.shuffle.filter(|_| way == 0) {
            Some(cut) => shuffle.pass(&buf[..n], cut),
            None => [&shuffle.rest(), &buf[..n]].concat(),
        };
        if to.write_all(&passed).is_err() {
            break;
        }
        lock(&shared.passed)[way] += n as u64;
    }
    // What one peer still had to say is lost with it, as with a process that dies.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

#[cfg(test)]
mod tests {
    use super::*;

    fn echo() -> (SocketAddr, JoinHandle<()>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let handle = thread::spawn(move || {
            // Two connections, then it ends: the test is bounded.
            for stream in listener.incoming().take(2) {
                let Ok(mut stream) = stream else { continue };
                thread::spawn(move || {
                    let mut buf = [0; 1024];
                    while let Ok(n) = stream.read(&mut buf) {
                        if n == 0 || stream.write_all(&buf[..n]).is_err() {
                            break;
                        }
                    }
                });
            }
        });
        (addr, handle)
    }

    fn roundtrip(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<Vec<u8>> {
        stream.write_all(bytes)?;
        let mut got = vec![0; bytes.len()];
        stream.read_exact(&mut got)?;
        Ok(got)
    }

    #[test]
    fn a_shuffle_loses_no_message_and_tears_none() {
        let cut: Cut = |bytes| bytes.first().map(|&n| usize::from(n) + 1);
        let messages: Vec<Vec<u8>> =
            (1..=40_u8).map(|n| [vec![n % 5 + 1], vec![n; usize::from(n % 5) + 1]].concat()).collect();
        let (stream, mut shuffle, mut out) = (messages.concat(), Shuffle::default(), Vec::new());
        stream.chunks(7).for_each(|chunk| out.extend(shuffle.pass(chunk, cut)));
        out.extend(shuffle.rest());
        let (mut got, mut at) = (Vec::new(), 0);
        while at < out.len() {
            let length = cut(&out[at..]).unwrap();
            got.push(out[at..at + length].to_vec());
            at += length;
        }
        assert!(got.len() > messages.len() && got != messages, "nothing came twice");
        assert!(got.windows(2).any(|w| w[0][1] > w[1][1]), "none was overtaken");
        assert!(messages.iter().all(|m| got.contains(m)));
    }

    #[test]
    fn bytes_pass_a_cut_drops_them_and_a_reset_ends_the_connection() {
        let (target, server) = echo();
        let proxy = Proxy::start(Some(target)).unwrap();
        let mut stream = TcpStream::connect(proxy.addr()).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        assert_eq!(roundtrip(&mut stream, b"one").unwrap(), b"one");
        proxy.set(Faults { cut_backward: true, ..Faults::default() });
        stream.write_all(b"lost").unwrap();
        // The echo of "lost" is dropped on its way back, whatever the timing: the next answer is "two" alone.
        while proxy.dropped()[1] < 4 {
            thread::sleep(POLL);
        }
        proxy.heal();
        assert_eq!(roundtrip(&mut stream, b"two").unwrap(), b"two");
        proxy.reset();
        let mut buf = [0; 8];
        assert!(matches!(stream.read(&mut buf), Ok(0) | Err(_)), "a reset connection still reads");
        proxy.set(Faults::partition());
        let mut refused = TcpStream::connect(proxy.addr()).unwrap();
        refused.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        assert!(matches!(refused.read(&mut buf), Ok(0) | Err(_)), "a partition let a connection in");
        proxy.heal();
        let mut again = TcpStream::connect(proxy.addr()).unwrap();
        again.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        assert_eq!(roundtrip(&mut again, b"three").unwrap(), b"three");
        drop(again);
        drop(proxy);
        server.join().unwrap();
    }
}
