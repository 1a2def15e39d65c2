//! Running a coordinator day to day, on loopback: the second address, figures, draining, settings that change, and a
//! new version under load. The program runs in processes of its own.

mod harness;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use curlewdeck::limits::{Limits, Platform};

use harness::stand_in::{exchange, get, read_answer, DataNode, Discovery, NodeReply};
use harness::{
    held_back, member, operate, query, query_bytes, served, two, until, yes, Program, TestCluster,
};

/// A configuration with a second address, changed as the test wants.
fn config(discovery: &Discovery, change: impl FnOnce(&mut Value)) -> String {
    let mut config: Value = serde_json::from_str(&TestCluster::default().config(discovery.addr)).unwrap();
    config["control"] = json!("127.0.0.1:0");
    change(&mut config);
    config.to_string()
}

/// One class the fewer: the last.
fn without_the_last_class(config: &mut Value) {
    config["settings"]["classes"].as_array_mut().unwrap().pop();
    for by_class in ["class_floor", "class_partial", "complete_from", "second_step"] {
        config["settings"]["domain"][by_class].as_array_mut().unwrap().pop();
    }
}

/// What a client's connection was told: its answer, or that it was closed.
fn answer(stream: TcpStream) -> Option<u16> {
    read_answer(&mut BufReader::new(stream)).ok().map(|a| a.status)
}

fn asked(addr: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(bytes).unwrap();
    stream
}

/// Guards the calls' form, and that stuck callers and a flood of clients cost an operator nothing.
#[test]
fn operators_are_answered_whatever_others_do() {
    let (_a, _b, discovery) = two(|_| NodeReply::Silence, |_| NodeReply::Silence);
    let program = Program::start(&config(&discovery, |_| ()));
    let control = program.control.unwrap();
    let status = |method: &str, path: &str| operate(control, method, path).unwrap().status;
    assert_eq!(status("GET", "/ops/nothing"), 404);
    assert_eq!(status("POST", "/ops/stats"), 405);
    assert_eq!(status("GET", "/ops/drain/start"), 405);
    assert_eq!(exchange(control, b"no call at all\r\n\r\n").unwrap().status, 400);
    let words: [&[u8]; 3] =
        [b"", b"GET /ops/st", b"POST /ops/drain/start HTTP/1.1\r\nContent-Length: 9\r\n\r\n"];
    let mut stuck: Vec<TcpStream> = (0..50).map(|n| asked(control, words[n % 3])).collect();
    let flood: Vec<TcpStream> =
        (0..200).map(|_| asked(program.addr, &query_bytes("tag-lookup", &[0, 1, 2, 3], "60000m"))).collect();
    until("the flood to be in", || program.figure("in_flight").unwrap() > 0);
    for _ in 0..20 {
        assert!(program.figure("attempts").is_some() && yes(control, "GET", "/ops/readiness"));
    }
    // The oldest of them went for newcomers; nothing of theirs was carried out.
    assert_eq!(stuck[0].read(&mut [0]).unwrap_or(0), 0);
    program.operate("POST", "/ops/drain/stop");
    drop((stuck, flood));
    until("the flood to be gone", || program.figure("in_flight") == Some(0));
}

/// Guards the figures against what clients and data nodes counted.
#[test]
fn figures_agree_with_clients_and_data_nodes() {
    let turn = Arc::new(AtomicU64::new(0));
    let reply = move |part: &harness::stand_in::Part| match turn.fetch_add(1, Ordering::SeqCst) % 5 {
        0 => NodeReply::Answer(500, 0, String::new()),
        1 => NodeReply::Answer(503, 0, String::new()),
        _ => served(part),
    };
    let (a, b, discovery) = two(reply.clone(), reply);
    let program = Program::start(&config(&discovery, |_| ()));
    let mut ends = [0_u64; 3];
    for n in 0..20 {
        // Now and then one whose time is over before it is taken.
        let time = if n % 10 == 9 { "1m" } else { "5000m" };
        match exchange(program.addr, &query_bytes("tag-lookup", &[n % 4, (n + 1) % 4], time)).unwrap().status
        {
            200 => ends[0] += 1,
            429 | 503 => ends[1] += 1,
            _ => ends[2] += 1,
        }
    }
    assert!(ends[0] > 0 && ends[1] > 0, "{ends:?}");
    let names = ["served.tag-lookup", "refused.tag-lookup", "failed.tag-lookup"];
    until("the clients' ends", || names.map(|n| program.figure(n).unwrap()) == ends);
    let attempts = || (a.parts().len() + b.parts().len()) as u64;
    until("the data nodes' attempts", || program.figure("attempts") == Some(attempts()));
    assert_eq!(program.figure("in_flight"), Some(0));
    assert_eq!(program.figure("served.plaza-ranking"), Some(0));
    assert_eq!(program.figure("data_nodes_known"), Some(2));
    discovery.set("a", "draining");
    until("the drain of a data node", || program.figure("data_nodes_excluded") >= Some(1));
    assert_eq!(program.figure("data_nodes_known"), Some(2));
    discovery.set("a", "removed");
    until("its end", || program.figure("data_nodes_known") == Some(1));
}

/// Guards a drain: health says no at once, what is open is answered, what rests or has only half a request is closed,
/// and clients are taken again after it; SIGTERM in the middle of a second one ends the process as ever.
#[test]
fn a_drain_empties_and_is_taken_back() {
    let (release, slow) = held_back();
    let (a, b, discovery) = two(slow.clone(), slow);
    let program = Program::start(&config(&discovery, |_| ()));
    let health = || get(program.addr, "/_health").unwrap().status;
    let bytes = query_bytes("tag-lookup", &[0, 1], "60000m");
    let open = asked(program.addr, &bytes);
    until("the parts", || a.parts().len() + b.parts().len() >= 2);
    let idle = asked(program.addr, b"");
    let half = asked(program.addr, &query_bytes("tag-lookup", &[0], "60000m")[..40]);
    for _ in 0..2 {
        program.operate("POST", "/ops/drain/start");
        assert_eq!(health(), 503);
    }
    assert!(!yes(program.control.unwrap(), "GET", "/ops/readiness"));
    assert_eq!((answer(idle), answer(half)), (None, None));
    release.store(true, Ordering::SeqCst);
    let mut reader = BufReader::new(open);
    assert_eq!(read_answer(&mut reader).unwrap().status, 200);
    assert_eq!(reader.read(&mut [0]).unwrap(), 0, "kept open after its answer");
    for _ in 0..2 {
        program.operate("POST", "/ops/drain/stop");
        assert_eq!(health(), 200);
    }
    let mut kept = asked(program.addr, &query_bytes("tag-lookup", &[0], "60000m"));
    assert_eq!(read_answer(&mut BufReader::new(kept.try_clone().unwrap())).unwrap().status, 200);
    kept.write_all(&query_bytes("tag-lookup", &[1], "60000m")).unwrap();
    assert_eq!(answer(kept), Some(200));
    program.operate("POST", "/ops/drain/start");
    program.signal("TERM");
    until("SIGTERM", || !yes(program.control.unwrap(), "POST", "/ops/drain/stop"));
    assert!(program.ended().contains("drained by an operator"));
}

/// Guards settings that change under open queries: one of a class that is dropped, with a retry pending, goes on under
/// the rules it came under; a new class serves; fewer attempts hold for new queries alone.
#[test]
fn open_queries_keep_the_rules_they_came_under() {
    let (release, slow) = held_back();
    let held = release.clone();
    let fails = move |part: &harness::stand_in::Part| match (part.text.as_str(), held.load(Ordering::SeqCst))
    {
        // Fails once the settings have changed, so that its retries come under the new ones.
        ("c41e77d0", _) => match slow(part) {
            _ if part.id.ends_with(".3") => NodeReply::Answer(500, 0, String::new()),
            reply => reply,
        },
        _ => served(part),
    };
    let (a, b, discovery) = two(fails.clone(), fails);
    let program = Program::start(&config(&discovery, |_| ()));
    let open = asked(program.addr, &query_bytes("monthly-settle", &[0, 1], "60000m"));
    let failing = asked(program.addr, &query_bytes("monthly-settle", &[2, 3], "5000m"));
    until("the parts", || a.parts().len() + b.parts().len() >= 4);
    program.reload(&config(&discovery, |c| {
        without_the_last_class(c);
        c["settings"]["limits"]["max_attempts"] = json!(1);
        c["settings"]["classes"][0]["name"] = json!("bridge-toll");
    }));
    until("the new class", || query(program.addr, "bridge-toll", &[9]).unwrap().status == 400);
    assert_eq!(query(program.addr, "monthly-settle", &[0]).unwrap().status, 404);
    let before = a.parts().len() + b.parts().len();
    release.store(true, Ordering::SeqCst);
    assert_eq!(answer(open), Some(200));
    assert_ne!(answer(failing), Some(200));
    let tries = |id: &str| a.parts().iter().chain(&b.parts()).filter(|p| p.id.ends_with(id)).count();
    assert_eq!(tries(".3"), 4, "attempts as the settings had it: {before}");
    assert_eq!(query(program.addr, "bridge-toll", &[0, 1]).unwrap().status, 200);
    assert_ne!(query(program.addr, "bridge-toll", &[3]).unwrap().status, 200);
    assert_eq!(tries(".3"), 5);
    // Both names keep their figures.
    until("the figures", || program.figure("served.bridge-toll") == Some(1));
    assert_eq!(program.figure("served.monthly-settle"), Some(1));
}

/// Guards against taking part of a file: whatever is wrong with one, nothing of it holds, its list's service included.
#[test]
fn a_file_that_cannot_be_taken_changes_nothing() {
    let (_a, _b, discovery) = two(served, served);
    let program = Program::start(&config(&discovery, |_| ()));
    let other = Discovery::start("127.0.0.1:0", Vec::new());
    let drop_key = |c: &mut Value, at: &str, key: &str| {
        drop(c.pointer_mut(at).unwrap().as_object_mut().unwrap().remove(key))
    };
    let whole = config(&other, |_| ());
    let mut bad = vec![String::new(), "{}".into(), whole[..whole.len() / 2].into()];
    for (at, key) in [
        ("", "settings"),
        ("", "discovery"),
        ("", "limits"),
        ("", "seed"),
        ("/settings", "rules"),
        ("/settings/limits", "max_attempts"),
        ("/settings/limits", "retry_after"),
        ("/settings/classes/1", "deadline_ns"),
        ("/settings/classes/1", "late_worth"),
    ] {
        bad.push(config(&other, |c| drop_key(c, at, key)));
    }
    for at in ["/settings/classes/0/deadline_ns", "/settings/limits/max_attempts"] {
        for value in [json!(0), json!(-1), json!("4"), json!(null), json!([1])] {
            bad.push(config(&other, |c| *c.pointer_mut(at).unwrap() = value));
        }
    }
    for (turn, text) in bad.iter().enumerate() {
        program.reload(text);
        until("the file to be turned down", || program.figure("reloads_failed") == Some(turn as u64 + 1));
    }
    assert_eq!((program.figure("reloads_ok"), other.watches() + other.lists()), (Some(0), 0));
    program.reload(&whole);
    until("a good file", || program.figure("reloads_ok") == Some(1) && other.lists() == 1);
    // Files that come fast upon each other end in the last one.
    let last = Discovery::start("127.0.0.1:0", Vec::new());
    for n in 0..10 {
        program.reload(&config(if n == 9 { &last } else { &other }, |_| ()));
    }
    until("the last file", || last.lists() == 1);
    program.signal("TERM");
    let log = program.ended();
    let told: Vec<&str> = log.lines().filter(|l| l.contains("configuration rejected")).collect();
    assert!(told.len() == bad.len() && told.iter().all(|l| l.contains(" file=config.json error=")), "{log}");
    assert!(told[3].contains("settings") && told[6].contains("'seed' is missing"), "{told:?}");
}

/// Guards against a file that is read for long, here a pipe with somebody slow at its other end: clients, figures and
/// signals do not wait for it, what was cut short is turned down, and the file that was put in its place holds.
#[test]
fn a_file_may_be_replaced_while_it_is_read() {
    let (_a, _b, discovery) = two(served, served);
    let program = Program::start(&config(&discovery, |_| ()));
    let pipe = |path: &std::path::Path| {
        assert!(std::process::Command::new("mkfifo").arg(path).status().unwrap().success());
    };
    let path = program.reload_made(pipe);
    // Opened once the program reads it.
    let mut slow = std::fs::File::options().write(true).open(path).unwrap();
    let whole = config(&discovery, without_the_last_class);
    slow.write_all(&whole.as_bytes()[..whole.len() / 2]).unwrap();
    program.reload(&whole);
    assert_eq!(query(program.addr, "monthly-settle", &[0, 1]).unwrap().status, 200);
    assert_eq!((program.figure("reloads_ok"), program.figure("reloads_failed")), (Some(0), Some(0)));
    drop(slow);
    until("both files", || {
        (program.figure("reloads_ok"), program.figure("reloads_failed")) == (Some(1), Some(1))
    });
    until("the dropped class", || query(program.addr, "monthly-settle", &[0]).unwrap().status == 404);
    // Nobody is at the other end of this one.
    program.reload_made(pipe);
    program.signal("TERM");
    assert!(program.ended().contains("configuration applied"));
}

/// Guards a new version under load: two processes at one socket, the old one told to end; every request on new and on
/// kept connections is answered, none refused or reset.
#[test]
fn a_new_version_takes_over_without_turning_anybody_back() {
    let (a, b, discovery) = two(served, served);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let start = || Program::start_with(&config(&discovery, |_| ()), Some(&listener));
    let old = start();
    let stop = Arc::new(AtomicBool::new(false));
    let client = |keeps: bool| {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let (mut served, mut kept): (u64, Option<TcpStream>) = (0, None);
            while !stop.load(Ordering::SeqCst) {
                let mut stream = kept.take().unwrap_or_else(|| TcpStream::connect(addr).unwrap());
                stream.write_all(&query_bytes("tag-lookup", &[0, 1], "60000m")).unwrap();
                let answer = read_answer(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
                assert_eq!(answer.status, 200, "{}", answer.body);
                served += 1;
                let open = answer.header("connection").is_none_or(|c| !c.eq_ignore_ascii_case("close"));
                kept = Some(stream).filter(|_| keeps && open);
                std::thread::sleep(Duration::from_millis(1));
            }
            served
        })
    };
    let clients: Vec<_> = (0..6).map(|n| client(n % 2 == 0)).collect();
    until("traffic", || old.figure("served.tag-lookup") > Some(50));
    let new = start();
    old.signal("TERM");
    let log = old.ended();
    let of_new = || new.figure("served.tag-lookup").unwrap();
    let before = of_new();
    until("traffic at the new one", || of_new() > before + 50);
    stop.store(true, Ordering::SeqCst);
    let served: u64 = clients.into_iter().map(|c| c.join().unwrap()).sum();
    let of_old = log.lines().find_map(|l| l.trim().strip_prefix("cdAnswersWhole ")).unwrap();
    until("all to be counted", || of_old.trim().parse::<u64>().unwrap() + of_new() == served);
    assert!(a.parts().len() + b.parts().len() >= 2 * served as usize);
}

/// Guards a start that cannot be: one clear line names the variable or the address.
#[test]
fn what_cannot_be_listened_at_ends_the_start() {
    let (_a, _b, discovery) = two(served, served);
    let dir = std::env::temp_dir().join(format!("curlewdeck-start-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("config.json");
    std::fs::write(&file, config(&discovery, |_| ())).unwrap();
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = taken.local_addr().unwrap().to_string();
    for (name, value, why) in [
        ("LB_CONTROL", "nowhere", "no address"),
        ("LB_CONTROL", taken.as_str(), "second address"),
        ("LB_LISTEN_FD", "three", "no number"),
        ("LB_LISTEN_FD", "3000", "'3000'"),
    ] {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_curlewdeck"));
        let output = command.arg("serve").arg("--config").arg(&file).env(name, value).output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        let said: Vec<&str> = text.lines().filter(|l| l.starts_with("curlewdeck: ")).collect();
        assert!(!output.status.success() && said.len() == 1 && said[0].contains(why), "{text}");
    }
    std::fs::remove_dir_all(&dir).unwrap();
}

/// Guards the log against a line for every part in the moment in which no socket is left for data nodes: a coordinator
/// wrote hundreds. The parts that were not sent are held against no data node.
#[test]
fn a_lack_of_sockets_is_said_once_in_a_while() {
    let begun = Instant::now();
    let (release, slow) = held_back();
    let node = DataNode::start(slow);
    // One shard at each, and fewer sockets than data nodes.
    let nodes = 60;
    let list = (0..nodes).map(|n| member(&format!("n{n}"), n, node.addr)).collect();
    let discovery = Discovery::start("127.0.0.1:0", list);
    let cluster =
        TestCluster { cells: nodes, in_a_row: 1, ranges: nodes, sockets: 128, ..TestCluster::default() };
    let limits = Limits::within(Platform { sockets: 128, memory_mb: 192, others: 0, nodes: 0 }).unwrap();
    let program = Program::start(&cluster.config(discovery.addr));
    let shards: Vec<u32> = (0..nodes).collect();
    let open = asked(program.addr, &query_bytes("plaza-ranking", &shards, "60000m"));
    until("all sockets taken", || node.parts().len() == limits.node_sockets);
    // The rest of the parts were handed out with these, and is tried again until the end.
    program.signal("TERM");
    release.store(true, Ordering::SeqCst);
    answer(open);
    let log = program.ended();
    let told = log.lines().filter(|l| l.contains("no socket left for a connection to a data node")).count();
    let most = 1 + begun.elapsed().as_nanos() / limits.no_socket_log_interval.as_nanos();
    assert!((1..=most).contains(&(told as u128)), "{told} lines: {log}");
    assert!(
        log.lines().filter(|l| l.trim().starts_with("node ")).all(|l| l.contains(" noRoute=0 ")),
        "{log}"
    );
}
