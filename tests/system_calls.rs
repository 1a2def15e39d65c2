//! System calls that fail for a moment: descriptors run out, and waits are interrupted. The program goes on, owes no answer,
//! and is neither busy nor noisy meanwhile (docs/design/stricter-terms.md).

mod harness;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use harness::stand_in::{exchange, read_answer, DataNode, Discovery};
use harness::{call_bytes, held_back, member, query, query_bytes, served, two, until, Program, TestCluster};

const LONG: Duration = Duration::from_secs(60);
/// What the program needs for itself, and room for a few clients.
const DESCRIPTORS: u32 = 40;
/// For so long there are none left.
const LACK: Duration = Duration::from_secs(2);

fn connect(addr: std::net::SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

/// Guards the listener while no descriptor is left: it is neither busy nor noisy, and accepts at once when there are some
/// again. A request that was read before is answered meanwhile.
#[test]
fn a_lack_of_descriptors_neither_ends_nor_keeps_busy_the_listener() {
    let (release, slow) = held_back();
    let (a, b, discovery) = two(slow.clone(), slow);
    let program =
        Program::start_short_of_descriptors(&TestCluster::default().config(discovery.addr), DESCRIPTORS);
    let mut open = connect(program.addr);
    open.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
    until("the attempt", || a.parts().len() + b.parts().len() > 0);
    // More than it can accept; the rest waits in the system's queue.
    let idle: Vec<TcpStream> = (0..2 * DESCRIPTORS).map(|_| connect(program.addr)).collect();
    let (start, ticks) = (Instant::now(), program.processor_ticks());
    release.store(true, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(read_answer(&mut BufReader::new(open.try_clone().unwrap())).unwrap().status, 200);
    std::thread::sleep(LACK.saturating_sub(start.elapsed()));
    let busy = Duration::from_millis(10 * (program.processor_ticks() - ticks));
    assert!(busy < LACK / 4, "{busy:?} of processor time in {LACK:?}");
    drop((idle, open));
    assert_eq!(query(program.addr, "tag-lookup", &[1]).unwrap().status, 200);
    program.signal("TERM");
    let lines = program.ended();
    let told = lines.lines().filter(|l| l.contains("Too many open files")).count();
    assert!((1..=2).contains(&told), "{told} lines tell of it");
}

/// Guards requests while no descriptor is left for a connection to a data node: each gets its final answer in its time, and
/// once there are some again the data nodes are not avoided for it.
#[test]
fn a_lack_of_descriptors_costs_no_final_answer() {
    let (a, b, discovery) = two(served, served);
    let program =
        Program::start_short_of_descriptors(&TestCluster::default().config(discovery.addr), DESCRIPTORS);
    let mut clients: Vec<TcpStream> = Vec::new();
    // Clients that were accepted before, until no more are.
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
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.write_all(&query_bytes("tag-lookup", &[0, 1], "600m")).unwrap();
    }
    let start = Instant::now();
    for stream in &clients {
        let answer = read_answer(&mut BufReader::new(stream.try_clone().unwrap())).expect("a final answer");
        assert!(matches!(answer.status, 200 | 503 | 504), "{}", answer.status);
        assert!(start.elapsed() < Duration::from_millis(1100), "{:?}", start.elapsed());
    }
    drop(clients);
    let back = Instant::now();
    until("service", || query(program.addr, "tag-lookup", &[0, 1]).is_ok_and(|a| a.status == 200));
    assert!(back.elapsed() < Duration::from_secs(1), "{:?}", back.elapsed());
    program.signal("TERM");
    let books = program.ended();
    let blamed = books.lines().any(|l| l.trim_start().starts_with("node ") && !l.contains(" noRoute=0 "));
    assert!(!blamed, "a data node is blamed for what was lacking here:\n{books}");
}

/// Guards all waits against an interruption: half a request, a part that is out, the watch on the list and a call of the
/// second address go on as if nothing had been.
#[test]
fn interrupted_waits_go_on() {
    let (release, slow) = held_back();
    let (a, b) = (DataNode::start(slow.clone()), DataNode::start(slow));
    let discovery = Discovery::start("127.0.0.1:0", vec![member("a", 0, a.addr), member("b", 1, b.addr)]);
    let config = TestCluster::default().config(discovery.addr);
    let config = config.replacen(r#""seed""#, r#""control":"127.0.0.1:0","seed""#, 1);
    let program = Program::start(&config);
    let (mut half, mut whole) = (connect(program.addr), connect(program.addr));
    let mut call = connect(program.control.unwrap());
    let bytes = query_bytes("tag-lookup", &[1], "60000m");
    let call_bytes = call_bytes("GET", "/ops/readiness", "");
    whole.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
    half.write_all(&bytes[..40]).unwrap();
    call.write_all(&call_bytes[..10]).unwrap();
    until("the attempt", || a.parts().len() + b.parts().len() > 0);
    for _ in 0..5 {
        program.interrupt();
    }
    call.write_all(&call_bytes[10..]).unwrap();
    assert_eq!(read_answer(&mut BufReader::new(call)).expect("an answer to the call").status, 200);
    half.write_all(&bytes[40..]).unwrap();
    release.store(true, std::sync::atomic::Ordering::SeqCst);
    for stream in [half, whole] {
        assert_eq!(read_answer(&mut BufReader::new(stream)).unwrap().status, 200);
    }
    assert_eq!(discovery.watches(), 1, "the watch was begun anew");
    assert_eq!(exchange(program.addr, &query_bytes("tag-lookup", &[0], "60000m")).unwrap().status, 200);
}
