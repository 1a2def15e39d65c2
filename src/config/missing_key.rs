//! Finds a key of the current configuration that is missing from a new one.

use serde_json::{Map, Value};

/// The dotted path of the first key of `before` that is missing from `now`. Arrays may have different elements: their
/// objects must have only those keys that all objects of the array had before.
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

/// The keys that all objects of the array have in common.
fn common_keys(array: &[Value]) -> Vec<&String> {
    let Some(first) = objects(array).next() else { return Vec::new() };
    first.keys().filter(|key| objects(array).all(|object| object.contains_key(*key))).collect()
}

#[cfg(test)]
mod tests;
