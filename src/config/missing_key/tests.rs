use serde_json::json;

use super::*;

/// A reload must not silently drop a key at any depth.
#[test]
fn the_path_of_the_first_missing_key_is_returned() {
    let before = json!({"a": {"b": 1, "c": {"d": 2}}, "e": 3});
    assert_eq!(first_missing_key(&before, &before), None);
    assert_eq!(first_missing_key(&before, &json!({"a": {"b": 1, "c": {}}, "e": 3})), Some("a.c.d".into()));
    assert_eq!(first_missing_key(&before, &json!({"a": {"b": 1, "c": {"d": 2}}})), Some("e".into()));
    assert_eq!(first_missing_key(&json!({"a": 1}), &json!({"a": 2, "b": 3})), None);
}

/// Optional keys of array elements must not become required: only some elements had them before.
#[test]
fn array_elements_require_only_keys_common_to_all_previous_elements() {
    let before = json!([{"name": "x", "extra": 1}, {"name": "y"}]);
    assert_eq!(first_missing_key(&before, &json!([{"name": "z"}])), None);
    assert_eq!(first_missing_key(&before, &json!([{"name": "z"}, {"extra": 1}])), Some("1.name".into()));
    assert_eq!(first_missing_key(&before, &json!([])), None);
}
