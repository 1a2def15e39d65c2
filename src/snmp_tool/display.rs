//! Formats names, values and tables for output.

use std::collections::{BTreeMap, BTreeSet};

use curlewdeck_client::table::columns;
use curlewdeck_snmp::registry::{Module, Syntax};
use curlewdeck_snmp::tree::Value;
use curlewdeck_snmp::{dotted, Oid};

/// Cells of one row by column number.
type Row = BTreeMap<u32, String>;
/// Rows of one table by index.
type Rows = BTreeMap<Oid, Row>;

/// Formats an OID as its MIB name and instance suffix, or as a dotted OID if the MIB does not define it.
pub(super) fn object_name(module: &Module, oid: &[u32]) -> String {
    match module.object_by_oid(oid) {
        Some((name, [])) => name,
        Some((name, instance)) => format!("{name}.{}", dotted(instance)),
        None => dotted(oid),
    }
}

/// Formats a value; enumeration numbers as their labels, text that is not printable as hexadecimal.
pub(super) fn value_text(module: &Module, oid: &[u32], value: &Value) -> String {
    match value {
        Value::Integer(n) => enumerated_name(module, oid, *n).unwrap_or_else(|| n.to_string()),
        Value::Text(text) => match std::str::from_utf8(text) {
            Ok(text) if !text.chars().any(char::is_control) => text.to_string(),
            _ => text.iter().map(|b| format!("{b:02x}")).collect(),
        },
        Value::Name(oid) => dotted(oid),
        Value::Counter32(n) | Value::Gauge(n) => n.to_string(),
        Value::Ticks(n) => format!("{}.{:02} s", n / 100, n % 100),
        Value::Counter64(n) => n.to_string(),
    }
}

fn enumerated_name(module: &Module, oid: &[u32], number: i32) -> Option<String> {
    let (_, object) = module.objects().into_iter().rfind(|(name, _)| oid.starts_with(name))?;
    let Syntax::Enum(names) = object.syntax else { return None };
    names.iter().find(|(_, n)| *n == number).map(|(name, _)| name.to_string())
}

/// Formats tables with one row for each index and one column for each object. Multiple tables are separated by a blank
/// line, in OID order.
pub(super) fn tables_text(module: &Module, objects: &[(Oid, Value)]) -> String {
    let mut tables: BTreeMap<Oid, Rows> = BTreeMap::new();
    for (oid, value) in objects {
        let Some((_, index)) = module.object_by_oid(oid) else { continue };
        let column = &oid[..oid.len() - index.len()];
        let Some((&arc, entry)) = column.split_last() else { continue };
        let row = tables.entry(entry.to_vec()).or_default().entry(index.to_vec()).or_default();
        row.insert(arc, value_text(module, oid, value));
    }
    let texts: Vec<String> = tables.iter().map(|(entry, rows)| table_text(module, entry, rows)).collect();
    texts.join("\n\n")
}

fn table_text(module: &Module, entry: &[u32], rows: &Rows) -> String {
    let arcs: BTreeSet<u32> = rows.values().flat_map(|row| row.keys().copied()).collect();
    let column_name = |arc: &u32| object_name(module, &[entry, &[*arc]].concat());
    let head: Vec<String> =
        std::iter::once("index".to_string()).chain(arcs.iter().map(column_name)).collect();
    let cells = |(index, row): (&Oid, &Row)| -> Vec<String> {
        let cell = |arc: &u32| row.get(arc).cloned().unwrap_or_default();
        std::iter::once(dotted(index)).chain(arcs.iter().map(cell)).collect()
    };
    let body: Vec<Vec<String>> = rows.iter().map(cells).collect();
    columns(&head, &body)
}
