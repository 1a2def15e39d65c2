//! A data node that accepts connections and reads from them only when the test allows it. It records the arrival time
//! and the connection of each part's first byte.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::stand_in::{frame, lock, read_frame, read_parts, NodeReply, Part, ReceivedFrame};

/// A received part.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The part's name.
    pub id: String,
    /// The connection, numbered in the order in which they were accepted.
    pub connection: usize,
    /// When the first byte of its frame was read.
    pub first_byte_time: Instant,
}

/// State shared by the data node's threads.
#[derive(Default)]
struct State {
    arrivals: Mutex<Vec<Arrival>>,
    /// Types of frames other than calls, with their connections.
    others: Mutex<Vec<(u8, usize)>>,
    accepted: Mutex<usize>,
    /// Connections that the peer has closed.
    ended: Mutex<Vec<usize>>,
    reads: AtomicBool,
}

/// Connect timeout for filling the listener's queue: a loopback connection that the listener can queue takes far less.
const FILLER_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Upper bound on filler connections, above any backlog of a listener.
const MAX_FILLERS: usize = 10_000;
/// Number of connect timeouts after which the listener's queue counts as full.
const TIMEOUTS_WHEN_FULL: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A data node that stalls its connections or its reads.
pub struct StallingDataNode {
    /// The listening address.
    pub addr: SocketAddr,
    listener: TcpListener,
    filled: AtomicUsize,
    /// Connections that fill the listener's queue, so that further connections are not established.
    fillers: Mutex<Vec<TcpStream>>,
    state: Arc<State>,
    reply: Arc<dyn Fn(&Part) -> NodeReply + Send + Sync>,
}

impl StallingDataNode {
    /// Starts a data node whose listener's queue is full. Connections are established after
    /// [`Self::start_accepting`], when the kernel retransmits their SYN.
    pub fn start_unreachable(reply: impl Fn(&Part) -> NodeReply + Send + Sync + 'static) -> Self {
        let node = Self::new(reply);
        let mut failed = 0;
        while failed < TIMEOUTS_WHEN_FULL {
            match TcpStream::connect_timeout(&node.addr, FILLER_CONNECT_TIMEOUT) {
                Ok(filler) => lock(&node.fillers).push(filler),
                Err(_) => failed += 1,
            }
            assert!(lock(&node.fillers).len() < MAX_FILLERS, "the listener's queue does not fill up");
        }
        node.filled.store(lock(&node.fillers).len(), Ordering::SeqCst);
        node.start_reading();
        node
    }

    /// Starts a data node that accepts connections and reads nothing until [`Self::start_reading`].
    pub fn start_without_reading(reply: impl Fn(&Part) -> NodeReply + Send + Sync + 'static) -> Self {
        let node = Self::new(reply);
        node.start_accepting();
        node
    }

    /// Starts a data node that accepts connections and reads from them at once.
    pub fn start_serving(reply: impl Fn(&Part) -> NodeReply + Send + Sync + 'static) -> Self {
        let node = Self::start_without_reading(reply);
        node.start_reading();
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

    /// Empties the listener's queue and accepts connections from now on.
    pub fn start_accepting(&self) {
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

    /// Reads frames from now on, including those already received.
    pub fn start_reading(&self) {
        self.state.reads.store(true, Ordering::SeqCst);
    }

    /// The received parts, in the order in which they were read.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.state.arrivals).clone()
    }

    /// Frames other than calls, by type and connection.
    pub fn frames_other_than_calls(&self) -> Vec<(u8, usize)> {
        lock(&self.state.others).clone()
    }

    /// Number of accepted connections, without those that filled the listener's queue.
    pub fn connections(&self) -> usize {
        lock(&self.state.accepted).saturating_sub(self.filled.load(Ordering::SeqCst))
    }

    /// Number of accepted connections that the peer has not closed.
    pub fn open_connections(&self) -> usize {
        // Closed connections are counted first, since a further one may be accepted and closed between the two reads.
        let ended = lock(&self.state.ended).len();
        *lock(&self.state.accepted) - ended
    }

    /// Parts whose first byte arrived after this moment.
    pub fn parts_begun_after(&self, at: Instant) -> Vec<Arrival> {
        self.arrivals().into_iter().filter(|a| a.first_byte_time > at).collect()
    }
}

/// Reads frames until the peer closes the connection.
fn serve(
    mut stream: TcpStream,
    connection: usize,
    state: &Arc<State>,
    reply: &Arc<dyn Fn(&Part) -> NodeReply + Send + Sync>,
) {
    let _ = stream.set_nodelay(true);
    loop {
        while !state.reads.load(Ordering::SeqCst) {
            thread::sleep(POLL_INTERVAL);
        }
        let Some(ReceivedFrame { frame_type, payload, first_byte_time }) = read_frame(&mut stream) else {
            return;
        };
        if frame_type != b'D' {
            lock(&state.others).push((frame_type, connection));
            if frame_type == b'I' {
                let _ = stream.write_all(&frame(b'I', b"200"));
            }
            continue;
        }
        for part in read_parts(&payload) {
            lock(&state.arrivals).push(Arrival { id: part.id.clone(), connection, first_byte_time });
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
