//! One query from its first part to its answer: a machine without I/O. It says what each range is asked, looks at
//! each value as it comes, and makes the answer of those that are in.

use std::collections::btree_map::{BTreeMap, Entry};
use std::fmt;
use std::sync::Arc;

use crate::aggregate::{self, Aggregate, Aggregator};
use crate::answer::{figure_of, ranges, Answer, AnswerHeader, AnswerRow};
use crate::coverage::{Coverage, MissingReason};
use crate::cursor::{Cursor, RangeProgress};
use crate::page;
use crate::query::{Op, Query};
use crate::range_cache::{Nanos, RangeCache, RangeSummary};
use crate::rank::{self, RangeBounds, RankedRow, RowError};
use crate::units::{Overflow, Units};
use crate::value::{check, Expected, InvalidValue, Value};
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
                    let known = rank::bounds(checked.ends, header.remainder.as_ref(), self.query.order);
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
mod tests {
    use super::*;
    use crate::cursor::Position;
    use crate::query::Order;
    use crate::range_cache::CacheLimits;
    use serde_json::Value as Json;

    fn query(op: Op, grouped: bool) -> Query {
        let (set, measure, filter) = ("s".into(), "m".into(), BTreeMap::new());
        Query { set, op, measure, scale: 0, order: Order::Desc, grouped, limit: 3, filter }
    }

    fn cache() -> RangeCache {
        RangeCache::new(CacheLimits { max_entries: 8, max_ranges: 8, max_age_ns: 100 })
    }

    /// A value of range 0 to 9 at a version: rows, or a total.
    fn value(range: Range, version: u64, more: &str, rows: &[&str]) -> Arc<str> {
        let head = format!(
            r#"{{"v":1,"range":{range},"version":{version},"until":{version},"scale":0,"rows":{}{more}}}"#,
            rows.len()
        );
        rows.iter().fold(head, |text, row| format!("{text}\n{row}")).into()
    }

    fn total(range: Range, version: u64, sum: i64) -> Arc<str> {
        value(range, version, &format!(r#","total":{{"rows":1,"sum":{sum},"min":{sum},"max":{sum}}}"#), &[])
    }

    /// Offers all, then merges those that count.
    fn merge(
        m: &mut QueryMerger,
        values: &[(Range, Arc<str>)],
        floor: f64,
        r: &mut RangeCache,
    ) -> (Json, MergeResult) {
        let fit: Vec<_> = values.iter().filter(|v| m.accept_value(v.0, &v.1).is_ok()).cloned().collect();
        let merged = m.finish(&fit, floor, r, 0).unwrap();
        (serde_json::from_str(&merged.answer.text()).unwrap(), merged)
    }

    /// The hard case of a range that answers twice: twin and first, in both orders, and the second of a newer
    /// version. The first one counts, and it is its version that is named.
    #[test]
    fn a_range_that_answers_twice_counts_once() {
        for (first, second) in [((5, 100), (5, 100)), ((5, 100), (6, 120)), ((6, 120), (5, 100))] {
            let mut m = QueryMerger::new(query(Op::Sum, false), 2);
            let values =
                [(0, total(0, first.0, first.1)), (1, total(1, 1, 10)), (0, total(0, second.0, second.1))];
            let (json, _) = merge(&mut m, &values, 1.0, &mut cache());
            assert_eq!(json["figure"]["value"], (first.1 + 10).to_string());
            assert_eq!(json["ranges"][0]["version"], first.0);
            assert_eq!(json["whole"], true);
        }
    }

    /// The hard case of a top that may lie in the missing fifth; an earlier answer of the last version known bounds
    /// it, one of an older version does not.
    #[test]
    fn what_is_missing_is_bounded_by_what_it_said_at_its_last_version() {
        let mut r = cache();
        let rows = |range, top: i64| (range, value(range, 7, "", &[&format!("[\"k{range}\",{top}]")]));
        let all: Vec<_> = (0..5).map(|n| rows(n, 10 + i64::from(n))).collect();
        let mut m = QueryMerger::new(query(Op::Rank, false), 5);
        let (json, _) = merge(&mut m, &all[..4], 0.8, &mut r);
        assert_eq!(
            (&json["certain"], &json["whole"], &json["coverage"]),
            (&0.into(), &false.into(), &"0.800000".into())
        );
        assert_eq!(json["missing"][0]["reason"], "no-answer");
        merge(&mut QueryMerger::new(query(Op::Rank, false), 5), &all, 0.8, &mut r);
        let (json, _) = merge(&mut QueryMerger::new(query(Op::Rank, false), 5), &all[1..], 0.8, &mut r);
        assert_eq!((&json["certain"], &json["missing"][0]["boundedAtVersion"]), (&3.into(), &7.into()));
        r.observe_version(0, 8);
        let (json, _) = merge(&mut QueryMerger::new(query(Op::Rank, false), 5), &all[1..], 0.8, &mut r);
        assert_eq!((&json["certain"], json["missing"][0].get("boundedAtVersion")), (&0.into(), None));
    }

    /// Guards against calling an answer whole whose rows ended early: a value had room for less than was asked.
    #[test]
    fn a_ranking_that_ends_early_is_not_whole() {
        let mut m = QueryMerger::new(query(Op::Rank, false), 1);
        let short = (0, value(0, 1, r#","rest":{"rows":2}"#, &[r#"["a",9]"#]));
        let (json, _) = merge(&mut m, &[short], 1.0, &mut cache());
        assert_eq!(
            (&json["certain"], &json["whole"], &json["more"]),
            (&1.into(), &false.into(), &true.into())
        );
    }

    /// Guards against sending ranges back that were in while another was missing, and against skipping what the
    /// missing one owes.
    #[test]
    fn a_missing_range_stays_where_it_was_and_no_other_goes_back() {
        let mut m = QueryMerger::new(query(Op::List, false), 2);
        let (_, merged) = merge(&mut m, &[(0, value(0, 1, "", &[r#"["m",1]"#]))], 0.5, &mut cache());
        let next = merged.next.unwrap();
        assert_eq!((&next[0].position, &next[1].position), (&Position::After("m".into()), &Position::Start));
        let cursor = Cursor { query: m.query().digest(), until: 1, ranges: next };
        let mut m = QueryMerger::resume(query(Op::List, false), cursor);
        let late = value(1, 1, r#","rest":{}"#, &[r#"["a",1]"#]);
        let (json, merged) = merge(&mut m, &[(0, value(0, 1, "", &[])), (1, late)], 0.5, &mut cache());
        assert_eq!(json["rows"][0]["key"], "a");
        let next = merged.next.unwrap();
        assert_eq!(
            (&next[0].position, &next[1].position),
            (&Position::After("m".into()), &Position::After("a".into()))
        );
    }

    /// A replica that is one version behind does not serve the next page, and the answer says which range waits.
    #[test]
    fn a_replica_behind_the_cursor_is_passed_over() {
        let progress = vec![RangeProgress { position: Position::After("a".into()), version: Some(9) }; 2];
        let cursor = Cursor { query: [0; 16], until: 1, ranges: progress };
        let mut m = QueryMerger::resume(query(Op::List, false), cursor);
        assert!(m.request_text(0).contains(r#""after":"a","at_least":9"#), "{}", m.request_text(0));
        assert_eq!(m.accept_value(1, &value(1, 8, "", &[])), Err(InvalidValue::StaleVersion(8, 9)));
        let (json, merged) = merge(&mut m, &[(0, value(0, 9, "", &[]))], 0.5, &mut cache());
        assert_eq!(json["missing"][0]["reason"], "behind");
        assert_eq!(merged.next.unwrap()[1].version, Some(9));
    }

    #[test]
    fn a_late_group_adds_to_what_was_given() {
        let group = |n: i64| format!("[\"g\",1,{n},{n},{n}]");
        let mut m = QueryMerger::new(query(Op::Sum, true), 2);
        let (json, merged) = merge(&mut m, &[(0, value(0, 1, "", &[&group(5)]))], 0.5, &mut cache());
        assert_eq!((&json["rows"][0]["value"], &json["rows"][0]["exact"]), (&"5".into(), &false.into()));
        let cursor = Cursor { query: [0; 16], until: 1, ranges: merged.next.unwrap() };
        let mut m = QueryMerger::resume(query(Op::Sum, true), cursor);
        let values = [(0, value(0, 1, "", &[])), (1, value(1, 1, "", &[&group(7)]))];
        let (json, merged) = merge(&mut m, &values, 0.5, &mut cache());
        assert_eq!((&json["rows"][0]["value"], &json["rows"][0]["late"]), (&"7".into(), &true.into()));
        assert_eq!(merged.next, None);
    }

    /// A row that no value can hold is the same at every replica: the range is missing, and the answer names it.
    #[test]
    fn a_row_too_large_is_named() {
        let mut m = QueryMerger::new(query(Op::List, false), 2);
        let large = value(1, 1, r#","too_large":{"key":"K","bytes":300000}"#, &[]);
        let values = [(0, value(0, 1, "", &[])), (1, large)];
        let (json, _) = merge(&mut m, &values, 0.5, &mut cache());
        assert_eq!((&json["missing"][0]["reason"], &json["whole"]), (&"row-too-large".into(), &false.into()));
        let below = m.finish(&values, 1.0, &mut cache(), 0).unwrap_err();
        assert!(below.to_string().contains("the row 'K' is larger"), "{below}");
    }

    #[test]
    fn sums_that_do_not_fit_are_errors() {
        let huge = |range| {
            let max = i128::MAX;
            let total = format!(r#","total":{{"rows":1,"sum":"{max}","min":"{max}","max":"{max}"}}"#);
            (range, value(range, 1, &total, &[]))
        };
        let mut m = QueryMerger::new(query(Op::Sum, false), 2);
        let values = [huge(0), huge(1)];
        values.iter().for_each(|v| m.accept_value(v.0, &v.1).unwrap());
        assert_eq!(m.finish(&values, 1.0, &mut cache(), 0), Err(MergeError::Overflow));
    }
}
