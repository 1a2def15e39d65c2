//! The writer of a client connection: a coroutine that writes the answers in order.

use std::sync::Arc;
use std::time::Duration;

use curlewdeck_lifecycle::Closing;

use super::answer::OutboundAnswer;
use super::client_connection::ClientConnection;
use super::Service;
use crate::net::messages::REQUEST_LOG_TARGET;
use crate::runtime::{Receiver, Sender};

/// Writes the answers of one client connection.
pub(super) struct AnswerWriter {
    pub(super) key: u64,
    pub(super) connection: Arc<ClientConnection>,
    pub(super) service: Arc<Service>,
    /// The maximum time for writing each piece of an answer.
    pub(super) timeout: Duration,
}

impl AnswerWriter {
    /// Writes answers until the reader has stopped. After each answer, sends to `written` whether the connection stays
    /// open.
    pub(super) fn run(&self, answers: &Receiver<OutboundAnswer>, written: &Sender<bool>) {
        for answer in answers.iter() {
            let keep_alive = self.write(answer);
            if written.send(keep_alive).is_err() {
                return;
            }
        }
    }

    /// Writes one answer and ends its pending request. Returns whether the connection stays open.
    fn write(&self, mut answer: OutboundAnswer) -> bool {
        let keep_alive = answer.form.keep_alive && self.service.closing() == Closing::None;
        let stream = &self.connection.stream;
        let result = answer.write(stream, keep_alive, self.timeout);
        log::debug!(
            target: REQUEST_LOG_TARGET,
            connection = self.key, status = answer.reply.status, result:? = result;
            "answer written"
        );
        match result {
            Ok(()) if keep_alive => {}
            Ok(()) => stream.shutdown_write(),
            Err(_) => stream.shutdown(),
        }
        keep_alive
    }
}
