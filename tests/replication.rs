//! Groups of several processes on loopback, with fault proxies between all members. The history of writes and reads of
//! each run is checked for linearizability, and each committed key is read again at the end.

mod harness;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use curlewdeck::replication::wire::HEADER_BYTES;
use curlewdeck_testkit::history::{self, Action, Operation};
use curlewdeck_testkit::proxy::{Faults, MessageLength, Proxy};

use harness::process::{self, collect_log};
use harness::stand_in::{lock, read_answer, Answer};
use harness::{call_bytes, wait_until, TestCluster};

/// Longer than any call may take: only a call to a stalled process exceeds it.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.write_all(&call_bytes(method, &format!("/group/{path}"), body))?;
    read_answer(&mut BufReader::new(stream))
}

/// The first log line that consists of this message and its fields.
fn log_line(log: &str, message: &str) -> Option<String> {
    let line = log.lines().find(|line| line.contains(&format!(" group] {message} ")))?;
    Some(line.to_string())
}

/// The value of a field of a log line.
fn log_field<'a>(line: &'a str, name: &str) -> &'a str {
    let value = |field: &'a str| field.strip_prefix(name)?.strip_prefix('=');
    line.split(' ').find_map(value).unwrap_or_else(|| panic!("no {name} in {line}"))
}

/// One process of the program, a member of the group.
struct Member {
    child: Child,
    log: Arc<Mutex<String>>,
    id: u64,
    listen: SocketAddr,
    control: SocketAddr,
}

impl Member {
    fn start(dir: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_curlewdeck"));
        command.args(["serve", "--config", "config.json", "--edge", "edge.toml"]).current_dir(dir);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let log = collect_log(&mut child);
        let started = || log_line(&lock(&log), "member started");
        wait_until("the member to start", || started().is_some());
        let started = started().unwrap();
        let id = log_field(&started, "member").parse().unwrap();
        let listen = log_field(&started, "members_address").parse().unwrap();
        let control = log_field(&started, "clients_address").parse().unwrap();
        Self { child, log, id, listen, control }
    }

    fn status(&self) -> BTreeMap<String, String> {
        let text = call(self.control, "GET", "status", "").unwrap_or_else(|e| self.fail_unreachable(&e)).body;
        text.lines().filter_map(|l| l.split_once('=')).map(|(k, v)| (k.to_string(), v.to_string())).collect()
    }

    /// Fails the test with the state of the process, which shows whether it has ended or stopped accepting connections.
    fn fail_unreachable(&self, error: &std::io::Error) -> ! {
        let state = process::state(&self.child);
        panic!(
            "member {} at {}: {error}; process state {state:?}; log:\n{}",
            self.id,
            self.control,
            lock(&self.log)
        );
    }

    fn signal(&self, name: &str) {
        harness::signal(&self.child, name);
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        assert!(std::thread::panicking() || !lock(&self.log).contains("panicked"), "{}", lock(&self.log));
    }
}

/// A group whose founders have the ids 1 to the group's size, with one proxy for each ordered pair of members.
struct Group {
    dir: PathBuf,
    members: Vec<Option<Member>>,
    /// By sender and receiver.
    proxies: BTreeMap<(usize, usize), Proxy>,
    /// The addresses that clients call at present.
    controls: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Group {
    fn start(name: &str, size: usize) -> Self {
        let dir = std::env::temp_dir().join(format!("curlewdeck-replication-{name}-{}", std::process::id()));
        let pairs = (0..size).flat_map(|a| (0..size).map(move |b| (a, b))).filter(|(a, b)| a != b);
        let proxies: BTreeMap<_, _> = pairs.map(|pair| (pair, Proxy::start(None).unwrap())).collect();
        let mut group = Self { dir, members: Vec::new(), proxies, controls: Arc::default() };
        let unused_address = "127.0.0.1:1".parse().unwrap();
        for n in 0..size {
            let dir = group.member_dir(n);
            std::fs::create_dir_all(&dir).unwrap();
            let config =
                TestCluster::default().config(unused_address).replace("\"n1\"", &format!("\"n{n}\""));
            std::fs::write(dir.join("config.json"), config).unwrap();
            let address = |to| group.proxies.get(&(n, to)).map_or(unused_address, Proxy::address);
            let members: Vec<String> =
                (0..size).map(|to| format!("{} = \"{}\"\n", to + 1, address(to))).collect();
            std::fs::create_dir_all(dir.join("state")).unwrap();
            let edge = format!(
                "[state]\nfolder = \"state\"\ncopied = true\n[group]\nfolder = \"log\"\nlisten = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\ntick_ms = 50\n[group.members]\n{}",
                members.concat()
            );
            std::fs::write(dir.join("edge.toml"), edge).unwrap();
            let mut found = Command::new(env!("CARGO_BIN_EXE_curlewdeck"));
            found.args(["group", "found", "--edge", "edge.toml", "--id", &(n + 1).to_string()]);
            assert!(found.current_dir(&dir).stdout(Stdio::null()).status().unwrap().success());
            assert!(!found.stderr(Stdio::null()).status().unwrap().success(), "a member was founded twice");
        }
        group.members = (0..size).map(|_| None).collect();
        (0..size).for_each(|n| group.start_member(n));
        group.leader();
        group
    }

    fn member_dir(&self, n: usize) -> PathBuf {
        self.dir.join(n.to_string())
    }

    /// Starts a process in its existing folder.
    fn start_member(&mut self, n: usize) {
        let member = Member::start(&self.member_dir(n));
        self.proxies.iter().filter(|(pair, _)| pair.1 == n).for_each(|(_, p)| p.forward_to(member.listen));
        lock(&self.controls).push(member.control);
        self.members[n] = Some(member);
    }

    fn member(&self, n: usize) -> &Member {
        self.members[n].as_ref().unwrap()
    }

    /// Kills a process and, with `wipe`, deletes its stored data.
    fn kill(&mut self, n: usize, wipe: bool) {
        let member = self.members[n].take().unwrap();
        lock(&self.controls).retain(|&c| c != member.control);
        drop(member);
        if wipe {
            std::fs::remove_dir_all(self.member_dir(n).join("log")).unwrap();
            std::fs::remove_dir_all(self.member_dir(n).join("state")).unwrap();
            std::fs::create_dir_all(self.member_dir(n).join("state")).unwrap();
        }
    }

    /// Waits until a member other than those in `excluded` reports that it is the leader.
    fn leader_except(&self, excluded: &[usize]) -> usize {
        let mut found = None;
        wait_until("a leader", || {
            found = (0..self.members.len())
                .filter(|n| !excluded.contains(n))
                .find(|&n| self.members[n].as_ref().is_some_and(|m| m.status()["role"] == "leader"));
            found.is_some()
        });
        found.unwrap()
    }

    fn leader(&self) -> usize {
        self.leader_except(&[])
    }

    /// Repeats a call at member `by` until it succeeds; it may fail while a leader is being elected.
    fn call_until_ok(&self, method: &str, path: &str, body: &str, by: usize) {
        wait_until(&format!("{method} {path} to succeed"), || {
            call(self.member(by).control, method, path, body).is_ok_and(|a| a.status == 200)
        });
    }

    /// Replaces the former member `old` with the new member of process `n`, which was restarted with an empty folder.
    fn replace(&self, n: usize, old: u64, by: usize) {
        let new = self.member(n);
        assert!(new.id > 1 << 32, "a process with an empty folder reused a member id");
        self.call_until_ok("PUT", &format!("members/{}", new.id), &new.listen.to_string(), by);
        self.call_until_ok("DELETE", &format!("members/{old}"), "", by);
        self.wait_until_caught_up(n, by);
    }

    /// Waits until process `n` has applied the entries that process `by` had applied when this was called.
    fn wait_until_caught_up(&self, n: usize, by: usize) {
        let applied = |n: usize| self.member(n).status()["applied"].parse::<u64>().unwrap();
        let target_index = applied(by);
        wait_until("the member to catch up", || {
            self.member(n).status()["role"] != "without a leader" && applied(n) >= target_index
        });
    }

    /// Injects faults into the traffic from each of `from` to each of `to`.
    fn set_faults(&self, from: &[usize], to: &[usize], faults: Faults) {
        let pairs = from.iter().flat_map(|&a| to.iter().map(move |&b| (a, b)));
        pairs.filter_map(|pair| self.proxies.get(&pair)).for_each(|p| p.set_faults(faults));
    }

    fn clear_faults(&self) {
        self.proxies.values().for_each(Proxy::clear_faults);
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.members.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Clients that write and read the same keys at changing members until they are stopped.
struct Clients {
    stop: Arc<AtomicBool>,
    committed: Arc<AtomicU64>,
    threads: Vec<JoinHandle<Vec<Operation>>>,
    started: Instant,
}

/// Writes to one key by one client: few enough for the linearizability checker.
const WRITES_PER_KEY: u64 = 4;

impl Clients {
    fn start(group: &Group) -> Self {
        let (stop, committed, started) =
            (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default(), Instant::now());
        let client = |client: u64| {
            let (stop, committed, controls) = (stop.clone(), committed.clone(), group.controls.clone());
            std::thread::spawn(move || {
                let mut operations = Vec::new();
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    let at = {
                        let controls = lock(&controls);
                        controls[((n + client) % controls.len() as u64) as usize]
                    };
                    let (key, value) = (format!("k{}", n / WRITES_PER_KEY), format!("{client}-{n}"));
                    let (written, read) = (put(started, at, &key, &value), get(started, at, &key));
                    committed.fetch_add(
                        u64::from(written.as_ref().is_some_and(|e| e.completed_at.is_some())),
                        Ordering::SeqCst,
                    );
                    if read.is_none() {
                        // Without a leader, wait before the next call: an election takes a while.
                        std::thread::sleep(Duration::from_millis(10));
                    }
                    operations.extend(written.into_iter().chain(read));
                }
                operations
            })
        };
        let threads = (0..3).map(client).collect();
        Self { stop, committed, threads, started }
    }

    fn committed(&self) -> u64 {
        self.committed.load(Ordering::SeqCst)
    }

    /// Waits until `more` further writes are committed.
    fn wait_for_commits(&self, more: u64) {
        let before = self.committed();
        wait_until("further commits", || self.committed() >= before + more);
    }

    /// Stops the clients, reads each committed key again at one member, and checks the complete history for
    /// linearizability.
    fn check_history(self, at: SocketAddr) {
        self.stop.store(true, Ordering::SeqCst);
        let mut operations: Vec<Operation> =
            self.threads.into_iter().flat_map(|t| t.join().unwrap()).collect();
        let written = |e: &&Operation| matches!(e.action, Action::Write(_)) && e.completed_at.is_some();
        let keys: std::collections::BTreeSet<String> =
            operations.iter().filter(written).map(|e| e.key.clone()).collect();
        for key in &keys {
            let mut last = None;
            wait_until("the final read", || {
                last = get(self.started, at, key);
                last.is_some()
            });
            let last = last.unwrap();
            assert_ne!(last.action, Action::Read(None), "{key} was committed but is missing");
            operations.push(last);
        }
        let checked_keys = history::check(&operations).unwrap_or_else(|v| panic!("{v}: {:?}", v.operations));
        assert!(checked_keys >= keys.len() && !keys.is_empty());
    }
}

fn micros_since(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap()
}

/// Writes a value. Returns an operation without a completion time where the outcome is unknown, and `None` where the
/// write was rejected.
fn put(started: Instant, at: SocketAddr, key: &str, value: &str) -> Option<Operation> {
    let (called_at, answer) = (micros_since(started), call(at, "PUT", &format!("keys/{key}"), value));
    let status = answer.map_or(0, |a| a.status);
    let completed_at = (status == 200).then(|| micros_since(started));
    let action = Action::Write(value.into());
    let operation = Operation { key: key.into(), action, called_at, completed_at };
    (!matches!(status, 503 | 410)).then_some(operation)
}

/// Reads a value; returns `None` where the read got no answer or was rejected.
fn get(started: Instant, at: SocketAddr, key: &str) -> Option<Operation> {
    let (called_at, answer) = (micros_since(started), call(at, "GET", &format!("keys/{key}"), "").ok()?);
    let action = match answer.status {
        200 => Action::Read(Some(answer.body.into_bytes())),
        404 => Action::Read(None),
        _ => return None,
    };
    Some(Operation { key: key.into(), action, called_at, completed_at: Some(micros_since(started)) })
}

/// A leader is lost with its disk while clients write, and rejoins as a new member. All writes committed before are
/// kept.
#[test]
fn losing_a_leader_and_its_disk_keeps_all_committed_writes() {
    let mut group = Group::start("leader", 3);
    let clients = Clients::start(&group);
    clients.wait_for_commits(60);
    let lost = group.leader();
    let old = group.member(lost).id;
    wait_until("the first start to be counted", || {
        lock(&group.member(lost).log).contains("] state loaded start=1 directory=")
    });
    group.kill(lost, true);
    clients.wait_for_commits(60);
    group.start_member(lost);
    group.replace(lost, old, group.leader_except(&[lost]));
    clients.wait_for_commits(30);
    clients.check_history(group.member(lost).control);
    // The count of its starts continues from the replicated copy.
    wait_until("the new member to load its state", || {
        lock(&group.member(lost).log).contains("] state loaded start=2 directory=")
    });
    assert_eq!(group.member(lost).status()["voters"].split(',').count(), 3);
    // A snapshot truncates the log, and the member continues from it after a restart.
    group.call_until_ok("POST", "snapshot", "", lost);
    let log = group.member(lost).status()["log"].parse::<u64>().unwrap();
    assert!(log < 20, "{log} entries after a snapshot");
    group.kill(lost, false);
    group.start_member(lost);
    // The restarted process listens at another port, which is announced in the same way as for a new member.
    let (restarted, by) = (group.member(lost), group.leader_except(&[lost]));
    group.call_until_ok("PUT", &format!("members/{}", restarted.id), &restarted.listen.to_string(), by);
    group.wait_until_caught_up(lost, by);
}

/// Network partitions, a one-way failure, a paused process, delays and reordering keep all committed writes. The
/// minority of a partition rejects reads instead of serving stale data or blocking, a leader that still receives but
/// whose own messages are lost is replaced, and a member paused for longer than an election timeout does not depose the
/// leader.
#[test]
fn partitions_pauses_and_delays_keep_all_committed_writes() {
    let group = Group::start("cuts", 5);
    let clients = Clients::start(&group);
    clients.wait_for_commits(30);
    let leader = group.leader();
    let follower = (leader + 1) % 5;
    let majority: Vec<usize> = (0..5).filter(|n| ![leader, follower].contains(n)).collect();
    group.set_faults(&[leader, follower], &majority, Faults::partition());
    group.set_faults(&majority, &[leader, follower], Faults::partition());
    let rejects_reads = |n: usize| {
        let answer = call(group.member(n).control, "GET", "keys/k0", "").unwrap();
        answer.status == 503 && answer.header("retry-after").is_some()
    };
    wait_until("the minority to reject reads", || rejects_reads(leader) && rejects_reads(follower));
    let by = group.leader_except(&[leader, follower]);
    group.call_until_ok("PUT", "keys/cut", "most", by);
    assert!(rejects_reads(leader) && rejects_reads(follower), "the minority answers during the partition");
    group.clear_faults();
    wait_until("the minority to read what the majority committed", || {
        call(group.member(follower).control, "GET", "keys/cut", "").is_ok_and(|a| a.body == "most")
    });
    let leader = group.leader();
    let others: Vec<usize> = (0..5).filter(|&n| n != leader).collect();
    group.set_faults(&[leader], &others, Faults { drop_forward: true, ..Faults::default() });
    let next = group.leader_except(&[leader]);
    group.call_until_ok("PUT", "keys/one-way", "heard", next);
    group.clear_faults();
    clients.wait_for_commits(30);
    let paused = (group.leader() + 1) % 5;
    let control = group.member(paused).control;
    lock(&group.controls).retain(|&c| c != control);
    group.member(paused).signal("STOP");
    let term = || group.member((paused + 1) % 5).status()["term"].clone();
    let before = term();
    // Twice as long as the longest election timeout: 40 ticks of 50 ms.
    std::thread::sleep(Duration::from_secs(2));
    clients.wait_for_commits(30);
    group.member(paused).signal("CONT");
    group.wait_until_caught_up(paused, group.leader_except(&[paused]));
    assert_eq!(term(), before, "a member that had been paused deposed the leader");
    lock(&group.controls).push(control);
    let all = [0, 1, 2, 3, 4];
    group.set_faults(&all, &all, Faults { delay: Duration::from_millis(20), ..Faults::default() });
    clients.wait_for_commits(20);
    // Frames are duplicated and reordered. A frame begins with the sender and the length, as in `replication::wire`.
    let message_length: MessageLength = |bytes| {
        let length = bytes.get(8..12)?.try_into().map(u32::from_le_bytes).ok()?;
        Some(HEADER_BYTES + length as usize)
    };
    group.set_faults(&all, &all, Faults { reorder: Some(message_length), ..Faults::default() });
    clients.wait_for_commits(60);
    group.clear_faults();
    clients.check_history(group.member(leader).control);
}

/// A group of five loses two members and their disks at once; both are replaced and all committed writes are kept.
#[test]
fn losing_two_members_and_their_disks_keeps_all_committed_writes() {
    let mut group = Group::start("two", 5);
    let clients = Clients::start(&group);
    clients.wait_for_commits(40);
    let first = group.leader();
    let second = (first + 1) % 5;
    let old = [first, second].map(|n| group.member(n).id);
    group.kill(first, true);
    group.kill(second, true);
    clients.wait_for_commits(40);
    for (n, old) in [(first, old[0]), (second, old[1])] {
        group.start_member(n);
        group.replace(n, old, group.leader_except(&[first, second]));
    }
    clients.wait_for_commits(20);
    clients.check_history(group.member(second).control);
}

/// Damage done by a disk to stored bytes.
type Corruption = fn(&mut [u8]);

/// A log with a flipped bit or an incomplete write on the disk is quarantined: the process rejoins as a new member and
/// gets all data from the others.
#[test]
fn a_corrupt_log_is_quarantined_and_the_member_catches_up() {
    let corruptions: [(&str, Corruption); 2] =
        [("flipped", |bytes| bytes[0] ^= 1), ("torn", |bytes| bytes[9..].fill(0))];
    for (name, corrupt) in corruptions {
        let mut group = Group::start(name, 3);
        let leader = group.leader();
        group.call_until_ok("PUT", "keys/plaza", "a value found on the disk", leader);
        let corrupted = (leader + 1) % 3;
        group.wait_until_caught_up(corrupted, leader);
        let old = group.member(corrupted).id;
        group.kill(corrupted, false);
        let file = group.member_dir(corrupted).join("log/group.redb");
        let (mut bytes, value) = (std::fs::read(&file).unwrap(), b"a value found on the disk");
        let places: Vec<usize> =
            bytes.windows(value.len()).enumerate().filter(|(_, w)| w == value).map(|(at, _)| at).collect();
        assert!(!places.is_empty(), "the value is not stored verbatim");
        places.iter().for_each(|&at| corrupt(&mut bytes[at..at + value.len()]));
        std::fs::write(&file, bytes).unwrap();
        group.start_member(corrupted);
        assert!(
            lock(&group.member(corrupted).log)
                .contains(" group] log cannot be used: folder quarantined error="),
            "{name}"
        );
        group.replace(corrupted, old, leader);
        wait_until("the value from the other members", || {
            let answer = call(group.member(corrupted).control, "GET", "keys/plaza", "").unwrap();
            answer.status == 200 && answer.body == "a value found on the disk"
        });
    }
}
