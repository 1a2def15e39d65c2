//! A coordinator process under load that gets SIGTERM after reloads, and SIGKILL at the earliest permitted time. By then
//! every request must be answered, also one that is open under a class that was dropped.

use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::stand_in::{lock, read_answer, DataNode, Discovery, NodeReply, Part};
use super::{
    control_request_succeeds, query_bytes, start_two_data_nodes, successful_reply, wait_until, Program,
    TestCluster,
};

/// SIGKILL follows SIGTERM no sooner than after the longest deadline and this.
pub const KILL_DELAY: Duration = Duration::from_millis(700);
/// A longer deadline counts as this.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The slack of all time limits on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);

pub const LONG_DEADLINE: Duration = Duration::from_secs(8);
pub const SHORT_DEADLINE: Duration = Duration::from_millis(1500);
/// The class whose deadline changes.
pub const CHANGING_CLASS: &str = "monthly-settle";
/// The class of the clients' requests.
pub const STEADY_CLASS: &str = "tag-lookup";

/// A class's name and deadline.
pub type ClassDeadline = (&'static str, Duration);
/// The classes at the start.
pub const LONG_CLASSES: &[ClassDeadline] = &[(CHANGING_CLASS, LONG_DEADLINE), (STEADY_CLASS, SHORT_DEADLINE)];
pub const SHORTENED_CLASSES: &[ClassDeadline] =
    &[(CHANGING_CLASS, SHORT_DEADLINE), (STEADY_CLASS, SHORT_DEADLINE)];
pub const STEADY_CLASS_ONLY: &[ClassDeadline] = &[(STEADY_CLASS, SHORT_DEADLINE)];

const CLIENTS: usize = 12;
/// A data node's time for a part.
const PART_WORK: Duration = Duration::from_millis(160);
/// A client's pause between an answer and its next request.
const CLIENT_PAUSE: Duration = Duration::from_millis(20);
/// Data nodes never answer a part of this shard.
pub const SILENT_SHARD: u32 = 3;

/// Renders a configuration with a control address and these classes.
pub fn config(discovery: &Discovery, classes: &[ClassDeadline]) -> String {
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

/// A data node's reply: none for the silent shard, else after the work.
pub fn reply(part: &Part) -> NodeReply {
    if part.shard == SILENT_SHARD {
        return NodeReply::Silence;
    }
    sleep(PART_WORK);
    successful_reply(part)
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestEnd {
    /// The status of the answer.
    Answered(u16),
    /// The connection ended without an answer.
    ConnectionEnded,
}

#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub sent_at: Instant,
    /// `None` while the request is unanswered.
    pub end: Option<RequestEnd>,
}

/// All requests of the clients.
#[derive(Clone, Default)]
pub struct RequestLog(Arc<Mutex<Vec<Request>>>);

impl RequestLog {
    /// Sends a request and waits for its end. Returns whether the connection may be used again.
    pub fn send(&self, stream: &mut TcpStream, request: &[u8]) -> bool {
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

    pub fn requests(&self) -> Vec<Request> {
        lock(&self.0).clone()
    }
}

/// Clients on connections that they keep, and an open query of the changing class that no data node answers.
struct Traffic {
    log: RequestLog,
    stop: Arc<AtomicBool>,
    /// A connection that has been answered once and is idle until just before the kill.
    idle: TcpStream,
}

impl Traffic {
    fn start(addr: SocketAddr, nodes: &[&DataNode]) -> Self {
        let (log, stop) = (RequestLog::default(), Arc::new(AtomicBool::new(false)));
        let mut idle = TcpStream::connect(addr).unwrap();
        assert!(log.send(&mut idle, &steady_request()));
        let open_log = log.clone();
        thread::spawn(move || {
            let request = query_bytes(CHANGING_CLASS, &[SILENT_SHARD], "60000m");
            open_log.send(&mut TcpStream::connect(addr).unwrap(), &request);
        });
        let is_open = |node: &&DataNode| node.received_parts().iter().any(|part| part.shard == SILENT_SHARD);
        wait_until("the open query", || nodes.iter().any(is_open));
        for _ in 0..CLIENTS {
            let (log, stop) = (log.clone(), stop.clone());
            thread::spawn(move || send_until_stopped(addr, &log, &stop));
        }
        wait_until("traffic", || log.requests().len() > 3 * CLIENTS);
        Self { log, stop, idle }
    }

    /// Sends a last request on the idle connection.
    fn use_idle_connection(&self) {
        let (log, mut idle) = (self.log.clone(), self.idle.try_clone().unwrap());
        thread::spawn(move || log.send(&mut idle, &steady_request()));
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
pub struct ShutdownTrial {
    pub program: Program,
    pub discovery: Discovery,
    traffic: Traffic,
    reloads: u64,
    _nodes: [DataNode; 2],
}

impl ShutdownTrial {
    pub fn start() -> Self {
        Self::start_with(None)
    }

    /// Starts the program with a listener that it inherits, if there is one.
    pub fn start_with(listener: Option<&TcpListener>) -> Self {
        let (a, b, discovery) = start_two_data_nodes(reply, reply);
        let program = Program::start_with(&config(&discovery, LONG_CLASSES), listener);
        let traffic = Traffic::start(program.addr, &[&a, &b]);
        Self { program, discovery, traffic, reloads: 0, _nodes: [a, b] }
    }

    /// Replaces the configuration and waits until it is applied.
    pub fn reload(&mut self, classes: &[ClassDeadline]) {
        self.program.reload(&config(&self.discovery, classes));
        self.reloads += 1;
        wait_until("the reload", || self.program.statistic("reloads_ok") == Some(self.reloads));
    }

    /// Sends SIGTERM; clients do not connect again. Returns the time of the signal.
    pub fn terminate(&self) -> Instant {
        self.traffic.stop.store(true, Ordering::SeqCst);
        let terminated_at = Instant::now();
        self.program.signal("TERM");
        terminated_at
    }

    /// Sends SIGHUP, and SIGTERM while the configuration is being read. Returns the pipe that it is read from, and the
    /// time of SIGTERM, once the shutdown has begun.
    pub fn terminate_during_read(&self) -> (File, Instant) {
        let pipe = self.program.reload_pipe();
        let terminated_at = self.terminate();
        let control = self.program.control.unwrap();
        wait_until("the shutdown", || !control_request_succeeds(control, "GET", "/ops/readiness"));
        (pipe, terminated_at)
    }

    /// Sends SIGKILL at the earliest time after SIGTERM that the longest deadline permits.
    pub fn kill(self, terminated_at: Instant, longest_deadline: Duration) -> TrialEnd {
        let kill_at = terminated_at + longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY + SOCKET_SLACK;
        sleep((kill_at - 2 * SOCKET_SLACK).saturating_duration_since(Instant::now()));
        self.traffic.use_idle_connection();
        sleep(kill_at.saturating_duration_since(Instant::now()));
        let requests = self.traffic.log.requests();
        let log = self.program.kill();
        TrialEnd { terminated_at, requests, log }
    }

    /// Does the same, and asserts that no request is unanswered at SIGKILL.
    pub fn kill_and_check(self, terminated_at: Instant, longest_deadline: Duration) -> TrialEnd {
        let end = self.kill(terminated_at, longest_deadline);
        assert!(end.unanswered().is_empty(), "{}\n{}", end.summary(), end.log);
        end
    }
}

/// The state of a trial at SIGKILL.
pub struct TrialEnd {
    pub terminated_at: Instant,
    pub requests: Vec<Request>,
    /// The program's log.
    pub log: String,
}

impl TrialEnd {
    /// The requests that SIGKILL found unanswered, by time after SIGTERM; `None` for those that came before it.
    pub fn unanswered(&self) -> Vec<Option<Duration>> {
        let after_sigterm = |request: &Request| request.sent_at.checked_duration_since(self.terminated_at);
        self.requests.iter().filter(|request| request.end.is_none()).map(after_sigterm).collect()
    }

    pub fn summary(&self) -> String {
        let unanswered = self.unanswered();
        let (count, all) = (unanswered.len(), self.requests.len());
        format!("{count} of {all} requests unanswered at SIGKILL, by time after SIGTERM: {unanswered:?}")
    }
}
