//! A client of curlewdeck's desk front.
//!
//! [`walk::Walk`] decides, without I/O or a clock, what comes next: ask for a page, wait for as long as the service
//! said, or end. [`http::run`] carries it out over HTTP; [`table`] prints what came.
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
