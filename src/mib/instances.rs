//! Collects object instances under their full OIDs.

use curlewdeck_snmp::tree::Value;
use curlewdeck_snmp::Oid;

use super::{ROOT, SYSTEM, TABLES_ARC};

/// Column of a table that holds its index and is not served; value columns follow it.
const INDEX_COLUMN: u32 = 1;

/// Object instances in insertion order.
#[derive(Debug, Default)]
pub(super) struct Instances {
    values: Vec<(Oid, Value)>,
}

impl Instances {
    fn add(&mut self, base: &[u32], arcs: &[u32], value: Value) {
        self.values.push(([base, arcs].concat(), value));
    }

    /// Adds scalars of `system`, numbered from 1.
    pub(super) fn system(&mut self, values: impl IntoIterator<Item = Value>) {
        for (arc, value) in (1..).zip(values) {
            self.add(&SYSTEM, &[arc, 0], value);
        }
    }

    /// Adds the scalars of a group, numbered from 1.
    pub(super) fn scalars(&mut self, group_arc: u32, values: impl IntoIterator<Item = Value>) {
        for (arc, value) in (1..).zip(values) {
            self.add(&ROOT, &[group_arc, arc, 0], value);
        }
    }

    /// Adds a row of a table; `values` holds the columns that follow the index column.
    pub(super) fn row(&mut self, table_arc: u32, index: &[u32], values: impl IntoIterator<Item = Value>) {
        for (column, value) in (INDEX_COLUMN + 1..).zip(values) {
            let base = [&ROOT[..], &[TABLES_ARC, table_arc, 1, column]].concat();
            self.add(&base, index, value);
        }
    }

    pub(super) fn into_values(self) -> Vec<(Oid, Value)> {
        self.values
    }
}

/// Converts a number to a gauge, saturating at the largest gauge value.
pub(super) fn gauge(number: u64) -> Value {
    Value::Gauge(u32::try_from(number).unwrap_or(u32::MAX))
}

pub(super) fn text(text: &str) -> Value {
    Value::Text(text.as_bytes().to_vec())
}
