//! The state of one connection.

use std::collections::VecDeque;

use crate::api::{Nanos, Outcome};
use crate::engine::{AttemptId, Dispatch};
use crate::net::connection_pool::closed_attempts::ClosedAttempts;

/// Identifies a connection; unique within the lifetime of its data node's actor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Work that is queued for a connection or being written to it.
#[derive(Debug, Clone)]
pub(super) enum QueuedWork {
    /// Attempts of one call.
    Attempts {
        dispatches: Vec<Dispatch>,
        /// The call has already been moved to another connection once.
        moved: bool,
    },
    /// The notification that the attempt for a part is cancelled.
    Cancel {
        part_name: String,
    },
    HealthCheck,
}

impl QueuedWork {
    /// Number of parts in it.
    pub(super) fn part_count(&self) -> usize {
        match self {
            Self::Attempts { dispatches, .. } => dispatches.len(),
            Self::Cancel { .. } | Self::HealthCheck => 0,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionState {
    Connecting,
    Connected,
    Closing,
}

/// An attempt whose frame was written completely and that has no answer yet.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    pub(super) part_name: String,
    pub(super) attempt: AttemptId,
    pub(super) written_at: Nanos,
}

/// The attempt that a response answers.
pub(super) struct AnsweredAttempt {
    pub(super) attempt: AttemptId,
    /// When its frame was written completely; 0 if the write has not been reported yet.
    pub(super) written_at: Nanos,
}

/// One connection to a data node.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) state: ConnectionState,
    /// The number of address changes before the connection was opened.
    pub(super) address_generation: u64,
    pub(super) queued: VecDeque<QueuedWork>,
    /// Work that is being written; queued work waits for it.
    pub(super) writing: Option<QueuedWork>,
    pub(super) in_flight: Vec<InFlightAttempt>,
    /// The later of the last received frame and the write of the first attempt in flight.
    pub(super) silent_since: Nanos,
    /// An attempt was cancelled after the silence timeout, and no frame has been received since.
    pub(super) cancelled_in_silence: bool,
    /// A frame was received, so the data node has accepted the connection.
    pub(super) has_received: bool,
    pub(super) closed_attempts: ClosedAttempts,
    /// When the unanswered health checks were sent.
    pub(super) health_checks: VecDeque<Nanos>,
    pub(super) last_used_at: Nanos,
    pub(super) read_ended: bool,
    /// The input was malformed, or the connection failed without a close.
    pub(super) malformed: bool,
}

impl Connection {
    /// Creates the state of a connection that is being opened.
    pub(super) fn connecting(address_generation: u64, now: Nanos) -> Self {
        Self {
            state: ConnectionState::Connecting,
            address_generation,
            queued: VecDeque::new(),
            writing: None,
            in_flight: Vec::new(),
            silent_since: now,
            cancelled_in_silence: false,
            has_received: false,
            closed_attempts: ClosedAttempts::default(),
            health_checks: VecDeque::new(),
            last_used_at: now,
            read_ended: false,
            malformed: false,
        }
    }

    /// Number of parts in flight, being written or queued.
    pub(super) fn part_count(&self) -> usize {
        self.in_flight.len() + self.unwritten_part_count()
    }

    /// Number of parts being written or queued.
    pub(super) fn unwritten_part_count(&self) -> usize {
        self.queued.iter().chain(&self.writing).map(QueuedWork::part_count).sum()
    }

    /// Whether no frame was received for `silence_timeout` with attempts in flight, or before one was cancelled.
    pub(super) fn is_silent(&self, now: Nanos, silence_timeout: Nanos) -> bool {
        let overdue = now.saturating_sub(self.silent_since) >= silence_timeout;
        self.cancelled_in_silence || !self.in_flight.is_empty() && overdue
    }

    /// The outcome of attempts in flight when the connection is closed.
    pub(super) fn loss_outcome(&self) -> Outcome {
        if self.malformed {
            Outcome::MalformedResponse
        } else {
            Outcome::ConnectionReset
        }
    }

    /// Whether nothing is queued, being written or awaiting an answer.
    pub(super) fn is_idle(&self) -> bool {
        let nothing_to_write = self.queued.is_empty() && self.writing.is_none();
        nothing_to_write && self.in_flight.is_empty() && self.health_checks.is_empty()
    }

    /// Whether input is expected. On an idle connection, only answers to cancelled attempts are.
    pub(super) fn expects_input(&self) -> bool {
        !self.is_idle() || self.closed_attempts.expects_answer()
    }

    /// Records the receipt of a frame.
    pub(super) fn record_received(&mut self, now: Nanos) {
        self.last_used_at = now;
        self.silent_since = now;
        self.cancelled_in_silence = false;
        self.has_received = true;
    }

    /// Records attempts whose frame was written completely.
    pub(super) fn record_in_flight(&mut self, dispatches: Vec<Dispatch>, now: Nanos) {
        for dispatch in dispatches {
            if self.in_flight.is_empty() {
                self.silent_since = now;
            }
            self.in_flight.push(InFlightAttempt {
                part_name: dispatch.part.name.clone(),
                attempt: dispatch.attempt,
                written_at: now,
            });
        }
    }

    /// Removes and returns the attempt that a response to this part answers.
    pub(super) fn take_answered(&mut self, part_name: &str) -> Option<AnsweredAttempt> {
        if let Some(at) = self.in_flight.iter().position(|in_flight| in_flight.part_name == part_name) {
            let InFlightAttempt { attempt, written_at, .. } = self.in_flight.remove(at);
            return Some(AnsweredAttempt { attempt, written_at });
        }
        // The response may arrive before the report that the attempt's frame was written.
        let Some(QueuedWork::Attempts { dispatches, .. }) = &mut self.writing else { return None };
        let at = dispatches.iter().position(|dispatch| dispatch.part.name == part_name)?;
        Some(AnsweredAttempt { attempt: dispatches.remove(at).attempt, written_at: 0 })
    }

    /// Removes an attempt from the queue.
    pub(super) fn drop_queued(&mut self, attempt: AttemptId) {
        for work in &mut self.queued {
            if let QueuedWork::Attempts { dispatches, .. } = work {
                dispatches.retain(|dispatch| dispatch.attempt != attempt);
            }
        }
        self.queued
            .retain(|work| !matches!(work, QueuedWork::Attempts { dispatches, .. } if dispatches.is_empty()));
    }

    /// Removes a cancelled attempt that is in flight or being written; returns its part's name.
    pub(super) fn take_cancelled(
        &mut self,
        attempt: AttemptId,
        now: Nanos,
        silence_timeout: Nanos,
    ) -> Option<String> {
        if let Some(at) = self.in_flight.iter().position(|in_flight| in_flight.attempt == attempt) {
            let cancelled = self.in_flight.swap_remove(at);
            let silent_since = self.silent_since.max(cancelled.written_at);
            self.cancelled_in_silence |= now.saturating_sub(silent_since) >= silence_timeout;
            return Some(cancelled.part_name);
        }
        // The attempt's frame is being written; the cancellation is sent after it.
        let Some(QueuedWork::Attempts { dispatches, .. }) = &mut self.writing else { return None };
        let at = dispatches.iter().position(|dispatch| dispatch.attempt == attempt)?;
        Some(dispatches.remove(at).part.name.clone())
    }

    /// Removes and returns the queued calls and health checks; cancellations stay queued.
    pub(super) fn take_queued_work(&mut self) -> VecDeque<QueuedWork> {
        let is_cancellation = |work: &QueuedWork| matches!(work, QueuedWork::Cancel { .. });
        let (cancellations, work) = std::mem::take(&mut self.queued).into_iter().partition(is_cancellation);
        self.queued = cancellations;
        work
    }
}
