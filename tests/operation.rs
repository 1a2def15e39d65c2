//! Operation of a coordinator on loopback, run as a separate process: the control address, statistics, draining,
//! changes of settings, and the handover to a new version under load.

mod harness;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use curlewdeck::limits::{Limits, PlatformBounds};

use harness::stand_in::{get, read_answer, send_request, DataNode, Discovery, NodeReply};
use harness::{
    control_request_succeeds, gated_reply, member, query, query_bytes, send_control_request,
    start_two_data_nodes, successful_reply, wait_until, Program, TestCluster,
};

/// Renders a configuration with a control address, after `change` has modified it.
fn config(discovery: &Discovery, change: impl FnOnce(&mut Value)) -> String {
    let mut config: Value = serde_json::from_str(&TestCluster::default().config(discovery.addr)).unwrap();
    config["control"] = json!("127.0.0.1:0");
    change(&mut config);
    config.to_string()
}

/// Removes the last class together with its entries in the domain's per-class lists.
fn remove_last_class(config: &mut Value) {
    config["settings"]["classes"].as_array_mut().unwrap().pop();
    for by_class in ["class_floor", "class_partial", "complete_from", "second_step"] {
        config["settings"]["domain"][by_class].as_array_mut().unwrap().pop();
    }
}

/// Reads the status of the next answer, or `None` if the connection closes first.
fn read_status(stream: TcpStream) -> Option<u16> {
    read_answer(&mut BufReader::new(stream)).ok().map(|a| a.status)
}

fn connect_and_send(addr: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(bytes).unwrap();
    stream
}

/// Stuck control connections and a flood of queries do not block control requests. Requests with an unknown path, a
/// wrong method or a malformed head get 404, 405 and 400.
#[test]
fn control_requests_are_answered_despite_stuck_clients_and_load() {
    let (_a, _b, discovery) = start_two_data_nodes(|_| NodeReply::Silence, |_| NodeReply::Silence);
    let program = Program::start(&config(&discovery, |_| ()));
    let control = program.control.unwrap();
    let status = |method: &str, path: &str| send_control_request(control, method, path).unwrap().status;
    assert_eq!(status("GET", "/ops/nothing"), 404);
    assert_eq!(status("POST", "/ops/stats"), 405);
    assert_eq!(status("GET", "/ops/drain/start"), 405);
    assert_eq!(send_request(control, b"no call at all\r\n\r\n").unwrap().status, 400);
    let incomplete: [&[u8]; 3] =
        [b"", b"GET /ops/st", b"POST /ops/drain/start HTTP/1.1\r\nContent-Length: 9\r\n\r\n"];
    let mut stuck: Vec<TcpStream> = (0..50).map(|n| connect_and_send(control, incomplete[n % 3])).collect();
    let flood: Vec<TcpStream> = (0..200)
        .map(|_| connect_and_send(program.addr, &query_bytes("tag-lookup", &[0, 1, 2, 3], "60000m")))
        .collect();
    wait_until("the flood to be in flight", || program.statistic("in_flight").unwrap() > 0);
    for _ in 0..20 {
        assert!(
            program.statistic("attempts").is_some()
                && control_request_succeeds(control, "GET", "/ops/readiness")
        );
    }
    // The oldest stuck connection was closed for newer ones, and none of the incomplete requests was executed.
    assert_eq!(stuck[0].read(&mut [0]).unwrap_or(0), 0);
    program.control_request("POST", "/ops/drain/stop");
    drop((stuck, flood));
    wait_until("the flood to end", || program.statistic("in_flight") == Some(0));
}

/// The statistics match the counts of the clients and the data nodes.
#[test]
fn statistics_match_the_counts_of_clients_and_data_nodes() {
    let turn = Arc::new(AtomicU64::new(0));
    let reply = move |part: &harness::stand_in::Part| match turn.fetch_add(1, Ordering::SeqCst) % 5 {
        0 => NodeReply::Answer(500, 0, String::new()),
        1 => NodeReply::Answer(503, 0, String::new()),
        _ => successful_reply(part),
    };
    let (a, b, discovery) = start_two_data_nodes(reply.clone(), reply);
    let program = Program::start(&config(&discovery, |_| ()));
    let mut outcomes = [0_u64; 3];
    for n in 0..20 {
        // Every tenth query's timeout is too short for the query to be accepted.
        let timeout = if n % 10 == 9 { "1m" } else { "5000m" };
        match send_request(program.addr, &query_bytes("tag-lookup", &[n % 4, (n + 1) % 4], timeout))
            .unwrap()
            .status
        {
            200 => outcomes[0] += 1,
            429 | 503 => outcomes[1] += 1,
            _ => outcomes[2] += 1,
        }
    }
    assert!(outcomes[0] > 0 && outcomes[1] > 0, "{outcomes:?}");
    let names = ["served.tag-lookup", "refused.tag-lookup", "failed.tag-lookup"];
    wait_until("the clients' outcomes", || names.map(|n| program.statistic(n).unwrap()) == outcomes);
    let attempts = || (a.received_parts().len() + b.received_parts().len()) as u64;
    wait_until("the data nodes' attempts", || program.statistic("attempts") == Some(attempts()));
    assert_eq!(program.statistic("in_flight"), Some(0));
    assert_eq!(program.statistic("served.plaza-ranking"), Some(0));
    assert_eq!(program.statistic("data_nodes_known"), Some(2));
    discovery.set_state("a", "draining");
    wait_until("the drain of a data node", || program.statistic("data_nodes_excluded") >= Some(1));
    assert_eq!(program.statistic("data_nodes_known"), Some(2));
    discovery.set_state("a", "removed");
    wait_until("the removal of the data node", || program.statistic("data_nodes_known") == Some(1));
}

/// During a drain the health check fails at once, open queries are answered, and connections that are idle or have only
/// an incomplete request are closed. Clients are accepted again after the drain is stopped. SIGTERM during a second
/// drain ends the process as usual.
#[test]
fn drain_completes_open_queries_and_can_be_stopped() {
    let (release, slow) = gated_reply();
    let (a, b, discovery) = start_two_data_nodes(slow.clone(), slow);
    let program = Program::start(&config(&discovery, |_| ()));
    let health = || get(program.addr, "/_health").unwrap().status;
    let bytes = query_bytes("tag-lookup", &[0, 1], "60000m");
    let open = connect_and_send(program.addr, &bytes);
    wait_until("the parts", || a.received_parts().len() + b.received_parts().len() >= 2);
    let idle = connect_and_send(program.addr, b"");
    let incomplete = connect_and_send(program.addr, &query_bytes("tag-lookup", &[0], "60000m")[..40]);
    for _ in 0..2 {
        program.control_request("POST", "/ops/drain/start");
        assert_eq!(health(), 503);
    }
    assert!(!control_request_succeeds(program.control.unwrap(), "GET", "/ops/readiness"));
    assert_eq!((read_status(idle), read_status(incomplete)), (None, None));
    release.store(true, Ordering::SeqCst);
    let mut reader = BufReader::new(open);
    assert_eq!(read_answer(&mut reader).unwrap().status, 200);
    assert_eq!(reader.read(&mut [0]).unwrap(), 0, "the connection stayed open after its answer");
    for _ in 0..2 {
        program.control_request("POST", "/ops/drain/stop");
        assert_eq!(health(), 200);
    }
    let mut persistent = connect_and_send(program.addr, &query_bytes("tag-lookup", &[0], "60000m"));
    assert_eq!(read_answer(&mut BufReader::new(persistent.try_clone().unwrap())).unwrap().status, 200);
    persistent.write_all(&query_bytes("tag-lookup", &[1], "60000m")).unwrap();
    assert_eq!(read_status(persistent), Some(200));
    program.control_request("POST", "/ops/drain/start");
    program.signal("TERM");
    wait_until("the shutdown", || {
        !control_request_succeeds(program.control.unwrap(), "POST", "/ops/drain/stop")
    });
    assert!(program.wait_for_exit().contains("drained by an operator"));
}

/// The settings change while queries are open. A query of a removed class, with a retry pending, keeps the settings
/// under which it was accepted; a new class is served; a lower attempt limit applies to new queries only.
#[test]
fn open_queries_keep_the_settings_of_their_acceptance() {
    let (release, slow) = gated_reply();
    let released = release.clone();
    let fail_shard_3 =
        move |part: &harness::stand_in::Part| match (part.text.as_str(), released.load(Ordering::SeqCst)) {
            // Fails after the settings have changed, so that the retries happen while the new settings are in effect.
            ("c41e77d0", _) => match slow(part) {
                _ if part.id.ends_with(".3") => NodeReply::Answer(500, 0, String::new()),
                reply => reply,
            },
            _ => successful_reply(part),
        };
    let (a, b, discovery) = start_two_data_nodes(fail_shard_3.clone(), fail_shard_3);
    let program = Program::start(&config(&discovery, |_| ()));
    let open = connect_and_send(program.addr, &query_bytes("monthly-settle", &[0, 1], "60000m"));
    let failing = connect_and_send(program.addr, &query_bytes("monthly-settle", &[2, 3], "5000m"));
    wait_until("the parts", || a.received_parts().len() + b.received_parts().len() >= 4);
    program.reload(&config(&discovery, |c| {
        remove_last_class(c);
        c["settings"]["limits"]["max_attempts"] = json!(1);
        c["settings"]["classes"][0]["name"] = json!("bridge-toll");
    }));
    wait_until("the new class to be in effect", || {
        query(program.addr, "bridge-toll", &[9]).unwrap().status == 400
    });
    assert_eq!(query(program.addr, "monthly-settle", &[0]).unwrap().status, 404);
    let before = a.received_parts().len() + b.received_parts().len();
    release.store(true, Ordering::SeqCst);
    assert_eq!(read_status(open), Some(200));
    assert_ne!(read_status(failing), Some(200));
    let attempts = |id: &str| {
        a.received_parts().iter().chain(&b.received_parts()).filter(|p| p.id.ends_with(id)).count()
    };
    assert_eq!(
        attempts(".3"),
        4,
        "expected as many attempts as the old settings allow; {before} parts before the release"
    );
    assert_eq!(query(program.addr, "bridge-toll", &[0, 1]).unwrap().status, 200);
    assert_ne!(query(program.addr, "bridge-toll", &[3]).unwrap().status, 200);
    assert_eq!(attempts(".3"), 5);
    // The statistics of both classes remain.
    wait_until("the statistics of the new class", || program.statistic("served.bridge-toll") == Some(1));
    assert_eq!(program.statistic("served.monthly-settle"), Some(1));
}

/// The silence after which a connection to a data node gets no new parts is a share of the shortest latency objective.
/// After a reload with a shorter one, a part must not wait on a connection that is silent by it.
#[test]
fn connection_that_is_silent_by_the_settings_in_force_gets_no_new_parts() {
    const SILENT_SHARD: u32 = 3;
    // Far above the silence of 100 ms that follows from the new objective, far below that of 4 s from the old one.
    const SILENCE: Duration = Duration::from_millis(500);
    let silent = |part: &harness::stand_in::Part| match part.shard {
        SILENT_SHARD => NodeReply::Silence,
        _ => successful_reply(part),
    };
    let node = DataNode::start(silent);
    let discovery = Discovery::start("127.0.0.1:0", vec![member("a", 0, node.addr)]);
    let cluster = TestCluster { partition_groups: 1, replicas: 1, ..TestCluster::default() };
    let config = |objective: Duration| {
        let mut config: Value = serde_json::from_str(&cluster.config(discovery.addr)).unwrap();
        config["control"] = json!("127.0.0.1:0");
        config["settings"]["limits"]["probes"] = json!(false);
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["aim_ns"] = json!(objective.as_nanos() as u64);
        }
        config.to_string()
    };
    let program = Program::start(&config(Duration::from_secs(20)));
    assert_eq!(query(program.addr, "tag-lookup", &[0]).unwrap().status, 200);
    program.reload(&config(Duration::from_millis(500)));
    wait_until("the reload", || program.statistic("reloads_ok") == Some(1));
    let _open = connect_and_send(program.addr, &query_bytes("tag-lookup", &[SILENT_SHARD], "60000m"));
    wait_until("the silent part", || node.received_parts().iter().any(|part| part.shard == SILENT_SHARD));
    assert_eq!(node.connections(), 1);
    std::thread::sleep(SILENCE);
    assert_eq!(query(program.addr, "tag-lookup", &[0]).unwrap().status, 200);
    assert!(node.connections() > 1, "a part was sent on the silent connection");
}

/// An invalid configuration file is rejected as a whole, whatever the fault: nothing of it is applied, including its
/// discovery address.
#[test]
fn invalid_file_changes_nothing() {
    let (_a, _b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let program = Program::start(&config(&discovery, |_| ()));
    let other = Discovery::start("127.0.0.1:0", Vec::new());
    let remove_key = |c: &mut Value, at: &str, key: &str| {
        drop(c.pointer_mut(at).unwrap().as_object_mut().unwrap().remove(key))
    };
    let valid = config(&other, |_| ());
    let mut invalid = vec![String::new(), "{}".into(), valid[..valid.len() / 2].into()];
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
        invalid.push(config(&other, |c| remove_key(c, at, key)));
    }
    for at in ["/settings/classes/0/deadline_ns", "/settings/limits/max_attempts"] {
        for value in [json!(0), json!(-1), json!("4"), json!(null), json!([1])] {
            invalid.push(config(&other, |c| *c.pointer_mut(at).unwrap() = value));
        }
    }
    for (turn, text) in invalid.iter().enumerate() {
        program.reload(text);
        wait_until("the file's rejection", || program.statistic("reloads_failed") == Some(turn as u64 + 1));
    }
    assert_eq!(
        (program.statistic("reloads_ok"), other.watch_requests() + other.list_requests()),
        (Some(0), 0)
    );
    program.reload(&valid);
    wait_until("the valid file to be applied", || {
        program.statistic("reloads_ok") == Some(1) && other.list_requests() == 1
    });
    // After several reloads in quick succession the last file is in effect.
    let last = Discovery::start("127.0.0.1:0", Vec::new());
    for n in 0..10 {
        program.reload(&config(if n == 9 { &last } else { &other }, |_| ()));
    }
    wait_until("the last file to be applied", || last.list_requests() == 1);
    program.signal("TERM");
    let log = program.wait_for_exit();
    let rejections: Vec<&str> = log.lines().filter(|l| l.contains("configuration rejected")).collect();
    assert!(
        rejections.len() == invalid.len()
            && rejections.iter().all(|l| l.contains(" file=config.json error=")),
        "{log}"
    );
    assert!(
        rejections[3].contains("settings") && rejections[6].contains("'seed' is missing"),
        "{rejections:?}"
    );
}

/// Reading a file may take long; here it is a pipe with a slow writer. Clients, statistics and signals do not wait for
/// the read, the truncated file is rejected, and the file that replaced it is applied.
#[test]
fn file_may_be_replaced_while_it_is_read() {
    let (_a, _b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let program = Program::start(&config(&discovery, |_| ()));
    let pipe = |path: &std::path::Path| {
        assert!(std::process::Command::new("mkfifo").arg(path).status().unwrap().success());
    };
    let path = program.reload_with(pipe);
    // The open blocks until the program opens the pipe for reading.
    let mut slow_writer = std::fs::File::options().write(true).open(path).unwrap();
    let complete = config(&discovery, remove_last_class);
    slow_writer.write_all(&complete.as_bytes()[..complete.len() / 2]).unwrap();
    program.reload(&complete);
    assert_eq!(query(program.addr, "monthly-settle", &[0, 1]).unwrap().status, 200);
    assert_eq!((program.statistic("reloads_ok"), program.statistic("reloads_failed")), (Some(0), Some(0)));
    drop(slow_writer);
    wait_until("both files to be processed", || {
        (program.statistic("reloads_ok"), program.statistic("reloads_failed")) == (Some(1), Some(1))
    });
    wait_until("the removal of the class", || {
        query(program.addr, "monthly-settle", &[0]).unwrap().status == 404
    });
    // This pipe has no writer.
    program.reload_with(pipe);
    program.signal("TERM");
    assert!(program.wait_for_exit().contains("configuration applied"));
}

/// A new process takes over the listening socket under load and the old one gets SIGTERM. Every request on new and on
/// persistent connections is answered; none is rejected or reset.
#[test]
fn new_version_takes_over_without_rejecting_requests() {
    let (a, b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let start = || Program::start_with(&config(&discovery, |_| ()), Some(&listener));
    let old = start();
    let stop = Arc::new(AtomicBool::new(false));
    let client = |persistent: bool| {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let (mut served, mut connection): (u64, Option<TcpStream>) = (0, None);
            while !stop.load(Ordering::SeqCst) {
                let mut stream = connection.take().unwrap_or_else(|| TcpStream::connect(addr).unwrap());
                stream.write_all(&query_bytes("tag-lookup", &[0, 1], "60000m")).unwrap();
                let answer = read_answer(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
                assert_eq!(answer.status, 200, "{}", answer.body);
                served += 1;
                let open = answer.header("connection").is_none_or(|c| !c.eq_ignore_ascii_case("close"));
                connection = Some(stream).filter(|_| persistent && open);
                std::thread::sleep(Duration::from_millis(1));
            }
            served
        })
    };
    let clients: Vec<_> = (0..6).map(|n| client(n % 2 == 0)).collect();
    wait_until("traffic", || old.statistic("served.tag-lookup") > Some(50));
    let new = start();
    old.signal("TERM");
    let log = old.wait_for_exit();
    let served_by_new = || new.statistic("served.tag-lookup").unwrap();
    let before = served_by_new();
    wait_until("traffic at the new process", || served_by_new() > before + 50);
    stop.store(true, Ordering::SeqCst);
    let served: u64 = clients.into_iter().map(|c| c.join().unwrap()).sum();
    let served_by_old = log.lines().find_map(|l| l.trim().strip_prefix("cdAnswersWhole ")).unwrap();
    wait_until("the count of all answers", || {
        served_by_old.trim().parse::<u64>().unwrap() + served_by_new() == served
    });
    assert!(a.received_parts().len() + b.received_parts().len() >= 2 * served as usize);
}

/// An address or descriptor that the program cannot listen on ends the start with one line that names the variable or
/// the address at fault.
#[test]
fn unusable_listening_address_ends_the_start() {
    let (_a, _b, discovery) = start_two_data_nodes(successful_reply, successful_reply);
    let dir = std::env::temp_dir().join(format!("curlewdeck-start-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("config.json");
    std::fs::write(&file, config(&discovery, |_| ())).unwrap();
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = taken.local_addr().unwrap().to_string();
    for (name, value, why) in [
        ("LB_CONTROL", "nowhere", "is not an address"),
        ("LB_CONTROL", taken.as_str(), "second address"),
        ("LB_LISTEN_FD", "three", "not a descriptor number"),
        ("LB_LISTEN_FD", "3000", "'3000'"),
    ] {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_curlewdeck"));
        let output = command.arg("serve").arg("--config").arg(&file).env(name, value).output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        let errors: Vec<&str> = text.lines().filter(|l| l.starts_with("curlewdeck: ")).collect();
        assert!(!output.status.success() && errors.len() == 1 && errors[0].contains(why), "{text}");
    }
    std::fs::remove_dir_all(&dir).unwrap();
}

/// When no socket is left for connections to data nodes, a log line for every part would fill the log: a coordinator
/// wrote hundreds. The message is rate-limited, and no data node is blamed for the parts that were not sent.
#[test]
fn lack_of_sockets_is_logged_at_a_limited_rate() {
    let started = Instant::now();
    let (release, slow) = gated_reply();
    let node = DataNode::start(slow);
    // One shard per data node, and fewer sockets than data nodes.
    let nodes = 60;
    let list = (0..nodes).map(|n| member(&format!("n{n}"), n, node.addr)).collect();
    let discovery = Discovery::start("127.0.0.1:0", list);
    let cluster = TestCluster {
        partition_groups: nodes,
        replicas: 1,
        ranges: nodes,
        sockets: 128,
        ..TestCluster::default()
    };
    let limits =
        Limits::within(PlatformBounds { sockets: 128, memory_mb: 192, other_processes: 0, nodes: 0 })
            .unwrap();
    let program = Program::start(&cluster.config(discovery.addr));
    let shards: Vec<u32> = (0..nodes).collect();
    let open = connect_and_send(program.addr, &query_bytes("plaza-ranking", &shards, "60000m"));
    wait_until("all sockets to be in use", || node.received_parts().len() == limits.node_sockets);
    // The remaining parts were dispatched together with these and are retried until the end.
    program.signal("TERM");
    release.store(true, Ordering::SeqCst);
    read_status(open);
    let log = program.wait_for_exit();
    let messages =
        log.lines().filter(|l| l.contains("no socket left for a connection to a data node")).count();
    let max_messages = 1 + started.elapsed().as_nanos() / limits.no_socket_log_interval.as_nanos();
    assert!((1..=max_messages).contains(&(messages as u128)), "{messages} lines: {log}");
    assert!(
        log.lines().filter(|l| l.trim().starts_with("node ")).all(|l| l.contains(" noRoute=0 ")),
        "{log}"
    );
}
