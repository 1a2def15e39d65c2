//! Endpoint lists of 1,024 data nodes, written as indented JSON, in a process limited to the smallest number of
//! descriptors that the platform allows.

mod harness;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;

use curlewdeck::api::EndpointState;
use curlewdeck::config::{Config, EdgeConfig};
use curlewdeck::startup::{self, Coordinator};
use serde_json::{json, Value};

use harness::scripted::{chunk, ScriptedDiscoveryServer, WATCH_RESPONSE_HEAD};
use harness::stand_in::DataNode;
use harness::{query, successful_reply, wait_until, wait_until_healthy, TestCluster};

const NODES: u32 = 1024;
/// The smallest limit of descriptors that the platform sets.
const DESCRIPTORS: u32 = 256;
/// Smaller than any entry of a list, so that each entry spans several chunks.
const CHUNK_BYTES: usize = 100;

/// A cluster in which each shard is held by one data node.
fn large_cluster() -> TestCluster {
    let sockets = DESCRIPTORS;
    TestCluster {
        partition_groups: NODES,
        replicas: 1,
        ranges: NODES,
        discovery: "pushed",
        sockets,
        ..TestCluster::default()
    }
}

/// An entry of the endpoint list with all fields that discovery writes.
fn list_entry(cell: u32, endpoint: SocketAddr) -> Value {
    json!({
        "uid": format!("s-{cell:08x}"), "endpoint": endpoint.to_string(), "az": "a", "model": "m2",
        "pod_group": cell, "state": "up", "capacity_hint": 1.0, "boot_ms": 0,
    })
}

fn endpoint_list(rev: u32, all: bool, endpoint: SocketAddr) -> Value {
    let targets: Vec<Value> = (0..NODES).map(|cell| list_entry(cell, endpoint)).collect();
    json!({ "rev": rev, "all": all, "targets": targets })
}

fn indented(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap() + "\n"
}

/// Encodes ASCII text as many small chunks.
fn chunks(text: &str) -> Vec<u8> {
    text.as_bytes().chunks(CHUNK_BYTES).flat_map(|bytes| chunk(std::str::from_utf8(bytes).unwrap())).collect()
}

/// Waits until the ledger lists all data nodes as active, then queries the first and the last.
fn assert_all_nodes_serve(coordinator: &Coordinator) {
    wait_until_all_nodes_are_active(coordinator);
    for shard in [0, NODES - 1] {
        assert_eq!(query(coordinator.listen, "tag-lookup", &[shard]).unwrap().status, 200);
    }
}

/// Waits until the ledger lists all data nodes as active.
fn wait_until_all_nodes_are_active(coordinator: &Coordinator) {
    wait_until_healthy(coordinator);
    let active_nodes = || {
        let ledger = coordinator.ledger_snapshot().unwrap();
        assert_eq!((ledger.nodes_unlisted, ledger.nodes_evicted), (0, 0));
        ledger.nodes.iter().filter(|n| n.state == EndpointState::Active).count()
    };
    wait_until("all data nodes to be active", || active_nodes() == NODES as usize);
}

fn discovery_call_errors(coordinator: &Coordinator) -> u64 {
    coordinator.core.counters.discovery_call_errors.load(Ordering::SeqCst)
}

/// Reads the complete list from a body with `Content-Length` and from a chunked body.
#[test]
fn a_complete_list_of_1024_nodes_is_read() {
    for chunked in [false, true] {
        let node = DataNode::start(successful_reply);
        let (discovery, addr) = ScriptedDiscoveryServer::new();
        let coordinator = large_cluster().start(addr, "");
        // An invalid line makes the coordinator request the complete list.
        let (mut watch, _) = discovery.accept_call();
        watch.write_all(&[WATCH_RESPONSE_HEAD, &chunk("nonsense\n")].concat()).unwrap();
        let (mut call, target) = discovery.accept_call();
        assert_eq!(target, "/catalog/members");
        let text = indented(&endpoint_list(41, true, node.addr));
        let answer = match chunked {
            true => [WATCH_RESPONSE_HEAD, &chunks(&text), b"0\r\n\r\n"].concat(),
            false => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()).into_bytes(),
        };
        call.write_all(&answer).unwrap();
        assert_all_nodes_serve(&coordinator);
        assert_eq!(discovery_call_errors(&coordinator), 1, "only the invalid line counts as an error");
    }
}

/// Reads changes to all data nodes from a watch: all in one object, or one object for each data node.
#[test]
fn changes_to_1024_nodes_are_read_from_a_watch() {
    let node = DataNode::start(successful_reply);
    let single_object = indented(&endpoint_list(41, false, node.addr));
    let change = |cell| json!({ "rev": 1 + cell, "all": false, "targets": [list_entry(cell, node.addr)] });
    let lines: String = (0..NODES).map(|cell| change(cell).to_string() + "\n").collect();
    let objects: String = (0..NODES).map(|cell| indented(&change(cell))).collect();
    for text in [single_object, lines, objects] {
        let (discovery, addr) = ScriptedDiscoveryServer::new();
        let coordinator = large_cluster().start(addr, "");
        let (mut watch, _): (TcpStream, String) = discovery.accept_call();
        watch.write_all(&[WATCH_RESPONSE_HEAD, &chunks(&text)].concat()).unwrap();
        assert_all_nodes_serve(&coordinator);
        assert_eq!(discovery_call_errors(&coordinator), 0);
    }
}

/// The data nodes of the list in the configuration file are active before discovery has sent anything, and serve once
/// discovery has confirmed the list.
#[test]
fn nodes_of_the_configured_list_are_active_before_discovery_answers() {
    let node = DataNode::start(successful_reply);
    let (discovery, addr) = ScriptedDiscoveryServer::new();
    let mut config: Value = serde_json::from_str(&large_cluster().config(addr)).unwrap();
    config["known"] = endpoint_list(41, true, node.addr);
    let config = Config::read(&indented(&config), |_| None).unwrap();
    assert_eq!(config.platform_bounds(0).nodes, NODES as usize);
    let coordinator = startup::start(config, EdgeConfig::default()).unwrap();
    wait_until_all_nodes_are_active(&coordinator);
    assert!(node.received_parts().is_empty());
    let (mut watch, target) = discovery.accept_call();
    assert!(target.ends_with("index=41"), "{target}");
    watch
        .write_all(&[WATCH_RESPONSE_HEAD, &chunk("{\"rev\":41,\"all\":false,\"targets\":[]}\n")].concat())
        .unwrap();
    assert_all_nodes_serve(&coordinator);
}
