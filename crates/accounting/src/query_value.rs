//! The value of an answer as configured for its class: the full value within the latency objective, a fraction of it
//! after that, and for a partial answer a fraction that depends on its coverage.

use curlewdeck_core::api::Class;

/// The value of a query of one class, in integer millionths so that sums are exact.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueryValue {
    /// Value of a complete answer within the latency objective, which is the value that a query requests.
    pub full: u64,
    late_ratio: f64,
    partial_ratio: f64,
    complete_coverage: f64,
}

/// Number of millionths in a value of 1.
pub const MILLIONTHS: f64 = 1e6;

impl QueryValue {
    /// Computes the value of the queries of a class.
    pub fn of_class(class: &Class) -> Self {
        // Validation of the settings ensures that the priority weight is finite and not negative.
        let full = (class.priority_weight * MILLIONTHS).round() as u64;
        Self {
            full,
            late_ratio: class.late_value_ratio,
            partial_ratio: class.partial_value_ratio.unwrap_or(0.0),
            complete_coverage: class.complete_coverage,
        }
    }

    /// The value of an answer; `coverage` is the share of the weight of its parts that it covers. Rounded down, and at
    /// most [`full`](Self::full).
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
