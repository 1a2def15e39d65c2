//! The platform's protocol on loopback, against stand-in data nodes and a stand-in discovery service.

mod harness;

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

use curlewdeck::api::ShardId;
use curlewdeck::engine::{ClientLiveness, QueryOutcome, QueryRequest, ResponseValidator};
use curlewdeck::limits::{Limits, PlatformBounds};
use curlewdeck::startup::Coordinator;

use harness::stand_in::{get, read_answer, send_request, DataNode, Discovery, NodeReply, Part};
use harness::{
    gated_reply, member, query, query_bytes, set_member_state, start_two_data_nodes, successful_reply,
    wait_until, wait_until_healthy, Program, TestCluster,
};

#[test]
fn complete_answer_contains_the_data_nodes_values() {
    let (a, b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let answer = query(coordinator.listen, "tag-lookup", &[3, 0]).unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, r#"{"exact":true,"rows":[{"id":3,"data":"v3"},{"id":0,"data":"v0"}]}"#);
    let parts: Vec<Part> = a.received_parts().into_iter().chain(b.received_parts()).collect();
    assert_eq!(parts.len(), 2);
    assert!(parts.iter().all(|p| p.text == "c41e77d0" && p.parameters.starts_with("d=")), "{parts:?}");
}

/// The second phase goes to the shards with the highest scores and names all shards of the first phase. The answer
/// consists of its values alone.
#[test]
fn second_phase_goes_to_the_shards_with_the_highest_scores() {
    let (a, b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let answer = query(coordinator.listen, "monthly-settle", &[0, 1, 2, 3]).unwrap();
    assert_eq!(
        answer.body,
        r#"{"exact":true,"rows":[{"id":3,"data":"v3.fetch"},{"id":2,"data":"v2.fetch"}]}"#
    );
    let second: Vec<Part> = a
        .received_parts()
        .into_iter()
        .chain(b.received_parts())
        .filter(|p| p.id.ends_with(".fetch"))
        .collect();
    assert_eq!(second.len(), 2);
    assert!(second.iter().all(|p| p.parameters.ends_with(",from=0+1+2+3,whole=1")), "{second:?}");
}

/// A client retries a two-phase query. A retry with a single part completes the first phase too, and the second phase
/// follows.
#[test]
fn second_phase_follows_a_client_retry() {
    let (a, b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    for shards in [&[3][..], &[0, 1, 2, 3]] {
        let request = String::from_utf8(query_bytes("monthly-settle", shards, "60000m")).unwrap();
        let retry = request.replacen("Host: a\r\n", "Host: a\r\nX-Retried: 1\r\n", 1);
        let answer = send_request(coordinator.listen, retry.as_bytes()).unwrap();
        let expected = if shards.len() == 1 {
            r#"{"exact":true,"rows":[{"id":3,"data":"v3.fetch"}]}"#
        } else {
            r#"{"exact":true,"rows":[{"id":3,"data":"v3.fetch"},{"id":2,"data":"v2.fetch"}]}"#
        };
        assert_eq!((answer.status, &*answer.body), (200, expected));
    }
    let sent: Vec<Part> = a.received_parts().into_iter().chain(b.received_parts()).collect();
    assert_eq!(sent.iter().filter(|p| p.id.ends_with(".fetch")).count(), 3, "{sent:?}");
}

/// One data node closes its connection, sends a malformed frame, or replies with an error. Another replica serves the
/// part.
#[test]
fn failed_part_is_served_by_another_replica() {
    let bad_frame = || NodeReply::Raw(vec![1, 0, 0, 0, b'?']);
    let faults: [fn() -> NodeReply; 4] = [
        || NodeReply::Close,
        bad_frame,
        || NodeReply::Answer(500, 0, String::new()),
        || NodeReply::Answer(503, 0, String::new()),
    ];
    for fault in faults {
        let (a, b, discovery) = start_two_data_nodes(move |_| fault(), successful_reply);
        let coordinator = TestCluster::default().start(discovery.addr, "");
        wait_until_healthy(&coordinator);
        // One part per query: the engine chooses which replica gets it first.
        wait_until("a part at the faulty data node", || {
            let answer = query(coordinator.listen, "tag-lookup", &[1]).unwrap();
            assert_eq!(answer.body, r#"{"exact":true,"rows":[{"id":1,"data":"v1"}]}"#);
            !a.received_parts().is_empty()
        });
        assert!(!b.received_parts().is_empty());
    }
}

/// A data node sends malformed, truncated or surplus data. The query is served long before its timeout, each malformed
/// answer costs at most one connection, and connections to other data nodes stay open.
#[test]
fn malformed_answer_costs_at_most_one_connection() {
    let frame = |letter: u8, rest: &[u8]| {
        let length = (rest.len() as u32 + 1).to_le_bytes();
        [&length[..], &[letter], rest].concat()
    };
    let valid = move |part: &Part, report: &[u8], trailing: &[u8]| {
        let name = part.id.split_once('.').unwrap().1;
        let line = [part.id.as_bytes(), b" 200 1 ", report, b"\nv", name.as_bytes()].concat();
        NodeReply::Raw([frame(b'O', &line), trailing.to_vec()].concat())
    };
    type Fault = Box<dyn Fn(&Part) -> NodeReply + Send + Sync>;
    let raw = |bytes: Vec<u8>| -> Fault { Box::new(move |_: &Part| NodeReply::Raw(bytes.clone())) };
    let faults: Vec<Fault> = vec![
        raw(frame(b'O', b"unknown.1 200 1 -\nv")),
        raw(frame(b'O', b"no line")),
        raw(frame(b'Q', b"")),
        raw(3_000_000_000_u32.to_le_bytes().to_vec()),
        // Truncated within the header line, or a header line without an end.
        raw(frame(b'O', b"a.1 200 1 -\nvalue")[..9].to_vec()),
        raw([&[0, 1, 0, 0, b'O'][..], &[b'a'; 200]].concat()),
        Box::new(move |p: &Part| valid(p, b"\xff what = ever", b"")),
        Box::new(move |p: &Part| valid(p, b"-", b"\x09\0\0\0noise")),
        Box::new(move |p: &Part| valid(p, b"-", &frame(b'O', format!("{} 200 1 -\nv1", p.id).as_bytes()))),
    ];
    for (n, fault) in faults.into_iter().enumerate() {
        let (a, b, discovery) = start_two_data_nodes(fault, successful_reply);
        let coordinator = TestCluster::default().start(discovery.addr, "");
        wait_until_healthy(&coordinator);
        wait_until("a part at the faulty data node", || {
            let answer =
                send_request(coordinator.listen, &query_bytes("tag-lookup", &[1], "20000m")).unwrap();
            assert_eq!(answer.body, r#"{"exact":true,"rows":[{"id":1,"data":"v1"}]}"#, "{n}");
            !a.received_parts().is_empty()
        });
        let bad = coordinator.core.counters.bad_frames.load(Ordering::SeqCst);
        assert!(b.connections() <= 1 && bad <= a.received_parts().len() as u64, "{n}");
    }
}

/// A query of all four shards, as a frontend submits it.
fn query_of_all_shards(coordinator: &Coordinator, class: &str, client: ClientLiveness) -> QueryRequest {
    QueryRequest {
        name: format!("whole-{class}"),
        class: coordinator.core.deployment().class_named(class).unwrap(),
        is_retry: false,
        deadline: coordinator.core.clock.now() + 60_000_000_000,
        parts: (0..4).map(|shard| (ShardId(shard), 0.25)).collect(),
        text: "c41e77d0".into(),
        part_texts: Vec::new(),
        validator: ResponseValidator::default(),
        client,
    }
}

/// The client disconnects while the first of four parts is sent. No further part is sent, even though the frontend has
/// not read the disconnect yet: the liveness check before each part detects it.
#[test]
fn no_further_parts_are_sent_after_a_client_disconnects() {
    let (a, b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let checks = AtomicUsize::new(0);
    let client = ClientLiveness::new(move || checks.fetch_add(1, Ordering::SeqCst) == 0);
    coordinator.core.submit(query_of_all_shards(&coordinator, "tag-lookup", client), Box::new(|_| ()));
    // The next query's parts follow on the same connections, so its answer shows that all earlier parts have arrived.
    let (sender, receiver) = std::sync::mpsc::channel();
    let next = query_of_all_shards(&coordinator, "plaza-ranking", ClientLiveness::default());
    coordinator.core.submit(next, Box::new(move |outcome| sender.send(outcome).unwrap()));
    assert!(matches!(receiver.recv().unwrap(), Ok(QueryOutcome::Answered { complete: true, .. })));
    let parts = a.received_parts().into_iter().chain(b.received_parts());
    assert_eq!(parts.filter(|p| p.id.starts_with("whole-tag-lookup")).count(), 1);
}

/// Cancellations of unanswered parts are written before the query's partial answer. A data node that reads late would
/// otherwise find a part of an answered query without its cancellation, against the rule on lost requests.
#[test]
fn unanswered_parts_are_cancelled_before_the_answer_is_sent() {
    let late_node = TcpListener::bind("127.0.0.1:0").unwrap();
    let a = DataNode::start(successful_reply);
    let members = vec![member("a", 0, a.addr), member("b", 1, late_node.local_addr().unwrap())];
    let discovery = Discovery::start("127.0.0.1:0", members);
    // The late node alone holds half of the shards; the class allows a partial answer from the other half.
    let coordinator = TestCluster { replicas: 1, ..TestCluster::default() }.start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let request = query_of_all_shards(&coordinator, "plaza-ranking", ClientLiveness::default());
    let (sender, receiver) = std::sync::mpsc::channel();
    coordinator.core.submit(
        request,
        Box::new(move |outcome| {
            // Reads what the late node's sockets contain at the moment of the answer.
            late_node.set_nonblocking(true).unwrap();
            let mut frame_types = Vec::new();
            while let Ok((mut stream, _)) = late_node.accept() {
                stream.set_nonblocking(true).unwrap();
                let mut bytes = Vec::new();
                // Reads to the end of the buffered data or of the connection. A close cancels all parts on it.
                let closed = stream.read_to_end(&mut bytes).is_ok();
                let mut rest = &bytes[..];
                while let Some((head, more)) = rest.split_first_chunk::<4>() {
                    frame_types.push(more[0]);
                    rest = &more[u32::from_le_bytes(*head) as usize..];
                }
                frame_types.extend(closed.then_some(b'E'));
            }
            sender.send((outcome, frame_types)).unwrap();
        }),
    );
    let (outcome, frame_types) = receiver.recv().unwrap();
    assert!(matches!(outcome, Ok(QueryOutcome::Answered { complete: false, .. })), "{outcome:?}");
    let count = |frame_type: u8| frame_types.iter().filter(|&&t| t == frame_type).count();
    assert!(count(b'D') > 0, "the late data node got no call: {frame_types:?}");
    assert!(count(b'K') == count(b'D') || count(b'E') > 0, "{}", String::from_utf8_lossy(&frame_types));
}

/// The drain rule: after the list has reported the drain of a data node, no part is sent to it.
#[test]
fn draining_data_node_gets_no_new_parts() {
    let (a, b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    wait_until("the watch", || discovery.watch_requests() > 0);
    set_member_state(&coordinator, &discovery, "a", "draining");
    let before = a.received_parts().len();
    for _ in 0..20 {
        assert_eq!(query(coordinator.listen, "tag-lookup", &[0, 1]).unwrap().status, 200);
    }
    assert_eq!(a.received_parts().len(), before);
    assert!(b.received_parts().len() >= 40);
}

/// A watch may stay open and silent with no reset to end it. The coordinator opens another one.
#[test]
fn silent_watch_is_reopened() {
    let (_a, _b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until("the watch", || discovery.watch_requests() == 1);
    discovery.set_silent(true);
    wait_until("another watch", || discovery.watch_requests() > 1);
    assert!(coordinator.core.counters.discovery_call_errors.load(Ordering::SeqCst) > 0);
}

/// With `"discovery": "pushed"` the engine never requests the list. The coordinator watches it nevertheless.
#[test]
fn pushed_list_is_watched_without_a_request_of_the_engine() {
    let discovery = Discovery::start("127.0.0.1:0", Vec::new());
    let coordinator = TestCluster { discovery: "pushed", ..TestCluster::default() }.start(discovery.addr, "");
    wait_until("the watch", || discovery.watch_requests() == 1);
    let a = DataNode::start(successful_reply);
    discovery.add(member("a", 0, a.addr));
    wait_until_healthy(&coordinator);
}

#[test]
fn health_check_fails_until_a_data_node_is_listed() {
    let discovery = Discovery::start("127.0.0.1:0", Vec::new());
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until("the watch", || discovery.watch_requests() > 0);
    assert_eq!(get(coordinator.listen, "/_health").unwrap().status, 503);
    let a = DataNode::start(successful_reply);
    discovery.add(member("a", 0, a.addr));
    wait_until_healthy(&coordinator);
}

#[test]
fn connections_to_data_nodes_are_reused() {
    let (a, b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let mut stream = TcpStream::connect(coordinator.listen).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    for _ in 0..10 {
        // Two pipelined requests: the second waits for the first answer.
        stream.write_all(&query_bytes("tag-lookup", &[0, 1], "60000m")).unwrap();
        stream.write_all(&query_bytes("plaza-ranking", &[2, 3], "60000m")).unwrap();
        for _ in 0..2 {
            assert_eq!(read_answer(&mut reader).unwrap().status, 200);
        }
    }
    assert_eq!((a.connections(), b.connections()), (1, 1));
}

/// Each kind of invalid request gets its own status.
#[test]
fn invalid_requests_get_the_matching_status() {
    let (_a, _b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let post = |path: &str, head: &str, body: &str| {
        let length = body.len();
        format!("POST {path} HTTP/1.1\r\nX-Request-ID: a1\r\n{head}Content-Length: {length}\r\n\r\n{body}")
    };
    let good = r#"{"parts":[{"id":0,"w":1}],"expr":"c4"}"#;
    let twice = r#"{"parts":[{"id":0,"w":1},{"id":0,"w":1}],"expr":"c4"}"#;
    for (text, status) in [
        (post("/tag-lookup", "", good), 200),
        ("nonsense\r\n\r\n".to_string(), 400),
        (post("/tag-lookup", "", "{"), 400),
        (post("/tag-lookup", "", r#"{"parts":[],"expr":"c4"}"#), 400),
        (post("/tag-lookup", "", r#"{"parts":[{"id":0,"w":1}]}"#), 400),
        (post("/tag-lookup", "", twice), 400),
        (post("/tag-lookup", "", r#"{"parts":[{"id":0,"w":0.7}],"expr":"c4"}"#), 400),
        (post("/tag-lookup", "", r#"{"parts":[{"id":0,"w":-1},{"id":1,"w":2}],"expr":"c4"}"#), 400),
        (post("/tag-lookup", "", r#"{"parts":[{"id":9,"w":1}],"expr":"c4"}"#), 400),
        (post("/tag-lookup", "X-Timeout: soon\r\n", good), 400),
        (post("/tag-lookup", "X-Timeout: -5m\r\n", good), 400),
        (post("/tag-lookup", "X-Timeout: 1e300m\r\n", good), 400),
        (post("/tag-lookup", "X-Timeout: 99999999999m\r\n", good), 400),
        (post("/tag-lookup", "X-Timeout: 0m\r\n", good), 503),
        (format!("POST /tag-lookup HTTP/1.1\r\nContent-Length: {}\r\n\r\n{good}", good.len()), 400),
        (post("/no-such-class", "", good), 404),
        ("GET /tag-lookup HTTP/1.1\r\n\r\n".to_string(), 405),
        ("POST /_health HTTP/1.1\r\n\r\n".to_string(), 405),
        ("POST /tag-lookup HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".to_string(), 413),
        (format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(20_000)), 431),
    ] {
        let answer = send_request(coordinator.listen, text.as_bytes()).unwrap();
        assert_eq!(answer.status, status, "{text:.80}: {}", answer.body);
    }
}

/// Request smuggling: a request with both a transfer coding and a content length hides another request in its body. The
/// coordinator rejects it, closes the connection and forwards nothing.
#[test]
fn smuggled_request_is_never_forwarded() {
    let (a, b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let hidden = String::from_utf8(query_bytes("tag-lookup", &[0], "60000m")).unwrap();
    for (coding, length) in [("chunked", 5), ("Chunked", 5 + hidden.len()), ("identity", 5), ("", 5)] {
        let text = format!(
            "POST /tag-lookup HTTP/1.1\r\nX-Request-ID: a1\r\ntransfer-encoding: {coding}\r\ncontent-length: {length}\r\n\r\n0\r\n\r\n{hidden}"
        );
        let mut stream = TcpStream::connect(coordinator.listen).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        let mut reader = BufReader::new(stream);
        assert_eq!(read_answer(&mut reader).unwrap().status, 400);
        assert!(read_answer(&mut reader).is_err(), "the connection stayed open");
    }
    assert_eq!((a.received_parts(), b.received_parts()), (Vec::new(), Vec::new()));
}

/// A request with the id of an open request is rejected with 409, and the first request is answered.
#[test]
fn duplicate_id_of_an_open_request_is_rejected() {
    let (release, slow) = gated_reply();
    let (a, b, discovery) = start_two_data_nodes(slow.clone(), slow);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let (addr, bytes) = (coordinator.listen, query_bytes("tag-lookup", &[1], "60000m"));
    let same = bytes.clone();
    let first = std::thread::spawn(move || send_request(addr, &bytes).unwrap());
    wait_until("the part", || a.received_parts().len() + b.received_parts().len() >= 1);
    assert_eq!(send_request(addr, &same).unwrap().status, 409);
    release.store(true, Ordering::SeqCst);
    assert_eq!(first.join().unwrap().body, r#"{"exact":true,"rows":[{"id":1,"data":"v1"}]}"#);
}

/// Clients may keep idle connections open, before or after a request. Idle connections are closed to admit new clients;
/// a connection with an open request never is.
#[test]
fn idle_connections_are_closed_for_new_clients() {
    let release = Arc::new(AtomicBool::new(false));
    let released = release.clone();
    let slow = move |part: &Part| {
        wait_until("the test to release the reply", || part.shard != 3 || released.load(Ordering::SeqCst));
        successful_reply(part)
    };
    let (_a, _b, discovery) = start_two_data_nodes(slow.clone(), slow);
    let cluster = TestCluster { sockets: 128, ..TestCluster::default() };
    let coordinator = cluster.start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let addr = coordinator.listen;
    let open = std::thread::spawn(move || query(addr, "tag-lookup", &[3]).unwrap());
    wait_until("the open request", || coordinator.core.counters.queries_accepted.load(Ordering::SeqCst) == 1);
    let send_query = || {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
        assert_eq!(read_answer(&mut BufReader::new(stream.try_clone().unwrap())).unwrap().status, 200);
        stream
    };
    // Opens twice as many silent connections as the limit allows, with served clients in between.
    let client_limit =
        Limits::within(PlatformBounds { sockets: 128, memory_mb: 192, other_processes: 0, nodes: 0 })
            .unwrap()
            .clients;
    let mut silent = Vec::new();
    for _ in 0..client_limit {
        silent.extend((0..2).map(|_| TcpStream::connect(addr).unwrap()));
        send_query();
    }
    drop(silent);
    // Ten times as many clients as the limit allows send one query each and keep their connections open.
    let idle: Vec<TcpStream> = (0..10 * client_limit).map(|_| send_query()).collect();
    drop(idle);
    release.store(true, Ordering::SeqCst);
    assert_eq!(open.join().unwrap().status, 200);
    assert_eq!(coordinator.core.counters.clients_refused.load(Ordering::SeqCst), 0);
}

/// Unproductive clients do not keep their connections: a silent one is closed, one with an incomplete request gets 408,
/// and one that sends too large a body gets 413 although it keeps sending.
#[test]
fn silent_incomplete_and_oversized_requests_end_their_connections() {
    let (_a, _b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let silent = TcpStream::connect(coordinator.listen).unwrap();
    let mut incomplete = TcpStream::connect(coordinator.listen).unwrap();
    incomplete.write_all(b"POST /tag-lookup HTTP/1.1\r\nContent-Length: 9\r\n\r\n{").unwrap();
    let mut oversized = TcpStream::connect(coordinator.listen).unwrap();
    oversized.write_all(b"POST /tag-lookup HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n").unwrap();
    oversized.write_all(&vec![b'x'; 1024 * 1024]).unwrap();
    assert_eq!(read_answer(&mut BufReader::new(oversized)).unwrap().status, 413);
    assert_eq!(read_answer(&mut BufReader::new(incomplete)).unwrap().status, 408);
    assert!(read_answer(&mut BufReader::new(silent)).is_err());
}

/// A query over the `max_open` limit of the settings is rejected with 503 and a `Retry-After` header.
#[test]
fn query_over_the_limit_is_rejected_with_retry_after() {
    let (_a, _b, discovery) = start_two_data_nodes(|_| NodeReply::Silence, |_| NodeReply::Silence);
    let coordinator = TestCluster { max_open: 4, ..TestCluster::default() }.start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let answer = query(coordinator.listen, "tag-lookup", &[0, 1, 2, 3]).unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some_and(|s| s.parse::<f64>().unwrap() > 0.0));
    assert_eq!(coordinator.core.counters.queries_over_limit.load(Ordering::SeqCst), 1);
}

/// A query that no data node answers is rejected or abandoned within its timeout.
#[test]
fn query_without_answers_ends_in_time() {
    let (_a, _b, discovery) = start_two_data_nodes(|_| NodeReply::Silence, |_| NodeReply::Silence);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let answer = send_request(coordinator.listen, &query_bytes("tag-lookup", &[0, 1], "1500m")).unwrap();
    assert!(matches!(answer.status, 503 | 504), "{}", answer.status);
}

/// The parts of a disconnected client are cancelled at the data nodes.
#[test]
fn client_disconnect_cancels_its_parts() {
    let (a, b, discovery) = start_two_data_nodes(|_| NodeReply::Silence, |_| NodeReply::Silence);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    let mut stream = TcpStream::connect(coordinator.listen).unwrap();
    stream.write_all(&query_bytes("tag-lookup", &[0, 1], "60000m")).unwrap();
    wait_until("the parts", || a.received_parts().len() + b.received_parts().len() >= 2);
    drop(stream);
    wait_until("the client's disconnect", || {
        coordinator.core.counters.clients_disconnected.load(Ordering::SeqCst) == 1
    });
    wait_until("the cancellation of the parts", || {
        a.cancelled_parts().len() + b.cancelled_parts().len() >= 2
    });
}

/// SIGTERM: open queries are answered, idle connections are closed, and the program exits with status 0.
#[test]
fn sigterm_completes_open_queries() {
    let (release, slow) = gated_reply();
    let (a, b, discovery) = start_two_data_nodes(slow.clone(), slow);
    let program = Program::start(&TestCluster::default().config(discovery.addr));
    let addr = program.addr;
    let idle = TcpStream::connect(addr).unwrap();
    let client = std::thread::spawn(move || query(addr, "tag-lookup", &[0, 1]).unwrap());
    wait_until("the parts", || a.received_parts().len() + b.received_parts().len() >= 2);
    program.signal("TERM");
    wait_until("the drain", || get(addr, "/_health").map_or(true, |a| a.status == 503));
    release.store(true, Ordering::SeqCst);
    assert_eq!(client.join().unwrap().status, 200);
    assert!(program.wait_for_exit().contains("cdAnswersWhole 1"));
    assert!(read_answer(&mut BufReader::new(idle)).is_err());
}

/// A query that is accepted after SIGTERM is answered before the process must exit, even if its client would wait for
/// longer and no data node answers.
#[test]
fn query_accepted_after_sigterm_is_answered_before_the_exit() {
    let (_a, _b, discovery) = start_two_data_nodes(|_| NodeReply::Silence, |_| NodeReply::Silence);
    let program = Program::start(&TestCluster::default().config(discovery.addr));
    let addr = program.addr;
    program.signal("TERM");
    wait_until("the drain", || get(addr, "/_health").map_or(true, |a| a.status == 503));
    let answer = query(addr, "tag-lookup", &[0, 1]);
    let log = program.wait_for_exit();
    let counter = |name: &str| -> u64 {
        let line = log.lines().find_map(|l| l.trim().strip_prefix(name)).unwrap();
        line.trim().parse().unwrap()
    };
    let answered = counter("cdQueriesRefused ") + counter("cdQueriesFailed ");
    assert_eq!(counter("cdQueriesTaken "), answered, "{log}");
    assert_eq!(answered, u64::from(answer.is_ok()));
}

/// SIGHUP with a new discovery address interrupts no query. The coordinator requests the full list at the new address
/// at once, whatever its version, also at a second change and after SIGTERM. An unreadable file changes nothing.
#[test]
fn sighup_changes_the_discovery_address() {
    let (release, slow) = gated_reply();
    let (a, b, first) = start_two_data_nodes(slow.clone(), slow);
    // The statistics on the control address show whether a file was rejected.
    let config = |discovery: &Discovery| {
        TestCluster::default().config(discovery.addr).replacen('{', r#"{"control":"127.0.0.1:0","#, 1)
    };
    let mut program = Program::start(&config(&first));
    wait_until("the first watch", || first.watch_requests() == 1);
    program.reload("{");
    // Signals in quick succession are merged and the file is read afterwards, so the next file must not replace this
    // one before it is rejected.
    wait_until("the file's rejection", || program.statistic("reloads_failed") == Some(1));
    // The second discovery service lists one of the two data nodes, the third both.
    let second = Discovery::start("127.0.0.1:0", vec![member("b", 1, b.addr)]);
    program.reload(&config(&second));
    wait_until("the second watch", || second.watch_requests() == 1 && second.list_requests() == 1);
    assert_eq!(first.watch_requests(), 1);
    let addr = program.addr;
    let client = std::thread::spawn(move || query(addr, "tag-lookup", &[0, 1]).unwrap());
    wait_until("the parts", || b.received_parts().len() == 2);
    assert_eq!(a.received_parts().len(), 0);
    // SIGTERM starts the program's shutdown timeout, so everything but the SIGHUP is prepared before it.
    let third = Discovery::start("127.0.0.1:0", vec![member("a", 0, a.addr), member("b", 1, b.addr)]);
    program.replace_config(&config(&third));
    program.signal("TERM");
    program.wait_until("the drain", || get(addr, "/_health").is_ok_and(|a| a.status == 503));
    assert_eq!((third.watch_requests(), third.list_requests()), (0, 0));
    program.signal("HUP");
    program.wait_until("the third watch", || third.watch_requests() == 1 && third.list_requests() == 1);
    release.store(true, Ordering::SeqCst);
    assert_eq!(client.join().unwrap().status, 200);
    let log = program.wait_for_exit();
    assert_eq!(log.lines().filter(|l| l.contains("configuration rejected")).count(), 1, "{log}");
}

#[test]
fn invalid_configuration_ends_the_start_with_one_line() {
    let run = |args: &[&str]| {
        let output =
            Command::new(env!("CARGO_BIN_EXE_curlewdeck")).args(args).env_remove("LB_CONFIG").output();
        let output = output.unwrap();
        assert!(!output.status.success(), "{args:?}");
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(text.lines().count(), 1, "{text}");
        text
    };
    assert!(run(&["serve"]).contains("LB_CONFIG"));
    assert!(run(&["serve", "--config", "/nowhere"]).contains("/nowhere"));
    assert!(run(&["check", "--config", "Cargo.toml"]).contains("not as expected"));
    assert!(
        run(&["check", "--config", "examples/config.json", "--edge", "Cargo.toml"]).contains("unknown field")
    );
    assert!(run(&["fly"]).contains("'fly'"));
    assert!(run(&["version", "--loud"]).contains("--loud"));
}

/// New users start from the example configurations, so these must stay valid.
#[test]
fn example_configurations_are_valid() {
    let check = |edge: &str| {
        let args = ["check", "--config", "examples/config.json", "--edge", edge];
        let output = Command::new(env!("CARGO_BIN_EXE_curlewdeck")).args(args).output().unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (output.status.success(), text(output.stdout) + &text(output.stderr))
    };
    let (valid, text) = check("examples/edge.toml");
    assert!(valid && text.contains("feature front on, desk front off, management agent on"), "{text}");
    let (valid, text) = check("examples/desk.toml");
    assert!(valid && text.contains("feature front off, desk front on, management agent off"), "{text}");
    let (valid, text) = check("deploy/edge.toml");
    assert!(valid && text.contains("feature front off, desk front off, management agent off"), "{text}");
}
