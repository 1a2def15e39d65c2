//! The totals of one class of queries.

use curlewdeck_core::api::{Class, Nanos};
use hdrhistogram::Histogram;

use crate::query_end::QueryEnd;
use crate::query_value::QueryValue;
use crate::saved::SavedClass;

/// The quantiles of the latency of answers in a [`ClassRow`], in thousandths.
pub const LATENCY_QUANTILES: [u32; 5] = [500, 900, 950, 990, 1000];

/// A longer latency is counted as this one.
const MAX_LATENCY_MS: u64 = 3_600_000;
/// Two digits take about 10 KB a class.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 2;
const NANOS_PER_MS: Nanos = 1_000_000;

/// The totals of one class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRow {
    /// The class's name.
    pub name: String,
    /// Queries accepted.
    pub accepted: u64,
    /// Queries rejected because the queue was full; they are not among those accepted.
    pub queue_full: u64,
    /// Queries that have ended, in the order of [`QueryEnd::ALL`].
    pub ended: [u64; QueryEnd::ALL.len()],
    /// Value requested by all that were accepted, in millionths.
    pub value_requested: u64,
    /// Value served, in millionths.
    pub value_served: u64,
    /// The [quantiles](LATENCY_QUANTILES) of the latency of answers, in milliseconds; none where there is no answer.
    pub latency_ms: Option<[u64; LATENCY_QUANTILES.len()]>,
    /// The sum of the latencies of answers, in milliseconds.
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

    /// Queries that are open.
    pub fn open(&self) -> u64 {
        self.accepted - self.ended.iter().sum::<u64>()
    }

    /// Queries that ended in this way.
    pub fn ended_with(&self, end: QueryEnd) -> u64 {
        Self::nth(&self.ended, end)
    }

    /// One of several counts that are in the order of [`QueryEnd::ALL`].
    pub fn nth(ended: &[u64; QueryEnd::ALL.len()], end: QueryEnd) -> u64 {
        QueryEnd::ALL.iter().zip(ended).find(|(e, _)| **e == end).map_or(0, |(_, n)| *n)
    }
}

/// Counts the queries of one class.
pub(crate) struct ClassTotals {
    class: Class,
    row: ClassRow,
    value: QueryValue,
    latency_ms: Histogram<u64>,
    /// Of `row.queue_full`: what an earlier process had counted.
    restored_queue_full: u64,
}

impl ClassTotals {
    pub(crate) fn new(class: &Class, name: &str) -> Self {
        Self {
            class: class.clone(),
            row: ClassRow::new(name),
            value: QueryValue::of_class(class),
            // The bounds are constants that a histogram can have.
            latency_ms: Histogram::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_SIGNIFICANT_DIGITS)
                .expect("bounds of a histogram"),
            restored_queue_full: 0,
        }
    }

    /// The totals, without the quantiles of the latency.
    pub(crate) fn row(&self) -> &ClassRow {
        &self.row
    }

    /// The totals.
    pub(crate) fn snapshot(&self) -> ClassRow {
        let quantile = |q: u32| self.latency_ms.value_at_quantile(f64::from(q) / 1000.0);
        let latency_ms = (!self.latency_ms.is_empty()).then(|| LATENCY_QUANTILES.map(quantile));
        ClassRow { latency_ms, ..self.row.clone() }
    }

    /// Counts a query that is accepted.
    pub(crate) fn record_accepted(&mut self) {
        self.row.accepted += 1;
        self.row.value_requested = self.row.value_requested.saturating_add(self.value.full);
    }

    /// Sets how many queries this process has rejected because the queue was full.
    pub(crate) fn set_queue_full(&mut self, count: u64) {
        self.row.queue_full = self.row.queue_full.max(self.restored_queue_full.saturating_add(count));
    }

    /// Counts an answer: its latency, whether it is complete, and otherwise which share of the weight it covers.
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

    /// Counts the end of a query.
    pub(crate) fn record_end(&mut self, end: QueryEnd) {
        let index = QueryEnd::ALL.iter().position(|e| *e == end).unwrap_or(0);
        self.row.ended[index] += 1;
    }

    /// What outlives the process: the queries that have ended.
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

    /// Continues from what an earlier process saved.
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
