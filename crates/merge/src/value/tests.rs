use std::borrow::Cow;

use super::*;
use crate::cursor::Position;
use crate::query::{Op, Order, Query};
use crate::units::Units;
use proptest::prelude::*;

pub(crate) fn query(op: Op) -> Query {
    Query {
        set: "plazas".into(),
        op,
        measure: "revenue".into(),
        scale: 2,
        order: Order::Desc,
        grouped: false,
        limit: 3,
        filter: Default::default(),
    }
}

fn expected() -> Expected {
    Expected { range: 4, position: Position::Start, at_least: Some(7) }
}

fn check_value(op: Op, text: &str) -> Result<CheckedValue, InvalidValue> {
    check(text, &query(op), &expected())
}

const VALID: &str = r#"{"v":1,"range":4,"version":7,"until":7,"scale":2,"rows":2,"rest":{"rows":1,"most":5,"least":1},"total":{"rows":3,"sum":28,"min":3,"max":15}}
["b",15,{"name": "B"}]
["a",10]"#;

#[test]
fn valid_value_is_parsed_row_by_row() {
    check_value(Op::Rank, VALID).unwrap();
    let value = Value::read(VALID).unwrap();
    let rows: Vec<Entry> = value.rows().map(Result::unwrap).collect();
    assert_eq!(
        (&*rows[0].key, rows[0].measure, rows[0].body.unwrap().get()),
        ("b", Units(15), r#"{"name": "B"}"#)
    );
    assert!(matches!(rows[0].key, Cow::Borrowed(_)), "keys are not copied");
    assert!(rows[1].body.is_none());
}

/// Each case changes one thing in a valid value.
#[test]
fn invalid_values_are_rejected() {
    for (from, to, why) in [
        ("\"v\":1", "\"v\":2", "form 2"),
        ("\"range\":4", "\"range\":5", "speaks for range 5"),
        ("\"until\":7", "\"until\":8", "from version 7 to 8"),
        ("7,\"until\":7", "6,\"until\":6", "at version 6, and 7"),
        ("\"scale\":2", "\"scale\":3", "scale 3"),
        ("\"scale\":2", "\"scale\":99", "scale"),
        ("\"rows\":2", "\"rows\":1000000000", "more rows than were asked"),
        ("\"rows\":2", "\"rows\":3", "fewer rows than it declares"),
        ("\"rows\":2", "\"rows\":1", "more rows than it declares"),
        ("\"b\",15", "\"b\",9", "out of order"),
        ("\"most\":5", "\"most\":11", "better than the last row"),
        ("\"most\":5,\"least\":1", "\"most\":1,\"least\":5", "wrong way round"),
        ("\"rest\":{\"rows\":1", "\"rest\":{\"rows\":0", "no rows follow"),
        ("\"sum\":28", "\"sum\":36", "the total does not match"),
        ("\"sum\":28", "\"sum\":99", "does not fit the rows"),
        ("\"total\":{\"rows\":3", "\"total\":{\"rows\":1000000000", "does not fit"),
        ("15,", "1.5,", "malformed"),
        ("\"a\",10", "\"a\"", "no measure"),
        ("[\"a\",10]", "[\"a\",10", "malformed"),
        ("\"rows\":2", "\"rows\":2,\"more\":1", "unknown field"),
    ] {
        assert!(VALID.contains(from), "{from}");
        let error = check_value(Op::Rank, &VALID.replacen(from, to, 1)).unwrap_err().to_string();
        assert!(error.contains(why), "{to}: {error}");
    }
}

#[test]
fn inconsistent_totals_and_groups_are_rejected() {
    let head = r#"{"v":1,"range":4,"version":7,"until":7,"scale":2"#;
    let total = |t: &str| check_value(Op::Sum, &format!("{head},\"total\":{t}}}"));
    assert!(total(r#"{"rows":2,"sum":5,"min":2,"max":3}"#).is_ok());
    assert!(total(r#"{"rows":0,"sum":0}"#).is_ok());
    for bad in [
        r#"{"rows":0,"sum":1}"#,
        r#"{"rows":2,"sum":5}"#,
        r#"{"rows":2,"sum":7,"min":2,"max":3}"#,
        r#"{"rows":2,"sum":5,"min":3,"max":2}"#,
        r#"{"rows":18446744073709551615,"sum":0,"min":"-170141183460469231731687303715884105728","max":9}"#,
    ] {
        assert!(total(bad).is_err(), "{bad}");
    }
    let grouped = Query { grouped: true, ..query(Op::Sum) };
    let groups = |rows: &str| check(&format!("{head},\"rows\":2}}\n{rows}"), &grouped, &expected());
    assert!(groups("[\"a\",2,5,2,3]\n[\"b\",1,9,9,9]").is_ok());
    assert!(groups("[\"b\",1,9,9,9]\n[\"a\",2,5,2,3]").is_err(), "out of order");
    assert!(groups("[\"a\",2,9,2,3]\n[\"b\",1,9,9,9]").is_err(), "an impossible sum");
    assert!(groups("[\"a\",0,0,0,0]\n[\"b\",1,9,9,9]").is_err(), "a group without rows");
}

#[test]
fn page_must_begin_at_the_requested_position() {
    let head = r#"{"v":1,"range":4,"version":7,"until":7,"scale":2,"rows":1}"#;
    let page = |position, key: &str| {
        check(&format!("{head}\n[\"{key}\",1]"), &query(Op::List), &Expected { position, ..expected() })
    };
    assert!(page(Position::After("k".into()), "l").is_ok());
    assert!(page(Position::After("k".into()), "k").is_err());
    assert!(page(Position::From("k".into()), "k").is_ok());
    assert!(page(Position::From("k".into()), "j").is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Data nodes can send any text; validation must not panic on it.
    #[test]
    fn arbitrary_text_does_not_panic(at in 0..VALID.len(), byte in 32..127u8, text in "\\PC{0,60}") {
        let mut changed = VALID.as_bytes().to_vec();
        changed[at] = byte;
        let changed = String::from_utf8(changed).unwrap();
        for op in [Op::Rank, Op::List, Op::Sum] {
            let _ = (check_value(op, &changed), check_value(op, &text));
        }
    }
}
