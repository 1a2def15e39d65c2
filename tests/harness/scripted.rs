//! A discovery service whose responses the test writes itself, call by call and byte by byte.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A scripted discovery service: the test accepts each call and writes the response.
pub struct Scripted {
    pub listener: TcpListener,
}

impl Scripted {
    pub fn new() -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        (Self { listener }, addr)
    }

    /// Accepts the next connection and reads its request; returns the connection and the request's target.
    pub fn call(&self) -> (TcpStream, String) {
        let (stream, _) = self.listener.accept().unwrap();
        let target = asked(&stream);
        (stream, target)
    }
}

/// Reads the head of one request; returns its target.
pub fn asked(stream: &TcpStream) -> String {
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
pub const WATCH: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Encodes one chunk of a watch's response body.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// A data node's entry in an endpoint list: uid, partition group, address and state.
pub type Line<'a> = (&'a str, u32, SocketAddr, &'a str);

/// Renders a full endpoint list in which every data node is up.
pub fn list(rev: u32, nodes: &[(&str, u32, SocketAddr)]) -> String {
    let lines: Vec<Line> = nodes.iter().map(|&(uid, cell, addr)| (uid, cell, addr, "up")).collect();
    news(rev, true, &lines)
}

/// Renders a full endpoint list (`all`) or a change to the previous one.
pub fn news(rev: u32, all: bool, lines: &[Line]) -> String {
    let line = |(uid, cell, addr, state): &Line| {
        format!(r#"{{"uid":"{uid}","endpoint":"{addr}","pod_group":{cell},"state":"{state}"}}"#)
    };
    let lines: Vec<String> = lines.iter().map(line).collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, lines.join(","))
}
