//! Reading of replies.

use super::*;

#[test]
fn retry_after_is_seconds() {
    assert_eq!(retry_after("2"), Some(2000));
    assert_eq!(retry_after(" 0.25"), Some(250));
    for bad in ["", "-1", "NaN", "inf", "1e9", "Tue, 01 Dec 2026 00:00:00 GMT"] {
        assert_eq!(retry_after(bad), None, "{bad}");
    }
}

#[test]
fn what_is_no_answer_is_lost_and_what_is_no_problem_is_kept_short() {
    assert!(matches!(Reply::read(200, None, "{}"), Reply::Lost(_)));
    let Reply::Problem(503, problem, Some(1500)) = Reply::read(503, Some("1.5"), &"x".repeat(999)) else {
        panic!("no problem")
    };
    assert_eq!(problem.detail.len(), 200);
}
