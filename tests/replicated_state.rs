//! Starts and stops coordinators with replicated state in a group of three processes on loopback. All connections
//! between members run through fault proxies, which drop Raft messages by type to force the order of events.

mod harness;

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use curlewdeck::replication::wire::HEADER_BYTES;
use curlewdeck_testkit::proxy::{DroppedMessages, Faults, Proxy};
use raft::eraftpb::MessageType;

use harness::process::collect_log;
use harness::stand_in::lock;
use harness::{control_request_succeeds, send_control_request, wait_until, TestCluster};

const SIZE: usize = 3;
const TICK: Duration = Duration::from_millis(50);
/// Time after which the outcome of an unanswered request is unknown: 30 ticks, and 10 more that its caller waits.
const REQUEST_TIMEOUT: Duration = TICK.saturating_mul(40);
/// How long a starting process waits for its group (docs/replication.md).
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Faults that drop the frames that a predicate selects. A frame begins with the sender and the length, as in
/// `replication::wire`.
fn drop_frames(is_dropped: fn(&[u8]) -> bool) -> Faults {
    let length = |bytes: &[u8]| {
        let length = bytes.get(8..12)?.try_into().map(u32::from_le_bytes).ok()?;
        Some(HEADER_BYTES + length as usize)
    };
    Faults { drop_messages: Some(DroppedMessages { length, is_dropped }), ..Faults::default() }
}

/// Whether a frame contains a Raft message of this type. The type is field 1 of the message, a varint (so its tag is
/// 8), and is written first.
fn has_message_type(frame: &[u8], message_type: MessageType) -> bool {
    frame.get(HEADER_BYTES..HEADER_BYTES + 2) == Some(&[8, message_type as u8])
}

fn is_proposal(frame: &[u8]) -> bool {
    has_message_type(frame, MessageType::MsgPropose)
}

/// Whether a frame requests a vote. A member whose vote requests are dropped never becomes leader, so it forwards all
/// its proposals.
fn is_vote_request(frame: &[u8]) -> bool {
    [MessageType::MsgRequestVote, MessageType::MsgRequestPreVote].iter().any(|&t| has_message_type(frame, t))
}

/// One process of the program, a member of the group.
struct Member {
    child: Child,
    log: Arc<Mutex<String>>,
    started: Instant,
    listen: SocketAddr,
    control: SocketAddr,
}

impl Member {
    fn start(dir: &Path) -> Self {
        let mut command = program(dir, &["serve", "--config", "config.json", "--edge", "edge.toml"]);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let log = collect_log(&mut child);
        let field = |name: &str| {
            let log = lock(&log);
            let (_, fields) = log.split_once(" group] member started ")?;
            let value = fields.lines().next()?.split(' ').find_map(|f| f.strip_prefix(name))?;
            value.strip_prefix('=')?.parse().ok()
        };
        wait_until("the member to start", || {
            field("members_address").is_some() && field("clients_address").is_some()
        });
        let (listen, control) = (field("members_address").unwrap(), field("clients_address").unwrap());
        Self { child, log, started: Instant::now(), listen, control }
    }

    fn has_logged(&self, text: &str) -> bool {
        lock(&self.log).contains(text)
    }

    fn assert_runs(&mut self) {
        let ended = self.child.try_wait().unwrap();
        assert!(ended.is_none(), "the process ended ({ended:?}); its log:\n{}", lock(&self.log));
    }

    /// Asserts that the process keeps running for `duration`, and then answers a client of the group.
    fn assert_runs_for(&mut self, duration: Duration) {
        let start = Instant::now();
        while start.elapsed() < duration {
            self.assert_runs();
            std::thread::sleep(TICK);
        }
        assert!(
            control_request_succeeds(self.control, "GET", "/group/status"),
            "the log:\n{}",
            lock(&self.log)
        );
    }

    /// Waits until the process has loaded its state, and asserts the number of its start.
    fn wait_until_state_is_loaded(&mut self, start: u32) {
        while !self.has_logged("] state loaded ") {
            self.assert_runs();
            let waited = self.started.elapsed();
            assert!(
                waited < START_TIMEOUT,
                "no state loaded after {waited:?}; the log:\n{}",
                lock(&self.log)
            );
            std::thread::sleep(TICK);
        }
        let expected = format!("] state loaded start={start} directory=");
        assert!(self.has_logged(&expected), "'{expected}' was not logged; the log:\n{}", lock(&self.log));
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        assert!(std::thread::panicking() || !self.has_logged("panicked"), "{}", lock(&self.log));
    }
}

fn program(dir: &Path, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewdeck"));
    command.args(args).current_dir(dir);
    command
}

/// A group of coordinators with one proxy for each ordered pair of members.
struct Group {
    dir: PathBuf,
    members: BTreeMap<usize, Member>,
    /// By sender and receiver.
    proxies: BTreeMap<(usize, usize), Proxy>,
}

impl Group {
    /// Founds the group without starting its members.
    fn new(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("curlewdeck-start-{name}-{}", std::process::id()));
        let pairs = (0..SIZE).flat_map(|a| (0..SIZE).map(move |b| (a, b))).filter(|(a, b)| a != b);
        let proxies = pairs.map(|pair| (pair, Proxy::start(None).unwrap())).collect();
        let group = Self { dir, members: BTreeMap::new(), proxies };
        (0..SIZE).for_each(|n| group.found(n));
        group
    }

    /// Founds the group, starts its members and waits until each has loaded its state.
    fn start(name: &str) -> Self {
        let mut group = Self::new(name);
        (0..SIZE).for_each(|n| group.start_member(n));
        group.members.values_mut().for_each(|member| member.wait_until_state_is_loaded(1));
        group
    }

    fn member_dir(&self, n: usize) -> PathBuf {
        self.dir.join(n.to_string())
    }

    fn found(&self, n: usize) {
        let (dir, unused_address) = (self.member_dir(n), "127.0.0.1:1".parse().unwrap());
        std::fs::create_dir_all(dir.join("state")).unwrap();
        let config = TestCluster::default().config(unused_address).replace("\"n1\"", &format!("\"n{n}\""));
        std::fs::write(dir.join("config.json"), config).unwrap();
        let address = |to| self.proxies.get(&(n, to)).map_or(unused_address, Proxy::address);
        let members: String = (0..SIZE).map(|to| format!("{} = \"{}\"\n", to + 1, address(to))).collect();
        let edge = format!(
            "[state]\nfolder = \"state\"\ncopied = true\n[group]\nfolder = \"log\"\nlisten = \"127.0.0.1:0\"\n\
             control = \"127.0.0.1:0\"\ntick_ms = {}\n[group.members]\n{members}",
            TICK.as_millis()
        );
        std::fs::write(dir.join("edge.toml"), edge).unwrap();
        let id = (n + 1).to_string();
        let mut found = program(&dir, &["group", "found", "--edge", "edge.toml", "--id", &id]);
        assert!(found.stdout(Stdio::null()).status().unwrap().success());
    }

    /// Starts a process in its existing folder.
    fn start_member(&mut self, n: usize) {
        let member = Member::start(&self.member_dir(n));
        self.proxies.iter().filter(|(pair, _)| pair.1 == n).for_each(|(_, p)| p.forward_to(member.listen));
        self.members.insert(n, member);
    }

    /// Kills a process and keeps its folder.
    fn kill(&mut self, n: usize) {
        drop(self.members.remove(&n).unwrap());
    }

    fn member(&mut self, n: usize) -> &mut Member {
        self.members.get_mut(&n).unwrap()
    }

    fn leader(&self) -> usize {
        let leads = |member: &Member| {
            let status = send_control_request(member.control, "GET", "/group/status");
            status.is_ok_and(|status| status.body.lines().any(|line| line == "role=leader"))
        };
        let mut leader = None;
        wait_until("a leader", || {
            leader = self.members.iter().find(|(_, member)| leads(member)).map(|(&n, _)| n);
            leader.is_some()
        });
        leader.unwrap()
    }

    /// Kills a follower; returns its number and that of a member that keeps running.
    fn kill_a_follower(&mut self) -> (usize, usize) {
        let leader = self.leader();
        let follower = (leader + 1) % SIZE;
        self.kill(follower);
        (follower, leader)
    }

    /// Injects faults into the traffic from one member to all others.
    fn set_faults_from(&self, n: usize, faults: Faults) {
        self.proxies.iter().filter(|(pair, _)| pair.0 == n).for_each(|(_, p)| p.set_faults(faults));
    }

    /// Injects faults into the traffic from all others to one member.
    fn set_faults_to(&self, n: usize, faults: Faults) {
        self.proxies.iter().filter(|(pair, _)| pair.1 == n).for_each(|(_, p)| p.set_faults(faults));
    }

    fn clear_faults(&self) {
        self.proxies.values().for_each(Proxy::clear_faults);
    }

    /// The version of the replicated state of coordinator `n`, read at member `at`.
    fn state_version(&self, n: usize, at: usize) -> Option<u64> {
        let answer =
            send_control_request(self.members[&at].control, "GET", &format!("/group/keys/state/n{n}"))
                .ok()?;
        answer.header("version")?.parse().ok()
    }

    /// Restarts a process and asserts the number of this start: a wrong number shows that an earlier start was counted
    /// twice or not at all.
    fn restart_and_check_count(&mut self, n: usize, start: u32) {
        self.kill(n);
        self.start_member(n);
        self.member(n).wait_until_state_is_loaded(start);
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.members.iter().for_each(|(n, member)| eprintln!("log of n{n}:\n{}", lock(&member.log)));
        }
        self.members.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// The first write of a starting process is lost. If the process ended, its group would lose a member that it needs; it
/// must keep running, and the start is counted once.
#[test]
fn a_start_with_a_lost_first_write_continues_and_is_counted_once() {
    static PROPOSED: AtomicBool = AtomicBool::new(false);
    let mut group = Group::start("lost-write");
    let (starting, _) = group.kill_a_follower();
    group.set_faults_from(
        starting,
        drop_frames(|frame| {
            PROPOSED.fetch_or(is_proposal(frame), Ordering::SeqCst);
            is_proposal(frame) || is_vote_request(frame)
        }),
    );
    group.start_member(starting);
    wait_until("the first write", || PROPOSED.load(Ordering::SeqCst));
    group.member(starting).assert_runs_for(2 * REQUEST_TIMEOUT);
    assert!(!group.member(starting).has_logged("] state loaded "), "the state was loaded without a write");
    group.clear_faults();
    group.member(starting).wait_until_state_is_loaded(2);
    group.restart_and_check_count(starting, 3);
}

/// The first write of a starting process is committed but its answer is lost. The process must neither end nor mistake
/// its own write for that of another process, and the start is counted once.
#[test]
fn a_start_with_a_lost_answer_is_counted_once() {
    static PROPOSED: AtomicBool = AtomicBool::new(false);
    let mut group = Group::start("lost-answer");
    let (starting, other) = group.kill_a_follower();
    let mut before = None;
    wait_until("the state's version", || {
        before = group.state_version(starting, other);
        before.is_some()
    });
    group.set_faults_from(
        starting,
        drop_frames(|frame| {
            // Set before the proposal is forwarded, so its answer is dropped as well.
            PROPOSED.fetch_or(is_proposal(frame), Ordering::SeqCst);
            is_vote_request(frame)
        }),
    );
    group.set_faults_to(starting, drop_frames(|_| PROPOSED.load(Ordering::SeqCst)));
    group.start_member(starting);
    wait_until("the commit", || group.state_version(starting, other).is_some_and(|v| Some(v) > before));
    group.member(starting).assert_runs_for(2 * REQUEST_TIMEOUT);
    assert!(!group.member(starting).has_logged("] state loaded "), "the state was loaded without an answer");
    group.clear_faults();
    group.member(starting).wait_until_state_is_loaded(2);
    group.restart_and_check_count(starting, 3);
}

/// The leader is lost between the first read and the first write of a starting process. The process must keep running,
/// since the group has no quorum without it.
#[test]
fn a_start_survives_losing_the_leader_before_its_first_write() {
    static PROPOSED: AtomicBool = AtomicBool::new(false);
    let mut group = Group::start("lost-leader");
    let (starting, _) = group.kill_a_follower();
    group.set_faults_from(
        starting,
        drop_frames(|frame| {
            PROPOSED.fetch_or(is_proposal(frame), Ordering::SeqCst);
            is_proposal(frame) || is_vote_request(frame)
        }),
    );
    group.start_member(starting);
    wait_until("the first write", || PROPOSED.load(Ordering::SeqCst));
    let leader = group.leader();
    group.kill(leader);
    group.clear_faults();
    group.member(starting).assert_runs_for(2 * REQUEST_TIMEOUT);
    group.member(starting).wait_until_state_is_loaded(2);
}

/// SIGKILL may follow SIGTERM after this time: the longest deadline, capped at 3 s, plus 0.7 s.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(3_700);

/// A process that is terminated while its group has no quorum must not wait for the group until SIGKILL.
#[test]
fn a_process_without_a_quorum_ends_before_the_termination_timeout() {
    let mut group = Group::start("no-quorum");
    let (first, rest) = (0, 1..SIZE);
    rest.for_each(|n| group.kill(n));
    let log = group.member(first).log.clone();
    wait_until("a write of the state without a quorum", || lock(&log).contains("] state not replicated "));
    let terminated = Instant::now();
    harness::signal(&group.member(first).child, "TERM");
    let ended = group.member(first).child.wait().unwrap();
    let took = terminated.elapsed();
    assert!(ended.success(), "{ended:?}; its log:\n{}", lock(&log));
    assert!(took < TERMINATION_TIMEOUT, "the process ended after {took:?}; its log:\n{}", lock(&log));
}

/// A resource that another process already uses when a coordinator starts.
#[derive(Debug, Clone, Copy)]
enum InUse {
    /// The address for clients of the coordinator.
    ClientsAddress,
    /// The second address, for operators.
    ControlAddress,
    /// The address for clients of the group.
    GroupAddress,
    StateFolder,
}

/// Starts a coordinator while another process uses one of its resources; returns its exit status and log.
fn start_with_resource_in_use(in_use: InUse) -> std::process::Output {
    let group = Group::new(&format!("{in_use:?}"));
    let (dir, other) = (group.member_dir(0), TcpListener::bind("127.0.0.1:0").unwrap());
    let lock_file = File::create(dir.join("state/lock")).unwrap();
    let address = other.local_addr().unwrap();
    let replace = |file: &str, from: &str, to: String| {
        let text = std::fs::read_to_string(dir.join(file)).unwrap();
        assert!(text.contains(from));
        std::fs::write(dir.join(file), text.replacen(from, &to, 1)).unwrap();
    };
    match in_use {
        InUse::ClientsAddress => replace("config.json", "127.0.0.1:0", address.to_string()),
        InUse::ControlAddress => replace("config.json", "{", format!(r#"{{"control":"{address}","#)),
        InUse::GroupAddress => {
            replace("edge.toml", r#"control = "127.0.0.1:0""#, format!(r#"control = "{address}""#));
        }
        InUse::StateFolder => lock_file.lock().unwrap(),
    }
    program(&dir, &["serve", "--config", "config.json", "--edge", "edge.toml"]).output().unwrap()
}

/// A process that fails to start must not start its member: each attempt would make the member join and leave the
/// group.
#[test]
fn a_process_that_fails_to_start_starts_no_member() {
    for (in_use, error) in [
        (InUse::ClientsAddress, "curlewdeck: cannot listen at "),
        (InUse::ControlAddress, "curlewdeck: cannot listen at the second address "),
        (InUse::GroupAddress, "curlewdeck: cannot listen for clients of the group at "),
        (InUse::StateFolder, "another process uses it: end that one first"),
    ] {
        let output = start_with_resource_in_use(in_use);
        let log = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{in_use:?}: {log}");
        assert!(log.contains(error), "{in_use:?}: {log}");
        assert!(!log.contains(" group] "), "{in_use:?}: {log}");
    }
}
