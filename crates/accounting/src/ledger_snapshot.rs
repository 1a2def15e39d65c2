//! Snapshots of all counts, and their consistency check.

use curlewdeck_core::api::Nanos;

use crate::attempt_counts::AttemptCounts;
use crate::class_totals::ClassRow;
use crate::node_table::NodeRow;

/// All counts at one point in time.
#[derive(Debug, Clone, PartialEq)]
pub struct LedgerSnapshot {
    /// When the snapshot was taken.
    pub at: Nanos,
    /// Totals by class, in the order of the settings.
    pub classes: Vec<ClassRow>,
    /// All attempts, including those at nodes that have been removed.
    pub attempts: AttemptCounts,
    /// Counts by node, ordered by index.
    pub nodes: Vec<NodeRow>,
    /// Number of rows of removed nodes evicted before their retention had passed.
    pub nodes_evicted: u64,
    /// Number of nodes that got no row because the table was full; their attempts count only in the totals.
    pub nodes_unlisted: u64,
}

/// A violated invariant of a [`LedgerSnapshot`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InconsistentLedger {
    /// More queries of a class have ended than were accepted.
    #[error("class {class}: {ended} queries ended, but only {accepted} were accepted")]
    MoreQueriesEnded {
        /// Name of the class.
        class: String,
        /// Queries that have ended.
        ended: u64,
        /// Queries that were accepted.
        accepted: u64,
    },
    /// More value of a class was served than was requested.
    #[error("class {class}: value {served} was served, but only {requested} was requested (in millionths)")]
    MoreValueServed {
        /// Name of the class.
        class: String,
        /// Value served, in millionths.
        served: u64,
        /// Value requested, in millionths.
        requested: u64,
    },
    /// More attempts have ended than were started.
    #[error("{ended} attempts ended, but only {started} were started")]
    MoreAttemptsEnded {
        /// Attempts that have ended.
        ended: u64,
        /// Attempts that were started.
        started: u64,
    },
    /// More attempts at a node have ended than were started there.
    #[error("node {node}: more attempts ended than were started")]
    MoreAttemptsEndedAtNode {
        /// Name of the node in the endpoint list.
        node: String,
    },
    /// More attempts were started at all nodes together than in total.
    #[error("{at_nodes} attempts were started at nodes, but only {started} in total")]
    MoreAttemptsAtNodes {
        /// Attempts started at nodes.
        at_nodes: u64,
        /// Attempts started in total.
        started: u64,
    },
}

impl LedgerSnapshot {
    /// Sums a count over all classes.
    pub fn sum(&self, count: impl Fn(&ClassRow) -> u64) -> u64 {
        self.classes.iter().map(count).sum()
    }

    /// Checks the invariants of a snapshot.
    ///
    /// # Errors
    /// Returns the first violated invariant.
    pub fn check(&self) -> Result<(), InconsistentLedger> {
        self.classes.iter().try_for_each(check_class)?;
        let (started, ended) = (self.attempts.started, self.attempts.total_ended());
        if ended > started {
            return Err(InconsistentLedger::MoreAttemptsEnded { ended, started });
        }
        for node in &self.nodes {
            if node.attempts.total_ended() > node.attempts.started {
                return Err(InconsistentLedger::MoreAttemptsEndedAtNode { node: node.name.clone() });
            }
        }
        let at_nodes: u64 = self.nodes.iter().map(|n| n.attempts.started).sum();
        if at_nodes > started {
            return Err(InconsistentLedger::MoreAttemptsAtNodes { at_nodes, started });
        }
        Ok(())
    }
}

fn check_class(row: &ClassRow) -> Result<(), InconsistentLedger> {
    let ended: u64 = row.ended.iter().sum();
    if ended > row.accepted {
        let (class, accepted) = (row.name.clone(), row.accepted);
        return Err(InconsistentLedger::MoreQueriesEnded { class, ended, accepted });
    }
    if row.value_served > row.value_requested {
        let (class, served, requested) = (row.name.clone(), row.value_served, row.value_requested);
        return Err(InconsistentLedger::MoreValueServed { class, served, requested });
    }
    Ok(())
}
