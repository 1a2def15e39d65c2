//! Compares the merges with a baseline, measured in the same run, that concatenates and sorts all rows.

use std::collections::BTreeMap;

use curlewdeck_merge::cursor::Position;
use curlewdeck_merge::page;
use curlewdeck_merge::query::{Op, Order, Query};
use curlewdeck_merge::rank;
use curlewdeck_merge::value::{check, Entry, Expected, Group, Value};

fn main() {
    divan::main();
}

const RANGES: u32 = 200;
const ROWS_PER_RANGE: usize = 1000;

/// The value of a range, with its rows in the order of a ranking or of their keys.
fn value(range: u32, rows: usize, by_rank: bool, groups: bool) -> String {
    let mut rng = fastrand::Rng::with_seed(range.into());
    let mut rows: Vec<(String, i64)> = (0..rows)
        .map(|n| (format!("key-{:06}", n * RANGES as usize + range as usize), rng.i64(0..1_000_000)))
        .collect();
    if groups {
        rows.iter_mut().enumerate().for_each(|(n, r)| r.0 = format!("group-{n:05}"));
    }
    if by_rank {
        rows.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
    }
    let head = format!(r#"{{"v":1,"range":{range},"version":1,"until":1,"scale":2,"rows":{}}}"#, rows.len());
    rows.iter().fold(head, |text, (key, m)| match groups {
        true => format!("{text}\n[\"{key}\",1,{m},{m},{m}]"),
        false => format!("{text}\n[\"{key}\",{m}]"),
    })
}

fn values(rows: usize, by_rank: bool, groups: bool) -> Vec<String> {
    (0..RANGES).map(|range| value(range, rows, by_rank, groups)).collect()
}

fn read(texts: &[String]) -> Vec<Value<'_>> {
    texts.iter().map(|t| Value::read(t).expect("a valid value")).collect()
}

/// Sorts the rows of all ranges, as a client without the merge would do.
fn concatenate(texts: &[String], limit: usize, by: impl Fn(&Entry, &Entry) -> std::cmp::Ordering) -> usize {
    let values = read(texts);
    let mut rows: Vec<Entry> = values.iter().flat_map(|v| v.rows().map(|r| r.expect("a row"))).collect();
    rows.sort_by(by);
    rows.truncate(limit);
    rows.len()
}

fn by_measure(a: &Entry, b: &Entry) -> std::cmp::Ordering {
    b.measure.cmp(&a.measure).then_with(|| a.key.cmp(&b.key))
}

#[divan::bench_group(sample_count = 20)]
mod top_10_of_200_ranges_of_1000 {
    use super::*;

    #[divan::bench]
    fn merge(bencher: divan::Bencher) {
        let texts = values(ROWS_PER_RANGE, true, false);
        bencher.bench(|| rank::merge(&read(&texts), &[], Order::Desc, 10).expect("a ranking").rows.len());
    }

    /// Validates the values of all ranges, as on their arrival.
    #[divan::bench]
    fn check_values(bencher: divan::Bencher) {
        let texts = values(ROWS_PER_RANGE, true, false);
        let query = Query {
            set: "s".into(),
            op: Op::Rank,
            measure: "m".into(),
            scale: 2,
            order: Order::Desc,
            grouped: false,
            limit: ROWS_PER_RANGE,
            filter: BTreeMap::new(),
        };
        bencher.bench(|| {
            for (range, text) in (0..).zip(&texts) {
                let expected = Expected { range, position: Position::Start, at_least: None };
                check(text, &query, &expected).expect("a valid value");
            }
        });
    }

    #[divan::bench]
    fn baseline(bencher: divan::Bencher) {
        let texts = values(ROWS_PER_RANGE, true, false);
        bencher.bench(|| concatenate(&texts, 10, by_measure));
    }
}

#[divan::bench_group(sample_count = 20)]
mod page_of_1000 {
    use super::*;

    #[divan::bench]
    fn merge(bencher: divan::Bencher) {
        let texts = values(ROWS_PER_RANGE, false, false);
        bencher.bench(|| page::list(&read(&texts), 1000).expect("a page").rows.len());
    }

    #[divan::bench]
    fn baseline(bencher: divan::Bencher) {
        let texts = values(ROWS_PER_RANGE, false, false);
        bencher.bench(|| concatenate(&texts, 1000, |a, b| a.key.cmp(&b.key)));
    }
}

#[divan::bench_group(sample_count = 20)]
mod grouped_sum {
    use super::*;

    #[divan::bench]
    fn merge(bencher: divan::Bencher) {
        let texts = values(ROWS_PER_RANGE, false, true);
        bencher.bench(|| page::groups(&read(&texts), 1000).expect("a page").rows.len());
    }

    /// Sums the groups of all ranges in one map.
    #[divan::bench]
    fn baseline(bencher: divan::Bencher) {
        let texts = values(ROWS_PER_RANGE, false, true);
        bencher.bench(|| {
            let values = read(&texts);
            let mut sums: BTreeMap<String, i128> = BTreeMap::new();
            for group in values.iter().flat_map(|v| v.rows::<Group>()) {
                let group = group.expect("a group");
                *sums.entry(group.key.into_owned()).or_default() += group.aggregate.sum.0;
            }
            sums.len()
        });
    }
}

/// The peak memory of the top 10 must not grow with the number of rows in the ranges: see the allocated bytes.
#[divan::bench_group(sample_count = 5)]
mod memory_of_the_top_10 {
    use super::*;

    #[divan::bench(args = [10, 100, 1000])]
    fn merge(bencher: divan::Bencher, rows: usize) {
        let texts = values(rows, true, false);
        bencher.bench(|| rank::merge(&read(&texts), &[], Order::Desc, 10).expect("a ranking").rows.len());
    }

    #[divan::bench(args = [10, 100, 1000])]
    fn baseline(bencher: divan::Bencher, rows: usize) {
        let texts = values(rows, true, false);
        bencher.bench(|| concatenate(&texts, 10, by_measure));
    }
}

#[global_allocator]
static ALLOCATOR: divan::AllocProfiler = divan::AllocProfiler::system();
