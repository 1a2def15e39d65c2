//! What happens when a request, an answer, a signal or news of the list comes between two steps: each crossing is forced
//! on real sockets, by a gate, a paused peer or a scripted one (docs/design/crossings.md).

mod harness;

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use curlewdeck::limits::{Limits, Platform};

use harness::scripted::{chunk, list, Scripted, WATCH};
use harness::stand_in::{exchange, get, read_answer, DataNode, Discovery, NodeReply};
use harness::{held_back, member, query_bytes, ready, served, two, until, Program, TestCluster};

/// Far longer than anything here takes, and an end all the same.
const LONG: Duration = Duration::from_secs(60);

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

fn answer_on(stream: &TcpStream) -> std::io::Result<harness::stand_in::Answer> {
    read_answer(&mut BufReader::new(stream.try_clone().unwrap()))
}

fn draining(addr: SocketAddr) {
    until("the drain", || get(addr, "/_health").map_or(true, |a| a.status == 503));
}

// ---- Shutdown. ----

/// Guards what is held when SIGTERM comes: its clients would wait for a minute, its data nodes hang, and SIGKILL may come
/// as soon as the longest deadline and 0.7 s are over. A second SIGTERM and a SIGHUP change nothing.
#[test]
fn all_that_is_held_at_sigterm_is_answered_before_sigkill() {
    let (a, b, discovery) = two(|_| NodeReply::Silence, |_| NodeReply::Silence);
    let config = TestCluster { deadline_s: 1, ..TestCluster::default() }.config(discovery.addr);
    let program = Program::start(&config);
    let addr = program.addr;
    let held = ["tag-lookup", "plaza-ranking", "monthly-settle"].map(|class| {
        let bytes = query_bytes(class, &[0, 1], "60000m");
        thread::spawn(move || (exchange(addr, &bytes), Instant::now()))
    });
    until("the parts", || a.parts().len() + b.parts().len() >= 6);
    program.signal("TERM");
    let term = Instant::now();
    program.signal("TERM");
    program.reload(&config);
    for asked in held {
        let (answer, at) = asked.join().unwrap();
        assert!(matches!(answer.unwrap().status, 503 | 504));
        assert!(at - term < Duration::from_millis(1700), "{:?}", at - term);
    }
    program.ended();
}

/// Guards a request of which half has come when connections at rest are closed: it is read on, and answered.
#[test]
fn half_a_request_at_the_end_is_answered_once_it_is_whole() {
    let (_a, _b, discovery) = two(served, served);
    // Connections at rest are closed half a second after SIGTERM then.
    let program =
        Program::start(&TestCluster { deadline_s: 1, ..TestCluster::default() }.config(discovery.addr));
    let (mut half, mut resting) = (connect(program.addr), connect(program.addr));
    for stream in [&mut half, &mut resting] {
        stream.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
        assert_eq!(answer_on(stream).unwrap().status, 200);
    }
    let bytes = query_bytes("tag-lookup", &[1], "60000m");
    program.signal("TERM");
    draining(program.addr);
    half.write_all(&bytes[..40]).unwrap();
    // The other connection's end tells that those at rest are being closed.
    assert_eq!(resting.read(&mut [0; 8]).unwrap(), 0);
    half.write_all(&bytes[40..]).unwrap();
    assert_eq!(answer_on(&half).unwrap().status, 200);
    drop((half, resting));
    program.ended();
}

/// Guards a request that crosses the end of its connection: it is not sent on, and the connection is not reset, so that
/// its client reads an end and asks elsewhere.
#[test]
fn a_request_behind_the_end_of_its_connection_is_not_sent_on() {
    let (a, b, discovery) = two(served, served);
    let program = Program::start(&TestCluster::default().config(discovery.addr));
    let mut resting = connect(program.addr);
    resting.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
    assert_eq!(answer_on(&resting).unwrap().status, 200);
    let parts = a.parts().len() + b.parts().len();
    program.signal("TERM");
    assert_eq!(resting.read(&mut [0; 8]).unwrap(), 0);
    // Written before the end was read, as far as the program can tell.
    resting.write_all(&query_bytes("tag-lookup", &[1], "60000m")).unwrap();
    resting.write_all(&query_bytes("tag-lookup", &[2], "60000m")).unwrap();
    assert_eq!(resting.read(&mut [0; 8]).unwrap(), 0, "reset or answered");
    drop(resting);
    program.ended();
    assert_eq!(a.parts().len() + b.parts().len(), parts);
}

/// Guards the requests that come on kept connections after SIGTERM, as long as these stay open.
#[test]
fn a_kept_connection_is_served_after_sigterm() {
    let (_a, _b, discovery) = two(served, served);
    let program = Program::start(&TestCluster::default().config(discovery.addr));
    let mut kept = connect(program.addr);
    kept.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
    assert_eq!(answer_on(&kept).unwrap().status, 200);
    program.signal("TERM");
    draining(program.addr);
    kept.write_all(&query_bytes("tag-lookup", &[1], "60000m")).unwrap();
    assert_eq!(answer_on(&kept).unwrap().status, 200);
    drop(kept);
    program.ended();
}

/// Guards an answer against what its client sends behind the request: the connection is not closed over it.
#[test]
fn an_answer_is_not_lost_to_what_comes_behind_its_request() {
    let (_a, _b, discovery) = two(served, served);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let mut stream = connect(coordinator.listen);
    let last = String::from_utf8(query_bytes("tag-lookup", &[0], "60000m")).unwrap();
    let last = last.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    stream.write_all(&[last.as_bytes(), &[b'x'; 200_000]].concat()).unwrap();
    assert_eq!(answer_on(&stream).unwrap().status, 200);
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).unwrap();
}

/// Guards the word that there is no place: the request that came with the connection does not reset it.
#[test]
fn who_is_turned_away_is_told_and_not_reset() {
    let (release, slow) = held_back();
    let (_a, _b, discovery) = two(slow.clone(), slow);
    let coordinator = TestCluster { sockets: 128, ..TestCluster::default() }.start(discovery.addr, "");
    ready(&coordinator);
    let addr = coordinator.listen;
    let places =
        Limits::within(Platform { sockets: 128, memory_mb: 192, others: 0, nodes: 0 }).unwrap().clients;
    let taken = || coordinator.core.counters.queries_accepted.load(Ordering::SeqCst);
    let open: Vec<TcpStream> = (1..=places as u64)
        .map(|n| {
            let mut stream = connect(addr);
            stream.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
            until("the open request", || taken() == n);
            stream
        })
        .collect();
    let mut late = connect(addr);
    late.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
    assert_eq!(answer_on(&late).unwrap().status, 503);
    late.write_all(b"and more").unwrap();
    assert_eq!(late.read(&mut [0; 8]).unwrap(), 0, "reset");
    release.store(true, Ordering::SeqCst);
    open.iter().for_each(|stream| assert!(answer_on(stream).is_ok()));
}

// ---- Clients that leave. ----

/// Guards against work for a client that has sent more behind its request and gone: what it sent does not hide that, and
/// nothing of what was behind is sent on. Once with one request behind, once with far more than is held.
#[test]
fn a_client_that_sent_ahead_and_left_is_gone() {
    for behind in [1, 2000] {
        let (a, b, discovery) = two(|_| NodeReply::Silence, |_| NodeReply::Silence);
        let coordinator = TestCluster::default().start(discovery.addr, "");
        ready(&coordinator);
        let parts = || [a.parts(), b.parts()].concat();
        let mut stream = connect(coordinator.listen);
        stream.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
        until("the part", || !parts().is_empty());
        let ahead: Vec<u8> = (0..behind).flat_map(|_| query_bytes("tag-lookup", &[1], "60000m")).collect();
        stream.write_all(&ahead).unwrap();
        drop(stream);
        until("the leaving", || coordinator.core.counters.clients_disconnected.load(Ordering::SeqCst) == 1);
        until("the part given up", || a.given_up().len() + b.given_up().len() == parts().len());
        assert!(parts().iter().all(|p| p.shard == 0), "sent on for a client that has left");
    }
}

/// Guards what was sent ahead, too: it is answered, one after the other, and what is more than that ends the connection.
#[test]
fn what_is_sent_ahead_is_answered_in_turn_up_to_a_bound() {
    let (release, slow) = held_back();
    let (a, b, discovery) = two(slow.clone(), slow);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let mut stream = connect(coordinator.listen);
    let one = query_bytes("tag-lookup", &[0], "60000m").len();
    let most = Limits::default().read_ahead.div_ceil(one) + 1 + 4096 / one;
    stream.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
    until("the part", || a.parts().len() + b.parts().len() == 1);
    // More than the sockets on the way hold: once it is written, more than is held has been read.
    let ahead: Vec<u8> =
        (0..16_000_000 / one).flat_map(|_| query_bytes("tag-lookup", &[1], "60000m")).collect();
    stream.write_all(&ahead).unwrap();
    release.store(true, Ordering::SeqCst);
    let mut reader = BufReader::new(stream);
    let mut answers = 0;
    while read_answer(&mut reader).is_ok_and(|a| a.status == 200) {
        answers += 1;
    }
    assert!(answers > 10 && answers <= 1 + most, "{answers} of {most}");
}

/// Guards a query that waits for a data node to take more: once its client has left it is never sent on.
#[test]
fn a_query_whose_client_left_while_it_waited_is_not_sent_on() {
    let (release, slow) = held_back();
    let (a, b, discovery) = two(slow.clone(), slow);
    let coordinator = TestCluster::default().start(discovery.addr, "");
    ready(&coordinator);
    let ask = || {
        let mut stream = connect(coordinator.listen);
        stream.write_all(&query_bytes("tag-lookup", &[0], "60000m")).unwrap();
        stream
    };
    let taken = || coordinator.core.counters.queries_accepted.load(Ordering::SeqCst);
    let parts = || a.parts().len() + b.parts().len();
    // Until one more is taken and waits.
    let mut open = Vec::new();
    loop {
        let (parts_before, taken_before) = (parts(), taken());
        open.push(ask());
        until("the query", || taken() > taken_before);
        let start = Instant::now();
        while parts() == parts_before && start.elapsed() < Duration::from_millis(100) {
            thread::sleep(Duration::from_millis(1));
        }
        if parts() == parts_before {
            break;
        }
    }
    let (waits, sent) = (open.pop().unwrap(), parts());
    drop(waits);
    until("the leaving", || coordinator.core.counters.clients_disconnected.load(Ordering::SeqCst) == 1);
    release.store(true, Ordering::SeqCst);
    open.iter().for_each(|stream| assert_eq!(answer_on(stream).unwrap().status, 200));
    assert_eq!(parts(), sent);
}

// ---- Attempts. ----

/// A class of its own effect in the bed's settings.
fn with_effect(config: String, effect: &str) -> String {
    config.replacen(r#""effect":"idempotent""#, &format!(r#""effect":"{effect}""#), 1)
}

/// Guards a class that may not be repeated: its part was read, and its connection then broke. A class that may be
/// repeated for a while is, within that while and not after it.
#[test]
fn a_part_that_may_have_run_is_repeated_only_as_its_class_allows() {
    let window = |ms: u64| format!(r#"deduplicated","repeat_window_ns":{ms}000000,"x":""#);
    for (effect, breaks_after, tries) in [
        ("at_most_once".to_string(), 0, 1),
        (window(60_000), 0, 2),
        (window(100), 300, 1),
        ("idempotent".to_string(), 0, 2),
    ] {
        let first = Arc::new(AtomicBool::new(true));
        let breaks = move |part: &harness::stand_in::Part| {
            if first.swap(false, Ordering::SeqCst) {
                // Paced by the settings: the window of the class is over by then, or far from it.
                thread::sleep(Duration::from_millis(breaks_after));
                return NodeReply::Close;
            }
            served(part)
        };
        let (a, b, discovery) = two(breaks.clone(), breaks);
        let config = with_effect(TestCluster::default().config(discovery.addr), &effect);
        let program = Program::start(&config);
        let answer = exchange(program.addr, &query_bytes("tag-lookup", &[0], "2000m")).unwrap();
        assert_eq!(answer.status == 200, tries == 2, "{effect}: {}", answer.status);
        assert_eq!(a.parts().len() + b.parts().len(), tries, "{effect}");
    }
}

/// Guards a part against a connection that its data node closed while it rested: what was never written goes over
/// another one, also where the part may not be repeated.
#[test]
fn a_connection_that_was_closed_at_rest_costs_no_part() {
    let node = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = Discovery::start("127.0.0.1:0", vec![member("a", 0, node.local_addr().unwrap())]);
    let config = with_effect(
        TestCluster { cells: 1, in_a_row: 1, ..TestCluster::default() }.config(discovery.addr),
        "at_most_once",
    );
    let program = Program::start(&config);
    let addr = program.addr;
    for _ in 0..20 {
        let asked =
            thread::spawn(move || exchange(addr, &query_bytes("tag-lookup", &[0], "20000m")).unwrap());
        let (mut stream, _) = node.accept().unwrap();
        let mut head = [0; 4];
        stream.read_exact(&mut head).unwrap();
        let mut call = vec![0; u32::from_le_bytes(head) as usize];
        stream.read_exact(&mut call).unwrap();
        let id = String::from_utf8_lossy(&call[1..]).split(' ').next().unwrap().to_string();
        let line = format!("O{id} 200 1 -\nv0");
        // The answer and the connection's end come in one.
        stream.write_all(&[&(line.len() as u32).to_le_bytes(), line.as_bytes()].concat()).unwrap();
        drop(stream);
        assert_eq!(asked.join().unwrap().status, 200);
    }
}

// ---- Discovery. ----

/// Two data nodes that hold every shard, and their list.
fn listed() -> (DataNode, DataNode, String) {
    let (a, b) = (DataNode::start(served), DataNode::start(served));
    let text = list(1, &[("a", 0, a.addr), ("b", 1, b.addr)]);
    (a, b, text)
}

/// Lists may come indented, cut anywhere, and from a service that gives a watch no length.
#[test]
fn an_indented_list_is_read_however_it_comes() {
    for chunked in [true, false] {
        let (_a, _b, text) = listed();
        let value: serde_json::Value = serde_json::from_str(&text).unwrap();
        let indented = serde_json::to_string_pretty(&value).unwrap() + "\n";
        let (discovery, addr) = Scripted::new();
        let coordinator = TestCluster::default().start(addr, "");
        let (mut watch, target) = discovery.call();
        assert!(target.contains("stream=1"), "{target}");
        let (head, tail) = indented.split_at(indented.len() / 2);
        if chunked {
            watch.write_all(&[WATCH, &chunk(head), &chunk(tail)].concat()).unwrap();
        } else {
            watch.write_all(&[b"HTTP/1.1 200 OK\r\n\r\n", indented.as_bytes()].concat()).unwrap();
        }
        ready(&coordinator);
        assert_eq!(coordinator.core.counters.discovery_call_errors.load(Ordering::SeqCst), 0);
    }
}

/// Guards against a watch that is silent from its first second, goes on with half a line, or with one that never ends:
/// the next call begins early enough to be answered before what was missed counts as told, 6 s after.
#[test]
fn a_watch_without_whole_lines_is_opened_anew_in_time() {
    for kind in ["nothing", "head only", "half a line", "endless"] {
        let (_a, _b, text) = listed();
        let (discovery, addr) = Scripted::new();
        let coordinator = TestCluster::default().start(addr, "");
        let (mut watch, _) = discovery.call();
        let begun = Instant::now();
        let kept = thread::spawn(move || {
            let sent = match kind {
                "nothing" => Vec::new(),
                "head only" => WATCH.to_vec(),
                _ => [WATCH, &chunk(&(text + "\n"))].concat(),
            };
            watch.write_all(&sent).unwrap();
            let drops: &[&str] = match kind {
                "half a line" => &["{\"rev\":2"],
                "endless" => &["{\"rev\":2,\"targets\":["; 1],
                _ => &[],
            };
            drops.iter().for_each(|text| watch.write_all(&chunk(text)).unwrap());
            // Goes on for as long as it is taken, a byte at a time.
            while kind == "endless" && watch.write_all(&chunk(" ")).is_ok() {
                thread::sleep(Duration::from_millis(50));
            }
            watch
        });
        let (_again, _) = discovery.call();
        // A call may take 2.2 s.
        assert!(begun.elapsed() < Duration::from_millis(3800), "{kind}: {:?}", begun.elapsed());
        drop((kept, coordinator));
    }
}

/// Guards a move by SIGHUP while a call is open: what the old service still says is not heard, and the new one is asked
/// at once.
#[test]
fn a_move_while_a_call_is_open_leaves_the_call() {
    let (old, addr) = Scripted::new();
    let program_thread = thread::spawn({
        let config = TestCluster::default().config(addr);
        move || Program::start(&config)
    });
    let (mut first, _) = old.call();
    let (a, b, text) = listed();
    first.write_all(&[WATCH, &chunk(&(text + "\n"))].concat()).unwrap();
    let program = program_thread.join().unwrap();
    // The watch ends, and its next call is open when the service moves.
    drop(first);
    let (mut open, _) = old.call();
    let c = DataNode::start(served);
    let moved = Discovery::start("127.0.0.1:0", vec![member("c", 0, c.addr), member("d", 1, c.addr)]);
    program.reload(&TestCluster::default().config(moved.addr));
    until("the new watch", || moved.watches() == 1 && moved.lists() == 1);
    // Too late: it is not heard, whether or not its connection still takes it.
    let late = list(9, &[("a", 0, a.addr), ("b", 1, b.addr)]);
    let _ = open.write_all(&[WATCH, &chunk(&(late + "\n"))].concat());
    let parts = a.parts().len() + b.parts().len();
    for shard in 0..4 {
        assert_eq!(
            exchange(program.addr, &query_bytes("tag-lookup", &[shard], "20000m")).unwrap().status,
            200
        );
    }
    assert_eq!(a.parts().len() + b.parts().len(), parts);
    assert_eq!(c.parts().len(), 4);
}

/// Guards the whole list where its answer has no length: a connection that ends gives all of it, and one that is reset
/// gives nothing, whatever came before.
#[test]
fn a_list_without_length_ends_with_its_connection_and_not_with_a_reset() {
    let (a, b, text) = listed();
    let first = Discovery::start("127.0.0.1:0", vec![member("a", 0, a.addr), member("b", 1, b.addr)]);
    let program = Program::start(&TestCluster::default().config(first.addr));
    let (next, addr) = Scripted::new();
    program.reload(&TestCluster::default().config(addr));
    // Closing with the request unread resets the connection behind what was written.
    let (mut reset, _) = next.listener.accept().unwrap();
    until("the request", || reset.peek(&mut [0; 8]).is_ok_and(|n| n > 0));
    let only_c = list(7, &[("c", 0, a.addr)]);
    reset.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{only_c}").as_bytes()).unwrap();
    drop(reset);
    let (mut ends, target) = next.call();
    assert_eq!(target, "/catalog/members", "a reset list was taken");
    ends.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{text}").as_bytes()).unwrap();
    drop(ends);
    let (_watch, target) = next.call();
    assert!(target.ends_with("stream=1&index=1"), "{target}");
    drop(program);
}

/// Guards discovery's share of the descriptors: clients that say nothing take all places while it is down, and at its
/// return it is asked all the same.
#[test]
fn discovery_is_reached_while_idle_clients_hold_all_places() {
    let (a, b, text) = listed();
    let (discovery, addr) = Scripted::new();
    let cluster = TestCluster { sockets: 128, ..TestCluster::default() };
    let coordinator = cluster.start(addr, "");
    let (mut watch, _) = discovery.call();
    watch.write_all(&[WATCH, &chunk(&(text.clone() + "\n"))].concat()).unwrap();
    ready(&coordinator);
    drop((discovery, watch));
    let idle: Vec<TcpStream> = (0..200).map(|_| connect(coordinator.listen)).collect();
    let listener = loop {
        match TcpListener::bind(addr) {
            Ok(listener) => break listener,
            Err(e) if e.kind() == ErrorKind::AddrInUse => thread::sleep(Duration::from_millis(5)),
            Err(e) => panic!("{e}"),
        }
    };
    let (mut watch, _) = Scripted { listener }.call();
    watch.write_all(&[WATCH, &chunk(&(text + "\n"))].concat()).unwrap();
    drop((idle, a, b));
}
