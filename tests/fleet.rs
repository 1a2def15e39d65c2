//! A large deployment: 1,024 data nodes in indented lists, within the least descriptors that the platform gives.

mod harness;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;

use curlewdeck::api::EndpointState;
use curlewdeck::config::{Config, Edge};
use curlewdeck::startup::{self, Coordinator};
use serde_json::{json, Value};

use harness::scripted::{chunk, Scripted, WATCH};
use harness::stand_in::DataNode;
use harness::{query, ready, served, until, TestCluster};

const NODES: u32 = 1024;
/// The least that the platform gives.
const DESCRIPTORS: u32 = 256;
/// Bytes of a chunk: no entry of a list fits in one.
const PIECE: usize = 100;

/// Each shard has one holder.
fn cluster() -> TestCluster {
    let sockets = DESCRIPTORS;
    TestCluster {
        cells: NODES,
        in_a_row: 1,
        ranges: NODES,
        discovery: "pushed",
        sockets,
        ..TestCluster::default()
    }
}

/// An entry of the list with all that the list's service writes.
fn entry(cell: u32, endpoint: SocketAddr) -> Value {
    json!({
        "uid": format!("s-{cell:08x}"), "endpoint": endpoint.to_string(), "az": "a", "model": "m2",
        "pod_group": cell, "state": "up", "capacity_hint": 1.0, "boot_ms": 0,
    })
}

fn list(rev: u32, all: bool, endpoint: SocketAddr) -> Value {
    let targets: Vec<Value> = (0..NODES).map(|cell| entry(cell, endpoint)).collect();
    json!({ "rev": rev, "all": all, "targets": targets })
}

fn indented(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap() + "\n"
}

/// A text of ASCII in many small chunks.
fn chunks(text: &str) -> Vec<u8> {
    text.as_bytes().chunks(PIECE).flat_map(|piece| chunk(std::str::from_utf8(piece).unwrap())).collect()
}

/// All data nodes are known, and the first and the last are asked.
fn all_known(coordinator: &Coordinator) {
    all_listed(coordinator);
    for shard in [0, NODES - 1] {
        assert_eq!(query(coordinator.listen, "tag-lookup", &[shard]).unwrap().status, 200);
    }
}

/// All data nodes are listed in the books.
fn all_listed(coordinator: &Coordinator) {
    ready(coordinator);
    let in_service = || {
        let books = coordinator.ledger_snapshot().unwrap();
        assert_eq!((books.nodes_unlisted, books.nodes_evicted), (0, 0));
        books.nodes.iter().filter(|n| n.state == EndpointState::Active).count()
    };
    until("all data nodes", || in_service() == NODES as usize);
}

fn list_errors(coordinator: &Coordinator) -> u64 {
    coordinator.core.counters.discovery_call_errors.load(Ordering::SeqCst)
}

/// Guards the whole list as an answer with a length, and in chunks.
#[test]
fn a_whole_list_of_a_large_fleet_is_read() {
    for chunked in [false, true] {
        let node = DataNode::start(served);
        let (discovery, addr) = Scripted::new();
        let coordinator = cluster().start(addr, "");
        // What cannot be read has the whole list asked for.
        let (mut watch, _) = discovery.call();
        watch.write_all(&[WATCH, &chunk("nonsense\n")].concat()).unwrap();
        let (mut call, target) = discovery.call();
        assert_eq!(target, "/catalog/members");
        let text = indented(&list(41, true, node.addr));
        let answer = match chunked {
            true => [WATCH, &chunks(&text), b"0\r\n\r\n"].concat(),
            false => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()).into_bytes(),
        };
        call.write_all(&answer).unwrap();
        all_known(&coordinator);
        assert_eq!(list_errors(&coordinator), 1, "only the nonsense");
    }
}

/// Guards a change that names all data nodes in one object, and one that comes as an object for each.
#[test]
fn a_change_of_a_large_fleet_is_read_from_a_watch() {
    let node = DataNode::start(served);
    let whole = indented(&list(41, false, node.addr));
    let one = |cell| json!({ "rev": 1 + cell, "all": false, "targets": [entry(cell, node.addr)] });
    let lines: String = (0..NODES).map(|cell| one(cell).to_string() + "\n").collect();
    let objects: String = (0..NODES).map(|cell| indented(&one(cell))).collect();
    for text in [whole, lines, objects] {
        let (discovery, addr) = Scripted::new();
        let coordinator = cluster().start(addr, "");
        let (mut watch, _): (TcpStream, String) = discovery.call();
        watch.write_all(&[WATCH, &chunks(&text)].concat()).unwrap();
        all_known(&coordinator);
        assert_eq!(list_errors(&coordinator), 0);
    }
}

/// Guards the list in the configuration's file: all of it is known before anything has come from the list's service, and
/// it serves once that has confirmed it.
#[test]
fn a_large_fleet_is_known_from_the_configuration() {
    let node = DataNode::start(served);
    let (discovery, addr) = Scripted::new();
    let mut config: Value = serde_json::from_str(&cluster().config(addr)).unwrap();
    config["known"] = list(41, true, node.addr);
    let config = Config::read(&indented(&config), |_| None).unwrap();
    assert_eq!(config.platform(0).nodes, NODES as usize);
    let coordinator = startup::start(config, Edge::default()).unwrap();
    all_listed(&coordinator);
    assert!(node.parts().is_empty());
    let (mut watch, target) = discovery.call();
    assert!(target.ends_with("index=41"), "{target}");
    watch.write_all(&[WATCH, &chunk("{\"rev\":41,\"all\":false,\"targets\":[]}\n")].concat()).unwrap();
    all_known(&coordinator);
}
