//! A stand-in for what data nodes do with a mergeable query, written from `docs/merge-format.md` alone: it shares no
//! code with the program. A range's data has versions; a replica serves one of them.
#![allow(dead_code)]

use std::collections::BTreeMap;

use serde_json::{json, Value as Json};

/// A row: its measure, and a body to be passed on.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    pub measure: i64,
    pub body: Option<String>,
}

/// A range's rows at one version, by key.
pub type Snapshot = BTreeMap<String, Row>;

/// A range's data, one snapshot a version: version 1 is the first.
#[derive(Debug, Clone, Default)]
pub struct History(pub Vec<Snapshot>);

impl History {
    pub fn latest(&self) -> u64 {
        self.0.len() as u64
    }

    pub fn at(&self, version: u64) -> &Snapshot {
        &self.0[version as usize - 1]
    }

    /// Changes the data: one version more.
    pub fn change(&mut self, change: impl FnOnce(&mut Snapshot)) {
        let mut next = self.0.last().cloned().unwrap_or_default();
        change(&mut next);
        self.0.push(next);
    }
}

/// How a replica answers.
#[derive(Debug, Clone, Copy)]
pub struct Manner {
    /// It says nothing of what follows beyond that something does.
    pub terse: bool,
    /// It gives no total.
    pub no_total: bool,
    /// At most so many rows fit what it may send.
    pub room: usize,
    /// Bytes that a value may have; a row that cannot be sent is named instead.
    pub bytes: usize,
}

impl Default for Manner {
    fn default() -> Self {
        Self { terse: false, no_total: false, room: usize::MAX, bytes: 200_000 }
    }
}

fn total(measures: &[i64]) -> Json {
    let sum: i128 = measures.iter().map(|&m| i128::from(m)).sum();
    let sum = i64::try_from(sum).map_or_else(|_| json!(sum.to_string()), |s| json!(s));
    json!({"rows": measures.len(), "sum": sum, "min": measures.iter().min(), "max": measures.iter().max()})
}

fn quoted(key: &str) -> String {
    Json::from(key).to_string()
}

/// The measures of rows that a key has in common.
fn grouped(rows: &Snapshot) -> BTreeMap<String, Vec<i64>> {
    let mut groups: BTreeMap<String, Vec<i64>> = BTreeMap::new();
    for (key, row) in rows {
        let group = key.split('#').next().unwrap_or(key).to_string();
        groups.entry(group).or_default().push(row.measure);
    }
    groups
}

/// A row as it is sent: key, measure and JSON.
type Line = (String, i64, String);

/// The rows or groups as they are sent, in key order.
fn lines(rows: &Snapshot, grouped_by: bool, folds: bool) -> Vec<Line> {
    if grouped_by {
        let line = |(key, m): (String, Vec<i64>)| {
            let sum: i64 = m.iter().sum();
            let row = match folds {
                true => format!(
                    "[{},{},{sum},{},{}]",
                    quoted(&key),
                    m.len(),
                    m.iter().min().unwrap_or(&0),
                    m.iter().max().unwrap_or(&0)
                ),
                false => format!("[{},{sum}]", quoted(&key)),
            };
            (key, sum, row)
        };
        grouped(rows).into_iter().map(line).collect()
    } else {
        let line = |(key, row): (&String, &Row)| {
            let body = row.body.as_ref().map(|b| format!(",{b}")).unwrap_or_default();
            (key.clone(), row.measure, format!("[{},{}{body}]", quoted(key), row.measure))
        };
        rows.iter().map(line).collect()
    }
}

/// How many lines fit what the replica may send.
fn count_fitting(lines: &[Line], limit: usize, manner: Manner) -> usize {
    let mut given = 0;
    let mut bytes = 300;
    while given < lines.len().min(limit).min(manner.room) && bytes + lines[given].2.len() < manner.bytes {
        bytes += lines[given].2.len() + 1;
        given += 1;
    }
    given
}

/// What the header says of the lines that are not sent, if there are any.
fn remainder(lines: &[Line], manner: Manner) -> Option<Json> {
    let left: Vec<i64> = lines.iter().map(|l| l.1).collect();
    if left.is_empty() {
        return None;
    }
    Some(match manner.terse {
        true => json!({}),
        false => json!({"rows": left.len(), "most": left.iter().max(), "least": left.iter().min()}),
    })
}

/// A replica's value for a query's text; rows whose keys begin alike before a `#` are one group. None where it
/// cannot use the text, or has no data that is new enough.
pub fn answer(rows: &Snapshot, version: u64, text: &str, manner: Manner) -> Option<String> {
    let query: Json = serde_json::from_str(text).ok()?;
    if query["v"] != 1 {
        return None;
    }
    let (op, descending) = (query["op"].as_str()?, query["order"] == "desc");
    let (limit, grouped_by) = (query["limit"].as_u64()? as usize, query["grouped"] == true);
    let admits = |key: &str| match (query["after"].as_str(), query["from"].as_str()) {
        (Some(after), _) => key > after,
        (_, Some(from)) => key >= from,
        _ => true,
    };
    let mut head = json!({
        "v": 1, "range": query["range"], "version": version, "until": version, "scale": query["scale"],
    });
    let all: Vec<i64> = rows.values().map(|r| r.measure).collect();
    let folds = !matches!(op, "rank" | "list");
    if folds && !grouped_by {
        head["total"] = total(&all);
        return Some(head.to_string());
    }
    let mut lines = lines(rows, grouped_by, folds);
    if op == "rank" {
        lines.sort_by(|a, b| if descending { b.1.cmp(&a.1) } else { a.1.cmp(&b.1) }.then(a.0.cmp(&b.0)));
    } else {
        lines.retain(|l| admits(&l.0));
    }
    if !folds && !manner.no_total && query["after"].is_null() && query["from"].is_null() {
        let measures: Vec<i64> = lines.iter().map(|l| l.1).collect();
        head["total"] = total(&measures);
    }
    let given = count_fitting(&lines, limit, manner);
    if given == 0 && !lines.is_empty() {
        head["too_large"] = json!({"key": lines[0].0, "bytes": lines[0].2.len()});
        if let Some(head) = head.as_object_mut() {
            head.remove("total");
        }
        return Some(head.to_string());
    }
    if let Some(remainder) = remainder(&lines[given..], manner) {
        head["rest"] = remainder;
    }
    head["rows"] = json!(given);
    let mut text = head.to_string();
    for line in &lines[..given] {
        text.push('\n');
        text.push_str(&line.2);
    }
    Some(text)
}
