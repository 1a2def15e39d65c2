//! Aggregates over all ranges, each of which counts once.

use std::collections::BTreeMap;

use crate::aggregate::Aggregate;
use crate::error::InvalidValue;
use crate::units::Overflow;
use crate::value::Header;
use crate::{Range, Version};

/// Adds up the totals of ranges, each range once.
#[derive(Debug, Clone, Default)]
pub struct Aggregator {
    ranges: BTreeMap<Range, (Version, Aggregate)>,
}

impl Aggregator {
    /// Takes a range's value; the first one counts, and a further one adds nothing. Returns whether it counted.
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

    /// Each range's version and figures.
    pub fn ranges(&self) -> &BTreeMap<Range, (Version, Aggregate)> {
        &self.ranges
    }

    /// The figures over all ranges that are in.
    ///
    /// # Errors
    /// They do not fit.
    pub fn total(&self) -> Result<Aggregate, Overflow> {
        self.ranges.values().try_fold(Aggregate::default(), |sum, (_, aggregate)| sum.merge(aggregate))
    }
}

#[cfg(test)]
mod tests;
