//! The value of an answer, as the deployment counts it: the full value within the latency objective, a share of it after
//! that, and for a partial answer a share of it by what the answer covers.

use curlewdeck_core::api::Class;

/// The value of a query of a class, in millionths: integers, so that sums are exact.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueryValue {
    /// Of a complete answer within the latency objective: what a query requests.
    pub full: u64,
    late_ratio: f64,
    partial_ratio: f64,
    complete_coverage: f64,
}

/// Millionths in a value of one.
pub const MILLIONTHS: f64 = 1e6;

impl QueryValue {
    /// The value of a query of a class.
    pub fn of_class(class: &Class) -> Self {
        // The priority weight is finite and not negative: the settings are checked.
        let full = (class.priority_weight * MILLIONTHS).round() as u64;
        Self {
            full,
            late_ratio: class.late_value_ratio,
            partial_ratio: class.partial_value_ratio.unwrap_or(0.0),
            complete_coverage: class.complete_coverage,
        }
    }

    /// The value of an answer that covers this share of the weight of its parts: rounded down, and never more than
    /// [`full`](Self::full).
    pub fn served(&self, complete: bool, in_time: bool, coverage: f64) -> u64 {
        let time_ratio = if in_time { 1.0 } else { self.late_ratio };
        let coverage_ratio = match complete {
            true => 1.0,
            false if self.complete_coverage > 0.0 => {
                (self.partial_ratio * coverage.clamp(0.0, 1.0) / self.complete_coverage).min(1.0)
            }
            false => 0.0,
        };
        ((self.full as f64 * time_ratio * coverage_ratio).floor() as u64).min(self.full)
    }
}

#[cfg(test)]
mod tests;
