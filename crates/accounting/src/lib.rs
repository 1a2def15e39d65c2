//! Accounting of the queries and attempts of a coordinator.
//!
//! A query is counted when it is accepted and once when it ends, by class and by [`QueryEnd`], with the value requested
//! and the value served. An attempt is counted when it starts and once when it ends, by [outcome](ATTEMPT_OUTCOMES) and
//! by node. Every [`LedgerSnapshot`] is balanced: the queries accepted in a class are those ended plus those open, the
//! attempts started at a node are those ended plus those in flight, and the value served is at most the value
//! requested. The crate reads no clock.

mod attempt_counts;
mod class_totals;
mod ledger_snapshot;
pub mod node_table;
pub mod process_stats;
mod query_end;
pub mod query_value;
mod request_ledger;
pub mod saved;

pub use attempt_counts::{AttemptCounts, ATTEMPT_OUTCOMES};
pub use class_totals::{ClassRow, LATENCY_QUANTILES};
pub use ledger_snapshot::{InconsistentLedger, LedgerSnapshot};
pub use query_end::QueryEnd;
pub use request_ledger::RequestLedger;
