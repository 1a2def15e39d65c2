//! Holds each answer against the exact one, which is computed straight from the data.
#![allow(dead_code)]

use std::collections::BTreeMap;

use serde_json::Value as Json;

use super::stand_in::{History, Snapshot};

/// What is asked, as the checker understands it.
#[derive(Debug, Clone)]
pub struct Asked {
    pub op: &'static str,
    pub descending: bool,
    pub grouped: bool,
    pub limit: usize,
    pub floor: f64,
}

/// Whatever is wrong with an answer.
pub type Verdict = Result<(), String>;

macro_rules! ensure {
    ($holds:expr, $($why:tt)*) => {
        if !$holds {
            return Err(format!($($why)*));
        }
    };
}

fn number(value: &Json) -> Option<i128> {
    // Scale 2: a decimal with its point taken out.
    value.as_str()?.replace('.', "").parse().ok()
}

/// The data that an answer speaks of: ranges that are in at their versions, and missing ones that it bounds at the
/// versions that it names. What is missing and not bounded could be anything.
struct Spoken<'a> {
    there: BTreeMap<u32, &'a Snapshot>,
    bounded: BTreeMap<u32, &'a Snapshot>,
    unknown: usize,
}

fn spoken<'a>(answer: &Json, data: &'a [History]) -> Result<Spoken<'a>, String> {
    let mut there = BTreeMap::new();
    for range in answer["ranges"].as_array().ok_or("no ranges")? {
        let (at, version) =
            (range["range"].as_u64().ok_or("no range")?, range["version"].as_u64().ok_or("no version")?);
        let history = &data[at as usize];
        ensure!((1..=history.latest()).contains(&version), "range {at} never had version {version}");
        ensure!(there.insert(at as u32, history.at(version)).is_none(), "range {at} is named twice");
    }
    let (mut bounded, mut unknown) = (BTreeMap::new(), 0);
    for gap in answer["missing"].as_array().ok_or("no missing")? {
        let at = gap["range"].as_u64().ok_or("no range")? as u32;
        ensure!(!there.contains_key(&at), "range {at} is in and missing");
        match gap["boundedAtVersion"].as_u64() {
            Some(version) => drop(bounded.insert(at, data[at as usize].at(version))),
            None => unknown += 1,
        }
    }
    ensure!(there.len() + bounded.len() + unknown == data.len(), "a range is not spoken of");
    Ok(Spoken { there, bounded, unknown })
}

fn group_of(key: &str) -> String {
    key.split('#').next().unwrap_or(key).to_string()
}

/// Key, range and measure of all rows, best first.
fn ranked(asked: &Asked, spoken: &Spoken) -> Vec<(String, Option<u32>, i128)> {
    let all = || spoken.there.iter().chain(&spoken.bounded);
    let mut rows: Vec<(String, Option<u32>, i128)> = Vec::new();
    if asked.grouped {
        let mut sums: BTreeMap<String, i128> = BTreeMap::new();
        for (_, rows) in all() {
            rows.iter().for_each(|(k, r)| *sums.entry(group_of(k)).or_default() += i128::from(r.measure));
        }
        rows.extend(sums.into_iter().map(|(k, m)| (k, None, m)));
    } else {
        for (range, snapshot) in all() {
            rows.extend(snapshot.iter().map(|(k, r)| (k.clone(), Some(*range), r.measure.into())));
        }
    }
    let best = |m: i128| if asked.descending { -m } else { m };
    rows.sort_by(|a, b| (best(a.2), &a.0, a.1).cmp(&(best(b.2), &b.0, b.1)));
    rows
}

/// Checks one answer's claims.
pub fn check(asked: &Asked, answer: &Json, data: &[History]) -> Verdict {
    let spoken = spoken(answer, data)?;
    let missing = data.len() - spoken.there.len();
    let share = (spoken.there.len() * 1_000_000 / data.len()) as i128;
    ensure!(
        number(&answer["coverage"]) == Some(share),
        "coverage {} for {share} millionths",
        answer["coverage"]
    );
    let whole = answer["whole"] == true;
    ensure!(!whole || missing == 0, "whole, and {missing} ranges are missing");
    let enough = spoken.there.len() as f64 + 1e-9 >= asked.floor * data.len() as f64;
    ensure!(enough, "an answer below the floor of {}", asked.floor);
    let rows = answer["rows"].as_array().ok_or("no rows")?;
    ensure!(rows.len() <= asked.limit, "more rows than the limit");
    match asked.op {
        "rank" => check_rank(asked, answer, &spoken, rows, whole),
        "list" => check_list(&spoken, rows),
        // Held against what the pages before it gave: see `Walk`.
        _ if asked.grouped => Ok(()),
        _ => check_figure(asked, answer, &spoken, whole),
    }
}

fn check_rank(asked: &Asked, answer: &Json, spoken: &Spoken, rows: &[Json], whole: bool) -> Verdict {
    let exact = ranked(asked, spoken);
    let certain = answer["certain"].as_u64().ok_or("no certain")? as usize;
    ensure!(certain <= rows.len(), "more rows are certain than there are");
    ensure!(certain == 0 || spoken.unknown == 0, "rows are certain, and a range is not bounded");
    for (n, row) in rows.iter().enumerate() {
        let (key, value) = (row["key"].as_str().ok_or("no key")?, number(&row["value"]).ok_or("no value")?);
        let range = row["range"].as_u64().map(|r| r as u32);
        if n < certain {
            let at = exact.get(n).ok_or_else(|| format!("row {n} is certain and does not exist"))?;
            ensure!(at.0 == key && at.1 == range, "row {n} is certain to be {key}, and is {} in truth", at.0);
        }
        let truth = exact.iter().find(|e| e.0 == key && e.1 == range).map_or(0, |e| e.2);
        if row["exact"] == true {
            ensure!(truth == value || spoken.unknown > 0, "{key} is {truth}, and exactly {value} is claimed");
        } else if spoken.unknown == 0 {
            let low = number(&row["low"]).is_none_or(|low| low <= truth);
            let high = number(&row["high"]).is_none_or(|high| truth <= high);
            ensure!(low && high, "{key} is {truth}, outside of {} and {}", row["low"], row["high"]);
        }
    }
    if whole {
        ensure!(certain == rows.len(), "whole, and not all certain");
        ensure!(rows.len() == exact.len().min(asked.limit), "whole, and not all rows");
    }
    Ok(())
}

fn check_list(spoken: &Spoken, rows: &[Json]) -> Verdict {
    let mut last = None;
    for row in rows {
        let (key, range) =
            (row["key"].as_str().ok_or("no key")?, row["range"].as_u64().ok_or("no range")? as u32);
        let there = spoken.there.get(&range).and_then(|s| s.get(key));
        let there = there.ok_or_else(|| format!("{key} is not in range {range} at its version"))?;
        ensure!(number(&row["value"]) == Some(there.measure.into()), "{key} has another measure");
        let body = there.body.as_ref().map_or(Json::Null, |b| serde_json::from_str(b).unwrap_or(Json::Null));
        ensure!(row["body"] == body, "{key} has another body");
        ensure!(last < Some((key, range)), "{key} is out of order");
        last = Some((key, range));
    }
    Ok(())
}

/// Rows, sum, least and greatest of some measures; none where there are none.
fn figures(measures: &[i128]) -> (i128, i128, Option<i128>, Option<i128>) {
    let sum = measures.iter().sum();
    (measures.len() as i128, sum, measures.iter().min().copied(), measures.iter().max().copied())
}

fn figure(op: &str, measures: &[i128]) -> Option<i128> {
    let (rows, sum, min, max) = figures(measures);
    match op {
        "sum" => Some(sum),
        "count" => Some(rows),
        "min" => min,
        "max" => max,
        _ => None,
    }
}

/// Whether a claimed figure is the exact one, or a mean within half a unit of it.
fn is_figure(op: &str, measures: &[i128], claimed: &Json) -> bool {
    match (op, number(claimed)) {
        ("mean", None) => measures.is_empty(),
        ("mean", Some(mean)) => {
            let (rows, sum, ..) = figures(measures);
            rows > 0 && (2 * (mean * rows - sum)).abs() <= rows
        }
        (_, claimed) => claimed == figure(op, measures),
    }
}

fn measures<'a>(snapshots: impl Iterator<Item = &'a &'a Snapshot>) -> Vec<i128> {
    snapshots.flat_map(|s| s.values().map(|r| r.measure.into())).collect()
}

fn check_figure(asked: &Asked, answer: &Json, spoken: &Spoken, whole: bool) -> Verdict {
    let claimed = &answer["figure"];
    let there = measures(spoken.there.values());
    ensure!(is_figure(asked.op, &there, &claimed["value"]), "{} is not {claimed}", asked.op);
    ensure!(number(&claimed["sum"]) == Some(there.iter().sum()), "the sum is not {claimed}");
    ensure!(claimed["exact"] != true || whole, "exact, and not whole");
    if let Some(within) = claimed.get("within") {
        ensure!(spoken.unknown == 0, "an interval, and a range is not bounded");
        let all = measures(spoken.there.values().chain(spoken.bounded.values()));
        let (low, high) = (number(&within["low"]), number(&within["high"]));
        let (low, high) = (low.ok_or("no low")?, high.ok_or("no high")?);
        let inside = match (asked.op, figures(&all)) {
            ("mean", (rows, sum, ..)) => low * rows <= sum && sum <= high * rows,
            (op, _) => figure(op, &all).is_some_and(|f| low <= f && f <= high),
        };
        ensure!(inside, "the figure lies outside of {within}");
    }
    Ok(())
}

/// Adds up the pages of a walk. It keeps, for each range, how far the pages have gone through its rows; each page
/// must then be the first of what is still owed, none of it twice and nothing passed over.
#[derive(Default)]
pub struct Walk {
    /// By range: the last key and range that pages went through while it was in, and the version seen.
    gone: BTreeMap<u32, ((String, u32), u64)>,
}

impl Walk {
    pub fn page(&mut self, asked: &Asked, answer: &Json, data: &[History]) -> Verdict {
        let spoken = spoken(answer, data)?;
        for range in answer["ranges"].as_array().ok_or("no ranges")? {
            let (at, version) =
                (range["range"].as_u64().unwrap_or(0) as u32, range["version"].as_u64().unwrap_or(0));
            let before = self.gone.get(&at).map_or(0, |g| g.1);
            ensure!(before <= version, "range {at} went back from version {before} to {version}");
        }
        // What is owed, in order: by key and range, with the measures; a group's range is the last of all.
        let mut owed: BTreeMap<(String, u32), Vec<i128>> = BTreeMap::new();
        for (&range, snapshot) in &spoken.there {
            for (key, row) in *snapshot {
                let at = if asked.grouped { (group_of(key), u32::MAX) } else { (key.clone(), range) };
                if self.gone.get(&range).is_none_or(|(gone, _)| at > *gone) {
                    owed.entry(at).or_default().push(row.measure.into());
                }
            }
        }
        let rows = answer["rows"].as_array().ok_or("no rows")?;
        let mut last = None;
        let mut left = owed.iter();
        for row in rows {
            let key = row["key"].as_str().ok_or("no key")?;
            let (at, measures) = left.next().ok_or_else(|| format!("{key} is not owed"))?;
            ensure!(at.0 == key, "{key} comes where {} is owed", at.0);
            if asked.grouped {
                ensure!(is_figure(asked.op, measures, &row["value"]), "{} of {key} is not {row}", asked.op);
                let missing = spoken.there.len() < data.len();
                let late = self.gone.values().any(|(gone, _)| *at <= *gone);
                ensure!(row["exact"] != true || !missing && !late, "{key} is exact, and ranges are missing");
                ensure!((row["late"] == true) == late, "{key} is late, or is not");
            } else {
                ensure!(
                    row["range"] == at.1,
                    "{key} comes from range {} where {} owes it",
                    row["range"],
                    at.1
                );
            }
            last = Some(at.clone());
        }
        let (more, left) = (answer["more"] == true, left.count());
        ensure!(more || left == 0, "{left} rows are owed, and no more are promised");
        ensure!(more || spoken.there.len() == data.len(), "a range is missing, and no more is promised");
        for range in answer["ranges"].as_array().ok_or("no ranges")? {
            let (at, version) =
                (range["range"].as_u64().unwrap_or(0) as u32, range["version"].as_u64().unwrap_or(0));
            let gone = self.gone.entry(at).or_insert_with(|| ((String::new(), 0), version));
            gone.1 = version;
            if let Some(last) = last.clone().filter(|last| *last > gone.0) {
                gone.0 = last;
            }
        }
        Ok(())
    }
}
