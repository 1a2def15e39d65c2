//! Failures of a deployment, forced on real sockets: discovery moves while data nodes drain, a complete list omits a
//! draining data node, a long-lived watch falls silent, and SIGKILL ends the coordinator.

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
use harness::scripted::{
    chunk, list_update, read_request_target, ListEntry, ScriptedDiscoveryServer, WATCH_RESPONSE_HEAD,
};
use harness::stand_in::{send_request, Answer, DataNode, Part};
use harness::{
    gated_reply, query, query_bytes, start_two_data_nodes, successful_reply, wait_until, wait_until_healthy,
    Program, TestCluster,
};

/// Far longer than any read here takes.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// A draining data node may be sent new parts for this long after discovery has announced the drain.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Enough queries for each data node to be the first choice several times.
const QUERIES: u32 = 40;
/// The shard whose parts get no answer until they are released.
const HELD_SHARD: u32 = 3;

/// Configures one partition group that holds all shards, and a latency objective so long that no slow part is retried
/// or hedged.
fn config_without_hedges(discovery: SocketAddr) -> String {
    let config = TestCluster { partition_groups: 1, replicas: 1, ..TestCluster::default() }.config(discovery);
    config.replace(r#""aim_ns":1000000000"#, r#""aim_ns":60000000000"#)
}

/// Starts data nodes that answer parts of `HELD_SHARD` only once the flag is set.
fn nodes_holding_one_shard<const N: usize>() -> (Arc<AtomicBool>, [DataNode; N]) {
    let release = Arc::new(AtomicBool::new(false));
    let nodes = std::array::from_fn(|_| {
        let released = release.clone();
        DataNode::start(move |part: &Part| {
            wait_until("the release", || part.shard != HELD_SHARD || released.load(Ordering::SeqCst));
            successful_reply(part)
        })
    });
    (release, nodes)
}

/// Sends queries until each data node holds an unanswered part; returns the threads that wait for the answers.
fn hold_a_part_at_each(addr: SocketAddr, nodes: &[DataNode]) -> Vec<thread::JoinHandle<Answer>> {
    let mut waiting = Vec::new();
    wait_until("a held part at each data node", || {
        if nodes.iter().all(|node| !node.received_parts().is_empty()) {
            return true;
        }
        let sent = || nodes.iter().map(|node| node.received_parts().len()).sum::<usize>();
        let before = sent();
        waiting.push(thread::spawn(move || query(addr, "tag-lookup", &[HELD_SHARD]).unwrap()));
        wait_until("the part", || sent() > before);
        false
    });
    waiting
}

fn assert_all_answered(waiting: Vec<thread::JoinHandle<Answer>>) {
    for client in waiting {
        assert_eq!(client.join().unwrap().body, r#"{"exact":true,"rows":[{"id":3,"data":"v3"}]}"#);
    }
}

/// Sends queries of two parts each, so that each query can use two data nodes.
fn send_queries(addr: SocketAddr, count: u32) {
    for number in 0..count {
        let shards = [number % HELD_SHARD, (number + 1) % HELD_SHARD];
        assert_eq!(query(addr, "tag-lookup", &shards).unwrap().status, 200);
    }
}

/// Sends queries until the drain grace has passed, then asserts that further queries reach every data node in
/// `available` and none in `excluded`.
fn assert_excluded_after_the_grace(
    addr: SocketAddr,
    announced: Instant,
    excluded: &[&DataNode],
    available: &[&DataNode],
) {
    while announced.elapsed() <= DRAIN_GRACE {
        send_queries(addr, 1);
    }
    let parts =
        |nodes: &[&DataNode]| nodes.iter().map(|node| node.received_parts().len()).collect::<Vec<_>>();
    let (excluded_before, available_before) = (parts(excluded), parts(available));
    send_queries(addr, QUERIES);
    assert_eq!(parts(excluded), excluded_before, "a draining or removed data node got a part");
    let all_served = parts(available).iter().zip(&available_before).all(|(now, before)| now > before);
    assert!(all_served, "parts per data node: before {available_before:?}, after {:?}", parts(available));
}

// ---- Discovery moves to another address. ----

/// A reload moves the coordinator to another discovery address. Four data nodes must get no new parts: one drained
/// before the move, one drains in the new complete list, one is missing from it, and one drains with the first change
/// after it. Their open parts are still answered.
#[test]
fn after_discovery_moves_draining_and_unlisted_nodes_get_no_parts() {
    let (release, nodes) = nodes_holding_one_shard::<5>();
    let [drained_before, drains_in_list, unlisted, drains_in_change, active] = &nodes;
    let (old, old_addr) = ScriptedDiscoveryServer::new();
    let starting = thread::spawn(move || Program::start(&config_without_hedges(old_addr)));
    let (mut old_watch, _) = old.accept_call();
    let all = |states: [&'static str; 5]| -> Vec<ListEntry> {
        let names = ["drained", "drains", "left-out", "drains-next", "stays"];
        nodes.iter().zip(names).zip(states).map(|((n, name), state)| (name, 0, n.addr, state)).collect()
    };
    let first = list_update(1, true, &all(["up"; 5]));
    old_watch.write_all(&[WATCH_RESPONSE_HEAD, &chunk(&(first + "\n"))].concat()).unwrap();
    let program = starting.join().unwrap();
    let addr = program.addr;
    let waiting = hold_a_part_at_each(addr, &nodes);
    old_watch.write_all(&chunk(&(list_update(2, false, &all(["draining"; 5])[..1]) + "\n"))).unwrap();
    let announced = Instant::now();
    assert_excluded_after_the_grace(
        addr,
        announced,
        &[drained_before],
        &[drains_in_list, unlisted, drains_in_change, active],
    );

    let (new, new_addr) = ScriptedDiscoveryServer::new();
    program.reload(&config_without_hedges(new_addr));
    let (mut call, target) = new.accept_call();
    assert_eq!(target, "/catalog/members");
    let mut lines = all(["draining", "draining", "", "up", "up"]);
    lines.remove(2);
    let list = list_update(1, true, &lines);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
    call.write_all((head + &list).as_bytes()).unwrap();
    let announced = Instant::now();
    // The old service no longer has an effect, whether or not its connection still accepts this write.
    let _ = old_watch.write_all(&chunk(&(list_update(3, true, &all(["up"; 5])) + "\n")));
    assert_excluded_after_the_grace(
        addr,
        announced,
        &[drained_before, drains_in_list, unlisted],
        &[drains_in_change, active],
    );

    assert!(read_request_target(&call).ends_with("stream=1&index=1"));
    let change = list_update(2, false, &[("drains-next", 0, drains_in_change.addr, "draining")]);
    call.write_all(&[WATCH_RESPONSE_HEAD, &chunk(&(change + "\n"))].concat()).unwrap();
    let announced = Instant::now();
    assert_excluded_after_the_grace(
        addr,
        announced,
        &[drained_before, drains_in_list, unlisted, drains_in_change],
        &[active],
    );
    release.store(true, Ordering::SeqCst);
    assert_all_answered(waiting);
}

// ---- Complete lists. ----

fn node_state(coordinator: &Coordinator, name: &str) -> EndpointState {
    let ledger = coordinator.ledger_snapshot().expect("the core should answer");
    ledger.nodes.iter().find(|node| node.name == name).map_or(EndpointState::Removed, |node| node.state)
}

/// When the complete list that omits a draining data node arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CompleteList {
    OnTheSameWatch,
    OnTheNextWatch,
    AfterTheConfiguredList,
}

/// A complete list that omits a draining data node removes it, although the node still answers and may have an open
/// part. It gets parts again once a later complete list contains it.
#[test]
fn a_draining_node_missing_from_a_complete_list_is_removed() {
    for arrival in
        [CompleteList::OnTheSameWatch, CompleteList::OnTheNextWatch, CompleteList::AfterTheConfiguredList]
    {
        let (release, nodes) = nodes_holding_one_shard::<2>();
        let [draining, active] = &nodes;
        let both = |state| [("drains", 0, draining.addr, state), ("stays", 0, active.addr, "up")];
        let configured = arrival == CompleteList::AfterTheConfiguredList;
        let (discovery, addr) = ScriptedDiscoveryServer::new();
        let mut config = config_without_hedges(addr);
        if configured {
            config.insert_str(1, &format!(r#""known":{},"#, list_update(1, true, &both("draining"))));
        }
        let coordinator = harness::start(&config, "");
        let (mut watch, target) = discovery.accept_call();
        let changes = || coordinator.core.counters.endpoint_list_changes.load(Ordering::SeqCst);
        let send_list = |watch: &mut TcpStream, text: String| {
            let before = changes();
            watch.write_all(&chunk(&(text + "\n"))).unwrap();
            wait_until("the change to the list", || changes() > before);
        };
        let mut waiting = Vec::new();
        watch.write_all(WATCH_RESPONSE_HEAD).unwrap();
        if configured {
            assert!(target.ends_with("index=1"), "{target}");
        } else {
            send_list(&mut watch, list_update(1, true, &both("up")));
            waiting = hold_a_part_at_each(coordinator.listen, &nodes);
            send_list(&mut watch, list_update(2, false, &both("draining")[..1]));
        }
        wait_until_healthy(&coordinator);
        assert_eq!(node_state(&coordinator, "drains"), EndpointState::Draining, "{arrival:?}");
        if arrival == CompleteList::OnTheNextWatch {
            drop(watch);
            (watch, _) = discovery.accept_call();
            watch.write_all(WATCH_RESPONSE_HEAD).unwrap();
        }
        send_list(&mut watch, list_update(3, true, &both("up")[1..]));
        assert_eq!(node_state(&coordinator, "drains"), EndpointState::Removed, "{arrival:?}");
        let before = draining.received_parts().len();
        send_queries(coordinator.listen, QUERIES);
        // A change that does not contain the removed data node does not affect it.
        send_list(&mut watch, list_update(4, false, &both("up")[1..]));
        send_queries(coordinator.listen, QUERIES);
        assert_eq!(draining.received_parts().len(), before, "{arrival:?}: a removed data node got a part");
        release.store(true, Ordering::SeqCst);
        assert_all_answered(waiting);
        send_list(&mut watch, list_update(5, true, &both("up")));
        wait_until("a part at the data node that was listed again", || {
            send_queries(coordinator.listen, 1);
            draining.received_parts().len() > before
        });
    }
}

// ---- A watch that falls silent. ----

/// Limit, counted from the moment when the watch fell silent, for a change to take effect: the change counts as
/// notified then.
const EFFECT_DEADLINE: Duration = Duration::from_secs(6);
/// Longer than half of the 10 s within which the default settings require a call of discovery, and longer than the 4 s
/// that other cases set.
const WATCH_AGE: Duration = Duration::from_millis(5500);
/// The time left before the timeout of a discovery call when the service answers.
const TIME_BEFORE_CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// A watch that has been open for a while falls silent, with or without an incomplete line. The coordinator opens a new
/// watch soon enough for a change to take effect within 6 s, even if discovery answers just before the call's timeout.
#[test]
fn a_watch_that_falls_silent_is_reopened_before_the_deadline() {
    let incomplete = "{\"rev\":2,";
    let cases = [
        ("on_request", 10, ""),
        ("on_request", 10, incomplete),
        ("on_request", 4, ""),
        ("on_request", 4, incomplete),
        ("pushed", 10, ""),
        ("pushed", 10, incomplete),
    ];
    let check = |(mode, call_interval_s, last_bytes): (&'static str, u32, &'static str)| {
        let (old, new) = (DataNode::start(successful_reply), DataNode::start(successful_reply));
        let (discovery, addr) = ScriptedDiscoveryServer::new();
        let cluster =
            TestCluster { partition_groups: 1, replicas: 1, discovery: mode, ..TestCluster::default() };
        let setting = |seconds: u32| format!(r#""must_ask_in_ns":{seconds}000000000"#);
        let config = cluster.config(addr).replace(&setting(10), &setting(call_interval_s));
        assert!(config.contains(&setting(call_interval_s)));
        let coordinator = harness::start(&config, "");
        let (mut watch, _) = discovery.accept_call();
        let text = list_update(1, true, &[("old", 0, old.addr, "up")]);
        watch.write_all(&[WATCH_RESPONSE_HEAD, &chunk(&(text + "\n"))].concat()).unwrap();
        wait_until_healthy(&coordinator);
        let opened = Instant::now();
        while opened.elapsed() < WATCH_AGE {
            watch.write_all(&chunk("\n")).unwrap();
            thread::sleep(Duration::from_millis(250));
        }
        watch.write_all(&chunk("\n")).unwrap();
        let silent_since = Instant::now();
        if !last_bytes.is_empty() {
            watch.write_all(&chunk(last_bytes)).unwrap();
        }
        let (mut next, target) = discovery.accept_call();
        assert!(target.ends_with("stream=1&index=1"), "{target}");
        // Answers just before the program's own timeout of the call.
        thread::sleep(Limits::default().discovery_call_timeout - TIME_BEFORE_CALL_TIMEOUT);
        let text = list_update(2, false, &[("old", 0, old.addr, "removed"), ("new", 0, new.addr, "up")]);
        next.write_all(&[WATCH_RESPONSE_HEAD, &chunk(&(text + "\n"))].concat()).unwrap();
        wait_until("a part at the new data node", || {
            // Both changes are in one object, so a data node is available throughout.
            send_queries(coordinator.listen, 1);
            !new.received_parts().is_empty()
        });
        let took = silent_since.elapsed();
        println!("{mode} {call_interval_s} '{last_bytes}': in effect after {took:?}");
        assert!(took < EFFECT_DEADLINE, "{mode} {call_interval_s} '{last_bytes}': {took:?}");
        let sent = old.received_parts().len();
        send_queries(coordinator.listen, QUERIES);
        assert_eq!(old.received_parts().len(), sent, "{mode} '{last_bytes}'");
        drop(watch);
    };
    thread::scope(|scope| cases.map(|case| scope.spawn(move || check(case))).map(|t| t.join().unwrap()));
}

// ---- SIGKILL. ----

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// SIGKILL comes while connections wait to be accepted or were just accepted, after none, some or all bytes of a
/// request. All of them end without an answer, and a new process with an empty folder serves at the same address.
#[test]
fn after_sigkill_a_new_process_serves_at_the_same_address() {
    let (release, slow) = gated_reply();
    let (a, b, discovery) = start_two_data_nodes(slow.clone(), slow);
    // A loopback address that no other test uses, so that the port is still free at the restart.
    let config_at = |addr: &str| {
        TestCluster::default()
            .config(discovery.addr)
            .replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{addr}""#))
    };
    let parts = || a.received_parts().len() + b.received_parts().len();
    let mut program = Program::start(&config_at("127.0.40.1:0"));
    let addr = program.addr;
    for stopped in [false, true, false, true] {
        release.store(false, Ordering::SeqCst);
        if stopped {
            // Connections from now on wait to be accepted.
            program.signal("STOP");
            wait_until("the process to stop", || program.state() == 'T');
        }
        let sent = parts();
        let request = query_bytes("tag-lookup", &[0], "60000m");
        let mut clients: Vec<TcpStream> = Vec::new();
        for bytes in [&request[..0], &request[..1], &request[..request.len() / 2], &request[..]] {
            let mut stream = connect(addr);
            stream.write_all(bytes).unwrap();
            clients.push(stream);
        }
        if !stopped {
            // Connections are accepted in order: once the last one has caused a part, all are accepted.
            wait_until("the part of the last request", || parts() > sent);
        }
        program.kill();
        for (n, client) in clients.iter_mut().enumerate() {
            let mut received = Vec::new();
            let end = client.read_to_end(&mut received);
            assert!(received.is_empty(), "client {n}: {}", String::from_utf8_lossy(&received));
            let ended = end.map_or_else(|e| e.kind() == ErrorKind::ConnectionReset, |n| n == 0);
            assert!(ended, "client {n}: the connection is neither reset nor closed");
        }
        assert_eq!(connect_error(addr), Some(ErrorKind::ConnectionRefused));
        release.store(true, Ordering::SeqCst);
        program = Program::start(&config_at(&addr.to_string()));
        assert_eq!(program.addr, addr);
        // A retry with the same request id gets the only answer.
        let answer = send_request(addr, &request).unwrap();
        assert_eq!(answer.body, r#"{"exact":true,"rows":[{"id":0,"data":"v0"}]}"#);
        send_queries(addr, QUERIES);
    }
}

fn connect_error(addr: SocketAddr) -> Option<ErrorKind> {
    TcpStream::connect(addr).err().map(|e| e.kind())
}
