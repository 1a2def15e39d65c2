//! The state of one query, from its first part to its answer: a state machine without I/O.

mod answer_builder;
#[cfg(test)]
mod tests;

use std::collections::btree_map::{BTreeMap, Entry};
use std::sync::Arc;

use answer_builder::{aggregate_totals, AnswerBuilder, CachedSummaries};

use crate::answer::Answer;
use crate::coverage::{Coverage, MissingReason};
use crate::cursor::{Cursor, RangeProgress};
use crate::error::{InvalidValue, MergeError};
use crate::query::{Op, Query};
use crate::range_bounds::RangeBounds;
use crate::range_cache::{Nanos, QueryDigest, RangeCache, RangeSummary};
use crate::value::{check, Expected, Value};
use crate::Range;

/// Merges the values of one query: builds the request for each range, validates each value on arrival and computes the
/// answer from the valid ones. Does no I/O.
#[derive(Debug, Clone)]
pub struct QueryMerger {
    query: Query,
    digest: QueryDigest,
    progress: Vec<RangeProgress>,
    /// Ranges whose last value was rejected, with the error.
    rejected: BTreeMap<Range, InvalidValue>,
    /// Summaries of the ranges with valid values, for the cache.
    summaries: BTreeMap<Range, RangeSummary>,
}

/// An answer and, for a page, the progress at which the next page begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MergeResult {
    /// The answer, without a cursor.
    pub answer: Answer,
    /// Progress of each range after the page; `None` at the end of the listing and for answers without pages.
    pub next: Option<Vec<RangeProgress>>,
}

impl QueryMerger {
    /// Starts a query over `ranges` ranges.
    pub fn new(query: Query, ranges: u32) -> Self {
        let progress = (0..ranges).map(|_| RangeProgress::default()).collect();
        let digest = query.digest();
        Self { query, digest, progress, rejected: BTreeMap::new(), summaries: BTreeMap::new() }
    }

    /// Resumes a listing from a cursor of the same query.
    pub fn resume(query: Query, cursor: Cursor) -> Self {
        let digest = query.digest();
        Self { query, digest, progress: cursor.ranges, rejected: BTreeMap::new(), summaries: BTreeMap::new() }
    }

    /// The query that this merger was created for.
    pub fn query(&self) -> &Query {
        &self.query
    }

    fn progress(&self, range: Range) -> Option<&RangeProgress> {
        self.progress.get(range as usize)
    }

    /// The ranges whose last value was rejected, with the error.
    pub fn rejected_values(&self) -> impl Iterator<Item = (Range, &InvalidValue)> {
        self.rejected.iter().map(|(&range, invalid)| (range, invalid))
    }

    /// The request text for a range, beginning at the range's progress.
    pub fn request_text(&self, range: Range) -> String {
        let progress = self.progress(range).cloned().unwrap_or_default();
        self.query.text(range, &progress.position, progress.version)
    }

    /// Validates a value that was received for a range.
    ///
    /// # Errors
    /// The value is rejected; its attempt counts as one that may have been executed.
    pub fn accept_value(&mut self, range: Range, text: &str) -> Result<(), InvalidValue> {
        let Some(progress) = self.progress(range) else { return Err(InvalidValue::WrongRange(range)) };
        let expected = Expected { range, position: progress.position.clone(), at_least: progress.version };
        match check(text, &self.query, &expected) {
            Ok(checked) => {
                let header = &checked.header;
                self.rejected.remove(&range);
                if let (Op::Rank, None) = (self.query.op, &header.too_large) {
                    let known = RangeBounds::of_ranking(
                        checked.first_and_last,
                        header.remainder.as_ref(),
                        self.query.order,
                    );
                    self.summaries.entry(range).or_insert(RangeSummary::Rows(known));
                }
                Ok(())
            }
            Err(invalid) => {
                self.rejected.insert(range, invalid.clone());
                Err(invalid)
            }
        }
    }

    /// Computes the answer from the first valid value of each range. Stores the summaries of these ranges in the
    /// cache and bounds the missing ranges by their cached summaries.
    ///
    /// # Errors
    /// The coverage is below `min_coverage`, no range is included, a value cannot be parsed, or a sum overflows.
    pub fn finish(
        &self,
        values: &[(Range, Arc<str>)],
        min_coverage: f64,
        cache: &mut RangeCache,
        now: Nanos,
    ) -> Result<MergeResult, MergeError> {
        let (coverage, values) = self.read_values(values)?;
        self.update_cache(&values, cache, now);
        if !coverage.meets_minimum(min_coverage) || coverage.versions.is_empty() {
            return Err(MergeError::BelowMinimumCoverage(coverage));
        }
        let builder = AnswerBuilder { query: &self.query, progress: &self.progress, coverage: &coverage };
        match self.query.op {
            Op::List => builder.listing(&values),
            Op::Rank => builder.ranking(&values, self.cached_summaries(&coverage, cache, now)),
            _ if self.query.grouped => builder.groups(&values),
            _ => {
                let known = aggregate_totals(&values)?;
                builder.figure(&known, self.cached_summaries(&coverage, cache, now))
            }
        }
    }

    /// Parses the first value of each range; records ranges without a value as missing.
    fn read_values<'v>(
        &self,
        texts: &'v [(Range, Arc<str>)],
    ) -> Result<(Coverage, Vec<Value<'v>>), InvalidValue> {
        let mut coverage = Coverage::default();
        let mut values: Vec<Value> = Vec::with_capacity(texts.len());
        for (range, text) in texts {
            let value = Value::read(text)?;
            if let Some(row) = &value.header.too_large {
                coverage.missing.insert(*range, MissingReason::TooLarge(row.clone()));
            } else if let Entry::Vacant(version) = coverage.versions.entry(*range) {
                // Later values of a range, such as those of hedged attempts, are ignored, and so are their versions.
                version.insert(value.header.version);
                values.push(value);
            }
        }
        for range in 0..self.progress.len() as u32 {
            if !coverage.versions.contains_key(&range) && !coverage.missing.contains_key(&range) {
                let rejected = self.rejected.get(&range).cloned();
                let reason = rejected.map_or(MissingReason::NoAnswer, MissingReason::InvalidValue);
                coverage.missing.insert(range, reason);
            }
        }
        Ok((coverage, values))
    }

    fn update_cache(&self, values: &[Value<'_>], cache: &mut RangeCache, now: Nanos) {
        for value in values {
            let header = &value.header;
            let total = header.total.filter(|_| self.query.op.is_aggregate() && !self.query.grouped);
            let summary = total
                .map(|t| RangeSummary::Total(t.aggregate()))
                .or_else(|| self.summaries.get(&header.range).copied());
            match summary {
                Some(summary) => cache.insert(now, self.digest, header.range, header.version, summary),
                None => cache.observe_version(header.range, header.version),
            }
        }
    }

    /// Looks up the cached summaries of the missing ranges, in range order.
    fn cached_summaries(&self, coverage: &Coverage, cache: &mut RangeCache, now: Nanos) -> CachedSummaries {
        let cached = |&range: &Range| (range, cache.get(now, self.digest, range));
        CachedSummaries(coverage.missing.keys().map(cached).collect())
    }
}
