//! The policy's record of one server.

use super::attempt::InFlightAttempt;
use super::decay::DecayingScore;
use super::slow_start::SlowStartBudget;
use crate::api::{EndpointState, Nanos, ZoneId};

#[derive(Debug, Clone)]
pub(super) struct Server {
    pub(super) partition_group: u32,
    pub(super) state: EndpointState,
    pub(super) zone: Option<ZoneId>,
    /// When its process last started, as reported by the endpoint list; 0: long ago.
    pub(super) started_at: Nanos,
    /// When its slow start began; `None` if no start is known.
    pub(super) slow_start_since: Option<Nanos>,
    pub(super) slow_start_budget: SlowStartBudget,
    pub(super) in_flight: Vec<InFlightAttempt>,
    /// Sequence number, over all servers, of the last attempt sent to it.
    pub(super) last_dispatch: u64,
    /// Maximum number of calls in flight; below 1 it sets the interval between attempts.
    pub(super) concurrency_limit: f64,
    pub(super) limit_decreased_at: Nanos,
    /// No attempt is sent before this time.
    pub(super) paused_until: Nanos,
    /// When its connection was last used; `None` if there is none.
    pub(super) connection_used_at: Option<Nanos>,
    /// When a connection to it was last lost.
    pub(super) connection_lost_at: Nanos,
    /// Score from the outcomes of all classes.
    pub(super) outlier_score: DecayingScore,
    /// Scores from the outcomes of each class, by class index.
    pub(super) class_outlier_scores: Vec<DecayingScore>,
    pub(super) consecutive_failures: u32,
    pub(super) outlier_score_raised_at: Nanos,
    /// Whether a connect has failed and no attempt has succeeded since.
    pub(super) is_unreachable: bool,
    /// When a connection was first reset or a connect first failed since the last success; `None` if neither
    /// happened.
    pub(super) disrupted_since: Option<Nanos>,
}

impl Server {
    /// Creates the record of a server before its endpoint record is applied.
    pub(super) fn new(last_dispatch: u64, concurrency_limit: f64, classes: usize) -> Self {
        Self {
            partition_group: 0,
            state: EndpointState::Removed,
            zone: None,
            started_at: 0,
            slow_start_since: None,
            slow_start_budget: SlowStartBudget::default(),
            in_flight: Vec::new(),
            last_dispatch,
            concurrency_limit,
            limit_decreased_at: 0,
            paused_until: 0,
            connection_used_at: None,
            connection_lost_at: 0,
            outlier_score: DecayingScore::default(),
            class_outlier_scores: vec![DecayingScore::default(); classes],
            consecutive_failures: 0,
            outlier_score_raised_at: 0,
            is_unreachable: false,
            disrupted_since: None,
        }
    }

    /// Clears the state that belongs to the process before its restart.
    pub(super) fn reset(&mut self, concurrency_limit: f64) {
        self.concurrency_limit = concurrency_limit;
        self.consecutive_failures = 0;
        self.is_unreachable = false;
        self.disrupted_since = None;
        self.connection_used_at = None;
        self.outlier_score = DecayingScore::default();
        self.class_outlier_scores.fill(DecayingScore::default());
    }

    pub(super) fn is_active(&self) -> bool {
        self.state == EndpointState::Active
    }

    pub(super) fn is_removed(&self) -> bool {
        self.state == EndpointState::Removed
    }

    /// Returns the number of calls in flight; a call may carry several parts.
    pub(super) fn calls_in_flight(&self) -> u32 {
        let mut calls: Vec<_> = self.in_flight.iter().map(|attempt| attempt.call).collect();
        calls.sort_unstable();
        calls.dedup();
        calls.len() as u32
    }

    pub(super) fn pause_until(&mut self, until: Nanos) {
        self.paused_until = self.paused_until.max(until);
    }
}
