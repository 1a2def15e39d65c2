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
    assert_eq!((&json["certain"], &json["whole"], &json["more"]), (&1.into(), &false.into(), &true.into()));
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
