//! Text of formatted pages.

use super::*;

#[test]
fn table_ends_with_its_coverage_and_marks_rows_that_may_be_displaced() {
    let page: Page = serde_json::from_str(
        r#"{"op":"rank","whole":false,"coverage":"0.666666","ranges":[{"range":0,"version":1},{"range":2,"version":1}],
        "missing":[{"range":1,"reason":"no-answer","detail":"d"}],"certain":1,
        "rows":[{"key":"a","value":"12.50","range":0,"exact":true,"body":{"n": 1}},{"key":"b","value":"9.00","exact":true}]}"#,
    )
    .unwrap();
    let text = render(&page);
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    assert_eq!(lines.len(), 4);
    assert!(lines[1].contains("12.50") && lines[1].contains(r#"{"n": 1}"#), "{text}");
    assert!(lines[2].contains(" 9.00") && lines[2].contains("may be displaced"), "{text}");
    assert_eq!(lines[3], "not whole: 2 of 3 ranges, 0.666666 of the data; range 1 no-answer");
}

#[test]
fn inexact_figure_is_marked_and_shows_its_bounds() {
    let page: Page = serde_json::from_str(
        r#"{"op":"sum","whole":false,"coverage":"0.5","ranges":[{"range":0,"version":1}],
        "missing":[{"range":1,"reason":"behind","detail":"d"}],
        "figure":{"value":"5","exact":false,"rows":2,"sum":"5","within":{"low":"7","high":"7"}},"rows":[]}"#,
    )
    .unwrap();
    let text = render(&page);
    assert!(text.starts_with("sum 5 over 2 rows, within 7 and 7, not exact\nnot whole: 1 of 2"), "{text}");
}
