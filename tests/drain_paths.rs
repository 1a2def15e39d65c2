//! Every way by which a part may reach a data node, crossed with the news that the data node drains, is gone, or is at
//! another address: first sends, retries, copies, the second step, frames that wait for a connection or for room in a
//! socket, pages of features, a second process on an inherited listener, the desk. Each crossing is forced on real
//! sockets.

#[allow(unreachable_pub)]
#[path = "../crates/merge/examples/merge_check/stand_in.rs"]
mod desk_stand_in;
mod harness;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use curlewdeck::startup::Coordinator;
use desk_stand_in::{History, Manner};
use harness::stalling_data_node::StallingDataNode;
use harness::stand_in::{
    exchange, post_bytes, read_answer, store, Answer, Discovery, FeatureServer, Member, NodeReply, Part,
};
use harness::{held_back, member, query, query_bytes, ready, served, until, Program, TestCluster};

/// A data node that drains may be sent something new for this long after the word.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Far longer than another try takes, and far shorter than a connection that does not come up is waited for.
const AT_ONCE: Duration = Duration::from_secs(20);
/// A part may be held back for this long: it is up to chance when the next one goes to its data node.
const HELD_FOR: Duration = Duration::from_secs(60);
/// Queries enough for each data node to come first several times.
const TURNS: u32 = 40;
/// The shard whose parts are held back.
const HELD: u32 = 3;

/// One cell with every shard. Nothing is chased or copied, and a connection may take a minute to come up.
fn patient(discovery: SocketAddr) -> String {
    config(&TestCluster { cells: 1, in_a_row: 1, ..TestCluster::default() }, discovery)
}

/// The same with as many ranges as one data node is sent at once when nothing is known of it.
fn patient_features(discovery: SocketAddr) -> String {
    config(&TestCluster { cells: 1, in_a_row: 1, ranges: RANGES as u32, ..TestCluster::default() }, discovery)
}

fn config(cluster: &TestCluster, discovery: SocketAddr) -> String {
    let config = cluster.config(discovery).replace(r#""aim_ns":1000000000"#, r#""aim_ns":60000000000"#);
    let waits = config.replace(r#""connect_timeout_ns":2000000000"#, r#""connect_timeout_ns":60000000000"#);
    assert_ne!(waits, config);
    // Who has just started is soon warm: what is sent to it then is not what is looked at here.
    let warm = waits.replace(r#""cold_ns":17000000000"#, r#""cold_ns":1000000"#);
    assert_ne!(warm, waits);
    warm
}

fn up(uid: &str, addr: SocketAddr) -> Member {
    member(uid, 0, addr)
}

fn in_state(state: &'static str, uid: &str, addr: SocketAddr) -> Member {
    Member { state, ..up(uid, addr) }
}

/// A coordinator in this process, and the list that it follows.
struct Fleet {
    coordinator: Coordinator,
    discovery: Discovery,
}

impl Fleet {
    fn start(config: impl Fn(SocketAddr) -> String, edge: &str, members: Vec<Member>) -> Self {
        let discovery = Discovery::start("127.0.0.1:0", members);
        let coordinator = harness::start(&config(discovery.addr), edge);
        ready(&coordinator);
        until("the watch", || discovery.watches() > 0);
        Self { coordinator, discovery }
    }

    fn patient(members: Vec<Member>) -> Self {
        Self::start(patient, "", members)
    }

    fn addr(&self) -> SocketAddr {
        self.coordinator.listen
    }

    /// Tells news of the list, and waits until it is heard; returns the moment before it was told.
    fn tell(&self, news: impl FnOnce(&Discovery)) -> Instant {
        let changes = || self.coordinator.core.counters.endpoint_list_changes.load(Ordering::SeqCst);
        let (before, told) = (changes(), Instant::now());
        news(&self.discovery);
        until("the list's news", || changes() > before);
        told
    }

    fn change(&self, members: &[Member]) -> Instant {
        self.tell(|discovery| discovery.change(members))
    }

    /// Queries, one after the other, until the grace is over and then some turns more.
    fn ask_past_the_grace(&self, told: Instant) {
        while told.elapsed() <= DRAIN_GRACE {
            self.ask(1);
        }
        self.ask(TURNS);
    }

    /// Queries of two parts at once, for which two data nodes are wanted: one alone goes where a connection is open.
    fn ask(&self, turns: u32) {
        for turn in 0..turns {
            let shards = [turn % HELD, (turn + 1) % HELD];
            assert_eq!(query(self.addr(), "tag-lookup", &shards).unwrap().status, 200);
        }
    }

    fn dials(&self) -> u64 {
        self.coordinator.core.counters.dials.load(Ordering::SeqCst)
    }
}

/// A query that is answered within a time, or is not: it does not wait for more.
fn asked(addr: SocketAddr, class: &'static str, shards: &'static [u32]) -> JoinHandle<Option<Answer>> {
    asked_within(AT_ONCE, addr, class, shards)
}

fn asked_within(
    within: Duration,
    addr: SocketAddr,
    class: &'static str,
    shards: &'static [u32],
) -> JoinHandle<Option<Answer>> {
    thread::spawn(move || {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(within)).unwrap();
        stream.write_all(&query_bytes(class, shards, "60000m")).unwrap();
        read_answer(&mut BufReader::new(stream)).ok()
    })
}

fn answered(asked: JoinHandle<Option<Answer>>, what: &str) -> Answer {
    let answer = asked.join().unwrap().unwrap_or_else(|| panic!("not answered at once: {what}"));
    assert_eq!(answer.status, 200, "{what}: {}", answer.body);
    answer
}

/// Serves, but for the parts of one shard, which it holds until it is released.
fn holding(release: &Arc<AtomicBool>) -> impl Fn(&Part) -> NodeReply + Send + Sync + 'static {
    let release = release.clone();
    move |part: &Part| {
        until("the release", || part.shard != HELD || release.load(Ordering::SeqCst));
        served(part)
    }
}

/// How the list says that a data node takes nothing new.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Word {
    Draining,
    Removed,
    LeftOut,
}

const WORDS: [Word; 3] = [Word::Draining, Word::Removed, Word::LeftOut];

impl Word {
    /// Tells it of one, and that others are up.
    fn tell(self, fleet: &Fleet, of: (&str, SocketAddr), others: &[Member]) -> Instant {
        match self {
            Self::Draining => fleet.change(&[in_state("draining", of.0, of.1)]),
            Self::Removed => fleet.change(&[in_state("removed", of.0, of.1)]),
            Self::LeftOut => fleet.tell(|discovery| discovery.replace(others.to_vec())),
        }
    }
}

// ---- Frames that wait for a connection. ----

/// Guards a part that waits for a connection which hangs when its data node drains or is gone: it goes to another one at
/// once, and nothing is written once the connection comes up.
#[test]
fn what_waits_for_a_connection_goes_elsewhere_at_once() {
    for word in WORDS {
        let (late, stays) = (StallingDataNode::unreachable(served), StallingDataNode::serving(served));
        let fleet = Fleet::patient(vec![up("late", late.addr)]);
        let waiting = asked(fleet.addr(), "tag-lookup", &[0]);
        until("the dial", || fleet.dials() == 1);
        fleet.change(&[up("stays", stays.addr)]);
        let told = word.tell(&fleet, ("late", late.addr), &[up("stays", stays.addr)]);
        answered(waiting, "the part that waited for a connection");
        fleet.ask_past_the_grace(told);
        late.accepts();
        if word == Word::Draining {
            until("the late connection", || late.connections() == 1);
        }
        // One that is up again is sent what is asked from then on, and nothing from before.
        let again = Instant::now();
        fleet.change(&[up("late", late.addr)]);
        until("a part at the one that is up again", || {
            fleet.ask(1);
            !late.arrivals().is_empty()
        });
        let early: Vec<_> = late.arrivals().into_iter().filter(|a| a.begun < again).collect();
        assert_eq!(early, [], "{word:?}");
    }
}

/// Guards a part that waits for a connection to an address which its data node has left: it goes over a new connection
/// to the new address, and the old one is closed when it comes up.
#[test]
fn what_waits_for_a_connection_to_an_earlier_address_goes_to_the_new_one() {
    let (old, new) = (StallingDataNode::unreachable(served), StallingDataNode::serving(served));
    let fleet = Fleet::patient(vec![up("moves", old.addr)]);
    let waiting = asked(fleet.addr(), "tag-lookup", &[0]);
    until("the dial", || fleet.dials() == 1);
    fleet.change(&[up("moves", new.addr)]);
    answered(waiting, "the part that waited for a connection to the earlier address");
    old.accepts();
    until("the late connection's end", || old.connections() == 1 && old.open() == 0);
    fleet.ask(TURNS);
    assert_eq!(old.arrivals(), []);
}

// ---- Addresses. ----

/// Guards a data node that moves while parts are out on its connection: these may finish there, nothing new begins, and
/// the connection is closed once it is at rest.
#[test]
fn a_busy_connection_to_an_earlier_address_takes_nothing_new() {
    let release = Arc::new(AtomicBool::new(false));
    let (old, new) = (StallingDataNode::serving(holding(&release)), StallingDataNode::serving(served));
    let fleet = Fleet::patient(vec![up("moves", old.addr)]);
    let held = asked(fleet.addr(), "tag-lookup", &[HELD]);
    until("the held part", || old.arrivals().len() == 1);
    fleet.ask(1);
    assert_eq!((old.arrivals().len(), old.connections()), (3, 1));
    let told = fleet.change(&[up("moves", new.addr)]);
    fleet.ask_past_the_grace(told);
    assert_eq!(old.begun_after(told + DRAIN_GRACE), [], "sent to the earlier address");
    assert!(new.arrivals().len() >= 2 * TURNS as usize);
    assert_eq!(old.open(), 1, "closed under a part");
    release.store(true, Ordering::SeqCst);
    assert_eq!(answered(held, "the held part").body, r#"{"exact":true,"rows":[{"id":3,"data":"v3"}]}"#);
    until("the end of the connection at rest", || old.open() == 0);
    fleet.ask(TURNS);
    assert_eq!(old.arrivals().len(), 3);
}

/// Guards an address that passes from a data node that is gone to a new one: what is out at the one may finish, the other
/// has connections of its own, and news of the one does not shut the other.
#[test]
fn an_address_that_passes_to_another_data_node_keeps_the_two_apart() {
    for word in WORDS {
        let release = Arc::new(AtomicBool::new(false));
        let node = StallingDataNode::serving(holding(&release));
        let fleet = Fleet::patient(vec![up("first", node.addr)]);
        let held = asked(fleet.addr(), "tag-lookup", &[HELD]);
        until("the held part", || node.arrivals().len() == 1);
        let of_first = node.arrivals()[0].connection;
        // In one object, in either order: there is no moment without a data node.
        match word {
            Word::Draining => {
                fleet.change(&[in_state("draining", "first", node.addr), up("second", node.addr)])
            }
            Word::Removed => {
                fleet.change(&[up("second", node.addr), in_state("removed", "first", node.addr)])
            }
            Word::LeftOut => fleet.tell(|discovery| discovery.replace(vec![up("second", node.addr)])),
        };
        let before = node.arrivals().len();
        fleet.ask(TURNS);
        // The first is told gone once more, at the address that is the second's by now.
        fleet.change(&[in_state("removed", "first", node.addr)]);
        fleet.ask(TURNS);
        let since = node.arrivals().split_off(before);
        assert_eq!(since.len(), 4 * TURNS as usize, "{word:?}");
        assert!(since.iter().all(|a| a.connection != of_first), "{word:?}: on the first one's connection");
        release.store(true, Ordering::SeqCst);
        answered(held, "the part out at the first");
        // And the drain of the second is its own.
        let stays = StallingDataNode::serving(served);
        fleet.change(&[up("stays", stays.addr)]);
        let told = fleet.change(&[in_state("draining", "second", node.addr)]);
        fleet.ask_past_the_grace(told);
        assert_eq!(node.begun_after(told + DRAIN_GRACE), [], "{word:?}");
    }
}

/// Guards a name that is gone and comes back as a process that has just started, with a part of the earlier one still out
/// or nothing, in two objects or in one: it is served from anew, and its next drain shuts it.
#[test]
fn a_name_that_is_gone_and_comes_back_is_opened_and_shut_as_any_other() {
    for (part_out, at_once) in [(false, false), (false, true), (true, false), (true, true)] {
        let release = Arc::new(AtomicBool::new(false));
        let (old, stays) = (StallingDataNode::serving(holding(&release)), StallingDataNode::serving(served));
        let new = StallingDataNode::serving(served);
        let fleet = Fleet::patient(vec![up("back", old.addr)]);
        fleet.ask(1);
        let held = part_out.then(|| asked_within(HELD_FOR, fleet.addr(), "tag-lookup", &[HELD]));
        until("the parts", || old.arrivals().len() == 2 + usize::from(part_out));
        fleet.change(&[up("stays", stays.addr)]);
        let gone = in_state("removed", "back", old.addr);
        let back = Member { boot_ms: 1_700_000_000_000, ..up("back", new.addr) };
        let told = if at_once {
            fleet.change(&[gone, back.clone()])
        } else {
            let told = fleet.change(&[gone]);
            fleet.ask_past_the_grace(told);
            fleet.change(std::slice::from_ref(&back));
            told
        };
        until("a part at the one that is back", || {
            fleet.ask(1);
            !new.arrivals().is_empty()
        });
        let drained = fleet.change(&[Member { state: "draining", ..back.clone() }]);
        fleet.ask_past_the_grace(drained);
        assert_eq!(new.begun_after(drained + DRAIN_GRACE), [], "{part_out} {at_once}");
        let left_out = fleet.tell(|discovery| discovery.replace(vec![up("stays", stays.addr)]));
        fleet.ask_past_the_grace(left_out);
        assert_eq!(new.begun_after(drained + DRAIN_GRACE), [], "{part_out} {at_once}");
        assert_eq!(old.begun_after(told + DRAIN_GRACE), [], "{part_out} {at_once}");
        release.store(true, Ordering::SeqCst);
        let released = Instant::now();
        held.into_iter().for_each(|held| drop(answered(held, "the part out at the earlier process")));
        assert!(released.elapsed() < AT_ONCE, "{part_out} {at_once}");
    }
}

// ---- Further attempts. ----

/// A data node whose parts of one shard wait for the test, and end as it says then.
fn failing_once_released(release: &Arc<AtomicBool>) -> StallingDataNode {
    let release = release.clone();
    StallingDataNode::serving(move |part: &Part| {
        if part.shard != HELD {
            return served(part);
        }
        until("the release", || release.load(Ordering::SeqCst));
        NodeReply::Answer(500, 0, String::new())
    })
}

/// Guards retries: attempts that fail after the drain of one of the other data nodes go to the one that stays.
#[test]
fn retries_do_not_go_to_one_that_drains() {
    const RETRIES: usize = 12;
    let release = Arc::new(AtomicBool::new(false));
    let fails = failing_once_released(&release);
    let (drains, stays) = (StallingDataNode::serving(served), StallingDataNode::serving(served));
    let fleet = Fleet::patient(vec![up("fails", fails.addr)]);
    let held: Vec<_> = (0..RETRIES).map(|_| asked(fleet.addr(), "tag-lookup", &[HELD])).collect();
    let out = || fails.arrivals().len();
    until("the held parts", || out() >= 3);
    fleet.change(&[up("drains", drains.addr), up("stays", stays.addr)]);
    fleet.ask(TURNS);
    assert!(!drains.arrivals().is_empty());
    let told = fleet.change(&[in_state("draining", "drains", drains.addr)]);
    fleet.ask_past_the_grace(told);
    release.store(true, Ordering::SeqCst);
    held.into_iter().for_each(|held| drop(answered(held, "a retried part")));
    assert_eq!(drains.begun_after(told + DRAIN_GRACE), []);
}

/// Guards copies of parts that are overdue: they go to the data node that stays.
#[test]
fn copies_do_not_go_to_one_that_drains() {
    let release = Arc::new(AtomicBool::new(false));
    let holds = StallingDataNode::serving(holding(&release));
    let (drains, stays) = (StallingDataNode::serving(served), StallingDataNode::serving(served));
    let members = vec![up("holds", holds.addr), up("drains", drains.addr), up("stays", stays.addr)];
    let short_aim =
        |discovery| TestCluster { cells: 1, in_a_row: 1, ..TestCluster::default() }.config(discovery);
    let fleet = Fleet::start(short_aim, "", members);
    fleet.ask(TURNS);
    let told = fleet.change(&[in_state("draining", "drains", drains.addr)]);
    fleet.ask_past_the_grace(told);
    let copies = || -> u64 {
        let books = fleet.coordinator.ledger_snapshot().expect("the core answers");
        books.nodes.iter().map(|node| node.attempts.hedges).sum()
    };
    until("two copies", || {
        // First sends keep pace: copies stay under a tenth of them.
        fleet.ask(TURNS);
        let held = asked(fleet.addr(), "tag-lookup", &[HELD]);
        answered(held, "a part that was held at one");
        copies() >= 2
    });
    assert_eq!(drains.begun_after(told + DRAIN_GRACE), []);
    release.store(true, Ordering::SeqCst);
}

/// Guards the second step: its parts are decided on after the drain, whoever answered the first step.
#[test]
fn the_second_step_does_not_go_to_one_that_drains() {
    let (release, slow) = held_back();
    let (drains, stays) = (StallingDataNode::serving(slow.clone()), StallingDataNode::serving(slow));
    let fleet = Fleet::patient(vec![up("drains", drains.addr), up("stays", stays.addr)]);
    let parts = || drains.arrivals().len() + stays.arrivals().len();
    let mut held = Vec::new();
    until("a first step at each", || {
        if !drains.arrivals().is_empty() && !stays.arrivals().is_empty() {
            return true;
        }
        let before = parts();
        held.push(asked(fleet.addr(), "monthly-settle", &[0, 1, 2, 3]));
        until("the parts of the first step", || parts() > before);
        false
    });
    let told = fleet.change(&[in_state("draining", "drains", drains.addr)]);
    // Nobody answers before the release: the grace is waited for.
    until("the end of the grace", || told.elapsed() > DRAIN_GRACE);
    release.store(true, Ordering::SeqCst);
    held.into_iter().for_each(|held| drop(answered(held, "a query in two steps")));
    assert_eq!(drains.begun_after(told + DRAIN_GRACE), []);
    assert!(stays.arrivals().iter().any(|a| a.id.ends_with(".fetch")));
}

// ---- Frames that wait for room in a socket. ----

/// Parts of a query whose call fills more than a socket, and the text of each.
const LARGE_PARTS: usize = 80;
const LARGE_TEXT: usize = 60_000;

fn sized_query_bytes(name: &str, parts: usize, text: usize) -> Vec<u8> {
    let (text, weight) = ("x".repeat(text), 1.0 / parts as f64);
    let parts: Vec<String> = (0..parts).map(|s| format!(r#"{{"id":{s},"w":{weight}}}"#)).collect();
    let body = format!(r#"{{"parts":[{}],"expr":"{text}"}}"#, parts.join(","));
    let head = format!(
        "POST /tag-lookup HTTP/1.1\r\nHost: a\r\nX-Request-ID: {name}\r\nX-Timeout: 60000m\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    (head + &body).into_bytes()
}

/// Calls of many parts, and connections that carry many.
fn wide(discovery: SocketAddr) -> String {
    let cluster = TestCluster {
        cells: 1,
        in_a_row: 1,
        ranges: LARGE_PARTS as u32,
        max_open: 4000,
        ..TestCluster::default()
    };
    let calls = format!(r#""batch":{LARGE_PARTS}"#);
    let config = config(&cluster, discovery).replace(r#""batch":1"#, &calls);
    config.replace(r#""multiplex":32"#, r#""multiplex":1000"#)
}

/// Guards frames behind a socket that is full when the data node drains or is gone: the one whose first byte was written
/// may go on, no other begins, and what waited is answered by others. A connection is given up once a write has taken
/// half a second: where that came before the word, nothing waited behind it, and the crossing is forced anew.
#[test]
fn frames_behind_a_full_socket_do_not_begin_after_the_word() {
    const TRIES: usize = 20;
    for word in WORDS {
        assert!((0..TRIES).any(|_| crosses_a_full_socket(word)), "{word:?}: never forced");
    }
}

/// Returns whether the word came while the frame waited.
fn crosses_a_full_socket(word: Word) -> bool {
    let (full, stays) = (StallingDataNode::unread(served), StallingDataNode::serving(served));
    let fleet = Fleet::start(wide, "", vec![up("full", full.addr)]);
    let addr = fleet.addr();
    let started = || -> usize {
        let books = fleet.coordinator.ledger_snapshot().expect("the core answers");
        books.nodes.iter().map(|node| node.attempts.started as usize).sum()
    };
    let ask = |name: &'static str, parts, text| {
        let before = started();
        let client = thread::spawn(move || {
            let mut stream = TcpStream::connect(addr).unwrap();
            stream.set_read_timeout(Some(AT_ONCE)).unwrap();
            stream.write_all(&sized_query_bytes(name, parts, text)).unwrap();
            read_answer(&mut BufReader::new(stream)).ok()
        });
        until("its call", || started() >= before + parts);
        client
    };
    // What was begun may be lost with its connection, and more of it than may be tried again.
    drop(ask("large", LARGE_PARTS, LARGE_TEXT));
    drop(ask("larger", LARGE_PARTS, LARGE_TEXT));
    let waiting = ask("waits", 1, 8);
    fleet.change(&[up("stays", stays.addr)]);
    let dials = fleet.dials();
    let told = word.tell(&fleet, ("full", full.addr), &[up("stays", stays.addr)]);
    // Behind the word, the other one is dialled at once: what counts is another connection to this one.
    if dials > 1 || full.connections() > 1 {
        return false;
    }
    answered(waiting, "the call that waited for room");
    until("the end of the grace", || told.elapsed() > DRAIN_GRACE);
    assert!(stays.arrivals().iter().any(|a| a.id == "waits.0"), "{word:?}");
    full.reads();
    // The frame that had begun comes whole, or its connection was given up meanwhile.
    let ended = || full.connections() > 0 && full.open() == 0;
    until("the frame that had begun", || full.arrivals().len() >= LARGE_PARTS || ended());
    let begun: Vec<_> = full.arrivals().into_iter().filter(|a| a.id == "waits.0").collect();
    assert_eq!(begun, [], "{word:?}");
    true
}

// ---- Other processes and fronts. ----

/// Guards an older process that ends beside a newer one on the same listener: it hears of drains up to its end.
#[test]
fn an_older_process_beside_a_newer_one_hears_of_drains() {
    let (drains, stays) = (StallingDataNode::serving(served), StallingDataNode::serving(served));
    let discovery = Discovery::start("127.0.0.1:0", vec![up("drains", drains.addr), up("stays", stays.addr)]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = patient(discovery.addr);
    let older = Program::start_with(&config, Some(&listener));
    // Each is used once after the word: an older process asks its clients to go.
    let connect = |addr: SocketAddr| -> Vec<TcpStream> {
        let open = (0..TURNS).map(|_| TcpStream::connect(addr).unwrap());
        open.map(|mut stream| (ask(&mut stream), stream).1).collect()
    };
    let of_older = connect(older.addr);
    let newer = Program::start_with(&config, Some(&listener));
    until("both watches", || discovery.watches() == 2);
    older.signal("TERM");
    let told = Instant::now();
    discovery.set("drains", "draining");
    until("the end of the grace", || told.elapsed() > DRAIN_GRACE);
    let answered = of_older.into_iter().filter_map(|mut stream| ask(&mut stream)).count();
    assert!(answered > 0, "the older process answered nobody");
    (0..TURNS).for_each(|_| assert_eq!(query(newer.addr, "tag-lookup", &[0, 1]).unwrap().status, 200));
    assert_eq!(drains.begun_after(told + DRAIN_GRACE), []);
    assert_eq!(stays.begun_after(told + DRAIN_GRACE).len(), 2 * (answered + TURNS as usize));
    older.ended();
}

/// One query on a connection; none where that has been closed.
fn ask(stream: &mut TcpStream) -> Option<u16> {
    stream.write_all(&query_bytes("tag-lookup", &[0, 1], "60000m")).ok()?;
    read_answer(&mut BufReader::new(stream.try_clone().unwrap())).ok().map(|answer| answer.status)
}

const DESK: &str = r#"
[desk]
listen = "127.0.0.1:0"
[[desk.sets]]
id = "accounts"
title = "Accounts"
class = "tag-lookup"
measures = [{ name = "balance", scale = 2 }]
"#;

/// A value of the desk's form, of a set without rows.
fn desk_value(part: &Part) -> NodeReply {
    let mut history = History::default();
    history.change(|_| {});
    let value = desk_stand_in::answer(history.at(1), 1, &part.text, Manner::default());
    NodeReply::Answer(200, 0, value.expect("a text of the desk's form"))
}

/// Guards the desk's calls: they are queries of the core as any others.
#[test]
fn the_desk_does_not_send_to_one_that_drains() {
    let (drains, stays) = (StallingDataNode::serving(desk_value), StallingDataNode::serving(desk_value));
    let fleet = Fleet::start(patient, DESK, vec![up("drains", drains.addr), up("stays", stays.addr)]);
    let desk = fleet.coordinator.aggregation.unwrap();
    let ask = || {
        let answer = exchange(desk, &post_bytes("/v1/sets/accounts/query", r#"{"op":"rank"}"#)).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.body);
    };
    until("parts of the desk at each", || {
        ask();
        !drains.arrivals().is_empty() && !stays.arrivals().is_empty()
    });
    let told = fleet.change(&[in_state("draining", "drains", drains.addr)]);
    until("the end of the grace", || told.elapsed() > DRAIN_GRACE);
    let before = stays.arrivals().len();
    (0..TURNS).for_each(|_| ask());
    assert!(stays.arrivals().len() >= before + TURNS as usize);
    assert_eq!(drains.begun_after(told + DRAIN_GRACE), []);
}

// ---- Feature servers. ----

const FEATURES: &str = r#"
[nodes]
protocol = "features"
[ogc]
listen = "127.0.0.1:0"
[[ogc.collections]]
id = "plazas"
title = "Plazas"
class = "tag-lookup"
bbox = [26.0, 36.0, 45.0, 42.0]
"#;
const RANGES: usize = 3;
/// Features of a range, and on a page.
const COUNT: usize = 5;
const PAGE: usize = 2;

fn features(addr: SocketAddr) -> JoinHandle<Option<Answer>> {
    thread::spawn(move || {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(AT_ONCE)).unwrap();
        let request = "GET /collections/plazas/items?limit=100 HTTP/1.1\r\nHost: edge\r\n\r\n";
        stream.write_all(request.as_bytes()).unwrap();
        read_answer(&mut BufReader::new(stream)).ok()
    })
}

fn whole(asked: JoinHandle<Option<Answer>>, what: &str) {
    let body = answered(asked, what).body;
    for (range, number) in (0..RANGES).flat_map(|r| (0..COUNT).map(move |n| (r, n))) {
        assert!(body.contains(&format!(r#""{range}-{number}""#)), "{what}: {range}-{number}");
    }
}

/// Guards pages that wait for a connection which hangs when their server drains, is gone or moves: the ranges are read
/// elsewhere at once.
#[test]
fn features_that_wait_for_a_connection_are_read_elsewhere_at_once() {
    for word in WORDS.map(Some).into_iter().chain([None]) {
        let late = StallingDataNode::unreachable(served);
        let stays = FeatureServer::start(|query| store(query, COUNT, PAGE));
        let fleet = Fleet::start(patient_features, FEATURES, vec![up("late", late.addr)]);
        let waiting = features(fleet.coordinator.features.unwrap());
        until("the dials", || fleet.dials() > 0);
        match word {
            Some(word) => {
                fleet.change(&[up("stays", stays.addr)]);
                word.tell(&fleet, ("late", late.addr), &[up("stays", stays.addr)]);
            }
            None => drop(fleet.change(&[up("late", stays.addr)])),
        }
        whole(waiting, &format!("{word:?}"));
    }
}

/// Guards a feature server that moves while it is asked for pages: no page is asked for where it was, neither of the
/// range that is being read there nor, on the connection that is at rest afterwards, of another.
#[test]
fn no_page_is_asked_for_at_an_earlier_address() {
    let release = Arc::new(AtomicBool::new(false));
    let held = release.clone();
    let old = FeatureServer::start(move |query| {
        until("the release", || held.load(Ordering::SeqCst));
        store(query, COUNT, COUNT)
    });
    let new = FeatureServer::start(|query| store(query, COUNT, PAGE));
    let fleet = Fleet::start(patient_features, FEATURES, vec![up("moves", old.addr)]);
    let ogc = fleet.coordinator.features.unwrap();
    let reading = features(ogc);
    // The first of each range: what is asked for later was asked for after the move.
    until("the pages", || old.seen().len() == RANGES);
    fleet.change(&[up("moves", new.addr)]);
    release.store(true, Ordering::SeqCst);
    whole(reading, "what was being read");
    for _ in 0..TURNS {
        whole(features(ogc), "what is asked for afterwards");
    }
    let after = old.seen().split_off(RANGES);
    assert!(after.is_empty(), "{} pages asked for at the earlier address", after.len());
}
