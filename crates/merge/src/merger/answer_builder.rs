//! Builds the answer of a query from the valid values.

use std::collections::BTreeMap;

use crate::aggregate::{self, Aggregate};
use crate::aggregator::Aggregator;
use crate::answer::{figure_of, ranges, Answer, AnswerHeader, AnswerRow};
use crate::coverage::Coverage;
use crate::cursor::RangeProgress;
use crate::error::MergeError;
use crate::merger::MergeResult;
use crate::page;
use crate::query::Query;
use crate::range_bounds::RangeBounds;
use crate::range_cache::RangeSummary;
use crate::rank::{self, RankedRow, Ranking};
use crate::units::Units;
use crate::value::Value;
use crate::{Range, Version};

/// The cached version and summary of each missing range, in range order; `None` if the cache holds none.
pub(super) struct CachedSummaries(pub(super) Vec<(Range, Option<(Version, RangeSummary)>)>);

impl CachedSummaries {
    /// Versions of the cached summaries that bound missing ranges.
    fn versions(&self) -> BTreeMap<Range, Version> {
        let version = |&(range, cached): &(Range, Option<(Version, RangeSummary)>)| Some((range, cached?.0));
        self.0.iter().filter_map(version).collect()
    }

    fn totals(&self) -> Vec<Option<Aggregate>> {
        let total = |&(_, cached): &(Range, Option<(Version, RangeSummary)>)| match cached {
            Some((_, RangeSummary::Total(aggregate))) => Some(aggregate),
            _ => None,
        };
        self.0.iter().map(total).collect()
    }

    fn row_bounds(&self) -> Vec<RangeBounds> {
        let bounds = |&(_, cached): &(Range, Option<(Version, RangeSummary)>)| match cached {
            Some((_, RangeSummary::Rows(bounds))) => bounds,
            _ => RangeBounds::Unknown,
        };
        self.0.iter().map(bounds).collect()
    }
}

/// Merges the totals of all values.
pub(super) fn aggregate_totals(values: &[Value<'_>]) -> Result<Aggregate, MergeError> {
    let mut aggregator = Aggregator::default();
    for value in values {
        aggregator.add(&value.header)?;
    }
    Ok(aggregator.total()?)
}

/// Builds answers from the query, the progress before this page and the coverage.
pub(super) struct AnswerBuilder<'m> {
    pub(super) query: &'m Query,
    pub(super) progress: &'m [RangeProgress],
    pub(super) coverage: &'m Coverage,
}

impl AnswerBuilder<'_> {
    /// Builds the answer of an ungrouped aggregate operation; `known` is the aggregate over the included ranges.
    pub(super) fn figure(
        &self,
        known: &Aggregate,
        cached: CachedSummaries,
    ) -> Result<MergeResult, MergeError> {
        let within = aggregate::interval(known, &cached.totals())?;
        let figure = Some(figure_of(self.query, known, within.as_ref(), self.coverage.is_complete()));
        let header = AnswerHeader { figure, ..self.header(&cached.versions()) };
        Ok(MergeResult { answer: Answer { header, rows: Vec::new() }, next: None })
    }

    /// Builds a ranking of rows or groups by the measure.
    pub(super) fn ranking(
        &self,
        values: &[Value<'_>],
        cached: CachedSummaries,
    ) -> Result<MergeResult, MergeError> {
        let query = self.query;
        let missing = cached.row_bounds();
        let ranking = match query.grouped {
            true => rank::merge_groups(values, &missing, query.order, query.limit)?,
            false => rank::merge(values, &missing, query.order, query.limit)?,
        };
        let header = self.ranking_header(&ranking, self.header(&cached.versions()));
        let rows = ranking.rows.iter().map(|row| to_json(&ranked_row(query, row))).collect();
        Ok(MergeResult { answer: Answer { header, rows }, next: None })
    }

    fn ranking_header(&self, ranking: &Ranking<'_>, header: AnswerHeader) -> AnswerHeader {
        let exact = ranking.rows.iter().all(RankedRow::is_exact);
        let all_certain = ranking.certain == ranking.rows.len();
        // Size limits may cut a value to fewer rows than requested, so the ranking can be short.
        let all_rows = ranking.rows.len() == self.query.limit || !ranking.more;
        AnswerHeader {
            whole: header.whole && exact && all_certain && all_rows,
            certain: Some(ranking.certain),
            more: Some(ranking.more),
            ..header
        }
    }

    /// Builds a page of rows in key order.
    pub(super) fn listing(&self, values: &[Value<'_>]) -> Result<MergeResult, MergeError> {
        self.page(page::list(values, self.query.limit)?, listed_row)
    }

    /// Builds a page of groups in key order.
    pub(super) fn groups(&self, values: &[Value<'_>]) -> Result<MergeResult, MergeError> {
        let page = page::groups(values, self.query.limit)?;
        self.page(page, |query, group: &page::GroupRow| {
            // A range has passed this key on an earlier page: this row adds only ranges that were missing then.
            let late = self.progress.iter().any(|range| !range.position.includes(&group.key));
            let exact = self.coverage.is_complete() && !late;
            let figure = figure_of(query, &group.aggregate, None, exact);
            let (rows, sum) = (Some(figure.rows), Some(figure.sum));
            AnswerRow { rows, sum, late, exact: figure.exact, ..exact_row(&group.key, figure.value) }
        })
    }

    fn page<R>(
        &self,
        page: page::Page<R>,
        row: impl for<'r> Fn(&Query, &'r R) -> AnswerRow<'r>,
    ) -> Result<MergeResult, MergeError> {
        // A missing range keeps its position, and its rows are returned on a later page.
        let more = page.more || !self.coverage.missing.is_empty();
        let next = more.then(|| self.next_progress(page.last.as_ref()));
        let header = AnswerHeader { more: Some(more), ..self.header(&BTreeMap::new()) };
        let rows = page.rows.iter().map(|r| to_json(&row(self.query, r))).collect();
        Ok(MergeResult { answer: Answer { header, rows }, next })
    }

    /// The progress of each range after a page that ends at `last`.
    fn next_progress(&self, last: Option<&page::LastRow>) -> Vec<RangeProgress> {
        let next = |(range, progress): (Range, &RangeProgress)| {
            let seen = self.coverage.versions.get(&range).copied();
            let position = match last {
                Some(last) if seen.is_some() => progress.position.later_of(&page::next_position(last, range)),
                _ => progress.position.clone(),
            };
            RangeProgress { position, version: progress.version.max(seen) }
        };
        (0..).zip(self.progress).map(next).collect()
    }

    fn header(&self, bounded: &BTreeMap<Range, Version>) -> AnswerHeader {
        let (included, missing) = ranges(self.coverage, |range| bounded.get(&range).copied());
        AnswerHeader {
            set: self.query.set.clone(),
            op: self.query.op,
            measure: self.query.measure.clone(),
            whole: self.coverage.is_complete(),
            coverage: self.coverage.decimal(),
            ranges: included,
            missing,
            certain: None,
            figure: None,
            more: None,
            next: None,
        }
    }
}

fn ranked_row<'r>(query: &Query, row: &'r RankedRow<'_>) -> AnswerRow<'r> {
    let decimal = |units: Units| units.decimal(query.scale);
    let bound = |bound: Option<Units>| (!row.is_exact()).then(|| bound.map(decimal));
    AnswerRow {
        range: row.range,
        low: bound(row.low),
        high: bound(row.high),
        exact: row.is_exact(),
        body: row.body,
        ..exact_row(&row.key, Some(decimal(row.measure)))
    }
}

/// Creates a row with an exact value and no optional fields.
fn exact_row(key: &str, value: Option<String>) -> AnswerRow<'_> {
    AnswerRow {
        key,
        value,
        range: None,
        rows: None,
        sum: None,
        late: false,
        low: None,
        high: None,
        exact: true,
        body: None,
    }
}

fn listed_row<'r>(query: &Query, row: &'r page::ListedRow<'_>) -> AnswerRow<'r> {
    let value = Some(row.measure.decimal(query.scale));
    AnswerRow { range: Some(row.range), body: row.body, ..exact_row(&row.key, value) }
}

/// Serializes a row; this cannot fail for text, numbers and parsed JSON.
fn to_json(row: &AnswerRow<'_>) -> String {
    serde_json::to_string(row).unwrap_or_else(|_| "null".into())
}
