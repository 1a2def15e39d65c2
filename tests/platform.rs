//! The platform's protocol on loopback, against stand-in data nodes and a stand-in list.

mod harness;

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

use curlewdeck::api::ShardId;
use curlewdeck::engine::{ClientLiveness, QueryOutcome, QueryRequest, ResponseValidator};
use curlewdeck::limits::{Limits, Platform};
use curlewdeck::startup::Coordinator;

use harness::stand_in::{exchange, get, read_answer, DataNode, Discovery, NodeReply, Part};
use harness::{
    change, held_back, member, query, query_bytes, ready, served, two, until, Program, TestCluster,
};

#[test]
fn a_query_is_answered_whole_with_the_data_nodes_values() {
    let (a, b, discovery) = two(served, served);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let answer = query(coordinator.listen, "tag-lookup", &[3, 0]).unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, r#"{"exact":true,"rows":[{"id":3,"data":"v3"},{"id":0,"data":"v0"}]}"#);
    let parts: Vec<Part> = a.parts().into_iter().chain(b.parts()).collect();
    assert_eq!(parts.len(), 2);
    assert!(parts.iter().all(|p| p.text == "c41e77d0" && p.list.starts_with("d=")), "{parts:?}");
}

/// Guards the second step: it goes to the shards with the highest scores, names all that were in, and its
/// values alone make up the answer.
#[test]
fn the_second_step_follows_the_highest_scores() {
    let (a, b, discovery) = two(served, served);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let answer = query(coordinator.listen, "monthly-settle", &[0, 1, 2, 3]).unwrap();
    assert_eq!(
        answer.body,
        r#"{"exact":true,"rows":[{"id":3,"data":"v3.fetch"},{"id":2,"data":"v2.fetch"}]}"#
    );
    let second: Vec<Part> =
        a.parts().into_iter().chain(b.parts()).filter(|p| p.id.ends_with(".fetch")).collect();
    assert_eq!(second.len(), 2);
    assert!(second.iter().all(|p| p.list.ends_with(",from=0+1+2+3,whole=1")), "{second:?}");
}

/// Guards a client's retry of a query of two steps: its first part alone completes the first step, and the second follows.
#[test]
fn the_second_step_follows_the_retry_of_a_client() {
    let (a, b, discovery) = two(served, served);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    for shards in [&[3][..], &[0, 1, 2, 3]] {
        let request = String::from_utf8(query_bytes("monthly-settle", shards, "60000m")).unwrap();
        let retry = request.replacen("Host: a\r\n", "Host: a\r\nX-Retried: 1\r\n", 1);
        let answer = exchange(coordinator.listen, retry.as_bytes()).unwrap();
        let expected = if shards.len() == 1 {
            r#"{"exact":true,"rows":[{"id":3,"data":"v3.fetch"}]}"#
        } else {
            r#"{"exact":true,"rows":[{"id":3,"data":"v3.fetch"},{"id":2,"data":"v2.fetch"}]}"#
        };
        assert_eq!((answer.status, &*answer.body), (200, expected));
    }
    let sent: Vec<Part> = a.parts().into_iter().chain(b.parts()).collect();
    assert_eq!(sent.iter().filter(|p| p.id.ends_with(".fetch")).count(), 3, "{sent:?}");
}

/// Guards against losing a query with a connection, a bad frame or an error of one data node.
#[test]
fn another_replica_serves_what_one_does_not() {
    let bad_frame = || NodeReply::Raw(vec![1, 0, 0, 0, b'?']);
    let faults: [fn() -> NodeReply; 4] = [
        || NodeReply::Close,
        bad_frame,
        || NodeReply::Answer(500, 0, String::new()),
        || NodeReply::Answer(503, 0, String::new()),
    ];
    for fault in faults {
        let (a, b, discovery) = two(move |_| fault(), served);
        let coordinator = TestCluster::default().start(discovery.addr, "");
        ready(&coordinator);
        // One part a query: which replica comes first is the module's choice.
        until("a part at the faulty data node", || {
            let answer = query(coordinator.listen, "tag-lookup", &[1]).unwrap();
            assert_eq!(answer.body, r#"{"exact":true,"rows":[{"id":1,"data":"v1"}]}"#);
            !a.parts().is_empty()
        });
        assert!(!b.parts().is_empty());
    }
}

/// Guards against answers that are spoilt, or bring more than belongs to them: the query is served all the
/// same, long before its time is up, and other data nodes' connections are kept.
#[test]
fn spoilt_answers_cost_one_connection_each() {
    let frame = |letter: u8, rest: &[u8]| {
        let length = (rest.len() as u32 + 1).to_le_bytes();
        [&length[..], &[letter], rest].concat()
    };
    let good = move |part: &Part, report: &[u8], more: &[u8]| {
        let name = part.id.split_once('.').unwrap().1;
        let line = [part.id.as_bytes(), b" 200 1 ", report, b"\nv", name.as_bytes()].concat();
        NodeReply::Raw([frame(b'O', &line), more.to_vec()].concat())
    };
    type Fault = Box<dyn Fn(&Part) -> NodeReply + Send + Sync>;
    let raw = |bytes: Vec<u8>| -> Fault { Box::new(move |_: &Part| NodeReply::Raw(bytes.clone())) };
    let faults: Vec<Fault> = vec![
        raw(frame(b'O', b"unknown.1 200 1 -\nv")),
        raw(frame(b'O', b"no line")),
        raw(frame(b'Q', b"")),
        raw(3_000_000_000_u32.to_le_bytes().to_vec()),
        // It stops midway, or never gets to its line.
        raw(frame(b'O', b"a.1 200 1 -\nvalue")[..9].to_vec()),
        raw([&[0, 1, 0, 0, b'O'][..], &[b'a'; 200]].concat()),
        Box::new(move |p: &Part| good(p, b"\xff what = ever", b"")),
        Box::new(move |p: &Part| good(p, b"-", b"\x09\0\0\0noise")),
        Box::new(move |p: &Part| good(p, b"-", &frame(b'O', format!("{} 200 1 -\nv1", p.id).as_bytes()))),
    ];
    for (n, fault) in faults.into_iter().enumerate() {
        let (a, b, discovery) = two(fault, served);
        let coordinator = TestCluster::default().start(discovery.addr, "");
        ready(&coordinator);
        until("a part at the faulty data node", || {
            let answer = exchange(coordinator.listen, &query_bytes("tag-lookup", &[1], "20000m")).unwrap();
            assert_eq!(answer.body, r#"{"exact":true,"rows":[{"id":1,"data":"v1"}]}"#, "{n}");
            !a.parts().is_empty()
        });
        let bad = coordinator.core.counters.bad_frames.load(Ordering::SeqCst);
        assert!(b.connections() <= 1 && bad <= a.parts().len() as u64, "{n}");
    }
}

/// A query for all four shards, as a front hands it in.
fn whole(coordinator: &Coordinator, class: &str, client: ClientLiveness) -> QueryRequest {
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

/// Guards against sending on for a client that has left: it leaves while the first of four parts goes out, and before
/// anybody has read that it has, nothing more of its query goes out.
#[test]
fn nothing_more_goes_out_for_a_client_that_has_left() {
    let (a, b, discovery) = two(served, served);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let looks = AtomicUsize::new(0);
    let client = ClientLiveness::new(move || looks.fetch_add(1, Ordering::SeqCst) == 0);
    coordinator.core.submit(whole(&coordinator, "tag-lookup", client), Box::new(|_| ()));
    // What is asked after it goes over the same connections behind it.
    let (told, answered) = std::sync::mpsc::channel();
    let next = whole(&coordinator, "plaza-ranking", ClientLiveness::default());
    coordinator.core.submit(next, Box::new(move |ended| told.send(ended).unwrap()));
    assert!(matches!(answered.recv().unwrap(), Ok(QueryOutcome::Answered { complete: true, .. })));
    let parts = a.parts().into_iter().chain(b.parts());
    assert_eq!(parts.filter(|p| p.id.starts_with("whole-tag-lookup")).count(), 1);
}

/// Guards the rule on lost requests against a data node that reads late: what it finds is never a part of a query that
/// has its answer without the word that the part is given up, since that word goes out before the answer does.
#[test]
fn parts_are_given_up_before_the_answer_goes_out() {
    let late = TcpListener::bind("127.0.0.1:0").unwrap();
    let a = DataNode::start(served);
    let list = vec![member("a", 0, a.addr), member("b", 1, late.local_addr().unwrap())];
    let discovery = Discovery::start("127.0.0.1:0", list);
    // Half of the shards are at the late one alone; the class may be answered from the other half.
    let coordinator = TestCluster { in_a_row: 1, ..TestCluster::default() }.start(discovery.addr, "");
    ready(&coordinator);
    let ask = whole(&coordinator, "plaza-ranking", ClientLiveness::default());
    let (told, answered) = std::sync::mpsc::channel();
    coordinator.core.submit(
        ask,
        Box::new(move |ended| {
            // Right when the answer goes out: all that the late one's sockets hold by then.
            late.set_nonblocking(true).unwrap();
            let mut letters = Vec::new();
            while let Ok((mut stream, _)) = late.accept() {
                stream.set_nonblocking(true).unwrap();
                let mut bytes = Vec::new();
                // Ends with what is there, or at the connection's end, which gives up all on it.
                let closed = stream.read_to_end(&mut bytes).is_ok();
                let mut rest = &bytes[..];
                while let Some((head, more)) = rest.split_first_chunk::<4>() {
                    letters.push(more[0]);
                    rest = &more[u32::from_le_bytes(*head) as usize..];
                }
                letters.extend(closed.then_some(b'E'));
            }
            told.send((ended, letters)).unwrap();
        }),
    );
    let (ended, letters) = answered.recv().unwrap();
    assert!(matches!(ended, Ok(QueryOutcome::Answered { complete: false, .. })), "{ended:?}");
    let count = |letter: u8| letters.iter().filter(|&&l| l == letter).count();
    assert!(count(b'D') > 0, "nothing went to the late one: {letters:?}");
    assert!(count(b'K') == count(b'D') || count(b'E') > 0, "{}", String::from_utf8_lossy(&letters));
}

/// Guards the drain rule: once the list's word is here, not one frame goes to that data node.
#[test]
fn nothing_new_reaches_a_data_node_that_drains() {
    let (a, b, discovery) = two(served, served);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    until("the watch", || discovery.watches() > 0);
    change(&coordinator, &discovery, "a", "draining");
    let before = a.parts().len();
    for _ in 0..20 {
        assert_eq!(query(coordinator.listen, "tag-lookup", &[0, 1]).unwrap().status, 200);
    }
    assert_eq!(a.parts().len(), before);
    assert!(b.parts().len() >= 40);
}

/// Guards against a watch that is open and silent, which no reset ever ends.
#[test]
fn a_silent_watch_is_asked_for_again() {
    let (_a, _b, discovery) = two(served, served);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    until("the watch", || discovery.watches() == 1);
    discovery.silence(true);
    until("another watch", || discovery.watches() > 1);
    assert!(coordinator.core.counters.discovery_call_errors.load(Ordering::SeqCst) > 0);
}

/// Guards settings under which the module does not ask for the list: it is watched all the same.
#[test]
fn a_list_that_is_pushed_is_watched_unasked() {
    let discovery = Discovery::start("127.0.0.1:0", Vec::new());
    let coordinator = TestCluster { discovery: "pushed", ..TestCluster::default() }.start(discovery.addr, "");
    until("the watch", || discovery.watches() == 1);
    let a = DataNode::start(served);
    discovery.add(member("a", 0, a.addr));
    ready(&coordinator);
}

#[test]
fn health_waits_for_a_data_node() {
    let discovery = Discovery::start("127.0.0.1:0", Vec::new());
    let coordinator = TestCluster::default().start(discovery.addr, "");
    until("the watch", || discovery.watches() > 0);
    assert_eq!(get(coordinator.listen, "/_health").unwrap().status, 503);
    let a = DataNode::start(served);
    discovery.add(member("a", 0, a.addr));
    ready(&coordinator);
}

#[test]
fn connections_are_reused() {
    let (a, b, discovery) = two(served, served);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let mut stream = TcpStream::connect(coordinator.listen).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    for _ in 0..10 {
        // Two at once: the second waits for the first answer.
        stream.write_all(&query_bytes("tag-lookup", &[0, 1], "60000m")).unwrap();
        stream.write_all(&query_bytes("plaza-ranking", &[2, 3], "60000m")).unwrap();
        for _ in 0..2 {
            assert_eq!(read_answer(&mut reader).unwrap().status, 200);
        }
    }
    assert_eq!((a.connections(), b.connections()), (1, 1));
}

/// Each kind of bad input has its own plain answer.
#[test]
fn bad_input_is_answered() {
    let (_a, _b, discovery) = two(served, served);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
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
        let answer = exchange(coordinator.listen, text.as_bytes()).unwrap();
        assert_eq!(answer.status, status, "{text:.80}: {}", answer.body);
    }
}

/// Guards against passing on a request hidden in the body of one whose framing is in doubt.
#[test]
fn a_hidden_request_is_never_passed_on() {
    let (a, b, discovery) = two(served, served);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let hidden = String::from_utf8(query_bytes("tag-lookup", &[0], "60000m")).unwrap();
    for (coding, length) in [("chunked", 5), ("Chunked", 5 + hidden.len()), ("identity", 5), ("", 5)] {
        let text = format!(
            "POST /tag-lookup HTTP/1.1\r\nX-Request-ID: a1\r\ntransfer-encoding: {coding}\r\ncontent-length: {length}\r\n\r\n0\r\n\r\n{hidden}"
        );
        let mut stream = TcpStream::connect(coordinator.listen).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        let mut reader = BufReader::new(stream);
        assert_eq!(read_answer(&mut reader).unwrap().status, 400);
        assert!(read_answer(&mut reader).is_err(), "the connection stays open");
    }
    assert_eq!((a.parts(), b.parts()), (Vec::new(), Vec::new()));
}

/// Guards against two open requests of one id: the second is turned away, the first goes on.
#[test]
fn the_id_of_an_open_request_is_taken() {
    let (release, slow) = held_back();
    let (a, b, discovery) = two(slow.clone(), slow);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let (addr, bytes) = (coordinator.listen, query_bytes("tag-lookup", &[1], "60000m"));
    let same = bytes.clone();
    let first = std::thread::spawn(move || exchange(addr, &bytes).unwrap());
    until("the part", || a.parts().len() + b.parts().len() >= 1);
    assert_eq!(exchange(addr, &same).unwrap().status, 409);
    release.store(true, Ordering::SeqCst);
    assert_eq!(first.join().unwrap().body, r#"{"exact":true,"rows":[{"id":1,"data":"v1"}]}"#);
}

/// Guards against clients that ask once and stay, or say nothing: they make room for new ones, and those with
/// an open request are never closed for it.
#[test]
fn connections_at_rest_make_room() {
    let release = Arc::new(AtomicBool::new(false));
    let held = release.clone();
    let slow = move |part: &Part| {
        until("the test to go on", || part.shard != 3 || held.load(Ordering::SeqCst));
        served(part)
    };
    let (_a, _b, discovery) = two(slow.clone(), slow);
    let cluster = TestCluster { sockets: 128, ..TestCluster::default() };
    let coordinator = cluster.start(discovery.addr, "");
    ready(&coordinator);
    let addr = coordinator.listen;
    let open = std::thread::spawn(move || query(addr, "tag-lookup", &[3]).unwrap());
    until("the open request", || coordinator.core.counters.queries_accepted.load(Ordering::SeqCst) == 1);
    let ask = || {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
        assert_eq!(read_answer(&mut BufReader::new(stream.try_clone().unwrap())).unwrap().status, 200);
        stream
    };
    // Twice as many as there are places say nothing, and others are served between them.
    let places =
        Limits::within(Platform { sockets: 128, memory_mb: 192, others: 0, nodes: 0 }).unwrap().clients;
    let mut silent = Vec::new();
    for _ in 0..places {
        silent.extend((0..2).map(|_| TcpStream::connect(addr).unwrap()));
        ask();
    }
    drop(silent);
    // A crowd asks once on a connection of its own each, and stays: far more than there are places.
    let stay: Vec<TcpStream> = (0..10 * places).map(|_| ask()).collect();
    drop(stay);
    release.store(true, Ordering::SeqCst);
    assert_eq!(open.join().unwrap().status, 200);
    assert_eq!(coordinator.core.counters.clients_refused.load(Ordering::SeqCst), 0);
}

/// Guards against clients that hold a place for nothing: who says nothing is closed, who sends half a request
/// is told, and an error reaches also those who go on sending.
#[test]
fn silent_and_endless_clients_are_sent_away() {
    let (_a, _b, discovery) = two(served, served);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let silent = TcpStream::connect(coordinator.listen).unwrap();
    let mut half = TcpStream::connect(coordinator.listen).unwrap();
    half.write_all(b"POST /tag-lookup HTTP/1.1\r\nContent-Length: 9\r\n\r\n{").unwrap();
    let mut endless = TcpStream::connect(coordinator.listen).unwrap();
    endless.write_all(b"POST /tag-lookup HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n").unwrap();
    endless.write_all(&vec![b'x'; 1024 * 1024]).unwrap();
    assert_eq!(read_answer(&mut BufReader::new(endless)).unwrap().status, 413);
    assert_eq!(read_answer(&mut BufReader::new(half)).unwrap().status, 408);
    assert!(read_answer(&mut BufReader::new(silent)).is_err());
}

/// Guards against holding more than the settings allow: the client is told when to come back.
#[test]
fn queries_over_the_limit_are_refused_with_advice() {
    let (_a, _b, discovery) = two(|_| NodeReply::Silence, |_| NodeReply::Silence);
    let coordinator = TestCluster { max_open: 4, ..TestCluster::default() }.start(discovery.addr, "");
    ready(&coordinator);
    let answer = query(coordinator.listen, "tag-lookup", &[0, 1, 2, 3]).unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some_and(|s| s.parse::<f64>().unwrap() > 0.0));
    assert_eq!(coordinator.core.counters.queries_over_limit.load(Ordering::SeqCst), 1);
}

/// A query that no data node answers is refused or given up within its own time.
#[test]
fn a_query_without_answers_ends_in_time() {
    let (_a, _b, discovery) = two(|_| NodeReply::Silence, |_| NodeReply::Silence);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let answer = exchange(coordinator.listen, &query_bytes("tag-lookup", &[0, 1], "1500m")).unwrap();
    assert!(matches!(answer.status, 503 | 504), "{}", answer.status);
}

/// Guards against work for a client that has left: its parts are given up at the data nodes.
#[test]
fn a_client_that_closes_is_gone() {
    let (a, b, discovery) = two(|_| NodeReply::Silence, |_| NodeReply::Silence);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let mut stream = TcpStream::connect(coordinator.listen).unwrap();
    stream.write_all(&query_bytes("tag-lookup", &[0, 1], "60000m")).unwrap();
    until("the parts", || a.parts().len() + b.parts().len() >= 2);
    drop(stream);
    until("the client's leaving", || {
        coordinator.core.counters.clients_disconnected.load(Ordering::SeqCst) == 1
    });
    until("the parts given up", || a.given_up().len() + b.given_up().len() >= 2);
}

/// Guards a planned restart: what is held is answered, what is idle is closed, and the program ends with 0.
#[test]
fn sigterm_finishes_what_is_held() {
    let (release, slow) = held_back();
    let (a, b, discovery) = two(slow.clone(), slow);
    let program = Program::start(&TestCluster::default().config(discovery.addr));
    let addr = program.addr;
    let idle = TcpStream::connect(addr).unwrap();
    let asked = std::thread::spawn(move || query(addr, "tag-lookup", &[0, 1]).unwrap());
    until("the parts", || a.parts().len() + b.parts().len() >= 2);
    program.signal("TERM");
    until("the drain", || get(addr, "/_health").map_or(true, |a| a.status == 503));
    release.store(true, Ordering::SeqCst);
    assert_eq!(asked.join().unwrap().status, 200);
    assert!(program.ended().contains("cdAnswersWhole 1"));
    assert!(read_answer(&mut BufReader::new(idle)).is_err());
}

/// Guards against holding a request when the process must end: what comes after SIGTERM is answered in time
/// for that, though its client would wait for longer and no data node answers.
#[test]
fn what_comes_after_sigterm_is_answered_before_the_end() {
    let (_a, _b, discovery) = two(|_| NodeReply::Silence, |_| NodeReply::Silence);
    let program = Program::start(&TestCluster::default().config(discovery.addr));
    let addr = program.addr;
    program.signal("TERM");
    until("the drain", || get(addr, "/_health").map_or(true, |a| a.status == 503));
    let answer = query(addr, "tag-lookup", &[0, 1]);
    let log = program.ended();
    let counter = |name: &str| -> u64 {
        let line = log.lines().find_map(|l| l.trim().strip_prefix(name)).unwrap();
        line.trim().parse().unwrap()
    };
    let answered = counter("cdQueriesRefused ") + counter("cdQueriesFailed ");
    assert_eq!(counter("cdQueriesTaken "), answered, "{log}");
    assert_eq!(answered, u64::from(answer.is_ok()));
}

/// Guards a new configuration: SIGHUP ends nothing, the list is asked for whole at its new address at once,
/// twice over and after SIGTERM too, versions and all; a file that cannot be read changes nothing.
#[test]
fn sighup_moves_the_list() {
    let (release, slow) = held_back();
    let (a, b, first) = two(slow.clone(), slow);
    // With a second address, whose figures tell that a file was turned down.
    let config = |discovery: &Discovery| {
        TestCluster::default().config(discovery.addr).replacen('{', r#"{"control":"127.0.0.1:0","#, 1)
    };
    let mut program = Program::start(&config(&first));
    until("the first watch", || first.watches() == 1);
    program.reload("{");
    // Words that come fast upon each other run together, and the file is read as it is by then: only now may another
    // be put in its place.
    until("the file to be turned down", || program.figure("reloads_failed") == Some(1));
    // The second knows one data node of the two, and the third both.
    let second = Discovery::start("127.0.0.1:0", vec![member("b", 1, b.addr)]);
    program.reload(&config(&second));
    until("the second watch", || second.watches() == 1 && second.lists() == 1);
    assert_eq!(first.watches(), 1);
    let addr = program.addr;
    let asked = std::thread::spawn(move || query(addr, "tag-lookup", &[0, 1]).unwrap());
    until("the parts", || b.parts().len() == 2);
    assert_eq!(a.parts().len(), 0);
    // From SIGTERM on the program's own time runs: all is in place before it, but for the word itself.
    let third = Discovery::start("127.0.0.1:0", vec![member("a", 0, a.addr), member("b", 1, b.addr)]);
    program.put(&config(&third));
    program.signal("TERM");
    program.until("the drain", || get(addr, "/_health").is_ok_and(|a| a.status == 503));
    assert_eq!((third.watches(), third.lists()), (0, 0));
    program.signal("HUP");
    program.until("the third watch", || third.watches() == 1 && third.lists() == 1);
    release.store(true, Ordering::SeqCst);
    assert_eq!(asked.join().unwrap().status, 200);
    let log = program.ended();
    assert_eq!(log.lines().filter(|l| l.contains("configuration rejected")).count(), 1, "{log}");
}

#[test]
fn a_bad_configuration_ends_the_start_with_one_line() {
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

/// The examples are what a newcomer starts from: they must stay usable.
#[test]
fn the_examples_can_be_used() {
    let check = |edge: &str| {
        let args = ["check", "--config", "examples/config.json", "--edge", edge];
        let output = Command::new(env!("CARGO_BIN_EXE_curlewdeck")).args(args).output().unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (output.status.success(), text(output.stdout) + &text(output.stderr))
    };
    let (good, text) = check("examples/edge.toml");
    assert!(good && text.contains("feature front on, desk front off, management agent on"), "{text}");
    let (good, text) = check("examples/desk.toml");
    assert!(good && text.contains("feature front off, desk front on, management agent off"), "{text}");
    let (good, text) = check("deploy/edge.toml");
    assert!(good && text.contains("feature front off, desk front off, management agent off"), "{text}");
}
