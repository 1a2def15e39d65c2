//! The connections between members. Each member connects to the members that it sends to, and reads from the
//! connections that it accepts. Each connection has a dedicated thread, so that a slow member blocks neither the driver
//! thread nor the worker that serves queries.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::{Duration, Instant};

use curlewdeck_replication::OutboundMessage;

use super::member_handle::{MemberHandle, MemberMessage};
use super::wire::{self, FrameReader};
use crate::runtime::thread;

/// Messages queued for one member; when the queue is full, new ones are dropped, which raft tolerates as packet loss.
const PEER_QUEUE_CAPACITY: usize = 256;
/// Limits the number of members with a sending thread, and the number of accepted connections.
const MAX_CONNECTIONS: usize = 32;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Much longer than the heartbeat interval.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Larger than a snapshot with the maximum number of keys of maximum size.
const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;
const STACK_BYTES: usize = 256 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The sending threads, by the id of the receiving member.
pub(super) struct Peers {
    own_id: u64,
    member: MemberHandle,
    peers: HashMap<u64, Peer>,
}

/// The address of a member, and the queue of the thread that sends to it.
struct Peer {
    address: SocketAddr,
    queue: SyncSender<OutboundMessage>,
}

impl Peers {
    /// Creates an empty set. Failed messages and delivered snapshots are reported to `member`.
    pub(super) fn new(own_id: u64, member: MemberHandle) -> Self {
        Self { own_id, member, peers: HashMap::new() }
    }

    /// Queues a message, and returns whether it was queued. Otherwise it is dropped; raft repeats what it needs.
    pub(super) fn send(&mut self, address: SocketAddr, message: OutboundMessage) -> bool {
        let to = message.to;
        let Some(queue) = self.queue_to(to, address) else { return false };
        match queue.try_send(message) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => false,
            Err(TrySendError::Disconnected(_)) => {
                self.peers.remove(&to);
                false
            }
        }
    }

    /// Returns the queue of the thread that sends to a member at this address, and starts the thread if needed.
    fn queue_to(&mut self, to: u64, address: SocketAddr) -> Option<&SyncSender<OutboundMessage>> {
        if self.peers.get(&to).is_none_or(|peer| peer.address != address) {
            if self.peers.len() >= MAX_CONNECTIONS {
                self.peers.clear();
            }
            let (queue, messages) = sync_channel(PEER_QUEUE_CAPACITY);
            let (own_id, member) = (self.own_id, self.member.clone());
            let run = move || send_messages(own_id, to, address, &messages, &member);
            if let Err(e) = thread(&format!("to {to}"), STACK_BYTES, run) {
                log::warn!(target: "group", peer = to, error:% = e; "cannot start a thread to send to a member");
                return None;
            }
            self.peers.insert(to, Peer { address, queue });
        }
        self.peers.get(&to).map(|peer| &peer.queue)
    }
}

/// Writes messages until the queue's sender is dropped. Reports each failed write, and the result for each snapshot.
fn send_messages(
    own_id: u64,
    to: u64,
    address: SocketAddr,
    messages: &Receiver<OutboundMessage>,
    member: &MemberHandle,
) {
    let mut connection: Option<TcpStream> = None;
    let mut failed_at: Option<Instant> = None;
    for message in messages {
        connection = connection.filter(|stream| !is_closed(stream));
        let may_connect = failed_at.is_none_or(|at| at.elapsed() >= RECONNECT_INTERVAL);
        if connection.is_none() && may_connect {
            connection = connect(&address)
                .inspect_err(|e| {
                    log::debug!(target: "group", peer = to, address:% = address, error:% = e; "cannot connect to a member");
                })
                .ok();
        }
        let written = connection
            .as_ref()
            .is_some_and(|mut stream| stream.write_all(&wire::encode(own_id, &message.bytes)).is_ok());
        if !written {
            connection = None;
            failed_at = Some(Instant::now());
            member.send_or_drop(MemberMessage::Unreachable(to));
        }
        if message.has_snapshot {
            // Blocks while the queue is full: raft-rs waits for this report without a timeout, so it must not be
            // dropped.
            member.send(MemberMessage::SnapshotSent { to, delivered: written });
        }
    }
}

/// Whether the other member has closed the connection, in which case the next write would be lost without an error.
/// Members reply over connections that they open themselves, so the only readable event on this one is its end.
fn is_closed(stream: &TcpStream) -> bool {
    let peek = || {
        stream.set_nonblocking(true)?;
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        peeked
    };
    !matches!(peek(), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

fn connect(address: &SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    Ok(stream)
}

/// Starts a thread that accepts connections from other members; returns the local address.
///
/// # Errors
/// The address cannot be bound, or the thread cannot be started.
pub(super) fn listen(address: SocketAddr, member: MemberHandle) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let local = listener.local_addr()?;
    let open = Arc::new(AtomicUsize::new(0));
    let accept = move || loop {
        match listener.accept() {
            Ok((stream, from)) => serve_connection(stream, from, &open, &member),
            Err(e) => {
                log::warn!(target: "group", error:% = e; "cannot accept a connection");
                std::thread::sleep(RECONNECT_INTERVAL);
            }
        }
    };
    thread("members", STACK_BYTES, accept)?;
    Ok(local)
}

/// Starts a thread that reads a connection, unless the maximum number of connections is open.
fn serve_connection(stream: TcpStream, from: SocketAddr, open: &Arc<AtomicUsize>, member: &MemberHandle) {
    if open.fetch_add(1, Ordering::AcqRel) >= MAX_CONNECTIONS {
        open.fetch_sub(1, Ordering::AcqRel);
        log::warn!(target: "group", from:% = from, open = MAX_CONNECTIONS; "connection closed: too many are open");
        return;
    }
    let (member, open_in_thread) = (member.clone(), open.clone());
    let read = move || {
        if let Err(e) = read_frames(stream, &member) {
            log::debug!(target: "group", from:% = from, error:% = e; "connection failed");
        }
        open_in_thread.fetch_sub(1, Ordering::AcqRel);
    };
    if let Err(e) = thread("from member", STACK_BYTES, read) {
        open.fetch_sub(1, Ordering::AcqRel);
        log::warn!(target: "group", from:% = from, error:% = e; "cannot start a thread to read a connection");
    }
}

fn read_frames(mut stream: TcpStream, member: &MemberHandle) -> io::Result<()> {
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let (mut reader, mut buffer) = (FrameReader::new(MAX_MESSAGE_BYTES), vec![0; READ_BUFFER_BYTES]);
    loop {
        let read = match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(read) => read,
            // A read with a timeout is interrupted when the process is suspended and resumed.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(e) => return Err(e),
        };
        let frames =
            reader.feed(&buffer[..read]).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        for frame in frames {
            // Blocks while the driver's queue is full. The sender's socket buffer and queue then fill, and it drops
            // messages.
            if !member.send(MemberMessage::Received(frame.message)) {
                return Ok(());
            }
        }
    }
}

#[cfg(test)]
mod tests;
