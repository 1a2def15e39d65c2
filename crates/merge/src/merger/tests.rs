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

/// A value with further header fields `more` and these rows. `range` must have one digit.
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

/// Passes all values to the merger, then merges the accepted ones.
fn merge(
    merger: &mut QueryMerger,
    values: &[(Range, Arc<str>)],
    min_coverage: f64,
    cache: &mut RangeCache,
) -> (Json, MergeResult) {
    let accepted: Vec<_> =
        values.iter().filter(|v| merger.accept_value(v.0, &v.1).is_ok()).cloned().collect();
    let merged = merger.finish(&accepted, min_coverage, cache, 0).unwrap();
    (serde_json::from_str(&merged.answer.text()).unwrap(), merged)
}

/// A hedged attempt returns a second value of a range, of the same, a newer or an older version. Only the first value
/// counts, and the answer contains its version.
#[test]
fn only_the_first_value_of_a_range_counts() {
    for (first, second) in [((5, 100), (5, 100)), ((5, 100), (6, 120)), ((6, 120), (5, 100))] {
        let mut merger = QueryMerger::new(query(Op::Sum, false), 2);
        let values =
            [(0, total(0, first.0, first.1)), (1, total(1, 1, 10)), (0, total(0, second.0, second.1))];
        let (json, _) = merge(&mut merger, &values, 1.0, &mut cache());
        assert_eq!(json["figure"]["value"], (first.1 + 10).to_string());
        assert_eq!(json["ranges"][0]["version"], first.0);
        assert_eq!(json["whole"], true);
    }
}

/// The best rows may be in the missing fifth of the ranges. A cached summary of the last known version bounds the
/// missing range; a summary of an older version does not.
#[test]
fn missing_range_is_bounded_by_its_summary_at_the_last_known_version() {
    let mut cache = cache();
    let rows = |range, top: i64| (range, value(range, 7, "", &[&format!("[\"k{range}\",{top}]")]));
    let all: Vec<_> = (0..5).map(|n| rows(n, 10 + i64::from(n))).collect();
    let mut merger = QueryMerger::new(query(Op::Rank, false), 5);
    let (json, _) = merge(&mut merger, &all[..4], 0.8, &mut cache);
    assert_eq!(
        (&json["certain"], &json["whole"], &json["coverage"]),
        (&0.into(), &false.into(), &"0.800000".into())
    );
    assert_eq!(json["missing"][0]["reason"], "no-answer");
    merge(&mut QueryMerger::new(query(Op::Rank, false), 5), &all, 0.8, &mut cache);
    let (json, _) = merge(&mut QueryMerger::new(query(Op::Rank, false), 5), &all[1..], 0.8, &mut cache);
    assert_eq!((&json["certain"], &json["missing"][0]["boundedAtVersion"]), (&3.into(), &7.into()));
    cache.observe_version(0, 8);
    let (json, _) = merge(&mut QueryMerger::new(query(Op::Rank, false), 5), &all[1..], 0.8, &mut cache);
    assert_eq!((&json["certain"], json["missing"][0].get("boundedAtVersion")), (&0.into(), None));
}

/// A value can be cut by its size limit to fewer rows than requested. The ranking is then incomplete and must not be
/// marked as whole.
#[test]
fn ranking_with_too_few_rows_is_not_whole() {
    let mut merger = QueryMerger::new(query(Op::Rank, false), 1);
    let short = (0, value(0, 1, r#","rest":{"rows":2}"#, &[r#"["a",9]"#]));
    let (json, _) = merge(&mut merger, &[short], 1.0, &mut cache());
    assert_eq!((&json["certain"], &json["whole"], &json["more"]), (&1.into(), &false.into(), &true.into()));
}

/// After a page with a missing range, included ranges must not return rows again, and no row of the missing range may
/// be skipped.
#[test]
fn missing_range_keeps_its_position_and_included_ranges_advance() {
    let mut merger = QueryMerger::new(query(Op::List, false), 2);
    let (_, merged) = merge(&mut merger, &[(0, value(0, 1, "", &[r#"["m",1]"#]))], 0.5, &mut cache());
    let next = merged.next.unwrap();
    assert_eq!((&next[0].position, &next[1].position), (&Position::After("m".into()), &Position::Start));
    let cursor = Cursor { query: merger.query().digest(), expires_at: 1, ranges: next };
    let mut merger = QueryMerger::resume(query(Op::List, false), cursor);
    let late = value(1, 1, r#","rest":{}"#, &[r#"["a",1]"#]);
    let (json, merged) = merge(&mut merger, &[(0, value(0, 1, "", &[])), (1, late)], 0.5, &mut cache());
    assert_eq!(json["rows"][0]["key"], "a");
    let next = merged.next.unwrap();
    assert_eq!(
        (&next[0].position, &next[1].position),
        (&Position::After("m".into()), &Position::After("a".into()))
    );
}

/// A replica one version behind the cursor must not serve the next page; the answer reports its range as missing.
#[test]
fn value_older_than_the_cursor_is_rejected() {
    let progress = vec![RangeProgress { position: Position::After("a".into()), version: Some(9) }; 2];
    let cursor = Cursor { query: [0; 16], expires_at: 1, ranges: progress };
    let mut merger = QueryMerger::resume(query(Op::List, false), cursor);
    assert!(merger.request_text(0).contains(r#""after":"a","at_least":9"#), "{}", merger.request_text(0));
    assert_eq!(merger.accept_value(1, &value(1, 8, "", &[])), Err(InvalidValue::StaleVersion(8, 9)));
    let (json, merged) = merge(&mut merger, &[(0, value(0, 9, "", &[]))], 0.5, &mut cache());
    assert_eq!(json["missing"][0]["reason"], "behind");
    assert_eq!(merged.next.unwrap()[1].version, Some(9));
}

#[test]
fn group_of_a_late_range_is_returned_again_as_late() {
    let group = |n: i64| format!("[\"g\",1,{n},{n},{n}]");
    let mut merger = QueryMerger::new(query(Op::Sum, true), 2);
    let (json, merged) = merge(&mut merger, &[(0, value(0, 1, "", &[&group(5)]))], 0.5, &mut cache());
    assert_eq!((&json["rows"][0]["value"], &json["rows"][0]["exact"]), (&"5".into(), &false.into()));
    let cursor = Cursor { query: [0; 16], expires_at: 1, ranges: merged.next.unwrap() };
    let mut merger = QueryMerger::resume(query(Op::Sum, true), cursor);
    let values = [(0, value(0, 1, "", &[])), (1, value(1, 1, "", &[&group(7)]))];
    let (json, merged) = merge(&mut merger, &values, 0.5, &mut cache());
    assert_eq!((&json["rows"][0]["value"], &json["rows"][0]["late"]), (&"7".into(), &true.into()));
    assert_eq!(merged.next, None);
}

/// A row that exceeds the size limit of a value does so on every replica: its range is missing, and the error contains
/// the row's key.
#[test]
fn range_with_a_too_large_row_is_missing() {
    let mut merger = QueryMerger::new(query(Op::List, false), 2);
    let large = value(1, 1, r#","too_large":{"key":"K","bytes":300000}"#, &[]);
    let values = [(0, value(0, 1, "", &[])), (1, large)];
    let (json, _) = merge(&mut merger, &values, 0.5, &mut cache());
    assert_eq!((&json["missing"][0]["reason"], &json["whole"]), (&"row-too-large".into(), &false.into()));
    let below = merger.finish(&values, 1.0, &mut cache(), 0).unwrap_err();
    assert!(below.to_string().contains("the row 'K' is larger"), "{below}");
}

#[test]
fn overflowing_sum_is_an_error() {
    let huge = |range| {
        let max = i128::MAX;
        let total = format!(r#","total":{{"rows":1,"sum":"{max}","min":"{max}","max":"{max}"}}"#);
        (range, value(range, 1, &total, &[]))
    };
    let mut merger = QueryMerger::new(query(Op::Sum, false), 2);
    let values = [huge(0), huge(1)];
    values.iter().for_each(|v| merger.accept_value(v.0, &v.1).unwrap());
    assert_eq!(merger.finish(&values, 1.0, &mut cache(), 0), Err(MergeError::Overflow));
}
