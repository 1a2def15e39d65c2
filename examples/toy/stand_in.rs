//! Fake servers on loopback for the coordinator's peers: the discovery service, data nodes that use the frame protocol,
//! and feature servers; also a small HTTP client. The toy deployment runs them, and tests supply their replies.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Locks a mutex, ignoring poisoning by a thread that panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Binds an address and serves each accepted connection in a separate thread. Returns the bound address.
fn bind_and_serve(listen: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    serve_listener(TcpListener::bind(listen).expect("bind a loopback address"), serve)
}

/// Serves each connection accepted by a bound listener in a separate thread. Returns the listener's address.
fn serve_listener(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let addr = listener.local_addr().expect("local address of a bound listener");
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

/// Reads the head of one HTTP request; returns its method and target, or `None` once the connection ends.
fn read_request_head(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut request_line = String::new();
    reader.read_line(&mut request_line).ok().filter(|&n| n > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
        if line.trim_end().is_empty() {
            break;
        }
    }
    let mut fields = request_line.split_whitespace();
    Some((fields.next()?.to_string(), fields.next()?.to_string()))
}

// ---- Discovery service ----

/// An endpoint list entry.
#[derive(Clone)]
pub struct Member {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub cell: u32,
    pub state: &'static str,
    /// Time of the last start in milliseconds of Unix time; 0 if the server started long ago.
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
struct DiscoveryState {
    rev: u64,
    members: BTreeMap<String, Member>,
    watchers: Vec<TcpStream>,
    watch_requests: usize,
    list_requests: usize,
    silent: bool,
}

impl DiscoveryState {
    fn full_list_json(&self) -> String {
        let entries: Vec<String> = self.members.values().map(Member::json).collect();
        format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, self.rev, entries.join(","))
    }

    /// Sends a line to all watchers as one chunk, unless silent, and drops watchers whose connection fails.
    fn send_to_watchers(&mut self, line: &str) {
        if self.silent {
            return;
        }
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        self.watchers.retain_mut(|watcher| watcher.write_all(chunk.as_bytes()).is_ok());
    }
}

/// A discovery service. A watch gets the full endpoint list, then each change as it is made.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
}

impl Discovery {
    pub fn start(listen: &str, members: Vec<Member>) -> Self {
        let members = members.into_iter().map(|m| (m.uid.clone(), m)).collect();
        let state = Arc::new(Mutex::new(DiscoveryState { rev: 1, members, ..DiscoveryState::default() }));
        let served = state.clone();
        let addr = bind_and_serve(listen, move |stream| {
            let Ok(clone) = stream.try_clone() else { return };
            let mut reader = BufReader::new(clone);
            let mut stream = stream;
            while let Some((_, target)) = read_request_head(&mut reader) {
                let mut state = lock(&served);
                let body = state.full_list_json();
                if target.contains("stream=1") {
                    state.watch_requests += 1;
                    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                    let first = format!("{:x}\r\n{body}\n\r\n", body.len() + 1);
                    if stream.write_all(format!("{head}{first}").as_bytes()).is_ok() {
                        state.watchers.push(stream);
                    }
                    return;
                }
                state.list_requests += 1;
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                    return;
                }
            }
        });
        let heartbeat = state.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_secs(1));
            lock(&heartbeat).send_to_watchers("");
        });
        Self { addr, state }
    }

    /// Changes a member's state and sends the change to the watchers.
    pub fn set_state(&self, uid: &str, state: &'static str) {
        let mut discovery = lock(&self.state);
        discovery.rev += 1;
        let rev = discovery.rev;
        let Some(member) = discovery.members.get_mut(uid) else { return };
        member.state = state;
        let line = format!(r#"{{"rev":{rev},"all":false,"targets":[{}]}}"#, member.json());
        discovery.send_to_watchers(&line);
    }

    /// Adds a member and sends the change to the watchers.
    pub fn add(&self, member: Member) {
        let (uid, state) = (member.uid.clone(), member.state);
        lock(&self.state).members.insert(uid.clone(), member);
        self.set_state(&uid, state);
    }

    /// Replaces all members and sends the full list to the watchers.
    pub fn replace(&self, members: Vec<Member>) {
        let mut state = lock(&self.state);
        state.rev += 1;
        state.members = members.into_iter().map(|m| (m.uid.clone(), m)).collect();
        let line = state.full_list_json();
        state.send_to_watchers(&line);
    }

    /// Adds or updates members and sends them to the watchers in one change, in the given order. If a `uid` occurs more
    /// than once, its last entry is stored.
    pub fn change(&self, members: &[Member]) {
        let mut state = lock(&self.state);
        state.rev += 1;
        state.members.extend(members.iter().map(|m| (m.uid.clone(), m.clone())));
        let entries: Vec<String> = members.iter().map(Member::json).collect();
        let line = format!(r#"{{"rev":{},"all":false,"targets":[{}]}}"#, state.rev, entries.join(","));
        state.send_to_watchers(&line);
    }

    /// Stops or resumes sending to the watchers; their connections stay open.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.state).silent = silent;
    }

    /// Returns the number of watches requested.
    pub fn watch_requests(&self) -> usize {
        lock(&self.state).watch_requests
    }

    /// Returns the number of requests for the full list, watches excluded.
    pub fn list_requests(&self) -> usize {
        lock(&self.state).list_requests
    }
}

// ---- Data nodes that use the frame protocol ----

/// A part as received.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    pub id: String,
    pub shard: u32,
    /// The part's parameters as `key=value` fields, separated by commas.
    pub parameters: String,
    pub text: String,
}

/// A data node's reaction to a part.
pub enum NodeReply {
    /// An answer frame with this status, score and value.
    Answer(u16, u64, String),
    /// These bytes, sent without a frame around them.
    Raw(Vec<u8>),
    /// No reply; the connection stays open.
    Silence,
    /// No reply; the connection is shut down.
    Close,
}

/// Parts and connections that a data node has received.
#[derive(Debug, Default)]
pub struct Received {
    pub parts: Vec<Part>,
    /// When the first byte of each part's frame arrived, in the order of `parts`.
    pub first_byte_times: Vec<Instant>,
    /// Names of parts that a cancel frame named, or that were unanswered when their connection ended.
    pub cancelled: Vec<String>,
    pub connections: usize,
}

impl Received {
    fn push_part(&mut self, part: Part, first_byte_time: Instant) {
        self.parts.push(part);
        self.first_byte_times.push(first_byte_time);
    }
}

pub struct DataNode {
    pub addr: SocketAddr,
    pub received: Arc<Mutex<Received>>,
}

/// Encodes a frame: the length as 4 little-endian bytes, the type letter, then the payload.
pub fn frame(frame_type: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32 + 1).to_le_bytes().to_vec();
    bytes.push(frame_type);
    bytes.extend_from_slice(payload);
    bytes
}

/// A received frame, and when its first byte arrived.
pub struct ReceivedFrame {
    pub frame_type: u8,
    pub payload: Vec<u8>,
    pub first_byte_time: Instant,
}

/// Reads one frame, or returns `None` if the connection ends or the frame is empty.
pub fn read_frame(stream: &mut TcpStream) -> Option<ReceivedFrame> {
    let mut head = [0; 4];
    stream.read_exact(&mut head[..1]).ok()?;
    let first_byte_time = Instant::now();
    stream.read_exact(&mut head[1..]).ok()?;
    let mut body = vec![0; u32::from_le_bytes(head) as usize];
    stream.read_exact(&mut body).ok()?;
    let frame_type = *body.first()?;
    Some(ReceivedFrame { frame_type, payload: body.split_off(1), first_byte_time })
}

/// Decodes the parts of a call, up to the first malformed header line.
pub fn read_parts(mut payload: &[u8]) -> Vec<Part> {
    let mut parts = Vec::new();
    while let Some(end) = payload.iter().position(|&b| b == b'\n') {
        let line = String::from_utf8_lossy(&payload[..end]).into_owned();
        let fields: Vec<&str> = line.split(' ').collect();
        let [id, shard, parameters, length] = fields[..] else { break };
        let (Ok(shard), Ok(length)) = (shard.parse(), length.parse::<usize>()) else { break };
        let text = String::from_utf8_lossy(&payload[end + 1..][..length]).into_owned();
        parts.push(Part { id: id.to_string(), shard, parameters: parameters.to_string(), text });
        payload = &payload[end + 1 + length..];
    }
    parts
}

impl DataNode {
    pub fn start(reply: impl Fn(&Part) -> NodeReply + Send + Sync + 'static) -> Self {
        Self::start_on(TcpListener::bind("127.0.0.1:0").expect("bind a loopback address"), reply)
    }

    /// Starts a data node on a bound listener.
    pub fn start_on(
        listener: TcpListener,
        reply: impl Fn(&Part) -> NodeReply + Send + Sync + 'static,
    ) -> Self {
        let received = Arc::new(Mutex::new(Received::default()));
        let (log, reply) = (received.clone(), Arc::new(reply));
        let addr = serve_listener(listener, move |mut stream| {
            lock(&log).connections += 1;
            let unanswered = Arc::new(Mutex::new(Vec::<String>::new()));
            while let Some(ReceivedFrame { frame_type, payload, first_byte_time }) = read_frame(&mut stream) {
                match frame_type {
                    b'D' => {
                        for part in read_parts(&payload) {
                            lock(&log).push_part(part.clone(), first_byte_time);
                            lock(&unanswered).push(part.id.clone());
                            let connection_parts = unanswered.clone();
                            let Ok(mut out) = stream.try_clone() else { return };
                            let reply = reply.clone();
                            // Parts are processed concurrently.
                            thread::spawn(move || match reply(&part) {
                                NodeReply::Answer(status, score, value) => {
                                    lock(&connection_parts).retain(|id| *id != part.id);
                                    let line = format!("{} {status} {score} qps=1\n{value}", part.id);
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
                        let cancelled = String::from_utf8_lossy(&payload).into_owned();
                        lock(&unanswered).retain(|id| *id != cancelled);
                        lock(&log).cancelled.push(cancelled);
                    }
                    b'I' => {
                        let _ = stream.write_all(&frame(b'I', b"200"));
                    }
                    _ => return,
                }
            }
            lock(&log).cancelled.append(&mut lock(&unanswered));
        });
        Self { addr, received }
    }

    pub fn received_parts(&self) -> Vec<Part> {
        lock(&self.received).parts.clone()
    }

    /// Returns the received parts, each with the time when the first byte of its frame arrived.
    pub fn parts_with_first_byte_time(&self) -> Vec<(Part, Instant)> {
        let received = lock(&self.received);
        received.parts.iter().cloned().zip(received.first_byte_times.iter().copied()).collect()
    }

    /// Returns the names of cancelled parts, and of parts that were unanswered when their connection ended.
    pub fn cancelled_parts(&self) -> Vec<String> {
        lock(&self.received).cancelled.clone()
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        lock(&self.received).connections
    }
}

// ---- Feature servers ----

/// A received request for features. `target` is the request target with its query string.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FeatureQuery {
    pub target: String,
    pub parameters: BTreeMap<String, String>,
}

impl FeatureQuery {
    fn new(target: String) -> Self {
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let pair =
            |text: &str| text.split_once('=').map(|(name, value)| (name.to_string(), value.to_string()));
        let parameters = query.split('&').filter_map(pair).collect();
        Self { target, parameters }
    }

    /// Returns a parameter as a number, or `None` if it is absent or not a number.
    pub fn number_parameter(&self, name: &str) -> Option<usize> {
        self.parameters.get(name)?.parse().ok()
    }

    /// Returns the last segment of the path.
    pub fn last_path_segment(&self) -> &str {
        let path = self.target.split('?').next().unwrap_or("");
        path.rsplit('/').next().unwrap_or("")
    }
}

/// A feature server's reaction to a request.
pub enum FeatureReply {
    /// A response with this status and body.
    Body(u16, String),
    /// No response; the connection stays open until the client sends more or disconnects.
    Stall,
    /// No response; the connection is closed.
    Close,
}

pub struct FeatureServer {
    pub addr: SocketAddr,
    pub queries: Arc<Mutex<Vec<FeatureQuery>>>,
}

impl FeatureServer {
    pub fn start(reply: impl Fn(&FeatureQuery) -> FeatureReply + Send + Sync + 'static) -> Self {
        let queries = Arc::new(Mutex::new(Vec::new()));
        let log = queries.clone();
        let addr = bind_and_serve("127.0.0.1:0", move |mut stream| {
            let Ok(clone) = stream.try_clone() else { return };
            let mut reader = BufReader::new(clone);
            while let Some((_, target)) = read_request_head(&mut reader) {
                let query = FeatureQuery::new(target);
                lock(&log).push(query.clone());
                match reply(&query) {
                    FeatureReply::Body(status, body) => {
                        let head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n", body.len());
                        if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                            return;
                        }
                    }
                    // The read returns when the client sends more or disconnects.
                    FeatureReply::Stall => {
                        let _ = reader.read(&mut [0]);
                        return;
                    }
                    FeatureReply::Close => return,
                }
            }
        });
        Self { addr, queries }
    }

    /// Returns the requests received so far.
    pub fn queries(&self) -> Vec<FeatureQuery> {
        lock(&self.queries).clone()
    }
}

/// Returns one feature of a range as GeoJSON, with the id `RANGE-NUMBER`. A range's features are points along a line.
pub fn feature(range: usize, number: usize) -> String {
    let (x, y) = (32.0 + range as f64 / 10.0, 39.0 + number as f64 / 10.0);
    format!(
        r#"{{"type":"Feature","id":"{range}-{number}","geometry":{{"type":"Point","coordinates":[{x:.1},{y:.1}]}},"properties":{{"tag_range":{range}}}}}"#
    )
}

/// Replies from a small feature store with `count` features in each range. A page has at most `page` features, and a
/// `next` link if more follow.
pub fn feature_store_reply(query: &FeatureQuery, count: usize, page: usize) -> FeatureReply {
    let path = query.target.split('?').next().unwrap_or("");
    if path == "/" {
        return FeatureReply::Body(200, r#"{"links":[]}"#.to_string());
    }
    if !path.ends_with("/items") {
        let requested = query
            .last_path_segment()
            .split_once('-')
            .and_then(|(range, number)| Some((range.parse().ok()?, number.parse().ok()?)));
        return match requested {
            Some((range, number)) if number < count => FeatureReply::Body(200, feature(range, number)),
            _ => FeatureReply::Body(404, r#"{"title":"Not Found"}"#.to_string()),
        };
    }
    let range = query.number_parameter("tag_range").unwrap_or(0);
    let offset = query.number_parameter("offset").unwrap_or(0);
    let limit = query.number_parameter("limit").unwrap_or(10);
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

// ---- HTTP client ----

/// An HTTP response.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    /// Returns the value of the first header of this name, compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|l| l.split_once(':'));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next()
    }
}

/// Sends bytes on a new connection and reads one response.
pub fn send_request(addr: SocketAddr, bytes: &[u8]) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect(addr)?;
    stream.write_all(bytes)?;
    read_answer(&mut BufReader::new(stream))
}

/// Reads one response, whose body is chunked or has a `Content-Length`.
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
        let invalid_size = |_| std::io::Error::from(std::io::ErrorKind::InvalidData);
        let size = usize::from_str_radix(line.trim_end(), 16).map_err(invalid_size)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(String::from_utf8_lossy(&body).into_owned());
        }
    }
}

/// Encodes a `POST` request.
pub fn post_bytes(target: &str, body: &str) -> Vec<u8> {
    format!("POST {target} HTTP/1.1\r\nHost: edge\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// Sends a `GET` request on a new connection and reads the response.
pub fn get(addr: SocketAddr, target: &str) -> std::io::Result<Answer> {
    send_request(addr, format!("GET {target} HTTP/1.1\r\nHost: edge\r\n\r\n").as_bytes())
}
