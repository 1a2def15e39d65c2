//! The list of data nodes: its form, and the actor that watches it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::sync::mpsc::{channel, Receiver, Sender};
use serde::Deserialize;

use crate::api::{ListKind, Phase};
use crate::counters::Counters;
use crate::engine::Member;
use crate::limits::Limits;
use crate::net::core::{CoreMail, Msg};
use crate::net::http::{self, Chunks};
use crate::net::io::{spawn_vital, Stream};

/// A list or a change to it, as the list's service writes it.
#[derive(Debug, Clone, Deserialize)]
pub struct WireList {
    /// Its version.
    pub rev: u64,
    /// Whether it is the full list.
    #[serde(default)]
    pub all: bool,
    /// Its lines.
    #[serde(default)]
    pub targets: Vec<WireMember>,
}

/// One line.
#[derive(Debug, Clone, Deserialize)]
pub struct WireMember {
    uid: String,
    endpoint: SocketAddr,
    #[serde(default)]
    az: Option<String>,
    pod_group: u32,
    state: String,
    #[serde(default = "one")]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// A list ready for the core, with the address of each line.
#[derive(Debug, Clone)]
pub struct ListNews {
    /// Full, a change, or the news that there is none.
    pub kind: ListKind,
    /// Its lines.
    pub members: Vec<(Member, SocketAddr)>,
}

const MILLI: u64 = 1_000_000;

impl WireList {
    /// For the core. A state that is not known counts as draining: nothing new is sent there.
    pub fn news(self) -> ListNews {
        let member = |m: WireMember| {
            let phase = match m.state.as_str() {
                "up" => Phase::In,
                "removed" => Phase::Out,
                _ => Phase::Draining,
            };
            let member = Member {
                name: m.uid,
                cell: m.pod_group,
                started_at: m.boot_ms.saturating_mul(MILLI),
                rating: m.capacity_hint,
                phase,
                zone: m.az,
            };
            (member, m.endpoint)
        };
        let kind = if self.all { ListKind::Full } else { ListKind::Diff };
        ListNews { kind, members: self.targets.into_iter().map(member).collect() }
    }
}

/// Starts the actor; each message asks for a watch. While one runs, further ones are dropped. Where the
/// module does not ask (`unasked`), the actor watches of itself, with a jittered pause after each failure.
pub fn start(
    addr: SocketAddr,
    rev: u64,
    unasked: bool,
    core: CoreMail,
    limits: Arc<Limits>,
    counters: Arc<Counters>,
) -> Sender<()> {
    let (mail, inbox) = channel();
    let words = limits.core_stack_words;
    spawn_vital("list", words, move || {
        let mut watch = Watch { addr, rev, core, limits, counters };
        while unasked || inbox.recv().is_ok() {
            let why = watch.follow();
            log::info!("the watch on the list has ended: {why}");
            Counters::add(&watch.counters.list_errors);
            empty(&inbox);
            watch.core.send(Msg::List(ListNews { kind: ListKind::Error, members: Vec::new() }));
            if unasked {
                may::coroutine::sleep(PAUSE * fastrand::u32(1..=PAUSES));
            }
        }
    });
    mail
}

/// The pause after a failure is up to so many times this.
const PAUSE: Duration = Duration::from_millis(100);
const PAUSES: u32 = 8;

fn empty(inbox: &Receiver<()>) {
    while inbox.try_recv().is_ok() {}
}

struct Watch {
    addr: SocketAddr,
    rev: u64,
    core: CoreMail,
    limits: Arc<Limits>,
    counters: Arc<Counters>,
}

const READ: usize = 4096;

impl Watch {
    /// Watches until the connection ends, goes silent or makes no sense; says why.
    fn follow(&mut self) -> String {
        Counters::add(&self.counters.list_calls);
        let start = Instant::now();
        let stream = match Stream::dial(&self.addr, self.limits.list_answer, None) {
            Ok(stream) => stream,
            Err(e) => return format!("no connection: {e}"),
        };
        let request = format!(
            "GET /catalog/members?stream=1&index={} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.rev, self.addr
        );
        if let Err(e) = stream.write_all(request.as_bytes(), self.limits.node_write) {
            return format!("cannot ask: {e}");
        }
        let mut held = Vec::new();
        let (head, size) = loop {
            match http::parse_head(&held, &self.limits) {
                Ok(Some(found)) => break found,
                Ok(None) => {}
                Err(e) => return e.why.to_string(),
            }
            let left = self.limits.list_answer.saturating_sub(start.elapsed());
            if let Err(why) = fill(&stream, &mut held, left) {
                return why;
            }
        };
        if head.status != 200 || !head.chunked() {
            stream.shut();
            return format!("answered {}", head.status);
        }
        held.drain(..size);
        let why = self.lines(&stream, held);
        stream.shut();
        why
    }

    fn lines(&mut self, stream: &Stream, mut held: Vec<u8>) -> String {
        let (mut chunks, mut text) = (Chunks::default(), Vec::new());
        loop {
            let fed = chunks.feed(&held, &mut text, self.limits.list_line);
            held.clear();
            if let Err(e) = fed {
                return e.why.to_string();
            }
            while let Some(end) = text.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = text.drain(..=end).collect();
                if let Err(why) = self.line(&line) {
                    return why;
                }
            }
            if chunks.done() {
                return "it was ended".to_string();
            }
            if let Err(why) = fill(stream, &mut held, self.limits.list_silence) {
                return why;
            }
        }
    }

    /// One line; an empty one says that nothing has changed.
    fn line(&mut self, line: &[u8]) -> Result<(), String> {
        let news = if line.trim_ascii().is_empty() {
            ListNews { kind: ListKind::Diff, members: Vec::new() }
        } else {
            let list: WireList = serde_json::from_slice(line).map_err(|e| {
                self.rev = 0; // The whole list is asked for next.
                format!("a line is not as expected: {e}")
            })?;
            self.rev = list.rev;
            list.news()
        };
        self.core.send(Msg::List(news));
        Ok(())
    }
}

fn fill(stream: &Stream, held: &mut Vec<u8>, within: Duration) -> Result<(), String> {
    let mut buf = [0; READ];
    match stream.read(&mut buf, within) {
        Ok(0) => Err("the connection has ended".to_string()),
        Ok(n) => {
            held.extend_from_slice(&buf[..n]);
            Ok(())
        }
        Err(e) => Err(format!("nothing came: {e}")),
    }
}
