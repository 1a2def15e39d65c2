//! The answer to one request, passed from a frontend to the writer of the connection.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use super::client_connection::ClientConnection;
use super::{Reply, Service};
use crate::api::Nanos;
use crate::engine::ClientLiveness;
use crate::net::http;
use crate::runtime::{Permit, Sender, Stream};

/// A long body, generated piece by piece as the client receives it.
pub type BodyPieces = Box<dyn Iterator<Item = Vec<u8>> + Send>;

/// How an answer is framed and whether the connection stays open after it. The default closes the connection.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AnswerForm {
    pub(super) keep_alive: bool,
    pub(super) head_only: bool,
    pub(super) accepts_chunks: bool,
}

/// A request that has been read and neither answered nor abandoned. It counts as pending until it is dropped.
pub(super) struct PendingRequest {
    service: Arc<Service>,
    connection: Arc<ClientConnection>,
    /// The memory of its body.
    _memory: Permit,
}

impl PendingRequest {
    pub(super) fn new(service: Arc<Service>, connection: Arc<ClientConnection>, memory: Permit) -> Self {
        service.request_started();
        Self { service, connection, _memory: memory }
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.connection.state().finish_request(self.service.now());
        self.service.request_finished();
    }
}

/// The one-time responder of a request: sends its answer to the writer of the connection.
pub struct Answer {
    pub(super) writer: Sender<OutboundAnswer>,
    pub(super) received_at: Nanos,
    pub(super) form: AnswerForm,
    pub(super) pending: PendingRequest,
}

impl Answer {
    /// Returns a check of whether the client is still connected.
    pub fn client(&self) -> ClientLiveness {
        // The weak reference lets the connection close while an attempt is in flight.
        let connection = Arc::downgrade(&self.pending.connection);
        ClientLiveness::new(move || connection.upgrade().is_some_and(|c| c.is_client_connected()))
    }

    /// When the last byte of the request was received. The request's deadline is measured from this time.
    pub fn received_at(&self) -> Nanos {
        self.received_at
    }

    /// Sends the reply; nothing is sent if the client has disconnected.
    pub fn send(self, reply: Reply) {
        self.send_to_writer(reply, None);
    }

    /// Sends a reply with a chunked body. Each piece is generated and written once the client has received the previous
    /// one. A client that does not accept chunked bodies gets all pieces as one body.
    pub fn stream(self, mut reply: Reply, pieces: BodyPieces) {
        if self.form.accepts_chunks {
            return self.send_to_writer(reply, Some(pieces));
        }
        reply.body = pieces.flatten().collect();
        self.send_to_writer(reply, None);
    }

    fn send_to_writer(self, reply: Reply, pieces: Option<BodyPieces>) {
        let Self { writer, form, pending, .. } = self;
        // Sending fails if the client has disconnected; the answer is then dropped.
        let _ = writer.send(OutboundAnswer { reply, pieces, form, _pending: pending });
    }
}

/// An answer in the queue of a connection's writer.
pub(super) struct OutboundAnswer {
    pub(super) reply: Reply,
    pieces: Option<BodyPieces>,
    pub(super) form: AnswerForm,
    _pending: PendingRequest,
}

impl OutboundAnswer {
    /// Writes the answer. Each piece must be written within `timeout`.
    pub(super) fn write(&mut self, stream: &Stream, keep_alive: bool, timeout: Duration) -> io::Result<()> {
        let Reply { status, content_type, extra_headers, body } = &self.reply;
        let Some(pieces) = self.pieces.take() else {
            let bytes =
                http::response(*status, content_type, extra_headers, body, keep_alive, self.form.head_only);
            return stream.write_all(&bytes, timeout);
        };
        stream.write_all(&http::chunked_head(*status, content_type, extra_headers, keep_alive), timeout)?;
        if self.form.head_only {
            return Ok(());
        }
        for piece in pieces {
            stream.write_all(&http::chunk(&piece), timeout)?;
        }
        stream.write_all(http::LAST_CHUNK, timeout)
    }
}
