//! One line of the membership (pure). Each field is read on its own: what cannot be read costs as little as possible.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

use curlewdeck_membership::State;
use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use super::fault::{LineError, LineFault};

/// A state that is not known counts as draining: nothing new is sent there.
fn state_named(name: &str) -> State {
    match name {
        "up" => State::Up,
        "removed" => State::Removed,
        _ => State::Draining,
    }
}

/// A line of which all that is needed can be read.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The data node's name.
    pub uid: String,
    /// Its address.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub zone: Option<String>,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: State,
    /// Its size for comparison: finite and not negative.
    pub capacity: f64,
    /// When it last started, as Unix time in milliseconds; 0 means long ago.
    pub boot_ms: u64,
}

/// A line, as far as it can be read.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointLine {
    /// All that is needed.
    Whole(EndpointEntry),
    /// Name and state only: enough to shut the data node's gate, and too little to open it.
    Partial {
        /// The data node's name.
        uid: String,
        /// Its state; draining where that cannot be read.
        state: State,
        /// When it last started, if that can be read; 0 where it is left out.
        boot_ms: Option<u64>,
        /// Why the rest cannot be used.
        reason: LineError,
    },
    /// It is not known which data node the line is of.
    Unreadable(LineError),
}

impl EndpointLine {
    /// Reads a line's text.
    pub fn read(text: &str) -> Self {
        let Ok(fields) = serde_json::from_str::<Fields>(text) else {
            return Self::Unreadable(LineError::new(LineFault::NotAnObject, text));
        };
        match fields.uid() {
            Ok(uid) => fields.line(uid),
            Err(reason) => Self::Unreadable(reason),
        }
    }

    /// Why some of it cannot be used.
    pub fn error(&self) -> Option<&LineError> {
        match self {
            Self::Whole(_) => None,
            Self::Partial { reason, .. } | Self::Unreadable(reason) => Some(reason),
        }
    }
}

const DEFAULT_CAPACITY: f64 = 1.0;

/// The fields of a line by name, each as the text that it came as; nothing for one that is given twice.
struct Fields<'a>(HashMap<String, Option<&'a RawValue>>);

impl Fields<'_> {
    fn uid(&self) -> Result<String, LineError> {
        let uid = self.field(LineFault::Uid, "uid", |text| serde_json::from_str::<String>(text).ok())?;
        // A replacement character stands for bytes that were no text: which name it was is not known.
        let named = |uid: &String| !uid.is_empty() && !uid.contains(char::REPLACEMENT_CHARACTER);
        uid.filter(named).ok_or_else(|| self.error(LineFault::Uid, "uid"))
    }

    fn line(&self, uid: String) -> EndpointLine {
        let (state, boot_ms) = (self.state(), self.boot_ms());
        let (state_read, boot_read) = (state.as_ref().ok().copied(), boot_ms.as_ref().ok().copied());
        match self.entry(&uid, state, boot_ms) {
            Ok(entry) => EndpointLine::Whole(entry),
            Err(reason) => EndpointLine::Partial {
                state: state_read.unwrap_or(State::Draining),
                boot_ms: boot_read,
                reason: reason.at(&uid),
                uid,
            },
        }
    }

    fn entry(
        &self,
        uid: &str,
        state: Result<State, LineError>,
        boot_ms: Result<u64, LineError>,
    ) -> Result<EndpointEntry, LineError> {
        Ok(EndpointEntry {
            uid: uid.to_string(),
            state: state?,
            endpoint: self.required(LineFault::Endpoint, "endpoint", address)?,
            cell: self.required(LineFault::Cell, "pod_group", |t| u32::try_from(whole_number(t)?).ok())?,
            boot_ms: boot_ms?,
            zone: self.optional("az", |text| serde_json::from_str(text).ok()),
            capacity: self.optional("capacity_hint", capacity).unwrap_or(DEFAULT_CAPACITY),
        })
    }

    fn state(&self) -> Result<State, LineError> {
        let named = |text: &str| Some(state_named(&serde_json::from_str::<String>(text).ok()?));
        self.required(LineFault::State, "state", named)
    }

    fn boot_ms(&self) -> Result<u64, LineError> {
        Ok(self.field(LineFault::Started, "boot_ms", whole_number)?.unwrap_or(0))
    }

    /// A field that must be there.
    fn required<T>(
        &self,
        fault: LineFault,
        key: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Result<T, LineError> {
        self.field(fault, key, read)?.ok_or_else(|| self.error(fault, key))
    }

    /// A field that may be missing or null, and is no news then.
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

    /// A field that counts as missing where it cannot be read.
    fn optional<T>(&self, key: &str, read: impl Fn(&str) -> Option<T>) -> Option<T> {
        self.0.get(key).copied().flatten().and_then(|value| read(value.get()))
    }

    fn error(&self, fault: LineFault, key: &str) -> LineError {
        let text = match self.0.get(key) {
            None => "missing",
            Some(None) => "given twice",
            Some(Some(value)) => value.get(),
        };
        LineError::new(fault, text)
    }
}

fn address(text: &str) -> Option<SocketAddr> {
    serde_json::from_str::<String>(text).ok()?.parse().ok()
}

fn capacity(text: &str) -> Option<f64> {
    serde_json::from_str(text).ok().filter(|capacity: &f64| capacity.is_finite() && *capacity >= 0.0)
}

/// The largest number up to which each whole number has a float of its own.
const MOST_EXACT: f64 = 9_007_199_254_740_992.0;

/// A whole number that is not negative, also where it is written as a float.
pub(super) fn whole_number(text: &str) -> Option<u64> {
    let float = || {
        let number = serde_json::from_str::<f64>(text).ok()?;
        (number.fract() == 0.0 && (0.0..=MOST_EXACT).contains(&number)).then_some(number as u64)
    };
    serde_json::from_str(text).ok().or_else(float)
}

impl<'de: 'a, 'a> Deserialize<'de> for Fields<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ByName;

        impl<'de> Visitor<'de> for ByName {
            type Value = Fields<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut fields = HashMap::new();
                while let Some((key, value)) = map.next_entry::<String, &'de RawValue>()? {
                    fields.entry(key).and_modify(|field| *field = None).or_insert(Some(value));
                }
                Ok(Fields(fields))
            }
        }

        deserializer.deserialize_map(ByName)
    }
}
