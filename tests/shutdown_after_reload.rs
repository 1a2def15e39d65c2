//! SIGTERM after SIGHUP has changed the classes. SIGKILL may follow as soon as the longest deadline of the classes in
//! force allows; by then every request is answered, also one of a class that was dropped. The program runs as a
//! separate process on loopback and is killed at the earliest permitted time.

mod harness;

use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread::{self, sleep, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use curlewdeck::config::Config;

use harness::stand_in::{lock, read_answer, DataNode, Discovery, NodeReply, Part};
use harness::{
    control_request_succeeds, query_bytes, start, start_two_data_nodes, successful_reply, wait_until,
    wait_until_healthy, Program, TestCluster,
};

/// SIGKILL follows SIGTERM no sooner than after the longest deadline and this.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// A longer deadline counts as this.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The slack of all time limits on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);

const LONG_DEADLINE: Duration = Duration::from_secs(8);
const SHORT_DEADLINE: Duration = Duration::from_millis(1500);
/// The class whose deadline changes.
const CHANGING_CLASS: &str = "monthly-settle";
/// The class of the clients' requests.
const STEADY_CLASS: &str = "tag-lookup";

/// A class's name and deadline.
type ClassDeadline = (&'static str, Duration);
const LONG_CLASSES: &[ClassDeadline] = &[(CHANGING_CLASS, LONG_DEADLINE), (STEADY_CLASS, SHORT_DEADLINE)];
const SHORTENED_CLASSES: &[ClassDeadline] =
    &[(CHANGING_CLASS, SHORT_DEADLINE), (STEADY_CLASS, SHORT_DEADLINE)];
const STEADY_CLASS_ONLY: &[ClassDeadline] = &[(STEADY_CLASS, SHORT_DEADLINE)];

const CLIENTS: usize = 12;
/// A data node's time for a part.
const PART_WORK: Duration = Duration::from_millis(160);
/// A client's pause between an answer and its next request.
const CLIENT_PAUSE: Duration = Duration::from_millis(20);
/// Data nodes never answer a part of this shard.
const SILENT_SHARD: u32 = 3;

/// Renders a configuration with a control address and these classes.
fn config(discovery: &Discovery, classes: &[ClassDeadline]) -> String {
    let mut config: Value = serde_json::from_str(&TestCluster::default().config(discovery.addr)).unwrap();
    config["control"] = json!("127.0.0.1:0");
    let template = config["settings"]["classes"][0].clone();
    let class = |&(name, deadline): &ClassDeadline| {
        let mut class = template.clone();
        class["name"] = json!(name);
        class["deadline_ns"] = json!(deadline.as_nanos() as u64);
        class
    };
    config["settings"]["classes"] = classes.iter().map(class).collect();
    let by_class = [("class_floor", 1.0), ("class_partial", 0.9), ("complete_from", 1.0)];
    for (key, value) in by_class {
        config["settings"]["domain"][key] = json!(vec![value; classes.len()]);
    }
    config["settings"]["domain"]["second_step"] = json!(vec![0; classes.len()]);
    config.to_string()
}

fn reply(part: &Part) -> NodeReply {
    if part.shard == SILENT_SHARD {
        return NodeReply::Silence;
    }
    sleep(PART_WORK);
    successful_reply(part)
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestEnd {
    /// The status of the answer.
    Answered(u16),
    /// The connection ended without an answer.
    ConnectionEnded,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    sent_at: Instant,
    end: Option<RequestEnd>,
}

/// All requests of the clients.
#[derive(Clone, Default)]
struct RequestLog(Arc<Mutex<Vec<Request>>>);

impl RequestLog {
    /// Sends a request and waits for its end. Returns whether the connection may be used again.
    fn send(&self, stream: &mut TcpStream, request: &[u8]) -> bool {
        let index = {
            let mut requests = lock(&self.0);
            requests.push(Request { sent_at: Instant::now(), end: None });
            requests.len() - 1
        };
        let answer = stream
            .write_all(request)
            .and_then(|()| read_answer(&mut BufReader::new(stream.try_clone().unwrap())));
        let end = answer.as_ref().map_or(RequestEnd::ConnectionEnded, |a| RequestEnd::Answered(a.status));
        lock(&self.0)[index].end = Some(end);
        answer.is_ok_and(|a| a.header("connection").is_none_or(|c| !c.eq_ignore_ascii_case("close")))
    }

    fn requests(&self) -> Vec<Request> {
        lock(&self.0).clone()
    }
}

/// Clients on connections that they keep, and an open query of the changing class that no data node answers.
struct Traffic {
    log: RequestLog,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// A connection that has been answered once and is idle until just before the kill.
    idle: TcpStream,
}

impl Traffic {
    fn start(addr: SocketAddr, nodes: &[&DataNode]) -> Self {
        let (log, stop) = (RequestLog::default(), Arc::new(AtomicBool::new(false)));
        let mut idle = TcpStream::connect(addr).unwrap();
        assert!(log.send(&mut idle, &steady_request()));
        let open_log = log.clone();
        let mut threads = vec![thread::spawn(move || {
            let request = query_bytes(CHANGING_CLASS, &[SILENT_SHARD], "60000m");
            open_log.send(&mut TcpStream::connect(addr).unwrap(), &request);
        })];
        let is_open = |node: &&DataNode| node.received_parts().iter().any(|part| part.shard == SILENT_SHARD);
        wait_until("the open query", || nodes.iter().any(is_open));
        threads.extend((0..CLIENTS).map(|_| {
            let (log, stop) = (log.clone(), stop.clone());
            thread::spawn(move || send_until_stopped(addr, &log, &stop))
        }));
        wait_until("traffic", || log.requests().len() > 3 * CLIENTS);
        Self { log, stop, threads, idle }
    }

    /// Sends a last request on the idle connection.
    fn use_idle_connection(&mut self) {
        let (log, mut idle) = (self.log.clone(), self.idle.try_clone().unwrap());
        self.threads.push(thread::spawn(move || {
            log.send(&mut idle, &steady_request());
        }));
    }
}

fn steady_request() -> Vec<u8> {
    query_bytes(STEADY_CLASS, &[0, 1], "1500m")
}

/// Sends requests until the connection ends. Connects again unless stopped.
fn send_until_stopped(addr: SocketAddr, log: &RequestLog, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(addr) else { return };
        while log.send(&mut stream, &steady_request()) {
            sleep(CLIENT_PAUSE);
        }
    }
}

/// A program with the long deadline, its data nodes and its clients.
struct ShutdownTest {
    program: Program,
    discovery: Discovery,
    traffic: Traffic,
    reloads: u64,
    _nodes: [DataNode; 2],
}

impl ShutdownTest {
    fn start() -> Self {
        Self::start_with(None)
    }

    fn start_with(listener: Option<&TcpListener>) -> Self {
        let (a, b, discovery) = start_two_data_nodes(reply, reply);
        let program = Program::start_with(&config(&discovery, LONG_CLASSES), listener);
        let traffic = Traffic::start(program.addr, &[&a, &b]);
        Self { program, discovery, traffic, reloads: 0, _nodes: [a, b] }
    }

    fn reload(&mut self, classes: &[ClassDeadline]) {
        self.program.reload(&config(&self.discovery, classes));
        self.reloads += 1;
        wait_until("the reload", || self.program.statistic("reloads_ok") == Some(self.reloads));
    }

    /// Sends SIGTERM; clients do not connect again. Returns the time of the signal.
    fn terminate(&self) -> Instant {
        self.traffic.stop.store(true, Ordering::SeqCst);
        let terminated_at = Instant::now();
        self.program.signal("TERM");
        terminated_at
    }

    /// Sends SIGHUP, and SIGTERM while the configuration is being read. Returns the pipe that it is read from, and the
    /// time of SIGTERM, once the shutdown has begun.
    fn terminate_during_read(&self) -> (File, Instant) {
        let pipe = self.program.reload_pipe();
        let terminated_at = self.terminate();
        let control = self.program.control.unwrap();
        wait_until("the shutdown", || !control_request_succeeds(control, "GET", "/ops/readiness"));
        (pipe, terminated_at)
    }

    /// Sends SIGKILL at the earliest time after SIGTERM that the longest deadline permits. Asserts that no request is
    /// unanswered then. Returns all requests and the log.
    fn kill_and_check(
        mut self,
        terminated_at: Instant,
        longest_deadline: Duration,
    ) -> (Vec<Request>, String) {
        let kill_at = terminated_at + longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY + SOCKET_SLACK;
        sleep((kill_at - 2 * SOCKET_SLACK).saturating_duration_since(Instant::now()));
        self.traffic.use_idle_connection();
        sleep(kill_at.saturating_duration_since(Instant::now()));
        let requests = self.traffic.log.requests();
        let log = self.program.kill();
        let sent_after_sigterm = |request: &Request| request.sent_at.checked_duration_since(terminated_at);
        let is_unanswered = |request: &&Request| request.end.is_none();
        let unanswered: Vec<_> = requests.iter().filter(is_unanswered).map(sent_after_sigterm).collect();
        assert!(unanswered.is_empty(), "unanswered at SIGKILL, by time after SIGTERM: {unanswered:?}\n{log}");
        self.traffic.threads.into_iter().for_each(|thread| thread.join().unwrap());
        (requests, log)
    }
}

/// A deadline that no class in force has any more must not keep connections open up to SIGKILL: the class was dropped.
#[test]
fn deadline_of_a_dropped_class_does_not_extend_the_shutdown() {
    let mut test = ShutdownTest::start();
    test.reload(STEADY_CLASS_ONLY);
    let terminated_at = test.terminate();
    test.kill_and_check(terminated_at, SHORT_DEADLINE);
}

/// The same fault by a class that keeps its name and gets a shorter deadline.
#[test]
fn earlier_deadline_of_a_shortened_class_does_not_extend_the_shutdown() {
    let mut test = ShutdownTest::start();
    test.reload(SHORTENED_CLASSES);
    let terminated_at = test.terminate();
    test.kill_and_check(terminated_at, SHORT_DEADLINE);
}

/// The same fault by several reloads: a class is dropped, brought back with its long deadline, and shortened.
#[test]
fn last_of_several_reloads_limits_the_shutdown() {
    let mut test = ShutdownTest::start();
    for classes in [STEADY_CLASS_ONLY, LONG_CLASSES, SHORTENED_CLASSES] {
        test.reload(classes);
    }
    let terminated_at = test.terminate();
    test.kill_and_check(terminated_at, SHORT_DEADLINE);
}

/// A class that is brought back counts again: requests must not be turned away as if its deadline were still gone.
#[test]
fn deadline_of_a_class_that_is_brought_back_extends_the_shutdown() {
    let mut test = ShutdownTest::start();
    test.reload(STEADY_CLASS_ONLY);
    test.reload(LONG_CLASSES);
    let terminated_at = test.terminate();
    let (requests, log) = test.kill_and_check(terminated_at, LONG_DEADLINE);
    let is_late = |r: &&Request| r.sent_at > terminated_at + SHORT_DEADLINE;
    let late: Vec<_> = requests.iter().filter(is_late).filter_map(|r| r.end).collect();
    assert!(late.contains(&RequestEnd::Answered(200)), "{late:?}\n{log}");
}

/// The same fault at a hand-over: an idle connection of the old process must end before SIGKILL may come.
#[test]
fn deadline_of_a_dropped_class_does_not_extend_a_hand_over() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut test = ShutdownTest::start_with(Some(&listener));
    test.reload(STEADY_CLASS_ONLY);
    let _new = Program::start_with(&config(&test.discovery, STEADY_CLASS_ONLY), Some(&listener));
    let terminated_at = test.terminate();
    test.kill_and_check(terminated_at, SHORT_DEADLINE);
}

/// The same fault where SIGTERM comes right after a reload: the core, busy, has not taken the new settings yet.
#[test]
fn settings_that_the_core_has_not_taken_yet_limit_the_shutdown() {
    // The core is busy until after the shutdown has begun.
    const CORE_BUSY: Duration = Duration::from_millis(300);
    let (a, b, discovery) = start_two_data_nodes(reply, reply);
    let coordinator = Arc::new(start(&config(&discovery, LONG_CLASSES), ""));
    wait_until_healthy(&coordinator);
    let log = RequestLog::default();
    let (open_log, addr) = (log.clone(), coordinator.listen);
    let open = thread::spawn(move || {
        let request = query_bytes(CHANGING_CLASS, &[SILENT_SHARD], "60000m");
        open_log.send(&mut TcpStream::connect(addr).unwrap(), &request)
    });
    let parts = || a.received_parts().len() + b.received_parts().len();
    wait_until("the open query", || parts() > 0);
    let (busy_sender, busy) = mpsc::channel();
    coordinator.core.ledger_snapshot(move |_| {
        busy_sender.send(()).unwrap();
        sleep(CORE_BUSY);
    });
    busy.recv().unwrap();
    let settings = Config::read(&config(&discovery, STEADY_CLASS_ONLY), |_| None).unwrap();
    coordinator.apply_config(settings).unwrap();
    let terminated_at = Instant::now();
    let finishing = thread::spawn(move || coordinator.finish());
    open.join().unwrap();
    let answered_after = terminated_at.elapsed();
    finishing.join().unwrap();
    assert!(matches!(log.requests()[0].end, Some(RequestEnd::Answered(_))), "{:?}", log.requests());
    assert!(answered_after < SHORT_DEADLINE + KILL_DELAY, "answered {answered_after:?} after SIGTERM");
}

/// SIGTERM comes right after SIGHUP: whether the file is read before or after it, the shutdown goes by the new file.
#[test]
fn sigterm_right_after_sighup_is_limited_by_the_new_settings() {
    let test = ShutdownTest::start();
    test.program.reload(&config(&test.discovery, STEADY_CLASS_ONLY));
    let terminated_at = test.terminate();
    test.kill_and_check(terminated_at, SHORT_DEADLINE);
}

/// The same fault where the file is still being read at SIGTERM: the limits of the old settings must not stay.
#[test]
fn settings_applied_during_the_shutdown_shorten_it() {
    // Part of the time for which requests are still accepted by the new settings.
    const READ_DURATION: Duration = Duration::from_millis(300);
    let test = ShutdownTest::start();
    let (mut file, terminated_at) = test.terminate_during_read();
    sleep(READ_DURATION);
    file.write_all(config(&test.discovery, STEADY_CLASS_ONLY).as_bytes()).unwrap();
    drop(file);
    let (_, log) = test.kill_and_check(terminated_at, SHORT_DEADLINE);
    assert!(log.contains("configuration applied"), "{log}");
}

/// Settings with longer deadlines that are applied during the shutdown must not extend it: SIGKILL may follow by the
/// deadlines at SIGTERM.
#[test]
fn settings_applied_during_the_shutdown_do_not_extend_it() {
    let mut test = ShutdownTest::start();
    test.reload(STEADY_CLASS_ONLY);
    let (mut file, terminated_at) = test.terminate_during_read();
    file.write_all(config(&test.discovery, LONG_CLASSES).as_bytes()).unwrap();
    drop(file);
    let (_, log) = test.kill_and_check(terminated_at, SHORT_DEADLINE);
    assert_eq!(log.matches("configuration applied").count(), 2, "{log}");
}
