//! Merges the values of many tag ranges into one exact answer that says what it covers.
//!
//! A [`query::Query`] is sent to each range as a request text ([`query::Query::text`]). A range returns a
//! [`value::Value`], which [`value::check`] checks when it comes: one that is malformed, speaks for another range or is
//! inconsistent is refused. [`merger`] holds the state of one query; [`rank`], [`aggregate`] and [`page`] merge the
//! valid values. [`coverage`] tells which ranges are in, [`range_cache`] bounds those that are missing, and [`cursor`]
//! carries a listing from page to page. The crate does no I/O and reads no clock.

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
