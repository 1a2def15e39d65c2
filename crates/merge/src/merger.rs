//! One query from its first part to its answer: a machine without I/O. It says what each range is asked, looks at
//! each value as it comes, and makes the answer of those that are in.

use std::collections::btree_map::{BTreeMap, Entry};
use std::fmt;
use std::sync::Arc;

use crate::aggregate::{self, Aggregate};
use crate::aggregator::Aggregator;
use crate::answer::{figure_of, ranges, Answer, AnswerHeader, AnswerRow};
use crate::coverage::{Coverage, MissingReason};
use crate::cursor::{Cursor, RangeProgress};
use crate::error::{InvalidValue, RowError};
use crate::page;
use crate::query::{Op, Query};
use crate::range_bounds::RangeBounds;
use crate::range_cache::{Nanos, RangeCache, RangeSummary};
use crate::rank::{self, RankedRow};
use crate::units::{Overflow, Units};
use crate::value::{check, Expected, Value};
use crate::Range;

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeError {
    /// Less is in than the class's least share: what is, and what is not.
    BelowMinimumCoverage(Coverage),
    /// A figure does not fit 128 bits.
    Overflow,
    /// A value that was checked cannot be read any more.
    InvalidValue(InvalidValue),
}

impl fmt::Display for MergeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BelowMinimumCoverage(coverage) => {
                write!(f, "only {} of the data is in", coverage.decimal())?;
                match coverage.missing.iter().next() {
                    Some((range, reason)) => write!(f, "; range {range}: {reason}"),
                    None => Ok(()),
                }
            }
            Self::Overflow => Overflow.fmt(f),
            Self::InvalidValue(invalid) => invalid.fmt(f),
        }
    }
}

impl std::error::Error for MergeError {}

impl From<Overflow> for MergeError {
    fn from(_: Overflow) -> Self {
        Self::Overflow
    }
}

impl From<InvalidValue> for MergeError {
    fn from(invalid: InvalidValue) -> Self {
        Self::InvalidValue(invalid)
    }
}

impl From<RowError> for MergeError {
    fn from(fault: RowError) -> Self {
        match fault {
            RowError::InvalidValue(invalid) => Self::InvalidValue(invalid),
            RowError::Overflow => Self::Overflow,
        }
    }
}

/// One query on its way.
#[derive(Debug, Clone)]
pub struct QueryMerger {
    query: Query,
    shape: [u8; 16],
    progress: Vec<RangeProgress>,
    /// Why a range's last value did not count.
    rejected: BTreeMap<Range, InvalidValue>,
    /// What the values that count tell of their ranges.
    facts: BTreeMap<Range, RangeSummary>,
}

/// An answer and, of a page, where the next one begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MergeResult {
    /// The answer, without a cursor.
    pub answer: Answer,
    /// Where the listing goes on; none at its end.
    pub next: Option<Vec<RangeProgress>>,
}

impl QueryMerger {
    /// A query from its start, over so many ranges.
    pub fn new(query: Query, ranges: u32) -> Self {
        let progress = (0..ranges).map(|_| RangeProgress::default()).collect();
        let shape = query.digest();
        Self { query, shape, progress, rejected: BTreeMap::new(), facts: BTreeMap::new() }
    }

    /// A listing from where a cursor of this query stands.
    pub fn resume(query: Query, cursor: Cursor) -> Self {
        let shape = query.digest();
        Self { query, shape, progress: cursor.ranges, rejected: BTreeMap::new(), facts: BTreeMap::new() }
    }

    /// The query.
    pub fn query(&self) -> &Query {
        &self.query
    }

    fn progress(&self, range: Range) -> Option<&RangeProgress> {
        self.progress.get(range as usize)
    }

    /// The ranges whose last value did not count, and why.
    pub fn rejected(&self) -> impl Iterator<Item = (Range, &InvalidValue)> {
        self.rejected.iter().map(|(&range, invalid)| (range, invalid))
    }

    /// What a range is asked.
    pub fn request_text(&self, range: Range) -> String {
        let progress = self.progress(range).cloned().unwrap_or_default();
        self.query.text(range, &progress.position, progress.version)
    }

    /// Looks at a value as it comes for a range.
    ///
    /// # Errors
    /// It does not count, and its attempt is as one that may have run.
    pub fn accept_value(&mut self, range: Range, text: &str) -> Result<(), InvalidValue> {
        let Some(progress) = self.progress(range) else { return Err(InvalidValue::WrongRange(range)) };
        let expected = Expected { range, position: progress.position.clone(), at_least: progress.version };
        match check(text, &self.query, &expected) {
            Ok(checked) => {
                let header = &checked.header;
                self.rejected.remove(&range);
                if let (Op::Rank, None) = (self.query.op, &header.too_large) {
                    let known =
                        RangeBounds::of_ranking(checked.ends, header.remainder.as_ref(), self.query.order);
                    self.facts.entry(range).or_insert(RangeSummary::Rows(known));
                }
                Ok(())
            }
            Err(invalid) => {
                self.rejected.insert(range, invalid.clone());
                Err(invalid)
            }
        }
    }

    /// Makes the answer of the values that counted, each range's first one; `floor` is the class's least share of
    /// the ranges. What they tell is remembered, and what is missing is bounded by what was.
    ///
    /// # Errors
    /// Less than the floor is in, or figures do not fit.
    pub fn finish(
        &self,
        values: &[(Range, Arc<str>)],
        floor: f64,
        cache: &mut RangeCache,
        now: Nanos,
    ) -> Result<MergeResult, MergeError> {
        let mut coverage = Coverage::default();
        let mut there: Vec<Value> = Vec::with_capacity(values.len());
        for (range, text) in values {
            let value = Value::read(text)?;
            if let Some(row) = &value.header.too_large {
                coverage.missing.insert(*range, MissingReason::TooLarge(row.clone()));
            } else if let Entry::Vacant(slot) = coverage.versions.entry(*range) {
                // A twin that came later adds nothing, and does not change the version that is named.
                slot.insert(value.header.version);
                there.push(value);
            }
        }
        for range in 0..self.progress.len() as u32 {
            if !coverage.versions.contains_key(&range) && !coverage.missing.contains_key(&range) {
                let invalid = self.rejected.get(&range).cloned();
                coverage
                    .missing
                    .insert(range, invalid.map_or(MissingReason::NoAnswer, MissingReason::InvalidValue));
            }
        }
        self.update_cache(&there, cache, now);
        if !coverage.meets_minimum(floor) || coverage.versions.is_empty() {
            return Err(MergeError::BelowMinimumCoverage(coverage));
        }
        match self.query.op {
            Op::List => self.page(&coverage, page::list(&there, self.query.limit)?, listed),
            Op::Rank => self.ranking(&coverage, &there, cache, now),
            _ if self.query.grouped => {
                // A group that other ranges have given already: ranges that were missing then add to it.
                let late = |key: &str| self.progress.iter().any(|r| !r.position.admits(key));
                self.page(
                    &coverage,
                    page::groups(&there, self.query.limit)?,
                    |query, row: &page::GroupRow| {
                        let late = late(&row.key);
                        let figure = figure_of(query, &row.aggregate, None, coverage.is_complete() && !late);
                        let (rows, sum) = (Some(figure.rows), Some(figure.sum));
                        AnswerRow { rows, sum, late, exact: figure.exact, ..plain(&row.key, figure.value) }
                    },
                )
            }
            _ => self.figure(&coverage, &there, cache, now),
        }
    }

    fn update_cache(&self, values: &[Value<'_>], cache: &mut RangeCache, now: Nanos) {
        for value in values {
            let header = &value.header;
            let total = header.total.filter(|_| self.query.op.is_aggregate() && !self.query.grouped);
            let fact = total
                .map(|t| RangeSummary::Total(t.aggregate()))
                .or_else(|| self.facts.get(&header.range).copied());
            match fact {
                Some(fact) => cache.insert(now, self.shape, header.range, header.version, fact),
                None => cache.observe_version(header.range, header.version),
            }
        }
    }

    fn head(&self, coverage: &Coverage, bounded: &BTreeMap<Range, u64>) -> AnswerHeader {
        let (there, missing) = ranges(coverage, |range| bounded.get(&range).copied());
        AnswerHeader {
            set: self.query.set.clone(),
            op: self.query.op,
            measure: self.query.measure.clone(),
            whole: coverage.is_complete(),
            coverage: coverage.decimal(),
            ranges: there,
            missing,
            certain: None,
            figure: None,
            more: None,
            next: None,
        }
    }

    /// What is remembered of the ranges that are missing, in their order, and at which versions.
    fn remembered(
        &self,
        coverage: &Coverage,
        cache: &mut RangeCache,
        now: Nanos,
    ) -> (BTreeMap<Range, u64>, Vec<Option<RangeSummary>>) {
        let mut versions = BTreeMap::new();
        let mut known = |&range: &Range| {
            let (version, fact) = cache.get(now, self.shape, range)?;
            versions.insert(range, version);
            Some(fact)
        };
        // A query's shape has facts of one kind: figures, or rows.
        let facts = coverage.missing.keys().map(&mut known).collect();
        (versions, facts)
    }

    fn figure(
        &self,
        coverage: &Coverage,
        values: &[Value<'_>],
        cache: &mut RangeCache,
        now: Nanos,
    ) -> Result<MergeResult, MergeError> {
        let mut aggregator = Aggregator::default();
        for value in values {
            aggregator.add(&value.header)?;
        }
        let known = aggregator.total()?;
        let (bounded, facts) = self.remembered(coverage, cache, now);
        let aggregate = |fact| match fact {
            Some(RangeSummary::Total(aggregate)) => Some(aggregate),
            _ => None::<Aggregate>,
        };
        let folds: Vec<Option<Aggregate>> = facts.into_iter().map(aggregate).collect();
        let within = aggregate::interval(&known, &folds)?;
        let figure = Some(figure_of(&self.query, &known, within.as_ref(), coverage.is_complete()));
        let head = AnswerHeader { figure, ..self.head(coverage, &bounded) };
        Ok(MergeResult { answer: Answer { head, rows: Vec::new() }, next: None })
    }

    fn ranking(
        &self,
        coverage: &Coverage,
        values: &[Value<'_>],
        cache: &mut RangeCache,
        now: Nanos,
    ) -> Result<MergeResult, MergeError> {
        let (bounded, facts) = self.remembered(coverage, cache, now);
        let rows = |fact| match fact {
            Some(RangeSummary::Rows(rows)) => rows,
            _ => RangeBounds::Unknown,
        };
        let known: Vec<RangeBounds> = facts.into_iter().map(rows).collect();
        let query = &self.query;
        let ranking = match query.grouped {
            true => rank::merge_groups(values, &known, query.order, query.limit)?,
            false => rank::merge(values, &known, query.order, query.limit)?,
        };
        let head = self.head(coverage, &bounded);
        let exact = ranking.rows.iter().all(RankedRow::is_exact);
        // A value may have had room for fewer rows than it was asked for.
        let full = ranking.rows.len() == query.limit;
        let head = AnswerHeader {
            whole: head.whole && exact && ranking.certain == ranking.rows.len() && (full || !ranking.more),
            certain: Some(ranking.certain),
            more: Some(ranking.more),
            ..head
        };
        let scale = query.scale;
        let rows = ranking.rows.iter().map(|row| {
            let bound = |b: Option<Units>| (!row.is_exact()).then(|| b.map(|u| u.decimal(scale)));
            write(&AnswerRow {
                range: row.range,
                low: bound(row.low),
                high: bound(row.high),
                exact: row.is_exact(),
                body: row.body,
                ..plain(&row.key, Some(row.measure.decimal(scale)))
            })
        });
        Ok(MergeResult { answer: Answer { head, rows: rows.collect() }, next: None })
    }

    fn page<R>(
        &self,
        coverage: &Coverage,
        page: page::Page<R>,
        row: impl for<'r> Fn(&Query, &'r R) -> AnswerRow<'r>,
    ) -> Result<MergeResult, MergeError> {
        // What a missing range owes comes on a later page: it stays where it was.
        let more = page.more || !coverage.missing.is_empty();
        let next = |(range, progress): (usize, &RangeProgress)| {
            let range = range as u32;
            let seen = coverage.versions.get(&range).copied();
            let position = match &page.last {
                Some(last) if seen.is_some() => progress.position.furthest(&page::next_position(last, range)),
                _ => progress.position.clone(),
            };
            RangeProgress { position, version: progress.version.max(seen) }
        };
        let next = more.then(|| self.progress.iter().enumerate().map(next).collect());
        let head = AnswerHeader { more: Some(more), ..self.head(coverage, &BTreeMap::new()) };
        let rows = page.rows.iter().map(|r| write(&row(&self.query, r))).collect();
        Ok(MergeResult { answer: Answer { head, rows }, next })
    }
}

fn plain(key: &str, value: Option<String>) -> AnswerRow<'_> {
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

fn listed<'r>(query: &Query, row: &'r page::ListedRow<'_>) -> AnswerRow<'r> {
    let value = Some(row.measure.decimal(query.scale));
    AnswerRow { range: Some(row.range), body: row.body, ..plain(&row.key, value) }
}

/// A struct of text, numbers and JSON that was read is always written.
fn write(row: &AnswerRow<'_>) -> String {
    serde_json::to_string(row).unwrap_or_else(|_| "null".into())
}

#[cfg(test)]
mod tests;
