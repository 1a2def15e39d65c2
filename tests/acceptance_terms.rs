//! The stricter acceptance terms (docs/design/stricter-terms.md), each forced on real sockets: no attempt begins later
//! than a short grace after its client's disconnect, data nodes get at most the client's remaining time (plus
//! `DEADLINE_SLACK`), and every request that was read gets a final answer.

mod harness;

use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use curlewdeck::startup::Coordinator;

use harness::scripted::{chunk, complete_list, ScriptedDiscoveryServer, WATCH_RESPONSE_HEAD};
use harness::stand_in::{read_answer, Answer, DataNode, Discovery, NodeReply, Part};
use harness::{
    gated_reply, member, query, query_bytes, start, start_two_data_nodes, successful_reply, wait_until,
    wait_until_healthy, TestCluster,
};

/// Read timeout of the clients, far longer than any exchange of these tests takes.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time after a client's disconnect at which an attempt for it may still begin.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// Maximum excess of the time that a data node is given over the client's remaining time.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Timeout that the clients send with their queries.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Serializes the tests of this file, whose coordinators share one worker.
fn exclusive_test() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Total time that this process's threads have waited for a processor, by the kernel's accounting. It bounds how late
/// an event is observed here.
fn processor_wait() -> Duration {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let waited = tasks.filter_map(|task| {
        // A thread may end meanwhile. The fields are the time on a processor, the time waiting for one, and the number
        // of time slices.
        let line = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        line.split(' ').nth(1)?.parse::<u64>().ok()
    });
    Duration::from_nanos(waited.sum())
}

/// A query sent by a test client.
struct SentQuery {
    stream: TcpStream,
    id: String,
    sent_at: Instant,
    /// [`processor_wait`] at `sent_at`.
    wait_before: Duration,
}

impl SentQuery {
    /// Sends a query on a new connection.
    fn new(addr: SocketAddr, class: &str, shards: &[u32]) -> Self {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        Self::on(stream, class, shards)
    }

    fn on(mut stream: TcpStream, class: &str, shards: &[u32]) -> Self {
        let bytes = query_bytes(class, shards, &format!("{}m", CLIENT_TIMEOUT.as_millis()));
        let id = String::from_utf8_lossy(&bytes)
            .lines()
            .find_map(|l| l.strip_prefix("X-Request-ID: ").map(str::to_string));
        let (wait_before, sent_at) = (processor_wait(), Instant::now());
        stream.write_all(&bytes).unwrap();
        Self { stream, id: id.unwrap(), sent_at, wait_before }
    }

    /// Pipelines another query on the same connection.
    fn pipeline(&self, class: &str, shards: &[u32]) -> Self {
        Self::on(self.stream.try_clone().unwrap(), class, shards)
    }

    fn answer(&self) -> std::io::Result<Answer> {
        read_answer(&mut BufReader::new(self.stream.try_clone().unwrap()))
    }

    /// Closes the connection; returns the moment of the disconnect.
    fn disconnect(&self) -> Instant {
        self.stream.shutdown(Shutdown::Both).unwrap();
        Instant::now()
    }

    /// Upper bound on the delay with which events since `sent_at` are observed; next to zero on an idle machine.
    fn max_observation_delay(&self) -> Duration {
        processor_wait().saturating_sub(self.wait_before)
    }

    /// The query's attempts with their start times.
    fn attempts(&self, nodes: &[&DataNode]) -> Vec<(Part, Instant)> {
        let all = nodes.iter().flat_map(|node| node.parts_with_first_byte_time());
        all.filter(|(part, _)| part.id.starts_with(&self.id)).collect()
    }

    /// Asserts that no attempt began later than the grace period after the client's disconnect.
    fn assert_no_attempt_after(&self, disconnected: Instant, nodes: &[&DataNode]) {
        for (part, begun) in self.attempts(nodes) {
            let delay = begun.saturating_duration_since(disconnected);
            assert!(
                delay <= DISCONNECT_GRACE + self.max_observation_delay(),
                "{} began {delay:?} after its client disconnected",
                part.id
            );
        }
    }

    /// Asserts that no attempt was given more time than the client had left; returns the number of attempts.
    fn assert_deadlines_respected(&self, nodes: &[&DataNode]) -> usize {
        let attempts = self.attempts(nodes);
        for (part, begun) in &attempts {
            let given = part.parameters.split(',').find_map(|f| f.strip_prefix("d=")).unwrap();
            let given = Duration::from_millis(given.parse().unwrap());
            let remaining = CLIENT_TIMEOUT.saturating_sub(begun.duration_since(self.sent_at));
            assert!(
                given <= remaining + DEADLINE_SLACK + self.max_observation_delay(),
                "{} was given {given:?} with {remaining:?} remaining",
                part.id
            );
        }
        attempts.len()
    }
}

fn count(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::SeqCst)
}

/// Waits until the query of a disconnecting client has ended, by the disconnect or by an earlier answer.
fn wait_for_query_end(coordinator: &Coordinator) {
    let c = &coordinator.core.counters;
    let ended = [
        &c.clients_disconnected,
        &c.answers_complete,
        &c.answers_partial,
        &c.queries_rejected,
        &c.queries_failed,
    ];
    wait_until("the query to end", || ended.iter().any(|end| count(end) > 0));
}

/// Starts a coordinator with a stored endpoint list that discovery has not confirmed; returns it with its open call.
fn start_with_unconfirmed_list(nodes: &[(&str, u32, SocketAddr)]) -> (Coordinator, TcpStream) {
    let (discovery, addr) = ScriptedDiscoveryServer::new();
    let known = format!(r#""known":{},"seed""#, complete_list(1, nodes));
    // A long latency goal, so that a query that waits for the list is not rejected for the wait.
    let config =
        TestCluster::default().config(addr).replace(r#""aim_ns":1000000000"#, r#""aim_ns":60000000000"#);
    let coordinator = start(&config.replacen(r#""seed""#, &known, 1), "");
    let (call, _) = discovery.accept_call();
    (coordinator, call)
}

fn confirm_list(call: &mut TcpStream, nodes: &[(&str, u32, SocketAddr)]) {
    call.write_all(&[WATCH_RESPONSE_HEAD, &chunk(&(complete_list(2, nodes) + "\n"))].concat()).unwrap();
}

/// Returns a data node's listener with a full queue, so that further connections are not established, and the
/// connections that fill the queue.
fn listener_with_full_queue() -> (TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let mut fillers = Vec::new();
    loop {
        match TcpStream::connect_timeout(&addr, Duration::from_millis(300)) {
            Ok(stream) => fillers.push(stream),
            Err(e) if e.kind() == ErrorKind::TimedOut => return (listener, fillers),
            Err(e) => panic!("{e}"),
        }
    }
}

/// Starts a coordinator of one data node, whose listener's queue is full.
fn start_with_unreachable_node() -> (Coordinator, Discovery, TcpListener, Vec<TcpStream>) {
    let (listener, fillers) = listener_with_full_queue();
    let discovery = Discovery::start("127.0.0.1:0", vec![member("a", 0, listener.local_addr().unwrap())]);
    let coordinator =
        TestCluster { partition_groups: 1, replicas: 1, ..TestCluster::default() }.start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    (coordinator, discovery, listener, fillers)
}

// ---- Client disconnects. ----

/// The client disconnects while its query waits for discovery to confirm the list. The confirmation must not start it.
#[test]
fn no_attempt_begins_if_the_client_disconnected_before_the_list_was_confirmed() {
    let _guard = exclusive_test();
    let (a, b) = (DataNode::start(successful_reply), DataNode::start(successful_reply));
    let nodes = [("a", 0, a.addr), ("b", 1, b.addr)];
    let (coordinator, mut call) = start_with_unconfirmed_list(&nodes);
    let sent = SentQuery::new(coordinator.listen, "tag-lookup", &[0, 1]);
    wait_until("the query to be accepted", || count(&coordinator.core.counters.queries_accepted) == 1);
    let disconnected = sent.disconnect();
    wait_for_query_end(&coordinator);
    confirm_list(&mut call, &nodes);
    assert_eq!(query(coordinator.listen, "tag-lookup", &[0, 1]).unwrap().status, 200);
    sent.assert_no_attempt_after(disconnected, &[&a, &b]);
}

/// The client disconnects while its query waits for a connection to the data node. Nothing of the query is sent once
/// the connection is established.
#[test]
fn no_attempt_begins_if_the_client_disconnected_before_the_connection_was_established() {
    let _guard = exclusive_test();
    let (coordinator, _discovery, listener, fillers) = start_with_unreachable_node();
    let sent = SentQuery::new(coordinator.listen, "tag-lookup", &[0]);
    wait_until("the dial", || count(&coordinator.core.counters.dials) > 0);
    let disconnected = sent.disconnect();
    wait_for_query_end(&coordinator);
    let node = DataNode::start_on(listener, successful_reply);
    drop(fillers);
    assert_eq!(query(coordinator.listen, "tag-lookup", &[1]).unwrap().status, 200);
    sent.assert_no_attempt_after(disconnected, &[&node]);
    assert!(sent.attempts(&[&node]).is_empty());
}

/// The client disconnects just before or just after its attempt fails. No retry begins later than the grace period.
#[test]
fn failed_attempt_of_a_disconnected_client_is_not_retried() {
    let _guard = exclusive_test();
    for round in 0..10 {
        let failing = Arc::new(AtomicBool::new(false));
        let fail_on_signal = {
            let failing = failing.clone();
            move |part: &Part| {
                wait_until("the failure", || failing.load(Ordering::SeqCst));
                match part.shard {
                    0 => NodeReply::Answer(500, 0, String::new()),
                    _ => successful_reply(part),
                }
            }
        };
        let (a, b, discovery) = start_two_data_nodes(fail_on_signal.clone(), fail_on_signal);
        let coordinator = TestCluster::default().start(discovery.addr, "");
        wait_until_healthy(&coordinator);
        let sent = SentQuery::new(coordinator.listen, "tag-lookup", &[0]);
        wait_until("the attempt", || !sent.attempts(&[&a, &b]).is_empty());
        let disconnected = if round % 2 == 0 {
            let disconnected = sent.disconnect();
            failing.store(true, Ordering::SeqCst);
            disconnected
        } else {
            failing.store(true, Ordering::SeqCst);
            sent.disconnect()
        };
        wait_for_query_end(&coordinator);
        assert_eq!(query(coordinator.listen, "tag-lookup", &[1]).unwrap().status, 200);
        sent.assert_no_attempt_after(disconnected, &[&a, &b]);
    }
}

/// The client disconnects shortly before or after the moment at which its part is hedged. No hedge begins later than
/// the grace period.
#[test]
fn no_hedge_begins_for_a_disconnected_client() {
    let _guard = exclusive_test();
    // Measures the hedge delay with a client that stays connected.
    let hedge_delay = {
        let (a, b, discovery) = start_two_data_nodes(|_| NodeReply::Silence, |_| NodeReply::Silence);
        let coordinator = TestCluster::default().start(discovery.addr, "");
        wait_until_healthy(&coordinator);
        let send = || SentQuery::new(coordinator.listen, "tag-lookup", &[0]);
        let mut query = send();
        wait_until("the hedge", || {
            // A query that was delayed for too long is rejected; another one takes its place.
            if query.sent_at.elapsed() > CLIENT_TIMEOUT {
                query = send();
            }
            query.attempts(&[&a, &b]).len() == 2
        });
        let mut begun: Vec<Instant> = query.attempts(&[&a, &b]).iter().map(|a| a.1).collect();
        begun.sort_unstable();
        begun[1] - begun[0]
    };
    let rounds = [-60, -20, -5, 0, 5, 20].map(|ms: i64| {
        thread::spawn(move || {
            let (a, b, discovery) = start_two_data_nodes(|_| NodeReply::Silence, |_| NodeReply::Silence);
            let coordinator = TestCluster::default().start(discovery.addr, "");
            wait_until_healthy(&coordinator);
            let sent = SentQuery::new(coordinator.listen, "tag-lookup", &[0]);
            wait_until("the attempt", || !sent.attempts(&[&a, &b]).is_empty());
            let first = sent.attempts(&[&a, &b])[0].1;
            let disconnect_at = (first + hedge_delay).checked_add(Duration::from_millis(ms.unsigned_abs()));
            let disconnect_at = if ms < 0 {
                first + hedge_delay - Duration::from_millis(ms.unsigned_abs())
            } else {
                disconnect_at.unwrap()
            };
            thread::sleep(disconnect_at.saturating_duration_since(Instant::now()));
            let disconnected = sent.disconnect();
            // Long enough for every further attempt that a connected client would get.
            thread::sleep(2 * hedge_delay);
            sent.assert_no_attempt_after(disconnected, &[&a, &b]);
            wait_for_query_end(&coordinator);
        })
    });
    rounds.into_iter().for_each(|round| round.join().unwrap());
}

/// The client disconnects just before or just after the first phase completes. The second phase does not begin later
/// than the grace period.
#[test]
fn no_second_phase_begins_for_a_disconnected_client() {
    let _guard = exclusive_test();
    for round in 0..10 {
        let (release, slow) = gated_reply();
        let (a, b, discovery) = start_two_data_nodes(slow.clone(), slow);
        let coordinator = TestCluster::default().start(discovery.addr, "");
        wait_until_healthy(&coordinator);
        let sent = SentQuery::new(coordinator.listen, "monthly-settle", &[0, 1, 2, 3]);
        wait_until("the first phase", || sent.attempts(&[&a, &b]).len() >= 4);
        let disconnected = if round % 2 == 0 {
            let disconnected = sent.disconnect();
            release.store(true, Ordering::SeqCst);
            disconnected
        } else {
            release.store(true, Ordering::SeqCst);
            sent.disconnect()
        };
        assert_eq!(query(coordinator.listen, "tag-lookup", &[0, 1]).unwrap().status, 200);
        thread::sleep(DISCONNECT_GRACE);
        sent.assert_no_attempt_after(disconnected, &[&a, &b]);
    }
}

/// A client that closes only its sending side is indistinguishable on the wire from one that has closed its connection,
/// and counts as disconnected.
#[test]
fn half_closed_client_counts_as_disconnected() {
    let _guard = exclusive_test();
    let (a, b, discovery) = start_two_data_nodes(|_| NodeReply::Silence, |_| NodeReply::Silence);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let sent = SentQuery::new(coordinator.listen, "tag-lookup", &[0]);
    wait_until("the attempt", || !sent.attempts(&[&a, &b]).is_empty());
    sent.stream.shutdown(Shutdown::Write).unwrap();
    let disconnected = Instant::now();
    wait_for_query_end(&coordinator);
    wait_until("the cancellation of the attempt", || {
        !a.cancelled_parts().is_empty() || !b.cancelled_parts().is_empty()
    });
    sent.assert_no_attempt_after(disconnected, &[&a, &b]);
}

// ---- Deadlines of data nodes. ----

/// Retries, hedges and the second phase are given the client's remaining time, not its original timeout.
#[test]
fn later_attempts_get_the_remaining_time() {
    let _guard = exclusive_test();
    let first_phase_delay = Duration::from_millis(600);
    for (kind, class) in
        [("retry", "tag-lookup"), ("hedge", "tag-lookup"), ("second phase", "monthly-settle")]
    {
        let first = Arc::new(AtomicBool::new(true));
        let reply = move |part: &Part| {
            if part.id.ends_with(".fetch") || !first.swap(false, Ordering::SeqCst) && kind != "second phase" {
                return successful_reply(part);
            }
            match kind {
                "hedge" => NodeReply::Silence,
                "retry" => {
                    thread::sleep(Duration::from_millis(300));
                    NodeReply::Answer(500, 0, String::new())
                }
                _ => {
                    thread::sleep(first_phase_delay);
                    successful_reply(part)
                }
            }
        };
        let (a, b, discovery) = start_two_data_nodes(reply.clone(), reply);
        let coordinator = TestCluster::default().start(discovery.addr, "");
        wait_until_healthy(&coordinator);
        let sent = SentQuery::new(coordinator.listen, class, &[0]);
        assert_eq!(sent.answer().unwrap().status, 200, "{kind}");
        assert!(sent.assert_deadlines_respected(&[&a, &b]) >= 2, "{kind}");
    }
}

/// The wait for the list's confirmation counts against the client's timeout.
#[test]
fn query_that_waited_for_the_list_gets_the_remaining_time() {
    let _guard = exclusive_test();
    let (a, b) = (DataNode::start(successful_reply), DataNode::start(successful_reply));
    let nodes = [("a", 0, a.addr), ("b", 1, b.addr)];
    let (coordinator, mut call) = start_with_unconfirmed_list(&nodes);
    let sent = SentQuery::new(coordinator.listen, "tag-lookup", &[0, 1]);
    wait_until("the query to be accepted", || count(&coordinator.core.counters.queries_accepted) == 1);
    thread::sleep(Duration::from_millis(600));
    confirm_list(&mut call, &nodes);
    assert_eq!(sent.answer().unwrap().status, 200);
    assert!(sent.assert_deadlines_respected(&[&a, &b]) >= 2);
}

/// The wait for a connection to the data node counts against the client's timeout.
#[test]
fn query_that_waited_for_a_connection_gets_the_remaining_time() {
    let _guard = exclusive_test();
    let (coordinator, _discovery, listener, fillers) = start_with_unreachable_node();
    let sent = SentQuery::new(coordinator.listen, "tag-lookup", &[0]);
    wait_until("the dial", || count(&coordinator.core.counters.dials) > 0);
    thread::sleep(Duration::from_millis(400));
    let node = DataNode::start_on(listener, successful_reply);
    drop(fillers);
    assert_eq!(sent.answer().unwrap().status, 200);
    assert!(sent.assert_deadlines_respected(&[&node]) >= 1);
}

/// A pipelined request waits for the answer before it. This wait counts against its client's timeout.
#[test]
fn pipelined_query_gets_the_remaining_time() {
    let _guard = exclusive_test();
    let (release, slow) = gated_reply();
    let (a, b, discovery) = start_two_data_nodes(slow.clone(), slow);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let first = SentQuery::new(coordinator.listen, "tag-lookup", &[0]);
    wait_until("the first attempt", || !first.attempts(&[&a, &b]).is_empty());
    let second = first.pipeline("tag-lookup", &[1]);
    thread::sleep(Duration::from_millis(800));
    release.store(true, Ordering::SeqCst);
    // Both answers arrive on the same connection.
    let mut reader = BufReader::new(first.stream.try_clone().unwrap());
    assert_eq!(read_answer(&mut reader).unwrap().status, 200);
    assert_eq!(read_answer(&mut reader).unwrap().status, 200);
    assert!(first.assert_deadlines_respected(&[&a, &b]) >= 1);
    assert!(second.assert_deadlines_respected(&[&a, &b]) >= 1);
}

/// A pipelined request whose timeout expires before the previous answer is rejected, and no attempt is sent for it.
#[test]
fn pipelined_query_is_rejected_if_its_timeout_expired_in_the_queue() {
    let _guard = exclusive_test();
    let (release, slow) = gated_reply();
    let (a, b, discovery) = start_two_data_nodes(slow.clone(), slow);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let mut stream = TcpStream::connect(coordinator.listen).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
    wait_until("the first attempt", || a.received_parts().len() + b.received_parts().len() > 0);
    stream.write_all(&query_bytes("tag-lookup", &[1], "200m")).unwrap();
    thread::sleep(Duration::from_millis(400));
    release.store(true, Ordering::SeqCst);
    let mut reader = BufReader::new(stream);
    assert_eq!(read_answer(&mut reader).unwrap().status, 200);
    assert_eq!(read_answer(&mut reader).unwrap().status, 503);
    assert!(
        a.received_parts().iter().chain(&b.received_parts()).all(|p| p.shard == 0),
        "forwarded an expired query"
    );
}

// ---- Final answers. ----

/// Many clients connect at once, each with a request, to a coordinator with few client connections. Every request that
/// was read or forwarded to data nodes is answered.
#[test]
fn request_on_a_new_connection_is_answered_or_never_forwarded() {
    let _guard = exclusive_test();
    let (a, b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let coordinator = TestCluster { sockets: 128, ..TestCluster::default() }.start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let addr = coordinator.listen;
    // Idle connections that take up the limit.
    let idle: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(addr).unwrap()).collect();
    let clients: Vec<_> = (0..300)
        .map(|n| {
            thread::spawn(move || {
                let query = SentQuery::new(addr, "tag-lookup", &[n % 4]);
                let status = query.answer().ok().map(|a| a.status);
                (query, status)
            })
        })
        .collect();
    let mut answered = 0;
    for client in clients {
        let (query, status) = client.join().unwrap();
        let forwarded = !query.attempts(&[&a, &b]).is_empty();
        match status {
            Some(200) => answered += 1,
            Some(status) => assert!(matches!(status, 503 | 504), "{status}"),
            // The coordinator may close a rejected connection with its request unread; the client can then retry.
            None => assert!(!forwarded, "{} was forwarded and got no answer", query.id),
        }
    }
    assert!(answered > 0);
    drop(idle);
}

/// Faults of data nodes and of other clients: each request still gets its final answer, within its timeout plus 0.5 s.
#[test]
fn every_request_gets_a_final_answer_despite_faults_of_others() {
    let _guard = exclusive_test();
    let turn = Arc::new(AtomicU64::new(0));
    let faulty = move |part: &Part| match turn.fetch_add(1, Ordering::SeqCst) % 7 {
        0 => NodeReply::Silence,
        1 => NodeReply::Close,
        2 => NodeReply::Answer(500, 0, String::new()),
        3 => NodeReply::Answer(503, 0, String::new()),
        4 => NodeReply::Raw(vec![1, 0, 0, 0, b'?']),
        // An incomplete frame.
        5 => NodeReply::Raw(vec![200, 0, 0, 0, b'O', b'x']),
        _ => successful_reply(part),
    };
    let (_a, _b, discovery) = start_two_data_nodes(faulty.clone(), faulty);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let addr = coordinator.listen;
    let done = Arc::new(AtomicBool::new(false));
    let faulty_clients: Vec<_> = (0..4)
        .map(|kind| {
            let done = done.clone();
            thread::spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    let request = query_bytes("tag-lookup", &[0, 1], "1000m");
                    let bytes = match kind {
                        0 => request[..request.len() / 2].to_vec(),
                        1 => b"no request at all\r\n\r\n".to_vec(),
                        2 => [request, vec![b'x'; 30_000]].concat(),
                        _ => request,
                    };
                    let mut stream = TcpStream::connect(addr).unwrap();
                    // The coordinator may reset the connection of a faulty client during the write.
                    let _ = stream.write_all(&bytes);
                    // Closed connections linger for a second; at this rate they stay below the connection limit.
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
                    let (wait_before, start) = (processor_wait(), Instant::now());
                    let answer = harness::stand_in::send_request(
                        addr,
                        &query_bytes(class, &[n % 4, (n + 1) % 4], "800m"),
                    );
                    let took = start.elapsed();
                    let status =
                        answer.unwrap_or_else(|e| panic!("{class}: no answer after {took:?}: {e}")).status;
                    assert!(matches!(status, 200 | 429 | 503 | 504), "{class}: {status}");
                    let limit = Duration::from_millis(1300) + processor_wait().saturating_sub(wait_before);
                    assert!(took <= limit, "{class}: {took:?}");
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    done.store(true, Ordering::SeqCst);
    faulty_clients.into_iter().for_each(|client| client.join().unwrap());
}
