//! A coordinator on loopback, with stand-ins round it: the test harness of the integration tests.
#![allow(dead_code, unreachable_pub)]

pub mod catalog;
mod discovery_connection;
pub mod discovery_faults;
pub mod drain_check;
pub mod drain_trial;
pub mod faulty_discovery;
pub mod load_generator;
pub mod scripted;
pub mod stalling_data_node;
#[path = "../../examples/toy/stand_in.rs"]
pub mod stand_in;

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Once};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use curlewdeck::config::{Config, Edge};
use curlewdeck::limits::Limits;
use curlewdeck::startup::{self, Coordinator};
use stand_in::{exchange, Answer, DataNode, Discovery, Member, NodeReply, Part};

/// What a test cluster may differ in. Deadlines are long: nothing here waits for one to pass.
pub struct TestCluster {
    pub cells: u32,
    pub in_a_row: u32,
    pub ranges: u32,
    pub max_open: u32,
    pub deadline_s: u64,
    pub discovery: &'static str,
    pub sockets: u32,
}

impl Default for TestCluster {
    fn default() -> Self {
        Self {
            cells: 2,
            in_a_row: 2,
            ranges: 4,
            max_open: 400,
            deadline_s: 60,
            discovery: "on_request",
            sockets: 1024,
        }
    }
}

impl TestCluster {
    /// The configuration's text.
    pub fn config(&self, discovery: SocketAddr) -> String {
        let Self { cells, in_a_row, ranges, max_open, deadline_s, discovery: how, sockets } = self;
        let class = |name: &str| {
            format!(
                r#"{{"name":"{name}","aim_ns":1000000000,"deadline_ns":{deadline_s}000000000,"effect":"idempotent","importance":1.0,"late_worth":0.3}}"#
            )
        };
        let classes = [class("tag-lookup"), class("plaza-ranking"), class("monthly-settle")].join(",");
        format!(
            r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
            "settings":{{"balancers":1,"classes":[{classes}],"discovery":"{how}",
            "domain":{{"batch":1,"class_floor":[1.0,0.5,1.0],"class_partial":[0.9,0.8,0.9],"complete_from":[1.0,1.0,1.0],
            "in_a_row":{in_a_row},"overhead_ns":0,"positions":{cells},"ranges":{ranges},"second_step":[0,0,2]}},
            "limits":{{"cancel":true,"conn_idle_ns":30000000000,"connect_timeout_ns":2000000000,"max_attempts":4,
            "max_open":{max_open},"max_retry_after_ns":2000000000,"may_duplicate":true,"multiplex":32,"probes":true,
            "retry_after":true}},
            "rules":{{"cold_ns":17000000000,"cold_share":0.15,"fall_ns":1000000000,"must_ask_in_ns":10000000000,
            "tip_multiple":2.5}},"tick_ns":5000000,"zones":["a"]}}}}"#
        )
    }

    /// Starts a coordinator in this process.
    pub fn start(&self, discovery: SocketAddr, edge: &str) -> Coordinator {
        start(&self.config(discovery), edge)
    }
}

/// Starts a coordinator in this process from the text of its configuration.
pub fn start(config: &str, edge: &str) -> Coordinator {
    static WORKERS: Once = Once::new();
    WORKERS.call_once(|| startup::set_up_workers(&Limits::default()));
    let config = Config::read(config, |_| None).unwrap();
    startup::start(config, Edge::read(edge).unwrap()).unwrap()
}

/// The address in the fields of a log line.
pub fn logged_address(fields: &str) -> SocketAddr {
    let address = fields.split_whitespace().find_map(|field| field.strip_prefix("address="));
    address.expect("the line has an address").parse().unwrap()
}

pub fn member(uid: &str, cell: u32, endpoint: SocketAddr) -> Member {
    Member { uid: uid.to_string(), endpoint, cell, state: "up", boot_ms: 0 }
}

/// Waits for something that is bound to happen; gives up only after far longer than that can take.
pub fn until(what: &str, mut happened: impl FnMut() -> bool) {
    let start = Instant::now();
    while !happened() {
        assert!(start.elapsed() < Duration::from_secs(120), "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Waits until a coordinator can serve.
pub fn ready(coordinator: &Coordinator) {
    until("health", || stand_in::get(coordinator.listen, "/_health").is_ok_and(|a| a.status == 200));
}

/// Changes a member's state, and waits until the coordinator has heard of it.
pub fn change(coordinator: &Coordinator, discovery: &Discovery, uid: &str, state: &'static str) {
    let changes = || coordinator.core.counters.endpoint_list_changes.load(Ordering::SeqCst);
    let before = changes();
    discovery.set(uid, state);
    until("the list's change", || changes() > before);
}

/// One query of the platform's protocol.
pub fn query(addr: SocketAddr, class: &str, shards: &[u32]) -> std::io::Result<Answer> {
    exchange(addr, &query_bytes(class, shards, "60000m"))
}

pub fn query_bytes(class: &str, shards: &[u32], timeout: &str) -> Vec<u8> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let id = NEXT.fetch_add(1, Ordering::SeqCst);
    let weight = 1.0 / shards.len() as f64;
    let parts: Vec<String> = shards.iter().map(|s| format!(r#"{{"id":{s},"w":{weight}}}"#)).collect();
    let body = format!(r#"{{"parts":[{}],"expr":"c41e77d0"}}"#, parts.join(","));
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id:016x}\r\nX-Timeout: {timeout}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    (head + &body).into_bytes()
}

pub fn served(part: &Part) -> NodeReply {
    NodeReply::Answer(200, u64::from(part.shard), format!("v{}", part.id.split_once('.').unwrap().1))
}

/// A data node that serves once the test says so.
pub fn held_back() -> (Arc<AtomicBool>, impl Fn(&Part) -> NodeReply + Clone + Send + Sync + 'static) {
    let release = Arc::new(AtomicBool::new(false));
    let held = release.clone();
    let slow = move |part: &Part| {
        until("the test to go on", || held.load(Ordering::SeqCst));
        served(part)
    };
    (release, slow)
}

/// Two data nodes that hold every shard, and their list.
pub fn two(
    first: impl Fn(&Part) -> NodeReply + Send + Sync + 'static,
    second: impl Fn(&Part) -> NodeReply + Send + Sync + 'static,
) -> (DataNode, DataNode, Discovery) {
    let (a, b) = (DataNode::start(first), DataNode::start(second));
    let list = vec![member("a", 0, a.addr), member("b", 1, b.addr)];
    let discovery = Discovery::start("127.0.0.1:0", list);
    (a, b, discovery)
}

/// The program itself in a process of its own, with its configuration in a folder of its own.
pub struct Program {
    child: Child,
    pub addr: SocketAddr,
    /// The second address, if it has one.
    pub control: Option<SocketAddr>,
    dir: PathBuf,
    log: Option<JoinHandle<String>>,
}

impl Program {
    pub fn start(config: &str) -> Self {
        Self::start_with(config, None)
    }

    /// The same, with a listener that it inherits as descriptor 3.
    pub fn start_with(config: &str, listener: Option<&TcpListener>) -> Self {
        Self::launch(config, listener, "", |_| ())
    }

    /// The same, with further files that are put in its folder before.
    pub fn start_prepared(config: &str, listener: Option<&TcpListener>, prepare: impl FnOnce(&Path)) -> Self {
        Self::launch(config, listener, "", prepare)
    }

    /// The same in a process that can hold so many descriptors only, whatever its configuration says.
    pub fn start_short_of_descriptors(config: &str, descriptors: u32) -> Self {
        Self::launch(config, None, &format!("ulimit -n {descriptors}; "), |_| ())
    }

    fn launch(
        config: &str,
        listener: Option<&TcpListener>,
        before: &str,
        prepare: impl FnOnce(&Path),
    ) -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let dir = std::env::temp_dir().join(format!("curlewdeck-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        std::fs::write(dir.join("config.json"), config).unwrap();
        prepare(&dir);
        let program = env!("CARGO_BIN_EXE_curlewdeck");
        let mut command = Command::new("sh");
        match listener {
            Some(listener) => {
                let listener = listener.try_clone().unwrap();
                command.stdin(Stdio::from(OwnedFd::from(listener))).env("LB_LISTEN_FD", "3");
                command.args(["-c", &format!(r#"{before}exec 3<&0 </dev/null; exec "$0" "$@""#), program]);
            }
            None => drop(command.args(["-c", &format!(r#"{before}exec "$0" "$@""#), program])),
        }
        command.args(["serve", "--config", "config.json"]).current_dir(&dir);
        command.env_remove("LB_DISCOVERY").stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        // The log tells which ports it was given.
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut control, mut line) = (None, String::new());
        let addr = loop {
            line.clear();
            assert!(std::io::BufRead::read_line(&mut log, &mut line).unwrap() > 0, "it ended early");
            if let Some((_, fields)) = line.split_once("] listening for operators ") {
                control = Some(logged_address(fields));
            }
            if let Some((_, fields)) = line.split_once("] listening for clients ") {
                break logged_address(fields);
            }
        };
        let log = Some(std::thread::spawn(move || std::io::read_to_string(log).unwrap()));
        let program = Self { child, addr, control, dir, log };
        match control {
            Some(control) => until("readiness", || yes(control, "GET", "/ops/readiness")),
            None => until("health", || stand_in::get(addr, "/_health").is_ok_and(|a| a.status == 200)),
        }
        program
    }

    pub fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Stops it for a moment, and lets it go on: waits that it was in are interrupted.
    pub fn interrupt(&self) {
        self.signal("STOP");
        until("the stop", || self.state() == 'T');
        self.signal("CONT");
        until("its going on", || self.state() != 'T');
    }

    /// The processor time that it has taken, in ticks of the system's clock (hundredths of a second).
    pub fn processor_ticks(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = status.rsplit(") ").next().unwrap().split(' ').collect();
        // Of the whole line these are the 14th and the 15th, in user mode and in the kernel.
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// The letter of its state: `T` once it is stopped.
    pub fn state(&self) -> char {
        let status = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        status.rsplit(") ").next().and_then(|rest| rest.chars().next()).unwrap()
    }

    /// Puts a file in the place of its configuration, and has it read.
    pub fn reload(&self, text: &str) {
        self.reload_made(|path| std::fs::write(path, text).unwrap());
    }

    /// The same with whatever is made at that path; returns where it is then.
    pub fn reload_made(&self, make: impl FnOnce(&Path)) -> PathBuf {
        let config = self.put_made(make);
        self.signal("HUP");
        config
    }

    /// Puts a file in the place of its configuration; it is read at the next SIGHUP.
    pub fn put(&self, text: &str) {
        self.put_made(|path| std::fs::write(path, text).unwrap());
    }

    fn put_made(&self, make: impl FnOnce(&Path)) -> PathBuf {
        let (next, config) = (self.dir.join("next.json"), self.dir.join("config.json"));
        make(&next);
        std::fs::rename(next, &config).unwrap();
        config
    }

    /// Its folder, in which its configuration is `config.json`.
    pub fn folder(&self) -> &Path {
        &self.dir
    }

    /// Waits for something that is bound to happen before the program ends, and no longer than until then.
    pub fn until(&mut self, what: &str, mut happened: impl FnMut() -> bool) {
        until(what, || {
            // Looked at first: what has not happened after it never will.
            let ended = self.child.try_wait().unwrap();
            let happened = happened();
            assert!(happened || ended.is_none(), "the program ended ({ended:?}) before: {what}");
            happened
        });
    }

    /// Waits for its end, which must be a good one; returns its log.
    pub fn ended(mut self) -> String {
        assert!(self.child.wait().unwrap().success());
        self.log.take().unwrap().join().unwrap()
    }

    /// How it has ended, if it has.
    pub fn has_ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Kills it with SIGKILL, and waits until it is gone; returns its log.
    pub fn killed(mut self) -> String {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.log.take().unwrap().join().unwrap()
    }

    /// One figure of the second address.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let text = operate(self.control.unwrap(), "GET", "/ops/stats").unwrap().body;
        let line =
            text.lines().find_map(|l| l.strip_prefix("edge_lb.")?.strip_prefix(name)?.strip_prefix('='));
        line.map(|value| value.parse().unwrap())
    }

    /// A call of the second address that must be a yes.
    pub fn operate(&self, method: &str, path: &str) {
        assert!(yes(self.control.unwrap(), method, path), "{method} {path}");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

pub fn signal(child: &Child, name: &str) {
    let kill = Command::new("kill").args(["-s", name, &child.id().to_string()]).status();
    assert!(kill.unwrap().success());
}

/// One call of the second address, or of a group's.
pub fn call_bytes(method: &str, path: &str, body: &str) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

pub fn operate(control: SocketAddr, method: &str, path: &str) -> std::io::Result<Answer> {
    exchange(control, &call_bytes(method, path, ""))
}

pub fn yes(control: SocketAddr, method: &str, path: &str) -> bool {
    operate(control, method, path).is_ok_and(|a| a.status / 100 == 2)
}
