//! Bad lines in the membership, on real sockets: what can be read of it is in force, and discovery is not worn out.

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

/// Both ways of discovery.
const WAYS: [&str; 2] = ["on_request", "pushed"];
/// News that was written is in force within this, on a busy machine, too.
const IN_FORCE: Duration = Duration::from_secs(5);
/// How long calls are counted, and the most that a coordinator may make in that time.
const COUNTED: Duration = Duration::from_secs(2);
const MOST_CALLS: usize = 8;
/// Queries that show where parts go; so many are asked at once, as one at a time may all go to the same data node.
const QUERIES: usize = 40;
const AT_ONCE: usize = 8;
/// A data node takes this long for a part.
const WORK: Duration = Duration::from_millis(2);
/// A watch looks for news this often, and says that there is none.
const BEAT: Duration = Duration::from_millis(100);
/// A watch ends at the latest after so many beats.
const MOST_BEATS: usize = 600;

/// What discovery has.
struct Membership {
    version: u32,
    /// The lines of the snapshot.
    lines: Vec<String>,
    /// What watches were told, object by object.
    said: Vec<String>,
    calls: usize,
}

/// Discovery: it has a snapshot for each call, and tells watches whatever the test wants said.
struct Service(Arc<Mutex<Membership>>);

impl Service {
    fn start(lines: Vec<String>) -> (Self, SocketAddr) {
        let (scripted, addr) = Scripted::new();
        let held = Arc::new(Mutex::new(Membership { version: 1, lines, said: Vec::new(), calls: 0 }));
        let shared = held.clone();
        thread::spawn(move || loop {
            let (stream, target) = scripted.call();
            let shared = shared.clone();
            thread::spawn(move || answer(stream, &target, &shared));
        });
        (Self(held), addr)
    }

    fn held(&self) -> MutexGuard<'_, Membership> {
        self.0.lock().unwrap()
    }

    fn calls(&self) -> usize {
        self.held().calls
    }

    /// Tells watches; snapshots have these lines from now on.
    fn say(&self, text: String, lines: Vec<String>) {
        let mut held = self.held();
        held.version += 1;
        held.lines = lines;
        held.said.push(text);
    }

    /// A coordinator that gets along with bad news asks for it now and then at most.
    fn is_not_worn_out(&self) {
        let before = self.calls();
        thread::sleep(COUNTED);
        let calls = self.calls() - before;
        assert!(calls <= MOST_CALLS, "{calls} calls in {COUNTED:?}");
    }
}

/// An update in one line.
fn update(version: u32, complete: bool, lines: &[String]) -> String {
    format!(r#"{{"rev":{version},"all":{complete},"targets":[{}]}}"#, lines.join(",")) + "\n"
}

fn answer(mut stream: TcpStream, target: &str, held: &Mutex<Membership>) {
    let (version, snapshot, mut told) = {
        let mut held = held.lock().unwrap();
        held.calls += 1;
        (held.version, update(held.version, true, &held.lines), held.said.len())
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
    for _ in 0..MOST_BEATS {
        thread::sleep(BEAT);
        let news = held.lock().unwrap().said[told..].to_vec();
        told += news.len();
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

fn cluster(way: &'static str) -> TestCluster {
    TestCluster { cells: 1, in_a_row: 1, ranges: 1, discovery: way, ..TestCluster::default() }
}

/// Asks queries, some at once; all are answered.
fn ask(coordinator: &Coordinator) {
    let addr = coordinator.listen;
    let in_turn = || {
        for _ in 0..QUERIES / AT_ONCE {
            assert_eq!(query(addr, "tag-lookup", &[0]).unwrap().status, 200);
        }
    };
    thread::scope(|scope| (0..AT_ONCE).for_each(|_| drop(scope.spawn(in_turn))));
}

/// The coordinator comes into service.
fn is_ready(coordinator: &Coordinator) {
    let begun = Instant::now();
    while !stand_in::get(coordinator.listen, "/_health").is_ok_and(|a| a.status == 200) {
        assert!(begun.elapsed() < IN_FORCE, "not in service after {IN_FORCE:?}");
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

/// Asks until each of these data nodes has had a part: its gate is open.
fn are_open(coordinator: &Coordinator, open: &[&DataNode]) {
    let begun = Instant::now();
    while open.iter().any(|node| node.parts().is_empty()) {
        assert!(begun.elapsed() < IN_FORCE, "one has no part after {IN_FORCE:?}");
        ask(coordinator);
    }
}

/// Whether queries in a row leave these data nodes alone.
fn left_alone(coordinator: &Coordinator, shut: &[&DataNode]) -> bool {
    let parts = || shut.iter().map(|node| node.parts().len()).sum::<usize>();
    let before = parts();
    ask(coordinator);
    parts() == before
}

/// Waits until these data nodes are left alone, and sees that it stays so.
fn are_shut(coordinator: &Coordinator, shut: &[&DataNode]) {
    let begun = Instant::now();
    while !left_alone(coordinator, shut) {
        assert!(begun.elapsed() < IN_FORCE, "still sent to after {IN_FORCE:?}");
    }
    (0..3).for_each(|_| assert!(left_alone(coordinator, shut), "sent to again"));
}

/// The root of the matter: one line with `"endpoint":null` cost a delta, and every snapshot that followed. Discovery
/// goes on having that line. The same delta brings the data node that is asked from then on.
#[test]
fn a_delta_with_a_bad_line_shuts_the_gates_that_it_names() {
    for way in WAYS {
        let [good, part, comes] = nodes();
        let (service, addr) =
            Service::start(vec![line("part", part.addr, "up"), line("good", good.addr, "up")]);
        let coordinator = cluster(way).start(addr, "");
        is_ready(&coordinator);
        are_open(&coordinator, &[&good, &part]);
        let lines = vec![
            partial("part", "draining"),
            line("good", good.addr, "draining"),
            "null".to_string(),
            line("comes", comes.addr, "up"),
        ];
        service.say(update(2, false, &lines), lines);
        are_shut(&coordinator, &[&good, &part]);
        service.is_not_worn_out();
    }
}

/// Guards against a coordinator that never comes into service beside one bad line.
#[test]
fn a_snapshot_with_bad_lines_teaches_the_rest() {
    for way in WAYS {
        let [first, second, drains] = nodes();
        let lines = vec![
            "null".to_string(),
            line("first", first.addr, "up"),
            r#"{"uid":null,"endpoint":"127.0.0.1:1","pod_group":0,"state":"up"}"#.to_string(),
            partial("unknown", "up"),
            line("second", second.addr, "up").replace('}', r#","capacity_hint":1e999,"az":null}"#),
            line("drains", drains.addr, "draining").replace('}', r#","boot_ms":null,"extra":[{}]}"#),
        ];
        let (service, addr) = Service::start(lines);
        let coordinator = cluster(way).start(addr, "");
        is_ready(&coordinator);
        are_open(&coordinator, &[&first, &second]);
        assert!(drains.parts().is_empty(), "{way}");
        service.is_not_worn_out();
    }
}

/// Guards against a snapshot in which a known data node's line cannot be read whole: it is not gone, and what shuts
/// it counts.
#[test]
fn a_snapshot_keeps_what_it_names_in_part() {
    for way in WAYS {
        let [kept, shut, gone] = nodes();
        let all =
            vec![line("kept", kept.addr, "up"), line("shut", shut.addr, "up"), line("gone", gone.addr, "up")];
        let (service, addr) = Service::start(all);
        let coordinator = cluster(way).start(addr, "");
        is_ready(&coordinator);
        are_open(&coordinator, &[&kept, &shut, &gone]);
        let bad = vec![partial("kept", "up"), partial("shut", "draining")];
        service.say(update(2, true, &bad), bad);
        are_shut(&coordinator, &[&shut, &gone]);
        let before = kept.parts().len();
        ask(&coordinator);
        assert_eq!(kept.parts().len(), before + QUERIES, "{way}");
        // A change that names it in part does not open its gate either.
        service.say(
            update(3, false, &[partial("shut", "up")]),
            vec![partial("kept", "up"), partial("shut", "up")],
        );
        thread::sleep(5 * BEAT);
        assert!(left_alone(&coordinator, &[&shut, &gone]), "{way}");
        service.is_not_worn_out();
    }
}

/// Guards against a line that is no object, and takes the one behind it along.
#[test]
fn a_line_that_is_no_object_costs_that_line_only() {
    for way in WAYS {
        let [drains, stays, _] = nodes();
        let lines = |state: &str| vec![line("drains", drains.addr, state), line("stays", stays.addr, "up")];
        let (service, addr) = Service::start(lines("up"));
        let coordinator = cluster(way).start(addr, "");
        is_ready(&coordinator);
        are_open(&coordinator, &[&drains, &stays]);
        let delta = update(2, false, &lines("draining")[..1]);
        // Nothing but the object behind the nonsense tells that it drains.
        service.say(format!("nonsense\n{delta}"), vec!["{".to_string()]);
        are_shut(&coordinator, &[&drains]);
        service.is_not_worn_out();
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
