//! Unreadable lines in the endpoint list, on real sockets: what can be read of it is in force, and discovery is not
//! called more often for them.

mod harness;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use curlewdeck::config::Config;
use curlewdeck::startup::Coordinator;

use harness::scripted::{chunk, Scripted, WATCH};
use harness::stand_in::{self, DataNode, Part};
use harness::{query, served, TestCluster};

/// Both modes of discovery.
const DISCOVERY_MODES: [&str; 2] = ["on_request", "pushed"];
/// An update that was written is in force within this, on a busy machine, too.
const APPLIED_WITHIN: Duration = Duration::from_secs(5);
/// How long calls are counted, and the most that a coordinator may make in that time.
const COUNTING_TIME: Duration = Duration::from_secs(2);
const MAX_CALLS: usize = 8;
/// Queries that show where parts go; so many are sent at once, as one at a time may all go to the same data node.
const QUERIES: usize = 40;
const CONCURRENT: usize = 8;
/// A data node takes this long for a part.
const WORK: Duration = Duration::from_millis(2);
/// A watch looks for updates this often, and sends a heartbeat where there is none.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// A watch ends at the latest after so many heartbeats.
const MAX_HEARTBEATS: usize = 600;

/// What discovery has.
struct Membership {
    version: u32,
    /// The lines of the snapshot.
    lines: Vec<String>,
    /// What watches were sent, object by object.
    watch_objects: Vec<String>,
    calls: usize,
}

/// Discovery: it has a snapshot for each call, and sends watches whatever the test publishes.
struct ScriptedDiscovery(Arc<Mutex<Membership>>);

impl ScriptedDiscovery {
    fn start(lines: Vec<String>) -> (Self, SocketAddr) {
        let (scripted, addr) = Scripted::new();
        let state =
            Arc::new(Mutex::new(Membership { version: 1, lines, watch_objects: Vec::new(), calls: 0 }));
        let shared = state.clone();
        thread::spawn(move || loop {
            let (stream, target) = scripted.call();
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

    /// Sends to watches; snapshots have these lines from now on.
    fn publish(&self, text: String, lines: Vec<String>) {
        let mut state = self.state();
        state.version += 1;
        state.lines = lines;
        state.watch_objects.push(text);
    }

    /// A coordinator that copes with an unreadable update calls for it now and then at most.
    fn assert_few_calls(&self) {
        let before = self.calls();
        thread::sleep(COUNTING_TIME);
        let calls = self.calls() - before;
        assert!(calls <= MAX_CALLS, "{calls} calls in {COUNTING_TIME:?}");
    }
}

/// An update in one line.
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
    if stream.write_all(&[WATCH, &chunk(first)].concat()).is_err() {
        return;
    }
    for _ in 0..MAX_HEARTBEATS {
        thread::sleep(HEARTBEAT_INTERVAL);
        let news = state.lock().unwrap().watch_objects[sent..].to_vec();
        sent += news.len();
        let text = if news.is_empty() { "\n".to_string() } else { news.concat() };
        if stream.write_all(&chunk(&text)).is_err() {
            return;
        }
    }
}

fn line(uid: &str, addr: SocketAddr, state: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":"{addr}","pod_group":0,"state":"{state}"}}"#)
}

/// A line of which only name and state can be read.
fn partial(uid: &str, state: &str) -> String {
    format!(r#"{{"uid":"{uid}","endpoint":null,"pod_group":0,"state":"{state}"}}"#)
}

fn cluster(mode: &'static str) -> TestCluster {
    TestCluster { cells: 1, in_a_row: 1, ranges: 1, discovery: mode, ..TestCluster::default() }
}

/// Sends queries, some at once; all are answered.
fn send_queries(coordinator: &Coordinator) {
    let addr = coordinator.listen;
    let in_turn = || {
        for _ in 0..QUERIES / CONCURRENT {
            assert_eq!(query(addr, "tag-lookup", &[0]).unwrap().status, 200);
        }
    };
    thread::scope(|scope| (0..CONCURRENT).for_each(|_| drop(scope.spawn(in_turn))));
}

/// The coordinator comes into service.
fn wait_until_ready(coordinator: &Coordinator) {
    let begun = Instant::now();
    while !stand_in::get(coordinator.listen, "/_health").is_ok_and(|a| a.status == 200) {
        assert!(begun.elapsed() < APPLIED_WITHIN, "not in service after {APPLIED_WITHIN:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Data nodes that share one shard.
fn nodes() -> [DataNode; 3] {
    let work = |part: &Part| {
        thread::sleep(WORK);
        served(part)
    };
    std::array::from_fn(|_| DataNode::start(work))
}

/// Sends queries until each of these data nodes has had a part: its gate is open.
fn assert_gates_open(coordinator: &Coordinator, open: &[&DataNode]) {
    let begun = Instant::now();
    while open.iter().any(|node| node.parts().is_empty()) {
        assert!(begun.elapsed() < APPLIED_WITHIN, "one has no part after {APPLIED_WITHIN:?}");
        send_queries(coordinator);
    }
}

/// Whether queries in a row send these data nodes nothing.
fn receive_nothing(coordinator: &Coordinator, shut: &[&DataNode]) -> bool {
    let parts = || shut.iter().map(|node| node.parts().len()).sum::<usize>();
    let before = parts();
    send_queries(coordinator);
    parts() == before
}

/// Waits until these data nodes are sent nothing, and sees that it stays so.
fn assert_gates_closed(coordinator: &Coordinator, shut: &[&DataNode]) {
    let begun = Instant::now();
    while !receive_nothing(coordinator, shut) {
        assert!(begun.elapsed() < APPLIED_WITHIN, "still sent to after {APPLIED_WITHIN:?}");
    }
    (0..3).for_each(|_| assert!(receive_nothing(coordinator, shut), "sent to again"));
}

/// Guards against the fault that one line with `"endpoint":null` cost a delta, and every snapshot that followed. Discovery
/// goes on having that line. The same delta brings the data node that is asked from then on.
#[test]
fn a_delta_with_a_bad_line_shuts_the_gates_that_it_names() {
    for mode in DISCOVERY_MODES {
        let [good, part, comes] = nodes();
        let (service, addr) =
            ScriptedDiscovery::start(vec![line("part", part.addr, "up"), line("good", good.addr, "up")]);
        let coordinator = cluster(mode).start(addr, "");
        wait_until_ready(&coordinator);
        assert_gates_open(&coordinator, &[&good, &part]);
        let lines = vec![
            partial("part", "draining"),
            line("good", good.addr, "draining"),
            "null".to_string(),
            line("comes", comes.addr, "up"),
        ];
        service.publish(update(2, false, &lines), lines);
        assert_gates_closed(&coordinator, &[&good, &part]);
        service.assert_few_calls();
    }
}

/// Guards against a coordinator that never comes into service beside one bad line.
#[test]
fn a_snapshot_with_bad_lines_teaches_the_rest() {
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
        assert!(drains.parts().is_empty(), "{mode}");
        service.assert_few_calls();
    }
}

/// Guards against a snapshot in which a known data node's line cannot be read whole: it is not gone, and what shuts
/// it counts.
#[test]
fn a_snapshot_keeps_what_it_names_in_part() {
    for mode in DISCOVERY_MODES {
        let [kept, shut, gone] = nodes();
        let all =
            vec![line("kept", kept.addr, "up"), line("shut", shut.addr, "up"), line("gone", gone.addr, "up")];
        let (service, addr) = ScriptedDiscovery::start(all);
        let coordinator = cluster(mode).start(addr, "");
        wait_until_ready(&coordinator);
        assert_gates_open(&coordinator, &[&kept, &shut, &gone]);
        let bad = vec![partial("kept", "up"), partial("shut", "draining")];
        service.publish(update(2, true, &bad), bad);
        assert_gates_closed(&coordinator, &[&shut, &gone]);
        let before = kept.parts().len();
        send_queries(&coordinator);
        assert_eq!(kept.parts().len(), before + QUERIES, "{mode}");
        // A change that names it in part does not open its gate either.
        service.publish(
            update(3, false, &[partial("shut", "up")]),
            vec![partial("kept", "up"), partial("shut", "up")],
        );
        thread::sleep(5 * HEARTBEAT_INTERVAL);
        assert!(receive_nothing(&coordinator, &[&shut, &gone]), "{mode}");
        service.assert_few_calls();
    }
}

/// Guards against a line that is no object, and takes the one behind it along.
#[test]
fn a_line_that_is_no_object_costs_that_line_only() {
    for mode in DISCOVERY_MODES {
        let [drains, stays, _] = nodes();
        let lines = |state: &str| vec![line("drains", drains.addr, state), line("stays", stays.addr, "up")];
        let (service, addr) = ScriptedDiscovery::start(lines("up"));
        let coordinator = cluster(mode).start(addr, "");
        wait_until_ready(&coordinator);
        assert_gates_open(&coordinator, &[&drains, &stays]);
        let delta = update(2, false, &lines("draining")[..1]);
        // Nothing but the object behind the nonsense tells that it drains.
        service.publish(format!("nonsense\n{delta}"), vec!["{".to_string()]);
        assert_gates_closed(&coordinator, &[&drains]);
        service.assert_few_calls();
    }
}

/// Guards against a configuration that cannot be used for one line of the list that was held.
#[test]
fn a_file_with_a_bad_line_in_the_list_that_was_held_can_be_used() {
    let text = cluster("pushed").config("127.0.0.1:1".parse().unwrap());
    let lines =
        [partial("part", "up"), "null".to_string(), line("good", "127.0.0.1:2".parse().unwrap(), "up")];
    let known = update(7, true, &lines);
    let text = text.replacen('{', &format!(r#"{{"known":{known},"#), 1);
    Config::read(&text, |_| None).unwrap();
}
