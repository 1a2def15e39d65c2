//! The coroutines of one client connection, from its start to its close.

use std::sync::Arc;

use super::answer::OutboundAnswer;
use super::client_connection::ClientConnection;
use super::linger::linger;
use super::reader::{ReadEnd, RequestLoop};
use super::writer::AnswerWriter;
use super::{Frontend, FrontendContext};
use crate::runtime::{channel, spawn, Receiver, Sender, SpawnError};

/// The maximum number of bytes per read.
pub(super) const READ_BUFFER_BYTES: usize = 4096;

/// The reader's side of a started writer.
pub(super) struct AnswerQueue {
    pub(super) answers: Sender<OutboundAnswer>,
    /// Receives one message per written answer: whether the connection stays open.
    pub(super) written: Receiver<bool>,
}

/// Serves one client connection.
pub(super) struct ClientTask {
    pub(super) key: u64,
    pub(super) connection: Arc<ClientConnection>,
    pub(super) frontend: Arc<dyn Frontend>,
    pub(super) context: FrontendContext,
}

impl ClientTask {
    /// Reads and serves requests until the connection ends, and closes it.
    pub(super) fn run(&self) {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let end = RequestLoop::new(self).run(&mut buffer);
        if end == ReadEnd::Finished {
            self.connection.stream.shutdown_write();
            linger(&self.connection.stream, &mut buffer, &self.context.limits);
        }
        self.connection.stream.shutdown();
    }

    /// Starts the writer. A connection without a complete request needs none.
    ///
    /// # Errors
    /// The coroutine cannot be started.
    pub(super) fn start_writer(&self) -> Result<AnswerQueue, SpawnError> {
        let (answers, outbox) = channel::<OutboundAnswer>();
        let (written, answers_written) = channel::<bool>();
        let writer = AnswerWriter {
            key: self.key,
            connection: self.connection.clone(),
            service: self.context.service.clone(),
            timeout: self.context.limits.client_write_timeout,
        };
        let stack_words = self.context.limits.stack_words;
        spawn("client writer", stack_words, move || writer.run(&outbox, &written))?;
        Ok(AnswerQueue { answers, written: answers_written })
    }
}
