//! Outlier detection: servers that fail or are slow while their peers are not get fewer attempts, or none.
//!
//! Each failure raises a server's outlier score, which decays with time and falls with timely outcomes. It is
//! kept for each class too: where one class alone fails, the successes of others clear the server but not the
//! class.

use super::decay::DecayingScore;
use super::replica_selection::HealthTier;
use super::server::Server;
use super::slow_start::SlowStartBudget;
use super::Policy;
use crate::api::{ClassId, Nanos, Outcome, ServerId};

/// Peers come first from this score on.
const DEPRIORITIZE_THRESHOLD: f64 = 0.5;
/// Nothing is sent from this score on while a peer is healthier.
const EJECTION_THRESHOLD: f64 = 1.5;
/// The score rises no further.
const MAX_OUTLIER_SCORE: f64 = 4.0;
/// Added by a failed or overdue attempt.
pub(super) const FAILURE_SCORE: f64 = 1.0;
/// Added by a connection that did not come up.
pub(super) const CONNECT_FAILURE_SCORE: f64 = 2.0;
/// Added by a lost connection, whatever was in flight on it: connections break at sound servers too.
const CONNECTION_LOSS_SCORE: f64 = 0.4;
/// Added by a slow success.
pub(super) const SLOW_SCORE: f64 = 0.5;
/// What a timely success leaves of the score.
const SUCCESS_SCORE_FACTOR: f64 = 0.25;
/// Failures in a row that one success takes back where traffic is low; otherwise it takes back all.
const LOW_TRAFFIC_FORGIVEN_FAILURES: u32 = 2;
/// The half-life of a score is this many intervals between attempts at one server, where that is longer than
/// the shortest latency objective.
const HALF_LIFE_SEND_INTERVALS: f64 = 2.0;
/// Longest half-life before doublings, in shortest latency objectives.
const MAX_HALF_LIFE_OBJECTIVES: f64 = 6.0;
/// The same, as a share of the warm-up duration; the longer of both holds.
const MAX_HALF_LIFE_WARM_UP_RATIO: f64 = 0.5;
/// Each failure in a row doubles the half-life, up to so many times.
const MAX_HALF_LIFE_DOUBLINGS: u32 = 3;

impl Server {
    /// The scores that an outcome of a class counts for.
    fn scores_of(&mut self, class: ClassId) -> [&mut DecayingScore; 2] {
        [&mut self.outlier_score, &mut self.class_outlier_scores[class.0]]
    }

    /// Whether its outcomes of all classes make it an outlier.
    pub(super) fn is_suspect(&self, now: Nanos) -> bool {
        self.outlier_score.get(now) >= DEPRIORITIZE_THRESHOLD
    }
}

impl Policy {
    /// How healthy a server looks for a class, with so many parts planned for it.
    pub(super) fn health_tier(&self, server: &Server, class: ClassId, planned: u32) -> HealthTier {
        let class_score = server.class_outlier_scores[class.0].get(self.now);
        let score = server.outlier_score.get(self.now).max(class_score);
        let is_busy = planned > 0 || !server.in_flight.is_empty();
        let is_suspect = score >= DEPRIORITIZE_THRESHOLD;
        let is_on_trial = is_busy && (is_suspect || server.is_unreachable);
        if score >= EJECTION_THRESHOLD || self.is_zone_degraded(server.zone) || is_on_trial {
            HealthTier::Ejected
        } else if is_suspect {
            HealthTier::Deprioritized
        } else {
            HealthTier::Healthy
        }
    }

    /// Raises the outlier score of a server.
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

    /// The half-life of outlier scores: longer where traffic is low, since evidence comes seldom.
    fn base_half_life(&self) -> Nanos {
        let objective = self.settings.shortest_latency_objective() as f64;
        let warm_up = self.settings.slow_start.warm_up_duration as f64;
        let max_half_life = (MAX_HALF_LIFE_OBJECTIVES * objective).max(MAX_HALF_LIFE_WARM_UP_RATIO * warm_up);
        (HALF_LIFE_SEND_INTERVALS * self.mean_send_interval()).clamp(objective, max_half_life) as Nanos
    }

    /// Records that a connection was lost, with all that was in flight on it. Only after a reset may the
    /// server have died; the next connect shows it.
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

    /// Sends a server nothing for a while.
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
        // A server that stalls now and then has many single successes where it is seldom sent to.
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
        // A shorter disruption leaves no time for a restart.
        if disrupted_for.is_some_and(|duration| duration >= overload_duration) {
            server.slow_start_since = Some(now);
            let completed_attempts = self.load.completed_attempts;
            server.slow_start_budget = SlowStartBudget { parts: 0.0, counted_at: now, completed_attempts };
        }
    }

    /// How many servers in the endpoint list are sent nothing now. One that was ejected or whose zone
    /// degraded a moment ago does not count.
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
