use super::*;

fn text(range: Range, rows: &[&str], rest: bool) -> String {
    let rest = if rest { ",\"rest\":{}" } else { "" };
    let head =
        format!(r#"{{"v":1,"range":{range},"version":1,"until":1,"scale":0,"rows":{}{rest}}}"#, rows.len());
    rows.iter().fold(head, |text, row| format!("{text}\n{row}"))
}

fn listed(texts: &[String], limit: usize) -> (Vec<(String, Range)>, bool) {
    let values: Vec<Value> = texts.iter().map(|t| Value::read(t).unwrap()).collect();
    let page = list(&values, limit).unwrap();
    assert_eq!(page.last, page.rows.last().map(|r| (Arc::from(&*r.key), r.range)));
    (page.rows.iter().map(|r| (r.key.to_string(), r.range)).collect(), page.more)
}

#[test]
fn rows_of_all_ranges_are_merged_in_key_order() {
    let texts =
        [text(0, &[r#"["a",1]"#, r#"["c",1]"#], false), text(1, &[r#"["b",1]"#, r#"["c",1]"#], false)];
    let rows = |names: &[(&str, Range)]| -> Vec<_> { names.iter().map(|r| (r.0.to_string(), r.1)).collect() };
    assert_eq!(listed(&texts, 9), (rows(&[("a", 0), ("b", 1), ("c", 0), ("c", 1)]), false));
    assert_eq!(listed(&texts, 3), (rows(&[("a", 0), ("b", 1), ("c", 0)]), true));
    assert_eq!(next_position(&("c".into(), 0), 0), Position::After("c".into()));
    assert_eq!(next_position(&("c".into(), 0), 1), Position::From("c".into()));
    assert_eq!(listed(&[text(0, &[], false)], 3), (vec![], false));
}

/// A range returned fewer rows than requested and has more. A page that continues past its last row would skip them.
#[test]
fn page_ends_at_the_last_row_of_a_range_that_has_more() {
    let texts = [text(0, &[r#"["a",1]"#], true), text(1, &[r#"["b",1]"#, r#"["c",1]"#], false)];
    assert_eq!(listed(&texts, 9), (vec![("a".into(), 0)], true));
}

#[test]
fn groups_are_aggregated_over_all_ranges() {
    let texts = [
        text(0, &[r#"["a",1,5,5,5]"#, r#"["b",2,6,2,4]"#], true),
        text(1, &[r#"["b",1,-1,-1,-1]"#, r#"["c",1,1,1,1]"#], false),
    ];
    let values: Vec<Value> = texts.iter().map(|t| Value::read(t).unwrap()).collect();
    let page = groups(&values, 9).unwrap();
    let b = Aggregate { rows: 3, sum: Units(5), min_max: Some((Units(-1), Units(4))) };
    assert_eq!(page.rows.len(), 2);
    assert_eq!(page.rows[1], GroupRow { key: "b".into(), aggregate: b });
    assert!(page.more);
    assert_eq!(next_position(&page.last.unwrap(), 7), Position::After("b".into()));
}
