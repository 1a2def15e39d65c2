//! A process that is held up: stopped by a signal while news of a drain is written to it, with requests at its door and
//! on their way through it. Once it goes on, nothing new begins at the drained data node, whatever was ready before. And a
//! worker that one peer would have to itself.

mod harness;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use harness::scripted::{chunk, list, news, Line, Scripted, WATCH};
use harness::stand_in::{exchange, DataNode, Discovery};
use harness::{change, member, query_bytes, ready, served, until, Program, TestCluster};

/// The grace of the drain rule on sockets: once this is over, nothing new may begin.
const GRACE: Duration = Duration::from_millis(300);
/// Far less than the silence after which a watch counts as broken.
const BEAT: Duration = Duration::from_millis(500);

/// The program, its watch, and the number of the list that was told last.
struct Held {
    program: Program,
    watch: Arc<Mutex<TcpStream>>,
    /// Keeps the service's address.
    _discovery: Scripted,
    drained: SocketAddr,
    version: u32,
}

impl Held {
    /// Two data nodes hold every shard.
    fn start(kept: SocketAddr, drained: SocketAddr) -> Self {
        Self::listing(drained, &[("kept", 0, kept), ("drained", 1, drained)])
    }

    fn listing(drained: SocketAddr, nodes: &[(&str, u32, SocketAddr)]) -> Self {
        let (discovery, addr) = Scripted::new();
        let config = TestCluster::default().config(addr);
        let starting = thread::spawn(move || Program::start(&config));
        let (mut watch, _) = discovery.call();
        let whole = list(1, nodes);
        watch.write_all(&[WATCH, &chunk(&(whole + "\n"))].concat()).unwrap();
        let program = starting.join().unwrap();
        let watch = Arc::new(Mutex::new(watch));
        thread::spawn({
            let watch = Arc::downgrade(&watch);
            move || beat(&watch)
        });
        Self { program, watch, _discovery: discovery, drained, version: 1 }
    }

    fn stop(&self) {
        self.program.signal("STOP");
        until("the stop", || self.program.state() == 'T');
    }

    /// Tells a state of the second data node.
    fn tell(&mut self, state: &str) {
        self.tell_lines(&[("drained", 1, self.drained, state)]);
    }

    fn tell_lines(&mut self, lines: &[Line]) {
        self.version += 1;
        let line = news(self.version, false, lines);
        self.watch.lock().unwrap().write_all(&chunk(&(line + "\n"))).unwrap();
    }

    /// Stops the program, tells the drain and lets the grace pass; returns with the program still stopped.
    fn drained_while_stopped(&mut self) {
        self.stop();
        self.tell("draining");
        // Counted by the rule from the write on: a span of real time.
        thread::sleep(GRACE);
    }

    fn go_on(&self) {
        self.program.signal("CONT");
    }

    /// One query that is answered whole, from the data node that stays.
    fn answers(&self) {
        let answer = exchange(self.program.addr, &query_bytes("tag-lookup", &[0, 1], "20000m")).unwrap();
        assert_eq!(answer.status, 200);
    }
}

/// Tells again and again that nothing has changed, so that the watch lives however long a step takes, up to its end.
fn beat(watch: &Weak<Mutex<TcpStream>>) {
    while let Some(watch) = watch.upgrade() {
        if watch.lock().unwrap().write_all(&chunk("\n")).is_err() {
            return;
        }
        drop(watch);
        thread::sleep(BEAT);
    }
}

/// Clients that ask one query after the other, until it is dropped.
struct Clients(Arc<AtomicBool>, Vec<JoinHandle<()>>);

impl Clients {
    fn start(addr: SocketAddr, count: usize) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let run = |_| {
            let stop = stop.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let _ = exchange(addr, &query_bytes("plaza-ranking", &[0, 1, 2, 3], "2000m"));
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

/// Guards the parts of queries that are on their way through the process when it is stopped: whatever was runnable at
/// that moment goes on first.
#[test]
fn a_process_stopped_under_load_begins_nothing_at_a_drained_node() {
    const STOPS: usize = 12;
    let (kept, drained) = (DataNode::start(served), DataNode::start(served));
    let mut held = Held::start(kept.addr, drained.addr);
    let clients = Clients::start(held.program.addr, 12);
    let mut late = Vec::new();
    for _ in 0..STOPS {
        let before = drained.parts().len();
        until("parts", || drained.parts().len() > before + 20);
        held.drained_while_stopped();
        // What was written before the stop has been read by now.
        let begun = drained.parts().len();
        let served_before = kept.parts().len();
        held.go_on();
        until("parts elsewhere", || kept.parts().len() > served_before + 20);
        late.push(drained.parts().len() - begun);
        held.tell("up");
    }
    drop(clients);
    assert!(late.iter().all(|&parts| parts == 0), "parts after the grace at each stop: {late:?}");
    held.answers();
}

/// Guards requests that come while the process is stopped, before the news and behind it.
#[test]
fn requests_that_come_during_a_stop_are_not_sent_to_a_drained_node() {
    let (kept, drained) = (DataNode::start(served), DataNode::start(served));
    let mut held = Held::start(kept.addr, drained.addr);
    held.answers();
    let ask = || {
        let mut stream = TcpStream::connect(held.program.addr).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
        stream.write_all(&query_bytes("tag-lookup", &[0, 1], "20000m")).unwrap();
        stream
    };
    let mut asked: Vec<TcpStream> = (0..8).map(|_| ask()).collect();
    asked.iter_mut().for_each(|stream| assert!(stream.read(&mut [0; 4096]).unwrap() > 0));
    held.stop();
    let begun = drained.parts().len();
    for stream in &mut asked {
        stream.write_all(&query_bytes("tag-lookup", &[2, 3], "20000m")).unwrap();
    }
    held.tell("draining");
    for stream in &mut asked {
        stream.write_all(&query_bytes("tag-lookup", &[1, 2], "20000m")).unwrap();
    }
    thread::sleep(GRACE);
    held.go_on();
    for stream in &mut asked {
        assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
    }
    assert_eq!(drained.parts().len(), begun);
    held.answers();
}

/// A listener with the smallest queue, and the connection that fills it: no further one comes up until that is taken.
fn with_a_full_queue() -> (TcpListener, TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let first = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener, first)
}

/// Whether a connection to this address is being opened.
fn is_dialled(addr: SocketAddr) -> bool {
    let SocketAddr::V4(addr) = addr else { panic!("{addr}") };
    // The address and port as the system writes them, and the state SYN_SENT.
    let far = format!(" {:08X}:{:04X} 02 ", u32::from_ne_bytes(addr.ip().octets()), addr.port());
    std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&far)
}

/// Guards a connection that comes up while the process is stopped: what waited for it is not sent over it.
#[test]
fn a_dial_that_comes_up_during_a_stop_carries_nothing_to_a_drained_node() {
    let kept = DataNode::start(served);
    let (listener, first) = with_a_full_queue();
    let drained = listener.local_addr().unwrap();
    let mut held = Held::listing(drained, &[("drained", 1, drained)]);
    let addr = held.program.addr;
    let asked = thread::spawn(move || exchange(addr, &query_bytes("tag-lookup", &[0], "20000m")).unwrap());
    until("the dial", || is_dialled(drained));
    held.stop();
    drop(listener.accept().unwrap());
    drop(first);
    // The system tries again a second after the first try, whether or not the process runs.
    listener.set_nonblocking(true).unwrap();
    let mut accepted = None;
    until("the dial's next try", || {
        accepted = listener.accept().ok();
        accepted.is_some()
    });
    let (mut dialled, _) = accepted.unwrap();
    held.tell_lines(&[("kept", 0, kept.addr, "up"), ("drained", 1, drained, "draining")]);
    thread::sleep(GRACE);
    held.go_on();
    until("the end of the query", || asked.is_finished());
    held.answers();
    dialled.set_nonblocking(true).unwrap();
    match dialled.read(&mut [0; 64]) {
        Ok(0) => {}
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::ConnectionReset) => {}
        got => panic!("something came: {got:?}"),
    }
}

/// A data node that answers each connection's first bytes with frames without end. Each is sound, and none was asked for:
/// a late answer to a probe costs the connection nothing while parts are out on it.
fn endless() -> SocketAddr {
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

/// Guards the news of the list against a data node that sends faster than it is read: the one worker looks at its other
/// sockets all the same, again and again.
#[test]
fn a_data_node_that_sends_without_end_keeps_no_news_from_the_core() {
    let (sends, drained) = (endless(), DataNode::start(served));
    let list = vec![member("sends", 0, sends), member("drained", 1, drained.addr)];
    let discovery = Discovery::start("127.0.0.1:0", list);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let _clients = Clients::start(coordinator.listen, 8);
    for state in ["draining", "up", "draining", "up", "draining", "up"] {
        change(&coordinator, &discovery, "drained", state);
    }
}
