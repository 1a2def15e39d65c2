//! Starts and ends of a coordinator whose state is replicated, in a group of three processes on loopback, with a fault proxy on
//! the way from each member to each other one. The order of events is forced: the proxies choose raft messages by their type.

mod harness;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use curlewdeck::replication::wire::HEADER_BYTES;
use curlewdeck_testkit::proxy::{DroppedMessages, Faults, Proxy};
use raft::eraftpb::MessageType;

use harness::{operate, until, yes, TestCluster};

const SIZE: usize = 3;
const TICK: Duration = Duration::from_millis(50);
/// After so long the outcome of a request that gets no answer is unknown: 30 ticks, and 10 that its caller waits longer.
const REQUEST_TIMEOUT: Duration = TICK.saturating_mul(40);
/// So long a start waits for its group, by docs/replication.md.
const START_TIMEOUT: Duration = Duration::from_secs(60);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Drops the frames that a predicate chooses. The sender and the length come first, as in `replication::wire`.
fn dropping(is_dropped: fn(&[u8]) -> bool) -> Faults {
    let length = |bytes: &[u8]| {
        let length = bytes.get(8..12)?.try_into().map(u32::from_le_bytes).ok()?;
        Some(HEADER_BYTES + length as usize)
    };
    Faults { drop_messages: Some(DroppedMessages { length, is_dropped }), ..Faults::default() }
}

/// Whether a frame holds a raft message of this type. The type is field 1 of the message, a varint (so its tag is 8), and
/// is written first.
fn is_of_type(frame: &[u8], message_type: MessageType) -> bool {
    frame.get(HEADER_BYTES..HEADER_BYTES + 2) == Some(&[8, message_type as u8])
}

fn is_proposal(frame: &[u8]) -> bool {
    is_of_type(frame, MessageType::MsgPropose)
}

/// A member whose requests for votes are dropped never leads, so that it forwards each of its proposals.
fn is_vote_request(frame: &[u8]) -> bool {
    [MessageType::MsgRequestVote, MessageType::MsgRequestPreVote].iter().any(|&t| is_of_type(frame, t))
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
        let log = Arc::new(Mutex::new(String::new()));
        let (lines, log_in_thread) = (BufReader::new(child.stderr.take().unwrap()), log.clone());
        std::thread::spawn(move || {
            lines.lines().map_while(Result::ok).for_each(|l| *lock(&log_in_thread) += &(l + "\n"))
        });
        let field = |name: &str| {
            let log = lock(&log);
            let (_, fields) = log.split_once(" group] member started ")?;
            let value = fields.lines().next()?.split(' ').find_map(|f| f.strip_prefix(name))?;
            value.strip_prefix('=')?.parse().ok()
        };
        until("the member", || field("members_address").is_some() && field("clients_address").is_some());
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

    /// Asserts that the process runs for that long, and answers its clients at the end.
    fn runs_for(&mut self, duration: Duration) {
        let start = Instant::now();
        while start.elapsed() < duration {
            self.assert_runs();
            std::thread::sleep(TICK);
        }
        assert!(yes(self.control, "GET", "/group/status"), "the log:\n{}", lock(&self.log));
    }

    /// Waits until its state is loaded, which must be its start with this number.
    fn loads_its_state(&mut self, start: u32) {
        while !self.has_logged("] state loaded ") {
            self.assert_runs();
            let waited = self.started.elapsed();
            assert!(waited < START_TIMEOUT, "no state after {waited:?}; the log:\n{}", lock(&self.log));
            std::thread::sleep(TICK);
        }
        let expected = format!("] state loaded start={start} directory=");
        assert!(self.has_logged(&expected), "not {expected}; the log:\n{}", lock(&self.log));
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

/// A group of coordinators, each reached by each other one through a proxy of its own.
struct Group {
    dir: PathBuf,
    members: BTreeMap<usize, Member>,
    proxies: BTreeMap<(usize, usize), Proxy>,
}

impl Group {
    /// Founds it, with no member started.
    fn new(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("curlewdeck-start-{name}-{}", std::process::id()));
        let ways = (0..SIZE).flat_map(|a| (0..SIZE).map(move |b| (a, b))).filter(|(a, b)| a != b);
        let proxies = ways.map(|way| (way, Proxy::start(None).unwrap())).collect();
        let group = Self { dir, members: BTreeMap::new(), proxies };
        (0..SIZE).for_each(|n| group.found(n));
        group
    }

    /// Founds it and starts its members, and waits until each has loaded its state.
    fn start(name: &str) -> Self {
        let mut group = Self::new(name);
        (0..SIZE).for_each(|n| group.begin(n));
        group.members.values_mut().for_each(|member| member.loads_its_state(1));
        group
    }

    fn home(&self, n: usize) -> PathBuf {
        self.dir.join(n.to_string())
    }

    fn found(&self, n: usize) {
        let (home, nowhere) = (self.home(n), "127.0.0.1:1".parse().unwrap());
        std::fs::create_dir_all(home.join("state")).unwrap();
        let config = TestCluster::default().config(nowhere).replace("\"n1\"", &format!("\"n{n}\""));
        std::fs::write(home.join("config.json"), config).unwrap();
        let address = |to| self.proxies.get(&(n, to)).map_or(nowhere, Proxy::address);
        let members: String = (0..SIZE).map(|to| format!("{} = \"{}\"\n", to + 1, address(to))).collect();
        let edge = format!(
            "[state]\nfolder = \"state\"\ncopied = true\n[group]\nfolder = \"log\"\nlisten = \"127.0.0.1:0\"\n\
             control = \"127.0.0.1:0\"\ntick_ms = {}\n[group.members]\n{members}",
            TICK.as_millis()
        );
        std::fs::write(home.join("edge.toml"), edge).unwrap();
        let id = (n + 1).to_string();
        let mut found = program(&home, &["group", "found", "--edge", "edge.toml", "--id", &id]);
        assert!(found.stdout(Stdio::null()).status().unwrap().success());
    }

    /// Starts a process in its folder, as it is.
    fn begin(&mut self, n: usize) {
        let member = Member::start(&self.home(n));
        self.proxies.iter().filter(|(way, _)| way.1 == n).for_each(|(_, p)| p.forward_to(member.listen));
        self.members.insert(n, member);
    }

    /// Kills a process at once; its disk is kept.
    fn kill(&mut self, n: usize) {
        drop(self.members.remove(&n).unwrap());
    }

    fn member(&mut self, n: usize) -> &mut Member {
        self.members.get_mut(&n).unwrap()
    }

    fn leader(&self) -> usize {
        let leads = |member: &Member| {
            let status = operate(member.control, "GET", "/group/status");
            status.is_ok_and(|status| status.body.lines().any(|line| line == "role=leader"))
        };
        let mut leader = None;
        until("a leader", || {
            leader = self.members.iter().find(|(_, member)| leads(member)).map(|(&n, _)| n);
            leader.is_some()
        });
        leader.unwrap()
    }

    /// Kills a follower, and returns it and another member, which runs on.
    fn kill_a_follower(&mut self) -> (usize, usize) {
        let leader = self.leader();
        let follower = (leader + 1) % SIZE;
        self.kill(follower);
        (follower, leader)
    }

    /// Injects faults on the ways from one member to all others.
    fn set_faults_from(&self, n: usize, faults: Faults) {
        self.proxies.iter().filter(|(way, _)| way.0 == n).for_each(|(_, p)| p.set_faults(faults));
    }

    /// Injects faults on the ways from all others to one member.
    fn set_faults_to(&self, n: usize, faults: Faults) {
        self.proxies.iter().filter(|(way, _)| way.1 == n).for_each(|(_, p)| p.set_faults(faults));
    }

    fn clear_faults(&self) {
        self.proxies.values().for_each(Proxy::clear_faults);
    }

    /// The version of a coordinator's replicated state, as a member reads it.
    fn state_version(&self, n: usize, at: usize) -> Option<u64> {
        let answer = operate(self.members[&at].control, "GET", &format!("/group/keys/state/n{n}")).ok()?;
        answer.header("version")?.parse().ok()
    }

    /// Starts a process once more: a start is counted once, neither twice nor never.
    fn counts_the_next_start(&mut self, n: usize, start: u32) {
        self.kill(n);
        self.begin(n);
        self.member(n).loads_its_state(start);
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

/// Guards against a process that ends, with the member that its group needs, because its first write did not arrive.
#[test]
fn a_start_whose_first_write_is_lost_goes_on_and_is_counted_once() {
    static PROPOSED: AtomicBool = AtomicBool::new(false);
    let mut group = Group::start("lost-write");
    let (starting, _) = group.kill_a_follower();
    group.set_faults_from(
        starting,
        dropping(|frame| {
            PROPOSED.fetch_or(is_proposal(frame), Ordering::SeqCst);
            is_proposal(frame) || is_vote_request(frame)
        }),
    );
    group.begin(starting);
    until("the first write", || PROPOSED.load(Ordering::SeqCst));
    group.member(starting).runs_for(2 * REQUEST_TIMEOUT);
    assert!(!group.member(starting).has_logged("] state loaded "), "it was loaded without a write");
    group.clear_faults();
    group.member(starting).loads_its_state(2);
    group.counts_the_next_start(starting, 3);
}

/// Guards against a start that ends, or takes its own write for another process's, because its write was committed but the
/// answer was lost.
#[test]
fn a_start_whose_answer_is_lost_is_counted_once() {
    static PROPOSED: AtomicBool = AtomicBool::new(false);
    let mut group = Group::start("lost-answer");
    let (starting, other) = group.kill_a_follower();
    let mut before = None;
    until("the version", || {
        before = group.state_version(starting, other);
        before.is_some()
    });
    group.set_faults_from(
        starting,
        dropping(|frame| {
            // Before the proposal is forwarded: no answer to it can have come.
            PROPOSED.fetch_or(is_proposal(frame), Ordering::SeqCst);
            is_vote_request(frame)
        }),
    );
    group.set_faults_to(starting, dropping(|_| PROPOSED.load(Ordering::SeqCst)));
    group.begin(starting);
    until("the commit", || group.state_version(starting, other).is_some_and(|v| Some(v) > before));
    group.member(starting).runs_for(2 * REQUEST_TIMEOUT);
    assert!(!group.member(starting).has_logged("] state loaded "), "it was loaded without an answer");
    group.clear_faults();
    group.member(starting).loads_its_state(2);
    group.counts_the_next_start(starting, 3);
}

/// Guards against a process that ends because the leader was lost between its read and its write: without it the group has
/// no quorum left.
#[test]
fn a_member_whose_leader_is_lost_before_its_state_is_written_goes_on() {
    static PROPOSED: AtomicBool = AtomicBool::new(false);
    let mut group = Group::start("lost-leader");
    let (starting, _) = group.kill_a_follower();
    group.set_faults_from(
        starting,
        dropping(|frame| {
            PROPOSED.fetch_or(is_proposal(frame), Ordering::SeqCst);
            is_proposal(frame) || is_vote_request(frame)
        }),
    );
    group.begin(starting);
    until("the first write", || PROPOSED.load(Ordering::SeqCst));
    let leader = group.leader();
    group.kill(leader);
    group.clear_faults();
    group.member(starting).runs_for(2 * REQUEST_TIMEOUT);
    group.member(starting).loads_its_state(2);
}

/// SIGKILL may come so long after SIGTERM: the longest deadline, counted as 3 s where it is longer, and 0.7 s.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(3_700);

/// Guards against a process that waits at its end for a group that has no quorum, until it is killed.
#[test]
fn a_process_whose_group_has_no_quorum_ends_before_it_is_killed() {
    let mut group = Group::start("no-quorum");
    let (first, rest) = (0, 1..SIZE);
    rest.for_each(|n| group.kill(n));
    let log = group.member(first).log.clone();
    until("a write of the state without a quorum", || lock(&log).contains("] state not replicated "));
    let terminated = Instant::now();
    harness::signal(&group.member(first).child, "TERM");
    let ended = group.member(first).child.wait().unwrap();
    let took = terminated.elapsed();
    assert!(ended.success(), "{ended:?}; its log:\n{}", lock(&log));
    assert!(took < TERMINATION_TIMEOUT, "it ended after {took:?}; its log:\n{}", lock(&log));
}

/// What another process uses of a coordinator that is started.
#[derive(Debug, Clone, Copy)]
enum InUse {
    /// Its address for clients.
    ClientsAddress,
    /// Its second address.
    ControlAddress,
    /// Its address for clients of the group.
    GroupAddress,
    /// Its state folder.
    StateFolder,
}

/// Starts a coordinator of which another process uses this; returns how it ended and its log.
fn start_beside(in_use: InUse) -> std::process::Output {
    let group = Group::new(&format!("{in_use:?}"));
    let (home, other) = (group.home(0), TcpListener::bind("127.0.0.1:0").unwrap());
    let lock_file = File::create(home.join("state/lock")).unwrap();
    let address = other.local_addr().unwrap();
    let replace = |file: &str, from: &str, to: String| {
        let text = std::fs::read_to_string(home.join(file)).unwrap();
        assert!(text.contains(from));
        std::fs::write(home.join(file), text.replacen(from, &to, 1)).unwrap();
    };
    match in_use {
        InUse::ClientsAddress => replace("config.json", "127.0.0.1:0", address.to_string()),
        InUse::ControlAddress => replace("config.json", "{", format!(r#"{{"control":"{address}","#)),
        InUse::GroupAddress => {
            replace("edge.toml", r#"control = "127.0.0.1:0""#, format!(r#"control = "{address}""#));
        }
        InUse::StateFolder => lock_file.lock().unwrap(),
    }
    program(&home, &["serve", "--config", "config.json", "--edge", "edge.toml"]).output().unwrap()
}

/// Guards a group against a member that comes and goes with each try of a process that cannot be started.
#[test]
fn a_process_that_cannot_be_started_starts_no_member() {
    for (in_use, error) in [
        (InUse::ClientsAddress, "curlewdeck: cannot listen at "),
        (InUse::ControlAddress, "curlewdeck: cannot listen at the second address "),
        (InUse::GroupAddress, "curlewdeck: cannot listen for clients of the group at "),
        (InUse::StateFolder, "another process uses it: end that one first"),
    ] {
        let output = start_beside(in_use);
        let log = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{in_use:?}: {log}");
        assert!(log.contains(error), "{in_use:?}: {log}");
        assert!(!log.contains(" group] "), "{in_use:?}: {log}");
    }
}
