//! Groups of several processes of the program on loopback, with a fault proxy on the way from each member to each other
//! one. Every run's history of puts and reads is checked for linearizability, and every committed key is read again at its end.

mod harness;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use curlewdeck::replication::wire::HEADER_BYTES;
use curlewdeck_testkit::history::{self, Action, Operation};
use curlewdeck_testkit::proxy::{Faults, MessageLength, Proxy};

use harness::stand_in::{read_answer, Answer};
use harness::{call_bytes, until, TestCluster};

/// Longer than any call may wait: only a process that stands still takes so long.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.write_all(&call_bytes(method, &format!("/group/{path}"), body))?;
    read_answer(&mut BufReader::new(stream))
}

/// The first line of a log with this message, and only with its fields after it.
fn log_line(log: &str, message: &str) -> Option<String> {
    let line = log.lines().find(|line| line.contains(&format!(" group] {message} ")))?;
    Some(line.to_string())
}

/// A field of a line.
fn log_field<'a>(line: &'a str, name: &str) -> &'a str {
    let field = |word: &'a str| word.strip_prefix(name)?.strip_prefix('=');
    line.split(' ').find_map(field).unwrap_or_else(|| panic!("no {name} in {line}"))
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
        let log = Arc::new(Mutex::new(String::new()));
        let (lines, log_in_thread) = (BufReader::new(child.stderr.take().unwrap()), log.clone());
        std::thread::spawn(move || {
            lines.lines().map_while(Result::ok).for_each(|l| *lock(&log_in_thread) += &(l + "\n"))
        });
        let started = || log_line(&lock(&log), "member started");
        until("the member", || started().is_some());
        let started = started().unwrap();
        let id = log_field(&started, "member").parse().unwrap();
        let listen = log_field(&started, "members_address").parse().unwrap();
        let control = log_field(&started, "clients_address").parse().unwrap();
        Self { child, log, id, listen, control }
    }

    fn status(&self) -> BTreeMap<String, String> {
        let text = call(self.control, "GET", "status", "").unwrap_or_else(|e| self.unreachable(&e)).body;
        text.lines().filter_map(|l| l.split_once('=')).map(|(k, v)| (k.to_string(), v.to_string())).collect()
    }

    /// Ends the test with what tells a process that has ended from one that no longer accepts.
    fn unreachable(&self, error: &std::io::Error) -> ! {
        let process = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let state = process.map(|stat| stat.rsplit(") ").next().and_then(|rest| rest.chars().next()));
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

/// A group whose founders are 1 to so many, each reached by each other one through a proxy of its own.
struct Group {
    dir: PathBuf,
    members: Vec<Option<Member>>,
    proxies: BTreeMap<(usize, usize), Proxy>,
    /// Where clients call now.
    controls: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Group {
    fn start(name: &str, size: usize) -> Self {
        let dir = std::env::temp_dir().join(format!("curlewdeck-replication-{name}-{}", std::process::id()));
        let ways = (0..size).flat_map(|a| (0..size).map(move |b| (a, b))).filter(|(a, b)| a != b);
        let proxies: BTreeMap<_, _> = ways.map(|way| (way, Proxy::start(None).unwrap())).collect();
        let mut group = Self { dir, members: Vec::new(), proxies, controls: Arc::default() };
        let nowhere = "127.0.0.1:1".parse().unwrap();
        for n in 0..size {
            let at = group.home(n);
            std::fs::create_dir_all(&at).unwrap();
            let config = TestCluster::default().config(nowhere).replace("\"n1\"", &format!("\"n{n}\""));
            std::fs::write(at.join("config.json"), config).unwrap();
            let named = |to| group.proxies.get(&(n, to)).map_or(nowhere, Proxy::address);
            let members: Vec<String> =
                (0..size).map(|to| format!("{} = \"{}\"\n", to + 1, named(to))).collect();
            std::fs::create_dir_all(at.join("state")).unwrap();
            let edge = format!(
                "[state]\nfolder = \"state\"\ncopied = true\n[group]\nfolder = \"log\"\nlisten = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\ntick_ms = 50\n[group.members]\n{}",
                members.concat()
            );
            std::fs::write(at.join("edge.toml"), edge).unwrap();
            let mut found = Command::new(env!("CARGO_BIN_EXE_curlewdeck"));
            found.args(["group", "found", "--edge", "edge.toml", "--id", &(n + 1).to_string()]);
            assert!(found.current_dir(&at).stdout(Stdio::null()).status().unwrap().success());
            assert!(!found.stderr(Stdio::null()).status().unwrap().success(), "founded twice");
        }
        group.members = (0..size).map(|_| None).collect();
        (0..size).for_each(|n| group.begin(n));
        group.leader();
        group
    }

    fn home(&self, n: usize) -> PathBuf {
        self.dir.join(n.to_string())
    }

    /// Starts a process in its folder, as it is.
    fn begin(&mut self, n: usize) {
        let member = Member::start(&self.home(n));
        self.proxies.iter().filter(|(way, _)| way.1 == n).for_each(|(_, p)| p.forward_to(member.listen));
        lock(&self.controls).push(member.control);
        self.members[n] = Some(member);
    }

    fn member(&self, n: usize) -> &Member {
        self.members[n].as_ref().unwrap()
    }

    /// Kills a process at once, and where that is asked for, takes its disk away.
    fn kill(&mut self, n: usize, wipe: bool) {
        let member = self.members[n].take().unwrap();
        lock(&self.controls).retain(|&c| c != member.control);
        drop(member);
        if wipe {
            std::fs::remove_dir_all(self.home(n).join("log")).unwrap();
            std::fs::remove_dir_all(self.home(n).join("state")).unwrap();
            std::fs::create_dir_all(self.home(n).join("state")).unwrap();
        }
    }

    /// Which member leads, in the view of one that most of the group follows.
    fn leader_but(&self, not: &[usize]) -> usize {
        let mut found = None;
        until("a leader", || {
            found = (0..self.members.len())
                .filter(|n| !not.contains(n))
                .find(|&n| self.members[n].as_ref().is_some_and(|m| m.status()["role"] == "leader"));
            found.is_some()
        });
        found.unwrap()
    }

    fn leader(&self) -> usize {
        self.leader_but(&[])
    }

    /// Has the group do something that may have to be asked for again while a leader is being found.
    fn done(&self, method: &str, path: &str, body: &str, by: usize) {
        until(path, || call(self.member(by).control, method, path, body).is_ok_and(|a| a.status == 200));
    }

    /// Puts the process that came back with an empty folder in the place of the member that it was.
    fn replace(&self, n: usize, old: u64, by: usize) {
        let new = self.member(n);
        assert!(new.id > 1 << 32, "an empty folder came back under an id that was in use");
        self.done("PUT", &format!("members/{}", new.id), &new.listen.to_string(), by);
        self.done("DELETE", &format!("members/{old}"), "", by);
        self.caught_up(n, by);
    }

    fn caught_up(&self, n: usize, by: usize) {
        let applied = |n: usize| self.member(n).status()["applied"].parse::<u64>().unwrap();
        let want = applied(by);
        until("the member to catch up", || {
            self.member(n).status()["role"] != "without a leader" && applied(n) >= want
        });
    }

    /// Cuts what goes from each of `from` to each of `to`.
    fn cut(&self, from: &[usize], to: &[usize], faults: Faults) {
        let ways = from.iter().flat_map(|&a| to.iter().map(move |&b| (a, b)));
        ways.filter_map(|way| self.proxies.get(&way)).for_each(|p| p.set_faults(faults));
    }

    fn heal(&self) {
        self.proxies.values().for_each(Proxy::clear_faults);
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.members.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Clients that put and read the same keys at whichever member, until they are told to stop.
struct Clients {
    stop: Arc<AtomicBool>,
    committed: Arc<AtomicU64>,
    threads: Vec<JoinHandle<Vec<Operation>>>,
    begun: Instant,
}

/// Puts on one key by one client: few enough for the checker.
const PUTS_PER_KEY: u64 = 4;

impl Clients {
    fn start(group: &Group) -> Self {
        let (stop, committed, begun) =
            (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default(), Instant::now());
        let client = |who: u64| {
            let (stop, committed, controls) = (stop.clone(), committed.clone(), group.controls.clone());
            std::thread::spawn(move || {
                let mut operations = Vec::new();
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    let at = {
                        let controls = lock(&controls);
                        controls[((n + who) % controls.len() as u64) as usize]
                    };
                    let (key, value) = (format!("k{}", n / PUTS_PER_KEY), format!("{who}-{n}"));
                    let (written, read) = (put(begun, at, &key, &value), get(begun, at, &key));
                    committed.fetch_add(
                        u64::from(written.as_ref().is_some_and(|e| e.completed_at.is_some())),
                        Ordering::SeqCst,
                    );
                    if read.is_none() {
                        // No leader: it takes a while to find one.
                        std::thread::sleep(Duration::from_millis(10));
                    }
                    operations.extend(written.into_iter().chain(read));
                }
                operations
            })
        };
        let threads = (0..3).map(client).collect();
        Self { stop, committed, threads, begun }
    }

    fn committed(&self) -> u64 {
        self.committed.load(Ordering::SeqCst)
    }

    /// Waits until so many more puts were committed.
    fn go_on(&self, more: u64) {
        let before = self.committed();
        until("commits", || self.committed() >= before + more);
    }

    /// Stops them, reads every key again at that member, and judges the whole history.
    fn judge(self, at: SocketAddr) {
        self.stop.store(true, Ordering::SeqCst);
        let mut operations: Vec<Operation> =
            self.threads.into_iter().flat_map(|t| t.join().unwrap()).collect();
        let written = |e: &&Operation| matches!(e.action, Action::Write(_)) && e.completed_at.is_some();
        let keys: std::collections::BTreeSet<String> =
            operations.iter().filter(written).map(|e| e.key.clone()).collect();
        for key in &keys {
            let mut last = None;
            until("a last read", || {
                last = get(self.begun, at, key);
                last.is_some()
            });
            let last = last.unwrap();
            assert_ne!(last.action, Action::Read(None), "{key} was committed and is gone");
            operations.push(last);
        }
        let checked_keys = history::check(&operations).unwrap_or_else(|v| panic!("{v}: {:?}", v.operations));
        assert!(checked_keys >= keys.len() && !keys.is_empty());
    }
}

fn micros(begun: Instant) -> u64 {
    u64::try_from(begun.elapsed().as_micros()).unwrap()
}

/// A put that was committed, or of which nothing is known; nothing where it was refused.
fn put(begun: Instant, at: SocketAddr, key: &str, value: &str) -> Option<Operation> {
    let (called_at, answer) = (micros(begun), call(at, "PUT", &format!("keys/{key}"), value));
    let status = answer.map_or(0, |a| a.status);
    let completed_at = (status == 200).then(|| micros(begun));
    let action = Action::Write(value.into());
    let operation = Operation { key: key.into(), action, called_at, completed_at };
    (!matches!(status, 503 | 410)).then_some(operation)
}

/// A read that was answered.
fn get(begun: Instant, at: SocketAddr, key: &str) -> Option<Operation> {
    let (called_at, answer) = (micros(begun), call(at, "GET", &format!("keys/{key}"), "").ok()?);
    let action = match answer.status {
        200 => Action::Read(Some(answer.body.into_bytes())),
        404 => Action::Read(None),
        _ => return None,
    };
    Some(Operation { key: key.into(), action, called_at, completed_at: Some(micros(begun)) })
}

/// Guards every write committed before a leader is lost with its disk in a burst of writes; it comes back as a new member.
#[test]
fn a_leader_lost_with_its_disk_loses_no_committed_write() {
    let mut group = Group::start("leader", 3);
    let clients = Clients::start(&group);
    clients.go_on(60);
    let lost = group.leader();
    let old = group.member(lost).id;
    until("its first start to be counted", || {
        lock(&group.member(lost).log).contains("] state loaded start=1 directory=")
    });
    group.kill(lost, true);
    clients.go_on(60);
    group.begin(lost);
    group.replace(lost, old, group.leader_but(&[lost]));
    clients.go_on(30);
    clients.judge(group.member(lost).control);
    // What it counted itself before, its starts, goes on from the copy.
    until("its state", || lock(&group.member(lost).log).contains("] state loaded start=2 directory="));
    assert_eq!(group.member(lost).status()["voters"].split(',').count(), 3);
    // A snapshot bounds the log, and the members go on from it.
    group.done("POST", "snapshot", "", lost);
    let log = group.member(lost).status()["log"].parse::<u64>().unwrap();
    assert!(log < 20, "{log} entries after a snapshot");
    group.kill(lost, false);
    group.begin(lost);
    // It listens at another port now, which is told as for a new one.
    let (again, by) = (group.member(lost), group.leader_but(&[lost]));
    group.done("PUT", &format!("members/{}", again.id), &again.listen.to_string(), by);
    group.caught_up(lost, by);
}

/// Guards against a side without most of the group that answers stale or holds its clients, against a leader that
/// hears and is not heard, and against a member that stood still for longer than an election.
#[test]
fn cuts_pauses_and_delays_neither_lose_nor_change_what_was_committed() {
    let group = Group::start("cuts", 5);
    let clients = Clients::start(&group);
    clients.go_on(30);
    let leader = group.leader();
    let with = (leader + 1) % 5;
    let most: Vec<usize> = (0..5).filter(|n| ![leader, with].contains(n)).collect();
    group.cut(&[leader, with], &most, Faults::partition());
    group.cut(&most, &[leader, with], Faults::partition());
    let refused = |n: usize| {
        let answer = call(group.member(n).control, "GET", "keys/k0", "").unwrap();
        answer.status == 503 && answer.header("retry-after").is_some()
    };
    until("the minority to reject", || refused(leader) && refused(with));
    let by = group.leader_but(&[leader, with]);
    group.done("PUT", "keys/cut", "most", by);
    assert!(refused(leader) && refused(with), "the minority answers while it is cut off");
    group.heal();
    until("the minority to read what the majority committed", || {
        call(group.member(with).control, "GET", "keys/cut", "").is_ok_and(|a| a.body == "most")
    });
    let leader = group.leader();
    let others: Vec<usize> = (0..5).filter(|&n| n != leader).collect();
    group.cut(&[leader], &others, Faults { drop_forward: true, ..Faults::default() });
    let next = group.leader_but(&[leader]);
    group.done("PUT", "keys/one-way", "heard", next);
    group.heal();
    clients.go_on(30);
    let paused = (group.leader() + 1) % 5;
    let control = group.member(paused).control;
    lock(&group.controls).retain(|&c| c != control);
    group.member(paused).signal("STOP");
    let term = || group.member((paused + 1) % 5).status()["term"].clone();
    let before = term();
    // Twice as long as the longest election timeout: 40 ticks of 50 ms.
    std::thread::sleep(Duration::from_secs(2));
    clients.go_on(30);
    group.member(paused).signal("CONT");
    group.caught_up(paused, group.leader_but(&[paused]));
    assert_eq!(term(), before, "a member that had stood still unseated a leader");
    lock(&group.controls).push(control);
    let all = [0, 1, 2, 3, 4];
    group.cut(&all, &all, Faults { delay: Duration::from_millis(20), ..Faults::default() });
    clients.go_on(20);
    // Frames that come twice and overtake each other: the sender and the length come first, as in `replication::wire`.
    let message_length: MessageLength = |bytes| {
        let length = bytes.get(8..12)?.try_into().map(u32::from_le_bytes).ok()?;
        Some(HEADER_BYTES + length as usize)
    };
    group.cut(&all, &all, Faults { reorder: Some(message_length), ..Faults::default() });
    clients.go_on(60);
    group.heal();
    clients.judge(group.member(leader).control);
}

/// Guards a group of five that loses two machines with their disks at once.
#[test]
fn two_members_lost_with_their_disks_are_replaced() {
    let mut group = Group::start("two", 5);
    let clients = Clients::start(&group);
    clients.go_on(40);
    let first = group.leader();
    let second = (first + 1) % 5;
    let old = [first, second].map(|n| group.member(n).id);
    group.kill(first, true);
    group.kill(second, true);
    clients.go_on(40);
    for (n, old) in [(first, old[0]), (second, old[1])] {
        group.begin(n);
        group.replace(n, old, group.leader_but(&[first, second]));
    }
    clients.go_on(20);
    clients.judge(group.member(second).control);
}

/// What a disk may do to bytes that were written.
type Damage = fn(&mut [u8]);

/// Guards against a log that has changed on the disk or was torn there: it is not believed, the member comes back as a new
/// one and gets all from others.
#[test]
fn a_changed_or_torn_log_is_quarantined_and_its_member_catches_up() {
    let damages: [(&str, Damage); 2] =
        [("flipped", |bytes| bytes[0] ^= 1), ("torn", |bytes| bytes[9..].fill(0))];
    for (name, damage) in damages {
        let mut group = Group::start(name, 3);
        let leader = group.leader();
        group.done("PUT", "keys/plaza", "a value found on the disk", leader);
        let changed = (leader + 1) % 3;
        group.caught_up(changed, leader);
        let old = group.member(changed).id;
        group.kill(changed, false);
        let file = group.home(changed).join("log/group.redb");
        let (mut bytes, value) = (std::fs::read(&file).unwrap(), b"a value found on the disk");
        let places: Vec<usize> =
            bytes.windows(value.len()).enumerate().filter(|(_, w)| w == value).map(|(at, _)| at).collect();
        assert!(!places.is_empty(), "the value is not on the disk as it was given");
        places.iter().for_each(|&at| damage(&mut bytes[at..at + value.len()]));
        std::fs::write(&file, bytes).unwrap();
        group.begin(changed);
        assert!(
            lock(&group.member(changed).log)
                .contains(" group] log cannot be used: folder quarantined error="),
            "{name}"
        );
        group.replace(changed, old, leader);
        until("the value from others", || {
            let answer = call(group.member(changed).control, "GET", "keys/plaza", "").unwrap();
            answer.status == 200 && answer.body == "a value found on the disk"
        });
    }
}
