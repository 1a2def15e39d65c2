//! One query from its first part to its answer: a machine without I/O. It says what each range is asked, looks at
//! each value as it comes, and makes the answer of those that are in.

use std::collections::btree_map::{BTreeMap, Entry};
use std::fmt;
use std::sync::Arc;

use crate::answer::{figure_of, ranges, Answer, Head, RowOut};
use crate::cover::{Cover, Reason};
use crate::cursor::{Cursor, Reached};
use crate::fold::{self, Fold, Folding};
use crate::page;
use crate::query::{Op, Query};
use crate::rank::{self, Known, Placed};
use crate::recall::{Fact, Nanos, Recall};
use crate::units::{Overflow, Units};
use crate::value::{check, Expected, Unfit, Value};
use crate::Range;

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Less is in than the class's least share: what is, and what is not.
    Below(Cover),
    /// A figure does not fit 128 bits.
    Overflow,
    /// A value that was checked cannot be read any more.
    Unfit(Unfit),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Below(cover) => {
                write!(f, "only {} of the data is in", cover.decimal())?;
                match cover.missing.iter().next() {
                    Some((range, reason)) => write!(f, "; range {range}: {reason}"),
                    None => Ok(()),
                }
            }
            Self::Overflow => Overflow.fmt(f),
            Self::Unfit(unfit) => unfit.fmt(f),
        }
    }
}

impl std::error::Error for Fault {}

impl From<Overflow> for Fault {
    fn from(_: Overflow) -> Self {
        Self::Overflow
    }
}

impl From<Unfit> for Fault {
    fn from(unfit: Unfit) -> Self {
        Self::Unfit(unfit)
    }
}

impl From<rank::Fault> for Fault {
    fn from(fault: rank::Fault) -> Self {
        match fault {
            rank::Fault::Unfit(unfit) => Self::Unfit(unfit),
            rank::Fault::Overflow => Self::Overflow,
        }
    }
}

/// One query on its way.
#[derive(Debug, Clone)]
pub struct Merging {
    query: Query,
    shape: [u8; 16],
    reached: Vec<Reached>,
    /// Why a range's last value did not count.
    refused: BTreeMap<Range, Unfit>,
    /// What the values that count tell of their ranges.
    facts: BTreeMap<Range, Fact>,
}

/// An answer and, of a page, where the next one begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Merged {
    /// The answer, without a cursor.
    pub answer: Answer,
    /// Where the listing goes on; none at its end.
    pub next: Option<Vec<Reached>>,
}

impl Merging {
    /// A query from its start, over so many ranges.
    pub fn new(query: Query, ranges: u32) -> Self {
        let reached = (0..ranges).map(|_| Reached::default()).collect();
        let shape = query.digest();
        Self { query, shape, reached, refused: BTreeMap::new(), facts: BTreeMap::new() }
    }

    /// A listing from where a cursor of this query stands.
    pub fn resume(query: Query, cursor: Cursor) -> Self {
        let shape = query.digest();
        Self { query, shape, reached: cursor.ranges, refused: BTreeMap::new(), facts: BTreeMap::new() }
    }

    /// The query.
    pub fn query(&self) -> &Query {
        &self.query
    }

    fn reached(&self, range: Range) -> Option<&Reached> {
        self.reached.get(range as usize)
    }

    /// The ranges whose last value did not count, and why.
    pub fn refused(&self) -> impl Iterator<Item = (Range, &Unfit)> {
        self.refused.iter().map(|(&range, unfit)| (range, unfit))
    }

    /// What a range is asked.
    pub fn text(&self, range: Range) -> String {
        let reached = self.reached(range).cloned().unwrap_or_default();
        self.query.text(range, &reached.place, reached.version)
    }

    /// Looks at a value as it comes for a range.
    ///
    /// # Errors
    /// It does not count, and its attempt is as one that may have run.
    pub fn offer(&mut self, range: Range, text: &str) -> Result<(), Unfit> {
        let Some(reached) = self.reached(range) else { return Err(Unfit::OtherRange(range)) };
        let expected = Expected { range, place: reached.place.clone(), at_least: reached.version };
        match check(text, &self.query, &expected) {
            Ok(checked) => {
                let header = &checked.header;
                self.refused.remove(&range);
                if let (Op::Rank, None) = (self.query.op, &header.too_large) {
                    let known = rank::bounds(checked.ends, header.rest.as_ref(), self.query.order);
                    self.facts.entry(range).or_insert(Fact::Rows(known));
                }
                Ok(())
            }
            Err(unfit) => {
                self.refused.insert(range, unfit.clone());
                Err(unfit)
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
        recall: &mut Recall,
        now: Nanos,
    ) -> Result<Merged, Fault> {
        let mut cover = Cover::default();
        let mut there: Vec<Value> = Vec::with_capacity(values.len());
        for (range, text) in values {
            let value = Value::read(text)?;
            if let Some(row) = &value.header.too_large {
                cover.missing.insert(*range, Reason::TooLarge(row.clone()));
            } else if let Entry::Vacant(slot) = cover.versions.entry(*range) {
                // A twin that came later adds nothing, and does not change the version that is named.
                slot.insert(value.header.version);
                there.push(value);
            }
        }
        for range in 0..self.reached.len() as u32 {
            if !cover.versions.contains_key(&range) && !cover.missing.contains_key(&range) {
                let unfit = self.refused.get(&range).cloned();
                cover.missing.insert(range, unfit.map_or(Reason::NoAnswer, Reason::Unfit));
            }
        }
        self.learn(&there, recall, now);
        if !cover.reaches(floor) || cover.versions.is_empty() {
            return Err(Fault::Below(cover));
        }
        match self.query.op {
            Op::List => self.page(&cover, page::list(&there, self.query.limit)?, listed),
            Op::Rank => self.ranking(&cover, &there, recall, now),
            _ if self.query.grouped => {
                // A group that other ranges have given already: ranges that were missing then add to it.
                let late = |key: &str| self.reached.iter().any(|r| !r.place.admits(key));
                self.page(&cover, page::groups(&there, self.query.limit)?, |query, row: &page::Summed| {
                    let late = late(&row.key);
                    let figure = figure_of(query, &row.fold, None, cover.whole() && !late);
                    let (rows, sum) = (Some(figure.rows), Some(figure.sum));
                    RowOut { rows, sum, late, exact: figure.exact, ..plain(&row.key, figure.value) }
                })
            }
            _ => self.figure(&cover, &there, recall, now),
        }
    }

    fn learn(&self, values: &[Value<'_>], recall: &mut Recall, now: Nanos) {
        for value in values {
            let header = &value.header;
            let total = header.total.filter(|_| self.query.op.folds() && !self.query.grouped);
            let fact =
                total.map(|t| Fact::Total(t.fold())).or_else(|| self.facts.get(&header.range).copied());
            match fact {
                Some(fact) => recall.learn(now, self.shape, header.range, header.version, fact),
                None => recall.seen(header.range, header.version),
            }
        }
    }

    fn head(&self, cover: &Cover, bounded: &BTreeMap<Range, u64>) -> Head {
        let (there, missing) = ranges(cover, |range| bounded.get(&range).copied());
        Head {
            set: self.query.set.clone(),
            op: self.query.op,
            measure: self.query.measure.clone(),
            whole: cover.whole(),
            coverage: cover.decimal(),
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
        cover: &Cover,
        recall: &mut Recall,
        now: Nanos,
    ) -> (BTreeMap<Range, u64>, Vec<Option<Fact>>) {
        let mut versions = BTreeMap::new();
        let mut known = |&range: &Range| {
            let (version, fact) = recall.recall(now, self.shape, range)?;
            versions.insert(range, version);
            Some(fact)
        };
        // A query's shape has facts of one kind: figures, or rows.
        let facts = cover.missing.keys().map(&mut known).collect();
        (versions, facts)
    }

    fn figure(
        &self,
        cover: &Cover,
        values: &[Value<'_>],
        recall: &mut Recall,
        now: Nanos,
    ) -> Result<Merged, Fault> {
        let mut folding = Folding::default();
        for value in values {
            folding.add(&value.header)?;
        }
        let known = folding.total()?;
        let (bounded, facts) = self.remembered(cover, recall, now);
        let fold = |fact| match fact {
            Some(Fact::Total(fold)) => Some(fold),
            _ => None::<Fold>,
        };
        let folds: Vec<Option<Fold>> = facts.into_iter().map(fold).collect();
        let within = fold::interval(&known, &folds)?;
        let figure = Some(figure_of(&self.query, &known, within.as_ref(), cover.whole()));
        let head = Head { figure, ..self.head(cover, &bounded) };
        Ok(Merged { answer: Answer { head, rows: Vec::new() }, next: None })
    }

    fn ranking(
        &self,
        cover: &Cover,
        values: &[Value<'_>],
        recall: &mut Recall,
        now: Nanos,
    ) -> Result<Merged, Fault> {
        let (bounded, facts) = self.remembered(cover, recall, now);
        let rows = |fact| match fact {
            Some(Fact::Rows(rows)) => rows,
            _ => Known::Nothing,
        };
        let known: Vec<Known> = facts.into_iter().map(rows).collect();
        let query = &self.query;
        let ranking = match query.grouped {
            true => rank::merge_groups(values, &known, query.order, query.limit)?,
            false => rank::merge(values, &known, query.order, query.limit)?,
        };
        let head = self.head(cover, &bounded);
        let exact = ranking.rows.iter().all(Placed::exact);
        // A value may have had room for fewer rows than it was asked for.
        let full = ranking.rows.len() == query.limit;
        let head = Head {
            whole: head.whole && exact && ranking.certain == ranking.rows.len() && (full || !ranking.more),
            certain: Some(ranking.certain),
            more: Some(ranking.more),
            ..head
        };
        let scale = query.scale;
        let rows = ranking.rows.iter().map(|row| {
            let bound = |b: Option<Units>| (!row.exact()).then(|| b.map(|u| u.decimal(scale)));
            write(&RowOut {
                range: row.range,
                low: bound(row.low),
                high: bound(row.high),
                exact: row.exact(),
                body: row.body,
                ..plain(&row.key, Some(row.measure.decimal(scale)))
            })
        });
        Ok(Merged { answer: Answer { head, rows: rows.collect() }, next: None })
    }

    fn page<R>(
        &self,
        cover: &Cover,
        page: page::Page<R>,
        row: impl for<'r> Fn(&Query, &'r R) -> RowOut<'r>,
    ) -> Result<Merged, Fault> {
        // What a missing range owes comes on a later page: it stays where it was.
        let more = page.more || !cover.missing.is_empty();
        let next = |(range, reached): (usize, &Reached)| {
            let range = range as u32;
            let seen = cover.versions.get(&range).copied();
            let place = match &page.last {
                Some(last) if seen.is_some() => reached.place.later(&page::reached(last, range)),
                _ => reached.place.clone(),
            };
            Reached { place, version: reached.version.max(seen) }
        };
        let next = more.then(|| self.reached.iter().enumerate().map(next).collect());
        let head = Head { more: Some(more), ..self.head(cover, &BTreeMap::new()) };
        let rows = page.rows.iter().map(|r| write(&row(&self.query, r))).collect();
        Ok(Merged { answer: Answer { head, rows }, next })
    }
}

fn plain(key: &str, value: Option<String>) -> RowOut<'_> {
    RowOut {
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

fn listed<'r>(query: &Query, row: &'r page::Listed<'_>) -> RowOut<'r> {
    let value = Some(row.measure.decimal(query.scale));
    RowOut { range: Some(row.range), body: row.body, ..plain(&row.key, value) }
}

/// A struct of text, numbers and JSON that was read is always written.
fn write(row: &RowOut<'_>) -> String {
    serde_json::to_string(row).unwrap_or_else(|_| "null".into())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::cursor::Place;
    use crate::query::Order;
    use crate::recall::Bounds;
    use serde_json::Value as Json;

    fn query(op: Op, grouped: bool) -> Query {
        let (set, measure, filter) = ("s".into(), "m".into(), BTreeMap::new());
        Query { set, op, measure, scale: 0, order: Order::Desc, grouped, limit: 3, filter }
    }

    fn recall() -> Recall {
        Recall::new(Bounds { entries: 8, ranges: 8, age: 100 })
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
    fn merge(m: &mut Merging, values: &[(Range, Arc<str>)], floor: f64, r: &mut Recall) -> (Json, Merged) {
        let fit: Vec<_> = values.iter().filter(|v| m.offer(v.0, &v.1).is_ok()).cloned().collect();
        let merged = m.finish(&fit, floor, r, 0).unwrap();
        (serde_json::from_str(&merged.answer.text()).unwrap(), merged)
    }

    /// The hard case of a range that answers twice: twin and first, in both orders, and the second of a newer
    /// version. The first one counts, and it is its version that is named.
    #[test]
    fn a_range_that_answers_twice_counts_once() {
        for (first, second) in [((5, 100), (5, 100)), ((5, 100), (6, 120)), ((6, 120), (5, 100))] {
            let mut m = Merging::new(query(Op::Sum, false), 2);
            let values =
                [(0, total(0, first.0, first.1)), (1, total(1, 1, 10)), (0, total(0, second.0, second.1))];
            let (json, _) = merge(&mut m, &values, 1.0, &mut recall());
            assert_eq!(json["figure"]["value"], (first.1 + 10).to_string());
            assert_eq!(json["ranges"][0]["version"], first.0);
            assert_eq!(json["whole"], true);
        }
    }

    /// The hard case of a top that may lie in the missing fifth; an earlier answer of the last version known bounds
    /// it, one of an older version does not.
    #[test]
    fn what_is_missing_is_bounded_by_what_it_said_at_its_last_version() {
        let mut r = recall();
        let rows = |range, top: i64| (range, value(range, 7, "", &[&format!("[\"k{range}\",{top}]")]));
        let all: Vec<_> = (0..5).map(|n| rows(n, 10 + i64::from(n))).collect();
        let mut m = Merging::new(query(Op::Rank, false), 5);
        let (json, _) = merge(&mut m, &all[..4], 0.8, &mut r);
        assert_eq!(
            (&json["certain"], &json["whole"], &json["coverage"]),
            (&0.into(), &false.into(), &"0.800000".into())
        );
        assert_eq!(json["missing"][0]["reason"], "no-answer");
        merge(&mut Merging::new(query(Op::Rank, false), 5), &all, 0.8, &mut r);
        let (json, _) = merge(&mut Merging::new(query(Op::Rank, false), 5), &all[1..], 0.8, &mut r);
        assert_eq!((&json["certain"], &json["missing"][0]["boundedAtVersion"]), (&3.into(), &7.into()));
        r.seen(0, 8);
        let (json, _) = merge(&mut Merging::new(query(Op::Rank, false), 5), &all[1..], 0.8, &mut r);
        assert_eq!((&json["certain"], json["missing"][0].get("boundedAtVersion")), (&0.into(), None));
    }

    /// Guards against calling an answer whole whose rows ended early: a value had room for less than was asked.
    #[test]
    fn a_ranking_that_ends_early_is_not_whole() {
        let mut m = Merging::new(query(Op::Rank, false), 1);
        let short = (0, value(0, 1, r#","rest":{"rows":2}"#, &[r#"["a",9]"#]));
        let (json, _) = merge(&mut m, &[short], 1.0, &mut recall());
        assert_eq!(
            (&json["certain"], &json["whole"], &json["more"]),
            (&1.into(), &false.into(), &true.into())
        );
    }

    /// Guards against sending ranges back that were in while another was missing, and against skipping what the
    /// missing one owes.
    #[test]
    fn a_missing_range_stays_where_it_was_and_no_other_goes_back() {
        let mut m = Merging::new(query(Op::List, false), 2);
        let (_, merged) = merge(&mut m, &[(0, value(0, 1, "", &[r#"["m",1]"#]))], 0.5, &mut recall());
        let next = merged.next.unwrap();
        assert_eq!((&next[0].place, &next[1].place), (&Place::After("m".into()), &Place::Start));
        let cursor = Cursor { query: m.query().digest(), until: 1, ranges: next };
        let mut m = Merging::resume(query(Op::List, false), cursor);
        let late = value(1, 1, r#","rest":{}"#, &[r#"["a",1]"#]);
        let (json, merged) = merge(&mut m, &[(0, value(0, 1, "", &[])), (1, late)], 0.5, &mut recall());
        assert_eq!(json["rows"][0]["key"], "a");
        let next = merged.next.unwrap();
        assert_eq!((&next[0].place, &next[1].place), (&Place::After("m".into()), &Place::After("a".into())));
    }

    /// A replica that is one version behind does not serve the next page, and the answer says which range waits.
    #[test]
    fn a_replica_behind_the_cursor_is_passed_over() {
        let reached = vec![Reached { place: Place::After("a".into()), version: Some(9) }; 2];
        let cursor = Cursor { query: [0; 16], until: 1, ranges: reached };
        let mut m = Merging::resume(query(Op::List, false), cursor);
        assert!(m.text(0).contains(r#""after":"a","at_least":9"#), "{}", m.text(0));
        assert_eq!(m.offer(1, &value(1, 8, "", &[])), Err(Unfit::Behind(8, 9)));
        let (json, merged) = merge(&mut m, &[(0, value(0, 9, "", &[]))], 0.5, &mut recall());
        assert_eq!(json["missing"][0]["reason"], "behind");
        assert_eq!(merged.next.unwrap()[1].version, Some(9));
    }

    #[test]
    fn a_late_group_adds_to_what_was_given() {
        let group = |n: i64| format!("[\"g\",1,{n},{n},{n}]");
        let mut m = Merging::new(query(Op::Sum, true), 2);
        let (json, merged) = merge(&mut m, &[(0, value(0, 1, "", &[&group(5)]))], 0.5, &mut recall());
        assert_eq!((&json["rows"][0]["value"], &json["rows"][0]["exact"]), (&"5".into(), &false.into()));
        let cursor = Cursor { query: [0; 16], until: 1, ranges: merged.next.unwrap() };
        let mut m = Merging::resume(query(Op::Sum, true), cursor);
        let values = [(0, value(0, 1, "", &[])), (1, value(1, 1, "", &[&group(7)]))];
        let (json, merged) = merge(&mut m, &values, 0.5, &mut recall());
        assert_eq!((&json["rows"][0]["value"], &json["rows"][0]["late"]), (&"7".into(), &true.into()));
        assert_eq!(merged.next, None);
    }

    /// A row that no value can hold is the same at every replica: the range is missing, and the answer names it.
    #[test]
    fn a_row_too_large_is_named() {
        let mut m = Merging::new(query(Op::List, false), 2);
        let large = value(1, 1, r#","too_large":{"key":"K","bytes":300000}"#, &[]);
        let values = [(0, value(0, 1, "", &[])), (1, large)];
        let (json, _) = merge(&mut m, &values, 0.5, &mut recall());
        assert_eq!((&json["missing"][0]["reason"], &json["whole"]), (&"row-too-large".into(), &false.into()));
        let below = m.finish(&values, 1.0, &mut recall(), 0).unwrap_err();
        assert!(below.to_string().contains("the row 'K' is larger"), "{below}");
    }

    #[test]
    fn sums_that_do_not_fit_are_errors() {
        let huge = |range| {
            let max = i128::MAX;
            let total = format!(r#","total":{{"rows":1,"sum":"{max}","min":"{max}","max":"{max}"}}"#);
            (range, value(range, 1, &total, &[]))
        };
        let mut m = Merging::new(query(Op::Sum, false), 2);
        let values = [huge(0), huge(1)];
        values.iter().for_each(|v| m.offer(v.0, &v.1).unwrap());
        assert_eq!(m.finish(&values, 1.0, &mut recall(), 0), Err(Fault::Overflow));
    }
}
