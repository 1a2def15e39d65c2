//! How long news of a drain takes from its last byte to the shut gate: at rest, and under what may stand before it.
//!
//! Prints the median, the 99th of a hundred and the worst of each run: `cargo bench --bench news_to_gate`. The worst is a
//! matter of the machine's other load, so that nothing is asserted here; that no frame begins before news that waits is
//! tested in `tests/stalled_process.rs`.

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use curlewdeck::startup::Coordinator;

use harness::scripted::{chunk, news, Scripted, WATCH};
use harness::stand_in::{exchange, DataNode, NodeReply, Part};
use harness::{query_bytes, ready, served, TestCluster};

/// News that is measured under each load.
const ROUNDS: u32 = 200;
/// Between two pieces of news.
const PAUSE: Duration = Duration::from_millis(2);
/// News that is not taken by then never is.
const GIVEN_UP: Duration = Duration::from_secs(3);

/// Threads that go on until it is dropped.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// So many threads that do this again and again.
    fn of(threads: usize, work: impl Fn() + Clone + Send + 'static) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let run = |_| {
            let (stop, work) = (stop.clone(), work.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    work();
                }
            })
        };
        Self { threads: (0..threads).map(run).collect(), stop }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

/// Clients that ask one query after the other, whatever the answer.
fn clients(addr: SocketAddr, threads: usize) -> Load {
    Load::of(threads, move || drop(exchange(addr, &query_bytes("plaza-ranking", &[0, 1], "200m"))))
}

/// Keeps processors busy.
fn processors(threads: usize) -> Load {
    Load::of(threads, || {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_millis(5) {
            std::hint::spin_loop();
        }
    })
}

fn spoilt(_: &Part) -> NodeReply {
    NodeReply::Raw(b"\x05\0\0\0Onone".to_vec())
}

/// A data node that answers each connection's first bytes with frames without end: each is sound, none was asked for.
fn endless() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (addr, written) = (listener.local_addr().unwrap(), Arc::<AtomicUsize>::default());
    let count = written.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let count = count.clone();
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                // A late answer to a probe costs the connection nothing while parts are out on it.
                let frames = b"\x04\0\0\0I200".repeat(8192);
                while stream.write_all(&frames).is_ok() {
                    count.fetch_add(frames.len(), Ordering::SeqCst);
                }
            });
        }
    });
    (addr, written)
}

/// Figures of a run of rounds.
#[derive(Debug)]
struct Figures {
    rounds: usize,
    median: Duration,
    p99: Duration,
    worst: Duration,
}

impl Figures {
    fn of(mut times: Vec<Duration>) -> Self {
        times.sort();
        let at = |share: usize| times[(times.len() * share / 100).min(times.len() - 1)];
        Self { rounds: times.len(), median: at(50), p99: at(99), worst: *times.last().unwrap() }
    }
}

/// Tells the drain of the second data node and its return by turns, and takes the time until each is taken.
fn measure(
    coordinator: &Coordinator,
    watch: &mut TcpStream,
    (kept, drained): (SocketAddr, SocketAddr),
) -> Figures {
    let changes = || coordinator.core.counters.endpoint_list_changes.load(Ordering::SeqCst);
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        let state = if round % 2 == 0 { "draining" } else { "up" };
        let line = news(round + 2, false, &[("a", 0, kept, "up"), ("b", 1, drained, state)]);
        let bytes = chunk(&(line + "\n"));
        let before = changes();
        let told = Instant::now();
        watch.write_all(&bytes).unwrap();
        while changes() == before && told.elapsed() < GIVEN_UP {
            thread::yield_now();
        }
        times.push(told.elapsed());
        if changes() == before {
            break;
        }
        thread::sleep(PAUSE);
    }
    Figures::of(times)
}

/// A coordinator with two data nodes, and the watch of its list.
fn coordinator(kept: SocketAddr, drained: SocketAddr) -> (Coordinator, Scripted, TcpStream) {
    let (discovery, addr) = Scripted::new();
    let coordinator = TestCluster::default().start(addr, "");
    let (mut watch, _) = discovery.call();
    let whole = news(1, true, &[("a", 0, kept, "up"), ("b", 1, drained, "up")]);
    watch.write_all(&[WATCH, &chunk(&(whole + "\n"))].concat()).unwrap();
    ready(&coordinator);
    (coordinator, discovery, watch)
}

/// Prints a line.
fn print(name: &str, figures: &Figures) {
    let Figures { rounds, median, p99, worst } = figures;
    println!("news to gate, {name}: {rounds} rounds, median {median:?}, 99th {p99:?}, worst {worst:?}");
}

fn at_rest() {
    let (a, b) = (DataNode::start(served), DataNode::start(served));
    let (coordinator, _discovery, mut watch) = coordinator(a.addr, b.addr);
    print("at rest", &measure(&coordinator, &mut watch, (a.addr, b.addr)));
}

fn under_a_flood_of_requests() {
    let (a, b) = (DataNode::start(served), DataNode::start(served));
    let (coordinator, _discovery, mut watch) = coordinator(a.addr, b.addr);
    let _load = clients(coordinator.listen, 32);
    print("flood of requests", &measure(&coordinator, &mut watch, (a.addr, b.addr)));
}

fn under_a_flood_of_requests_and_busy_processors() {
    let (a, b) = (DataNode::start(served), DataNode::start(served));
    let (coordinator, _discovery, mut watch) = coordinator(a.addr, b.addr);
    let _load = (clients(coordinator.listen, 32), processors(8));
    print("flood and busy processors", &measure(&coordinator, &mut watch, (a.addr, b.addr)));
}

fn under_spoilt_answers() {
    let (a, b) = (DataNode::start(spoilt), DataNode::start(spoilt));
    let (coordinator, _discovery, mut watch) = coordinator(a.addr, b.addr);
    let _load = clients(coordinator.listen, 32);
    print("spoilt answers", &measure(&coordinator, &mut watch, (a.addr, b.addr)));
}

fn under_answers_without_end() {
    let (b, (addr, written)) = (DataNode::start(served), endless());
    let (coordinator, _discovery, mut watch) = coordinator(addr, b.addr);
    let _load = clients(coordinator.listen, 8);
    let figures = measure(&coordinator, &mut watch, (addr, b.addr));
    println!("bytes of answers without end: {}", written.load(Ordering::SeqCst));
    print("answers without end", &figures);
}

fn under_clients_that_send_without_end() {
    let (a, b) = (DataNode::start(served), DataNode::start(served));
    let (coordinator, _discovery, mut watch) = coordinator(a.addr, b.addr);
    let addr = coordinator.listen;
    let _load = Load::of(4, move || {
        let Ok(mut stream) = TcpStream::connect(addr) else { return };
        stream.set_nonblocking(true).unwrap();
        let requests: Vec<u8> = (0..64).flat_map(|_| query_bytes("tag-lookup", &[0], "200m")).collect();
        for _ in 0..1000 {
            match stream.write(&requests) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(Duration::from_micros(50)),
                Err(_) => return,
                Ok(_) => {}
            }
        }
    });
    print("clients that send without end", &measure(&coordinator, &mut watch, (a.addr, b.addr)));
}

/// One after the other: all coordinators of a process share one worker.
fn main() {
    at_rest();
    under_a_flood_of_requests();
    under_a_flood_of_requests_and_busy_processors();
    under_spoilt_answers();
    under_answers_without_end();
    under_clients_that_send_without_end();
}
