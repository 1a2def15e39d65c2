//! Service discovery: the actor that watches the list of data nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::sync::mpsc::{channel, Receiver, Sender};

use crate::api::ListKind;
use crate::counters::Counters;
use crate::limits::Limits;
use crate::net::http::{self, Chunks};
use crate::net::io::{spawn, spawn_vital, Stream};
use crate::net::mail::{CoreMail, DiscoveryMsg, Msg};
use crate::net::members::{ListNews, WireList};

/// What the actor of discovery is made of.
pub struct DiscoveryContext {
    /// The core's mailbox.
    pub core: CoreMail,
    /// The process's limits.
    pub limits: Arc<Limits>,
    /// Counters.
    pub counters: Arc<Counters>,
}

/// Starts the actor of discovery at `addr`, held in version `rev`; returns its mailbox. One watch runs at a
/// time, in a coroutine of its own; while it does, the module's asking is dropped. Where the module does not
/// ask (`unasked`), the actor watches of itself, with a jittered pause after each failure.
pub fn start(addr: SocketAddr, rev: u64, unasked: bool, context: DiscoveryContext) -> Sender<DiscoveryMsg> {
    let (mail, inbox) = channel();
    let words = context.limits.stack_words;
    let actor = Discovery { addr, rev: Some(rev), unasked, context, own: mail.clone(), current: 0, watch: None };
    spawn_vital("discovery", words, move || actor.run(&inbox));
    mail
}

/// The pause after a failure is up to so many times this.
const PAUSE: Duration = Duration::from_millis(100);
const PAUSES: u32 = 8;

struct Discovery {
    addr: SocketAddr,
    /// The version that is held; nothing where the whole list is to be asked for.
    rev: Option<u64>,
    unasked: bool,
    context: DiscoveryContext,
    own: Sender<DiscoveryMsg>,
    /// The number of the latest watch: what others still say is not heard.
    current: u64,
    /// Whether it runs, with its connection once that is up.
    watch: Option<Option<Arc<Stream>>>,
}

impl Discovery {
    fn run(mut self, inbox: &Receiver<DiscoveryMsg>) {
        if self.unasked {
            self.begin();
        }
        while let Ok(message) = inbox.recv() {
            self.take(message);
        }
    }

    fn take(&mut self, message: DiscoveryMsg) {
        match message {
            DiscoveryMsg::Watch if self.watch.is_none() => self.begin(),
            DiscoveryMsg::Watch => {}
            DiscoveryMsg::Moved(addr) => {
                log::info!("the list is asked for at {addr} from now on");
                // Versions of another service mean nothing here.
                (self.addr, self.rev) = (addr, None);
                if let Some(Some(stream)) = self.watch.take() {
                    stream.shut();
                }
                self.begin();
            }
            DiscoveryMsg::Up(watch, stream) if watch == self.current => self.watch = Some(Some(stream)),
            DiscoveryMsg::Line(watch, list) if watch == self.current => {
                let news = match list {
                    Some(list) => {
                        self.rev = Some(list.rev);
                        list.news()
                    }
                    None => ListNews { kind: ListKind::Diff, members: Vec::new() },
                };
                self.context.core.send(Msg::List(news));
            }
            DiscoveryMsg::Unreadable(watch) if watch == self.current => self.rev = None,
            DiscoveryMsg::Ended(watch, why) if watch == self.current => self.ended(&why),
            // A watch that was dropped: its service has moved.
            DiscoveryMsg::Up(_, stream) => stream.shut(),
            DiscoveryMsg::Line(..) | DiscoveryMsg::Unreadable(_) | DiscoveryMsg::Ended(..) => {}
        }
    }

    fn begin(&mut self) {
        self.current += 1;
        self.watch = Some(None);
        Counters::add(&self.context.counters.list_calls);
        let (own, number, limits) = (self.own.clone(), self.current, self.context.limits.clone());
        let watch = Watch { addr: self.addr, rev: self.rev, number, actor: own.clone(), limits };
        spawn("watch", self.context.limits.core_stack_words, move || {
            // The actor outlives its watches.
            let _ = own.send(DiscoveryMsg::Ended(number, watch.follow()));
        });
    }

    fn ended(&mut self, why: &str) {
        log::info!("the watch on the list has ended: {why}");
        Counters::add(&self.context.counters.list_errors);
        self.watch = None;
        self.context.core.send(Msg::List(ListNews { kind: ListKind::Error, members: Vec::new() }));
        if self.unasked {
            let own = self.own.clone();
            spawn("discovery pause", self.context.limits.stack_words, move || {
                may::coroutine::sleep(PAUSE * fastrand::u32(1..=PAUSES));
                // The actor outlives its pauses.
                let _ = own.send(DiscoveryMsg::Watch);
            });
        }
    }
}

struct Watch {
    addr: SocketAddr,
    rev: Option<u64>,
    number: u64,
    actor: Sender<DiscoveryMsg>,
    limits: Arc<Limits>,
}

const READ: usize = 4096;

impl Watch {
    /// Watches until the connection ends, goes silent or makes no sense; says why. Where no version is held,
    /// the whole list is asked for first, on the same connection.
    fn follow(self) -> String {
        let stream = match Stream::dial(&self.addr, self.limits.list_answer, None) {
            Ok(stream) => Arc::new(stream),
            Err(e) => return format!("no connection: {e}"),
        };
        self.tell(DiscoveryMsg::Up(self.number, stream.clone()));
        let why = self.talk(&stream);
        stream.shut();
        why.unwrap_or_else(|why| why)
    }

    fn tell(&self, message: DiscoveryMsg) {
        // The actor outlives its watches.
        let _ = self.actor.send(message);
    }

    fn talk(&self, stream: &Stream) -> Result<String, String> {
        let rev = match self.rev {
            Some(rev) => rev,
            None => self.whole(stream)?,
        };
        let (head, held) = self.ask(stream, &format!("/catalog/members?stream=1&index={rev}"))?;
        if head.status != 200 || !head.chunked() {
            return Err(format!("answered {}", head.status));
        }
        self.lines(stream, held)
    }

    /// Reads the whole list; returns its version.
    fn whole(&self, stream: &Stream) -> Result<u64, String> {
        let start = Instant::now();
        let (head, mut held) = self.ask(stream, "/catalog/members")?;
        if head.status != 200 {
            return Err(format!("answered {}", head.status));
        }
        loop {
            let body = head.body(&held, self.limits.list_line).map_err(|e| e.why.to_string())?;
            if let Some((body, _)) = body {
                let list = self.read(&body)?;
                let rev = list.rev;
                self.tell(DiscoveryMsg::Line(self.number, Some(WireList { all: true, ..list })));
                return Ok(rev);
            }
            fill(stream, &mut held, self.limits.list_answer.saturating_sub(start.elapsed()))?;
        }
    }

    /// Sends a request; returns the answer's head and what has come of its body.
    fn ask(&self, stream: &Stream, target: &str) -> Result<(http::Head, Vec<u8>), String> {
        let start = Instant::now();
        let request = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.addr);
        let asked = stream.write_all(request.as_bytes(), self.limits.node_write);
        asked.map_err(|e| format!("cannot ask: {e}"))?;
        let mut held = Vec::new();
        loop {
            if let Some((head, size)) =
                http::parse_head(&held, &self.limits).map_err(|e| e.why.to_string())?
            {
                held.drain(..size);
                return Ok((head, held));
            }
            fill(stream, &mut held, self.limits.list_answer.saturating_sub(start.elapsed()))?;
        }
    }

    fn read(&self, text: &[u8]) -> Result<WireList, String> {
        serde_json::from_slice(text).map_err(|e| {
            self.tell(DiscoveryMsg::Unreadable(self.number));
            format!("the list is not as expected: {e}")
        })
    }

    fn lines(&self, stream: &Stream, mut held: Vec<u8>) -> Result<String, String> {
        let (mut chunks, mut text) = (Chunks::default(), Vec::new());
        loop {
            let fed = chunks.feed(&held, &mut text, self.limits.list_line);
            held.clear();
            fed.map_err(|e| e.why.to_string())?;
            while let Some(end) = text.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = text.drain(..=end).collect();
                // An empty one says that nothing has changed.
                let list = match line.trim_ascii() {
                    [] => None,
                    line => Some(self.read(line)?),
                };
                self.tell(DiscoveryMsg::Line(self.number, list));
            }
            if chunks.done() {
                return Ok("it was ended".to_string());
            }
            fill(stream, &mut held, self.limits.list_silence)?;
        }
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
