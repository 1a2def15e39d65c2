//! Temporary failures of system calls: descriptors run out and waits are interrupted. The program continues, answers
//! all requests, and neither spins nor floods its log meanwhile (docs/design/stricter-terms.md).

mod harness;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use harness::stand_in::{read_answer, send_request, DataNode, Discovery};
use harness::{
    call_bytes, gated_reply, member, query, query_bytes, start_two_data_nodes, successful_reply, wait_until,
    Program, TestCluster,
};

const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Enough for the program itself and a few clients.
const DESCRIPTORS: u32 = 40;
/// How long no descriptor is available.
const SHORTAGE: Duration = Duration::from_secs(2);

fn connect(addr: std::net::SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

/// While no descriptor is available, the listener neither spins nor floods the log, and a request read before is
/// answered. Connections are accepted again as soon as descriptors are available.
#[test]
fn a_listener_without_descriptors_neither_ends_nor_spins() {
    let (release, slow) = gated_reply();
    let (a, b, discovery) = start_two_data_nodes(slow.clone(), slow);
    let program =
        Program::start_with_descriptor_limit(&TestCluster::default().config(discovery.addr), DESCRIPTORS);
    let mut open = connect(program.addr);
    open.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
    wait_until("the attempt", || a.received_parts().len() + b.received_parts().len() > 0);
    // More than the program can accept; the others wait in the kernel's backlog.
    let idle: Vec<TcpStream> = (0..2 * DESCRIPTORS).map(|_| connect(program.addr)).collect();
    let (start, ticks) = (Instant::now(), program.processor_ticks());
    release.store(true, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(read_answer(&mut BufReader::new(open.try_clone().unwrap())).unwrap().status, 200);
    std::thread::sleep(SHORTAGE.saturating_sub(start.elapsed()));
    let busy = Duration::from_millis(10 * (program.processor_ticks() - ticks));
    assert!(busy < SHORTAGE / 4, "{busy:?} of processor time in {SHORTAGE:?}");
    drop((idle, open));
    assert_eq!(query(program.addr, "tag-lookup", &[1]).unwrap().status, 200);
    program.signal("TERM");
    let log = program.wait_for_exit();
    let reports = log.lines().filter(|l| l.contains("Too many open files")).count();
    assert!((1..=2).contains(&reports), "{reports} log lines report the shortage");
}

/// While no descriptor is available for a connection to a data node, each request gets its final answer within its
/// deadline. Once descriptors are available again, queries succeed within 1 s: the data nodes are not avoided because
/// of the shortage.
#[test]
fn requests_without_descriptors_get_final_answers_in_time() {
    let (a, b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let program =
        Program::start_with_descriptor_limit(&TestCluster::default().config(discovery.addr), DESCRIPTORS);
    let mut clients: Vec<TcpStream> = Vec::new();
    // Connects clients until no more are accepted.
    loop {
        let mut stream = connect(program.addr);
        stream.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        stream.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        if read_answer(&mut BufReader::new(stream.try_clone().unwrap())).is_err() {
            break;
        }
        clients.push(stream);
    }
    assert!(clients.len() > 4 && a.connections() + b.connections() == 0);
    for stream in &mut clients {
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        stream.write_all(&query_bytes("tag-lookup", &[0, 1], "600m")).unwrap();
    }
    let start = Instant::now();
    for stream in &clients {
        let answer = read_answer(&mut BufReader::new(stream.try_clone().unwrap())).expect("a final answer");
        assert!(matches!(answer.status, 200 | 503 | 504), "{}", answer.status);
        assert!(start.elapsed() < Duration::from_millis(1100), "{:?}", start.elapsed());
    }
    drop(clients);
    let available_since = Instant::now();
    wait_until("queries to succeed", || {
        query(program.addr, "tag-lookup", &[0, 1]).is_ok_and(|a| a.status == 200)
    });
    assert!(available_since.elapsed() < Duration::from_secs(1), "{:?}", available_since.elapsed());
    program.signal("TERM");
    let report = program.wait_for_exit();
    let node_failures =
        report.lines().any(|l| l.trim_start().starts_with("node ") && !l.contains(" noRoute=0 "));
    assert!(!node_failures, "the shortage of descriptors was counted as a failure of a data node:\n{report}");
}

/// Interrupted waits are resumed without an effect on a partly received request, an open part, the watch on the
/// endpoint list and a partly received call of the second address.
#[test]
fn interrupted_waits_are_resumed() {
    let (release, slow) = gated_reply();
    let (a, b) = (DataNode::start(slow.clone()), DataNode::start(slow));
    let discovery = Discovery::start("127.0.0.1:0", vec![member("a", 0, a.addr), member("b", 1, b.addr)]);
    let config = TestCluster::default().config(discovery.addr);
    let config = config.replacen(r#""seed""#, r#""control":"127.0.0.1:0","seed""#, 1);
    let program = Program::start(&config);
    let (mut partial, mut complete) = (connect(program.addr), connect(program.addr));
    let mut call = connect(program.control.unwrap());
    let bytes = query_bytes("tag-lookup", &[1], "60000m");
    let call_bytes = call_bytes("GET", "/ops/readiness", "");
    complete.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
    partial.write_all(&bytes[..40]).unwrap();
    call.write_all(&call_bytes[..10]).unwrap();
    wait_until("the attempt", || a.received_parts().len() + b.received_parts().len() > 0);
    for _ in 0..5 {
        program.stop_and_continue();
    }
    call.write_all(&call_bytes[10..]).unwrap();
    assert_eq!(read_answer(&mut BufReader::new(call)).expect("an answer to the call").status, 200);
    partial.write_all(&bytes[40..]).unwrap();
    release.store(true, std::sync::atomic::Ordering::SeqCst);
    for stream in [partial, complete] {
        assert_eq!(read_answer(&mut BufReader::new(stream)).unwrap().status, 200);
    }
    assert_eq!(discovery.watch_requests(), 1, "the watch was opened again");
    assert_eq!(send_request(program.addr, &query_bytes("tag-lookup", &[0], "60000m")).unwrap().status, 200);
}
