//! The stricter terms, each forced on real sockets (docs/design/stricter-terms.md): what may begin for a client that has
//! left, what time a data node is told, and that whatever is read gets its final answer.

mod harness;

use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use curlewdeck::startup::Coordinator;

use harness::scripted::{chunk, list, Scripted, WATCH};
use harness::stand_in::{read_answer, Answer, DataNode, Discovery, NodeReply, Part};
use harness::{held_back, member, query, query_bytes, ready, served, start, two, until, TestCluster};

/// Far longer than anything here takes, and an end all the same.
const LONG: Duration = Duration::from_secs(60);
/// What begins for a client that has left begins within this of its leaving.
const LEFT_GRACE: Duration = Duration::from_millis(100);
/// So much more than what is left to the client a data node may be told.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// The time that clients give whose deadlines are looked at.
const PATIENCE: Duration = Duration::from_secs(5);

/// One test at a time: their coordinators share one worker.
fn alone() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How long the threads of this process have waited for a processor, all together, as the system counts it: what is seen
/// here is seen that much late at most.
fn waited_for_processors() -> Duration {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let waited = tasks.filter_map(|task| {
        // A thread may end meanwhile. Its line says how long it ran, how long it waited, and how often it ran.
        let line = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        line.split(' ').nth(1)?.parse::<u64>().ok()
    });
    Duration::from_nanos(waited.sum())
}

/// A request on a connection of its own.
struct Asked {
    stream: TcpStream,
    id: String,
    at: Instant,
    waited: Duration,
}

impl Asked {
    fn new(addr: SocketAddr, class: &str, shards: &[u32]) -> Self {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Self::on(stream, class, shards)
    }

    fn on(mut stream: TcpStream, class: &str, shards: &[u32]) -> Self {
        let bytes = query_bytes(class, shards, &format!("{}m", PATIENCE.as_millis()));
        let id = String::from_utf8_lossy(&bytes)
            .lines()
            .find_map(|l| l.strip_prefix("X-Request-ID: ").map(str::to_string));
        let (waited, at) = (waited_for_processors(), Instant::now());
        stream.write_all(&bytes).unwrap();
        Self { stream, id: id.unwrap(), at, waited }
    }

    /// Another one right behind it.
    fn ahead(&self, class: &str, shards: &[u32]) -> Self {
        Self::on(self.stream.try_clone().unwrap(), class, shards)
    }

    fn answer(&self) -> std::io::Result<Answer> {
        read_answer(&mut BufReader::new(self.stream.try_clone().unwrap()))
    }

    fn closes(&self) -> Instant {
        self.stream.shutdown(Shutdown::Both).unwrap();
        Instant::now()
    }

    /// How much later than it happened something may be seen that began since it was asked: next to nothing at rest.
    fn seen_late(&self) -> Duration {
        waited_for_processors().saturating_sub(self.waited)
    }

    /// Its attempts, and when each began.
    fn attempts(&self, nodes: &[&DataNode]) -> Vec<(Part, Instant)> {
        let all = nodes.iter().flat_map(|node| node.begun());
        all.filter(|(part, _)| part.id.starts_with(&self.id)).collect()
    }

    /// That none of its attempts began later than is allowed after its client left.
    fn none_after(&self, left: Instant, nodes: &[&DataNode]) {
        for (part, begun) in self.attempts(nodes) {
            let late = begun.saturating_duration_since(left);
            assert!(
                late <= LEFT_GRACE + self.seen_late(),
                "{} began {late:?} after its client had left",
                part.id
            );
        }
    }

    /// That no attempt was told more time than was left to the client; returns how many there were.
    fn deadlines_kept(&self, nodes: &[&DataNode]) -> usize {
        let attempts = self.attempts(nodes);
        for (part, begun) in &attempts {
            let told = part.list.split(',').find_map(|f| f.strip_prefix("d=")).unwrap();
            let told = Duration::from_millis(told.parse().unwrap());
            let left = PATIENCE.saturating_sub(begun.duration_since(self.at));
            assert!(
                told <= left + DEADLINE_SLACK + self.seen_late(),
                "{} is told {told:?} where {left:?} is left",
                part.id
            );
        }
        attempts.len()
    }
}

fn count(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::SeqCst)
}

/// Waits until the query of a client that leaves has ended: with its leaving, or with an answer that was quicker.
fn gone(coordinator: &Coordinator) {
    let c = &coordinator.core.counters;
    let ended = [
        &c.clients_disconnected,
        &c.answers_complete,
        &c.answers_partial,
        &c.queries_rejected,
        &c.queries_failed,
    ];
    until("the leaving", || ended.iter().any(|end| count(end) > 0));
}

/// A coordinator that knows a list from before its start, which is not confirmed yet; its call for the list is open.
fn unconfirmed(nodes: &[(&str, u32, SocketAddr)]) -> (Coordinator, TcpStream) {
    let (discovery, addr) = Scripted::new();
    let known = format!(r#""known":{},"seed""#, list(1, nodes));
    // Aims are long: what waits for the list is not refused for it.
    let config =
        TestCluster::default().config(addr).replace(r#""aim_ns":1000000000"#, r#""aim_ns":60000000000"#);
    let coordinator = start(&config.replacen(r#""seed""#, &known, 1), "");
    let (call, _) = discovery.call();
    (coordinator, call)
}

fn confirmed(call: &mut TcpStream, nodes: &[(&str, u32, SocketAddr)]) {
    call.write_all(&[WATCH, &chunk(&(list(2, nodes) + "\n"))].concat()).unwrap();
}

/// A data node's place at which connections do not come up for now: as many wait there as it takes.
fn crowded() -> (TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let mut waiting = Vec::new();
    loop {
        match TcpStream::connect_timeout(&addr, Duration::from_millis(300)) {
            Ok(stream) => waiting.push(stream),
            Err(e) if e.kind() == ErrorKind::TimedOut => return (listener, waiting),
            Err(e) => panic!("{e}"),
        }
    }
}

/// A coordinator of one data node, at whose place connections do not come up for now.
fn behind_a_crowd() -> (Coordinator, Discovery, TcpListener, Vec<TcpStream>) {
    let (listener, waiting) = crowded();
    let discovery = Discovery::start("127.0.0.1:0", vec![member("a", 0, listener.local_addr().unwrap())]);
    let coordinator =
        TestCluster { cells: 1, in_a_row: 1, ..TestCluster::default() }.start(discovery.addr, "");
    ready(&coordinator);
    (coordinator, discovery, listener, waiting)
}

// ---- Clients that leave. ----

/// A query whose list is not confirmed when its client leaves: nothing of it goes out once it is.
#[test]
fn nothing_begins_for_a_client_that_left_before_the_list_was_confirmed() {
    let _alone = alone();
    let (a, b) = (DataNode::start(served), DataNode::start(served));
    let nodes = [("a", 0, a.addr), ("b", 1, b.addr)];
    let (coordinator, mut call) = unconfirmed(&nodes);
    let asked = Asked::new(coordinator.listen, "tag-lookup", &[0, 1]);
    until("the query", || count(&coordinator.core.counters.queries_accepted) == 1);
    let left = asked.closes();
    gone(&coordinator);
    confirmed(&mut call, &nodes);
    assert_eq!(query(coordinator.listen, "tag-lookup", &[0, 1]).unwrap().status, 200);
    asked.none_after(left, &[&a, &b]);
}

/// A query whose connection to the data node is not up when its client leaves: nothing of it goes over that one.
#[test]
fn nothing_begins_for_a_client_that_left_before_the_connection_was_up() {
    let _alone = alone();
    let (coordinator, _discovery, listener, waiting) = behind_a_crowd();
    let asked = Asked::new(coordinator.listen, "tag-lookup", &[0]);
    until("the dial", || count(&coordinator.core.counters.dials) > 0);
    let left = asked.closes();
    gone(&coordinator);
    let node = DataNode::at(listener, served);
    drop(waiting);
    assert_eq!(query(coordinator.listen, "tag-lookup", &[1]).unwrap().status, 200);
    asked.none_after(left, &[&node]);
    assert!(asked.attempts(&[&node]).is_empty());
}

/// A client that leaves in the moment in which its attempt fails, once before and once after it: there is no retry.
#[test]
fn nothing_is_tried_again_for_a_client_that_left_as_the_attempt_failed() {
    let _alone = alone();
    for round in 0..10 {
        let failing = Arc::new(AtomicBool::new(false));
        let fails = {
            let failing = failing.clone();
            move |part: &Part| {
                until("the failure", || failing.load(Ordering::SeqCst));
                match part.shard {
                    0 => NodeReply::Answer(500, 0, String::new()),
                    _ => served(part),
                }
            }
        };
        let (a, b, discovery) = two(fails.clone(), fails);
        let coordinator = TestCluster::default().start(discovery.addr, "");
        ready(&coordinator);
        let asked = Asked::new(coordinator.listen, "tag-lookup", &[0]);
        until("the attempt", || !asked.attempts(&[&a, &b]).is_empty());
        let left = if round % 2 == 0 {
            let left = asked.closes();
            failing.store(true, Ordering::SeqCst);
            left
        } else {
            failing.store(true, Ordering::SeqCst);
            asked.closes()
        };
        gone(&coordinator);
        assert_eq!(query(coordinator.listen, "tag-lookup", &[1]).unwrap().status, 200);
        asked.none_after(left, &[&a, &b]);
    }
}

/// A client that leaves about when its part would be hedged: never later than is allowed.
#[test]
fn nothing_is_hedged_for_a_client_that_has_left() {
    let _alone = alone();
    // How long after the first attempt the second one begins, as it is with a client that stays.
    let hedged_after = {
        let (a, b, discovery) = two(|_| NodeReply::Silence, |_| NodeReply::Silence);
        let coordinator = TestCluster::default().start(discovery.addr, "");
        ready(&coordinator);
        let asked = || Asked::new(coordinator.listen, "tag-lookup", &[0]);
        let mut asked_last = asked();
        until("the hedged copy", || {
            // One that was held up for too long is refused, and another one is asked.
            if asked_last.at.elapsed() > PATIENCE {
                asked_last = asked();
            }
            asked_last.attempts(&[&a, &b]).len() == 2
        });
        let asked = asked_last;
        let mut begun: Vec<Instant> = asked.attempts(&[&a, &b]).iter().map(|a| a.1).collect();
        begun.sort_unstable();
        begun[1] - begun[0]
    };
    let rounds = [-60, -20, -5, 0, 5, 20].map(|ms: i64| {
        thread::spawn(move || {
            let (a, b, discovery) = two(|_| NodeReply::Silence, |_| NodeReply::Silence);
            let coordinator = TestCluster::default().start(discovery.addr, "");
            ready(&coordinator);
            let asked = Asked::new(coordinator.listen, "tag-lookup", &[0]);
            until("the attempt", || !asked.attempts(&[&a, &b]).is_empty());
            let first = asked.attempts(&[&a, &b])[0].1;
            let leaves = (first + hedged_after).checked_add(Duration::from_millis(ms.unsigned_abs()));
            let leaves = if ms < 0 {
                first + hedged_after - Duration::from_millis(ms.unsigned_abs())
            } else {
                leaves.unwrap()
            };
            thread::sleep(leaves.saturating_duration_since(Instant::now()));
            let left = asked.closes();
            // All moments at which more would go out come and pass.
            thread::sleep(2 * hedged_after);
            asked.none_after(left, &[&a, &b]);
            gone(&coordinator);
        })
    });
    rounds.into_iter().for_each(|round| round.join().unwrap());
}

/// A client that leaves as the first step becomes whole, once before and once after: the second step does not begin later
/// than is allowed.
#[test]
fn no_second_step_begins_for_a_client_that_has_left() {
    let _alone = alone();
    for round in 0..10 {
        let (release, slow) = held_back();
        let (a, b, discovery) = two(slow.clone(), slow);
        let coordinator = TestCluster::default().start(discovery.addr, "");
        ready(&coordinator);
        let asked = Asked::new(coordinator.listen, "monthly-settle", &[0, 1, 2, 3]);
        until("the first step", || asked.attempts(&[&a, &b]).len() >= 4);
        let left = if round % 2 == 0 {
            let left = asked.closes();
            release.store(true, Ordering::SeqCst);
            left
        } else {
            release.store(true, Ordering::SeqCst);
            asked.closes()
        };
        assert_eq!(query(coordinator.listen, "tag-lookup", &[0, 1]).unwrap().status, 200);
        thread::sleep(LEFT_GRACE);
        asked.none_after(left, &[&a, &b]);
    }
}

/// A client that ends its way out only looks, on the wire, like one that has closed: it counts as gone.
#[test]
fn a_client_that_ends_its_way_out_has_gone() {
    let _alone = alone();
    let (a, b, discovery) = two(|_| NodeReply::Silence, |_| NodeReply::Silence);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let asked = Asked::new(coordinator.listen, "tag-lookup", &[0]);
    until("the attempt", || !asked.attempts(&[&a, &b]).is_empty());
    asked.stream.shutdown(Shutdown::Write).unwrap();
    let left = Instant::now();
    gone(&coordinator);
    until("the word that it is given up", || !a.given_up().is_empty() || !b.given_up().is_empty());
    asked.none_after(left, &[&a, &b]);
}

// ---- The time that data nodes are told. ----

/// A retry, a hedged copy and a second step are told what is left by then.
#[test]
fn later_attempts_are_told_what_is_left_by_then() {
    let _alone = alone();
    let late = Duration::from_millis(600);
    for (what, class) in
        [("retry", "tag-lookup"), ("hedged copy", "tag-lookup"), ("second step", "monthly-settle")]
    {
        let first = Arc::new(AtomicBool::new(true));
        let reply = move |part: &Part| {
            if part.id.ends_with(".fetch") || !first.swap(false, Ordering::SeqCst) && what != "second step" {
                return served(part);
            }
            match what {
                "hedged copy" => NodeReply::Silence,
                "retry" => {
                    thread::sleep(Duration::from_millis(300));
                    NodeReply::Answer(500, 0, String::new())
                }
                _ => {
                    thread::sleep(late);
                    served(part)
                }
            }
        };
        let (a, b, discovery) = two(reply.clone(), reply);
        let coordinator = TestCluster::default().start(discovery.addr, "");
        ready(&coordinator);
        let asked = Asked::new(coordinator.listen, class, &[0]);
        assert_eq!(asked.answer().unwrap().status, 200, "{what}");
        assert!(asked.deadlines_kept(&[&a, &b]) >= 2, "{what}");
    }
}

/// A query that waited for the list to be confirmed is told what is left by then.
#[test]
fn what_waited_for_the_list_is_told_what_is_left_by_then() {
    let _alone = alone();
    let (a, b) = (DataNode::start(served), DataNode::start(served));
    let nodes = [("a", 0, a.addr), ("b", 1, b.addr)];
    let (coordinator, mut call) = unconfirmed(&nodes);
    let asked = Asked::new(coordinator.listen, "tag-lookup", &[0, 1]);
    until("the query", || count(&coordinator.core.counters.queries_accepted) == 1);
    thread::sleep(Duration::from_millis(600));
    confirmed(&mut call, &nodes);
    assert_eq!(asked.answer().unwrap().status, 200);
    assert!(asked.deadlines_kept(&[&a, &b]) >= 2);
}

/// What waited for a connection to come up is told what is left by then.
#[test]
fn what_waited_for_a_connection_is_told_what_is_left_by_then() {
    let _alone = alone();
    let (coordinator, _discovery, listener, waiting) = behind_a_crowd();
    let asked = Asked::new(coordinator.listen, "tag-lookup", &[0]);
    until("the dial", || count(&coordinator.core.counters.dials) > 0);
    thread::sleep(Duration::from_millis(400));
    let node = DataNode::at(listener, served);
    drop(waiting);
    assert_eq!(asked.answer().unwrap().status, 200);
    assert!(asked.deadlines_kept(&[&node]) >= 1);
}

/// A request that was sent ahead of the answer before it waits for its turn, and its client's time runs meanwhile.
#[test]
fn what_was_sent_ahead_is_told_what_is_left_by_then() {
    let _alone = alone();
    let (release, slow) = held_back();
    let (a, b, discovery) = two(slow.clone(), slow);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let first = Asked::new(coordinator.listen, "tag-lookup", &[0]);
    until("the first attempt", || !first.attempts(&[&a, &b]).is_empty());
    let second = first.ahead("tag-lookup", &[1]);
    thread::sleep(Duration::from_millis(800));
    release.store(true, Ordering::SeqCst);
    // Both answers come on the one connection.
    let mut reader = BufReader::new(first.stream.try_clone().unwrap());
    assert_eq!(read_answer(&mut reader).unwrap().status, 200);
    assert_eq!(read_answer(&mut reader).unwrap().status, 200);
    assert!(first.deadlines_kept(&[&a, &b]) >= 1);
    assert!(second.deadlines_kept(&[&a, &b]) >= 1);
}

/// One whose time is over when its turn comes is refused, and nothing of it goes out.
#[test]
fn what_was_sent_ahead_and_is_too_late_at_its_turn_is_refused() {
    let _alone = alone();
    let (release, slow) = held_back();
    let (a, b, discovery) = two(slow.clone(), slow);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let mut stream = TcpStream::connect(coordinator.listen).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
    until("the first attempt", || a.parts().len() + b.parts().len() > 0);
    stream.write_all(&query_bytes("tag-lookup", &[1], "200m")).unwrap();
    thread::sleep(Duration::from_millis(400));
    release.store(true, Ordering::SeqCst);
    let mut reader = BufReader::new(stream);
    assert_eq!(read_answer(&mut reader).unwrap().status, 200);
    assert_eq!(read_answer(&mut reader).unwrap().status, 503);
    assert!(a.parts().iter().chain(&b.parts()).all(|p| p.shard == 0), "sent on too late");
}

// ---- Final answers. ----

/// Many new connections at once, each with a request, at a coordinator with few places: whatever was sent on to data nodes
/// is answered, and so is every request that was read.
#[test]
fn a_request_on_a_new_connection_is_answered_or_never_sent_on() {
    let _alone = alone();
    let (a, b, discovery) = two(served, served);
    let coordinator = TestCluster { sockets: 128, ..TestCluster::default() }.start(discovery.addr, "");
    ready(&coordinator);
    let addr = coordinator.listen;
    // They hold places, and say nothing.
    let idle: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(addr).unwrap()).collect();
    let clients: Vec<_> = (0..300)
        .map(|n| {
            thread::spawn(move || {
                let asked = Asked::new(addr, "tag-lookup", &[n % 4]);
                let answer = asked.answer().ok().map(|a| a.status);
                (asked, answer)
            })
        })
        .collect();
    let mut answered = 0;
    for client in clients {
        let (asked, answer) = client.join().unwrap();
        let sent_on = !asked.attempts(&[&a, &b]).is_empty();
        match answer {
            Some(200) => answered += 1,
            Some(status) => assert!(matches!(status, 503 | 504), "{status}"),
            // Turned away unread: it may be closed over, and its client asks anew.
            None => assert!(!sent_on, "{} was sent on and got no answer", asked.id),
        }
    }
    assert!(answered > 0);
    drop(idle);
}

/// Trouble at data nodes and with other clients: each request gets its final answer, within its time and half a second.
#[test]
fn trouble_elsewhere_frees_no_request_of_its_answer() {
    let _alone = alone();
    let turn = Arc::new(AtomicU64::new(0));
    let troubled = move |part: &Part| match turn.fetch_add(1, Ordering::SeqCst) % 7 {
        0 => NodeReply::Silence,
        1 => NodeReply::Close,
        2 => NodeReply::Answer(500, 0, String::new()),
        3 => NodeReply::Answer(503, 0, String::new()),
        4 => NodeReply::Raw(vec![1, 0, 0, 0, b'?']),
        // Half an answer, and no end of it.
        5 => NodeReply::Raw(vec![200, 0, 0, 0, b'O', b'x']),
        _ => served(part),
    };
    let (_a, _b, discovery) = two(troubled.clone(), troubled);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let addr = coordinator.listen;
    let done = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..4)
        .map(|kind| {
            let done = done.clone();
            thread::spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    let whole = query_bytes("tag-lookup", &[0, 1], "1000m");
                    let bytes = match kind {
                        0 => whole[..whole.len() / 2].to_vec(),
                        1 => b"no request at all\r\n\r\n".to_vec(),
                        2 => [whole, vec![b'x'; 30_000]].concat(),
                        _ => whole,
                    };
                    let mut stream = TcpStream::connect(addr).unwrap();
                    // It may be reset meanwhile: it is a bad client.
                    let _ = stream.write_all(&bytes);
                    // Their connections linger for a second: there are places for all.
                    thread::sleep(Duration::from_millis(25));
                }
            })
        })
        .collect();
    let clients: Vec<_> = (0..16)
        .map(|n: u32| {
            thread::spawn(move || {
                for turn in 0..6 {
                    let class = ["tag-lookup", "plaza-ranking", "monthly-settle"][(n as usize + turn) % 3];
                    let (waited, start) = (waited_for_processors(), Instant::now());
                    let answer =
                        harness::stand_in::exchange(addr, &query_bytes(class, &[n % 4, (n + 1) % 4], "800m"));
                    let took = start.elapsed();
                    let status =
                        answer.unwrap_or_else(|e| panic!("{class}: no answer after {took:?}: {e}")).status;
                    assert!(matches!(status, 200 | 429 | 503 | 504), "{class}: {status}");
                    let most = Duration::from_millis(1300) + waited_for_processors().saturating_sub(waited);
                    assert!(took <= most, "{class}: {took:?}");
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    done.store(true, Ordering::SeqCst);
    others.into_iter().for_each(|other| other.join().unwrap());
}
