//! Collects the instances of objects with their full names.

use curlewdeck_snmp::tree::Value;
use curlewdeck_snmp::Oid;

use super::{ROOT, SYSTEM, TABLES_ARC};

/// The column of a table's entry that is its own index; columns with values follow it.
const INDEX_COLUMN: u32 = 1;

/// Instances of objects in the order in which they were added.
#[derive(Debug, Default)]
pub(super) struct Instances {
    values: Vec<(Oid, Value)>,
}

impl Instances {
    fn add(&mut self, base: &[u32], arcs: &[u32], value: Value) {
        self.values.push(([base, arcs].concat(), value));
    }

    /// Adds the objects of `system`, from its first.
    pub(super) fn system(&mut self, values: impl IntoIterator<Item = Value>) {
        for (arc, value) in (1..).zip(values) {
            self.add(&SYSTEM, &[arc, 0], value);
        }
    }

    /// Adds the scalars of a group, from its first.
    pub(super) fn scalars(&mut self, group_arc: u32, values: impl IntoIterator<Item = Value>) {
        for (arc, value) in (1..).zip(values) {
            self.add(&ROOT, &[group_arc, arc, 0], value);
        }
    }

    /// Adds a row of a table: the values of the columns behind its index.
    pub(super) fn row(&mut self, table_arc: u32, index: &[u32], values: impl IntoIterator<Item = Value>) {
        for (column, value) in (INDEX_COLUMN + 1..).zip(values) {
            let base = [&ROOT[..], &[TABLES_ARC, table_arc, 1, column]].concat();
            self.add(&base, index, value);
        }
    }

    /// All instances.
    pub(super) fn into_values(self) -> Vec<(Oid, Value)> {
        self.values
    }
}

/// A gauge stays at its largest value where the figure does not fit.
pub(super) fn gauge(figure: u64) -> Value {
    Value::Gauge(u32::try_from(figure).unwrap_or(u32::MAX))
}

/// A text.
pub(super) fn text(text: &str) -> Value {
    Value::Text(text.as_bytes().to_vec())
}
