//! Aggregation over all ranges, counting each range once.

use std::collections::BTreeMap;

use crate::aggregate::Aggregate;
use crate::error::InvalidValue;
use crate::units::Overflow;
use crate::value::Header;
use crate::{Range, Version};

/// Merges the totals of ranges, counting each range once.
#[derive(Debug, Clone, Default)]
pub struct Aggregator {
    ranges: BTreeMap<Range, (Version, Aggregate)>,
}

impl Aggregator {
    /// Adds a range's total and returns true if it is the range's first. Ignores further totals of the same range.
    ///
    /// # Errors
    /// The value has no total.
    pub fn add(&mut self, header: &Header) -> Result<bool, InvalidValue> {
        let total = header.total.ok_or_else(|| InvalidValue::Malformed("a total is expected".into()))?;
        let first = !self.ranges.contains_key(&header.range);
        if first {
            self.ranges.insert(header.range, (header.version, total.aggregate()));
        }
        Ok(first)
    }

    /// The version and aggregate of each range added so far.
    pub fn ranges(&self) -> &BTreeMap<Range, (Version, Aggregate)> {
        &self.ranges
    }

    /// The aggregate over all ranges added so far.
    ///
    /// # Errors
    /// The sum does not fit 128 bits, or the row count 64 bits.
    pub fn total(&self) -> Result<Aggregate, Overflow> {
        self.ranges.values().try_fold(Aggregate::default(), |sum, (_, aggregate)| sum.merge(aggregate))
    }
}

#[cfg(test)]
mod tests;
