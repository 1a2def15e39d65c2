//! Tests every path of a part to a data node while the list changes: the node drains, is removed or moves to another
//! address. The paths are first sends, retries, hedges, the second phase, frames that wait for a connection or for room
//! in a socket, pages of features, a second process on an inherited listener, and the desk. Each race is forced on real
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
use desk_stand_in::{History, ValueOptions};
use harness::stalling_data_node::StallingDataNode;
use harness::stand_in::{
    feature_store_reply, post_bytes, read_answer, send_request, Answer, Discovery, FeatureServer, Member,
    NodeReply, Part,
};
use harness::{
    gated_reply, member, query, query_bytes, successful_reply, wait_until, wait_until_healthy, Program,
    TestCluster,
};

/// Time after a drain in which the data node may still receive new parts.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Limit for an answer: far longer than a retry takes, and far shorter than the connect timeout.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);
/// Longest time for which a part is held; the time until the next part goes to its data node is random.
const HELD_PART_LIMIT: Duration = Duration::from_secs(60);
/// Number of queries after which each data node has been the first choice several times.
const QUERIES: u32 = 40;
/// Shard whose parts are held.
const HELD_SHARD: u32 = 3;

/// One partition group with every shard, with a latency objective so long that no slow part is retried or hedged, and
/// with a connect timeout of one minute.
fn long_timeouts(discovery: SocketAddr) -> String {
    config(&TestCluster { partition_groups: 1, replicas: 1, ..TestCluster::default() }, discovery)
}

/// The same with as many ranges as a data node without measurements is sent at once.
fn features_with_long_timeouts(discovery: SocketAddr) -> String {
    config(
        &TestCluster { partition_groups: 1, replicas: 1, ranges: RANGES as u32, ..TestCluster::default() },
        discovery,
    )
}

fn config(cluster: &TestCluster, discovery: SocketAddr) -> String {
    let config = cluster.config(discovery).replace(r#""aim_ns":1000000000"#, r#""aim_ns":60000000000"#);
    let connecting =
        config.replace(r#""connect_timeout_ns":2000000000"#, r#""connect_timeout_ns":60000000000"#);
    assert_ne!(connecting, config);
    // A short warm-up: the parts sent to a cold node are not tested here.
    let warm = connecting.replace(r#""cold_ns":17000000000"#, r#""cold_ns":1000000"#);
    assert_ne!(warm, connecting);
    warm
}

fn up(uid: &str, addr: SocketAddr) -> Member {
    member(uid, 0, addr)
}

fn in_state(state: &'static str, uid: &str, addr: SocketAddr) -> Member {
    Member { state, ..up(uid, addr) }
}

/// Coordinator in this process, and the discovery service of its list.
struct Fixture {
    coordinator: Coordinator,
    discovery: Discovery,
}

impl Fixture {
    fn start(config: impl Fn(SocketAddr) -> String, edge: &str, members: Vec<Member>) -> Self {
        let discovery = Discovery::start("127.0.0.1:0", members);
        let coordinator = harness::start(&config(discovery.addr), edge);
        wait_until_healthy(&coordinator);
        wait_until("the watch", || discovery.watch_requests() > 0);
        Self { coordinator, discovery }
    }

    fn long_timeouts(members: Vec<Member>) -> Self {
        Self::start(long_timeouts, "", members)
    }

    fn addr(&self) -> SocketAddr {
        self.coordinator.listen
    }

    /// Updates the list and waits until the coordinator has applied it; returns the moment before the update.
    fn update_list(&self, update: impl FnOnce(&Discovery)) -> Instant {
        let changes = || self.coordinator.core.counters.endpoint_list_changes.load(Ordering::SeqCst);
        let (before, updated_at) = (changes(), Instant::now());
        update(&self.discovery);
        wait_until("the list change", || changes() > before);
        updated_at
    }

    fn change(&self, members: &[Member]) -> Instant {
        self.update_list(|discovery| discovery.change(members))
    }

    /// Sends queries one after the other until the grace is over, then `QUERIES` more.
    fn query_past_the_grace(&self, updated_at: Instant) {
        while updated_at.elapsed() <= DRAIN_GRACE {
            self.send_queries(1);
        }
        self.send_queries(QUERIES);
    }

    /// Sends queries of two parts, which use two data nodes; a single part goes to a node with an open connection.
    fn send_queries(&self, turns: u32) {
        for turn in 0..turns {
            let shards = [turn % HELD_SHARD, (turn + 1) % HELD_SHARD];
            assert_eq!(query(self.addr(), "tag-lookup", &shards).unwrap().status, 200);
        }
    }

    fn dials(&self) -> u64 {
        self.coordinator.core.counters.dials.load(Ordering::SeqCst)
    }
}

/// Sends a query from a new thread; the result is `None` without an answer within `ANSWER_LIMIT`.
fn spawn_query(addr: SocketAddr, class: &'static str, shards: &'static [u32]) -> JoinHandle<Option<Answer>> {
    spawn_query_within(ANSWER_LIMIT, addr, class, shards)
}

fn spawn_query_within(
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

fn expect_answer(query: JoinHandle<Option<Answer>>, description: &str) -> Answer {
    let answer = query.join().unwrap().unwrap_or_else(|| panic!("no answer in time: {description}"));
    assert_eq!(answer.status, 200, "{description}: {}", answer.body);
    answer
}

/// Serves parts, but holds those of `HELD_SHARD` until the release.
fn holding(release: &Arc<AtomicBool>) -> impl Fn(&Part) -> NodeReply + Send + Sync + 'static {
    let release = release.clone();
    move |part: &Part| {
        wait_until("the release", || part.shard != HELD_SHARD || release.load(Ordering::SeqCst));
        successful_reply(part)
    }
}

/// Update of the list after which a data node receives nothing new.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ClosingUpdate {
    Draining,
    Removed,
    Omitted,
}

const CLOSING_UPDATES: [ClosingUpdate; 3] =
    [ClosingUpdate::Draining, ClosingUpdate::Removed, ClosingUpdate::Omitted];

impl ClosingUpdate {
    /// Applies the update to one node; `others` remain in the list.
    fn apply(self, fixture: &Fixture, of: (&str, SocketAddr), others: &[Member]) -> Instant {
        match self {
            Self::Draining => fixture.change(&[in_state("draining", of.0, of.1)]),
            Self::Removed => fixture.change(&[in_state("removed", of.0, of.1)]),
            Self::Omitted => fixture.update_list(|discovery| discovery.replace(others.to_vec())),
        }
    }
}

// ---- Frames that wait for a connection ----

/// A part waits for a connection that hangs, and its data node drains or is removed. The part must go to another node
/// at once, and must not be written when the connection opens late.
#[test]
fn part_waiting_for_a_connection_is_rerouted_at_once() {
    for update in CLOSING_UPDATES {
        let (late, stays) = (
            StallingDataNode::start_unreachable(successful_reply),
            StallingDataNode::start_serving(successful_reply),
        );
        let fixture = Fixture::long_timeouts(vec![up("late", late.addr)]);
        let waiting = spawn_query(fixture.addr(), "tag-lookup", &[0]);
        wait_until("the dial", || fixture.dials() == 1);
        fixture.change(&[up("stays", stays.addr)]);
        let updated_at = update.apply(&fixture, ("late", late.addr), &[up("stays", stays.addr)]);
        expect_answer(waiting, "the part that waited for a connection");
        fixture.query_past_the_grace(updated_at);
        late.start_accepting();
        if update == ClosingUpdate::Draining {
            wait_until("the late connection", || late.connections() == 1);
        }
        // A node that is up again receives parts of later queries only.
        let again = Instant::now();
        fixture.change(&[up("late", late.addr)]);
        wait_until("a part at the node that is up again", || {
            fixture.send_queries(1);
            !late.arrivals().is_empty()
        });
        let early: Vec<_> = late.arrivals().into_iter().filter(|a| a.first_byte_time < again).collect();
        assert_eq!(early, [], "{update:?}");
    }
}

/// A part waits for a connection to an address that its data node has left. The part must go over a new connection to
/// the new address, and the old connection must be closed when it opens.
#[test]
fn part_waiting_for_an_earlier_address_is_sent_to_the_new_one() {
    let (old, new) = (
        StallingDataNode::start_unreachable(successful_reply),
        StallingDataNode::start_serving(successful_reply),
    );
    let fixture = Fixture::long_timeouts(vec![up("moves", old.addr)]);
    let waiting = spawn_query(fixture.addr(), "tag-lookup", &[0]);
    wait_until("the dial", || fixture.dials() == 1);
    fixture.change(&[up("moves", new.addr)]);
    expect_answer(waiting, "the part that waited for a connection to the earlier address");
    old.start_accepting();
    wait_until("the end of the late connection", || old.connections() == 1 && old.open_connections() == 0);
    fixture.send_queries(QUERIES);
    assert_eq!(old.arrivals(), []);
}

// ---- Addresses ----

/// A data node moves while parts are in flight on its connection. The parts may finish there, nothing new may start,
/// and the connection must be closed once it is idle.
#[test]
fn busy_connection_to_an_earlier_address_receives_nothing_new() {
    let release = Arc::new(AtomicBool::new(false));
    let (old, new) = (
        StallingDataNode::start_serving(holding(&release)),
        StallingDataNode::start_serving(successful_reply),
    );
    let fixture = Fixture::long_timeouts(vec![up("moves", old.addr)]);
    let held = spawn_query(fixture.addr(), "tag-lookup", &[HELD_SHARD]);
    wait_until("the held part", || old.arrivals().len() == 1);
    fixture.send_queries(1);
    assert_eq!((old.arrivals().len(), old.connections()), (3, 1));
    let updated_at = fixture.change(&[up("moves", new.addr)]);
    fixture.query_past_the_grace(updated_at);
    assert_eq!(old.parts_begun_after(updated_at + DRAIN_GRACE), [], "sent to the earlier address");
    assert!(new.arrivals().len() >= 2 * QUERIES as usize);
    assert_eq!(old.open_connections(), 1, "closed with a part in flight");
    release.store(true, Ordering::SeqCst);
    assert_eq!(expect_answer(held, "the held part").body, r#"{"exact":true,"rows":[{"id":3,"data":"v3"}]}"#);
    wait_until("the end of the idle connection", || old.open_connections() == 0);
    fixture.send_queries(QUERIES);
    assert_eq!(old.arrivals().len(), 3);
}

/// An address passes from a removed data node to a new one. Parts in flight at the first may finish, the second must
/// get its own connections, and updates of the first must not close the second.
#[test]
fn data_nodes_that_share_an_address_in_turn_stay_separate() {
    for update in CLOSING_UPDATES {
        let release = Arc::new(AtomicBool::new(false));
        let node = StallingDataNode::start_serving(holding(&release));
        let fixture = Fixture::long_timeouts(vec![up("first", node.addr)]);
        let held = spawn_query(fixture.addr(), "tag-lookup", &[HELD_SHARD]);
        wait_until("the held part", || node.arrivals().len() == 1);
        let of_first = node.arrivals()[0].connection;
        // One object carries both entries, in either order, so that there is always a data node.
        match update {
            ClosingUpdate::Draining => {
                fixture.change(&[in_state("draining", "first", node.addr), up("second", node.addr)])
            }
            ClosingUpdate::Removed => {
                fixture.change(&[up("second", node.addr), in_state("removed", "first", node.addr)])
            }
            ClosingUpdate::Omitted => {
                fixture.update_list(|discovery| discovery.replace(vec![up("second", node.addr)]))
            }
        };
        let before = node.arrivals().len();
        fixture.send_queries(QUERIES);
        // Removes the first node once more, at the address that the second one has now.
        fixture.change(&[in_state("removed", "first", node.addr)]);
        fixture.send_queries(QUERIES);
        let since = node.arrivals().split_off(before);
        assert_eq!(since.len(), 4 * QUERIES as usize, "{update:?}");
        assert!(
            since.iter().all(|a| a.connection != of_first),
            "{update:?}: sent on the connection of the first node"
        );
        release.store(true, Ordering::SeqCst);
        expect_answer(held, "the part in flight at the first");
        // The second node can be drained separately.
        let stays = StallingDataNode::start_serving(successful_reply);
        fixture.change(&[up("stays", stays.addr)]);
        let updated_at = fixture.change(&[in_state("draining", "second", node.addr)]);
        fixture.query_past_the_grace(updated_at);
        assert_eq!(node.parts_begun_after(updated_at + DRAIN_GRACE), [], "{update:?}");
    }
}

/// A removed node returns as a new process, with or without a part of the earlier process in flight, in one object or
/// in two. The node must receive parts again, and its next drain must close it.
#[test]
fn removed_node_that_returns_is_used_and_drained_like_any_other() {
    for (part_in_flight, at_once) in [(false, false), (false, true), (true, false), (true, true)] {
        let release = Arc::new(AtomicBool::new(false));
        let (old, stays) = (
            StallingDataNode::start_serving(holding(&release)),
            StallingDataNode::start_serving(successful_reply),
        );
        let new = StallingDataNode::start_serving(successful_reply);
        let fixture = Fixture::long_timeouts(vec![up("back", old.addr)]);
        fixture.send_queries(1);
        let held = part_in_flight
            .then(|| spawn_query_within(HELD_PART_LIMIT, fixture.addr(), "tag-lookup", &[HELD_SHARD]));
        wait_until("the parts", || old.arrivals().len() == 2 + usize::from(part_in_flight));
        fixture.change(&[up("stays", stays.addr)]);
        let gone = in_state("removed", "back", old.addr);
        let back = Member { boot_ms: 1_700_000_000_000, ..up("back", new.addr) };
        let updated_at = if at_once {
            fixture.change(&[gone, back.clone()])
        } else {
            let updated_at = fixture.change(&[gone]);
            fixture.query_past_the_grace(updated_at);
            fixture.change(std::slice::from_ref(&back));
            updated_at
        };
        wait_until("a part at the node that is back", || {
            fixture.send_queries(1);
            !new.arrivals().is_empty()
        });
        let drained = fixture.change(&[Member { state: "draining", ..back.clone() }]);
        fixture.query_past_the_grace(drained);
        assert_eq!(new.parts_begun_after(drained + DRAIN_GRACE), [], "{part_in_flight} {at_once}");
        let omitted = fixture.update_list(|discovery| discovery.replace(vec![up("stays", stays.addr)]));
        fixture.query_past_the_grace(omitted);
        assert_eq!(new.parts_begun_after(drained + DRAIN_GRACE), [], "{part_in_flight} {at_once}");
        assert_eq!(old.parts_begun_after(updated_at + DRAIN_GRACE), [], "{part_in_flight} {at_once}");
        release.store(true, Ordering::SeqCst);
        let released = Instant::now();
        held.into_iter()
            .for_each(|held| drop(expect_answer(held, "the part in flight at the earlier process")));
        assert!(released.elapsed() < ANSWER_LIMIT, "{part_in_flight} {at_once}");
    }
}

// ---- Further attempts ----

/// Starts a data node that holds parts of `HELD_SHARD` until the release and then fails them.
fn failing_once_released(release: &Arc<AtomicBool>) -> StallingDataNode {
    let release = release.clone();
    StallingDataNode::start_serving(move |part: &Part| {
        if part.shard != HELD_SHARD {
            return successful_reply(part);
        }
        wait_until("the release", || release.load(Ordering::SeqCst));
        NodeReply::Answer(500, 0, String::new())
    })
}

/// Attempts fail after one of the other data nodes has drained. Their retries must go to the remaining node.
#[test]
fn retries_skip_a_draining_node() {
    const RETRIES: usize = 12;
    let release = Arc::new(AtomicBool::new(false));
    let fails = failing_once_released(&release);
    let (drains, stays) = (
        StallingDataNode::start_serving(successful_reply),
        StallingDataNode::start_serving(successful_reply),
    );
    let fixture = Fixture::long_timeouts(vec![up("fails", fails.addr)]);
    let held: Vec<_> =
        (0..RETRIES).map(|_| spawn_query(fixture.addr(), "tag-lookup", &[HELD_SHARD])).collect();
    let out = || fails.arrivals().len();
    wait_until("the held parts", || out() >= 3);
    fixture.change(&[up("drains", drains.addr), up("stays", stays.addr)]);
    fixture.send_queries(QUERIES);
    assert!(!drains.arrivals().is_empty());
    let updated_at = fixture.change(&[in_state("draining", "drains", drains.addr)]);
    fixture.query_past_the_grace(updated_at);
    release.store(true, Ordering::SeqCst);
    held.into_iter().for_each(|held| drop(expect_answer(held, "a retried part")));
    assert_eq!(drains.parts_begun_after(updated_at + DRAIN_GRACE), []);
}

/// Parts are overdue after a data node has drained. Their hedges must go to the remaining node.
#[test]
fn hedges_skip_a_draining_node() {
    let release = Arc::new(AtomicBool::new(false));
    let holds = StallingDataNode::start_serving(holding(&release));
    let (drains, stays) = (
        StallingDataNode::start_serving(successful_reply),
        StallingDataNode::start_serving(successful_reply),
    );
    let members = vec![up("holds", holds.addr), up("drains", drains.addr), up("stays", stays.addr)];
    let short_aim = |discovery| {
        TestCluster { partition_groups: 1, replicas: 1, ..TestCluster::default() }.config(discovery)
    };
    let fixture = Fixture::start(short_aim, "", members);
    fixture.send_queries(QUERIES);
    let updated_at = fixture.change(&[in_state("draining", "drains", drains.addr)]);
    fixture.query_past_the_grace(updated_at);
    let hedges = || -> u64 {
        let ledger = fixture.coordinator.ledger_snapshot().expect("the core answers");
        ledger.nodes.iter().map(|node| node.attempts.hedges).sum()
    };
    wait_until("two hedges", || {
        // First sends continue, because hedges are limited to a tenth of them.
        fixture.send_queries(QUERIES);
        let held = spawn_query(fixture.addr(), "tag-lookup", &[HELD_SHARD]);
        expect_answer(held, "a part that one node holds");
        hedges() >= 2
    });
    assert_eq!(drains.parts_begun_after(updated_at + DRAIN_GRACE), []);
    release.store(true, Ordering::SeqCst);
}

/// A data node drains between the two phases of a query. The parts of the second phase must go to the remaining
/// node, whichever node answered the first phase.
#[test]
fn second_phase_skips_a_draining_node() {
    let (release, slow) = gated_reply();
    let (drains, stays) =
        (StallingDataNode::start_serving(slow.clone()), StallingDataNode::start_serving(slow));
    let fixture = Fixture::long_timeouts(vec![up("drains", drains.addr), up("stays", stays.addr)]);
    let parts = || drains.arrivals().len() + stays.arrivals().len();
    let mut held = Vec::new();
    wait_until("a part of the first phase at each data node", || {
        if !drains.arrivals().is_empty() && !stays.arrivals().is_empty() {
            return true;
        }
        let before = parts();
        held.push(spawn_query(fixture.addr(), "monthly-settle", &[0, 1, 2, 3]));
        wait_until("the parts of the first phase", || parts() > before);
        false
    });
    let updated_at = fixture.change(&[in_state("draining", "drains", drains.addr)]);
    // Nothing is answered before the release, so no queries can fill the grace.
    wait_until("the end of the grace", || updated_at.elapsed() > DRAIN_GRACE);
    release.store(true, Ordering::SeqCst);
    held.into_iter().for_each(|held| drop(expect_answer(held, "a query in two phases")));
    assert_eq!(drains.parts_begun_after(updated_at + DRAIN_GRACE), []);
    assert!(stays.arrivals().iter().any(|a| a.id.ends_with(".fetch")));
}

// ---- Frames that wait for room in a socket ----

/// Number of parts and text size of a query whose call exceeds a socket's buffer.
const LARGE_PARTS: usize = 80;
const LARGE_TEXT_BYTES: usize = 60_000;

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

/// Settings for calls of many parts and connections with many parts in flight.
fn large_calls(discovery: SocketAddr) -> String {
    let cluster = TestCluster {
        partition_groups: 1,
        replicas: 1,
        ranges: LARGE_PARTS as u32,
        max_open: 4000,
        ..TestCluster::default()
    };
    let calls = format!(r#""batch":{LARGE_PARTS}"#);
    let config = config(&cluster, discovery).replace(r#""batch":1"#, &calls);
    config.replace(r#""multiplex":32"#, r#""multiplex":1000"#)
}

/// Frames wait behind a full socket, and the data node drains or is removed. A frame whose first byte is written may
/// continue, no other may start, and other nodes must answer the waiting parts. The coordinator closes a connection
/// once a write has taken half a second; if that happens before the update, nothing waits, and the test tries again.
#[test]
fn frames_behind_a_full_socket_do_not_start_after_the_update() {
    const MAX_TRIES: usize = 20;
    for update in CLOSING_UPDATES {
        assert!(
            (0..MAX_TRIES).any(|_| updates_while_a_frame_waits(update)),
            "{update:?}: in none of {MAX_TRIES} tries did the update arrive while a frame was waiting"
        );
    }
}

/// Returns whether the update arrived while the frame was waiting.
fn updates_while_a_frame_waits(update: ClosingUpdate) -> bool {
    let (full, stays) = (
        StallingDataNode::start_without_reading(successful_reply),
        StallingDataNode::start_serving(successful_reply),
    );
    let fixture = Fixture::start(large_calls, "", vec![up("full", full.addr)]);
    let addr = fixture.addr();
    let started = || -> usize {
        let ledger = fixture.coordinator.ledger_snapshot().expect("the core answers");
        ledger.nodes.iter().map(|node| node.attempts.started as usize).sum()
    };
    let ask = |name: &'static str, parts, text| {
        let before = started();
        let client = thread::spawn(move || {
            let mut stream = TcpStream::connect(addr).unwrap();
            stream.set_read_timeout(Some(ANSWER_LIMIT)).unwrap();
            stream.write_all(&sized_query_bytes(name, parts, text)).unwrap();
            read_answer(&mut BufReader::new(stream)).ok()
        });
        wait_until("the call to start", || started() >= before + parts);
        client
    };
    // These may fail: more parts may be lost with the connection than can be retried.
    drop(ask("large", LARGE_PARTS, LARGE_TEXT_BYTES));
    drop(ask("larger", LARGE_PARTS, LARGE_TEXT_BYTES));
    let waiting = ask("waits", 1, 8);
    fixture.change(&[up("stays", stays.addr)]);
    let dials = fixture.dials();
    let updated_at = update.apply(&fixture, ("full", full.addr), &[up("stays", stays.addr)]);
    // The coordinator dials the other node right after the update; only a second connection to this one counts.
    if dials > 1 || full.connections() > 1 {
        return false;
    }
    expect_answer(waiting, "the call that waited for room");
    wait_until("the end of the grace", || updated_at.elapsed() > DRAIN_GRACE);
    assert!(stays.arrivals().iter().any(|a| a.id == "waits.0"), "{update:?}");
    full.start_reading();
    // The frame that had started arrives complete, or its connection was closed meanwhile.
    let ended = || full.connections() > 0 && full.open_connections() == 0;
    wait_until("the frame that had started", || full.arrivals().len() >= LARGE_PARTS || ended());
    let begun: Vec<_> = full.arrivals().into_iter().filter(|a| a.id == "waits.0").collect();
    assert_eq!(begun, [], "{update:?}");
    true
}

// ---- Other processes and interfaces ----

/// An older process ends while a newer one runs on the same listener. The older one must apply drains until it ends.
#[test]
fn older_process_on_a_shared_listener_applies_drains() {
    let (drains, stays) = (
        StallingDataNode::start_serving(successful_reply),
        StallingDataNode::start_serving(successful_reply),
    );
    let discovery = Discovery::start("127.0.0.1:0", vec![up("drains", drains.addr), up("stays", stays.addr)]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let config = long_timeouts(discovery.addr);
    let older = Program::start_with(&config, Some(&listener));
    // Each connection is used once after the drain, because the ending process asks its clients to close.
    let connect = |addr: SocketAddr| -> Vec<TcpStream> {
        let open = (0..QUERIES).map(|_| TcpStream::connect(addr).unwrap());
        open.map(|mut stream| (query_on(&mut stream), stream).1).collect()
    };
    let of_older = connect(older.addr);
    let newer = Program::start_with(&config, Some(&listener));
    wait_until("both watches", || discovery.watch_requests() == 2);
    older.signal("TERM");
    let updated_at = Instant::now();
    discovery.set_state("drains", "draining");
    wait_until("the end of the grace", || updated_at.elapsed() > DRAIN_GRACE);
    let answered = of_older.into_iter().filter_map(|mut stream| query_on(&mut stream)).count();
    assert!(answered > 0, "the older process answered no query");
    (0..QUERIES).for_each(|_| assert_eq!(query(newer.addr, "tag-lookup", &[0, 1]).unwrap().status, 200));
    assert_eq!(drains.parts_begun_after(updated_at + DRAIN_GRACE), []);
    assert_eq!(stays.parts_begun_after(updated_at + DRAIN_GRACE).len(), 2 * (answered + QUERIES as usize));
    older.wait_for_exit();
}

/// Sends one query on a connection; returns the status, or `None` if the connection was closed.
fn query_on(stream: &mut TcpStream) -> Option<u16> {
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

/// Answers with a desk value of a set without rows.
fn desk_value(part: &Part) -> NodeReply {
    let mut history = History::default();
    history.change(|_| {});
    let value = desk_stand_in::replica_value(history.snapshot(1), 1, &part.text, ValueOptions::default());
    NodeReply::Answer(200, 0, value.expect("a text in the form of the desk"))
}

/// Desk requests are queries of the core like any others and must follow the drain rule.
#[test]
fn desk_queries_skip_a_draining_node() {
    let (drains, stays) =
        (StallingDataNode::start_serving(desk_value), StallingDataNode::start_serving(desk_value));
    let fixture =
        Fixture::start(long_timeouts, DESK, vec![up("drains", drains.addr), up("stays", stays.addr)]);
    let desk = fixture.coordinator.aggregation.unwrap();
    let ask = || {
        let answer = send_request(desk, &post_bytes("/v1/sets/accounts/query", r#"{"op":"rank"}"#)).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.body);
    };
    wait_until("parts of the desk at each", || {
        ask();
        !drains.arrivals().is_empty() && !stays.arrivals().is_empty()
    });
    let updated_at = fixture.change(&[in_state("draining", "drains", drains.addr)]);
    wait_until("the end of the grace", || updated_at.elapsed() > DRAIN_GRACE);
    let before = stays.arrivals().len();
    (0..QUERIES).for_each(|_| ask());
    assert!(stays.arrivals().len() >= before + QUERIES as usize);
    assert_eq!(drains.parts_begun_after(updated_at + DRAIN_GRACE), []);
}

// ---- Feature servers ----

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
/// Number of features of a range and of a page.
const RANGE_FEATURES: usize = 5;
const PAGE_FEATURES: usize = 2;

fn request_features(addr: SocketAddr) -> JoinHandle<Option<Answer>> {
    thread::spawn(move || {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(ANSWER_LIMIT)).unwrap();
        let request = "GET /collections/plazas/items?limit=100 HTTP/1.1\r\nHost: edge\r\n\r\n";
        stream.write_all(request.as_bytes()).unwrap();
        read_answer(&mut BufReader::new(stream)).ok()
    })
}

fn expect_all_features(query: JoinHandle<Option<Answer>>, description: &str) {
    let body = expect_answer(query, description).body;
    for (range, number) in (0..RANGES).flat_map(|r| (0..RANGE_FEATURES).map(move |n| (r, n))) {
        assert!(body.contains(&format!(r#""{range}-{number}""#)), "{description}: {range}-{number}");
    }
}

/// Pages wait for a connection that hangs, and their server drains, is removed or moves. The ranges must be read from
/// another server at once.
#[test]
fn pages_waiting_for_a_connection_are_rerouted_at_once() {
    for update in CLOSING_UPDATES.map(Some).into_iter().chain([None]) {
        let late = StallingDataNode::start_unreachable(successful_reply);
        let stays = FeatureServer::start(|query| feature_store_reply(query, RANGE_FEATURES, PAGE_FEATURES));
        let fixture = Fixture::start(features_with_long_timeouts, FEATURES, vec![up("late", late.addr)]);
        let waiting = request_features(fixture.coordinator.features.unwrap());
        wait_until("the dials", || fixture.dials() > 0);
        match update {
            Some(update) => {
                fixture.change(&[up("stays", stays.addr)]);
                update.apply(&fixture, ("late", late.addr), &[up("stays", stays.addr)]);
            }
            None => drop(fixture.change(&[up("late", stays.addr)])),
        }
        expect_all_features(waiting, &format!("{update:?}"));
    }
}

/// A feature server moves while pages are requested from it. No further page may be requested from its earlier address,
/// neither of the range being read nor, on the connection that is idle afterwards, of another range.
#[test]
fn no_page_is_requested_from_an_earlier_address() {
    let release = Arc::new(AtomicBool::new(false));
    let held = release.clone();
    let old = FeatureServer::start(move |query| {
        wait_until("the release", || held.load(Ordering::SeqCst));
        feature_store_reply(query, RANGE_FEATURES, RANGE_FEATURES)
    });
    let new = FeatureServer::start(|query| feature_store_reply(query, RANGE_FEATURES, PAGE_FEATURES));
    let fixture = Fixture::start(features_with_long_timeouts, FEATURES, vec![up("moves", old.addr)]);
    let ogc = fixture.coordinator.features.unwrap();
    let reading = request_features(ogc);
    // The first page of each range; all later pages are requested after the move.
    wait_until("the pages", || old.queries().len() == RANGES);
    fixture.change(&[up("moves", new.addr)]);
    release.store(true, Ordering::SeqCst);
    expect_all_features(reading, "the collection that was being read");
    for _ in 0..QUERIES {
        expect_all_features(request_features(ogc), "the collection requested after the move");
    }
    let after = old.queries().split_off(RANGES);
    assert!(after.is_empty(), "{} pages requested from the earlier address", after.len());
}
