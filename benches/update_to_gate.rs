//! Measures how long a drain update takes from the write of its last byte until the drain gate closes, on an idle
//! coordinator and under loads that may be processed ahead of the update.
//!
//! Run it with `cargo bench --bench update_to_gate`. It prints the median, the 99th percentile and the maximum under
//! each load. The maximum depends on the machine's other load, so nothing is asserted here;
//! `tests/stalled_process.rs` tests that no frame is started while an update is pending.

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use curlewdeck::startup::Coordinator;

use harness::scripted::{chunk, list_update, ScriptedDiscoveryServer, WATCH_RESPONSE_HEAD};
use harness::stand_in::{send_request, DataNode, NodeReply, Part};
use harness::{query_bytes, successful_reply, wait_until_healthy, TestCluster};

/// Updates measured under each load.
const UPDATES_PER_LOAD: u32 = 200;
/// Pause between two updates.
const UPDATE_PAUSE: Duration = Duration::from_millis(2);
/// An update that is not applied within this time counts as lost and ends the run.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(3);

/// Background threads that run until this is dropped.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts threads that each repeat `work`.
    fn start(threads: usize, work: impl Fn() + Clone + Send + 'static) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let spawn = |_| {
            let (stop, work) = (stop.clone(), work.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    work();
                }
            })
        };
        Self { threads: (0..threads).map(spawn).collect(), stop }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

/// Starts clients that send one query after another and ignore the answers.
fn start_clients(addr: SocketAddr, threads: usize) -> Load {
    Load::start(threads, move || drop(send_request(addr, &query_bytes("plaza-ranking", &[0, 1], "200m"))))
}

/// Starts threads that keep processors busy.
fn start_busy_threads(threads: usize) -> Load {
    Load::start(threads, || {
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(5) {
            std::hint::spin_loop();
        }
    })
}

/// Replies with a frame whose answer line has one field instead of four.
fn malformed_reply(_: &Part) -> NodeReply {
    NodeReply::Raw(b"\x05\0\0\0Onone".to_vec())
}

/// Starts a data node that sends an endless stream of valid but unsolicited frames once a connection has sent its first
/// bytes. Returns its address and a counter of the bytes written.
fn start_endless_data_node() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (addr, bytes_written) = (listener.local_addr().unwrap(), Arc::<AtomicUsize>::default());
    let counter = bytes_written.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let counter = counter.clone();
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                // A late health check answer doesn't make the coordinator close a connection with unanswered parts.
                let frames = b"\x04\0\0\0I200".repeat(8192);
                while stream.write_all(&frames).is_ok() {
                    counter.fetch_add(frames.len(), Ordering::SeqCst);
                }
            });
        }
    });
    (addr, bytes_written)
}

/// Latencies of the updates of one run.
#[derive(Debug)]
struct LatencySummary {
    updates: usize,
    median: Duration,
    p99: Duration,
    max: Duration,
}

impl LatencySummary {
    fn new(mut latencies: Vec<Duration>) -> Self {
        latencies.sort();
        let percentile =
            |percent: usize| latencies[(latencies.len() * percent / 100).min(latencies.len() - 1)];
        Self {
            updates: latencies.len(),
            median: percentile(50),
            p99: percentile(99),
            max: *latencies.last().unwrap(),
        }
    }
}

/// Alternately drains the second data node and makes it active again, and measures the time until each update is
/// applied. Stops at the first update that is not.
fn measure(
    coordinator: &Coordinator,
    watch: &mut TcpStream,
    (active, drained): (SocketAddr, SocketAddr),
) -> LatencySummary {
    let applied_changes = || coordinator.core.counters.endpoint_list_changes.load(Ordering::SeqCst);
    let mut latencies = Vec::new();
    for round in 0..UPDATES_PER_LOAD {
        let state = if round % 2 == 0 { "draining" } else { "up" };
        let line = list_update(round + 2, false, &[("a", 0, active, "up"), ("b", 1, drained, state)]);
        let bytes = chunk(&(line + "\n"));
        let changes_before = applied_changes();
        let sent_at = Instant::now();
        watch.write_all(&bytes).unwrap();
        while applied_changes() == changes_before && sent_at.elapsed() < UPDATE_TIMEOUT {
            thread::yield_now();
        }
        latencies.push(sent_at.elapsed());
        if applied_changes() == changes_before {
            break;
        }
        thread::sleep(UPDATE_PAUSE);
    }
    LatencySummary::new(latencies)
}

/// Starts a coordinator with two data nodes. Returns it with its discovery service and its endpoint list watch.
fn start_coordinator(
    active: SocketAddr,
    drained: SocketAddr,
) -> (Coordinator, ScriptedDiscoveryServer, TcpStream) {
    let (discovery, addr) = ScriptedDiscoveryServer::new();
    let coordinator = TestCluster::default().start(addr, "");
    let (mut watch, _) = discovery.accept_call();
    let full_list = list_update(1, true, &[("a", 0, active, "up"), ("b", 1, drained, "up")]);
    watch.write_all(&[WATCH_RESPONSE_HEAD, &chunk(&(full_list + "\n"))].concat()).unwrap();
    wait_until_healthy(&coordinator);
    (coordinator, discovery, watch)
}

fn print(load: &str, summary: &LatencySummary) {
    let LatencySummary { updates, median, p99, max } = summary;
    println!("update to drain gate, {load}: {updates} updates, median {median:?}, p99 {p99:?}, max {max:?}");
}

fn while_idle() {
    let (a, b) = (DataNode::start(successful_reply), DataNode::start(successful_reply));
    let (coordinator, _discovery, mut watch) = start_coordinator(a.addr, b.addr);
    print("idle", &measure(&coordinator, &mut watch, (a.addr, b.addr)));
}

fn under_request_flood() {
    let (a, b) = (DataNode::start(successful_reply), DataNode::start(successful_reply));
    let (coordinator, _discovery, mut watch) = start_coordinator(a.addr, b.addr);
    let _load = start_clients(coordinator.listen, 32);
    print("request flood", &measure(&coordinator, &mut watch, (a.addr, b.addr)));
}

fn under_request_flood_and_busy_processors() {
    let (a, b) = (DataNode::start(successful_reply), DataNode::start(successful_reply));
    let (coordinator, _discovery, mut watch) = start_coordinator(a.addr, b.addr);
    let _load = (start_clients(coordinator.listen, 32), start_busy_threads(8));
    print("request flood and busy processors", &measure(&coordinator, &mut watch, (a.addr, b.addr)));
}

fn under_malformed_answers() {
    let (a, b) = (DataNode::start(malformed_reply), DataNode::start(malformed_reply));
    let (coordinator, _discovery, mut watch) = start_coordinator(a.addr, b.addr);
    let _load = start_clients(coordinator.listen, 32);
    print("malformed answers", &measure(&coordinator, &mut watch, (a.addr, b.addr)));
}

fn under_endless_answers() {
    let (b, (addr, bytes_written)) = (DataNode::start(successful_reply), start_endless_data_node());
    let (coordinator, _discovery, mut watch) = start_coordinator(addr, b.addr);
    let _load = start_clients(coordinator.listen, 8);
    let summary = measure(&coordinator, &mut watch, (addr, b.addr));
    println!("endless answers: {} bytes written", bytes_written.load(Ordering::SeqCst));
    print("endless answers", &summary);
}

fn under_endless_client_requests() {
    let (a, b) = (DataNode::start(successful_reply), DataNode::start(successful_reply));
    let (coordinator, _discovery, mut watch) = start_coordinator(a.addr, b.addr);
    let addr = coordinator.listen;
    let _load = Load::start(4, move || {
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
    print("endless client requests", &measure(&coordinator, &mut watch, (a.addr, b.addr)));
}

/// Runs the loads one after another, because all coordinators of a process share one worker.
fn main() {
    while_idle();
    under_request_flood();
    under_request_flood_and_busy_processors();
    under_malformed_answers();
    under_endless_answers();
    under_endless_client_requests();
}
