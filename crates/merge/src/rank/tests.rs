use super::*;
use crate::range_bounds::RangeBounds;
use crate::value::Value;

fn text(range: Range, rows: &[(&str, i128)], rest: Option<&str>) -> String {
    let rest = rest.map(|r| format!(",\"rest\":{r}")).unwrap_or_default();
    let mut text =
        format!(r#"{{"v":1,"range":{range},"version":1,"until":1,"scale":0,"rows":{}{rest}}}"#, rows.len());
    rows.iter().for_each(|(k, m)| text.push_str(&format!("\n[\"{k}\",{m}]")));
    text
}

fn keys(r: &Ranking) -> Vec<(String, i128)> {
    r.rows.iter().map(|p| (p.key.to_string(), p.measure.0)).collect()
}

fn merge_rows(texts: &[String], missing: &[RangeBounds], limit: usize) -> (Vec<(String, i128)>, usize) {
    let values: Vec<Value> = texts.iter().map(|t| Value::read(t).unwrap()).collect();
    let r = merge(&values, missing, Order::Desc, limit).unwrap();
    (keys(&r), r.certain)
}

/// A missing range without bounds could contain all of the best rows, so no row is certain.
#[test]
fn rows_are_certain_only_if_missing_ranges_rank_after_them() {
    let texts = [text(0, &[("a", 9), ("b", 8)], None), text(1, &[], None)];
    assert_eq!(merge_rows(&texts, &[RangeBounds::Unknown], 2).1, 0);
    assert_eq!(merge_rows(&texts, &[RangeBounds::Empty], 2).1, 2);
    assert_eq!(merge_rows(&texts, &[RangeBounds::Within(None, Some(Units(8)))], 2).1, 1);
    assert_eq!(
        merge_rows(&texts, &[RangeBounds::Within(None, Some(Units(9)))], 2).1,
        0,
        "the order of a tie is unknown"
    );
}

#[test]
fn ties_at_the_limit_are_broken_by_key() {
    let texts = [text(0, &[("b", 5), ("d", 5)], None), text(1, &[("a", 5), ("c", 5)], None)];
    let (rows, certain) = merge_rows(&texts, &[], 3);
    assert_eq!(rows, [("a".into(), 5), ("b".into(), 5), ("c".into(), 5)]);
    assert_eq!(certain, 3);
}

/// A range returned fewer rows than the limit and has more: its next row can be as good as its last one.
#[test]
fn last_row_of_a_truncated_value_bounds_its_remainder() {
    let short = |rest| [text(0, &[("x", 9)], Some(rest)), text(1, &[("y", 8), ("z", 5)], None)];
    assert_eq!(merge_rows(&short("{}"), &[], 3).1, 1);
    assert_eq!(merge_rows(&short(r#"{"most":6}"#), &[], 3).1, 2);
    let tied = [text(0, &[("x", 9)], Some("{}")), text(1, &[("w", 9), ("y", 9)], None)];
    assert_eq!(merge_rows(&tied, &[], 3), (vec![("w".into(), 9), ("x".into(), 9), ("y".into(), 9)], 2));
}

#[test]
fn groups_are_summed_and_bounded() {
    let texts = [
        text(0, &[("a", 10), ("b", 6)], Some(r#"{"most":2,"least":0}"#)),
        text(1, &[("b", 9), ("c", 5)], None),
    ];
    let values: Vec<Value> = texts.iter().map(|t| Value::read(t).unwrap()).collect();
    let r = merge_groups(&values, &[], Order::Desc, 2).unwrap();
    assert_eq!(keys(&r), [("b".into(), 15), ("a".into(), 10)]);
    assert_eq!(r.certain, 2);
    assert!(r.rows.iter().all(RankedRow::is_exact));
    let r = merge_groups(&values, &[], Order::Desc, 3).unwrap();
    assert_eq!((r.rows[2].low, r.rows[2].high), (Some(Units(5)), Some(Units(7))));
    assert_eq!(r.certain, 3);
    // A missing range may add up to 6 to each group, which can reverse the order of b and a.
    let r = merge_groups(&values, &[RangeBounds::Within(Some(Units(0)), Some(Units(6)))], Order::Desc, 2)
        .unwrap();
    assert_eq!(r.certain, 0);
    let r = merge_groups(&values, &[RangeBounds::Unknown], Order::Desc, 2).unwrap();
    assert_eq!((r.certain, r.rows[0].low), (0, None));
}

#[test]
fn ascending_order_is_symmetric() {
    let texts = [text(0, &[("a", 1), ("b", 4)], Some(r#"{"least":4}"#)), text(1, &[("c", 2)], None)];
    let values: Vec<Value> = texts.iter().map(|t| Value::read(t).unwrap()).collect();
    let r = merge(&values, &[], Order::Asc, 3).unwrap();
    assert_eq!(keys(&r), [("a".into(), 1), ("c".into(), 2), ("b".into(), 4)]);
    assert_eq!(r.certain, 3);
    assert_eq!(
        RangeBounds::of_ranking(
            Some((Units(1), Units(4))),
            Some(&values[0].header.remainder.unwrap()),
            Order::Asc
        ),
        RangeBounds::Within(Some(Units(1)), None)
    );
}
