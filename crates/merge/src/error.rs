//! Errors of a value and of its rows.

use std::fmt;

use crate::units::Overflow;
use crate::{Range, Version};

/// Why a value is refused. Its attempt counts as one that may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidValue {
    /// It is not in the form that is published; what is wrong with it.
    Malformed(String),
    /// It speaks for this range, and another was asked.
    WrongRange(Range),
    /// Its data changed from one version to another while it was read.
    MixedVersions(Version, Version),
    /// Its data is older than what the client has seen already: its version, and the least that will do.
    StaleVersion(Version, Version),
    /// It contradicts itself or the query.
    Inconsistent(String),
}

impl fmt::Display for InvalidValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(what) => write!(f, "the value is malformed: {what}"),
            Self::WrongRange(range) => write!(f, "the value speaks for range {range}"),
            Self::MixedVersions(a, b) => {
                write!(f, "the data changed from version {a} to {b} while it was read")
            }
            Self::StaleVersion(at, least) => {
                write!(f, "the replica is at version {at}, and {least} has been seen")
            }
            Self::Inconsistent(what) => write!(f, "the value contradicts itself: {what}"),
        }
    }
}

impl std::error::Error for InvalidValue {}

pub(crate) fn malformed(what: impl fmt::Display) -> InvalidValue {
    InvalidValue::Malformed(what.to_string())
}

pub(crate) fn inconsistent(what: &str) -> InvalidValue {
    InvalidValue::Inconsistent(what.to_string())
}

/// Why rows cannot be merged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowError {
    /// A row cannot be read.
    InvalidValue(InvalidValue),
    /// A sum does not fit 128 bits.
    Overflow,
}

impl From<InvalidValue> for RowError {
    fn from(invalid: InvalidValue) -> Self {
        Self::InvalidValue(invalid)
    }
}

impl From<Overflow> for RowError {
    fn from(_: Overflow) -> Self {
        Self::Overflow
    }
}
