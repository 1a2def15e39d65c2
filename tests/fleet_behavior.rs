//! What a fleet goes through on its worst days, each forced on real sockets: moves of the list's service while data nodes
//! drain, watches that fall silent late, lists that leave out who drained, and SIGKILL.

mod harness;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use curlewdeck::api::EndpointState;
use curlewdeck::limits::Limits;
use curlewdeck::startup::Coordinator;
use harness::scripted::{asked, chunk, news, Line, Scripted, WATCH};
use harness::stand_in::{exchange, Answer, DataNode, Part};
use harness::{held_back, query, query_bytes, ready, served, two, until, Program, TestCluster};

/// Far longer than anything here takes, and an end all the same.
const LONG: Duration = Duration::from_secs(60);
/// A data node that drains may be sent something new for this long after the word.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Queries enough for each data node to come first several times.
const TURNS: u32 = 40;
/// The shard whose parts are held back.
const HELD: u32 = 3;

/// One cell with every shard, whose parts may be out for as long as a test takes: nothing is chased or copied.
fn patient(discovery: SocketAddr) -> String {
    let config = TestCluster { cells: 1, in_a_row: 1, ..TestCluster::default() }.config(discovery);
    config.replace(r#""aim_ns":1000000000"#, r#""aim_ns":60000000000"#)
}

/// Data nodes that hold back the parts of one shard until they are released.
fn holding<const N: usize>() -> (Arc<AtomicBool>, [DataNode; N]) {
    let release = Arc::new(AtomicBool::new(false));
    let nodes = std::array::from_fn(|_| {
        let held = release.clone();
        DataNode::start(move |part: &Part| {
            until("the release", || part.shard != HELD || held.load(Ordering::SeqCst));
            served(part)
        })
    });
    (release, nodes)
}

/// Queries until each data node holds a part back; returns who waits for the answers.
fn held_at_each(addr: SocketAddr, nodes: &[DataNode]) -> Vec<thread::JoinHandle<Answer>> {
    let mut waiting = Vec::new();
    until("a held part at each data node", || {
        if nodes.iter().all(|node| !node.parts().is_empty()) {
            return true;
        }
        let sent = || nodes.iter().map(|node| node.parts().len()).sum::<usize>();
        let before = sent();
        waiting.push(thread::spawn(move || query(addr, "tag-lookup", &[HELD]).unwrap()));
        until("the part", || sent() > before);
        false
    });
    waiting
}

fn all_answered(waiting: Vec<thread::JoinHandle<Answer>>) {
    for asked in waiting {
        assert_eq!(asked.join().unwrap().body, r#"{"exact":true,"rows":[{"id":3,"data":"v3"}]}"#);
    }
}

/// Queries of two parts at once, for which two data nodes are wanted.
fn ask_in_turn(addr: SocketAddr, turns: u32) {
    for turn in 0..turns {
        let shards = [turn % HELD, (turn + 1) % HELD];
        assert_eq!(query(addr, "tag-lookup", &shards).unwrap().status, 200);
    }
}

/// Asks on while the grace lasts; then nothing more may go to these, however much is asked, and something to the others.
fn nothing_new_after_the_grace(addr: SocketAddr, told: Instant, shut: &[&DataNode], open: &[&DataNode]) {
    while told.elapsed() <= DRAIN_GRACE {
        ask_in_turn(addr, 1);
    }
    let parts = |nodes: &[&DataNode]| nodes.iter().map(|node| node.parts().len()).collect::<Vec<_>>();
    let (shut_before, open_before) = (parts(shut), parts(open));
    ask_in_turn(addr, TURNS);
    assert_eq!(parts(shut), shut_before, "sent to one that drains or is gone");
    let served = parts(open).iter().zip(&open_before).all(|(now, before)| now > before);
    assert!(served, "{open_before:?} {:?}", parts(open));
}

// ---- The list's service moves. ----

/// Guards drains and absences over a move by SIGHUP: who drained before, who drains by the new service's whole list, who
/// is missing there, and who drains by its first change, all with parts out that they answer in the end.
#[test]
fn a_move_by_sighup_sends_nothing_to_who_drains_or_is_left_out() {
    let (release, nodes) = holding::<5>();
    let [drained, drains, left_out, drains_next, stays] = &nodes;
    let (old, old_addr) = Scripted::new();
    let starting = thread::spawn(move || Program::start(&patient(old_addr)));
    let (mut old_watch, _) = old.call();
    let all = |states: [&'static str; 5]| -> Vec<Line> {
        let names = ["drained", "drains", "left-out", "drains-next", "stays"];
        nodes.iter().zip(names).zip(states).map(|((n, name), state)| (name, 0, n.addr, state)).collect()
    };
    let first = news(1, true, &all(["up"; 5]));
    old_watch.write_all(&[WATCH, &chunk(&(first + "\n"))].concat()).unwrap();
    let program = starting.join().unwrap();
    let addr = program.addr;
    let waiting = held_at_each(addr, &nodes);
    old_watch.write_all(&chunk(&(news(2, false, &all(["draining"; 5])[..1]) + "\n"))).unwrap();
    let told = Instant::now();
    nothing_new_after_the_grace(addr, told, &[drained], &[drains, left_out, drains_next, stays]);

    let (new, new_addr) = Scripted::new();
    program.reload(&patient(new_addr));
    let (mut call, target) = new.call();
    assert_eq!(target, "/catalog/members");
    let mut lines = all(["draining", "draining", "", "up", "up"]);
    lines.remove(2);
    let list = news(1, true, &lines);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
    call.write_all((head + &list).as_bytes()).unwrap();
    let told = Instant::now();
    // The old service is not heard any more, whether or not its connection still takes this.
    let _ = old_watch.write_all(&chunk(&(news(3, true, &all(["up"; 5])) + "\n")));
    nothing_new_after_the_grace(addr, told, &[drained, drains, left_out], &[drains_next, stays]);

    assert!(asked(&call).ends_with("stream=1&index=1"));
    let change = news(2, false, &[("drains-next", 0, drains_next.addr, "draining")]);
    call.write_all(&[WATCH, &chunk(&(change + "\n"))].concat()).unwrap();
    let told = Instant::now();
    nothing_new_after_the_grace(addr, told, &[drained, drains, left_out, drains_next], &[stays]);
    release.store(true, Ordering::SeqCst);
    all_answered(waiting);
}

// ---- Whole lists. ----

fn phase(coordinator: &Coordinator, name: &str) -> EndpointState {
    let books = coordinator.ledger_snapshot().expect("the core answers");
    books.nodes.iter().find(|node| node.name == name).map_or(EndpointState::Removed, |node| node.state)
}

/// Where a whole list comes that leaves out one that drains.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WholeList {
    OnTheWatch,
    OnTheNextWatch,
    BehindTheKnownList,
}

/// Guards against sending to a data node that drained and is then missing in a whole list: it is gone, though it answers
/// and has a part out. Once a whole list names it again, it is sent something.
#[test]
fn who_drained_and_is_missing_in_a_whole_list_is_gone() {
    for way in [WholeList::OnTheWatch, WholeList::OnTheNextWatch, WholeList::BehindTheKnownList] {
        let (release, nodes) = holding::<2>();
        let [drains, stays] = &nodes;
        let both = |state| [("drains", 0, drains.addr, state), ("stays", 0, stays.addr, "up")];
        let known = way == WholeList::BehindTheKnownList;
        let (discovery, addr) = Scripted::new();
        let mut config = patient(addr);
        if known {
            config.insert_str(1, &format!(r#""known":{},"#, news(1, true, &both("draining"))));
        }
        let coordinator = harness::start(&config, "");
        let (mut watch, target) = discovery.call();
        let changes = || coordinator.core.counters.endpoint_list_changes.load(Ordering::SeqCst);
        let tell = |watch: &mut TcpStream, text: String| {
            let before = changes();
            watch.write_all(&chunk(&(text + "\n"))).unwrap();
            until("the list's news", || changes() > before);
        };
        let mut waiting = Vec::new();
        watch.write_all(WATCH).unwrap();
        if known {
            assert!(target.ends_with("index=1"), "{target}");
        } else {
            tell(&mut watch, news(1, true, &both("up")));
            waiting = held_at_each(coordinator.listen, &nodes);
            tell(&mut watch, news(2, false, &both("draining")[..1]));
        }
        ready(&coordinator);
        assert_eq!(phase(&coordinator, "drains"), EndpointState::Draining, "{way:?}");
        if way == WholeList::OnTheNextWatch {
            drop(watch);
            (watch, _) = discovery.call();
            watch.write_all(WATCH).unwrap();
        }
        tell(&mut watch, news(3, true, &both("up")[1..]));
        assert_eq!(phase(&coordinator, "drains"), EndpointState::Removed, "{way:?}");
        let before = drains.parts().len();
        ask_in_turn(coordinator.listen, TURNS);
        // A change that does not name it changes nothing for it.
        tell(&mut watch, news(4, false, &both("up")[1..]));
        ask_in_turn(coordinator.listen, TURNS);
        assert_eq!(drains.parts().len(), before, "{way:?}: sent to one that is gone");
        release.store(true, Ordering::SeqCst);
        all_answered(waiting);
        tell(&mut watch, news(5, true, &both("up")));
        until("a part at the one that is back", || {
            ask_in_turn(coordinator.listen, 1);
            drains.parts().len() > before
        });
    }
}

// ---- A watch that falls silent. ----

/// By then, what discovery has to tell counts as told.
const IN_FORCE: Duration = Duration::from_secs(6);
/// Longer than half the 10 s in which the bed's settings want a call, and than all of the 4 s of others.
const UP_FOR: Duration = Duration::from_millis(5500);
/// What a call of discovery leaves of the time that it may take.
const CALL_LEAVES: Duration = Duration::from_millis(400);

/// Guards against a watch that falls silent, or goes on without a whole line, after it has been up for a while: it is
/// opened anew in time for a change to be in force within 6 s, also where the service takes nearly as long as it may.
#[test]
fn a_watch_that_falls_silent_late_is_opened_anew_in_time() {
    let half = "{\"rev\":2,";
    let kinds = [
        ("on_request", 10, ""),
        ("on_request", 10, half),
        ("on_request", 4, ""),
        ("on_request", 4, half),
        ("pushed", 10, ""),
        ("pushed", 10, half),
    ];
    let silent = |(how, ask_in, last_words): (&'static str, u32, &'static str)| {
        let (old, new) = (DataNode::start(served), DataNode::start(served));
        let (discovery, addr) = Scripted::new();
        let cluster = TestCluster { cells: 1, in_a_row: 1, discovery: how, ..TestCluster::default() };
        let asks = |seconds: u32| format!(r#""must_ask_in_ns":{seconds}000000000"#);
        let config = cluster.config(addr).replace(&asks(10), &asks(ask_in));
        assert!(config.contains(&asks(ask_in)));
        let coordinator = harness::start(&config, "");
        let (mut watch, _) = discovery.call();
        let text = news(1, true, &[("old", 0, old.addr, "up")]);
        watch.write_all(&[WATCH, &chunk(&(text + "\n"))].concat()).unwrap();
        ready(&coordinator);
        let begun = Instant::now();
        while begun.elapsed() < UP_FOR {
            watch.write_all(&chunk("\n")).unwrap();
            thread::sleep(Duration::from_millis(250));
        }
        watch.write_all(&chunk("\n")).unwrap();
        let silent_since = Instant::now();
        if !last_words.is_empty() {
            watch.write_all(&chunk(last_words)).unwrap();
        }
        let (mut next, target) = discovery.call();
        assert!(target.ends_with("stream=1&index=1"), "{target}");
        // Paced by the program's own bound of a call.
        thread::sleep(Limits::default().discovery_call_timeout - CALL_LEAVES);
        let text = news(2, false, &[("old", 0, old.addr, "removed"), ("new", 0, new.addr, "up")]);
        next.write_all(&[WATCH, &chunk(&(text + "\n"))].concat()).unwrap();
        until("a part at the new one", || {
            // Both changes come in one object: there is no moment without a data node.
            ask_in_turn(coordinator.listen, 1);
            !new.parts().is_empty()
        });
        let took = silent_since.elapsed();
        println!("{how} {ask_in} '{last_words}': in force after {took:?}");
        assert!(took < IN_FORCE, "{how} {ask_in} '{last_words}': {took:?}");
        let sent = old.parts().len();
        ask_in_turn(coordinator.listen, TURNS);
        assert_eq!(old.parts().len(), sent, "{how} '{last_words}'");
        drop(watch);
    };
    thread::scope(|scope| kinds.map(|kind| scope.spawn(move || silent(kind))).map(|t| t.join().unwrap()));
}

// ---- SIGKILL. ----

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Guards a restart behind SIGKILL: connections that wait to be accepted, and those just accepted, with nothing, half a
/// request or all of one, end without an answer, and the same address serves again from an empty folder.
#[test]
fn after_sigkill_behind_an_accept_the_same_address_serves_anew() {
    let (release, slow) = held_back();
    let (a, b, discovery) = two(slow.clone(), slow);
    // An address of its own: no other test's port is in the way at the restart.
    let at = |addr: &str| {
        TestCluster::default()
            .config(discovery.addr)
            .replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{addr}""#))
    };
    let parts = || a.parts().len() + b.parts().len();
    let mut program = Program::start(&at("127.0.40.1:0"));
    let addr = program.addr;
    for stopped in [false, true, false, true] {
        release.store(false, Ordering::SeqCst);
        if stopped {
            // What connects from now on waits to be accepted.
            program.signal("STOP");
            until("the stop", || program.state() == 'T');
        }
        let sent = parts();
        let whole = query_bytes("tag-lookup", &[0], "60000m");
        let mut clients: Vec<TcpStream> = Vec::new();
        for bytes in [&whole[..0], &whole[..1], &whole[..whole.len() / 2], &whole[..]] {
            let mut stream = connect(addr);
            stream.write_all(bytes).unwrap();
            clients.push(stream);
        }
        if !stopped {
            // Connections are accepted in their order, so all have been.
            until("the part of the last", || parts() > sent);
        }
        program.killed();
        for (n, client) in clients.iter_mut().enumerate() {
            let mut came = Vec::new();
            let end = client.read_to_end(&mut came);
            assert!(came.is_empty(), "{n}: {}", String::from_utf8_lossy(&came));
            let ended = end.map_or_else(|e| e.kind() == ErrorKind::ConnectionReset, |n| n == 0);
            assert!(ended, "{n}: neither reset nor ended");
        }
        assert_eq!(connect_error(addr), Some(ErrorKind::ConnectionRefused));
        release.store(true, Ordering::SeqCst);
        program = Program::start(&at(&addr.to_string()));
        assert_eq!(program.addr, addr);
        // The client asks again, under the same name, and is the only one to be answered.
        let answer = exchange(addr, &whole).unwrap();
        assert_eq!(answer.body, r#"{"exact":true,"rows":[{"id":0,"data":"v0"}]}"#);
        ask_in_turn(addr, TURNS);
    }
}

fn connect_error(addr: SocketAddr) -> Option<ErrorKind> {
    TcpStream::connect(addr).err().map(|e| e.kind())
}
