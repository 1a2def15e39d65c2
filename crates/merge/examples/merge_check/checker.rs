//! Compares each answer with the exact one, which is computed directly from the data.
#![allow(dead_code)]

use std::collections::BTreeMap;

use serde_json::Value as Json;

use super::stand_in::{History, Snapshot};

/// The properties of a query that the checker needs.
#[derive(Debug, Clone)]
pub struct CheckedQuery {
    pub op: &'static str,
    pub descending: bool,
    pub grouped: bool,
    pub limit: usize,
    pub min_coverage: f64,
}

/// The outcome of a check; the error describes what is wrong with the answer.
pub type CheckResult = Result<(), String>;

macro_rules! ensure {
    ($holds:expr, $($why:tt)*) => {
        if !$holds {
            return Err(format!($($why)*));
        }
    };
}

/// Parses a decimal as an integer in units of its last digit.
fn parse_units(value: &Json) -> Option<i128> {
    value.as_str()?.replace('.', "").parse().ok()
}

/// The data that an answer refers to: the included ranges at their versions, and the bounded missing ranges at the
/// versions that bound them. Unbounded missing ranges can contain any rows.
struct AnswerData<'a> {
    included: BTreeMap<u32, &'a Snapshot>,
    bounded: BTreeMap<u32, &'a Snapshot>,
    /// Number of missing ranges without bounds.
    unbounded: usize,
}

fn answer_data<'a>(answer: &Json, data: &'a [History]) -> Result<AnswerData<'a>, String> {
    let mut included = BTreeMap::new();
    for entry in answer["ranges"].as_array().ok_or("no ranges")? {
        let (range, version) =
            (entry["range"].as_u64().ok_or("no range")?, entry["version"].as_u64().ok_or("no version")?);
        let history = &data[range as usize];
        ensure!((1..=history.latest()).contains(&version), "range {range} never had version {version}");
        ensure!(
            included.insert(range as u32, history.snapshot(version)).is_none(),
            "range {range} is included twice"
        );
    }
    let (mut bounded, mut unbounded) = (BTreeMap::new(), 0);
    for entry in answer["missing"].as_array().ok_or("no missing")? {
        let range = entry["range"].as_u64().ok_or("no range")? as u32;
        ensure!(!included.contains_key(&range), "range {range} is both included and missing");
        match entry["boundedAtVersion"].as_u64() {
            Some(version) => drop(bounded.insert(range, data[range as usize].snapshot(version))),
            None => unbounded += 1,
        }
    }
    ensure!(
        included.len() + bounded.len() + unbounded == data.len(),
        "a range is neither included nor missing"
    );
    Ok(AnswerData { included, bounded, unbounded })
}

fn group_key(key: &str) -> String {
    key.split('#').next().unwrap_or(key).to_string()
}

/// Key, range and measure of all rows or groups, best first.
fn rank_rows(query: &CheckedQuery, answer_data: &AnswerData) -> Vec<(String, Option<u32>, i128)> {
    let all = || answer_data.included.iter().chain(&answer_data.bounded);
    let mut rows: Vec<(String, Option<u32>, i128)> = Vec::new();
    if query.grouped {
        let mut sums: BTreeMap<String, i128> = BTreeMap::new();
        for (_, rows) in all() {
            rows.iter().for_each(|(k, r)| *sums.entry(group_key(k)).or_default() += i128::from(r.measure));
        }
        rows.extend(sums.into_iter().map(|(k, m)| (k, None, m)));
    } else {
        for (range, snapshot) in all() {
            rows.extend(snapshot.iter().map(|(k, r)| (k.clone(), Some(*range), r.measure.into())));
        }
    }
    let rank = |measure: i128| if query.descending { -measure } else { measure };
    rows.sort_by(|a, b| (rank(a.2), &a.0, a.1).cmp(&(rank(b.2), &b.0, b.1)));
    rows
}

/// Checks one answer against the data.
pub fn check(query: &CheckedQuery, answer: &Json, data: &[History]) -> CheckResult {
    let answer_data = answer_data(answer, data)?;
    let missing = data.len() - answer_data.included.len();
    let coverage_millionths = (answer_data.included.len() * 1_000_000 / data.len()) as i128;
    ensure!(
        parse_units(&answer["coverage"]) == Some(coverage_millionths),
        "coverage is {} instead of {coverage_millionths} millionths",
        answer["coverage"]
    );
    let whole = answer["whole"] == true;
    ensure!(!whole || missing == 0, "marked as whole with {missing} missing ranges");
    let meets_minimum = answer_data.included.len() as f64 + 1e-9 >= query.min_coverage * data.len() as f64;
    ensure!(meets_minimum, "coverage is below the minimum of {}", query.min_coverage);
    let rows = answer["rows"].as_array().ok_or("no rows")?;
    ensure!(rows.len() <= query.limit, "more rows than the limit");
    match query.op {
        "rank" => check_rank(query, answer, &answer_data, rows, whole),
        "list" => check_list(&answer_data, rows),
        // Checked together with the earlier pages: see `PageChecker`.
        _ if query.grouped => Ok(()),
        _ => check_figure(query, answer, &answer_data, whole),
    }
}

fn check_rank(
    query: &CheckedQuery,
    answer: &Json,
    answer_data: &AnswerData,
    rows: &[Json],
    whole: bool,
) -> CheckResult {
    let exact = rank_rows(query, answer_data);
    let certain = answer["certain"].as_u64().ok_or("no certain")? as usize;
    ensure!(certain <= rows.len(), "more certain rows than rows");
    ensure!(
        certain == 0 || answer_data.unbounded == 0,
        "rows are certain although a missing range is unbounded"
    );
    for (n, row) in rows.iter().enumerate() {
        let (key, value) =
            (row["key"].as_str().ok_or("no key")?, parse_units(&row["value"]).ok_or("no value")?);
        let range = row["range"].as_u64().map(|r| r as u32);
        if n < certain {
            let expected = exact.get(n).ok_or_else(|| format!("row {n} is certain but does not exist"))?;
            ensure!(
                expected.0 == key && expected.1 == range,
                "row {n} is certain to be {key} but is {}",
                expected.0
            );
        }
        let expected = exact.iter().find(|e| e.0 == key && e.1 == range).map_or(0, |e| e.2);
        if row["exact"] == true {
            ensure!(
                expected == value || answer_data.unbounded > 0,
                "{key} is marked as exactly {value} but is {expected}"
            );
        } else if answer_data.unbounded == 0 {
            let low = parse_units(&row["low"]).is_none_or(|low| low <= expected);
            let high = parse_units(&row["high"]).is_none_or(|high| expected <= high);
            ensure!(
                low && high,
                "{key} is {expected}, outside its bounds {} and {}",
                row["low"],
                row["high"]
            );
        }
    }
    if whole {
        ensure!(certain == rows.len(), "marked as whole with uncertain rows");
        ensure!(rows.len() == exact.len().min(query.limit), "marked as whole with too few rows");
    }
    Ok(())
}

fn check_list(answer_data: &AnswerData, rows: &[Json]) -> CheckResult {
    let mut last = None;
    for row in rows {
        let (key, range) =
            (row["key"].as_str().ok_or("no key")?, row["range"].as_u64().ok_or("no range")? as u32);
        let expected = answer_data.included.get(&range).and_then(|s| s.get(key));
        let expected = expected.ok_or_else(|| format!("{key} is not in range {range} at its version"))?;
        ensure!(parse_units(&row["value"]) == Some(expected.measure.into()), "{key} has another measure");
        let body =
            expected.body.as_ref().map_or(Json::Null, |b| serde_json::from_str(b).unwrap_or(Json::Null));
        ensure!(row["body"] == body, "{key} has another body");
        ensure!(last < Some((key, range)), "{key} is out of order");
        last = Some((key, range));
    }
    Ok(())
}

/// Count, sum, minimum and maximum of measures; the last two are `None` without measures.
fn aggregate(measures: &[i128]) -> (i128, i128, Option<i128>, Option<i128>) {
    let sum = measures.iter().sum();
    (measures.len() as i128, sum, measures.iter().min().copied(), measures.iter().max().copied())
}

fn exact_figure(op: &str, measures: &[i128]) -> Option<i128> {
    let (rows, sum, min, max) = aggregate(measures);
    match op {
        "sum" => Some(sum),
        "count" => Some(rows),
        "min" => min,
        "max" => max,
        _ => None,
    }
}

/// Whether the figure in an answer is the exact one, or a mean within half a unit of it.
fn matches_figure(op: &str, measures: &[i128], actual: &Json) -> bool {
    match (op, parse_units(actual)) {
        ("mean", None) => measures.is_empty(),
        ("mean", Some(mean)) => {
            let (rows, sum, ..) = aggregate(measures);
            rows > 0 && (2 * (mean * rows - sum)).abs() <= rows
        }
        (_, actual) => actual == exact_figure(op, measures),
    }
}

fn measures<'a>(snapshots: impl Iterator<Item = &'a &'a Snapshot>) -> Vec<i128> {
    snapshots.flat_map(|s| s.values().map(|r| r.measure.into())).collect()
}

fn check_figure(query: &CheckedQuery, answer: &Json, answer_data: &AnswerData, whole: bool) -> CheckResult {
    let actual = &answer["figure"];
    let included = measures(answer_data.included.values());
    ensure!(matches_figure(query.op, &included, &actual["value"]), "wrong {} in {actual}", query.op);
    ensure!(parse_units(&actual["sum"]) == Some(included.iter().sum()), "wrong sum in {actual}");
    ensure!(actual["exact"] != true || whole, "marked as exact but not as whole");
    if let Some(within) = actual.get("within") {
        ensure!(answer_data.unbounded == 0, "an interval although a missing range is unbounded");
        let all = measures(answer_data.included.values().chain(answer_data.bounded.values()));
        let (low, high) = (parse_units(&within["low"]), parse_units(&within["high"]));
        let (low, high) = (low.ok_or("no low")?, high.ok_or("no high")?);
        let inside = match (query.op, aggregate(&all)) {
            ("mean", (rows, sum, ..)) => low * rows <= sum && sum <= high * rows,
            (op, _) => exact_figure(op, &all).is_some_and(|f| low <= f && f <= high),
        };
        ensure!(inside, "the exact figure is outside {within}");
    }
    Ok(())
}

/// Checks the consecutive pages of a listing. Tracks how far the pages have advanced in each range; each page must
/// consist of the next rows, without repeating or skipping any.
#[derive(Default)]
pub struct PageChecker {
    /// By range: the last key and range of the pages that included the range, and its last seen version.
    progress: BTreeMap<u32, ((String, u32), u64)>,
}

impl PageChecker {
    pub fn check_page(&mut self, query: &CheckedQuery, answer: &Json, data: &[History]) -> CheckResult {
        let answer_data = answer_data(answer, data)?;
        for entry in answer["ranges"].as_array().ok_or("no ranges")? {
            let (range, version) =
                (entry["range"].as_u64().unwrap_or(0) as u32, entry["version"].as_u64().unwrap_or(0));
            let before = self.progress.get(&range).map_or(0, |p| p.1);
            ensure!(before <= version, "range {range} changed from version {before} back to {version}");
        }
        // The rows still to be returned, by key and range, with their measures. Groups have the greatest range number.
        let mut expected_rows: BTreeMap<(String, u32), Vec<i128>> = BTreeMap::new();
        for (&range, snapshot) in &answer_data.included {
            for (key, row) in *snapshot {
                let position = if query.grouped { (group_key(key), u32::MAX) } else { (key.clone(), range) };
                if self.progress.get(&range).is_none_or(|(reached, _)| position > *reached) {
                    expected_rows.entry(position).or_default().push(row.measure.into());
                }
            }
        }
        let rows = answer["rows"].as_array().ok_or("no rows")?;
        let mut last = None;
        let mut remaining = expected_rows.iter();
        for row in rows {
            let key = row["key"].as_str().ok_or("no key")?;
            let (position, measures) = remaining.next().ok_or_else(|| format!("unexpected row {key}"))?;
            ensure!(position.0 == key, "row {key} instead of {}", position.0);
            if query.grouped {
                ensure!(
                    matches_figure(query.op, measures, &row["value"]),
                    "wrong {} of {key} in {row}",
                    query.op
                );
                let missing = answer_data.included.len() < data.len();
                let late = self.progress.values().any(|(reached, _)| *position <= *reached);
                ensure!(
                    row["exact"] != true || !missing && !late,
                    "{key} is marked as exact although ranges are, or were, missing"
                );
                ensure!((row["late"] == true) == late, "{key} has a wrong mark as late");
            } else {
                ensure!(
                    row["range"] == position.1,
                    "{key} is from range {} instead of {}",
                    row["range"],
                    position.1
                );
            }
            last = Some(position.clone());
        }
        let (more, remaining) = (answer["more"] == true, remaining.count());
        ensure!(more || remaining == 0, "{remaining} rows remain, but the answer has no more pages");
        ensure!(
            more || answer_data.included.len() == data.len(),
            "a range is missing, but the answer has no more pages"
        );
        for entry in answer["ranges"].as_array().ok_or("no ranges")? {
            let (range, version) =
                (entry["range"].as_u64().unwrap_or(0) as u32, entry["version"].as_u64().unwrap_or(0));
            let progress = self.progress.entry(range).or_insert_with(|| ((String::new(), 0), version));
            progress.1 = version;
            if let Some(last) = last.clone().filter(|last| *last > progress.0) {
                progress.0 = last;
            }
        }
        Ok(())
    }
}
