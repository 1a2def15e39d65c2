//! Merges the values that tag ranges gave into one exact answer that says what it covers.
//!
//! A [`query::Query`] goes to each range as a text ([`query::Query::text`]). What a range answers is a
//! [`value::Value`], checked when it comes ([`value::check`]): one that is malformed, speaks for another range or
//! contradicts itself never counts. From the values that are in, [`rank`], [`aggregate`] and [`page`] make the answer;
//! [`coverage`] says what it rests on, [`range_cache`] what is known of ranges that are missing, and [`cursor`] carries a
//! listing from page to page. Nothing here does I/O or reads a clock.

pub mod aggregate;
pub mod aggregator;
pub mod answer;
pub mod coverage;
pub mod cursor;
pub mod error;
pub mod merger;
mod order;
pub mod page;
pub mod query;
pub mod range_bounds;
pub mod range_cache;
pub mod rank;
pub mod units;
pub mod value;

/// A tag range, from 0.
pub type Range = u32;

/// A version of a range's data: it grows with each change of the range.
pub type Version = u64;
