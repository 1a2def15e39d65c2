//! A frontend's check of the values that data nodes return.

use std::fmt;
use std::sync::Arc;

use super::optional_check::OptionalCheck;
use super::outcome::Value;
use crate::api::ShardId;

/// Returns whether a value is valid for a shard.
pub type IsValid = dyn Fn(ShardId, &Value) -> bool + Send + Sync;

/// A frontend's check of the values for a part. It is called once for each value that arrives while the part has no
/// value. Without a check every value is valid.
#[derive(Clone, Default, PartialEq)]
pub struct ResponseValidator(OptionalCheck<IsValid>);

impl ResponseValidator {
    /// Creates a validator that accepts the values for which `is_valid` returns true.
    pub fn new(is_valid: impl Fn(ShardId, &Value) -> bool + Send + Sync + 'static) -> Self {
        Self(OptionalCheck::new(Arc::new(is_valid)))
    }

    /// Returns whether the value is valid for the shard.
    pub(super) fn accepts(&self, shard: ShardId, value: &Value) -> bool {
        self.0.get().is_none_or(|is_valid| is_valid(shard, value))
    }
}

impl fmt::Debug for ResponseValidator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt_as("ResponseValidator", f)
    }
}
