//! Totals of the queries of one class.

use curlewdeck_core::api::{Class, Nanos};
use hdrhistogram::Histogram;

use crate::query_end::QueryEnd;
use crate::query_value::QueryValue;
use crate::saved::SavedClass;

/// Latency quantiles reported in a [`ClassRow`], in thousandths.
pub const LATENCY_QUANTILES: [u32; 5] = [500, 900, 950, 990, 1000];

/// Longer latencies are recorded as this one.
const MAX_LATENCY_MS: u64 = 3_600_000;
/// Precision of the latency histogram; two digits take about 10 KB per class.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 2;
const NANOS_PER_MS: Nanos = 1_000_000;

/// Totals of one class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRow {
    /// Name of the class in the settings.
    pub name: String,
    /// Queries accepted, including those still open.
    pub accepted: u64,
    /// Queries rejected because the queue was full; not counted as accepted.
    pub queue_full: u64,
    /// Queries that have ended, by end in the order of [`QueryEnd::ALL`].
    pub ended: [u64; QueryEnd::ALL.len()],
    /// Value requested by all accepted queries, in millionths.
    pub value_requested: u64,
    /// Value served by answers, in millionths.
    pub value_served: u64,
    /// [Quantiles](LATENCY_QUANTILES) of the latency of answers, in milliseconds; `None` before the first answer.
    pub latency_ms: Option<[u64; LATENCY_QUANTILES.len()]>,
    /// Sum of the latencies of answers, in milliseconds.
    pub latency_sum_ms: u64,
}

impl ClassRow {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            accepted: 0,
            queue_full: 0,
            ended: [0; QueryEnd::ALL.len()],
            value_requested: 0,
            value_served: 0,
            latency_ms: None,
            latency_sum_ms: 0,
        }
    }

    /// Number of queries accepted but not ended.
    pub fn open(&self) -> u64 {
        self.accepted - self.ended.iter().sum::<u64>()
    }

    /// Number of queries that ended in this way.
    pub fn ended_with(&self, end: QueryEnd) -> u64 {
        Self::count_of(&self.ended, end)
    }

    /// Looks up the count of one end in counts that are in the order of [`QueryEnd::ALL`].
    pub fn count_of(ended: &[u64; QueryEnd::ALL.len()], end: QueryEnd) -> u64 {
        QueryEnd::ALL.iter().zip(ended).find(|(e, _)| **e == end).map_or(0, |(_, n)| *n)
    }
}

/// Counts the queries of one class.
pub(crate) struct ClassTotals {
    class: Class,
    row: ClassRow,
    value: QueryValue,
    latency_ms: Histogram<u64>,
    /// The share of `row.queue_full` that was restored from an earlier process.
    restored_queue_full: u64,
}

impl ClassTotals {
    pub(crate) fn new(class: &Class, name: &str) -> Self {
        Self {
            class: class.clone(),
            row: ClassRow::new(name),
            value: QueryValue::of_class(class),
            // The bounds are constants within the limits of a histogram.
            latency_ms: Histogram::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_SIGNIFICANT_DIGITS)
                .expect("valid histogram bounds"),
            restored_queue_full: 0,
        }
    }

    /// The totals without latency quantiles.
    pub(crate) fn row(&self) -> &ClassRow {
        &self.row
    }

    /// The totals with latency quantiles.
    pub(crate) fn snapshot(&self) -> ClassRow {
        let quantile = |q: u32| self.latency_ms.value_at_quantile(f64::from(q) / 1000.0);
        let latency_ms = (!self.latency_ms.is_empty()).then(|| LATENCY_QUANTILES.map(quantile));
        ClassRow { latency_ms, ..self.row.clone() }
    }

    /// Counts an accepted query and the value that it requests.
    pub(crate) fn record_accepted(&mut self) {
        self.row.accepted += 1;
        self.row.value_requested = self.row.value_requested.saturating_add(self.value.full);
    }

    /// Sets the number of queries that this process rejected because the queue was full. The total never decreases.
    pub(crate) fn set_queue_full(&mut self, count: u64) {
        self.row.queue_full = self.row.queue_full.max(self.restored_queue_full.saturating_add(count));
    }

    /// Counts an answer by its latency, its completeness and the share of the weight that it covers.
    pub(crate) fn record_answer(&mut self, latency: Nanos, complete: bool, coverage: f64) -> QueryEnd {
        let in_time = latency <= self.class.latency_objective;
        let end = match (complete, in_time) {
            (true, true) => QueryEnd::CompleteInTime,
            (true, false) => QueryEnd::CompleteLate,
            (false, _) => QueryEnd::Partial,
        };
        let value = self.value.served(complete, in_time, coverage);
        self.row.value_served = self.row.value_served.saturating_add(value);
        let latency_ms = (latency / NANOS_PER_MS).clamp(1, MAX_LATENCY_MS);
        self.latency_ms.saturating_record(latency_ms);
        self.row.latency_sum_ms = self.row.latency_sum_ms.saturating_add(latency_ms);
        self.record_end(end);
        end
    }

    /// Counts the end of a query without a value.
    pub(crate) fn record_end(&mut self, end: QueryEnd) {
        let index = QueryEnd::ALL.iter().position(|e| *e == end).unwrap_or(0);
        self.row.ended[index] += 1;
    }

    /// The totals to store; queries that are still open are left out.
    pub(crate) fn save(&self) -> SavedClass {
        let value_of_open = self.value.full.saturating_mul(self.row.open());
        SavedClass {
            name: self.row.name.clone(),
            queue_full: self.row.queue_full,
            ended: self.row.ended,
            value_requested: self.row.value_requested.saturating_sub(value_of_open),
            value_served: self.row.value_served,
            latency_sum_ms: self.row.latency_sum_ms,
        }
    }

    /// Continues from the totals stored by an earlier process.
    pub(crate) fn restore(&mut self, saved: &SavedClass) {
        let row = &mut self.row;
        row.ended = saved.ended;
        row.accepted = saved.ended.iter().fold(0, |sum, n| sum.saturating_add(*n));
        row.queue_full = saved.queue_full;
        row.latency_sum_ms = saved.latency_sum_ms;
        row.value_requested = saved.value_requested;
        row.value_served = saved.value_served.min(saved.value_requested);
        self.restored_queue_full = saved.queue_full;
    }
}
