//! Outlier detection: servers that fail or are slow while their peers are not receive fewer attempts or none.
//!
//! Each failure raises a server's outlier score, which decays with time and falls with timely outcomes. Each
//! class also has a separate score: if only one class fails, the successes of other classes lower the
//! server's score but not that of the class.

use super::decay::DecayingScore;
use super::replica_selection::HealthTier;
use super::server::Server;
use super::slow_start::SlowStartBudget;
use super::Policy;
use crate::api::{ClassId, Nanos, Outcome, ServerId};

/// From this score on, healthy replicas are preferred to the server.
const DEPRIORITIZE_THRESHOLD: f64 = 0.5;
/// From this score on, the server receives nothing while a replica of a better tier exists.
const EJECTION_THRESHOLD: f64 = 1.5;
/// Upper bound of the score.
const MAX_OUTLIER_SCORE: f64 = 4.0;
/// Added by a failed or overdue attempt.
pub(super) const FAILURE_SCORE: f64 = 1.0;
/// Added by a failed connect.
pub(super) const CONNECT_FAILURE_SCORE: f64 = 2.0;
/// Added by a lost connection, however many attempts were in flight on it: healthy servers lose connections
/// too.
const CONNECTION_LOSS_SCORE: f64 = 0.4;
/// Added by a slow success.
pub(super) const SLOW_SCORE: f64 = 0.5;
/// Factor applied to the score by a timely success.
const SUCCESS_SCORE_FACTOR: f64 = 0.25;
/// Consecutive failures that one success cancels when traffic is low; otherwise it cancels all.
const LOW_TRAFFIC_FORGIVEN_FAILURES: u32 = 2;
/// Half-life of a score, as a multiple of the mean interval between attempts at one server. The minimum is
/// the shortest latency objective.
const HALF_LIFE_SEND_INTERVALS: f64 = 2.0;
/// Maximum half-life before doublings, as a multiple of the shortest latency objective.
const MAX_HALF_LIFE_OBJECTIVES: f64 = 6.0;
/// The same as a share of the warm-up duration; the longer of the two applies.
const MAX_HALF_LIFE_WARM_UP_RATIO: f64 = 0.5;
/// Each consecutive failure doubles the half-life, up to this many times.
const MAX_HALF_LIFE_DOUBLINGS: u32 = 3;

impl Server {
    /// Returns the scores that an outcome of a class affects.
    fn scores_of(&mut self, class: ClassId) -> [&mut DecayingScore; 2] {
        [&mut self.outlier_score, &mut self.class_outlier_scores[class.0]]
    }

    /// Whether its score over all classes makes it an outlier.
    pub(super) fn is_suspect(&self, now: Nanos) -> bool {
        self.outlier_score.get(now) >= DEPRIORITIZE_THRESHOLD
    }
}

impl Policy {
    /// Returns the health tier of a server for a class, given the number of parts planned for it.
    pub(super) fn health_tier(&self, server: &Server, class: ClassId, planned: u32) -> HealthTier {
        let class_score = server.class_outlier_scores[class.0].get(self.now);
        let score = server.outlier_score.get(self.now).max(class_score);
        let is_busy = planned > 0 || !server.in_flight.is_empty();
        let is_suspect = score >= DEPRIORITIZE_THRESHOLD;
        let has_trial_attempt = is_busy && (is_suspect || server.is_unreachable);
        if score >= EJECTION_THRESHOLD || self.is_zone_degraded(server.zone) || has_trial_attempt {
            HealthTier::Ejected
        } else if is_suspect {
            HealthTier::Deprioritized
        } else {
            HealthTier::Healthy
        }
    }

    pub(super) fn raise_outlier_score(&mut self, id: ServerId, class: ClassId, amount: f64) {
        let (now, base_half_life) = (self.now, self.base_half_life());
        let Some(server) = self.endpoints.servers.get_mut(&id) else { return };
        let half_life = base_half_life << server.consecutive_failures.min(MAX_HALF_LIFE_DOUBLINGS);
        server.consecutive_failures += 1;
        server.outlier_score_raised_at = now;
        for score in server.scores_of(class) {
            score.set(now, (score.get(now) + amount).min(MAX_OUTLIER_SCORE), half_life);
        }
        if amount >= CONNECT_FAILURE_SCORE {
            server.is_unreachable = true;
            server.disrupted_since.get_or_insert(now);
        }
        if server.is_unreachable {
            self.pause_endpoint(id);
        }
    }

    /// Returns the half-life of outlier scores; it is longer when traffic is low, since outcomes are rare.
    fn base_half_life(&self) -> Nanos {
        let objective = self.settings.shortest_latency_objective() as f64;
        let warm_up = self.settings.slow_start.warm_up_duration as f64;
        let max_half_life = (MAX_HALF_LIFE_OBJECTIVES * objective).max(MAX_HALF_LIFE_WARM_UP_RATIO * warm_up);
        (HALF_LIFE_SEND_INTERVALS * self.mean_send_interval()).clamp(objective, max_half_life) as Nanos
    }

    /// Records the loss of a connection once for all attempts in flight on it. Only a reset may mean that the
    /// server has died; the next connect shows whether it has.
    pub(super) fn record_connection_loss(&mut self, id: ServerId, class: ClassId, outcome: Outcome) {
        let now = self.now;
        let Some(server) = self.endpoints.servers.get_mut(&id) else { return };
        if outcome == Outcome::ConnectionReset {
            server.disrupted_since.get_or_insert(now);
        }
        let already_counted = std::mem::replace(&mut server.connection_lost_at, now) == now;
        if !already_counted {
            self.raise_outlier_score(id, class, CONNECTION_LOSS_SCORE);
        }
    }

    /// Stops sending to a server for the minimum pause.
    pub(super) fn pause_endpoint(&mut self, id: ServerId) {
        let until = self.now + self.min_pause();
        if let Some(server) = self.endpoints.servers.get_mut(&id) {
            server.pause_until(until);
        }
    }

    /// Records a timely success.
    pub(super) fn lower_outlier_score(&mut self, id: ServerId, class: ClassId) {
        let (now, low_traffic) = (self.now, self.is_low_traffic());
        let overload_duration = self.settings.slow_start.overload_duration;
        let Some(server) = self.endpoints.servers.get_mut(&id) else { return };
        // With low traffic, a server that stalls intermittently still has many isolated successes.
        let (factor, forgiven) = if low_traffic {
            (SUCCESS_SCORE_FACTOR.sqrt(), LOW_TRAFFIC_FORGIVEN_FAILURES)
        } else {
            (SUCCESS_SCORE_FACTOR, u32::MAX)
        };
        server.consecutive_failures = server.consecutive_failures.saturating_sub(forgiven);
        for score in server.scores_of(class) {
            score.scale(now, factor);
        }
        server.is_unreachable = false;
        let disrupted_for = server.disrupted_since.take().map(|since| now.saturating_sub(since));
        // A shorter disruption is too short for a restart.
        if disrupted_for.is_some_and(|duration| duration >= overload_duration) {
            server.slow_start_since = Some(now);
            let completed_attempts = self.load.completed_attempts;
            server.slow_start_budget = SlowStartBudget { parts: 0.0, counted_at: now, completed_attempts };
        }
    }

    /// Returns the number of servers in the endpoint list that receive no attempts. A server that was
    /// ejected, or whose zone became degraded, within the last minimum pause is not counted.
    pub fn excluded_servers(&self) -> usize {
        let recently = self.now.saturating_sub(self.min_pause());
        let is_ejected = |server: &Server| {
            server.outlier_score.get(self.now) >= EJECTION_THRESHOLD || self.is_zone_degraded(server.zone)
        };
        let is_unused = |server: &Server| server.connection_used_at.is_none_or(|used_at| used_at < recently);
        let is_excluded = |server: &Server| !server.is_active() || is_ejected(server) && is_unused(server);
        self.endpoints.servers.values().filter(|s| !s.is_removed() && is_excluded(s)).count()
    }
}
