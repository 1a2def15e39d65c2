//! Client of curlewdeck's aggregation frontend.
//!
//! [`walk::Walk`] is a state machine without I/O or a clock. It decides the next step: request a page, wait before a
//! retry, or end. [`http::run`] executes the steps over HTTP; [`table`] formats the pages as text.
//!
//! ```no_run
//! use curlewdeck_client::{http::Service, query::Query, walk::{Budget, Walk}};
//! let query = Query { limit: Some(10), ..Query::new("rank") };
//! let walk = Walk::new(query, Budget::default(), 7);
//! let end = curlewdeck_client::http::run(walk, &Service::new("127.0.0.1:8081", "plazas"), |page| {
//!     println!("{} of the data", page.coverage);
//! });
//! println!("{end:?}");
//! ```

pub mod http;
pub mod query;
pub mod table;
pub mod walk;
