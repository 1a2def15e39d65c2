//! The state of one connection.

use std::collections::VecDeque;

use crate::api::{Nanos, Outcome};
use crate::engine::{AttemptId, Dispatch};
use crate::net::connection_pool::closed_attempts::ClosedAttempts;

/// A connection, numbered for the life of its data node's actor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What is queued for a connection, or being written on it.
#[derive(Debug, Clone)]
pub(super) enum QueuedCall {
    /// Attempts of one call.
    Attempts {
        /// The attempts.
        dispatches: Vec<Dispatch>,
        /// The call has been moved from one connection to another already.
        moved: bool,
    },
    /// The notice that an attempt is cancelled.
    Cancel {
        /// The name of its part.
        part_name: String,
    },
    /// A health check.
    HealthCheck,
}

impl QueuedCall {
    /// Parts that it carries.
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

/// An attempt whose frame was written completely and that was not answered yet.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    pub(super) part_name: String,
    pub(super) attempt: AttemptId,
    pub(super) written_at: Nanos,
}

/// An attempt that a response belongs to.
pub(super) struct AnsweredAttempt {
    pub(super) attempt: AttemptId,
    /// When its frame was written completely; 0 if that was not reported yet.
    pub(super) written_at: Nanos,
}

/// One connection to a data node.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) state: ConnectionState,
    /// Which of the data node's addresses it goes to, in the order in which they were announced.
    pub(super) address_generation: u64,
    pub(super) queued: VecDeque<QueuedCall>,
    /// What is being written.
    pub(super) writing: Option<QueuedCall>,
    pub(super) in_flight: Vec<InFlightAttempt>,
    /// When something was last received, or the first of the attempts in flight was written.
    pub(super) silent_since: Nanos,
    /// An attempt was cancelled on it after a silence that lasts.
    pub(super) cancelled_in_silence: bool,
    /// Something was received on it: its data node has accepted it.
    pub(super) has_received: bool,
    pub(super) closed_attempts: ClosedAttempts,
    /// When the health checks were sent that were not answered yet.
    pub(super) health_checks: VecDeque<Nanos>,
    pub(super) last_used_at: Nanos,
    pub(super) read_ended: bool,
    /// What was received is malformed, or the connection has died unseen.
    pub(super) malformed: bool,
}

impl Connection {
    /// One that is being opened.
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

    /// Parts in flight, being written or queued.
    pub(super) fn part_count(&self) -> usize {
        self.in_flight.len() + self.unwritten_part_count()
    }

    /// Parts being written or queued.
    pub(super) fn unwritten_part_count(&self) -> usize {
        self.queued.iter().chain(&self.writing).map(QueuedCall::part_count).sum()
    }

    /// Whether nothing was received for so long with attempts in flight, or was when they were cancelled.
    pub(super) fn is_silent(&self, now: Nanos, silence_timeout: Nanos) -> bool {
        let overdue = now.saturating_sub(self.silent_since) >= silence_timeout;
        self.cancelled_in_silence || !self.in_flight.is_empty() && overdue
    }

    /// The outcome of what is in flight on it when it is lost.
    pub(super) fn loss_outcome(&self) -> Outcome {
        if self.malformed {
            Outcome::MalformedResponse
        } else {
            Outcome::ConnectionReset
        }
    }

    /// Whether there is no work on it.
    pub(super) fn is_idle(&self) -> bool {
        let nothing_to_write = self.queued.is_empty() && self.writing.is_none();
        nothing_to_write && self.in_flight.is_empty() && self.health_checks.is_empty()
    }

    /// Whether something may be received on it: nothing is owed on an idle connection but answers to cancelled attempts.
    pub(super) fn expects_input(&self) -> bool {
        !self.is_idle() || self.closed_attempts.expects_answer()
    }

    /// Notes that a frame was received.
    pub(super) fn record_received(&mut self, now: Nanos) {
        self.last_used_at = now;
        self.silent_since = now;
        self.cancelled_in_silence = false;
        self.has_received = true;
    }

    /// Notes that these were written completely.
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

    /// Takes the attempt that a response to this part belongs to.
    pub(super) fn take_answered(&mut self, part_name: &str) -> Option<AnsweredAttempt> {
        if let Some(at) = self.in_flight.iter().position(|in_flight| in_flight.part_name == part_name) {
            let InFlightAttempt { attempt, written_at, .. } = self.in_flight.remove(at);
            return Some(AnsweredAttempt { attempt, written_at });
        }
        // The response may overtake the report that its frame was written.
        let Some(QueuedCall::Attempts { dispatches, .. }) = &mut self.writing else { return None };
        let at = dispatches.iter().position(|dispatch| dispatch.part.name == part_name)?;
        Some(AnsweredAttempt { attempt: dispatches.remove(at).attempt, written_at: 0 })
    }

    /// Drops an attempt that is queued.
    pub(super) fn drop_queued(&mut self, attempt: AttemptId) {
        for call in &mut self.queued {
            if let QueuedCall::Attempts { dispatches, .. } = call {
                dispatches.retain(|dispatch| dispatch.attempt != attempt);
            }
        }
        self.queued
            .retain(|call| !matches!(call, QueuedCall::Attempts { dispatches, .. } if dispatches.is_empty()));
    }

    /// Takes an attempt that is in flight or being written, as it is cancelled; returns its part's name.
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
        // Its frame is being written: the notice that it is cancelled follows.
        let Some(QueuedCall::Attempts { dispatches, .. }) = &mut self.writing else { return None };
        let at = dispatches.iter().position(|dispatch| dispatch.attempt == attempt)?;
        Some(dispatches.remove(at).part.name.clone())
    }

    /// Takes the calls and health checks that are queued; notices of cancelled attempts stay.
    pub(super) fn take_queued_work(&mut self) -> VecDeque<QueuedCall> {
        let is_notice = |call: &QueuedCall| matches!(call, QueuedCall::Cancel { .. });
        let (notices, work) = std::mem::take(&mut self.queued).into_iter().partition(is_notice);
        self.queued = notices;
        work
    }
}
