//! One connection of a coordinator to the stand-in of discovery: its calls and its watch, with their faults.

use std::io::{Read, Write as _};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::catalog::{Text, FIRST_VERSION};
use super::discovery_faults::{AheadAnswer, CallFault, IndexAnswer, Pieces};
use super::drain_check::{Write, WrittenUpdate};
use super::faulty_discovery::{Noted, Service, Turn};
use super::stand_in::lock;

/// A heartbeat is written this often.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// A watch looks so often at what a test has switched.
const LOOK: Duration = Duration::from_millis(20);

/// One connection of the coordinator.
pub(super) struct Connection {
    pub(super) service: Arc<Service>,
    pub(super) number: u64,
    pub(super) stream: TcpStream,
}

/// Why a connection is not served on.
type Over = std::io::Error;

fn over() -> Over {
    std::io::ErrorKind::ConnectionAborted.into()
}

impl Connection {
    pub(super) fn serve(mut self) {
        // Whatever ends a connection, the coordinator has to do with it.
        let _ = self.stream.set_nodelay(true);
        while self.call().is_ok() {}
        let mut state = lock(&self.service.state);
        state.open.retain(|open| open.0 != self.number);
        // One that is to be reset is only closed: an end in order would go out before that.
        if !state.resets.remove(&self.number) {
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }

    fn call(&mut self) -> Result<(), Over> {
        if self.stream.peek(&mut [0])? == 0 {
            return Err(over());
        }
        let fault = {
            let mut state = lock(&self.service.state);
            state.call_times.push(Instant::now());
            state.faults.next.pop_front().or(state.faults.all)
        };
        if fault == Some(CallFault::Reset) {
            // A close over unread bytes resets the connection.
            let none = TcpListener::bind("127.0.0.1:0")?;
            let other = TcpStream::connect(none.local_addr()?)?;
            lock(&self.service.state).open.retain(|open| open.0 != self.number);
            drop(std::mem::replace(&mut self.stream, other));
            return Err(over());
        }
        let target = self.request()?;
        let service = self.service.clone();
        let turn = service.wait_for_turn();
        match fault {
            Some(CallFault::Unavailable) => self.send(b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n"),
            Some(CallFault::Silent) => self.say_nothing(),
            _ => {
                if let Some(CallFault::HeadDelayed(span)) = fault {
                    self.pause(span)?;
                }
                match target.split_once("stream=1&index=") {
                    Some((_, index)) => self.watch(index.parse().unwrap(), fault, turn),
                    None => self.snapshot(fault),
                }
            }
        }
    }

    /// Reads one request; returns its target.
    fn request(&mut self) -> Result<String, Over> {
        let (mut text, mut byte) = (Vec::new(), [0]);
        while !text.ends_with(b"\r\n\r\n") {
            self.stream.read_exact(&mut byte)?;
            text.push(byte[0]);
        }
        let text = String::from_utf8_lossy(&text).into_owned();
        text.split(' ').nth(1).map(str::to_string).ok_or_else(over)
    }

    /// Whether a test has ended this connection.
    fn is_open(&self) -> bool {
        lock(&self.service.state).open.iter().any(|open| open.0 == self.number)
    }

    fn pause(&self, span: Duration) -> Result<(), Over> {
        let end = Instant::now() + span;
        // A call that was given up costs the service its time all the same.
        while Instant::now() < end {
            thread::sleep(end.saturating_duration_since(Instant::now()).min(LOOK));
            if lock(&self.service.state).closed {
                return Err(over());
            }
        }
        Ok(())
    }

    fn say_nothing(&self) -> Result<(), Over> {
        while self.is_open() {
            thread::sleep(LOOK);
        }
        Err(over())
    }

    /// Whether the coordinator has ended this connection.
    fn is_given_up(&self) -> Result<bool, Over> {
        self.stream.set_nonblocking(true)?;
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false)?;
        Ok(!matches!(&peeked, Ok(1)) && !peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock))
    }

    fn send(&mut self, bytes: &[u8]) -> Result<(), Over> {
        let pieces = lock(&self.service.state).faults.pieces;
        let Some(Pieces { bytes: most, gap }) = pieces else { return self.stream.write_all(bytes) };
        for piece in bytes.chunks(most) {
            self.stream.write_all(piece)?;
            thread::sleep(gap);
        }
        Ok(())
    }

    /// Writes what is news to the coordinator, and logs it. What goes out behind the coordinator's own end of the
    /// connection is written to nobody.
    fn tell(&mut self, bytes: &[u8], update: WrittenUpdate) -> Result<(), Over> {
        if self.is_given_up()? {
            return Err(over());
        }
        self.send(bytes)?;
        let write = Write { at: Instant::now(), connection: self.number, update };
        lock(&self.service.state).log.writes.push(write);
        Ok(())
    }

    /// The version that is held, and the whole list as of it.
    fn whole(&self) -> (u64, Text) {
        let mut state = lock(&self.service.state);
        self.service.note_versions(&mut state, Noted::AtTheirChange);
        let (faults, version) = (&state.faults, self.service.version(&state.faults));
        let text = self.service.catalog.snapshot(version, version - faults.versions_less, &faults.spoilt);
        (version, text)
    }

    fn snapshot(&mut self, fault: Option<CallFault>) -> Result<(), Over> {
        if let Some(CallFault::BodyDelayed(span)) = fault {
            // The length is told before the body is made: room for what may come to be in it.
            let length = self.whole().1.json.len() + BODY_ROOM;
            self.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").as_bytes())?;
            self.pause(span)?;
            let text = self.whole().1;
            return self.tell(format!("{:length$}", text.json).as_bytes(), text.update);
        }
        let text = self.whole().1;
        if let Some(CallFault::Outdated(span)) = fault {
            self.pause(span)?;
        }
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", text.json.len(), text.json);
        if fault == Some(CallFault::HalfAnswer) {
            self.send(&answer.as_bytes()[..answer.len() / 2])?;
            return self.say_nothing();
        }
        self.tell(answer.as_bytes(), text.update)
    }

    fn watch(&mut self, index: u64, fault: Option<CallFault>, turn: Option<Turn>) -> Result<(), Over> {
        let refused = {
            let faults = &lock(&self.service.state).faults;
            faults.index.filter(|(below, _)| index + faults.versions_less < *below).map(|(_, answer)| answer)
        };
        match refused {
            Some(IndexAnswer::Status(status)) => {
                return self.send(format!("HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n").as_bytes())
            }
            Some(IndexAnswer::SnapshotWithLength) => return self.snapshot(None),
            Some(IndexAnswer::EndAtOnce) => {
                self.send(&[WATCH, LAST_CHUNK].concat())?;
                return Err(over());
            }
            None => {}
        }
        let made = self.first_line(index);
        if let Some(CallFault::Outdated(span)) = fault {
            self.pause(span)?;
        }
        self.send(WATCH)?;
        if let Some(CallFault::BodyDelayed(span)) = fault {
            self.pause(span)?;
        }
        let outdated = matches!(fault, Some(CallFault::Outdated(_)));
        let (mut version, first) = if outdated { made } else { self.first_line(index) };
        if fault == Some(CallFault::HalfAnswer) {
            let line = chunk(&first.map_or(" ".to_string(), |text| text.json));
            self.send(&line[..line.len() / 2])?;
            return self.say_nothing();
        }
        match first {
            Some(text) => self.tell(&chunk(&text.json), text.update)?,
            None => self.tell(&chunk(""), WrittenUpdate::Heartbeat)?,
        }
        drop(turn);
        let (mut beat, mut seen) = (Instant::now(), version);
        loop {
            self.service.catalog.wait(seen, LOOK);
            seen = self.service.catalog.version();
            let (next, delta) = {
                let mut state = lock(&self.service.state);
                if !state.open.iter().any(|open| open.0 == self.number) {
                    return Err(over());
                }
                if self.number <= state.faults.silent_up_to {
                    continue;
                }
                self.service.note_versions(&mut state, Noted::AtTheirChange);
                let (faults, next) = (&state.faults, self.service.version(&state.faults));
                let shown = next - faults.versions_less;
                (next, self.service.catalog.delta(version, next, shown, &faults.spoilt))
            };
            version = version.max(next);
            if let Some(text) = delta {
                self.tell(&chunk(&text.json), text.update)?;
            } else if beat.elapsed() >= HEARTBEAT {
                self.tell(&chunk(""), WrittenUpdate::Heartbeat)?;
                beat = Instant::now();
            }
        }
    }

    /// The version up to which a watch's first line tells, and that line, if there is anything to tell.
    fn first_line(&self, index: u64) -> (u64, Option<Text>) {
        let (version, whole) = self.whole();
        let state = lock(&self.service.state);
        let faults = &state.faults;
        let after = index + faults.versions_less;
        if after > version {
            let snapshot = faults.snapshot_first || faults.ahead == AheadAnswer::Snapshot;
            return (version, snapshot.then_some(whole));
        }
        if faults.snapshot_first || after < FIRST_VERSION {
            return (version, Some(whole));
        }
        let shown = version - faults.versions_less;
        (version, self.service.catalog.delta(after, version, shown, &faults.spoilt))
    }
}

/// Bytes that a list may grow by while its body is delayed.
const BODY_ROOM: usize = 64;
const WATCH: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A line of a watch, in a chunk of its own.
fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}
