//! What a coordinator has served, counted once.
//!
//! A query is counted when it is accepted and at its one end, by class and by [`QueryEnd`], with the value that it
//! requested and the value that was served. An attempt is counted when it starts and at its one end, by
//! [outcome](ATTEMPT_OUTCOMES) and by node. In every [`LedgerSnapshot`] what was accepted is what has ended and what is
//! open, for queries by class and for attempts by node; and no more value was served than was requested. The crate reads
//! no clock.

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
