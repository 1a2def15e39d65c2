//! Which queries wait for admission and which are to be reviewed.

use std::collections::BTreeSet;

use crate::api::QueryId;

#[derive(Debug, Default)]
pub(super) struct ReviewQueue {
    /// Queries with parts that wait for admission.
    pub(super) queued: BTreeSet<QueryId>,
    /// Queries that something has happened to since their last review, or that are due.
    pub(super) pending: BTreeSet<QueryId>,
}
