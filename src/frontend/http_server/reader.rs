//! The reader of a client connection: parses requests from the received bytes and serves them one at a time.
//!
//! A client may pipeline requests: it sends the next one before the previous one is answered. The next request waits in
//! the buffer. The reader keeps reading meanwhile, so that it detects a disconnect.

use std::io;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

use super::answer::{Answer, AnswerForm, PendingRequest};
use super::client_task::{AnswerQueue, ClientTask};
use super::read_pace::MAX_BUSY;
use super::Served;
use crate::api::Nanos;
use crate::counters::Counters;
use crate::frontend::arrival_times::ArrivalTimes;
use crate::net::http::{self, BadMessage, Request, RequestReader};
use crate::net::messages::REQUEST_LOG_TARGET;
use crate::runtime::{sleep, yield_now, Permit};

/// The interval between reads of a connection with a pending request and pipelined bytes.
const READ_AHEAD_INTERVAL: Duration = Duration::from_millis(25);

/// The maximum number of reads after the delay of a pipelined request.
const MAX_UNREAD_READS: usize = 256;

/// Why the reader stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadEnd {
    /// No further request is served, but the client may still be sending.
    Finished,
    /// The client has disconnected.
    Disconnected,
}

/// Whether the request loop continues.
type Flow<T = ()> = ControlFlow<ReadEnd, T>;

const FINISHED: ReadEnd = ReadEnd::Finished;

/// Reads the requests of one client connection.
pub(super) struct RequestLoop<'a> {
    task: &'a ClientTask,
    /// The connection's writer, started with the first request.
    writer: Option<AnswerQueue>,
    requests: RequestReader,
    /// The memory that `requests` holds beyond the connection's allowance.
    memory: Permit,
    arrivals: ArrivalTimes,
    /// How the request was served whose answer has not been written yet.
    pending: Option<Served>,
    /// The read-ahead buffer has reached its limit: further bytes are discarded, and the connection closes after the
    /// pending answer.
    is_read_ahead_full: bool,
    /// Whether the last read succeeded.
    has_just_read: bool,
    /// When the reader last waited.
    resumed_at: Instant,
    /// Whether the next request has begun to arrive before the previous answer was written.
    is_pipelined: bool,
    /// When the request being read began: for the first one, when the connection opened; for further ones, with the
    /// first byte, or, if that was already buffered, when the previous request was answered. `None` while no request is
    /// being read.
    request_began: Option<Instant>,
}

impl<'a> RequestLoop<'a> {
    pub(super) fn new(task: &'a ClientTask) -> Self {
        Self {
            task,
            writer: None,
            requests: RequestReader::default(),
            memory: task.context.request_memory.empty(),
            arrivals: ArrivalTimes::default(),
            pending: None,
            is_read_ahead_full: false,
            has_just_read: false,
            resumed_at: Instant::now(),
            is_pipelined: false,
            request_began: Some(Instant::now()),
        }
    }

    /// Reads and serves requests until the connection ends.
    pub(super) fn run(mut self, buffer: &mut [u8]) -> ReadEnd {
        let end = loop {
            if let ControlFlow::Break(end) = self.step(buffer) {
                break end;
            }
        };
        if end == ReadEnd::Disconnected {
            self.handle_disconnect();
        }
        end
    }

    /// Serves the next buffered request, or reads once if there is none.
    fn step(&mut self, buffer: &mut [u8]) -> Flow {
        let has_pipelined = self.pending.is_some() && self.requests.has_partial_request();
        self.take_written_answer(has_pipelined)?;
        let timeout = if self.pending.is_some() {
            self.pending_read_timeout(has_pipelined)
        } else {
            self.wait_for_pace(buffer)?;
            if let Some(request) = self.next_request()? {
                return self.begin_request(request);
            }
            self.request_read_timeout()?
        };
        let read = self.read(buffer, timeout);
        self.has_just_read = read.is_ok();
        if has_pipelined && self.has_just_read {
            // Lets other coroutines run between the reads of a client that pipelines requests.
            yield_now();
        }
        self.pause_if_busy();
        self.handle_read(read, buffer)
    }

    /// Pauses after too much input without a wait, so that the sockets of other connections are polled.
    fn pause_if_busy(&mut self) {
        let busy = self.resumed_at.elapsed();
        if busy >= MAX_BUSY || self.task.connection.stream.has_read_without_wait() {
            let service = &self.task.context.service;
            sleep(service.read_pace.pause(service.now(), busy));
            self.resumed();
        }
    }

    /// Records that the reader has waited.
    fn resumed(&mut self) {
        self.resumed_at = Instant::now();
        self.task.connection.stream.has_waited();
    }

    /// Clears the pending request if its answer has been written. Breaks if the connection does not stay open.
    fn take_written_answer(&mut self, has_pipelined: bool) -> Flow {
        if self.pending.is_none() {
            return Flow::Continue(());
        }
        let waits = has_pipelined && !self.has_just_read;
        let written = self.writer.as_ref().and_then(|writer| match waits {
            true => writer.written.recv_timeout(READ_AHEAD_INTERVAL).ok(),
            false => writer.written.try_recv(),
        });
        if waits {
            self.resumed();
        }
        let Some(stays_open) = written else { return Flow::Continue(()) };
        self.pending = None;
        self.is_pipelined = self.requests.has_partial_request();
        self.request_began = self.is_pipelined.then(Instant::now);
        if stays_open {
            Flow::Continue(())
        } else {
            Flow::Break(FINISHED)
        }
    }

    /// Returns the next complete request, or `None` if more bytes are needed. Answers a malformed request and breaks.
    fn next_request(&mut self) -> Flow<Option<Request>> {
        let next = self.requests.next_request(&self.task.context.limits);
        let complete_bytes = next.as_ref().ok().and_then(Option::as_ref).map_or(0, Request::held_bytes);
        if !self.reserve_memory(complete_bytes) {
            return Flow::Break(self.reject_for_memory());
        }
        let is_partial = self.requests.has_partial_request();
        self.task.connection.state().set_partial_request(is_partial);
        match next {
            Ok(None) if self.is_read_ahead_full => Flow::Break(FINISHED),
            Ok(request) => Flow::Continue(request),
            Err(bad) => Flow::Break(self.reject(bad)),
        }
    }

    /// Delays a pipelined request if there are many. The request counts as partially received meanwhile, so that the
    /// connection is not closed. Breaks if the client has disconnected by then.
    fn wait_for_pace(&mut self, buffer: &mut [u8]) -> Flow {
        if !std::mem::take(&mut self.is_pipelined) {
            return Flow::Continue(());
        }
        let service = &self.task.context.service;
        let delay = service.pipeline_pace.delay(service.now());
        if delay.is_zero() {
            return Flow::Continue(());
        }
        sleep(delay);
        self.resumed();
        self.read_unread(buffer)
    }

    /// Reads what has arrived, up to the end of the connection, and keeps as much of it as may be sent ahead.
    fn read_unread(&mut self, buffer: &mut [u8]) -> Flow {
        for _ in 0..MAX_UNREAD_READS {
            let read_ahead = self.task.context.limits.read_ahead;
            self.is_read_ahead_full |= self.requests.buffered_bytes() >= read_ahead;
            let read = self.read(buffer, Duration::ZERO);
            if read.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock) {
                break;
            }
            self.handle_read(read, buffer)?;
        }
        Flow::Continue(())
    }

    /// Serves a request, unless the connection has ended.
    fn begin_request(&mut self, request: Request) -> Flow {
        if !self.task.connection.state().begin_request() {
            return Flow::Break(FINISHED);
        }
        self.request_began = self.requests.has_partial_request().then(Instant::now);
        let received_at =
            self.arrivals.take_request(self.requests.buffered_bytes(), self.task.context.service.now());
        self.pending = Some(self.serve(request, received_at)?);
        self.is_read_ahead_full |= !self.reserve_memory(0);
        Flow::Continue(())
    }

    /// Returns how long to wait for bytes while a request is pending.
    fn pending_read_timeout(&self, has_pipelined: bool) -> Duration {
        if has_pipelined {
            Duration::ZERO
        } else {
            self.task.context.limits.linger
        }
    }

    /// Returns how long to wait for bytes of the next request. Ends the connection if the request's read timeout has
    /// expired.
    fn request_read_timeout(&mut self) -> Flow<Duration> {
        let limits = &self.task.context.limits;
        let left =
            self.request_began.map(|began| limits.request_read_timeout.saturating_sub(began.elapsed()));
        if left.is_some_and(|left| left.is_zero()) {
            if self.requests.has_partial_request() {
                return Flow::Break(self.reject(http::REQUEST_TIMEOUT));
            }
            if self.end_connection() {
                return Flow::Break(FINISHED);
            }
        }
        Flow::Continue(left.unwrap_or(limits.client_idle_timeout))
    }

    fn read(&mut self, buffer: &mut [u8], timeout: Duration) -> io::Result<usize> {
        let connection = &self.task.connection;
        if !timeout.is_zero() && !connection.stream.is_readable() {
            let readable = connection.stream.wait_readable(timeout);
            self.resumed();
            readable?;
        }
        if self.is_read_ahead_full {
            connection.read(&mut self.task.context.service.discard_buffer())
        } else {
            connection.read(buffer)
        }
    }

    fn handle_read(&mut self, read: io::Result<usize>, buffer: &[u8]) -> Flow {
        match read {
            Ok(0) => return Flow::Break(ReadEnd::Disconnected),
            Ok(_) if self.is_read_ahead_full => {}
            Ok(count) => self.push(&buffer[..count]),
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted => {}
                io::ErrorKind::TimedOut => {
                    let is_idle = self.pending.is_none() && self.request_began.is_none();
                    if is_idle && self.end_connection() {
                        return Flow::Break(FINISHED);
                    }
                }
                _ => return Flow::Break(ReadEnd::Disconnected),
            },
        }
        Flow::Continue(())
    }

    fn push(&mut self, bytes: &[u8]) {
        self.request_began = self.request_began.or_else(|| Some(Instant::now()));
        self.requests.push(bytes);
        self.arrivals.record(bytes.len(), self.task.context.service.now());
        // Without a pending request, the memory is reserved once the bytes have been parsed.
        self.is_read_ahead_full = self.pending.is_some()
            && (self.requests.buffered_bytes() >= self.task.context.limits.read_ahead
                || !self.reserve_memory(0));
    }

    /// Reserves the memory that the received bytes, and `complete_bytes` of a complete request, hold beyond the
    /// connection's allowance. Returns whether it is available.
    fn reserve_memory(&mut self, complete_bytes: usize) -> bool {
        let allowance = self.task.context.limits.request_allowance;
        let held_bytes = self.requests.held_bytes() + complete_bytes;
        self.memory.resize(held_bytes.saturating_sub(allowance))
    }

    /// Takes the part of the reserved memory that a complete request needs until it is answered.
    fn take_memory(&mut self, request: &Request) -> Permit {
        let allowance = self.task.context.limits.request_allowance;
        let empty = self.task.context.request_memory.empty();
        let mut memory = std::mem::replace(&mut self.memory, empty);
        let is_smaller = memory.resize(request.body.len().saturating_sub(allowance));
        debug_assert!(is_smaller, "a body is a part of what was reserved");
        memory
    }

    /// Ends the connection unless any part of a request has been received. Returns whether it has ended.
    fn end_connection(&self) -> bool {
        self.task.connection.end(self.task.context.service.now())
    }

    /// Cancels the pending query of a client that has disconnected.
    fn handle_disconnect(&self) {
        self.task.connection.stream.shutdown();
        let is_unanswered = self.writer.as_ref().is_none_or(|writer| writer.written.try_recv().is_none());
        match self.pending {
            Some(Served::Submitted(query)) if is_unanswered => {
                log::debug!(
                    target: REQUEST_LOG_TARGET,
                    connection = self.task.key, query = query.0;
                    "client disconnected"
                );
                self.log_unanswered(Some(query.0));
                self.task.context.core.client_disconnected(query);
            }
            _ if self.requests.has_partial_request() => self.log_unanswered(None),
            _ => {}
        }
    }

    /// Logs a client that disconnected without its answer, and how many bytes of the next request it had sent.
    fn log_unanswered(&self, query: Option<u64>) {
        let received_bytes = self.requests.buffered_bytes();
        self.task.context.service.log.unanswered_disconnect(self.task.key, query, received_bytes);
    }

    /// Drops a request for which no memory is left, and tells the client to retry. The connection closes after that.
    fn reject_for_memory(&mut self) -> ReadEnd {
        self.requests = RequestReader::default();
        self.memory = self.task.context.request_memory.empty();
        self.reject(http::NO_REQUEST_MEMORY)
    }

    /// Answers a request that cannot be served. The connection closes after the answer.
    fn reject(&mut self, bad: BadMessage) -> ReadEnd {
        self.task.context.service.log.request_rejected(self.task.key, bad);
        if self.task.connection.state().begin_request() {
            let counters = &self.task.context.core.counters;
            Counters::add(match bad {
                http::NO_REQUEST_MEMORY => &counters.clients_refused,
                _ => &counters.bad_requests,
            });
            let now = self.task.context.service.now();
            let reply = self.task.frontend.reject_malformed(bad);
            let reply = match bad {
                http::NO_REQUEST_MEMORY => reply.with_header("Retry-After", "1"),
                _ => reply,
            };
            let memory = self.task.context.request_memory.empty();
            if let ControlFlow::Continue(answer) = self.answer(now, AnswerForm::default(), memory) {
                answer.send(reply);
            }
            if let Some(writer) = &self.writer {
                // Waits until the answer is written: the writer reports each answer before it stops.
                let _ = writer.written.recv();
            }
        }
        FINISHED
    }

    fn serve(&mut self, request: Request, received_at: Nanos) -> Flow<Served> {
        let form = AnswerForm {
            keep_alive: request.keep_alive,
            head_only: request.method == "HEAD",
            accepts_chunks: request.accepts_chunks,
        };
        let memory = self.take_memory(&request);
        let answer = self.answer(received_at, form, memory)?;
        let served = self.task.frontend.serve(request, answer);
        if let Served::Submitted(query) = served {
            log::debug!(
                target: REQUEST_LOG_TARGET,
                connection = self.task.key, query = query.0;
                "request read"
            );
        }
        Flow::Continue(served)
    }

    /// Returns the responder of a request that has begun. Breaks if the connection has no writer and gets none.
    fn answer(&mut self, received_at: Nanos, form: AnswerForm, memory: Permit) -> Flow<Answer> {
        let service = self.task.context.service.clone();
        let pending = PendingRequest::new(service, self.task.connection.clone(), memory);
        if self.writer.is_none() {
            self.writer = self.task.start_writer().ok();
        }
        match &self.writer {
            Some(writer) => {
                let writer = writer.answers.clone();
                Flow::Continue(Answer { writer, received_at, form, pending })
            }
            None => Flow::Break(FINISHED),
        }
    }
}
