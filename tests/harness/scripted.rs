//! A discovery service whose responses the test writes itself, call by call and byte by byte.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A scripted discovery service: the test accepts each call and writes the response.
pub struct ScriptedDiscoveryServer {
    pub listener: TcpListener,
}

impl ScriptedDiscoveryServer {
    pub fn new() -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        (Self { listener }, addr)
    }

    /// Accepts the next connection and reads its request; returns the connection and the request's target.
    pub fn accept_call(&self) -> (TcpStream, String) {
        let (stream, _) = self.listener.accept().unwrap();
        let target = read_request_target(&stream);
        (stream, target)
    }
}

/// Reads the head of one request; returns its target.
pub fn read_request_target(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let (mut first, mut line) = (String::new(), String::new());
    reader.read_line(&mut first).unwrap();
    while line != "\r\n" {
        line.clear();
        assert!(reader.read_line(&mut line).unwrap() > 0, "the connection ended within the request's head");
    }
    first.split(' ').nth(1).unwrap().to_string()
}

/// Response head of a watch.
pub const WATCH_RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Encodes one chunk of a watch's response body.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// A data node's entry in an endpoint list: uid, partition group, address and state.
pub type ListEntry<'a> = (&'a str, u32, SocketAddr, &'a str);

/// Renders a full endpoint list in which every data node is up.
pub fn complete_list(rev: u32, nodes: &[(&str, u32, SocketAddr)]) -> String {
    let entries: Vec<ListEntry> =
        nodes.iter().map(|&(uid, partition_group, addr)| (uid, partition_group, addr, "up")).collect();
    list_update(rev, true, &entries)
}

/// Renders a full endpoint list (`all`) or a change to the previous one.
pub fn list_update(rev: u32, all: bool, entries: &[ListEntry]) -> String {
    let entry = |(uid, partition_group, addr, state): &ListEntry| {
        format!(r#"{{"uid":"{uid}","endpoint":"{addr}","pod_group":{partition_group},"state":"{state}"}}"#)
    };
    let entries: Vec<String> = entries.iter().map(entry).collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, entries.join(","))
}
