//! The frames between members over TCP. Each member dials those it sends to, and reads from those that dialled it; a
//! thread a connection, since a slow member must hold up neither the log's thread nor the worker that serves queries.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::{Duration, Instant};

use curlewdeck_replication::Letter;

use super::driver::{Inbox, Msg};
use super::wire;
use crate::runtime::thread;

/// Messages that wait for one member; past them new ones are dropped, as a network drops them.
const WAITING: usize = 256;
/// Members that are sent to at once, and connections that are read.
const MOST: usize = 32;
const DIAL: Duration = Duration::from_secs(1);
const WRITE: Duration = Duration::from_secs(5);
/// Heartbeats come far more often than this.
const SILENT: Duration = Duration::from_secs(60);
/// Between two tries to reach a member that is not there.
const AGAIN: Duration = Duration::from_millis(100);
/// Bytes of a frame: a snapshot of all keys that the bounds allow.
const FRAME: usize = 32 * 1024 * 1024;
const STACK: usize = 256 * 1024;
const READ: usize = 16 * 1024;

/// The members that this one sends to.
pub struct Peers {
    own: u64,
    inbox: Inbox,
    to: HashMap<u64, (SocketAddr, SyncSender<Letter>)>,
}

impl Peers {
    /// Nobody yet. What becomes of messages is told to `inbox`.
    pub fn new(own: u64, inbox: Inbox) -> Self {
        Self { own, inbox, to: HashMap::new() }
    }

    /// Sends a message, or drops it: raft sends again what matters. Returns whether it is on its way.
    pub fn send(&mut self, addr: SocketAddr, letter: Letter) -> bool {
        let to = letter.to;
        if self.to.get(&to).is_none_or(|peer| peer.0 != addr) {
            if self.to.len() >= MOST {
                self.to.clear();
            }
            let (letters, waiting) = sync_channel(WAITING);
            let (own, inbox) = (self.own, self.inbox.clone());
            let run = move || deliver(own, to, addr, &waiting, &inbox);
            if let Err(e) = thread(&format!("to {to}"), STACK, run) {
                log::warn!(target: "group", "no thread to send to member {to}: {e}");
                return false;
            }
            self.to.insert(to, (addr, letters));
        }
        let Some((_, letters)) = self.to.get(&to) else { return false };
        match letters.try_send(letter) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => false,
            Err(TrySendError::Disconnected(_)) => {
                self.to.remove(&to);
                false
            }
        }
    }
}

/// Writes messages until nobody has any more. One that could not be written whole is told; so is each snapshot, since
/// raft waits for that word.
fn deliver(own: u64, to: u64, addr: SocketAddr, letters: &Receiver<Letter>, inbox: &Inbox) {
    let mut open: Option<TcpStream> = None;
    let mut failed: Option<Instant> = None;
    for letter in letters {
        // Members answer over connections of their own: nothing ever comes on this one but its end.
        open = open.filter(|stream| !ended(stream));
        if open.is_none() && failed.is_none_or(|at| at.elapsed() >= AGAIN) {
            open =
                dial(&addr).inspect_err(|e| log::debug!(target: "group", "member {to} at {addr}: {e}")).ok();
        }
        let written = open.as_ref().map(|mut stream| stream.write_all(&wire::encode(own, &letter.bytes)));
        let done = matches!(written, Some(Ok(())));
        if !done {
            open = None;
            failed = Some(Instant::now());
            inbox.tell(Msg::Unreachable(to));
        }
        if letter.snapshot {
            inbox.hand(Msg::SnapshotSent(to, done));
        }
    }
}

/// Whether the member has closed it: what is still written to it would be lost without a word.
fn ended(stream: &TcpStream) -> bool {
    let look = || {
        stream.set_nonblocking(true)?;
        let seen = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        seen
    };
    !matches!(look(), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

fn dial(addr: &SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(addr, DIAL)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE))?;
    Ok(stream)
}

/// Listens for other members; returns where.
///
/// # Errors
/// The address cannot be listened at, or there is no thread.
pub fn listen(addr: SocketAddr, inbox: Inbox) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr)?;
    let local = listener.local_addr()?;
    let held = Arc::new(AtomicUsize::new(0));
    let accept = move || loop {
        match listener.accept() {
            Ok((stream, from)) => {
                if held.fetch_add(1, Ordering::AcqRel) >= MOST {
                    held.fetch_sub(1, Ordering::AcqRel);
                    log::warn!(target: "group", "connection from {from} closed: {MOST} are open");
                    continue;
                }
                let (inbox, count) = (inbox.clone(), held.clone());
                let read = move || {
                    if let Err(e) = read(stream, &inbox) {
                        log::debug!(target: "group", "connection from {from}: {e}");
                    }
                    count.fetch_sub(1, Ordering::AcqRel);
                };
                if let Err(e) = thread("from member", STACK, read) {
                    held.fetch_sub(1, Ordering::AcqRel);
                    log::warn!(target: "group", "no thread to read from {from}: {e}");
                }
            }
            Err(e) => {
                log::warn!(target: "group", "accept: {e}");
                std::thread::sleep(AGAIN);
            }
        }
    };
    thread("members", STACK, accept)?;
    Ok(local)
}

fn read(mut stream: TcpStream, inbox: &Inbox) -> io::Result<()> {
    stream.set_read_timeout(Some(SILENT))?;
    let (mut frames, mut buf) = (wire::Reader::new(FRAME), vec![0; READ]);
    loop {
        let n = match stream.read(&mut buf) {
            Ok(0) => return Ok(()),
            Ok(n) => n,
            // A wait with a time-out is interrupted where the process is stopped and goes on.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(e) => return Err(e),
        };
        let come = frames.feed(&buf[..n]).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        for frame in come {
            // Waits where the log's thread is behind: the sender's socket fills, and it drops what is too much.
            if !inbox.hand(Msg::Frame(frame.message)) {
                return Ok(());
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a leader that waits for ever to hear of a snapshot: that word must not be lost, however much waits
    /// for its thread.
    #[test]
    fn the_word_on_a_snapshot_waits_for_room() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (inbox, told) = Inbox::of(1);
        inbox.tell(Msg::Frame(Vec::new()));
        let (letters, waiting) = sync_channel(1);
        letters.send(Letter { to: 2, bytes: vec![7], snapshot: true }).unwrap();
        drop(letters);
        let sender = std::thread::spawn(move || deliver(1, 2, addr, &waiting, &inbox));
        let (mut stream, _) = listener.accept().unwrap();
        stream.read_exact(&mut [0; wire::HEAD + 1]).unwrap();
        // One that did not wait would have ended by now, and closed its connection.
        stream.set_read_timeout(Some(AGAIN)).unwrap();
        let _ = stream.read(&mut [0]);
        let told: Vec<Msg> = told.iter().collect();
        sender.join().unwrap();
        assert!(matches!(told[..], [Msg::Frame(_), Msg::SnapshotSent(2, true)]), "{told:?}");
    }
}
