//! Accepts client connections, or rejects them where there is no place.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc as thread_channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

use curlewdeck_listener::Inherited;
use may::net::{TcpListener, TcpStream};
use may::sync::mpsc::{channel, Sender};

use super::client_connection::ClientConnection;
use super::client_task::{ClientTask, READ_BUFFER_BYTES};
use super::eviction::Eviction;
use super::linger::linger;
use super::{Frontend, FrontendContext, Reply, Service};
use crate::counters::Counters;
use crate::frontend::accept::AcceptErrors;
use crate::limits::Limits;
use crate::net::http;
use crate::runtime::{nanos, spawn, thread, Permit, Stream, SMALL_STACK};

/// How soon the accepting thread notices that the process finishes.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Between two attempts to find a place for a connection.
const EVICTION_PAUSE: Duration = Duration::from_millis(1);

/// Listens at an address, and starts to accept connections.
///
/// # Errors
/// The address cannot be bound, or there is no coroutine.
pub fn listen(
    address: SocketAddr,
    frontend: Arc<dyn Frontend>,
    context: FrontendContext,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let local = listener.local_addr()?;
    let mut errors = accept_errors(&context.limits);
    spawn("accept", context.limits.stack_words, move || loop {
        match listener.accept() {
            Ok((stream, _)) => accept(stream, &frontend, &context),
            Err(error) => {
                let pause = errors.record(context.service.now(), &error);
                if !pause.is_zero() {
                    may::coroutine::sleep(pause);
                }
            }
        }
        // Lets open connections run while many new ones arrive.
        may::coroutine::yield_now();
    })?;
    Ok(local)
}

/// Accepts connections at a socket that the process inherited, and that other processes may accept from.
///
/// A thread accepts one connection at a time, and only once the one before it is served, so that none is taken that
/// could not be read. It ends when the process finishes.
///
/// # Errors
/// The socket cannot be used, or there is no thread.
pub fn listen_inherited(
    inherited: Inherited,
    frontend: Arc<dyn Frontend>,
    context: FrontendContext,
) -> io::Result<SocketAddr> {
    let local = inherited.local_addr()?;
    let service = context.service.clone();
    let errors = accept_errors(&context.limits);
    let (streams, accepted) = channel::<TcpStream>();
    let (taken, next) = thread_channel::channel();
    spawn("accept", context.limits.stack_words, move || {
        for stream in accepted.iter() {
            accept(stream, &frontend, &context);
            if taken.send(()).is_err() {
                return;
            }
        }
    })?;
    let acceptor = InheritedAcceptor { inherited, service, errors, streams, next };
    thread("accept", SMALL_STACK, move || acceptor.run())?;
    Ok(local)
}

fn accept_errors(limits: &Limits) -> AcceptErrors {
    AcceptErrors::new("front", nanos(limits.no_socket_log_interval))
}

/// The thread that accepts at an inherited socket.
struct InheritedAcceptor {
    inherited: Inherited,
    service: Arc<Service>,
    errors: AcceptErrors,
    /// To the coroutine that serves them.
    streams: Sender<TcpStream>,
    /// Tells that the stream sent last has been taken.
    next: thread_channel::Receiver<()>,
}

impl InheritedAcceptor {
    fn run(mut self) {
        loop {
            let accepted = match self.inherited.waits(SHUTDOWN_CHECK_INTERVAL) {
                Ok(_) if self.service.lifecycle().finishing() => return,
                Ok(false) => Ok(None),
                Ok(true) => self.inherited.accept(),
                Err(error) => Err(error),
            };
            match accepted {
                Ok(Some(stream)) => {
                    if self.streams.send(stream).is_err() || self.next.recv().is_err() {
                        return;
                    }
                }
                Ok(None) => {}
                Err(error) => std::thread::sleep(self.errors.record(self.service.now(), &error)),
            }
        }
    }
}

/// Serves a new connection if there is a place for it.
fn accept(stream: TcpStream, frontend: &Arc<dyn Frontend>, context: &FrontendContext) {
    let counters = &context.core.counters;
    let Some(permit) = admit(context) else {
        Counters::add(&counters.clients_refused);
        return reject(stream, context);
    };
    Counters::add(&counters.clients_accepted);
    let Ok(stream) = Stream::new(stream, Some(permit)) else { return };
    let (frontend, context) = (frontend.clone(), context.clone());
    let connection = Arc::new(ClientConnection::new(stream, context.service.now()));
    let registration = context.service.register(connection.clone());
    // A connection for which there is no coroutine is closed as it is dropped.
    let _ = spawn("client", context.limits.stack_words, move || {
        ClientTask { key: registration.key(), connection, frontend, context }.run();
        drop(registration);
    });
}

/// A permit for a new connection, for which another one may have to be evicted.
fn admit(context: &FrontendContext) -> Option<Permit> {
    let start = Instant::now();
    loop {
        if let Some(permit) = context.permits.take() {
            return Some(permit);
        }
        let none_is_evictable = context.service.evict(&context.limits) == Eviction::None;
        if none_is_evictable || start.elapsed() >= context.limits.client_place_timeout {
            return None;
        }
        may::coroutine::sleep(EVICTION_PAUSE);
    }
}

/// Answers that there is no place. While there are permits for it, the connection then lingers until the client has
/// read so.
fn reject(stream: TcpStream, context: &FrontendContext) {
    let permit = context.rejected.take();
    let lingers = permit.is_some();
    let Ok(stream) = Stream::new(stream, permit) else { return };
    let reply = Reply::text(503, "too many connections").with_header("Retry-After", "1");
    let bytes =
        http::response(reply.status, reply.content_type, &reply.extra_headers, &reply.body, false, false);
    // One write that does not wait: the connection is rejected in any case.
    let is_written = stream.write_all(&bytes, Duration::ZERO).is_ok();
    stream.shutdown_write();
    if is_written && lingers {
        let limits = context.limits.clone();
        let stack_words = limits.stack_words;
        // Without a coroutine it is closed at once.
        let _ = spawn("turned away", stack_words, move || {
            linger(&stream, &mut vec![0; READ_BUFFER_BYTES], &limits);
        });
    }
}
