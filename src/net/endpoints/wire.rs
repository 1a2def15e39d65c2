//! Parses discovery's JSON format of the endpoint list.
//!
//! Each field of a line is parsed separately, so that an unreadable field invalidates as little as possible.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

use curlewdeck_membership::State;
use serde::de::{Error, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use super::error::{LineError, LineFault};
use super::{DiscoveryUpdate, EndpointEntry, EndpointLine};

const NAME: &str = "uid";
const ADDRESS: &str = "endpoint";
const ZONE: &str = "az";
const PARTITION_GROUP: &str = "pod_group";
const STATE: &str = "state";
const CAPACITY: &str = "capacity_hint";
const STARTED_AT_MS: &str = "boot_ms";

const STATE_UP: &str = "up";
const STATE_REMOVED: &str = "removed";

const DEFAULT_CAPACITY: f64 = 1.0;

/// 2^53: up to this number, `f64` represents every integer exactly.
const MAX_EXACT_FLOAT: f64 = 9_007_199_254_740_992.0;

/// An update as discovery sends it. The type's name appears in error messages about malformed updates.
#[derive(Deserialize)]
struct MembershipUpdate {
    #[serde(deserialize_with = "version")]
    rev: u64,
    #[serde(default, deserialize_with = "flag")]
    all: bool,
    #[serde(default, deserialize_with = "lines")]
    targets: Vec<EndpointLine>,
}

fn version<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = Box::<RawValue>::deserialize(deserializer)?;
    whole_number(text.get()).ok_or_else(|| D::Error::custom("rev is not a version"))
}

fn flag<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    Ok(Option::deserialize(deserializer)?.unwrap_or(false))
}

fn lines<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<EndpointLine>, D::Error> {
    let lines: Vec<Box<RawValue>> = Option::deserialize(deserializer)?.unwrap_or_default();
    Ok(lines.iter().map(|line| EndpointLine::read(line.get())).collect())
}

impl<'de> Deserialize<'de> for DiscoveryUpdate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let MembershipUpdate { rev, all, targets } = MembershipUpdate::deserialize(deserializer)?;
        Ok(Self { version: rev, complete: all, lines: targets })
    }
}

impl DiscoveryUpdate {
    /// Parses a JSON object. Invalid UTF-8 in a data node's name makes its line unreadable.
    ///
    /// # Errors
    /// The input is not a JSON object, it has no valid version, or its lines are not an array.
    pub fn read(bytes: &[u8]) -> Result<Self, LineError> {
        let text = String::from_utf8_lossy(bytes);
        if !text.trim_start().starts_with('{') {
            return Err(LineError::new(LineFault::NotAnUpdate, &text));
        }
        serde_json::from_str(&text).map_err(|e| LineError::new(LineFault::NotAnUpdate, &e.to_string()))
    }
}

impl EndpointLine {
    /// Parses a line's JSON; errors are kept in the result.
    pub fn read(text: &str) -> Self {
        let Ok(fields) = serde_json::from_str::<LineFields>(text) else {
            return Self::Unreadable(LineError::new(LineFault::NotAnObject, text));
        };
        match fields.name() {
            Ok(name) => fields.line(name),
            Err(reason) => Self::Unreadable(reason),
        }
    }
}

/// The raw JSON of a line's fields by name; `None` for a duplicated field.
struct LineFields<'a>(HashMap<String, Option<&'a RawValue>>);

impl LineFields<'_> {
    fn name(&self) -> Result<String, LineError> {
        let name = self.field(LineFault::Name, NAME, string)?;
        // The name had invalid UTF-8, which was replaced: the original name is unknown.
        let is_name = |name: &String| !name.is_empty() && !name.contains(char::REPLACEMENT_CHARACTER);
        name.filter(is_name).ok_or_else(|| self.error(LineFault::Name, NAME))
    }

    fn line(&self, name: String) -> EndpointLine {
        let (state, started_at_ms) = (self.state(), self.started_at_ms());
        let known_state = state.as_ref().ok().copied();
        let known_start = started_at_ms.as_ref().ok().copied();
        match self.entry(&name, state, started_at_ms) {
            Ok(entry) => EndpointLine::Complete(entry),
            Err(reason) => EndpointLine::Partial {
                state: known_state.unwrap_or(State::Draining),
                started_at_ms: known_start,
                reason: reason.with_name(&name),
                name,
            },
        }
    }

    fn entry(
        &self,
        name: &str,
        state: Result<State, LineError>,
        started_at_ms: Result<u64, LineError>,
    ) -> Result<EndpointEntry, LineError> {
        Ok(EndpointEntry {
            name: name.to_string(),
            state: state?,
            address: self.required(LineFault::Address, ADDRESS, address)?,
            partition_group: self.required(LineFault::PartitionGroup, PARTITION_GROUP, partition_group)?,
            started_at_ms: started_at_ms?,
            zone: self.optional(ZONE, string),
            capacity: self.optional(CAPACITY, capacity).unwrap_or(DEFAULT_CAPACITY),
        })
    }

    fn state(&self) -> Result<State, LineError> {
        self.required(LineFault::State, STATE, |text| Some(parse_state(&string(text)?)))
    }

    fn started_at_ms(&self) -> Result<u64, LineError> {
        Ok(self.field(LineFault::StartTime, STARTED_AT_MS, whole_number)?.unwrap_or(0))
    }

    /// Parses a field that must be present and not null.
    fn required<T>(
        &self,
        fault: LineFault,
        key: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Result<T, LineError> {
        self.field(fault, key, read)?.ok_or_else(|| self.error(fault, key))
    }

    /// Parses a field that may be missing or null.
    fn field<T>(
        &self,
        fault: LineFault,
        key: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, LineError> {
        match self.0.get(key) {
            None => Ok(None),
            Some(Some(value)) if value.get() == "null" => Ok(None),
            Some(Some(value)) => read(value.get()).map(Some).ok_or_else(|| self.error(fault, key)),
            Some(None) => Err(self.error(fault, key)),
        }
    }

    /// Parses a field that counts as missing if it is unreadable.
    fn optional<T>(&self, key: &str, read: impl Fn(&str) -> Option<T>) -> Option<T> {
        self.0.get(key).copied().flatten().and_then(|value| read(value.get()))
    }

    fn error(&self, fault: LineFault, key: &str) -> LineError {
        let text = match self.0.get(key) {
            None => "missing",
            Some(None) => "duplicate field",
            Some(Some(value)) => value.get(),
        };
        LineError::new(fault, text)
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for LineFields<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct FieldsVisitor;

        impl<'de> Visitor<'de> for FieldsVisitor {
            type Value = LineFields<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut fields = HashMap::new();
                while let Some((key, value)) = map.next_entry::<String, &'de RawValue>()? {
                    fields.entry(key).and_modify(|field| *field = None).or_insert(Some(value));
                }
                Ok(LineFields(fields))
            }
        }

        deserializer.deserialize_map(FieldsVisitor)
    }
}

/// Treats an unknown state as draining, so that nothing new is sent to the data node.
fn parse_state(name: &str) -> State {
    match name {
        STATE_UP => State::Up,
        STATE_REMOVED => State::Removed,
        _ => State::Draining,
    }
}

fn string(json: &str) -> Option<String> {
    serde_json::from_str(json).ok()
}

fn address(json: &str) -> Option<SocketAddr> {
    string(json)?.parse().ok()
}

fn partition_group(json: &str) -> Option<u32> {
    u32::try_from(whole_number(json)?).ok()
}

fn capacity(json: &str) -> Option<f64> {
    serde_json::from_str(json).ok().filter(|capacity: &f64| capacity.is_finite() && *capacity >= 0.0)
}

/// Parses a non-negative integer, which may be written as a float.
fn whole_number(json: &str) -> Option<u64> {
    serde_json::from_str(json).ok().or_else(|| whole_float(json))
}

fn whole_float(json: &str) -> Option<u64> {
    let number = serde_json::from_str::<f64>(json).ok()?;
    (number.fract() == 0.0 && (0.0..=MAX_EXACT_FLOAT).contains(&number)).then_some(number as u64)
}

impl fmt::Display for LineFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAnObject => f.write_str("the line is not a JSON object"),
            Self::Name => write!(f, "{NAME} is not a name"),
            Self::State => write!(f, "{STATE} is not a state"),
            Self::Address => write!(f, "{ADDRESS} is not an address"),
            Self::PartitionGroup => write!(f, "{PARTITION_GROUP} is not a partition group"),
            Self::StartTime => write!(f, "{STARTED_AT_MS} is not a time"),
            Self::NotAnUpdate => f.write_str("the object is not a membership update"),
            Self::TooLong => f.write_str("the object is too long"),
            Self::UnexpectedByte => f.write_str("expected a JSON object"),
        }
    }
}
