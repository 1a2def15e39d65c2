//! A data node whose connections and reading a test holds back. It notes when the first byte of each part came, and on
//! which connection.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::stand_in::{frame, lock, read_frame, read_parts, NodeReply, Part, ReadFrame};

/// A part as it came.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Its name.
    pub id: String,
    /// The connection, numbered in the order in which they were accepted.
    pub connection: usize,
    /// When the first byte of its frame was read.
    pub begun: Instant,
}

/// What came, and what may be done.
#[derive(Default)]
struct State {
    arrivals: Mutex<Vec<Arrival>>,
    /// Letters of frames that are no calls, with the connections they came on.
    others: Mutex<Vec<(u8, usize)>>,
    accepted: Mutex<usize>,
    /// Connections that their peer has ended.
    ended: Mutex<Vec<usize>>,
    reads: AtomicBool,
}

/// A wait so short that it is over at once where a listener takes a connection: on loopback nothing is on the way.
const AT_ONCE: Duration = Duration::from_millis(100);
/// More connections than a listener lets wait.
const MOST_WAITING: usize = 10_000;
/// So many in a row that do not come up show that no more will.
const SURE: usize = 3;
const LOOK: Duration = Duration::from_millis(2);

/// The data node.
pub struct StallingDataNode {
    /// Where it listens.
    pub addr: SocketAddr,
    listener: TcpListener,
    filled: AtomicUsize,
    /// Connections that fill the listener's queue, so that others do not come up.
    fillers: Mutex<Vec<TcpStream>>,
    state: Arc<State>,
    reply: Arc<dyn Fn(&Part) -> NodeReply + Send + Sync>,
}

impl StallingDataNode {
    /// One that takes no connection yet: they come up later, as the kernel tries again.
    pub fn unreachable(reply: impl Fn(&Part) -> NodeReply + Send + Sync + 'static) -> Self {
        let node = Self::new(reply);
        let mut failed = 0;
        while failed < SURE {
            match TcpStream::connect_timeout(&node.addr, AT_ONCE) {
                Ok(filler) => lock(&node.fillers).push(filler),
                Err(_) => failed += 1,
            }
            assert!(lock(&node.fillers).len() < MOST_WAITING, "the listener's queue does not fill");
        }
        node.filled.store(lock(&node.fillers).len(), Ordering::SeqCst);
        node.reads();
        node
    }

    /// One that takes connections and reads nothing yet.
    pub fn unread(reply: impl Fn(&Part) -> NodeReply + Send + Sync + 'static) -> Self {
        let node = Self::new(reply);
        node.accepts();
        node
    }

    /// One that serves at once.
    pub fn serving(reply: impl Fn(&Part) -> NodeReply + Send + Sync + 'static) -> Self {
        let node = Self::unread(reply);
        node.reads();
        node
    }

    fn new(reply: impl Fn(&Part) -> NodeReply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (addr, reply) = (listener.local_addr().unwrap(), Arc::new(reply));
        Self {
            addr,
            listener,
            filled: AtomicUsize::new(0),
            fillers: Mutex::default(),
            state: Arc::default(),
            reply,
        }
    }

    /// From now on connections come up.
    pub fn accepts(&self) {
        lock(&self.fillers).clear();
        let (listener, state, reply) =
            (self.listener.try_clone().unwrap(), self.state.clone(), self.reply.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, reply) = (state.clone(), reply.clone());
                let number = {
                    let mut accepted = lock(&state.accepted);
                    *accepted += 1;
                    *accepted - 1
                };
                thread::spawn(move || {
                    serve(stream, number, &state, &reply);
                    lock(&state.ended).push(number);
                });
            }
        });
    }

    /// From now on what has come is read.
    pub fn reads(&self) {
        self.state.reads.store(true, Ordering::SeqCst);
    }

    /// The parts that have come.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.state.arrivals).clone()
    }

    /// Frames other than calls, by letter and connection.
    pub fn others(&self) -> Vec<(u8, usize)> {
        lock(&self.state.others).clone()
    }

    /// Connections that came up, without those that filled the listener's queue.
    pub fn connections(&self) -> usize {
        lock(&self.state.accepted).saturating_sub(self.filled.load(Ordering::SeqCst))
    }

    /// Connections that came up and are not ended.
    pub fn open(&self) -> usize {
        // The count of those that have ended is taken first: one more may follow.
        let ended = lock(&self.state.ended).len();
        *lock(&self.state.accepted) - ended
    }

    /// Parts whose first byte came later than this.
    pub fn begun_after(&self, at: Instant) -> Vec<Arrival> {
        self.arrivals().into_iter().filter(|a| a.begun > at).collect()
    }
}

/// Reads frames until the peer ends the connection.
fn serve(
    mut stream: TcpStream,
    connection: usize,
    state: &Arc<State>,
    reply: &Arc<dyn Fn(&Part) -> NodeReply + Send + Sync>,
) {
    let _ = stream.set_nodelay(true);
    loop {
        while !state.reads.load(Ordering::SeqCst) {
            thread::sleep(LOOK);
        }
        let Some(ReadFrame { letter, rest, begun }) = read_frame(&mut stream) else { return };
        if letter != b'D' {
            lock(&state.others).push((letter, connection));
            if letter == b'I' {
                let _ = stream.write_all(&frame(b'I', b"200"));
            }
            continue;
        }
        for part in read_parts(&rest) {
            lock(&state.arrivals).push(Arrival { id: part.id.clone(), connection, begun });
            let (Ok(mut out), reply) = (stream.try_clone(), reply.clone()) else { return };
            thread::spawn(move || match reply(&part) {
                NodeReply::Answer(end, score, value) => {
                    let line = format!("{} {end} {score} -\n{value}", part.id);
                    let _ = out.write_all(&frame(b'O', line.as_bytes()));
                }
                NodeReply::Raw(bytes) => drop(out.write_all(&bytes)),
                NodeReply::Silence => {}
                NodeReply::Close => drop(out.shutdown(std::net::Shutdown::Both)),
            });
        }
    }
}
