//! Drains while the process is stalled. A signal stops the process while discovery announces a drain and requests
//! arrive or are in progress; after it resumes, no new attempt begins at the drained data node. Also covers a data node
//! whose traffic could monopolize a worker.

mod harness;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use harness::scripted::{
    chunk, complete_list, list_update, ListEntry, ScriptedDiscoveryServer, WATCH_RESPONSE_HEAD,
};
use harness::stand_in::{send_request, DataNode, Discovery};
use harness::{
    member, query_bytes, set_member_state, successful_reply, wait_until, wait_until_healthy, Program,
    TestCluster,
};

/// The grace of the drain rule, measured on sockets: no new attempt may begin after it.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Far less than the silence after which a watch is considered broken.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The program under test, its watch, and the version of the last list that was sent.
struct StallTest {
    program: Program,
    watch: Arc<Mutex<TcpStream>>,
    /// Keeps the address of discovery in use.
    _discovery: ScriptedDiscoveryServer,
    drained: SocketAddr,
    version: u32,
}

impl StallTest {
    /// Starts the program with two data nodes that hold all shards.
    fn start(kept: SocketAddr, drained: SocketAddr) -> Self {
        Self::start_with_nodes(drained, &[("kept", 0, kept), ("drained", 1, drained)])
    }

    fn start_with_nodes(drained: SocketAddr, nodes: &[(&str, u32, SocketAddr)]) -> Self {
        let (discovery, addr) = ScriptedDiscoveryServer::new();
        let config = TestCluster::default().config(addr);
        let starting = thread::spawn(move || Program::start(&config));
        let (mut watch, _) = discovery.accept_call();
        let complete_list = complete_list(1, nodes);
        watch.write_all(&[WATCH_RESPONSE_HEAD, &chunk(&(complete_list + "\n"))].concat()).unwrap();
        let program = starting.join().unwrap();
        let watch = Arc::new(Mutex::new(watch));
        thread::spawn({
            let watch = Arc::downgrade(&watch);
            move || send_heartbeats(&watch)
        });
        Self { program, watch, _discovery: discovery, drained, version: 1 }
    }

    fn stop(&self) {
        self.program.signal("STOP");
        wait_until("the process to stop", || self.program.state() == 'T');
    }

    /// Announces a state of the data node that the test drains.
    fn announce_state(&mut self, state: &str) {
        self.announce(&[("drained", 1, self.drained, state)]);
    }

    fn announce(&mut self, lines: &[ListEntry]) {
        self.version += 1;
        let line = list_update(self.version, false, lines);
        self.watch.lock().unwrap().write_all(&chunk(&(line + "\n"))).unwrap();
    }

    /// Stops the program, announces the drain and waits for the drain grace to pass. The program remains stopped.
    fn drain_while_stopped(&mut self) {
        self.stop();
        self.announce_state("draining");
        // The rule counts the grace in real time from this write.
        thread::sleep(DRAIN_GRACE);
    }

    fn resume(&self) {
        self.program.signal("CONT");
    }

    /// Asserts that a query is answered with status 200.
    fn assert_answers(&self) {
        let answer = send_request(self.program.addr, &query_bytes("tag-lookup", &[0, 1], "20000m")).unwrap();
        assert_eq!(answer.status, 200);
    }
}

/// Writes heartbeats to the watch until it is closed, so that it does not time out during long steps.
fn send_heartbeats(watch: &Weak<Mutex<TcpStream>>) {
    while let Some(watch) = watch.upgrade() {
        if watch.lock().unwrap().write_all(&chunk("\n")).is_err() {
            return;
        }
        drop(watch);
        thread::sleep(HEARTBEAT_INTERVAL);
    }
}

/// Clients that each send one query after another until this is dropped.
struct Clients(Arc<AtomicBool>, Vec<JoinHandle<()>>);

impl Clients {
    fn start(addr: SocketAddr, count: usize) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let run = |_| {
            let stop = stop.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let _ = send_request(addr, &query_bytes("plaza-ranking", &[0, 1, 2, 3], "2000m"));
                }
            })
        };
        Self(stop.clone(), (0..count).map(run).collect())
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
        self.1.drain(..).for_each(|client| drop(client.join()));
    }
}

/// When a process stopped under load resumes, tasks that were runnable at the stop run first. The parts of their
/// queries must not be sent to a data node that was drained meanwhile.
#[test]
fn a_process_stopped_under_load_sends_no_parts_to_a_drained_node() {
    const STOPS: usize = 12;
    let (kept, drained) = (DataNode::start(successful_reply), DataNode::start(successful_reply));
    let mut test = StallTest::start(kept.addr, drained.addr);
    let clients = Clients::start(test.program.addr, 12);
    let mut late = Vec::new();
    for _ in 0..STOPS {
        let before = drained.received_parts().len();
        wait_until("parts", || drained.received_parts().len() > before + 20);
        test.drain_while_stopped();
        // By now the data node has read all that was sent to it before the stop.
        let parts_before = drained.received_parts().len();
        let served_before = kept.received_parts().len();
        test.resume();
        wait_until("parts at the other data node", || kept.received_parts().len() > served_before + 20);
        late.push(drained.received_parts().len() - parts_before);
        test.announce_state("up");
    }
    drop(clients);
    assert!(late.iter().all(|&parts| parts == 0), "parts sent after the grace, by stop: {late:?}");
    test.assert_answers();
}

/// Requests arrive while the process is stopped, before and after the announcement of a drain: none is sent to the
/// drained data node.
#[test]
fn requests_received_during_a_stop_are_not_sent_to_a_drained_node() {
    let (kept, drained) = (DataNode::start(successful_reply), DataNode::start(successful_reply));
    let mut test = StallTest::start(kept.addr, drained.addr);
    test.assert_answers();
    let open_and_query = || {
        let mut stream = TcpStream::connect(test.program.addr).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
        stream.write_all(&query_bytes("tag-lookup", &[0, 1], "20000m")).unwrap();
        stream
    };
    let mut clients: Vec<TcpStream> = (0..8).map(|_| open_and_query()).collect();
    clients.iter_mut().for_each(|stream| assert!(stream.read(&mut [0; 4096]).unwrap() > 0));
    test.stop();
    let parts_before = drained.received_parts().len();
    for stream in &mut clients {
        stream.write_all(&query_bytes("tag-lookup", &[2, 3], "20000m")).unwrap();
    }
    test.announce_state("draining");
    for stream in &mut clients {
        stream.write_all(&query_bytes("tag-lookup", &[1, 2], "20000m")).unwrap();
    }
    thread::sleep(DRAIN_GRACE);
    test.resume();
    for stream in &mut clients {
        assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
    }
    assert_eq!(drained.received_parts().len(), parts_before);
    test.assert_answers();
}

/// A listener with the smallest backlog and the connection that fills it. No further connection is established until
/// that one is accepted.
fn listener_with_full_backlog() -> (TcpListener, TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let first = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener, first)
}

/// Whether a connection to this address is being established.
fn is_connecting(addr: SocketAddr) -> bool {
    let SocketAddr::V4(addr) = addr else { panic!("{addr}") };
    // The remote address and port as the kernel prints them, and the state SYN_SENT (02).
    let remote = format!(" {:08X}:{:04X} 02 ", u32::from_ne_bytes(addr.ip().octets()), addr.port());
    std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&remote)
}

/// A connection is established while the process is stopped and the data node drains. The part that waited for the
/// connection must not be sent over it.
#[test]
fn a_connection_established_during_a_stop_sends_nothing_to_a_drained_node() {
    let kept = DataNode::start(successful_reply);
    let (listener, first) = listener_with_full_backlog();
    let drained = listener.local_addr().unwrap();
    let mut test = StallTest::start_with_nodes(drained, &[("drained", 1, drained)]);
    let addr = test.program.addr;
    let client =
        thread::spawn(move || send_request(addr, &query_bytes("tag-lookup", &[0], "20000m")).unwrap());
    wait_until("the connection attempt", || is_connecting(drained));
    test.stop();
    drop(listener.accept().unwrap());
    drop(first);
    // The kernel retransmits the SYN a second after the first, whether or not the process runs.
    listener.set_nonblocking(true).unwrap();
    let mut accepted = None;
    wait_until("the retransmitted SYN", || {
        accepted = listener.accept().ok();
        accepted.is_some()
    });
    let (mut connection, _) = accepted.unwrap();
    test.announce(&[("kept", 0, kept.addr, "up"), ("drained", 1, drained, "draining")]);
    thread::sleep(DRAIN_GRACE);
    test.resume();
    wait_until("the end of the query", || client.is_finished());
    test.assert_answers();
    connection.set_nonblocking(true).unwrap();
    match connection.read(&mut [0; 64]) {
        Ok(0) => {}
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::ConnectionReset) => {}
        received => panic!("the drained data node received data: {received:?}"),
    }
}

/// Starts a data node that sends frames without end after the first bytes of each connection. The frames are valid but
/// unsolicited: late answers to a health probe, which do not close the connection while it has open parts.
fn start_flooding_node() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                let frames = b"\x04\0\0\0I200".repeat(8192);
                while stream.write_all(&frames).is_ok() {}
            });
        }
    });
    addr
}

/// A data node sends faster than the only worker reads. The worker must still poll its other sockets, so that changes
/// of the endpoint list reach the core.
#[test]
fn a_flooding_data_node_does_not_block_endpoint_list_changes() {
    let (flooding, drained) = (start_flooding_node(), DataNode::start(successful_reply));
    let list = vec![member("sends", 0, flooding), member("drained", 1, drained.addr)];
    let discovery = Discovery::start("127.0.0.1:0", list);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let _clients = Clients::start(coordinator.listen, 8);
    for state in ["draining", "up", "draining", "up", "draining", "up"] {
        set_member_state(&coordinator, &discovery, "drained", state);
    }
}
