//! The coroutines of one client connection, from its start to its close.

use std::sync::Arc;

use may::sync::mpsc::channel;

use super::answer::OutboundAnswer;
use super::client_connection::ClientConnection;
use super::linger::linger;
use super::reader::{ReadEnd, RequestLoop};
use super::writer::AnswerWriter;
use super::{Frontend, FrontendContext};
use crate::runtime::spawn;

/// The maximum number of bytes per read.
pub(super) const READ_BUFFER_BYTES: usize = 4096;

/// Serves one client connection.
pub(super) struct ClientTask {
    pub(super) key: u64,
    pub(super) connection: Arc<ClientConnection>,
    pub(super) frontend: Arc<dyn Frontend>,
    pub(super) context: FrontendContext,
}

impl ClientTask {
    /// Starts the writer, reads requests until the connection ends, and closes it.
    pub(super) fn run(&self) {
        let (answers, outbox) = channel::<OutboundAnswer>();
        let (written, answers_written) = channel::<bool>();
        let writer = self.answer_writer();
        let stack_words = self.context.limits.stack_words;
        let started = spawn("client writer", stack_words, move || writer.run(&outbox, &written));
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        if started.is_ok() {
            let end = RequestLoop::new(self, &answers, &answers_written).run(&mut buffer);
            if end == ReadEnd::Finished {
                self.connection.stream.shutdown_write();
                linger(&self.connection.stream, &mut buffer, &self.context.limits);
            }
        }
        self.connection.stream.shutdown();
    }

    fn answer_writer(&self) -> AnswerWriter {
        AnswerWriter {
            key: self.key,
            connection: self.connection.clone(),
            service: self.context.service.clone(),
            timeout: self.context.limits.client_write_timeout,
        }
    }
}
