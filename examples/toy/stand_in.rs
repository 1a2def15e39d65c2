//! Stand-ins on loopback for what a coordinator talks to: the list's service, data nodes that speak frames,
//! and feature servers. The toy server runs them; the tests give them behaviours.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What a mutex guards, whoever panicked while holding it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Accepts connections, each in a thread of its own.
fn accept(listen: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    accept_at(TcpListener::bind(listen).expect("a loopback address to listen at"), serve)
}

/// The same at a listener that is there.
fn accept_at(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let addr = listener.local_addr().expect("a listener has an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                serve(stream);
            });
        }
    });
    addr
}

/// Reads the head of one request; returns its method and target.
fn request(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|&n| n > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
        if line.trim_end().is_empty() {
            break;
        }
    }
    let mut words = first.split_whitespace();
    Some((words.next()?.to_string(), words.next()?.to_string()))
}

// ---- The list's service. ----

#[derive(Clone)]
pub struct Member {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub cell: u32,
    pub state: &'static str,
    /// When it last started, in milliseconds of Unix time; 0: long ago.
    pub boot_ms: u64,
}

impl Member {
    fn json(&self) -> String {
        let Self { uid, endpoint, cell, state, boot_ms } = self;
        format!(
            r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"a","model":"m","pod_group":{cell},"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
        )
    }
}

#[derive(Default)]
struct List {
    rev: u64,
    members: BTreeMap<String, Member>,
    watchers: Vec<TcpStream>,
    watches: usize,
    lists: usize,
    silent: bool,
}

impl List {
    fn json(&self) -> String {
        let lines: Vec<String> = self.members.values().map(Member::json).collect();
        format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, self.rev, lines.join(","))
    }

    fn tell(&mut self, line: &str) {
        if self.silent {
            return;
        }
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        self.watchers.retain_mut(|w| w.write_all(chunk.as_bytes()).is_ok());
    }
}

/// The list's service: the whole list first, then changes as they are made.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    list: Arc<Mutex<List>>,
}

impl Discovery {
    pub fn start(listen: &str, members: Vec<Member>) -> Self {
        let members = members.into_iter().map(|m| (m.uid.clone(), m)).collect();
        let list = Arc::new(Mutex::new(List { rev: 1, members, ..List::default() }));
        let served = list.clone();
        let addr = accept(listen, move |stream| {
            let Ok(clone) = stream.try_clone() else { return };
            let mut reader = BufReader::new(clone);
            let mut stream = stream;
            while let Some((_, target)) = request(&mut reader) {
                let mut list = lock(&served);
                let body = list.json();
                if target.contains("stream=1") {
                    list.watches += 1;
                    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                    let first = format!("{:x}\r\n{body}\n\r\n", body.len() + 1);
                    if stream.write_all(format!("{head}{first}").as_bytes()).is_ok() {
                        list.watchers.push(stream);
                    }
                    return;
                }
                list.lists += 1;
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                    return;
                }
            }
        });
        let beat = list.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_secs(1));
            lock(&beat).tell("");
        });
        Self { addr, list }
    }

    /// Changes a member's state, and tells the watchers.
    pub fn set(&self, uid: &str, state: &'static str) {
        let mut list = lock(&self.list);
        list.rev += 1;
        let rev = list.rev;
        let Some(member) = list.members.get_mut(uid) else { return };
        member.state = state;
        let line = format!(r#"{{"rev":{rev},"all":false,"targets":[{}]}}"#, member.json());
        list.tell(&line);
    }

    /// Adds a member, and tells the watchers.
    pub fn add(&self, member: Member) {
        let (uid, state) = (member.uid.clone(), member.state);
        lock(&self.list).members.insert(uid.clone(), member);
        self.set(&uid, state);
    }

    /// Puts other members in the place of all, and tells the watchers the whole list.
    pub fn replace(&self, members: Vec<Member>) {
        let mut list = lock(&self.list);
        list.rev += 1;
        list.members = members.into_iter().map(|m| (m.uid.clone(), m)).collect();
        let line = list.json();
        list.tell(&line);
    }

    /// Tells the watchers several members in one change, in this order; the last line of a name is the one kept.
    pub fn change(&self, members: &[Member]) {
        let mut list = lock(&self.list);
        list.rev += 1;
        list.members.extend(members.iter().map(|m| (m.uid.clone(), m.clone())));
        let lines: Vec<String> = members.iter().map(Member::json).collect();
        let line = format!(r#"{{"rev":{},"all":false,"targets":[{}]}}"#, list.rev, lines.join(","));
        list.tell(&line);
    }

    /// Says nothing more, and keeps the connections.
    pub fn silence(&self, silent: bool) {
        lock(&self.list).silent = silent;
    }

    /// How many watches were asked for.
    pub fn watches(&self) -> usize {
        lock(&self.list).watches
    }

    /// How many times the whole list was asked for.
    pub fn lists(&self) -> usize {
        lock(&self.list).lists
    }
}

// ---- Data nodes that speak frames. ----

/// A part as it came.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    pub id: String,
    pub shard: u32,
    pub list: String,
    pub text: String,
}

/// What a data node does with a part.
pub enum NodeReply {
    Answer(u16, u64, String),
    Raw(Vec<u8>),
    Silence,
    Close,
}

/// What a data node has been sent.
#[derive(Debug, Default)]
pub struct Seen {
    pub parts: Vec<Part>,
    /// When the first byte of the frame of each of them came.
    pub begun: Vec<Instant>,
    /// Parts given up by a word, or unanswered with their connection.
    pub given_up: Vec<String>,
    pub connections: usize,
}

impl Seen {
    fn take(&mut self, part: Part, begun: Instant) {
        self.parts.push(part);
        self.begun.push(begun);
    }
}

pub struct DataNode {
    pub addr: SocketAddr,
    pub seen: Arc<Mutex<Seen>>,
}

/// A frame's bytes.
pub fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = (rest.len() as u32 + 1).to_le_bytes().to_vec();
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    bytes
}

/// A frame as it came, and when its first byte did.
pub struct ReadFrame {
    pub letter: u8,
    pub rest: Vec<u8>,
    pub begun: Instant,
}

/// Reads one frame.
pub fn read_frame(stream: &mut TcpStream) -> Option<ReadFrame> {
    let mut head = [0; 4];
    stream.read_exact(&mut head[..1]).ok()?;
    let begun = Instant::now();
    stream.read_exact(&mut head[1..]).ok()?;
    let mut body = vec![0; u32::from_le_bytes(head) as usize];
    stream.read_exact(&mut body).ok()?;
    let letter = *body.first()?;
    Some(ReadFrame { letter, rest: body.split_off(1), begun })
}

/// The parts of a call.
pub fn read_parts(mut rest: &[u8]) -> Vec<Part> {
    let mut parts = Vec::new();
    while let Some(end) = rest.iter().position(|&b| b == b'\n') {
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let fields: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = fields[..] else { break };
        let (Ok(shard), Ok(length)) = (shard.parse(), length.parse::<usize>()) else { break };
        let text = String::from_utf8_lossy(&rest[end + 1..][..length]).into_owned();
        parts.push(Part { id: id.to_string(), shard, list: list.to_string(), text });
        rest = &rest[end + 1 + length..];
    }
    parts
}

impl DataNode {
    pub fn start(reply: impl Fn(&Part) -> NodeReply + Send + Sync + 'static) -> Self {
        Self::at(TcpListener::bind("127.0.0.1:0").expect("a loopback address to listen at"), reply)
    }

    /// One that begins to accept at this listener now.
    pub fn at(listener: TcpListener, reply: impl Fn(&Part) -> NodeReply + Send + Sync + 'static) -> Self {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let (noted, reply) = (seen.clone(), Arc::new(reply));
        let addr = accept_at(listener, move |mut stream| {
            lock(&noted).connections += 1;
            let held = Arc::new(Mutex::new(Vec::<String>::new()));
            while let Some(ReadFrame { letter, rest, begun }) = read_frame(&mut stream) {
                match letter {
                    b'D' => {
                        for part in read_parts(&rest) {
                            lock(&noted).take(part.clone(), begun);
                            lock(&held).push(part.id.clone());
                            let waiting = held.clone();
                            let Ok(mut out) = stream.try_clone() else { return };
                            let reply = reply.clone();
                            // Parts are worked on side by side.
                            thread::spawn(move || match reply(&part) {
                                NodeReply::Answer(end, score, value) => {
                                    lock(&waiting).retain(|h| *h != part.id);
                                    let line = format!("{} {end} {score} qps=1\n{value}", part.id);
                                    let _ = out.write_all(&frame(b'O', line.as_bytes()));
                                }
                                NodeReply::Raw(bytes) => {
                                    let _ = out.write_all(&bytes);
                                }
                                NodeReply::Silence => {}
                                NodeReply::Close => {
                                    let _ = out.shutdown(std::net::Shutdown::Both);
                                }
                            });
                        }
                    }
                    b'K' => {
                        let id = String::from_utf8_lossy(&rest).into_owned();
                        lock(&held).retain(|h| *h != id);
                        lock(&noted).given_up.push(id);
                    }
                    b'I' => {
                        let _ = stream.write_all(&frame(b'I', b"200"));
                    }
                    _ => return,
                }
            }
            lock(&noted).given_up.append(&mut lock(&held));
        });
        Self { addr, seen }
    }

    pub fn parts(&self) -> Vec<Part> {
        lock(&self.seen).parts.clone()
    }

    /// Its parts, and when the first byte of the frame of each came.
    pub fn begun(&self) -> Vec<(Part, Instant)> {
        let seen = lock(&self.seen);
        seen.parts.iter().cloned().zip(seen.begun.iter().copied()).collect()
    }

    pub fn given_up(&self) -> Vec<String> {
        lock(&self.seen).given_up.clone()
    }

    pub fn connections(&self) -> usize {
        lock(&self.seen).connections
    }
}

// ---- Feature servers. ----

/// A request for features, as it came.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FeatureQuery {
    pub target: String,
    pub parameters: BTreeMap<String, String>,
}

impl FeatureQuery {
    fn new(target: String) -> Self {
        let query = target.split_once('?').map_or("", |t| t.1);
        let pair = |p: &str| p.split_once('=').map(|(k, v)| (k.to_string(), v.to_string()));
        let parameters = query.split('&').filter_map(pair).collect();
        Self { target, parameters }
    }

    pub fn number(&self, name: &str) -> Option<usize> {
        self.parameters.get(name)?.parse().ok()
    }

    /// The path's last step.
    pub fn last(&self) -> &str {
        let path = self.target.split('?').next().unwrap_or("");
        path.rsplit('/').next().unwrap_or("")
    }
}

/// What a feature server does with a request.
pub enum FeatureReply {
    Body(u16, String),
    Stall,
    Close,
}

pub struct FeatureServer {
    pub addr: SocketAddr,
    pub seen: Arc<Mutex<Vec<FeatureQuery>>>,
}

impl FeatureServer {
    pub fn start(reply: impl Fn(&FeatureQuery) -> FeatureReply + Send + Sync + 'static) -> Self {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let noted = seen.clone();
        let addr = accept("127.0.0.1:0", move |mut stream| {
            let Ok(clone) = stream.try_clone() else { return };
            let mut reader = BufReader::new(clone);
            while let Some((_, target)) = request(&mut reader) {
                let query = FeatureQuery::new(target);
                lock(&noted).push(query.clone());
                match reply(&query) {
                    FeatureReply::Body(status, body) => {
                        let head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n", body.len());
                        if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                            return;
                        }
                    }
                    // Until the peer gives up.
                    FeatureReply::Stall => {
                        let _ = reader.read(&mut [0]);
                        return;
                    }
                    FeatureReply::Close => return,
                }
            }
        });
        Self { addr, seen }
    }

    pub fn seen(&self) -> Vec<FeatureQuery> {
        lock(&self.seen).clone()
    }
}

/// Features of one range: points along a line, named `RANGE-NUMBER`.
pub fn feature(range: usize, number: usize) -> String {
    let (x, y) = (32.0 + range as f64 / 10.0, 39.0 + number as f64 / 10.0);
    format!(
        r#"{{"type":"Feature","id":"{range}-{number}","geometry":{{"type":"Point","coordinates":[{x:.1},{y:.1}]}},"properties":{{"tag_range":{range}}}}}"#
    )
}

/// A small store: `count` features in each range, at most `page` on a page, with next links.
pub fn store(query: &FeatureQuery, count: usize, page: usize) -> FeatureReply {
    let path = query.target.split('?').next().unwrap_or("");
    if path == "/" {
        return FeatureReply::Body(200, r#"{"links":[]}"#.to_string());
    }
    if !path.ends_with("/items") {
        let found = query.last().split_once('-').and_then(|(r, n)| Some((r.parse().ok()?, n.parse().ok()?)));
        return match found {
            Some((range, number)) if number < count => FeatureReply::Body(200, feature(range, number)),
            _ => FeatureReply::Body(404, r#"{"title":"Not Found"}"#.to_string()),
        };
    }
    let range = query.number("tag_range").unwrap_or(0);
    let offset = query.number("offset").unwrap_or(0);
    let limit = query.number("limit").unwrap_or(10);
    let end = (offset + limit.min(page)).min(count);
    let features: Vec<String> = (offset..end).map(|n| feature(range, n)).collect();
    let next = match end < count {
        true => format!(r#"{{"rel":"next","href":"{path}?tag_range={range}&limit={limit}&offset={end}"}}"#),
        false => String::new(),
    };
    let features = features.join(",");
    FeatureReply::Body(
        200,
        format!(r#"{{"type":"FeatureCollection","features":[{features}],"links":[{next}]}}"#),
    )
}

// ---- A client. ----

/// An answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    /// A header's value; names in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|l| l.split_once(':'));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next()
    }
}

/// Sends bytes on a new connection and reads one answer with a length.
pub fn exchange(addr: SocketAddr, bytes: &[u8]) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect(addr)?;
    stream.write_all(bytes)?;
    read_answer(&mut BufReader::new(stream))
}

/// Reads one answer with a length.
pub fn read_answer(reader: &mut impl BufRead) -> std::io::Result<Answer> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        if line.trim_end().is_empty() {
            break;
        }
        head.push_str(&line);
    }
    let status = head.split_whitespace().nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, head, body: String::new() };
    if answer.header("transfer-encoding").is_some() {
        answer.body = read_chunks(reader)?;
        return Ok(answer);
    }
    let length = answer.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    answer.body = String::from_utf8_lossy(&body).into_owned();
    Ok(answer)
}

fn read_chunks(reader: &mut impl BufRead) -> std::io::Result<String> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let bad = |_| std::io::Error::from(std::io::ErrorKind::InvalidData);
        let size = usize::from_str_radix(line.trim_end(), 16).map_err(bad)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(String::from_utf8_lossy(&body).into_owned());
        }
    }
}

/// A `POST` of JSON, as bytes.
pub fn post_bytes(target: &str, body: &str) -> Vec<u8> {
    format!("POST {target} HTTP/1.1\r\nHost: edge\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// A `GET` on a connection of its own.
pub fn get(addr: SocketAddr, target: &str) -> std::io::Result<Answer> {
    exchange(addr, format!("GET {target} HTTP/1.1\r\nHost: edge\r\n\r\n").as_bytes())
}
