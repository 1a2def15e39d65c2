//! Tests malformed lines in the endpoint list on real sockets: the readable part of the list applies, and malformed
//! lines cause no additional calls to discovery.

mod harness;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use curlewdeck::config::Config;
use curlewdeck::startup::Coordinator;

use harness::scripted::{chunk, ScriptedDiscoveryServer, WATCH_RESPONSE_HEAD};
use harness::stand_in::{self, DataNode, Part};
use harness::{query, successful_reply, TestCluster};

/// Both modes of discovery.
const DISCOVERY_MODES: [&str; 2] = ["on_request", "pushed"];
/// Limit for a written update to apply, also on a busy machine.
const APPLIED_WITHIN: Duration = Duration::from_secs(5);
/// Time in which calls are counted, and the most that a coordinator may make in it.
const COUNTING_TIME: Duration = Duration::from_secs(2);
const MAX_CALLS: usize = 8;
/// Number of queries that show where parts go, and how many run at once; single queries may all use the same data node.
const QUERIES: usize = 40;
const CONCURRENT: usize = 8;
/// Time that a data node takes for a part.
const WORK: Duration = Duration::from_millis(2);
/// Interval at which a watch checks for updates; if there is no update, it sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of heartbeats after which a watch ends.
const MAX_HEARTBEATS: usize = 600;

/// Content of the discovery service.
struct Membership {
    version: u32,
    /// Lines of the snapshot.
    lines: Vec<String>,
    /// Objects that were sent to watches.
    watch_objects: Vec<String>,
    calls: usize,
}

/// Discovery service that answers calls with a snapshot and sends watches the text that a test publishes.
struct ScriptedDiscovery(Arc<Mutex<Membership>>);

impl ScriptedDiscovery {
    fn start(lines: Vec<String>) -> (Self, SocketAddr) {
        let (scripted, addr) = ScriptedDiscoveryServer::new();
        let state =
            Arc::new(Mutex::new(Membership { version: 1, lines, watch_objects: Vec::new(), calls: 0 }));
        let shared = state.clone();
        thread::spawn(move || loop {
            let (stream, target) = scripted.accept_call();
            let shared = shared.clone();
            thread::spawn(move || answer(stream, &target, &shared));
        });
        (Self(state), addr)
    }

    fn state(&self) -> MutexGuard<'_, Membership> {
        self.0.lock().unwrap()
    }

    fn calls(&self) -> usize {
        self.state().calls
    }

    /// Sends a text to watches; snapshots have these lines from now on.
    fn publish(&self, text: String, lines: Vec<String>) {
        let mut state = self.state();
        state.version += 1;
        state.lines = lines;
        state.watch_objects.push(text);
    }

    /// Asserts that a malformed update does not make the coordinator call again and again.
    fn assert_few_calls(&self) {
        let before = self.calls();
        thread::sleep(COUNTING_TIME);
        let calls = self.calls() - before;
        assert!(calls <= MAX_CALLS, "{calls} calls in {COUNTING_TIME:?}");
    }
}

/// Formats an update as one line.
fn update(version: u32, complete: bool, lines: &[String]) -> String {
    format!(r#"{{"rev":{version},"all":{complete},"targets":[{}]}}"#, lines.join(",")) + "\n"
}

fn answer(mut stream: TcpStream, target: &str, state: &Mutex<Membership>) {
    let (version, snapshot, mut sent) = {
        let mut state = state.lock().unwrap();
        state.calls += 1;
        (state.version, update(state.version, true, &state.lines), state.watch_objects.len())
    };
    if !target.contains("stream=1") {
        let head =
            format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", snapshot.len());
        drop(stream.write_all((head + &snapshot).as_bytes()));
        return;
    }
    let first = if target.ends_with(&format!("index={version}")) { "\n" } else { &snapshot };
    if stream.write_all(&[WATCH_RESPONSE_HEAD, &chunk(first)].concat()).is_err() {
        return;
    }
    for _ in 0..MAX_HEARTBEATS {
        thread::sleep(HEARTBEAT_INTERVAL);
        let updates = state.lock().unwrap().watch_objects[sent..].to_vec();
        sent += updates.len();
        let text = if updates.is_empty() { "\n".to_string() } else { updates.concat() };
        if stream.write_all(&chunk(&text)).is_err() {
            return;
        }
    }
}

fn line(uid: &str, addr: SocketAddr, state: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"{addr}","pod_group":0,"state":"{state}"}}"#)
}

/// Formats a line of which only the uid and the state are readable.
fn partial(uid: &str, state: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":null,"pod_group":0,"state":"{state}"}}"#)
}

fn cluster(mode: &'static str) -> TestCluster {
    TestCluster { partition_groups: 1, replicas: 1, ranges: 1, discovery: mode, ..TestCluster::default() }
}

/// Sends queries, `CONCURRENT` at a time, and asserts that all are answered.
fn send_queries(coordinator: &Coordinator) {
    let addr = coordinator.listen;
    let in_turn = || {
        for _ in 0..QUERIES / CONCURRENT {
            assert_eq!(query(addr, "tag-lookup", &[0]).unwrap().status, 200);
        }
    };
    thread::scope(|scope| (0..CONCURRENT).for_each(|_| drop(scope.spawn(in_turn))));
}

/// Waits until the coordinator is in service.
fn wait_until_ready(coordinator: &Coordinator) {
    let begun = Instant::now();
    while !stand_in::get(coordinator.listen, "/_health").is_ok_and(|a| a.status == 200) {
        assert!(begun.elapsed() < APPLIED_WITHIN, "not in service after {APPLIED_WITHIN:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Starts data nodes that share one shard.
fn nodes() -> [DataNode; 3] {
    let work = |part: &Part| {
        thread::sleep(WORK);
        successful_reply(part)
    };
    std::array::from_fn(|_| DataNode::start(work))
}

/// Sends queries until each of these data nodes has received a part, which shows that its gate is open.
fn assert_gates_open(coordinator: &Coordinator, nodes: &[&DataNode]) {
    let begun = Instant::now();
    while nodes.iter().any(|node| node.received_parts().is_empty()) {
        assert!(begun.elapsed() < APPLIED_WITHIN, "a node has received no part after {APPLIED_WITHIN:?}");
        send_queries(coordinator);
    }
}

/// Sends queries and returns whether these data nodes receive nothing.
fn receive_nothing(coordinator: &Coordinator, nodes: &[&DataNode]) -> bool {
    let parts = || nodes.iter().map(|node| node.received_parts().len()).sum::<usize>();
    let before = parts();
    send_queries(coordinator);
    parts() == before
}

/// Waits until these data nodes receive nothing, and asserts that later queries send them nothing either.
fn assert_gates_closed(coordinator: &Coordinator, nodes: &[&DataNode]) {
    let begun = Instant::now();
    while !receive_nothing(coordinator, nodes) {
        assert!(begun.elapsed() < APPLIED_WITHIN, "parts are still sent after {APPLIED_WITHIN:?}");
    }
    (0..3).for_each(|_| assert!(receive_nothing(coordinator, nodes), "parts are sent again"));
}

/// One line with `"endpoint":null` once caused a whole delta, and every later snapshot, to be rejected. Discovery keeps
/// that line here, and the same delta adds the data node that receives the parts from then on.
#[test]
fn delta_with_a_malformed_line_closes_the_gates_that_it_names() {
    for mode in DISCOVERY_MODES {
        let [good, part, added] = nodes();
        let (service, addr) =
            ScriptedDiscovery::start(vec![line("part", part.addr, "up"), line("good", good.addr, "up")]);
        let coordinator = cluster(mode).start(addr, "");
        wait_until_ready(&coordinator);
        assert_gates_open(&coordinator, &[&good, &part]);
        let lines = vec![
            partial("part", "draining"),
            line("good", good.addr, "draining"),
            "null".to_string(),
            line("added", added.addr, "up"),
        ];
        service.publish(update(2, false, &lines), lines);
        assert_gates_closed(&coordinator, &[&good, &part]);
        service.assert_few_calls();
    }
}

/// Catches a coordinator that never gets into service because of one malformed line in the snapshot.
#[test]
fn snapshot_with_malformed_lines_applies_the_valid_ones() {
    for mode in DISCOVERY_MODES {
        let [first, second, drains] = nodes();
        let lines = vec![
            "null".to_string(),
            line("first", first.addr, "up"),
            r#"{"uid":null,"endpoint":"127.0.0.1:1","pod_group":0,"state":"up"}"#.to_string(),
            partial("unknown", "up"),
            line("second", second.addr, "up").replace('}', r#","capacity_hint":1e999,"az":null}"#),
            line("drains", drains.addr, "draining").replace('}', r#","boot_ms":null,"extra":[{}]}"#),
        ];
        let (service, addr) = ScriptedDiscovery::start(lines);
        let coordinator = cluster(mode).start(addr, "");
        wait_until_ready(&coordinator);
        assert_gates_open(&coordinator, &[&first, &second]);
        assert!(drains.received_parts().is_empty(), "{mode}");
        service.assert_few_calls();
    }
}

/// A snapshot has only partly readable lines of known data nodes. It must not remove these nodes, and a state that
/// closes one of them must apply.
#[test]
fn snapshot_keeps_nodes_with_partly_readable_lines() {
    for mode in DISCOVERY_MODES {
        let [kept, drained, omitted] = nodes();
        let all = vec![
            line("kept", kept.addr, "up"),
            line("drained", drained.addr, "up"),
            line("omitted", omitted.addr, "up"),
        ];
        let (service, addr) = ScriptedDiscovery::start(all);
        let coordinator = cluster(mode).start(addr, "");
        wait_until_ready(&coordinator);
        assert_gates_open(&coordinator, &[&kept, &drained, &omitted]);
        let partial_lines = vec![partial("kept", "up"), partial("drained", "draining")];
        service.publish(update(2, true, &partial_lines), partial_lines);
        assert_gates_closed(&coordinator, &[&drained, &omitted]);
        let before = kept.received_parts().len();
        send_queries(&coordinator);
        assert_eq!(kept.received_parts().len(), before + QUERIES, "{mode}");
        // A delta with a partly readable line does not open the gate either.
        service.publish(
            update(3, false, &[partial("drained", "up")]),
            vec![partial("kept", "up"), partial("drained", "up")],
        );
        thread::sleep(5 * HEARTBEAT_INTERVAL);
        assert!(receive_nothing(&coordinator, &[&drained, &omitted]), "{mode}");
        service.assert_few_calls();
    }
}

/// Catches a line that is not an object and causes the next line to be lost.
#[test]
fn line_that_is_not_an_object_is_skipped_alone() {
    for mode in DISCOVERY_MODES {
        let [drains, stays, _] = nodes();
        let lines = |state: &str| vec![line("drains", drains.addr, state), line("stays", stays.addr, "up")];
        let (service, addr) = ScriptedDiscovery::start(lines("up"));
        let coordinator = cluster(mode).start(addr, "");
        wait_until_ready(&coordinator);
        assert_gates_open(&coordinator, &[&drains, &stays]);
        let delta = update(2, false, &lines("draining")[..1]);
        // Only the object after the invalid line reports the drain.
        service.publish(format!("nonsense\n{delta}"), vec!["{".to_string()]);
        assert_gates_closed(&coordinator, &[&drains]);
        service.assert_few_calls();
    }
}

/// Catches a configuration that is rejected because of one malformed line in its saved list.
#[test]
fn configuration_with_a_malformed_line_in_its_saved_list_is_accepted() {
    let text = cluster("pushed").config("127.0.0.1:1".parse().unwrap());
    let lines =
        [partial("part", "up"), "null".to_string(), line("good", "127.0.0.1:2".parse().unwrap(), "up")];
    let known = update(7, true, &lines);
    let text = text.replacen('{', &format!(r#"{{"known":{known},"#), 1);
    Config::read(&text, |_| None).unwrap();
}
