//! The answer to one request on its way from a frontend to the writer of the connection.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use may::sync::mpsc::Sender;

use super::client_connection::ClientConnection;
use super::{Reply, Service};
use crate::api::Nanos;
use crate::engine::ClientLiveness;
use crate::net::http;
use crate::runtime::Stream;

/// A long body, made piece by piece as the client takes it.
pub type BodyPieces = Box<dyn Iterator<Item = Vec<u8>> + Send>;

/// The form in which a request is answered. The default closes the connection.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AnswerForm {
    pub(super) keep_alive: bool,
    pub(super) head_only: bool,
    pub(super) accepts_chunks: bool,
}

/// A request that has been read and is neither answered nor abandoned; counted until it is dropped.
pub(super) struct PendingRequest {
    service: Arc<Service>,
    connection: Arc<ClientConnection>,
}

impl PendingRequest {
    pub(super) fn new(service: Arc<Service>, connection: Arc<ClientConnection>) -> Self {
        service.request_started();
        Self { service, connection }
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.connection.state().finish_request(self.service.now());
        self.service.request_finished();
    }
}

/// Takes the answer to one request.
pub struct Answer {
    pub(super) writer: Sender<OutboundAnswer>,
    pub(super) received_at: Nanos,
    pub(super) form: AnswerForm,
    pub(super) pending: PendingRequest,
}

impl Answer {
    /// Tells whether the client is still connected.
    pub fn client(&self) -> ClientLiveness {
        // An attempt in flight does not keep its client's connection open.
        let connection = Arc::downgrade(&self.pending.connection);
        ClientLiveness::new(move || connection.upgrade().is_some_and(|c| c.is_client_connected()))
    }

    /// When the last byte of the request was received: its deadline counts from then.
    pub fn received_at(&self) -> Nanos {
        self.received_at
    }

    /// Sends the reply.
    pub fn send(self, reply: Reply) {
        self.send_to_writer(reply, None);
    }

    /// Sends a reply whose body follows in pieces, one after the other as the client takes them. A client that does not
    /// accept chunks gets them as one body.
    pub fn stream(self, mut reply: Reply, pieces: BodyPieces) {
        if self.form.accepts_chunks {
            return self.send_to_writer(reply, Some(pieces));
        }
        reply.body = pieces.flatten().collect();
        self.send_to_writer(reply, None);
    }

    fn send_to_writer(self, reply: Reply, pieces: Option<BodyPieces>) {
        let Self { writer, form, pending, .. } = self;
        // A client that has disconnected needs no answer.
        let _ = writer.send(OutboundAnswer { reply, pieces, form, _pending: pending });
    }
}

/// An answer in the mailbox of a connection's writer.
pub(super) struct OutboundAnswer {
    pub(super) reply: Reply,
    pieces: Option<BodyPieces>,
    pub(super) form: AnswerForm,
    _pending: PendingRequest,
}

impl OutboundAnswer {
    /// Writes the answer; the client must take each of its pieces within `timeout`.
    pub(super) fn write(&mut self, stream: &Stream, keep_alive: bool, timeout: Duration) -> io::Result<()> {
        let Reply { status, content_type: kind, extra_headers: more, body } = &self.reply;
        let Some(pieces) = self.pieces.take() else {
            let bytes = http::response(*status, kind, more, body, keep_alive, self.form.head_only);
            return stream.write_all(&bytes, timeout);
        };
        stream.write_all(&http::chunked_head(*status, kind, more, keep_alive), timeout)?;
        if self.form.head_only {
            return Ok(());
        }
        for piece in pieces {
            stream.write_all(&http::chunk(&piece), timeout)?;
        }
        stream.write_all(http::LAST_CHUNK, timeout)
    }
}
