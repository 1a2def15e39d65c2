//! A simulated data node for mergeable queries, implemented from `docs/merge-format.md` alone, without code of the
//! program. A range's data has versions; a replica serves one of them.
#![allow(dead_code)]

use std::collections::BTreeMap;

use serde_json::{json, Value as Json};

/// A row: its measure, and an optional JSON body that answers return unchanged.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    pub measure: i64,
    pub body: Option<String>,
}

/// A range's rows at one version, by key.
pub type Snapshot = BTreeMap<String, Row>;

/// A range's data, one snapshot per version, beginning with version 1.
#[derive(Debug, Clone, Default)]
pub struct History(pub Vec<Snapshot>);

impl History {
    pub fn latest(&self) -> u64 {
        self.0.len() as u64
    }

    pub fn snapshot(&self, version: u64) -> &Snapshot {
        &self.0[version as usize - 1]
    }

    /// Applies a change to a copy of the latest snapshot and appends it as a new version.
    pub fn change(&mut self, change: impl FnOnce(&mut Snapshot)) {
        let mut next = self.0.last().cloned().unwrap_or_default();
        change(&mut next);
        self.0.push(next);
    }
}

/// Options of a replica's values.
#[derive(Debug, Clone, Copy)]
pub struct ValueOptions {
    /// Omits the row count and the bounds of the remainder.
    pub omit_bounds: bool,
    /// Omits the total.
    pub omit_total: bool,
    /// Maximum number of rows in a value.
    pub max_rows: usize,
    /// Maximum size of a value, in bytes; if the first row exceeds it, the value reports that row as too large.
    pub max_bytes: usize,
}

impl Default for ValueOptions {
    fn default() -> Self {
        Self { omit_bounds: false, omit_total: false, max_rows: usize::MAX, max_bytes: 200_000 }
    }
}

fn total(measures: &[i64]) -> Json {
    let sum: i128 = measures.iter().map(|&m| i128::from(m)).sum();
    let sum = i64::try_from(sum).map_or_else(|_| json!(sum.to_string()), |s| json!(s));
    json!({"rows": measures.len(), "sum": sum, "min": measures.iter().min(), "max": measures.iter().max()})
}

fn to_json_string(key: &str) -> String {
    Json::from(key).to_string()
}

/// The measures of each group's rows.
fn group_measures(rows: &Snapshot) -> BTreeMap<String, Vec<i64>> {
    let mut groups: BTreeMap<String, Vec<i64>> = BTreeMap::new();
    for (key, row) in rows {
        let group = key.split('#').next().unwrap_or(key).to_string();
        groups.entry(group).or_default().push(row.measure);
    }
    groups
}

/// A row in a value: key, measure and JSON.
type EncodedRow = (String, i64, String);

/// Encodes the rows or groups in key order.
fn encode_rows(rows: &Snapshot, grouped: bool, aggregates: bool) -> Vec<EncodedRow> {
    if grouped {
        let encode = |(key, m): (String, Vec<i64>)| {
            let sum: i64 = m.iter().sum();
            let row = match aggregates {
                true => format!(
                    "[{},{},{sum},{},{}]",
                    to_json_string(&key),
                    m.len(),
                    m.iter().min().unwrap_or(&0),
                    m.iter().max().unwrap_or(&0)
                ),
                false => format!("[{},{sum}]", to_json_string(&key)),
            };
            (key, sum, row)
        };
        group_measures(rows).into_iter().map(encode).collect()
    } else {
        let encode = |(key, row): (&String, &Row)| {
            let body = row.body.as_ref().map(|b| format!(",{b}")).unwrap_or_default();
            (key.clone(), row.measure, format!("[{},{}{body}]", to_json_string(key), row.measure))
        };
        rows.iter().map(encode).collect()
    }
}

/// Counts the leading rows that fit into a value.
fn count_fitting(rows: &[EncodedRow], limit: usize, options: ValueOptions) -> usize {
    let mut count = 0;
    let mut bytes = 300;
    while count < rows.len().min(limit).min(options.max_rows)
        && bytes + rows[count].2.len() < options.max_bytes
    {
        bytes += rows[count].2.len() + 1;
        count += 1;
    }
    count
}

/// The header's description of the omitted rows; `None` if there are none.
fn remainder(omitted: &[EncodedRow], options: ValueOptions) -> Option<Json> {
    let measures: Vec<i64> = omitted.iter().map(|row| row.1).collect();
    if measures.is_empty() {
        return None;
    }
    Some(match options.omit_bounds {
        true => json!({}),
        false => {
            json!({"rows": measures.len(), "most": measures.iter().max(), "least": measures.iter().min()})
        }
    })
}

/// A replica's value for a request text. Rows whose keys are equal up to a `#` form one group. `None` if the request is
/// malformed or has another format version.
pub fn replica_value(rows: &Snapshot, version: u64, text: &str, options: ValueOptions) -> Option<String> {
    let query: Json = serde_json::from_str(text).ok()?;
    if query["v"] != 1 {
        return None;
    }
    let (op, descending) = (query["op"].as_str()?, query["order"] == "desc");
    let (limit, grouped) = (query["limit"].as_u64()? as usize, query["grouped"] == true);
    let admits = |key: &str| match (query["after"].as_str(), query["from"].as_str()) {
        (Some(after), _) => key > after,
        (_, Some(from)) => key >= from,
        _ => true,
    };
    let mut head = json!({
        "v": 1, "range": query["range"], "version": version, "until": version, "scale": query["scale"],
    });
    let all: Vec<i64> = rows.values().map(|r| r.measure).collect();
    let aggregates = !matches!(op, "rank" | "list");
    if aggregates && !grouped {
        head["total"] = total(&all);
        return Some(head.to_string());
    }
    let mut encoded = encode_rows(rows, grouped, aggregates);
    if op == "rank" {
        encoded.sort_by(|a, b| if descending { b.1.cmp(&a.1) } else { a.1.cmp(&b.1) }.then(a.0.cmp(&b.0)));
    } else {
        encoded.retain(|row| admits(&row.0));
    }
    if !aggregates && !options.omit_total && query["after"].is_null() && query["from"].is_null() {
        let measures: Vec<i64> = encoded.iter().map(|row| row.1).collect();
        head["total"] = total(&measures);
    }
    let count = count_fitting(&encoded, limit, options);
    if count == 0 && !encoded.is_empty() {
        head["too_large"] = json!({"key": encoded[0].0, "bytes": encoded[0].2.len()});
        if let Some(head) = head.as_object_mut() {
            head.remove("total");
        }
        return Some(head.to_string());
    }
    if let Some(remainder) = remainder(&encoded[count..], options) {
        head["rest"] = remainder;
    }
    head["rows"] = json!(count);
    let mut text = head.to_string();
    for row in &encoded[..count] {
        text.push('\n');
        text.push_str(&row.2);
    }
    Some(text)
}
