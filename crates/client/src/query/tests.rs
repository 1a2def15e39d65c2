//! Parsing of replies.

use super::*;

#[test]
fn retry_after_accepts_seconds_only() {
    assert_eq!(parse_retry_after("2"), Some(2000));
    assert_eq!(parse_retry_after(" 0.25"), Some(250));
    for bad in ["", "-1", "NaN", "inf", "1e9", "Tue, 01 Dec 2026 00:00:00 GMT"] {
        assert_eq!(parse_retry_after(bad), None, "{bad}");
    }
}

#[test]
fn unparsable_page_fails_and_unparsable_problem_text_is_truncated() {
    assert!(matches!(Reply::parse(200, None, "{}"), Reply::Failed(_)));
    let Reply::Problem(503, problem, Some(1500)) = Reply::parse(503, Some("1.5"), &"x".repeat(999)) else {
        panic!("expected a problem document")
    };
    assert_eq!(problem.detail.len(), 200);
}
