//! Compares the counts of the request ledger with those of the stand-in clients and data nodes on loopback.

mod harness;

use std::path::Path;

use curlewdeck::api::{EndpointState, Outcome};
use curlewdeck::snapshot_store::{SnapshotContents, STATE_RECORD};
use curlewdeck_accounting::{ClassRow, LedgerSnapshot, QueryEnd};
use curlewdeck_snapshot::record;
use harness::stand_in::{DataNode, Discovery, NodeReply};
use harness::{member, query, set_member_state, wait_until, wait_until_healthy, TestCluster};

const CLASSES: [&str; 3] = ["tag-lookup", "plaza-ranking", "monthly-settle"];

fn ledger(coordinator: &curlewdeck::startup::Coordinator) -> LedgerSnapshot {
    let snapshot = coordinator.ledger_snapshot().expect("the core should answer");
    assert_eq!(snapshot.check(), Ok(()));
    snapshot
}

/// For each class and outcome, the ledger's counts equal the answers that clients got and the parts that data nodes
/// received.
#[test]
fn ledger_counts_match_clients_and_data_nodes() {
    // Odd shards fail at one node, which causes retries and partial answers.
    let nodes = [
        DataNode::start(|_| NodeReply::Answer(200, 1, "v".to_string())),
        DataNode::start(|part| {
            NodeReply::Answer(if part.shard % 2 == 1 { 500 } else { 200 }, 1, "v".to_string())
        }),
    ];
    let members = (0..).zip(&nodes).map(|(cell, n)| member(&format!("s{cell}"), cell, n.addr)).collect();
    let discovery = Discovery::start("127.0.0.1:0", members);
    // Each shard is held by one cell: even shards by cell 0, odd shards by cell 1.
    let coordinator = TestCluster { replicas: 1, ..TestCluster::default() }.start(discovery.addr, "");
    wait_until_healthy(&coordinator);
    // Answers that clients got, by class: complete, partial and others.
    let mut answers = [[0u64; 3]; 3];
    for round in 0..6 {
        for (class, name) in CLASSES.iter().enumerate() {
            let shards: &[u32] = if round % 2 == 0 { &[0, 2] } else { &[0, 1] };
            let answer = query(coordinator.listen, name, shards).unwrap();
            let kind = match (answer.status, answer.body.contains("\"exact\":true")) {
                (200, true) => 0,
                (200, false) => 1,
                _ => 2,
            };
            answers[class][kind] += 1;
        }
    }
    // Some attempts are still open when their query ends.
    wait_until("all attempts to end", || ledger(&coordinator).attempts.in_flight() == 0);
    let snapshot = ledger(&coordinator);
    for (class, name) in CLASSES.iter().enumerate() {
        let row: &ClassRow = &snapshot.classes[class];
        assert_eq!((row.name.as_str(), row.accepted, row.open()), (*name, 6, 0));
        let complete = row.ended_with(QueryEnd::CompleteInTime) + row.ended_with(QueryEnd::CompleteLate);
        let others = row.ended_with(QueryEnd::Rejected)
            + row.ended_with(QueryEnd::Failed)
            + row.ended_with(QueryEnd::ClientDisconnected);
        assert_eq!([complete, row.ended_with(QueryEnd::Partial), others], answers[class], "{name}");
        assert_eq!(row.latency_ms.is_some(), complete + row.ended_with(QueryEnd::Partial) > 0);
    }
    assert!(answers[0][2] > 0 && answers[1][1] > 0, "no failed or no partial answers: {answers:?}");
    for (row, node) in snapshot.nodes.iter().zip(&nodes) {
        let received = row.attempts.started
            - row.attempts.ended_with(Outcome::NotSent)
            - row.attempts.ended_with(Outcome::ConnectFailed);
        assert_eq!(received, node.received_parts().len() as u64, "node {}", row.name);
        assert_eq!((row.state, row.drains), (EndpointState::Active, 0));
    }
    assert!(snapshot.nodes[1].attempts.ended_with(Outcome::ServerError) > 0);
    let counters = &coordinator.core.counters;
    let all: std::collections::BTreeMap<_, _> = counters.all().into_iter().collect();
    assert_eq!(all["cdQueriesTaken"], snapshot.sum(|c| c.accepted));
    assert_eq!(all["cdAttemptsSent"], snapshot.attempts.started);
    let report = coordinator.report();
    assert!(report.contains("class tag-lookup taken=6 open=0"), "{report}");
    assert!(report.contains("node 1 s0 In drains=0"), "{report}");
    // A drain and a removal are recorded, and the row of a removed data node is kept for a while.
    set_member_state(&coordinator, &discovery, "s1", "draining");
    assert_eq!(
        (ledger(&coordinator).nodes[1].state, ledger(&coordinator).nodes[1].drains),
        (EndpointState::Draining, 1)
    );
    set_member_state(&coordinator, &discovery, "s1", "removed");
    wait_until("the removal of the data node", || ledger(&coordinator).nodes[1].removed_at.is_some());
    assert_eq!(ledger(&coordinator).nodes[1].attempts, snapshot.nodes[1].attempts);
}

/// Reads the state stored in a folder.
fn read_stored_state(folder: &Path) -> SnapshotContents {
    record::open(STATE_RECORD, &std::fs::read(folder.join("books")).unwrap()).unwrap()
}

fn total_ended(contents: &SnapshotContents) -> u64 {
    contents.ledger.classes.iter().flat_map(|class| class.ended).sum()
}

/// After an orderly end and after SIGKILL, totals continue from the stored state: they are at least the stored totals
/// and at most the number of served queries.
#[test]
fn totals_continue_after_a_restart() {
    use std::process::{Child, Command, Stdio};
    let folder = std::env::temp_dir().join(format!("curlewdeck-books-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let node = DataNode::start(|_| NodeReply::Answer(200, 1, "v".to_string()));
    let discovery =
        Discovery::start("127.0.0.1:0", vec![member("a", 0, node.addr), member("b", 1, node.addr)]);
    let edge = format!("[state]\nfolder = {folder:?}\nevery_s = 1\n");
    std::fs::write(folder.join("edge.toml"), edge).unwrap();
    // Deadlines are short here, so that the process ends soon after SIGTERM.
    let config = TestCluster { deadline_s: 1, ..TestCluster::default() }.config(discovery.addr);
    std::fs::write(folder.join("config.json"), config).unwrap();
    let start = || -> (Child, std::net::SocketAddr) {
        let mut child = Command::new(env!("CARGO_BIN_EXE_curlewdeck"))
            .args(["serve", "--config", "config.json", "--edge", "edge.toml"])
            .current_dir(&folder)
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        // The log contains the address.
        use std::io::BufRead;
        let mut lines = std::io::BufReader::new(child.stderr.take().unwrap()).lines();
        let addr = loop {
            let line = lines.next().expect("the log should contain the listening address").unwrap();
            if let Some((_, fields)) = line.split_once("] listening for clients ") {
                break harness::logged_address(fields);
            }
        };
        // Drain the pipe, so that the process does not block on writing its log.
        std::thread::spawn(move || lines.for_each(drop));
        wait_until("a passing health check", || {
            harness::stand_in::get(addr, "/_health").is_ok_and(|a| a.status == 200)
        });
        (child, addr)
    };
    let total = || total_ended(&read_stored_state(&folder));
    let mut served = 0;
    for round in 0..4 {
        let (mut child, addr) = start();
        assert_eq!(read_stored_state(&folder).boots, round + 1);
        for _ in 0..5 {
            served += u64::from(query(addr, "tag-lookup", &[0, 1]).unwrap().status == 200);
        }
        if round % 2 == 0 {
            let ended = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
            assert!(ended.success() && child.wait().unwrap().success());
            assert_eq!(total(), served, "all served queries are stored at the end");
        } else {
            let before = total();
            child.kill().unwrap();
            child.wait().unwrap();
            let after = total();
            assert!((before..=served).contains(&after), "{after} of {served} queries counted after a kill");
            // Only counts that were not yet written are lost.
            served = after;
        }
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Writes to the state folder fail for a while. The stored state remains intact meanwhile, and the counts are written
/// once writes succeed again.
#[test]
fn counts_are_stored_once_writes_succeed_again() {
    let folder = std::env::temp_dir().join(format!("curlewdeck-books-fails-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let node = DataNode::start(|_| NodeReply::Answer(200, 1, "v".to_string()));
    let discovery =
        Discovery::start("127.0.0.1:0", vec![member("a", 0, node.addr), member("b", 1, node.addr)]);
    let edge = format!("[state]\nfolder = {folder:?}\nevery_s = 1\n");
    let coordinator = TestCluster::default().start(discovery.addr, &edge);
    wait_until_healthy(&coordinator);
    let total = || total_ended(&read_stored_state(&folder));
    // State is first written to a file of this name: a folder in its place makes all writes fail.
    let obstacle = folder.join("books.new");
    std::fs::create_dir(&obstacle).unwrap();
    for _ in 0..5 {
        assert_eq!(query(coordinator.listen, "tag-lookup", &[0, 1]).unwrap().status, 200);
    }
    let start = std::time::Instant::now();
    while start.elapsed() < std::time::Duration::from_millis(2500) {
        assert_eq!(total(), 0, "the stored state changed while writes failed");
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    std::fs::remove_dir(&obstacle).unwrap();
    wait_until("the stored counts", || total() == 5);
    std::fs::remove_dir_all(&folder).unwrap();
}
