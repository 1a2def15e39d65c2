//! The reply to a query that the core has ended.

use std::sync::{Arc, Mutex};

use curlewdeck_merge::answer::Answer as MergedAnswer;
use curlewdeck_merge::cursor::{Cursor, CursorKeys};
use curlewdeck_merge::error::MergeError;
use curlewdeck_merge::merger::QueryMerger;
use curlewdeck_merge::range_cache::RangeCache;

use super::{document, SharedRangeCache, JSON};
use crate::counters::Counters;
use crate::engine::{QueryOutcome, RejectReason};
use crate::frontend::http_server::{Answer, Reply};
use crate::frontend::problem::{problem, unanswered_reply, unix_now, with_retry_after};
use crate::net::coordinator::CoreHandle;
use crate::runtime::lock;

/// Answers one query once the core has ended it.
pub(super) struct QueryResponder {
    pub(super) merger: Arc<Mutex<QueryMerger>>,
    /// The minimum coverage of an answer, as a share of 1. An answer below it is an error.
    pub(super) min_coverage: f64,
    pub(super) range_cache: SharedRangeCache,
    pub(super) cursor_keys: CursorKeys,
    pub(super) cursor_lifetime_s: u64,
    pub(super) core: CoreHandle,
    /// The size of each chunk of a long answer, in bytes.
    pub(super) chunk_bytes: usize,
}

impl QueryResponder {
    /// Sends the reply, in chunks if it is long.
    pub(super) fn respond(self, ended: Result<QueryOutcome, RejectReason>, answer: Answer) {
        if let Some(reply) = self.unanswered_reply(&ended) {
            return answer.send(reply);
        }
        let Ok(QueryOutcome::Answered { rows, .. }) = ended else {
            return answer.send(problem(500, "there is no answer"));
        };
        let values: Vec<_> = rows.into_iter().map(|row| (row.shard.0, row.data)).collect();
        match self.merge(&values) {
            Ok(merged) => self.send(&merged, answer),
            Err(error) => answer.send(self.merge_error_reply(&error)),
        }
    }

    fn send(&self, merged: &MergedAnswer, answer: Answer) {
        let mut chunks = merged.pieces(self.chunk_bytes).map(String::into_bytes);
        let first = chunks.next().unwrap_or_default();
        let rest: Vec<Vec<u8>> = chunks.collect();
        if rest.is_empty() {
            answer.send(document(JSON, first));
        } else {
            answer.stream(document(JSON, Vec::new()), Box::new(std::iter::once(first).chain(rest)));
        }
    }

    /// Merges the values of the data nodes. Adds a signed cursor if another page follows.
    fn merge(&self, values: &[(u32, Arc<str>)]) -> Result<MergedAnswer, MergeError> {
        let merger = lock(&self.merger);
        let mut cached = self.range_cache.ranges();
        let merged = merger.finish(values, self.min_coverage, &mut cached, self.core.clock.now());
        self.publish_cache_counts(&cached);
        let mut merged = merged?;
        merged.answer.header.next = merged.next.map(|ranges| {
            let expires_at = unix_now().saturating_add(self.cursor_lifetime_s);
            self.cursor_keys.sign(&Cursor { query: merger.query().digest(), expires_at, ranges })
        });
        Ok(merged.answer)
    }

    fn publish_cache_counts(&self, cached: &RangeCache) {
        let counts = cached.counts();
        let counters = &self.core.counters;
        Counters::set(&counters.range_cache_hits, counts.hits);
        Counters::set(&counters.range_cache_evictions, counts.evicted);
        Counters::set(&counters.range_cache_contradictions, counts.contradictions);
    }

    /// The reply to a query that was not answered, or `None` if it was answered. The reply to a failed query names a
    /// range with an invalid value, if there is one, and the reason.
    fn unanswered_reply(&self, ended: &Result<QueryOutcome, RejectReason>) -> Option<Reply> {
        let reply = unanswered_reply(ended, self.core.queue_full_retry_after())?;
        let merger = lock(&self.merger);
        let invalid = merger.rejected_values().next();
        match (ended, invalid) {
            (Ok(QueryOutcome::Failed), Some((range, reason))) => {
                Some(problem(504, &format!("no answer in time; tag range {range}: {reason}")))
            }
            _ => Some(reply),
        }
    }

    fn merge_error_reply(&self, error: &MergeError) -> Reply {
        match error {
            // Missing ranges may become available soon, but a row that is too large will not become smaller.
            MergeError::BelowMinimumCoverage(coverage)
                if coverage.missing.values().all(|reason| reason.code() != "row-too-large") =>
            {
                with_retry_after(problem(503, &error.to_string()), self.core.queue_full_retry_after())
            }
            MergeError::BelowMinimumCoverage(_) => problem(502, &error.to_string()),
            MergeError::Overflow | MergeError::InvalidValue(_) => problem(500, &error.to_string()),
        }
    }
}
