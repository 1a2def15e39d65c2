//! Merges the values of many tag ranges into one exact answer that lists the ranges it covers.
//!
//! A [`query::Query`] is sent to each range as a request text ([`query::Query::text`]). A range returns a
//! [`value::Value`]. [`value::check`] validates each value on arrival and rejects values that are malformed, belong to
//! another range or are inconsistent. [`merger`] holds the state of one query; [`rank`], [`aggregate`] and [`page`]
//! merge the valid values. [`coverage`] records which ranges an answer includes, [`range_cache`] bounds the missing
//! ones, and [`cursor`] stores the progress of a listing between pages. The crate does no I/O and reads no clock.

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

/// Index of a tag range, from 0.
pub type Range = u32;

/// Version of a range's data; increases with each change of the range.
pub type Version = u64;
