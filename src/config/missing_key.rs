//! Finds a key that a new configuration lacks.

use serde_json::{Map, Value};

/// The path of the first key of `before` that is missing in `now`, with dots between its steps. The objects of an array
/// may have changed: of these, only keys that all objects of the array had before are required.
pub(super) fn first_missing_key(before: &Value, now: &Value) -> Option<String> {
    match (before, now) {
        (Value::Object(before), Value::Object(now)) => missing_in_object(before, now),
        (Value::Array(before), Value::Array(now)) => missing_in_array(before, now),
        _ => None,
    }
}

fn missing_in_object(before: &Map<String, Value>, now: &Map<String, Value>) -> Option<String> {
    before.iter().find_map(|(key, before)| match now.get(key) {
        None => Some(key.clone()),
        Some(now) => first_missing_key(before, now).map(|inner| format!("{key}.{inner}")),
    })
}

fn missing_in_array(before: &[Value], now: &[Value]) -> Option<String> {
    let required = common_keys(before);
    objects(now).enumerate().find_map(|(index, object)| {
        let missing = required.iter().find(|key| !object.contains_key(**key))?;
        Some(format!("{index}.{missing}"))
    })
}

fn objects(array: &[Value]) -> impl Iterator<Item = &Map<String, Value>> {
    array.iter().filter_map(Value::as_object)
}

/// The keys that all objects of the array have.
fn common_keys(array: &[Value]) -> Vec<&String> {
    let Some(first) = objects(array).next() else { return Vec::new() };
    first.keys().filter(|key| objects(array).all(|object| object.contains_key(*key))).collect()
}

#[cfg(test)]
mod tests;
