//! Queries that wait for admission or for a review.

use std::collections::BTreeSet;

use crate::api::QueryId;

#[derive(Debug, Default)]
pub(super) struct ReviewQueue {
    /// Queries with parts that wait for admission.
    pub(super) queued: BTreeSet<QueryId>,
    /// Queries affected by an event since their last review, or due for one.
    pub(super) pending: BTreeSet<QueryId>,
}
