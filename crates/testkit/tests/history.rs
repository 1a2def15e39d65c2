//! The linearizability checker.

use curlewdeck_testkit::history::{check, Action, Operation, MAX_OPERATIONS_PER_KEY};

fn operation(key: &str, action: Action, called_at: u64, completed_at: Option<u64>) -> Operation {
    Operation { key: key.into(), action, called_at, completed_at }
}

fn write(v: &str) -> Action {
    Action::Write(v.as_bytes().to_vec())
}

fn read(v: Option<&str>) -> Action {
    Action::Read(v.map(|v| v.as_bytes().to_vec()))
}

#[test]
fn read_after_completed_write_must_return_it() {
    assert!(
        check(&[operation("a", write("1"), 0, Some(2)), operation("a", read(Some("1")), 3, Some(4))]).is_ok()
    );
    assert!(check(&[operation("a", write("1"), 0, Some(2)), operation("a", read(None), 3, Some(4))]).is_err());
}

#[test]
fn overlapping_operations_may_take_effect_in_either_order() {
    assert!(check(&[operation("a", write("1"), 0, Some(5)), operation("a", read(None), 1, Some(2))]).is_ok());
    assert!(
        check(&[operation("a", write("1"), 0, Some(5)), operation("a", read(Some("1")), 1, Some(2))]).is_ok()
    );
}

#[test]
fn stale_read_after_a_newer_read_is_a_violation() {
    let history = [
        operation("a", write("1"), 0, Some(1)),
        operation("a", write("2"), 2, None),
        operation("a", read(Some("2")), 3, Some(4)),
        operation("a", read(Some("1")), 5, Some(6)),
    ];
    assert!(check(&history).is_err(), "a stale read after a newer value was read");
}

#[test]
fn incomplete_write_may_take_effect_late_or_never() {
    let late = [
        operation("a", write("1"), 0, None),
        operation("a", read(None), 1, Some(2)),
        operation("a", read(Some("1")), 10, Some(11)),
    ];
    assert!(check(&late).is_ok());
    let never = [operation("a", write("1"), 0, None), operation("a", read(None), 10, Some(11))];
    assert!(check(&never).is_ok());
    let never_written = [operation("a", read(Some("9")), 0, Some(1))];
    assert!(check(&never_written).is_err());
}

#[test]
fn keys_are_checked_separately_and_too_many_operations_on_a_key_are_a_violation() {
    let ok = [operation("a", write("1"), 0, Some(1)), operation("b", read(None), 2, Some(3))];
    assert_eq!(check(&ok), Ok(2));
    let many: Vec<Operation> =
        (0..=MAX_OPERATIONS_PER_KEY as u64).map(|i| operation("a", write("x"), i, Some(i))).collect();
    assert!(check(&many).is_err());
}
