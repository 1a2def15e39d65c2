//! Runs one seed: simulated replicas with changing data, and queries whose answers are checked.
#![allow(dead_code)]

use std::sync::Arc;

use curlewdeck_merge::cursor::{Cursor, CursorError, CursorKeys, RangeProgress};
use curlewdeck_merge::error::MergeError;
use curlewdeck_merge::merger::{MergeResult, QueryMerger};
use curlewdeck_merge::query::{Op, Order, Query};
use curlewdeck_merge::range_cache::{CacheLimits, RangeCache};
use fastrand::Rng;
use serde_json::Value as Json;

use super::checker::{self, CheckedQuery, PageChecker};
use super::stand_in::{replica_value, History, Row, ValueOptions};

/// An error injected into the answers, to show that the checker detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sabotage {
    Whole,
    Certain,
    Sum,
    Repeat,
    Skip,
    Version,
}

impl Sabotage {
    pub const ALL: [Self; 6] =
        [Self::Whole, Self::Certain, Self::Sum, Self::Repeat, Self::Skip, Self::Version];

    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|s| format!("{s:?}").eq_ignore_ascii_case(name))
    }

    /// Injects the error into an answer; leaves answers unchanged that lack the affected field.
    fn apply(self, answer: &mut Json) {
        match self {
            Self::Whole => answer["whole"] = true.into(),
            Self::Certain => {
                if answer.get("certain").is_some() {
                    answer["certain"] = answer["rows"].as_array().map_or(0, Vec::len).into();
                }
            }
            Self::Sum => {
                if let Some(value) = answer["figure"]["value"].as_str() {
                    answer["figure"]["value"] = format!("9{value}").into();
                }
            }
            Self::Repeat => {
                if let Some(rows) = answer["rows"].as_array_mut() {
                    rows.extend(rows.first().cloned());
                }
            }
            Self::Skip => {
                if let Some(rows) = answer["rows"].as_array_mut() {
                    rows.pop();
                }
            }
            Self::Version => {
                if let Some(range) = answer["ranges"].get_mut(0) {
                    range["version"] = (range["version"].as_u64().unwrap_or(1) + 1).into();
                }
            }
        }
    }
}

/// Runs `count` seeds in parallel; returns the failed ones with their errors.
pub fn run_seeds(first: u64, count: u64, sabotage: Option<Sabotage>) -> Vec<(u64, String)> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from).min(8) as u64;
    let mut failed: Vec<(u64, String)> = std::thread::scope(|scope| {
        let run = |core| {
            let own = (first..first + count).filter(move |s| s % cores == core);
            own.filter_map(|seed| run_seed(seed, sabotage).err().map(|e| (seed, e))).collect::<Vec<_>>()
        };
        let threads: Vec<_> = (0..cores).map(|core| scope.spawn(move || run(core))).collect();
        threads.into_iter().flat_map(|t| t.join().unwrap_or_else(|_| vec![(0, "panicked".into())])).collect()
    });
    failed.sort();
    failed
}

struct Fleet {
    rng: Rng,
    data: Vec<History>,
    /// By range: the version that each replica serves; `None` for a dead replica.
    replicas: Vec<Vec<Option<u64>>>,
    cache: RangeCache,
    now: u64,
    sabotage: Option<Sabotage>,
}

/// An answer, and the progress at which the next page begins.
type AnswerPage = (Json, Option<Vec<RangeProgress>>);

const STEPS: usize = 12;
const SCALE: u8 = 2;

pub fn run_seed(seed: u64, sabotage: Option<Sabotage>) -> Result<(), String> {
    let mut rng = Rng::with_seed(seed);
    let ranges = rng.usize(1..9);
    let mut data = vec![History::default(); ranges];
    // Small numbers of keys and measures cause ties and groups in several ranges.
    let (keys, measures) = (rng.i64(2..60), rng.i64(1..500));
    for history in &mut data {
        let rows = rng.usize(0..40);
        history.change(|snapshot| (0..rows).for_each(|_| insert(&mut rng, snapshot, keys, measures)));
    }
    let replicas = (0..ranges).map(|_| vec![Some(1); rng.usize(1..5)]).collect();
    let cache = RangeCache::new(CacheLimits { max_entries: 64, max_ranges: 64, max_age_ns: 10_000 });
    let mut fleet = Fleet { rng, data, replicas, cache, now: 0, sabotage };
    for step in 0..STEPS {
        fleet.now += fleet.rng.u64(0..3000);
        fleet.change(keys, measures);
        fleet.run_query(keys, measures).map_err(|error| format!("step {step}: {error}"))?;
    }
    Ok(())
}

fn insert(rng: &mut Rng, snapshot: &mut super::stand_in::Snapshot, keys: i64, measures: i64) {
    let group = rng.i64(0..keys);
    let key = if rng.bool() { format!("k{group:02}") } else { format!("k{group:02}#{}", rng.u8(0..4)) };
    let body = rng.bool().then(|| format!(r#"{{"n": {}}}"#, rng.u8(..)));
    snapshot.insert(key, Row { measure: rng.i64(-measures / 4..measures), body });
}

impl Fleet {
    /// Changes the data; replicas follow or fall behind, die and return.
    fn change(&mut self, keys: i64, measures: i64) {
        for (range, history) in self.data.iter_mut().enumerate() {
            if self.rng.u8(..) < 60 {
                let rng = &mut self.rng;
                history.change(|snapshot| {
                    for _ in 0..rng.usize(1..4) {
                        match snapshot.keys().nth(rng.usize(0..40)).cloned() {
                            Some(key) if rng.bool() => drop(snapshot.remove(&key)),
                            _ => insert(rng, snapshot, keys, measures),
                        }
                    }
                });
            }
            for replica in &mut self.replicas[range] {
                *replica = match self.rng.u8(..) {
                    0..=25 => None,
                    26..=180 => Some(history.latest()),
                    _ => replica.or_else(|| Some(self.rng.u64(1..=history.latest()))),
                };
            }
            // A restarted data node may have older data; the endpoint list reports the restart.
            if self.rng.u8(..) < 10 {
                self.cache.invalidate_range(range as u32);
            }
        }
    }

    fn run_query(&mut self, keys: i64, measures: i64) -> Result<(), String> {
        let ops = [Op::Rank, Op::Sum, Op::Count, Op::Min, Op::Max, Op::Mean, Op::List];
        let op = ops[self.rng.usize(..ops.len())];
        let order = if self.rng.bool() { Order::Desc } else { Order::Asc };
        let grouped = op != Op::List && self.rng.bool();
        let min_coverage = if self.rng.bool() { 0.5 } else { 1.0 };
        let limit = self.rng.usize(1..12);
        let query = Query {
            set: "s".into(),
            op,
            measure: "m".into(),
            scale: SCALE,
            order,
            grouped,
            limit,
            filter: Default::default(),
        };
        let name = ["rank", "sum", "count", "min", "max", "mean", "list"]
            [ops.iter().position(|o| *o == op).unwrap_or(0)];
        let checked_query =
            CheckedQuery { op: name, descending: order == Order::Desc, grouped, limit, min_coverage };
        if !query.is_paged() {
            let mut merger = QueryMerger::new(query, self.data.len() as u32);
            return self.run_attempts(&mut merger, &checked_query).map(drop);
        }
        self.check_pages(&query, &checked_query, keys, measures)
    }

    /// Reads all pages of a listing while the data changes.
    fn check_pages(
        &mut self,
        query: &Query,
        checked_query: &CheckedQuery,
        keys: i64,
        measures: i64,
    ) -> Result<(), String> {
        let cursors = CursorKeys::from_secret([self.rng.u8(..); 32]);
        let mut page_checker = PageChecker::default();
        let ranges = self.data.len();
        let mut merger = QueryMerger::new(query.clone(), ranges as u32);
        for page in 0..4000 {
            if page > 60 {
                // Stops the changes, so that the listing ends.
                self.replicas.iter_mut().zip(&self.data).for_each(|(r, d)| r.fill(Some(d.latest())));
            } else {
                self.change(keys, measures);
            }
            let Some((answer, next)) = self.run_attempts(&mut merger, checked_query)? else { continue };
            page_checker
                .check_page(checked_query, &answer, &self.data)
                .map_err(|error| format!("page {page}: {error}"))?;
            let Some(progress) = next else { return Ok(()) };
            let cursor = Cursor { query: query.digest(), expires_at: 1000, ranges: progress };
            let text = cursors.sign(&cursor);
            let verified = cursors.verify(&text, &query.digest(), ranges, 1).map_err(|e| e.to_string())?;
            if cursors.verify(&text, &query.digest(), ranges, 1000) != Err(CursorError::Expired) {
                return Err("an expired cursor was accepted".into());
            }
            merger = QueryMerger::resume(query.clone(), verified);
        }
        Err("a listing does not end".into())
    }

    /// Sends up to three attempts to each range, passes the values to the merger as the core does, and checks the
    /// answer. `None` if the coverage is below the minimum.
    fn run_attempts(
        &mut self,
        merger: &mut QueryMerger,
        checked_query: &CheckedQuery,
    ) -> Result<Option<AnswerPage>, String> {
        let mut values: Vec<(u32, Arc<str>)> = Vec::new();
        for range in 0..self.data.len() as u32 {
            for _ in 0..self.rng.usize(1..4) {
                let Some(text) = self.attempt(merger, range)? else { continue };
                values.push((range, text.into()));
                // A hedged attempt that returns a second value, which must be ignored.
                if self.rng.u8(..) < 40 {
                    if let Some(second) = self.attempt(merger, range)? {
                        values.push((range, second.into()));
                    }
                }
                break;
            }
        }
        match merger.finish(&values, checked_query.min_coverage, &mut self.cache, self.now) {
            Ok(MergeResult { answer, next }) => {
                let mut json: Json = serde_json::from_str(&answer.text()).map_err(|e| e.to_string())?;
                if let Some(sabotage) = self.sabotage {
                    sabotage.apply(&mut json);
                }
                checker::check(checked_query, &json, &self.data)?;
                Ok(Some((json, next)))
            }
            Err(MergeError::BelowMinimumCoverage(coverage))
                if coverage.meets_minimum(checked_query.min_coverage) && !coverage.versions.is_empty() =>
            {
                Err("query failed although the coverage meets the minimum".into())
            }
            Err(MergeError::BelowMinimumCoverage(_)) => Ok(None),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Returns the value of one replica if the replica is alive and its value is accepted. Some values are corrupted
    /// and must be rejected.
    fn attempt(&mut self, merger: &mut QueryMerger, range: u32) -> Result<Option<String>, String> {
        let replicas = &self.replicas[range as usize];
        let Some(version) = replicas[self.rng.usize(..replicas.len())] else { return Ok(None) };
        let options = ValueOptions {
            omit_bounds: self.rng.u8(..) < 50,
            omit_total: self.rng.bool(),
            max_rows: if self.rng.u8(..) < 50 { self.rng.usize(1..5) } else { usize::MAX },
            ..ValueOptions::default()
        };
        let snapshot = self.data[range as usize].snapshot(version);
        let text = replica_value(snapshot, version, &merger.request_text(range), options)
            .ok_or("the replica rejected the request")?;
        if self.rng.u8(..) < 25 {
            let corrupted = self.corrupt(&text);
            if merger.accept_value(range, &corrupted).is_ok() && corrupted != text {
                return Err(format!("a corrupted value was accepted: {corrupted}"));
            }
            return Ok(None);
        }
        Ok(merger.accept_value(range, &text).is_ok().then_some(text))
    }

    /// Corrupts one thing in a value that validation must detect.
    fn corrupt(&mut self, text: &str) -> String {
        let (head, rows) = text.split_once('\n').unwrap_or((text, ""));
        match self.rng.u8(0..6) {
            0 => text.replacen("\"v\":1", "\"v\":7", 1),
            1 => text.replacen("\"range\":", "\"range\":9", 1),
            2 => text.replacen("\"until\":", "\"until\":7", 1),
            3 => text.replacen("\"scale\":2", "\"scale\":3", 1),
            4 => format!("{head}\n[\"zz\",1,1,1,1]\n{rows}"),
            _ => text[..text.len() / 2].to_string(),
        }
    }
}
