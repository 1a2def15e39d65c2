//! Accepts client connections, and rejects them when all connection slots are in use.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc as thread_channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

use curlewdeck_listener::InheritedListener;
use may::net::{TcpListener, TcpStream};

use super::client_connection::ClientConnection;
use super::client_task::{ClientTask, READ_BUFFER_BYTES};
use super::eviction::Eviction;
use super::linger::linger;
use super::{Frontend, FrontendContext, Reply, Service};
use crate::counters::Counters;
use crate::frontend::accept::AcceptErrors;
use crate::limits::Limits;
use crate::net::http;
use crate::runtime::{channel, nanos, sleep, spawn, thread, yield_now, Permit, Sender, Stream, SMALL_STACK};

/// How often the accepting thread checks whether the process is shutting down.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The number of accepted connections after which the accepting coroutine pauses.
const MAX_CONSECUTIVE_ACCEPTS: u32 = 16;

/// The length of that pause.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// The pause between two attempts to get a permit for a new connection.
const EVICTION_PAUSE: Duration = Duration::from_millis(1);

/// Binds an address and starts a coroutine that accepts connections. Returns the local address.
///
/// # Errors
/// Fails if the address cannot be bound or the coroutine cannot be started.
pub fn listen(
    address: SocketAddr,
    frontend: Arc<dyn Frontend>,
    context: FrontendContext,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let local = listener.local_addr()?;
    let mut errors = accept_errors(&context.limits);
    let mut pace = AcceptPace::default();
    spawn("accept", context.limits.stack_words, move || loop {
        match listener.accept() {
            Ok((stream, _)) => accept(stream, &frontend, &context),
            Err(error) => {
                let pause = errors.record(context.service.now(), &error);
                if !pause.is_zero() {
                    sleep(pause);
                }
            }
        }
        pace.yield_after_accept();
    })?;
    Ok(local)
}

/// Lets other coroutines run while many new connections arrive. The worker polls for events only when no coroutine is
/// runnable, so that yields alone would leave the sockets of open connections unread for as long as new ones arrive.
#[derive(Debug, Default)]
struct AcceptPace {
    accepted: u32,
}

impl AcceptPace {
    fn yield_after_accept(&mut self) {
        self.accepted += 1;
        if self.accepted < MAX_CONSECUTIVE_ACCEPTS {
            return yield_now();
        }
        self.accepted = 0;
        sleep(ACCEPT_PAUSE);
    }
}

/// Accepts connections on an inherited listening socket that other processes may accept from too.
///
/// A thread accepts one connection at a time, and only after the previous one has been registered or rejected, so that
/// it never accepts a connection that this process could not read. The thread stops at shutdown of the process.
///
/// # Errors
/// Fails if the socket is unusable or the coroutine or thread cannot be started.
pub fn listen_inherited(
    inherited: InheritedListener,
    frontend: Arc<dyn Frontend>,
    context: FrontendContext,
) -> io::Result<SocketAddr> {
    let local = inherited.local_addr()?;
    let service = context.service.clone();
    let errors = accept_errors(&context.limits);
    let (streams, accepted) = channel::<TcpStream>();
    let (handled_sender, handled) = thread_channel::channel();
    let mut pace = AcceptPace::default();
    spawn("accept", context.limits.stack_words, move || {
        for stream in accepted.iter() {
            accept(stream, &frontend, &context);
            pace.yield_after_accept();
            if handled_sender.send(()).is_err() {
                return;
            }
        }
    })?;
    let acceptor = InheritedAcceptor { inherited, service, errors, streams, handled };
    thread("accept", SMALL_STACK, move || acceptor.run())?;
    Ok(local)
}

fn accept_errors(limits: &Limits) -> AcceptErrors {
    AcceptErrors::new("front", nanos(limits.no_socket_log_interval))
}

/// The thread that accepts connections on an inherited socket.
struct InheritedAcceptor {
    inherited: InheritedListener,
    service: Arc<Service>,
    errors: AcceptErrors,
    /// Sends accepted streams to the coroutine that registers or rejects them.
    streams: Sender<TcpStream>,
    /// Receives a message when the last stream has been registered or rejected.
    handled: thread_channel::Receiver<()>,
}

impl InheritedAcceptor {
    fn run(mut self) {
        loop {
            let accepted = match self.inherited.wait_for_connection(SHUTDOWN_CHECK_INTERVAL) {
                Ok(_) if self.service.lifecycle().is_shutting_down() => return,
                Ok(false) => Ok(None),
                Ok(true) => self.inherited.accept(),
                Err(error) => Err(error),
            };
            match accepted {
                Ok(Some(stream)) => {
                    if self.streams.send(stream).is_err() || self.handled.recv().is_err() {
                        return;
                    }
                }
                Ok(None) => {}
                Err(error) => std::thread::sleep(self.errors.record(self.service.now(), &error)),
            }
        }
    }
}

/// Starts serving a new connection, or rejects it if no slot becomes free.
fn accept(stream: TcpStream, frontend: &Arc<dyn Frontend>, context: &FrontendContext) {
    let counters = &context.core.counters;
    let Some(permit) = admit(context) else {
        Counters::add(&counters.clients_refused);
        context.service.log.rejected(context.permits.in_use());
        return reject(stream, context);
    };
    Counters::add(&counters.clients_accepted);
    let Ok(stream) = Stream::new(stream, Some(permit)) else { return };
    let (frontend, context) = (frontend.clone(), context.clone());
    let connection = Arc::new(ClientConnection::new(stream, context.service.now()));
    let registration = context.service.register(connection.clone());
    // If the coroutine cannot be started, dropping the connection closes it.
    let _ = spawn("client", context.limits.stack_words, move || {
        ClientTask { key: registration.key(), connection, frontend, context }.run();
        drop(registration);
    });
}

/// Gets a permit for a new connection, and evicts another connection if there are too many. Returns `None` if none can
/// be evicted, or if none of the evicted ones has closed within `client_slot_timeout`.
fn admit(context: &FrontendContext) -> Option<Permit> {
    let limits = &context.limits;
    let start = Instant::now();
    loop {
        let permit = context.permits.take();
        let must_evict = permit.is_none() || context.permits.in_use() > limits.clients;
        if must_evict && context.service.evict(limits) == Eviction::NoneEvictable {
            return None;
        }
        if permit.is_some() || start.elapsed() >= limits.client_slot_timeout {
            return permit;
        }
        sleep(EVICTION_PAUSE);
    }
}

/// Answers with status 503. If a permit for rejected connections is available, the connection then lingers until the
/// client has received the answer.
fn reject(stream: TcpStream, context: &FrontendContext) {
    let permit = context.rejected.take();
    let lingers = permit.is_some();
    let Ok(stream) = Stream::new(stream, permit) else { return };
    let reply = Reply::text(503, "too many connections").with_header("Retry-After", "1");
    let bytes =
        http::response(reply.status, reply.content_type, &reply.extra_headers, &reply.body, false, false);
    // A single write without waiting: the connection is closed even if the write fails.
    let is_written = stream.write_all(&bytes, Duration::ZERO).is_ok();
    stream.shutdown_write();
    if is_written && lingers {
        let limits = context.limits.clone();
        let stack_words = limits.stack_words;
        // If the coroutine cannot be started, the connection closes immediately.
        let _ = spawn("turned away", stack_words, move || {
            linger(&stream, &mut vec![0; READ_BUFFER_BYTES], &limits);
        });
    }
}
