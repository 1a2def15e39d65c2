//! Merges the values that tag ranges gave into one exact answer that says what it covers.
//!
//! A [`query::Query`] goes to each range as a text ([`query::Query::text`]). What a range answers is a
//! [`value::Value`], checked when it comes ([`value::check`]): one that is malformed, speaks for another range or
//! contradicts itself never counts. From the values that are in, [`rank`], [`fold`] and [`page`] make the answer;
//! [`cover`] says what it rests on, [`recall`] what is known of ranges that are missing, and [`cursor`] carries a
//! listing from page to page. Nothing here does I/O or reads a clock.

pub mod answer;
pub mod cover;
pub mod cursor;
pub mod fold;
pub mod merging;
pub mod page;
pub mod query;
pub mod rank;
pub mod recall;
pub mod units;
pub mod value;

/// A tag range, from 0.
pub type Range = u32;

/// A version of a range's data: it grows with each change of the range.
pub type Version = u64;
