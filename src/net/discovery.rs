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
use crate::net::members::{LineError, ListNews, MembershipUpdate, Objects, WatchEvent};

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
    let actor =
        Discovery { addr, rev: Some(rev), unasked, context, own: mail.clone(), current: 0, watch: None };
    spawn_vital("discovery", words, move || actor.run(&inbox));
    mail
}

/// A pause after a failure is one of so many parts of the longest.
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
                        self.rev = Some(list.version);
                        list.news()
                    }
                    None => ListNews::none(ListKind::Diff),
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
        self.context.core.send(Msg::List(ListNews::none(ListKind::Error)));
        if self.unasked {
            let (own, longest) = (self.own.clone(), self.context.limits.discovery_pause);
            spawn("discovery pause", self.context.limits.stack_words, move || {
                may::coroutine::sleep(longest / PAUSES * fastrand::u32(1..=PAUSES));
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
    /// Watches until the connection ends, goes silent or makes no sense; says why.
    fn follow(self) -> String {
        self.talk().unwrap_or_else(|why| why)
    }

    fn tell(&self, message: DiscoveryMsg) {
        // The actor outlives its watches.
        let _ = self.actor.send(message);
    }

    /// Where no version is held, the whole list is asked for first, on the same connection if that stays open. Each call
    /// has its own clock, in which the first one dials, too.
    fn talk(&self) -> Result<String, String> {
        let mut call = self.dial()?;
        let rev = match self.rev {
            Some(rev) => rev,
            None => {
                let (rev, open) = self.whole(&call)?;
                call = if open { Call { begun: Instant::now(), ..call } } else { self.dial()? };
                rev
            }
        };
        let (head, held) = self.ask(&call, &format!("/catalog/members?stream=1&index={rev}"))?;
        if head.status != 200 || !(head.chunked() || head.until_end()) {
            return Err(format!("answered {}", head.status));
        }
        self.objects(&call.stream, &head, held)
    }

    fn dial(&self) -> Result<Call, String> {
        let begun = Instant::now();
        let stream = Stream::dial(&self.addr, self.limits.discovery_call, None);
        let stream = Open(Arc::new(stream.map_err(|e| format!("no connection: {e}"))?));
        self.tell(DiscoveryMsg::Up(self.number, stream.0.clone()));
        Ok(Call { begun, stream })
    }

    fn left(&self, call: &Call) -> Duration {
        self.limits.discovery_call.saturating_sub(call.begun.elapsed())
    }

    /// Reads the whole list; returns its version, and whether the connection can be asked again.
    fn whole(&self, call: &Call) -> Result<(u64, bool), String> {
        let (head, mut held) = self.ask(call, "/catalog/members")?;
        if head.status != 200 {
            return Err(format!("answered {}", head.status));
        }
        let (most, mut ended) = (self.limits.discovery_object, false);
        let body = loop {
            match head.body(&held, most).map_err(|e| e.why.to_string())? {
                Some((body, _)) => break body,
                // It has no length. A reset would be no end.
                None if ended && head.until_end() => break held,
                None if ended => return Err(ENDED.to_string()),
                None => ended = !fill(&call.stream, &mut held, self.left(call))?,
            }
        };
        let list = MembershipUpdate { complete: true, ..self.parsed(MembershipUpdate::read(&body))? };
        let rev = list.version;
        self.tell(DiscoveryMsg::Line(self.number, Some(list)));
        Ok((rev, !ended && head.keep_alive()))
    }

    /// Sends a request; returns the answer's head and what has come of its body.
    fn ask(&self, call: &Call, target: &str) -> Result<(http::Head, Vec<u8>), String> {
        let request = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.addr);
        let asked = call.stream.write_all(request.as_bytes(), self.limits.node_write);
        asked.map_err(|e| format!("cannot ask: {e}"))?;
        let mut held = Vec::new();
        loop {
            if let Some((head, size)) =
                http::parse_head(&held, &self.limits).map_err(|e| e.why.to_string())?
            {
                held.drain(..size);
                return Ok((head, held));
            }
            if !fill(&call.stream, &mut held, self.left(call))? {
                return Err(ENDED.to_string());
            }
        }
    }

    /// What could not be read may have been a change: the whole list is needed then.
    fn parsed<T>(&self, read: Result<T, LineError>) -> Result<T, String> {
        read.map_err(|e| {
            self.tell(DiscoveryMsg::Unreadable(self.number));
            format!("the list is not as expected: {e}")
        })
    }

    /// Follows the objects of a watch. Only a whole object or an empty line tells that it is alive: half a line does not,
    /// nor one that never ends.
    fn objects(&self, stream: &Stream, head: &http::Head, mut held: Vec<u8>) -> Result<String, String> {
        let (mut chunks, mut objects) = (Chunks::default(), Objects::default());
        let (most, silence) = (self.limits.discovery_object, self.limits.discovery_silence);
        let mut heard = Instant::now();
        loop {
            if head.chunked() {
                chunks.feed(&held, objects.held(), most).map_err(|e| e.why.to_string())?;
            } else {
                objects.held().extend_from_slice(&held);
            }
            held.clear();
            let mut unreadable = Ok(());
            while let Some(event) = self.parsed(objects.next(most))? {
                heard = Instant::now();
                match event {
                    WatchEvent::Update(update) => self.tell(DiscoveryMsg::Line(self.number, Some(update))),
                    WatchEvent::Heartbeat => self.tell(DiscoveryMsg::Line(self.number, None)),
                    WatchEvent::Unreadable(why) => unreadable = unreadable.and(Err(why)),
                }
            }
            // What can be read counts first; the whole list tells what was lost.
            self.parsed(unreadable)?;
            if chunks.done() {
                return Ok("it was ended".to_string());
            }
            let left = silence.saturating_sub(heard.elapsed());
            if left.is_zero() {
                return Err("no whole line came in time".to_string());
            }
            if !fill(stream, &mut held, left)? {
                return Err(ENDED.to_string());
            }
        }
    }
}

/// A call of discovery, from its dial on.
struct Call {
    begun: Instant,
    stream: Open,
}

/// A connection that is shut with its last use.
struct Open(Arc<Stream>);

impl std::ops::Deref for Open {
    type Target = Stream;

    fn deref(&self) -> &Stream {
        &self.0
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.shut();
    }
}

const ENDED: &str = "the connection has ended";

/// Reads on; returns whether anything came, or the peer has ended the connection. A reset is an error.
fn fill(stream: &Stream, held: &mut Vec<u8>, within: Duration) -> Result<bool, String> {
    let mut buf = [0; READ];
    let n = stream.read(&mut buf, within).map_err(|e| format!("nothing came: {e}"))?;
    held.extend_from_slice(&buf[..n]);
    Ok(n > 0)
}
