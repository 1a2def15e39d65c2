//! Errors of values, rows and queries.

use std::fmt;

use crate::coverage::Coverage;
use crate::units::Overflow;
use crate::{Range, Version};

/// Why a value is rejected. Its attempt counts as one that may have been executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidValue {
    /// The value does not have the published format; holds the details.
    Malformed(String),
    /// The value belongs to this range instead of the requested one.
    WrongRange(Range),
    /// The data changed while it was read: the versions at the beginning and at the end.
    MixedVersions(Version, Version),
    /// The data is older than the client has already seen: its version, and the minimum accepted version.
    StaleVersion(Version, Version),
    /// The value is inconsistent in itself or with the query; holds the details.
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
    /// A row is malformed.
    InvalidValue(InvalidValue),
    /// A sum does not fit 128 bits, or a row count 64 bits.
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

/// Why a query fails.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeError {
    /// The coverage is below the minimum of the class, or no range is included.
    BelowMinimumCoverage(Coverage),
    /// A sum does not fit 128 bits, or a row count 64 bits.
    Overflow,
    /// A value that passed validation cannot be parsed.
    InvalidValue(InvalidValue),
}

impl fmt::Display for MergeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BelowMinimumCoverage(coverage) => {
                write!(f, "only {} of the data is in", coverage.decimal())?;
                match coverage.missing.iter().next() {
                    Some((range, reason)) => write!(f, "; range {range}: {reason}"),
                    None => Ok(()),
                }
            }
            Self::Overflow => Overflow.fmt(f),
            Self::InvalidValue(invalid) => invalid.fmt(f),
        }
    }
}

impl std::error::Error for MergeError {}

impl From<Overflow> for MergeError {
    fn from(_: Overflow) -> Self {
        Self::Overflow
    }
}

impl From<InvalidValue> for MergeError {
    fn from(invalid: InvalidValue) -> Self {
        Self::InvalidValue(invalid)
    }
}

impl From<RowError> for MergeError {
    fn from(error: RowError) -> Self {
        match error {
            RowError::InvalidValue(invalid) => Self::InvalidValue(invalid),
            RowError::Overflow => Self::Overflow,
        }
    }
}
