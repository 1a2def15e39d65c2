use serde_json::json;

use super::*;

/// Guards against a reload that silently drops a key, at whichever depth.
#[test]
fn the_path_of_the_first_missing_key_is_found() {
    let before = json!({"a": {"b": 1, "c": {"d": 2}}, "e": 3});
    assert_eq!(first_missing_key(&before, &before), None);
    assert_eq!(first_missing_key(&before, &json!({"a": {"b": 1, "c": {}}, "e": 3})), Some("a.c.d".into()));
    assert_eq!(first_missing_key(&before, &json!({"a": {"b": 1, "c": {"d": 2}}})), Some("e".into()));
    assert_eq!(first_missing_key(&json!({"a": 1}), &json!({"a": 2, "b": 3})), None);
}

/// Guards against requiring of a new object in an array what only some objects had.
#[test]
fn in_an_array_only_keys_that_all_objects_had_are_required() {
    let before = json!([{"name": "x", "extra": 1}, {"name": "y"}]);
    assert_eq!(first_missing_key(&before, &json!([{"name": "z"}])), None);
    assert_eq!(first_missing_key(&before, &json!([{"name": "z"}, {"extra": 1}])), Some("1.name".into()));
    assert_eq!(first_missing_key(&before, &json!([])), None);
}
